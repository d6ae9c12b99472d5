/*
 * Announcements that a backend server posts to the node on its host: parsing, and
 * comparison with the backend server known so far; see docs/design.md section 12.
 * Callable from any thread.
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
	double load;		  /* as announced, 0 to 1 */
	char release[NAME_BYTES]; /* version of its software; empty: not given */
	uint64_t started_ms;	  /* wall clock of its start; 0: not given */
	uint64_t sequence;  /* grows with each announcement of a start; 0: not given */
	uint32_t cold_ms;   /* left until it runs at full speed */
	uint64_t announced; /* time of the last announcement, monotonic ns */
} gate_backend_t;

typedef enum announcement_kind {
	ANNOUNCEMENT_NONE,  /* the request is no announcement */
	ANNOUNCEMENT_STATE, /* state of the backend server */
	ANNOUNCEMENT_LEAVE  /* it leaves; only instance and perhaps start are given */
} announcement_kind_t;

/* How an announcement relates to the backend server known so far. */
typedef enum announcement_relation {
	ANNOUNCEMENT_SAME,	    /* of the known start */
	ANNOUNCEMENT_RESTARTED,	    /* of a new start; the known one has ended */
	ANNOUNCEMENT_STALE,	    /* of an earlier start, or overtaken by a later one */
	ANNOUNCEMENT_OTHER_INSTANCE /* of another instance while the known one is live */
} announcement_relation_t;

/*
 * known is all zero before the first announcement. If both give started_ms, an
 * earlier one is stale; if not, another instance replaces the known one only when
 * that is not live. A changed boot id is a restart.
 */
announcement_relation_t announcement_classify(
    const gate_backend_t *known, const gate_backend_t *announced);

/*
 * Parses a body; text is followed by a NUL that size does not count. Returns NULL,
 * or a constant error text. Sets neither live nor announced.
 */
const char *announcement_parse(const char *text, size_t size, gate_backend_t *backend);

#ifdef __cplusplus
}
#endif

#endif
