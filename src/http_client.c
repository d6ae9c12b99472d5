#include "http_client.h"

#include "buffer.h"
#include "curl_loop.h"
#include "list.h"
#include "os.h"
#include "util.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define AUTHORIZATION_LINE_MAX_BYTES 512
/* Heads and trailers of one answer, interim ones included; libcurl keeps their fields. */
#define ANSWER_LINES_MAX_BYTES (64 * 1024)

struct http_client {
	struct ev_loop *loop;
	curl_loop_t *curl;
	list_t calls;
};

struct http_call {
	list_t link;
	http_client_t *client;
	CURL *easy;
	struct curl_slist *header_lines;
	ev_timer deadline;
	headers_t headers;
	size_t line_bytes; /* of heads and trailers */
	buffer_t body;
	bool sent;
	bool over_limit;
	bool head_complete; /* of the answer */
	http_callback_t callback;
	void *state;
};

static void
call_free(http_call_t *call)
{
	ev_timer_stop(call->client->loop, &call->deadline);
	list_remove(&call->link);
	curl_easy_cleanup(call->easy);
	curl_slist_free_all(call->header_lines);
	headers_free(&call->headers);
	buffer_free(&call->body);
	free(call);
}

/* The easy handle must have been removed from the multi handle already. */
static void
call_finish(http_call_t *call, int error)
{
	long status = 0;
	http_answer_t answer = {.error = error, .sent = call->sent};

	if (error == MASTICPITCH_OK) {
		curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
		answer.status = (int)status;
	}
	answer.headers = &call->headers;
	answer.body = buffer_text(&call->body);
	answer.body_size = call->body.size;
	if (answer.body == NULL) {
		answer.body = "";
		answer.body_size = 0;
		answer.error = MASTICPITCH_E_LIMIT;
	}
	list_remove(&call->link);
	call->callback(call->state, &answer);
	call_free(call);
}

static int
call_error(const http_call_t *call, CURLcode result)
{
	/* libcurl accepts an answer that ends in its head. */
	if (result == CURLE_OK && call->head_complete)
		return MASTICPITCH_OK;
	if (call->over_limit)
		return MASTICPITCH_E_LIMIT;
	if (result == CURLE_OPERATION_TIMEDOUT)
		return MASTICPITCH_E_TIMEOUT;
	return call->sent ? MASTICPITCH_E_UNKNOWN : MASTICPITCH_E_UNREACHABLE;
}

static void
done_callback(void *state, CURL *easy, CURLcode result)
{
	http_call_t *call = NULL;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&call);
	call_finish(call, call_error(call, result));
}

/* A timer is needed: libcurl has no time-out while a transfer waits for a connection. */
static void
deadline_callback(struct ev_loop *loop, ev_timer *watcher, int events)
{
	http_call_t *call = watcher->data;

	curl_loop_remove(call->client->curl, call->easy);
	call_finish(call, MASTICPITCH_E_TIMEOUT);
}

/*
 * Runs right before libcurl writes the request. A second run for one transfer is a
 * resend by libcurl, which is aborted: a request must not be sent twice.
 */
static int
prerequest_callback(
    void *state, char *remote_ip, char *local_ip, int remote_port, int local_port)
{
	http_call_t *call = state;

	if (call->sent)
		return CURL_PREREQFUNC_ABORT;
	call->sent = true;
	return CURL_PREREQFUNC_OK;
}

static size_t
body_callback(char *data, size_t size, size_t count, void *state)
{
	http_call_t *call = state;

	if (buffer_append(&call->body, data, size * count) != MASTICPITCH_OK) {
		call->over_limit = true;
		return 0;
	}
	return size * count;
}

/*
 * Drops header fields that do not fit; callers need only a few of them. libcurl aborts
 * the transfer if the returned size differs from the given one.
 */
static size_t
header_callback(char *data, size_t size, size_t count, void *state)
{
	http_call_t *call = state;
	size_t length = size * count;
	char line[1024];
	char *value;

	call->line_bytes += length;
	if (call->line_bytes > ANSWER_LINES_MAX_BYTES) {
		call->over_limit = true;
		return 0;
	}
	if (length > 5 && memcmp(data, "HTTP/", 5) == 0) {
		headers_free(&call->headers);
		call->head_complete = false;
	}
	call->head_complete |= length <= 2;
	if (length >= sizeof(line))
		return length;
	memcpy(line, data, length);
	line[length] = '\0';
	line[strcspn(line, "\r\n")] = '\0';
	value = strchr(line, ':');
	if (value == NULL)
		return length;
	*value++ = '\0';
	value += strspn(value, " \t");
	headers_add(&call->headers, line, value);
	return length;
}

static bool
header_lines_add(struct curl_slist **header_lines, const char *line)
{
	struct curl_slist *longer = curl_slist_append(*header_lines, line);

	if (longer == NULL)
		return false;
	*header_lines = longer;
	return true;
}

static int
call_set_headers(http_call_t *call, const http_request_t *request)
{
	char line[AUTHORIZATION_LINE_MAX_BYTES];
	int length;

	if (!header_lines_add(&call->header_lines, "Expect:") ||
	    !header_lines_add(&call->header_lines, "Content-Type: application/json"))
		return MASTICPITCH_E_NOMEM;
	if (request->authorization == NULL)
		return MASTICPITCH_OK;
	length =
	    snprintf(line, sizeof(line), "Authorization: %s", request->authorization);
	if (length < 0 || (size_t)length >= sizeof(line) || strpbrk(line, "\r\n") != NULL)
		return MASTICPITCH_E_INVALID;
	return header_lines_add(&call->header_lines, line) ? MASTICPITCH_OK
							   : MASTICPITCH_E_NOMEM;
}

static int
call_set_options(http_call_t *call, const http_request_t *request)
{
	CURL *easy = call->easy;
	bool has_body = request->body != NULL || strcmp(request->method, "PUT") == 0 ||
			strcmp(request->method, "POST") == 0;

	curl_easy_setopt(easy, CURLOPT_PRIVATE, call);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, request->new_connection ? 1L : 0L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call->header_lines);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, prerequest_callback);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, call);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, body_callback);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, call);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, header_callback);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, call);
	if (curl_easy_setopt(easy, CURLOPT_URL, request->url) != CURLE_OK ||
	    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request->method) != CURLE_OK)
		return MASTICPITCH_E_NOMEM;
	if (!has_body)
		return MASTICPITCH_OK;
	curl_easy_setopt(
	    easy, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)request->body_size);
	if (curl_easy_setopt(easy, CURLOPT_COPYPOSTFIELDS,
		request->body == NULL ? "" : request->body) != CURLE_OK)
		return MASTICPITCH_E_NOMEM;
	return MASTICPITCH_OK;
}

int
http_client_create(struct ev_loop *loop, unsigned max_connections, http_client_t **result)
{
	http_client_t *client = calloc(1, sizeof(*client));
	int error;

	if (client == NULL)
		return MASTICPITCH_E_NOMEM;
	client->loop = loop;
	list_init(&client->calls);
	error = curl_loop_create(loop, done_callback, client, &client->curl);
	if (error != MASTICPITCH_OK) {
		free(client);
		return error;
	}
	curl_loop_set_connections(client->curl, max_connections);
	*result = client;
	return MASTICPITCH_OK;
}

void
http_client_destroy(http_client_t *client)
{
	if (client == NULL)
		return;
	LIST_FOREACH_SAFE (node, &client->calls)
		http_call_cancel(LIST_ENTRY(node, http_call_t, link));
	curl_loop_destroy(client->curl);
	free(client);
}

int
http_client_call(http_client_t *client, const http_request_t *request,
    http_callback_t callback, void *state, http_call_t **result)
{
	http_call_t *call = calloc(1, sizeof(*call));
	uint64_t now = os_clock_monotonic();
	uint64_t remaining_ns = request->deadline > now ? request->deadline - now : 0;
	int error = MASTICPITCH_E_NOMEM;

	if (call == NULL)
		return MASTICPITCH_E_NOMEM;
	list_init(&call->link);
	call->client = client;
	call->callback = callback;
	call->state = state;
	headers_init(&call->headers);
	buffer_init(&call->body, request->answer_max_bytes);
	ev_timer_init(
	    &call->deadline, deadline_callback, (double)remaining_ns / 1e9, 0.0);
	call->deadline.data = call;
	call->easy = curl_easy_init();
	if (call->easy == NULL)
		goto fail;
	error = call_set_headers(call, request);
	if (error == MASTICPITCH_OK)
		error = call_set_options(call, request);
	if (error == MASTICPITCH_OK)
		error = curl_loop_add(client->curl, call->easy);
	if (error != MASTICPITCH_OK)
		goto fail;
	ev_timer_start(client->loop, &call->deadline);
	list_append(&client->calls, &call->link);
	if (result != NULL)
		*result = call;
	return MASTICPITCH_OK;
fail:
	call_free(call);
	return error;
}

void
http_call_cancel(http_call_t *call)
{
	curl_loop_remove(call->client->curl, call->easy);
	call_free(call);
}
