#include "peer_internal.h"

#include <stdlib.h>

peer_remote_t *
peer_remote_find(peer_t *peer, uint64_t node)
{
	hash_node_t *found = hash_table_find(&peer->remotes, node, 0);

	return found != NULL ? HASH_ENTRY(found, peer_remote_t, by_node) : NULL;
}

peer_remote_t *
peer_remote_get(peer_t *peer, uint64_t node)
{
	peer_remote_t *remote = peer_remote_find(peer, node);

	if (remote != NULL)
		return remote;
	remote = calloc(1, sizeof(*remote));
	if (remote == NULL)
		return NULL;
	remote->node = node;
	list_init(&remote->connections);
	list_init(&remote->waiting);
	list_init(&remote->control);
	if (hash_table_insert(&peer->remotes, &remote->by_node, node, 0) !=
	    MASTICPITCH_OK) {
		free(remote);
		return NULL;
	}
	return remote;
}

void
peer_remote_release(peer_t *peer, peer_remote_t *remote)
{
	if (remote->address.port != 0 || !list_is_empty(&remote->connections) ||
	    !list_is_empty(&remote->waiting) || !list_is_empty(&remote->control))
		return;
	hash_table_remove(&peer->remotes, &remote->by_node);
	free(remote);
}

/* Ends the streams and control messages that wait for a connection. */
static void
remote_refuse_waiting(peer_t *peer, peer_remote_t *remote)
{
	list_t *node;

	while (!list_is_empty(&remote->waiting))
		peer_stream_end(peer,
		    LIST_ENTRY(remote->waiting.next, peer_stream_t, owner_link),
		    MESSAGE_REFUSAL, REASON_PEER_UNREACHABLE, RUN_NO);
	while ((node = list_take_first(&remote->control)) != NULL)
		peer_control_fail(peer, remote->node, LIST_ENTRY(node, message_t, link));
	remote->control_count = 0;
	remote->control_bytes = 0;
}

/*
 * A host that is down sends no reset; its streams must not wait for one. If the
 * link of a host is full, its datagrams are late or lost while its connections
 * still deliver, so a connection that received a frame recently is pinged instead
 * of closed.
 */
static void
remote_set_down(peer_t *peer, peer_remote_t *remote)
{
	uint64_t now = kernel_now(peer->kernel);

	LIST_FOREACH (node, &remote->connections) {
		peer_connection_t *connection =
		    LIST_ENTRY(node, peer_connection_t, remote_link);

		if (connection->state != PEER_READY ||
		    now > connection->received_at + PEER_DOWN_SILENCE_MS * NS_PER_MS) {
			peer_connection_fail(connection);
			continue;
		}
		connection->ping_due = true;
		peer_connection_dirty(connection);
	}
	remote_refuse_waiting(peer, remote);
}

static void
remote_disconnect(peer_t *peer, peer_remote_t *remote)
{
	LIST_FOREACH (node, &remote->connections)
		peer_connection_fail(LIST_ENTRY(node, peer_connection_t, remote_link));
	remote_refuse_waiting(peer, remote);
}

void
peer_remote_member(peer_t *peer, const member_t *member)
{
	peer_remote_t *remote;
	bool was_down;

	if (member->node == peer->node)
		return;
	remote = peer_remote_get(peer, member->node);
	if (remote == NULL)
		return;
	was_down = remote->down;
	remote->address = member->address;
	remote->down = member->state == MEMBER_DOWN;
	if (remote->down && !was_down)
		remote_set_down(peer, remote);
	if (was_down && !remote->down) {
		remote->failures = 0;
		remote->retry_at = 0;
	}
}

void
peer_remote_removed(peer_t *peer, uint64_t node)
{
	peer_remote_t *remote = peer_remote_find(peer, node);

	if (remote == NULL)
		return;
	remote->address.port = 0;
	remote_disconnect(peer, remote);
	peer_remote_release(peer, remote);
}

/*
 * When both sides connect simultaneously, two connections exist. Both sides prefer the
 * one that the node with the smaller id initiated; the other one finishes its
 * streams.
 */
static bool
connection_is_preferred(const peer_t *peer, const peer_remote_t *remote,
    const peer_connection_t *connection, const peer_connection_t *other)
{
	auth_role_t preferred =
	    peer->node < remote->node ? AUTH_INITIATOR : AUTH_ACCEPTOR;

	if (connection->role != other->role)
		return connection->role == preferred;
	return connection->id > other->id;
}

peer_connection_t *
peer_remote_connection(peer_t *peer, peer_remote_t *remote)
{
	uint64_t now = kernel_now(peer->kernel);
	peer_connection_t *best = NULL;

	LIST_FOREACH (node, &remote->connections) {
		peer_connection_t *connection =
		    LIST_ENTRY(node, peer_connection_t, remote_link);

		if (connection->state != PEER_READY || connection->failed ||
		    peer_connection_is_stale(connection, now))
			continue;
		if (best == NULL ||
		    connection_is_preferred(peer, remote, connection, best))
			best = connection;
	}
	return best;
}

static bool
remote_is_connecting(const peer_remote_t *remote)
{
	LIST_FOREACH (node, &remote->connections) {
		const peer_connection_t *connection =
		    LIST_ENTRY(node, peer_connection_t, remote_link);

		if (connection->state != PEER_READY && !connection->failed)
			return true;
	}
	return false;
}

static void
remote_back_off(peer_t *peer, peer_remote_t *remote)
{
	uint32_t shift = MIN_OF(remote->failures, UINT32_C(6));
	uint64_t limit =
	    MIN_OF((uint64_t)PEER_BACKOFF_MIN_MS << shift, (uint64_t)PEER_BACKOFF_MAX_MS);

	remote->failures++;
	remote->retry_at =
	    kernel_now(peer->kernel) +
	    (limit / 2 + rng_below(kernel_rng(peer->kernel), limit / 2 + 1)) * NS_PER_MS;
}

int
peer_remote_connect(peer_t *peer, peer_remote_t *remote)
{
	int fd;

	if (remote_is_connecting(remote))
		return MASTICPITCH_OK;
	if (remote->address.port == 0 || remote->down ||
	    remote->retry_at > kernel_now(peer->kernel) ||
	    peer->connection_count >= PEER_CONNECTIONS_MAX)
		return MASTICPITCH_E_UNREACHABLE;
	if (os_socket_connect(&remote->address, peer->settings->peers.ip, &fd) !=
	    MASTICPITCH_OK) {
		remote_back_off(peer, remote);
		return MASTICPITCH_E_UNREACHABLE;
	}
	if (peer_connection_create(
		peer, fd, AUTH_INITIATOR, remote->address.ip, remote) == NULL)
		return MASTICPITCH_E_UNREACHABLE;
	return MASTICPITCH_OK;
}

void
peer_remote_ready(peer_t *peer, peer_remote_t *remote)
{
	peer_connection_t *connection = peer_remote_connection(peer, remote);
	list_t *node;

	if (connection == NULL)
		return;
	remote->failures = 0;
	remote->retry_at = 0;
	while ((node = list_take_first(&remote->control)) != NULL)
		peer_send_control(connection, LIST_ENTRY(node, message_t, link));
	remote->control_count = 0;
	remote->control_bytes = 0;
	while (!list_is_empty(&remote->waiting))
		peer_stream_attach(
		    LIST_ENTRY(remote->waiting.next, peer_stream_t, owner_link),
		    connection);
}

void
peer_remote_lost(peer_t *peer, peer_remote_t *remote, bool unauthenticated)
{
	if (unauthenticated)
		remote_back_off(peer, remote);
	if (peer_remote_connection(peer, remote) != NULL)
		peer_remote_ready(peer, remote);
	else if (!remote_is_connecting(remote))
		remote_refuse_waiting(peer, remote);
	peer_remote_release(peer, remote);
}

void
peer_remote_control(peer_t *peer, message_t *message)
{
	peer_remote_t *remote = peer_remote_find(peer, message->node);
	chunk_t *payload = message->u.control.payload;
	peer_connection_t *connection;
	message_t *taken;

	if (payload == NULL || (taken = peer_message_take(message)) == NULL)
		return;
	if (remote == NULL || payload->size > CONTROL_PAYLOAD_MAX_BYTES)
		goto fail;
	connection = peer_remote_connection(peer, remote);
	if (connection != NULL) {
		if (connection->control_count >= PEER_CONTROL_WAITING_MAX ||
		    connection->control_bytes > PEER_CONTROL_WAITING_BYTES)
			goto fail;
		peer_send_control(connection, taken);
		return;
	}
	if (remote->control_count >= PEER_CONTROL_WAITING_MAX ||
	    remote->control_bytes > PEER_CONTROL_WAITING_BYTES ||
	    peer_remote_connect(peer, remote) != MASTICPITCH_OK)
		goto fail;
	remote->control_count++;
	remote->control_bytes += payload->size;
	list_append(&remote->control, &taken->link);
	return;
fail:
	peer_control_fail(peer, taken->node, taken);
}

void
peer_remotes_destroy(peer_t *peer)
{
	for (size_t i = 0; i < peer->remotes.capacity; i++) {
		hash_node_t *node = peer->remotes.buckets[i];

		while (node != NULL) {
			peer_remote_t *remote = HASH_ENTRY(node, peer_remote_t, by_node);

			node = node->next;
			remote_refuse_waiting(peer, remote);
			free(remote);
		}
	}
	hash_table_free(&peer->remotes);
}
