// Guards against a second attempt of a request that must run once, an answer or a failure
// of one attempt that is taken for that of the other, and work that goes on unneeded.
#include "common_entry.h"

namespace
{

const char HEDGE_PRESET[] =
    "{\"format\":1,\"services\":{\"katalogo\":{}},\"routes\":["
    "{\"name\":\"list\",\"methods\":[\"GET\",\"PUT\"],\"prefix\":\"/katalogo/\","
    "\"service\":\"katalogo\",\"class\":\"lookup\",\"idempotent\":true,"
    "\"deadline_ms\":5000,\"min_attempt_ms\":1,\"attempts\":2,"
    "\"body_limit_bytes\":65536},"
    "{\"name\":\"book\",\"methods\":[\"POST\"],\"prefix\":\"/katalogo/book/\","
    "\"service\":\"katalogo\",\"class\":\"call\",\"deadline_ms\":5000,"
    "\"min_attempt_ms\":1,\"attempts\":2,"
    "\"body_limit_bytes\":200000}]}";

// As ENTRY_MOVES_MAX in entry_internal.h.
const uint32_t MOVES_MAX = 3;
// Requests that make a route known; they allow for some second attempts.
const int LEARNED = 60;

class EntryHedge : public Entry
{
      protected:
	// Requests of the route that are answered at once, so that its duration is known.
	void
	learn(const std::string &request, const std::string &path, uint32_t host_percent,
	    uint32_t running = 1)
	{
		load_report_t load = {};

		load.running = running;
		load.limit = load.slots = load.useful = 4;
		load.speed_percent = 100;
		load.host_percent = host_percent;
		for (int i = 0; i < LEARNED; i++) {
			std::unique_ptr<RawConnection> caller = send_request(request);
			Attempt to = attempt(path);

			to.to->post_answer("entry", to.node, to.stream, 200, 4, load);
			to.to->post_data("entry", MESSAGE_ANSWER_DATA, to.node, to.stream,
			    "done", true);
			ASSERT_TRUE(run_until([&] { return caller->has("done"); }));
			gate->messages.clear();
			peer->messages.clear();
		}
	}
	// The targets are part of the hosted platform's configuration only.
	void
	configure_with_targets()
	{
		message_t *message = message_create(MESSAGE_SNAPSHOT, 0, 0);
		char error[MASTICPITCH_MESSAGE_MAX];
		preset_t *preset = nullptr;

		ASSERT_EQ(preset_parse(HEDGE_PRESET, strlen(HEDGE_PRESET), &preset, error,
			      sizeof(error)),
		    0)
		    << error;
		for (size_t i = 0; i < preset->route_count; i++)
			preset->routes[i].target_ms = 200;
		message->u.snapshot = snapshot_create(5, "normal", preset);
		config->post("entry", message);
	}
	void
	begin(uint32_t host_percent = 100)
	{
		configure_with_targets();
		add_local();
		add_remote(REMOTE);
		add_remote(REMOTE + 1);
		run_until_idle();
		learn(get("/katalogo/0"), "/katalogo/0", host_percent);
	}
	static bool
	is_cancelled(const Attempt &to)
	{
		return to.to->find(MESSAGE_CALL_CANCEL, to.stream) != nullptr;
	}
};

TEST_F(EntryHedge, FirstAnswerIsTakenAndTheOtherAttemptCancelled)
{
	for (bool second_wins : {true, false}) {
		std::string path = second_wins ? "/katalogo/1" : "/katalogo/2";
		std::unique_ptr<RawConnection> caller;
		Attempt first, second;

		if (second_wins)
			begin();
		caller = send_request(get(path));
		first = attempt(path);
		second = attempt(path, 2);
		ASSERT_NE(second.to, nullptr);
		EXPECT_NE(second.stream, first.stream);
		EXPECT_TRUE(second.to != first.to || second.node != first.node);
		answer(second_wins ? second : first, "first", 5);
		ASSERT_TRUE(run_until([&] { return caller->has("first"); }));
		EXPECT_TRUE(is_cancelled(second_wins ? first : second));
		EXPECT_FALSE(is_cancelled(second_wins ? second : first));
		/* Too late, and of no effect. */
		answer(second_wins ? first : second, "other", 5);
		run_until_idle();
		EXPECT_FALSE(caller->has("other"));
	}
	EXPECT_EQ(metric(METRIC_HEDGES), 2u);
	EXPECT_EQ(metric(METRIC_HEDGES_WON), 1u);
}

TEST_F(EntryHedge, FailureOfOneAttemptLeavesTheOther)
{
	int number = 0;

	begin();
	for (bool second_fails : {true, false}) {
		for (int kind = 0; kind < 3; kind++) {
			std::string path = "/katalogo/f" + std::to_string(number++);
			std::unique_ptr<RawConnection> caller = send_request(get(path));
			Attempt first = attempt(path), second = attempt(path, 2);
			const Attempt &failing = second_fails ? second : first;

			ASSERT_NE(second.to, nullptr);
			if (kind == 0)
				refuse(failing, REASON_BACKEND_LOST, RUN_UNKNOWN);
			else if (kind == 1)
				refuse(failing, REASON_STREAM_LOST, RUN_UNKNOWN,
				    MESSAGE_STREAM_LOST);
			else
				answer(failing, "fault", 5, true, 500);
			run_until_idle();
			EXPECT_FALSE(caller->has("HTTP/1.1"));
			answer(second_fails ? first : second, "good", 4);
			ASSERT_TRUE(run_until([&] { return caller->has("good"); }));
			EXPECT_TRUE(caller->has("HTTP/1.1 200"));
		}
	}
}

TEST_F(EntryHedge, RequestFailsWhenBothAttemptsHave)
{
	std::unique_ptr<RawConnection> caller;
	Attempt first, second;

	begin();
	caller = send_request(get("/katalogo/1"));
	first = attempt("/katalogo/1");
	second = attempt("/katalogo/1", 2);
	ASSERT_NE(second.to, nullptr);
	refuse(first, REASON_BACKEND_LOST, RUN_UNKNOWN);
	refuse(second, REASON_BACKEND_LOST, RUN_UNKNOWN);
	ASSERT_TRUE(run_until([&] { return caller->has("}"); }));
	EXPECT_TRUE(caller->has("Masticpitch-Run: unknown\r\n")) << caller->input;
	/* The route allows no third one. */
	EXPECT_EQ(metric(METRIC_ATTEMPTS), static_cast<uint64_t>(LEARNED) + 2);
}

TEST_F(EntryHedge, BothAttemptsEndWhenTheCallerLeaves)
{
	std::unique_ptr<RawConnection> caller;
	Attempt first, second;

	begin();
	caller = send_request(get("/katalogo/1"));
	first = attempt("/katalogo/1");
	second = attempt("/katalogo/1", 2);
	ASSERT_NE(second.to, nullptr);
	caller.reset();
	ASSERT_TRUE(
	    run_until([&] { return is_cancelled(first) && is_cancelled(second); }));
	ASSERT_TRUE(run_until([&] { return is_idle(); }));
}

TEST_F(EntryHedge, NoSecondAttemptOfARequestThatMustRunOnce)
{
	std::unique_ptr<RawConnection> booking;
	uint64_t until;

	begin();
	learn(post("/katalogo/book/0", ""), "/katalogo/book/0", 100);
	booking = send_request(post("/katalogo/book/1", ""));
	until = os_clock_monotonic() + 400 * NS_PER_MS;
	run_until([&] { return os_clock_monotonic() > until; });
	EXPECT_EQ(metric(METRIC_HEDGES), 0u);
	EXPECT_EQ(gate->count(MESSAGE_CALL_OPEN) + peer->count(MESSAGE_CALL_OPEN), 1u);
}

// Deployments whose hosts report nothing are served as before.
TEST_F(EntryHedge, NoSecondAttemptAndNoMoveIfHostsReportNothing)
{
	std::unique_ptr<RawConnection> caller;
	uint64_t until;

	begin(0);
	caller = send_request(get("/katalogo/1"));
	until = os_clock_monotonic() + 400 * NS_PER_MS;
	run_until([&] { return os_clock_monotonic() > until; });
	EXPECT_EQ(metric(METRIC_HEDGES), 0u);
	for (FakeService *fake : {gate.get(), peer.get()}) {
		for (const ReceivedMessage &message : fake->messages)
			EXPECT_FALSE(message.movable);
	}
}

TEST_F(EntryHedge, NoSecondAttemptIfTheServiceIsShortOfRoom)
{
	std::unique_ptr<RawConnection> caller;
	uint64_t until;

	begin();
	learn(get("/katalogo/0"), "/katalogo/0", 100, 12);
	caller = send_request(get("/katalogo/1"));
	until = os_clock_monotonic() + 300 * NS_PER_MS;
	run_until([&] { return os_clock_monotonic() > until; });
	EXPECT_EQ(metric(METRIC_HEDGES), 0u);
	EXPECT_GE(metric(METRIC_HEDGES_NO_ROOM), 1u);
}

// A gate that would rather have another one take the call costs no retry and no wait.
TEST_F(EntryHedge, MovedCallGoesElsewhereUntilItMayNotBeMoved)
{
	std::unique_ptr<RawConnection> caller;

	begin();
	caller = send_request(post("/katalogo/book/1", "x"));
	for (uint32_t number = 1; number <= MOVES_MAX; number++) {
		Attempt to = attempt("/katalogo/book/1", number);

		ASSERT_NE(to.to, nullptr);
		EXPECT_TRUE(to.to->find(MESSAGE_CALL_OPEN, to.stream)->movable) << number;
		refuse(to, REASON_HOST_BUSY, RUN_NO);
	}
	{
		Attempt to = attempt("/katalogo/book/1", MOVES_MAX + 1);

		ASSERT_NE(to.to, nullptr);
		EXPECT_FALSE(to.to->find(MESSAGE_CALL_OPEN, to.stream)->movable);
		answer(to, "done", 4);
	}
	ASSERT_TRUE(run_until([&] { return caller->has("done"); }));
	EXPECT_EQ(metric(METRIC_HEDGES), 0u);
}

} // namespace
