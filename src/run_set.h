/*
 * Set of the requests that the backend server of a host is running, as hashes of
 * their ids. A plain value; one thread.
 */
#ifndef MASTICPITCH_RUN_SET_H
#define MASTICPITCH_RUN_SET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Capacity; further requests are not recorded. */
#define RUN_SET_MAX 512

typedef struct run_set {
	uint64_t items[RUN_SET_MAX];
	size_t count;
} run_set_t;

void run_set_init(run_set_t *set);
void run_set_add(run_set_t *set, uint64_t request_hash);
/* Removes one occurrence; no effect if there is none. */
void run_set_remove(run_set_t *set, uint64_t request_hash);
/* Hash of the parent's id, the part of request_id before the last dot; 0: none. */
uint64_t run_set_parent_hash(const char *request_id);
/*
 * Whether the request is a nested call of one in the set: its id is that request's
 * id, a dot, and a part of its own.
 */
bool run_set_has_parent(const run_set_t *set, const char *request_id);

#ifdef __cplusplus
}
#endif

#endif
