/*
 * Counters and latencies of the caller stand-in, printed as one JSON object.
 */
#ifndef MASTICPITCH_COMMON_REPORT_H
#define MASTICPITCH_COMMON_REPORT_H

#include "masticpitch/masticpitch.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define REASONS_MAX 64

typedef enum load_class {
	LOAD_LOOKUP,
	LOAD_CALL,
	LOAD_UPLOAD,
	LOAD_INTERNAL,
	LOAD_CRASH,
	LOAD_CLASSES
} load_class_t;

typedef enum outcome {
	OUTCOME_ANSWERED,
	OUTCOME_REFUSED, /* answered as not run, or connection not established */
	/* Connection lost before the answer's head, or answered as unknown. */
	OUTCOME_UNKNOWN,
	OUTCOME_FAILED, /* the backend server's own error answer */
	OUTCOME_WRONG,	/* complete answer with incorrect content */
	OUTCOME_CUT,	/* connection lost after the head; the caller detects it */
	OUTCOMES
} outcome_t;

typedef struct reason_count {
	char text[64];
	outcome_t outcome;
	uint64_t count;
} reason_count_t;

typedef struct report {
	uint64_t sent;
	uint64_t not_sent; /* due while the limit of requests in flight was reached */
	uint64_t failovers;
	uint64_t counts[LOAD_CLASSES][OUTCOMES];
	float *latencies[LOAD_CLASSES]; /* ms */
	size_t latency_counts[LOAD_CLASSES];
	reason_count_t reasons[REASONS_MAX];
	size_t reason_count;
} report_t;

const char *report_class_text(load_class_t load_class);
const char *report_outcome_text(outcome_t outcome);
/*
 * The report must be zeroed. capacity: number of requests that are added at most.
 * Errors: MASTICPITCH_E_NOMEM.
 */
int report_init(report_t *report, size_t capacity);
void report_free(report_t *report);
/* latency: ns; kept for answered requests only. reason: of the other outcomes. */
void report_add(report_t *report, load_class_t load_class, outcome_t outcome,
    const char *reason, uint64_t latency);
void report_print(report_t *report);
/* True for classes whose requests must not run more than once. */
bool load_class_is_non_idempotent(load_class_t load_class);

#endif
