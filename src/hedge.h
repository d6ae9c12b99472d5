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
#define HEDGE_SHARE 0.16
/* The window over which requests and repeats are counted, and its parts. */
#define HEDGE_WINDOW_PARTS 10
#define HEDGE_WINDOW_PART_NS NS_PER_S
/* Rows of the table of services; services with the same row evict one another. */
#define HEDGE_SERVICES 64
/*
 * Spreads above the typical duration in which a second attempt mostly ends. It is not
 * sent earlier than this before the target: the later, the fewer are sent in vain.
 */
#define HEDGE_SPREADS_FRESH 1.3
/* Share of the answers that take far longer than the spread suggests. */
#define HEDGE_TAIL_SHARE 0.03
/* Least chance that a second attempt makes a late answer one in time. */
#define HEDGE_GAIN_MIN 0.12
/* Pause before a second attempt that was not sent is considered again, ms. */
#define HEDGE_RECHECK_MS 40
/* No second attempt while more of the service's capacity than this is in use. */
#define HEDGE_UTILISATION_MAX 1.0

typedef enum hedge_verdict {
	HEDGE_SEND,
	HEDGE_NO_GAIN,	 /* the first attempt will probably be in time */
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
/* The first attempt of a request. */
typedef struct hedge_attempt {
	capacity_duration_t duration; /* of the route */
	double expected_us;	      /* on the instance that it went to */
	uint64_t started_at;
	uint64_t target;   /* an answer by then has full value; 0: none */
	uint64_t deadline; /* an answer later than that has none */
} hedge_attempt_t;

/* When a second attempt is considered first; 0: never. */
uint64_t hedge_due(const hedge_attempt_t *attempt, uint64_t now);
/*
 * Chance that a second attempt answers in time and the first one, which is still at work,
 * does not. In time is by the target, or by the deadline once the target has passed.
 */
double hedge_gain(const hedge_attempt_t *attempt, uint64_t now);
/*
 * Decides on a second attempt; HEDGE_SEND counts it. utilisation: of the service's
 * capacity.
 */
hedge_verdict_t hedge_decide(hedge_t *hedge, uint64_t service,
    const hedge_attempt_t *attempt, double utilisation, uint64_t now);

#ifdef __cplusplus
}
#endif

#endif
