/*
 * Streams: calls from this node's entry to gates of other nodes (outgoing) and
 * from other nodes to this node's gate (incoming).
 */
#include "chunk_queue.h"
#include "peer_internal.h"

#include <stdlib.h>

/* Both sides count wire ids from 1; the direction distinguishes them. */
static uint64_t
wire_key(bool outgoing, uint64_t wire)
{
	return wire << 1 | (outgoing ? 1 : 0);
}

peer_stream_t *
peer_stream_find_wire(peer_connection_t *connection, bool outgoing, uint64_t wire)
{
	hash_node_t *node = hash_table_find(
	    &connection->peer->wires, connection->id, wire_key(outgoing, wire));

	return node != NULL ? HASH_ENTRY(node, peer_stream_t, by_wire) : NULL;
}

static peer_stream_t *
stream_find_local(peer_t *peer, bool outgoing, uint64_t node, uint64_t local)
{
	hash_node_t *found = outgoing ? hash_table_find(&peer->outgoing, node, local)
				      : hash_table_find(&peer->incoming, 0, local);

	return found != NULL ? HASH_ENTRY(found, peer_stream_t, by_local) : NULL;
}

static peer_stream_t *
stream_create(peer_t *peer, peer_remote_t *remote, bool outgoing, uint64_t local)
{
	peer_stream_t *stream = calloc(1, sizeof(*stream));
	int error;

	if (stream == NULL)
		return NULL;
	list_init(&stream->owner_link);
	list_init(&stream->body_link);
	list_init(&stream->queue);
	stream->remote = remote;
	stream->outgoing = outgoing;
	stream->local = local;
	stream->receive_window_bytes = STREAM_WINDOW_BYTES;
	error = outgoing
		    ? hash_table_insert(
			  &peer->outgoing, &stream->by_local, remote->node, local)
		    : hash_table_insert(&peer->incoming, &stream->by_local, 0, local);
	if (error != MASTICPITCH_OK) {
		free(stream);
		return NULL;
	}
	if (outgoing)
		remote->stream_count++;
	return stream;
}

void
peer_stream_destroy(peer_t *peer, peer_stream_t *stream)
{
	if (stream->connection != NULL) {
		hash_table_remove(&peer->wires, &stream->by_wire);
		if (!stream->outgoing)
			stream->connection->incoming_count--;
	}
	if (stream->outgoing)
		stream->remote->stream_count--;
	hash_table_remove(
	    stream->outgoing ? &peer->outgoing : &peer->incoming, &stream->by_local);
	list_remove(&stream->owner_link);
	list_remove(&stream->body_link);
	link_backlog_remove(&peer->link, stream->expected_bytes);
	if (stream->bulk && stream->connection != NULL) {
		LIST_FOREACH (node, &stream->queue)
			link_backlog_remove(&peer->link,
			    peer_message_body(LIST_ENTRY(node, message_t, link)));
	}
	peer_message_queue_clear(&stream->queue);
	free(stream);
}

void
peer_stream_end(peer_t *peer, peer_stream_t *stream, message_type_t type, reason_t reason,
    run_state_t run)
{
	message_t *message = message_create(type, stream->remote->node, stream->local);

	if (message != NULL) {
		message->u.refusal.reason = reason;
		message->u.refusal.run = run;
	}
	peer_post(peer, stream->outgoing ? "entry" : "gate", message);
	peer_stream_destroy(peer, stream);
}

void
peer_stream_lost(peer_t *peer, peer_stream_t *stream)
{
	const peer_connection_t *connection = stream->connection;
	bool written =
	    stream->open_encoded && connection->sent_total > stream->open_offset;

	/* The gate has sent its complete answer; only bytes of it were unsent. */
	if (stream->body_ended) {
		peer_stream_destroy(peer, stream);
		return;
	}
	peer_stream_end(peer, stream, MESSAGE_STREAM_LOST, REASON_STREAM_LOST,
	    stream->outgoing && !written ? RUN_NO : RUN_UNKNOWN);
}

size_t
peer_message_body(const message_t *message)
{
	if (message->type != MESSAGE_CALL_DATA && message->type != MESSAGE_ANSWER_DATA)
		return 0;
	return message->u.data.chunk != NULL ? message->u.data.chunk->size : 0;
}

/* Body length that the head announces, bytes; -1: not known, or no head. */
static int64_t
message_body_length(const message_t *message)
{
	switch (message->type) {
	case MESSAGE_CALL_OPEN:
		return message->u.call->body_length;
	case MESSAGE_ANSWER_HEAD:
		return message->u.answer->body_length;
	default:
		return -1;
	}
}

/* Longest body of one message of the stream, bytes. */
static size_t
stream_piece_bytes(const peer_stream_t *stream)
{
	if (stream->connection == NULL || !stream->bulk)
		return STREAM_DATA_MAX_BYTES;
	return link_piece_bytes(&stream->connection->peer->link);
}

/*
 * Joins a small piece of a body with the last one in the queue, since a message costs
 * far more memory than its bytes. True if it was joined, and destroyed.
 */
static bool
last_message_join(peer_stream_t *stream, message_t *message)
{
	size_t size = peer_message_body(message);
	message_t *last;

	if (list_is_empty(&stream->queue) || size == 0)
		return false;
	last = LIST_ENTRY(stream->queue.prev, message_t, link);
	if (last->type != message->type ||
	    peer_message_body(last) + size > stream_piece_bytes(stream) ||
	    !chunk_join(&last->u.data.chunk, message->u.data.chunk))
		return false;
	last->u.data.end = message->u.data.end;
	message_destroy(message);
	return true;
}

/*
 * Bodies are sent one after the other in order of urgency: with round-robin, all
 * would finish about as late as the last.
 */
static void
bulk_insert(peer_t *peer, peer_stream_t *stream)
{
	list_t *position = peer->bulk.prev;

	while (position != &peer->bulk &&
	       LIST_ENTRY(position, peer_stream_t, body_link)->urgency > stream->urgency)
		position = position->prev;
	list_insert_before(position->next, &stream->body_link);
}

static void
bulk_append(peer_stream_t *stream, message_t *message)
{
	peer_connection_t *connection = stream->connection;
	size_t arrived = MIN_OF(stream->expected_bytes, peer_message_body(message));

	stream->expected_bytes -= arrived;
	link_backlog_remove(&connection->peer->link, arrived);
	link_backlog_add(&connection->peer->link, peer_message_body(message));
	if (last_message_join(stream, message))
		return;
	list_append(&stream->queue, &message->link);
	if (list_is_empty(&stream->body_link))
		bulk_insert(connection->peer, stream);
}

/* Queues a long body in pieces, so that short frames wait for one piece at most. */
static void
bulk_enqueue(peer_stream_t *stream, message_t *message)
{
	size_t piece = stream_piece_bytes(stream);

	while (peer_message_body(message) > piece) {
		chunk_t *chunk = message->u.data.chunk;
		message_t *first =
		    message_create(message->type, message->node, message->stream);
		chunk_t *rest = chunk_copy(chunk->data + piece, chunk->size - piece);

		if (first != NULL)
			first->u.data.chunk = chunk_copy(chunk->data, piece);
		if (rest == NULL || first == NULL || first->u.data.chunk == NULL) {
			/* Out of memory: sent as one long piece. */
			chunk_release(rest);
			message_destroy(first);
			break;
		}
		bulk_append(stream, first);
		chunk_release(chunk);
		message->u.data.chunk = rest;
	}
	bulk_append(stream, message);
}

/*
 * A body is long if its head announces it or once more than LINK_SHORT_BYTES were
 * queued. Pieces already queued as short stay ahead.
 */
static void
stream_classify(peer_stream_t *stream, const message_t *message)
{
	stream->body_queued_bytes += peer_message_body(message);
	if (!stream->bulk && list_is_empty(&stream->queue))
		stream->bulk = message_body_length(message) > LINK_SHORT_BYTES ||
			       stream->body_queued_bytes > LINK_SHORT_BYTES;
}

/* Puts a message of an attached stream into the queue of its priority. */
static void
stream_enqueue(peer_stream_t *stream, message_t *message)
{
	peer_connection_t *connection = stream->connection;
	bool is_data =
	    message->type == MESSAGE_CALL_DATA || message->type == MESSAGE_ANSWER_DATA;
	bool is_small = !is_data || (message->u.data.end && !stream->data_seen &&
					list_is_empty(&stream->queue));

	message->stream = stream->wire;
	peer_connection_dirty(connection);
	stream_classify(stream, message);
	if (stream->bulk && is_data) {
		stream->data_seen = true;
		bulk_enqueue(stream, message);
		return;
	}
	if (is_small) {
		list_append(&connection->small, &message->link);
		return;
	}
	stream->data_seen = true;
	if (last_message_join(stream, message))
		return;
	list_append(&stream->queue, &message->link);
	if (list_is_empty(&stream->body_link))
		list_append(&connection->bodies, &stream->body_link);
}

void
peer_stream_attach(peer_stream_t *stream, peer_connection_t *connection)
{
	list_t queue;
	list_t *node;

	list_remove(&stream->owner_link);
	stream->wire = ++connection->next_wire;
	if (hash_table_insert(&connection->peer->wires, &stream->by_wire, connection->id,
		wire_key(true, stream->wire)) != MASTICPITCH_OK) {
		peer_stream_end(connection->peer, stream, MESSAGE_REFUSAL,
		    REASON_PEER_UNREACHABLE, RUN_NO);
		return;
	}
	stream->connection = connection;
	list_append(&connection->streams, &stream->owner_link);
	list_init(&queue);
	while ((node = list_take_first(&stream->queue)) != NULL)
		list_append(&queue, node);
	while ((node = list_take_first(&queue)) != NULL)
		stream_enqueue(stream, LIST_ENTRY(node, message_t, link));
}

/* Refuses a call that cannot be forwarded. */
static void
call_refuse(peer_t *peer, const message_t *message, reason_t reason)
{
	message_t *answer =
	    message_create(MESSAGE_REFUSAL, message->node, message->stream);

	if (answer != NULL) {
		answer->u.refusal.reason = reason;
		answer->u.refusal.run = RUN_NO;
	}
	peer_post(peer, "entry", answer);
}

/* A call whose target has passed is as urgent as its deadline. */
static uint64_t
call_urgency(const peer_t *peer, const call_head_t *call)
{
	return call->target > kernel_now(peer->kernel) ? call->target : call->deadline;
}

static void
call_open_send(peer_t *peer, message_t *message)
{
	peer_remote_t *remote = peer_remote_find(peer, message->node);
	peer_connection_t *connection;
	peer_stream_t *stream;
	message_t *taken;

	/* A node in state down keeps its streams while it answers; no new ones. */
	if (remote == NULL || remote->down) {
		call_refuse(peer, message, REASON_PEER_UNREACHABLE);
		return;
	}
	if (remote->stream_count >= peer->settings->streams_per_peer_max) {
		call_refuse(peer, message, REASON_STREAM_LIMIT);
		return;
	}
	connection = peer_remote_connection(peer, remote);
	if (connection == NULL && peer_remote_connect(peer, remote) != MASTICPITCH_OK) {
		call_refuse(peer, message, REASON_PEER_UNREACHABLE);
		return;
	}
	if (stream_find_local(peer, true, message->node, message->stream) != NULL)
		return;
	stream = stream_create(peer, remote, true, message->stream);
	taken = stream != NULL ? peer_message_take(message) : NULL;
	if (taken == NULL) {
		call_refuse(peer, message, REASON_PEER_UNREACHABLE);
		if (stream != NULL)
			peer_stream_destroy(peer, stream);
		return;
	}
	stream->urgency = call_urgency(peer, taken->u.call);
	list_append(&stream->queue, &taken->link);
	if (connection != NULL)
		peer_stream_attach(stream, connection);
	else
		list_append(&remote->waiting, &stream->owner_link);
}

static void
call_cancel_send(peer_t *peer, peer_stream_t *stream, message_t *message)
{
	message_t *taken = stream->open_encoded ? peer_message_take(message) : NULL;

	if (taken != NULL) {
		taken->stream = stream->wire;
		peer_send_control(stream->connection, taken);
	}
	peer_stream_destroy(peer, stream);
}

static void
credit_send(peer_stream_t *stream, message_t *message)
{
	message_t *taken = stream->connection != NULL ? peer_message_take(message) : NULL;

	if (taken == NULL)
		return;
	stream->receive_window_bytes += taken->u.credit;
	taken->stream = stream->wire;
	peer_send_control(stream->connection, taken);
}

static void
data_send(peer_stream_t *stream, message_t *message)
{
	message_t *taken = peer_message_take(message);

	if (taken == NULL)
		return;
	if (stream->connection != NULL)
		stream_enqueue(stream, taken);
	else if (!last_message_join(stream, taken))
		list_append(&stream->queue, &taken->link);
}

/* Adds the state of the host's link to the gate's load report. */
static void
link_report(peer_t *peer, message_t *message)
{
	uint64_t now = kernel_now(peer->kernel);
	load_report_t *load;

	switch (message->type) {
	case MESSAGE_ANSWER_HEAD:
		load = &message->u.answer->load;
		break;
	case MESSAGE_REFUSAL:
		load = &message->u.refusal.load;
		break;
	default:
		return;
	}
	load->link_wait_us = link_wait_us(&peer->link, now);
	load->link_ns_per_kilobyte = link_ns_per_kilobyte(&peer->link, now);
}

/* From the gate. The stream is destroyed once its last frame is queued. */
static void
answer_send(peer_t *peer, peer_stream_t *stream, message_t *message)
{
	bool end = message->type == MESSAGE_REFUSAL ||
		   message->type == MESSAGE_ANSWER_ABORT ||
		   (message->type == MESSAGE_ANSWER_DATA && message->u.data.end);

	if (stream->body_ended)
		return;
	link_report(peer, message);
	data_send(stream, message);
	if (!end)
		return;
	if (message->type == MESSAGE_ANSWER_DATA && !list_is_empty(&stream->queue))
		stream->body_ended = true;
	else
		peer_stream_destroy(peer, stream);
}

void
peer_stream_send(peer_t *peer, message_t *message)
{
	bool outgoing = message->type == MESSAGE_CALL_DATA ||
			message->type == MESSAGE_CALL_CANCEL ||
			message->type == MESSAGE_ANSWER_CREDIT;
	peer_stream_t *stream;

	if (message->type == MESSAGE_CALL_OPEN) {
		call_open_send(peer, message);
		return;
	}
	stream = stream_find_local(peer, outgoing, message->node, message->stream);
	/* The stream ended while the message was in the queue. */
	if (stream == NULL)
		return;
	switch (message->type) {
	case MESSAGE_CALL_DATA:
		data_send(stream, message);
		break;
	case MESSAGE_CALL_CANCEL:
		call_cancel_send(peer, stream, message);
		break;
	case MESSAGE_ANSWER_CREDIT:
	case MESSAGE_CALL_CREDIT:
		credit_send(stream, message);
		break;
	default:
		answer_send(peer, stream, message);
		break;
	}
}

/* Refuses an incoming call without notifying the gate. */
static int
incoming_refuse(peer_connection_t *connection, uint64_t wire, reason_t reason)
{
	message_t *refusal =
	    message_create(MESSAGE_REFUSAL, connection->remote->node, wire);

	if (refusal == NULL)
		return MASTICPITCH_E_NOMEM;
	refusal->u.refusal.reason = reason;
	refusal->u.refusal.run = RUN_NO;
	link_report(connection->peer, refusal);
	list_append(&connection->small, &refusal->link);
	peer_connection_dirty(connection);
	metrics_refusal_add(kernel_metrics(connection->peer->kernel), reason);
	return MASTICPITCH_OK;
}

/* Takes ownership of the message. */
static int
call_open_receive(peer_connection_t *connection, message_t *message)
{
	peer_t *peer = connection->peer;
	uint64_t wire = message->stream;
	peer_stream_t *stream;

	if (wire <= connection->last_incoming_wire || wire >> 63 != 0) {
		message_destroy(message);
		return MASTICPITCH_E_INVALID;
	}
	connection->last_incoming_wire = wire;
	if (connection->incoming_count >= peer->settings->streams_per_peer_max ||
	    kernel_service_find(peer->kernel, "gate") == NULL) {
		message_destroy(message);
		return incoming_refuse(connection, wire,
		    connection->incoming_count > 0 ? REASON_STREAM_LIMIT
						   : REASON_INSTANCE_GONE);
	}
	if (link_refuses(&peer->link, message->u.call->answer_bytes,
		message->u.call->target, message->u.call->deadline,
		kernel_now(peer->kernel))) {
		message_destroy(message);
		return incoming_refuse(connection, wire, REASON_LINK_BUSY);
	}
	stream = stream_create(peer, connection->remote, false, ++peer->next_incoming);
	if (stream == NULL ||
	    hash_table_insert(&peer->wires, &stream->by_wire, connection->id,
		wire_key(false, wire)) != MASTICPITCH_OK) {
		if (stream != NULL)
			peer_stream_destroy(peer, stream);
		message_destroy(message);
		return MASTICPITCH_E_NOMEM;
	}
	stream->wire = wire;
	stream->connection = connection;
	stream->urgency = call_urgency(peer, message->u.call);
	if (message->u.call->answer_bytes > LINK_SHORT_BYTES) {
		stream->expected_bytes = message->u.call->answer_bytes;
		link_backlog_add(&peer->link, stream->expected_bytes);
	}
	connection->incoming_count++;
	list_append(&connection->streams, &stream->owner_link);
	message->node = connection->remote->node;
	message->stream = stream->local;
	peer_post(peer, "gate", message);
	return MASTICPITCH_OK;
}

static bool
message_ends_answer(const message_t *message)
{
	return message->type == MESSAGE_REFUSAL ||
	       message->type == MESSAGE_ANSWER_ABORT ||
	       (message->type == MESSAGE_ANSWER_DATA && message->u.data.end);
}

int
peer_stream_receive(peer_connection_t *connection, const Masticpitch__Frame *frame)
{
	peer_t *peer = connection->peer;
	peer_stream_t *stream;
	message_t *message;
	bool outgoing;
	int error = frame_to_message(frame, kernel_now(peer->kernel), &message);

	if (error != MASTICPITCH_OK)
		return error;
	if (message->type == MESSAGE_CALL_OPEN)
		return call_open_receive(connection, message);
	outgoing = message->type != MESSAGE_CALL_DATA &&
		   message->type != MESSAGE_CALL_CANCEL &&
		   message->type != MESSAGE_ANSWER_CREDIT;
	stream = peer_stream_find_wire(connection, outgoing, message->stream);
	if (stream == NULL || stream->body_ended) {
		metrics_add(kernel_metrics(peer->kernel), METRIC_LATE_FRAMES, 1);
		message_destroy(message);
		return MASTICPITCH_OK;
	}
	if ((message->type == MESSAGE_CALL_DATA ||
		message->type == MESSAGE_ANSWER_DATA) &&
	    message->u.data.chunk != NULL) {
		stream->receive_window_bytes -= (int64_t)message->u.data.chunk->size;
		if (stream->receive_window_bytes < 0) {
			message_destroy(message);
			return MASTICPITCH_E_LIMIT;
		}
	}
	message->node = connection->remote->node;
	message->stream = stream->local;
	if ((outgoing && message_ends_answer(message)) ||
	    message->type == MESSAGE_CALL_CANCEL)
		peer_stream_destroy(peer, stream);
	peer_post(peer, outgoing ? "entry" : "gate", message);
	return MASTICPITCH_OK;
}
