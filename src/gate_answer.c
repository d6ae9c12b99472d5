#include "gate_internal.h"

#include <ctype.h>
#include <string.h>
#include <strings.h>

/* True for fields that are not forwarded to the caller as they are. */
static bool
answer_field_is_local(const char *name)
{
	return header_is_hop_by_hop(name) || strcasecmp(name, "Content-Length") == 0;
}

/* Value of the field; NULL if it is absent or the dialect lacks it (name is NULL). */
static const char *
answer_field(const gate_call_t *call, const char *name)
{
	return name == NULL ? NULL : headers_find(&call->answer->headers, name);
}

/* True if the answer states that the request was not run. */
static bool
answer_is_not_run(const gate_call_t *call)
{
	const header_names_t *names = call->gate->names;
	const char *run = answer_field(call, names->run);

	if (answer_field(call, names->not_executed) != NULL)
		return true;
	/* The address belongs to another instance now, which did not run the request. */
	if (names->expect_instance != NULL && call->answer->status == 421)
		return true;
	return call->answer->status == 503 && run != NULL && strcasecmp(run, "no") == 0;
}

/* True for statuses from which a caller concludes that the request was not run. */
static bool
status_denies_run(int status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

/*
 * True if the answer may be that of another request, which the backend server has written
 * late. Backend servers of a dialect with signed answers name the request in each answer;
 * without its id, only the first answer on a connection is known not to be late.
 */
static bool
answer_is_foreign(const gate_call_t *call)
{
	const header_names_t *names = call->gate->names;
	const char *id = answer_field(call, names->request_id);
	long connects = 0;

	if (id != NULL)
		return strcmp(id, call->head->request_id) != 0;
	curl_easy_getinfo(call->easy, CURLINFO_NUM_CONNECTS, &connects);
	return names->signature != NULL && connects == 0;
}

/* True if the answer may be passed on as the backend server's answer to this call. */
static bool
answer_is_genuine(const gate_call_t *call)
{
	const header_names_t *names = call->gate->names;
	const answer_head_t *answer = call->answer;

	if (answer_is_foreign(call))
		return false;
	if (names->signature == NULL)
		return true;
	if (answer->status < 300 && answer_field(call, names->signature) == NULL)
		return false;
	return answer_field(call, "Content-Encoding") == NULL &&
	       !status_denies_run(answer->status);
}

/* Reads from Keep-Alive how long the backend server keeps an idle connection. */
static void
keep_alive_read(gate_call_t *call)
{
	const char *value = answer_field(call, "Keep-Alive");
	const char *timeout = value == NULL ? NULL : strstr(value, "timeout=");
	uint64_t seconds;
	char digits[8];
	size_t length;

	if (timeout == NULL)
		return;
	timeout += strlen("timeout=");
	length = strspn(timeout, "0123456789");
	if (length == 0 || length >= sizeof(digits))
		return;
	memcpy(digits, timeout, length);
	digits[length] = '\0';
	if (string_parse_uint(digits, GATE_IDLE_TIMEOUT_MAX_S, &seconds) ==
	    MASTICPITCH_OK)
		call->gate->idle_s = (uint32_t)seconds;
}

/*
 * Reads what the backend server says of itself. An answer that states that the
 * request was not run need not name a limit, so it ends none.
 */
static void
backend_state_read(const gate_call_t *call)
{
	gate_t *gate = call->gate;
	const char *rate_limit = answer_field(call, gate->names->rate_limit);
	const char *leaving = answer_field(call, gate->names->leaving);
	uint32_t host_percent =
	    capacity_host_percent_parse(answer_field(call, gate->names->load));

	/* After a pause of this process, answers of an earlier one may be unread. */
	if (call->started_at < gate->backend_since)
		return;
	if (rate_limit != NULL || !call->shed)
		gate_rate_update(gate, rate_limit);
	if (host_percent != 0)
		capacity_server_host_record(
		    &gate->capacity, host_percent, kernel_now(gate->kernel));
	if (leaving != NULL && strcmp(leaving, "1") == 0)
		gate_backend_leave(gate);
}

/* The caller does not wait for the body of a refusal, which it does not get. */
static void
refusal_deadline_set(gate_call_t *call)
{
	struct ev_loop *loop = kernel_loop(call->gate->kernel);
	double left = ev_timer_remaining(loop, &call->deadline);

	ev_timer_stop(loop, &call->deadline);
	ev_timer_set(&call->deadline, MIN_OF(left, GATE_REFUSAL_BODY_MS / 1e3), 0.0);
	ev_timer_start(loop, &call->deadline);
}

/* Posts the complete head, unless the call was shed or the answer is not genuine. */
static void
answer_head_post(gate_call_t *call)
{
	answer_head_t *answer = call->answer;
	const char *final_name = call->gate->names->final;
	const char *type;
	message_t *message;
	bool final = answer_field(call, final_name) != NULL;

	call->shed_final = final;
	if (answer_is_not_run(call) && !answer_is_foreign(call)) {
		call->shed = true;
		refusal_deadline_set(call);
		call->misdirected = answer->status == 421;
		if (!call->misdirected)
			backend_state_read(call);
		return;
	}
	if (answer_is_not_run(call) || !answer_is_genuine(call)) {
		call->foreign_answer = true;
		return;
	}
	keep_alive_read(call);
	backend_state_read(call);
	call->answered_at = kernel_now(call->gate->kernel);
	if (answer->status < 500)
		gate_capacity_record(call, call->answered_at, false);
	headers_strip(&answer->headers);
	if (final)
		headers_add(&answer->headers, final_name, "1");
	gate_load(call->gate, call->head->rank, &answer->load);
	answer->load.exchange_us = (uint32_t)MIN_OF(
	    (kernel_now(call->gate->kernel) - call->started_at) / NS_PER_US,
	    (uint64_t)UINT32_MAX);
	answer->nested_failed = call->nested_failed;
	message = gate_call_message(call, MESSAGE_ANSWER_HEAD);
	if (message == NULL)
		return;
	call->status = answer->status;
	type = headers_find(&answer->headers, "Content-Type");
	if (type != NULL)
		string_copy(
		    call->ticket_content_type, sizeof(call->ticket_content_type), type);
	message->u.answer = answer;
	call->answer = NULL;
	call->answered = true;
	gate_call_post(call, message);
}

static bool
answer_field_is_dropped(const char *name)
{
	/* Connection and Keep-Alive are read before they are stripped. */
	return answer_field_is_local(name) && strcasecmp(name, "Connection") != 0 &&
	       strcasecmp(name, "Keep-Alive") != 0;
}

/* Creates the answer from its head. False: no memory, or too many fields. */
static bool
answer_create(gate_call_t *call, const http_head_t *head)
{
	answer_head_destroy(call->answer);
	call->answer = answer_head_create();
	if (call->answer == NULL)
		return false;
	call->answer->status = head->status;
	call->answer->body_length = head->body_length;
	for (size_t i = 0; i < head->field_count; i++) {
		const char *name = http_head_field_name(head, i);

		if (answer_field_is_dropped(name))
			continue;
		if (headers_add(&call->answer->headers, name,
			http_head_field_value(head, i)) != MASTICPITCH_OK)
			return false;
	}
	return true;
}

static bool
answer_head_receive(void *state, http_head_t *head)
{
	gate_call_t *call = state;

	/* A malformed head ends the exchange, interim answers are dropped. */
	if (head->error != HTTP_MESSAGE_ERROR_NONE || head->status < 200)
		return true;
	if (answer_create(call, head))
		answer_head_post(call);
	else
		call->foreign_answer = true;
	return true;
}

/* Posts the bytes of the body that were collected; false: no memory. */
static bool
answer_chunk_post(gate_call_t *call)
{
	message_t *message;

	if (call->answer_chunk == NULL)
		return true;
	message = gate_call_message(call, MESSAGE_ANSWER_DATA);
	if (message == NULL)
		return false;
	call->answer_credit -= (uint32_t)call->answer_chunk->size;
	message->u.data.chunk = call->answer_chunk;
	call->answer_chunk = NULL;
	gate_call_post(call, message);
	return true;
}

/* Collects a piece of the body, however small, for the next message; false: no memory. */
static bool
answer_bytes_collect(gate_call_t *call, const char *data, size_t size)
{
	while (size > 0) {
		size_t used = call->answer_chunk == NULL ? 0 : call->answer_chunk->size;
		size_t taken = MIN_OF(size, STREAM_DATA_MAX_BYTES - used);

		if (chunk_append(&call->answer_chunk, data, taken,
			STREAM_DATA_MAX_BYTES) != MASTICPITCH_OK)
			return false;
		if (used + taken == STREAM_DATA_MAX_BYTES && !answer_chunk_post(call))
			return false;
		data += taken;
		size -= taken;
	}
	return true;
}

static bool
answer_body_receive(void *state, const char *data, size_t size)
{
	gate_call_t *call = state;

	if (call->shed)
		return true;
	gate_ticket_record_body(call, data, size);
	call->answer_failed = !answer_bytes_collect(call, data, size);
	return !call->answer_failed;
}

/* Stops behind the answer: bytes that follow belong to no request. */
static bool
answer_end_receive(void *state)
{
	gate_call_t *call = state;

	call->answer_complete = call->answered || call->shed;
	return !call->answer_complete;
}

void
gate_answer_init(gate_call_t *call)
{
	static const http_message_events_t events = {
	    answer_head_receive, answer_body_receive, answer_end_receive};

	http_message_parser_init(&call->response, HTTP_RESPONSE, &events, call);
	call->response.bodiless = strcmp(call->head->method, "HEAD") == 0;
}

static void
answer_malformed_log(const gate_call_t *call, http_message_error_t error)
{
	LOG_EVENT(kernel_log(call->gate->kernel), LOG_LEVEL_WARNING,
	    "malformed answer of the backend server",
	    LOG_TEXT("request", call->head->request_id),
	    LOG_TEXT("instance", call->gate->backend.instance),
	    LOG_TEXT("error", http_message_error_text(error)));
}

/* Parses bytes of the answer. False: abort the exchange. */
static bool
answer_parse(gate_call_t *call, const char *data, size_t length)
{
	http_message_error_t error;
	size_t consumed;

	if (call->answer_complete)
		return true;
	/* http-parser aborts the process if it is used after an error. */
	if (call->answer_malformed)
		return false;
	error = http_message_parser_run(&call->response, data, length, &consumed);
	if (!answer_chunk_post(call))
		call->answer_failed = true;
	if (error != HTTP_MESSAGE_ERROR_NONE) {
		call->answer_malformed = true;
		answer_malformed_log(call, error);
	}
	return error == HTTP_MESSAGE_ERROR_NONE && !call->answer_failed &&
	       !call->foreign_answer;
}

static bool
begins_with_status_line(const char *data, size_t length)
{
	static const char form[] = "HTTP/0.0 000"; /* 0: any digit */
	const size_t end = sizeof(form) - 1;

	if (length <= end)
		return false;
	for (size_t i = 0; i < end; i++) {
		if (form[i] == '0' ? !isdigit((unsigned char)data[i])
				   : data[i] != form[i])
			return false;
	}
	/* Another byte follows in a Via field: "HTTP/1.1 192.0.2.1". */
	return data[end] == ' ' || data[end] == '\r';
}

/*
 * True if an answer begins within the line. The backend server broke off the one before
 * it, whose status and fields would be taken for those of the answer.
 */
static bool
line_joins_answers(const char *data, size_t length)
{
	for (size_t i = 1; i < length; i++) {
		if (begins_with_status_line(data + i, length - i))
			return true;
	}
	return false;
}

/*
 * True if the line ends with its only carriage return and a line feed. http-parser takes
 * any byte behind a carriage return for the line feed, and a line feed alone for the end;
 * it may so find the end of the head elsewhere than the backend server or libcurl.
 */
static bool
line_end_is_valid(const char *data, size_t length)
{
	return length >= 2 && memchr(data, '\r', length) == data + length - 2 &&
	       data[length - 1] == '\n';
}

static bool
answer_line_reject(gate_call_t *call, http_message_error_t error)
{
	call->answer_malformed = true;
	answer_malformed_log(call, error);
	return false;
}

bool
gate_answer_line(gate_call_t *call, const char *data, size_t length)
{
	/* Counts interim answers too. */
	call->answer_overhead += length;
	if (call->answer_overhead > GATE_ANSWER_OVERHEAD_MAX_BYTES)
		return answer_line_reject(call, HTTP_MESSAGE_ERROR_TOO_LARGE);
	if (line_joins_answers(data, length) || !line_end_is_valid(data, length))
		return answer_line_reject(call, HTTP_MESSAGE_ERROR_SYNTAX);
	return answer_parse(call, data, length);
}

bool
gate_answer_body(gate_call_t *call, const char *data, size_t length)
{
	if (call->shed) {
		call->answer_overhead += length;
		if (call->answer_overhead > GATE_ANSWER_OVERHEAD_MAX_BYTES)
			return false;
	}
	return answer_parse(call, data, length);
}

bool
gate_answer_finish(gate_call_t *call)
{
	/* The end of the connection ends an answer without a length. */
	return answer_parse(call, NULL, 0) && call->answer_complete;
}
