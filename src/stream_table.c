#include "stream_table.h"

#include "util.h"

#include <stdlib.h>

#define BUCKETS_INITIAL 256

static size_t
bucket_of(
    size_t bucket_count, const struct service *service, uint64_t node, uint64_t stream)
{
	uint64_t hash = (stream + (uint64_t)(uintptr_t)service) ^ node;

	hash *= UINT64_C(0x9e3779b97f4a7c15);
	return (size_t)(hash >> 32) & (bucket_count - 1);
}

int
stream_table_init(stream_table_t *table)
{
	table->count = 0;
	table->bucket_count = BUCKETS_INITIAL;
	table->buckets = calloc(table->bucket_count, sizeof(*table->buckets));
	return table->buckets == NULL ? MASTICPITCH_E_NOMEM : MASTICPITCH_OK;
}

void
stream_table_free(stream_table_t *table)
{
	free(table->buckets);
	table->buckets = NULL;
}

/* Without memory the table keeps its size; lookups get slower. */
static void
table_grow(stream_table_t *table)
{
	size_t bucket_count = table->bucket_count * 2;
	stream_bucket_t *buckets = calloc(bucket_count, sizeof(*buckets));

	if (buckets == NULL)
		return;
	for (size_t i = 0; i < table->bucket_count; i++) {
		stream_entry_t *entry = table->buckets[i].first;

		while (entry != NULL) {
			stream_entry_t *next = entry->next;
			size_t bucket = bucket_of(
			    bucket_count, entry->service, entry->node, entry->stream);

			entry->next = buckets[bucket].first;
			buckets[bucket].first = entry;
			entry = next;
		}
	}
	free(table->buckets);
	table->buckets = buckets;
	table->bucket_count = bucket_count;
}

static stream_entry_t *
table_find(const stream_table_t *table, const struct service *service, uint64_t node,
    uint64_t stream)
{
	size_t bucket = bucket_of(table->bucket_count, service, node, stream);

	for (stream_entry_t *entry = table->buckets[bucket].first; entry != NULL;
	     entry = entry->next) {
		if (entry->stream == stream && entry->node == node &&
		    entry->service == service)
			return entry;
	}
	return NULL;
}

int
stream_table_insert(stream_table_t *table, stream_entry_t *entry)
{
	size_t bucket;

	if (table_find(table, entry->service, entry->node, entry->stream) != NULL)
		return MASTICPITCH_E_EXISTS;
	if (table->count >= table->bucket_count)
		table_grow(table);
	bucket =
	    bucket_of(table->bucket_count, entry->service, entry->node, entry->stream);
	entry->next = table->buckets[bucket].first;
	table->buckets[bucket].first = entry;
	table->count++;
	return MASTICPITCH_OK;
}

void
stream_table_remove(stream_table_t *table, stream_entry_t *entry)
{
	size_t bucket =
	    bucket_of(table->bucket_count, entry->service, entry->node, entry->stream);
	stream_entry_t **link = &table->buckets[bucket].first;

	for (; *link != NULL; link = &(*link)->next) {
		if (*link != entry)
			continue;
		*link = entry->next;
		entry->next = NULL;
		table->count--;
		return;
	}
}

stream_entry_t *
stream_table_find(const stream_table_t *table, const message_t *message)
{
	return table_find(table, message->from, message->node, message->stream);
}
