/*
 * Set of the requests that the backend server of a host is running, with what their
 * nested calls inherit. A plain value; one thread.
 */
#ifndef MASTICPITCH_RUN_SET_H
#define MASTICPITCH_RUN_SET_H

#include "member_types.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Capacity; further requests are not recorded. */
#define RUN_SET_MAX 512

typedef struct run_item {
	uint64_t request; /* hash of its id */
	/* Of the request, and so of its nested calls; see call_head_t. */
	char workspace[NAME_BYTES];
	uint32_t rank;
	uint64_t target;
} run_item_t;

typedef struct run_set {
	run_item_t items[RUN_SET_MAX];
	size_t count;
} run_set_t;

void run_set_init(run_set_t *set);
void run_set_add(run_set_t *set, const run_item_t *item);
/* Removes one occurrence; no effect if there is none. */
void run_set_remove(run_set_t *set, uint64_t request_hash);
/* Hash of the parent's id, the part of request_id before the last dot; 0: none. */
uint64_t run_set_parent_hash(const char *request_id);
/* The request with that id, or NULL. */
const run_item_t *run_set_find(const run_set_t *set, const char *request_id);
/*
 * The request of the set that made the nested call, or NULL: the call's id is that
 * request's id, a dot, and a part of its own.
 */
const run_item_t *run_set_parent(const run_set_t *set, const char *request_id);

#ifdef __cplusplus
}
#endif

#endif
