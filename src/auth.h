/*
 * Authentication between nodes by shared keys: the handshake of a TCP
 * connection, a keyed digest for each frame, and signed datagrams with a replay
 * window. Uses BLAKE2b from libsodium. No I/O. Not thread-safe.
 */
#ifndef MASTICPITCH_AUTH_H
#define MASTICPITCH_AUTH_H

#include "settings.h"
#include "util.h"

#ifdef __cplusplus
extern "C" {
#endif

#define AUTH_CHALLENGE_BYTES 32
#define AUTH_DIGEST_BYTES 16
#define AUTH_PROOF_BYTES 32

/* The keys of this node: the first one signs, each one may verify. */
typedef struct auth_keys {
	mesh_key_t keys[SETTINGS_KEYS_MAX];
	size_t count;
} auth_keys_t;

void auth_keys_init(auth_keys_t *keys, const settings_t *settings);
/* The first own key whose id is among ids, or NULL. */
const mesh_key_t *auth_key_choose(
    const auth_keys_t *keys, const uint32_t *ids, size_t count);
const mesh_key_t *auth_key_find(const auth_keys_t *keys, uint32_t id);

/* The side of a connection that signs; part of each proof, against reflection. */
typedef enum auth_role { AUTH_INITIATOR = 1, AUTH_ACCEPTOR = 2 } auth_role_t;

/* Digest of both Hello bodies as they were on the wire, the initiator's first. */
void auth_transcript(const void *initiator, size_t initiator_size, const void *acceptor,
    size_t acceptor_size, uint8_t transcript[AUTH_PROOF_BYTES]);
void auth_proof(const mesh_key_t *key, auth_role_t role,
    const uint8_t transcript[AUTH_PROOF_BYTES], uint8_t proof[AUTH_PROOF_BYTES]);
/* True only if proof is the one that role makes with that key. */
bool auth_proof_verify(const mesh_key_t *key, auth_role_t role,
    const uint8_t transcript[AUTH_PROOF_BYTES], const uint8_t *proof, size_t size);

/* One direction of a connection: its key and the number of the next frame. */
typedef struct auth_channel {
	uint8_t key[SETTINGS_KEY_BYTES];
	uint64_t counter;
} auth_channel_t;

/* The channel on which role sends, with a key derived from its proof's key. */
void auth_channel_init(auth_channel_t *channel, const mesh_key_t *key, auth_role_t role,
    const uint8_t transcript[AUTH_PROOF_BYTES]);
/* Digest of the next frame; increments the counter. */
void auth_channel_sign(auth_channel_t *channel, const void *frame, size_t size,
    uint8_t digest[AUTH_DIGEST_BYTES]);
/* False for a frame that is not the next one; the counter is then unchanged. */
bool auth_channel_verify(auth_channel_t *channel, const void *frame, size_t size,
    const uint8_t digest[AUTH_DIGEST_BYTES]);

/* A datagram on the wire: key id, digest, content. */
#define AUTH_DATAGRAM_HEAD_BYTES (1 + AUTH_DIGEST_BYTES)

/* Writes head and content to out, which holds size + AUTH_DATAGRAM_HEAD_BYTES. */
void auth_datagram_sign(const auth_keys_t *keys, uint64_t receiver, const void *content,
    size_t size, uint8_t *out);
/*
 * Checks a datagram for this receiver; content points into data. Errors:
 * MASTICPITCH_E_INVALID if it is too short, MASTICPITCH_E_DENIED for an unknown
 * key, another receiver or a wrong digest.
 */
int auth_datagram_verify(const auth_keys_t *keys, uint64_t receiver, const uint8_t *data,
    size_t size, const uint8_t **content, size_t *content_size);

/* Replay window: sequence numbers up to the newest one, each accepted once. */
#define AUTH_WINDOW_BITS 64
/* Senders tracked; the least recently received one is evicted. */
#define AUTH_WINDOW_SENDERS 16384
#define AUTH_WINDOW_PROBES 8

typedef struct auth_window {
	uint64_t node; /* 0: free */
	uint64_t boot;
	uint64_t incarnation; /* largest one seen in this boot */
	uint64_t highest;
	uint64_t bits;	      /* bit i: highest - i was seen */
	uint64_t received_at; /* ns */
} auth_window_t;

typedef struct auth_windows auth_windows_t;

/* NULL: no memory. */
auth_windows_t *auth_windows_create(void);
void auth_windows_destroy(auth_windows_t *windows);
/*
 * Records a verified datagram. Errors: MASTICPITCH_E_EXISTS for a sequence that
 * was seen or is older than the window, MASTICPITCH_E_STALE for a boot that is not
 * the newest one of the sender; recorded_incarnation is then set.
 */
int auth_windows_accept(auth_windows_t *windows, uint64_t node, uint64_t boot,
    uint64_t incarnation, uint64_t sequence, uint64_t now,
    uint64_t *recorded_incarnation);

#ifdef __cplusplus
}
#endif

#endif
