#include "common_store.h"

#include "util.h"

#include <stdlib.h>
#include <string.h>

item_t *
store_find(store_t *store, const char *key)
{
	for (size_t i = 0; i < store->item_count; i++)
		if (strcmp(store->items[i].key, key) == 0)
			return &store->items[i];
	return NULL;
}

static void
item_free(item_t *item)
{
	free(item->key);
	chunk_release(item->value);
}

static void
history_add(store_t *store, const char *key, chunk_t *value, uint64_t lease)
{
	while (store->history_count == HISTORY_MAX ||
	       (store->history_count > 0 && store->history_bytes > HISTORY_BYTES_MAX)) {
		item_t *oldest = &store->history[0];

		store->history_bytes -= oldest->value != NULL ? oldest->value->size : 0;
		item_free(oldest);
		memmove(oldest, oldest + 1, --store->history_count * sizeof(*oldest));
	}
	store->history[store->history_count++] = (item_t){strdup(key),
	    value != NULL ? chunk_hold(value) : NULL, store->revision, lease};
	store->history_bytes += value != NULL ? value->size : 0;
}

static void
item_remove(store_t *store, item_t *item)
{
	item_free(item);
	*item = store->items[--store->item_count];
}

static item_t *
item_add(store_t *store, const char *key)
{
	item_t *items =
	    realloc(store->items, (store->item_count + 1) * sizeof(*store->items));

	if (items == NULL)
		abort();
	store->items = items;
	items[store->item_count] = (item_t){strdup(key), NULL, 0, 0};
	return &items[store->item_count++];
}

void
store_put(store_t *store, const char *key, chunk_t *value, uint64_t lease)
{
	item_t *item = store_find(store, key);

	if (item == NULL)
		item = item_add(store, key);
	chunk_release(item->value);
	item->value = value;
	item->lease = lease;
	item->revision = ++store->revision;
	history_add(store, key, value, lease);
}

void
store_delete(store_t *store, item_t *item)
{
	store->revision++;
	history_add(store, item->key, NULL, 0);
	item_remove(store, item);
}

void
store_regress(store_t *store, uint64_t revision)
{
	for (size_t i = store->item_count; i-- > 0;)
		if (store->items[i].revision > revision)
			item_remove(store, &store->items[i]);
	for (size_t i = store->history_count; i-- > 0;) {
		item_t *old = &store->history[i];

		if (old->revision > revision || store_find(store, old->key) != NULL)
			continue;
		item_t *item = item_add(store, old->key);

		item->value = old->value != NULL ? chunk_hold(old->value) : NULL;
		item->revision = old->revision;
		item->lease = old->lease;
	}
	for (size_t i = store->item_count; i-- > 0;)
		if (store->items[i].value == NULL)
			item_remove(store, &store->items[i]);
	while (store->history_count > 0 &&
	       store->history[store->history_count - 1].revision > revision)
		item_free(&store->history[--store->history_count]);
	store->revision = MIN_OF(revision, store->revision);
}

void
store_leases_restore(store_t *store, uint64_t last_lease)
{
	for (size_t i = store->item_count; i-- > 0;)
		if (store->items[i].lease > last_lease)
			item_remove(store, &store->items[i]);
	for (size_t i = 0; i < LEASES_MAX; i++)
		if (store->leases[i].id > last_lease)
			store->leases[i].id = 0;
	store->next_lease = MIN_OF(last_lease, store->next_lease);
	store->epoch++;
}

void
store_lease_end(store_t *store, lease_t *lease)
{
	for (size_t i = store->item_count; i-- > 0;)
		if (store->items[i].lease == lease->id)
			store_delete(store, &store->items[i]);
	lease->id = 0;
}

lease_t *
store_lease_find(store_t *store, uint64_t id)
{
	for (size_t i = 0; i < LEASES_MAX; i++)
		if (id != 0 && store->leases[i].id == id)
			return &store->leases[i];
	return NULL;
}

lease_t *
store_lease_create(store_t *store, uint64_t ttl_ns, uint64_t now)
{
	for (size_t i = 0; i < LEASES_MAX; i++) {
		if (store->leases[i].id != 0)
			continue;
		store->leases[i] = (lease_t){++store->next_lease, ttl_ns, now + ttl_ns};
		return &store->leases[i];
	}
	return NULL;
}

bool
store_expire(store_t *store, uint64_t now)
{
	bool expired = false;

	for (size_t i = 0; i < LEASES_MAX; i++) {
		if (store->leases[i].id == 0 || store->leases[i].expires_at > now)
			continue;
		store_lease_end(store, &store->leases[i]);
		expired = true;
	}
	return expired;
}

int
store_init(store_t *store)
{
	store->epoch = 1;
	store->history = calloc(HISTORY_MAX, sizeof(item_t));
	return store->history != NULL ? MASTICPITCH_OK : MASTICPITCH_E_NOMEM;
}
