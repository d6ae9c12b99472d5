/*
 * The entry service of a node: accepts callers' HTTP requests and sends them to
 * instances, see docs/design.md. Runs on the kernel's thread.
 */
#ifndef MASTICPITCH_ENTRY_H
#define MASTICPITCH_ENTRY_H

#include "kernel.h"
#include "settings.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct entry entry_t;

/*
 * Registers the service "entry" and opens its sockets; settings must outlive the
 * service.
 * Errors: MASTICPITCH_E_ADDRESS_IN_USE, MASTICPITCH_E_IO, MASTICPITCH_E_NOMEM.
 */
int entry_create(kernel_t *kernel, const settings_t *settings, entry_t **result);
/* Closes the sockets and unregisters the service; NULL is allowed. */
void entry_destroy(entry_t *service);

#ifdef __cplusplus
}
#endif

#endif
