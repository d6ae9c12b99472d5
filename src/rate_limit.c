#include "rate_limit.h"

#include "masticpitch/masticpitch.h"
#include "os.h"
#include "util.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

int
rate_limit_parse(const char *text, double *per_s)
{
	char *end;
	double value;

	/* strtod() would also accept spaces, signs, hexadecimal digits and names. */
	if (text[0] == '\0' || text[strspn(text, "0123456789.")] != '\0')
		return MASTICPITCH_E_INVALID;
	value = strtod(text, &end);
	if (end == text || *end != '\0' || !isfinite(value) ||
	    value > RATE_LIMIT_MAX_PER_S)
		return MASTICPITCH_E_INVALID;
	*per_s = value;
	return MASTICPITCH_OK;
}

uint64_t
rate_limit_interval(const rate_limit_t *limit)
{
	if (!limit->limited)
		return 0;
	return (uint64_t)((double)NS_PER_S / MAX_OF(limit->per_s, RATE_LIMIT_MIN_PER_S));
}

/*
 * The time until the next call is due changes in proportion to the interval. A shorter
 * one would let a limit that changes with each answer admit calls without bound.
 */
static void
due_rescale(rate_limit_t *limit, uint64_t old_interval, uint64_t now)
{
	double ratio = (double)rate_limit_interval(limit) / (double)old_interval;

	if (limit->due_at > now)
		limit->due_at = now + (uint64_t)((double)(limit->due_at - now) * ratio);
}

bool
rate_limit_set(rate_limit_t *limit, double per_s, uint64_t now)
{
	uint64_t old_interval = rate_limit_interval(limit);
	bool changed = old_interval == 0 || limit->per_s != per_s;

	limit->known = true;
	limit->limited = true;
	limit->per_s = per_s;
	limit->held_until = now + RATE_LIMIT_HOLD_MS * NS_PER_MS;
	if (old_interval == 0)
		limit->due_at = now;
	else if (changed)
		due_rescale(limit, old_interval, now);
	return changed;
}

void
rate_limit_keep(rate_limit_t *limit)
{
	limit->known = true;
}

bool
rate_limit_release(rate_limit_t *limit, uint64_t now)
{
	limit->known = true;
	if (!limit->limited || now < limit->held_until)
		return false;
	limit->limited = false;
	return true;
}

void
rate_limit_reset(rate_limit_t *limit)
{
	*limit = (rate_limit_t){0};
}

uint64_t
rate_limit_next(const rate_limit_t *limit)
{
	uint64_t burst = RATE_LIMIT_BURST_MS * NS_PER_MS;

	if (!limit->limited || limit->due_at <= burst)
		return 0;
	return limit->due_at - burst;
}

void
rate_limit_start(rate_limit_t *limit, uint64_t now)
{
	if (limit->limited)
		limit->due_at = MAX_OF(limit->due_at, now) + rate_limit_interval(limit);
}
