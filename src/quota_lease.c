#include "quota_lease.h"

#include "hash_table.h"
#include "list.h"
#include "os.h"

#include <math.h>
#include <stdlib.h>

/* Grants whose tokens are kept apart, by their end. */
#define BATCHES_MAX 4

typedef struct batch {
	uint32_t tokens;
	uint64_t until;
} batch_t;

typedef struct item {
	hash_node_t node;
	list_t link;
	batch_t batches[BATCHES_MAX]; /* the first one ends first */
	size_t batch_count;
	uint32_t waiting;    /* requests */
	double rate;	     /* of the quota */
	double demand;	     /* requests in about the last second, decaying */
	uint64_t arrived_at; /* of the last request */
	uint64_t asked_at;   /* last ask without an answer; 0: none */
	uint64_t silent_at;  /* first ask without an answer; 0: none */
	uint64_t refused_to; /* the owner has none until then */
	double reserve;	     /* tokens */
	uint64_t reserve_at; /* last refill; 0: not in use */
} item_t;

struct quota_lease {
	hash_table_t table;
	list_t items;
	size_t members;
	rng_t rng;
};

quota_lease_t *
quota_lease_create(uint64_t seed)
{
	quota_lease_t *lease = calloc(1, sizeof(*lease));

	if (lease == NULL)
		return NULL;
	hash_table_init(&lease->table);
	list_init(&lease->items);
	lease->members = 1;
	rng_init(&lease->rng, seed);
	return lease;
}

static void
item_remove(quota_lease_t *lease, item_t *item)
{
	hash_table_remove(&lease->table, &item->node);
	list_remove(&item->link);
	free(item);
}

void
quota_lease_destroy(quota_lease_t *lease)
{
	if (lease == NULL)
		return;
	LIST_FOREACH_SAFE (node, &lease->items)
		item_remove(lease, LIST_ENTRY(node, item_t, link));
	hash_table_free(&lease->table);
	free(lease);
}

void
quota_lease_members_set(quota_lease_t *lease, size_t members)
{
	lease->members = MAX_OF(members, (size_t)1);
}

static item_t *
item_find(const quota_lease_t *lease, uint64_t workspace)
{
	hash_node_t *node = hash_table_find(&lease->table, workspace, 0);

	return node == NULL ? NULL : HASH_ENTRY(node, item_t, node);
}

static item_t *
item_get(quota_lease_t *lease, uint64_t workspace)
{
	item_t *item = item_find(lease, workspace);

	if (item != NULL)
		return item;
	item = calloc(1, sizeof(*item));
	if (item == NULL)
		return NULL;
	if (hash_table_insert(&lease->table, &item->node, workspace, 0) !=
	    MASTICPITCH_OK) {
		free(item);
		return NULL;
	}
	list_init(&item->link);
	list_append(&lease->items, &item->link);
	return item;
}

static double
seconds_between(uint64_t from, uint64_t to)
{
	return to > from ? (double)(to - from) / (double)NS_PER_S : 0.0;
}

/* Requests a second, over about the last second. */
static double
item_demand(const item_t *item, uint64_t now)
{
	return item->demand * exp(-seconds_between(item->arrived_at, now));
}

static void
batches_expire(item_t *item, uint64_t now)
{
	size_t kept = 0;

	for (size_t i = 0; i < item->batch_count; i++) {
		if (item->batches[i].tokens > 0 && item->batches[i].until > now)
			item->batches[kept++] = item->batches[i];
	}
	item->batch_count = kept;
}

static uint32_t
item_tokens(item_t *item, uint64_t now)
{
	uint32_t tokens = 0;

	batches_expire(item, now);
	for (size_t i = 0; i < item->batch_count; i++)
		tokens += item->batches[i].tokens;
	return tokens;
}

/* Adds tokens. Without room for a batch, they end with an earlier one. */
static void
batch_add(item_t *item, uint32_t tokens, uint64_t until)
{
	size_t at = item->batch_count;

	if (tokens == 0)
		return;
	if (at == BATCHES_MAX) {
		while (at > 1 && item->batches[at - 1].until > until)
			at--;
		item->batches[at - 1].tokens += tokens;
		item->batches[at - 1].until = MIN_OF(item->batches[at - 1].until, until);
		return;
	}
	for (; at > 0 && item->batches[at - 1].until > until; at--)
		item->batches[at] = item->batches[at - 1];
	item->batches[at] = (batch_t){.tokens = tokens, .until = until};
	item->batch_count++;
}

/* True if the owner has been silent for so long that the reserve is used. */
static bool
reserve_take(quota_lease_t *lease, item_t *item, double rate, uint64_t now)
{
	double share = QUOTA_RESERVE_SHARE * rate / (double)lease->members;

	if (item->silent_at == 0 || now < item->silent_at + QUOTA_SILENCE_MS * NS_PER_MS)
		return false;
	if (item->reserve_at == 0) {
		double chance = QUOTA_RESERVE_TOKENS / (double)lease->members;

		item->reserve = rng_unit(&lease->rng) < chance ? 1.0 : 0.0;
	} else {
		item->reserve += share * seconds_between(item->reserve_at, now);
		item->reserve = MIN_OF(item->reserve, MAX_OF(share, 1.0));
	}
	item->reserve_at = now;
	if (item->reserve < 1.0)
		return false;
	item->reserve -= 1.0;
	return true;
}

static quota_take_t
item_take(quota_lease_t *lease, item_t *item, double rate, uint64_t now)
{
	quota_take_t take = {.verdict = QUOTA_WAITING};

	batches_expire(item, now);
	if (item->batch_count > 0) {
		item->batches[0].tokens--;
		take.verdict = QUOTA_ADMITTED;
		take.until = item->batches[0].until;
	} else if (now < item->refused_to) {
		take.verdict = QUOTA_REFUSED;
		take.retry_ms =
		    (uint32_t)((item->refused_to - now + NS_PER_MS - 1) / NS_PER_MS);
	} else if (reserve_take(lease, item, rate, now)) {
		take.verdict = QUOTA_ADMITTED_BY_RESERVE;
	}
	return take;
}

quota_take_t
quota_lease_take(quota_lease_t *lease, uint64_t workspace, double rate, uint64_t now)
{
	item_t *item = item_get(lease, workspace);
	quota_take_t take = {.verdict = QUOTA_REFUSED, .retry_ms = QUOTA_LEASE_MS};

	if (item == NULL)
		return take;
	item->demand = item_demand(item, now) + 1.0;
	item->arrived_at = now;
	item->rate = rate;
	take = item_take(lease, item, rate, now);
	if (take.verdict == QUOTA_WAITING)
		item->waiting++;
	return take;
}

quota_take_t
quota_lease_retake(quota_lease_t *lease, uint64_t workspace, double rate, uint64_t now)
{
	item_t *item = item_find(lease, workspace);
	quota_take_t take;

	INVARIANT(item != NULL && item->waiting > 0);
	take = item_take(lease, item, rate, now);
	if (take.verdict != QUOTA_WAITING)
		item->waiting--;
	return take;
}

void
quota_lease_leave(quota_lease_t *lease, uint64_t workspace)
{
	item_t *item = item_find(lease, workspace);

	INVARIANT(item != NULL && item->waiting > 0);
	item->waiting--;
}

bool
quota_lease_give_back(
    quota_lease_t *lease, uint64_t workspace, uint64_t until, uint64_t now)
{
	item_t *item = item_find(lease, workspace);

	if (item == NULL || now >= until)
		return false;
	batches_expire(item, now);
	batch_add(item, 1, until);
	return true;
}

uint32_t
quota_lease_ask(quota_lease_t *lease, uint64_t workspace, uint64_t now)
{
	item_t *item = item_find(lease, workspace);
	double demand;
	uint32_t tokens;
	uint32_t ahead = 0;

	if (item == NULL || now < item->refused_to ||
	    (item->asked_at != 0 && now < item->asked_at + QUOTA_ASK_MS * NS_PER_MS))
		return 0;
	/* More than the quota is never lent for long: it would end unused. */
	demand = MIN_OF(item_demand(item, now), item->rate);
	tokens = item_tokens(item, now);
	if (demand >= QUOTA_AHEAD_RATE)
		ahead = (uint32_t)ceil(demand * QUOTA_AHEAD_MS / 1000.0);
	/* Half of the demand asked for ahead is left, and nobody waits. */
	if (item->waiting == 0 && tokens >= (ahead + 1) / 2)
		return 0;
	item->asked_at = now;
	if (item->silent_at == 0)
		item->silent_at = now;
	return item->waiting + ahead - MIN_OF(tokens, item->waiting + ahead);
}

void
quota_lease_granted(
    quota_lease_t *lease, uint64_t workspace, const quota_grant_t *grant, uint64_t now)
{
	item_t *item = item_find(lease, workspace);

	if (item == NULL)
		return;
	/* Not the owner: the ask is repeated in time, at the one that is known then. */
	if (grant->tokens == 0 && grant->retry_ms == 0 && !grant->hold)
		return;
	item->silent_at = 0;
	item->reserve_at = 0;
	if (grant->hold)
		return;
	item->asked_at = 0;
	item->refused_to = grant->tokens > 0 ? 0 : now + grant->retry_ms * NS_PER_MS;
	batches_expire(item, now);
	batch_add(item, grant->tokens, now + QUOTA_LEASE_MS * NS_PER_MS);
}

void
quota_lease_sweep(quota_lease_t *lease, uint64_t now)
{
	LIST_FOREACH_SAFE (node, &lease->items) {
		item_t *item = LIST_ENTRY(node, item_t, link);

		if (item->waiting == 0 &&
		    now >= item->arrived_at + QUOTA_LEASE_IDLE_S * NS_PER_S)
			item_remove(lease, item);
	}
}

size_t
quota_lease_count(const quota_lease_t *lease)
{
	return lease->table.count;
}
