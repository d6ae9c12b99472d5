/*
 * Reference-counted bytes (chunk_t), immutable while they are shared, and a growing
 * byte buffer (buffer_t) with an upper bound. Not thread-safe.
 */
#ifndef MASTICPITCH_BUFFER_H
#define MASTICPITCH_BUFFER_H

#include "masticpitch/masticpitch.h"

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct chunk {
	uint32_t references;
	uint32_t capacity; /* bytes of data */
	size_t size;
	uint8_t data[];
} chunk_t;

/* A chunk with one reference and size uninitialised bytes; NULL: no memory. */
chunk_t *chunk_create(size_t size);
chunk_t *chunk_copy(const void *data, size_t size);
chunk_t *chunk_hold(chunk_t *chunk);
/* Drops one reference; NULL is allowed. */
void chunk_release(chunk_t *chunk);
/*
 * Appends to a chunk that has one reference, which may move. The capacity at least
 * doubles when it grows, up to size_max bytes. *chunk may be NULL: a new one is created.
 * Errors: MASTICPITCH_E_LIMIT beyond size_max, MASTICPITCH_E_NOMEM; *chunk is then
 * unchanged.
 */
int chunk_append(chunk_t **chunk, const void *data, size_t size, size_t size_max);

typedef struct buffer {
	uint8_t *data;
	size_t size;
	size_t capacity;
	size_t limit; /* bytes; append fails beyond it */
} buffer_t;

void buffer_init(buffer_t *buffer, size_t limit);
void buffer_free(buffer_t *buffer);
/* Errors: MASTICPITCH_E_LIMIT, MASTICPITCH_E_NOMEM; the buffer is then unchanged. */
int buffer_append(buffer_t *buffer, const void *data, size_t size);
int buffer_printf(buffer_t *buffer, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
/* Removes size bytes from the front. */
void buffer_consume(buffer_t *buffer, size_t size);
/* Terminates the content with a NUL that is not counted; NULL: no memory. */
const char *buffer_text(buffer_t *buffer);

#ifdef __cplusplus
}
#endif

#endif
