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

static uint64_t
attempt_end(const hedge_attempt_t *attempt, uint64_t now)
{
	return attempt->target > now ? attempt->target : attempt->deadline;
}

uint64_t
hedge_due(const hedge_attempt_t *attempt, uint64_t now)
{
	uint64_t end = attempt_end(attempt, now);
	double typical_us = attempt->duration.typical_us;
	double latest_us;

	if (typical_us <= 0 || end <= now)
		return 0;
	latest_us = (double)(end - now) / NS_PER_US -
		    typical_us * exp(HEDGE_SPREADS_FRESH * attempt->duration.spread);
	return now + (uint64_t)(MAX_OF(typical_us, latest_us) * NS_PER_US);
}

/* Chance that an answer takes longer than within_ns. */
static double
chance_longer(double expected_us, double spread, uint64_t within_ns)
{
	return HEDGE_TAIL_SHARE +
	       (1 - HEDGE_TAIL_SHARE) * capacity_late_chance(expected_us,
					    (double)within_ns / NS_PER_US, spread);
}

double
hedge_gain(const hedge_attempt_t *attempt, uint64_t now)
{
	uint64_t end = attempt_end(attempt, now);
	double spread = attempt->duration.spread;
	double first_late, second_late;

	if (attempt->duration.typical_us == 0 || end <= now || now < attempt->started_at)
		return 0;
	first_late =
	    chance_longer(attempt->expected_us, spread, end - attempt->started_at) /
	    chance_longer(attempt->expected_us, spread, now - attempt->started_at);
	second_late = chance_longer(attempt->duration.typical_us, spread, end - now);
	return first_late * (1 - second_late);
}

hedge_verdict_t
hedge_decide(hedge_t *hedge, uint64_t service, const hedge_attempt_t *attempt,
    double utilisation, uint64_t now)
{
	if (hedge_gain(attempt, now) < HEDGE_GAIN_MIN)
		return HEDGE_NO_GAIN;
	if (utilisation > HEDGE_UTILISATION_MAX)
		return HEDGE_NO_ROOM;
	if (!budget_suffices(hedge, service, now))
		return HEDGE_NO_BUDGET;
	hedge_repeat_record(hedge, service, now);
	return HEDGE_SEND;
}
