#include "quota_rank.h"

#include "util.h"

#include <stdlib.h>

typedef struct rank_member {
	uint64_t node;
	uint64_t incarnation; /* wall clock at its start, ms */
	uint64_t down_until;  /* counted as silent until then; 0: not down */
	bool reached;	      /* alive and in reach */
	bool silent;	      /* may run behind a partition */
	bool leaving;
	bool old; /* has run for QUOTA_ELIGIBLE_AGE_MS */
} rank_member_t;

struct quota_rank {
	uint64_t self;
	uint64_t started_at;
	uint64_t met_at; /* last new member */
	bool leaving;
	rank_member_t *members;
	size_t count;
	size_t capacity;
	uint64_t *candidates; /* nodes among which owners are chosen */
	size_t candidate_count;
	size_t candidate_capacity;
	uint64_t generation;
	uint64_t changed_at;
	size_t known;
	double share;
	uint64_t rise_at; /* the share may rise then; 0: no rise is due */
};

quota_rank_t *
quota_rank_create(uint64_t self, uint64_t now)
{
	quota_rank_t *rank = calloc(1, sizeof(*rank));

	if (rank == NULL)
		return NULL;
	rank->self = self;
	rank->started_at = now;
	rank->met_at = now;
	rank->changed_at = now;
	rank->known = 1;
	rank->share = 1.0;
	return rank;
}

void
quota_rank_destroy(quota_rank_t *rank)
{
	if (rank == NULL)
		return;
	free(rank->members);
	free(rank->candidates);
	free(rank);
}

static rank_member_t *
member_find(const quota_rank_t *rank, uint64_t node)
{
	for (size_t i = 0; i < rank->count; i++) {
		if (rank->members[i].node == node)
			return &rank->members[i];
	}
	return NULL;
}

static rank_member_t *
member_add(quota_rank_t *rank, uint64_t node)
{
	rank_member_t *member;

	if (rank->count == rank->capacity) {
		size_t capacity = MAX_OF(rank->capacity * 2, (size_t)16);
		rank_member_t *grown =
		    realloc(rank->members, capacity * sizeof(*rank->members));

		if (grown == NULL)
			return NULL;
		rank->members = grown;
		rank->capacity = capacity;
	}
	member = &rank->members[rank->count++];
	*member = (rank_member_t){.node = node};
	return member;
}

static bool
member_is_eligible(const quota_rank_t *rank, const rank_member_t *member)
{
	return member->reached && !member->leaving &&
	       !(rank->leaving && member->node == rank->self);
}

/* Chooses the candidates again: the old nodes in reach, or if there is none, all. */
static void
candidates_update(quota_rank_t *rank, uint64_t now)
{
	size_t count = 0;
	bool any_old = false;
	bool changed = false;

	if (rank->candidate_capacity < rank->capacity) {
		uint64_t *grown =
		    realloc(rank->candidates, rank->capacity * sizeof(*grown));

		if (grown == NULL)
			return;
		rank->candidates = grown;
		rank->candidate_capacity = rank->capacity;
	}
	for (size_t i = 0; i < rank->count; i++)
		any_old |=
		    rank->members[i].old && member_is_eligible(rank, &rank->members[i]);
	for (size_t i = 0; i < rank->count; i++) {
		const rank_member_t *member = &rank->members[i];

		if (!member_is_eligible(rank, member) || (any_old && !member->old))
			continue;
		changed |= count >= rank->candidate_count ||
			   rank->candidates[count] != member->node;
		rank->candidates[count++] = member->node;
	}
	if (!changed && count == rank->candidate_count)
		return;
	rank->candidate_count = count;
	rank->generation++;
	rank->changed_at = now;
}

static double
share_compute(quota_rank_t *rank)
{
	size_t reached = 0;
	size_t silent = 0;
	size_t down = 0;
	double lent;

	for (size_t i = 0; i < rank->count; i++) {
		const rank_member_t *member = &rank->members[i];
		bool is_silent = member->silent && !member->reached;

		reached += member->reached;
		silent += is_silent;
		down += is_silent && member->down_until != 0;
	}
	reached = MAX_OF(reached, (size_t)1);
	rank->known = reached + silent;
	lent = (double)reached;
	if (reached * QUOTA_GROUP_MIN >= rank->known)
		lent += QUOTA_DOWN_WEIGHT * (double)down;
	return lent / (double)rank->known;
}

static void
share_update(quota_rank_t *rank, uint64_t now)
{
	double share = share_compute(rank);

	if (share <= rank->share) {
		rank->share = share;
		rank->rise_at = 0;
	} else if (rank->rise_at == 0) {
		rank->rise_at = now + QUOTA_SHARE_RISE_MS * NS_PER_MS;
	} else if (now >= rank->rise_at) {
		rank->share = share;
		rank->rise_at = 0;
	}
}

int
quota_rank_member(
    quota_rank_t *rank, const member_t *member, uint64_t now, uint64_t wall_ms)
{
	rank_member_t *known = member_find(rank, member->node);
	bool was_leaving;

	if (known == NULL) {
		known = member_add(rank, member->node);
		if (known == NULL)
			return MASTICPITCH_E_NOMEM;
		rank->met_at = now;
	}
	was_leaving = known->leaving;
	known->incarnation = member->incarnation;
	known->old = member->incarnation + QUOTA_ELIGIBLE_AGE_MS <= wall_ms;
	known->leaving = member->state == MEMBER_LEAVING;
	known->reached = member->state != MEMBER_DOWN &&
			 (member->reachable || member->node == rank->self);
	if (member->state != MEMBER_DOWN) {
		known->down_until = 0;
		known->silent = true;
	} else if (was_leaving) {
		known->silent = false;
	} else if (known->down_until == 0) {
		known->down_until = now + QUOTA_DOWN_KEEP_MS * NS_PER_MS;
		known->silent = true;
	}
	candidates_update(rank, now);
	share_update(rank, now);
	return MASTICPITCH_OK;
}

void
quota_rank_remove(quota_rank_t *rank, uint64_t node, uint64_t now)
{
	rank_member_t *member = member_find(rank, node);

	if (member == NULL)
		return;
	*member = rank->members[--rank->count];
	candidates_update(rank, now);
	share_update(rank, now);
}

void
quota_rank_leave(quota_rank_t *rank, uint64_t now)
{
	rank->leaving = true;
	candidates_update(rank, now);
}

void
quota_rank_tick(quota_rank_t *rank, uint64_t now, uint64_t wall_ms)
{
	for (size_t i = 0; i < rank->count; i++) {
		rank_member_t *member = &rank->members[i];

		member->old |= member->incarnation + QUOTA_ELIGIBLE_AGE_MS <= wall_ms;
		if (member->down_until != 0 && now >= member->down_until)
			member->silent = false;
	}
	candidates_update(rank, now);
	share_update(rank, now);
}

uint64_t
quota_rank_owner(const quota_rank_t *rank, uint64_t workspace)
{
	uint64_t best = 0;
	uint64_t owner = 0;

	for (size_t i = 0; i < rank->candidate_count; i++) {
		uint64_t pair[2] = {rank->candidates[i], workspace};
		uint64_t weight = hash_bytes(pair, sizeof(pair), 0);

		if (owner == 0 || weight > best ||
		    (weight == best && rank->candidates[i] > owner)) {
			best = weight;
			owner = rank->candidates[i];
		}
	}
	return owner;
}

bool
quota_rank_may_lend(const quota_rank_t *rank, uint64_t now)
{
	const rank_member_t *self = member_find(rank, rank->self);

	if (self != NULL && self->old)
		return true;
	return now >= rank->started_at + QUOTA_START_MS * NS_PER_MS &&
	       now >= rank->met_at + QUOTA_START_QUIET_MS * NS_PER_MS;
}

double
quota_rank_share(const quota_rank_t *rank)
{
	return rank->share;
}

size_t
quota_rank_known(const quota_rank_t *rank)
{
	return rank->known;
}

uint64_t
quota_rank_generation(const quota_rank_t *rank)
{
	return rank->generation;
}

uint64_t
quota_rank_changed_at(const quota_rank_t *rank)
{
	return rank->changed_at;
}
