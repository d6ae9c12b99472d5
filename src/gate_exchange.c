#include "gate_internal.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* libcurl calls this right before it writes the request; twice: its own resend. */
static int
prerequest_callback(
    void *state, char *remote_ip, char *local_ip, int remote_port, int local_port)
{
	gate_call_t *call = state;

	if (call->sent) {
		call->resend_blocked = true;
		metrics_add(
		    kernel_metrics(call->gate->kernel), METRIC_BACKEND_RESEND_BLOCKED, 1);
		return CURL_PREREQFUNC_ABORT;
	}
	call->sent = true;
	return CURL_PREREQFUNC_OK;
}

/* Returns credit for the body bytes that libcurl has taken. */
static void
body_credit_return(gate_call_t *call)
{
	message_t *message;

	if (call->body_end || call->body_credit < GATE_CREDIT_BYTES)
		return;
	message = gate_call_message(call, MESSAGE_CALL_CREDIT);
	if (message == NULL)
		return;
	message->u.credit = call->body_credit;
	call->body_credit = 0;
	gate_call_post(call, message);
}

static size_t
body_callback(char *target, size_t size, size_t count, void *state)
{
	gate_call_t *call = state;
	size_t copied = chunk_queue_read(&call->body, target, size * count);

	call->body_credit += (uint32_t)copied;
	body_credit_return(call);
	if (copied > 0 || call->body_end)
		return copied;
	call->body_paused = true;
	return CURL_READFUNC_PAUSE;
}

/* True for the fields that are not passed on to the caller as they are. */
static bool
answer_field_is_own(const char *name)
{
	return header_is_hop_by_hop(name) || strcasecmp(name, "Content-Length") == 0;
}

static bool
answer_run_is_no(const answer_head_t *answer)
{
	const char *run = headers_find(&answer->headers, HEADER_RUN);

	return answer->status == 503 && run != NULL && strcasecmp(run, "no") == 0;
}

/* The head is whole: posts it, or notes that the call was shed unrun. */
static void
answer_head_post(gate_call_t *call)
{
	answer_head_t *answer = call->answer;
	message_t *message;
	bool final = headers_find(&answer->headers, HEADER_FINAL) != NULL;

	call->shed_final = final;
	if (answer_run_is_no(answer)) {
		call->shed = true;
		return;
	}
	headers_strip(&answer->headers);
	if (final)
		headers_add(&answer->headers, HEADER_FINAL, "1");
	gate_load(call->gate, &answer->load);
	message = gate_call_message(call, MESSAGE_ANSWER_HEAD);
	if (message == NULL)
		return;
	message->u.answer = answer;
	call->answer = NULL;
	call->answered = true;
	gate_call_post(call, message);
}

/* Reads "HTTP/1.1 200 OK". */
static bool
answer_begin(gate_call_t *call, const char *line)
{
	long status = 0;

	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	answer_head_destroy(call->answer);
	call->answer = answer_head_create();
	if (call->answer == NULL)
		return false;
	call->answer->status = (int)status;
	return true;
}

static bool
answer_field_add(gate_call_t *call, char *line)
{
	char *value = strchr(line, ':');
	uint64_t length;

	if (value == NULL)
		return true;
	*value++ = '\0';
	value += strspn(value, " \t");
	if (strcasecmp(line, "Content-Length") == 0 &&
	    string_parse_uint(value, INT64_MAX, &length) == MASTICPITCH_OK)
		call->answer->body_length = (int64_t)length;
	if (answer_field_is_own(line) && strcasecmp(line, "Connection") != 0)
		return true;
	return headers_add(&call->answer->headers, line, value) == MASTICPITCH_OK;
}

/* Returning another size than given makes libcurl break the exchange. */
static size_t
header_callback(char *data, size_t size, size_t count, void *state)
{
	gate_call_t *call = state;
	size_t length = size * count;
	char line[4096];
	char *copy = line;
	bool good = true;

	if (call->answered || call->shed)
		return length; /* trailer */
	if (length >= sizeof(line)) {
		copy = malloc(length + 1);
		if (copy == NULL)
			return 0;
	}
	memcpy(copy, data, length);
	copy[length] = '\0';
	copy[strcspn(copy, "\r\n")] = '\0';
	if (strncmp(copy, "HTTP/", 5) == 0)
		good = answer_begin(call, copy);
	else if (call->answer == NULL)
		good = false;
	else if (copy[0] != '\0')
		good = answer_field_add(call, copy);
	else if (call->answer->status >= 200)
		answer_head_post(call);
	if (copy != line)
		free(copy);
	return good ? length : 0;
}

static size_t
answer_callback(char *data, size_t size, size_t count, void *state)
{
	gate_call_t *call = state;
	size_t length = size * count;
	message_t *message;

	if (call->shed)
		return length;
	if (!call->answered)
		return 0;
	if (length > call->answer_credit) {
		call->answer_paused = true;
		return CURL_WRITEFUNC_PAUSE;
	}
	for (size_t done = 0; done < length;) {
		size_t part = MIN_OF(length - done, (size_t)STREAM_DATA_MAX);

		message = gate_call_message(call, MESSAGE_ANSWER_DATA);
		if (message == NULL)
			return 0;
		message->u.data.chunk = chunk_copy(data + done, part);
		if (message->u.data.chunk == NULL) {
			message_destroy(message);
			return 0;
		}
		gate_call_post(call, message);
		call->answer_credit -= (uint32_t)part;
		done += part;
	}
	return length;
}

static void
answer_end(gate_call_t *call)
{
	message_t *message = gate_call_message(call, MESSAGE_ANSWER_DATA);

	if (message != NULL)
		message->u.data.end = true;
	gate_call_post(call, message);
	gate_call_finish(call);
}

/* What the end of an exchange without a whole answer means. */
static void
exchange_failed(gate_call_t *call, CURLcode result)
{
	if (call->answered)
		gate_call_refuse(call, REASON_BACKEND_LOST, RUN_YES, false);
	else if (!call->sent)
		gate_call_refuse(call, REASON_BACKEND_CONNECT, RUN_NO, false);
	else if (result == CURLE_WEIRD_SERVER_REPLY || result == CURLE_WRITE_ERROR ||
		 result == CURLE_UNSUPPORTED_PROTOCOL)
		gate_call_refuse(call, REASON_BACKEND_PROTOCOL, RUN_UNKNOWN, false);
	else
		gate_call_refuse(call, REASON_BACKEND_LOST, RUN_UNKNOWN, false);
}

static void
done_callback(void *state, CURL *easy, CURLcode result)
{
	gate_call_t *call = NULL;
	metrics_t *metrics;
	long connects = 0;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&call);
	curl_easy_getinfo(easy, CURLINFO_NUM_CONNECTS, &connects);
	metrics = kernel_metrics(call->gate->kernel);
	metrics_add(metrics, METRIC_BACKEND_CONNECTIONS, (uint64_t)MAX_OF(connects, 0));
	metrics_observe(
	    metrics, HISTOGRAM_BACKEND, kernel_now(call->gate->kernel) - call->started);
	if (call->shed)
		gate_call_refuse(call, REASON_BACKEND_SHED, RUN_NO, call->shed_final);
	else if (result == CURLE_OK && call->answered)
		answer_end(call);
	else
		exchange_failed(call, result);
}

static bool
line_add(gate_call_t *call, const char *name, const char *value)
{
	size_t size = strlen(name) + strlen(value) + 4;
	char small[512];
	char *line = size <= sizeof(small) ? small : malloc(size);
	struct curl_slist *longer;

	if (line == NULL)
		return false;
	/* libcurl sends a field without value only if it ends in a semicolon. */
	if (value[0] == '\0')
		snprintf(line, size, "%s;", name);
	else
		snprintf(line, size, "%s: %s", name, value);
	longer = curl_slist_append(call->lines, line);
	if (line != small)
		free(line);
	if (longer == NULL)
		return false;
	call->lines = longer;
	return true;
}

static bool
line_suppress(gate_call_t *call, const char *line)
{
	struct curl_slist *longer = curl_slist_append(call->lines, line);

	if (longer == NULL)
		return false;
	call->lines = longer;
	return true;
}

static bool
lines_add_own(gate_call_t *call, uint64_t now)
{
	const call_head_t *head = call->head;
	uint64_t left_ms = (head->deadline - MIN_OF(now, head->deadline)) / NS_PER_MS;
	char number[24];

	snprintf(number, sizeof(number), "%" PRIu64, left_ms);
	if (!line_add(call, HEADER_DEADLINE, number))
		return false;
	snprintf(number, sizeof(number), "%u", head->depth + 1);
	if (!line_add(call, HEADER_DEPTH, number) ||
	    !line_add(call, HEADER_REQUEST_ID, head->request_id))
		return false;
	if (head->trace[0] != '\0' && !line_add(call, HEADER_TRACE, head->trace))
		return false;
	return head->ticket[0] == '\0' || line_add(call, HEADER_TICKET, head->ticket);
}

static bool
lines_build(gate_call_t *call)
{
	const headers_t *headers = &call->head->headers;

	for (size_t i = 0; i < headers->count; i++) {
		const header_t *item = &headers->items[i];

		if (strcasecmp(item->name, "Content-Length") == 0 ||
		    strcasecmp(item->name, "Expect") == 0 ||
		    header_is_hop_by_hop(item->name))
			continue;
		if (!line_add(call, item->name, item->value))
			return false;
	}
	if (headers_find(headers, "Accept") == NULL && !line_suppress(call, "Accept:"))
		return false;
	return line_suppress(call, "Expect:") &&
	       lines_add_own(call, kernel_now(call->gate->kernel));
}

/* Options that are the same for every call. */
static CURL *
handle_create(void)
{
	CURL *easy = curl_easy_init();

	if (easy == NULL)
		return NULL;
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(easy, CURLOPT_HTTP_TRANSFER_DECODING, 1L);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, prerequest_callback);
	curl_easy_setopt(easy, CURLOPT_READFUNCTION, body_callback);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, header_callback);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, answer_callback);
	return easy;
}

static CURL *
handle_take(gate_t *gate)
{
	return gate->handle_count > 0 ? gate->handles[--gate->handle_count]
				      : handle_create();
}

static void
handle_give(gate_t *gate, CURL *easy)
{
	if (gate->handle_count < GATE_HANDLES_MAX)
		gate->handles[gate->handle_count++] = easy;
	else
		curl_easy_cleanup(easy);
}

static bool
exchange_set_options(gate_call_t *call)
{
	const call_head_t *head = call->head;
	CURL *easy = call->easy;
	char address[ADDRESS_TEXT_BYTES];
	char url[ADDRESS_TEXT_BYTES + 8];

	address_format(&call->gate->backend.address, address);
	snprintf(url, sizeof(url), "http://%s/", address);
	/* A kept handle starts over from a GET without body. */
	curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
	if (strcmp(head->method, "HEAD") == 0)
		curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
	if (head->has_body) {
		curl_easy_setopt(easy, CURLOPT_UPLOAD, 1L);
		curl_easy_setopt(
		    easy, CURLOPT_INFILESIZE_LARGE, (curl_off_t)head->body_length);
	}
	curl_easy_setopt(easy, CURLOPT_PRIVATE, call);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, call);
	curl_easy_setopt(easy, CURLOPT_READDATA, call);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, call);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, call);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call->lines);
	return curl_easy_setopt(easy, CURLOPT_URL, url) == CURLE_OK &&
	       curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, head->path) == CURLE_OK &&
	       curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, head->method) == CURLE_OK;
}

int
gate_exchange_start(gate_call_t *call)
{
	gate_t *gate = call->gate;

	call->easy = handle_take(gate);
	if (call->easy == NULL)
		return MASTICPITCH_E_NOMEM;
	if (lines_build(call) && exchange_set_options(call) &&
	    curl_loop_add(gate->curl, call->easy) == MASTICPITCH_OK)
		return MASTICPITCH_OK;
	curl_slist_free_all(call->lines);
	call->lines = NULL;
	handle_give(gate, call->easy);
	call->easy = NULL;
	return MASTICPITCH_E_NOMEM;
}

void
gate_exchange_stop(gate_call_t *call)
{
	if (call->easy == NULL)
		return;
	/* Harmless for a handle that has ended and was removed already. */
	curl_loop_remove(call->gate->curl, call->easy);
	handle_give(call->gate, call->easy);
	call->easy = NULL;
	curl_slist_free_all(call->lines);
	call->lines = NULL;
}

void
gate_exchange_resume_body(gate_call_t *call)
{
	if (!call->body_paused)
		return;
	call->body_paused = false;
	curl_loop_unpause(call->gate->curl, call->easy);
}

void
gate_exchange_resume_answer(gate_call_t *call)
{
	if (!call->answer_paused || call->answer_credit < STREAM_DATA_MAX)
		return;
	call->answer_paused = false;
	curl_loop_unpause(call->gate->curl, call->easy);
}

int
gate_exchange_open(gate_t *gate)
{
	return curl_loop_create(
	    kernel_loop(gate->kernel), done_callback, gate, &gate->curl);
}

void
gate_exchange_close(gate_t *gate)
{
	while (gate->handle_count > 0)
		curl_easy_cleanup(gate->handles[--gate->handle_count]);
	curl_loop_destroy(gate->curl);
	gate->curl = NULL;
}
