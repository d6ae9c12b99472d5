/*
 * Keys, revisions, leases and history of the platform stand-in. Not thread-safe.
 * Points in time and durations: ns, monotonic clock.
 */
#ifndef MASTICPITCH_COMMON_STORE_H
#define MASTICPITCH_COMMON_STORE_H

#include "buffer.h"

#include <stdbool.h>
#include <stdint.h>

#define LEASES_MAX 4096
/* Limits of the history of writes that store_regress() restores from. */
#define HISTORY_MAX 8192
#define HISTORY_BYTES_MAX ((size_t)128 * 1024 * 1024)

typedef struct item {
	char *key;
	chunk_t *value; /* NULL in the history: the key was deleted */
	uint64_t revision;
	uint64_t lease; /* 0: none */
} item_t;

typedef struct lease {
	uint64_t id; /* 0: unused row */
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
	uint64_t epoch; /* rises with each store_leases_restore() */
} store_t;

/* The store must be zeroed. Errors: MASTICPITCH_E_NOMEM. */
int store_init(store_t *store);
/* NULL: no such key. */
item_t *store_find(store_t *store, const char *key);
/* Takes ownership of the value. */
void store_put(store_t *store, const char *key, chunk_t *value, uint64_t lease);
void store_delete(store_t *store, item_t *item);
/* Restores the contents that the store had at a revision, like restoring a backup. */
void store_regress(store_t *store, uint64_t revision);
/*
 * Completes a restore after store_regress(): leases above the given number are lost and
 * their numbers are given out again.
 */
void store_leases_restore(store_t *store, uint64_t last_lease);
/* NULL: the table is full. */
lease_t *store_lease_create(store_t *store, uint64_t ttl_ns, uint64_t now);
/* NULL: no such lease. */
lease_t *store_lease_find(store_t *store, uint64_t id);
/* Ends a lease and deletes its keys. */
void store_lease_end(store_t *store, lease_t *lease);
/* Ends expired leases and deletes their keys; true if there were any. */
bool store_expire(store_t *store, uint64_t now);

#endif
