#include "entry_internal.h"

#include <stdlib.h>
#include <string.h>

void
entry_request_expire(entry_request_t *request, reason_t reason)
{
	bool has_answer = request->answer != NULL && request->answer_end;

	if (request->stream_open)
		request->run = MAX_OF(request->run, RUN_UNKNOWN);
	if (request->refusal.reason == REASON_NONE && !has_answer)
		entry_request_refuse(request, reason, request->run, false);
	/* The rest of the body is not waited for. */
	if (request->state == REQUEST_BODY) {
		request->close = true;
		entry_request_answer(request);
	}
}

static void
deadline_callback(struct ev_loop *loop, ev_timer *watcher, int events)
{
	entry_request_t *request = watcher->data;

	if (request->stream_open)
		balance_attempt_failed(request->entry->balance, &request->attempt,
		    kernel_now(request->entry->kernel));
	if (request->state != REQUEST_ANSWERING) {
		entry_request_expire(request, REASON_DEADLINE_PASSED);
		return;
	}
	/* A caller may finish reading a complete answer after the deadline. */
	if (request->refusal.reason == REASON_NONE && !request->answer_end)
		request->answer_cut = true;
	entry_attempt_cancel(request);
	entry_request_resume(request);
}

static void
backoff_callback(struct ev_loop *loop, ev_timer *watcher, int events)
{
	entry_attempt_start(watcher->data);
}

entry_request_t *
entry_request_create(entry_t *entry, exchange_t *exchange)
{
	entry_request_t *request = calloc(1, sizeof(*request));

	if (request == NULL)
		return NULL;
	request->head = call_head_create();
	if (request->head != NULL)
		request->head->path = strdup(http_head_path(&exchange->head));
	if (request->head == NULL || request->head->path == NULL) {
		call_head_destroy(request->head);
		free(request);
		return NULL;
	}
	request->entry = entry;
	request->exchange = exchange;
	request->state = REQUEST_BODY;
	/* A pipelined request may have waited for the answers ahead of it. */
	request->accepted_at = exchange->received_at;
	request->body_kept = true;
	buffer_init(&request->kept_body, RETRY_BODY_MAX_BYTES);
	chunk_queue_init(&request->unsent);
	chunk_queue_init(&request->answer_body);
	ev_timer_init(&request->deadline, deadline_callback, 0.0, 0.0);
	request->deadline.data = request;
	ev_timer_init(&request->backoff, backoff_callback, 0.0, 0.0);
	request->backoff.data = request;
	entry_hedge_init(request);
	list_init(&request->quota_link);
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
	entry_quota_cancel(request);
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

/*
 * True if a refusal is sent before the body is read. A short body is read first,
 * since the caller may read the answer only after it has sent the body.
 */
static bool
refusal_is_due(const entry_request_t *request)
{
	return request->close || request->body_length > ENTRY_BODY_DISCARDED_MAX_BYTES ||
	       request->exchange->head.expects;
}

static double
time_left_s(uint64_t deadline, uint64_t now)
{
	return deadline > now ? (double)(deadline - now) / (double)NS_PER_S : 0.0;
}

void
entry_request_begin(entry_request_t *request)
{
	entry_t *entry = request->entry;
	reason_t reason = entry_head_read(request);
	double timeout_s = ENTRY_DISCARD_TIMEOUT_S;

	if (reason == REASON_NONE)
		reason = limit_entry_acquire(entry->limit, request->preset_service,
		    request->head->route_class, &request->permit);
	if (reason == REASON_NONE)
		reason = entry_quota_admit(request);
	if (reason == REASON_NONE)
		timeout_s =
		    time_left_s(request->head->deadline, kernel_now(entry->kernel)) +
		    (double)ENTRY_DEADLINE_GRACE_MS / 1000.0;
	ev_timer_set(&request->deadline, timeout_s, 0.0);
	ev_timer_start(kernel_loop(entry->kernel), &request->deadline);
	if (reason != REASON_NONE) {
		entry_request_refuse(request, reason, RUN_NO, false);
		if (refusal_is_due(request))
			entry_request_answer(request);
		return;
	}
	metrics_set(kernel_metrics(entry->kernel), METRIC_REQUESTS_IN_FLIGHT,
	    limit_entry_in_flight(entry->limit));
	retry_request_record(entry->retry, request->preset_service);
	hedge_request_record(&entry->hedge, hash_string(request->preset_service->name),
	    kernel_now(entry->kernel));
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
	if (!request->started && !entry_quota_is_waiting(request) &&
	    (request->body_end || request->body_received >= QUARANTINE_BODY_BYTES))
		request_start(request);
	else
		entry_attempt_pump(request);
}

void
entry_requests_quota(entry_t *entry)
{
	LIST_FOREACH_SAFE (node, &entry->quota_waiting) {
		entry_request_t *request = LIST_ENTRY(node, entry_request_t, quota_link);
		reason_t reason;

		if (!entry_quota_retry(request, &reason))
			continue;
		if (reason != REASON_NONE)
			entry_request_refuse(request, reason, RUN_NO, false);
		else if (!body_is_discarded(request))
			body_advance(request);
	}
}

/*
 * Counts body bytes that are not needed. Above the limit, a refusal is sent without
 * waiting for the end of the body, and anything else is aborted.
 */
static void
body_discard(entry_request_t *request, size_t size)
{
	uint64_t limit = ENTRY_BODY_DISCARDED_MAX_BYTES;

	if (request->route != NULL)
		limit = MAX_OF(limit, request->route->body_limit_bytes);
	request->body_discarded += size;
	if (request->body_discarded <= limit)
		return;
	if (request->refusal.reason == REASON_NONE) {
		exchange_abort(request->exchange);
	} else if (request->state == REQUEST_BODY) {
		request->close = true;
		entry_request_answer(request);
	}
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
		/* Smaller pieces wait for the flush, so that they are sent as one. */
		if (request->body_end || request->unsent.size >= STREAM_DATA_MAX_BYTES)
			body_advance(request);
		if (body_is_discarded(request))
			return size;
	}
	return consumed;
}

void
entry_request_body_flush(entry_request_t *request)
{
	if (!body_is_discarded(request))
		body_advance(request);
}

void
entry_request_body_end(entry_request_t *request)
{
	if (request->state == REQUEST_BODY)
		request->state = REQUEST_WAITING;
	if (!body_is_discarded(request)) {
		request->body_end = true;
		body_advance(request);
	}
	entry_request_resume(request);
}
