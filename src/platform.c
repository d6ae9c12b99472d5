#include "platform.h"

#include "list.h"
#include "os.h"
#include "platform/hosted.h"
#include "platform_codec.h"
#include "util.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BASE_BYTES 257

struct platform_call {
	list_t link;
	platform_t *platform;
	platform_request_t request; /* without its value */
	http_call_t *http;
	platform_callback_t callback;
	void *state;
	uint64_t started_at;
};

struct platform {
	struct ev_loop *loop;
	http_client_t *http;
	metrics_t *metrics;
	char base[BASE_BYTES];
	dialect_t dialect;
	char prefix[PLATFORM_PREFIX_BYTES];
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
	platform->dialect = options->dialect;
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
		platform->health.last_answer_at = now;
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
answer_decode(
    const platform_call_t *call, const http_answer_t *http, platform_decoded_t *decoded)
{
	platform_answer_t *answer = &decoded->answer;

	answer->status = http->status;
	if (http->error != MASTICPITCH_OK)
		answer->outcome = http->sent ? PLATFORM_UNKNOWN : PLATFORM_NOT_SENT;
	else if (call->platform->dialect == DIALECT_HOSTED)
		hosted_store_decode(&call->request, http, decoded);
	else
		platform_native_decode(&call->request, http, decoded);
	if (answer->outcome != PLATFORM_OK && answer->outcome != PLATFORM_CONFLICT)
		answer->value = NULL;
}

static void
http_callback(void *state, const http_answer_t *http)
{
	platform_call_t *call = state;
	platform_t *platform = call->platform;
	platform_callback_t callback = call->callback;
	void *callback_state = call->state;
	platform_decoded_t decoded = {.document = NULL};
	uint64_t now = os_clock_monotonic();

	answer_decode(call, http, &decoded);
	decoded.answer.duration = now - call->started_at;
	health_update(platform, &decoded.answer, now);
	if (platform->metrics != NULL && call->request.kind != PLATFORM_CALL_WATCH)
		metrics_observe(
		    platform->metrics, HISTOGRAM_PLATFORM, decoded.answer.duration);
	call_free(call);
	callback(callback_state, &decoded.answer);
	platform_decoded_free(&decoded);
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
call_send(platform_call_t *call, const platform_wire_t *wire, uint64_t deadline)
{
	platform_t *platform = call->platform;
	char url[BASE_BYTES + PLATFORM_PATH_BYTES];
	http_request_t request = {.method = wire->method,
	    .url = url,
	    .body = wire->body.size > 0 ? (const char *)wire->body.data : NULL,
	    .body_size = wire->body.size,
	    .new_connection = call->request.kind == PLATFORM_CALL_GET &&
			      strcmp(call->request.key, PLATFORM_KEY_HEAD) == 0,
	    .deadline = deadline,
	    .answer_max_bytes = wire->answer_max_bytes};

	snprintf(url, sizeof(url), "%s%s", platform->base, wire->path);
	return http_client_call(
	    platform->http, &request, http_callback, call, &call->http);
}

/* Keys are written unescaped into paths and JSON, so their characters are limited. */
static int
key_check(const char *key)
{
	static const char allowed[] =
	    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	    "0123456789-_./";

	if (strlen(key) >= PLATFORM_KEY_BYTES)
		return MASTICPITCH_E_LIMIT;
	return strspn(key, allowed) == strlen(key) ? MASTICPITCH_OK
						   : MASTICPITCH_E_INVALID;
}

static platform_call_t *
call_create(platform_t *platform, const platform_request_t *request, const char *key,
    platform_callback_t callback, void *state)
{
	platform_call_t *call = calloc(1, sizeof(*call));

	if (call == NULL)
		return NULL;
	call->platform = platform;
	call->callback = callback;
	call->state = state;
	call->started_at = os_clock_monotonic();
	call->request = *request;
	memcpy(call->request.prefix, platform->prefix, sizeof(call->request.prefix));
	string_copy(call->request.key, sizeof(call->request.key), key);
	return call;
}

static int
call_start(platform_t *platform, const platform_request_t *request, const char *key,
    uint64_t deadline, platform_callback_t callback, void *state,
    platform_call_t **result)
{
	platform_wire_t wire = {.method = NULL};
	platform_call_t *call;
	int error = key_check(key);

	if (error != MASTICPITCH_OK)
		return error;
	if (platform->health.waiting >= PLATFORM_CALLS_MAX ||
	    request->size > PLATFORM_VALUE_MAX_BYTES)
		return MASTICPITCH_E_LIMIT;
	call = call_create(platform, request, key, callback, state);
	if (call == NULL)
		return MASTICPITCH_E_NOMEM;
	buffer_init(&wire.body, 2 * PLATFORM_VALUE_MAX_BYTES);
	error = platform->dialect == DIALECT_HOSTED
		    ? hosted_store_encode(&call->request, &wire)
		    : platform_native_encode(&call->request, &wire);
	call->request.value = NULL;
	if (error == MASTICPITCH_OK)
		error = call_send(call, &wire, deadline);
	buffer_free(&wire.body);
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

int
platform_get(platform_t *platform, const char *key, uint64_t deadline,
    platform_callback_t callback, void *state, platform_call_t **call)
{
	platform_request_t request = {.kind = PLATFORM_CALL_GET};

	return call_start(platform, &request, key, deadline, callback, state, call);
}

int
platform_list(platform_t *platform, const char *prefix, uint64_t deadline,
    platform_callback_t callback, void *state, platform_call_t **call)
{
	platform_request_t request = {.kind = PLATFORM_CALL_LIST};

	return call_start(platform, &request, prefix, deadline, callback, state, call);
}

int
platform_put(platform_t *platform, const platform_put_t *put, uint64_t deadline,
    platform_callback_t callback, void *state, platform_call_t **call)
{
	platform_request_t request = {.kind = PLATFORM_CALL_PUT,
	    .value = put->value,
	    .size = put->size,
	    .expect = put->expect,
	    .lease = put->lease,
	    .guard_expect = put->guard_expect};

	if (put->guard != NULL && platform->dialect != DIALECT_HOSTED)
		return MASTICPITCH_E_INVALID;
	if (put->guard != NULL && (key_check(put->guard) != MASTICPITCH_OK ||
				      string_copy(request.guard, sizeof(request.guard),
					  put->guard) != MASTICPITCH_OK))
		return MASTICPITCH_E_INVALID;

	return call_start(platform, &request, put->key, deadline, callback, state, call);
}

int
platform_delete(platform_t *platform, const char *key, uint64_t expect, uint64_t deadline,
    platform_callback_t callback, void *state, platform_call_t **call)
{
	platform_request_t request = {.kind = PLATFORM_CALL_DELETE, .expect = expect};

	return call_start(platform, &request, key, deadline, callback, state, call);
}

int
platform_lease_create(platform_t *platform, uint32_t ttl_ms, uint64_t deadline,
    platform_callback_t callback, void *state, platform_call_t **call)
{
	platform_request_t request = {
	    .kind = PLATFORM_CALL_LEASE_CREATE, .ttl_ms = ttl_ms};

	return call_start(platform, &request, "", deadline, callback, state, call);
}

int
platform_lease_renew(platform_t *platform, uint64_t lease, uint64_t deadline,
    platform_callback_t callback, void *state, platform_call_t **call)
{
	platform_request_t request = {.kind = PLATFORM_CALL_LEASE_RENEW, .lease = lease};

	return call_start(platform, &request, "", deadline, callback, state, call);
}

int
platform_lease_revoke(platform_t *platform, uint64_t lease, uint64_t deadline,
    platform_callback_t callback, void *state, platform_call_t **call)
{
	platform_request_t request = {.kind = PLATFORM_CALL_LEASE_REVOKE, .lease = lease};

	return call_start(platform, &request, "", deadline, callback, state, call);
}

int
platform_watch(platform_t *platform, const char *key, uint64_t after, uint32_t wait_ms,
    uint64_t deadline, platform_callback_t callback, void *state, platform_call_t **call)
{
	platform_request_t request = {.kind = PLATFORM_CALL_WATCH,
	    .after = after,
	    .wait_ms = MIN_OF(wait_ms, (uint32_t)PLATFORM_WATCH_WAIT_MS_MAX)};

	return call_start(platform, &request, key, deadline, callback, state, call);
}
