/*
 * Reasons of refusals and retries, and what is known about whether a request
 * was run. Any thread.
 */
#ifndef MASTICPITCH_REASON_H
#define MASTICPITCH_REASON_H

#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef enum reason {
#define REASON(symbol, text, status, meaning) REASON_##symbol,
#include "reason.def"
#undef REASON
	REASON_COUNT
} reason_t;

/* Whether the backend server may have run a request. */
typedef enum run_state {
	RUN_NO,	     /* certainly not run */
	RUN_UNKNOWN, /* may or may not have been run */
	RUN_YES	     /* certainly run */
} run_state_t;

/* Text for the Masticpitch-Reason header; "none" for an invalid number. */
const char *reason_text(reason_t reason);
/* HTTP status that goes with the reason. */
int reason_status(reason_t reason);
/* One line for people. */
const char *reason_meaning(reason_t reason);
/* Whether a gate or its backend server refused because of its load. */
bool reason_is_overload(reason_t reason);
/* "no", "unknown" or "yes", for the Masticpitch-Run header. */
const char *run_state_text(run_state_t run);

#ifdef __cplusplus
}
#endif

#endif
