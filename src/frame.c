#include "frame.h"

#include "util.h"

#include <stdlib.h>
#include <string.h>

/* Bookkeeping of the system allocator, counted for each block. */
#define BLOCK_OVERHEAD_BYTES 16

static void *
frame_alloc(void *data, size_t size)
{
	frame_allocator_t *allocator = data;

	if (size > allocator->remaining_bytes ||
	    allocator->remaining_bytes - size < BLOCK_OVERHEAD_BYTES)
		return NULL;
	allocator->remaining_bytes -= size + BLOCK_OVERHEAD_BYTES;
	return malloc(size);
}

static void
frame_release(void *data, void *block)
{
	free(block);
}

void
frame_allocator_init(frame_allocator_t *allocator, size_t encoded_size)
{
	allocator->base.alloc = frame_alloc;
	allocator->base.free = frame_release;
	allocator->base.allocator_data = allocator;
	allocator->remaining_bytes =
	    encoded_size * FRAME_DECODE_FACTOR + FRAME_DECODE_BASE_BYTES;
}

static size_t
headers_to_frame(const headers_t *headers, frame_scratch_t *scratch)
{
	for (size_t i = 0; i < headers->count; i++) {
		Masticpitch__Header *header = &scratch->headers[i];

		masticpitch__header__init(header);
		header->name = headers->items[i].name;
		header->value = headers->items[i].value;
		scratch->header_pointers[i] = header;
	}
	return headers->count;
}

static Masticpitch__Load *
load_to_frame(const load_report_t *load, frame_scratch_t *scratch)
{
	masticpitch__load__init(&scratch->load);
	scratch->load.running = load->running;
	scratch->load.queued = load->queued;
	scratch->load.limit = load->limit;
	scratch->load.slots = load->slots;
	scratch->load.latency_us = load->latency_us;
	scratch->load.pressure = load->pressure;
	scratch->load.link_wait_us = load->link_wait_us;
	scratch->load.link_ns_per_kilobyte = load->link_ns_per_kilobyte;
	scratch->load.speed_percent = load->speed_percent;
	scratch->load.host_percent = load->host_percent;
	scratch->load.useful = load->useful;
	scratch->load.exchange_us = load->exchange_us;
	return &scratch->load;
}

static int32_t
target_to_frame(uint64_t target, uint64_t now)
{
	if (target == 0)
		return 0;
	if (target <= now)
		return -1;
	return (int32_t)MIN_OF((target - now) / NS_PER_MS + 1, (uint64_t)INT32_MAX);
}

/* A target that has passed becomes 1, a point in time before now. */
static uint64_t
target_from_frame(int32_t target_ms, uint64_t now)
{
	if (target_ms == 0)
		return 0;
	return target_ms < 0 ? 1 : now + (uint64_t)target_ms * NS_PER_MS;
}

static int
call_open_from_message(
    const call_head_t *call, uint64_t stream, uint64_t now, frame_scratch_t *scratch)
{
	Masticpitch__CallOpen *open = &scratch->body.call_open;
	uint64_t remaining;

	if (call->deadline <= now)
		return MASTICPITCH_E_TIMEOUT;
	remaining =
	    MIN_OF(call->deadline - now, (uint64_t)FRAME_REMAINING_MS_MAX * NS_PER_MS);
	masticpitch__call_open__init(open);
	open->stream = stream;
	open->method = (char *)call->method;
	open->path = call->path;
	open->n_headers = headers_to_frame(&call->headers, scratch);
	open->headers = scratch->header_pointers;
	open->body_length = call->body_length;
	open->has_body = call->has_body;
	open->service = (char *)call->service;
	open->route_class = (uint32_t)call->route_class;
	open->idempotent = call->idempotent;
	open->remaining_ms = (uint32_t)(remaining / NS_PER_MS);
	open->remaining_us = (uint32_t)(remaining % NS_PER_MS / NS_PER_US);
	open->depth = call->depth;
	open->attempt = call->attempt;
	open->request_id = (char *)call->request_id;
	open->trace = (char *)call->trace;
	open->ticket = (char *)call->ticket;
	open->fingerprint = call->fingerprint;
	open->caller_service = (char *)call->caller_service;
	open->target_ms = target_to_frame(call->target, now);
	open->answer_bytes = call->answer_bytes;
	open->workspace = (char *)call->workspace;
	open->rank = call->rank;
	open->typical_us = call->typical_us;
	open->movable = call->movable;
	scratch->frame.body_case = MASTICPITCH__FRAME__BODY_CALL_OPEN;
	scratch->frame.call_open = open;
	return MASTICPITCH_OK;
}

static void
answer_head_from_message(
    const answer_head_t *answer, uint64_t stream, frame_scratch_t *scratch)
{
	Masticpitch__AnswerHead *head = &scratch->body.answer_head;

	masticpitch__answer_head__init(head);
	head->stream = stream;
	head->status = (uint32_t)answer->status;
	head->n_headers = headers_to_frame(&answer->headers, scratch);
	head->headers = scratch->header_pointers;
	head->body_length = answer->body_length;
	head->nested_failed = answer->nested_failed;
	head->load = load_to_frame(&answer->load, scratch);
	scratch->frame.body_case = MASTICPITCH__FRAME__BODY_ANSWER_HEAD;
	scratch->frame.answer_head = head;
}

static void
refusal_from_message(const message_t *message, uint64_t stream, frame_scratch_t *scratch)
{
	Masticpitch__Refusal *refusal = &scratch->body.refusal;

	masticpitch__refusal__init(refusal);
	refusal->stream = stream;
	refusal->reason = (uint32_t)message->u.refusal.reason;
	refusal->run = (uint32_t)message->u.refusal.run;
	refusal->final = message->u.refusal.final;
	refusal->load = load_to_frame(&message->u.refusal.load, scratch);
	refusal->retry_after_ms = message->u.refusal.retry_after_ms;
	refusal->abort = message->type == MESSAGE_ANSWER_ABORT;
	scratch->frame.body_case = MASTICPITCH__FRAME__BODY_REFUSAL;
	scratch->frame.refusal = refusal;
}

static void
data_from_message(const message_t *message, uint64_t stream, frame_scratch_t *scratch)
{
	const chunk_t *chunk = message->u.data.chunk;
	ProtobufCBinaryData bytes = {0, NULL};

	if (chunk != NULL) {
		bytes.len = chunk->size;
		bytes.data = (uint8_t *)chunk->data;
	}
	if (message->type == MESSAGE_CALL_DATA) {
		masticpitch__call_data__init(&scratch->body.call_data);
		scratch->body.call_data.stream = stream;
		scratch->body.call_data.data = bytes;
		scratch->body.call_data.end = message->u.data.end;
		scratch->frame.body_case = MASTICPITCH__FRAME__BODY_CALL_DATA;
		scratch->frame.call_data = &scratch->body.call_data;
		return;
	}
	masticpitch__answer_data__init(&scratch->body.answer_data);
	scratch->body.answer_data.stream = stream;
	scratch->body.answer_data.data = bytes;
	scratch->body.answer_data.end = message->u.data.end;
	scratch->frame.body_case = MASTICPITCH__FRAME__BODY_ANSWER_DATA;
	scratch->frame.answer_data = &scratch->body.answer_data;
}

int
frame_from_message(
    const message_t *message, uint64_t stream, uint64_t now, frame_scratch_t *scratch)
{
	masticpitch__frame__init(&scratch->frame);
	switch (message->type) {
	case MESSAGE_CALL_OPEN:
		return call_open_from_message(message->u.call, stream, now, scratch);
	case MESSAGE_CALL_DATA:
	case MESSAGE_ANSWER_DATA:
		data_from_message(message, stream, scratch);
		return MASTICPITCH_OK;
	case MESSAGE_CALL_CREDIT:
	case MESSAGE_ANSWER_CREDIT:
		masticpitch__credit__init(&scratch->body.credit);
		scratch->body.credit.stream = stream;
		scratch->body.credit.bytes = message->u.credit;
		scratch->body.credit.answer = message->type == MESSAGE_ANSWER_CREDIT;
		scratch->frame.body_case = MASTICPITCH__FRAME__BODY_CREDIT;
		scratch->frame.credit = &scratch->body.credit;
		return MASTICPITCH_OK;
	case MESSAGE_CALL_CANCEL:
		masticpitch__call_cancel__init(&scratch->body.call_cancel);
		scratch->body.call_cancel.stream = stream;
		scratch->frame.body_case = MASTICPITCH__FRAME__BODY_CALL_CANCEL;
		scratch->frame.call_cancel = &scratch->body.call_cancel;
		return MASTICPITCH_OK;
	case MESSAGE_ANSWER_HEAD:
		answer_head_from_message(message->u.answer, stream, scratch);
		return MASTICPITCH_OK;
	case MESSAGE_REFUSAL:
	case MESSAGE_ANSWER_ABORT:
		refusal_from_message(message, stream, scratch);
		return MASTICPITCH_OK;
	default:
		return MASTICPITCH_E_INVALID;
	}
}

static void
load_from_frame(const Masticpitch__Load *load, load_report_t *report)
{
	if (load == NULL)
		return;
	report->running = load->running;
	report->queued = load->queued;
	report->limit = load->limit;
	report->slots = load->slots;
	report->latency_us = load->latency_us;
	report->pressure = MIN_OF(load->pressure, 100U);
	report->link_wait_us = load->link_wait_us;
	report->link_ns_per_kilobyte = load->link_ns_per_kilobyte;
	report->speed_percent = load->speed_percent;
	report->host_percent = load->host_percent;
	report->useful = load->useful;
	report->exchange_us = load->exchange_us;
}

static int
headers_from_frame(Masticpitch__Header *const *items, size_t count, headers_t *headers)
{
	if (count > HEADERS_COUNT_MAX)
		return MASTICPITCH_E_LIMIT;
	for (size_t i = 0; i < count; i++) {
		int error = headers_add(headers, items[i]->name, items[i]->value);

		if (error != MASTICPITCH_OK)
			return error;
	}
	return MASTICPITCH_OK;
}

static int
call_open_to_message(const Masticpitch__CallOpen *open, uint64_t now, message_t **message)
{
	call_head_t *call = call_head_create();
	uint64_t remaining = (uint64_t)open->remaining_ms * NS_PER_MS;
	int error = MASTICPITCH_E_NOMEM;

	if (call == NULL)
		return error;
	call->path = strdup(open->path);
	*message = call->path != NULL ? message_create(MESSAGE_CALL_OPEN, 0, open->stream)
				      : NULL;
	if (*message == NULL)
		goto fail;
	error = MASTICPITCH_E_LIMIT;
	if (string_copy(call->method, sizeof(call->method), open->method) != 0 ||
	    string_copy(call->service, sizeof(call->service), open->service) != 0 ||
	    string_copy(call->request_id, sizeof(call->request_id), open->request_id) !=
		0 ||
	    string_copy(call->trace, sizeof(call->trace), open->trace) != 0 ||
	    string_copy(call->ticket, sizeof(call->ticket), open->ticket) != 0 ||
	    string_copy(call->caller_service, sizeof(call->caller_service),
		open->caller_service) != 0 ||
	    string_copy(call->workspace, sizeof(call->workspace), open->workspace) != 0 ||
	    open->route_class >= ROUTE_CLASS_COUNT || open->body_length < -1 ||
	    open->remaining_ms > FRAME_REMAINING_MS_MAX || open->remaining_us >= 1000)
		goto fail;
	error = headers_from_frame(open->headers, open->n_headers, &call->headers);
	if (error != MASTICPITCH_OK)
		goto fail;
	call->body_length = open->body_length;
	call->has_body = open->has_body;
	call->route_class = (route_class_t)open->route_class;
	call->idempotent = open->idempotent;
	call->deadline = now + remaining + open->remaining_us * NS_PER_US;
	call->target = target_from_frame(open->target_ms, now);
	call->answer_bytes = open->answer_bytes;
	call->rank = open->rank;
	call->typical_us = open->typical_us;
	call->movable = open->movable;
	call->depth = open->depth;
	call->attempt = open->attempt;
	call->fingerprint = open->fingerprint;
	(*message)->u.call = call;
	return MASTICPITCH_OK;
fail:
	call_head_destroy(call);
	message_destroy(*message);
	*message = NULL;
	return error;
}

static int
answer_head_to_message(const Masticpitch__AnswerHead *head, message_t **message)
{
	answer_head_t *answer;
	int error;

	if (head->status > 999 || head->body_length < -1)
		return MASTICPITCH_E_LIMIT;
	answer = answer_head_create();
	*message = message_create(MESSAGE_ANSWER_HEAD, 0, head->stream);
	error = MASTICPITCH_E_NOMEM;
	if (answer == NULL || *message == NULL)
		goto fail;
	error = headers_from_frame(head->headers, head->n_headers, &answer->headers);
	if (error != MASTICPITCH_OK)
		goto fail;
	answer->status = (int)head->status;
	answer->body_length = head->body_length;
	answer->nested_failed = head->nested_failed;
	load_from_frame(head->load, &answer->load);
	(*message)->u.answer = answer;
	return MASTICPITCH_OK;
fail:
	answer_head_destroy(answer);
	message_destroy(*message);
	*message = NULL;
	return error;
}

static int
data_to_message(message_type_t type, uint64_t stream, const ProtobufCBinaryData *bytes,
    bool end, message_t **message)
{
	chunk_t *chunk = NULL;

	if (bytes->len > STREAM_DATA_MAX_BYTES || (bytes->len == 0 && !end))
		return MASTICPITCH_E_LIMIT;
	if (bytes->len > 0) {
		chunk = chunk_copy(bytes->data, bytes->len);
		if (chunk == NULL)
			return MASTICPITCH_E_NOMEM;
	}
	*message = message_create(type, 0, stream);
	if (*message == NULL) {
		chunk_release(chunk);
		return MASTICPITCH_E_NOMEM;
	}
	(*message)->u.data.chunk = chunk;
	(*message)->u.data.end = end;
	return MASTICPITCH_OK;
}

static int
refusal_to_message(const Masticpitch__Refusal *refusal, message_t **message)
{
	if (refusal->reason >= REASON_COUNT || refusal->run > RUN_YES)
		return MASTICPITCH_E_LIMIT;
	*message = message_create(
	    refusal->abort ? MESSAGE_ANSWER_ABORT : MESSAGE_REFUSAL, 0, refusal->stream);
	if (*message == NULL)
		return MASTICPITCH_E_NOMEM;
	(*message)->u.refusal.reason = (reason_t)refusal->reason;
	(*message)->u.refusal.run = (run_state_t)refusal->run;
	(*message)->u.refusal.final = refusal->final;
	(*message)->u.refusal.retry_after_ms = refusal->retry_after_ms;
	load_from_frame(refusal->load, &(*message)->u.refusal.load);
	return MASTICPITCH_OK;
}

int
frame_to_message(const Masticpitch__Frame *frame, uint64_t now, message_t **message)
{
	const Masticpitch__Credit *credit;

	*message = NULL;
	switch (frame->body_case) {
	case MASTICPITCH__FRAME__BODY_CALL_OPEN:
		return call_open_to_message(frame->call_open, now, message);
	case MASTICPITCH__FRAME__BODY_CALL_DATA:
		return data_to_message(MESSAGE_CALL_DATA, frame->call_data->stream,
		    &frame->call_data->data, frame->call_data->end, message);
	case MASTICPITCH__FRAME__BODY_ANSWER_DATA:
		return data_to_message(MESSAGE_ANSWER_DATA, frame->answer_data->stream,
		    &frame->answer_data->data, frame->answer_data->end, message);
	case MASTICPITCH__FRAME__BODY_CALL_CANCEL:
		*message =
		    message_create(MESSAGE_CALL_CANCEL, 0, frame->call_cancel->stream);
		return *message != NULL ? MASTICPITCH_OK : MASTICPITCH_E_NOMEM;
	case MASTICPITCH__FRAME__BODY_ANSWER_HEAD:
		return answer_head_to_message(frame->answer_head, message);
	case MASTICPITCH__FRAME__BODY_REFUSAL:
		return refusal_to_message(frame->refusal, message);
	case MASTICPITCH__FRAME__BODY_CREDIT:
		credit = frame->credit;
		if (credit->bytes == 0 || credit->bytes > STREAM_WINDOW_BYTES)
			return MASTICPITCH_E_LIMIT;
		*message = message_create(
		    credit->answer ? MESSAGE_ANSWER_CREDIT : MESSAGE_CALL_CREDIT, 0,
		    credit->stream);
		if (*message == NULL)
			return MASTICPITCH_E_NOMEM;
		(*message)->u.credit = credit->bytes;
		return MASTICPITCH_OK;
	default:
		return MASTICPITCH_E_INVALID;
	}
}

int
frame_append(const Masticpitch__Frame *frame, size_t trailer, buffer_t *out)
{
	size_t body = masticpitch__frame__get_packed_size(frame);
	size_t length = body + trailer;
	size_t start = out->size;
	uint8_t prefix[FRAME_PREFIX_BYTES];
	chunk_t *packed;
	int error;

	if (length > FRAME_MAX_BYTES)
		return MASTICPITCH_E_LIMIT;
	packed = chunk_create(body);
	if (packed == NULL)
		return MASTICPITCH_E_NOMEM;
	masticpitch__frame__pack(frame, packed->data);
	prefix[0] = (uint8_t)(length >> 24);
	prefix[1] = (uint8_t)(length >> 16);
	prefix[2] = (uint8_t)(length >> 8);
	prefix[3] = (uint8_t)length;
	error = buffer_append(out, prefix, sizeof(prefix));
	if (error == MASTICPITCH_OK)
		error = buffer_append(out, packed->data, body);
	if (error != MASTICPITCH_OK)
		out->size = start;
	chunk_release(packed);
	return error;
}

int
frame_length(const uint8_t *data, size_t size, size_t *length)
{
	size_t value;

	if (size < FRAME_PREFIX_BYTES)
		return MASTICPITCH_E_NOT_FOUND;
	value = (size_t)data[0] << 24 | (size_t)data[1] << 16 | (size_t)data[2] << 8 |
		data[3];
	if (value == 0 || value > FRAME_MAX_BYTES)
		return MASTICPITCH_E_LIMIT;
	*length = value;
	return MASTICPITCH_OK;
}

Masticpitch__Frame *
frame_decode(const uint8_t *data, size_t size)
{
	frame_allocator_t allocator;

	if (size > FRAME_MAX_BYTES)
		return NULL;
	frame_allocator_init(&allocator, size);
	return masticpitch__frame__unpack(&allocator.base, size, data);
}

void
frame_free(Masticpitch__Frame *frame)
{
	if (frame != NULL)
		masticpitch__frame__free_unpacked(frame, NULL);
}
