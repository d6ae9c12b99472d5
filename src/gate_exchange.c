#include "gate_internal.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Called by libcurl just before it writes the request. A second call for the same
 * exchange is a resend by libcurl, which is blocked.
 */
static int
prerequest_callback(
    void *state, char *remote_ip, char *local_ip, int remote_port, int local_port)
{
	gate_call_t *call = state;

	if (call->sent) {
		call->resend_blocked = true;
		metrics_add(
		    kernel_metrics(call->gate->kernel), METRIC_BACKEND_RESEND_BLOCKED, 1);
		return CURL_PREREQFUNC_ABORT;
	}
	call->sent = true;
	return CURL_PREREQFUNC_OK;
}

/* Returns credit for the body bytes that libcurl has consumed. */
static void
body_credit_return(gate_call_t *call)
{
	message_t *message;

	if (call->body_end || call->body_credit < GATE_CREDIT_BYTES)
		return;
	message = gate_call_message(call, MESSAGE_CALL_CREDIT);
	if (message == NULL)
		return;
	message->u.credit = call->body_credit;
	call->body_credit = 0;
	gate_call_post(call, message);
}

static size_t
body_callback(char *target, size_t size, size_t count, void *state)
{
	gate_call_t *call = state;
	size_t copied = chunk_queue_read(&call->body, target, size * count);

	call->body_credit += (uint32_t)copied;
	body_credit_return(call);
	if (copied > 0 || call->body_end)
		return copied;
	call->body_paused = true;
	return CURL_READFUNC_PAUSE;
}

/* libcurl aborts the exchange if the returned size differs from the given one. */
static size_t
header_callback(char *data, size_t size, size_t count, void *state)
{
	gate_call_t *call = state;
	size_t length = size * count;

	return gate_answer_line(call, data, length) ? length : 0;
}

/* True if the answer has used up its part of this iteration, and is read on in the next.
 */
static bool
answer_yield(gate_call_t *call, size_t length)
{
	gate_t *gate = call->gate;
	unsigned iteration = ev_iteration(kernel_loop(gate->kernel));

	if (call->iteration != iteration) {
		call->iteration = iteration;
		call->iteration_read = 0;
	}
	if (call->iteration_read < GATE_ITERATION_READ_MAX_BYTES) {
		call->iteration_read += length;
		return false;
	}
	if (list_is_empty(&call->yield_link)) {
		list_append(&gate->yielded, &call->yield_link);
		defer_start(&gate->yield);
		metrics_add(kernel_metrics(gate->kernel), METRIC_BACKEND_YIELDS, 1);
	}
	return true;
}

/* Gets the body as it is on the wire, with the framing of its chunks. */
static size_t
answer_callback(char *data, size_t size, size_t count, void *state)
{
	gate_call_t *call = state;
	size_t length = size * count;

	if (!call->shed && length > call->answer_credit) {
		call->answer_paused = true;
		return CURL_WRITEFUNC_PAUSE;
	}
	if (answer_yield(call, length))
		return CURL_WRITEFUNC_PAUSE;
	return gate_answer_body(call, data, length) ? length : 0;
}

static void
answer_end(gate_call_t *call)
{
	message_t *message = gate_call_message(call, MESSAGE_ANSWER_DATA);

	if (message != NULL)
		message->u.data.end = true;
	gate_call_post(call, message);
	gate_ticket_finish(call);
	gate_crash_end(call, true);
	gate_call_finish(call);
}

/* True if the backend server's port refused the connection. */
static bool
connection_refused(CURL *easy, CURLcode result)
{
	long number = 0;

	curl_easy_getinfo(easy, CURLINFO_OS_ERRNO, &number);
	return result == CURLE_COULDNT_CONNECT && number == ECONNREFUSED;
}

/* Ends a call whose exchange ended without a complete answer. */
static void
exchange_failed(gate_call_t *call, CURLcode result)
{
	gate_t *gate = call->gate;

	if (!call->sent) {
		bool refused = connection_refused(call->easy, result);

		gate_call_refuse(call, REASON_BACKEND_CONNECT, RUN_NO, false);
		if (refused)
			gate_backend_crashed(gate, "connection refused");
		return;
	}
	gate_crash_check(call);
	if (call->answered)
		gate_call_refuse(call,
		    call->answer_malformed ? REASON_BACKEND_PROTOCOL
					   : REASON_BACKEND_LOST,
		    RUN_YES, false);
	else if (result == CURLE_WEIRD_SERVER_REPLY || result == CURLE_WRITE_ERROR ||
		 result == CURLE_UNSUPPORTED_PROTOCOL)
		gate_call_refuse(call, REASON_BACKEND_PROTOCOL, RUN_UNKNOWN, false);
	else
		gate_call_refuse(call, REASON_BACKEND_LOST, RUN_UNKNOWN, false);
}

/* The announced instance no longer has this address. */
static void
exchange_misdirected(gate_call_t *call)
{
	gate_t *gate = call->gate;

	gate_call_refuse(call, REASON_INSTANCE_GONE, RUN_NO, false);
	gate_backend_crashed(gate, "the address belongs to another instance");
}

static void
refused_record(gate_t *gate, const call_head_t *head)
{
	gate->refused[gate->refused_next] = hash_string(head->request_id);
	gate->refused_next = (gate->refused_next + 1) % GATE_REFUSED_MAX;
}

static bool
was_refused(const gate_t *gate, const call_head_t *head)
{
	uint64_t hash = hash_string(head->request_id);

	for (size_t i = 0; i < GATE_REFUSED_MAX; i++) {
		if (gate->refused[i] == hash)
			return true;
	}
	return false;
}

/* Updates the concurrency limit and the service times after an exchange. */
static void
exchange_record(gate_call_t *call, uint64_t now)
{
	gate_t *gate = call->gate;
	uint64_t duration = now - call->started_at;

	metrics_observe(kernel_metrics(gate->kernel), HISTOGRAM_BACKEND, duration);
	if (call->shed) {
		if (!call->misdirected)
			limit_gate_overload(&gate->limit, now);
		return;
	}
	if (!call->answered)
		return;
	limit_gate_record(
	    &gate->limit, call->head->route_class, duration, call->running_at_start, now);
	queue_service_record(&gate->queue, call->head->route_class, duration, now);
	metrics_set(kernel_metrics(gate->kernel), METRIC_GATE_LIMIT, gate_limit(gate));
}

static void
done_callback(void *state, CURL *easy, CURLcode result)
{
	gate_call_t *call = NULL;
	long connects = 0;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&call);
	curl_easy_getinfo(easy, CURLINFO_NUM_CONNECTS, &connects);
	metrics_add(kernel_metrics(call->gate->kernel), METRIC_BACKEND_CONNECTIONS,
	    (uint64_t)MAX_OF(connects, 0));
	exchange_record(call, kernel_now(call->gate->kernel));
	if (call->shed)
		refused_record(call->gate, call->head);
	if (call->shed && result != CURLE_OK)
		metrics_add(
		    kernel_metrics(call->gate->kernel), METRIC_BACKEND_REFUSALS_CUT, 1);
	if (call->misdirected)
		exchange_misdirected(call);
	else if (call->shed)
		gate_call_refuse(call, REASON_BACKEND_SHED, RUN_NO, call->shed_final);
	else if (result == CURLE_OK && call->answered && gate_answer_finish(call))
		answer_end(call);
	else
		exchange_failed(call, result);
}

/*
 * Creates a handle with the options that are the same for every call. Each serves one
 * exchange: libcurl 7.88 keeps a pointer to the last field of an answer over its release
 * and appends a line to it that begins with a blank.
 */
static CURL *
handle_create(void)
{
	CURL *easy = curl_easy_init();

	if (easy == NULL)
		return NULL;
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
	/* libcurl would keep every line of a trailer section that has no end. */
	curl_easy_setopt(easy, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, (long)GATE_CONNECT_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, prerequest_callback);
	curl_easy_setopt(easy, CURLOPT_READFUNCTION, body_callback);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, header_callback);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, answer_callback);
	return easy;
}

static bool
exchange_set_options(gate_call_t *call)
{
	const call_head_t *head = call->head;
	CURL *easy = call->easy;
	char address[ADDRESS_TEXT_BYTES];
	char url[ADDRESS_TEXT_BYTES + 8];

	address_format(&call->gate->backend.address, address);
	snprintf(url, sizeof(url), "http://%s/", address);
	if (strcmp(head->method, "HEAD") == 0)
		curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
	if (head->has_body) {
		curl_easy_setopt(easy, CURLOPT_UPLOAD, 1L);
		curl_easy_setopt(
		    easy, CURLOPT_INFILESIZE_LARGE, (curl_off_t)head->body_length);
	}
	curl_easy_setopt(easy, CURLOPT_PRIVATE, call);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, call);
	curl_easy_setopt(easy, CURLOPT_READDATA, call);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, call);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, call);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call->lines);
	curl_easy_setopt(
	    easy, CURLOPT_FRESH_CONNECT, (long)was_refused(call->gate, head));
	/* A request on a connection that is being closed has an unknown outcome. */
	curl_easy_setopt(
	    easy, CURLOPT_MAXAGE_CONN, (long)MAX_OF(call->gate->idle_s, 2) - 1);
	return curl_easy_setopt(easy, CURLOPT_URL, url) == CURLE_OK &&
	       curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, head->path) == CURLE_OK &&
	       curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, head->method) == CURLE_OK;
}

int
gate_exchange_start(gate_call_t *call)
{
	gate_t *gate = call->gate;

	call->easy = handle_create();
	if (call->easy == NULL)
		return MASTICPITCH_E_NOMEM;
	if (gate_lines_build(call) && exchange_set_options(call) &&
	    curl_loop_add(gate->curl, call->easy) == MASTICPITCH_OK)
		return MASTICPITCH_OK;
	curl_slist_free_all(call->lines);
	call->lines = NULL;
	curl_easy_cleanup(call->easy);
	call->easy = NULL;
	return MASTICPITCH_E_NOMEM;
}

void
gate_exchange_stop(gate_call_t *call)
{
	list_remove(&call->yield_link);
	if (call->easy == NULL)
		return;
	/* Does nothing if the exchange has ended and the handle was removed already. */
	curl_loop_remove(call->gate->curl, call->easy);
	curl_easy_cleanup(call->easy);
	call->easy = NULL;
	curl_slist_free_all(call->lines);
	call->lines = NULL;
}

void
gate_exchange_break(gate_call_t *call)
{
	done_callback(NULL, call->easy, CURLE_WRITE_ERROR);
}

/* May end the call. */
static void
exchange_resume(gate_call_t *call)
{
	curl_loop_unpause(call->gate->curl, call->easy);
	/* libcurl does not end a transfer whose callback fails in here. */
	if (call->answer_malformed || call->answer_failed)
		gate_exchange_break(call);
}

static void
yield_callback(void *state)
{
	gate_t *gate = state;
	list_t ready, *node;

	/* A call may yield again, to the next iteration. */
	list_init(&ready);
	while ((node = list_take_first(&gate->yielded)) != NULL)
		list_append(&ready, node);
	while ((node = list_take_first(&ready)) != NULL)
		exchange_resume(LIST_ENTRY(node, gate_call_t, yield_link));
}

void
gate_exchange_resume_body(gate_call_t *call)
{
	if (!call->body_paused)
		return;
	call->body_paused = false;
	exchange_resume(call);
}

void
gate_exchange_resume_answer(gate_call_t *call)
{
	if (!call->answer_paused || call->answer_credit < STREAM_DATA_MAX_BYTES)
		return;
	call->answer_paused = false;
	exchange_resume(call);
}

int
gate_exchange_open(gate_t *gate)
{
	defer_init(&gate->yield, kernel_loop(gate->kernel), yield_callback, gate);
	return curl_loop_create(
	    kernel_loop(gate->kernel), done_callback, gate, &gate->curl);
}

void
gate_exchange_close(gate_t *gate)
{
	defer_stop(&gate->yield);
	curl_loop_destroy(gate->curl);
	gate->curl = NULL;
}
