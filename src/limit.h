/*
 * Limits on concurrent work: limit_entry_t bounds what an entry has in flight
 * for each class and each service; limit_gate_t adapts how many calls a gate
 * runs at once. Times are monotonic, ns. One thread; reads no clock.
 */
#ifndef MASTICPITCH_LIMIT_H
#define MASTICPITCH_LIMIT_H

#include "preset.h"
#include "reason.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Share of an entry's requests that is kept free for each class. What no
 * class has reserved goes to whoever comes first.
 */
#define LIMIT_CLASS_RESERVED_PERCENT 15

/*
 * Share of an entry's requests, the last ones free for a class, of which each
 * service may take only its first. Without it some ten lagging services take
 * every place one after another.
 */
#define LIMIT_SERVICE_MARGIN_PERCENT 10

typedef struct limit_entry limit_entry_t;

/* What a request holds until limit_entry_release(). */
typedef struct limit_permit {
	route_class_t route_class;
	uint32_t service; /* row in the table of services */
	bool held;
} limit_permit_t;

/*
 * requests_max: requests in flight altogether, at least 1. enforced false (the
 * naive policy): only requests_max holds. Errors: MASTICPITCH_E_NOMEM.
 */
int limit_entry_create(uint32_t requests_max, bool enforced, limit_entry_t **limit);
/* NULL is allowed. */
void limit_entry_destroy(limit_entry_t *limit);
/*
 * REASON_NONE: the permit is held. REASON_ENTRY_LIMIT, REASON_CLASS_LIMIT or
 * REASON_SERVICE_LIMIT: nothing changed. A service may have at most its
 * in_flight_limit (0: no such bound) and at most as many requests as places
 * are still free for the class, so some are always left to other services.
 */
reason_t limit_entry_acquire(limit_entry_t *limit, const preset_service_t *service,
    route_class_t route_class, limit_permit_t *permit);
/* Releasing a permit twice changes nothing. */
void limit_entry_release(limit_entry_t *limit, limit_permit_t *permit);
uint32_t limit_entry_in_flight(const limit_entry_t *limit);
uint32_t limit_entry_class_in_flight(
    const limit_entry_t *limit, route_class_t route_class);

/*
 * Samples of one step of the adaptive limit (fewer if fewer calls run at once)
 * and its shortest time, ms.
 */
#define LIMIT_WINDOW_SAMPLES 8
#define LIMIT_WINDOW_MS 50
/*
 * Share of the slots that uploads leave to the other classes, rounded up. An
 * upload lasts as long as its caller's link needs, often minutes.
 */
#define LIMIT_NON_UPLOAD_RESERVED_PERCENT 30
/* The long-term minimum is over the current and the last period of this, ms. */
#define LIMIT_MINIMUM_PERIOD_MS 30000
/* Smoothed latency over the minimum above which the limit shrinks. */
#define LIMIT_RATIO_HIGH 2.0
/* The same below which it grows while it is in use. */
#define LIMIT_RATIO_LOW 1.5
/*
 * Part of a smoothed latency above the minimum that is no sign of overload, us.
 * Scheduling on a shared host delays single calls by a few milliseconds, many
 * times the minimum of calls that take 1 to 2 ms.
 */
#define LIMIT_SLACK_US 4000
/* Factor of one decrease. */
#define LIMIT_DECREASE_FACTOR 0.85

/* Latency of one class at a gate, us. */
typedef struct limit_latency {
	double smoothed;
	uint32_t samples;    /* counted up to the fewest that make a baseline */
	double minimum;	     /* of the current period; 0: no sample */
	double minimum_last; /* of the period before; 0: no sample */
} limit_latency_t;

/* Embedded by the gate; read through the functions. */
typedef struct limit_gate {
	bool adaptive;
	uint32_t slots;
	double limit;
	limit_latency_t latency[ROUTE_CLASS_COUNT];
	uint64_t minimum_since;
	uint64_t window_since;
	uint32_t window_samples;
	double window_ratio; /* sum of latency over minimum */
	uint32_t window_running;
	bool window_overload;
	double decrease_limit; /* when decreases began; 0: none under way */
	double decrease_ratio; /* the highest since then */
	double latency_us;     /* smoothed over all classes */
	uint64_t created;
	uint64_t seen;	     /* the latest time that was given */
	uint32_t uploads;    /* open */
	uint32_t open_count; /* open exchanges of the other classes */
	uint64_t open_since; /* sum of their starts after created */
} limit_gate_t;

/* slots: announced by the backend server, at least 1. Starts at slots. */
void limit_gate_init(limit_gate_t *limit, uint32_t slots, bool adaptive, uint64_t now);
/* A changed announcement; keeps what is known otherwise. */
void limit_gate_slots_set(limit_gate_t *limit, uint32_t slots);
/*
 * An exchange starts or ends, however it ends; started is the now of its start.
 * The age of open exchanges shows a lag before the first late answer comes;
 * uploads are left out of it.
 */
void limit_gate_start(limit_gate_t *limit, route_class_t route_class, uint64_t now);
void limit_gate_end(
    limit_gate_t *limit, route_class_t route_class, uint64_t started, uint64_t now);
/*
 * An exchange ended with an answer after latency_ns; running: calls other than
 * uploads that were running when it started, with itself. Uploads are left
 * out, their time is the caller's.
 */
void limit_gate_record(limit_gate_t *limit, route_class_t route_class,
    uint64_t latency_ns, uint32_t running, uint64_t now);
/* The backend server shed a call or let its deadline pass. */
void limit_gate_overload(limit_gate_t *limit, uint64_t now);
/* Calls other than uploads that may run at once, from 1 to slots. */
uint32_t limit_gate_current(const limit_gate_t *limit);
/*
 * Whether another exchange of the class may start. Uploads count against the
 * slots, not against the adaptive limit, and leave the kept share to the other
 * classes unless there is only one slot.
 */
bool limit_gate_admits(const limit_gate_t *limit, route_class_t route_class);
/* Places that the other classes have beside the open uploads. */
uint32_t limit_gate_non_uploads_max(const limit_gate_t *limit);
/* Uploads that may be open at once, at least 1. */
uint32_t limit_gate_uploads_max(const limit_gate_t *limit);
/* All exchanges that may be open beside the open uploads, with these; for load reports.
 */
uint32_t limit_gate_total_max(const limit_gate_t *limit);
/* Open exchanges that are not uploads. */
uint32_t limit_gate_non_uploads(const limit_gate_t *limit);
/*
 * For load reports: the smoothed latency, or the mean age of open exchanges if
 * that is longer; 0: neither is known yet.
 */
uint32_t limit_gate_latency_us(const limit_gate_t *limit);

#ifdef __cplusplus
}
#endif

#endif
