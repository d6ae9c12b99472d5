/*
 * Codec of calls on the platform, for each dialect. Pure functions, thread-safe;
 * platform.c has the client.
 */
#ifndef MASTICPITCH_PLATFORM_CODEC_H
#define MASTICPITCH_PLATFORM_CODEC_H

#include "buffer.h"
#include "http_client.h"
#include "platform.h"

#include <json-c/json.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Longest path with query, and longest prefix of keys, bytes. */
#define PLATFORM_PATH_BYTES 512
#define PLATFORM_PREFIX_BYTES 65
/* Longest answer that holds no value. */
#define PLATFORM_SMALL_ANSWER_MAX_BYTES 4096
/* Key of the operator's configuration. */
#define PLATFORM_KEY_HEAD "head"
/* Start of the operator's keys about rollouts, followed by the service. */
#define PLATFORM_KEY_ROLLOUT_ORDERS "rollout-orders/"
#define PLATFORM_KEY_ROLLOUT_STATUS "rollout-status/"

typedef enum platform_call_kind {
	PLATFORM_CALL_GET,
	PLATFORM_CALL_LIST,
	PLATFORM_CALL_PUT,
	PLATFORM_CALL_DELETE,
	PLATFORM_CALL_LEASE_CREATE,
	PLATFORM_CALL_LEASE_RENEW,
	PLATFORM_CALL_LEASE_REVOKE,
	PLATFORM_CALL_WATCH
} platform_call_kind_t;

/* One call; fields that its kind does not use are 0. */
typedef struct platform_request {
	platform_call_kind_t kind;
	char prefix[PLATFORM_PREFIX_BYTES]; /* of every key of the client */
	char key[PLATFORM_KEY_BYTES];	    /* without prefix; LIST: start of keys */
	const char *value;		    /* PUT; only while it is encoded */
	size_t size;
	uint64_t expect;		/* PUT, DELETE; or PLATFORM_EXPECT_ANY */
	char guard[PLATFORM_KEY_BYTES]; /* PUT: see platform_put_t; empty: none */
	uint64_t guard_expect;
	uint64_t lease;
	uint32_t ttl_ms;
	uint64_t after; /* WATCH */
	uint32_t wait_ms;
} platform_request_t;

/* The HTTP request of a call. */
typedef struct platform_wire {
	const char *method;
	char path[PLATFORM_PATH_BYTES]; /* with query */
	buffer_t body;			/* freed by the caller */
	size_t answer_max_bytes;
} platform_wire_t;

/* An answer and the memory that it points to; see platform_decoded_free(). */
typedef struct platform_decoded {
	platform_answer_t answer;
	struct json_object *document;
	platform_entry_t *entries;
	char **values; /* of the entries, where they are not in the document */
	size_t value_count;
} platform_decoded_t;

/* The project's own dialect. Errors: MASTICPITCH_E_LIMIT, _E_NOMEM. */
int platform_native_encode(const platform_request_t *request, platform_wire_t *wire);
/* Fills the answer's outcome and content from a complete HTTP answer. */
void platform_native_decode(const platform_request_t *request, const http_answer_t *http,
    platform_decoded_t *decoded);
void platform_decoded_free(platform_decoded_t *decoded);

/* Outcome of a call whose HTTP status is no success; the same in all dialects. */
platform_outcome_t platform_outcome_of_failure(int status);
/* Appends a query parameter, ?NAME=VALUE or &NAME=VALUE, to a path. */
void platform_query_add(char *path, const char *name, uint64_t value);
/* Parses an answer's body as one JSON object; NULL: malformed or too long. */
struct json_object *platform_body_parse(const http_answer_t *http, size_t size_max);
/* Reads a non-negative integer of an object; false: absent or malformed. */
bool platform_number_read(struct json_object *object, const char *key, uint64_t *value);
/* Reads a decimal header of an answer; false: absent or malformed. */
bool platform_header_read(const http_answer_t *http, const char *name, uint64_t *value);

#ifdef __cplusplus
}
#endif

#endif
