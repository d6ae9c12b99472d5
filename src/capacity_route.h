/*
 * How long the answers of each route take: mean and spread of the logarithm of the
 * duration, over all backend servers. Durations have a long tail, which would dominate
 * a mean of the durations themselves. Times are monotonic, ns. Not thread-safe.
 */
#ifndef MASTICPITCH_CAPACITY_ROUTE_H
#define MASTICPITCH_CAPACITY_ROUTE_H

#include "os.h"
#include "util.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Rows of the table; routes with the same row evict one another. */
#define CAPACITY_ROUTES 64
/* Samples before a route's duration is used. */
#define CAPACITY_ROUTE_SAMPLES_MIN 5
/* Spread assumed at first, and the samples that this assumption counts as. */
#define CAPACITY_SPREAD_PRIOR 0.5
#define CAPACITY_SPREAD_PRIOR_SAMPLES 5
/* Weight of a new sample, once there are enough. */
#define CAPACITY_ROUTE_SAMPLE_WEIGHT 0.02
/* A sample counts at most this far from the mean, as a logarithm. */
#define CAPACITY_ROUTE_CLIP 1.0
/* Bounds of the spread, which is otherwise 0 while answers are alike. */
#define CAPACITY_SPREAD_MIN 0.1
#define CAPACITY_SPREAD_MAX 1.0

typedef struct capacity_route {
	uint64_t route; /* 0: free */
	uint32_t samples;
	double log_us;	 /* mean of log(duration in us) */
	double variance; /* of it, on one server */
} capacity_route_t;

typedef struct capacity_routes {
	capacity_route_t routes[CAPACITY_ROUTES];
} capacity_routes_t;

/* What an answer of a route takes on a typical backend server. */
typedef struct capacity_duration {
	uint32_t typical_us; /* median; 0: not known */
	double spread;	     /* standard deviation of the logarithm, on one server */
} capacity_duration_t;

void capacity_routes_init(capacity_routes_t *routes);
/*
 * Records an answer; route is a hash of its name. host_percent and speed_percent: how
 * long work took on the backend server's host, and usually takes on the server, 100 as
 * elsewhere; 0: not known.
 */
void capacity_route_record(capacity_routes_t *routes, uint64_t route, uint64_t duration,
    uint32_t host_percent, uint32_t speed_percent);
capacity_duration_t capacity_route_duration(
    const capacity_routes_t *routes, uint64_t route);
/*
 * Chance that an answer that usually takes estimate_us comes later than within_us, with
 * the spread of its route.
 */
double capacity_late_chance(double estimate_us, double within_us, double spread);

#ifdef __cplusplus
}
#endif

#endif
