#include "throttle.h"

#include "os.h"
#include "util.h"

#include <math.h>

static double
pressure_left(const pressure_t *pressure, uint64_t now)
{
	if (now <= pressure->at)
		return 1;
	return exp2(
	    -(double)(now - pressure->at) / (double)(PRESSURE_HALF_LIFE_MS * NS_PER_MS));
}

void
pressure_record(pressure_t *pressure, bool refused, uint64_t now)
{
	double left = pressure_left(pressure, now);

	pressure->refused = pressure->refused * left + (refused ? 1 : 0);
	pressure->taken = pressure->taken * left + (refused ? 0 : 1);
	pressure->at = now;
}

uint32_t
pressure_percent(const pressure_t *pressure, uint64_t now)
{
	double all = pressure->refused + pressure->taken;

	if (all * pressure_left(pressure, now) < PRESSURE_SAMPLES_MIN)
		return 0;
	return (uint32_t)(100 * pressure->refused / all);
}

void
throttle_init(throttle_t *throttle)
{
	for (int i = 0; i < ROUTE_CLASS_COUNT; i++)
		throttle->classes[i] = (throttle_class_t){.share = 1};
}

/* True once a step; the first outcome after a pause is one. */
static bool
step_is_due(throttle_class_t *class, uint64_t now)
{
	if (now < class->stepped_at + THROTTLE_STEP_MS * NS_PER_MS)
		return false;
	class->stepped_at = now;
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

	class->heard_at = now;
	class->late += THROTTLE_LATE_SAMPLE_SHARE * ((late ? 1 : 0) - class->late);
	if (refused || pressure > THROTTLE_PRESSURE_HIGH_PERCENT ||
	    class->late > THROTTLE_LATE_HIGH) {
		if (step_is_due(class, now))
			share_set(class, class->share * THROTTLE_DECREASE_FACTOR);
	} else if (pressure <= THROTTLE_PRESSURE_LOW_PERCENT &&
		   class->late <= THROTTLE_LATE_LOW && class->share < 1) {
		if (step_is_due(class, now))
			share_set(class, class->share + THROTTLE_INCREASE);
	}
}

bool
throttle_admit(throttle_t *throttle, route_class_t route_class, uint64_t now)
{
	throttle_class_t *class = &throttle->classes[route_class];

	if (route_class == ROUTE_INTERNAL || class->share >= 1)
		return true;
	if (now > class->heard_at + THROTTLE_IDLE_MS * NS_PER_MS &&
	    step_is_due(class, now))
		share_set(class, class->share + THROTTLE_INCREASE);
	class->credit += class->share;
	if (class->credit < 1)
		return false;
	class->credit -= 1;
	return true;
}

uint32_t
throttle_percent(const throttle_t *throttle, route_class_t route_class)
{
	return (uint32_t)(throttle->classes[route_class].share * 100 + 0.5);
}
