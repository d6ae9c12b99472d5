#include "caller_connection.h"

#include "util.h"

#include <errno.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

static const char CONTINUE[] = "HTTP/1.1 100 Continue\r\n\r\n";

/* The first exchange whose answer is not completely in the output, or NULL. */
static exchange_t *
exchange_first_open(const caller_connection_t *connection)
{
	LIST_FOREACH (node, &connection->exchanges) {
		exchange_t *exchange = LIST_ENTRY(node, exchange_t, link);

		if (exchange->state != EXCHANGE_ANSWERED)
			return exchange;
	}
	return NULL;
}

static exchange_t *
exchange_last(const caller_connection_t *connection)
{
	return list_is_empty(&connection->exchanges)
		   ? NULL
		   : LIST_ENTRY(connection->exchanges.prev, exchange_t, link);
}

static bool
is_held(const caller_connection_t *connection)
{
	const exchange_t *last = exchange_last(connection);

	return last != NULL && last->state == EXCHANGE_HELD;
}

/*
 * True if the exchange may start: it is the first one without an answer, or it and all
 * unanswered ones before it are idempotent and there is room for its answer.
 */
static bool
may_start(caller_connection_t *connection, exchange_t *exchange)
{
	if (exchange_first_open(connection) == exchange)
		return true;
	if (exchange->head.error != HTTP_MESSAGE_ERROR_NONE || exchange->head.expects)
		return false;
	LIST_FOREACH (node, &connection->exchanges) {
		const exchange_t *other = LIST_ENTRY(node, exchange_t, link);

		if (other == exchange || other->state == EXCHANGE_ANSWERED)
			continue;
		/* Behind a closing answer it would run for nothing. */
		if (other->ahead_bytes == 0 || other->close)
			return false;
	}
	return exchange->ahead_bytes != 0 &&
	       connection->ahead_bytes + exchange->ahead_bytes <= CALLER_AHEAD_MAX_BYTES;
}

/* Gives the exchange to the owner if it may start. */
static void
exchange_start(caller_connection_t *connection, exchange_t *exchange)
{
	if (!may_start(connection, exchange))
		return;
	exchange->state = EXCHANGE_STARTED;
	connection->shared->counters.ahead += exchange_first_open(connection) != exchange;
	connection->ahead_bytes += exchange->ahead_bytes;
	exchange->owner =
	    connection->shared->owner.begin(connection->shared->owner.state, exchange);
	if (exchange->owner == NULL)
		connection->phase = CALLER_CLOSED;
	else if (exchange->head.expects && exchange->head.has_body &&
		 exchange->state == EXCHANGE_STARTED &&
		 buffer_append(&connection->output, CONTINUE, sizeof(CONTINUE) - 1) ==
		     MASTICPITCH_OK)
		connection->output_total += sizeof(CONTINUE) - 1;
}

static bool
head_event(void *state, http_head_t *head)
{
	caller_connection_t *connection = state;
	exchange_t *exchange = exchange_create(
	    &connection->wakeup, &connection->exchanges, head, os_clock_monotonic());

	connection->head_at = 0;
	if (exchange == NULL) {
		connection->phase = CALLER_CLOSED;
		return false;
	}
	connection->exchange_count++;
	if (exchange->head.error != HTTP_MESSAGE_ERROR_NONE) {
		exchange->read = true;
	} else {
		connection->reading = exchange;
		exchange->ahead_bytes = connection->shared->owner.ahead_bytes(
		    connection->shared->owner.state, &exchange->head);
	}
	if (exchange->read || !exchange->head.keep_alive)
		connection->input_ended = true;
	exchange_start(connection, exchange);
	connection->shared->counters.held += exchange->state == EXCHANGE_HELD;
	connection->shared->counters.pipeline_full +=
	    connection->exchange_count == CALLER_PIPELINE_MAX;
	return exchange->state != EXCHANGE_HELD && connection->phase != CALLER_CLOSED;
}

/* Tells the owner that the bytes that arrived together have been given. */
static void
body_given_flush(caller_connection_t *connection)
{
	if (!connection->body_given)
		return;
	connection->body_given = false;
	if (connection->reading != NULL)
		connection->shared->owner.body_flush(connection->reading->owner);
}

/* Passes on body bytes that were kept; true if none are left. */
static bool
body_flush(caller_connection_t *connection)
{
	exchange_t *exchange = connection->reading;
	buffer_t *body = &connection->body;

	if (body->size == 0 || exchange == NULL || exchange->state == EXCHANGE_HELD)
		return body->size == 0;
	buffer_consume(body, connection->shared->owner.body(
				 exchange->owner, (const char *)body->data, body->size));
	connection->body_given = true;
	body_given_flush(connection);
	return body->size == 0;
}

static bool
body_event(void *state, const char *data, size_t size)
{
	caller_connection_t *connection = state;
	size_t consumed =
	    connection->shared->owner.body(connection->reading->owner, data, size);

	connection->body_given = true;
	if (consumed < size && buffer_append(&connection->body, data + consumed,
				   size - consumed) != MASTICPITCH_OK)
		connection->phase = CALLER_CLOSED;
	return consumed == size;
}

static bool
end_event(void *state)
{
	caller_connection_t *connection = state;
	exchange_t *exchange = connection->reading;

	connection->reading = NULL;
	connection->body_given = false;
	exchange->read = true;
	connection->shared->owner.body_end(exchange->owner);
	return !connection->input_ended &&
	       connection->exchange_count < CALLER_PIPELINE_MAX;
}

bool
caller_connection_is_blocked(const caller_connection_t *connection)
{
	return connection->phase == CALLER_OPEN &&
	       (connection->body.size > 0 || is_held(connection) ||
		   connection->exchange_count >= CALLER_PIPELINE_MAX);
}

bool
caller_connection_is_idle(const caller_connection_t *connection)
{
	return connection->phase == CALLER_OPEN && connection->exchange_count == 0;
}

bool
caller_connection_is_settled(const caller_connection_t *connection)
{
	int unread = 0;
	int unacknowledged = 0;

	if (connection->exchange_count > 0 || connection->output.size > 0)
		return false;
	if (ioctl(connection->fd, SIOCOUTQ, &unacknowledged) == 0 && unacknowledged > 0)
		return false;
	if (connection->phase != CALLER_OPEN)
		return true;
	return connection->head_at == 0 &&
	       (ioctl(connection->fd, FIONREAD, &unread) != 0 || unread == 0);
}

/* True if bytes of the caller are parsed as they come. */
static bool
is_parsing(const caller_connection_t *connection)
{
	return (connection->phase == CALLER_OPEN || connection->reading != NULL) &&
	       !(connection->input_ended && connection->reading == NULL) &&
	       !caller_connection_is_blocked(connection);
}

/* Parses until the input ends or blocks; returns the number of bytes read. */
static size_t
input_parse(caller_connection_t *connection, const char *data, size_t size, uint64_t now)
{
	size_t total = 0;

	while (total < size && connection->phase != CALLER_CLOSED &&
	       is_parsing(connection)) {
		size_t consumed;
		http_message_error_t error = http_message_parser_run(
		    &connection->parser, data + total, size - total, &consumed);

		total += consumed;
		if (error == HTTP_MESSAGE_ERROR_NONE)
			continue;
		connection->input_ended = true;
		/* A malformed body: without an answer, the owner waits for its end. */
		if (connection->reading != NULL &&
		    (connection->reading->state < EXCHANGE_ANSWERING ||
			!connection->reading->close))
			connection->phase = CALLER_CLOSED;
		connection->reading = NULL;
		total = size;
	}
	body_given_flush(connection);
	if (connection->head_at == 0 && http_message_parser_in_head(&connection->parser))
		connection->head_at = now;
	if (connection->phase != CALLER_OPEN || connection->input_ended)
		return connection->reading != NULL ? total : size;
	return total;
}

static void
input_advance(caller_connection_t *connection, uint64_t now)
{
	exchange_t *last = exchange_last(connection);

	if (last != NULL && last->state == EXCHANGE_HELD)
		exchange_start(connection, last);
	if (!body_flush(connection) || connection->input.size == 0)
		return;
	buffer_consume(&connection->input,
	    input_parse(connection, (const char *)connection->input.data,
		connection->input.size, now));
}

static void
input_receive(
    caller_connection_t *connection, const char *data, size_t size, uint64_t now)
{
	size_t parsed = 0;

	if (connection->phase >= CALLER_LINGER)
		return;
	if (connection->input.size == 0)
		parsed = input_parse(connection, data, size, now);
	if (parsed < size && buffer_append(&connection->input, data + parsed,
				 size - parsed) != MASTICPITCH_OK)
		connection->phase = CALLER_CLOSED;
}

void
caller_connection_left(caller_connection_t *connection)
{
	connection->phase = CALLER_CLOSED;
}

void
caller_connection_read(caller_connection_t *connection, uint64_t now)
{
	char data[CALLER_READ_BYTES];
	ssize_t size = recv(connection->fd, data, sizeof(data), 0);

	if (size > 0) {
		/* A caller that only sends must not keep a closing connection. */
		if (connection->phase == CALLER_OPEN)
			connection->progress_at = now;
		input_receive(connection, data, (size_t)size, now);
	} else if (size == 0 || (errno != EAGAIN && errno != EINTR)) {
		caller_connection_left(connection);
	}
	caller_connection_run(connection, now);
}

/* Ends the exchanges whose answers the kernel has taken over. */
static void
exchanges_finish(caller_connection_t *connection)
{
	uint64_t written = connection->output_total - connection->output.size;

	LIST_FOREACH_SAFE (node, &connection->exchanges) {
		exchange_t *exchange = LIST_ENTRY(node, exchange_t, link);

		if (exchange->state != EXCHANGE_ANSWERED || !exchange->read ||
		    exchange->end_offset > written)
			return;
		connection->exchange_count--;
		connection->shared->owner.end(exchange->owner,
		    exchange->cut ? EXCHANGE_END_CUT : EXCHANGE_END_DELIVERED);
		exchange_destroy(exchange);
	}
}

/* After an answer that ends the connection, the requests behind it count as not read. */
static void
followers_drop(caller_connection_t *connection, exchange_t *exchange)
{
	while (exchange_has_followers(exchange)) {
		exchange_t *last =
		    LIST_ENTRY(connection->exchanges.prev, exchange_t, link);

		connection->exchange_count--;
		connection->shared->counters.dropped++;
		if (connection->reading == last)
			connection->reading = NULL;
		if (last->owner != NULL)
			connection->shared->owner.end(last->owner, EXCHANGE_END_DROPPED);
		exchange_destroy(last);
	}
}

static void
closing_start(caller_connection_t *connection, exchange_t *exchange)
{
	connection->phase = CALLER_CLOSING;
	connection->input_ended = true;
	connection->reset = exchange->cut && exchange->framing == EXCHANGE_UNTIL_CLOSE;
	/* The rest of its body is not needed. */
	exchange->read = true;
	connection->reading = NULL;
	followers_drop(connection, exchange);
}

/* Collects answers in order. */
static void
output_collect(caller_connection_t *connection)
{
	exchange_t *exchange;

	while (connection->phase == CALLER_OPEN &&
	       connection->output.size < EXCHANGE_OUTPUT_TARGET_BYTES &&
	       (exchange = exchange_first_open(connection)) != NULL) {
		size_t before = connection->output.size;
		bool ended;

		if (exchange->aborted) {
			exchange->cut = true;
			exchange->state = EXCHANGE_ANSWERED;
		} else if (exchange->state != EXCHANGE_ANSWERING) {
			return;
		}
		ended = exchange->aborted ||
			exchange_output(exchange, connection->shared->owner.read,
			    &connection->output);
		connection->output_total += connection->output.size - before;
		if (!ended)
			return;
		exchange->end_offset = connection->output_total;
		connection->ahead_bytes -= exchange->ahead_bytes;
		if (exchange->close || exchange->cut)
			closing_start(connection, exchange);
	}
}

/* Writes the output; false if the socket is full. */
static bool
output_write(caller_connection_t *connection, uint64_t now)
{
	buffer_t *output = &connection->output;

	while (output->size > 0) {
		ssize_t size =
		    send(connection->fd, output->data, output->size, MSG_NOSIGNAL);

		if (size < 0 && errno == EINTR)
			continue;
		if (size < 0 && errno == EAGAIN)
			return false;
		if (size < 0) {
			connection->phase = CALLER_CLOSED;
			return false;
		}
		connection->progress_at = now;
		buffer_consume(output, (size_t)size);
	}
	return true;
}

static void
watcher_set(struct ev_loop *loop, ev_io *watcher, bool active)
{
	if (active)
		ev_io_start(loop, watcher);
	else
		ev_io_stop(loop, watcher);
}

static void
close_advance(caller_connection_t *connection, uint64_t now)
{
	if (connection->phase != CALLER_CLOSING || connection->output.size > 0 ||
	    connection->exchange_count > 0)
		return;
	if (connection->reset) {
		connection->phase = CALLER_CLOSED;
		return;
	}
	shutdown(connection->fd, SHUT_WR);
	connection->phase = CALLER_LINGER;
	connection->linger_until = now + CALLER_LINGER_MS * NS_PER_MS;
}

void
caller_connection_run(caller_connection_t *connection, uint64_t now)
{
	bool writable;
	uint64_t written;
	size_t count;

	do {
		written = connection->output_total - connection->output.size;
		count = connection->exchange_count;
		if (connection->phase == CALLER_OPEN)
			input_advance(connection, now);
		output_collect(connection);
		if (connection->phase == CALLER_CLOSED)
			break;
		writable = output_write(connection, now);
		exchanges_finish(connection);
		/* There is room for more output, or for another request. */
	} while (
	    writable && (connection->output_total - connection->output.size != written ||
			    connection->exchange_count < count));
	close_advance(connection, now);
	if (connection->phase == CALLER_CLOSED) {
		ev_io_stop(connection->shared->loop, &connection->read_watcher);
		ev_io_stop(connection->shared->loop, &connection->write_watcher);
		exchange_wake(&connection->wakeup);
		return;
	}
	if (connection->exchange_count == 0 && connection->output.size == 0)
		buffer_free(&connection->output);
	watcher_set(connection->shared->loop, &connection->read_watcher,
	    !caller_connection_is_blocked(connection));
	watcher_set(connection->shared->loop, &connection->write_watcher,
	    connection->output.size > 0);
}

static void
read_callback(struct ev_loop *loop, ev_io *watcher, int events)
{
	caller_connection_read(watcher->data, os_clock_monotonic());
}

static void
write_callback(struct ev_loop *loop, ev_io *watcher, int events)
{
	caller_connection_run(watcher->data, os_clock_monotonic());
}

caller_connection_t *
caller_connection_create(caller_shared_t *shared, int fd)
{
	static const http_message_events_t events = {
	    .head = head_event, .body = body_event, .end = end_event};
	caller_connection_t *connection = calloc(1, sizeof(*connection));
	int one = 1;

	if (connection == NULL) {
		close(fd);
		return NULL;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	connection->fd = fd;
	connection->shared = shared;
	list_init(&connection->link);
	list_init(&connection->exchanges);
	list_init(&connection->wakeup.link);
	connection->wakeup.queue = &shared->woken;
	connection->wakeup.defer = &shared->defer;
	connection->progress_at = os_clock_monotonic();
	http_message_parser_init(&connection->parser, HTTP_REQUEST, &events, connection);
	buffer_init(&connection->input, CALLER_READ_BYTES);
	buffer_init(&connection->body, CALLER_READ_BYTES);
	buffer_init(&connection->output, EXCHANGE_OUTPUT_MAX_BYTES);
	ev_io_init(&connection->read_watcher, read_callback, fd, EV_READ);
	connection->read_watcher.data = connection;
	ev_io_init(&connection->write_watcher, write_callback, fd, EV_WRITE);
	connection->write_watcher.data = connection;
	ev_io_start(shared->loop, &connection->read_watcher);
	return connection;
}

void
caller_connection_destroy(caller_connection_t *connection)
{
	static const struct linger reset = {.l_onoff = 1, .l_linger = 0};

	ev_io_stop(connection->shared->loop, &connection->read_watcher);
	ev_io_stop(connection->shared->loop, &connection->write_watcher);
	while (!list_is_empty(&connection->exchanges)) {
		exchange_t *exchange =
		    LIST_ENTRY(connection->exchanges.prev, exchange_t, link);

		if (exchange->owner != NULL)
			connection->shared->owner.end(exchange->owner, EXCHANGE_END_LEFT);
		exchange_destroy(exchange);
	}
	if (connection->reset)
		setsockopt(connection->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	close(connection->fd);
	http_message_parser_free(&connection->parser);
	buffer_free(&connection->input);
	buffer_free(&connection->body);
	buffer_free(&connection->output);
	list_remove(&connection->wakeup.link);
	list_remove(&connection->link);
	free(connection);
}
