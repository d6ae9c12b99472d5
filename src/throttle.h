/*
 * Admission throttle: limits the share of new requests of each rank and class that a
 * gate admits while the services that these requests call are overloaded. A request
 * whose nested calls are refused fails after it has occupied a slot, and its calls
 * use capacity of the called service that more urgent work needs. Of the requests that
 * call the same service, the least urgent ones are reduced first. No I/O; times are
 * monotonic, ns. Not thread-safe.
 */
#ifndef MASTICPITCH_THROTTLE_H
#define MASTICPITCH_THROTTLE_H

#include "order.h"

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Minimum interval between two changes of a class's share, ms. */
#define THROTTLE_STEP_MS 100
/*
 * Attempt from which a refusal counts for the pressure. A gate refuses early what another
 * one may still serve in time: with each refusal counted, two in three lookups were
 * refused for bookings of which nine in ten were served; see docs/design/order.md.
 */
#define THROTTLE_PRESSURE_ATTEMPT 4
/* Pressure at a called service above which the share decreases. */
#define THROTTLE_PRESSURE_HIGH_PERCENT 15
/* Pressure up to which it increases again. */
#define THROTTLE_PRESSURE_LOW_PERCENT 5
/*
 * Fraction of nested calls that make their request miss its latency target: above
 * the high one the share decreases, up to the low one it increases again. A called
 * service may queue calls for long before it refuses any.
 */
#define THROTTLE_LATE_HIGH 0.25
#define THROTTLE_LATE_LOW 0.12
/* Weight of a new outcome in the smoothed fraction of late calls. */
#define THROTTLE_LATE_SAMPLE_WEIGHT 0.05
#define THROTTLE_DECREASE_FACTOR 0.9
#define THROTTLE_INCREASE 0.04
/* Minimum share, so that some calls are made and show a recovery. */
#define THROTTLE_SHARE_MIN 0.1
/* If no call ends for this time, the share increases, ms. */
#define THROTTLE_IDLE_MS 500

/* Ranks and classes with a share of their own; the one unused for longest is replaced. */
#define THROTTLE_ROWS_MAX 16

typedef struct throttle_row {
	bool used;
	order_key_t key;
	uint64_t called;     /* hash of the service that it called last; 0: not known */
	double share;	     /* admitted fraction of new requests */
	double tokens;	     /* admitting a request costs 1 */
	uint64_t step_at;    /* latest change of share */
	uint64_t outcome_at; /* latest end of a call */
	uint64_t short_at;   /* latest outcome that called for a reduction */
	double late;	     /* smoothed fraction of late calls */
} throttle_row_t;

/* Zero-initialized. */
typedef struct throttle {
	throttle_row_t rows[THROTTLE_ROWS_MAX];
} throttle_t;

/* The end of a nested call. */
typedef struct throttle_outcome {
	uint64_t called; /* hash of the name of the called service; 0: not known */
	/*
	 * Share of the calls there, of the same and of more urgent ranks, that are
	 * refused because of load, percent.
	 */
	uint32_t pressure;
	bool refused; /* this call was refused for load */
	bool late;    /* it took so long that the request misses its latency target */
} throttle_outcome_t;

/* Share of calls that a gate refuses because of load. Zero-initialized. */
typedef struct pressure {
	double refused; /* count; both decay with PRESSURE_HALF_LIFE_MS */
	double admitted;
	uint64_t updated_at;
} pressure_t;

/* Half-life of the counts behind a pressure, ms. */
#define PRESSURE_HALF_LIFE_MS 500
/* Decayed count of calls below which the pressure is reported as 0. */
#define PRESSURE_SAMPLES_MIN 4.0

void pressure_record(pressure_t *pressure, bool refused, uint64_t now);
uint32_t pressure_percent(const pressure_t *pressure, uint64_t now);

/*
 * Share of the arriving calls that cannot be in time at a gate above which late calls
 * leave THROTTLE_LATE_FREE_SLOTS free for those that can, percent. A burst of a few calls
 * causes less.
 */
#define THROTTLE_SHORTAGE_PERCENT 15
#define THROTTLE_LATE_FREE_SLOTS 1

/*
 * Whether late calls are to wait, see queue_late_hold(). shortage: arriving calls, as
 * refused those that could not be in time. running, running_max: calls at the backend
 * server.
 */
bool throttle_holds_late(
    const pressure_t *shortage, uint32_t running, uint32_t running_max, uint64_t now);

/* Ranks whose pressure is counted apart; the one unused for longest is replaced. */
#define PRESSURE_RANKS_MAX 8

/* Pressure by rank. Zero-initialized. */
typedef struct pressure_table {
	uint32_t ranks[PRESSURE_RANKS_MAX];
	pressure_t pressures[PRESSURE_RANKS_MAX];
} pressure_table_t;

void pressure_table_record(
    pressure_table_t *table, uint32_t rank, bool refused, uint64_t now);
/*
 * Pressure of the calls of a rank and of more urgent ones: refusals of less urgent
 * calls are no reason to send fewer of these.
 */
uint32_t pressure_table_percent(
    const pressure_table_t *table, uint32_t rank, uint64_t now);

typedef enum throttle_cause {
	THROTTLE_UNCHANGED,
	THROTTLE_REFUSED,  /* lowered: a call was refused */
	THROTTLE_PRESSURE, /* lowered: the called service refuses calls as urgent */
	THROTTLE_LATE,	   /* lowered: calls make their requests late */
	THROTTLE_ROOM	   /* raised */
} throttle_cause_t;

/* A change of one share. */
typedef struct throttle_change {
	throttle_cause_t cause;
	order_key_t key;
	double share;
} throttle_change_t;

/*
 * Records the end of a nested call made by a request of this key, and returns the
 * change that follows from it.
 */
throttle_change_t throttle_call_record(throttle_t *throttle, order_key_t key,
    const throttle_outcome_t *outcome, uint64_t now);
const char *throttle_cause_text(throttle_cause_t cause);
/*
 * True if a new request of this key is admitted; always for ROUTE_INTERNAL. Not
 * called for calls nested in running requests, which are always admitted.
 */
bool throttle_admit(throttle_t *throttle, order_key_t key, uint64_t now);
/* Smallest share over the ranks of a class, for reports, percent. */
uint32_t throttle_percent(const throttle_t *throttle, route_class_t route_class);

#ifdef __cplusplus
}
#endif

#endif
