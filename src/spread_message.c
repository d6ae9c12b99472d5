#include "spread_message.h"

#include "frame.h"
#include "masticpitch.pb-c.h"
#include "record.h"

#include <lz4.h>
#include <stdlib.h>
#include <string.h>

spread_message_t *
spread_message_create(spread_kind_t kind, uint64_t version)
{
	spread_message_t *message = calloc(1, sizeof(*message));

	if (message == NULL)
		return NULL;
	message->references = 1;
	message->kind = kind;
	message->version = version;
	return message;
}

spread_message_t *
spread_message_hold(spread_message_t *message)
{
	message->references++;
	return message;
}

void
spread_message_release(spread_message_t *message)
{
	if (message == NULL)
		return;
	INVARIANT(message->references > 0);
	if (--message->references > 0)
		return;
	for (size_t i = 0; i < message->piece_count; i++)
		chunk_release(message->pieces[i].content);
	chunk_release(message->head);
	free(message->pieces);
	free(message->wanted);
	free(message);
}

int
spread_message_piece_add(spread_message_t *message, const spread_piece_t *piece)
{
	spread_piece_t *grown;

	if (message->piece_count == SPREAD_ITEMS_MAX)
		return MASTICPITCH_E_LIMIT;
	grown = realloc(message->pieces, (message->piece_count + 1) * sizeof(*grown));
	if (grown == NULL)
		return MASTICPITCH_E_NOMEM;
	message->pieces = grown;
	grown[message->piece_count] = *piece;
	chunk_hold(piece->content);
	message->piece_count++;
	return MASTICPITCH_OK;
}

int
spread_message_wanted_set(spread_message_t *message, const digest_t *wanted, size_t count)
{
	if (count > SPREAD_ITEMS_MAX)
		return MASTICPITCH_E_LIMIT;
	free(message->wanted);
	message->wanted_count = 0;
	message->wanted = calloc(MAX_OF(count, 1), sizeof(digest_t));
	if (message->wanted == NULL)
		return MASTICPITCH_E_NOMEM;
	if (count > 0)
		memcpy(message->wanted, wanted, count * sizeof(digest_t));
	message->wanted_count = count;
	return MASTICPITCH_OK;
}

static ProtobufCBinaryData
binary(const void *data, size_t size)
{
	return (ProtobufCBinaryData){.len = size, .data = (uint8_t *)(uintptr_t)data};
}

/* Memory that a ConfigMessage points to while it is packed. */
typedef struct pack_space {
	Masticpitch__Part parts[SPREAD_ITEMS_MAX];
	Masticpitch__Part *part_list[SPREAD_ITEMS_MAX];
	ProtobufCBinaryData wanted[SPREAD_ITEMS_MAX];
} pack_space_t;

static void
pack_items(const spread_message_t *message, pack_space_t *space,
    Masticpitch__ConfigMessage *packed)
{
	for (size_t i = 0; i < message->piece_count; i++) {
		const spread_piece_t *piece = &message->pieces[i];
		Masticpitch__Part *part = &space->parts[i];

		masticpitch__part__init(part);
		part->digest = binary(piece->digest.bytes, DIGEST_BYTES);
		part->content = binary(piece->content->data, piece->content->size);
		part->offset = piece->offset;
		part->total = piece->total;
		space->part_list[i] = part;
	}
	for (size_t i = 0; i < message->wanted_count; i++)
		space->wanted[i] = binary(message->wanted[i].bytes, DIGEST_BYTES);
	packed->n_parts = message->piece_count;
	packed->parts = space->part_list;
	packed->n_wanted = message->wanted_count;
	packed->wanted = space->wanted;
}

static chunk_t *
config_message_pack(const Masticpitch__ConfigMessage *packed)
{
	chunk_t *chunk =
	    chunk_create(masticpitch__config_message__get_packed_size(packed));

	if (chunk != NULL)
		masticpitch__config_message__pack(packed, chunk->data);
	return chunk;
}

/* The message that carries a packed one as an LZ4 block; NULL: no memory. */
static chunk_t *
message_compress(const spread_message_t *message, const chunk_t *plain)
{
	Masticpitch__ConfigMessage packed = MASTICPITCH__CONFIG_MESSAGE__INIT;
	int bound = LZ4_compressBound((int)plain->size);
	char *block = malloc((size_t)bound);
	chunk_t *chunk = NULL;
	int size;

	if (block == NULL)
		return NULL;
	size = LZ4_compress_default(
	    (const char *)plain->data, block, (int)plain->size, bound);
	if (size > 0) {
		packed.kind = (Masticpitch__ConfigMessage__Kind)message->kind;
		packed.version = message->version;
		packed.lz4 = binary(block, (size_t)size);
		packed.plain_size = (uint32_t)plain->size;
		chunk = config_message_pack(&packed);
	}
	free(block);
	return chunk;
}

chunk_t *
spread_message_pack(const spread_message_t *message)
{
	Masticpitch__ConfigMessage packed = MASTICPITCH__CONFIG_MESSAGE__INIT;
	pack_space_t *space = malloc(sizeof(*space));
	chunk_t *chunk, *compressed;

	if (space == NULL)
		return NULL;
	packed.kind = (Masticpitch__ConfigMessage__Kind)message->kind;
	packed.version = message->version;
	if (message->kind == SPREAD_ANNOUNCE)
		packed.digest = binary(message->digest.bytes, DIGEST_BYTES);
	if (message->head != NULL)
		packed.head = binary(message->head->data, message->head->size);
	packed.floor = message->floor;
	packed.version_max = message->version_max;
	packed.confirmed = message->confirmed;
	packed.confirmed_age_ms = message->confirmed_age_ms;
	packed.token = message->token;
	packed.accepts_lz4 = message->accepts_lz4;
	pack_items(message, space, &packed);
	chunk = config_message_pack(&packed);
	free(space);
	if (chunk == NULL || !message->compress || chunk->size > SPREAD_PLAIN_MAX_BYTES)
		return chunk;
	compressed = message_compress(message, chunk);
	chunk_release(chunk);
	return compressed;
}

static int
piece_unpack(spread_message_t *message, const Masticpitch__Part *part)
{
	spread_piece_t piece = {.offset = part->offset, .total = part->total};
	int error;

	if (part->digest.len != DIGEST_BYTES || part->total > RECORD_PART_MAX_BYTES ||
	    part->offset > part->total || part->content.len > part->total - part->offset)
		return MASTICPITCH_E_INVALID;
	memcpy(piece.digest.bytes, part->digest.data, DIGEST_BYTES);
	piece.content = chunk_copy(part->content.data, part->content.len);
	if (piece.content == NULL)
		return MASTICPITCH_E_NOMEM;
	error = spread_message_piece_add(message, &piece);
	chunk_release(piece.content);
	return error;
}

static int
items_unpack(spread_message_t *message, const Masticpitch__ConfigMessage *packed)
{
	digest_t wanted[SPREAD_ITEMS_MAX];

	for (size_t i = 0; i < packed->n_wanted; i++) {
		if (packed->wanted[i].len != DIGEST_BYTES)
			return MASTICPITCH_E_INVALID;
		memcpy(wanted[i].bytes, packed->wanted[i].data, DIGEST_BYTES);
	}
	for (size_t i = 0; i < packed->n_parts; i++) {
		int error = piece_unpack(message, packed->parts[i]);

		if (error != MASTICPITCH_OK)
			return error;
	}
	return packed->n_wanted == 0
		   ? MASTICPITCH_OK
		   : spread_message_wanted_set(message, wanted, packed->n_wanted);
}

static int
message_read(spread_message_t *message, const Masticpitch__ConfigMessage *packed)
{
	if (packed->n_wanted > SPREAD_ITEMS_MAX || packed->n_parts > SPREAD_ITEMS_MAX ||
	    packed->head.len > RECORD_HEAD_MAX_BYTES ||
	    packed->version > RECORD_VERSION_MAX || packed->floor > RECORD_VERSION_MAX ||
	    packed->version_max > RECORD_VERSION_MAX)
		return MASTICPITCH_E_INVALID;
	if (message->kind == SPREAD_ANNOUNCE) {
		if (packed->digest.len != DIGEST_BYTES)
			return MASTICPITCH_E_INVALID;
		memcpy(message->digest.bytes, packed->digest.data, DIGEST_BYTES);
	}
	if (message->kind == SPREAD_PUSH) {
		message->head = chunk_copy(packed->head.data, packed->head.len);
		if (message->head == NULL)
			return MASTICPITCH_E_NOMEM;
	}
	message->floor = packed->floor;
	message->version_max = packed->version_max;
	message->confirmed = packed->confirmed;
	message->confirmed_age_ms = packed->confirmed_age_ms;
	message->token = packed->token;
	message->accepts_lz4 = packed->accepts_lz4;
	return items_unpack(message, packed);
}

static int message_unpack(
    const void *data, size_t size, bool compressed, spread_message_t **result);

/* The message in an LZ4 block, which must not carry another block. */
static int
message_decompress(const Masticpitch__ConfigMessage *packed, spread_message_t **result)
{
	chunk_t *plain;
	int error = MASTICPITCH_E_INVALID;

	if (packed->kind != MASTICPITCH__CONFIG_MESSAGE__KIND__PARTS ||
	    packed->plain_size == 0 || packed->plain_size > SPREAD_PLAIN_MAX_BYTES)
		return MASTICPITCH_E_INVALID;
	plain = chunk_create(packed->plain_size);
	if (plain == NULL)
		return MASTICPITCH_E_NOMEM;
	if (LZ4_decompress_safe((const char *)packed->lz4.data, (char *)plain->data,
		(int)packed->lz4.len, (int)plain->size) == (int)plain->size)
		error = message_unpack(plain->data, plain->size, true, result);
	chunk_release(plain);
	return error;
}

/* compressed: data comes from an LZ4 block. */
static int
message_unpack(const void *data, size_t size, bool compressed, spread_message_t **result)
{
	Masticpitch__ConfigMessage *packed;
	spread_message_t *message = NULL;
	frame_allocator_t allocator;
	int error = MASTICPITCH_E_INVALID;

	/* Bounds memory: many empty parts take far more than the bytes received. */
	frame_allocator_init(&allocator, size);
	packed = masticpitch__config_message__unpack(&allocator.base, size, data);
	if (packed == NULL)
		return MASTICPITCH_E_INVALID;
	if ((unsigned)packed->kind >= SPREAD_KIND_COUNT)
		goto out;
	if (packed->lz4.len > 0) {
		if (!compressed)
			error = message_decompress(packed, result);
		goto out;
	}
	message = spread_message_create((spread_kind_t)packed->kind, packed->version);
	error = message != NULL ? message_read(message, packed) : MASTICPITCH_E_NOMEM;
	if (error != MASTICPITCH_OK)
		goto out;
	*result = message;
	message = NULL;
out:
	spread_message_release(message);
	masticpitch__config_message__free_unpacked(packed, &allocator.base);
	return error;
}

int
spread_message_unpack(const void *data, size_t size, spread_message_t **result)
{
	return message_unpack(data, size, false, result);
}
