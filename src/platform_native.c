/*
 * Codec of the project's own dialect of the key-value service, see
 * docs/design.md section 9, and functions that both dialects share.
 */
#include "json_text.h"
#include "platform_codec.h"
#include "util.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void
platform_decoded_free(platform_decoded_t *decoded)
{
	json_object_put(decoded->document);
	free(decoded->entries);
	for (size_t i = 0; i < decoded->value_count; i++)
		free(decoded->values[i]);
	free(decoded->values);
	memset(decoded, 0, sizeof(*decoded));
}

void
platform_query_add(char *path, const char *name, uint64_t value)
{
	size_t used = strlen(path);

	snprintf(path + used, PLATFORM_PATH_BYTES - used, "%c%s=%" PRIu64,
	    strchr(path, '?') == NULL ? '?' : '&', name, value);
}

struct json_object *
platform_body_parse(const http_answer_t *http, size_t size_max)
{
	struct json_object *object = NULL;
	json_report_t report;

	json_report_init(&report, NULL, 0);
	json_text_parse(http->body, http->body_size, size_max, false, &object, &report);
	return object;
}

bool
platform_number_read(struct json_object *object, const char *key, uint64_t *value)
{
	json_report_t report;

	json_report_init(&report, NULL, 0);
	return json_read_uint(&report, "", object, key, true, 0, INT64_MAX, value) ==
	       MASTICPITCH_OK;
}

bool
platform_header_read(const http_answer_t *http, const char *name, uint64_t *value)
{
	const char *text =
	    http->headers != NULL ? headers_find(http->headers, name) : NULL;

	return text != NULL &&
	       string_parse_uint(text, INT64_MAX, value) == MASTICPITCH_OK;
}

platform_outcome_t
platform_outcome_of_failure(int status)
{
	if (status == 503)
		return PLATFORM_REFUSED;
	/* A client error is a refusal; after any other answer the effect is unknown. */
	return status >= 400 && status < 500 ? PLATFORM_REFUSED : PLATFORM_UNKNOWN;
}

static void
path_format(platform_wire_t *wire, const char *start, const platform_request_t *request)
{
	snprintf(wire->path, sizeof(wire->path), "/v1/%s%s%s", start, request->prefix,
	    request->key);
}

int
platform_native_encode(const platform_request_t *request, platform_wire_t *wire)
{
	wire->answer_max_bytes = PLATFORM_SMALL_ANSWER_MAX_BYTES;
	switch (request->kind) {
	case PLATFORM_CALL_GET:
		wire->method = "GET";
		wire->answer_max_bytes = PLATFORM_VALUE_MAX_BYTES;
		path_format(wire, "kv/", request);
		break;
	case PLATFORM_CALL_LIST:
		wire->method = "GET";
		wire->answer_max_bytes = PLATFORM_LIST_MAX_BYTES;
		path_format(wire, "kv?prefix=", request);
		break;
	case PLATFORM_CALL_PUT:
		wire->method = "PUT";
		path_format(wire, "kv/", request);
		if (request->expect != PLATFORM_EXPECT_ANY)
			platform_query_add(wire->path, "expect", request->expect);
		if (request->lease != 0)
			platform_query_add(wire->path, "lease", request->lease);
		return buffer_append(&wire->body, request->value, request->size);
	case PLATFORM_CALL_DELETE:
		wire->method = "DELETE";
		path_format(wire, "kv/", request);
		if (request->expect != PLATFORM_EXPECT_ANY)
			platform_query_add(wire->path, "expect", request->expect);
		break;
	case PLATFORM_CALL_LEASE_CREATE:
		wire->method = "POST";
		snprintf(wire->path, sizeof(wire->path), "/v1/leases");
		platform_query_add(wire->path, "ttl_ms", request->ttl_ms);
		break;
	case PLATFORM_CALL_LEASE_RENEW:
		wire->method = "POST";
		snprintf(wire->path, sizeof(wire->path), "/v1/leases/%" PRIu64 "/renew",
		    request->lease);
		break;
	case PLATFORM_CALL_LEASE_REVOKE:
		wire->method = "DELETE";
		snprintf(wire->path, sizeof(wire->path), "/v1/leases/%" PRIu64,
		    request->lease);
		break;
	case PLATFORM_CALL_WATCH:
		wire->method = "GET";
		wire->answer_max_bytes = PLATFORM_VALUE_MAX_BYTES;
		path_format(wire, "watch/", request);
		platform_query_add(wire->path, "after", request->after);
		platform_query_add(wire->path, "wait_ms", request->wait_ms);
		break;
	}
	return MASTICPITCH_OK;
}

static bool
body_number(const http_answer_t *http, const char *key, uint64_t *value)
{
	struct json_object *object =
	    platform_body_parse(http, PLATFORM_SMALL_ANSWER_MAX_BYTES);
	bool found = object != NULL && platform_number_read(object, key, value);

	json_object_put(object);
	return found;
}

/* Reads one entry of a list; false if malformed or not under the prefix. */
static bool
entry_read(
    const platform_request_t *request, struct json_object *item, platform_entry_t *entry)
{
	size_t prefix = strlen(request->prefix);
	struct json_object *key = NULL;
	struct json_object *value = NULL;

	if (!json_object_is_type(item, json_type_object) ||
	    !json_object_object_get_ex(item, "key", &key) ||
	    !json_object_object_get_ex(item, "value", &value) ||
	    !json_object_is_type(key, json_type_string) ||
	    !json_object_is_type(value, json_type_string) ||
	    !platform_number_read(item, "revision", &entry->revision))
		return false;
	entry->key = json_object_get_string(key);
	if (strncmp(entry->key, request->prefix, prefix) != 0)
		return false;
	entry->key += prefix;
	entry->value = json_object_get_string(value);
	entry->size = (size_t)json_object_get_string_len(value);
	return true;
}

static bool
list_read(const platform_request_t *request, const http_answer_t *http,
    platform_decoded_t *decoded)
{
	platform_answer_t *answer = &decoded->answer;
	struct json_object *list = NULL;
	size_t count;

	decoded->document = platform_body_parse(http, PLATFORM_LIST_MAX_BYTES);
	if (decoded->document == NULL ||
	    !json_object_object_get_ex(decoded->document, "entries", &list) ||
	    !json_object_is_type(list, json_type_array))
		return false;
	platform_number_read(
	    decoded->document, "store_revision", &answer->store_revision);
	count = json_object_array_length(list);
	decoded->entries = calloc(MAX_OF(count, 1), sizeof(*decoded->entries));
	if (decoded->entries == NULL)
		return false;
	for (size_t i = 0; i < count; i++) {
		platform_entry_t *entry = &decoded->entries[answer->entry_count];

		if (entry_read(request, json_object_array_get_idx(list, i), entry))
			answer->entry_count++;
		else
			answer->entries_skipped++;
	}
	answer->entries = decoded->entries;
	return true;
}

/* Decodes a 200 for each kind; a malformed answer leaves the outcome unknown. */
static platform_outcome_t
success_read(const platform_request_t *request, const http_answer_t *http,
    platform_decoded_t *decoded)
{
	platform_answer_t *answer = &decoded->answer;
	bool valid = true;

	switch (request->kind) {
	case PLATFORM_CALL_GET:
	case PLATFORM_CALL_WATCH:
		valid = platform_header_read(http, "Revision", &answer->revision);
		platform_header_read(http, "Store-Revision", &answer->store_revision);
		answer->value = http->body;
		answer->size = http->body_size;
		break;
	case PLATFORM_CALL_PUT:
		valid = body_number(http, "revision", &answer->revision);
		break;
	case PLATFORM_CALL_LEASE_CREATE:
		valid = body_number(http, "lease", &answer->lease) && answer->lease != 0;
		break;
	case PLATFORM_CALL_LIST:
		valid = list_read(request, http, decoded);
		break;
	case PLATFORM_CALL_DELETE:
	case PLATFORM_CALL_LEASE_RENEW:
	case PLATFORM_CALL_LEASE_REVOKE:
		break;
	}
	return valid ? PLATFORM_OK : PLATFORM_UNKNOWN;
}

void
platform_native_decode(const platform_request_t *request, const http_answer_t *http,
    platform_decoded_t *decoded)
{
	platform_answer_t *answer = &decoded->answer;

	platform_header_read(http, "Store-Epoch", &answer->store_epoch);
	switch (http->status) {
	case 200:
		answer->outcome = success_read(request, http, decoded);
		break;
	case 204:
		answer->outcome = request->kind == PLATFORM_CALL_WATCH
				      ? PLATFORM_UNCHANGED
				      : PLATFORM_OK;
		break;
	case 404:
		answer->outcome = PLATFORM_NOT_FOUND;
		break;
	case 409:
		body_number(http, "revision", &answer->revision);
		answer->outcome = PLATFORM_CONFLICT;
		break;
	default:
		answer->outcome = platform_outcome_of_failure(http->status);
		break;
	}
}
