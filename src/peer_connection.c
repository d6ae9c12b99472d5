#include "peer_internal.h"

#include <errno.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

/* Holds the largest frame, which a call's head may be, and one more read. */
#define IN_LIMIT_BYTES (FRAME_MAX_BYTES + FRAME_PREFIX_BYTES + PEER_READ_BYTES)
#define OUT_LIMIT_BYTES \
	(2 * (FRAME_MAX_BYTES + FRAME_PREFIX_BYTES) + PEER_OUT_TARGET_BYTES)

static uint64_t
connection_now(const peer_connection_t *connection)
{
	return kernel_now(connection->peer->kernel);
}

void
peer_connection_dirty(peer_connection_t *connection)
{
	if (list_is_empty(&connection->dirty_link))
		list_append(&connection->peer->dirty, &connection->dirty_link);
}

void
peer_connection_fail(peer_connection_t *connection)
{
	peer_t *peer = connection->peer;

	connection->failed = true;
	ev_timer_start(kernel_loop(peer->kernel), &peer->reaper);
}

static bool
connection_is_replaced(const peer_connection_t *connection)
{
	const peer_remote_t *remote = connection->remote;

	LIST_FOREACH (node, &remote->connections) {
		const peer_connection_t *other =
		    LIST_ENTRY(node, peer_connection_t, remote_link);

		if (other == connection || other->state != PEER_READY || other->failed)
			continue;
		if (other->role == connection->role
			? other->id > connection->id
			: (other->role == AUTH_INITIATOR) ==
			      (connection->peer->node < remote->node))
			return true;
	}
	return false;
}

bool
peer_connection_is_silent(const peer_connection_t *connection, uint64_t now)
{
	return connection->pinged_at > connection->received_at &&
	       now >= connection->pinged_at + PEER_PING_LATE_MS * NS_PER_MS;
}

bool
peer_connection_is_stale(const peer_connection_t *connection, uint64_t now)
{
	bool ends =
	    list_is_empty(&connection->streams) &&
	    now >= connection->used_at +
		       (uint64_t)(PEER_IDLE_CLOSE_MS - PEER_IDLE_MARGIN_MS) * NS_PER_MS;

	return ends || peer_connection_is_silent(connection, now);
}

bool
peer_connection_has_unacknowledged(const peer_connection_t *connection)
{
	int bytes = 0;

	return ioctl(connection->fd, SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

/* Errors: MASTICPITCH_E_IO. A full socket is no error. */
static int
output_write(peer_connection_t *connection)
{
	metrics_t *metrics = kernel_metrics(connection->peer->kernel);

	while (connection->out.size > 0) {
		ssize_t sent = send(connection->fd, connection->out.data,
		    connection->out.size, MSG_NOSIGNAL);

		if (sent < 0)
			return errno == EAGAIN || errno == EINTR ? MASTICPITCH_OK
								 : MASTICPITCH_E_IO;
		buffer_consume(&connection->out, (size_t)sent);
		connection->sent_total += (uint64_t)sent;
		metrics_add(metrics, METRIC_PEER_BYTES_SENT, (uint64_t)sent);
	}
	/* With a connection to each node, retained capacity would add up to megabytes. */
	if (connection->out.capacity > PEER_OUT_KEPT_BYTES)
		buffer_free(&connection->out);
	return MASTICPITCH_OK;
}

int
peer_connection_flush(peer_connection_t *connection)
{
	struct ev_loop *loop = kernel_loop(connection->peer->kernel);
	int error;

	if (connection->state == PEER_CONNECTING || connection->paused)
		return MASTICPITCH_OK;
	if (fault_is_cut(connection->peer->fault, connection->remote_ip)) {
		connection->paused = true;
		ev_io_stop(loop, &connection->reader);
		ev_io_stop(loop, &connection->writer);
		return MASTICPITCH_OK;
	}
	do {
		if (connection->state == PEER_READY) {
			error = peer_send_fill(connection);
			if (error != MASTICPITCH_OK)
				return error;
		}
		error = output_write(connection);
		if (error != MASTICPITCH_OK)
			return error;
	} while (connection->out.size == 0 && connection->state == PEER_READY &&
		 !peer_send_is_empty(connection));
	if (connection->out.size > 0)
		ev_io_start(loop, &connection->writer);
	else
		ev_io_stop(loop, &connection->writer);
	return MASTICPITCH_OK;
}

/* Pieces of one control payload; kinds never interleave on a connection. */
static int
control_receive(peer_connection_t *connection, const Masticpitch__Control *control)
{
	peer_t *peer = connection->peer;
	buffer_t *assembly = &connection->assembly;
	message_t *message;

	if (control->kind < CONTROL_CONFIG || control->kind > CONTROL_ROLLOUT)
		return MASTICPITCH_E_INVALID;
	if (assembly->size > 0 && control->kind != connection->assembly_kind)
		return MASTICPITCH_E_INVALID;
	connection->assembly_kind = control->kind;
	if (buffer_append(assembly, control->payload.data, control->payload.len) !=
	    MASTICPITCH_OK)
		return MASTICPITCH_E_LIMIT;
	if (control->more)
		return MASTICPITCH_OK;
	message = message_create(MESSAGE_CONTROL, connection->remote->node, 0);
	if (message != NULL) {
		message->u.control.kind = (control_kind_t)control->kind;
		message->u.control.payload = chunk_copy(assembly->data, assembly->size);
		if (message->u.control.payload == NULL) {
			message_destroy(message);
			message = NULL;
		}
	}
	buffer_free(assembly);
	peer_post(peer, peer_control_service((control_kind_t)control->kind), message);
	return MASTICPITCH_OK;
}

static int
frame_receive(peer_connection_t *connection, const Masticpitch__Frame *frame, size_t size)
{
	switch (frame->body_case) {
	case MASTICPITCH__FRAME__BODY_PING:
		if (!frame->ping->reply) {
			connection->pong_due = true;
			connection->pong_token = frame->ping->token;
			peer_connection_dirty(connection);
		}
		return MASTICPITCH_OK;
	case MASTICPITCH__FRAME__BODY_CONTROL:
		metrics_add(kernel_metrics(connection->peer->kernel),
		    METRIC_CONTROL_BYTES_RECEIVED, size);
		connection->used_at = connection->received_at;
		return control_receive(connection, frame->control);
	default:
		connection->used_at = connection->received_at;
		return peer_stream_receive(connection, frame);
	}
}

static void
contact_post(peer_connection_t *connection)
{
	peer_remote_t *remote = connection->remote;

	if (remote == NULL ||
	    connection->received_at <
		remote->contact_posted_at + PEER_CONTACT_INTERVAL_MS * NS_PER_MS)
		return;
	remote->contact_posted_at = connection->received_at;
	peer_post(connection->peer, "membership",
	    message_create(MESSAGE_CONTACT, remote->node, 0));
}

/* Checks, decodes and handles one frame without its prefix. */
static int
frame_accept(peer_connection_t *connection, const uint8_t *data, size_t size)
{
	size_t body = size;
	Masticpitch__Frame *frame;
	int error;

	if (connection->state == PEER_READY) {
		if (size <= AUTH_DIGEST_BYTES)
			return MASTICPITCH_E_INVALID;
		body -= AUTH_DIGEST_BYTES;
		if (!auth_channel_verify(
			&connection->receive_channel, data, body, data + body))
			return MASTICPITCH_E_DENIED;
	}
	frame = frame_decode(data, body);
	if (frame == NULL)
		return MASTICPITCH_E_INVALID;
	connection->received_at = connection_now(connection);
	if (connection->state == PEER_READY)
		error = frame_receive(connection, frame, size + FRAME_PREFIX_BYTES);
	else
		error = peer_handshake_receive(connection, frame, data, body);
	frame_free(frame);
	if (error == MASTICPITCH_OK && connection->state == PEER_READY)
		contact_post(connection);
	return error;
}

static int
input_parse(peer_connection_t *connection)
{
	size_t offset = 0, length;
	int error;

	for (;;) {
		const uint8_t *data = connection->in.data + offset;
		size_t left = connection->in.size - offset;

		error = frame_length(data, left, &length);
		if (error == MASTICPITCH_E_NOT_FOUND)
			break;
		if (error != MASTICPITCH_OK)
			return error;
		if (left < FRAME_PREFIX_BYTES + length)
			break;
		error = frame_accept(connection, data + FRAME_PREFIX_BYTES, length);
		if (error != MASTICPITCH_OK)
			return error;
		offset += FRAME_PREFIX_BYTES + length;
	}
	buffer_consume(&connection->in, offset);
	if (connection->in.size == 0)
		buffer_free(&connection->in);
	return MASTICPITCH_OK;
}

/* Counts and logs a refused frame or handshake and closes the connection. */
static void
connection_refuse(peer_connection_t *connection, int error)
{
	kernel_t *kernel = connection->peer->kernel;
	address_t address = {.ip = connection->remote_ip};
	char text[ADDRESS_TEXT_BYTES];

	metrics_add(kernel_metrics(kernel),
	    connection->state == PEER_READY ? METRIC_PEER_BAD_FRAMES
					    : METRIC_PEER_AUTH_FAILURES,
	    1);
	address_format(&address, text);
	log_warning(kernel_log(kernel), "connection from a node refused",
	    LOG_TEXT("from", text), LOG_TEXT("reason", masticpitch_strerror(error)));
	peer_connection_fail(connection);
}

/* Stops the watchers and returns true if it failed or the fault hook blocks it. */
static bool
connection_is_stopped(peer_connection_t *connection, ev_io *watcher)
{
	struct ev_loop *loop = kernel_loop(connection->peer->kernel);

	if (connection->failed) {
		ev_io_stop(loop, watcher);
		return true;
	}
	if (!fault_is_cut(connection->peer->fault, connection->remote_ip))
		return false;
	connection->paused = true;
	ev_io_stop(loop, &connection->reader);
	ev_io_stop(loop, &connection->writer);
	return true;
}

static void
read_callback(struct ev_loop *loop, ev_io *watcher, int events)
{
	peer_connection_t *connection = watcher->data;
	uint8_t data[PEER_READ_BYTES];
	ssize_t size;
	int error;

	if (connection_is_stopped(connection, watcher))
		return;
	size = recv(connection->fd, data, sizeof(data), 0);
	if (size < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (size <= 0) {
		peer_connection_fail(connection);
		return;
	}
	metrics_add(kernel_metrics(connection->peer->kernel), METRIC_PEER_BYTES_RECEIVED,
	    (uint64_t)size);
	error = buffer_append(&connection->in, data, (size_t)size);
	if (error == MASTICPITCH_OK)
		error = input_parse(connection);
	if (error != MASTICPITCH_OK)
		connection_refuse(connection, error);
}

static void
write_callback(struct ev_loop *loop, ev_io *watcher, int events)
{
	peer_connection_t *connection = watcher->data;
	int error = 0;
	socklen_t size = sizeof(error);

	if (connection_is_stopped(connection, watcher))
		return;
	if (connection->state == PEER_CONNECTING) {
		if (getsockopt(connection->fd, SOL_SOCKET, SO_ERROR, &error, &size) !=
			0 ||
		    error != 0 || peer_handshake_start(connection) != MASTICPITCH_OK) {
			peer_connection_fail(connection);
			return;
		}
		ev_io_start(loop, &connection->reader);
	}
	if (peer_connection_flush(connection) != MASTICPITCH_OK)
		peer_connection_fail(connection);
}

peer_connection_t *
peer_connection_create(
    peer_t *peer, int fd, auth_role_t role, uint32_t remote_ip, peer_remote_t *remote)
{
	peer_connection_t *connection = calloc(1, sizeof(*connection));
	struct ev_loop *loop = kernel_loop(peer->kernel);
	int notsent = PEER_NOTSENT_BYTES;

	if (connection == NULL) {
		close(fd);
		return NULL;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &notsent, sizeof(notsent));
	connection->peer = peer;
	connection->id = ++peer->next_connection;
	connection->fd = fd;
	connection->role = role;
	connection->remote_ip = remote_ip;
	connection->remote = remote;
	connection->opened_at = kernel_now(peer->kernel);
	connection->received_at = connection->opened_at;
	connection->used_at = connection->opened_at;
	list_init(&connection->link);
	list_init(&connection->remote_link);
	list_init(&connection->dirty_link);
	list_init(&connection->control);
	list_init(&connection->small);
	list_init(&connection->bodies);
	list_init(&connection->streams);
	buffer_init(&connection->in, IN_LIMIT_BYTES);
	buffer_init(&connection->out, OUT_LIMIT_BYTES);
	buffer_init(&connection->assembly, CONTROL_PAYLOAD_MAX_BYTES);
	ev_io_init(&connection->reader, read_callback, fd, EV_READ);
	connection->reader.data = connection;
	ev_io_init(&connection->writer, write_callback, fd, EV_WRITE);
	connection->writer.data = connection;
	list_append(&peer->connections, &connection->link);
	if (remote != NULL)
		list_append(&remote->connections, &connection->remote_link);
	peer->connection_count++;
	peer->unauthenticated_count++;
	if (role == AUTH_INITIATOR) {
		ev_io_start(loop, &connection->writer);
	} else if (peer_handshake_start(connection) == MASTICPITCH_OK) {
		ev_io_start(loop, &connection->reader);
	} else {
		peer_connection_fail(connection);
	}
	return connection;
}

void
peer_connection_close(peer_connection_t *connection)
{
	peer_t *peer = connection->peer;
	peer_remote_t *remote = connection->remote;
	struct ev_loop *loop = kernel_loop(peer->kernel);
	bool unauthenticated = connection->state != PEER_READY;
	list_t *node;

	ev_io_stop(loop, &connection->reader);
	ev_io_stop(loop, &connection->writer);
	/* FIN is sent after the data still in the kernel's send buffer. */
	shutdown(connection->fd, SHUT_WR);
	close(connection->fd);
	list_remove(&connection->link);
	list_remove(&connection->remote_link);
	list_remove(&connection->dirty_link);
	peer->connection_count--;
	if (unauthenticated)
		peer->unauthenticated_count--;
	metrics_set(kernel_metrics(peer->kernel), METRIC_PEER_CONNECTIONS,
	    peer->connection_count - peer->unauthenticated_count);
	while (!list_is_empty(&connection->streams))
		peer_stream_lost(peer,
		    LIST_ENTRY(connection->streams.next, peer_stream_t, owner_link));
	while ((node = list_take_first(&connection->control)) != NULL) {
		message_t *message = LIST_ENTRY(node, message_t, link);

		if (message->type == MESSAGE_CONTROL)
			peer_control_fail(peer, remote->node, message);
		else
			message_destroy(message);
	}
	peer_message_queue_clear(&connection->small);
	buffer_free(&connection->in);
	buffer_free(&connection->out);
	buffer_free(&connection->assembly);
	chunk_release(connection->hello);
	free(connection);
	if (remote != NULL)
		peer_remote_lost(peer, remote, unauthenticated);
}

/*
 * True while a stream is open, or output is unsent or not acknowledged: the connection
 * is then pinged.
 */
static bool
connection_is_busy(const peer_connection_t *connection)
{
	return !list_is_empty(&connection->streams) || !peer_send_is_empty(connection) ||
	       connection->out.size > 0 ||
	       (connection->used_at > connection->received_at &&
		   peer_connection_has_unacknowledged(connection));
}

static void
ready_tick(peer_connection_t *connection, uint64_t now)
{
	uint64_t idle = now - connection->used_at;
	uint64_t close_ms = PEER_IDLE_CLOSE_MS;

	if (connection_is_busy(connection)) {
		uint64_t last_activity =
		    MAX_OF(connection->received_at, connection->pinged_at);

		if (connection->pinged_at > connection->received_at &&
		    now > connection->pinged_at +
			      (uint64_t)(PEER_SILENCE_MAX_MS - PEER_PING_AFTER_MS) *
				  NS_PER_MS) {
			peer_connection_fail(connection);
		} else if (now > last_activity + PEER_PING_AFTER_MS * NS_PER_MS &&
			   connection->pinged_at <= connection->received_at) {
			connection->ping_due = true;
			connection->pinged_at = now;
			peer_connection_dirty(connection);
		}
		return;
	}
	/* The acceptor closes after twice the time, in case the initiator has failed. */
	if (connection_is_replaced(connection))
		close_ms = PEER_REPLACED_CLOSE_MS;
	if (connection->role == AUTH_ACCEPTOR)
		close_ms *= 2;
	if (idle > close_ms * NS_PER_MS)
		peer_connection_fail(connection);
}

/* Pings a node in state down periodically; its streams stay while it answers. */
static void
down_tick(peer_connection_t *connection, uint64_t now)
{
	uint64_t last_activity = MAX_OF(connection->received_at, connection->pinged_at);

	if (now > connection->received_at + PEER_DOWN_SILENCE_MS * NS_PER_MS) {
		peer_connection_fail(connection);
	} else if (now > last_activity + PEER_DOWN_PING_MS * NS_PER_MS) {
		connection->ping_due = true;
		connection->pinged_at = now;
		peer_connection_dirty(connection);
	}
}

void
peer_connection_tick(peer_connection_t *connection, uint64_t now)
{
	if (connection->failed)
		return;
	if (connection->paused &&
	    !fault_is_cut(connection->peer->fault, connection->remote_ip)) {
		connection->paused = false;
		ev_io_start(kernel_loop(connection->peer->kernel), &connection->writer);
		if (connection->state != PEER_CONNECTING)
			ev_io_start(
			    kernel_loop(connection->peer->kernel), &connection->reader);
	}
	if (connection->state == PEER_READY && connection->remote->down)
		down_tick(connection, now);
	else if (connection->state == PEER_READY)
		ready_tick(connection, now);
	else if (now > connection->opened_at + PEER_CONNECT_TIMEOUT_MS * NS_PER_MS)
		peer_connection_fail(connection);
}
