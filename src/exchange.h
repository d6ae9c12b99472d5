/*
 * One request of a caller and its answer, between the caller's connection and the
 * owner that produces the answer. Not thread-safe.
 */
#ifndef MASTICPITCH_EXCHANGE_H
#define MASTICPITCH_EXCHANGE_H

#include "defer.h"
#include "http_message.h"
#include "list.h"

#include <stdint.h>
#include <sys/types.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Results of reading an answer, besides a number of bytes. */
#define EXCHANGE_READ_END (-1) /* the body is complete */
#define EXCHANGE_READ_CUT (-2) /* the rest is lost; the caller must notice */

/* Output that is collected before it is written to the socket, bytes. */
#define EXCHANGE_OUTPUT_TARGET_BYTES (64 * 1024)
/* Largest output of a connection: the target, one answer head and one piece. */
#define EXCHANGE_OUTPUT_MAX_BYTES (192 * 1024)

/* How a caller finds the end of an answer's body. */
typedef enum exchange_framing {
	EXCHANGE_NO_BODY,
	EXCHANGE_LENGTH,
	EXCHANGE_CHUNKED,
	EXCHANGE_UNTIL_CLOSE
} exchange_framing_t;

typedef enum exchange_state {
	EXCHANGE_HELD,	    /* waits until the requests before it are answered */
	EXCHANGE_STARTED,   /* given to the owner */
	EXCHANGE_ANSWERING, /* the owner has given the answer's head */
	EXCHANGE_ANSWERED   /* the complete answer is in the output */
} exchange_state_t;

/* Runs a connection soon, since one of its exchanges can advance. */
typedef struct exchange_wakeup {
	list_t link; /* of the queue, while a run is pending */
	list_t *queue;
	defer_t *defer; /* runs the queue */
} exchange_wakeup_t;

typedef struct exchange {
	list_t link;		/* of its connection, in the order of the requests */
	const list_t *siblings; /* all of that connection */
	exchange_wakeup_t *wakeup;
	void *owner; /* the owner's request */
	http_head_t head;
	exchange_state_t state;
	uint64_t received_at; /* when the head was read */
	bool read;	      /* the request was read completely */
	bool close;	      /* the connection ends after the answer */
	bool cut;	      /* the answer ended incomplete */
	bool aborted;
	size_t ahead_bytes; /* counted for an answer that waits for earlier ones */

	buffer_t answer_head; /* not in the output yet */
	exchange_framing_t framing;
	uint64_t body_left;  /* EXCHANGE_LENGTH */
	uint64_t end_offset; /* of the answer in the connection's output */
} exchange_t;

/* How an exchange ended. */
typedef enum exchange_end {
	EXCHANGE_END_DELIVERED, /* the answer was written completely */
	EXCHANGE_END_CUT,
	EXCHANGE_END_LEFT,   /* the caller or the server closed the connection before */
	EXCHANGE_END_DROPPED /* an answer before it ended the connection */
} exchange_end_t;

/* An answer without its body. */
typedef struct exchange_answer {
	int status;
	const headers_t *headers; /* fields on framing and connection are left out */
	int64_t body_length;	  /* bytes; -1: not known */
	bool close;		  /* the connection ends after it */
} exchange_answer_t;

/* Reads at most size bytes of the body; 0: none yet; or EXCHANGE_READ_*. */
typedef ssize_t (*exchange_read_t)(void *owner, char *target, size_t size);

void exchange_wake(exchange_wakeup_t *wakeup);
/* Takes over the content of the head and appends to the exchanges; NULL: no memory. */
exchange_t *exchange_create(
    exchange_wakeup_t *wakeup, list_t *exchanges, http_head_t *head, uint64_t now);
/* NULL is allowed. */
void exchange_destroy(exchange_t *exchange);
/*
 * Gives the answer's head; the body is then read from the owner. To be called once.
 * Errors: MASTICPITCH_E_LIMIT, MASTICPITCH_E_NOMEM.
 */
int exchange_answer_start(exchange_t *exchange, const exchange_answer_t *answer);
/* The owner has more of the answer, or room for more of the request's body. */
void exchange_resume(exchange_t *exchange);
/* Ends the connection without an answer, or without the rest of it. */
void exchange_abort(exchange_t *exchange);
/* True if requests that were sent behind this one wait for their answers. */
bool exchange_has_followers(const exchange_t *exchange);
/*
 * Appends what there is of the answer to the output, up to its target size. True if
 * the answer has ended; it is cut if not complete.
 */
bool exchange_output(exchange_t *exchange, exchange_read_t read, buffer_t *output);

#ifdef __cplusplus
}
#endif

#endif
