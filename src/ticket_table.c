#include "ticket.h"

#include <stdlib.h>
#include <string.h>

#define ROW_NONE UINT32_MAX

typedef enum row_state { ROW_RUNNING, ROW_FINISHED, ROW_UNKNOWN } row_state_t;

typedef struct row {
	list_t link;   /* in rows_by_expiry or free_rows */
	uint32_t next; /* in its bucket */
	row_state_t state;
	uint64_t nonce[2];
	uint64_t expires_at;
	uint64_t fingerprint;
	int status;
	bool body_kept; /* body holds the complete body */
	char content_type[TICKET_CONTENT_TYPE_BYTES];
	uint8_t *body;
	size_t size;
} row_t;

struct ticket_table {
	uint64_t node;
	uint64_t boot;
	size_t capacity;
	size_t count;
	size_t body_bytes;
	list_t rows_by_expiry;
	list_t free_rows;
	row_t *rows;
	uint32_t *buckets; /* capacity elements */
};

int
ticket_table_create(
    uint64_t node, uint64_t boot, size_t capacity, ticket_table_t **result)
{
	ticket_table_t *table;

	if (capacity == 0 || capacity > TICKET_TABLE_MAX)
		return MASTICPITCH_E_LIMIT;
	table = calloc(1, sizeof(*table));
	if (table == NULL)
		return MASTICPITCH_E_NOMEM;
	table->rows = calloc(capacity, sizeof(*table->rows));
	table->buckets = malloc(capacity * sizeof(*table->buckets));
	if (table->rows == NULL || table->buckets == NULL)
		goto fail;
	table->node = node;
	table->boot = boot;
	table->capacity = capacity;
	list_init(&table->rows_by_expiry);
	list_init(&table->free_rows);
	for (size_t i = 0; i < capacity; i++) {
		table->buckets[i] = ROW_NONE;
		list_append(&table->free_rows, &table->rows[i].link);
	}
	*result = table;
	return MASTICPITCH_OK;
fail:
	free(table->buckets);
	free(table->rows);
	free(table);
	return MASTICPITCH_E_NOMEM;
}

void
ticket_table_destroy(ticket_table_t *table)
{
	if (table == NULL)
		return;
	for (size_t i = 0; i < table->capacity; i++)
		free(table->rows[i].body);
	free(table->buckets);
	free(table->rows);
	free(table);
}

/* Link to the row with this nonce; *link is ROW_NONE if there is none. */
static uint32_t *
row_link(ticket_table_t *table, const uint64_t nonce[2])
{
	uint32_t *link =
	    &table->buckets[hash_bytes(nonce, 2 * sizeof(*nonce), 0) % table->capacity];

	while (*link != ROW_NONE &&
	       memcmp(table->rows[*link].nonce, nonce, 2 * sizeof(*nonce)) != 0)
		link = &table->rows[*link].next;
	return link;
}

static void
row_free(ticket_table_t *table, row_t *row)
{
	*row_link(table, row->nonce) = row->next;
	list_remove(&row->link);
	list_append(&table->free_rows, &row->link);
	free(row->body);
	row->body = NULL;
	table->body_bytes -= row->size;
	row->size = 0;
	table->count--;
}

/*
 * Frees rows whose ticket has expired; such a ticket is refused without its row. The
 * row of a call that still runs is kept, so that its end can be recorded.
 */
static void
table_expire(ticket_table_t *table, uint64_t now)
{
	LIST_FOREACH_SAFE (node, &table->rows_by_expiry) {
		row_t *row = LIST_ENTRY(node, row_t, link);

		if (row->expires_at > now)
			return;
		if (row->state != ROW_RUNNING)
			row_free(table, row);
	}
}

static row_t *
row_add(ticket_table_t *table, const ticket_t *ticket, uint64_t fingerprint)
{
	list_t *node = list_take_first(&table->free_rows);
	list_t *position = table->rows_by_expiry.prev;
	row_t *row;

	if (node == NULL)
		return NULL;
	row = LIST_ENTRY(node, row_t, link);
	*row = (row_t){.state = ROW_RUNNING,
	    .nonce = {ticket->nonce[0], ticket->nonce[1]},
	    .expires_at = ticket->expires_at,
	    .fingerprint = fingerprint,
	    .next = ROW_NONE};
	*row_link(table, row->nonce) = (uint32_t)(row - table->rows);
	while (position != &table->rows_by_expiry &&
	       LIST_ENTRY(position, row_t, link)->expires_at > row->expires_at)
		position = position->prev;
	list_insert_before(position->next, &row->link);
	table->count++;
	return row;
}

static row_t *
row_find(ticket_table_t *table, const ticket_t *ticket)
{
	uint32_t index = *row_link(table, ticket->nonce);

	return index == ROW_NONE ? NULL : &table->rows[index];
}

static ticket_decision_t
refuse(reason_t reason, run_state_t run)
{
	return (ticket_decision_t){.action = TICKET_REFUSE, .reason = reason, .run = run};
}

/* Decides on a repeated use of a ticket. */
static ticket_decision_t
row_decide(const row_t *row, uint64_t fingerprint)
{
	ticket_decision_t decision = {.action = TICKET_REPLAY, .reason = REASON_NONE};

	/* A different request, which was not run; it must not get this outcome. */
	if (row->fingerprint != fingerprint)
		return refuse(REASON_TICKET_MISMATCH, RUN_NO);
	switch (row->state) {
	case ROW_RUNNING:
		return refuse(REASON_TICKET_RUNNING, RUN_UNKNOWN);
	case ROW_FINISHED:
		if (!row->body_kept)
			return refuse(REASON_TICKET_NOT_KEPT, RUN_YES);
		decision.run = RUN_YES;
		decision.outcome.status = row->status;
		decision.outcome.body = row->body;
		decision.outcome.size = row->size;
		memcpy(decision.outcome.content_type, row->content_type,
		    sizeof(row->content_type));
		return decision;
	case ROW_UNKNOWN:
	default:
		return refuse(REASON_TICKET_UNKNOWN, RUN_UNKNOWN);
	}
}

ticket_decision_t
ticket_redeem(ticket_table_t *table, const char *text, const mesh_key_t *keys,
    size_t key_count, const char *service, uint64_t fingerprint, uint64_t now,
    ticket_t *ticket)
{
	const row_t *row;

	if (ticket_parse(text, keys, key_count, ticket) != MASTICPITCH_OK)
		return refuse(REASON_TICKET_REQUIRED, RUN_NO);
	if (ticket->node != table->node || ticket->boot != table->boot)
		return refuse(REASON_TICKET_LOST, RUN_UNKNOWN);
	if (strcmp(ticket->service, service) != 0)
		return refuse(REASON_TICKET_MISMATCH, RUN_NO);
	table_expire(table, now);
	if (ticket->expires_at <= now)
		return refuse(REASON_TICKET_EXPIRED, RUN_UNKNOWN);
	row = row_find(table, ticket);
	if (row != NULL)
		return row_decide(row, fingerprint);
	if (row_add(table, ticket, fingerprint) == NULL)
		return refuse(REASON_TICKET_TABLE_FULL, RUN_NO);
	return (ticket_decision_t){.action = TICKET_RUN, .reason = REASON_NONE};
}

/* Keeps a copy of the body if it fits both limits and memory suffices, else nothing. */
static void
row_keep_body(ticket_table_t *table, row_t *row, const void *body, size_t size)
{
	if (size > TICKET_BODY_MAX_BYTES ||
	    table->body_bytes + size > TICKET_BODIES_MAX_BYTES)
		return;
	if (size > 0) {
		row->body = malloc(size);
		if (row->body == NULL)
			return;
		memcpy(row->body, body, size);
	}
	row->size = size;
	row->body_kept = true;
	table->body_bytes += size;
}

void
ticket_finish(ticket_table_t *table, const ticket_t *ticket, int status,
    const char *content_type, const void *body, size_t size)
{
	row_t *row = row_find(table, ticket);

	if (row == NULL || row->state != ROW_RUNNING)
		return;
	row->state = ROW_FINISHED;
	row->status = status;
	if (content_type != NULL)
		string_copy(row->content_type, sizeof(row->content_type), content_type);
	row_keep_body(table, row, body, size);
}

void
ticket_finish_unknown(ticket_table_t *table, const ticket_t *ticket)
{
	row_t *row = row_find(table, ticket);

	if (row != NULL && row->state == ROW_RUNNING)
		row->state = ROW_UNKNOWN;
}

void
ticket_release(ticket_table_t *table, const ticket_t *ticket)
{
	row_t *row = row_find(table, ticket);

	if (row != NULL && row->state == ROW_RUNNING)
		row_free(table, row);
}

size_t
ticket_table_count(const ticket_table_t *table)
{
	return table->count;
}
