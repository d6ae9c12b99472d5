/*
 * HTTP/1.1 server for callers, on libev. Idempotent requests that a caller sends
 * without waiting for the answers before them run at the same time; the answers are
 * returned in the order of the requests. Not thread-safe.
 */
#ifndef MASTICPITCH_CALLER_SERVER_H
#define MASTICPITCH_CALLER_SERVER_H

#include "exchange.h"
#include "os.h"

#include <ev.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Requests of one connection that are read and not answered yet. */
#define CALLER_PIPELINE_MAX 16
/* Expected answers of a connection that may wait for earlier ones, bytes. */
#define CALLER_AHEAD_MAX_BYTES (512 * 1024)
/* Bytes read from a connection at once. */
#define CALLER_READ_BYTES (16 * 1024)
/*
 * Time for which a connection that has ended is still read, so that its last answer is
 * not lost to a reset for unread bytes, ms.
 */
#define CALLER_LINGER_MS 1000
/* Interval at which timeouts are checked, ms. */
#define CALLER_TICK_MS 250

/* What the owner of the server does for its callers. */
typedef struct caller_owner {
	void *state;
	/*
	 * Bytes that the answer to a request may occupy while it waits for earlier
	 * answers; 0: the request must not run ahead of them, since it is not
	 * idempotent or its route is not known.
	 */
	size_t (*ahead_bytes)(void *state, const http_head_t *head);
	/* Begins a request; the result becomes exchange->owner, NULL: no memory. */
	void *(*begin)(void *state, exchange_t *exchange);
	/* Consumes bytes of the request's body; returns how many. */
	size_t (*body)(void *owner, const char *data, size_t size);
	/*
	 * Follows the bytes of the body that arrived together, unless the body ends with
	 * them: however small their pieces are, the owner can pass them on as one.
	 */
	void (*body_flush)(void *owner);
	void (*body_end)(void *owner);
	exchange_read_t read;
	/* The last call for a request. */
	void (*end)(void *owner, exchange_end_t end);
} caller_owner_t;

typedef struct caller_counters {
	uint64_t ahead;		/* requests started before an answer ahead of them */
	uint64_t held;		/* requests that waited for the answers ahead of them */
	uint64_t dropped;	/* requests behind an answer that ended the connection */
	uint64_t pipeline_full; /* times that CALLER_PIPELINE_MAX was reached */
	uint64_t timeouts;	/* connections closed by a timeout */
	uint64_t limited;	/* times that connections_max was reached */
} caller_counters_t;

typedef struct caller_options {
	int listen_fd; /* owned by the server */
	unsigned connections_max;
	uint64_t idle_ns; /* a connection without progress is closed */
} caller_options_t;

typedef struct caller_server caller_server_t;

/* On error the caller keeps listen_fd. Errors: MASTICPITCH_E_IO, MASTICPITCH_E_NOMEM. */
int caller_server_create(struct ev_loop *loop, const caller_options_t *options,
    const caller_owner_t *owner, caller_server_t **server);
/* Ends all requests as not delivered. NULL is allowed. */
void caller_server_destroy(caller_server_t *server);
/*
 * Timeouts of a connection without a request, and of a head that is not complete, ns;
 * 0: that of the options.
 */
void caller_server_timeouts_set(
    caller_server_t *server, uint64_t idle_ns, uint64_t head_ns);
/*
 * Closes the listen socket after accepting the connections in its backlog. A second
 * call changes nothing.
 */
void caller_server_stop_listening(caller_server_t *server);
const caller_counters_t *caller_server_counters(const caller_server_t *server);
/* True if closing all connections now loses neither a request nor a part of an answer. */
bool caller_server_is_settled(const caller_server_t *server);
/* Number of open connections. */
unsigned caller_server_connections(const caller_server_t *server);

#ifdef __cplusplus
}
#endif

#endif
