#include "platform.h"

#include "json_text.h"
#include "list.h"
#include "os.h"
#include "util.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define URL_BYTES 512
#define BASE_BYTES 257
#define PREFIX_BYTES 65
/* Answers without a value of their own, bytes. */
#define SMALL_ANSWER_MAX 4096

typedef enum call_kind {
	CALL_GET,
	CALL_LIST,
	CALL_PUT,
	CALL_DELETE,
	CALL_LEASE_CREATE,
	CALL_LEASE_RENEW,
	CALL_LEASE_REVOKE,
	CALL_WATCH
} call_kind_t;

struct platform_call {
	list_t link;
	platform_t *platform;
	call_kind_t kind;
	http_call_t *http;
	platform_callback_t callback;
	void *state;
	uint64_t started;
};

struct platform {
	struct ev_loop *loop;
	http_client_t *http;
	metrics_t *metrics;
	char base[BASE_BYTES];
	char prefix[PREFIX_BYTES];
	list_t calls;
	platform_health_t health;
};

const char *
platform_outcome_text(platform_outcome_t outcome)
{
	static const char *const texts[PLATFORM_OUTCOME_COUNT] = {
	    [PLATFORM_OK] = "ok",
	    [PLATFORM_UNCHANGED] = "unchanged",
	    [PLATFORM_NOT_FOUND] = "not-found",
	    [PLATFORM_CONFLICT] = "conflict",
	    [PLATFORM_REFUSED] = "refused",
	    [PLATFORM_NOT_SENT] = "not-sent",
	    [PLATFORM_UNKNOWN] = "unknown",
	};

	return (unsigned)outcome < PLATFORM_OUTCOME_COUNT ? texts[outcome] : "none";
}

int
platform_create(const platform_options_t *options, platform_t **result)
{
	platform_t *platform = calloc(1, sizeof(*platform));
	size_t length;

	if (platform == NULL)
		return MASTICPITCH_E_NOMEM;
	platform->loop = options->loop;
	platform->http = options->http;
	platform->metrics = options->metrics;
	list_init(&platform->calls);
	if (string_copy(platform->base, sizeof(platform->base), options->url) !=
		MASTICPITCH_OK ||
	    string_copy(platform->prefix, sizeof(platform->prefix), options->prefix) !=
		MASTICPITCH_OK) {
		free(platform);
		return MASTICPITCH_E_LIMIT;
	}
	length = strlen(platform->base);
	if (length > 0 && platform->base[length - 1] == '/')
		platform->base[length - 1] = '\0';
	*result = platform;
	return MASTICPITCH_OK;
}

platform_health_t
platform_health(const platform_t *platform)
{
	return platform->health;
}

/* Reads a decimal header; false if it is absent or malformed. */
static bool
header_number(const http_answer_t *http, const char *name, uint64_t *value)
{
	const char *text = headers_find(http->headers, name);

	return text != NULL &&
	       string_parse_uint(text, INT64_MAX, value) == MASTICPITCH_OK;
}

static struct json_object *
body_parse(const http_answer_t *http, size_t size_max)
{
	struct json_object *object = NULL;
	json_report_t report;

	json_report_init(&report, NULL, 0);
	json_text_parse(http->body, http->body_size, size_max, false, &object, &report);
	return object;
}

static bool
member_number(struct json_object *object, const char *key, uint64_t *value)
{
	json_report_t report;

	json_report_init(&report, NULL, 0);
	return json_read_uint(&report, "", object, key, true, 0, INT64_MAX, value) ==
	       MASTICPITCH_OK;
}

static bool
body_number(const http_answer_t *http, const char *key, uint64_t *value)
{
	struct json_object *object = body_parse(http, SMALL_ANSWER_MAX);
	bool found = object != NULL && member_number(object, key, value);

	json_object_put(object);
	return found;
}

/* Reads one entry of a list; false if it is malformed or of another prefix. */
static bool
entry_read(const platform_t *platform, struct json_object *item, platform_entry_t *entry)
{
	size_t prefix = strlen(platform->prefix);
	struct json_object *key = NULL;
	struct json_object *value = NULL;

	if (!json_object_is_type(item, json_type_object) ||
	    !json_object_object_get_ex(item, "key", &key) ||
	    !json_object_object_get_ex(item, "value", &value) ||
	    !json_object_is_type(key, json_type_string) ||
	    !json_object_is_type(value, json_type_string) ||
	    !member_number(item, "revision", &entry->revision))
		return false;
	entry->key = json_object_get_string(key);
	if (strncmp(entry->key, platform->prefix, prefix) != 0)
		return false;
	entry->key += prefix;
	entry->value = json_object_get_string(value);
	entry->size = (size_t)json_object_get_string_len(value);
	return true;
}

/* Runs the callback of a list while the parsed entries are alive. */
static void
list_deliver(platform_t *platform, const http_answer_t *http, platform_answer_t *answer,
    platform_callback_t callback, void *state)
{
	struct json_object *object = body_parse(http, PLATFORM_LIST_MAX);
	struct json_object *list = NULL;
	platform_entry_t *entries = NULL;
	size_t count;

	answer->outcome = PLATFORM_UNKNOWN;
	if (object == NULL || !json_object_object_get_ex(object, "entries", &list) ||
	    !json_object_is_type(list, json_type_array))
		goto out;
	member_number(object, "store_revision", &answer->store_revision);
	count = json_object_array_length(list);
	entries = calloc(MAX_OF(count, 1), sizeof(*entries));
	if (entries == NULL)
		goto out;
	for (size_t i = 0; i < count; i++) {
		if (!entry_read(
			platform, json_object_array_get_idx(list, i), &entries[i]))
			goto out;
	}
	answer->outcome = PLATFORM_OK;
	answer->entries = entries;
	answer->entry_count = count;
out:
	callback(state, answer);
	free(entries);
	json_object_put(object);
}

/* What a 200 means for each kind; a malformed answer leaves the outcome unknown. */
static platform_outcome_t
success_read(call_kind_t kind, const http_answer_t *http, platform_answer_t *answer)
{
	bool valid = true;

	switch (kind) {
	case CALL_GET:
	case CALL_WATCH:
		valid = header_number(http, "Revision", &answer->revision);
		header_number(http, "Store-Revision", &answer->store_revision);
		answer->value = http->body;
		answer->size = http->body_size;
		break;
	case CALL_PUT:
		valid = body_number(http, "revision", &answer->revision);
		break;
	case CALL_LEASE_CREATE:
		valid = body_number(http, "lease", &answer->lease) && answer->lease != 0;
		break;
	case CALL_LIST:
	case CALL_DELETE:
	case CALL_LEASE_RENEW:
	case CALL_LEASE_REVOKE:
		break;
	}
	return valid ? PLATFORM_OK : PLATFORM_UNKNOWN;
}

static platform_outcome_t
status_read(call_kind_t kind, const http_answer_t *http, platform_answer_t *answer)
{
	switch (http->status) {
	case 200:
		return success_read(kind, http, answer);
	case 204:
		return kind == CALL_WATCH ? PLATFORM_UNCHANGED : PLATFORM_OK;
	case 404:
		return PLATFORM_NOT_FOUND;
	case 409:
		body_number(http, "revision", &answer->revision);
		return PLATFORM_CONFLICT;
	case 429:
	case 503:
		return PLATFORM_REFUSED;
	default:
		/* A client error is a refusal; any other answer proves nothing. */
		return http->status >= 400 && http->status < 500 ? PLATFORM_REFUSED
								 : PLATFORM_UNKNOWN;
	}
}

static bool
outcome_is_failure(platform_outcome_t outcome)
{
	return outcome == PLATFORM_REFUSED || outcome == PLATFORM_NOT_SENT ||
	       outcome == PLATFORM_UNKNOWN;
}

static void
count(const platform_t *platform, metric_t metric)
{
	if (platform->metrics != NULL)
		metrics_add(platform->metrics, metric, 1);
}

static void
health_update(platform_t *platform, const platform_answer_t *answer, uint64_t now)
{
	bool failed = outcome_is_failure(answer->outcome);

	platform->health.reachable = !failed;
	if (failed) {
		platform->health.failures++;
		count(platform, METRIC_PLATFORM_ERRORS);
	} else {
		platform->health.last_answer = now;
	}
	if (answer->outcome == PLATFORM_REFUSED)
		count(platform, METRIC_PLATFORM_REFUSED);
	else if (answer->outcome == PLATFORM_UNKNOWN)
		count(platform, METRIC_PLATFORM_UNKNOWN);
	else if (answer->outcome == PLATFORM_CONFLICT)
		count(platform, METRIC_PLATFORM_CONFLICTS);
}

static void
waiting_set(platform_t *platform, uint64_t waiting)
{
	platform->health.waiting = waiting;
	if (platform->metrics != NULL)
		metrics_set(platform->metrics, METRIC_PLATFORM_WAITING, waiting);
}

static void
call_free(platform_call_t *call)
{
	list_remove(&call->link);
	waiting_set(call->platform, call->platform->health.waiting - 1);
	free(call);
}

static void
http_callback(void *state, const http_answer_t *http)
{
	platform_call_t *call = state;
	platform_t *platform = call->platform;
	platform_callback_t callback = call->callback;
	void *callback_state = call->state;
	call_kind_t kind = call->kind;
	platform_answer_t answer = {.status = http->status};
	uint64_t now = os_clock_monotonic();

	answer.duration = now - call->started;
	if (http->error != MASTICPITCH_OK)
		answer.outcome = http->sent ? PLATFORM_UNKNOWN : PLATFORM_NOT_SENT;
	else
		answer.outcome = status_read(kind, http, &answer);
	if (answer.outcome != PLATFORM_OK && answer.outcome != PLATFORM_CONFLICT)
		answer.value = NULL;
	health_update(platform, &answer, now);
	if (platform->metrics != NULL && kind != CALL_WATCH)
		metrics_observe(platform->metrics, HISTOGRAM_PLATFORM, answer.duration);
	call_free(call);
	if (kind == CALL_LIST && answer.outcome == PLATFORM_OK)
		list_deliver(platform, http, &answer, callback, callback_state);
	else
		callback(callback_state, &answer);
}

void
platform_call_cancel(platform_call_t *call)
{
	if (call == NULL)
		return;
	http_call_cancel(call->http);
	call_free(call);
}

void
platform_destroy(platform_t *platform)
{
	if (platform == NULL)
		return;
	LIST_FOREACH_SAFE (node, &platform->calls)
		platform_call_cancel(LIST_ENTRY(node, platform_call_t, link));
	free(platform);
}

static int
call_start(platform_t *platform, call_kind_t kind, const http_request_t *request,
    platform_callback_t callback, void *state, platform_call_t **result)
{
	platform_call_t *call;
	int error;

	if (platform->health.waiting >= PLATFORM_CALLS_MAX)
		return MASTICPITCH_E_LIMIT;
	call = calloc(1, sizeof(*call));
	if (call == NULL)
		return MASTICPITCH_E_NOMEM;
	call->platform = platform;
	call->kind = kind;
	call->callback = callback;
	call->state = state;
	call->started = os_clock_monotonic();
	error =
	    http_client_call(platform->http, request, http_callback, call, &call->http);
	if (error != MASTICPITCH_OK) {
		free(call);
		return error;
	}
	list_append(&platform->calls, &call->link);
	waiting_set(platform, platform->health.waiting + 1);
	platform->health.calls++;
	count(platform, METRIC_PLATFORM_CALLS);
	if (result != NULL)
		*result = call;
	return MASTICPITCH_OK;
}

/* Writes BASE/v1/PATH PREFIX KEY; keys must need no escapes. */
static int
url_format(const platform_t *platform, const char *path, const char *key, char *url)
{
	static const char allowed[] =
	    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	    "0123456789-_./";
	int length;

	if (strlen(key) >= PLATFORM_KEY_BYTES)
		return MASTICPITCH_E_LIMIT;
	if (strspn(key, allowed) != strlen(key))
		return MASTICPITCH_E_INVALID;
	length = snprintf(
	    url, URL_BYTES, "%s/v1/%s%s%s", platform->base, path, platform->prefix, key);
	return length < URL_BYTES - 64 ? MASTICPITCH_OK : MASTICPITCH_E_LIMIT;
}

/* Adds ?NAME=VALUE or &NAME=VALUE. */
static void
url_add(char *url, const char *name, uint64_t value)
{
	size_t used = strlen(url);

	snprintf(url + used, URL_BYTES - used, "%c%s=%" PRIu64,
	    strchr(url, '?') == NULL ? '?' : '&', name, value);
}

int
platform_get(platform_t *platform, const char *key, uint64_t deadline,
    platform_callback_t callback, void *state, platform_call_t **call)
{
	char url[URL_BYTES];
	http_request_t request = {.method = "GET",
	    .url = url,
	    .deadline = deadline,
	    .answer_max = PLATFORM_VALUE_MAX};
	int error = url_format(platform, "kv/", key, url);

	if (error != MASTICPITCH_OK)
		return error;
	return call_start(platform, CALL_GET, &request, callback, state, call);
}

int
platform_list(platform_t *platform, const char *prefix, uint64_t deadline,
    platform_callback_t callback, void *state, platform_call_t **call)
{
	char url[URL_BYTES];
	http_request_t request = {.method = "GET",
	    .url = url,
	    .deadline = deadline,
	    .answer_max = PLATFORM_LIST_MAX};
	int error = url_format(platform, "kv?prefix=", prefix, url);

	if (error != MASTICPITCH_OK)
		return error;
	return call_start(platform, CALL_LIST, &request, callback, state, call);
}

int
platform_put(platform_t *platform, const platform_put_t *put, uint64_t deadline,
    platform_callback_t callback, void *state, platform_call_t **call)
{
	char url[URL_BYTES];
	http_request_t request = {.method = "PUT",
	    .url = url,
	    .body = put->value,
	    .body_size = put->size,
	    .deadline = deadline,
	    .answer_max = SMALL_ANSWER_MAX};
	int error = url_format(platform, "kv/", put->key, url);

	if (error != MASTICPITCH_OK)
		return error;
	if (put->size > PLATFORM_VALUE_MAX)
		return MASTICPITCH_E_LIMIT;
	if (put->expect != PLATFORM_EXPECT_ANY)
		url_add(url, "expect", put->expect);
	if (put->lease != 0)
		url_add(url, "lease", put->lease);
	return call_start(platform, CALL_PUT, &request, callback, state, call);
}

int
platform_delete(platform_t *platform, const char *key, uint64_t expect, uint64_t deadline,
    platform_callback_t callback, void *state, platform_call_t **call)
{
	char url[URL_BYTES];
	http_request_t request = {.method = "DELETE",
	    .url = url,
	    .deadline = deadline,
	    .answer_max = SMALL_ANSWER_MAX};
	int error = url_format(platform, "kv/", key, url);

	if (error != MASTICPITCH_OK)
		return error;
	if (expect != PLATFORM_EXPECT_ANY)
		url_add(url, "expect", expect);
	return call_start(platform, CALL_DELETE, &request, callback, state, call);
}

int
platform_lease_create(platform_t *platform, uint32_t ttl_ms, uint64_t deadline,
    platform_callback_t callback, void *state, platform_call_t **call)
{
	char url[URL_BYTES];
	http_request_t request = {.method = "POST",
	    .url = url,
	    .deadline = deadline,
	    .answer_max = SMALL_ANSWER_MAX};

	snprintf(url, sizeof(url), "%s/v1/leases", platform->base);
	url_add(url, "ttl_ms", ttl_ms);
	return call_start(platform, CALL_LEASE_CREATE, &request, callback, state, call);
}

int
platform_lease_renew(platform_t *platform, uint64_t lease, uint64_t deadline,
    platform_callback_t callback, void *state, platform_call_t **call)
{
	char url[URL_BYTES];
	http_request_t request = {.method = "POST",
	    .url = url,
	    .deadline = deadline,
	    .answer_max = SMALL_ANSWER_MAX};

	snprintf(
	    url, sizeof(url), "%s/v1/leases/%" PRIu64 "/renew", platform->base, lease);
	return call_start(platform, CALL_LEASE_RENEW, &request, callback, state, call);
}

int
platform_lease_revoke(platform_t *platform, uint64_t lease, uint64_t deadline,
    platform_callback_t callback, void *state, platform_call_t **call)
{
	char url[URL_BYTES];
	http_request_t request = {.method = "DELETE",
	    .url = url,
	    .deadline = deadline,
	    .answer_max = SMALL_ANSWER_MAX};

	snprintf(url, sizeof(url), "%s/v1/leases/%" PRIu64, platform->base, lease);
	return call_start(platform, CALL_LEASE_REVOKE, &request, callback, state, call);
}

int
platform_watch(platform_t *platform, const char *key, uint64_t after, uint32_t wait_ms,
    uint64_t deadline, platform_callback_t callback, void *state, platform_call_t **call)
{
	char url[URL_BYTES];
	http_request_t request = {.method = "GET",
	    .url = url,
	    .deadline = deadline,
	    .answer_max = PLATFORM_VALUE_MAX};
	int error = url_format(platform, "watch/", key, url);

	if (error != MASTICPITCH_OK)
		return error;
	url_add(url, "after", after);
	url_add(url, "wait_ms", MIN_OF(wait_ms, (uint32_t)PLATFORM_WATCH_WAIT_MS_MAX));
	return call_start(platform, CALL_WATCH, &request, callback, state, call);
}
