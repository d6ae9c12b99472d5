/*
 * The typical deadline of each route: the most frequent time to the deadline of its
 * requests. A caller that retries a request after a refusal has less time left; the
 * difference is how long it has been waiting. Plain value; no clock. Not thread-safe.
 */
#ifndef MASTICPITCH_DEADLINE_PROFILE_H
#define MASTICPITCH_DEADLINE_PROFILE_H

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Rows of the table, and deadlines counted in each. Routes with the same row evict one
 * another; a new deadline evicts the least frequent one.
 */
#define DEADLINE_PROFILE_ROUTES 64
#define DEADLINE_PROFILE_VALUES 6
/* Deadlines are rounded to this: delays within a caller vary by milliseconds. */
#define DEADLINE_PROFILE_ROUNDING_MS 10
/* Requests after which counts are halved, so that a changed deadline prevails. */
#define DEADLINE_PROFILE_WINDOW 256
/* Least count with which the most frequent value is the typical deadline. */
#define DEADLINE_PROFILE_COUNT_MIN 8

typedef struct deadline_count {
	uint32_t deadline_ms;
	uint32_t count;
} deadline_count_t;

typedef struct deadline_route {
	uint64_t route; /* 0: free */
	uint32_t requests;
	deadline_count_t values[DEADLINE_PROFILE_VALUES];
} deadline_route_t;

typedef struct deadline_profile {
	deadline_route_t routes[DEADLINE_PROFILE_ROUTES];
} deadline_profile_t;

void deadline_profile_init(deadline_profile_t *profile);
/*
 * Counts a request of the route (a hash of its name) and returns for how long its
 * caller has been waiting, ms; 0 if it is a new request or this is not known.
 */
uint32_t deadline_profile_record(
    deadline_profile_t *profile, uint64_t route, uint32_t deadline_ms);

#ifdef __cplusplus
}
#endif

#endif
