/*
 * How long the answers of each route are, learnt from those that came: long ones
 * are sent where the way back is short. Sizes are bytes. One thread.
 */
#ifndef MASTICPITCH_ANSWER_PROFILE_H
#define MASTICPITCH_ANSWER_PROFILE_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Routes followed; more of them displace others. */
#define ANSWER_PROFILE_ROUTES 64
/* Share of a new answer in the smoothed length. */
#define ANSWER_PROFILE_SAMPLE_WEIGHT 0.1

typedef struct answer_route {
	uint64_t route; /* 0: free */
	double bytes;	/* smoothed */
} answer_route_t;

typedef struct answer_profile {
	answer_route_t routes[ANSWER_PROFILE_ROUTES];
} answer_profile_t;

void answer_profile_init(answer_profile_t *profile);
/* An answer of a route, named by a hash, has this length. */
void answer_profile_record(answer_profile_t *profile, uint64_t route, uint64_t bytes);
/* The length that is to be expected; 0: not known. */
uint32_t answer_profile_bytes(const answer_profile_t *profile, uint64_t route);

#ifdef __cplusplus
}
#endif

#endif
