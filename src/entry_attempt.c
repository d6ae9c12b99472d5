#include "entry_internal.h"

#include <stdio.h>
#include <string.h>

/*
 * Refuses the request without a further attempt. The run state of the earlier
 * attempts is kept, and so is their reason if no instance is left.
 */
static void
attempt_give_up(entry_request_t *request, reason_t reason)
{
	if (request->last_reason != REASON_NONE && reason == REASON_NO_INSTANCE)
		reason = request->last_reason;
	entry_request_refuse(request, reason, request->run, false);
}

/*
 * True for a failure of the connection, or a gate that would rather have another one
 * take the call: an immediate retry at the same instance may succeed.
 */
static bool
failure_is_transient(reason_t reason)
{
	return reason == REASON_STREAM_LOST || reason == REASON_BACKEND_LOST ||
	       reason == REASON_BACKEND_CONNECT || reason == REASON_HOST_BUSY;
}

static bool
instance_choose(entry_request_t *request, uint64_t *node)
{
	entry_t *entry = request->entry;
	size_t excluded = MIN_OF(request->attempts, (uint32_t)PRESET_ATTEMPTS_MAX);
	rng_t *rng = kernel_rng(entry->kernel);
	uint64_t now = kernel_now(entry->kernel);
	balance_request_t balance_request = entry_balance_request(request);

	if (request->ticket_bound) {
		*node = request->ticket_node;
		return true;
	}
	/* What the gates that moved the call reported is newer than all else. */
	if (entry->naive || request->moves == ENTRY_MOVES_MAX)
		excluded = 0;
	if (balance_choose_for(entry->balance, request->preset_service, &balance_request,
		request->tried, excluded, rng, now, node) == MASTICPITCH_OK)
		return true;
	return excluded > 0 && failure_is_transient(request->last_reason) &&
	       balance_choose_for(entry->balance, request->preset_service,
		   &balance_request, NULL, 0, rng, now, node) == MASTICPITCH_OK;
}

static bool
stream_open(entry_request_t *request, uint64_t node)
{
	entry_t *entry = request->entry;
	bool local = node == entry->node;
	message_t *message;
	call_head_t *head;

	request->stream.service =
	    kernel_service_find(entry->kernel, local ? "gate" : "peer");
	request->stream.node = local ? 0 : node;
	request->stream.stream = ++entry->stream_last;
	head = request->stream.service == NULL ? NULL : call_head_copy(request->head);
	message = head == NULL ? NULL : entry_stream_message(request, MESSAGE_CALL_OPEN);
	if (message == NULL ||
	    stream_table_insert(&entry->streams, &request->stream) != MASTICPITCH_OK) {
		call_head_destroy(head);
		message_destroy(message);
		return false;
	}
	message->u.call = head;
	request->stream_open = true;
	entry_stream_post(request, message);
	return true;
}

/* True if an attempt that starts now would probably not end before the node does. */
static bool
attempt_is_too_late(const entry_request_t *request, uint64_t now)
{
	const entry_t *entry = request->entry;

	return entry->leaving && request->head->deadline > entry->grace_deadline &&
	       now + ENTRY_LEAVE_ATTEMPT_NS > entry->grace_deadline;
}

/* True if a gate may leave the call to another instance. */
static bool
attempt_is_movable(const entry_request_t *request, uint64_t now)
{
	const entry_t *entry = request->entry;
	const char *service = request->preset_service->name;

	return !entry->naive && !request->ticket_bound && !request->ticket_requested &&
	       request->head->route_class != ROUTE_UPLOAD && request->body_kept &&
	       request->body_length >= 0 &&
	       request->body_length <= RETRY_BODY_MAX_BYTES &&
	       request->moves < ENTRY_MOVES_MAX &&
	       request->attempts + 1 < PRESET_ATTEMPTS_MAX &&
	       balance_hosts_report(entry->balance, service) &&
	       balance_instance_count(entry->balance) >= ENTRY_MOVE_INSTANCES_MIN &&
	       balance_utilisation(entry->balance, service, now) <=
		   ENTRY_MOVE_UTILISATION_MAX;
}

void
entry_attempt_start(entry_request_t *request)
{
	entry_t *entry = request->entry;
	uint64_t now = kernel_now(entry->kernel);
	balance_request_t balance_request;
	uint64_t node;

	if (!retry_time_suffices(
		request->head->deadline, request->route->min_attempt_ms, now)) {
		attempt_give_up(request, REASON_DEADLINE_TOO_SHORT);
		return;
	}
	if (attempt_is_too_late(request, now)) {
		attempt_give_up(request, REASON_SHUTDOWN);
		return;
	}
	if (!instance_choose(request, &node)) {
		attempt_give_up(request, REASON_NO_INSTANCE);
		return;
	}
	request->head->attempt = request->attempts + 1;
	request->head->typical_us = entry_balance_request(request).duration.typical_us;
	request->head->movable = attempt_is_movable(request, now);
	if (!stream_open(request, node)) {
		attempt_give_up(request, REASON_INSTANCE_GONE);
		return;
	}
	if (request->attempts < PRESET_ATTEMPTS_MAX)
		request->tried[request->attempts] = node;
	request->attempts++;
	request->attempts_sent++;
	request->window = STREAM_WINDOW_BYTES;
	request->end_sent = !request->head->has_body;
	balance_request = entry_balance_request(request);
	balance_attempt_start(
	    entry->balance, node, &balance_request, now, &request->attempt);
	metrics_add(kernel_metrics(entry->kernel), METRIC_ATTEMPTS, 1);
	entry_hedge_arm(request);
	entry_attempt_pump(request);
}

/*
 * Sends the next chunk of the body, or only the end mark. Once bytes that are not in
 * kept_body were sent, the request cannot be retried.
 */
static void
body_send(entry_request_t *request)
{
	message_t *message = entry_stream_message(request, MESSAGE_CALL_DATA);
	chunk_t *chunk = chunk_queue_take(&request->unsent);

	if (chunk != NULL)
		request->window -= (uint32_t)chunk->size;
	if (message == NULL) {
		chunk_release(chunk);
		entry_request_refuse(request, REASON_ENTRY_LIMIT, RUN_UNKNOWN, false);
		return;
	}
	message->u.data.chunk = chunk;
	message->u.data.end = request->body_end && request->unsent.count == 0;
	request->end_sent = message->u.data.end;
	entry_stream_post(request, message);
}

void
entry_attempt_pump(entry_request_t *request)
{
	while (request->stream_open && !request->end_sent) {
		size_t size = chunk_queue_first_size(&request->unsent);

		if (size == 0 && !request->body_end)
			break;
		if (size > request->window)
			break;
		body_send(request);
	}
	if (request->state == REQUEST_BODY &&
	    request->unsent.size <= ENTRY_BODY_BUFFERED_MAX_BYTES / 2)
		entry_request_resume(request);
}

/* Queues the buffered body from its start again. Returns false if there is no memory. */
static bool
body_rewind(entry_request_t *request)
{
	chunk_queue_free(&request->unsent);
	for (size_t offset = 0; offset < request->kept_body.size;) {
		size_t chunk_size = MIN_OF(
		    request->kept_body.size - offset, (size_t)STREAM_DATA_MAX_BYTES);
		chunk_t *chunk = chunk_copy(request->kept_body.data + offset, chunk_size);

		if (chunk == NULL ||
		    chunk_queue_push(&request->unsent, chunk) != MASTICPITCH_OK)
			return false;
		offset += chunk_size;
	}
	return true;
}

/* Logs an attempt that gave no answer, with the gate's load report. */
static void
attempt_log(const entry_request_t *request, const refusal_t *refusal)
{
	char node[17];

	snprintf(
	    node, sizeof(node), "%016llx", (unsigned long long)request->attempt.node);
	/* Calls are moved so often that they would use up the log's rate limit. */
	LOG_EVENT(kernel_log(request->entry->kernel),
	    refusal->reason == REASON_HOST_BUSY ? LOG_LEVEL_DEBUG : LOG_LEVEL_INFO,
	    "attempt failed", LOG_TEXT("request", request->head->request_id),
	    LOG_NUMBER("attempt", request->attempts), LOG_TEXT("instance_node", node),
	    LOG_TEXT("reason", reason_text(refusal->reason)),
	    LOG_TEXT("run", run_state_text(refusal->run)),
	    LOG_NUMBER("running", refusal->load.running),
	    LOG_NUMBER("queued", refusal->load.queued),
	    LOG_NUMBER("limit", refusal->load.limit));
}

/* True if the gate refused the call without sending it to its backend server. */
static bool
refusal_is_unsent(const refusal_t *refusal)
{
	return refusal->run == RUN_NO && refusal->reason != REASON_BACKEND_SHED;
}

/* Input of the retry decision. */
static retry_request_t
attempt_retry_request(const entry_request_t *request)
{
	const preset_route_t *route = request->route;

	return (retry_request_t){
	    .idempotent = request->head->idempotent,
	    .body_kept = request->body_kept,
	    .answer_started = request->answer != NULL,
	    .attempts_made = request->attempts_sent,
	    .attempts_max = request->ticket_bound ? 1 : route->attempts,
	    .min_attempt_ms = route->min_attempt_ms,
	    .deadline = request->head->deadline,
	    .route_class = request->head->route_class,
	};
}

/* Retries after a failed attempt, or refuses the request. */
static void
attempt_failed(entry_request_t *request, const refusal_t *refusal)
{
	entry_t *entry = request->entry;
	uint64_t now = kernel_now(entry->kernel);
	retry_request_t retry_request = attempt_retry_request(request);
	retry_failure_t failure = {.reason = refusal->reason, .final = refusal->final};
	retry_decision_t decision;

	if (refusal_is_unsent(refusal)) {
		retry_request.attempts_made--;
		request->attempts_sent--;
		retry_request.unsent = request->attempts < PRESET_ATTEMPTS_MAX;
	}
	request->moves += refusal->reason == REASON_HOST_BUSY;
	request->run = MAX_OF(request->run, refusal->run);
	failure.run = request->run;
	attempt_log(request, refusal);
	request->last_reason = refusal->reason;
	request->last_load = refusal->load;
	if (refusal->reason == REASON_BACKEND_LOST &&
	    ++request->backends_lost >= ENTRY_BACKENDS_LOST_MAX)
		failure.final = true;
	if (entry->naive && !request->ticket_bound)
		retry_request.attempts_max =
		    retry_request.idempotent ? ENTRY_NAIVE_ATTEMPTS : 1;
	decision = retry_decide(entry->retry, request->preset_service, &retry_request,
	    &failure, kernel_rng(entry->kernel), now);
	if (decision.stop != RETRY_STOP_NONE) {
		request->refusal.retry_after_ms = refusal->retry_after_ms;
		entry_request_refuse(
		    request, decision.reason, decision.run, decision.final);
		return;
	}
	if (!body_rewind(request)) {
		attempt_give_up(request, REASON_ENTRY_LIMIT);
		return;
	}
	metrics_retry_add(kernel_metrics(entry->kernel), refusal->reason);
	if (!retry_request.unsent)
		hedge_repeat_record(
		    &entry->hedge, hash_string(request->preset_service->name), now);
	if (decision.at <= now) {
		entry_attempt_start(request);
		return;
	}
	ev_timer_set(&request->backoff, (double)(decision.at - now) / 1e9, 0.0);
	ev_timer_start(kernel_loop(entry->kernel), &request->backoff);
}

/* Ends an incomplete answer: with a refusal if its head is not sent to the caller yet. */
static void
answer_cut(entry_request_t *request, reason_t reason, run_state_t run)
{
	if (request->state != REQUEST_ANSWERING) {
		answer_head_destroy(request->answer);
		request->answer = NULL;
		entry_request_refuse(request, reason, MAX_OF(run, RUN_UNKNOWN), false);
		return;
	}
	request->answer_cut = true;
	entry_request_resume(request);
}

static void
refusal_receive(entry_request_t *request, const message_t *message)
{
	entry_t *entry = request->entry;
	refusal_t refusal = message->u.refusal;
	uint64_t now = kernel_now(entry->kernel);

	entry_stream_close(request);
	if (message->type == MESSAGE_REFUSAL)
		balance_attempt_refused(entry->balance, &request->attempt, refusal.reason,
		    &refusal.load, now);
	else
		balance_attempt_failed(entry->balance, &request->attempt, now);
	if (request->answer != NULL) {
		answer_cut(request, refusal.reason, refusal.run);
		return;
	}
	/* The first failure does not matter while the other attempt is at work. */
	if (request->second_open) {
		attempt_log(request, &refusal);
		request->run = MAX_OF(request->run, refusal.run);
		entry_hedge_promote(request);
		return;
	}
	/* The gate may have run an earlier request with this ticket. */
	if (request->ticket_bound && message->type == MESSAGE_STREAM_LOST) {
		refusal.reason = REASON_TICKET_LOST;
		refusal.run = RUN_UNKNOWN;
	}
	attempt_failed(request, &refusal);
}

/* Ends the first attempt and makes the second one the only one. False: there is none. */
static bool
attempt_replace(entry_request_t *request)
{
	entry_t *entry = request->entry;

	if (!request->second_open)
		return false;
	entry_stream_post(request, entry_stream_message(request, MESSAGE_CALL_CANCEL));
	entry_stream_close(request);
	balance_attempt_end(entry->balance, &request->attempt, kernel_now(entry->kernel));
	request->run = RUN_UNKNOWN;
	return entry_hedge_promote(request);
}

/* Ends an attempt whose peer violated the stream protocol; the run state is unknown. */
static void
stream_protocol_error(entry_request_t *request)
{
	static const refusal_t refusal = {
	    .reason = REASON_BACKEND_PROTOCOL, .run = RUN_UNKNOWN};

	balance_attempt_failed(request->entry->balance, &request->attempt,
	    kernel_now(request->entry->kernel));
	if (attempt_replace(request))
		return;
	entry_attempt_cancel(request);
	if (request->answer != NULL)
		answer_cut(request, refusal.reason, refusal.run);
	else
		attempt_failed(request, &refusal);
}

/*
 * Retries an idempotent request after a 5xx answer if the retry budget allows,
 * since the fault may be limited to this backend server even though its health
 * looks good. If the server failed because of its nested calls, the request would
 * fail at another instance as well. Returns true if the answer is dropped.
 */
static bool
server_error_is_retried(entry_request_t *request, const answer_head_t *answer)
{
	entry_t *entry = request->entry;
	uint64_t now = kernel_now(entry->kernel);
	retry_request_t retry_request = attempt_retry_request(request);
	const retry_failure_t failure = {
	    .reason = REASON_BACKEND_ERROR, .run = RUN_UNKNOWN};
	const refusal_t refusal = {
	    .reason = REASON_BACKEND_ERROR, .run = RUN_UNKNOWN, .load = answer->load};

	if (request->second_open && answer->status >= 500) {
		balance_attempt_answer(entry->balance, &request->attempt, answer->status,
		    &answer->load, now);
		return attempt_replace(request);
	}
	if (entry->settings->dialect != DIALECT_HOSTED || entry->naive ||
	    answer->status < 500 || answer->nested_failed || !retry_request.idempotent)
		return false;
	if (retry_decide(entry->retry, request->preset_service, &retry_request, &failure,
		kernel_rng(entry->kernel), now)
		.stop != RETRY_STOP_NONE)
		return false;
	attempt_log(request, &refusal);
	balance_attempt_answer(
	    entry->balance, &request->attempt, answer->status, &answer->load, now);
	entry_attempt_cancel(request);
	request->run = RUN_UNKNOWN;
	request->last_reason = REASON_BACKEND_ERROR;
	if (!body_rewind(request)) {
		attempt_give_up(request, REASON_ENTRY_LIMIT);
		return true;
	}
	metrics_retry_add(kernel_metrics(entry->kernel), REASON_BACKEND_ERROR);
	hedge_repeat_record(
	    &entry->hedge, hash_string(request->preset_service->name), now);
	entry_attempt_start(request);
	return true;
}

static void
answer_head_receive(entry_request_t *request, message_t *message)
{
	entry_t *entry = request->entry;
	answer_head_t *answer = message->u.answer;

	if (request->answer != NULL || answer->status < 200 || answer->status > 599) {
		stream_protocol_error(request);
		return;
	}
	request->attempt.nested_failed = answer->nested_failed;
	if (server_error_is_retried(request, answer))
		return;
	message->u.answer = NULL;
	request->answer = answer;
	request->run = RUN_YES;
	request->first_byte_at = kernel_now(entry->kernel);
	entry_hedge_cancel(request);
	if (answer->status < 500)
		capacity_route_record(&entry->durations,
		    hash_string(request->route->name),
		    request->first_byte_at - request->attempt.started_at,
		    answer->load.host_percent, answer->load.speed_percent);
	if (answer->status < 300 && answer->body_length >= 0)
		answer_profile_record(&entry->answers, hash_string(request->route->name),
		    (uint64_t)answer->body_length);
	balance_attempt_answer(entry->balance, &request->attempt, answer->status,
	    &answer->load, kernel_now(entry->kernel));
	request->body_kept = false;
	buffer_free(&request->kept_body);
	entry_nested_report(request, &answer->load, false, answer->status >= 500);
	if (request->state == REQUEST_WAITING)
		entry_request_resume(request);
}

static void
answer_data_receive(entry_request_t *request, message_t *message)
{
	entry_t *entry = request->entry;
	chunk_t *chunk = message->u.data.chunk;
	size_t size = chunk == NULL ? 0 : chunk->size;

	if (request->answer == NULL ||
	    request->answer_body.size + size > STREAM_WINDOW_BYTES) {
		stream_protocol_error(request);
		return;
	}
	message->u.data.chunk = NULL;
	if (size > 0 &&
	    chunk_queue_push(&request->answer_body, chunk) != MASTICPITCH_OK) {
		stream_protocol_error(request);
		return;
	}
	if (size == 0)
		chunk_release(chunk);
	if (message->u.data.end) {
		request->answer_end = true;
		entry_stream_close(request);
		balance_attempt_end(
		    entry->balance, &request->attempt, kernel_now(entry->kernel));
		/* The caller may still send body data, which is discarded. */
		chunk_queue_free(&request->unsent);
	}
	entry_request_resume(request);
}

void
entry_attempt_receive(entry_request_t *request, message_t *message)
{
	switch (message->type) {
	case MESSAGE_CALL_CREDIT:
		request->window = MIN_OF(
		    request->window + message->u.credit, (uint32_t)STREAM_WINDOW_BYTES);
		entry_attempt_pump(request);
		break;
	case MESSAGE_ANSWER_HEAD:
		answer_head_receive(request, message);
		break;
	case MESSAGE_ANSWER_DATA:
		answer_data_receive(request, message);
		break;
	default:
		refusal_receive(request, message);
		break;
	}
}
