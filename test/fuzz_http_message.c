/*
 * Requests of callers and answers of backend servers: no input may crash the parser, and
 * the same bytes in any pieces give the same messages.
 */
#include "fuzz_change.h"
#include "http_message.h"
#include "util.h"

#include <string.h>

static const char valid_requests[] =
    "GET /a/b?c=d HTTP/1.1\r\nHost: h\r\nX-A: 1\r\n\r\n"
    "POST /e HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello"
    "PUT /f HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nT: v\r\n\r\n"
    "GET /g HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";

static const char valid_answers[] =
    "HTTP/1.1 100 Continue\r\n\r\n"
    "HTTP/1.1 200 OK\r\nX-A: 1\r\nContent-Length: 5\r\n\r\nhello"
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nT: v\r\n\r\n"
    "HTTP/1.1 204 No Content\r\n\r\n"
    "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello";

/* What the events told, as one hash. */
typedef struct trace {
	uint64_t hash;
	bool pausing;	 /* stops behind every event */
	bool in_request; /* between a head and its end */
} trace_t;

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
trace_add(trace_t *trace, const void *data, size_t size)
{
	for (size_t i = 0; i < size; i++)
		trace->hash = (trace->hash ^ ((const uint8_t *)data)[i]) * 0x100000001b3;
}

static bool
head_event(void *state, http_head_t *head)
{
	trace_t *trace = state;

	INVARIANT(head->field_count <= HTTP_FIELDS_MAX);
	INVARIANT(head->text.size <= HTTP_HEAD_MAX_BYTES);
	INVARIANT(!trace->in_request);
	trace->in_request = head->error == HTTP_MESSAGE_ERROR_NONE;
	trace_add(trace, head->method, strlen(head->method));
	trace_add(trace, &head->status, sizeof(head->status));
	if (head->error == HTTP_MESSAGE_ERROR_NONE)
		trace_add(trace, http_head_path(head), strlen(http_head_path(head)));
	for (size_t i = 0; i < head->field_count; i++) {
		const char *name = http_head_field_name(head, i);
		const char *value = http_head_field_value(head, i);

		trace_add(trace, name, strlen(name) + 1);
		trace_add(trace, value, strlen(value) + 1);
	}
	return !trace->pausing;
}

static bool
body_event(void *state, const char *data, size_t size)
{
	trace_t *trace = state;

	INVARIANT(trace->in_request);
	trace_add(trace, data, size);
	return !trace->pausing;
}

static bool
end_event(void *state)
{
	trace_t *trace = state;

	INVARIANT(trace->in_request);
	trace->in_request = false;
	trace_add(trace, "end", 3);
	return !trace->pausing;
}

static uint64_t
parse(enum http_parser_type type, const uint8_t *data, size_t size, size_t piece,
    bool pausing)
{
	static const http_message_events_t events = {head_event, body_event, end_event};
	trace_t trace = {.pausing = pausing};
	http_message_parser_t parser;
	http_message_error_t error = HTTP_MESSAGE_ERROR_NONE;
	size_t calls = 0;

	http_message_parser_init(&parser, type, &events, &trace);
	for (size_t at = 0; at < size && error == HTTP_MESSAGE_ERROR_NONE;) {
		size_t consumed;

		error = http_message_parser_run(&parser, (const char *)data + at,
		    MIN_OF(piece, size - at), &consumed);
		at += consumed;
		/* Each call reads a byte or reports an event. */
		INVARIANT(++calls <= 4 * size + 4);
	}
	http_message_parser_free(&parser);
	return trace.hash;
}

static void
parse_and_compare(enum http_parser_type type, const uint8_t *data, size_t size)
{
	uint64_t whole = parse(type, data, size, SIZE_MAX, false);

	INVARIANT(parse(type, data, size, 1, false) == whole);
	INVARIANT(parse(type, data, size, SIZE_MAX, true) == whole);
	INVARIANT(parse(type, data, size, 7, true) == whole);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	uint8_t requests[sizeof(valid_requests)];
	uint8_t answers[sizeof(valid_answers)];

	parse_and_compare(HTTP_REQUEST, data, size);
	parse_and_compare(HTTP_RESPONSE, data, size);
	memcpy(requests, valid_requests, sizeof(requests));
	fuzz_change(requests, sizeof(requests) - 1, data, size);
	parse_and_compare(HTTP_REQUEST, requests, sizeof(requests) - 1);
	memcpy(answers, valid_answers, sizeof(answers));
	fuzz_change(answers, sizeof(answers) - 1, data, size);
	parse_and_compare(HTTP_RESPONSE, answers, sizeof(answers) - 1);
	return 0;
}
