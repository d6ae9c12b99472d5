/*
 * Calls on the platform as its dialects write and read them. Pure functions;
 * platform.c has the one client. Any thread.
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
/* Answers without a value of their own, bytes. */
#define PLATFORM_SMALL_ANSWER_MAX 4096
/* The key under which the operator's configuration is found. */
#define PLATFORM_KEY_HEAD "head"

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

/* One call; what its kind has no use for is 0. */
typedef struct platform_request {
	platform_call_kind_t kind;
	char prefix[PLATFORM_PREFIX_BYTES]; /* of every key of the client */
	char key[PLATFORM_KEY_BYTES];	    /* without prefix; LIST: start of keys */
	const char *value;		    /* PUT; only while it is encoded */
	size_t size;
	uint64_t expect; /* PUT, DELETE; or PLATFORM_EXPECT_ANY */
	uint64_t lease;
	uint32_t ttl_ms;
	uint64_t after; /* WATCH */
	uint32_t wait_ms;
} platform_request_t;

/* What is sent. */
typedef struct platform_wire {
	const char *method;
	char path[PLATFORM_PATH_BYTES]; /* with query */
	buffer_t body;			/* freed by the caller */
	size_t answer_max_bytes;	/* bytes */
} platform_wire_t;

/* An answer with what it points to; see platform_decoded_free(). */
typedef struct platform_decoded {
	platform_answer_t answer;
	struct json_object *document;
	platform_entry_t *entries;
	char **values; /* of the entries, where they are not in the document */
	size_t value_count;
} platform_decoded_t;

/* The project's own dialect. Errors: MASTICPITCH_E_LIMIT, _E_NOMEM. */
int platform_native_encode(const platform_request_t *request, platform_wire_t *wire);
/* Fills the answer's outcome and content from a whole HTTP answer. */
void platform_native_decode(const platform_request_t *request, const http_answer_t *http,
    platform_decoded_t *decoded);
void platform_decoded_free(platform_decoded_t *decoded);

/* What an HTTP status that is no success says about a call, in every dialect. */
platform_outcome_t platform_outcome_of_failure(int status);
/* Appends ?NAME=VALUE or &NAME=VALUE to a path. */
void platform_path_add(char *path, const char *name, uint64_t value);
/* Parses an answer's body as one JSON object; NULL: it is none. */
struct json_object *platform_body_parse(const http_answer_t *http, size_t size_max);
/* Reads a whole number of an object; false: absent or malformed. */
bool platform_number_read(struct json_object *object, const char *key, uint64_t *value);

#ifdef __cplusplus
}
#endif

#endif
