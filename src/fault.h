/*
 * Fault injection for the transport, compiled only with MASTICPITCH_FAULTS: drops
 * traffic with the given addresses. The environment variable
 * MASTICPITCH_FAULT_PORT sets a UDP port on the node's peer IP that accepts
 * text commands: "cut A.B.C.D", "cut-prefix A.B.", "heal" (ends all faults),
 * "loss PERCENT" (UDP only). Each is answered with "ok" or "error". Not thread-safe.
 */
#ifndef MASTICPITCH_FAULT_H
#define MASTICPITCH_FAULT_H

#include "kernel.h"
#include "settings.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct fault fault_t;

/* Maximum number of cut addresses and prefixes. */
#define FAULT_CUTS_MAX 256

/*
 * Returns the instance of this kernel; created on first use, reference-counted.
 * NULL without the build option or if out of memory. An error of the port is
 * logged; the instance then accepts no commands. Release with fault_release().
 */
fault_t *fault_acquire(kernel_t *kernel, const settings_t *settings);
/* NULL is allowed. */
void fault_release(fault_t *fault);
/* True if traffic with the address is dropped. */
bool fault_is_cut(const fault_t *fault, uint32_t ip);
/* True if the datagram is dropped: its address is cut, or by random loss. */
bool fault_drops_datagram(fault_t *fault, uint32_t ip);
/* Executes one command. Errors: MASTICPITCH_E_INVALID, MASTICPITCH_E_LIMIT. */
int fault_command(fault_t *fault, const char *command);

#ifdef __cplusplus
}
#endif

#endif
