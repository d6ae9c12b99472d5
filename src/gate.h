/*
 * The gate service of a node: admits calls and runs them on this host's backend
 * server, see docs/design.md. Runs on the kernel's thread.
 */
#ifndef MASTICPITCH_GATE_H
#define MASTICPITCH_GATE_H

#include "kernel.h"
#include "settings.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct gate gate_t;

/*
 * Registers the service "gate" and opens its sockets; settings must outlive the
 * service.
 * Errors: MASTICPITCH_E_ADDRESS_IN_USE, MASTICPITCH_E_IO, MASTICPITCH_E_NOMEM.
 */
int gate_create(kernel_t *kernel, const settings_t *settings, gate_t **result);
/* Closes the sockets and unregisters the service; NULL is allowed. */
void gate_destroy(gate_t *service);

#ifdef __cplusplus
}
#endif

#endif
