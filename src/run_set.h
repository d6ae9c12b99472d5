/*
 * The requests that the backend server of a host runs now, by hashes of their
 * ids. A plain value; one thread.
 */
#ifndef MASTICPITCH_RUN_SET_H
#define MASTICPITCH_RUN_SET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Requests kept; what a backend server runs beyond that is not known. */
#define RUN_SET_MAX 512

typedef struct run_set {
	uint64_t items[RUN_SET_MAX];
	size_t count;
} run_set_t;

void run_set_init(run_set_t *set);
void run_set_add(run_set_t *set, uint64_t request);
/* Takes out one; one that is not there changes nothing. */
void run_set_remove(run_set_t *set, uint64_t request);
/* The hash of the id before the last dot; 0: there is none. */
uint64_t run_set_parent_hash(const char *request_id);
/*
 * True if the request with that id is a call of one in the set: its id is the
 * id of that one, a dot, and an id of its own.
 */
bool run_set_has_parent(const run_set_t *set, const char *request_id);

#ifdef __cplusplus
}
#endif

#endif
