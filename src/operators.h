/*
 * Operators' interface of a node over HTTP, see docs/design.md. Runs on the kernel's
 * thread.
 */
#ifndef MASTICPITCH_OPERATORS_H
#define MASTICPITCH_OPERATORS_H

#include "kernel.h"
#include "settings.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct operators operators_t;

/*
 * Registers the service "operators" and opens its sockets; settings must outlive it.
 * Errors: MASTICPITCH_E_ADDRESS_IN_USE, MASTICPITCH_E_IO, MASTICPITCH_E_NOMEM.
 */
int operators_create(kernel_t *kernel, const settings_t *settings, operators_t **result);
/* Closes the sockets and unregisters the service; NULL is allowed. */
void operators_destroy(operators_t *service);

#ifdef __cplusplus
}
#endif

#endif
