/*
 * Answers to callers: from an instance, or a refusal.
 */
#include "entry_internal.h"

#include <stdio.h>
#include <string.h>

#define REFUSAL_TEXT_MAX_BYTES 512

/* True if there is no last body byte to hold back until the end mark arrives. */
static bool
answer_has_no_body(const entry_request_t *request)
{
	int status = request->answer->status;

	return request->answer->body_length == 0 || status == 204 || status == 304 ||
	       strcmp(request->head->method, "HEAD") == 0;
}

bool
entry_request_is_ready(const entry_request_t *request)
{
	if (request->refusal.reason != REASON_NONE)
		return true;
	return request->answer != NULL &&
	       (request->answer_end || !answer_has_no_body(request));
}

/*
 * In the hosted dialect the status itself carries the run state: 503 guarantees
 * that the request was not run and never will be, 502 and 504 guarantee nothing.
 */
static int
refusal_status(const entry_request_t *request)
{
	const refusal_t *refusal = &request->refusal;
	int status = reason_status(refusal->reason);

	if (request->entry->names->run != NULL || (status >= 400 && status < 429))
		return status;
	if (refusal->run == RUN_NO)
		return status == 429 ? status : 503;
	return status == 504 ? status : 502;
}

/* Adds a field unless the dialect lacks it (name is NULL). */
static int
field_add(headers_t *headers, const char *name, const char *value)
{
	return name != NULL ? headers_add(headers, name, value) : MASTICPITCH_OK;
}

/* The hosted dialect allows fractions of a second. */
static int
retry_after_add(const entry_request_t *request, headers_t *headers)
{
	uint32_t ms = request->refusal.retry_after_ms;
	char seconds[16];

	if (ms == 0)
		return MASTICPITCH_OK;
	if (request->entry->names->run == NULL)
		snprintf(seconds, sizeof(seconds), "%u.%03u", ms / 1000, ms % 1000);
	else
		snprintf(seconds, sizeof(seconds), "%u", (ms + 999) / 1000);
	return headers_add(headers, "Retry-After", seconds);
}

static int
refusal_headers(const entry_request_t *request, headers_t *headers)
{
	const header_names_t *names = request->entry->names;
	const refusal_t *refusal = &request->refusal;
	int error = headers_add(headers, "Content-Type", "application/json");

	if (error == MASTICPITCH_OK)
		error = field_add(headers, names->reason, reason_text(refusal->reason));
	if (error == MASTICPITCH_OK)
		error = field_add(headers, names->run, run_state_text(refusal->run));
	if (error == MASTICPITCH_OK)
		error = field_add(headers, names->request_id, request->head->request_id);
	if (error == MASTICPITCH_OK && refusal->final)
		error = field_add(headers, names->final, "1");
	return error == MASTICPITCH_OK ? retry_after_add(request, headers) : error;
}

/* Queues the text of the refusal as the body of the answer. */
static int
refusal_body(entry_request_t *request, int64_t *length)
{
	const refusal_t *refusal = &request->refusal;
	char text[REFUSAL_TEXT_MAX_BYTES];
	chunk_t *chunk;

	*length = snprintf(text, sizeof(text),
	    "{\"error\":\"%s\",\"meaning\":\"%s\",\"run\":\"%s\",\"request_id\":\"%s\"}",
	    reason_text(refusal->reason), reason_meaning(refusal->reason),
	    run_state_text(refusal->run), request->head->request_id);
	chunk = chunk_copy(text, (size_t)*length);
	chunk_queue_free(&request->answer_body);
	return chunk != NULL ? chunk_queue_push(&request->answer_body, chunk)
			     : MASTICPITCH_E_NOMEM;
}

/* Returns credit for the answer bytes that were delivered to the caller. */
static void
answer_credit_return(entry_request_t *request)
{
	message_t *message;

	if (request->answer_end || !request->stream_open ||
	    request->answer_credit < ENTRY_CREDIT_BYTES)
		return;
	message = message_create(
	    MESSAGE_ANSWER_CREDIT, request->stream.node, request->stream.stream);
	if (message == NULL)
		return;
	message->u.credit = request->answer_credit;
	request->answer_credit = 0;
	entry_stream_post(request, message);
}

ssize_t
entry_answer_read(void *owner, char *target, size_t size)
{
	entry_request_t *request = owner;
	bool refused = request->refusal.reason != REASON_NONE;
	int64_t length = refused ? -1 : request->answer->body_length;
	size_t given;

	if (request->answer_cut)
		return EXCHANGE_READ_CUT;
	/* Hold back the last byte until the end mark, so a cut answer is incomplete. */
	if (length >= 0 && !request->answer_end &&
	    request->answer_delivered + size >= (uint64_t)length && size > 0)
		size = (uint64_t)length > request->answer_delivered + 1
			   ? (size_t)((uint64_t)length - request->answer_delivered - 1)
			   : 0;
	given = chunk_queue_read(&request->answer_body, target, size);
	request->answer_delivered += given;
	if (given > 0 && !refused) {
		request->answer_credit += (uint32_t)given;
		answer_credit_return(request);
	}
	if (given > 0)
		return (ssize_t)given;
	return refused || request->answer_end ? EXCHANGE_READ_END : 0;
}

/*
 * True if the connection is closed after the answer. If further requests were read, the
 * answer to the last one closes it, since the answers behind a closing one are lost;
 * requests behind one that is refused for the shutdown are refused as well. Callers of
 * the hosted dialect retry on a new connection after a refusal, so the old one would
 * stay idle. The native dialect guarantees that it stays open.
 */
static bool
connection_is_closed_after(const entry_request_t *request, bool refused)
{
	const entry_t *entry = request->entry;

	if (request->close || request->refusal.reason == REASON_SHUTDOWN)
		return true;
	if (exchange_has_followers(request->exchange))
		return false;
	if (entry->leaving)
		return true;
	return entry->settings->dialect == DIALECT_HOSTED &&
	       (refused || entry_connections(entry) > ENTRY_KEEP_ALIVE_CONNECTIONS_MAX);
}

/* The length of an instance's body; known if it was received completely. */
static int64_t
answer_length(const entry_request_t *request)
{
	if (request->answer->body_length < 0 && request->answer_end &&
	    !request->answer_cut)
		return (int64_t)request->answer_body.size;
	return request->answer->body_length;
}

void
entry_request_answer(entry_request_t *request)
{
	bool refused = request->refusal.reason != REASON_NONE;
	headers_t headers;
	exchange_answer_t answer = {
	    .headers = &headers, .close = connection_is_closed_after(request, refused)};
	int error = MASTICPITCH_OK;

	headers_init(&headers);
	request->state = REQUEST_ANSWERING;
	if (refused) {
		answer.status = refusal_status(request);
		error = refusal_headers(request, &headers);
		if (error == MASTICPITCH_OK)
			error = refusal_body(request, &answer.body_length);
	} else {
		answer.status = request->answer->status;
		answer.headers = &request->answer->headers;
		answer.body_length = answer_length(request);
	}
	if (error == MASTICPITCH_OK)
		error = exchange_answer_start(request->exchange, &answer);
	if (error != MASTICPITCH_OK)
		exchange_abort(request->exchange);
	headers_free(&headers);
}

void
entry_request_resume(entry_request_t *request)
{
	if (request->state == REQUEST_WAITING && entry_request_is_ready(request))
		entry_request_answer(request);
	else
		exchange_resume(request->exchange);
}

unsigned
entry_connections(const entry_t *entry)
{
	return caller_server_connections(entry->callers);
}
