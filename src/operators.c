/*
 * The operators' interface of a node over HTTP: health, metrics, status, instances,
 * explain and quota. The state of other services is collected by MESSAGE_QUERY and
 * MESSAGE_REPORT.
 */
#include "operators.h"

#include "http_server.h"
#include "os.h"
#include "snapshot.h"

#include <json-c/json.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define OPERATORS_BODY_MAX_BYTES 1024
#define OPERATORS_CONNECTIONS_MAX 64
#define OPERATORS_PENDING_MAX 64
#define OPERATORS_METRICS_MAX_BYTES (256 * 1024)
/* Longest wait of a request for the reports of other services. */
#define REPORT_TIMEOUT_S 1.0
#define SOURCES_MAX 4

/* A request that waits for reports. */
typedef struct pending {
	list_t link;
	operators_t *owner;
	uint64_t id;
	http_exchange_t *exchange;
	struct json_object *answer;
	unsigned waiting; /* reports still to come */
	ev_timer timeout;
} pending_t;

struct operators {
	kernel_t *kernel;
	const settings_t *settings;
	service_t service;
	http_server_t *server;
	list_t pending;
	unsigned pending_count;
	uint64_t last_id;
	bool leaving;
	uint64_t started_at; /* monotonic, ns */
};

static void
exchange_reply_json(http_exchange_t *exchange, int status, struct json_object *answer)
{
	size_t size;
	const char *text =
	    json_object_to_json_string_length(answer, JSON_C_TO_STRING_PLAIN, &size);

	http_exchange_reply(exchange, status, NULL, text, size);
}

static void
exchange_reply_error(http_exchange_t *exchange, int status, const char *reason)
{
	struct json_object *answer = json_object_new_object();

	json_object_object_add(answer, "error", json_object_new_string(reason));
	exchange_reply_json(exchange, status, answer);
	json_object_put(answer);
}

static void
pending_destroy(pending_t *pending)
{
	ev_timer_stop(kernel_loop(pending->owner->kernel), &pending->timeout);
	list_remove(&pending->link);
	pending->owner->pending_count--;
	json_object_put(pending->answer);
	free(pending);
}

static void
pending_finish(pending_t *pending)
{
	struct json_object *error;
	int status = 200;

	if (json_object_object_get_ex(pending->answer, "error", &error))
		status = 404;
	exchange_reply_json(pending->exchange, status, pending->answer);
	pending_destroy(pending);
}

static void
timeout_callback(struct ev_loop *loop, ev_timer *watcher, int events)
{
	pending_t *pending = watcher->data;

	json_object_object_add(
	    pending->answer, "incomplete", json_object_new_boolean(true));
	pending_finish(pending);
}

/* Adds the members of a report; lists under the same key are concatenated. */
static void
answer_merge(struct json_object *answer, struct json_object *report)
{
	json_object_object_foreach(report, key, value)
	{
		struct json_object *present;

		if (json_object_is_type(value, json_type_array) &&
		    json_object_object_get_ex(answer, key, &present) &&
		    json_object_is_type(present, json_type_array)) {
			for (size_t i = 0; i < json_object_array_length(value); i++)
				json_object_array_add(present,
				    json_object_get(json_object_array_get_idx(value, i)));
			continue;
		}
		json_object_object_add(answer, key, json_object_get(value));
	}
}

static pending_t *
pending_find(operators_t *operators, uint64_t id)
{
	LIST_FOREACH (node, &operators->pending) {
		pending_t *pending = LIST_ENTRY(node, pending_t, link);

		if (pending->id == id)
			return pending;
	}
	return NULL;
}

static void
operators_receive_report(operators_t *operators, const message_t *message)
{
	pending_t *pending = pending_find(operators, message->stream);
	const chunk_t *chunk = message->u.report;
	struct json_tokener *tokener;
	struct json_object *report;

	if (pending == NULL || chunk == NULL)
		return;
	tokener = json_tokener_new();
	report =
	    json_tokener_parse_ex(tokener, (const char *)chunk->data, (int)chunk->size);
	if (json_object_is_type(report, json_type_object))
		answer_merge(pending->answer, report);
	json_object_put(report);
	json_tokener_free(tokener);
	if (--pending->waiting == 0)
		pending_finish(pending);
}

static void
operators_receive(void *state, message_t *message)
{
	operators_t *operators = state;

	switch (message->type) {
	case MESSAGE_REPORT:
		operators_receive_report(operators, message);
		break;
	case MESSAGE_LEAVE:
		operators->leaving = true;
		break;
	default:
		break;
	}
}

static bool
request_is_authorized(const operators_t *operators, const http_server_request_t *request)
{
	static const char scheme[] = "Bearer ";
	const char *given = request->authorization;
	const char *token = operators->settings->operators_token;
	size_t length = strlen(token);

	if (given == NULL || strncmp(given, scheme, sizeof(scheme) - 1) != 0)
		return false;
	given += sizeof(scheme) - 1;
	return strlen(given) == length && sodium_memcmp(given, token, length) == 0;
}

/*
 * Sends the query to each of the sources that exist on this node and replies when all
 * have reported or the timeout has passed. Takes the reference to answer.
 */
static void
operators_query(operators_t *operators, http_exchange_t *exchange, const query_t *query,
    const char *const sources[], size_t source_count, struct json_object *answer)
{
	pending_t *pending;

	if (operators->pending_count >= OPERATORS_PENDING_MAX ||
	    (pending = calloc(1, sizeof(*pending))) == NULL) {
		json_object_put(answer);
		exchange_reply_error(exchange, 503, "too many requests are waiting");
		return;
	}
	pending->owner = operators;
	pending->id = ++operators->last_id;
	pending->exchange = exchange;
	pending->answer = answer;
	list_append(&operators->pending, &pending->link);
	operators->pending_count++;
	ev_timer_init(&pending->timeout, timeout_callback, REPORT_TIMEOUT_S, 0.);
	pending->timeout.data = pending;
	ev_timer_start(kernel_loop(operators->kernel), &pending->timeout);
	for (size_t i = 0; i < source_count; i++) {
		service_t *source = kernel_service_find(operators->kernel, sources[i]);
		message_t *message = message_create(MESSAGE_QUERY, 0, pending->id);

		if (source == NULL || message == NULL) {
			message_destroy(message);
			continue;
		}
		message->u.query = *query;
		pending->waiting++;
		kernel_message_post(
		    operators->kernel, &operators->service, source, message);
	}
	if (pending->waiting == 0)
		pending_finish(pending);
}

static struct json_object *
operators_describe(const operators_t *operators)
{
	const settings_t *settings = operators->settings;
	struct json_object *answer = json_object_new_object();
	char text[ADDRESS_TEXT_BYTES];
	char boot[17];

	address_format(&settings->peers, text);
	snprintf(boot, sizeof(boot), "%016llx",
	    (unsigned long long)kernel_boot_id(operators->kernel));
	json_object_object_add(answer, "node", json_object_new_string(text));
	json_object_object_add(answer, "zone", json_object_new_string(settings->zone));
	json_object_object_add(
	    answer, "region", json_object_new_string(settings->region));
	json_object_object_add(answer, "boot", json_object_new_string(boot));
	json_object_object_add(answer, "uptime_ms",
	    json_object_new_int64(
		(int64_t)((kernel_now(operators->kernel) - operators->started_at) /
			  NS_PER_MS)));
	json_object_object_add(
	    answer, "leaving", json_object_new_boolean(operators->leaving));
	json_object_object_add(answer, "alarms", json_object_new_array());
	return answer;
}

static void
operators_reply_metrics(operators_t *operators, http_exchange_t *exchange)
{
	metrics_t *metrics = kernel_metrics(operators->kernel);
	buffer_t text;

	metrics_set(
	    metrics, METRIC_LOG_SUPPRESSED, kernel_log(operators->kernel)->suppressed);
	buffer_init(&text, OPERATORS_METRICS_MAX_BYTES);
	if (metrics_format(metrics, &text) == MASTICPITCH_OK)
		http_exchange_reply(exchange, 200, "text/plain; version=0.0.4",
		    (const char *)text.data, text.size);
	else
		exchange_reply_error(exchange, 500, "out of memory");
	buffer_free(&text);
}

static void
operators_reply_health(const operators_t *operators, http_exchange_t *exchange)
{
	struct json_object *answer = json_object_new_object();

	json_object_object_add(
	    answer, "leaving", json_object_new_boolean(operators->leaving));
	exchange_reply_json(exchange, operators->leaving ? 503 : 200, answer);
	json_object_put(answer);
}

static void
operators_reply_explain(operators_t *operators, const http_server_request_t *request)
{
	static const char *const sources[] = {"entry"};
	query_t query = {.kind = QUERY_EXPLAIN};
	const char *method = http_exchange_argument(request->exchange, "method");
	const char *path = http_exchange_argument(request->exchange, "path");

	if (method == NULL || path == NULL ||
	    string_copy(query.method, sizeof(query.method), method) != MASTICPITCH_OK ||
	    string_copy(query.path, sizeof(query.path), path) != MASTICPITCH_OK) {
		exchange_reply_error(
		    request->exchange, 400, "needs the arguments method and path");
		return;
	}
	operators_query(operators, request->exchange, &query, sources,
	    ARRAY_LENGTH(sources), json_object_new_object());
}

static void
operators_reply_quota(operators_t *operators, const http_server_request_t *request)
{
	static const char *const sources[] = {"quota"};
	query_t query = {.kind = QUERY_QUOTA};
	const char *workspace = http_exchange_argument(request->exchange, "workspace");

	if (workspace == NULL ||
	    string_copy(query.path, sizeof(query.path), workspace) != MASTICPITCH_OK) {
		exchange_reply_error(
		    request->exchange, 400, "needs the argument workspace");
		return;
	}
	operators_query(operators, request->exchange, &query, sources,
	    ARRAY_LENGTH(sources), json_object_new_object());
}

static void
operators_handle(void *state, const http_server_request_t *request)
{
	static const char *const status_sources[] = {
	    "config", "membership", "entry", "gate"};
	static const char *const instance_sources[] = {"entry"};
	operators_t *operators = state;
	query_t query = {.kind = QUERY_STATUS};

	if (strcmp(request->method, "GET") != 0) {
		exchange_reply_error(request->exchange, 405, "only GET is allowed");
	} else if (strcmp(request->path, "/health") == 0) {
		operators_reply_health(operators, request->exchange);
	} else if (strcmp(request->path, "/metrics") == 0) {
		operators_reply_metrics(operators, request->exchange);
	} else if (!request_is_authorized(operators, request)) {
		exchange_reply_error(request->exchange, 401, "missing or wrong token");
	} else if (strcmp(request->path, "/status") == 0) {
		operators_query(operators, request->exchange, &query, status_sources,
		    ARRAY_LENGTH(status_sources), operators_describe(operators));
	} else if (strcmp(request->path, "/instances") == 0) {
		query.kind = QUERY_INSTANCES;
		operators_query(operators, request->exchange, &query, instance_sources,
		    ARRAY_LENGTH(instance_sources), json_object_new_object());
	} else if (strcmp(request->path, "/explain") == 0) {
		operators_reply_explain(operators, request);
	} else if (strcmp(request->path, "/quota") == 0) {
		operators_reply_quota(operators, request);
	} else {
		exchange_reply_error(request->exchange, 404, "no such path");
	}
}

int
operators_create(kernel_t *kernel, const settings_t *settings, operators_t **result)
{
	operators_t *operators = calloc(1, sizeof(*operators));
	http_server_options_t options;
	int error;

	if (operators == NULL)
		return MASTICPITCH_E_NOMEM;
	operators->kernel = kernel;
	operators->settings = settings;
	operators->started_at = kernel_now(kernel);
	list_init(&operators->pending);
	list_init(&operators->service.link);
	operators->service.name = "operators";
	operators->service.state = operators;
	operators->service.receive = operators_receive;
	options = (http_server_options_t){
	    .address = settings->operators,
	    .body_max_bytes = OPERATORS_BODY_MAX_BYTES,
	    .connections_max = OPERATORS_CONNECTIONS_MAX,
	    .handler = operators_handle,
	    .state = operators,
	};
	error = http_server_create(kernel_loop(kernel), &options, &operators->server);
	if (error == MASTICPITCH_OK)
		error = kernel_service_register(kernel, &operators->service);
	if (error != MASTICPITCH_OK) {
		operators_destroy(operators);
		return error;
	}
	*result = operators;
	return MASTICPITCH_OK;
}

void
operators_destroy(operators_t *operators)
{
	if (operators == NULL)
		return;
	LIST_FOREACH_SAFE (node, &operators->pending)
		pending_destroy(LIST_ENTRY(node, pending_t, link));
	http_server_destroy(operators->server);
	kernel_service_unregister(operators->kernel, &operators->service);
	free(operators);
}
