/*
 * Buffered HTTP calls with libcurl multi in a libev loop. Not thread-safe.
 */
#ifndef MASTICPITCH_HTTP_CLIENT_H
#define MASTICPITCH_HTTP_CLIENT_H

#include "headers.h"

#include <ev.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct http_client http_client_t;
typedef struct http_call http_call_t;

typedef struct http_answer {
	int error; /* 0, or MASTICPITCH_E_UNREACHABLE, _TIMEOUT, _LIMIT, _UNKNOWN */
	bool sent; /* the request may have reached the server */
	int status;
	const headers_t *headers; /* valid during the callback */
	const char *body;	  /* NUL-terminated; valid during the callback */
	size_t body_size;
} http_answer_t;

typedef void (*http_callback_t)(void *state, const http_answer_t *answer);

typedef struct http_request {
	const char *method; /* GET, PUT, POST, DELETE */
	const char *url;
	const char *authorization; /* header value or NULL */
	const char *body;	   /* NULL: none */
	size_t body_size;
	bool new_connection; /* a kept one may have gone silent without notice */
	uint64_t deadline;   /* monotonic, ns */
	size_t answer_max_bytes;
} http_request_t;

/*
 * max_connections: limit of open connections, to all hosts together.
 * Errors: MASTICPITCH_E_NOMEM.
 */
int http_client_create(
    struct ev_loop *loop, unsigned max_connections, http_client_t **client);
/* Cancels every call without running its callback; NULL is allowed. */
void http_client_destroy(http_client_t *client);

/*
 * Starts a call; copies the data that the request points to. The callback runs
 * once, later, from the loop, unless the call is cancelled. A request is never
 * sent twice. call may be NULL. Errors: MASTICPITCH_E_NOMEM, MASTICPITCH_E_INVALID.
 */
int http_client_call(http_client_t *client, const http_request_t *request,
    http_callback_t callback, void *state, http_call_t **call);
/* Cancels a call without running its callback. */
void http_call_cancel(http_call_t *call);

#ifdef __cplusplus
}
#endif

#endif
