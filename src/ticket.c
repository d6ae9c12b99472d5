#include "ticket.h"

#include <stdlib.h>

struct ticket_table {
	size_t count;
};

void
ticket_issue(ticket_t *ticket, const char *service, uint64_t node, uint64_t boot,
    rng_t *rng, uint64_t now)
{
	*ticket = (ticket_t){.node = node, .boot = boot};
	ticket->expiry = now + TICKET_LIFE_MS * NS_PER_MS;
}

void
ticket_format(const ticket_t *ticket, const mesh_key_t *key, char text[TICKET_BYTES])
{
	text[0] = '\0';
}

int
ticket_parse(const char *text, const mesh_key_t *keys, size_t key_count, ticket_t *ticket)
{
	return MASTICPITCH_E_INVALID;
}

int
ticket_table_create(uint64_t node, uint64_t boot, size_t capacity, ticket_table_t **table)
{
	*table = calloc(1, sizeof(**table));
	return *table != NULL ? MASTICPITCH_OK : MASTICPITCH_E_NOMEM;
}

void
ticket_table_destroy(ticket_table_t *table)
{
	free(table);
}

ticket_verdict_t
ticket_arrive(ticket_table_t *table, const char *text, const mesh_key_t *keys,
    size_t key_count, const char *service, uint64_t fingerprint, uint64_t now,
    ticket_t *ticket)
{
	return (ticket_verdict_t){
	    .action = TICKET_REFUSE, .reason = REASON_TICKET_REQUIRED, .run = RUN_NO};
}

void
ticket_finish(ticket_table_t *table, const ticket_t *ticket, int status,
    const char *content_type, const void *body, size_t size)
{
}

void
ticket_finish_unknown(ticket_table_t *table, const ticket_t *ticket)
{
}

void
ticket_withdraw(ticket_table_t *table, const ticket_t *ticket)
{
}

size_t
ticket_table_count(const ticket_table_t *table)
{
	return table->count;
}
