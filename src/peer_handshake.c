#include "peer_internal.h"

#include <sodium.h>
#include <string.h>

#define PROTOCOL_VERSION 1

int
peer_handshake_start(peer_connection_t *connection)
{
	peer_t *peer = connection->peer;
	Masticpitch__Frame frame = MASTICPITCH__FRAME__INIT;
	Masticpitch__Hello hello = MASTICPITCH__HELLO__INIT;
	uint8_t challenge[AUTH_CHALLENGE_BYTES];
	uint32_t key_ids[SETTINGS_KEYS_MAX];
	size_t start = connection->out.size;
	int error;

	randombytes_buf(challenge, sizeof(challenge));
	for (size_t i = 0; i < peer->keys.count; i++)
		key_ids[i] = peer->keys.keys[i].id;
	hello.protocol = PROTOCOL_VERSION;
	hello.node = peer->node;
	hello.boot = kernel_boot_id(peer->kernel);
	hello.n_key_ids = peer->keys.count;
	hello.key_ids = key_ids;
	hello.challenge.len = sizeof(challenge);
	hello.challenge.data = challenge;
	hello.zone = (char *)peer->settings->zone;
	hello.region = (char *)peer->settings->region;
	frame.body_case = MASTICPITCH__FRAME__BODY_HELLO;
	frame.hello = &hello;
	error = frame_append(&frame, 0, &connection->out);
	if (error != MASTICPITCH_OK)
		return error;
	start += FRAME_PREFIX_BYTES;
	connection->hello =
	    chunk_copy(connection->out.data + start, connection->out.size - start);
	if (connection->hello == NULL)
		return MASTICPITCH_E_NOMEM;
	connection->out_total += connection->out.size - start + FRAME_PREFIX_BYTES;
	connection->state = PEER_HELLO;
	peer_connection_dirty(connection);
	return MASTICPITCH_OK;
}

static int
proof_send(peer_connection_t *connection, const mesh_key_t *key)
{
	Masticpitch__Frame frame = MASTICPITCH__FRAME__INIT;
	Masticpitch__Proof proof = MASTICPITCH__PROOF__INIT;
	uint8_t digest[AUTH_PROOF_BYTES];
	size_t start = connection->out.size;
	int error;

	auth_proof(key, connection->role, connection->transcript, digest);
	auth_channel_init(
	    &connection->send_channel, key, connection->role, connection->transcript);
	proof.key_id = key->id;
	proof.digest.len = sizeof(digest);
	proof.digest.data = digest;
	frame.body_case = MASTICPITCH__FRAME__BODY_PROOF;
	frame.proof = &proof;
	error = frame_append(&frame, 0, &connection->out);
	connection->out_total += connection->out.size - start;
	peer_connection_dirty(connection);
	return error;
}

static int
hello_receive(peer_connection_t *connection, const Masticpitch__Hello *hello,
    const uint8_t *body, size_t size)
{
	peer_t *peer = connection->peer;
	const chunk_t *own = connection->hello;
	const mesh_key_t *key;

	if (hello->protocol != PROTOCOL_VERSION || hello->node == 0 || hello->boot == 0 ||
	    hello->node == peer->node || hello->challenge.len != AUTH_CHALLENGE_BYTES ||
	    hello->n_key_ids > SETTINGS_KEYS_MAX)
		return MASTICPITCH_E_INVALID;
	if (connection->remote != NULL && connection->remote->node != hello->node)
		return MASTICPITCH_E_DENIED;
	key = auth_key_choose(&peer->keys, hello->key_ids, hello->n_key_ids);
	if (key == NULL)
		return MASTICPITCH_E_DENIED;
	connection->remote_node = hello->node;
	connection->remote_boot = hello->boot;
	if (connection->role == AUTH_INITIATOR)
		auth_transcript(own->data, own->size, body, size, connection->transcript);
	else
		auth_transcript(body, size, own->data, own->size, connection->transcript);
	connection->state = PEER_PROOF;
	return proof_send(connection, key);
}

/* A node that restarted has lost every stream of its former connections. */
static void
former_boots_close(peer_connection_t *connection)
{
	unsigned count = 0;

	LIST_FOREACH (node, &connection->remote->connections) {
		peer_connection_t *other =
		    LIST_ENTRY(node, peer_connection_t, remote_link);

		if (other == connection || other->state != PEER_READY)
			continue;
		if (other->remote_boot != connection->remote_boot ||
		    ++count >= PEER_CONNECTIONS_PER_NODE_MAX)
			peer_connection_fail(other);
	}
}

static int
proof_receive(peer_connection_t *connection, const Masticpitch__Proof *proof)
{
	peer_t *peer = connection->peer;
	const mesh_key_t *key = auth_key_find(&peer->keys, proof->key_id);
	auth_role_t other =
	    connection->role == AUTH_INITIATOR ? AUTH_ACCEPTOR : AUTH_INITIATOR;

	if (key == NULL || !auth_proof_verify(key, other, connection->transcript,
			       proof->digest.data, proof->digest.len))
		return MASTICPITCH_E_DENIED;
	auth_channel_init(
	    &connection->receive_channel, key, other, connection->transcript);
	if (connection->remote == NULL) {
		connection->remote = peer_remote_get(peer, connection->remote_node);
		if (connection->remote == NULL)
			return MASTICPITCH_E_NOMEM;
		list_append(&connection->remote->connections, &connection->remote_link);
	}
	connection->state = PEER_READY;
	connection->used_at = kernel_now(peer->kernel);
	peer->unauthenticated_count--;
	former_boots_close(connection);
	metrics_set(kernel_metrics(peer->kernel), METRIC_PEER_CONNECTIONS,
	    peer->connection_count - peer->unauthenticated_count);
	peer_remote_ready(peer, connection->remote);
	return MASTICPITCH_OK;
}

int
peer_handshake_receive(peer_connection_t *connection, const Masticpitch__Frame *frame,
    const uint8_t *body, size_t size)
{
	if (connection->state == PEER_HELLO &&
	    frame->body_case == MASTICPITCH__FRAME__BODY_HELLO)
		return hello_receive(connection, frame->hello, body, size);
	if (connection->state == PEER_PROOF &&
	    frame->body_case == MASTICPITCH__FRAME__BODY_PROOF)
		return proof_receive(connection, frame->proof);
	return MASTICPITCH_E_INVALID;
}
