// Guards the entry against requests that run without a token of their workspace's quota,
// requests without a quota that wait for one, and tokens that are lost.
#include "common_entry.h"

#include "metrics.h"
#include "quota_lease.h"

namespace
{

const char QUOTA_PRESET[] =
    "{\"format\":1,\"services\":{\"katalogo\":{}},\"routes\":["
    "{\"name\":\"list\",\"prefix\":\"/katalogo/\",\"service\":\"katalogo\","
    "\"class\":\"lookup\",\"attempts\":1},"
    "{\"name\":\"open\",\"prefix\":\"/katalogo/open/\",\"service\":\"katalogo\","
    "\"class\":\"lookup\",\"key_exempt\":true}],\"workspaces\":{"
    "\"north\":{\"keys\":[\"k1\"],\"rate_per_s\":5,\"burst\":5},"
    "\"south\":{\"keys\":[\"k2\"]}}}";

class EntryQuota : public Entry
{
      protected:
	std::unique_ptr<FakeService> quota;
	std::vector<std::unique_ptr<RawConnection>> callers;

	void
	SetUp() override
	{
		Entry::SetUp();
		quota = std::make_unique<FakeService>(kernel, "quota");
		configure(QUOTA_PRESET);
		add_local();
		run_until_idle();
	}
	void
	TearDown() override
	{
		callers.clear();
		destroy();
		quota.reset();
		RequestTest::TearDown();
	}
	void
	request(const std::string &path, const std::string &key)
	{
		callers.push_back(send_request(
		    get(path, key.empty() ? "" : "Masticpitch-Key: " + key + "\r\n")));
	}
	void
	await_asks(size_t count)
	{
		EXPECT_TRUE(
		    run_until([&] { return quota->count(MESSAGE_QUOTA_ASK) >= count; }));
	}
	void
	grant(uint32_t tokens, uint32_t retry_ms = 0, bool hold = false)
	{
		message_t *message = message_create(MESSAGE_QUOTA_GRANT, 0, 0);

		message->u.quota = {hash_string("north"), tokens, retry_ms, hold};
		quota->post("entry", message);
	}
	uint64_t
	counter(metric_t metric)
	{
		return kernel_metrics(kernel)->values[metric];
	}
};

TEST_F(EntryQuota, RequestsWaitForAToken)
{
	request("/katalogo/1", "k1");
	await_asks(1);
	EXPECT_EQ(quota->messages[0].quota.workspace, hash_string("north"));
	EXPECT_EQ(quota->messages[0].quota.tokens, 1u);
	EXPECT_EQ(gate->count(MESSAGE_CALL_OPEN), 0u);
	grant(1);
	attempt("/katalogo/1");
	/* The token is used up: the next request asks again. */
	request("/katalogo/2", "k1");
	await_asks(2);
	EXPECT_EQ(gate->count(MESSAGE_CALL_OPEN), 1u);
}

TEST_F(EntryQuota, OthersAreNotCharged)
{
	request("/katalogo/1", "k2");
	attempt("/katalogo/1");
	request("/katalogo/open/2", "k1");
	attempt("/katalogo/open/2");
	request("/katalogo/open/3", "");
	attempt("/katalogo/open/3");
	EXPECT_EQ(quota->messages.size(), 0u);
}

TEST_F(EntryQuota, RefusalsNameTheTimeToWait)
{
	std::unique_ptr<RawConnection> caller =
	    send_request(get("/katalogo/1", "Masticpitch-Key: k1\r\n"));
	std::string second;

	await_asks(1);
	grant(0, 60000);
	EXPECT_TRUE(run_until([&] { return caller->has("}"); }));
	expect_refused(caller->input, 429, "quota-exceeded", "no");
	EXPECT_NE(caller->input.find("Retry-After: 60\r\n"), std::string::npos);
	/* Within the named time nobody is asked. */
	second = answer_to(get("/katalogo/2", "Masticpitch-Key: k1\r\n"));
	expect_refused(second, 429, "quota-exceeded", "no");
	EXPECT_EQ(quota->count(MESSAGE_QUOTA_ASK), 1u);
	EXPECT_EQ(gate->count(MESSAGE_CALL_OPEN), 0u);
}

TEST_F(EntryQuota, RefusedWithoutAnAnswerAfterAWhile)
{
	message_t *members = message_create(MESSAGE_QUOTA_MEMBERS, 0, 0);

	/* So many that the reserve of this node is nothing. */
	members->u.members = 1000000000;
	quota->post("entry", members);
	expect_refused(answer_to(get("/katalogo/1", "Masticpitch-Key: k1\r\n")), 503,
	    "quota-unknown", "no");
	EXPECT_GE(quota->count(MESSAGE_QUOTA_ASK), 5u);
	EXPECT_EQ(gate->count(MESSAGE_CALL_OPEN), 0u);
}

TEST_F(EntryQuota, HeldRequestsAskAgain)
{
	request("/katalogo/1", "k1");
	await_asks(1);
	grant(0, 0, true);
	await_asks(2);
	grant(1);
	attempt("/katalogo/1");
}

TEST_F(EntryQuota, TokenOfARequestThatDidNotRunIsUsedAgain)
{
	Attempt first;

	request("/katalogo/1", "k1");
	await_asks(1);
	grant(1);
	first = attempt("/katalogo/1");
	refuse(first, REASON_QUEUE_FULL, RUN_NO);
	EXPECT_TRUE(run_until([&] { return counter(METRIC_QUOTA_RETURNED) == 1; }));
	request("/katalogo/2", "k1");
	attempt("/katalogo/2");
	refuse(attempt("/katalogo/2"), REASON_BACKEND_LOST, RUN_UNKNOWN);
	EXPECT_TRUE(run_until([&] { return callers[1]->has("}"); }));
	EXPECT_EQ(counter(METRIC_QUOTA_RETURNED), 1u);
	EXPECT_EQ(quota->count(MESSAGE_QUOTA_ASK), 1u);
}

TEST_F(EntryQuota, WaitingRequestsMayBeLeft)
{
	request("/katalogo/1", "k1");
	await_asks(1);
	callers.clear();
	EXPECT_TRUE(run_until([&] { return is_idle(); }));
	grant(1);
	run_until_idle();
	EXPECT_EQ(gate->count(MESSAGE_CALL_OPEN), 0u);
}

} // namespace
