/*
 * Fetching and serving parts. A part is kept only if the candidate's head names the
 * digest of its bytes, so late, duplicate and unrelated parts do no harm.
 */
#include "spread_internal.h"

#include <string.h>

void
spread_assemblies_free(spread_t *spread)
{
	for (size_t i = 0; i < SPREAD_ASSEMBLIES; i++) {
		spread->assemblies[i].node = 0;
		buffer_free(&spread->assemblies[i].content);
	}
}

static bool
is_being_read(const spread_reader_t *reader, const digest_t *digest)
{
	for (size_t i = 0; i < reader->pending_part_count; i++) {
		if (digest_equal(&reader->pending_parts[i], digest))
			return true;
	}
	return false;
}

static void
platform_request(spread_t *spread, const digest_t *missing, size_t count)
{
	spread_reader_t *reader = &spread->reader;

	for (size_t i = 0; i < count && reader->pending_part_count < SPREAD_PART_READS;
	     i++) {
		spread_action_t *action;

		if (is_being_read(reader, &missing[i]))
			continue;
		action = spread_action_add(spread, SPREAD_CALL);
		if (action == NULL)
			return;
		action->call = SPREAD_CALL_GET_PART;
		action->digest = missing[i];
		reader->pending_parts[reader->pending_part_count++] = missing[i];
	}
}

/* Time for which that many bytes occupy this host's link, ns; 0: not known. */
static uint64_t
link_transfer(const spread_t *spread, size_t bytes)
{
	double rate = spread->link_mbps * SPREAD_LINK_SHARE / 8e3; /* bytes per ns */

	return spread->link_mbps == 0 ? 0 : (uint64_t)((double)bytes / rate);
}

uint64_t
spread_document_transfer(const spread_t *spread)
{
	size_t bytes = 0;

	for (size_t i = 0; i < spread->parts.count; i++)
		bytes += spread->parts.items[i].content->size;
	return link_transfer(
	    spread, MAX_OF(bytes + bytes / SPREAD_DOCUMENT_ENCODING_DIVISOR,
			(size_t)SPREAD_DOCUMENT_MIN_BYTES));
}

/*
 * Time for the next message with parts. Too short a time on a narrow link has the same
 * parts sent by several nodes, which delays all of them.
 */
static uint64_t
parts_deadline(const spread_t *spread, uint64_t now)
{
	return now + SPREAD_PULL_TIMEOUT_NS +
	       link_transfer(spread, SPREAD_CONTENT_MAX_BYTES);
}

void
spread_parts_request(spread_t *spread, uint64_t now)
{
	spread_candidate_t *candidate = &spread->candidate;
	digest_t missing[RECORD_PARTS_MAX];
	size_t count = record_parts_missing(&spread->parts, candidate->head, missing);
	spread_message_t *message;

	candidate->requested = true;
	candidate->deadline = parts_deadline(spread, now);
	if (candidate->source == SOURCE_PLATFORM) {
		platform_request(spread, missing, count);
		return;
	}
	message =
	    spread_message_new(spread, SPREAD_PULL_PARTS, candidate->head->version, now);
	if (message != NULL)
		message->accepts_lz4 = true;
	if (message != NULL &&
	    spread_message_wanted_set(message, missing, count) != MASTICPITCH_OK) {
		spread_message_release(message);
		return;
	}
	spread->counters.pulls++;
	spread_send(spread, candidate->source, message);
}

/* Keeps a complete part if the candidate names it; true if it was missing. */
static bool
part_add(spread_t *spread, chunk_t *content)
{
	digest_t digest;

	if (spread->candidate.head == NULL)
		return false;
	digest_compute(content->data, content->size, &digest);
	return record_head_has_part(spread->candidate.head, &digest) &&
	       record_parts_find(&spread->parts, &digest) == NULL &&
	       record_parts_add(&spread->parts, content) == MASTICPITCH_OK;
}

/*
 * The assembly of a part from a node; the first piece of a part starts a new one and
 * evicts the oldest. NULL: none.
 */
static spread_assembly_t *
assembly_of(spread_t *spread, uint64_t node, const spread_piece_t *piece)
{
	spread_assembly_t *assembly;

	for (size_t i = 0; i < SPREAD_ASSEMBLIES; i++) {
		assembly = &spread->assemblies[i];
		if (assembly->node == node &&
		    digest_equal(&assembly->digest, &piece->digest))
			return assembly;
	}
	if (piece->offset != 0)
		return NULL;
	assembly = &spread->assemblies[spread->assembly_next++ % SPREAD_ASSEMBLIES];
	buffer_free(&assembly->content);
	assembly->node = node;
	assembly->digest = piece->digest;
	return assembly;
}

/*
 * Adds a piece; pieces are accepted in order only, and a part with a lost piece is
 * requested again from its beginning. True if this is progress.
 */
static bool
piece_add(spread_t *spread, uint64_t node, const spread_piece_t *piece)
{
	spread_assembly_t *assembly = assembly_of(spread, node, piece);
	chunk_t *content;
	bool added;

	if (assembly == NULL)
		return false;
	if (piece->offset == 0)
		buffer_consume(&assembly->content, assembly->content.size);
	if (piece->offset != assembly->content.size ||
	    buffer_append(&assembly->content, piece->content->data,
		piece->content->size) != MASTICPITCH_OK)
		return false;
	if (assembly->content.size < piece->total)
		return true;
	content = chunk_copy(assembly->content.data, assembly->content.size);
	added = content != NULL && part_add(spread, content);
	chunk_release(content);
	buffer_free(&assembly->content);
	assembly->node = 0;
	return added;
}

void
spread_pieces_receive(
    spread_t *spread, uint64_t node, const spread_message_t *message, uint64_t now)
{
	spread_candidate_t *candidate = &spread->candidate;
	bool progress = false;

	if (candidate->head == NULL)
		return;
	for (size_t i = 0; i < message->piece_count; i++) {
		const spread_piece_t *piece = &message->pieces[i];

		if (!record_head_has_part(candidate->head, &piece->digest) ||
		    record_parts_find(&spread->parts, &piece->digest) != NULL)
			continue;
		progress |= piece->content->size == piece->total
				? part_add(spread, piece->content)
				: piece_add(spread, node, piece);
	}
	if (progress && candidate->requested)
		candidate->deadline = parts_deadline(spread, now);
}

void
spread_part_get_done(spread_t *spread, const digest_t *digest,
    const platform_answer_t *answer, uint64_t now)
{
	spread_reader_t *reader = &spread->reader;
	chunk_t *content;

	for (size_t i = 0; i < reader->pending_part_count; i++) {
		if (!digest_equal(&reader->pending_parts[i], digest))
			continue;
		reader->pending_parts[i] =
		    reader->pending_parts[--reader->pending_part_count];
		break;
	}
	if (spread->candidate.head == NULL ||
	    !record_head_has_part(spread->candidate.head, digest))
		return;
	if (answer->outcome == PLATFORM_NOT_FOUND &&
	    spread->candidate.source == SOURCE_PLATFORM) {
		/* A newer head has replaced this one, and its parts were deleted. */
		spread_candidate_drop(spread);
		reader->get_before_watch = true;
		reader->next_at = now + spread_backoff_next(spread, &reader->backoff_ns,
					    SPREAD_BACKOFF_MAX_NS);
		return;
	}
	if (answer->outcome != PLATFORM_OK)
		return; /* retried at the candidate's deadline */
	content = chunk_copy(answer->value, answer->size);
	if (content != NULL && part_add(spread, content))
		spread->candidate.deadline = parts_deadline(spread, now);
	chunk_release(content);
	spread_candidate_advance(spread, now);
}

static size_t
content_size(const spread_message_t *message)
{
	size_t size = 0;

	for (size_t i = 0; i < message->piece_count; i++)
		size += message->pieces[i].content->size;
	return size;
}

/* Sends the message if added bytes don't fit and starts another; false: no memory. */
static bool
message_flush_if_full(
    spread_t *spread, uint64_t node, spread_message_t **message, size_t added)
{
	spread_message_t *next;

	if ((*message)->piece_count < SPREAD_ITEMS_MAX &&
	    ((*message)->piece_count == 0 ||
		content_size(*message) + added <= SPREAD_CONTENT_MAX_BYTES))
		return true;
	next = spread_message_create(SPREAD_PARTS, (*message)->version);
	if (next == NULL)
		return false;
	next->version_max = (*message)->version_max;
	next->compress = (*message)->compress;
	spread_send(spread, node, *message);
	*message = next;
	return true;
}

void
spread_part_append(
    spread_t *spread, uint64_t node, spread_message_t **message, const digest_t *digest)
{
	chunk_t *content = record_parts_find(&spread->parts, digest);

	if (content == NULL)
		return;
	for (size_t offset = 0; offset < content->size;) {
		size_t size =
		    MIN_OF(content->size - offset, (size_t)SPREAD_CONTENT_MAX_BYTES);
		spread_piece_t piece = {.digest = *digest,
		    .offset = (uint32_t)offset,
		    .total = (uint32_t)content->size};

		if (!message_flush_if_full(spread, node, message, size))
			return;
		piece.content = size == content->size
				    ? chunk_hold(content)
				    : chunk_copy(content->data + offset, size);
		if (piece.content == NULL)
			return;
		(void)spread_message_piece_add(*message, &piece);
		chunk_release(piece.content);
		offset += size;
	}
}

void
spread_parts_serve(spread_t *spread, uint64_t node, const spread_message_t *message)
{
	spread_message_t *answer = spread_message_create(SPREAD_PARTS, message->version);

	if (answer == NULL)
		return;
	answer->compress = message->accepts_lz4;
	for (size_t i = 0; i < message->wanted_count; i++)
		spread_part_append(spread, node, &answer, &message->wanted[i]);
	if (answer->piece_count > 0)
		spread_send(spread, node, answer);
	else
		spread_message_release(answer);
}
