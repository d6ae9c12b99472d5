#include "retry.h"

#include <stdlib.h>
#include <string.h>

/* Rows of the hash table of budgets: a power of two, at most half of it in use. */
#define BUDGET_ROWS (2 * PRESET_SERVICES_MAX)

typedef struct budget {
	char service[NAME_BYTES]; /* empty: the row is free */
	double tokens;
	uint64_t last_request; /* number of the last request */
} budget_t;

struct retry {
	retry_kind_t kind;
	uint64_t requests;
	double tokens_max;
	size_t count;
	budget_t budgets[BUDGET_ROWS];
};

int
retry_create(retry_kind_t kind, retry_t **result)
{
	retry_t *retry = calloc(1, sizeof(*retry));

	if (retry == NULL)
		return MASTICPITCH_E_NOMEM;
	retry->kind = kind;
	retry->tokens_max = RETRY_TOKENS_MAX;
	*result = retry;
	return MASTICPITCH_OK;
}

void
retry_destroy(retry_t *retry)
{
	free(retry);
}

void
retry_tokens_max_set(retry_t *retry, double tokens)
{
	retry->tokens_max = MIN_OF(tokens, RETRY_TOKENS_MAX);
	for (size_t i = 0; i < BUDGET_ROWS; i++)
		retry->budgets[i].tokens =
		    MIN_OF(retry->budgets[i].tokens, retry->tokens_max);
}

/* The service's row, or the free one where it would be inserted. */
static size_t
budget_row(const retry_t *retry, const char *service)
{
	size_t row = hash_string(service) % BUDGET_ROWS;

	while (retry->budgets[row].service[0] != '\0' &&
	       strcmp(retry->budgets[row].service, service) != 0)
		row = (row + 1) % BUDGET_ROWS;
	return row;
}

/* Frees a row and reinserts the rows that linear probing placed after it. */
static void
budget_remove(retry_t *retry, size_t row)
{
	size_t next = row;

	retry->budgets[row].service[0] = '\0';
	retry->count--;
	for (;;) {
		budget_t moved;

		next = (next + 1) % BUDGET_ROWS;
		if (retry->budgets[next].service[0] == '\0')
			return;
		moved = retry->budgets[next];
		retry->budgets[next].service[0] = '\0';
		retry->budgets[budget_row(retry, moved.service)] = moved;
	}
}

static void
budget_evict_oldest(retry_t *retry)
{
	size_t oldest = BUDGET_ROWS;

	for (size_t i = 0; i < BUDGET_ROWS; i++) {
		if (retry->budgets[i].service[0] == '\0')
			continue;
		if (oldest == BUDGET_ROWS ||
		    retry->budgets[i].last_request < retry->budgets[oldest].last_request)
			oldest = i;
	}
	if (oldest != BUDGET_ROWS)
		budget_remove(retry, oldest);
}

static budget_t *
budget_get(retry_t *retry, const char *service)
{
	size_t row = budget_row(retry, service);

	if (retry->budgets[row].service[0] == '\0') {
		if (retry->count >= PRESET_SERVICES_MAX) {
			budget_evict_oldest(retry);
			row = budget_row(retry, service);
		}
		string_copy(retry->budgets[row].service, NAME_BYTES, service);
		retry->budgets[row].tokens =
		    MIN_OF(RETRY_TOKENS_INITIAL, retry->tokens_max);
		retry->count++;
	}
	retry->budgets[row].last_request = retry->requests;
	return &retry->budgets[row];
}

void
retry_request_record(retry_t *retry, const preset_service_t *service)
{
	budget_t *budget;

	if (service->name[0] == '\0')
		return;
	retry->requests++;
	budget = budget_get(retry, service->name);
	budget->tokens =
	    MIN_OF(budget->tokens + service->retry_percent / 100.0, retry->tokens_max);
}

/* Tokens that a class may not use. */
static double
tokens_reserved(const retry_t *retry, route_class_t route_class)
{
	if (route_class == ROUTE_INTERNAL)
		return 0;
	return MIN_OF(
	    RETRY_TOKENS_RESERVED, RETRY_RESERVED_SHARE_MAX * retry->tokens_max);
}

void
retry_token_debit(retry_t *retry, const preset_service_t *service)
{
	budget_get(retry, service->name)->tokens--;
}

double
retry_budget(const retry_t *retry, const char *service)
{
	size_t row = budget_row(retry, service);

	if (retry->budgets[row].service[0] == '\0')
		return MIN_OF(RETRY_TOKENS_INITIAL, retry->tokens_max);
	return retry->budgets[row].tokens;
}

bool
retry_time_suffices(uint64_t deadline, uint32_t min_attempt_ms, uint64_t now)
{
	return deadline > now && deadline - now >= min_attempt_ms * NS_PER_MS;
}

/* Refusals that any instance would give, or that only the caller can resolve. */
static bool
reason_is_permanent(reason_t reason)
{
	switch (reason) {
	case REASON_NO_CONFIGURATION:
	case REASON_NO_ROUTE:
	case REASON_BAD_REQUEST:
	case REASON_BAD_FRAMING:
	case REASON_HEADERS_TOO_LARGE:
	case REASON_PATH_TOO_LONG:
	case REASON_BODY_TOO_LARGE:
	case REASON_DEPTH_EXCEEDED:
	case REASON_DEADLINE_PASSED:
	case REASON_CRASH_SUSPECT:
	case REASON_TICKET_REQUIRED:
	case REASON_TICKET_EXPIRED:
	case REASON_TICKET_LOST:
	case REASON_TICKET_RUNNING:
	case REASON_TICKET_UNKNOWN:
	case REASON_TICKET_MISMATCH:
	case REASON_TICKET_NOT_KEPT:
	case REASON_CANCELLED:
		return true;
	default:
		return false;
	}
}

/*
 * Rules that prevent a second run of a request; they apply to every policy. After
 * RUN_YES an attempt is never retried: the caller needs the outcome of that run, not
 * another run.
 */
static retry_stop_t
stop_for_safety(const retry_request_t *request, const retry_failure_t *failure)
{
	if (request->answer_started)
		return RETRY_STOP_ANSWERED;
	if (failure->run == RUN_YES)
		return RETRY_STOP_RUN_STATE;
	if (!request->idempotent &&
	    (failure->run != RUN_NO || request->earlier_run != RUN_NO))
		return RETRY_STOP_RUN_STATE;
	if (!request->body_kept)
		return RETRY_STOP_BODY;
	return RETRY_STOP_NONE;
}

/* Full jitter, so that entries do not retry in step. */
static uint64_t
backoff_draw(uint32_t attempts_made, rng_t *rng)
{
	uint64_t max_ms = RETRY_BACKOFF_MS;

	for (uint32_t i = 1; i < attempts_made && max_ms < RETRY_BACKOFF_MS_MAX; i++)
		max_ms *= 2;
	return rng_below(rng, MIN_OF(max_ms, RETRY_BACKOFF_MS_MAX) * NS_PER_MS + 1);
}

static retry_stop_t
stop_for_limits(const retry_t *retry, budget_t *budget, const retry_request_t *request,
    const retry_failure_t *failure, uint64_t at)
{
	if (failure->final)
		return RETRY_STOP_FINAL;
	if (reason_is_permanent(failure->reason))
		return RETRY_STOP_PERMANENT;
	if (request->attempts_made >= request->attempts_max)
		return RETRY_STOP_ATTEMPTS;
	if (!retry_time_suffices(request->deadline, request->min_attempt_ms, at))
		return RETRY_STOP_DEADLINE;
	if (request->unsent)
		return RETRY_STOP_NONE;
	if (budget->tokens < 1 + tokens_reserved(retry, request->route_class))
		return RETRY_STOP_BUDGET;
	budget->tokens--;
	return RETRY_STOP_NONE;
}

static retry_stop_t
decide_adaptive(retry_t *retry, const preset_service_t *service,
    const retry_request_t *request, const retry_failure_t *failure, rng_t *rng,
    uint64_t now, uint64_t *at)
{
	retry_stop_t stop = stop_for_safety(request, failure);

	if (stop != RETRY_STOP_NONE)
		return stop;
	if (service->retry_percent == 0)
		return RETRY_STOP_BUDGET;
	*at = request->unsent ? now : now + backoff_draw(request->attempts_made, rng);
	/* Skips a backoff that would leave too little time for the attempt. */
	if (!retry_time_suffices(request->deadline, request->min_attempt_ms, *at))
		*at = now;
	return stop_for_limits(
	    retry, budget_get(retry, service->name), request, failure, *at);
}

static retry_stop_t
decide_naive(const retry_request_t *request, const retry_failure_t *failure, uint64_t now)
{
	retry_stop_t stop = stop_for_safety(request, failure);

	if (stop != RETRY_STOP_NONE)
		return stop;
	if (request->attempts_made >= request->attempts_max)
		return RETRY_STOP_ATTEMPTS;
	return request->deadline > now ? RETRY_STOP_NONE : RETRY_STOP_DEADLINE;
}

/*
 * A refusal is final if a retry by an entry up the call chain would multiply the
 * attempts, or would run a non-idempotent nested call again.
 */
static bool
stop_is_final(
    retry_stop_t stop, const retry_request_t *request, const retry_failure_t *failure)
{
	switch (stop) {
	case RETRY_STOP_ATTEMPTS:
	case RETRY_STOP_DEADLINE:
	case RETRY_STOP_BUDGET:
	case RETRY_STOP_FINAL:
		return true;
	case RETRY_STOP_NONE:
		return false;
	default:
		return failure->final || (failure->run != RUN_NO && !request->idempotent);
	}
}

retry_decision_t
retry_decide(retry_t *retry, const preset_service_t *service,
    const retry_request_t *request, const retry_failure_t *failure, rng_t *rng,
    uint64_t now)
{
	retry_decision_t decision = {.at = now,
	    .reason = failure->reason,
	    .run = MAX_OF(failure->run, request->earlier_run)};

	switch (retry->kind) {
	case RETRY_NAIVE:
		decision.stop = decide_naive(request, failure, now);
		decision.final = failure->final;
		break;
	case RETRY_ADAPTIVE:
	default:
		decision.stop = decide_adaptive(
		    retry, service, request, failure, rng, now, &decision.at);
		decision.final = stop_is_final(decision.stop, request, failure);
		if (decision.stop == RETRY_STOP_BUDGET)
			decision.reason = REASON_RETRY_BUDGET;
		break;
	}
	return decision;
}
