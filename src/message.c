#include "message.h"

#include "snapshot.h"

#include <stdlib.h>
#include <string.h>

call_head_t *
call_head_create(void)
{
	call_head_t *head = calloc(1, sizeof(*head));

	if (head != NULL) {
		headers_init(&head->headers);
		head->body_length = -1;
	}
	return head;
}

call_head_t *
call_head_copy(const call_head_t *head)
{
	call_head_t *copy = malloc(sizeof(*copy));

	if (copy == NULL)
		return NULL;
	*copy = *head;
	headers_init(&copy->headers);
	copy->path = strdup(head->path);
	if (copy->path == NULL)
		goto fail;
	for (size_t i = 0; i < head->headers.count; i++) {
		const header_t *item = &head->headers.items[i];

		if (headers_add(&copy->headers, item->name, item->value) !=
		    MASTICPITCH_OK)
			goto fail;
	}
	return copy;
fail:
	call_head_destroy(copy);
	return NULL;
}

void
call_head_destroy(call_head_t *head)
{
	if (head == NULL)
		return;
	headers_free(&head->headers);
	free(head->path);
	free(head);
}

answer_head_t *
answer_head_create(void)
{
	answer_head_t *head = calloc(1, sizeof(*head));

	if (head != NULL) {
		headers_init(&head->headers);
		head->body_length = -1;
	}
	return head;
}

void
answer_head_destroy(answer_head_t *head)
{
	if (head == NULL)
		return;
	headers_free(&head->headers);
	free(head);
}

message_t *
message_create(message_type_t type, uint64_t node, uint64_t stream)
{
	message_t *message = calloc(1, sizeof(*message));

	if (message == NULL)
		return NULL;
	list_init(&message->link);
	message->type = type;
	message->node = node;
	message->stream = stream;
	return message;
}

void
message_destroy(message_t *message)
{
	if (message == NULL)
		return;
	switch (message->type) {
	case MESSAGE_CALL_OPEN:
		call_head_destroy(message->u.call);
		break;
	case MESSAGE_CALL_DATA:
	case MESSAGE_ANSWER_DATA:
		chunk_release(message->u.data.chunk);
		break;
	case MESSAGE_ANSWER_HEAD:
		answer_head_destroy(message->u.answer);
		break;
	case MESSAGE_CONTROL:
	case MESSAGE_CONTROL_FAILED:
		chunk_release(message->u.control.payload);
		break;
	case MESSAGE_REPORT:
		chunk_release(message->u.report);
		break;
	case MESSAGE_SNAPSHOT:
		snapshot_release(message->u.snapshot);
		break;
	case MESSAGE_ROLLOUT_STEP:
		free(message->u.step);
		break;
	case MESSAGE_ROLLOUT_REPORT:
		free(message->u.rollout);
		break;
	case MESSAGE_CALL_CREDIT:
	case MESSAGE_CALL_CANCEL:
	case MESSAGE_ANSWER_CREDIT:
	case MESSAGE_ANSWER_ABORT:
	case MESSAGE_REFUSAL:
	case MESSAGE_STREAM_LOST:
	case MESSAGE_MEMBER:
	case MESSAGE_MEMBER_REMOVED:
	case MESSAGE_INSTANCE:
	case MESSAGE_RUN:
	case MESSAGE_CONTACT:
	case MESSAGE_NESTED:
	case MESSAGE_CRASH_REPORT:
	case MESSAGE_VERIFIED:
	case MESSAGE_VERSION:
	case MESSAGE_VERSION_RECEIVED:
	case MESSAGE_QUERY:
	case MESSAGE_LEAVE:
	case MESSAGE_STOP_LISTENING:
	case MESSAGE_STOP_WAITING:
	case MESSAGE_JOIN_NEEDED:
	case MESSAGE_JOIN_ADDRESS:
	case MESSAGE_DEPARTURE:
	case MESSAGE_QUOTA_ASK:
	case MESSAGE_QUOTA_GRANT:
	case MESSAGE_QUOTA_MEMBERS:
		break;
	}
	free(message);
}
