// Guards authentication between nodes against foreign keys, reflected proofs,
// replayed, reordered and redirected frames and datagrams.
#include "auth.h"

#include <gtest/gtest.h>
#include <string.h>

static auth_keys_t
keys_of(std::initializer_list<std::pair<int, int>> list)
{
	auth_keys_t keys;

	memset(&keys, 0, sizeof(keys));
	for (auto [id, fill] : list) {
		keys.keys[keys.count].id = (uint8_t)id;
		memset(keys.keys[keys.count++].secret, fill, SETTINGS_KEY_BYTES);
	}
	return keys;
}

TEST(Auth, ProofHoldsOnlyForKeyRoleAndTranscript)
{
	auth_keys_t keys = keys_of({{1, 1}, {2, 2}});
	uint8_t transcript[AUTH_PROOF_BYTES], other[AUTH_PROOF_BYTES];
	uint8_t proof[AUTH_PROOF_BYTES];

	auth_transcript("abc", 3, "de", 2, transcript);
	auth_transcript("ab", 2, "cde", 3, other);
	auth_proof(&keys.keys[0], AUTH_INITIATOR, transcript, proof);
	EXPECT_TRUE(auth_proof_verify(
	    &keys.keys[0], AUTH_INITIATOR, transcript, proof, sizeof(proof)));
	EXPECT_FALSE(auth_proof_verify(
	    &keys.keys[0], AUTH_ACCEPTOR, transcript, proof, sizeof(proof)));
	EXPECT_FALSE(auth_proof_verify(
	    &keys.keys[1], AUTH_INITIATOR, transcript, proof, sizeof(proof)));
	EXPECT_FALSE(auth_proof_verify(
	    &keys.keys[0], AUTH_INITIATOR, other, proof, sizeof(proof)));
	EXPECT_FALSE(
	    auth_proof_verify(&keys.keys[0], AUTH_INITIATOR, transcript, proof, 16));
}

TEST(Auth, RotationFindsACommonKey)
{
	auth_keys_t old_first = keys_of({{1, 1}, {2, 2}});
	const uint32_t only_new[] = {2}, foreign[] = {9};

	EXPECT_EQ(auth_key_choose(&old_first, only_new, 1)->id, 2);
	EXPECT_EQ(auth_key_choose(&old_first, foreign, 1), nullptr);
	EXPECT_EQ(auth_key_choose(&old_first, foreign, 0), nullptr);
}

TEST(Auth, FramesAreAcceptedOnceAndInOrder)
{
	auth_keys_t keys = keys_of({{1, 1}});
	uint8_t transcript[AUTH_PROOF_BYTES] = {0};
	uint8_t first[AUTH_DIGEST_BYTES], second[AUTH_DIGEST_BYTES];
	auth_channel_t sender, receiver;

	auth_channel_init(&sender, &keys.keys[0], AUTH_INITIATOR, transcript);
	auth_channel_init(&receiver, &keys.keys[0], AUTH_INITIATOR, transcript);
	auth_channel_sign(&sender, "one", 3, first);
	auth_channel_sign(&sender, "two", 3, second);
	EXPECT_FALSE(auth_channel_verify(&receiver, "two", 3, second));
	EXPECT_TRUE(auth_channel_verify(&receiver, "one", 3, first));
	EXPECT_FALSE(auth_channel_verify(&receiver, "one", 3, first));
	EXPECT_FALSE(auth_channel_verify(&receiver, "twO", 3, second));
	EXPECT_TRUE(auth_channel_verify(&receiver, "two", 3, second));
}

TEST(Auth, DatagramsAreForOneReceiverAndBothKeysVerify)
{
	auth_keys_t keys = keys_of({{1, 1}, {2, 2}});
	auth_keys_t rotated = keys_of({{2, 2}, {3, 3}});
	auth_keys_t foreign = keys_of({{2, 9}});
	uint8_t wire[64];
	const uint8_t *content;
	size_t size;

	auth_datagram_sign(&rotated, 7, "hello", 5, wire);
	const size_t total = 5 + AUTH_DATAGRAM_HEAD_BYTES;
	ASSERT_EQ(auth_datagram_verify(&keys, 7, wire, total, &content, &size), 0);
	EXPECT_EQ(std::string((const char *)content, size), "hello");
	EXPECT_NE(auth_datagram_verify(&keys, 8, wire, total, &content, &size), 0);
	EXPECT_NE(auth_datagram_verify(&foreign, 7, wire, total, &content, &size), 0);
	EXPECT_NE(auth_datagram_verify(&keys, 7, wire, total - 1, &content, &size), 0);
	EXPECT_NE(auth_datagram_verify(&keys, 7, wire, 5, &content, &size), 0);
	wire[total - 1] ^= 1;
	EXPECT_NE(auth_datagram_verify(&keys, 7, wire, total, &content, &size), 0);
}

TEST(Auth, ReplayWindowRefusesRepeatsOldOnesAndFormerBoots)
{
	auth_windows_t *windows = auth_windows_create();
	uint64_t recorded_incarnation = 0;

	EXPECT_EQ(
	    auth_windows_accept(windows, 5, 1, 100, 10, 1, &recorded_incarnation), 0);
	EXPECT_NE(
	    auth_windows_accept(windows, 5, 1, 100, 10, 1, &recorded_incarnation), 0);
	EXPECT_EQ(
	    auth_windows_accept(windows, 5, 1, 100, 9, 1, &recorded_incarnation), 0);
	EXPECT_NE(
	    auth_windows_accept(windows, 5, 1, 100, 9, 1, &recorded_incarnation), 0);
	EXPECT_EQ(
	    auth_windows_accept(windows, 5, 1, 100, 80, 1, &recorded_incarnation), 0);
	EXPECT_NE(
	    auth_windows_accept(windows, 5, 1, 100, 12, 1, &recorded_incarnation), 0);
	EXPECT_EQ(
	    auth_windows_accept(windows, 5, 1, 100, 17, 1, &recorded_incarnation), 0);
	// A new boot is accepted only with a larger incarnation, a former one never.
	EXPECT_EQ(auth_windows_accept(windows, 5, 2, 100, 1, 1, &recorded_incarnation),
	    MASTICPITCH_E_STALE);
	EXPECT_EQ(recorded_incarnation, 100u);
	EXPECT_EQ(
	    auth_windows_accept(windows, 5, 2, 101, 1, 1, &recorded_incarnation), 0);
	EXPECT_EQ(auth_windows_accept(windows, 5, 1, 100, 500, 1, &recorded_incarnation),
	    MASTICPITCH_E_STALE);
	auth_windows_destroy(windows);
}
