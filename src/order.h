/*
 * The order in which calls are served when room is short: nested calls, whose requests
 * have already been worked on, then new requests; each by rank, see preset_rank(), and
 * within a rank by class (call, lookup, upload). A nested call has the rank of the
 * request that waits for it. Without priorities every rank is 0.
 */
#ifndef MASTICPITCH_ORDER_H
#define MASTICPITCH_ORDER_H

#include "preset.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct order_key {
	uint32_t rank; /* 0 is the most urgent */
	route_class_t route_class;
} order_key_t;

/* Below 0: a is served before b; 0: the keys are equal. */
int order_key_compare(order_key_t a, order_key_t b);

/*
 * Bands of ranks for counters: the workspace's priority is 0, or lower, and the route's
 * priority is 0, 1, or lower.
 */
#define ORDER_BANDS 6

unsigned order_band(uint32_t rank);
/* As in "0/2+": workspace, route. */
const char *order_band_text(unsigned band);

#ifdef __cplusplus
}
#endif

#endif
