#include "gate_internal.h"

#include <stdio.h>
#include <string.h>

#define TICKET_PATH "/.masticpitch/ticket"

/* Posts a complete answer that does not come from the backend server; ends the call. */
static void
answer_complete(
    gate_call_t *call, int status, const char *type, const void *body, size_t size)
{
	gate_t *gate = call->gate;
	message_t *head = gate_call_message(call, MESSAGE_ANSWER_HEAD);
	message_t *data = gate_call_message(call, MESSAGE_ANSWER_DATA);

	if (head != NULL)
		head->u.answer = answer_head_create();
	if (data != NULL)
		data->u.data.chunk = chunk_copy(body, size);
	if (head == NULL || data == NULL || head->u.answer == NULL ||
	    data->u.data.chunk == NULL) {
		message_destroy(head);
		message_destroy(data);
		gate_call_refuse(call, REASON_QUEUE_FULL, RUN_NO, false);
		return;
	}
	head->u.answer->status = status;
	head->u.answer->body_length = (int64_t)size;
	if (type[0] != '\0')
		headers_add(&head->u.answer->headers, "Content-Type", type);
	gate_load(gate, call->head->rank, &head->u.answer->load);
	data->u.data.end = true;
	gate_call_post(call, head);
	gate_call_post(call, data);
	gate_call_finish(call);
}

static bool
path_is_ticket(const char *path)
{
	size_t length = sizeof(TICKET_PATH) - 1;

	return strncmp(path, TICKET_PATH, length) == 0 &&
	       (path[length] == '\0' || path[length] == '?');
}

bool
gate_ticket_issue(gate_call_t *call)
{
	gate_t *gate = call->gate;
	const settings_t *settings = gate->settings;
	char text[TICKET_BYTES];
	char body[TICKET_BYTES + 64];
	ticket_t ticket;
	int length;

	if (!path_is_ticket(call->head->path))
		return false;
	ticket_issue(&ticket, gate->backend.service, address_to_node_id(&settings->peers),
	    kernel_boot_id(gate->kernel), kernel_rng(gate->kernel),
	    kernel_now(gate->kernel));
	ticket_format(&ticket, &settings->keys[0], text);
	length = snprintf(body, sizeof(body), "{\"ticket\":\"%s\",\"expires_ms\":%d}",
	    text, TICKET_LIFETIME_MS);
	answer_complete(call, 200, "application/json", body, (size_t)length);
	return true;
}

bool
gate_ticket_answer(gate_call_t *call)
{
	gate_t *gate = call->gate;
	const call_head_t *head = call->head;
	ticket_decision_t decision;

	if (head->ticket[0] == '\0')
		return false;
	decision = ticket_redeem(gate->tickets, head->ticket, gate->settings->keys,
	    gate->settings->key_count, head->service, head->fingerprint,
	    kernel_now(gate->kernel), &call->ticket);
	switch (decision.action) {
	case TICKET_RUN:
		call->ticket_pending = true;
		return false;
	case TICKET_REPLAY:
		answer_complete(call, decision.outcome.status,
		    decision.outcome.content_type, decision.outcome.body,
		    decision.outcome.size);
		return true;
	case TICKET_REFUSE:
	default:
		gate_call_refuse(call, decision.reason, decision.run, true);
		return true;
	}
}

void
gate_ticket_record_body(gate_call_t *call, const void *data, size_t size)
{
	if (call->ticket_pending)
		(void)buffer_append(&call->ticket_body, data,
		    MIN_OF(size, call->ticket_body.limit - call->ticket_body.size));
}

void
gate_ticket_finish(gate_call_t *call)
{
	if (!call->ticket_pending)
		return;
	call->ticket_pending = false;
	ticket_finish(call->gate->tickets, &call->ticket, call->status,
	    call->ticket_content_type[0] == '\0' ? NULL : call->ticket_content_type,
	    call->ticket_body.data, call->ticket_body.size);
}

void
gate_ticket_fail(gate_call_t *call, run_state_t run)
{
	if (!call->ticket_pending)
		return;
	call->ticket_pending = false;
	if (run == RUN_NO)
		ticket_release(call->gate->tickets, &call->ticket);
	else
		ticket_finish_unknown(call->gate->tickets, &call->ticket);
}
