#include "answer_profile.h"

#include "util.h"

#include <string.h>

void
answer_profile_init(answer_profile_t *profile)
{
	memset(profile, 0, sizeof(*profile));
}

void
answer_profile_record(answer_profile_t *profile, uint64_t route, uint64_t bytes)
{
	answer_route_t *row = &profile->routes[route % ANSWER_PROFILE_ROUTES];

	if (row->route != route)
		*row = (answer_route_t){.route = route, .bytes = (double)bytes};
	row->bytes += ANSWER_PROFILE_SAMPLE_WEIGHT * ((double)bytes - row->bytes);
}

uint32_t
answer_profile_bytes(const answer_profile_t *profile, uint64_t route)
{
	const answer_route_t *row = &profile->routes[route % ANSWER_PROFILE_ROUTES];

	if (row->route != route)
		return 0;
	return (uint32_t)MIN_OF(row->bytes, (double)UINT32_MAX);
}
