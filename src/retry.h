/*
 * Retry policy: whether and when a failed attempt is retried, within a retry budget
 * for each service. Times are monotonic, ns. Not thread-safe; reads no clock.
 */
#ifndef MASTICPITCH_RETRY_H
#define MASTICPITCH_RETRY_H

#include "preset.h"
#include "reason.h"
#include "util.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Largest part of a request body that is kept for retries, bytes. */
#define RETRY_BODY_MAX_BYTES (64 * 1024)
/* Capacity and initial content of a service's budget, retries (one token each). */
#define RETRY_TOKENS_MAX 20
#define RETRY_TOKENS_INITIAL 10
/*
 * Tokens reserved for internal calls: under overload the refused lookups would
 * otherwise use up every token, and a slow internal call stalls all others.
 */
#define RETRY_TOKENS_RESERVED 5
/* The reserve is at most this share of the budget's capacity. */
#define RETRY_RESERVED_SHARE_MAX 0.25
/* Longest backoff before the second attempt, ms; doubled for each further one. */
#define RETRY_BACKOFF_MS 4
#define RETRY_BACKOFF_MS_MAX 100

typedef enum retry_kind {
	RETRY_ADAPTIVE,
	RETRY_NAIVE /* immediate, up to attempts_max; no budget, no final mark */
} retry_kind_t;

typedef struct retry retry_t;

/* State of the request after a failed attempt. */
typedef struct retry_request {
	bool idempotent;
	bool body_kept;		 /* all body bytes sent so far are still held */
	bool answer_started;	 /* the caller has received an answer head */
	uint32_t attempts_made;	 /* including the one that failed */
	uint32_t attempts_max;	 /* of the route */
	uint32_t min_attempt_ms; /* of the route */
	uint64_t deadline;
	/*
	 * Worst run state of the attempts before the one that failed: the run of
	 * the last decision, initially RUN_NO. An idempotent lookup whose first attempt
	 * ended as unknown and whose retry was refused as not run is reported to its
	 * caller as unknown.
	 */
	run_state_t earlier_run;
	route_class_t route_class;
	/*
	 * The attempt never reached a backend server and other instances may be tried:
	 * it caused no load, so neither budget nor backoff apply.
	 */
	bool unsent;
} retry_request_t;

/* How the attempt failed. */
typedef struct retry_failure {
	reason_t reason;
	run_state_t run;
	bool final; /* marked by a gate or by an entry further down the call chain */
} retry_failure_t;

typedef enum retry_stop {
	RETRY_STOP_NONE,      /* retry the attempt */
	RETRY_STOP_ANSWERED,  /* the caller has received an answer head */
	RETRY_STOP_RUN_STATE, /* it was run, or may have been and is not idempotent */
	RETRY_STOP_PERMANENT, /* every instance would refuse it */
	RETRY_STOP_FINAL,     /* the failure is marked final */
	RETRY_STOP_BODY,      /* the request body is not held completely */
	RETRY_STOP_ATTEMPTS,  /* attempts_max is reached */
	RETRY_STOP_DEADLINE,  /* less than min_attempt_ms is left */
	RETRY_STOP_BUDGET     /* no token left for this class, or retry_percent is 0 */
} retry_stop_t;

typedef struct retry_decision {
	retry_stop_t stop;
	uint64_t at; /* start of the next attempt, valid if stop is RETRY_STOP_NONE */
	/* Contents of the refusal to the caller if the attempt is not retried. */
	reason_t reason;
	run_state_t run; /* over all attempts */
	bool final;	 /* mark the refusal so that no entry up the call chain retries */
} retry_decision_t;

/* Errors: MASTICPITCH_E_NOMEM. */
int retry_create(retry_kind_t kind, retry_t **retry);
/* retry may be NULL. */
void retry_destroy(retry_t *retry);
/*
 * Sets the capacity of each service's budget at this entry, its share of a bound for
 * all entries together. At most RETRY_TOKENS_MAX; excess tokens are dropped.
 */
void retry_tokens_max_set(retry_t *retry, double tokens);

/*
 * Counts a caller's request (not an attempt): adds retry_percent / 100 tokens to the
 * service's budget. Budgets of at most PRESET_SERVICES_MAX services are kept; the
 * least recently used one is evicted.
 */
void retry_request_record(retry_t *retry, const preset_service_t *service);
/*
 * Decides after a failed attempt. A retry takes one token, unless request->unsent or
 * the policy is RETRY_NAIVE.
 */
retry_decision_t retry_decide(retry_t *retry, const preset_service_t *service,
    const retry_request_t *request, const retry_failure_t *failure, rng_t *rng,
    uint64_t now);
/*
 * Takes a token for a second attempt, which has a bound of its own: retries wait until
 * requests have paid for it.
 */
void retry_token_debit(retry_t *retry, const preset_service_t *service);
/* The retries left in the service's budget. */
double retry_budget(const retry_t *retry, const char *service);
/*
 * Whether an attempt may start: at least min_attempt_ms (of the route) is left before
 * the deadline.
 */
bool retry_time_suffices(uint64_t deadline, uint32_t min_attempt_ms, uint64_t now);

#ifdef __cplusplus
}
#endif

#endif
