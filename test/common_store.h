/*
 * Keys, revisions, leases and history of the platform's stand-in. One thread
 * at a time.
 */
#ifndef MASTICPITCH_COMMON_STORE_H
#define MASTICPITCH_COMMON_STORE_H

#include "buffer.h"

#include <stdbool.h>
#include <stdint.h>

#define LEASES_MAX 4096
/* Older values kept for store_regress(). */
#define HISTORY_MAX 8192
#define HISTORY_BYTES_MAX ((size_t)128 * 1024 * 1024)

typedef struct item {
	char *key;
	chunk_t *value; /* NULL in the history: the key was deleted */
	uint64_t revision;
	uint64_t lease; /* 0: none */
} item_t;

typedef struct lease {
	uint64_t id; /* 0: free */
	uint64_t ttl_ns;
	uint64_t expires_at;
} lease_t;

typedef struct store {
	item_t *items;
	size_t item_count;
	item_t *history;
	size_t history_count;
	size_t history_bytes;
	lease_t leases[LEASES_MAX];
	uint64_t revision;
	uint64_t next_lease;
} store_t;

/* The store must be zeroed. Errors: MASTICPITCH_E_NOMEM. */
int store_init(store_t *store);
/* NULL: no such key. */
item_t *store_find(store_t *store, const char *key);
/* Takes the value. */
void store_put(store_t *store, const char *key, chunk_t *value, uint64_t lease);
void store_delete(store_t *store, item_t *item);
/* Puts the store back to what it held at a revision, as a restored backup does. */
void store_regress(store_t *store, uint64_t revision);
/* NULL: the table is full. */
lease_t *store_lease_create(store_t *store, uint64_t ttl_ns, uint64_t now);
/* NULL: no such lease. */
lease_t *store_lease_find(store_t *store, uint64_t id);
/* Ends a lease with its keys. */
void store_lease_end(store_t *store, lease_t *lease);
/* Ends the leases whose time is over; true if there were any. */
bool store_expire(store_t *store, uint64_t now);

#endif
