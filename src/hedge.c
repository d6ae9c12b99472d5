#include "hedge.h"

#include <math.h>
#include <string.h>

void
hedge_init(hedge_t *hedge)
{
	memset(hedge, 0, sizeof(*hedge));
}

/* The part of the window that contains now. */
static hedge_part_t *
part_get(hedge_t *hedge, uint64_t service, uint64_t now)
{
	hedge_service_t *row = &hedge->services[service % HEDGE_SERVICES];
	uint64_t number = now / HEDGE_WINDOW_PART_NS;
	hedge_part_t *part = &row->parts[number % HEDGE_WINDOW_PARTS];

	if (row->service != service) {
		memset(row, 0, sizeof(*row));
		row->service = service;
	}
	if (part->number != number)
		*part = (hedge_part_t){.number = number};
	return part;
}

void
hedge_request_record(hedge_t *hedge, uint64_t service, uint64_t now)
{
	part_get(hedge, service, now)->requests++;
}

void
hedge_repeat_record(hedge_t *hedge, uint64_t service, uint64_t now)
{
	part_get(hedge, service, now)->repeats++;
}

/* True if one more repeat stays within the share. */
static bool
budget_suffices(const hedge_t *hedge, uint64_t service, uint64_t now)
{
	const hedge_service_t *row = &hedge->services[service % HEDGE_SERVICES];
	uint64_t number = now / HEDGE_WINDOW_PART_NS;
	double requests = 0, repeats = 1;

	if (row->service != service)
		return false;
	for (size_t i = 0; i < HEDGE_WINDOW_PARTS; i++) {
		if (row->parts[i].number + HEDGE_WINDOW_PARTS <= number)
			continue;
		requests += row->parts[i].requests;
		repeats += row->parts[i].repeats;
	}
	return repeats <= MAX_OF(HEDGE_SHARE * requests, 1.0);
}

uint64_t
hedge_due(
    capacity_duration_t duration, uint64_t target, uint64_t deadline, uint64_t now)
{
	uint64_t end = target > now ? target : deadline;
	double earliest, latest;

	if (duration.typical_us == 0 || end <= now)
		return 0;
	earliest = duration.typical_us * exp(HEDGE_SPREADS_MIN * duration.spread);
	latest = (double)(end - now) / NS_PER_US -
		 duration.typical_us * exp(HEDGE_SPREADS_FRESH * duration.spread);
	/* Too late for the target, the second attempt may still be in time at all. */
	return now + (uint64_t)(MAX_OF(earliest, latest) * NS_PER_US);
}

hedge_verdict_t
hedge_decide(hedge_t *hedge, uint64_t service, double utilisation, uint64_t now)
{
	if (utilisation > HEDGE_UTILISATION_MAX)
		return HEDGE_NO_ROOM;
	if (!budget_suffices(hedge, service, now))
		return HEDGE_NO_BUDGET;
	hedge_repeat_record(hedge, service, now);
	return HEDGE_SEND;
}
