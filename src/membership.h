/*
 * The membership service of a node: runs the member table on a UDP socket and
 * passes its changes to other services; see docs/design.md. Kernel's thread.
 */
#ifndef MASTICPITCH_MEMBERSHIP_H
#define MASTICPITCH_MEMBERSHIP_H

#include "kernel.h"
#include "settings.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct membership membership_t;

/*
 * Registers the service "membership" and opens its socket; settings must outlive it.
 * Errors: MASTICPITCH_E_ADDRESS_IN_USE, MASTICPITCH_E_IO, MASTICPITCH_E_NOMEM.
 */
int membership_create(
    kernel_t *kernel, const settings_t *settings, membership_t **result);
/* Unregisters the service and closes its socket; NULL is allowed. */
void membership_destroy(membership_t *service);

#ifdef __cplusplus
}
#endif

#endif
