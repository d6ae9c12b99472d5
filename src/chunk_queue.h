/*
 * A queue of chunks that is read as one byte sequence. Small chunks are joined, so that
 * the memory of the queue stays in proportion to its bytes. Not thread-safe.
 */
#ifndef MASTICPITCH_CHUNK_QUEUE_H
#define MASTICPITCH_CHUNK_QUEUE_H

#include "buffer.h"

#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Chunks up to this size are copied behind the last one, bytes. */
#define CHUNK_JOINED_BYTES 1024
/* Largest chunk that results, bytes. */
#define CHUNK_JOINED_MAX_BYTES (16 * 1024)

typedef struct chunk_slot {
	chunk_t *chunk;
} chunk_slot_t;

typedef struct chunk_queue {
	chunk_slot_t *slots; /* ring */
	size_t capacity;     /* power of two, or 0 */
	size_t first;
	size_t count;
	size_t offset; /* bytes of the first chunk that have been read */
	size_t size;   /* unread bytes */
} chunk_queue_t;

void chunk_queue_init(chunk_queue_t *queue);
/* Releases the remaining chunks. */
void chunk_queue_free(chunk_queue_t *queue);
/*
 * Appends to a chunk with one reference, if the result is at most CHUNK_JOINED_MAX_BYTES
 * long and the piece at most CHUNK_JOINED_BYTES. False: not joined, *chunk is unchanged.
 */
bool chunk_join(chunk_t **chunk, const chunk_t *piece);
/* Takes ownership of the reference; released on error. Errors: MASTICPITCH_E_NOMEM. */
int chunk_queue_push(chunk_queue_t *queue, chunk_t *chunk);
/* Copies and removes at most size bytes; returns how many. */
size_t chunk_queue_read(chunk_queue_t *queue, void *target, size_t size);
/* Size of the first chunk, 0 if there is none. */
size_t chunk_queue_first_size(const chunk_queue_t *queue);
/* Removes and returns the first chunk, which must not be partly read; NULL: empty. */
chunk_t *chunk_queue_take(chunk_queue_t *queue);

#ifdef __cplusplus
}
#endif

#endif
