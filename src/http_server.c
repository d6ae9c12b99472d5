#include "http_server.h"

#include "buffer.h"
#include "list.h"
#include "mhd_loop.h"
#include "util.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Connections that are idle or whose request is incomplete are closed after this time. */
#define CONNECTION_TIMEOUT_S 30
/*
 * A body that is too large is read and discarded up to this size beyond the limit,
 * so that the client can send it and read the 413; above it the connection is closed.
 */
#define DISCARD_MAX_BYTES (1024 * 1024)

struct http_server {
	http_server_options_t options;
	struct MHD_Daemon *daemon;
	mhd_loop_t mhd;
	list_t exchanges;
	bool stopping;
};

struct http_exchange {
	list_t link;
	http_server_t *server;
	struct MHD_Connection *connection;
	buffer_t body;
	size_t received;
	bool handled;
	bool suspended;
	int status;
	struct MHD_Response *response;
};

static struct MHD_Response *
response_create(const char *content_type, const char *body, size_t size)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
	    size, (void *)(uintptr_t)body, MHD_RESPMEM_MUST_COPY);

	if (response != NULL)
		MHD_add_response_header(
		    response, MHD_HTTP_HEADER_CONTENT_TYPE, content_type);
	return response;
}

static enum MHD_Result
exchange_answer(http_exchange_t *exchange)
{
	return MHD_queue_response(
	    exchange->connection, (unsigned)exchange->status, exchange->response);
}

static void
exchange_handle(http_exchange_t *exchange, const char *method, const char *path)
{
	http_server_t *server = exchange->server;
	http_server_request_t request = {
	    .method = method,
	    .path = path,
	    .authorization = MHD_lookup_connection_value(
		exchange->connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_AUTHORIZATION),
	    .body = buffer_text(&exchange->body),
	    .body_size = exchange->body.size,
	    .exchange = exchange,
	};
	static const char too_large[] = "{\"error\":\"body too large\"}";

	exchange->handled = true;
	if (exchange->received > exchange->body.size || request.body == NULL) {
		http_exchange_reply(exchange, MHD_HTTP_CONTENT_TOO_LARGE, NULL, too_large,
		    sizeof(too_large) - 1);
		return;
	}
	server->options.handler(server->options.state, &request);
}

static http_exchange_t *
exchange_create(http_server_t *server, struct MHD_Connection *connection)
{
	http_exchange_t *exchange = calloc(1, sizeof(*exchange));

	if (exchange == NULL)
		return NULL;
	exchange->server = server;
	exchange->connection = connection;
	buffer_init(&exchange->body, server->options.body_max_bytes);
	list_append(&server->exchanges, &exchange->link);
	return exchange;
}

static enum MHD_Result
access_callback(void *state, struct MHD_Connection *connection, const char *path,
    const char *method, const char *version, const char *data, size_t *size,
    void **request_state)
{
	http_server_t *server = state;
	http_exchange_t *exchange = *request_state;

	if (server->stopping)
		return MHD_NO;
	if (exchange == NULL) {
		*request_state = exchange_create(server, connection);
		return *request_state == NULL ? MHD_NO : MHD_YES;
	}
	if (*size > 0) {
		exchange->received += *size;
		if (exchange->received >
		    server->options.body_max_bytes + DISCARD_MAX_BYTES)
			return MHD_NO;
		(void)buffer_append(&exchange->body, data, *size);
		*size = 0;
		return MHD_YES;
	}
	if (!exchange->handled)
		exchange_handle(exchange, method, path);
	if (exchange->response != NULL)
		return exchange_answer(exchange);
	if (!exchange->suspended) {
		exchange->suspended = true;
		MHD_suspend_connection(connection);
	}
	return MHD_YES;
}

static void
completed_callback(void *state, struct MHD_Connection *connection, void **request_state,
    enum MHD_RequestTerminationCode code)
{
	http_exchange_t *exchange = *request_state;

	if (exchange == NULL)
		return;
	list_remove(&exchange->link);
	if (exchange->response != NULL)
		MHD_destroy_response(exchange->response);
	buffer_free(&exchange->body);
	free(exchange);
	*request_state = NULL;
}

int
http_server_create(
    struct ev_loop *loop, const http_server_options_t *options, http_server_t **result)
{
	http_server_t *server = calloc(1, sizeof(*server));
	int fd = -1;
	int error;

	if (server == NULL)
		return MASTICPITCH_E_NOMEM;
	server->options = *options;
	list_init(&server->exchanges);
	error = os_socket_listen(&options->address, &fd);
	if (error != MASTICPITCH_OK)
		goto fail;
	server->daemon = MHD_start_daemon(MHD_LOOP_FLAGS, 0, NULL, NULL, access_callback,
	    server, MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_CONNECTION_LIMIT,
	    options->connections_max, MHD_OPTION_CONNECTION_TIMEOUT,
	    (unsigned)CONNECTION_TIMEOUT_S, MHD_OPTION_NOTIFY_COMPLETED,
	    completed_callback, server, MHD_OPTION_END);
	if (server->daemon == NULL) {
		close(fd);
		error = MASTICPITCH_E_IO;
		goto fail;
	}
	mhd_loop_start(&server->mhd, loop, server->daemon);
	*result = server;
	return MASTICPITCH_OK;
fail:
	free(server);
	return error;
}

void
http_server_destroy(http_server_t *server)
{
	if (server == NULL)
		return;
	server->stopping = true;
	/* libmicrohttpd refuses to stop while a connection is suspended. */
	LIST_FOREACH (node, &server->exchanges) {
		http_exchange_t *exchange = LIST_ENTRY(node, http_exchange_t, link);

		if (exchange->suspended)
			mhd_loop_resume(&server->mhd, exchange->connection);
	}
	mhd_loop_stop(&server->mhd);
	MHD_stop_daemon(server->daemon);
	free(server);
}

const char *
http_exchange_argument(const http_exchange_t *exchange, const char *name)
{
	return MHD_lookup_connection_value(
	    exchange->connection, MHD_GET_ARGUMENT_KIND, name);
}

void
http_exchange_reply(http_exchange_t *exchange, int status, const char *content_type,
    const char *body, size_t body_size)
{
	if (exchange->response != NULL)
		return;
	exchange->status = status;
	exchange->response = response_create(
	    content_type == NULL ? "application/json" : content_type, body, body_size);
	if (exchange->suspended) {
		exchange->suspended = false;
		mhd_loop_resume(&exchange->server->mhd, exchange->connection);
	}
}
