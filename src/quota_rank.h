/*
 * Which node owns the quota of a workspace, and how much of it that node may lend:
 * decisions on this node's view of the members. No socket, no clock: callers pass the
 * monotonic time, and the wall clock where an age is computed. Not thread-safe.
 */
#ifndef MASTICPITCH_QUOTA_RANK_H
#define MASTICPITCH_QUOTA_RANK_H

#include "member_types.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * A node owns nothing in its first time while older nodes are in reach, ms: it does not
 * know all members yet, and the others do not know it.
 */
#define QUOTA_ELIGIBLE_AGE_MS 3000
/*
 * If all nodes are young, the owner waits until it has run this long and has met no new
 * member for the second time, ms: each of them would lend the whole quota otherwise.
 */
#define QUOTA_START_MS 1000
#define QUOTA_START_QUIET_MS 300
/*
 * A member that went down without leaving counts as one that may run behind a partition
 * for this long, ms.
 */
#define QUOTA_DOWN_KEEP_MS (5 * 60 * 1000)
/*
 * The share falls at once and rises only after this time, ms: the owner on the other
 * side of a partition that ends learns of it later.
 */
#define QUOTA_SHARE_RISE_MS 1000
/*
 * A node that reaches one member in QUOTA_GROUP_MIN or more adds half of those that went
 * down in zones that it reaches: most of them have failed, and are not cut off. Nodes of
 * an unreachable zone run, and lend their own part.
 */
#define QUOTA_GROUP_MIN 3
#define QUOTA_DOWN_WEIGHT 0.5

typedef struct quota_rank quota_rank_t;

/* Returns NULL if there is no memory. self: id of this node. */
quota_rank_t *quota_rank_create(uint64_t self, uint64_t now);
void quota_rank_destroy(quota_rank_t *rank);

/* A member is new or changed. Errors: MASTICPITCH_E_NOMEM. */
int quota_rank_member(
    quota_rank_t *rank, const member_t *member, uint64_t now, uint64_t wall_ms);
void quota_rank_remove(quota_rank_t *rank, uint64_t node, uint64_t now);
/* This node begins to leave: it owns nothing any more. */
void quota_rank_leave(quota_rank_t *rank, uint64_t now);
/* Call every 100 ms or so. */
void quota_rank_tick(quota_rank_t *rank, uint64_t now, uint64_t wall_ms);

/* The owner of the workspace with that hash in this node's view; 0: none. */
uint64_t quota_rank_owner(const quota_rank_t *rank, uint64_t workspace);
/* False while this node is too young to lend. */
bool quota_rank_may_lend(const quota_rank_t *rank, uint64_t now);
/* Part of a quota that this node may lend, in (0, 1]. */
double quota_rank_share(const quota_rank_t *rank);
/* Members that run or may run, with this node. */
size_t quota_rank_known(const quota_rank_t *rank);
/* Grows whenever owners may have changed; the time of the last change. */
uint64_t quota_rank_generation(const quota_rank_t *rank);
uint64_t quota_rank_changed_at(const quota_rank_t *rank);

#ifdef __cplusplus
}
#endif

#endif
