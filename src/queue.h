/*
 * The bounded queue of a gate: calls that wait for a place at the backend
 * server, in order of class (internal, call, lookup, upload), then deadline.
 * Calls whose answer can only come after its latency target wait apart and run
 * when nothing else waits: under overload they would else make every call late.
 * Items are intrusive; nothing is allocated. Times are monotonic, ns. One
 * thread; reads no clock.
 */
#ifndef MASTICPITCH_QUEUE_H
#define MASTICPITCH_QUEUE_H

#include "list.h"
#include "preset.h"
#include "reason.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Queue places for each slot, if the service's queue_limit is 0. */
#define QUEUE_LIMIT_PER_SLOT 4
/* Most calls waiting at a gate, whatever the settings say. */
#define QUEUE_LIMIT_MAX 4096
/* Calls of higher classes that may pass a waiting class in a row. */
#define QUEUE_BYPASS_MAX 8
/* A class at or below this share of the queue is not shed for others. */
#define QUEUE_CLASS_SHARE_PERCENT 12

/* Late calls that may wait, for each slot. */
#define QUEUE_LATE_PER_SLOT 1
/* Longest wait of a late call, share of the time to its deadline. */
#define QUEUE_LATE_WAIT_PERCENT 25

/* Embedded in the waiting call. */
typedef struct queue_item {
	list_t link;
	route_class_t route_class;
	uint64_t deadline;
	uint64_t target;    /* an answer by then is worth most; 0: no target */
	uint64_t give_up;   /* of a late item: refused if it has not started by then */
	bool late;	    /* waits apart */
	uint64_t queued_at; /* set by queue_push() */
	bool queued;	    /* set by queue_push(), cleared when it leaves */
} queue_item_t;

typedef struct queue_class {
	list_t items; /* by deadline, then arrival */
	uint32_t count;
	uint32_t passed;   /* calls of higher classes taken since the last own */
	double service_ns; /* smoothed time at the backend server; 0: no sample */
	uint64_t sampled_at;
} queue_class_t;

/* Embedded by the gate. */
typedef struct queue {
	queue_class_t classes[ROUTE_CLASS_COUNT];
	list_t late; /* by deadline */
	uint32_t late_count;
	uint32_t late_limit;
	uint32_t count; /* without the late ones */
	uint32_t limit;
	bool ordered; /* false: first come, first served, no shedding (naive) */
} queue_t;

/* Calls that may run at once; 0 counts as 1. */
typedef struct queue_capacity {
	uint32_t uploads;
	uint32_t non_uploads; /* calls of the other classes together */
} queue_capacity_t;

/* limit: 0: QUEUE_LIMIT_PER_SLOT x slots. ordered: false for the naive policy. */
void queue_init(queue_t *queue, uint32_t limit, uint32_t slots, bool ordered);
/* Changed settings or slots; queued calls above a smaller limit stay. */
void queue_limit_set(queue_t *queue, uint32_t limit, uint32_t slots);

/*
 * Adds an item. places: what the gate may run at once. Returns
 * REASON_NONE with the item queued; then *shed, if not NULL, is an item taken
 * out in its favour and is to be refused as not run with REASON_QUEUE_SHED.
 * Else the item is not queued and is refused as not run:
 * REASON_DEADLINE_PASSED; REASON_DEADLINE_TOO_SHORT: the expected wait and run
 * do not fit before its deadline; REASON_QUEUE_FULL: full, and it ranks last;
 * REASON_TARGET_MISSED: it would be late, and enough late ones wait.
 */
reason_t queue_push(queue_t *queue, queue_item_t *item, queue_capacity_t capacity,
    uint64_t now, queue_item_t **shed);
/*
 * Takes out the next item to run, or NULL. Call queue_expire() before. uploads,
 * others: whether an upload, or a call of another class, may start now; what
 * may not start is passed over.
 */
queue_item_t *queue_pop(queue_t *queue, bool uploads, bool non_uploads, uint64_t now);
/*
 * Takes out one item that cannot finish before its deadline, or NULL; it is to
 * be refused as not run with *reason (DEADLINE_PASSED, DEADLINE_TOO_SHORT or
 * TARGET_MISSED).
 */
queue_item_t *queue_expire(queue_t *queue, uint64_t now, reason_t *reason);
/* The earliest deadline of an item, or TIME_NEVER. */
uint64_t queue_next_deadline(const queue_t *queue);
/* Takes out a cancelled item; an item not queued is left alone. */
void queue_remove(queue_t *queue, queue_item_t *item);
/* Takes out any item, or NULL; for the end of the backend server. */
queue_item_t *queue_drain(queue_t *queue);

/* A call of the class ended after this time at the backend server. */
void queue_service_record(
    queue_t *queue, route_class_t route_class, uint64_t duration_ns, uint64_t now);
/* Expected time until a new item of this class and deadline would start, ns. */
uint64_t queue_wait_expected(const queue_t *queue, route_class_t route_class,
    uint64_t deadline, queue_capacity_t capacity, uint64_t now);
uint32_t queue_length(const queue_t *queue);
/* Uploads among them. */
uint32_t queue_uploads(const queue_t *queue);

#ifdef __cplusplus
}
#endif

#endif
