/*
 * Limit of the rate of calls that a backend server names in its answers while it is
 * in need. A gate is the only way to its backend server, so its limit holds for the
 * calls of all nodes together. Generic cell rate algorithm: the state is the time at
 * which the next call is due. Times are monotonic, ns. Not thread-safe; callers pass
 * the current time.
 */
#ifndef MASTICPITCH_RATE_LIMIT_H
#define MASTICPITCH_RATE_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * A limit ends with the first answer without one that arrives this long after the
 * last answer that named it, ms: answers to concurrent calls arrive out of order.
 */
#define RATE_LIMIT_HOLD_MS 1000
/*
 * Calls that did not come when they were due are admitted later, up to the number
 * that is due in this time, ms. Otherwise irregular arrivals would lose part of the
 * rate.
 */
#define RATE_LIMIT_BURST_MS 250
/*
 * Lowest rate, calls/s, that is enforced: without any call the gate would not learn
 * that the limit has ended.
 */
#define RATE_LIMIT_MIN_PER_S 0.5
/*
 * Calls that may run concurrently before the first answer: a node that has just
 * started does not know the limit yet.
 */
#define RATE_LIMIT_UNKNOWN_CALLS_MAX 2
/* Highest rate that is accepted from a backend server, calls/s. */
#define RATE_LIMIT_MAX_PER_S 1e6

/* Embedded in the gate; all zero: no answer yet. */
typedef struct rate_limit {
	bool known; /* an answer has said whether there is a limit */
	bool limited;
	double per_s;	     /* as named, calls/s; valid if limited */
	uint64_t held_until; /* the limit does not end before */
	uint64_t due_at;     /* the next call is due */
} rate_limit_t;

/*
 * Parses a rate as a backend server writes it, a decimal number of calls/s. Errors:
 * MASTICPITCH_E_INVALID unless it is in [0, RATE_LIMIT_MAX_PER_S].
 */
int rate_limit_parse(const char *text, double *per_s);
/* An answer names a limit. True if it is another one than before. */
bool rate_limit_set(rate_limit_t *limit, double per_s, uint64_t now);
/* An answer names a limit that cannot be read; the one before it, or none, holds. */
void rate_limit_keep(rate_limit_t *limit);
/* An answer names none. True if that ended a limit. */
bool rate_limit_release(rate_limit_t *limit, uint64_t now);
/* Forgets the limit; used when another backend server takes the place of this one. */
void rate_limit_reset(rate_limit_t *limit);

/* Time between two calls at the limit, ns; 0: no limit. */
uint64_t rate_limit_interval(const rate_limit_t *limit);
/* Earliest time at which a call may start; at most now if one may start at once. */
uint64_t rate_limit_next(const rate_limit_t *limit);
/* Records that a call starts. */
void rate_limit_start(rate_limit_t *limit, uint64_t now);

#ifdef __cplusplus
}
#endif

#endif
