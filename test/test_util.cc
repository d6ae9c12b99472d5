// Guards the parsers against accepting values out of range, the random number
// generator against sequences that depend on more than the seed, and the removal
// of hop-by-hop header fields. Also covers buffer limits, quantiles of histograms
// and message delivery by the kernel.
#include "buffer.h"
#include "chunk_queue.h"
#include "headers.h"
#include "json_text.h"
#include "kernel.h"
#include "metrics.h"
#include "os.h"
#include "util.h"

#include <gtest/gtest.h>
#include <string.h>
#include <sys/mman.h>

TEST(Util, NumbersOutOfRangeAreRefused)
{
	uint64_t value = 7;

	EXPECT_EQ(string_parse_uint("65535", 65535, &value), 0);
	EXPECT_EQ(value, 65535u);
	EXPECT_NE(string_parse_uint("65536", 65535, &value), 0);
	EXPECT_NE(string_parse_uint("", 9, &value), 0);
	EXPECT_NE(string_parse_uint("-1", 9, &value), 0);
	EXPECT_NE(string_parse_uint("99999999999999999999999", UINT64_MAX, &value), 0);
}

TEST(Util, AddressesRoundTrip)
{
	address_t address;
	char text[ADDRESS_TEXT_BYTES];

	ASSERT_EQ(address_parse("127.1.2.3:7000", &address), 0);
	address_format(&address, text);
	EXPECT_STREQ(text, "127.1.2.3:7000");
	EXPECT_NE(address_parse("127.1.2.3", &address), 0);
	EXPECT_NE(address_parse("host:80", &address), 0);
	EXPECT_NE(address_parse("127.1.2.3:70000", &address), 0);
}

TEST(Util, RandomSequenceDependsOnlyOnTheSeed)
{
	rng_t a, b;

	rng_init(&a, 42);
	rng_init(&b, 42);
	for (int i = 0; i < 1000; i++) {
		uint64_t bound = 1 + (uint64_t)i;
		uint64_t drawn = rng_below(&a, bound);

		EXPECT_EQ(drawn, rng_below(&b, bound));
		EXPECT_LT(drawn, bound);
	}
}

TEST(Headers, HopByHopAndNamedFieldsAreRemoved)
{
	headers_t headers;

	headers_init(&headers);
	headers_add(&headers, "Connection", "close, X-Secret");
	headers_add(&headers, "X-Secret", "1");
	headers_add(&headers, "Masticpitch-Run", "no");
	headers_add(&headers, "Accept", "text/plain");
	headers_strip(&headers);
	EXPECT_EQ(headers.count, 1u);
	EXPECT_STREQ(headers_find(&headers, "accept"), "text/plain");
	EXPECT_NE(headers_add(&headers, "A", "b\r\nC: d"), 0);
	headers_free(&headers);
}

TEST(Buffer, LimitIsEnforced)
{
	buffer_t buffer;

	buffer_init(&buffer, 10);
	EXPECT_EQ(buffer_append(&buffer, "0123456789", 10), 0);
	EXPECT_EQ(buffer_append(&buffer, "x", 1), MASTICPITCH_E_LIMIT);
	buffer_consume(&buffer, 4);
	EXPECT_STREQ(buffer_text(&buffer), "456789");
	buffer_free(&buffer);
}

// The highest memory of a process that is killed for it is known only from a metric.
TEST(Os, PeakOfTheMemoryStaysAfterItIsReturned)
{
	const size_t size = 64 * 1024 * 1024;
	void *block =
	    mmap(NULL, size, PROT_READ | PROT_WRITE, MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);

	ASSERT_NE(block, MAP_FAILED);
	memset(block, 'x', size);
	ASSERT_GE(os_memory_resident(), size);
	ASSERT_EQ(munmap(block, size), 0);
	EXPECT_GE(os_memory_peak(), size);
	EXPECT_GE(os_memory_peak(), os_memory_resident() + size / 2);
}

// FAULT, LOST: a queue that keeps each piece of a body by itself uses many times the
// memory of its bytes.
TEST(ChunkQueue, MemoryIsInProportionToTheBytes)
{
	const size_t size = 256 * 1024;
	chunk_queue_t queue;
	size_t capacity = 0;

	chunk_queue_init(&queue);
	for (size_t i = 0; i < size; i++)
		ASSERT_EQ(chunk_queue_push(&queue, chunk_copy("x", 1)), 0);
	for (size_t i = 0; i < queue.count; i++)
		capacity += sizeof(chunk_t) + queue.slots[i].chunk->capacity;
	EXPECT_EQ(queue.size, size);
	EXPECT_LE(capacity + queue.capacity * sizeof(*queue.slots), 2 * size);
	chunk_queue_free(&queue);
}

// Pieces of all sizes, some shared with another owner, come out as they went in.
TEST(ChunkQueue, BytesKeepTheirOrder)
{
	for (uint64_t seed = 1; seed <= 200; seed++) {
		std::string in, out;
		chunk_queue_t queue;
		char data[3000];
		rng_t rng;

		rng_init(&rng, seed);
		chunk_queue_init(&queue);
		for (int i = 0; i < 300; i++) {
			size_t size = 1 + rng_below(&rng, rng_below(&rng, 2) ? 8 : 3000);
			std::string piece(size, static_cast<char>('a' + i % 26));
			chunk_t *chunk = chunk_copy(piece.data(), size);
			chunk_t *other = i % 7 == 0 ? chunk_hold(chunk) : nullptr;

			ASSERT_EQ(chunk_queue_push(&queue, chunk), 0);
			in += piece;
			if (rng_below(&rng, 3) == 0)
				out.append(data, chunk_queue_read(&queue, data,
						     1 + rng_below(&rng, sizeof(data))));
			if (other != nullptr) {
				ASSERT_EQ(
				    std::string((char *)other->data, other->size), piece);
				chunk_release(other);
			}
		}
		while (queue.size > 0)
			out.append(data, chunk_queue_read(&queue, data, sizeof(data)));
		ASSERT_EQ(in, out) << "seed " << seed;
		chunk_queue_free(&queue);
	}
}

// FAULT: a text of many small values, whose tree has hundreds of times its size, uses up
// the memory of the host.
TEST(JsonText, TreesThatAreTooLargeAreRefused)
{
	for (const char *item : {"{}", "[]", "0", "{\"a\":{}}"}) {
		std::string text = "{\"list\":[" + std::string(item);
		struct json_object *object = NULL;
		json_report_t report;
		char message[200];

		while (text.size() < 1024 * 1024)
			text += "," + std::string(item);
		text += "]}";
		json_report_init(&report, message, sizeof(message));
		EXPECT_EQ(json_text_parse(text.data(), text.size(), text.size(), false,
			      &object, &report),
		    MASTICPITCH_E_LIMIT)
		    << item;
		EXPECT_NE(std::string(message).find("too many values"), std::string::npos)
		    << message;
		json_object_put(object);
	}
}

// Brackets and commas in strings cost nothing.
TEST(JsonText, LongStringsAreNotTakenForManyValues)
{
	std::string text = "{\"value\":\"" + std::string(1000000, '{') + "\"}";
	struct json_object *object = NULL;
	json_report_t report;

	json_report_init(&report, NULL, 0);
	EXPECT_EQ(json_text_parse(
		      text.data(), text.size(), text.size(), false, &object, &report),
	    0);
	json_object_put(object);
}

TEST(Metrics, QuantileLiesWithinABucketOfTheSample)
{
	metrics_t metrics = {};

	for (uint64_t us = 1; us <= 1000; us++)
		metrics_observe(&metrics, HISTOGRAM_REQUEST, us * NS_PER_US);
	EXPECT_NEAR(
	    (double)histogram_quantile(&metrics.histograms[HISTOGRAM_REQUEST], 0.5), 500,
	    70);
	EXPECT_NEAR(
	    (double)histogram_quantile(&metrics.histograms[HISTOGRAM_REQUEST], 0.99), 990,
	    130);
}

static void
receive(void *state, message_t *message)
{
	static_cast<std::vector<uint64_t> *>(state)->push_back(message->stream);
}

TEST(Kernel, MessagesArriveInOrderAndAServiceIsFoundByName)
{
	kernel_t *kernel;
	std::vector<uint64_t> seen;
	service_t service = {};

	ASSERT_EQ(kernel_create(1, &kernel), 0);
	service.name = "gate";
	service.state = &seen;
	service.receive = receive;
	ASSERT_EQ(kernel_service_register(kernel, &service), 0);
	EXPECT_EQ(kernel_service_register(kernel, &service), MASTICPITCH_E_EXISTS);
	EXPECT_EQ(kernel_service_find(kernel, "gate"), &service);
	for (uint64_t i = 0; i < 1000; i++)
		kernel_message_post(
		    kernel, NULL, &service, message_create(MESSAGE_CALL_CANCEL, 0, i));
	while (!kernel_is_idle(kernel))
		ev_run(kernel_loop(kernel), EVRUN_NOWAIT);
	ASSERT_EQ(seen.size(), 1000u);
	EXPECT_EQ(seen.front(), 0u);
	EXPECT_EQ(seen.back(), 999u);
	kernel_service_unregister(kernel, &service);
	kernel_destroy(kernel);
}

// FAULT: sockets that give more messages at once than the kernel delivers between two
// polls let the queue grow without bound.
TEST(Kernel, AllMessagesQueuedAtAPollAreDeliveredBeforeTheNext)
{
	const uint64_t count = 4 * KERNEL_MESSAGES_PER_ITERATION;
	kernel_t *kernel;
	std::vector<uint64_t> seen;
	service_t service = {};

	ASSERT_EQ(kernel_create(1, &kernel), 0);
	service.name = "gate";
	service.state = &seen;
	service.receive = receive;
	ASSERT_EQ(kernel_service_register(kernel, &service), 0);
	for (uint64_t i = 0; i < count; i++)
		kernel_message_post(
		    kernel, NULL, &service, message_create(MESSAGE_CALL_CANCEL, 0, i));
	ev_run(kernel_loop(kernel), EVRUN_NOWAIT);
	EXPECT_EQ(seen.size(), count);
	kernel_service_unregister(kernel, &service);
	kernel_destroy(kernel);
}
