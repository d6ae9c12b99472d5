/*
 * The state of a decider on rollouts. Private to the files rollout_decider.c,
 * rollout_calls.c, rollout_members.c and rollout_free.c.
 */
#ifndef MASTICPITCH_ROLLOUT_INTERNAL_H
#define MASTICPITCH_ROLLOUT_INTERNAL_H

#include "rollout_decider.h"
#include "util.h"

typedef struct decider_member {
	uint64_t node;
	uint64_t incarnation;
	bool usable; /* takes steps: not down, and reachable */
	instance_state_t state;
	char service[NAME_BYTES];
	char release[NAME_BYTES];
	uint64_t ready_at; /* 0: not ready */
	char zone[ZONE_BYTES];
} decider_member_t;

typedef struct decider_report {
	uint64_t node;
	rollout_mode_t mode;
	uint32_t others_in_flight;
	rollout_counts_t target;
	rollout_counts_t base;
} decider_report_t;

typedef struct decider_item {
	rollout_order_t order;
	rollout_mode_t mode;
	uint64_t seen_at;	 /* the order; earlier if the store says so */
	uint64_t mode_at;	 /* start of the mode */
	bool withdrawn;		 /* the order is gone */
	bool restored;		 /* state and status were read since the order is known */
	rollout_mode_t kept;	 /* mode in the store */
	bool claimed;		 /* kept was written under the lease held now */
	uint64_t state_revision; /* 0: no such key */
	rollout_outcome_t written;
	rollout_verdict_t verdict;
	uint64_t verdict_at;
	uint64_t watched_at; /* the sample is watched without a pause since then */
	uint64_t window_at;  /* start of the newer window */
	struct decider_sums {
		rollout_counts_t target;
		rollout_counts_t base;
	} windows[2];  /* sums at the start of the older and the newer window */
	bool doubtful; /* the last answers are worse, but that may be chance */
	bool moves;    /* the verdict is good: FULL as soon as it is in the store */
	bool changed;
	uint64_t step_at; /* next one is due */
	decider_report_t *reports;
	size_t report_count;
	size_t report_capacity;
} decider_item_t;

typedef struct decider_status {
	char service[NAME_BYTES];
	char release[NAME_BYTES];
	rollout_outcome_t outcome;
	uint64_t revision;
} decider_status_t;

/* Releases of all services that a decider tells apart. */
#define ROLLOUT_RELEASES_MAX 256

/* A release that instances announce, see rollout_free.c. */
typedef struct decider_release {
	char service[NAME_BYTES];
	char release[NAME_BYTES];
	uint64_t seen_at;
	size_t instances;
	bool free; /* it serves without an order */
	uint64_t step_at;
} decider_release_t;

struct rollout_decider {
	rollout_decider_options_t options;
	int rank; /* negative: no relay */
	decider_member_t *members;
	size_t member_count;
	size_t member_capacity;
	decider_item_t *items[ROLLOUT_ITEMS_MAX];
	size_t item_count;
	decider_status_t statuses[ROLLOUT_ITEMS_MAX];
	size_t status_count;
	/* Calls on the store: the watch, and one other. */
	bool watch_pending;
	bool call_pending;
	uint64_t call_sent_at;
	uint64_t retry_at;
	uint64_t watch_at; /* next watch or list */
	uint64_t after;
	uint64_t orders_read_at; /* start of the last read; 0: none */
	/* Services whose order could not be read then. */
	char unreadable[ROLLOUT_ITEMS_MAX][NAME_BYTES];
	size_t unreadable_count;
	decider_release_t releases[ROLLOUT_RELEASES_MAX];
	size_t release_count;
	bool orders_needed;
	bool states_needed;
	bool statuses_needed;
	size_t item_called; /* of the put in flight */
	rollout_mode_t mode_called;
	rollout_outcome_t outcome_called;
	/* The lease. */
	uint64_t lease; /* 0: none */
	bool leads;	/* the leader's key is this node's */
	uint64_t lease_until;
	uint64_t renew_at;
	uint64_t compete_at;
	uint64_t heard_at; /* last step of another node that decides */
};

/* rollout_decider.c */
/* DONE and STOPPED: nothing follows for the same order. */
bool rollout_mode_is_final(rollout_mode_t mode);
/* True if nothing is left to decide or to write. */
bool rollout_item_is_closed(const decider_item_t *item);
bool rollout_has_open_items(const rollout_decider_t *decider);
void rollout_item_mode_set(decider_item_t *item, rollout_mode_t mode, uint64_t now);
void rollout_item_free(decider_item_t *item);
/* Time since the order was seen, ms. */
uint64_t rollout_elapsed_ms(const decider_item_t *item, uint64_t now);
/* A decider that started after the order takes the deadline from an earlier one. */
void rollout_seen_at_lower(decider_item_t *item, uint64_t elapsed, uint64_t now);
/* Usable members that have not moved, or still wait for answers of old instances. */
size_t rollout_nodes_missing(
    const rollout_decider_t *decider, const decider_item_t *item);

/* rollout_free.c */
/* Lets releases serve that no order names. */
void rollout_free_tick(rollout_decider_t *decider, uint64_t now);
/* As rollout_decider_step(). */
bool rollout_free_step(rollout_decider_t *decider, uint64_t now, rollout_step_t *step,
    uint64_t *nodes, size_t max, size_t *count);

/* rollout_members.c */
decider_member_t *rollout_member_find(const rollout_decider_t *decider, uint64_t node);
decider_report_t *rollout_report_find(const decider_item_t *item, uint64_t node);
/*
 * Ready instances of the service: of the release, or with others all others. The time
 * at which the first one was ready is lowered to *ready_first, which may be NULL.
 */
size_t rollout_instances_count(const rollout_decider_t *decider,
    const rollout_order_t *order, bool others, uint64_t *ready_first);
decider_item_t *rollout_item_find(
    const rollout_decider_t *decider, const char *service, const char *release);

#endif
