/*
 * The tokens that an entry has borrowed from the owners of workspaces' quotas, and what
 * it asks them for. A token is the right to admit one request, and ends unused after
 * QUOTA_LEASE_MS. No socket, no clock: callers pass the monotonic time in ns. Not
 * thread-safe.
 */
#ifndef MASTICPITCH_QUOTA_LEASE_H
#define MASTICPITCH_QUOTA_LEASE_H

#include "quota_owner.h"
#include "util.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * How long a borrowed token can be used, ms. In any window, the requests that run exceed
 * what is lent by at most the tokens lent in this time before it.
 */
#define QUOTA_LEASE_MS 400
/*
 * Demand that is asked for ahead, ms, and requests a second of a workspace at one entry
 * from which on it is. With fewer, most of the tokens would end unused.
 */
#define QUOTA_AHEAD_MS 200
#define QUOTA_AHEAD_RATE 5.0
/* An ask without an answer is repeated after this time, ms. */
#define QUOTA_ASK_MS 60
/* Without an answer for this long the entry uses its reserve, ms. */
#define QUOTA_SILENCE_MS 180
/*
 * The reserve of an entry without an owner: this part of its equal share of the rate, and
 * in the beginning one token at so many of all entries.
 */
#define QUOTA_RESERVE_SHARE 0.5
#define QUOTA_RESERVE_TOKENS 10.0
/* A request waits this long for a token of an owner that does not answer, ms. */
#define QUOTA_WAIT_MS 1000
/* Interval at which waiting requests are looked at again, ms. */
#define QUOTA_RECHECK_MS 20
/* A lease without a request for this long is forgotten, s. */
#define QUOTA_LEASE_IDLE_S 30

typedef enum quota_verdict {
	QUOTA_ADMITTED,
	QUOTA_ADMITTED_BY_RESERVE,
	QUOTA_WAITING, /* until a grant */
	QUOTA_REFUSED  /* the owner has said that there is none */
} quota_verdict_t;

typedef struct quota_take {
	quota_verdict_t verdict;
	uint64_t until;	   /* admitted: the token can be given back until then */
	uint32_t retry_ms; /* refused: there may be one then */
} quota_take_t;

typedef struct quota_lease quota_lease_t;

/* Returns NULL if there is no memory. */
quota_lease_t *quota_lease_create(uint64_t seed);
void quota_lease_destroy(quota_lease_t *lease);

/* Number of members that run or may run, with this one. */
void quota_lease_members_set(quota_lease_t *lease, size_t members);

/*
 * A request of the workspace has arrived. If the verdict is QUOTA_WAITING, it counts as
 * waiting until quota_lease_retake() gives another one or quota_lease_leave().
 */
quota_take_t quota_lease_take(
    quota_lease_t *lease, uint64_t workspace, double rate, uint64_t now);
/* The same for a request that waits. */
quota_take_t quota_lease_retake(
    quota_lease_t *lease, uint64_t workspace, double rate, uint64_t now);
/* A request that waits has ended. */
void quota_lease_leave(quota_lease_t *lease, uint64_t workspace);
/* An admitted request has certainly not run. True if its token can be used again. */
bool quota_lease_give_back(
    quota_lease_t *lease, uint64_t workspace, uint64_t until, uint64_t now);

/* How many tokens to ask the owner for now; 0: none. The ask counts as sent. */
uint32_t quota_lease_ask(quota_lease_t *lease, uint64_t workspace, uint64_t now);
/*
 * The answer to an ask. Without tokens, retry_ms and hold, it comes from a node that is
 * not the owner.
 */
void quota_lease_granted(
    quota_lease_t *lease, uint64_t workspace, const quota_grant_t *grant, uint64_t now);

/* Forgets leases that are not in use. */
void quota_lease_sweep(quota_lease_t *lease, uint64_t now);
size_t quota_lease_count(const quota_lease_t *lease);

#ifdef __cplusplus
}
#endif

#endif
