#include "chunk_queue.h"

#include "util.h"

#include <stdlib.h>
#include <string.h>

#define CAPACITY_INITIAL 4

void
chunk_queue_init(chunk_queue_t *queue)
{
	memset(queue, 0, sizeof(*queue));
}

static chunk_t *
first_remove(chunk_queue_t *queue)
{
	chunk_t *chunk = queue->slots[queue->first].chunk;

	queue->first = (queue->first + 1) & (queue->capacity - 1);
	queue->count--;
	queue->offset = 0;
	return chunk;
}

void
chunk_queue_free(chunk_queue_t *queue)
{
	while (queue->count > 0)
		chunk_release(first_remove(queue));
	free(queue->slots);
	chunk_queue_init(queue);
}

static int
queue_grow(chunk_queue_t *queue)
{
	size_t capacity = queue->capacity == 0 ? CAPACITY_INITIAL : 2 * queue->capacity;
	chunk_slot_t *slots = calloc(capacity, sizeof(*slots));

	if (slots == NULL)
		return MASTICPITCH_E_NOMEM;
	for (size_t i = 0; i < queue->count; i++)
		slots[i] = queue->slots[(queue->first + i) & (queue->capacity - 1)];
	free(queue->slots);
	queue->slots = slots;
	queue->capacity = capacity;
	queue->first = 0;
	return MASTICPITCH_OK;
}

bool
chunk_join(chunk_t **chunk, const chunk_t *piece)
{
	return *chunk != NULL && (*chunk)->references == 1 &&
	       piece->size <= CHUNK_JOINED_BYTES &&
	       chunk_append(chunk, piece->data, piece->size, CHUNK_JOINED_MAX_BYTES) ==
		   MASTICPITCH_OK;
}

/* True if the chunk was joined with the last one, and released. */
static bool
last_join(chunk_queue_t *queue, chunk_t *chunk)
{
	size_t last = (queue->first + queue->count - 1) & (queue->capacity - 1);

	if (queue->count == 0 || !chunk_join(&queue->slots[last].chunk, chunk))
		return false;
	queue->size += chunk->size;
	chunk_release(chunk);
	return true;
}

int
chunk_queue_push(chunk_queue_t *queue, chunk_t *chunk)
{
	if (last_join(queue, chunk))
		return MASTICPITCH_OK;
	if (queue->count == queue->capacity && queue_grow(queue) != MASTICPITCH_OK) {
		chunk_release(chunk);
		return MASTICPITCH_E_NOMEM;
	}
	queue->slots[(queue->first + queue->count) & (queue->capacity - 1)].chunk = chunk;
	queue->count++;
	queue->size += chunk->size;
	return MASTICPITCH_OK;
}

size_t
chunk_queue_read(chunk_queue_t *queue, void *target, size_t size)
{
	uint8_t *bytes = target;
	size_t copied = 0;

	while (copied < size && queue->count > 0) {
		const chunk_t *chunk = queue->slots[queue->first].chunk;
		size_t left = chunk->size - queue->offset;
		size_t copy_size = MIN_OF(left, size - copied);

		memcpy(bytes + copied, chunk->data + queue->offset, copy_size);
		copied += copy_size;
		queue->offset += copy_size;
		if (copy_size == left)
			chunk_release(first_remove(queue));
	}
	queue->size -= copied;
	return copied;
}

chunk_t *
chunk_queue_take(chunk_queue_t *queue)
{
	if (queue->count == 0)
		return NULL;
	INVARIANT(queue->offset == 0);
	queue->size -= queue->slots[queue->first].chunk->size;
	return first_remove(queue);
}

size_t
chunk_queue_first_size(const chunk_queue_t *queue)
{
	return queue->count == 0 ? 0 : queue->slots[queue->first].chunk->size;
}
