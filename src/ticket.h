/*
 * Idempotency tickets. A ticket is bound to one boot of one gate, which runs its
 * request at most once and keeps the outcome until the ticket expires. The gate
 * issues its own tickets (an entry forwards requests for one), so they expire by
 * that gate's monotonic clock and clocks of different hosts are not compared. Any
 * node of the mesh can parse a ticket to find its gate. Times are monotonic, ns.
 * Not thread-safe.
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

#define TICKET_LIFETIME_MS (15 * 60 * 1000)
/* Largest answer body that is stored for replay. */
#define TICKET_BODY_MAX_BYTES 4096
/* All stored bodies of a gate; beyond it the outcome is stored without its body. */
#define TICKET_BODIES_MAX_BYTES (16 * 1024 * 1024)
/* Maximum number of tickets in a gate's table. */
#define TICKET_TABLE_MAX 32768
#define TICKET_CONTENT_TYPE_BYTES 64

typedef struct ticket {
	char service[NAME_BYTES];
	uint64_t node;	     /* of the gate */
	uint64_t boot;	     /* boot id of the gate */
	uint64_t expires_at; /* by the gate's monotonic clock */
	uint64_t nonce[2];
} ticket_t;

/* Draws a random nonce; the ticket expires TICKET_LIFETIME_MS after now. */
void ticket_issue(ticket_t *ticket, const char *service, uint64_t node, uint64_t boot,
    rng_t *rng, uint64_t now);
/* Writes the ticket as text, signed with a digest under the key. */
void ticket_format(
    const ticket_t *ticket, const mesh_key_t *key, char text[TICKET_BYTES]);
/*
 * Parses a ticket and verifies its digest with the key whose id it contains.
 * Errors: MASTICPITCH_E_INVALID (not a ticket), MASTICPITCH_E_DENIED (unknown key
 * or wrong digest).
 */
int ticket_parse(
    const char *text, const mesh_key_t *keys, size_t key_count, ticket_t *ticket);

typedef struct ticket_table ticket_table_t;

typedef enum ticket_action {
	TICKET_RUN,    /* run it; record its end with one of the functions below */
	TICKET_REPLAY, /* answer with the stored outcome */
	TICKET_REFUSE
} ticket_action_t;

/* Outcome of a finished request; body is valid until the next call on the table. */
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
 * Creates the table for one boot of a gate. capacity: tickets, from 1 to
 * TICKET_TABLE_MAX. Errors: MASTICPITCH_E_NOMEM, MASTICPITCH_E_LIMIT.
 */
int ticket_table_create(
    uint64_t node, uint64_t boot, size_t capacity, ticket_table_t **table);
/* NULL is allowed. */
void ticket_table_destroy(ticket_table_t *table);

/*
 * Decides on a request that carries the ticket text; writes the parsed ticket.
 * fingerprint (see quarantine.h) binds the ticket to the first request it is used
 * for. After TICKET_RUN the ticket is marked as running.
 * Reasons of refusals, by the run state that they report:
 * - RUN_NO: TICKET_REQUIRED (not a ticket, or forged), TICKET_MISMATCH (used for
 *   another request or service), TICKET_TABLE_FULL.
 * - RUN_UNKNOWN: TICKET_LOST (issued by another gate or boot), TICKET_EXPIRED,
 *   TICKET_RUNNING, TICKET_UNKNOWN.
 * - RUN_YES: TICKET_NOT_KEPT (run, but the answer body was not stored).
 */
ticket_decision_t ticket_redeem(ticket_table_t *table, const char *text,
    const mesh_key_t *keys, size_t key_count, const char *service, uint64_t fingerprint,
    uint64_t now, ticket_t *ticket);
/* Records the complete answer; content_type may be NULL. body is copied. */
void ticket_finish(ticket_table_t *table, const ticket_t *ticket, int status,
    const char *content_type, const void *body, size_t size);
/* Records an unknown outcome: the exchange failed or the answer was truncated. */
void ticket_finish_unknown(ticket_table_t *table, const ticket_t *ticket);
/* Makes the ticket usable again: not run (refused or shed after TICKET_RUN). */
void ticket_release(ticket_table_t *table, const ticket_t *ticket);
size_t ticket_table_count(const ticket_table_t *table);

#ifdef __cplusplus
}
#endif

#endif
