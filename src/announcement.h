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
	double load;	     /* as announced, 0 to 1 */
	uint64_t started_ms; /* wall clock of its start; 0: not told */
	uint64_t sequence;   /* grows with each announcement of a start; 0: not told */
	uint32_t cold_ms;    /* until it runs at full speed */
	uint64_t announced;
} gate_backend_t;

typedef enum announcement_kind {
	ANNOUNCEMENT_NONE,  /* no announcement */
	ANNOUNCEMENT_STATE, /* what the backend server is */
	ANNOUNCEMENT_LEAVE  /* it is going; names instance and perhaps start only */
} announcement_kind_t;

/* What an announcement means beside the backend server known so far. */
typedef enum announcement_relation {
	ANNOUNCEMENT_SAME,	    /* of the start that is known */
	ANNOUNCEMENT_RESTARTED,	    /* of a new start; the one known is dead */
	ANNOUNCEMENT_STALE,	    /* late: of an earlier start, or overtaken */
	ANNOUNCEMENT_OTHER_INSTANCE /* of another instance while the known one is live */
} announcement_relation_t;

/*
 * known is all zero before the first announcement. A later start has a later
 * started_ms; where neither tells one, a change of boot is a restart.
 */
announcement_relation_t announcement_classify(
    const gate_backend_t *known, const gate_backend_t *announced);

/*
 * Reads a body; text is followed by a NUL that size does not count. Returns
 * NULL, or what is wrong with it. Sets neither live nor announced.
 */
const char *announcement_parse(const char *text, size_t size, gate_backend_t *backend);

#ifdef __cplusplus
}
#endif

#endif
