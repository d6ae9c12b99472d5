/*
 * Reasons for refusals and retries, and the run state of a request: whether a
 * backend server has run it. Any thread.
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

/* Text of the Masticpitch-Reason header; "none" for an invalid number. */
const char *reason_text(reason_t reason);
/* HTTP status of a refusal with this reason. */
int reason_status(reason_t reason);
/* Description in one line, for error bodies and documentation. */
const char *reason_meaning(reason_t reason);
/* True if a gate or its backend server refused because of overload. */
bool reason_is_overload(reason_t reason);
/* Text of the Masticpitch-Run header: "no", "unknown" or "yes". */
const char *run_state_text(run_state_t run);

#ifdef __cplusplus
}
#endif

#endif
