#include "retry_after.h"

#include "os.h"

/* Milliseconds until a point in time, 0 if it has passed. */
static uint64_t
left_ms(uint64_t at, uint64_t now)
{
	return at > now ? (at - now) / NS_PER_MS : 0;
}

static uint32_t
draw(uint64_t low, uint64_t high, rng_t *rng)
{
	uint64_t drawn = low < high ? low + rng_below(rng, high - low + 1) : high;

	return (uint32_t)MAX_OF(drawn, 1);
}

uint32_t
retry_after_ms(const retry_after_t *request, rng_t *rng, uint64_t now)
{
	uint64_t longest = left_ms(request->deadline, now) / RETRY_AFTER_LEFT_DIVISOR;
	uint64_t needed = request->run_ns / NS_PER_MS + RETRY_AFTER_TRANSIT_MS;
	uint64_t in_target = left_ms(request->target, now);

	if (in_target > needed + RETRY_AFTER_MIN_MS)
		return draw(RETRY_AFTER_MIN_MS, MIN_OF(in_target - needed, longest), rng);
	return draw(
	    RETRY_AFTER_SPREAD_MIN_MS, MIN_OF(RETRY_AFTER_SPREAD_MAX_MS, longest), rng);
}
