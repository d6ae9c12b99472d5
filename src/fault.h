/*
 * Fault hook of the transport, compiled only with MASTICPITCH_FAULTS: drops the
 * traffic with chosen addresses. The environment variable
 * MASTICPITCH_FAULT_PORT names a UDP port on the node's peer IP that takes
 * text commands: "cut A.B.C.D", "cut-prefix A.B.", "heal", "loss PERCENT" (UDP
 * only). Each is answered with "ok" or "error". One thread.
 */
#ifndef MASTICPITCH_FAULT_H
#define MASTICPITCH_FAULT_H

#include "kernel.h"
#include "settings.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct fault fault_t;

/* Most addresses and prefixes cut at once. */
#define FAULT_CUTS_MAX 256

/*
 * The one of this kernel, made on first use and counted; NULL without the
 * build option. Errors of the port are logged.
 */
fault_t *fault_acquire(kernel_t *kernel, const settings_t *settings);
void fault_release(fault_t *fault);
/* True if traffic with the address is dropped. */
bool fault_is_cut(const fault_t *fault, uint32_t ip);
/* Draws whether this datagram is lost. */
bool fault_drops_datagram(fault_t *fault, uint32_t ip);
/* Carries out one command. Errors: MASTICPITCH_E_INVALID, MASTICPITCH_E_LIMIT. */
int fault_command(fault_t *fault, const char *command);

#ifdef __cplusplus
}
#endif

#endif
