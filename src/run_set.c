#include "run_set.h"

#include "message.h"
#include "util.h"

#include <string.h>

void
run_set_init(run_set_t *set)
{
	set->count = 0;
}

void
run_set_add(run_set_t *set, const run_item_t *item)
{
	if (set->count < RUN_SET_MAX)
		set->items[set->count++] = *item;
}

void
run_set_remove(run_set_t *set, uint64_t request_hash)
{
	for (size_t i = 0; i < set->count; i++) {
		if (set->items[i].request != request_hash)
			continue;
		set->items[i] = set->items[--set->count];
		return;
	}
}

uint64_t
run_set_parent_hash(const char *request_id)
{
	const char *dot = strrchr(request_id, '.');
	char parent[REQUEST_ID_BYTES];
	size_t length = dot == NULL ? 0 : (size_t)(dot - request_id);

	if (length == 0 || length >= sizeof(parent))
		return 0;
	memcpy(parent, request_id, length);
	parent[length] = '\0';
	return hash_string(parent);
}

static const run_item_t *
item_find(const run_set_t *set, uint64_t request_hash)
{
	for (size_t i = 0; i < set->count; i++) {
		if (set->items[i].request == request_hash)
			return &set->items[i];
	}
	return NULL;
}

const run_item_t *
run_set_find(const run_set_t *set, const char *request_id)
{
	return item_find(set, hash_string(request_id));
}

const run_item_t *
run_set_parent(const run_set_t *set, const char *request_id)
{
	uint64_t parent = run_set_parent_hash(request_id);

	return parent == 0 ? NULL : item_find(set, parent);
}
