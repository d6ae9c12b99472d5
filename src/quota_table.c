#include "quota_table.h"

#include "util.h"

#include <stdlib.h>

static int
row_compare(const void *a, const void *b)
{
	const quota_row_t *x = a;
	const quota_row_t *y = b;

	return x->workspace < y->workspace ? -1 : x->workspace > y->workspace;
}

int
quota_table_read(quota_table_t *table, const preset_t *preset)
{
	size_t count = 0;

	quota_table_free(table);
	for (size_t i = 0; i < preset->workspace_count; i++)
		count += preset->workspaces[i].rate > 0.0;
	if (count == 0)
		return MASTICPITCH_OK;
	table->rows = calloc(count, sizeof(*table->rows));
	if (table->rows == NULL)
		return MASTICPITCH_E_NOMEM;
	for (size_t i = 0; i < preset->workspace_count; i++) {
		const preset_workspace_t *workspace = &preset->workspaces[i];

		if (workspace->rate > 0.0)
			table->rows[table->count++] =
			    (quota_row_t){.workspace = hash_string(workspace->name),
				.limit = {
				    .rate = workspace->rate, .burst = workspace->burst}};
	}
	qsort(table->rows, table->count, sizeof(*table->rows), row_compare);
	return MASTICPITCH_OK;
}

void
quota_table_free(quota_table_t *table)
{
	free(table->rows);
	*table = (quota_table_t){0};
}

quota_row_t *
quota_table_find(quota_table_t *table, uint64_t workspace)
{
	const quota_row_t key = {.workspace = workspace};

	if (table->count == 0)
		return NULL;
	return bsearch(&key, table->rows, table->count, sizeof(key), row_compare);
}

uint64_t
quota_row_owner(quota_row_t *row, const quota_rank_t *rank)
{
	uint64_t generation = quota_rank_generation(rank) + 1;

	if (row->generation != generation) {
		row->generation = generation;
		row->owner = quota_rank_owner(rank, row->workspace);
	}
	return row->owner;
}
