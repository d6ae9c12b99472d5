/*
 * Bounded queue of a gate for calls that wait for a slot of the backend server,
 * ordered by rank and class, see order.h, then by deadline. Calls that can only be
 * answered after their latency target wait in a separate late queue, by rank, and run
 * when nothing else waits: in the main queue they would make every call late under
 * overload. Items are intrusive; nothing is allocated. Times are monotonic, ns. Not
 * thread-safe; callers pass the current time.
 */
#ifndef MASTICPITCH_QUEUE_H
#define MASTICPITCH_QUEUE_H

#include "list.h"
#include "order.h"
#include "reason.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Queue limit per slot, used if the service's queue_limit is 0. */
#define QUEUE_LIMIT_PER_SLOT 4
/* Upper bound of the queue limit, regardless of the settings. */
#define QUEUE_LIMIT_MAX 4096
/*
 * Consecutive calls that may be taken before a waiting band of a class, for each band
 * of that class that waits: the bands of a class together get no more than one turn in
 * QUEUE_BYPASS_MAX + 1 ahead of their order, however many ranks there are.
 */
#define QUEUE_BYPASS_MAX 8
/*
 * Nested calls of a less urgent rank that may be taken ahead of a waiting band of new
 * requests. Nested calls are short and the work of their requests is spent; with them
 * behind more urgent new requests, or at every second turn only, three times as many
 * lookups were refused and few bookings more were served; see docs/design/order.md.
 */
#define QUEUE_BYPASS_NESTED_MAX 3
/*
 * Ranks of one class that wait apart. The calls of further ranks join those of the next
 * rank that is less urgent. Two levels of workspaces and three of routes give six.
 */
#define QUEUE_RANKS_MAX 8
#define QUEUE_BANDS_MAX (QUEUE_RANKS_MAX * ROUTE_CLASS_COUNT)
/*
 * A call that has no room displaces one of its band whose workspace has this many times
 * as much waiting for its rate. Small queues hold one call more or less of a workspace
 * by chance.
 */
#define QUEUE_WORKSPACE_EXCESS 2
/* Calls of a class that fills at most this share of the queue limit are not shed. */
#define QUEUE_CLASS_SHARE_PERCENT 12

/*
 * Share of the time between an item's expected run and its target that it may be expected
 * to wait. Run times vary: with all of it, half of the calls that waited were late.
 */
#define QUEUE_SLACK_PERCENT 40
/*
 * Run time that is assumed for a class without any sample, as a share of the time to the
 * target of the first call that waits. A gate that has just started filled its queue
 * otherwise, with calls that could not be in time.
 */
#define QUEUE_RUN_ASSUMED_PERCENT 50
/* Limit of the late queue per slot. */
#define QUEUE_LATE_PER_SLOT 1
/* Maximum wait of a late call as a share of the time left to its deadline. */
#define QUEUE_LATE_WAIT_PERCENT 25

/* Embedded in the waiting call. */
typedef struct queue_item {
	list_t link;
	uint32_t rank;
	route_class_t route_class;
	uint64_t workspace; /* hash of its name; 0: none */
	/* Rate that its quota allows; 0: no quota. Workspaces share room by it. */
	double workspace_rate;
	uint64_t deadline;
	uint64_t target; /* latency target as a point in time; 0: none */
	/* Refused if it is late and has not started by then; 0: it was not late yet. */
	uint64_t give_up_at;
	bool late;		 /* in the late queue */
	uint64_t queued_at;	 /* set by queue_push() */
	bool queued;		 /* set by queue_push(), cleared when it leaves */
	struct queue_band *band; /* if queued and not late */
} queue_item_t;

/* The waiting calls of one rank and class. */
typedef struct queue_band {
	order_key_t key;
	list_t items; /* by deadline, then arrival */
	uint32_t count;
	uint32_t bypassed; /* calls of other bands taken ahead since the last of this */
} queue_band_t;

typedef struct queue_class {
	queue_band_t bands[QUEUE_RANKS_MAX];
	uint32_t bands_waiting;
	uint32_t count;
	double service_ns; /* smoothed time at the backend server; 0: no sample */
	bool assumed;	   /* service_ns is no sample, see QUEUE_RUN_ASSUMED_PERCENT */
	uint64_t sampled_at;
} queue_class_t;

/* Embedded by the gate, and not moved: the bands' lists refer to themselves. */
typedef struct queue {
	queue_class_t classes[ROUTE_CLASS_COUNT];
	queue_band_t
	    *waiting[QUEUE_BANDS_MAX]; /* bands with items, by order_key_compare() */
	uint32_t waiting_count;
	list_t late; /* by rank, then deadline */
	uint32_t late_count;
	uint32_t late_limit;
	bool late_held; /* see queue_late_hold() */
	uint32_t count; /* without the late items */
	uint32_t limit;
	bool prioritized; /* false (naive policy): first come first served, no shedding */
} queue_t;

/* What a gate can run. */
typedef struct queue_capacity {
	/* Calls that may run concurrently; 0 counts as 1. */
	uint32_t uploads;
	uint32_t non_uploads; /* calls of the other classes together */
	/* Rate limit: earliest start of the next call, time between two starts, ns. */
	uint64_t start_at;
	uint64_t interval; /* 0: no limit */
} queue_capacity_t;

/*
 * limit: 0 for QUEUE_LIMIT_PER_SLOT x slots. prioritized: false for the naive
 * policy.
 */
void queue_init(queue_t *queue, uint32_t limit, uint32_t slots, bool prioritized);
/* Applies changed settings or slots; queued calls beyond a lower limit stay. */
void queue_limit_set(queue_t *queue, uint32_t limit, uint32_t slots);

/*
 * Adds an item. capacity: calls that the gate may run concurrently. Returns
 * REASON_NONE with the item queued; then *shed, if not NULL, is an item that was
 * removed to make room, for a more urgent one or for one of a workspace that has less
 * waiting, and is to be refused as not run with REASON_QUEUE_SHED.
 * Otherwise the item is not queued and is to be refused as not run:
 * REASON_DEADLINE_PASSED; REASON_DEADLINE_TOO_SHORT: the expected wait and run do
 * not fit before its deadline; REASON_QUEUE_FULL: the queue is full and the item
 * has the lowest priority; REASON_TARGET_MISSED: the item would be late, and the
 * late queue is full of calls that are as urgent, or its turn at the rate limit comes
 * after it is given up.
 */
reason_t queue_push(queue_t *queue, queue_item_t *item, queue_capacity_t capacity,
    uint64_t now, queue_item_t **shed);
/*
 * Removes and returns the next item to run, or NULL. Call queue_expire() first.
 * uploads, non_uploads: whether an upload, or a call of another class, may start
 * now; items that may not start are skipped.
 */
queue_item_t *queue_pop(queue_t *queue, bool uploads, bool non_uploads, uint64_t now);
/*
 * Removes and returns one item that cannot finish before its deadline or is late
 * and past its give_up_at, or NULL. It is to be refused as not run with *reason
 * (DEADLINE_PASSED, DEADLINE_TOO_SHORT or TARGET_MISSED).
 */
queue_item_t *queue_expire(queue_t *queue, uint64_t now, reason_t *reason);
/*
 * Whether late calls are to wait although a call may start. A late call that starts
 * makes the next arrivals wait for its slot, and under sustained overload they are late
 * for that reason. Arriving calls that would be late are refused as TARGET_MISSED
 * meanwhile: held at one gate after the other, they waited for most of their time and
 * were refused in the end; see docs/design/order.md.
 */
void queue_late_hold(queue_t *queue, bool held);
/* Earliest deadline of all items; TIME_NEVER if the queue is empty. */
uint64_t queue_next_deadline(const queue_t *queue);
/* Removes a cancelled item; no effect on an item that is not queued. */
void queue_remove(queue_t *queue, queue_item_t *item);
/* Removes and returns any item, or NULL; used when the backend server has ended. */
queue_item_t *queue_drain(queue_t *queue);

/* Records the time that a call of the class spent at the backend server. */
void queue_service_record(
    queue_t *queue, route_class_t route_class, uint64_t duration_ns, uint64_t now);
/* Expected time until a new item of this key and deadline would start, ns. */
uint64_t queue_wait_expected(const queue_t *queue, order_key_t key, uint64_t deadline,
    queue_capacity_t capacity, uint64_t now);
/* Queued items, with late ones. */
uint32_t queue_length(const queue_t *queue);
/* Queued uploads, without late ones. */
uint32_t queue_uploads(const queue_t *queue);

#ifdef __cplusplus
}
#endif

#endif
