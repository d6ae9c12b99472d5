// Fuzzes the ticket parser, which takes text from callers: it must not read out of
// bounds or accept a text that was not signed with a key of the mesh. Inputs are
// parsed as text, and applied as changes (position, byte) to a signed ticket.
#include "ticket.h"

#include <string.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
text_check(const char *text, const mesh_key_t *key)
{
	char again[TICKET_BYTES];
	ticket_t ticket;

	if (ticket_parse(text, key, 1, &ticket) != MASTICPITCH_OK)
		return;
	/* Hex digits of the digest may be in either case. */
	ticket_format(&ticket, key, again);
	INVARIANT(strcasecmp(text, again) == 0);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	mesh_key_t key = {.id = 1, .secret = {1, 2, 3}};
	char text[2 * TICKET_BYTES], issued[TICKET_BYTES];
	ticket_t ticket;
	rng_t rng;
	size_t length;

	rng_init(&rng, 1);
	ticket_issue(&ticket, "pamigay", 1, 2, &rng, 3);
	ticket_format(&ticket, &key, issued);
	length = size < sizeof(text) ? size : sizeof(text) - 1;
	memcpy(text, data, length);
	text[length] = '\0';
	text_check(text, &key);
	length = strlen(issued);
	memcpy(text, issued, length + 1);
	for (size_t i = 0; i + 1 < size && i < 16; i += 2)
		text[data[i] % length] = (char)data[i + 1];
	text_check(text, &key);
	return 0;
}
