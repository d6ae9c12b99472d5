/*
 * What configuration distribution knows of other nodes: order in the zone,
 * the relay, the push tree, versions and floors. One thread.
 */
#ifndef MASTICPITCH_SPREAD_MEMBERS_H
#define MASTICPITCH_SPREAD_MEMBERS_H

#include "member_types.h"
#include "util.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct spread_member {
	uint64_t node;
	uint64_t
	    rank; /* by link and hash of the node id; the lowest live one is the relay */
	char zone[ZONE_BYTES];
	member_state_t state;
	bool known; /* membership reported it; else only its version is known */
	bool reachable;
	uint64_t version; /* in force there, as last heard */
	uint64_t floor;	  /* largest version ever heard of it */
} spread_member_t;

typedef struct spread_members {
	uint64_t self;
	uint64_t self_rank;
	char zone[ZONE_BYTES];
	bool self_leaving;
	spread_member_t *items; /* sorted by node; without this node */
	size_t count;
	size_t capacity;
	uint64_t *order; /* nodes of the own zone by rank, this one among them */
	size_t order_count;
	size_t order_capacity;
	bool order_valid;
	size_t own_rank; /* live members of the zone below this node */
	bool own_rank_valid;
	unsigned fan_out;
} spread_members_t;

/* link_mbps: of this host's link; 0: not known. */
void spread_members_init(spread_members_t *members, uint64_t self, uint32_t link_mbps,
    const char *zone, unsigned fan_out);
void spread_members_free(spread_members_t *members);

/*
 * The entry of a node, created if there is none. NULL: the table is full, no
 * memory, or it is this node.
 */
spread_member_t *spread_member_get(spread_members_t *members, uint64_t node);
/* NULL if there is none. */
spread_member_t *spread_member_find(const spread_members_t *members, uint64_t node);
void spread_members_update(spread_members_t *members, const member_t *member);
/* This node stops: it is no relay any more. */
void spread_members_leave(spread_members_t *members);
void spread_members_remove(spread_members_t *members, uint64_t node);

/* A member that messages can reach as far as is known. */
bool spread_member_is_usable(const spread_member_t *member);
/* Members that are usable, without this node. */
size_t spread_members_usable_count(const spread_members_t *members);
/* Live members of its zone that rank below this node; many once it leaves. */
size_t spread_members_own_rank(spread_members_t *members);
/* True if this node ranks lowest among its zone's live members. */
bool spread_members_is_relay(spread_members_t *members);
/* The member of that zone that ranks lowest; 0: none. Own zone: never itself. */
uint64_t spread_members_relay_of(const spread_members_t *members, const char *zone);
/*
 * The nodes that this one pushes a version to: its children in that version's
 * tree of the zone; for a
 * version that comes from outside the zone also the tree's root, and with
 * other_zones one member of each other zone. Returns their number, at most max.
 */
size_t spread_members_push_targets(spread_members_t *members, uint64_t version,
    bool from_outside_zone, bool other_zones, uint64_t *targets, size_t max);
/* Up to count different random usable members. Returns their number. */
size_t spread_members_random(
    const spread_members_t *members, rng_t *rng, uint64_t *targets, size_t count);
/* A random usable member that has at least the version; 0: none. */
uint64_t spread_members_source(
    const spread_members_t *members, rng_t *rng, uint64_t version, uint64_t except);

#ifdef __cplusplus
}
#endif

#endif
