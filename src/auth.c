#include "auth.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

struct auth_windows {
	auth_window_t entries[AUTH_WINDOW_SENDERS];
};

void
auth_keys_init(auth_keys_t *keys, const settings_t *settings)
{
	memset(keys, 0, sizeof(*keys));
	keys->count = settings->key_count;
	memcpy(keys->keys, settings->keys, sizeof(keys->keys));
}

const mesh_key_t *
auth_key_find(const auth_keys_t *keys, uint32_t id)
{
	for (size_t i = 0; i < keys->count; i++)
		if (keys->keys[i].id == id)
			return &keys->keys[i];
	return NULL;
}

const mesh_key_t *
auth_key_choose(const auth_keys_t *keys, const uint32_t *ids, size_t count)
{
	for (size_t i = 0; i < keys->count; i++)
		for (size_t j = 0; j < count; j++)
			if (keys->keys[i].id == ids[j])
				return &keys->keys[i];
	return NULL;
}

void
auth_transcript(const void *initiator, size_t initiator_size, const void *acceptor,
    size_t acceptor_size, uint8_t transcript[AUTH_PROOF_BYTES])
{
	crypto_generichash_state state;
	uint64_t sizes[2] = {initiator_size, acceptor_size};

	crypto_generichash_init(&state, NULL, 0, AUTH_PROOF_BYTES);
	crypto_generichash_update(&state, (const uint8_t *)sizes, sizeof(sizes));
	crypto_generichash_update(&state, initiator, initiator_size);
	crypto_generichash_update(&state, acceptor, acceptor_size);
	crypto_generichash_final(&state, transcript, AUTH_PROOF_BYTES);
}

/* Keyed digest over a purpose, the role and the transcript. */
static void
transcript_digest(const mesh_key_t *key, const char *purpose, auth_role_t role,
    const uint8_t transcript[AUTH_PROOF_BYTES], uint8_t digest[AUTH_PROOF_BYTES])
{
	crypto_generichash_state state;
	uint8_t role_byte = (uint8_t)role;

	crypto_generichash_init(
	    &state, key->secret, SETTINGS_KEY_BYTES, AUTH_PROOF_BYTES);
	crypto_generichash_update(&state, (const uint8_t *)purpose, strlen(purpose) + 1);
	crypto_generichash_update(&state, &role_byte, 1);
	crypto_generichash_update(&state, transcript, AUTH_PROOF_BYTES);
	crypto_generichash_final(&state, digest, AUTH_PROOF_BYTES);
}

void
auth_proof(const mesh_key_t *key, auth_role_t role,
    const uint8_t transcript[AUTH_PROOF_BYTES], uint8_t proof[AUTH_PROOF_BYTES])
{
	transcript_digest(key, "masticpitch proof", role, transcript, proof);
}

bool
auth_proof_verify(const mesh_key_t *key, auth_role_t role,
    const uint8_t transcript[AUTH_PROOF_BYTES], const uint8_t *proof, size_t size)
{
	uint8_t expected[AUTH_PROOF_BYTES];

	if (size != AUTH_PROOF_BYTES)
		return false;
	auth_proof(key, role, transcript, expected);
	return sodium_memcmp(expected, proof, AUTH_PROOF_BYTES) == 0;
}

void
auth_channel_init(auth_channel_t *channel, const mesh_key_t *key, auth_role_t role,
    const uint8_t transcript[AUTH_PROOF_BYTES])
{
	transcript_digest(key, "masticpitch frames", role, transcript, channel->key);
	channel->counter = 0;
}

static void
frame_digest(const auth_channel_t *channel, const void *frame, size_t size,
    uint8_t digest[AUTH_DIGEST_BYTES])
{
	crypto_generichash_state state;

	crypto_generichash_init(
	    &state, channel->key, SETTINGS_KEY_BYTES, AUTH_DIGEST_BYTES);
	crypto_generichash_update(
	    &state, (const uint8_t *)&channel->counter, sizeof(channel->counter));
	crypto_generichash_update(&state, frame, size);
	crypto_generichash_final(&state, digest, AUTH_DIGEST_BYTES);
}

void
auth_channel_sign(auth_channel_t *channel, const void *frame, size_t size,
    uint8_t digest[AUTH_DIGEST_BYTES])
{
	frame_digest(channel, frame, size, digest);
	channel->counter++;
}

bool
auth_channel_verify(auth_channel_t *channel, const void *frame, size_t size,
    const uint8_t digest[AUTH_DIGEST_BYTES])
{
	uint8_t expected[AUTH_DIGEST_BYTES];

	frame_digest(channel, frame, size, expected);
	if (sodium_memcmp(expected, digest, AUTH_DIGEST_BYTES) != 0)
		return false;
	channel->counter++;
	return true;
}

static void
datagram_digest(const mesh_key_t *key, uint64_t receiver, const void *content,
    size_t size, uint8_t digest[AUTH_DIGEST_BYTES])
{
	crypto_generichash_state state;

	crypto_generichash_init(
	    &state, key->secret, SETTINGS_KEY_BYTES, AUTH_DIGEST_BYTES);
	crypto_generichash_update(&state, (const uint8_t *)"masticpitch datagram", 21);
	crypto_generichash_update(&state, (const uint8_t *)&receiver, sizeof(receiver));
	crypto_generichash_update(&state, content, size);
	crypto_generichash_final(&state, digest, AUTH_DIGEST_BYTES);
}

void
auth_datagram_sign(const auth_keys_t *keys, uint64_t receiver, const void *content,
    size_t size, uint8_t *out)
{
	out[0] = keys->keys[0].id;
	datagram_digest(&keys->keys[0], receiver, content, size, out + 1);
	memcpy(out + AUTH_DATAGRAM_HEAD_BYTES, content, size);
}

int
auth_datagram_verify(const auth_keys_t *keys, uint64_t receiver, const uint8_t *data,
    size_t size, const uint8_t **content, size_t *content_size)
{
	uint8_t expected[AUTH_DIGEST_BYTES];
	const mesh_key_t *key;

	if (size <= AUTH_DATAGRAM_HEAD_BYTES)
		return MASTICPITCH_E_INVALID;
	key = auth_key_find(keys, data[0]);
	if (key == NULL)
		return MASTICPITCH_E_DENIED;
	*content = data + AUTH_DATAGRAM_HEAD_BYTES;
	*content_size = size - AUTH_DATAGRAM_HEAD_BYTES;
	datagram_digest(key, receiver, *content, *content_size, expected);
	if (sodium_memcmp(expected, data + 1, AUTH_DIGEST_BYTES) != 0)
		return MASTICPITCH_E_DENIED;
	return MASTICPITCH_OK;
}

auth_windows_t *
auth_windows_create(void)
{
	return calloc(1, sizeof(auth_windows_t));
}

void
auth_windows_destroy(auth_windows_t *windows)
{
	free(windows);
}

/* The entry of the node, or a cleared one: free or the least recently received one. */
static auth_window_t *
window_find(auth_windows_t *windows, uint64_t node)
{
	auth_window_t *oldest = NULL;

	for (size_t i = 0; i < AUTH_WINDOW_PROBES; i++) {
		auth_window_t *entry =
		    &windows->entries[(node + i) % AUTH_WINDOW_SENDERS];

		if (entry->node == node)
			return entry;
		if (oldest == NULL || entry->received_at < oldest->received_at)
			oldest = entry;
	}
	memset(oldest, 0, sizeof(*oldest));
	return oldest;
}

int
auth_windows_accept(auth_windows_t *windows, uint64_t node, uint64_t boot,
    uint64_t incarnation, uint64_t sequence, uint64_t now, uint64_t *recorded_incarnation)
{
	auth_window_t *window = window_find(windows, node);
	uint64_t distance;

	if (window->node == node && window->boot != boot) {
		if (incarnation <= window->incarnation) {
			*recorded_incarnation = window->incarnation;
			return MASTICPITCH_E_STALE;
		}
		window->node = 0;
	}
	if (window->node == 0) {
		*window = (auth_window_t){node, boot, incarnation, sequence, 1, now};
		return MASTICPITCH_OK;
	}
	if (sequence > window->highest) {
		distance = sequence - window->highest;
		window->bits =
		    distance < AUTH_WINDOW_BITS ? window->bits << distance | 1 : 1;
		window->highest = sequence;
	} else {
		distance = window->highest - sequence;
		if (distance >= AUTH_WINDOW_BITS || (window->bits >> distance & 1) != 0)
			return MASTICPITCH_E_EXISTS;
		window->bits |= UINT64_C(1) << distance;
	}
	window->incarnation = MAX_OF(window->incarnation, incarnation);
	window->received_at = now;
	return MASTICPITCH_OK;
}
