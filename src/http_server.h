/*
 * Small buffered HTTP server with libmicrohttpd in a libev loop, for
 * announcements, readiness and the operators' interface. Not thread-safe.
 */
#ifndef MASTICPITCH_HTTP_SERVER_H
#define MASTICPITCH_HTTP_SERVER_H

#include "headers.h"
#include "os.h"

#include <ev.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct http_server http_server_t;
/* One request and its answer. */
typedef struct http_exchange http_exchange_t;

typedef struct http_server_request {
	const char *method;
	const char *path;	   /* without query */
	const char *authorization; /* header value or NULL */
	const char *body;	   /* NUL-terminated */
	size_t body_size;
	http_exchange_t *exchange;
} http_server_request_t;

/*
 * Handles one complete request. It calls http_exchange_reply() once, immediately
 * or later. If the client has disconnected, the answer is dropped silently.
 */
typedef void (*http_handler_t)(void *state, const http_server_request_t *request);

typedef struct http_server_options {
	address_t address;
	size_t body_max_bytes; /* larger requests get 413 */
	unsigned connections_max;
	http_handler_t handler;
	void *state;
} http_server_options_t;

/* Errors: MASTICPITCH_E_ADDRESS_IN_USE, MASTICPITCH_E_IO, MASTICPITCH_E_NOMEM. */
int http_server_create(
    struct ev_loop *loop, const http_server_options_t *options, http_server_t **server);
/* Drops open exchanges without an answer; NULL is allowed. */
void http_server_destroy(http_server_t *server);

/*
 * The decoded value of a query argument, or NULL. To be called only from the
 * handler.
 */
const char *http_exchange_argument(const http_exchange_t *exchange, const char *name);
/* Sends the answer; copies the body. content_type NULL: application/json. */
void http_exchange_reply(http_exchange_t *exchange, int status, const char *content_type,
    const char *body, size_t body_size);

#ifdef __cplusplus
}
#endif

#endif
