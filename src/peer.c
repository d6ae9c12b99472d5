#include "peer_internal.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Connections accepted in one iteration before other sockets are served. */
#define ACCEPTS_PER_ITERATION 64

void
peer_post(peer_t *peer, const char *to, message_t *message)
{
	/*
	 * The flusher runs after the kernel's delivery; the reaper's timer keeps
	 * the loop from blocking with the message undelivered.
	 */
	if (peer->in_flush)
		ev_timer_start(kernel_loop(peer->kernel), &peer->reaper);
	kernel_message_post(
	    peer->kernel, &peer->service, kernel_service_find(peer->kernel, to), message);
}

message_t *
peer_message_take(message_t *message)
{
	message_t *taken = malloc(sizeof(*taken));

	if (taken == NULL)
		return NULL;
	*taken = *message;
	list_init(&taken->link);
	memset(&message->u, 0, sizeof(message->u));
	return taken;
}

void
peer_message_queue_clear(list_t *queue)
{
	list_t *node;

	while ((node = list_take_first(queue)) != NULL)
		message_destroy(LIST_ENTRY(node, message_t, link));
}

const char *
peer_control_service(control_kind_t kind)
{
	switch (kind) {
	case CONTROL_CONFIG:
		return "config";
	case CONTROL_ROLLOUT:
		return "rollout";
	case CONTROL_MEMBERSHIP:
	default:
		return "membership";
	}
}

void
peer_control_fail(peer_t *peer, uint64_t node, message_t *message)
{
	message->type = MESSAGE_CONTROL_FAILED;
	message->node = node;
	peer_post(peer, peer_control_service(message->u.control.kind), message);
}

static void
peer_receive(void *state, message_t *message)
{
	peer_t *peer = state;

	switch (message->type) {
	case MESSAGE_CALL_OPEN:
	case MESSAGE_CALL_DATA:
	case MESSAGE_CALL_CREDIT:
	case MESSAGE_CALL_CANCEL:
	case MESSAGE_ANSWER_HEAD:
	case MESSAGE_ANSWER_DATA:
	case MESSAGE_ANSWER_CREDIT:
	case MESSAGE_ANSWER_ABORT:
	case MESSAGE_REFUSAL:
		peer_stream_send(peer, message);
		break;
	case MESSAGE_CONTROL:
		peer_remote_control(peer, message);
		break;
	case MESSAGE_MEMBER:
		peer_remote_member(peer, &message->u.member);
		break;
	case MESSAGE_MEMBER_REMOVED:
		peer_remote_removed(peer, message->node);
		break;
	default:
		break;
	}
}

/*
 * True if the last bytes are acknowledged: closing then truncates no answer. A silent
 * connection would delay the shutdown until the end of its grace time.
 */
static bool
connection_is_drained(const peer_connection_t *connection, uint64_t now)
{
	if (connection->state != PEER_READY || peer_connection_is_silent(connection, now))
		return true;
	if (connection->out.size > 0 || !peer_send_is_empty(connection))
		return false;
	return !peer_connection_has_unacknowledged(connection);
}

static bool
peer_is_idle(const void *state)
{
	const peer_t *peer = state;
	uint64_t now = kernel_now(peer->kernel);

	if (peer->outgoing.count > 0 || peer->incoming.count > 0 ||
	    !list_is_empty(&peer->bulk))
		return false;
	LIST_FOREACH (node, &peer->connections)
		if (!connection_is_drained(
			LIST_ENTRY(node, peer_connection_t, link), now))
			return false;
	return true;
}

static void
listen_callback(struct ev_loop *loop, ev_io *watcher, int events)
{
	peer_t *peer = watcher->data;

	for (int i = 0; i < ACCEPTS_PER_ITERATION; i++) {
		struct sockaddr_in from = {0};
		socklen_t size = sizeof(from);
		int one = 1;
		int fd = accept4(peer->listen_fd, (struct sockaddr *)&from, &size,
		    SOCK_NONBLOCK | SOCK_CLOEXEC);

		if (fd < 0)
			return;
		if (peer->unauthenticated_count >= PEER_UNAUTHENTICATED_MAX ||
		    peer->connection_count >= PEER_CONNECTIONS_MAX) {
			metrics_add(
			    kernel_metrics(peer->kernel), METRIC_PEER_AUTH_FAILURES, 1);
			close(fd);
			continue;
		}
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		peer_connection_create(
		    peer, fd, AUTH_ACCEPTOR, ntohl(from.sin_addr.s_addr), NULL);
	}
}

/* Only wakes the loop: flush_callback() runs before it waits again. */
static void
pacer_callback(struct ev_loop *loop, ev_timer *watcher, int events)
{
}

static void
pacer_set(peer_t *peer)
{
	struct ev_loop *loop = kernel_loop(peer->kernel);
	uint64_t now = kernel_now(peer->kernel);

	/* A full socket wakes the loop when it becomes writable. */
	if (peer->bulk_ready_at == 0 || ev_is_active(&peer->pacer))
		return;
	ev_now_update(loop);
	ev_timer_set(&peer->pacer,
	    peer->bulk_ready_at > now
		? (double)(peer->bulk_ready_at - now) / (double)NS_PER_S
		: 0.0,
	    0.0);
	ev_timer_start(loop, &peer->pacer);
}

static void
dirty_flush(peer_t *peer)
{
	list_t *node;

	while ((node = list_take_first(&peer->dirty)) != NULL) {
		peer_connection_t *connection =
		    LIST_ENTRY(node, peer_connection_t, dirty_link);

		if (!connection->failed &&
		    peer_connection_flush(connection) != MASTICPITCH_OK)
			peer_connection_fail(connection);
	}
}

/* Sends short frames, then long bodies while the link and a socket accept them. */
static void
flush_callback(struct ev_loop *loop, ev_prepare *watcher, int events)
{
	peer_t *peer = watcher->data;

	peer->in_flush = true;
	do
		dirty_flush(peer);
	while (peer_bulk_run(peer));
	peer->in_flush = false;
	pacer_set(peer);
}

static void
reap_callback(struct ev_loop *loop, ev_timer *watcher, int events)
{
	peer_t *peer = watcher->data;

	LIST_FOREACH_SAFE (node, &peer->connections) {
		peer_connection_t *connection = LIST_ENTRY(node, peer_connection_t, link);

		if (connection->failed)
			peer_connection_close(connection);
	}
}

static void
tick_callback(struct ev_loop *loop, ev_timer *watcher, int events)
{
	peer_t *peer = watcher->data;
	uint64_t now = kernel_now(peer->kernel);

	LIST_FOREACH_SAFE (node, &peer->connections)
		peer_connection_tick(LIST_ENTRY(node, peer_connection_t, link), now);
	reap_callback(loop, watcher, events);
}

int
peer_create(kernel_t *kernel, const settings_t *settings, peer_t **result)
{
	peer_t *peer = calloc(1, sizeof(*peer));
	struct ev_loop *loop = kernel_loop(kernel);
	int error;

	if (peer == NULL)
		return MASTICPITCH_E_NOMEM;
	peer->kernel = kernel;
	peer->settings = settings;
	peer->node = address_to_node_id(&settings->peers);
	auth_keys_init(&peer->keys, settings);
	list_init(&peer->connections);
	list_init(&peer->dirty);
	list_init(&peer->bulk);
	link_init(&peer->link, settings->link_mbps, kernel_now(kernel));
	ev_timer_init(&peer->pacer, pacer_callback, 0., 0.);
	hash_table_init(&peer->remotes);
	hash_table_init(&peer->outgoing);
	hash_table_init(&peer->incoming);
	hash_table_init(&peer->wires);
	peer->service.name = "peer";
	peer->service.state = peer;
	peer->service.receive = peer_receive;
	peer->service.is_idle = peer_is_idle;
	error = os_socket_listen(&settings->peers, &peer->listen_fd);
	if (error != MASTICPITCH_OK)
		goto fail;
	error = kernel_service_register(kernel, &peer->service);
	if (error != MASTICPITCH_OK) {
		close(peer->listen_fd);
		goto fail;
	}
	peer->fault = fault_acquire(kernel, settings);
	ev_io_init(&peer->listener, listen_callback, peer->listen_fd, EV_READ);
	peer->listener.data = peer;
	ev_io_start(loop, &peer->listener);
	ev_prepare_init(&peer->flusher, flush_callback);
	ev_set_priority(&peer->flusher, EV_MINPRI);
	peer->flusher.data = peer;
	ev_prepare_start(loop, &peer->flusher);
	ev_timer_init(&peer->reaper, reap_callback, 0., 0.);
	peer->reaper.data = peer;
	ev_timer_init(
	    &peer->ticker, tick_callback, PEER_TICK_MS / 1e3, PEER_TICK_MS / 1e3);
	peer->ticker.data = peer;
	ev_timer_start(loop, &peer->ticker);
	*result = peer;
	return MASTICPITCH_OK;
fail:
	free(peer);
	return error;
}

void
peer_destroy(peer_t *peer)
{
	struct ev_loop *loop;

	if (peer == NULL)
		return;
	loop = kernel_loop(peer->kernel);
	ev_io_stop(loop, &peer->listener);
	ev_prepare_stop(loop, &peer->flusher);
	ev_timer_stop(loop, &peer->reaper);
	ev_timer_stop(loop, &peer->ticker);
	ev_timer_stop(loop, &peer->pacer);
	close(peer->listen_fd);
	LIST_FOREACH_SAFE (node, &peer->connections)
		peer_connection_close(LIST_ENTRY(node, peer_connection_t, link));
	peer_remotes_destroy(peer);
	ev_timer_stop(loop, &peer->reaper);
	hash_table_free(&peer->outgoing);
	hash_table_free(&peer->incoming);
	hash_table_free(&peer->wires);
	kernel_service_unregister(peer->kernel, &peer->service);
	fault_release(peer->fault);
	free(peer);
}
