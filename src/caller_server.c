#include "caller_server.h"

#include "caller_connection.h"
#include "util.h"

#include <errno.h>
#include <poll.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#define ACCEPTS_PER_CALL 64

struct caller_server {
	caller_shared_t shared;
	caller_options_t options;
	uint64_t idle_ns; /* of a connection without a request */
	uint64_t head_ns; /* of a head that is not complete */
	ev_io listener;
	ev_timer ticker;
	list_t connections;
	unsigned connection_count;
	bool accept_failed; /* no descriptor was free; retried at the next tick */
};

static void
connection_remove(caller_server_t *server, caller_connection_t *connection)
{
	server->connection_count--;
	caller_connection_destroy(connection);
	if (server->listener.fd >= 0 &&
	    server->connection_count < server->options.connections_max)
		ev_io_start(server->shared.loop, &server->listener);
	if (server->connection_count == 0 && !server->accept_failed)
		ev_timer_stop(server->shared.loop, &server->ticker);
}

static void
woken_run(void *state)
{
	caller_server_t *server = state;
	uint64_t now = os_clock_monotonic();
	list_t *node;

	while ((node = list_take_first(&server->shared.woken)) != NULL) {
		caller_connection_t *connection =
		    LIST_ENTRY(node, caller_connection_t, wakeup.link);

		if (connection->phase != CALLER_CLOSED)
			caller_connection_run(connection, now);
		if (connection->phase == CALLER_CLOSED)
			connection_remove(server, connection);
	}
}

/* True if the caller has closed its side, also behind input that is not read. */
static bool
caller_has_left(const caller_connection_t *connection)
{
	struct pollfd state = {.fd = connection->fd, .events = POLLRDHUP};

	return poll(&state, 1, 0) > 0 &&
	       (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

static uint64_t
connection_deadline(const caller_server_t *server, const caller_connection_t *connection)
{
	uint64_t idle_at = connection->progress_at + server->options.idle_ns;

	if (connection->phase == CALLER_LINGER)
		return connection->linger_until;
	/* While requests run, their answers go first. */
	if (connection->head_at != 0 && connection->exchange_count == 0)
		return connection->head_at + server->head_ns;
	if (caller_connection_is_idle(connection))
		return connection->progress_at + server->idle_ns;
	/* The owner ends requests that take too long. */
	if (connection->output.size == 0 && connection->reading == NULL)
		return TIME_NEVER;
	return idle_at;
}

static void
tick_callback(struct ev_loop *loop, ev_timer *watcher, int events)
{
	caller_server_t *server = watcher->data;
	uint64_t now = os_clock_monotonic();

	if (server->accept_failed && server->listener.fd >= 0)
		ev_io_start(loop, &server->listener);
	server->accept_failed = false;
	LIST_FOREACH_SAFE (node, &server->connections) {
		caller_connection_t *connection =
		    LIST_ENTRY(node, caller_connection_t, link);

		bool late = now >= connection_deadline(server, connection);

		server->shared.counters.timeouts +=
		    late && connection->phase != CALLER_LINGER;
		if (late || (caller_connection_is_blocked(connection) &&
				caller_has_left(connection)))
			connection_remove(server, connection);
	}
}

static void
ticker_start(caller_server_t *server)
{
	if (!ev_is_active(&server->ticker))
		ev_timer_again(server->shared.loop, &server->ticker);
}

static void
connection_add(caller_server_t *server, int fd)
{
	caller_connection_t *connection = caller_connection_create(&server->shared, fd);

	if (connection == NULL)
		return;
	list_append(&server->connections, &connection->link);
	server->connection_count++;
	ticker_start(server);
}

static void
listen_callback(struct ev_loop *loop, ev_io *watcher, int events)
{
	caller_server_t *server = watcher->data;

	for (int i = 0; i < ACCEPTS_PER_CALL; i++) {
		int fd;

		if (server->connection_count >= server->options.connections_max) {
			server->shared.counters.limited++;
			ev_io_stop(loop, watcher);
			return;
		}
		fd = accept4(watcher->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (fd >= 0) {
			connection_add(server, fd);
			continue;
		}
		if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS ||
		    errno == ENOMEM) {
			/* The socket would stay readable and keep the loop busy. */
			server->shared.counters.limited++;
			server->accept_failed = true;
			ev_io_stop(loop, watcher);
			ticker_start(server);
		}
		return;
	}
}

int
caller_server_create(struct ev_loop *loop, const caller_options_t *options,
    const caller_owner_t *owner, caller_server_t **result)
{
	caller_server_t *server = calloc(1, sizeof(*server));

	if (server == NULL)
		return MASTICPITCH_E_NOMEM;
	server->shared.loop = loop;
	server->shared.owner = *owner;
	server->options = *options;
	caller_server_timeouts_set(server, 0, 0);
	list_init(&server->connections);
	list_init(&server->shared.woken);
	defer_init(&server->shared.defer, loop, woken_run, server);
	ev_timer_init(&server->ticker, tick_callback, 0., CALLER_TICK_MS / 1e3);
	server->ticker.data = server;
	ev_io_init(&server->listener, listen_callback, options->listen_fd, EV_READ);
	server->listener.data = server;
	ev_io_start(loop, &server->listener);
	*result = server;
	return MASTICPITCH_OK;
}

void
caller_server_destroy(caller_server_t *server)
{
	if (server == NULL)
		return;
	caller_server_stop_listening(server);
	LIST_FOREACH_SAFE (node, &server->connections)
		connection_remove(server, LIST_ENTRY(node, caller_connection_t, link));
	ev_timer_stop(server->shared.loop, &server->ticker);
	defer_stop(&server->shared.defer);
	free(server);
}

void
caller_server_timeouts_set(caller_server_t *server, uint64_t idle_ns, uint64_t head_ns)
{
	server->idle_ns = idle_ns != 0 ? idle_ns : server->options.idle_ns;
	server->head_ns = head_ns != 0 ? head_ns : server->options.idle_ns;
}

void
caller_server_stop_listening(caller_server_t *server)
{
	int listen_fd = server->listener.fd;
	int fd;

	if (listen_fd < 0)
		return;
	ev_io_stop(server->shared.loop, &server->listener);
	/* Connections left in the backlog would be reset with their requests unread. */
	while ((fd = accept4(listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0)
		connection_add(server, fd);
	close(listen_fd);
	server->listener.fd = -1;
}

const caller_counters_t *
caller_server_counters(const caller_server_t *server)
{
	return &server->shared.counters;
}

bool
caller_server_is_settled(const caller_server_t *server)
{
	LIST_FOREACH (node, &server->connections)
		if (!caller_connection_is_settled(
			LIST_ENTRY(node, caller_connection_t, link)))
			return false;
	return true;
}

unsigned
caller_server_connections(const caller_server_t *server)
{
	return server->connection_count;
}
