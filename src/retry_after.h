/*
 * When the caller of a request that was refused for load should come back. A returning
 * request keeps its deadline and latency target, and so goes before new ones of its
 * rank: early enough for its target, it is usually served. Returns are spread, so that
 * the requests that a restart or a burst refused do not all arrive at once again. No
 * I/O; times are monotonic, ns.
 */
#ifndef MASTICPITCH_RETRY_AFTER_H
#define MASTICPITCH_RETRY_AFTER_H

#include "util.h"

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Callers wait no longer than this part of the time to their deadline. */
#define RETRY_AFTER_LEFT_DIVISOR 3
/* Shortest time to a return: the gate that refused starts a few calls meanwhile, ms. */
#define RETRY_AFTER_MIN_MS 20
/* Range without a latency target that can still be met, ms. */
#define RETRY_AFTER_SPREAD_MIN_MS 100
#define RETRY_AFTER_SPREAD_MAX_MS 500
/* Time for the way to a gate and back, and from the caller to the entry, ms. */
#define RETRY_AFTER_TRANSIT_MS 10

typedef struct retry_after {
	uint64_t deadline;
	uint64_t target; /* 0: none */
	uint64_t run_ns; /* expected time at the backend server */
} retry_after_t;

/*
 * Milliseconds until the return, at least 1. If an answer can still come by the target,
 * the return leaves time for that; else it is spread over the rest of the time that a
 * caller waits.
 */
uint32_t retry_after_ms(const retry_after_t *request, rng_t *rng, uint64_t now);

#ifdef __cplusplus
}
#endif

#endif
