/*
 * An ordered list of HTTP header fields with bounds. One thread.
 */
#ifndef MASTICPITCH_HEADERS_H
#define MASTICPITCH_HEADERS_H

#include "masticpitch/masticpitch.h"

#include <stdbool.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

#define HEADERS_COUNT_MAX 100
/* All names and values together, bytes. */
#define HEADERS_BYTES_MAX (32 * 1024)

/* Headers of this system's own, see docs/design.md section 4. */
#define HEADER_DEADLINE "Masticpitch-Deadline-Ms"
#define HEADER_DEPTH "Masticpitch-Depth"
#define HEADER_REQUEST_ID "Masticpitch-Request-Id"
#define HEADER_REASON "Masticpitch-Reason"
#define HEADER_RUN "Masticpitch-Run"
#define HEADER_FINAL "Masticpitch-Final"
#define HEADER_TICKET "Idempotency-Key"
#define HEADER_TRACE "traceparent"

typedef struct header {
	char *name;
	char *value;
} header_t;

typedef struct headers {
	header_t *items;
	size_t count;
	size_t bytes;
} headers_t;

void headers_init(headers_t *headers);
void headers_free(headers_t *headers);
/* Errors: MASTICPITCH_E_LIMIT, MASTICPITCH_E_NOMEM, MASTICPITCH_E_INVALID. */
int headers_add(headers_t *headers, const char *name, const char *value);
/* The value of the first field with that name, any case; or NULL. */
const char *headers_find(const headers_t *headers, const char *name);
/* How many fields have that name. */
size_t headers_count(const headers_t *headers, const char *name);
void headers_remove(headers_t *headers, const char *name);
/*
 * Removes hop-by-hop fields, also those named by Connection, and every
 * Masticpitch- field.
 */
void headers_strip(headers_t *headers);
bool header_is_hop_by_hop(const char *name);

#ifdef __cplusplus
}
#endif

#endif
