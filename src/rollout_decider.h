/*
 * Decides on the steps of rollouts. Every relay follows the operator's orders; the one
 * that holds the lease of a key in the store steps and writes. A plain state machine:
 * events in, at most one call on the store and the steps to send out; no socket, no
 * clock. See docs/design/rollout.md.
 */
#ifndef MASTICPITCH_ROLLOUT_DECIDER_H
#define MASTICPITCH_ROLLOUT_DECIDER_H

#include "platform.h"
#include "rollout.h"
#include "rollout_verdict.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Lease of the deciding node, and its renewal, ms. */
#define ROLLOUT_LEASE_MS 3000
#define ROLLOUT_LEASE_RENEW_MS 1000
/* A holder stops this long before the store may have ended its lease, ms. */
#define ROLLOUT_LEASE_MARGIN_MS 500
/* Each further zone's relay waits this much longer before it tries to decide, ms. */
#define ROLLOUT_TURN_MS 1500
/* Interval at which steps are repeated, ms. */
#define ROLLOUT_STEP_INTERVAL_MS 500
/* New instances run cold at first: sampled only so long after they are ready, ms. */
#define ROLLOUT_WARMUP_MS 3000
/* Share of the bound on exposure that is used. */
#define ROLLOUT_EXPOSURE_PERCENT 65
/* Share of the ramp until the traffic moves; the rest is for the move itself. */
#define ROLLOUT_OBSERVE_PERCENT 65
/* All nodes have moved at least so long before completion is written, ms. */
#define ROLLOUT_SETTLE_MS 300
#define ROLLOUT_ITEMS_MAX 32
/* Longest wait of a watch on the server, ms; also the native dialect's list interval. */
#define ROLLOUT_WATCH_MS 20000
#define ROLLOUT_LIST_INTERVAL_MS 2000

typedef enum rollout_outcome {
	ROLLOUT_NOT_WRITTEN,
	ROLLOUT_RUNNING,
	ROLLOUT_COMPLETED,
	ROLLOUT_ROLLED_BACK
} rollout_outcome_t;

/* What the operator reads, one for each service. */
typedef struct rollout_status {
	char service[NAME_BYTES];
	char release[NAME_BYTES];
	rollout_outcome_t outcome;
	uint64_t revision;
} rollout_status_t;

/* What a decider keeps in the store for the next one. */
typedef struct rollout_state {
	char service[NAME_BYTES];
	char release[NAME_BYTES];
	uint64_t order;
	rollout_mode_t mode;
	uint64_t elapsed_ms; /* since the order was seen */
	uint64_t revision;
} rollout_state_t;

typedef enum rollout_call_kind {
	ROLLOUT_CALL_ORDERS,   /* list the orders */
	ROLLOUT_CALL_WATCH,    /* wait for a change of the orders */
	ROLLOUT_CALL_STATES,   /* list the states */
	ROLLOUT_CALL_STATUSES, /* list what the operator reads */
	ROLLOUT_CALL_LEASE,
	ROLLOUT_CALL_RENEW,
	ROLLOUT_CALL_REVOKE,
	ROLLOUT_CALL_LEADER, /* put the leader's key, which must not exist */
	ROLLOUT_CALL_STATE,  /* put */
	ROLLOUT_CALL_STATUS  /* put, guarded by the state's revision */
} rollout_call_kind_t;

typedef struct rollout_call {
	rollout_call_kind_t kind;
	uint64_t lease;
	uint64_t after;		 /* WATCH */
	rollout_state_t state;	 /* STATE: revision expected; STATUS: guard */
	rollout_status_t status; /* STATUS: revision expected */
} rollout_call_t;

/* The answer to a call, with the lists that it holds. */
typedef struct rollout_answer {
	rollout_call_kind_t kind;
	platform_outcome_t outcome;
	uint64_t revision;
	uint64_t store_revision;
	uint64_t lease;
	const rollout_order_t *orders;
	size_t order_count;
	/* Services whose order cannot be read; what runs there goes on. */
	const char (*unreadable)[NAME_BYTES];
	size_t unreadable_count;
	const rollout_state_t *states;
	size_t state_count;
	const rollout_status_t *statuses;
	size_t status_count;
} rollout_answer_t;

typedef struct rollout_decider rollout_decider_t;

typedef struct rollout_decider_options {
	uint64_t node;
	char zone[ZONE_BYTES];
	uint32_t exposure_percent; /* of a service's requests */
	bool watches;		   /* the store can wait for a change of the orders */
} rollout_decider_options_t;

/* One rollout, for status and logs. */
typedef struct rollout_view {
	rollout_order_t order;
	rollout_mode_t mode;
	rollout_outcome_t written;
	rollout_verdict_t verdict;
	uint64_t elapsed_ms;
	uint32_t answers;
	size_t nodes_missing; /* not moved yet */
	bool changed;	      /* since the last call of rollout_decider_changed() */
} rollout_view_t;

/* NULL: no memory. */
rollout_decider_t *rollout_decider_create(const rollout_decider_options_t *options);
void rollout_decider_destroy(rollout_decider_t *decider);
/* rank: among the relays that may decide; negative: this node is none. */
void rollout_decider_rank_set(rollout_decider_t *decider, int rank, uint64_t now);
void rollout_decider_member_update(
    rollout_decider_t *decider, const member_t *member, uint64_t now);
void rollout_decider_member_remove(rollout_decider_t *decider, uint64_t node);
/* A step from another node. */
void rollout_decider_step_heard(
    rollout_decider_t *decider, const rollout_step_t *step, uint64_t now);
void rollout_decider_report(rollout_decider_t *decider, uint64_t node,
    const rollout_report_t *report, uint64_t now);
/* Advances what depends on time. */
void rollout_decider_tick(rollout_decider_t *decider, uint64_t now);
/* The next call on the store; it counts as started. False: none now. */
bool rollout_decider_call(rollout_decider_t *decider, uint64_t now, rollout_call_t *call);
void rollout_decider_answer(
    rollout_decider_t *decider, const rollout_answer_t *answer, uint64_t now);
/*
 * The steps that are due, each with the nodes to send it to; returns false after the
 * last one. nodes has room for max.
 */
bool rollout_decider_step(rollout_decider_t *decider, uint64_t now, rollout_step_t *step,
    uint64_t *nodes, size_t max, size_t *count);
bool rollout_decider_leads(const rollout_decider_t *decider, uint64_t now);
/* True while it has work that depends on time. */
bool rollout_decider_is_active(const rollout_decider_t *decider);
size_t rollout_decider_member_count(const rollout_decider_t *decider);
size_t rollout_decider_views(
    rollout_decider_t *decider, uint64_t now, rollout_view_t *views, size_t max);

#ifdef __cplusplus
}
#endif

#endif
