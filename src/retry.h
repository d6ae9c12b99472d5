/*
 * Whether a failed attempt may be repeated, when, and at whose cost: a budget
 * of retries for each service. Times are monotonic, ns. One thread; reads no
 * clock.
 */
#ifndef MASTICPITCH_RETRY_H
#define MASTICPITCH_RETRY_H

#include "preset.h"
#include "reason.h"
#include "util.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Request body kept for resending, bytes. */
#define RETRY_BODY_MAX_BYTES (64 * 1024)
/* Retries that a service may save up, and has at the start. */
#define RETRY_TOKENS_MAX 20
#define RETRY_TOKENS_INITIAL 10
/*
 * The last ones of them are for internal calls: under overload the refused
 * lookups would use up every token, and a slow internal call stalls all others.
 */
#define RETRY_TOKENS_RESERVED 5
/* But at most this part of what may be saved up. */
#define RETRY_RESERVED_SHARE_MAX 0.25
/* Longest wait before the second attempt, ms; doubled for each further one. */
#define RETRY_BACKOFF_MS 4
#define RETRY_BACKOFF_MS_MAX 100

typedef enum retry_kind {
	RETRY_ADAPTIVE,
	RETRY_NAIVE /* at once, until attempts are used up; no budget, no final mark */
} retry_kind_t;

typedef struct retry retry_t;

/* The request as the entry sees it after a failed attempt. */
typedef struct retry_request {
	bool idempotent;
	bool body_kept;		 /* all body bytes sent so far are still held */
	bool answer_started;	 /* the caller has got an answer head */
	uint32_t attempts_made;	 /* with the one that failed */
	uint32_t attempts_max;	 /* of the route */
	uint32_t min_attempt_ms; /* of the route */
	uint64_t deadline;
	/*
	 * Worst run state of the attempts before the one that failed: the run of
	 * the last decision, RUN_NO at first. An idempotent lookup that was repeated
	 * after unknown and then refused as not run is unknown to its caller.
	 */
	run_state_t run_before;
	route_class_t route_class;
	/*
	 * The attempt never reached a backend server, and others may be asked: it
	 * costs them nothing, so neither budget nor backoff apply.
	 */
	bool unsent;
} retry_request_t;

/* Why and how the attempt failed. */
typedef struct retry_failure {
	reason_t reason;
	run_state_t run;
	bool final; /* marked by a gate or an entry further down */
} retry_failure_t;

typedef enum retry_stop {
	RETRY_STOP_NONE,      /* repeat the attempt */
	RETRY_STOP_ANSWERED,  /* the caller has got an answer head */
	RETRY_STOP_RUN_STATE, /* it may have been run and is not idempotent */
	RETRY_STOP_PERMANENT, /* every instance would refuse it alike */
	RETRY_STOP_FINAL,
	RETRY_STOP_BODY,
	RETRY_STOP_ATTEMPTS,
	RETRY_STOP_DEADLINE,
	RETRY_STOP_BUDGET
} retry_stop_t;

typedef struct retry_decision {
	retry_stop_t stop; /* RETRY_STOP_NONE: the next attempt starts at at */
	uint64_t at;
	/* For the refusal to the caller, unless the attempt is repeated. */
	reason_t reason;
	run_state_t run; /* over all attempts */
	bool final;	 /* mark the answer, so that no entry above repeats it */
} retry_decision_t;

/* Errors: MASTICPITCH_E_NOMEM. */
int retry_create(retry_kind_t kind, retry_t **retry);
/* NULL is allowed. */
void retry_destroy(retry_t *retry);
/*
 * Caps what a service may save up at this entry, where a bound holds over all
 * entries together; RETRY_TOKENS_MAX is the most.
 */
void retry_tokens_max_set(retry_t *retry, double tokens);

/*
 * Counts a caller's request (not an attempt) towards the service's budget.
 * The budgets of at most PRESET_SERVICES_MAX services are kept; the one not
 * used for longest gives way.
 */
void retry_request_record(retry_t *retry, const preset_service_t *service);
/* Decides after a failed attempt; takes one token if the answer is to repeat. */
retry_decision_t retry_decide(retry_t *retry, const preset_service_t *service,
    const retry_request_t *request, const retry_failure_t *failure, rng_t *rng,
    uint64_t now);
/* The budget left to a service, in retries. */
double retry_budget(const retry_t *retry, const char *service);
/*
 * Whether an attempt may start at all: enough time is left before the
 * deadline for the route's min_attempt_ms.
 */
bool retry_time_suffices(uint64_t deadline, uint32_t min_attempt_ms, uint64_t now);

#ifdef __cplusplus
}
#endif

#endif
