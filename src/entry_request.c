#include "entry_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#define REFUSAL_TEXT_MAX_BYTES 512

static void
deadline_callback(struct ev_loop *loop, ev_timer *watcher, int events)
{
	entry_request_t *request = watcher->data;

	if (request->stream_open) {
		request->run = MAX_OF(request->run, RUN_UNKNOWN);
		balance_attempt_failed(request->entry->balance, &request->attempt,
		    kernel_now(request->entry->kernel));
	}
	if (request->state == REQUEST_ANSWERING) {
		/* A caller may finish reading a complete answer after the deadline. */
		if (!request->answer_end)
			request->answer_cut = true;
		entry_attempt_cancel(request);
		entry_request_resume(request);
		return;
	}
	if (request->refusal.reason == REASON_NONE)
		entry_request_refuse(
		    request, REASON_DEADLINE_PASSED, request->run, false);
	/* libmicrohttpd cannot answer before the body ends, and it has not by now. */
	if (request->state == REQUEST_BODY)
		entry_request_abort(request);
}

static void
backoff_callback(struct ev_loop *loop, ev_timer *watcher, int events)
{
	entry_attempt_start(watcher->data);
}

entry_request_t *
entry_request_create(entry_t *entry, struct MHD_Connection *mhd, const char *path)
{
	entry_request_t *request = calloc(1, sizeof(*request));

	if (request == NULL)
		return NULL;
	request->head = call_head_create();
	if (request->head != NULL)
		request->head->path = strdup(path);
	if (request->head == NULL || request->head->path == NULL) {
		call_head_destroy(request->head);
		free(request);
		return NULL;
	}
	request->entry = entry;
	request->mhd = mhd;
	request->accepted_at = kernel_now(entry->kernel);
	request->body_kept = true;
	buffer_init(&request->kept_body, RETRY_BODY_MAX_BYTES);
	chunk_queue_init(&request->unsent);
	chunk_queue_init(&request->answer_body);
	ev_timer_init(&request->deadline, deadline_callback, 0.0, 0.0);
	request->deadline.data = request;
	ev_timer_init(&request->backoff, backoff_callback, 0.0, 0.0);
	request->backoff.data = request;
	list_append(&entry->requests, &request->link);
	metrics_add(kernel_metrics(entry->kernel), METRIC_REQUESTS, 1);
	return request;
}

void
entry_request_destroy(entry_request_t *request)
{
	entry_t *entry = request->entry;
	struct ev_loop *loop = kernel_loop(entry->kernel);

	entry_attempt_cancel(request);
	limit_entry_release(entry->limit, &request->permit);
	metrics_set(kernel_metrics(entry->kernel), METRIC_REQUESTS_IN_FLIGHT,
	    limit_entry_in_flight(entry->limit));
	ev_timer_stop(loop, &request->deadline);
	ev_timer_stop(loop, &request->backoff);
	list_remove(&request->link);
	buffer_free(&request->kept_body);
	chunk_queue_free(&request->unsent);
	chunk_queue_free(&request->answer_body);
	answer_head_destroy(request->answer);
	call_head_destroy(request->head);
	snapshot_release(request->snapshot);
	free(request);
}

void
entry_request_refuse(
    entry_request_t *request, reason_t reason, run_state_t run, bool final)
{
	entry_t *entry = request->entry;

	metrics_refusal_add(kernel_metrics(entry->kernel), reason);
	entry_attempt_cancel(request);
	entry_nested_report(request, &request->last_load,
	    run == RUN_NO && reason_is_overload(reason), true);
	if (run == RUN_NO && request->refusal.retry_after_ms == 0 &&
	    reason_is_overload(reason))
		request->refusal.retry_after_ms =
		    ENTRY_RETRY_AFTER_MIN_MS +
		    (uint32_t)rng_below(kernel_rng(entry->kernel),
			ENTRY_RETRY_AFTER_MAX_MS - ENTRY_RETRY_AFTER_MIN_MS);
	request->refusal.reason = reason;
	request->refusal.run = run;
	request->refusal.final = final;
	chunk_queue_free(&request->unsent);
	entry_request_resume(request);
}

void
entry_request_begin(entry_request_t *request, const char *method, const char *version)
{
	entry_t *entry = request->entry;
	reason_t reason = entry_head_read(request, method, version);
	double timeout_s = ENTRY_DISCARD_TIMEOUT_S;

	if (reason == REASON_NONE)
		reason = limit_entry_acquire(entry->limit, request->preset_service,
		    request->head->route_class, &request->permit);
	if (reason == REASON_NONE)
		timeout_s =
		    (double)(request->head->deadline - request->accepted_at) / 1e9 +
		    (double)ENTRY_DEADLINE_GRACE_MS / 1000.0;
	ev_timer_set(&request->deadline, timeout_s, 0.0);
	ev_timer_start(kernel_loop(entry->kernel), &request->deadline);
	if (reason != REASON_NONE) {
		entry_request_refuse(request, reason, RUN_NO, false);
		return;
	}
	metrics_set(kernel_metrics(entry->kernel), METRIC_REQUESTS_IN_FLIGHT,
	    limit_entry_in_flight(entry->limit));
	retry_request_record(entry->retry, request->preset_service);
}

/* True if the rest of the body is not needed. */
static bool
body_is_discarded(const entry_request_t *request)
{
	return request->refusal.reason != REASON_NONE || request->answer_end ||
	       request->answer_cut;
}

/* Appends to the copy for retries, unless the body is too large. */
static void
body_keep(entry_request_t *request, const char *data, size_t size)
{
	if (!request->body_kept)
		return;
	if (buffer_append(&request->kept_body, data, size) == MASTICPITCH_OK)
		return;
	request->body_kept = false;
	/* Before the first attempt, the fingerprint still needs the body's start. */
	if (request->started)
		buffer_free(&request->kept_body);
}

static void
request_start(entry_request_t *request)
{
	entry_t *entry = request->entry;
	call_head_t *head = request->head;

	request->started = true;
	head->fingerprint = quarantine_fingerprint(head->method, head->path,
	    request->body_length, request->kept_body.data,
	    MIN_OF(request->kept_body.size, (size_t)QUARANTINE_BODY_BYTES));
	if (!entry->naive && quarantine_refuses(entry->quarantine, head->fingerprint,
				 kernel_now(entry->kernel))) {
		entry_request_refuse(request, REASON_CRASH_SUSPECT, RUN_NO, true);
		return;
	}
	entry_attempt_start(request);
}

/* Starts the first attempt once the fingerprinted part of the body has arrived. */
static void
body_advance(entry_request_t *request)
{
	if (!request->started &&
	    (request->body_end || request->body_received >= QUARANTINE_BODY_BYTES))
		request_start(request);
	else
		entry_attempt_pump(request);
}

/* Counts body bytes that are not needed; aborts the request above the limit. */
static void
body_discard(entry_request_t *request, size_t size)
{
	uint64_t limit = ENTRY_BODY_DISCARDED_MAX_BYTES;

	if (request->route != NULL)
		limit = MAX_OF(limit, request->route->body_limit_bytes);
	request->body_discarded += size;
	if (request->body_discarded > limit)
		entry_request_abort(request);
}

size_t
entry_request_body(entry_request_t *request, const char *data, size_t size)
{
	size_t consumed = 0;

	if (body_is_discarded(request)) {
		body_discard(request, size);
		return size;
	}
	if (request->body_received + size > request->route->body_limit_bytes) {
		entry_request_refuse(request, REASON_BODY_TOO_LARGE,
		    request->stream_open ? RUN_UNKNOWN : request->run, false);
		return size;
	}
	while (consumed < size && request->unsent.size < ENTRY_BODY_BUFFERED_MAX_BYTES) {
		size_t chunk_size =
		    MIN_OF(size - consumed, (size_t)STREAM_DATA_MAX_BYTES);
		chunk_t *chunk = chunk_copy(data + consumed, chunk_size);

		if (chunk == NULL ||
		    chunk_queue_push(&request->unsent, chunk) != MASTICPITCH_OK) {
			entry_request_refuse(request, REASON_ENTRY_LIMIT,
			    request->stream_open ? RUN_UNKNOWN : request->run, false);
			return size;
		}
		body_keep(request, data + consumed, chunk_size);
		consumed += chunk_size;
		request->body_received += chunk_size;
		request->body_end =
		    request->body_length >= 0 &&
		    request->body_received == (uint64_t)request->body_length;
		body_advance(request);
		if (body_is_discarded(request))
			return size;
	}
	return consumed;
}

void
entry_request_body_end(entry_request_t *request)
{
	if (body_is_discarded(request))
		return;
	request->body_end = true;
	body_advance(request);
}

/* True if there is no last body byte to hold back until the end mark arrives. */
static bool
answer_has_no_body(const entry_request_t *request)
{
	int status = request->answer->status;

	return request->answer->body_length == 0 || status == 204 || status == 304 ||
	       strcmp(request->head->method, "HEAD") == 0;
}

bool
entry_request_is_ready(const entry_request_t *request)
{
	if (request->refusal.reason != REASON_NONE)
		return true;
	return request->answer != NULL &&
	       (request->answer_end || !answer_has_no_body(request));
}

/* Adds a field unless the dialect lacks it (name is NULL). */
static void
response_add(struct MHD_Response *response, const char *name, const char *value)
{
	if (name != NULL)
		MHD_add_response_header(response, name, value);
}

/*
 * In the hosted dialect the status itself carries the run state: 503 guarantees
 * that the request was not run and never will be, 502 and 504 guarantee nothing.
 */
static int
refusal_status(const entry_request_t *request)
{
	const refusal_t *refusal = &request->refusal;
	int status = reason_status(refusal->reason);

	if (request->entry->names->run != NULL || (status >= 400 && status < 429))
		return status;
	if (refusal->run == RUN_NO)
		return status == 429 ? status : 503;
	return status == 504 ? status : 502;
}

static struct MHD_Response *
refusal_response(entry_request_t *request)
{
	const header_names_t *names = request->entry->names;
	const refusal_t *refusal = &request->refusal;
	char text[REFUSAL_TEXT_MAX_BYTES];
	char seconds[16];
	struct MHD_Response *response;
	int length = snprintf(text, sizeof(text),
	    "{\"error\":\"%s\",\"meaning\":\"%s\",\"run\":\"%s\",\"request_id\":\"%s\"}",
	    reason_text(refusal->reason), reason_meaning(refusal->reason),
	    run_state_text(refusal->run), request->head->request_id);

	response =
	    MHD_create_response_from_buffer((size_t)length, text, MHD_RESPMEM_MUST_COPY);
	if (response == NULL)
		return NULL;
	MHD_add_response_header(response, "Content-Type", "application/json");
	response_add(response, names->reason, reason_text(refusal->reason));
	response_add(response, names->run, run_state_text(refusal->run));
	response_add(response, names->request_id, request->head->request_id);
	if (refusal->final)
		response_add(response, names->final, "1");
	if (refusal->retry_after_ms > 0) {
		/* The hosted dialect allows fractions of a second. */
		if (names->run == NULL)
			snprintf(seconds, sizeof(seconds), "%u.%03u",
			    refusal->retry_after_ms / 1000,
			    refusal->retry_after_ms % 1000);
		else
			snprintf(seconds, sizeof(seconds), "%u",
			    (refusal->retry_after_ms + 999) / 1000);
		MHD_add_response_header(response, "Retry-After", seconds);
	}
	return response;
}

/* Returns credit for the answer bytes that were delivered to the caller. */
static void
answer_credit_return(entry_request_t *request)
{
	message_t *message;

	if (request->answer_end || !request->stream_open ||
	    request->answer_credit < ENTRY_CREDIT_BYTES)
		return;
	message = message_create(
	    MESSAGE_ANSWER_CREDIT, request->stream.node, request->stream.stream);
	if (message == NULL)
		return;
	message->u.credit = request->answer_credit;
	request->answer_credit = 0;
	entry_stream_post(request, message);
}

/*
 * Ends an incomplete answer. A body without a length ends in HTTP/1.0 with the
 * connection, so only a reset shows the caller that it is incomplete. Connecting
 * to AF_UNSPEC makes the kernel send one.
 */
static ssize_t
answer_abort(entry_request_t *request)
{
	const struct sockaddr unspecified = {.sa_family = AF_UNSPEC};

	request->answer_cut = true;
	if (request->http_1_0)
		(void)connect(request->connection->fd, &unspecified, sizeof(unspecified));
	return MHD_CONTENT_READER_END_WITH_ERROR;
}

static ssize_t
answer_reader(void *state, uint64_t position, char *target, size_t size)
{
	entry_request_t *request = state;
	int64_t length = request->answer->body_length;
	size_t given;

	if (request->aborted || request->answer_cut)
		return answer_abort(request);
	/* Hold back the last byte until the end mark, so a cut answer is incomplete. */
	if (length >= 0 && !request->answer_end && position + size >= (uint64_t)length &&
	    size > 0)
		size = (uint64_t)length > position + 1
			   ? (size_t)((uint64_t)length - position - 1)
			   : 0;
	given = chunk_queue_read(&request->answer_body, target, size);
	if (given > 0) {
		request->answer_credit += (uint32_t)given;
		answer_credit_return(request);
		return (ssize_t)given;
	}
	if (request->answer_end)
		return length >= 0 ? answer_abort(request)
				   : MHD_CONTENT_READER_END_OF_STREAM;
	request->suspended = true;
	MHD_suspend_connection(request->mhd);
	return 0;
}

/* Response for an answer that has been received completely; needs no reader. */
static struct MHD_Response *
answer_complete_response(entry_request_t *request)
{
	size_t size = request->answer_body.size;
	char *body = malloc(MAX_OF(size, (size_t)1));
	struct MHD_Response *response;

	if (body == NULL)
		return NULL;
	(void)chunk_queue_read(&request->answer_body, body, size);
	response = MHD_create_response_from_buffer(size, body, MHD_RESPMEM_MUST_FREE);
	if (response == NULL)
		free(body);
	return response;
}

static struct MHD_Response *
answer_response(entry_request_t *request)
{
	const answer_head_t *answer = request->answer;
	uint64_t length =
	    answer->body_length >= 0 ? (uint64_t)answer->body_length : MHD_SIZE_UNKNOWN;
	struct MHD_Response *response;

	if (request->answer_end && !request->answer_cut &&
	    (answer->body_length < 0 || length == request->answer_body.size))
		response = answer_complete_response(request);
	else
		response = MHD_create_response_from_callback(
		    length, STREAM_DATA_MAX_BYTES, answer_reader, request, NULL);
	if (response == NULL)
		return NULL;
	for (size_t i = 0; i < answer->headers.count; i++) {
		const header_t *item = &answer->headers.items[i];

		if (strcasecmp(item->name, "Content-Length") != 0)
			MHD_add_response_header(response, item->name, item->value);
	}
	return response;
}

/*
 * True if the connection is closed after the answer. Callers of the hosted dialect
 * retry on a new connection after a refusal, so the old one would stay idle. The
 * native dialect guarantees that it stays open.
 */
static bool
connection_is_closed_after(const entry_t *entry, bool refused)
{
	if (entry->settings->dialect != DIALECT_HOSTED)
		return false;
	return refused || entry_connections(entry) > ENTRY_KEEP_ALIVE_CONNECTIONS_MAX;
}

enum MHD_Result
entry_request_answer(entry_request_t *request)
{
	bool refused = request->refusal.reason != REASON_NONE;
	int status = refused ? refusal_status(request) : request->answer->status;
	struct MHD_Response *response =
	    refused ? refusal_response(request) : answer_response(request);
	enum MHD_Result result;

	if (response == NULL)
		return MHD_NO;
	request->state = REQUEST_ANSWERING;
	if (request->close || request->entry->leaving ||
	    connection_is_closed_after(request->entry, refused))
		MHD_add_response_header(response, "Connection", "close");
	result = MHD_queue_response(request->mhd, (unsigned)status, response);
	MHD_destroy_response(response);
	return result;
}
