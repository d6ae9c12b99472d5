/*
 * Intrusive hash table that maps a pair of 64-bit numbers to a node embedded in
 * the owner's structure. Grows by doubling. Not thread-safe.
 */
#ifndef MASTICPITCH_HASH_TABLE_H
#define MASTICPITCH_HASH_TABLE_H

#include "masticpitch/masticpitch.h"

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct hash_node {
	struct hash_node *next;
	uint64_t key;
	uint64_t sub_key;
} hash_node_t;

typedef struct hash_table {
	hash_node_t **buckets;
	size_t capacity; /* a power of two, or 0 */
	size_t count;
} hash_table_t;

#define HASH_ENTRY(node, type, member) \
	((type *)(void *)((char *)(node)-offsetof(type, member)))

void hash_table_init(hash_table_t *table);
/* Frees the buckets; the nodes belong to their owners. */
void hash_table_free(hash_table_t *table);
/* The key must not be in the table yet. Errors: MASTICPITCH_E_NOMEM. */
int hash_table_insert(
    hash_table_t *table, hash_node_t *node, uint64_t key, uint64_t sub_key);
/* NULL if there is no such key. */
hash_node_t *hash_table_find(const hash_table_t *table, uint64_t key, uint64_t sub_key);
/* The node must be in the table. */
void hash_table_remove(hash_table_t *table, hash_node_t *node);

#ifdef __cplusplus
}
#endif

#endif
