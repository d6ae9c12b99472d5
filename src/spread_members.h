/*
 * Table of the other nodes for configuration distribution: rank in the zone,
 * relay, push tree, versions and version floors. Not thread-safe.
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
	/* By link and hash of the node id; the lowest live one of a zone is its relay. */
	uint64_t rank;
	char zone[ZONE_BYTES];
	member_state_t state;
	/* Reported by membership; otherwise only version and floor are set. */
	bool listed;
	bool reachable;
	uint64_t version; /* in force there, as last received */
	uint64_t floor;	  /* largest version ever received from or about it */
} spread_member_t;

typedef struct spread_members {
	uint64_t self;
	uint64_t self_rank;
	char zone[ZONE_BYTES];
	bool self_leaving;
	spread_member_t *items; /* sorted by node id; this node is not in it */
	size_t count;
	size_t capacity;
	uint64_t *order; /* nodes of the own zone by rank, including this one */
	size_t order_count;
	size_t order_capacity;
	bool order_valid;
	size_t own_rank; /* number of live members of the zone with a lower rank */
	bool own_rank_valid;
	unsigned fan_out;
} spread_members_t;

/* link_mbps: of this host's link; 0: not known. */
void spread_members_init(spread_members_t *members, uint64_t self, uint32_t link_mbps,
    const char *zone, unsigned fan_out);
void spread_members_free(spread_members_t *members);

/*
 * The entry of a node, created if there is none. NULL: the table is full, there
 * is no memory, or node is this node or 0.
 */
spread_member_t *spread_member_get(spread_members_t *members, uint64_t node);
/* The entry of a node; NULL if there is none. */
spread_member_t *spread_member_find(const spread_members_t *members, uint64_t node);
void spread_members_update(spread_members_t *members, const member_t *member);
/* This node shuts down: it can no longer be the relay. */
void spread_members_leave(spread_members_t *members);
void spread_members_remove(spread_members_t *members, uint64_t node);

/* True if membership reports the member as reachable and not down. */
bool spread_member_is_usable(const spread_member_t *member);
/* Number of usable members, without this node. */
size_t spread_members_usable_count(const spread_members_t *members);
/*
 * Number of live members of the zone that rank below this node;
 * SPREAD_MEMBERS_MAX once it leaves.
 */
size_t spread_members_own_rank(spread_members_t *members);
/* True if this node ranks lowest among its zone's live members. */
bool spread_members_is_relay(spread_members_t *members);
/* The lowest ranked member of a zone, this node excepted; 0: none. */
uint64_t spread_members_relay_of(const spread_members_t *members, const char *zone);
/*
 * Writes the nodes that this one pushes a version to: its children in the
 * version's push tree of the zone; with from_outside_zone (the version came from the
 * platform or another zone) also the tree's root; with other_zones also the
 * relay of each other zone. Returns their number, at most max.
 */
size_t spread_members_push_targets(spread_members_t *members, uint64_t version,
    bool from_outside_zone, bool other_zones, uint64_t *targets, size_t max);
/* Writes up to count distinct random usable members. Returns their number. */
size_t spread_members_random(
    const spread_members_t *members, rng_t *rng, uint64_t *targets, size_t count);
/* A random usable member other than except with at least the version; 0: none. */
uint64_t spread_members_source(
    const spread_members_t *members, rng_t *rng, uint64_t version, uint64_t except);

#ifdef __cplusplus
}
#endif

#endif
