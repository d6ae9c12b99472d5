/*
 * The deadline that callers of a route usually give. A caller that comes back
 * after a refusal has less time left than that, which tells how long it has been
 * waiting. Plain value; no clock. One thread.
 */
#ifndef MASTICPITCH_DEADLINE_PROFILE_H
#define MASTICPITCH_DEADLINE_PROFILE_H

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Routes followed, and values counted of each; more of them displace others. */
#define DEADLINE_PROFILE_ROUTES 64
#define DEADLINE_PROFILE_VALUES 6
/* Deadlines are rounded to this: a caller's own delays vary by milliseconds. */
#define DEADLINE_PROFILE_ROUNDING_MS 10
/* Counts are halved after so many requests, so that a new usual value shows. */
#define DEADLINE_PROFILE_WINDOW 256
/* Requests after which the most frequent value counts as the usual one. */
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
 * Counts a request of a route, named by a hash, and returns for how long its
 * caller has been waiting, ms; 0 if it is fresh or that is not known.
 */
uint32_t deadline_profile_record(
    deadline_profile_t *profile, uint64_t route, uint32_t deadline_ms);

#ifdef __cplusplus
}
#endif

#endif
