/*
 * One connection of a caller: its requests in order, the input that is not parsed yet
 * and the output that is not written yet. Not thread-safe.
 */
#ifndef MASTICPITCH_CALLER_CONNECTION_H
#define MASTICPITCH_CALLER_CONNECTION_H

#include "caller_server.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef enum caller_phase {
	CALLER_OPEN,
	CALLER_CLOSING, /* the last answer is being written */
	CALLER_LINGER,	/* everything is written; input is discarded */
	CALLER_CLOSED	/* to be destroyed */
} caller_phase_t;

/* What the connections of a server share; must outlive them. */
typedef struct caller_shared {
	struct ev_loop *loop;
	caller_owner_t owner;
	caller_counters_t counters;
	list_t woken;  /* connections that have something to do */
	defer_t defer; /* runs them */
} caller_shared_t;

typedef struct caller_connection {
	list_t link;
	int fd;
	caller_shared_t *shared;
	exchange_wakeup_t wakeup;
	caller_phase_t phase;
	bool reset; /* close by a reset, so that an answer without a length is not
		     * taken for complete */
	list_t exchanges;
	size_t exchange_count;
	exchange_t *reading; /* whose body is being read; NULL: none */
	http_message_parser_t parser;
	buffer_t input;	 /* not parsed yet */
	buffer_t body;	 /* of the request that is read, not consumed yet */
	bool body_given; /* bytes were given to the owner since the last flush */
	buffer_t output;
	uint64_t output_total; /* bytes ever appended to the output */
	size_t ahead_bytes;    /* expected of the exchanges that run ahead */
	bool input_ended;      /* no further request is read */
	ev_io read_watcher;
	ev_io write_watcher;
	uint64_t progress_at;  /* last time bytes were read or written */
	uint64_t linger_until; /* in CALLER_LINGER */
	uint64_t head_at;      /* arrival of the head that is being read; 0: none */
} caller_connection_t;

/* Takes ownership of the socket, also on error (NULL: no memory). */
caller_connection_t *caller_connection_create(caller_shared_t *shared, int fd);
/* Ends all requests as not delivered and closes the socket. */
void caller_connection_destroy(caller_connection_t *connection);
/* Reads, parses, answers and writes as far as possible. */
void caller_connection_run(caller_connection_t *connection, uint64_t now);
/* The socket is readable. */
void caller_connection_read(caller_connection_t *connection, uint64_t now);
/* The caller has closed its side; its requests end. */
void caller_connection_left(caller_connection_t *connection);
/* True if the connection is open and has no request. */
bool caller_connection_is_idle(const caller_connection_t *connection);
/*
 * True if closing the connection now loses neither a request, read or not, nor a part of
 * an answer.
 */
bool caller_connection_is_settled(const caller_connection_t *connection);
/* True while input is not read because earlier requests have to be answered first. */
bool caller_connection_is_blocked(const caller_connection_t *connection);

#ifdef __cplusplus
}
#endif

#endif
