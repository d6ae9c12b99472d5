/*
 * The quotas of a configuration, found by the hash of their workspace's name, each with
 * its owner while the members do not change. Not thread-safe.
 */
#ifndef MASTICPITCH_QUOTA_TABLE_H
#define MASTICPITCH_QUOTA_TABLE_H

#include "preset.h"
#include "quota_owner.h"
#include "quota_rank.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct quota_row {
	uint64_t workspace; /* hash of its name */
	quota_limit_t limit;
	uint64_t owner;	     /* see quota_rank_owner() */
	uint64_t generation; /* of the owner; 0: not computed yet */
} quota_row_t;

typedef struct quota_table {
	quota_row_t *rows; /* by workspace */
	size_t count;
} quota_table_t;

/* Reads the preset's workspaces that have a quota. Errors: MASTICPITCH_E_NOMEM. */
int quota_table_read(quota_table_t *table, const preset_t *preset);
void quota_table_free(quota_table_t *table);
/* NULL if the workspace has no quota. */
quota_row_t *quota_table_find(quota_table_t *table, uint64_t workspace);
/* The owner in the view of rank; 0: none. */
uint64_t quota_row_owner(quota_row_t *row, const quota_rank_t *rank);

#ifdef __cplusplus
}
#endif

#endif
