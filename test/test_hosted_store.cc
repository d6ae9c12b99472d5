// Guards calls on the hosted platform's store against an outcome that is reported as
// certain although it is unknown, a value that is decoded wrongly, and a condition that
// is not sent.
#include "platform/hosted.h"

#include <gtest/gtest.h>
#include <string>

namespace
{

class HostedStore : public testing::Test
{
      protected:
	platform_request_t request = {};
	platform_wire_t wire = {};
	platform_decoded_t decoded = {};

	void
	SetUp() override
	{
		snprintf(request.prefix, sizeof(request.prefix), "masticpitch/");
		buffer_init(&wire.body, 1 << 20);
	}
	void
	TearDown() override
	{
		buffer_free(&wire.body);
		platform_decoded_free(&decoded);
	}
	std::string
	encode(platform_call_kind_t kind, const char *key)
	{
		request.kind = kind;
		snprintf(request.key, sizeof(request.key), "%s", key);
		buffer_consume(&wire.body, wire.body.size);
		EXPECT_EQ(hosted_store_encode(&request, &wire), MASTICPITCH_OK);
		return std::string(wire.method) + " " + wire.path + " " +
		       std::string((const char *)wire.body.data, wire.body.size);
	}
	platform_outcome_t
	decode(platform_call_kind_t kind, const char *key, int status,
	    const std::string &body, const char *epoch = nullptr)
	{
		http_answer_t http = {};
		headers_t headers;

		headers_init(&headers);
		if (epoch != nullptr)
			headers_add(&headers, "store-era", epoch);
		http.headers = &headers;
		http.status = status;
		http.body = body.c_str();
		http.body_size = body.size();
		request.kind = kind;
		snprintf(request.key, sizeof(request.key), "%s", key);
		platform_decoded_free(&decoded);
		hosted_store_decode(&request, &http, &decoded);
		headers_free(&headers);
		return decoded.answer.outcome;
	}
};

TEST_F(HostedStore, CallsAreWritten)
{
	EXPECT_EQ(encode(PLATFORM_CALL_GET, "head"), "GET /-/kv-key?key=op/config ");
	EXPECT_EQ(encode(PLATFORM_CALL_LIST, "relay/"),
	    "GET /-/kv-range?prefix=masticpitch/relay/ ");
	request.after = 7;
	request.wait_ms = 2000;
	EXPECT_EQ(encode(PLATFORM_CALL_WATCH, "head"),
	    "GET /-/kv-watch?prefix=op/config&after=7&waitMs=2000 ");
	request.value = "node-1";
	request.size = 6;
	request.expect = 0;
	request.lease = 5;
	EXPECT_EQ(encode(PLATFORM_CALL_PUT, "relay/z"),
	    "POST /-/kv-txn {\"expectedRev\":[{\"key\":\"masticpitch/relay/"
	    "z\",\"revision\":0}],\"writes\":[{\"key\":\"masticpitch/relay/"
	    "z\",\"lease\":5,\"value\":\"bm9kZS0x\"}],\"remove\":[]}");
	request.expect = PLATFORM_EXPECT_ANY;
	EXPECT_EQ(encode(PLATFORM_CALL_DELETE, "a"),
	    "POST /-/kv-txn "
	    "{\"expectedRev\":[],\"writes\":[],\"remove\":[\"masticpitch/a\"]}");
	EXPECT_EQ(encode(PLATFORM_CALL_LEASE_RENEW, ""), "POST /-/kv-keep/5 ");
	EXPECT_EQ(encode(PLATFORM_CALL_LEASE_REVOKE, ""), "DELETE /-/kv-lease-end/5 ");
}

// Guards: a damaged value is accepted, or a value is taken as that of another key.
TEST_F(HostedStore, ValuesAreRead)
{
	EXPECT_EQ(decode(PLATFORM_CALL_GET, "head", 200,
		      R"({"key":"op/config","value":"bm9kZS0x","revision":4,"at":9})"),
	    PLATFORM_OK);
	EXPECT_EQ(std::string(decoded.answer.value, decoded.answer.size), "node-1");
	EXPECT_EQ(decoded.answer.revision, 4u);
	EXPECT_EQ(decoded.answer.store_revision, 9u);
	EXPECT_EQ(decode(PLATFORM_CALL_GET, "head", 200,
		      R"({"key":"op/config","value":"bm9k!!!","revision":4,"at":9})"),
	    PLATFORM_UNKNOWN);
	EXPECT_EQ(decode(PLATFORM_CALL_GET, "head", 404, ""), PLATFORM_NOT_FOUND);
	EXPECT_EQ(decode(PLATFORM_CALL_LIST, "relay/", 200,
		      R"({"items":[{"key":"masticpitch/relay/z","value":"YQ==",)"
		      R"("revision":3}],"hasMore":false,"at":9})"),
	    PLATFORM_OK);
	ASSERT_EQ(decoded.answer.entry_count, 1u);
	EXPECT_STREQ(decoded.answer.entries[0].key, "relay/z");
	EXPECT_STREQ(decoded.answer.entries[0].value, "a");
}

// Guards: one entry that another program has written hides all others of a list, and a
// key with such a value cannot be replaced at its revision.
TEST_F(HostedStore, ForeignEntriesAreSkipped)
{
	const std::string good =
	    R"({"key":"masticpitch/relay/z","value":"YQ==","revision":3})";
	const char *const foreign[] = {"null", "7", "[[[[]]]]", "{}",
	    R"({"key":"masticpitch/relay/a","revision":3})",
	    R"({"key":"masticpitch/relay/a","value":7,"revision":3})",
	    R"({"key":"masticpitch/relay/a","value":"!!","revision":3})",
	    R"({"key":"masticpitch/relay/a","value":"YQ==","revision":1e400})",
	    R"({"key":"masticpitch/relay/a","value":"YQ==","revision":-1})",
	    R"({"key":"masticpitch/relay/a","value":"YQ=="})",
	    R"({"key":["masticpitch/relay/a"],"value":"YQ==","revision":3})",
	    R"({"key":"elsewhere/a","value":"YQ==","revision":3})"};

	for (const char *entry : foreign) {
		for (const std::string &items :
		    {good + "," + entry, entry + ("," + good)}) {
			ASSERT_EQ(decode(PLATFORM_CALL_LIST, "relay/", 200,
				      "{\"items\":[" + items + "],\"at\":9}"),
			    PLATFORM_OK)
			    << items;
			ASSERT_EQ(decoded.answer.entry_count, 1u) << items;
			EXPECT_EQ(decoded.answer.entries_skipped, 1u) << items;
			EXPECT_STREQ(decoded.answer.entries[0].key, "relay/z");
		}
	}
	EXPECT_EQ(decode(PLATFORM_CALL_LIST, "relay/", 200,
		      "{\"items\":[" + good + "],\"hasMore\":true,\"at\":9}"),
	    PLATFORM_OK);
	EXPECT_EQ(decoded.answer.entry_count, 1u);
	EXPECT_TRUE(decoded.answer.truncated);
	EXPECT_EQ(decode(PLATFORM_CALL_GET, "relay/z", 200,
		      R"({"key":"masticpitch/relay/z","value":"!!","revision":4})"),
	    PLATFORM_UNKNOWN);
	EXPECT_EQ(decoded.answer.revision, 4u);
}

// Guards: a watch returns an older event, or one of another key, as the newest.
// FAULT: the store answers with a document of many small values; a tree of it, which
// takes up to 250 times its size, exceeds the memory of the host.
TEST_F(HostedStore, AnswerWithTooManyValuesIsNotRead)
{
	const size_t size = 4000000;

	for (const std::string value : {"{}", "[]", "[[[]]]", "{\"\":0}", "0"}) {
		std::string body = "{\"at\":5,\"hasMore\":false,\"items\":[" + value;

		while (body.size() < size)
			body += "," + value;
		body += "]}";
		EXPECT_EQ(decode(PLATFORM_CALL_LIST, "", 200, body), PLATFORM_UNKNOWN)
		    << value;
	}
}

// A page of the largest list that the store returns is read.
TEST_F(HostedStore, LargestPageIsRead)
{
	std::string body = "{\"at\":5,\"hasMore\":true,\"items\":[";

	for (int i = 0; i < 500; i++)
		body += std::string(i == 0 ? "" : ",") + "{\"key\":\"masticpitch/" +
			std::to_string(i) + "\",\"value\":\"" + std::string(2000, 'A') +
			"\",\"revision\":4,\"createdAt\":4,\"lease\":0}";
	body += "]}";
	EXPECT_EQ(decode(PLATFORM_CALL_LIST, "", 200, body), PLATFORM_OK);
	EXPECT_EQ(decoded.answer.entry_count, 500u);
}

TEST_F(HostedStore, TheLastEventOfTheKeyCounts)
{
	EXPECT_EQ(decode(PLATFORM_CALL_WATCH, "head", 200,
		      R"({"events":[{"key":"op/config","value":"YQ==","revision":5},)"
		      R"({"key":"op/config","value":"Yg==","revision":6},)"
		      R"({"key":"op/configs","value":"Yw==","revision":7}],"at":7})"),
	    PLATFORM_OK);
	EXPECT_STREQ(decoded.answer.value, "b");
	EXPECT_EQ(decoded.answer.revision, 6u);
	EXPECT_EQ(
	    decode(PLATFORM_CALL_WATCH, "head", 200,
		R"({"events":[{"key":"op/config","revision":8,"deleted":true}],"at":8})"),
	    PLATFORM_NOT_FOUND);
	EXPECT_EQ(decode(PLATFORM_CALL_WATCH, "head", 200, R"({"events":[],"at":9})"),
	    PLATFORM_UNCHANGED);
	EXPECT_EQ(decoded.answer.store_revision, 9u);
	/* The store no longer has that revision: the caller reads the key again. */
	EXPECT_EQ(decode(PLATFORM_CALL_WATCH, "head", 410, ""), PLATFORM_UNCHANGED);
	EXPECT_EQ(decoded.answer.store_revision, 0u);
}

// Guards: an answer of the store after a restore passes for one before, and a watch for a
// key that is absent starts from a revision that the history no longer has.
TEST_F(HostedStore, EpochAndRevisionOfTheStoreAreReadFromEveryAnswer)
{
	for (int status : {200, 404, 410, 412, 429, 503}) {
		decode(PLATFORM_CALL_WATCH, "head", status, "{}", "7");
		EXPECT_EQ(decoded.answer.store_epoch, 7u) << status;
	}
	for (const char *malformed : {"", "x", "-1", "1.5"}) {
		decode(PLATFORM_CALL_GET, "head", 503, "", malformed);
		EXPECT_EQ(decoded.answer.store_epoch, 0u) << malformed;
	}
	EXPECT_EQ(
	    decode(PLATFORM_CALL_GET, "head", 404, R"({"at":9})"), PLATFORM_NOT_FOUND);
	EXPECT_EQ(decoded.answer.store_revision, 9u);
}

// Guards: a write with an unknown outcome is reported as done or as not done.
TEST_F(HostedStore, OutcomesOfWrites)
{
	EXPECT_EQ(
	    decode(PLATFORM_CALL_PUT, "relay/z", 200, R"({"revision":12})"), PLATFORM_OK);
	EXPECT_EQ(decoded.answer.revision, 12u);
	EXPECT_EQ(decode(PLATFORM_CALL_PUT, "relay/z", 200, "{}"), PLATFORM_UNKNOWN);
	EXPECT_EQ(
	    decode(PLATFORM_CALL_PUT, "relay/z", 412,
		R"({"items":[{"key":"masticpitch/relay/z","value":"","revision":3}]})"),
	    PLATFORM_CONFLICT);
	EXPECT_EQ(decoded.answer.revision, 3u);
	EXPECT_EQ(decode(PLATFORM_CALL_PUT, "relay/z", 404, ""), PLATFORM_NOT_FOUND);
	EXPECT_EQ(decode(PLATFORM_CALL_PUT, "relay/z", 503, ""), PLATFORM_REFUSED);
	EXPECT_EQ(decode(PLATFORM_CALL_PUT, "relay/z", 429, ""), PLATFORM_REFUSED);
	EXPECT_EQ(decode(PLATFORM_CALL_PUT, "relay/z", 500, ""), PLATFORM_UNKNOWN);
	EXPECT_EQ(decode(PLATFORM_CALL_LEASE_CREATE, "", 200, R"({"lease":0})"),
	    PLATFORM_UNKNOWN);
}

// Orders and status of rollouts are outside the client's prefix; a write of the status
// must be refused once another node has taken over.
TEST_F(HostedStore, RolloutKeysAndGuardAreWritten)
{
	EXPECT_EQ(encode(PLATFORM_CALL_LIST, PLATFORM_KEY_ROLLOUT_ORDERS),
	    "GET /-/kv-range?prefix=op/rollout/ ");
	request.after = 9;
	request.wait_ms = 100;
	EXPECT_EQ(encode(PLATFORM_CALL_WATCH, PLATFORM_KEY_ROLLOUT_ORDERS),
	    "GET /-/kv-watch?prefix=op/rollout/&after=9&waitMs=100 ");
	request.value = "node-1";
	request.size = 6;
	request.expect = 4;
	request.lease = 0;
	snprintf(request.guard, sizeof(request.guard), "rollout/katalogo/v2");
	request.guard_expect = 8;
	EXPECT_EQ(encode(PLATFORM_CALL_PUT, PLATFORM_KEY_ROLLOUT_STATUS "katalogo"),
	    "POST /-/kv-txn {\"expectedRev\":[{\"key\":\"status/rollout/katalogo\","
	    "\"revision\":4},{\"key\":\"masticpitch/rollout/katalogo/v2\","
	    "\"revision\":8}],\"writes\":[{\"key\":\"status/rollout/katalogo\","
	    "\"lease\":0,\"value\":\"bm9kZS0x\"}],\"remove\":[]}");
}

TEST_F(HostedStore, RolloutOrdersAreListed)
{
	ASSERT_EQ(decode(PLATFORM_CALL_LIST, PLATFORM_KEY_ROLLOUT_ORDERS, 200,
		      "{\"items\":[{\"key\":\"op/rollout/katalogo\",\"value\":\"e30=\","
		      "\"revision\":3}],\"hasMore\":false,\"at\":12}"),
	    PLATFORM_OK);
	ASSERT_EQ(decoded.answer.entry_count, 1u);
	EXPECT_STREQ(decoded.answer.entries[0].key, "katalogo");
	EXPECT_EQ(decoded.answer.entries[0].revision, 3u);
	/* Any event calls for another list; none is no change. */
	EXPECT_EQ(decode(PLATFORM_CALL_WATCH, PLATFORM_KEY_ROLLOUT_ORDERS, 200,
		      "{\"events\":[{\"key\":\"op/rollout/katalogo\",\"revision\":13,"
		      "\"deleted\":true}],\"at\":13}"),
	    PLATFORM_OK);
	EXPECT_EQ(decode(PLATFORM_CALL_WATCH, PLATFORM_KEY_ROLLOUT_ORDERS, 200,
		      "{\"events\":[],\"at\":14}"),
	    PLATFORM_UNCHANGED);
}

} // namespace
