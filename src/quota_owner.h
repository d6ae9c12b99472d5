/*
 * The quotas that this node owns: for each workspace a token bucket, from which the
 * entries of all nodes borrow. A token is the right to admit one request. No socket, no
 * clock: callers pass the monotonic time in ns. Not thread-safe.
 */
#ifndef MASTICPITCH_QUOTA_OWNER_H
#define MASTICPITCH_QUOTA_OWNER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Part of a burst that a bucket holds, and tokens that it holds beside it, if the burst
 * is as large. The rest is a margin for lent tokens and for partitions that no node has
 * noticed yet.
 */
#define QUOTA_BURST_SHARE 0.8
#define QUOTA_BURST_MIN 10.0
/*
 * Tokens of a bucket whose node has just become the owner: the previous owner may have
 * lent the burst.
 */
#define QUOTA_NEW_BUCKET 2.0
/*
 * Refused entries ask again after this time at the earliest, and at the latest, ms. In
 * between it grows with the refusals, so that they are QUOTA_REFUSALS_PER_S or fewer.
 */
#define QUOTA_RETRY_MIN_MS 20
#define QUOTA_RETRY_MAX_MS 300
#define QUOTA_REFUSALS_PER_S 200
/*
 * A new bucket refuses nothing for this time, ms: it is empty, and entries whose tokens
 * came from the previous owner ask at the same time.
 */
#define QUOTA_HOLD_MS 1000
/* Most tokens in one grant. */
#define QUOTA_GRANT_MAX 1000

typedef struct quota_limit {
	double rate;  /* tokens a second */
	double burst; /* tokens */
} quota_limit_t;

typedef struct quota_grant {
	uint32_t tokens;
	uint32_t retry_ms; /* without tokens: until there may be one */
	bool hold;	   /* without tokens: the entry lets its requests wait */
} quota_grant_t;

typedef struct quota_owner quota_owner_t;

/* Returns NULL if there is no memory. */
quota_owner_t *quota_owner_create(void);
void quota_owner_destroy(quota_owner_t *owner);

/*
 * Lends up to wanted tokens of the workspace. share: see quota_rank_share(); owned_since:
 * this node has owned it since then at the latest. Out of memory: grants nothing.
 */
quota_grant_t quota_owner_lend(quota_owner_t *owner, uint64_t workspace,
    const quota_limit_t *limit, double share, uint32_t wanted, uint64_t owned_since,
    uint64_t now);
/* Tokens that could be lent now; -1: no entry has asked since this node owns it. */
double quota_owner_tokens(const quota_owner_t *owner, uint64_t workspace);
/*
 * Drops the buckets of workspaces that this node does not own any more, as is_owned
 * says. Returns how many.
 */
size_t quota_owner_prune(quota_owner_t *owner,
    bool (*is_owned)(void *context, uint64_t workspace), void *context);
/* Number of buckets. */
size_t quota_owner_count(const quota_owner_t *owner);

#ifdef __cplusplus
}
#endif

#endif
