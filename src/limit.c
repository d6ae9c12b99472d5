#include "limit.h"

#include <stdlib.h>

struct limit_entry {
	uint32_t in_flight;
};

int
limit_entry_create(uint32_t requests_max, bool enforced, limit_entry_t **limit)
{
	*limit = calloc(1, sizeof(**limit));
	return *limit != NULL ? MASTICPITCH_OK : MASTICPITCH_E_NOMEM;
}

void
limit_entry_destroy(limit_entry_t *limit)
{
	free(limit);
}

reason_t
limit_entry_acquire(limit_entry_t *limit, const preset_service_t *service,
    route_class_t route_class, limit_permit_t *permit)
{
	permit->held = true;
	limit->in_flight++;
	return REASON_NONE;
}

void
limit_entry_release(limit_entry_t *limit, limit_permit_t *permit)
{
	if (permit->held)
		limit->in_flight--;
	permit->held = false;
}

uint32_t
limit_entry_in_flight(const limit_entry_t *limit)
{
	return limit->in_flight;
}

uint32_t
limit_entry_class_in_flight(const limit_entry_t *limit, route_class_t route_class)
{
	return limit->in_flight;
}

void
limit_gate_init(limit_gate_t *limit, uint32_t slots, bool adaptive, uint64_t now)
{
	*limit = (limit_gate_t){.adaptive = adaptive, .slots = slots, .limit = slots};
}

void
limit_gate_slots_set(limit_gate_t *limit, uint32_t slots)
{
	limit->slots = slots;
	limit->limit = slots;
}

void
limit_gate_record(limit_gate_t *limit, route_class_t route_class, uint64_t latency_ns,
    uint32_t running, uint64_t now)
{
}

void
limit_gate_overload(limit_gate_t *limit, uint64_t now)
{
}

uint32_t
limit_gate_current(const limit_gate_t *limit)
{
	return limit->slots;
}

uint32_t
limit_gate_latency_us(const limit_gate_t *limit)
{
	return 0;
}
