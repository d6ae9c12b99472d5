/*
 * Send scheduling on one connection: control first, then heads, refusals and
 * bodies of one piece, then longer bodies round-robin, one piece a stream. Frames
 * are encoded only when the socket accepts them, so a new one never waits behind
 * more than the short output buffer. Long bodies of all connections share the
 * host's link in order of urgency, see link.h.
 */
#include "peer_internal.h"

#include <stdlib.h>

bool
peer_send_is_empty(const peer_connection_t *connection)
{
	return list_is_empty(&connection->control) && list_is_empty(&connection->small) &&
	       list_is_empty(&connection->bodies) && !connection->ping_due &&
	       !connection->pong_due;
}

/* bulk: a piece of a long body. */
static int
frame_send(peer_connection_t *connection, const Masticpitch__Frame *frame, bool bulk)
{
	buffer_t *out = &connection->out;
	size_t start = out->size;
	uint8_t digest[AUTH_DIGEST_BYTES];
	int error = frame_append(frame, AUTH_DIGEST_BYTES, out);

	if (error != MASTICPITCH_OK)
		return error;
	auth_channel_sign(&connection->send_channel,
	    out->data + start + FRAME_PREFIX_BYTES,
	    out->size - start - FRAME_PREFIX_BYTES, digest);
	error = buffer_append(out, digest, sizeof(digest));
	if (error != MASTICPITCH_OK)
		return error;
	connection->out_total += out->size - start;
	link_consume(&connection->peer->link, out->size - start, bulk,
	    kernel_now(connection->peer->kernel));
	return MASTICPITCH_OK;
}

int
peer_send_frame(peer_connection_t *connection, const Masticpitch__Frame *frame)
{
	return frame_send(connection, frame, false);
}

static int
ping_send(peer_connection_t *connection, uint64_t token, bool reply)
{
	Masticpitch__Frame frame = MASTICPITCH__FRAME__INIT;
	Masticpitch__Ping ping = MASTICPITCH__PING__INIT;

	ping.token = token;
	ping.reply = reply;
	frame.body_case = MASTICPITCH__FRAME__BODY_PING;
	frame.ping = &ping;
	return peer_send_frame(connection, &frame);
}

void
peer_send_control(peer_connection_t *connection, message_t *message)
{
	list_append(&connection->control, &message->link);
	connection->control_count++;
	if (message->type == MESSAGE_CONTROL)
		connection->control_bytes += message->u.control.payload->size;
	peer_connection_dirty(connection);
}

static void
control_done(peer_connection_t *connection, message_t *message)
{
	list_remove(&message->link);
	connection->control_count--;
	if (message->type == MESSAGE_CONTROL)
		connection->control_bytes -= message->u.control.payload->size;
	message_destroy(message);
}

/* The next piece of the first control payload. */
static int
control_piece_send(peer_connection_t *connection, message_t *message)
{
	Masticpitch__Frame frame = MASTICPITCH__FRAME__INIT;
	Masticpitch__Control control = MASTICPITCH__CONTROL__INIT;
	chunk_t *payload = message->u.control.payload;
	size_t left = payload->size - connection->control_offset;
	uint64_t start = connection->out_total;
	int error;

	control.kind = (uint32_t)message->u.control.kind;
	control.payload.data = payload->data + connection->control_offset;
	control.payload.len = MIN_OF(left, (size_t)FRAME_CONTROL_MAX_BYTES);
	control.more = left > FRAME_CONTROL_MAX_BYTES;
	frame.body_case = MASTICPITCH__FRAME__BODY_CONTROL;
	frame.control = &control;
	error = peer_send_frame(connection, &frame);
	if (error != MASTICPITCH_OK)
		return error;
	metrics_add(kernel_metrics(connection->peer->kernel), METRIC_CONTROL_BYTES_SENT,
	    connection->out_total - start);
	connection->control_offset += control.payload.len;
	if (!control.more) {
		connection->control_offset = 0;
		control_done(connection, message);
	}
	return MASTICPITCH_OK;
}

/* message->stream is the wire id here. bulk: a piece of a long body. */
static int
message_encode(peer_connection_t *connection, const message_t *message, bool bulk)
{
	peer_t *peer = connection->peer;
	int error = frame_from_message(
	    message, message->stream, kernel_now(peer->kernel), &peer->scratch);

	if (error == MASTICPITCH_OK)
		error = frame_send(connection, &peer->scratch.frame, bulk);
	return error;
}

static int
message_send(peer_connection_t *connection, const message_t *message)
{
	return message_encode(connection, message, false);
}

static int
control_send(peer_connection_t *connection)
{
	message_t *message = LIST_ENTRY(connection->control.next, message_t, link);
	int error;

	if (message->type == MESSAGE_CONTROL)
		return control_piece_send(connection, message);
	error = message_send(connection, message);
	control_done(connection, message);
	return error;
}

static bool
message_is_call(const message_t *message)
{
	return message->type == MESSAGE_CALL_OPEN || message->type == MESSAGE_CALL_DATA;
}

static int
small_send(peer_connection_t *connection)
{
	peer_t *peer = connection->peer;
	message_t *message =
	    LIST_ENTRY(list_take_first(&connection->small), message_t, link);
	uint64_t offset = connection->out_total;
	peer_stream_t *stream = NULL;
	int error = MASTICPITCH_OK;

	if (message_is_call(message)) {
		stream = peer_stream_find_wire(connection, true, message->stream);
		/* Cancelled before it was written: the gate never receives it. */
		if (stream == NULL)
			goto out;
	}
	error = message_send(connection, message);
	if (message->type != MESSAGE_CALL_OPEN)
		goto out;
	if (error == MASTICPITCH_OK) {
		stream->open_encoded = true;
		stream->open_offset = offset;
	} else if (error == MASTICPITCH_E_TIMEOUT) {
		peer_stream_end(
		    peer, stream, MESSAGE_REFUSAL, REASON_DEADLINE_PASSED, RUN_NO);
		error = MASTICPITCH_OK;
	} else if (error == MASTICPITCH_E_LIMIT) {
		peer_stream_end(
		    peer, stream, MESSAGE_REFUSAL, REASON_HEADERS_TOO_LARGE, RUN_NO);
		error = MASTICPITCH_OK;
	}
out:
	message_destroy(message);
	return error;
}

static int
body_send(peer_connection_t *connection)
{
	peer_stream_t *stream =
	    LIST_ENTRY(list_take_first(&connection->bodies), peer_stream_t, body_link);
	message_t *message = LIST_ENTRY(list_take_first(&stream->queue), message_t, link);
	int error = message_send(connection, message);

	message_destroy(message);
	if (!list_is_empty(&stream->queue))
		list_append(&connection->bodies, &stream->body_link);
	else if (stream->body_ended)
		peer_stream_destroy(connection->peer, stream);
	return error;
}

int
peer_send_fill(peer_connection_t *connection)
{
	int error = MASTICPITCH_OK;

	while (error == MASTICPITCH_OK && connection->out.size < PEER_OUT_TARGET_BYTES) {
		if (connection->pong_due) {
			connection->pong_due = false;
			error = ping_send(connection, connection->pong_token, true);
		} else if (connection->ping_due) {
			connection->ping_due = false;
			error = ping_send(connection, connection->pinged_at, false);
		} else if (!list_is_empty(&connection->control)) {
			connection->used_at = kernel_now(connection->peer->kernel);
			error = control_send(connection);
		} else if (!list_is_empty(&connection->small)) {
			connection->used_at = kernel_now(connection->peer->kernel);
			error = small_send(connection);
		} else if (!list_is_empty(&connection->bodies)) {
			connection->used_at = kernel_now(connection->peer->kernel);
			error = body_send(connection);
		} else {
			break;
		}
	}
	return error;
}

/* The most urgent stream whose socket has room, or NULL. */
static peer_stream_t *
bulk_next(const peer_t *peer)
{
	LIST_FOREACH (node, &peer->bulk) {
		peer_stream_t *stream = LIST_ENTRY(node, peer_stream_t, body_link);
		const peer_connection_t *connection = stream->connection;

		if (!connection->failed && connection->state == PEER_READY &&
		    connection->out.size < PEER_OUT_TARGET_BYTES)
			return stream;
	}
	return NULL;
}

static void
bulk_send(peer_stream_t *stream)
{
	peer_connection_t *connection = stream->connection;
	message_t *message = LIST_ENTRY(list_take_first(&stream->queue), message_t, link);

	connection->used_at = kernel_now(connection->peer->kernel);
	if (message_encode(connection, message, true) != MASTICPITCH_OK)
		peer_connection_fail(connection);
	link_backlog_remove(&connection->peer->link, peer_message_body(message));
	message_destroy(message);
	peer_connection_dirty(connection);
	if (!list_is_empty(&stream->queue))
		return;
	list_remove(&stream->body_link);
	if (stream->body_ended)
		peer_stream_destroy(connection->peer, stream);
}

bool
peer_bulk_run(peer_t *peer)
{
	uint64_t now = kernel_now(peer->kernel);
	peer_stream_t *stream;
	bool sent = false;

	peer->bulk_ready_at = 0;
	while (!list_is_empty(&peer->bulk) &&
	       link_admits(&peer->link, now, &peer->bulk_ready_at) &&
	       (stream = bulk_next(peer)) != NULL) {
		bulk_send(stream);
		sent = true;
	}
	return sent;
}
