/*
 * Second attempts of idempotent requests whose first one is still at work (hedging):
 * when one is due, and whether it may be sent. Times are monotonic, ns. Not
 * thread-safe; reads no clock.
 */
#ifndef MASTICPITCH_HEDGE_H
#define MASTICPITCH_HEDGE_H

#include "capacity_route.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Second attempts and retries of a service for each of its requests, above which no
 * second attempt is sent. They load the servers, and calls that a second run makes count
 * in the retry budgets of the services that they go to; the platform allows 0.2 in a
 * window of 10 s, at all nodes together.
 */
#define HEDGE_SHARE 0.12
/* The window over which requests and repeats are counted, and its parts. */
#define HEDGE_WINDOW_PARTS 10
#define HEDGE_WINDOW_PART_NS NS_PER_S
/* Rows of the table of services; services with the same row evict one another. */
#define HEDGE_SERVICES 64
/* Spreads above the typical duration before which no second attempt is sent. */
#define HEDGE_SPREADS_MIN 0.8
/* Spreads above the typical duration in which a second attempt is likely to end. */
#define HEDGE_SPREADS_FRESH 1.5
/* No second attempt while more of the service's capacity than this is in use. */
#define HEDGE_UTILISATION_MAX 0.75

typedef enum hedge_verdict {
	HEDGE_SEND,
	HEDGE_NO_BUDGET, /* the share of repeats is used up */
	HEDGE_NO_ROOM	 /* the service is short of room */
} hedge_verdict_t;

/* Requests and repeats of a service in one part of the window. */
typedef struct hedge_part {
	uint64_t number; /* of the part, since the start of the clock */
	uint32_t requests;
	uint32_t repeats;
} hedge_part_t;

typedef struct hedge_service {
	uint64_t service; /* 0: free */
	hedge_part_t parts[HEDGE_WINDOW_PARTS];
} hedge_service_t;

typedef struct hedge {
	hedge_service_t services[HEDGE_SERVICES];
} hedge_t;

void hedge_init(hedge_t *hedge);
/* Counts a caller's request; service is a hash of its name. */
void hedge_request_record(hedge_t *hedge, uint64_t service, uint64_t now);
/* Counts a retry or a second attempt. */
void hedge_repeat_record(hedge_t *hedge, uint64_t service, uint64_t now);
/*
 * When a second attempt of a request that is sent now is due: once the first has taken
 * longer than most, and early enough for the second to end by the target. 0: none.
 */
uint64_t hedge_due(capacity_duration_t duration, uint64_t target, uint64_t deadline,
    uint64_t now);
/*
 * Decides on a second attempt that is due; HEDGE_SEND counts it. utilisation: of the
 * service's capacity.
 */
hedge_verdict_t hedge_decide(
    hedge_t *hedge, uint64_t service, double utilisation, uint64_t now);

#ifdef __cplusplus
}
#endif

#endif
