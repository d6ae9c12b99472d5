#include "quota_owner.h"

#include "hash_table.h"
#include "list.h"
#include "os.h"
#include "util.h"

#include <stdlib.h>

typedef struct bucket {
	hash_node_t node;
	list_t link;
	double tokens;
	uint64_t filled_at;
	uint64_t hold_until;
	double refusals; /* in about the last second, decaying */
	uint64_t refused_at;
} bucket_t;

struct quota_owner {
	hash_table_t table;
	list_t buckets;
};

quota_owner_t *
quota_owner_create(void)
{
	quota_owner_t *owner = calloc(1, sizeof(*owner));

	if (owner == NULL)
		return NULL;
	hash_table_init(&owner->table);
	list_init(&owner->buckets);
	return owner;
}

static void
bucket_remove(quota_owner_t *owner, bucket_t *bucket)
{
	hash_table_remove(&owner->table, &bucket->node);
	list_remove(&bucket->link);
	free(bucket);
}

void
quota_owner_destroy(quota_owner_t *owner)
{
	if (owner == NULL)
		return;
	LIST_FOREACH_SAFE (node, &owner->buckets)
		bucket_remove(owner, LIST_ENTRY(node, bucket_t, link));
	hash_table_free(&owner->table);
	free(owner);
}

static bucket_t *
bucket_find(const quota_owner_t *owner, uint64_t workspace)
{
	hash_node_t *node = hash_table_find(&owner->table, workspace, 0);

	return node == NULL ? NULL : HASH_ENTRY(node, bucket_t, node);
}

static double
seconds_between(uint64_t from, uint64_t to)
{
	return to > from ? (double)(to - from) / (double)NS_PER_S : 0.0;
}

/* Most tokens that are kept: at least one, or no request could ever run. */
static double
bucket_size(const quota_limit_t *limit, double share)
{
	double size =
	    MIN_OF(limit->burst, QUOTA_BURST_SHARE * limit->burst + QUOTA_BURST_MIN);

	return MAX_OF(size * share, 1.0);
}

static bucket_t *
bucket_get(quota_owner_t *owner, uint64_t workspace, uint64_t owned_since)
{
	bucket_t *bucket = bucket_find(owner, workspace);

	if (bucket != NULL)
		return bucket;
	bucket = calloc(1, sizeof(*bucket));
	if (bucket == NULL)
		return NULL;
	if (hash_table_insert(&owner->table, &bucket->node, workspace, 0) !=
	    MASTICPITCH_OK) {
		free(bucket);
		return NULL;
	}
	bucket->tokens = QUOTA_NEW_BUCKET;
	bucket->filled_at = owned_since;
	bucket->hold_until = owned_since + QUOTA_HOLD_MS * NS_PER_MS;
	list_init(&bucket->link);
	list_append(&owner->buckets, &bucket->link);
	return bucket;
}

/* Records a refusal; returns the time after which the entry may ask again, ms. */
static uint32_t
bucket_refuse(bucket_t *bucket, double rate, uint64_t now)
{
	double gone = seconds_between(bucket->refused_at, now);
	double spread_ms;
	double refill_ms = (1.0 - bucket->tokens) / rate * 1000.0;

	bucket->refusals = gone >= 1.0 ? 1.0 : bucket->refusals * (1.0 - gone) + 1.0;
	bucket->refused_at = now;
	spread_ms = bucket->refusals / QUOTA_REFUSALS_PER_S * QUOTA_RETRY_MAX_MS;
	return (uint32_t)MIN_OF(
	    MAX_OF(MAX_OF(refill_ms, spread_ms), QUOTA_RETRY_MIN_MS), QUOTA_RETRY_MAX_MS);
}

quota_grant_t
quota_owner_lend(quota_owner_t *owner, uint64_t workspace, const quota_limit_t *limit,
    double share, uint32_t wanted, uint64_t owned_since, uint64_t now)
{
	bucket_t *bucket = bucket_get(owner, workspace, owned_since);
	double rate = limit->rate * share;
	quota_grant_t grant = {.retry_ms = QUOTA_RETRY_MAX_MS};

	if (bucket == NULL)
		return grant;
	bucket->tokens += rate * seconds_between(bucket->filled_at, now);
	bucket->tokens = MIN_OF(bucket->tokens, bucket_size(limit, share));
	bucket->filled_at = now;
	grant.tokens = (uint32_t)MIN_OF(
	    (double)MIN_OF(wanted, (uint32_t)QUOTA_GRANT_MAX), bucket->tokens);
	bucket->tokens -= grant.tokens;
	grant.hold = grant.tokens == 0 && now < bucket->hold_until;
	grant.retry_ms =
	    grant.tokens > 0 || grant.hold ? 0 : bucket_refuse(bucket, rate, now);
	return grant;
}

double
quota_owner_tokens(const quota_owner_t *owner, uint64_t workspace)
{
	const bucket_t *bucket = bucket_find(owner, workspace);

	return bucket == NULL ? -1.0 : bucket->tokens;
}

size_t
quota_owner_prune(quota_owner_t *owner,
    bool (*is_owned)(void *context, uint64_t workspace), void *context)
{
	size_t count = 0;

	LIST_FOREACH_SAFE (node, &owner->buckets) {
		bucket_t *bucket = LIST_ENTRY(node, bucket_t, link);

		if (is_owned(context, bucket->node.key))
			continue;
		bucket_remove(owner, bucket);
		count++;
	}
	return count;
}

size_t
quota_owner_count(const quota_owner_t *owner)
{
	return owner->table.count;
}
