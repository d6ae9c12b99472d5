/*
 * An ordered list of HTTP header fields of limited size. Not thread-safe.
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

/* Header names of the native dialect, see docs/design.md section 4. */
#define HEADER_DEADLINE "Masticpitch-Deadline-Ms"
#define HEADER_DEPTH "Masticpitch-Depth"
#define HEADER_REQUEST_ID "Masticpitch-Request-Id"
#define HEADER_REASON "Masticpitch-Reason"
#define HEADER_RUN "Masticpitch-Run"
#define HEADER_FINAL "Masticpitch-Final"
#define HEADER_RATE_LIMIT "Masticpitch-Rate-Limit"
#define HEADER_LEAVING "Masticpitch-Leaving"
#define HEADER_KEY "Masticpitch-Key"
#define HEADER_WORKSPACE "Masticpitch-Workspace"
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
/* Frees the fields; the list is empty afterwards. */
void headers_free(headers_t *headers);
/*
 * Appends a copy of the field. Errors: MASTICPITCH_E_INVALID (a character that
 * would end the name or the line), MASTICPITCH_E_LIMIT, MASTICPITCH_E_NOMEM.
 */
int headers_add(headers_t *headers, const char *name, const char *value);
/* Value of the first field with that name, case-insensitive; NULL if there is none. */
const char *headers_find(const headers_t *headers, const char *name);
/* Number of fields with that name, case-insensitive. */
size_t headers_count(const headers_t *headers, const char *name);
/* Removes all fields with that name, case-insensitive. */
void headers_remove(headers_t *headers, const char *name);
/*
 * Removes hop-by-hop fields, fields that Connection names (except Content-Length
 * and Host), and all Masticpitch- fields.
 */
void headers_strip(headers_t *headers);
bool header_is_hop_by_hop(const char *name);

#ifdef __cplusplus
}
#endif

#endif
