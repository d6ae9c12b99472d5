/*
 * Idempotency tickets: a ticket is bound to one start of one gate, which runs
 * it at most once and keeps its outcome until it expires. The gate issues its
 * own tickets (an entry forwards a request for one), so their expiry is on
 * that gate's monotonic clock and no clocks are compared. Any node of the mesh
 * can parse a ticket to find its gate. Times are monotonic, ns. One thread.
 */
#ifndef MASTICPITCH_TICKET_H
#define MASTICPITCH_TICKET_H

#include "message.h"
#include "reason.h"
#include "settings.h"
#include "util.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Life of a ticket, ms. */
#define TICKET_LIFETIME_MS (15 * 60 * 1000)
/* Largest answer body that is kept for a repeat, bytes. */
#define TICKET_BODY_MAX_BYTES 4096
/* All kept bodies of a gate, bytes; beyond it only the status is kept. */
#define TICKET_BODIES_MAX_BYTES (16 * 1024 * 1024)
/* Tickets in a gate's table. */
#define TICKET_TABLE_MAX 32768
#define TICKET_CONTENT_TYPE_BYTES 64

typedef struct ticket {
	char service[NAME_BYTES];
	uint64_t node;	 /* of the gate */
	uint64_t boot;	 /* of the gate's start */
	uint64_t expiry; /* on the gate's clock */
	uint64_t nonce[2];
} ticket_t;

/* Draws the nonce and sets the expiry TICKET_LIFETIME_MS from now. */
void ticket_issue(ticket_t *ticket, const char *service, uint64_t node, uint64_t boot,
    rng_t *rng, uint64_t now);
/* Writes the ticket as text with a digest under the key. */
void ticket_format(
    const ticket_t *ticket, const mesh_key_t *key, char text[TICKET_BYTES]);
/*
 * Reads a ticket and checks its digest under the key that it names. Errors:
 * MASTICPITCH_E_INVALID (no ticket), MASTICPITCH_E_DENIED (no such key or
 * wrong digest).
 */
int ticket_parse(
    const char *text, const mesh_key_t *keys, size_t key_count, ticket_t *ticket);

typedef struct ticket_table ticket_table_t;

typedef enum ticket_action {
	TICKET_RUN,    /* run it; report the end with one of the functions below */
	TICKET_REPLAY, /* answer with the outcome */
	TICKET_REFUSE
} ticket_action_t;

/* Outcome of a finished request, valid until the next call on the table. */
typedef struct ticket_outcome {
	int status;
	char content_type[TICKET_CONTENT_TYPE_BYTES]; /* empty: none */
	const uint8_t *body;
	size_t size;
} ticket_outcome_t;

typedef struct ticket_decision {
	ticket_action_t action;
	reason_t reason;	  /* REFUSE */
	run_state_t run;	  /* REFUSE */
	ticket_outcome_t outcome; /* REPLAY */
} ticket_decision_t;

/*
 * The table of one start of a gate. capacity: tickets, at most
 * TICKET_TABLE_MAX. Errors: MASTICPITCH_E_NOMEM, MASTICPITCH_E_LIMIT.
 */
int ticket_table_create(
    uint64_t node, uint64_t boot, size_t capacity, ticket_table_t **table);
/* NULL is allowed. */
void ticket_table_destroy(ticket_table_t *table);

/*
 * Decides on a request that carries the ticket text. fingerprint (see
 * quarantine.h) ties the ticket to the first request it is used for. With
 * TICKET_RUN the ticket is running from now on.
 * Refusals: TICKET_REQUIRED (no ticket, forged), TICKET_MISMATCH (used for
 * another request or service), TICKET_TABLE_FULL: not run. TICKET_LOST,
 * TICKET_EXPIRED, TICKET_RUNNING, TICKET_UNKNOWN: unknown. TICKET_NOT_KEPT
 * (run, but the answer was too large to keep): yes.
 */
ticket_decision_t ticket_redeem(ticket_table_t *table, const char *text,
    const mesh_key_t *keys, size_t key_count, const char *service, uint64_t fingerprint,
    uint64_t now, ticket_t *ticket);
/* The whole answer has come; content_type may be NULL. */
void ticket_finish(ticket_table_t *table, const ticket_t *ticket, int status,
    const char *content_type, const void *body, size_t size);
/* The exchange broke or the answer was cut. */
void ticket_finish_unknown(ticket_table_t *table, const ticket_t *ticket);
/* Certainly not run (refused or shed after TICKET_RUN): may be used again. */
void ticket_release(ticket_table_t *table, const ticket_t *ticket);
size_t ticket_table_count(const ticket_table_t *table);

#ifdef __cplusplus
}
#endif

#endif
