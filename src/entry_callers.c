/*
 * Connects the callers' server with the entry's requests.
 */
#include "entry_internal.h"

#include <unistd.h>

static size_t
ahead_bytes(void *state, const http_head_t *head)
{
	return entry_ahead_bytes(state, head);
}

/* Changed timeouts of the configuration take effect with the next request. */
static void
timeouts_set(entry_t *entry)
{
	const preset_limits_t *limits;

	if (entry->snapshot == NULL)
		return;
	limits = &entry->snapshot->preset->limits;
	caller_server_timeouts_set(entry->callers,
	    limits->idle_timeout_ms == 0
		? 0
		: limits->idle_timeout_ms * NS_PER_MS + ENTRY_IDLE_MARGIN_S * NS_PER_S,
	    limits->header_timeout_ms * NS_PER_MS);
}

static void *
request_begin(void *state, exchange_t *exchange)
{
	entry_request_t *request = entry_request_create(state, exchange);

	if (request == NULL)
		return NULL;
	timeouts_set(state);
	entry_request_begin(request);
	return request;
}

static size_t
request_body(void *owner, const char *data, size_t size)
{
	return entry_request_body(owner, data, size);
}

static void
request_body_flush(void *owner)
{
	entry_request_body_flush(owner);
}

static void
request_body_end(void *owner)
{
	entry_request_body_end(owner);
}

static void
counters_publish(const entry_t *entry)
{
	const caller_counters_t *counters = caller_server_counters(entry->callers);
	metrics_t *metrics = kernel_metrics(entry->kernel);

	metrics_set(metrics, METRIC_CALLER_CONNECTIONS, entry_connections(entry));
	metrics_set(metrics, METRIC_CALLERS_AHEAD, counters->ahead);
	metrics_set(metrics, METRIC_CALLERS_HELD, counters->held);
	metrics_set(metrics, METRIC_CALLERS_DROPPED, counters->dropped);
	metrics_set(metrics, METRIC_CALLERS_PIPELINE_FULL, counters->pipeline_full);
	metrics_set(metrics, METRIC_CALLER_TIMEOUTS, counters->timeouts);
	metrics_set(metrics, METRIC_CALLER_LIMITED, counters->limited);
}

static void
request_end(void *owner, exchange_end_t end)
{
	entry_request_t *request = owner;
	metrics_t *metrics = kernel_metrics(request->entry->kernel);

	entry_request_log(request, end);
	if (request->answer_cut)
		metrics_add(metrics, METRIC_ANSWERS_CUT, 1);
	else if (end == EXCHANGE_END_LEFT || end == EXCHANGE_END_CUT)
		metrics_add(metrics, METRIC_CALLER_HANGUPS, 1);
	else if (end == EXCHANGE_END_DELIVERED && request->answer != NULL)
		metrics_add(metrics, METRIC_ANSWERS, 1);
	counters_publish(request->entry);
	metrics_observe(metrics, HISTOGRAM_REQUEST,
	    kernel_now(request->entry->kernel) - request->accepted_at);
	entry_request_destroy(request);
}

int
entry_callers_open(entry_t *entry)
{
	const caller_owner_t owner = {.state = entry,
	    .ahead_bytes = ahead_bytes,
	    .begin = request_begin,
	    .body = request_body,
	    .body_flush = request_body_flush,
	    .body_end = request_body_end,
	    .read = entry_answer_read,
	    .end = request_end};
	caller_options_t options = {
	    .connections_max =
		(unsigned)(entry->settings->requests_max + ENTRY_EXTRA_CONNECTIONS),
	    .idle_ns = ENTRY_IDLE_TIMEOUT_S * NS_PER_S};
	int error = os_socket_listen(&entry->settings->callers, &options.listen_fd);

	if (error != MASTICPITCH_OK)
		return error;
	error = caller_server_create(
	    kernel_loop(entry->kernel), &options, &owner, &entry->callers);
	if (error != MASTICPITCH_OK)
		close(options.listen_fd);
	return error;
}
