/*
 * The end of a request's attempt: its stream, the report to the local gate, and the
 * refusal of the request.
 */
#include "entry_internal.h"
#include "retry_after.h"

void
entry_stream_post(entry_request_t *request, message_t *message)
{
	entry_t *entry = request->entry;

	kernel_message_post(
	    entry->kernel, &entry->service, request->stream.service, message);
}

void
entry_nested_report(
    entry_request_t *request, const load_report_t *load, bool refused, bool failed)
{
	entry_t *entry = request->entry;
	message_t *message;

	if (!request->nested)
		return;
	message = message_create(MESSAGE_NESTED, 0, 0);
	if (message != NULL) {
		message->u.nested.parent = run_set_parent_hash(request->head->request_id);
		message->u.nested.called = hash_string(request->head->service);
		message->u.nested.duration =
		    kernel_now(entry->kernel) - request->accepted_at;
		message->u.nested.pressure = load == NULL ? 0 : load->pressure;
		message->u.nested.refused = refused;
		message->u.nested.failed = failed;
	}
	kernel_message_post(entry->kernel, &entry->service,
	    kernel_service_find(entry->kernel, "gate"), message);
}

message_t *
entry_stream_message(const entry_request_t *request, message_type_t type)
{
	return message_create(type, request->stream.node, request->stream.stream);
}

void
entry_stream_close(entry_request_t *request)
{
	if (!request->stream_open)
		return;
	request->stream_open = false;
	stream_table_remove(&request->entry->streams, &request->stream);
}

void
entry_attempt_cancel(entry_request_t *request)
{
	entry_t *entry = request->entry;

	ev_timer_stop(kernel_loop(entry->kernel), &request->backoff);
	entry_hedge_cancel(request);
	if (!request->stream_open)
		return;
	entry_stream_post(request, entry_stream_message(request, MESSAGE_CALL_CANCEL));
	entry_stream_close(request);
	balance_attempt_end(entry->balance, &request->attempt, kernel_now(entry->kernel));
}

/*
 * True if the request was not run because there was no room for it. The retry budget
 * ends a request after several gates have refused it; their reason counts then.
 */
static bool
refusal_is_overload(const entry_request_t *request, reason_t reason, run_state_t run)
{
	if (reason == REASON_RETRY_BUDGET)
		reason = request->last_reason;
	return run == RUN_NO && reason_is_overload(reason);
}

static uint32_t
refusal_retry_after(const entry_request_t *request)
{
	const entry_t *entry = request->entry;
	retry_after_t retry_after = {.deadline = request->head->deadline,
	    .target = request->head->target,
	    .run_ns = request->last_load.latency_us * NS_PER_US};

	return retry_after_ms(
	    &retry_after, kernel_rng(entry->kernel), kernel_now(entry->kernel));
}

/*
 * True if the gates had no room for the request, so that fewer requests would help. A
 * backend server that refuses work on its own account may do so at any load: throttling
 * by such refusals cost a quarter of the lookups and made no fewer of them fail where
 * servers turned away half of all arrivals; see docs/design/order.md.
 */
static bool
refusal_is_no_room(const entry_request_t *request, reason_t reason, run_state_t run)
{
	return refusal_is_overload(request, reason, run) &&
	       !(reason == REASON_RETRY_BUDGET &&
		   request->last_reason == REASON_BACKEND_SHED);
}

void
entry_request_refuse(
    entry_request_t *request, reason_t reason, run_state_t run, bool final)
{
	entry_t *entry = request->entry;
	bool overload = refusal_is_overload(request, reason, run);

	metrics_refusal_add(kernel_metrics(entry->kernel), reason);
	entry_attempt_cancel(request);
	entry_quota_cancel(request);
	if (run == RUN_NO)
		entry_quota_give_back(request);
	entry_nested_report(
	    request, &request->last_load, refusal_is_no_room(request, reason, run), true);
	if (overload && request->refusal.retry_after_ms == 0)
		request->refusal.retry_after_ms = refusal_retry_after(request);
	request->refusal.reason = reason;
	request->refusal.run = run;
	request->refusal.final = final;
	chunk_queue_free(&request->unsent);
	entry_request_resume(request);
}
