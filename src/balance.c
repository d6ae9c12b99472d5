#include "balance.h"

#include <stdlib.h>

struct balance {
	balance_kind_t kind;
};

int
balance_create(
    balance_kind_t kind, const char *zone, const char *region, balance_t **balance)
{
	*balance = calloc(1, sizeof(**balance));
	if (*balance == NULL)
		return MASTICPITCH_E_NOMEM;
	(*balance)->kind = kind;
	return MASTICPITCH_OK;
}

void
balance_destroy(balance_t *balance)
{
	free(balance);
}

int
balance_member_update(balance_t *balance, const member_t *member, uint64_t now)
{
	return MASTICPITCH_OK;
}

void
balance_member_remove(balance_t *balance, uint64_t node)
{
}

int
balance_choose(balance_t *balance, const preset_service_t *service,
    const uint64_t *excluded, size_t excluded_count, rng_t *rng, uint64_t now,
    uint64_t *node)
{
	return MASTICPITCH_E_NOT_FOUND;
}

void
balance_attempt_start(balance_t *balance, uint64_t node, route_class_t route_class,
    uint64_t now, balance_attempt_t *attempt)
{
	attempt->open = false;
}

void
balance_attempt_answer(balance_t *balance, balance_attempt_t *attempt, int status,
    const load_report_t *load, uint64_t now)
{
}

void
balance_attempt_refused(balance_t *balance, balance_attempt_t *attempt, reason_t reason,
    const load_report_t *load, uint64_t now)
{
}

void
balance_attempt_failed(balance_t *balance, balance_attempt_t *attempt, uint64_t now)
{
}

void
balance_attempt_end(balance_t *balance, balance_attempt_t *attempt, uint64_t now)
{
}

size_t
balance_instance_count(const balance_t *balance)
{
	return 0;
}

size_t
balance_views(const balance_t *balance, const preset_service_t *service, uint64_t now,
    balance_view_t *views, size_t max)
{
	return 0;
}
