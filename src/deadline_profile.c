#include "deadline_profile.h"

#include "util.h"

#include <string.h>

void
deadline_profile_init(deadline_profile_t *profile)
{
	memset(profile, 0, sizeof(*profile));
}

static void
counts_halve(deadline_route_t *row)
{
	row->requests = 0;
	for (size_t i = 0; i < DEADLINE_PROFILE_VALUES; i++)
		row->values[i].count /= 2;
}

/* Counts the value; a new one evicts the least frequent one. */
static void
value_count(deadline_route_t *row, uint32_t deadline_ms)
{
	deadline_count_t *rarest = &row->values[0];

	for (size_t i = 0; i < DEADLINE_PROFILE_VALUES; i++) {
		deadline_count_t *value = &row->values[i];

		if (value->count > 0 && value->deadline_ms == deadline_ms) {
			value->count++;
			return;
		}
		if (value->count < rarest->count)
			rarest = value;
	}
	*rarest = (deadline_count_t){.deadline_ms = deadline_ms, .count = 1};
}

static const deadline_count_t *
value_typical(const deadline_route_t *row)
{
	const deadline_count_t *typical = &row->values[0];

	for (size_t i = 1; i < DEADLINE_PROFILE_VALUES; i++) {
		if (row->values[i].count > typical->count)
			typical = &row->values[i];
	}
	return typical;
}

uint32_t
deadline_profile_record(deadline_profile_t *profile, uint64_t route, uint32_t deadline_ms)
{
	deadline_route_t *row = &profile->routes[route % DEADLINE_PROFILE_ROUTES];
	const deadline_count_t *typical;

	if (row->route != route)
		*row = (deadline_route_t){.route = route};
	deadline_ms = (deadline_ms + DEADLINE_PROFILE_ROUNDING_MS / 2) /
		      DEADLINE_PROFILE_ROUNDING_MS * DEADLINE_PROFILE_ROUNDING_MS;
	if (++row->requests > DEADLINE_PROFILE_WINDOW)
		counts_halve(row);
	value_count(row, deadline_ms);
	typical = value_typical(row);
	if (typical->count < DEADLINE_PROFILE_COUNT_MIN ||
	    deadline_ms >= typical->deadline_ms)
		return 0;
	return typical->deadline_ms - deadline_ms;
}
