/*
 * The announcement that a backend server posts to the node on its host; see
 * docs/design.md section 12. Any thread.
 */
#ifndef MASTICPITCH_ANNOUNCEMENT_H
#define MASTICPITCH_ANNOUNCEMENT_H

#include "member_types.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define GATE_BOOT_BYTES 65

/* The backend server as last announced. */
typedef struct gate_backend {
	bool live;
	instance_state_t state;
	char service[NAME_BYTES];
	char instance[NAME_BYTES];
	char boot[GATE_BOOT_BYTES];
	address_t address;
	uint32_t slots;
	uint32_t connections;
	double load; /* as announced, 0 to 1 */
	uint64_t announced;
} gate_backend_t;

/*
 * Reads a body; text is followed by a NUL that size does not count. Returns
 * NULL, or what is wrong with it. Sets neither live nor announced.
 */
const char *announcement_parse(const char *text, size_t size, gate_backend_t *backend);

#ifdef __cplusplus
}
#endif

#endif
