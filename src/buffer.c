#include "buffer.h"

#include "util.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BUFFER_MIN_CAPACITY 256

chunk_t *
chunk_create(size_t size)
{
	chunk_t *chunk = malloc(sizeof(*chunk) + size);

	if (chunk == NULL)
		return NULL;
	chunk->references = 1;
	chunk->capacity = (uint32_t)size;
	chunk->size = size;
	return chunk;
}

chunk_t *
chunk_copy(const void *data, size_t size)
{
	chunk_t *chunk = chunk_create(size);

	if (chunk != NULL && size > 0)
		memcpy(chunk->data, data, size);
	return chunk;
}

chunk_t *
chunk_hold(chunk_t *chunk)
{
	chunk->references++;
	return chunk;
}

void
chunk_release(chunk_t *chunk)
{
	if (chunk == NULL)
		return;
	INVARIANT(chunk->references > 0);
	if (--chunk->references == 0)
		free(chunk);
}

int
chunk_append(chunk_t **chunk, const void *data, size_t size, size_t size_max)
{
	chunk_t *grown = *chunk;
	size_t old_size = grown == NULL ? 0 : grown->size;
	size_t capacity;

	if (size > size_max || old_size > size_max - size)
		return MASTICPITCH_E_LIMIT;
	if (grown == NULL || grown->capacity < old_size + size) {
		capacity = MIN_OF(MAX_OF(2 * old_size, old_size + size), size_max);
		grown = realloc(grown, sizeof(*grown) + capacity);
		if (grown == NULL)
			return MASTICPITCH_E_NOMEM;
		if (*chunk == NULL)
			grown->references = 1;
		grown->capacity = (uint32_t)capacity;
		*chunk = grown;
	}
	INVARIANT(grown->references == 1);
	memcpy(grown->data + old_size, data, size);
	grown->size = old_size + size;
	return MASTICPITCH_OK;
}

void
buffer_init(buffer_t *buffer, size_t limit)
{
	memset(buffer, 0, sizeof(*buffer));
	buffer->limit = limit;
}

void
buffer_free(buffer_t *buffer)
{
	free(buffer->data);
	buffer_init(buffer, buffer->limit);
}

/* Makes room for size more bytes and a terminator. */
static int
buffer_reserve(buffer_t *buffer, size_t size)
{
	size_t needed = buffer->size + size + 1;
	size_t capacity = MAX_OF(buffer->capacity, BUFFER_MIN_CAPACITY);
	uint8_t *data;

	if (size > buffer->limit || buffer->size > buffer->limit - size)
		return MASTICPITCH_E_LIMIT;
	if (needed <= buffer->capacity)
		return MASTICPITCH_OK;
	while (capacity < needed)
		capacity *= 2;
	data = realloc(buffer->data, capacity);
	if (data == NULL)
		return MASTICPITCH_E_NOMEM;
	buffer->data = data;
	buffer->capacity = capacity;
	return MASTICPITCH_OK;
}

int
buffer_append(buffer_t *buffer, const void *data, size_t size)
{
	int error = buffer_reserve(buffer, size);

	if (error != MASTICPITCH_OK)
		return error;
	if (size > 0)
		memcpy(buffer->data + buffer->size, data, size);
	buffer->size += size;
	return MASTICPITCH_OK;
}

int
buffer_printf(buffer_t *buffer, const char *format, ...)
{
	va_list arguments;
	int length, error;

	va_start(arguments, format);
	length = vsnprintf(NULL, 0, format, arguments);
	va_end(arguments);
	if (length < 0)
		return MASTICPITCH_E_INVALID;
	error = buffer_reserve(buffer, (size_t)length);
	if (error != MASTICPITCH_OK)
		return error;
	va_start(arguments, format);
	vsnprintf(
	    (char *)buffer->data + buffer->size, (size_t)length + 1, format, arguments);
	va_end(arguments);
	buffer->size += (size_t)length;
	return MASTICPITCH_OK;
}

void
buffer_consume(buffer_t *buffer, size_t size)
{
	INVARIANT(size <= buffer->size);
	buffer->size -= size;
	if (buffer->size > 0)
		memmove(buffer->data, buffer->data + size, buffer->size);
}

const char *
buffer_text(buffer_t *buffer)
{
	if (buffer_reserve(buffer, 0) != MASTICPITCH_OK)
		return NULL;
	buffer->data[buffer->size] = '\0';
	return (const char *)buffer->data;
}
