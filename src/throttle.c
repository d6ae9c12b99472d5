#include "throttle.h"

#include "os.h"
#include "util.h"

#include <math.h>

static double
pressure_decay(const pressure_t *pressure, uint64_t now)
{
	if (now <= pressure->updated_at)
		return 1;
	return exp2(-(double)(now - pressure->updated_at) /
		    (double)(PRESSURE_HALF_LIFE_MS * NS_PER_MS));
}

void
pressure_record(pressure_t *pressure, bool refused, uint64_t now)
{
	double decay = pressure_decay(pressure, now);

	pressure->refused = pressure->refused * decay + (refused ? 1 : 0);
	pressure->admitted = pressure->admitted * decay + (refused ? 0 : 1);
	pressure->updated_at = now;
}

uint32_t
pressure_percent(const pressure_t *pressure, uint64_t now)
{
	double total = pressure->refused + pressure->admitted;

	if (total * pressure_decay(pressure, now) < PRESSURE_SAMPLES_MIN)
		return 0;
	return (uint32_t)(100 * pressure->refused / total);
}

void
throttle_init(throttle_t *throttle)
{
	for (int i = 0; i < ROUTE_CLASS_COUNT; i++)
		throttle->classes[i] = (throttle_class_t){.share = 1};
}

/*
 * True at most once per THROTTLE_STEP_MS; the first call after a longer pause
 * returns true immediately.
 */
static bool
step_try(throttle_class_t *class, uint64_t now)
{
	if (now < class->step_at + THROTTLE_STEP_MS * NS_PER_MS)
		return false;
	class->step_at = now;
	return true;
}

static void
share_set(throttle_class_t *class, double share)
{
	class->share = MAX_OF(THROTTLE_SHARE_MIN, MIN_OF(share, 1.0));
}

void
throttle_call_record(throttle_t *throttle, route_class_t route_class, uint32_t pressure,
    bool refused, bool late, uint64_t now)
{
	throttle_class_t *class = &throttle->classes[route_class];

	class->outcome_at = now;
	class->late += THROTTLE_LATE_SAMPLE_WEIGHT * ((late ? 1 : 0) - class->late);
	if (refused || pressure > THROTTLE_PRESSURE_HIGH_PERCENT ||
	    class->late > THROTTLE_LATE_HIGH) {
		if (step_try(class, now))
			share_set(class, class->share * THROTTLE_DECREASE_FACTOR);
	} else if (pressure <= THROTTLE_PRESSURE_LOW_PERCENT &&
		   class->late <= THROTTLE_LATE_LOW && class->share < 1) {
		if (step_try(class, now))
			share_set(class, class->share + THROTTLE_INCREASE);
	}
}

bool
throttle_admit(throttle_t *throttle, route_class_t route_class, uint64_t now)
{
	throttle_class_t *class = &throttle->classes[route_class];

	if (route_class == ROUTE_INTERNAL || class->share >= 1)
		return true;
	if (now > class->outcome_at + THROTTLE_IDLE_MS * NS_PER_MS &&
	    step_try(class, now))
		share_set(class, class->share + THROTTLE_INCREASE);
	class->tokens += class->share;
	if (class->tokens < 1)
		return false;
	class->tokens -= 1;
	return true;
}

uint32_t
throttle_percent(const throttle_t *throttle, route_class_t route_class)
{
	return (uint32_t)(throttle->classes[route_class].share * 100 + 0.5);
}
