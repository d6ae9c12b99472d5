/*
 * The gate service of a node, see docs/design.md. Runs on the kernel's thread.
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
 * Registers the service "gate" and opens its sockets; settings must outlive it.
 * Errors: MASTICPITCH_E_ADDRESS_IN_USE, MASTICPITCH_E_IO, MASTICPITCH_E_NOMEM.
 */
int gate_create(kernel_t *kernel, const settings_t *settings, gate_t **result);
/* Closes and unregisters; NULL is allowed. */
void gate_destroy(gate_t *service);

#ifdef __cplusplus
}
#endif

#endif
