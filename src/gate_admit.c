#include "gate_internal.h"

#include <string.h>

uint32_t
gate_limit(const gate_t *gate)
{
	return gate->backend.live ? MIN_OF(gate->backend.slots, gate->backend.connections)
				  : 0;
}

/* Why the gate takes no call now, or REASON_NONE. */
static reason_t
gate_closed(const gate_t *gate, const call_head_t *head)
{
	if (gate->leaving)
		return REASON_LEAVING;
	if (!gate->backend.live || strcmp(gate->backend.service, head->service) != 0)
		return REASON_INSTANCE_GONE;
	if (gate->backend.state == INSTANCE_LEAVING)
		return REASON_LEAVING;
	if (gate->backend.state == INSTANCE_STARTING)
		return REASON_BACKEND_STARTING;
	return REASON_NONE;
}

static void
call_run(gate_call_t *call)
{
	gate_t *gate = call->gate;
	metrics_t *metrics = kernel_metrics(gate->kernel);

	call->state = GATE_CALL_RUNNING;
	call->started = kernel_now(gate->kernel);
	gate->running++;
	metrics_set(metrics, METRIC_GATE_RUNNING, gate->running);
	if (gate_exchange_start(call) != MASTICPITCH_OK) {
		gate_call_refuse(call, REASON_BACKEND_CONNECT, RUN_NO, false);
		return;
	}
	metrics_add(metrics, METRIC_GATE_ADMITTED, 1);
}

void
gate_call_admit(gate_call_t *call)
{
	gate_t *gate = call->gate;
	reason_t reason = gate_closed(gate, call->head);

	if (reason == REASON_NONE && call->head->deadline <= kernel_now(gate->kernel))
		reason = REASON_DEADLINE_PASSED;
	if (reason == REASON_NONE && gate->queued >= 4 * gate->backend.slots)
		reason = REASON_QUEUE_FULL;
	if (reason != REASON_NONE) {
		gate_call_refuse(call, reason, RUN_NO, false);
		return;
	}
	if (gate->running < gate_limit(gate)) {
		call_run(call);
		return;
	}
	call->state = GATE_CALL_QUEUED;
	call->queued_at = kernel_now(gate->kernel);
	list_append(&gate->queue, &call->queue_link);
	gate->queued++;
	metrics_set(kernel_metrics(gate->kernel), METRIC_GATE_QUEUED, gate->queued);
}

void
gate_call_leave(gate_call_t *call)
{
	gate_t *gate = call->gate;
	metrics_t *metrics = kernel_metrics(gate->kernel);

	if (call->state == GATE_CALL_QUEUED) {
		list_remove(&call->queue_link);
		gate->queued--;
	} else if (call->state == GATE_CALL_RUNNING) {
		gate->running--;
	}
	call->state = GATE_CALL_NEW;
	metrics_set(metrics, METRIC_GATE_RUNNING, gate->running);
	metrics_set(metrics, METRIC_GATE_QUEUED, gate->queued);
}

void
gate_queue_run(gate_t *gate)
{
	while (gate->running < gate_limit(gate) && !list_is_empty(&gate->queue)) {
		gate_call_t *call = LIST_ENTRY(gate->queue.next, gate_call_t, queue_link);

		gate_call_leave(call);
		metrics_observe(kernel_metrics(gate->kernel), HISTOGRAM_QUEUE,
		    kernel_now(gate->kernel) - call->queued_at);
		call_run(call);
	}
}

void
gate_queue_refuse(gate_t *gate, reason_t reason)
{
	while (!list_is_empty(&gate->queue)) {
		gate_call_t *call = LIST_ENTRY(gate->queue.next, gate_call_t, queue_link);

		gate_call_refuse(call, reason, RUN_NO, false);
	}
}
