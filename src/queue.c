#include "queue.h"

void
queue_init(queue_t *queue, uint32_t limit, uint32_t slots, bool ordered)
{
	*queue = (queue_t){.ordered = ordered};
	for (int i = 0; i < ROUTE_CLASS_COUNT; i++)
		list_init(&queue->classes[i].items);
	queue_limit_set(queue, limit, slots);
}

void
queue_limit_set(queue_t *queue, uint32_t limit, uint32_t slots)
{
	queue->limit = limit != 0 ? limit : QUEUE_LIMIT_PER_SLOT * slots;
}

reason_t
queue_push(queue_t *queue, queue_item_t *item, uint32_t running_limit, uint64_t now,
    queue_item_t **shed)
{
	*shed = NULL;
	if (queue->count >= queue->limit)
		return REASON_QUEUE_FULL;
	item->queued_at = now;
	item->queued = true;
	list_append(&queue->classes[item->route_class].items, &item->link);
	queue->count++;
	return REASON_NONE;
}

queue_item_t *
queue_pop(queue_t *queue, uint64_t now)
{
	return queue_drain(queue);
}

queue_item_t *
queue_expire(queue_t *queue, uint64_t now, reason_t *reason)
{
	return NULL;
}

uint64_t
queue_next_deadline(const queue_t *queue)
{
	return TIME_NEVER;
}

void
queue_remove(queue_t *queue, queue_item_t *item)
{
	if (!item->queued)
		return;
	list_remove(&item->link);
	item->queued = false;
	queue->count--;
}

queue_item_t *
queue_drain(queue_t *queue)
{
	for (int i = 0; i < ROUTE_CLASS_COUNT; i++) {
		if (!list_is_empty(&queue->classes[i].items)) {
			queue_item_t *item =
			    LIST_ENTRY(queue->classes[i].items.next, queue_item_t, link);

			queue_remove(queue, item);
			return item;
		}
	}
	return NULL;
}

void
queue_service_record(
    queue_t *queue, route_class_t route_class, uint64_t duration_ns, uint64_t now)
{
}

uint64_t
queue_wait_expected(const queue_t *queue, route_class_t route_class, uint64_t deadline,
    uint32_t running_limit, uint64_t now)
{
	return 0;
}

uint32_t
queue_length(const queue_t *queue)
{
	return queue->count;
}
