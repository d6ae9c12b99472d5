// Guards the compressed form of configuration messages: what it carries must arrive
// unchanged, and no block may expand beyond its bound or hold another one.
#include "masticpitch.pb-c.h"
#include "spread_message.h"

#include <gtest/gtest.h>
#include <lz4.h>
#include <string.h>
#include <string>
#include <vector>

namespace
{

spread_message_t *
parts_message(const std::string &content)
{
	spread_message_t *message = spread_message_create(SPREAD_PARTS, 7);
	spread_piece_t piece = {};

	piece.content = chunk_copy(content.data(), content.size());
	piece.total = (uint32_t)content.size();
	digest_compute(content.data(), content.size(), &piece.digest);
	EXPECT_EQ(spread_message_piece_add(message, &piece), 0);
	chunk_release(piece.content);
	return message;
}

// The packed form of a message that carries a block of that plain size.
std::vector<uint8_t>
packed_block(const void *block, size_t size, uint32_t plain_size,
    Masticpitch__ConfigMessage__Kind kind = MASTICPITCH__CONFIG_MESSAGE__KIND__PARTS)
{
	Masticpitch__ConfigMessage message = MASTICPITCH__CONFIG_MESSAGE__INIT;
	std::vector<uint8_t> packed;

	message.kind = kind;
	message.lz4.data = (uint8_t *)const_cast<void *>(block);
	message.lz4.len = size;
	message.plain_size = plain_size;
	packed.resize(masticpitch__config_message__get_packed_size(&message));
	masticpitch__config_message__pack(&message, packed.data());
	return packed;
}

std::vector<char>
compress(const void *data, size_t size)
{
	std::vector<char> block((size_t)LZ4_compressBound((int)size));

	block.resize((size_t)LZ4_compress_default(
	    (const char *)data, block.data(), (int)size, (int)block.size()));
	return block;
}

TEST(SpreadMessage, CompressedPartsArriveUnchanged)
{
	std::string content;

	for (int i = 0; i < 2000; i++)
		content += "\"route-" + std::to_string(i) + "\":{\"prefix\":\"/a/\"},";
	for (bool compressed : {false, true}) {
		spread_message_t *message = parts_message(content), *result = nullptr;
		chunk_t *packed;

		message->compress = compressed;
		packed = spread_message_pack(message);
		ASSERT_NE(packed, nullptr);
		EXPECT_EQ(packed->size < content.size() / 3, compressed);
		ASSERT_EQ(spread_message_unpack(packed->data, packed->size, &result), 0);
		EXPECT_EQ(result->kind, SPREAD_PARTS);
		EXPECT_EQ(result->version, 7u);
		ASSERT_EQ(result->piece_count, 1u);
		EXPECT_EQ(std::string((const char *)result->pieces[0].content->data,
			      result->pieces[0].content->size),
		    content);
		spread_message_release(result);
		spread_message_release(message);
		chunk_release(packed);
	}
}

TEST(SpreadMessage, RequestTellsThatTheAnswerMayBeCompressed)
{
	spread_message_t *message = spread_message_create(SPREAD_PULL_PARTS, 7);
	spread_message_t *result = nullptr;
	chunk_t *packed;

	message->accepts_lz4 = true;
	packed = spread_message_pack(message);
	ASSERT_EQ(spread_message_unpack(packed->data, packed->size, &result), 0);
	EXPECT_TRUE(result->accepts_lz4);
	spread_message_release(result);
	spread_message_release(message);
	chunk_release(packed);
}

TEST(SpreadMessage, BlocksThatLieAboutTheirContentAreRefused)
{
	std::vector<uint8_t> zeros(4 * SPREAD_PLAIN_MAX_BYTES);
	spread_message_t *message = parts_message("x"), *result = nullptr;
	chunk_t *plain = spread_message_pack(message);
	std::vector<char> good = compress(plain->data, plain->size);
	std::vector<char> bomb = compress(zeros.data(), zeros.size());
	uint32_t size = (uint32_t)plain->size;
	std::vector<uint8_t> inner = packed_block(good.data(), good.size(), size);
	std::vector<char> nested = compress(inner.data(), inner.size());
	const std::vector<uint8_t> refused[] = {
	    packed_block(bomb.data(), bomb.size(), (uint32_t)zeros.size()),
	    packed_block(bomb.data(), bomb.size(), SPREAD_PLAIN_MAX_BYTES),
	    packed_block(nested.data(), nested.size(), (uint32_t)inner.size()),
	    packed_block(good.data(), good.size(), size + 1),
	    packed_block(good.data(), good.size(), size - 1),
	    packed_block(good.data(), good.size(), 0),
	    packed_block(good.data(), good.size() - 1, size),
	    packed_block(
		good.data(), good.size(), size, MASTICPITCH__CONFIG_MESSAGE__KIND__PUSH),
	};

	ASSERT_EQ(spread_message_unpack(inner.data(), inner.size(), &result), 0);
	spread_message_release(result);
	for (const std::vector<uint8_t> &packed : refused)
		EXPECT_EQ(spread_message_unpack(packed.data(), packed.size(), &result),
		    MASTICPITCH_E_INVALID);
	spread_message_release(message);
	chunk_release(plain);
}

} // namespace
