#include "capacity_route.h"

#include <math.h>
#include <string.h>

/* Slope of the logistic function that is closest to the normal distribution. */
#define LOGISTIC_SLOPE 1.7

void
capacity_routes_init(capacity_routes_t *routes)
{
	memset(routes, 0, sizeof(*routes));
}

static double
clip(double difference)
{
	return MIN_OF(MAX_OF(difference, -CAPACITY_ROUTE_CLIP), CAPACITY_ROUTE_CLIP);
}

void
capacity_route_record(capacity_routes_t *routes, uint64_t route, uint64_t duration,
    uint32_t host_percent, uint32_t speed_percent)
{
	capacity_route_t *row = &routes->routes[route % CAPACITY_ROUTES];
	double host = host_percent == 0 ? 1 : host_percent / 100.0;
	double speed = speed_percent == 0 ? 1 : speed_percent / 100.0;
	double log_us = log(MAX_OF((double)duration / NS_PER_US, 1.0) / host);
	double difference, weight;

	if (row->route != route)
		*row = (capacity_route_t){.route = route,
		    .log_us = log_us,
		    .variance = CAPACITY_SPREAD_PRIOR * CAPACITY_SPREAD_PRIOR};
	row->samples += row->samples < UINT32_MAX;
	weight = MAX_OF(1.0 / row->samples, CAPACITY_ROUTE_SAMPLE_WEIGHT);
	difference = log_us - row->log_us;
	/* The mean covers all servers, so that their speeds are relative to it. */
	row->log_us +=
	    weight *
	    (row->samples > CAPACITY_ROUTE_SAMPLES_MIN ? clip(difference) : difference);
	difference = clip(difference - log(speed));
	weight = MAX_OF(1.0 / (row->samples + CAPACITY_SPREAD_PRIOR_SAMPLES),
	    CAPACITY_ROUTE_SAMPLE_WEIGHT);
	row->variance += weight * (difference * difference - row->variance);
}

capacity_duration_t
capacity_route_duration(const capacity_routes_t *routes, uint64_t route)
{
	const capacity_route_t *row = &routes->routes[route % CAPACITY_ROUTES];
	double spread;

	if (row->route != route || row->samples < CAPACITY_ROUTE_SAMPLES_MIN)
		return (capacity_duration_t){0};
	spread = sqrt(row->variance);
	return (capacity_duration_t){
	    .typical_us = (uint32_t)MIN_OF(exp(row->log_us), (double)UINT32_MAX),
	    .spread = MIN_OF(MAX_OF(spread, CAPACITY_SPREAD_MIN), CAPACITY_SPREAD_MAX)};
}

double
capacity_late_chance(double estimate_us, double within_us, double spread)
{
	if (within_us <= 0)
		return 1;
	if (estimate_us <= 0)
		return 0;
	return 1 / (1 + exp(LOGISTIC_SLOPE / spread * log(within_us / estimate_us)));
}
