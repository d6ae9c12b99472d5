/*
 * Fuzzes the decoder of configuration messages from other nodes: no input may crash
 * it, and an accepted message must survive a round trip through pack and unpack.
 */
#include "fuzz_change.h"
#include "record.h"
#include "spread_message.h"

#include <string.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
message_check(const uint8_t *data, size_t size)
{
	spread_message_t *message = NULL, *reread = NULL;
	chunk_t *packed;

	if (spread_message_unpack(data, size, &message) != MASTICPITCH_OK)
		return;
	INVARIANT(message->kind < SPREAD_KIND_COUNT);
	INVARIANT(message->version <= RECORD_VERSION_MAX);
	INVARIANT(message->piece_count <= SPREAD_ITEMS_MAX);
	INVARIANT(message->wanted_count <= SPREAD_ITEMS_MAX);
	for (size_t i = 0; i < message->piece_count; i++)
		INVARIANT(message->pieces[i].offset + message->pieces[i].content->size <=
			  message->pieces[i].total);
	packed = spread_message_pack(message);
	INVARIANT(packed != NULL);
	INVARIANT(
	    spread_message_unpack(packed->data, packed->size, &reread) == MASTICPITCH_OK);
	INVARIANT(reread->kind == message->kind && reread->version == message->version);
	INVARIANT(reread->piece_count == message->piece_count);
	INVARIANT(reread->wanted_count == message->wanted_count);
	chunk_release(packed);
	spread_message_release(reread);
	spread_message_release(message);
}

/* A message of each kind with a head, a piece and two digests. */
static chunk_t *
valid_message_pack(spread_kind_t kind)
{
	static const digest_t wanted[2] = {{{1}}, {{2}}};
	spread_message_t *message = spread_message_create(kind, 7);
	spread_piece_t piece = {.offset = 3, .total = 20};
	chunk_t *packed;

	INVARIANT(message != NULL);
	piece.content = chunk_copy("content", 7);
	message->head = chunk_copy("head", 4);
	message->floor = 6;
	message->version_max = 8;
	message->confirmed = true;
	message->confirmed_age_ms = 100;
	message->token = 9;
	INVARIANT(piece.content != NULL && message->head != NULL);
	INVARIANT(spread_message_piece_add(message, &piece) == MASTICPITCH_OK);
	INVARIANT(spread_message_wanted_set(message, wanted, 2) == MASTICPITCH_OK);
	packed = spread_message_pack(message);
	INVARIANT(packed != NULL);
	chunk_release(piece.content);
	spread_message_release(message);
	return packed;
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	chunk_t *mutated = valid_message_pack(
	    (spread_kind_t)(size > 0 ? data[0] % SPREAD_KIND_COUNT : 0));

	message_check(data, size);
	if (size > 0)
		fuzz_change(mutated->data, mutated->size, data + 1, size - 1);
	message_check(mutated->data, mutated->size);
	chunk_release(mutated);
	return 0;
}
