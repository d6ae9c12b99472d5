/*
 * Shared declarations of the queue; see queue.h. queue.c: bands, late queue, admission.
 * queue_wait.c: service times and expected waits. queue_share.c: shares of workspaces.
 */
#ifndef MASTICPITCH_QUEUE_INTERNAL_H
#define MASTICPITCH_QUEUE_INTERNAL_H

#include "queue.h"

static inline order_key_t
queue_item_key(const queue_item_t *item)
{
	return (order_key_t){.rank = item->rank, .route_class = item->route_class};
}

/* queue_wait.c */
/* Expected time of one call of the class at the backend server, ns. */
double queue_service_time(const queue_class_t *class, uint64_t now);
/* Whether a band of nested calls goes before new requests that are more urgent. */
bool queue_is_ahead_of_urgent(order_key_t nested, order_key_t key);

/* queue_share.c */
/*
 * The last waiting call of the workspace that has most waiting in the band of an item
 * that finds no room, if that is in excess of the item's own; else NULL. Without this, a
 * workspace with many times its usual requests takes the room of the others of its rank.
 */
queue_item_t *queue_excess_find(const queue_t *queue, const queue_item_t *item);

#endif
