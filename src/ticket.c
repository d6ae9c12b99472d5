#include "ticket.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Text of a ticket: "mp1.", key id (2 hex digits), node, boot, expires_at (16
 * each), nonce (32), ".", service, ".", digest over all before the last "." (32).
 */
#define TICKET_PREFIX "mp1."
#define DIGITS_KEY 2
#define DIGITS_U64 16
#define DIGITS_DIGEST ((size_t)2 * DIGEST_BYTES)
#define OFFSET_KEY (sizeof(TICKET_PREFIX) - 1)
#define OFFSET_NODE (OFFSET_KEY + DIGITS_KEY)
#define OFFSET_BOOT (OFFSET_NODE + DIGITS_U64)
#define OFFSET_EXPIRY (OFFSET_BOOT + DIGITS_U64)
#define OFFSET_NONCE (OFFSET_EXPIRY + DIGITS_U64)
#define OFFSET_SERVICE (OFFSET_NONCE + (size_t)2 * DIGITS_U64 + 1)

void
ticket_issue(ticket_t *ticket, const char *service, uint64_t node, uint64_t boot,
    rng_t *rng, uint64_t now)
{
	*ticket = (ticket_t){.node = node,
	    .boot = boot,
	    .expires_at = now + TICKET_LIFETIME_MS * NS_PER_MS,
	    .nonce = {rng_next(rng), rng_next(rng)}};
	string_copy(ticket->service, sizeof(ticket->service), service);
}

static void
ticket_digest(const char *text, size_t size, const mesh_key_t *key, uint8_t *digest)
{
	crypto_generichash(digest, DIGEST_BYTES, (const uint8_t *)text, size, key->secret,
	    sizeof(key->secret));
}

void
ticket_format(const ticket_t *ticket, const mesh_key_t *key, char text[TICKET_BYTES])
{
	uint8_t digest[DIGEST_BYTES];
	int length = snprintf(text, TICKET_BYTES,
	    TICKET_PREFIX "%02x%016llx%016llx%016llx%016llx%016llx.%s", key->id,
	    (unsigned long long)ticket->node, (unsigned long long)ticket->boot,
	    (unsigned long long)ticket->expires_at, (unsigned long long)ticket->nonce[0],
	    (unsigned long long)ticket->nonce[1], ticket->service);

	INVARIANT(length > 0 && (size_t)length + 1 + DIGITS_DIGEST < TICKET_BYTES);
	ticket_digest(text, (size_t)length, key, digest);
	text[length] = '.';
	hex_encode(digest, sizeof(digest), text + length + 1);
}

/* Parses count lower-case hex digits; false if any other character occurs. */
static bool
digits_parse(const char *text, size_t count, uint64_t *value)
{
	*value = 0;
	for (size_t i = 0; i < count; i++) {
		char c = text[i];

		if (c >= '0' && c <= '9')
			*value = *value << 4 | (uint64_t)(c - '0');
		else if (c >= 'a' && c <= 'f')
			*value = *value << 4 | (uint64_t)(c - 'a' + 10);
		else
			return false;
	}
	return true;
}

static int
ticket_verify(const char *text, size_t signed_size, uint64_t key_id,
    const mesh_key_t *keys, size_t key_count)
{
	uint8_t given[DIGEST_BYTES], computed[DIGEST_BYTES];

	if (hex_decode(text + signed_size + 1, given, sizeof(given)) != MASTICPITCH_OK)
		return MASTICPITCH_E_INVALID;
	for (size_t i = 0; i < key_count; i++) {
		if (keys[i].id != key_id)
			continue;
		ticket_digest(text, signed_size, &keys[i], computed);
		return sodium_memcmp(given, computed, sizeof(given)) == 0
			   ? MASTICPITCH_OK
			   : MASTICPITCH_E_DENIED;
	}
	return MASTICPITCH_E_DENIED;
}

int
ticket_parse(const char *text, const mesh_key_t *keys, size_t key_count, ticket_t *ticket)
{
	size_t length = strnlen(text, TICKET_BYTES);
	size_t name_length;
	uint64_t key_id;

	memset(ticket, 0, sizeof(*ticket));
	if (length >= TICKET_BYTES || length < OFFSET_SERVICE + 2 + DIGITS_DIGEST)
		return MASTICPITCH_E_INVALID;
	name_length = length - OFFSET_SERVICE - 1 - DIGITS_DIGEST;
	if (memcmp(text, TICKET_PREFIX, OFFSET_KEY) != 0 || name_length >= NAME_BYTES ||
	    text[OFFSET_SERVICE - 1] != '.' || text[OFFSET_SERVICE + name_length] != '.')
		return MASTICPITCH_E_INVALID;
	if (!digits_parse(text + OFFSET_KEY, DIGITS_KEY, &key_id) ||
	    !digits_parse(text + OFFSET_NODE, DIGITS_U64, &ticket->node) ||
	    !digits_parse(text + OFFSET_BOOT, DIGITS_U64, &ticket->boot) ||
	    !digits_parse(text + OFFSET_EXPIRY, DIGITS_U64, &ticket->expires_at) ||
	    !digits_parse(text + OFFSET_NONCE, DIGITS_U64, &ticket->nonce[0]) ||
	    !digits_parse(
		text + OFFSET_NONCE + DIGITS_U64, DIGITS_U64, &ticket->nonce[1]))
		return MASTICPITCH_E_INVALID;
	memcpy(ticket->service, text + OFFSET_SERVICE, name_length);
	return ticket_verify(text, OFFSET_SERVICE + name_length, key_id, keys, key_count);
}
