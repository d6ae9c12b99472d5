/*
 * Heads from the platform or a peer: no input may crash the parser, and a head
 * that it accepts must be the same after formatting and parsing again.
 */
#include "fuzz_change.h"
#include "record.h"

#include <stdlib.h>
#include <string.h>

#define DIGEST "\"0123456789abcdef0123456789abcdef\""

/* A valid head; without it random inputs seldom get past the JSON parser. */
static const char valid[] =
    "{\"format\":1,\"version\":9,\"in_force\":\"a\",\"presets\":{\"a\":{\"parts\":"
    "[" DIGEST "]},\"b\":{\"parts\":[" DIGEST "," DIGEST
    "]}},\"history\":[{\"version\":8,"
    "\"operation\":" DIGEST ",\"operator\":\"o\",\"action\":\"use a\","
    "\"at\":1},{\"version\":9,\"operation\":" DIGEST
    ",\"operator\":\"o\",\"action\":\"edit b\",\"at\":2}]}";

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
head_check(const uint8_t *data, size_t size)
{
	char message[MASTICPITCH_MESSAGE_MAX];
	record_head_t *head = NULL;
	record_head_t *again = NULL;
	buffer_t text;

	if (record_head_parse((const char *)data, size, &head, message,
		sizeof(message)) != MASTICPITCH_OK)
		return;
	buffer_init(&text, RECORD_HEAD_MAX_BYTES);
	INVARIANT(record_head_format(head, &text) == MASTICPITCH_OK);
	INVARIANT(record_head_parse((const char *)text.data, text.size, &again, message,
		      sizeof(message)) == MASTICPITCH_OK);
	INVARIANT(memcmp(head, again, sizeof(*head)) == 0);
	buffer_free(&text);
	free(head);
	free(again);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	uint8_t changed[sizeof(valid)];

	head_check(data, size);
	memcpy(changed, valid, sizeof(valid));
	fuzz_change(changed, sizeof(valid) - 1, data, size);
	head_check(changed, sizeof(valid) - 1);
	return 0;
}
