/*
 * Choice of an instance for an attempt: the instance table of one entry and
 * what the entry has seen of each instance. Times are monotonic, ns. One
 * thread; reads no clock and draws random numbers only from the given rng.
 */
#ifndef MASTICPITCH_BALANCE_H
#define MASTICPITCH_BALANCE_H

#include "member_types.h"
#include "message.h"
#include "preset.h"
#include "util.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Instances in the table; the bound of the member table. */
#define BALANCE_INSTANCES_MAX 8192
/*
 * Failures in a row that eject an instance. Attempts that one event ends
 * together, for example a lost connection, count as one.
 */
#define BALANCE_FAILURES_MAX 5
/* First ejection, ms; doubled by each further one. */
#define BALANCE_EJECTION_MS 2000
#define BALANCE_EJECTION_MS_MAX 60000
/* Largest share of a service's instances that are ejected at once. */
#define BALANCE_EJECTED_PERCENT_MAX 50

typedef enum balance_kind {
	BALANCE_ADAPTIVE,
	BALANCE_NAIVE /* round robin over all ready instances */
} balance_kind_t;

typedef struct balance balance_t;

/*
 * One attempt in flight. Filled by balance_attempt_start() and handed to one
 * of the closing functions; closing twice changes nothing.
 */
typedef struct balance_attempt {
	uint64_t node;
	uint64_t generation; /* of the instance; an older one is ignored */
	uint64_t started;
	route_class_t route_class;
	bool long_answer;
	bool open;
} balance_attempt_t;

/* What a request needs of an instance. */
typedef struct balance_need {
	route_class_t route_class;
	uint32_t answer_bytes; /* as expected; 0: not known */
} balance_request_t;

/* What balancing knows of one instance, for operators. */
typedef struct balance_view {
	uint64_t node;
	char service[NAME_BYTES];
	char zone[ZONE_BYTES];
	instance_state_t state;
	bool reachable;
	bool usable; /* may be chosen now */
	bool ejected;
	uint64_t ejected_until;	 /* 0: not ejected */
	uint32_t in_flight;	 /* from this entry */
	load_report_t load;	 /* last report of the gate */
	uint32_t latency_us;	 /* smoothed, request written to answer head */
	uint32_t weight_percent; /* below 100 during slow start */
	uint64_t successes;
	uint64_t failures;
} balance_view_t;

/*
 * zone and region are the entry's own. Errors: MASTICPITCH_E_NOMEM,
 * MASTICPITCH_E_LIMIT (zone or region too long).
 */
int balance_create(
    balance_kind_t kind, const char *zone, const char *region, balance_t **balance);
/* NULL is allowed. */
void balance_destroy(balance_t *balance);

/*
 * Adds or updates the instance of a member (MESSAGE_MEMBER). A member without
 * an instance, or down, is removed. Errors: MASTICPITCH_E_LIMIT (table full),
 * MASTICPITCH_E_NOMEM; then the member is not in the table.
 */
int balance_member_update(balance_t *balance, const member_t *member, uint64_t now);
/* Attempts still open on the instance are closed later without effect. */
void balance_member_remove(balance_t *balance, uint64_t node);

/*
 * Chooses an instance of the service for the next attempt; excluded are the
 * nodes already tried for this request. service gives name, spill_percent and
 * slow_start_ms. Errors: MASTICPITCH_E_NOT_FOUND (no usable instance; with
 * exclusions, an instance already tried may still be usable).
 */
int balance_choose(balance_t *balance, const preset_service_t *service,
    const uint64_t *excluded, size_t excluded_count, rng_t *rng, uint64_t now,
    uint64_t *node);

/*
 * The same with more known of the request. balance_choose() takes it as a
 * ROUTE_CALL with a short answer; internal calls should come through here, since
 * lookups that wait at a gate do not delay them, and calls with long answers,
 * since these wait for the link of the instance's host.
 */
int balance_choose_for(balance_t *balance, const preset_service_t *service,
    const balance_request_t *need, const uint64_t *excluded, size_t excluded_count,
    rng_t *rng, uint64_t now, uint64_t *node);

/*
 * The node of this entry: its instance needs no link, and is compared with those
 * that are drawn.
 */
void balance_local_set(balance_t *balance, uint64_t node);

/* Records the start of an attempt. An unknown node gives a closed attempt. */
void balance_attempt_start(balance_t *balance, uint64_t node,
    const balance_request_t *need, uint64_t now, balance_attempt_t *attempt);
/*
 * The answer head has come. The attempt stays open, and counted in flight,
 * until balance_attempt_end(). A status of 500 or more counts as a failure in
 * the success rate, not towards consecutive failures.
 */
void balance_attempt_answer(balance_t *balance, balance_attempt_t *attempt, int status,
    const load_report_t *load, uint64_t now);
/* The gate refused; closes the attempt. load may be NULL. */
void balance_attempt_refused(balance_t *balance, balance_attempt_t *attempt,
    reason_t reason, const load_report_t *load, uint64_t now);
/* Stream lost, answer cut or deadline passed without answer; closes the attempt. */
void balance_attempt_failed(balance_t *balance, balance_attempt_t *attempt, uint64_t now);
/* The answer is complete or the caller hung up; closes the attempt. */
void balance_attempt_end(balance_t *balance, balance_attempt_t *attempt, uint64_t now);

/* Instances in the table. */
size_t balance_instance_count(const balance_t *balance);
/*
 * Writes views of a service's instances, or of all with service NULL, at most
 * max; returns how many were written.
 */
size_t balance_views(const balance_t *balance, const preset_service_t *service,
    uint64_t now, balance_view_t *views, size_t max);

#ifdef __cplusplus
}
#endif

#endif
