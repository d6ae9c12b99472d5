/*
 * Load balancing: chooses the instance for an attempt. Holds the instance table
 * of one entry with the outcomes, latencies and load reports that the entry has
 * recorded for each instance. Times are monotonic, ns. Not thread-safe; reads no clock
 * and draws random numbers only from the given rng.
 */
#ifndef MASTICPITCH_BALANCE_H
#define MASTICPITCH_BALANCE_H

#include "capacity_route.h"
#include "member_types.h"
#include "message.h"
#include "preset.h"
#include "rollout_step.h"
#include "util.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Most instances in the table; the same bound as that of the member table. */
#define BALANCE_INSTANCES_MAX 8192
/*
 * Consecutive failures that eject an instance. Attempts that one event ends
 * together, for example a lost connection, count as one failure.
 */
#define BALANCE_FAILURES_MAX 5
/* Length of the first ejection, ms; each further one takes twice as long. */
#define BALANCE_EJECTION_MS 2000
#define BALANCE_EJECTION_MS_MAX 60000
/* Largest share of a service's ready instances that may be ejected at a time. */
#define BALANCE_EJECTED_PERCENT_MAX 50

typedef enum balance_kind {
	BALANCE_ADAPTIVE,
	BALANCE_NAIVE /* round robin over all ready instances */
} balance_kind_t;

typedef struct balance balance_t;

/*
 * One attempt in flight. Filled by balance_attempt_start() and passed to one
 * of the closing functions; closing it twice has no effect.
 */
typedef struct balance_attempt {
	uint64_t node;
	uint64_t generation; /* of the instance; ignored if it was replaced since */
	uint64_t started_at;
	route_class_t route_class;
	bool long_answer;
	bool open;
	uint32_t route;	    /* hash of its name */
	bool nested_failed; /* set before the answer is recorded */
} balance_attempt_t;

/* Properties of a request that the choice depends on. */
typedef struct balance_request {
	route_class_t route_class;
	uint32_t answer_bytes; /* expected; 0: not known */
	/* What an answer of the route takes on a typical server; 0: not known. */
	capacity_duration_t duration;
	uint64_t target; /* an answer by then has full value; 0: none */
	uint32_t route;	 /* hash of its name */
} balance_request_t;

/* State of one instance as the balancer sees it, for operators. */
typedef struct balance_view {
	uint64_t node;
	char service[NAME_BYTES];
	char zone[ZONE_BYTES];
	instance_state_t state;
	bool reachable;
	bool usable; /* ready, reachable, not ejected, not suspect */
	bool ejected;
	uint64_t ejected_until;	 /* 0: not ejected */
	uint32_t in_flight;	 /* from this entry */
	load_report_t load;	 /* last report from the gate */
	uint32_t latency_us;	 /* moving average, request written to answer head */
	uint32_t weight_percent; /* below 100 during slow start */
	uint64_t successes;
	uint64_t failures;
	char release[NAME_BYTES];
	rollout_role_t role;
} balance_view_t;

/*
 * zone and region are the entry's own. Errors: MASTICPITCH_E_NOMEM,
 * MASTICPITCH_E_LIMIT (zone or region too long).
 */
int balance_create(
    balance_kind_t kind, const char *zone, const char *region, balance_t **balance);
/* balance may be NULL. */
void balance_destroy(balance_t *balance);

/*
 * Adds or updates the instance of a member (MESSAGE_MEMBER). A member without
 * an instance, or one that is down, is removed. Errors: MASTICPITCH_E_LIMIT (table
 * full), MASTICPITCH_E_NOMEM; in both cases the member is not in the table.
 */
int balance_member_update(balance_t *balance, const member_t *member, uint64_t now);
/* Attempts that are still open on the instance are closed later without effect. */
void balance_member_remove(balance_t *balance, uint64_t node);

/*
 * Chooses an instance of the service for the next attempt of a ROUTE_CALL with a
 * short answer. excluded holds the nodes already tried for this request. Of service
 * only name, spill_percent and slow_start_ms are read. Errors:
 * MASTICPITCH_E_NOT_FOUND (none can be chosen; an excluded one may still be possible).
 */
int balance_choose(balance_t *balance, const preset_service_t *service,
    const uint64_t *excluded, size_t excluded_count, rng_t *rng, uint64_t now,
    uint64_t *node);

/*
 * Like balance_choose(), for the given kind of request. It matters for internal
 * calls, which lookups queued at a gate do not delay, and for calls with long
 * answers, which wait for the link of the instance's host.
 */
int balance_choose_for(balance_t *balance, const preset_service_t *service,
    const balance_request_t *request, const uint64_t *excluded, size_t excluded_count,
    rng_t *rng, uint64_t now, uint64_t *node);

/*
 * Sets the node of this entry. Its instance needs no link, so it is always compared
 * with the randomly sampled ones. 0: not known.
 */
void balance_local_set(balance_t *balance, uint64_t node);

/*
 * Whether the hosts of the service's instances report how long work takes on them at
 * present. The choice then follows the chance of an answer within the target, and calls
 * may be moved and attempted twice.
 */
bool balance_hosts_report(const balance_t *balance, const char *service);
/* What an answer of the instance is expected to take, us; 0: not known. */
double balance_expected_us(const balance_t *balance, uint64_t node,
    const balance_request_t *request, uint64_t now);
/* Share of the useful capacity of the service's usable instances that is in use. */
double balance_utilisation(const balance_t *balance, const char *service, uint64_t now);

/* Records the start of an attempt. For an unknown node the attempt is closed. */
void balance_attempt_start(balance_t *balance, uint64_t node,
    const balance_request_t *request, uint64_t now, balance_attempt_t *attempt);
/*
 * Records that the answer head was received. The attempt stays open, and in
 * flight, until balance_attempt_end(). A status of 500 or more counts as a failure
 * in the success rate, not towards consecutive failures. load may be NULL.
 */
void balance_attempt_answer(balance_t *balance, balance_attempt_t *attempt, int status,
    const load_report_t *load, uint64_t now);
/* Records that the gate refused; closes the attempt. load may be NULL. */
void balance_attempt_refused(balance_t *balance, balance_attempt_t *attempt,
    reason_t reason, const load_report_t *load, uint64_t now);
/*
 * Records a lost stream, an answer cut short or a deadline that passed without an
 * answer; closes the attempt.
 */
void balance_attempt_failed(balance_t *balance, balance_attempt_t *attempt, uint64_t now);
/* The answer is complete or the caller has disconnected; closes the attempt. */
void balance_attempt_end(balance_t *balance, balance_attempt_t *attempt, uint64_t now);

/*
 * From now on a release of a service gets requests only as rollouts allow: a second one
 * waits for its step. Without this call all instances serve. extra: requests of all
 * entries that a new release may get beyond its share; rollback_ms: a bad one gets none
 * after it, 0: not given.
 */
void balance_rollouts_enable(balance_t *balance, uint32_t extra, uint32_t rollback_ms);
rollout_accept_t balance_step_accept(
    balance_t *balance, const rollout_step_t *step, uint64_t now);
/* What this entry saw of a rollout; false: it has no such step. */
bool balance_rollout_report(const balance_t *balance, const rollout_step_t *step,
    uint64_t now, rollout_report_t *report);
/* Requests sent to releases as samples. */
uint64_t balance_sampled_count(const balance_t *balance);

/* Number of instances in the table. */
size_t balance_instance_count(const balance_t *balance);
/*
 * Writes views of at most max instances of the service, or of all services if
 * service is NULL (weight_percent then ignores slow start); returns how many it
 * wrote.
 */
size_t balance_views(const balance_t *balance, const preset_service_t *service,
    uint64_t now, balance_view_t *views, size_t max);

#ifdef __cplusplus
}
#endif

#endif
