// Guards the platform client against wrong outcomes: a lost answer must never be
// reported as "not done", nor a refusal as success.
#include "platform.h"
#include "util.h"

#include <gtest/gtest.h>
#include <string>

// Replaces the HTTP client: stores the last request and answers on demand.
struct http_call {
	std::string method, url, body;
	http_callback_t callback;
	void *state;
	bool cancelled;
};

static http_call last;

extern "C" int
http_client_call(http_client_t *client, const http_request_t *request,
    http_callback_t callback, void *state, http_call_t **call)
{
	last = {request->method, request->url,
	    request->body ? std::string(request->body, request->body_size) : "", callback,
	    state, false};
	*call = &last;
	return 0;
}

extern "C" int
http_client_create(struct ev_loop *loop, unsigned max_connections, http_client_t **client)
{
	return 0;
}

extern "C" void
http_client_destroy(http_client_t *client)
{
}

extern "C" void
http_call_cancel(http_call_t *call)
{
	call->cancelled = true;
}

class Platform : public ::testing::Test
{
      protected:
	platform_t *platform = NULL;
	metrics_t metrics = {};
	platform_answer_t answer = {};
	std::string value;
	std::vector<std::string> keys;
	int answers = 0;

	void
	SetUp() override
	{
		platform_options_t options = {
		    NULL, NULL, &metrics, "http://127.0.0.1:1/", "masticpitch/"};
		ASSERT_EQ(platform_create(&options, &platform), 0);
	}
	void
	TearDown() override
	{
		platform_destroy(platform);
	}
	static void
	callback(void *state, const platform_answer_t *answer)
	{
		Platform *self = static_cast<Platform *>(state);

		self->answer = *answer;
		self->value = answer->value ? answer->value : "";
		self->keys.clear();
		for (size_t i = 0; i < answer->entry_count; i++)
			self->keys.push_back(answer->entries[i].key);
		self->answers++;
	}
	platform_outcome_t
	finish(int error, bool sent, int status, const char *body = "",
	    const char *revision = NULL)
	{
		headers_t headers;
		http_answer_t http = {error, sent, status, &headers, body, strlen(body)};

		headers_init(&headers);
		if (revision)
			headers_add(&headers, "Revision", revision);
		last.callback(last.state, &http);
		headers_free(&headers);
		return answer.outcome;
	}
	void
	put()
	{
		platform_put_t request = {"head", "{}", 2, 7, 9};
		ASSERT_EQ(platform_put(platform, &request, 0, callback, this, NULL), 0);
	}
};

TEST_F(Platform, PutOutcomesDistinguishNotDoneFromUnknown)
{
	put();
	EXPECT_EQ(last.url, "http://127.0.0.1:1/v1/kv/masticpitch/head?expect=7&lease=9");
	EXPECT_EQ(last.body, "{}");
	EXPECT_EQ(finish(0, true, 200, "{\"revision\":8}"), PLATFORM_OK);
	EXPECT_EQ(answer.revision, 8u);
	put();
	EXPECT_EQ(finish(0, true, 409, "{\"revision\":12}"), PLATFORM_CONFLICT);
	EXPECT_EQ(answer.revision, 12u);
	put();
	EXPECT_EQ(finish(0, true, 429), PLATFORM_REFUSED);
	put();
	EXPECT_EQ(finish(0, true, 503), PLATFORM_REFUSED);
	put();
	EXPECT_EQ(finish(MASTICPITCH_E_UNREACHABLE, false, 0), PLATFORM_NOT_SENT);
	put();
	EXPECT_EQ(finish(MASTICPITCH_E_TIMEOUT, true, 0), PLATFORM_UNKNOWN);
	put();
	EXPECT_EQ(finish(0, true, 200, "{\"revi"), PLATFORM_UNKNOWN);
	put();
	EXPECT_EQ(finish(0, true, 500), PLATFORM_UNKNOWN);
	EXPECT_EQ(metrics.values[METRIC_PLATFORM_CALLS], 8u);
	EXPECT_EQ(metrics.values[METRIC_PLATFORM_REFUSED], 2u);
	EXPECT_EQ(metrics.values[METRIC_PLATFORM_UNKNOWN], 3u);
	EXPECT_EQ(metrics.values[METRIC_PLATFORM_WAITING], 0u);
	EXPECT_FALSE(platform_health(platform).reachable);
}

TEST_F(Platform, ReadsAndWatches)
{
	ASSERT_EQ(platform_get(platform, "head", 0, callback, this, NULL), 0);
	EXPECT_EQ(finish(0, true, 200, "text", "5"), PLATFORM_OK);
	EXPECT_EQ(value, "text");
	EXPECT_EQ(answer.revision, 5u);
	ASSERT_EQ(platform_get(platform, "head", 0, callback, this, NULL), 0);
	EXPECT_EQ(finish(0, true, 200, "text"), PLATFORM_UNKNOWN) << "no revision";
	ASSERT_EQ(platform_get(platform, "head", 0, callback, this, NULL), 0);
	EXPECT_EQ(finish(0, true, 404), PLATFORM_NOT_FOUND);
	ASSERT_EQ(platform_watch(platform, "head", 5, 100, 0, callback, this, NULL), 0);
	EXPECT_EQ(
	    last.url, "http://127.0.0.1:1/v1/watch/masticpitch/head?after=5&wait_ms=100");
	EXPECT_EQ(finish(0, true, 204), PLATFORM_UNCHANGED);
	ASSERT_EQ(platform_list(platform, "relay/", 0, callback, this, NULL), 0);
	EXPECT_EQ(last.url, "http://127.0.0.1:1/v1/kv?prefix=masticpitch/relay/");
	EXPECT_EQ(finish(0, true, 200,
		      "{\"entries\":[{\"key\":\"masticpitch/relay/a\",\"value\":\"x\","
		      "\"revision\":3}],\"store_revision\":9}"),
	    PLATFORM_OK);
	EXPECT_EQ(keys, std::vector<std::string>{"relay/a"});
	ASSERT_EQ(platform_list(platform, "relay/", 0, callback, this, NULL), 0);
	EXPECT_EQ(finish(0, true, 200,
		      "{\"entries\":[{\"key\":\"masticpitch/relay/b\",\"value\":7,"
		      "\"revision\":2},{\"key\":\"masticpitch/relay/a\",\"value\":"
		      "\"x\",\"revision\":3}],\"store_revision\":9}"),
	    PLATFORM_OK)
	    << "an entry that another program has written";
	EXPECT_EQ(keys, std::vector<std::string>{"relay/a"});
	EXPECT_EQ(answer.entries_skipped, 1u);
	EXPECT_EQ(answer.store_revision, 9u);
	ASSERT_EQ(platform_lease_create(platform, 6000, 0, callback, this, NULL), 0);
	EXPECT_EQ(finish(0, true, 200, "{\"lease\":44}"), PLATFORM_OK);
	EXPECT_EQ(answer.lease, 44u);
	EXPECT_TRUE(platform_health(platform).reachable);
}

TEST_F(Platform, InvalidKeysAreNotSentAndCancelledCallsRunNoCallback)
{
	platform_call_t *call;

	EXPECT_EQ(platform_get(platform, "a b", 0, callback, this, NULL),
	    MASTICPITCH_E_INVALID);
	EXPECT_EQ(platform_get(
		      platform, std::string(200, 'x').c_str(), 0, callback, this, NULL),
	    MASTICPITCH_E_LIMIT);
	ASSERT_EQ(platform_get(platform, "head", 0, callback, this, &call), 0);
	platform_call_cancel(call);
	EXPECT_TRUE(last.cancelled);
	EXPECT_EQ(answers, 0);
	EXPECT_EQ(platform_health(platform).waiting, 0u);
}
