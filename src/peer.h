/*
 * The peer service of a node, see docs/design.md. Runs on the kernel's thread.
 */
#ifndef MASTICPITCH_PEER_H
#define MASTICPITCH_PEER_H

#include "kernel.h"
#include "settings.h"

#ifdef __cplusplus
extern "C" {
#endif

/* A connection to a node in state down is closed after this silence, ms. */
#define PEER_DOWN_SILENCE_MS 1000

typedef struct peer peer_t;

/*
 * Registers the service "peer" and opens its sockets; settings must outlive it.
 * Errors: MASTICPITCH_E_ADDRESS_IN_USE, MASTICPITCH_E_IO, MASTICPITCH_E_NOMEM.
 */
int peer_create(kernel_t *kernel, const settings_t *settings, peer_t **result);
/* Closes and unregisters; NULL is allowed. */
void peer_destroy(peer_t *service);

#ifdef __cplusplus
}
#endif

#endif
