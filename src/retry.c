#include "retry.h"

#include <stdlib.h>

struct retry {
	retry_kind_t kind;
};

int
retry_create(retry_kind_t kind, retry_t **retry)
{
	*retry = calloc(1, sizeof(**retry));
	return *retry != NULL ? MASTICPITCH_OK : MASTICPITCH_E_NOMEM;
}

void
retry_destroy(retry_t *retry)
{
	free(retry);
}

void
retry_request_record(retry_t *retry, const preset_service_t *service)
{
}

retry_decision_t
retry_decide(retry_t *retry, const preset_service_t *service,
    const retry_request_t *request, const retry_failure_t *failure, rng_t *rng,
    uint64_t now)
{
	retry_decision_t decision = {.stop = RETRY_STOP_BUDGET,
	    .at = now,
	    .reason = failure->reason,
	    .run = failure->run,
	    .final = failure->final};

	return decision;
}

double
retry_budget(const retry_t *retry, const char *service)
{
	return 0;
}

bool
retry_time_suffices(uint64_t deadline, uint32_t min_attempt_ms, uint64_t now)
{
	return deadline > now && deadline - now >= min_attempt_ms * NS_PER_MS;
}
