/*
 * Streams of one service by their name: (peer service, node, stream id).
 * Intrusive; the owner embeds stream_entry_t. Not thread-safe.
 */
#ifndef MASTICPITCH_STREAM_TABLE_H
#define MASTICPITCH_STREAM_TABLE_H

#include "message.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct stream_entry {
	struct stream_entry *next; /* in its bucket */
	struct service *service;   /* the other end, or peer on its behalf */
	uint64_t node;
	uint64_t stream;
} stream_entry_t;

typedef struct stream_bucket {
	stream_entry_t *first;
} stream_bucket_t;

typedef struct stream_table {
	stream_bucket_t *buckets;
	size_t bucket_count; /* power of two */
	size_t count;
} stream_table_t;

/* Errors: MASTICPITCH_E_NOMEM. */
int stream_table_init(stream_table_t *table);
/* Does not free the entries; their owner does. */
void stream_table_free(stream_table_t *table);
/* Errors: MASTICPITCH_E_EXISTS. */
int stream_table_insert(stream_table_t *table, stream_entry_t *entry);
/* Does nothing if the entry is not in the table. */
void stream_table_remove(stream_table_t *table, stream_entry_t *entry);
/* The stream that a message is about, or NULL. */
stream_entry_t *stream_table_find(const stream_table_t *table, const message_t *message);

#ifdef __cplusplus
}
#endif

#endif
