#include "queue_internal.h"

/* Calls of a workspace that wait in a band, for each call a second of its quota. */
static double
workspace_load(
    const queue_band_t *band, uint64_t workspace, double rate, uint32_t additional)
{
	uint32_t count = additional;

	LIST_FOREACH (node, &band->items)
		count +=
		    LIST_ENTRY(node, const queue_item_t, link)->workspace == workspace;
	return rate > 0 ? count / rate : count;
}

queue_item_t *
queue_excess_find(const queue_t *queue, const queue_item_t *item)
{
	queue_item_t *found = NULL;
	double most;

	for (uint32_t i = 0; i < queue->waiting_count; i++) {
		const queue_band_t *band = queue->waiting[i];

		if (order_key_compare(band->key, queue_item_key(item)) != 0)
			continue;
		most = QUEUE_WORKSPACE_EXCESS *
		       workspace_load(band, item->workspace, item->workspace_rate, 1);
		for (list_t *node = band->items.prev; node != &band->items;
		     node = node->prev) {
			queue_item_t *other = LIST_ENTRY(node, queue_item_t, link);
			double load;

			if (other->workspace == item->workspace || other->workspace == 0)
				continue;
			load = workspace_load(
			    band, other->workspace, other->workspace_rate, 0);
			if (load <= most)
				continue;
			most = load;
			found = other;
		}
	}
	return found;
}
