/*
 * Expected answer size of each route: a moving average over its past answers.
 * Requests with long answers go to instances whose network link is free. Sizes
 * are bytes. Not thread-safe.
 */
#ifndef MASTICPITCH_ANSWER_PROFILE_H
#define MASTICPITCH_ANSWER_PROFILE_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Rows of the table; routes with the same row evict one another. */
#define ANSWER_PROFILE_ROUTES 64
/* Weight of a new answer in the moving average. */
#define ANSWER_PROFILE_SAMPLE_WEIGHT 0.1

typedef struct answer_route {
	uint64_t route; /* 0: free */
	double bytes;	/* moving average */
} answer_route_t;

typedef struct answer_profile {
	answer_route_t routes[ANSWER_PROFILE_ROUTES];
} answer_profile_t;

void answer_profile_init(answer_profile_t *profile);
/* Records the size of an answer of the route; route is a hash of its name. */
void answer_profile_record(answer_profile_t *profile, uint64_t route, uint64_t bytes);
/* The expected answer size; 0: not known. */
uint32_t answer_profile_bytes(const answer_profile_t *profile, uint64_t route);

#ifdef __cplusplus
}
#endif

#endif
