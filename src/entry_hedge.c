/*
 * Second attempts of idempotent requests whose first one is still at work. The first
 * answer is taken, and the other attempt is cancelled.
 */
#include "entry_internal.h"

#include <stdio.h>

balance_request_t
entry_balance_request(const entry_request_t *request)
{
	return (balance_request_t){.route_class = request->head->route_class,
	    .answer_bytes = request->head->answer_bytes,
	    .route = (uint32_t)hash_string(request->route->name),
	    .duration = capacity_route_duration(
		&request->entry->durations, hash_string(request->route->name)),
	    .target = request->head->target};
}

static void
second_close(entry_request_t *request)
{
	request->second_open = false;
	stream_table_remove(&request->entry->second_streams, &request->second);
}

static void
second_post(entry_request_t *request, message_type_t type, call_head_t *head)
{
	entry_t *entry = request->entry;
	message_t *message =
	    message_create(type, request->second.node, request->second.stream);

	if (message != NULL && head != NULL)
		message->u.call = head;
	else
		call_head_destroy(head);
	kernel_message_post(
	    entry->kernel, &entry->service, request->second.service, message);
}

/* Logs the second attempt and, if one was sent, its instance. */
static void
second_log(const entry_request_t *request, const char *event)
{
	char node[17];

	snprintf(node, sizeof(node), "%016llx", (unsigned long long)request->second.node);
	log_info(kernel_log(request->entry->kernel), event,
	    LOG_TEXT("request", request->head->request_id),
	    LOG_TEXT("service", request->preset_service->name),
	    LOG_TEXT("second_node", node),
	    LOG_NUMBER("elapsed_ms",
		(kernel_now(request->entry->kernel) - request->attempt.started_at) /
		    NS_PER_MS));
}

/* Chooses an instance and sends the second attempt. */
static void
second_send(entry_request_t *request, uint64_t now)
{
	entry_t *entry = request->entry;
	balance_request_t balance_request = entry_balance_request(request);
	size_t excluded = MIN_OF(request->attempts, (uint32_t)PRESET_ATTEMPTS_MAX);
	call_head_t *head;
	uint64_t node;

	if (balance_choose_for(entry->balance, request->preset_service, &balance_request,
		request->tried, excluded, kernel_rng(entry->kernel), now,
		&node) != MASTICPITCH_OK)
		return;
	head = call_head_copy(request->head);
	if (head == NULL)
		return;
	request->second = (stream_entry_t){.service = kernel_service_find(entry->kernel,
					       node == entry->node ? "gate" : "peer"),
	    .node = node == entry->node ? 0 : node,
	    .stream = ++entry->stream_last};
	if (request->second.service == NULL || stream_table_insert(&entry->second_streams,
						   &request->second) != MASTICPITCH_OK) {
		call_head_destroy(head);
		return;
	}
	request->second_open = true;
	head->attempt = request->attempts + 1;
	head->movable = false;
	if (request->attempts < PRESET_ATTEMPTS_MAX)
		request->tried[request->attempts] = node;
	request->attempts++;
	request->attempts_sent++;
	second_post(request, MESSAGE_CALL_OPEN, head);
	balance_attempt_start(
	    entry->balance, node, &balance_request, now, &request->second_attempt);
	metrics_add(kernel_metrics(entry->kernel), METRIC_ATTEMPTS, 1);
	metrics_add(kernel_metrics(entry->kernel), METRIC_HEDGES, 1);
	second_log(request, "second attempt sent");
}

/* Counts the first denial; the second attempt is considered again later. */
static void
second_denied_record(entry_request_t *request, hedge_verdict_t verdict)
{
	metrics_t *metrics = kernel_metrics(request->entry->kernel);

	if (request->second_denied || verdict == HEDGE_NO_GAIN)
		return;
	request->second_denied = true;
	if (verdict == HEDGE_NO_ROOM) {
		metrics_add(metrics, METRIC_HEDGES_NO_ROOM, 1);
		second_log(request, "second attempt not sent: no room");
	} else {
		metrics_add(metrics, METRIC_HEDGES_NO_BUDGET, 1);
		second_log(request, "second attempt not sent: retry budget used up");
	}
}

static void
hedge_callback(struct ev_loop *loop, ev_timer *watcher, int events)
{
	entry_request_t *request = watcher->data;
	entry_t *entry = request->entry;
	uint64_t now = kernel_now(entry->kernel);
	hedge_verdict_t verdict;

	if (!request->stream_open || request->second_open || request->answer != NULL ||
	    entry->leaving ||
	    !retry_time_suffices(
		request->head->deadline, request->route->min_attempt_ms, now))
		return;
	verdict = hedge_decide(&entry->hedge, hash_string(request->preset_service->name),
	    &request->hedge_attempt,
	    balance_utilisation(entry->balance, request->preset_service->name, now), now);
	if (verdict == HEDGE_SEND) {
		retry_token_debit(entry->retry, request->preset_service);
		second_send(request, now);
		return;
	}
	second_denied_record(request, verdict);
	ev_timer_set(watcher, HEDGE_RECHECK_MS / 1e3, 0.0);
	ev_timer_start(loop, watcher);
}

void
entry_hedge_init(entry_request_t *request)
{
	ev_timer_init(&request->hedge_timer, hedge_callback, 0.0, 0.0);
	request->hedge_timer.data = request;
}

/* Only requests without a body: the first attempt may still be sending it. */
static bool
request_may_be_hedged(const entry_request_t *request)
{
	const entry_t *entry = request->entry;

	return request->head->idempotent && !request->head->has_body && !entry->naive &&
	       !request->ticket_bound && !request->ticket_requested &&
	       request->attempts_sent < request->route->attempts &&
	       request->attempts < PRESET_ATTEMPTS_MAX &&
	       balance_hosts_report(entry->balance, request->preset_service->name);
}

void
entry_hedge_arm(entry_request_t *request)
{
	entry_t *entry = request->entry;
	struct ev_loop *loop = kernel_loop(entry->kernel);
	uint64_t now = kernel_now(entry->kernel);
	balance_request_t balance_request;
	uint64_t due;

	ev_timer_stop(loop, &request->hedge_timer);
	if (!request_may_be_hedged(request))
		return;
	balance_request = entry_balance_request(request);
	request->hedge_attempt = (hedge_attempt_t){.duration = balance_request.duration,
	    .expected_us = balance_expected_us(
		entry->balance, request->attempt.node, &balance_request, now),
	    .started_at = now,
	    .target = request->head->target,
	    .deadline = request->head->deadline};
	due = hedge_due(&request->hedge_attempt, now);
	if (due == 0 || due >= request->head->deadline)
		return;
	ev_timer_set(&request->hedge_timer, (double)(due - now) / 1e9, 0.0);
	ev_timer_start(loop, &request->hedge_timer);
}

void
entry_hedge_cancel(entry_request_t *request)
{
	entry_t *entry = request->entry;

	ev_timer_stop(kernel_loop(entry->kernel), &request->hedge_timer);
	if (!request->second_open)
		return;
	second_post(request, MESSAGE_CALL_CANCEL, NULL);
	second_close(request);
	balance_attempt_end(
	    entry->balance, &request->second_attempt, kernel_now(entry->kernel));
}

bool
entry_hedge_promote(entry_request_t *request)
{
	entry_t *entry = request->entry;

	if (!request->second_open)
		return false;
	second_close(request);
	request->stream = request->second;
	request->attempt = request->second_attempt;
	request->second_attempt.open = false;
	/* Stream numbers are never reused, so the insertion cannot fail. */
	request->stream_open =
	    stream_table_insert(&entry->streams, &request->stream) == MASTICPITCH_OK;
	INVARIANT(request->stream_open);
	return true;
}

/* Ends the second attempt, which failed; the first one goes on. */
static void
second_failed(entry_request_t *request, const message_t *message)
{
	entry_t *entry = request->entry;
	const refusal_t *refusal = &message->u.refusal;
	uint64_t now = kernel_now(entry->kernel);

	second_close(request);
	switch (message->type) {
	case MESSAGE_ANSWER_HEAD:
		balance_attempt_answer(entry->balance, &request->second_attempt,
		    message->u.answer->status, &message->u.answer->load, now);
		second_post(request, MESSAGE_CALL_CANCEL, NULL);
		balance_attempt_end(entry->balance, &request->second_attempt, now);
		break;
	case MESSAGE_REFUSAL:
		if (refusal->run == RUN_NO)
			request->attempts_sent--;
		balance_attempt_refused(entry->balance, &request->second_attempt,
		    refusal->reason, &refusal->load, now);
		break;
	default:
		balance_attempt_failed(entry->balance, &request->second_attempt, now);
		break;
	}
	second_log(request, "second attempt failed");
}

bool
entry_hedge_receive(entry_request_t *request, const message_t *message)
{
	entry_t *entry = request->entry;

	if (message->type == MESSAGE_CALL_CREDIT)
		return false;
	if (message->type != MESSAGE_ANSWER_HEAD || message->u.answer->status >= 500) {
		second_failed(request, message);
		return false;
	}
	second_log(request, "second attempt answered first");
	metrics_add(kernel_metrics(entry->kernel), METRIC_HEDGES_WON, 1);
	/* The first attempt is cancelled here, and the second one takes its place. */
	if (request->stream_open) {
		kernel_message_post(entry->kernel, &entry->service,
		    request->stream.service,
		    message_create(MESSAGE_CALL_CANCEL, request->stream.node,
			request->stream.stream));
		request->stream_open = false;
		stream_table_remove(&entry->streams, &request->stream);
		balance_attempt_end(
		    entry->balance, &request->attempt, kernel_now(entry->kernel));
	}
	return entry_hedge_promote(request);
}
