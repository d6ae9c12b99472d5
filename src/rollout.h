/*
 * Types of rollouts: a service's traffic is moved to instances of another release, which
 * run beside the old ones. docs/design/rollout.md describes the procedure. Times are
 * monotonic, ns, unless a name says otherwise.
 */
#ifndef MASTICPITCH_ROLLOUT_H
#define MASTICPITCH_ROLLOUT_H

#include "member_types.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Rollouts of one service, and services with rollouts, that a node keeps. */
#define ROLLOUT_TARGETS_MAX 4
#define ROLLOUT_SERVICES_MAX 32
/* Routes of a service that are told apart, by a hash of their names. */
#define ROLLOUT_ROUTE_SLOTS 16
/* Two latency buckets for each power of two, from 1 ms to 8 s. */
#define ROLLOUT_LATENCY_BUCKETS 26

/*
 * What a step allows. For one order a node only goes to a later mode; STOPPED and DONE
 * are final, and FULL is followed by DONE only: the old instances may be about to end. A
 * message that is late, or from a decider that lost its lease, moves nothing back.
 */
typedef enum rollout_mode {
	ROLLOUT_HOLD,	 /* no requests */
	ROLLOUT_SAMPLE,	 /* a share of the requests, for a limited time */
	ROLLOUT_FULL,	 /* all requests; the old instances still run */
	ROLLOUT_DONE,	 /* all requests */
	ROLLOUT_STOPPED, /* no requests: a bad release, or its order was withdrawn */
	ROLLOUT_FREE,	 /* no order names the release; it serves like any other */
	ROLLOUT_MODE_COUNT
} rollout_mode_t;

/* What the operator asks for. */
typedef struct rollout_order {
	char service[NAME_BYTES];
	char release[NAME_BYTES];
	uint32_t ramp_ms;  /* from the order to its deadline */
	uint64_t revision; /* of its key in the store */
} rollout_order_t;

/* What the nodes are told. */
typedef struct rollout_step {
	char service[NAME_BYTES];
	char release[NAME_BYTES];
	uint64_t order; /* revision of the order; 0 with FREE */
	rollout_mode_t mode;
	uint32_t permille;   /* SAMPLE: of the answered requests */
	uint32_t instances;  /* SAMPLE: over so many instances */
	uint64_t elapsed_ms; /* since the order; for the next decider */
} rollout_step_t;

/* Answers of one route; latencies without the wait at the gate. */
typedef struct rollout_route_counts {
	uint32_t answers;
	uint32_t failures;
	uint32_t latencies[ROLLOUT_LATENCY_BUCKETS];
} rollout_route_counts_t;

typedef struct rollout_counts {
	rollout_route_counts_t routes[ROLLOUT_ROUTE_SLOTS];
} rollout_counts_t;

/* What one entry saw of a rollout since it began to send to the release. */
typedef struct rollout_report {
	char service[NAME_BYTES];
	char release[NAME_BYTES];
	uint64_t order;
	rollout_mode_t mode;	   /* in force there */
	uint32_t others_in_flight; /* attempts at instances that no longer serve */
	uint64_t elapsed_ms;	   /* since the order, by the steps it got */
	rollout_counts_t target;
	rollout_counts_t base; /* instances that serve, at the same time */
} rollout_report_t;

/* "hold", "sample", ... for logs and the store. */
const char *rollout_mode_text(rollout_mode_t mode);
/* Errors: MASTICPITCH_E_INVALID. */
int rollout_mode_parse(const char *text, rollout_mode_t *mode);

#ifdef __cplusplus
}
#endif

#endif
