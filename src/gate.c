#include "gate_internal.h"

#include <stdlib.h>
#include <string.h>

void
gate_load(const gate_t *gate, uint32_t rank, load_report_t *load)
{
	memset(load, 0, sizeof(*load));
	load->running = gate->running;
	load->queued = queue_length(&gate->queue);
	load->latency_us = limit_gate_latency_us(&gate->limit);
	load->limit = gate_limit(gate);
	load->pressure =
	    pressure_table_percent(&gate->pressure, rank, kernel_now(gate->kernel));
	load->slots = gate->backend.live ? gate->backend.slots : 0;
	capacity_server_report(&gate->capacity, load, kernel_now(gate->kernel));
}

void
gate_capacity_record(const gate_call_t *call, uint64_t now, bool cut)
{
	gate_t *gate = call->gate;
	capacity_sample_t sample = {.duration = now - call->started_at,
	    .typical_us = call->head->typical_us,
	    .host_percent = call->host_at_start,
	    .running = call->running_at_start,
	    .slots = gate->backend.slots,
	    .cut = cut};

	/* The duration of an upload depends on its caller. */
	if (call->head->route_class != ROUTE_UPLOAD &&
	    call->started_at >= gate->backend_since)
		capacity_server_record(&gate->capacity, &sample, now);
}

order_key_t
gate_call_key(const gate_call_t *call)
{
	return (order_key_t){
	    .rank = call->head->rank, .route_class = call->head->route_class};
}

message_t *
gate_call_message(const gate_call_t *call, message_type_t type)
{
	return message_create(type, call->stream.node, call->stream.stream);
}

void
gate_call_post(gate_call_t *call, message_t *message)
{
	gate_t *gate = call->gate;

	kernel_message_post(gate->kernel, &gate->service, call->stream.service, message);
}

/* Refuses a stream without creating a call. */
static void
stream_refuse(gate_t *gate, const message_t *open, reason_t reason)
{
	message_t *message = message_create(MESSAGE_REFUSAL, open->node, open->stream);

	metrics_refusal_add(kernel_metrics(gate->kernel), reason);
	if (message == NULL)
		return;
	message->u.refusal.reason = reason;
	message->u.refusal.run = RUN_NO;
	gate_load(gate, open->u.call->rank, &message->u.refusal.load);
	kernel_message_post(gate->kernel, &gate->service, open->from, message);
}

void
gate_call_refuse(gate_call_t *call, reason_t reason, run_state_t run, bool final)
{
	gate_t *gate = call->gate;
	message_t *message = gate_call_message(
	    call, call->answered ? MESSAGE_ANSWER_ABORT : MESSAGE_REFUSAL);

	metrics_refusal_add(kernel_metrics(gate->kernel), reason);
	metrics_gate_refusal_add(kernel_metrics(gate->kernel), reason, call->head->rank);
	gate_ticket_fail(call, run);
	if (message != NULL) {
		message->u.refusal.reason = reason;
		message->u.refusal.run = run;
		message->u.refusal.final = final;
		gate_load(gate, call->head->rank, &message->u.refusal.load);
	}
	gate_call_post(call, message);
	gate_call_finish(call);
}

static void
gate_call_free(gate_call_t *call)
{
	gate_t *gate = call->gate;

	ev_timer_stop(kernel_loop(gate->kernel), &call->deadline);
	stream_table_remove(&gate->streams, &call->stream);
	list_remove(&call->link);
	chunk_queue_free(&call->body);
	chunk_release(call->answer_chunk);
	buffer_free(&call->ticket_body);
	answer_head_destroy(call->answer);
	http_message_parser_free(&call->response);
	call_head_destroy(call->head);
	free(call);
}

void
gate_call_finish(gate_call_t *call)
{
	gate_t *gate = call->gate;

	gate_ticket_fail(call, call->sent ? RUN_UNKNOWN : RUN_NO);
	gate_crash_end(call, false);
	gate_exchange_stop(call);
	gate_call_release(call);
	gate_call_free(call);
	gate_queue_run(gate);
}

static void
deadline_callback(struct ev_loop *loop, ev_timer *watcher, int events)
{
	gate_call_t *call = watcher->data;

	if (call->shed) {
		gate_exchange_break(call);
		return;
	}
	gate_call_refuse(call, REASON_DEADLINE_PASSED,
	    call->answered ? RUN_YES
	    : call->sent   ? RUN_UNKNOWN
			   : RUN_NO,
	    false);
}

static gate_call_t *
gate_call_create(gate_t *gate, message_t *message)
{
	uint64_t now = kernel_now(gate->kernel);
	gate_call_t *call = calloc(1, sizeof(*call));
	uint64_t left;

	if (call == NULL)
		return NULL;
	call->gate = gate;
	call->head = message->u.call;
	call->arrived_at = now;
	call->stream.service = message->from;
	call->stream.node = message->node;
	call->stream.stream = message->stream;
	list_init(&call->item.link);
	list_init(&call->yield_link);
	/* With one byte more the ticket table recognises a body that is too large. */
	buffer_init(&call->ticket_body, TICKET_BODY_MAX_BYTES + 1);
	chunk_queue_init(&call->body);
	gate_answer_init(call);
	call->body_end = !call->head->has_body;
	call->answer_credit = STREAM_WINDOW_BYTES;
	left = call->head->deadline > now ? call->head->deadline - now : 0;
	ev_timer_init(&call->deadline, deadline_callback, (double)left / 1e9, 0.0);
	call->deadline.data = call;
	if (stream_table_insert(&gate->streams, &call->stream) != MASTICPITCH_OK) {
		free(call);
		return NULL;
	}
	message->u.call = NULL;
	list_append(&gate->calls, &call->link);
	ev_timer_start(kernel_loop(gate->kernel), &call->deadline);
	return call;
}

/* True if the call's entry is to choose another instance, which answers sooner. */
static bool
call_is_moved(const gate_call_t *call)
{
	const gate_t *gate = call->gate;

	if (!call->head->movable || !gate->backend.live || gate->naive)
		return false;
	return capacity_server_moves(&gate->capacity,
	    gate->running >= gate_limit(gate) || queue_length(&gate->queue) > 0,
	    kernel_now(gate->kernel));
}

static void
call_open(gate_t *gate, message_t *message)
{
	gate_call_t *call;

	if (stream_table_find(&gate->streams, message) != NULL) {
		metrics_add(kernel_metrics(gate->kernel), METRIC_LATE_FRAMES, 1);
		return;
	}
	if (gate->streams.count >= GATE_CALLS_MAX) {
		stream_refuse(gate, message, REASON_QUEUE_FULL);
		return;
	}
	call = gate_call_create(gate, message);
	if (call == NULL)
		stream_refuse(gate, message, REASON_QUEUE_FULL);
	else if (call_is_moved(call))
		gate_call_refuse(call, REASON_HOST_BUSY, RUN_NO, false);
	else
		gate_call_admit(call);
}

/*
 * Refuses a call whose body violates the stream protocol. The backend server has not
 * received the complete body.
 */
static void
call_body_refuse(gate_call_t *call)
{
	gate_call_refuse(
	    call, REASON_BAD_FRAMING, call->sent ? RUN_UNKNOWN : RUN_NO, false);
}

static void
call_data(gate_call_t *call, message_t *message)
{
	chunk_t *chunk = message->u.data.chunk;
	size_t size = chunk == NULL ? 0 : chunk->size;
	int64_t length = call->head->body_length;

	if (call->body_end || call->body.size + size > STREAM_WINDOW_BYTES) {
		call_body_refuse(call);
		return;
	}
	call->body_received += size;
	call->body_end = message->u.data.end;
	if (length >= 0 &&
	    (call->body_received > (uint64_t)length ||
		(call->body_end && call->body_received != (uint64_t)length))) {
		call_body_refuse(call);
		return;
	}
	if (size > 0) {
		message->u.data.chunk = NULL;
		if (chunk_queue_push(&call->body, chunk) != MASTICPITCH_OK) {
			call_body_refuse(call);
			return;
		}
	}
	gate_exchange_resume_body(call);
}

static void
call_credit(gate_call_t *call, uint32_t credit)
{
	if (credit > STREAM_WINDOW_BYTES ||
	    call->answer_credit > STREAM_WINDOW_BYTES - credit)
		credit = STREAM_WINDOW_BYTES - call->answer_credit;
	call->answer_credit += credit;
	gate_exchange_resume_answer(call);
}

static void
gate_leave(gate_t *gate)
{
	if (gate->leaving)
		return;
	gate->leaving = true;
	gate_instance_post(gate);
}

static void
gate_report(gate_t *gate, const message_t *query)
{
	static const char *const states[] = {"none", "starting", "ready", "leaving"};
	message_t *message = message_create(MESSAGE_REPORT, query->node, query->stream);
	buffer_t text;

	buffer_init(&text, 4096);
	buffer_printf(&text,
	    "{\"gate\":{\"state\":\"%s\",\"service\":\"%s\",\"instance\":\"%s\","
	    "\"slots\":%u,\"connections\":%u,\"limit\":%u,\"running\":%u,"
	    "\"queued\":%u,\"announced_load\":%.3f,\"pressure\":%u,"
	    "\"share_call\":%u,\"share_lookup\":%u,\"leaving\":%s}}",
	    gate->backend.live ? states[gate->backend.state] : "none",
	    gate->backend.service, gate->backend.instance, gate->backend.slots,
	    gate->backend.connections, gate_limit(gate), gate->running,
	    queue_length(&gate->queue), gate->backend.load,
	    pressure_table_percent(&gate->pressure, UINT32_MAX, kernel_now(gate->kernel)),
	    throttle_percent(&gate->throttle, ROUTE_CALL),
	    throttle_percent(&gate->throttle, ROUTE_LOOKUP),
	    gate->leaving ? "true" : "false");
	if (message != NULL)
		message->u.report = chunk_copy(text.data, text.size);
	buffer_free(&text);
	kernel_message_post(gate->kernel, &gate->service, query->from, message);
}

static void
gate_call_receive(gate_t *gate, message_t *message)
{
	stream_entry_t *entry = stream_table_find(&gate->streams, message);
	gate_call_t *call;

	if (entry == NULL) {
		metrics_add(kernel_metrics(gate->kernel), METRIC_LATE_FRAMES, 1);
		return;
	}
	call = LIST_ENTRY(entry, gate_call_t, stream);
	switch (message->type) {
	case MESSAGE_CALL_DATA:
		call_data(call, message);
		break;
	case MESSAGE_ANSWER_CREDIT:
		call_credit(call, message->u.credit);
		break;
	default:
		/* CALL_CANCEL and STREAM_LOST: the answer is not needed any more. */
		if (call->state == GATE_CALL_RUNNING && !call->answered)
			gate_capacity_record(call, kernel_now(gate->kernel), true);
		gate_call_finish(call);
		break;
	}
}

/*
 * True if call missed its latency target and a nested call of this duration took
 * more than half of the time since it arrived here. A call that waited for longer is
 * late because this gate has no room, which fewer admitted requests would not change.
 */
static bool
nested_call_missed_target(const gate_call_t *call, uint64_t duration, uint64_t now)
{
	return call->head->target > call->started_at && now > call->head->target &&
	       duration > (now - call->arrived_at) / 2;
}

static void
throttle_change_report(gate_t *gate, const throttle_change_t *change)
{
	if (change->cause == THROTTLE_UNCHANGED)
		return;
	metrics_add(kernel_metrics(gate->kernel),
	    change->cause == THROTTLE_ROOM ? METRIC_THROTTLE_RAISED
					   : METRIC_THROTTLE_LOWERED,
	    1);
	log_info(kernel_log(gate->kernel), "share of admitted requests changed",
	    LOG_TEXT("cause", throttle_cause_text(change->cause)),
	    LOG_NUMBER("rank", change->key.rank),
	    LOG_TEXT("class", route_class_text(change->key.route_class)),
	    LOG_NUMBER("percent", (int64_t)(change->share * 100 + 0.5)));
}

/* Records the end of a nested call, if the call that made it is still running. */
static void
nested_receive(gate_t *gate, const message_t *message)
{
	uint64_t now = kernel_now(gate->kernel);
	throttle_outcome_t outcome;
	throttle_change_t change;

	LIST_FOREACH (node, &gate->calls) {
		gate_call_t *call = LIST_ENTRY(node, gate_call_t, link);

		if (call->state != GATE_CALL_RUNNING ||
		    hash_string(call->head->request_id) != message->u.nested.parent)
			continue;
		call->nested_failed |= message->u.nested.failed;
		outcome = (throttle_outcome_t){.called = message->u.nested.called,
		    .pressure = message->u.nested.pressure,
		    .refused = message->u.nested.refused,
		    .late =
			nested_call_missed_target(call, message->u.nested.duration, now)};
		change = throttle_call_record(
		    &gate->throttle, gate_call_key(call), &outcome, now);
		throttle_change_report(gate, &change);
		return;
	}
}

static void
snapshot_receive(gate_t *gate, message_t *message)
{
	bool first = gate->snapshot == NULL;

	snapshot_release(gate->snapshot);
	gate->snapshot = message->u.snapshot;
	message->u.snapshot = NULL;
	gate_limits_update(gate);
	gate_connections_update(gate);
	if (first && gate->backend.live)
		gate_instance_post(gate);
}

static void
gate_receive(void *state, message_t *message)
{
	gate_t *gate = state;

	switch (message->type) {
	case MESSAGE_CALL_OPEN:
		call_open(gate, message);
		break;
	case MESSAGE_CALL_DATA:
	case MESSAGE_ANSWER_CREDIT:
	case MESSAGE_CALL_CANCEL:
	case MESSAGE_STREAM_LOST:
		gate_call_receive(gate, message);
		break;
	case MESSAGE_NESTED:
		nested_receive(gate, message);
		break;
	case MESSAGE_CRASH_REPORT:
		gate_crash_receive(gate, message);
		break;
	case MESSAGE_SNAPSHOT:
		snapshot_receive(gate, message);
		break;
	case MESSAGE_DEPARTURE:
		gate_departure_receive(gate, message->u.departed_ms);
		break;
	case MESSAGE_LEAVE:
		gate_leave(gate);
		break;
	case MESSAGE_STOP_WAITING:
		gate_queue_refuse(gate, REASON_LEAVING);
		break;
	case MESSAGE_QUERY:
		gate_report(gate, message);
		break;
	default:
		break;
	}
}

static bool
gate_is_idle(const void *state)
{
	const gate_t *gate = state;

	return list_is_empty(&gate->calls);
}

/* Saves the 5 MB of a full ticket table if the dialect has no tickets. */
static size_t
gate_ticket_capacity(const gate_t *gate)
{
	return gate->names->ticket != NULL ? TICKET_TABLE_MAX
					   : GATE_TICKETS_UNUSED_CAPACITY;
}

int
gate_create(kernel_t *kernel, const settings_t *settings, gate_t **result)
{
	gate_t *gate = calloc(1, sizeof(*gate));
	int error;

	if (gate == NULL)
		return MASTICPITCH_E_NOMEM;
	gate->kernel = kernel;
	gate->settings = settings;
	gate->idle_s = GATE_IDLE_TIMEOUT_S;
	gate->names = dialect_headers(settings->dialect);
	gate->service.name = "gate";
	gate->service.state = gate;
	gate->service.receive = gate_receive;
	gate->service.is_idle = gate_is_idle;
	list_init(&gate->calls);
	list_init(&gate->yielded);
	list_init(&gate->service.link);
	gate->naive = settings->routing_policy == ROUTING_NAIVE;
	queue_init(&gate->queue, 0, 1, !gate->naive);
	limit_gate_init(
	    &gate->limit, 1, !gate->naive && !settings->fixed_limit, kernel_now(kernel));
	gate_crash_init(gate);
	gate_rate_open(gate);
	error = stream_table_init(&gate->streams);
	if (error == MASTICPITCH_OK)
		error = quarantine_create(&gate->quarantine);
	if (error == MASTICPITCH_OK)
		error = ticket_table_create(address_to_node_id(&settings->peers),
		    kernel_boot_id(kernel), gate_ticket_capacity(gate), &gate->tickets);
	if (error == MASTICPITCH_OK)
		error = gate_exchange_open(gate);
	if (error == MASTICPITCH_OK)
		error = gate_announce_open(gate);
	if (error == MASTICPITCH_OK)
		error = kernel_service_register(kernel, &gate->service);
	if (error != MASTICPITCH_OK) {
		gate_destroy(gate);
		return error;
	}
	*result = gate;
	return MASTICPITCH_OK;
}

void
gate_destroy(gate_t *gate)
{
	if (gate == NULL)
		return;
	kernel_service_unregister(gate->kernel, &gate->service);
	LIST_FOREACH_SAFE (node, &gate->calls) {
		gate_call_t *call = LIST_ENTRY(node, gate_call_t, link);

		gate_exchange_stop(call);
		gate_call_free(call);
	}
	gate_announce_close(gate);
	gate_rate_close(gate);
	gate_crash_close(gate);
	gate_exchange_close(gate);
	ticket_table_destroy(gate->tickets);
	quarantine_destroy(gate->quarantine);
	snapshot_release(gate->snapshot);
	stream_table_free(&gate->streams);
	free(gate);
}
