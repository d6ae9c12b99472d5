#include "gate_internal.h"

#include <string.h>

uint32_t
gate_limit(const gate_t *gate)
{
	if (!gate->backend.live)
		return 0;
	return gate_rate_concurrency(gate, limit_gate_total_max(&gate->limit));
}

void
gate_limits_update(gate_t *gate)
{
	const preset_service_t *service = NULL;
	uint32_t queue_limit = gate->naive ? QUEUE_LIMIT_MAX : 0;

	if (!gate->backend.live)
		return;
	if (gate->snapshot != NULL && !gate->naive)
		service =
		    preset_service_find(gate->snapshot->preset, gate->backend.service);
	if (service != NULL)
		queue_limit = service->queue_limit;
	limit_gate_slots_set(&gate->limit,
	    gate->naive ? gate->backend.connections
			: MIN_OF(gate->backend.slots, gate->backend.connections));
	queue_limit_set(&gate->queue, queue_limit, gate->backend.slots);
	metrics_set(kernel_metrics(gate->kernel), METRIC_GATE_LIMIT, gate_limit(gate));
}

void
gate_connections_update(gate_t *gate)
{
	const preset_service_t *service = NULL;
	uint32_t connections = gate->backend.connections;

	if (gate->snapshot != NULL)
		service =
		    preset_service_find(gate->snapshot->preset, gate->backend.service);
	if (service != NULL && service->connections_max != 0)
		connections = MIN_OF(connections, service->connections_max);
	/* With more than one per slot, requests would queue at the backend server. */
	if (!gate->naive)
		connections = MIN_OF(connections, gate->backend.slots);
	curl_loop_set_connections(gate->curl, MAX_OF(connections, 1));
}

/* Reason why the gate accepts no calls at present, or REASON_NONE. */
static reason_t
gate_refusal_reason(const gate_t *gate, const call_head_t *head)
{
	if (gate->leaving)
		return REASON_LEAVING;
	if (!gate->backend.live || strcmp(gate->backend.service, head->service) != 0)
		return REASON_INSTANCE_GONE;
	if (gate->backend.state == INSTANCE_LEAVING)
		return REASON_LEAVING;
	if (gate->backend.state == INSTANCE_STARTING || gate->snapshot == NULL)
		return REASON_BACKEND_STARTING;
	return REASON_NONE;
}

static void
gauges_update(gate_t *gate)
{
	metrics_t *metrics = kernel_metrics(gate->kernel);

	metrics_set(metrics, METRIC_GATE_RUNNING, gate->running);
	metrics_set(metrics, METRIC_GATE_QUEUED, queue_length(&gate->queue));
}

/*
 * Notifies the entry of the requests that this host's backend server runs, since
 * their nested calls arrive at this entry.
 */
static void
run_post(const gate_call_t *call, bool started)
{
	gate_t *gate = call->gate;
	message_t *message = message_create(MESSAGE_RUN, 0, 0);

	if (message != NULL) {
		run_item_t *item = &message->u.run.item;

		item->request = hash_string(call->head->request_id);
		item->rank = call->head->rank;
		item->target = call->head->target;
		memcpy(item->workspace, call->head->workspace, NAME_BYTES);
		message->u.run.started = started;
	}
	kernel_message_post(gate->kernel, &gate->service,
	    kernel_service_find(gate->kernel, "entry"), message);
}

static void
call_start(gate_call_t *call)
{
	gate_t *gate = call->gate;

	call->state = GATE_CALL_RUNNING;
	call->started_at = kernel_now(gate->kernel);
	gate->running++;
	limit_gate_start(&gate->limit, call->head->route_class, call->started_at);
	rate_limit_start(&gate->rate_limit, call->started_at);
	call->running_at_start = limit_gate_non_uploads(&gate->limit);
	call->host_at_start =
	    capacity_server_host_percent(&gate->capacity, call->started_at);
	run_post(call, true);
	gate_crash_start(call);
	if (gate_exchange_start(call) != MASTICPITCH_OK) {
		gate_call_refuse(call, REASON_BACKEND_CONNECT, RUN_NO, false);
		return;
	}
	metrics_add(kernel_metrics(gate->kernel), METRIC_GATE_ADMITTED, 1);
	gauges_update(gate);
}

/* Uploads have a concurrency limit of their own and do not wait for other classes. */
static bool
call_may_run(const gate_call_t *call)
{
	const gate_t *gate = call->gate;
	route_class_t route_class = call->head->route_class;
	uint32_t waiting = gate->queue.count;

	if (!gate->naive)
		waiting = route_class == ROUTE_UPLOAD
			      ? queue_uploads(&gate->queue)
			      : waiting - queue_uploads(&gate->queue);
	return waiting == 0 && gate->backend.live && gate_rate_admits(gate) &&
	       limit_gate_admits(&gate->limit, route_class);
}

/* Rate of the call's workspace in the version in force; 0: it has none. */
static double
workspace_rate(const gate_call_t *call)
{
	const gate_t *gate = call->gate;
	const preset_workspace_t *workspace = NULL;

	if (gate->snapshot != NULL && call->head->workspace[0] != '\0')
		workspace =
		    preset_workspace_find(gate->snapshot->preset, call->head->workspace);
	return workspace != NULL ? workspace->rate : 0;
}

static reason_t
call_queue(gate_call_t *call, uint64_t now)
{
	gate_t *gate = call->gate;
	queue_item_t *shed = NULL;
	queue_capacity_t capacity = {.uploads = limit_gate_uploads_max(&gate->limit),
	    .non_uploads = limit_gate_non_uploads_max(&gate->limit),
	    .start_at = rate_limit_next(&gate->rate_limit),
	    .interval = rate_limit_interval(&gate->rate_limit)};
	reason_t reason;

	call->item.rank = call->head->rank;
	call->item.route_class = call->head->route_class;
	call->item.workspace =
	    call->head->workspace[0] != '\0' ? hash_string(call->head->workspace) : 0;
	call->item.workspace_rate = workspace_rate(call);
	call->item.deadline = call->head->deadline;
	call->item.target = call->head->target;
	reason = queue_push(&gate->queue, &call->item, capacity, now, &shed);
	if (reason != REASON_NONE)
		return reason;
	call->state = GATE_CALL_QUEUED;
	gauges_update(gate);
	gate_rate_timer_start(gate);
	if (shed != NULL)
		gate_call_refuse(LIST_ENTRY(shed, gate_call_t, item), REASON_QUEUE_SHED,
		    RUN_NO, false);
	return REASON_NONE;
}

/*
 * Only calls of the urgent class count: lower classes are shed before it. A refusal
 * counts if other gates have refused the call before: one that finds room elsewhere is
 * no reason to admit fewer requests.
 */
static void
pressure_update(const gate_call_t *call, bool refused, uint64_t now)
{
	if (call->head->route_class != ROUTE_CALL ||
	    (refused && call->head->attempt < THROTTLE_PRESSURE_ATTEMPT))
		return;
	pressure_table_record(&call->gate->pressure, call->head->rank, refused, now);
}

/* Nested calls have no latency target of their own. */
static void
shortage_update(const gate_call_t *call, bool late, uint64_t now)
{
	if (call->head->route_class != ROUTE_INTERNAL)
		pressure_record(&call->gate->shortage, late, now);
}

/*
 * Late calls wait while many arriving calls find no room in time, unless they leave a
 * slot free for the next one.
 */
static void
late_hold_update(gate_t *gate, uint64_t now)
{
	bool held =
	    throttle_holds_late(&gate->shortage, limit_gate_non_uploads(&gate->limit),
		limit_gate_non_uploads_max(&gate->limit), now);

	if (held != gate->queue.late_held)
		metrics_add(kernel_metrics(gate->kernel),
		    held ? METRIC_GATE_LATE_HELD : METRIC_GATE_LATE_RELEASED, 1);
	queue_late_hold(&gate->queue, held);
}

void
gate_call_admit(gate_call_t *call)
{
	gate_t *gate = call->gate;
	uint64_t now = kernel_now(gate->kernel);
	reason_t reason;

	/* The outcome of a completed ticket is replayed in every state of the gate. */
	if (gate_ticket_answer(call))
		return;
	reason = gate_refusal_reason(gate, call->head);
	if (reason == REASON_NONE && call->head->deadline <= now)
		reason = REASON_DEADLINE_PASSED;
	if (reason == REASON_NONE && !gate->naive &&
	    quarantine_refuses(gate->quarantine, call->head->fingerprint, now))
		reason = REASON_CRASH_SUSPECT;
	if (reason != REASON_NONE) {
		gate_call_refuse(call, reason, RUN_NO, false);
		return;
	}
	if (gate_ticket_issue(call))
		return;
	/* Final, since every gate of the service would refuse for this reason. */
	if (!gate->naive && !throttle_admit(&gate->throttle, gate_call_key(call), now)) {
		gate_call_refuse(call, REASON_DEPENDENCY, RUN_NO, true);
		return;
	}
	if (call_may_run(call)) {
		pressure_update(call, false, now);
		shortage_update(call, false, now);
		call_start(call);
		return;
	}
	if (!gate_rate_admits(gate))
		metrics_add(kernel_metrics(gate->kernel), METRIC_GATE_RATE_LIMITED, 1);
	late_hold_update(gate, now);
	reason = call_queue(call, now);
	pressure_update(call, reason != REASON_NONE, now);
	pressure_record(&gate->shortage, reason != REASON_NONE || call->item.late, now);
	if (reason != REASON_NONE)
		gate_call_refuse(call, reason, RUN_NO, false);
}

void
gate_call_release(gate_call_t *call)
{
	gate_t *gate = call->gate;

	queue_remove(&gate->queue, &call->item);
	if (call->state == GATE_CALL_RUNNING) {
		gate->running--;
		run_post(call, false);
		limit_gate_end(&gate->limit, call->head->route_class, call->started_at,
		    kernel_now(gate->kernel));
	}
	call->state = GATE_CALL_NEW;
	gauges_update(gate);
}

/* Refuses queued calls that cannot finish in time. */
static void
queue_expire_late(gate_t *gate, uint64_t now)
{
	queue_item_t *item;
	reason_t reason = REASON_DEADLINE_PASSED;

	while ((item = queue_expire(&gate->queue, now, &reason)) != NULL)
		gate_call_refuse(
		    LIST_ENTRY(item, gate_call_t, item), reason, RUN_NO, false);
}

void
gate_queue_run(gate_t *gate)
{
	uint64_t now;

	/* Ending a call calls this function again; the outer loop continues by itself. */
	if (gate->in_queue_run || queue_length(&gate->queue) == 0)
		return;
	gate->in_queue_run = true;
	now = kernel_now(gate->kernel);
	queue_expire_late(gate, now);
	while (gate->backend.live && gate_rate_admits(gate)) {
		queue_item_t *item;

		late_hold_update(gate, now);
		item =
		    queue_pop(&gate->queue, limit_gate_admits(&gate->limit, ROUTE_UPLOAD),
			limit_gate_admits(&gate->limit, ROUTE_LOOKUP), now);

		if (item == NULL)
			break;
		metrics_observe(
		    kernel_metrics(gate->kernel), HISTOGRAM_QUEUE, now - item->queued_at);
		call_start(LIST_ENTRY(item, gate_call_t, item));
	}
	gate_rate_timer_start(gate);
	gate->in_queue_run = false;
}

void
gate_queue_recheck(gate_t *gate)
{
	uint64_t now = kernel_now(gate->kernel);
	list_t waiting;
	queue_item_t *item;

	list_init(&waiting);
	while ((item = queue_drain(&gate->queue)) != NULL)
		list_append(&waiting, &item->link);
	/* Refusing a call would otherwise start calls from the queue that is rebuilt. */
	gate->in_queue_run = true;
	LIST_FOREACH_SAFE (node, &waiting) {
		gate_call_t *call =
		    LIST_ENTRY(LIST_ENTRY(node, queue_item_t, link), gate_call_t, item);
		reason_t reason;

		list_remove(node);
		reason = call_queue(call, now);
		if (reason == REASON_NONE)
			continue;
		metrics_add(kernel_metrics(gate->kernel), METRIC_GATE_RATE_LIMITED, 1);
		gate_call_refuse(call, reason, RUN_NO, false);
	}
	gate->in_queue_run = false;
	gate_queue_run(gate);
}

void
gate_queue_refuse(gate_t *gate, reason_t reason)
{
	queue_item_t *item;

	while ((item = queue_drain(&gate->queue)) != NULL)
		gate_call_refuse(
		    LIST_ENTRY(item, gate_call_t, item), reason, RUN_NO, false);
}
