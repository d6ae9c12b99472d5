#include "hash_table.h"

#include "util.h"

#include <stdlib.h>
#include <string.h>

#define CAPACITY_MIN 64

void
hash_table_init(hash_table_t *table)
{
	memset(table, 0, sizeof(*table));
}

void
hash_table_free(hash_table_t *table)
{
	free(table->buckets);
	hash_table_init(table);
}

static size_t
bucket_of(const hash_table_t *table, uint64_t key, uint64_t sub_key)
{
	uint64_t mixed = (key ^ (sub_key * UINT64_C(0x9e3779b97f4a7c15))) *
			 UINT64_C(0xbf58476d1ce4e5b9);

	return (size_t)(mixed >> 32) & (table->capacity - 1);
}

static int
hash_table_grow(hash_table_t *table)
{
	hash_table_t grown = {
	    .capacity = MAX_OF(table->capacity * 2, CAPACITY_MIN), .count = table->count};

	grown.buckets = calloc(grown.capacity, sizeof(hash_node_t *));
	if (grown.buckets == NULL)
		return MASTICPITCH_E_NOMEM;
	for (size_t i = 0; i < table->capacity; i++) {
		hash_node_t *node = table->buckets[i];

		while (node != NULL) {
			hash_node_t *next = node->next;
			size_t bucket = bucket_of(&grown, node->key, node->sub_key);

			node->next = grown.buckets[bucket];
			grown.buckets[bucket] = node;
			node = next;
		}
	}
	free(table->buckets);
	*table = grown;
	return MASTICPITCH_OK;
}

int
hash_table_insert(hash_table_t *table, hash_node_t *node, uint64_t key, uint64_t sub_key)
{
	size_t bucket;

	/* If growing fails, the full table still works, with longer chains. */
	if (table->count >= table->capacity && hash_table_grow(table) != MASTICPITCH_OK &&
	    table->capacity == 0)
		return MASTICPITCH_E_NOMEM;
	node->key = key;
	node->sub_key = sub_key;
	bucket = bucket_of(table, key, sub_key);
	node->next = table->buckets[bucket];
	table->buckets[bucket] = node;
	table->count++;
	return MASTICPITCH_OK;
}

hash_node_t *
hash_table_find(const hash_table_t *table, uint64_t key, uint64_t sub_key)
{
	hash_node_t *node;

	if (table->capacity == 0)
		return NULL;
	node = table->buckets[bucket_of(table, key, sub_key)];
	while (node != NULL && (node->key != key || node->sub_key != sub_key))
		node = node->next;
	return node;
}

void
hash_table_remove(hash_table_t *table, hash_node_t *node)
{
	hash_node_t **link;

	INVARIANT(table->capacity > 0);
	link = &table->buckets[bucket_of(table, node->key, node->sub_key)];
	while (*link != node) {
		INVARIANT(*link != NULL);
		link = &(*link)->next;
	}
	*link = node->next;
	table->count--;
}
