#include "spread_members.h"

#include "util.h"

#include "spread.h"

#include <stdlib.h>
#include <string.h>

/* Most zones that a push goes to; the target size is 5 zones in each of 2 regions. */
#define PUSH_ZONES_MAX 64

/* Low bits of a rank, a hash; the bits above them are the class of the link. */
#define RANK_HASH_BITS 58

/*
 * Hosts with fast links rank lowest: a relay downloads the complete document from
 * the platform, which occupies a 5 Mbit/s link for half a second at each change.
 * Links are compared by the power of two of their rate; a hash breaks ties.
 */
static uint64_t
rank_of(uint64_t node, uint32_t link_mbps)
{
	uint64_t link_rank = 32;

	for (; link_mbps > 0; link_mbps /= 2)
		link_rank--;
	return link_rank << RANK_HASH_BITS |
	       hash_bytes(&node, sizeof(node), 0) >> (64 - RANK_HASH_BITS);
}

void
spread_members_init(spread_members_t *members, uint64_t self, uint32_t link_mbps,
    const char *zone, unsigned fan_out)
{
	memset(members, 0, sizeof(*members));
	members->self = self;
	members->self_rank = rank_of(self, link_mbps);
	members->fan_out = fan_out;
	string_copy(members->zone, sizeof(members->zone), zone);
}

void
spread_members_free(spread_members_t *members)
{
	free(members->items);
	free(members->order);
	memset(members, 0, sizeof(*members));
}

/* Index of the first item whose node is not below the given one. */
static size_t
position_of(const spread_members_t *members, uint64_t node)
{
	size_t low = 0;
	size_t high = members->count;

	while (low < high) {
		size_t middle = low + (high - low) / 2;

		if (members->items[middle].node < node)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

spread_member_t *
spread_member_find(const spread_members_t *members, uint64_t node)
{
	size_t position = position_of(members, node);

	if (position < members->count && members->items[position].node == node)
		return &members->items[position];
	return NULL;
}

static bool
items_grow(spread_members_t *members)
{
	size_t capacity = MAX_OF(2 * members->capacity, 16);
	spread_member_t *grown;

	if (members->count < members->capacity)
		return true;
	grown = realloc(members->items, capacity * sizeof(*grown));
	if (grown == NULL)
		return false;
	members->items = grown;
	members->capacity = capacity;
	return true;
}

spread_member_t *
spread_member_get(spread_members_t *members, uint64_t node)
{
	spread_member_t *member = spread_member_find(members, node);
	size_t position;

	if (member != NULL)
		return member;
	if (node == members->self || node == 0 || members->count >= SPREAD_MEMBERS_MAX ||
	    !items_grow(members))
		return NULL;
	position = position_of(members, node);
	member = &members->items[position];
	memmove(member + 1, member, (members->count - position) * sizeof(*member));
	memset(member, 0, sizeof(*member));
	member->node = node;
	member->rank = rank_of(node, 0);
	members->count++;
	return member;
}

void
spread_members_update(spread_members_t *members, const member_t *update)
{
	spread_member_t *member = spread_member_get(members, update->node);

	if (member == NULL)
		return;
	member->listed = true;
	member->rank = rank_of(update->node, update->link_mbps);
	member->state = update->state;
	member->reachable = update->reachable;
	string_copy(member->zone, sizeof(member->zone), update->zone);
	member->version = update->config_version;
	member->floor = MAX_OF(member->floor, update->config_version);
	members->order_valid = false;
	members->own_rank_valid = false;
}

void
spread_members_remove(spread_members_t *members, uint64_t node)
{
	spread_member_t *member = spread_member_find(members, node);

	if (member == NULL)
		return;
	members->count--;
	memmove(member, member + 1,
	    (members->count - (size_t)(member - members->items)) * sizeof(*member));
	members->order_valid = false;
	members->own_rank_valid = false;
}

bool
spread_member_is_usable(const spread_member_t *member)
{
	return member->listed && member->reachable && member->state != MEMBER_DOWN;
}

size_t
spread_members_usable_count(const spread_members_t *members)
{
	size_t count = 0;

	for (size_t i = 0; i < members->count; i++)
		count += spread_member_is_usable(&members->items[i]);
	return count;
}

/* A leaving member does not become the relay. */
static bool
is_relay_candidate(const spread_member_t *member)
{
	return spread_member_is_usable(member) && member->state != MEMBER_LEAVING;
}

static size_t
lower_rank_count(const spread_members_t *members)
{
	size_t lower = 0;

	if (members->self_leaving)
		return SPREAD_MEMBERS_MAX;
	for (size_t i = 0; i < members->count; i++) {
		const spread_member_t *member = &members->items[i];

		lower += member->rank < members->self_rank &&
			 is_relay_candidate(member) &&
			 strcmp(member->zone, members->zone) == 0;
	}
	return lower;
}

size_t
spread_members_own_rank(spread_members_t *members)
{
	if (!members->own_rank_valid) {
		members->own_rank = lower_rank_count(members);
		members->own_rank_valid = true;
	}
	return members->own_rank;
}

bool
spread_members_is_relay(spread_members_t *members)
{
	return spread_members_own_rank(members) == 0;
}

void
spread_members_leave(spread_members_t *members)
{
	members->self_leaving = true;
	members->own_rank_valid = false;
}

uint64_t
spread_members_relay_of(const spread_members_t *members, const char *zone)
{
	const spread_member_t *lowest = NULL;

	for (size_t i = 0; i < members->count; i++) {
		const spread_member_t *member = &members->items[i];

		if (is_relay_candidate(member) && strcmp(member->zone, zone) == 0 &&
		    (lowest == NULL || member->rank < lowest->rank))
			lowest = member;
	}
	return lowest != NULL ? lowest->node : 0;
}

static uint64_t
order_rank(const spread_members_t *members, uint64_t node)
{
	const spread_member_t *member = spread_member_find(members, node);

	return member != NULL ? member->rank : members->self_rank;
}

static int
order_compare(const void *a, const void *b, void *state)
{
	uint64_t first = order_rank(state, *(const uint64_t *)a);
	uint64_t second = order_rank(state, *(const uint64_t *)b);

	return first < second ? -1 : first > second;
}

/* Rebuilds the order of the own zone if it is outdated; false: no memory. */
static bool
order_update(spread_members_t *members)
{
	if (members->order_valid)
		return true;
	if (members->order_capacity < members->count + 1) {
		uint64_t *grown =
		    realloc(members->order, (members->capacity + 1) * sizeof(*grown));

		if (grown == NULL)
			return false;
		members->order = grown;
		members->order_capacity = members->capacity + 1;
	}
	members->order_count = 0;
	members->order[members->order_count++] = members->self;
	for (size_t i = 0; i < members->count; i++) {
		const spread_member_t *member = &members->items[i];

		if (spread_member_is_usable(member) &&
		    strcmp(member->zone, members->zone) == 0)
			members->order[members->order_count++] = member->node;
	}
	qsort_r(members->order, members->order_count, sizeof(uint64_t), order_compare,
	    members);
	members->order_valid = true;
	return true;
}

static size_t
target_add(uint64_t node, uint64_t *targets, size_t count, size_t max)
{
	for (size_t i = 0; i < count; i++) {
		if (targets[i] == node)
			return count;
	}
	if (node == 0 || count == max)
		return count;
	targets[count] = node;
	return count + 1;
}

static size_t
other_zone_targets(
    const spread_members_t *members, uint64_t *targets, size_t count, size_t max)
{
	const char *seen[PUSH_ZONES_MAX];
	size_t zones = 0;

	for (size_t i = 0; i < members->count; i++) {
		const spread_member_t *member = &members->items[i];
		size_t zone = 0;

		if (!spread_member_is_usable(member) ||
		    strcmp(member->zone, members->zone) == 0)
			continue;
		while (zone < zones && strcmp(seen[zone], member->zone) != 0)
			zone++;
		if (zone < zones || zones == PUSH_ZONES_MAX)
			continue;
		seen[zones++] = member->zone;
		count = target_add(
		    spread_members_relay_of(members, member->zone), targets, count, max);
	}
	return count;
}

/* Members of the zone without the relay, at least 1. */
static size_t
tree_non_root_count(const spread_members_t *members)
{
	return MAX_OF(members->order_count, 2) - 1;
}

/*
 * Conversion between positions in a version's push tree and ranks. The relay is the
 * root of every tree; the other nodes are rotated by a hash of the version, which
 * distributes the load: otherwise, with 380 nodes in a zone, the same 47 would send
 * 8 copies of each change and the others none.
 */
static size_t
tree_shift(const spread_members_t *members, uint64_t version)
{
	return (size_t)(hash_bytes(&version, sizeof(version), 0) %
			tree_non_root_count(members));
}

static size_t
tree_position(const spread_members_t *members, size_t rank, size_t shift)
{
	size_t non_root_count = tree_non_root_count(members);

	return rank == 0 ? 0 : 1 + (rank - 1 + non_root_count - shift) % non_root_count;
}

static size_t
tree_rank(const spread_members_t *members, size_t position, size_t shift)
{
	size_t non_root_count = tree_non_root_count(members);

	return position == 0 ? 0 : 1 + (position - 1 + shift) % non_root_count;
}

size_t
spread_members_push_targets(spread_members_t *members, uint64_t version,
    bool from_outside_zone, bool other_zones, uint64_t *targets, size_t max)
{
	size_t count = 0;
	size_t own = 0;
	size_t shift, position;

	if (!order_update(members))
		return 0;
	while (members->order[own] != members->self)
		own++;
	if (from_outside_zone && own != 0)
		count = target_add(members->order[0], targets, count, max);
	shift = tree_shift(members, version);
	position = tree_position(members, own, shift);
	for (size_t i = 0; i < members->fan_out; i++) {
		size_t child = position * members->fan_out + 1 + i;

		if (child < members->order_count)
			count =
			    target_add(members->order[tree_rank(members, child, shift)],
				targets, count, max);
	}
	return other_zones ? other_zone_targets(members, targets, count, max) : count;
}

size_t
spread_members_random(
    const spread_members_t *members, rng_t *rng, uint64_t *targets, size_t count)
{
	size_t chosen = 0;
	size_t seen = 0;

	/* Reservoir sampling: every usable member is equally likely. */
	for (size_t i = 0; i < members->count; i++) {
		const spread_member_t *member = &members->items[i];
		size_t slot;

		if (!spread_member_is_usable(member))
			continue;
		slot = seen < count ? seen : (size_t)rng_below(rng, seen + 1);
		seen++;
		if (slot < count)
			targets[slot] = member->node;
		chosen = MIN_OF(seen, count);
	}
	return chosen;
}

uint64_t
spread_members_source(
    const spread_members_t *members, rng_t *rng, uint64_t version, uint64_t except)
{
	uint64_t source = 0;
	size_t seen = 0;

	for (size_t i = 0; i < members->count; i++) {
		const spread_member_t *member = &members->items[i];

		if (!spread_member_is_usable(member) || member->version < version ||
		    member->node == except)
			continue;
		if (rng_below(rng, ++seen) == 0)
			source = member->node;
	}
	return source;
}
