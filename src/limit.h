/*
 * Concurrency limits: limit_entry_t bounds an entry's requests in flight for each
 * class and each service; limit_gate_t adapts how many calls a gate runs concurrently
 * to the latency of the backend server. Times are monotonic, ns. Not thread-safe;
 * callers pass the current time.
 */
#ifndef MASTICPITCH_LIMIT_H
#define MASTICPITCH_LIMIT_H

#include "preset.h"
#include "reason.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Share of an entry's requests_max that is reserved for each class. The rest is
 * shared by all classes in order of arrival.
 */
#define LIMIT_CLASS_RESERVED_PERCENT 15

/*
 * Share of an entry's requests_max. When no more than this is still available to
 * a class, a service is admitted only if it has nothing in flight. Without this
 * margin about ten slow services in succession use up the entry's limit.
 */
#define LIMIT_SERVICE_MARGIN_PERCENT 10

typedef struct limit_entry limit_entry_t;

/* One admitted request; held until limit_entry_release(). */
typedef struct limit_permit {
	route_class_t route_class;
	uint32_t service; /* row in the table of services */
	bool held;
} limit_permit_t;

/*
 * requests_max: requests in flight over all classes and services, at least 1.
 * enforced: if false (the naive policy), only requests_max applies. Errors:
 * MASTICPITCH_E_NOMEM.
 */
int limit_entry_create(uint32_t requests_max, bool enforced, limit_entry_t **limit);
/* NULL is allowed. */
void limit_entry_destroy(limit_entry_t *limit);
/*
 * REASON_NONE: the permit is held. REASON_ENTRY_LIMIT, REASON_CLASS_LIMIT or
 * REASON_SERVICE_LIMIT: nothing changed. A service may have at most its
 * in_flight_limit (0: no such bound) requests in flight, and no more than are
 * still available to the class, so that some are always left to other services.
 */
reason_t limit_entry_acquire(limit_entry_t *limit, const preset_service_t *service,
    route_class_t route_class, limit_permit_t *permit);
/* No effect on a permit that is not held. */
void limit_entry_release(limit_entry_t *limit, limit_permit_t *permit);
uint32_t limit_entry_in_flight(const limit_entry_t *limit);
uint32_t limit_entry_class_in_flight(
    const limit_entry_t *limit, route_class_t route_class);

/*
 * The adaptive limit changes once a window. A window has at least this many
 * samples (fewer if fewer calls run concurrently) and this duration, ms.
 */
#define LIMIT_WINDOW_SAMPLES 8
#define LIMIT_WINDOW_MS 50
/*
 * Share of the slots that uploads may not use, rounded up. The duration of an
 * upload depends on the caller's link and is often minutes.
 */
#define LIMIT_NON_UPLOAD_RESERVED_PERCENT 30
/* The minimum latency is taken over the current and the previous such period, ms. */
#define LIMIT_MINIMUM_PERIOD_MS 30000
/* Ratio of smoothed to minimum latency above which the limit decreases. */
#define LIMIT_RATIO_HIGH 2.0
/* Ratio below which the limit increases, provided that it is fully used. */
#define LIMIT_RATIO_LOW 1.5
/*
 * Excess of the smoothed latency over the minimum that does not count as overload,
 * us. Scheduling on a shared host delays single calls by a few milliseconds, many
 * times the minimum of calls that take 1 to 2 ms.
 */
#define LIMIT_SLACK_US 4000
/* The limit is multiplied by this on each decrease. */
#define LIMIT_DECREASE_FACTOR 0.85

/* Latency of one class at a gate, us. */
typedef struct limit_latency {
	double smoothed;
	uint32_t samples;	 /* counted up to BASELINE_SAMPLES_MIN */
	double minimum;		 /* of the current period; 0: no sample */
	double minimum_previous; /* of the previous period; 0: no sample */
} limit_latency_t;

/* Embedded in the gate; accessed through the functions below. */
typedef struct limit_gate {
	bool adaptive;
	uint32_t slots;
	double limit;
	limit_latency_t latency[ROUTE_CLASS_COUNT];
	uint64_t minimum_started_at;
	uint64_t window_started_at;
	uint32_t window_samples;
	double window_ratio; /* sum of latency over minimum */
	uint32_t window_running;
	bool window_overload;
	double decrease_limit; /* limit at the first decrease of a series; 0: none */
	double decrease_ratio; /* highest ratio in the series */
	double latency_us;     /* smoothed over all classes */
	uint64_t created_at;
	uint64_t updated_at;	   /* latest time passed to start or end */
	uint32_t uploads;	   /* open */
	uint32_t open_count;	   /* open exchanges of the other classes */
	uint64_t open_started_sum; /* sum of their start times, relative to created_at */
} limit_gate_t;

/* slots: announced by the backend server, at least 1. The limit starts at slots. */
void limit_gate_init(limit_gate_t *limit, uint32_t slots, bool adaptive, uint64_t now);
/* Applies a changed announcement; latencies and the rest of the state are kept. */
void limit_gate_slots_set(limit_gate_t *limit, uint32_t slots);
/*
 * Record that an exchange starts or ends, with or without an answer. started_at:
 * the now passed at its start. The age of the open exchanges, uploads excepted,
 * shows a slow backend server before its first late answer.
 */
void limit_gate_start(limit_gate_t *limit, route_class_t route_class, uint64_t now);
void limit_gate_end(
    limit_gate_t *limit, route_class_t route_class, uint64_t started_at, uint64_t now);
/*
 * Records that an exchange ended with an answer after latency_ns. running: calls
 * other than uploads that were running when it started, including itself. Uploads
 * are ignored, since their duration depends on the caller.
 */
void limit_gate_record(limit_gate_t *limit, route_class_t route_class,
    uint64_t latency_ns, uint32_t running, uint64_t now);
/* Records that the backend server shed a call or missed its deadline. */
void limit_gate_overload(limit_gate_t *limit, uint64_t now);
/* Calls other than uploads that may run concurrently, from 1 to slots. */
uint32_t limit_gate_current(const limit_gate_t *limit);
/*
 * Whether another exchange of the class may start. Uploads count against the
 * slots, not against the adaptive limit, and leave the reserved share to the other
 * classes unless there is only one slot.
 */
bool limit_gate_admits(const limit_gate_t *limit, route_class_t route_class);
/* Calls other than uploads that may run beside the open uploads. */
uint32_t limit_gate_non_uploads_max(const limit_gate_t *limit);
/* Uploads that may be open concurrently, at least 1. */
uint32_t limit_gate_uploads_max(const limit_gate_t *limit);
/* Exchanges that may be open, including the open uploads; for load reports. */
uint32_t limit_gate_total_max(const limit_gate_t *limit);
/* Open exchanges other than uploads. */
uint32_t limit_gate_non_uploads(const limit_gate_t *limit);
/*
 * Latency for load reports: the smoothed latency, or the mean age of the open
 * exchanges if that is longer. 0: neither is available yet.
 */
uint32_t limit_gate_latency_us(const limit_gate_t *limit);

#ifdef __cplusplus
}
#endif

#endif
