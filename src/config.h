/*
 * The service "config" of a node: connects configuration distribution (spread.h)
 * to the platform client, the peers and the other services, see docs/design.md.
 * Runs on the kernel's thread.
 */
#ifndef MASTICPITCH_CONFIG_H
#define MASTICPITCH_CONFIG_H

#include "kernel.h"
#include "settings.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct config config_t;

/*
 * Registers the service "config" and creates its platform client; settings must
 * outlive it.
 * Errors: MASTICPITCH_E_ADDRESS_IN_USE, MASTICPITCH_E_IO, MASTICPITCH_E_NOMEM.
 */
int config_create(kernel_t *kernel, const settings_t *settings, config_t **result);
/* Unregisters the service and frees it; NULL is allowed. */
void config_destroy(config_t *service);

#ifdef __cplusplus
}
#endif

#endif
