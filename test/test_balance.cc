// Guards against work for instances that must not get any, a table corrupted by churn,
// and policies that overload one instance or exclude a recovered one forever.
#include "balance.h"

#include <gtest/gtest.h>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace
{

// A request of the class with a short answer.
const balance_request_t *
request_of(route_class_t route_class)
{
	static balance_request_t requests[ROUTE_CLASS_COUNT];

	requests[route_class].route_class = route_class;
	return &requests[route_class];
}

const uint64_t START = 1000 * NS_PER_S;

member_t
make_member(uint64_t node, const char *service, const char *zone)
{
	member_t member = {};

	member.node = node;
	member.state = MEMBER_ALIVE;
	member.reachable = true;
	member.incarnation = 1;
	member.instance.state = INSTANCE_READY;
	member.instance.slots = 10;
	member.instance.sequence = 1;
	string_copy(member.zone, sizeof(member.zone), zone);
	string_copy(
	    member.region, sizeof(member.region), zone[0] == 'c' ? "visayas" : "luzon");
	string_copy(member.instance.service, sizeof(member.instance.service), service);
	return member;
}

class Balance : public testing::Test
{
      protected:
	balance_t *balance = nullptr;
	preset_service_t service = {};
	rng_t rng;
	uint64_t now = START;

	void
	create(balance_kind_t kind)
	{
		ASSERT_EQ(balance_create(kind, "cebu-a", "visayas", &balance), 0);
	}

	void
	SetUp() override
	{
		rng_init(&rng, 7);
		string_copy(service.name, sizeof(service.name), "katalogo");
		service.spill_percent = 80;
		create(BALANCE_ADAPTIVE);
	}

	void
	TearDown() override
	{
		balance_destroy(balance);
	}

	void
	add(uint64_t node, const char *zone = "cebu-a")
	{
		member_t member = make_member(node, "katalogo", zone);

		ASSERT_EQ(balance_member_update(balance, &member, now), 0);
	}

	// The chosen node; 0: none.
	uint64_t
	choose(const std::vector<uint64_t> &excluded = {})
	{
		uint64_t node = 0;

		if (balance_choose(balance, &service, excluded.data(), excluded.size(),
			&rng, now, &node) != 0)
			return 0;
		return node;
	}

	std::map<uint64_t, int>
	shares(int count)
	{
		std::map<uint64_t, int> result;

		for (int i = 0; i < count; i++)
			result[choose()]++;
		return result;
	}

	void
	answer(uint64_t node, uint64_t latency_us, uint32_t running = 1, int status = 200)
	{
		balance_attempt_t attempt;
		load_report_t load = {running, 0, 10, 10, 0};

		balance_attempt_start(
		    balance, node, request_of(ROUTE_LOOKUP), now, &attempt);
		balance_attempt_answer(
		    balance, &attempt, status, &load, now + latency_us * NS_PER_US);
		balance_attempt_end(balance, &attempt, now + latency_us * NS_PER_US);
	}

	void
	fail(uint64_t node)
	{
		balance_attempt_t attempt;

		balance_attempt_start(
		    balance, node, request_of(ROUTE_LOOKUP), now, &attempt);
		balance_attempt_failed(balance, &attempt, now);
	}

	void
	refuse(uint64_t node, reason_t reason)
	{
		balance_attempt_t attempt;

		balance_attempt_start(
		    balance, node, request_of(ROUTE_LOOKUP), now, &attempt);
		balance_attempt_refused(balance, &attempt, reason, NULL, now);
	}

	balance_view_t
	view(uint64_t node)
	{
		std::vector<balance_view_t> views(64);

		views.resize(
		    balance_views(balance, &service, now, views.data(), views.size()));
		for (const balance_view_t &each : views) {
			if (each.node == node)
				return each;
		}
		return {};
	}
};

// Guards against a call to an instance that is starting, leaving, down or unreachable.
TEST_F(Balance, OnlyReadyReachableInstancesAreChosen)
{
	member_t member = make_member(1, "katalogo", "cebu-a");

	add(2);
	for (instance_state_t state :
	    {INSTANCE_STARTING, INSTANCE_LEAVING, INSTANCE_NONE}) {
		member.instance.state = state;
		ASSERT_EQ(balance_member_update(balance, &member, now), 0);
		EXPECT_EQ(shares(100).count(1), 0u);
	}
	member.instance.state = INSTANCE_READY;
	for (member_state_t state : {MEMBER_LEAVING, MEMBER_DOWN, MEMBER_SUSPECT}) {
		member.state = state;
		ASSERT_EQ(balance_member_update(balance, &member, now), 0);
		EXPECT_EQ(shares(100).count(1), 0u);
	}
	member.state = MEMBER_ALIVE;
	member.reachable = false;
	ASSERT_EQ(balance_member_update(balance, &member, now), 0);
	EXPECT_EQ(shares(100).count(1), 0u);
	member.reachable = true;
	ASSERT_EQ(balance_member_update(balance, &member, now), 0);
	EXPECT_EQ(shares(100).count(1), 1u);
	// A suspect instance is chosen if there is no other.
	member.state = MEMBER_SUSPECT;
	ASSERT_EQ(balance_member_update(balance, &member, now), 0);
	balance_member_remove(balance, 2);
	EXPECT_EQ(choose(), 1u);
}

// Guards against new work for a leaving instance until gossip arrives, and against
// excluding it forever after it has returned.
TEST_F(Balance, ARefusalLeavingExcludesTheInstanceUntilItsNextAnnouncement)
{
	member_t member = make_member(1, "katalogo", "cebu-a");

	add(1);
	add(2);
	refuse(1, REASON_LEAVING);
	EXPECT_EQ(shares(100).count(1), 0u);
	member.config_version = 9; // the same announcement, gossiped again
	ASSERT_EQ(balance_member_update(balance, &member, now), 0);
	EXPECT_EQ(shares(100).count(1), 0u);
	member.instance.sequence = 2;
	ASSERT_EQ(balance_member_update(balance, &member, now), 0);
	EXPECT_EQ(shares(100).count(1), 1u);
}

// Guards against a retry at the instance that has just refused.
TEST_F(Balance, ExcludedInstancesAreNotChosen)
{
	add(1);
	add(2);
	add(3, "cebu-b");
	for (int i = 0; i < 100; i++) {
		EXPECT_EQ(choose({1}), 2u);
		EXPECT_EQ(choose({1, 2}), 3u);
		EXPECT_EQ(choose({1, 2, 3}), 0u);
	}
}

// Guards against overloading a slow or busy instance.
TEST_F(Balance, SlowAndBusyInstancesGetLessWork)
{
	add(1);
	add(2);
	add(3);
	for (int i = 0; i < 50; i++) {
		answer(1, 2000);
		answer(2, 2000);
		answer(3, 20000);
	}
	EXPECT_LT(shares(3000)[3], 100);
	// A recent report of a high load counts, an old one does not.
	now += 60 * NS_PER_S;
	answer(1, 2000, 40);
	answer(2, 2000, 1);
	answer(3, 2000, 1);
	EXPECT_LT(shares(3000)[1], 100);
}

// Guards against internal calls that avoid a gate because lookups are queued there.
TEST_F(Balance, QueuedLookupsDoNotDivertInternalCalls)
{
	std::vector<balance_attempt_t> lookups(20), internal(3);
	uint64_t node;

	add(1);
	add(2);
	answer(1, 1000);
	answer(2, 1000);
	for (balance_attempt_t &attempt : lookups)
		balance_attempt_start(
		    balance, 1, request_of(ROUTE_LOOKUP), now, &attempt);
	for (balance_attempt_t &attempt : internal)
		balance_attempt_start(
		    balance, 2, request_of(ROUTE_INTERNAL), now, &attempt);
	EXPECT_EQ(shares(1000).count(1), 0u);
	for (int i = 0; i < 100; i++) {
		ASSERT_EQ(balance_choose_for(balance, &service,
			      request_of(ROUTE_INTERNAL), NULL, 0, &rng, now, &node),
		    0);
		EXPECT_EQ(node, 1u);
	}
}

// Guards against an instance that was slow once and never gets work again.
TEST_F(Balance, ASlowInstanceIsTriedAgain)
{
	add(1);
	add(2);
	for (int i = 0; i < 50; i++) {
		answer(1, 2000);
		answer(2, 200000);
	}
	EXPECT_EQ(shares(1000).count(2), 0u);
	// After a minute some work at the other instance is enough to choose this one.
	now += 60 * NS_PER_S;
	std::vector<balance_attempt_t> attempts(3);
	for (balance_attempt_t &attempt : attempts)
		balance_attempt_start(
		    balance, 1, request_of(ROUTE_LOOKUP), now, &attempt);
	EXPECT_GT(shares(1000)[2], 900);
}

// Guards against all entries choosing, and so overloading, the same instance.
TEST_F(Balance, EqualInstancesGetEqualShares)
{
	for (uint64_t node = 1; node <= 6; node++)
		add(node);
	std::map<uint64_t, int> counts = shares(60000);
	for (uint64_t node = 1; node <= 6; node++)
		EXPECT_NEAR(counts[node], 10000, 500);
}

// Guards against unnecessary traffic between zones, and against a full zone that does
// not use the free capacity of another one.
TEST_F(Balance, WorkSpillsOnlyAboveTheThreshold)
{
	add(1);
	add(2, "cebu-b");
	add(3, "manila-a");
	answer(1, 2000, 7);
	EXPECT_EQ(shares(1000)[1], 1000);
	answer(1, 2000, 16); // 160% of its limit: half of the work is above 80%
	std::map<uint64_t, int> counts = shares(10000);
	EXPECT_NEAR(counts[1], 5000, 300);
	EXPECT_NEAR(counts[2], 5000, 300);
	answer(2, 2000, 18); // the next zone is fuller: spills to the other region
	counts = shares(10000);
	EXPECT_EQ(counts[2], 0);
	EXPECT_GT(counts[3], 4000);
}

// Guards against a new, still cold instance that gets a full share immediately.
TEST_F(Balance, ANewInstanceHasASlowStart)
{
	service.slow_start_ms = 10000;
	add(1);
	add(2);
	now += 60 * NS_PER_S;
	add(3);
	std::vector<balance_attempt_t> busy(8);
	for (size_t i = 0; i < busy.size(); i++)
		balance_attempt_start(
		    balance, 1 + i % 2, request_of(ROUTE_LOOKUP), now, &busy[i]);
	EXPECT_EQ(view(3).weight_percent, 10u);
	EXPECT_EQ(shares(1000).count(3), 0u);
	now += 5 * NS_PER_S;
	EXPECT_EQ(view(3).weight_percent, 50u);
	EXPECT_GT(shares(1000)[3], 500);
	now += 5 * NS_PER_S;
	EXPECT_EQ(view(3).weight_percent, 100u);
}

// Guards against a failed instance that keeps its share, and against endless ejection.
TEST_F(Balance, ConsecutiveFailuresEjectWithBackoff)
{
	uint64_t until;

	for (uint64_t node = 1; node <= 4; node++)
		add(node);
	for (int i = 0; i < BALANCE_FAILURES_MAX - 1; i++)
		fail(1);
	EXPECT_FALSE(view(1).ejected);
	fail(1);
	ASSERT_TRUE(view(1).ejected);
	EXPECT_EQ(shares(1000).count(1), 0u);
	EXPECT_EQ(view(1).ejected_until, now + BALANCE_EJECTION_MS * NS_PER_MS);
	now = view(1).ejected_until;
	EXPECT_FALSE(view(1).ejected);
	EXPECT_GT(shares(1000)[1], 0);
	fail(1); // after the ejection one failure is enough, and the time doubles
	EXPECT_EQ(view(1).ejected_until, now + 2 * BALANCE_EJECTION_MS * NS_PER_MS);
	for (int i = 0; i < 20; i++) {
		now = view(1).ejected_until;
		fail(1);
	}
	until = view(1).ejected_until;
	EXPECT_EQ(until, now + BALANCE_EJECTION_MS_MAX * NS_PER_MS);
	now = until;
	answer(1, 1000);
	fail(1);
	EXPECT_FALSE(view(1).ejected);
}

// Guards against one lost connection that ejects a healthy instance because it ends
// many attempts together.
TEST_F(Balance, AttemptsLostTogetherCountAsOneFailure)
{
	std::vector<balance_attempt_t> attempts(50);

	add(1);
	add(2);
	for (balance_attempt_t &attempt : attempts)
		balance_attempt_start(
		    balance, 1, request_of(ROUTE_LOOKUP), now, &attempt);
	now += NS_PER_MS;
	for (balance_attempt_t &attempt : attempts)
		balance_attempt_refused(balance, &attempt, REASON_STREAM_LOST, NULL, now);
	EXPECT_FALSE(view(1).ejected);
	for (int i = 0; i < BALANCE_FAILURES_MAX - 1; i++)
		fail(1);
	EXPECT_TRUE(view(1).ejected);
}

// Guards against a fault of the network or of all instances that ejects all instances of
// a service.
TEST_F(Balance, AtMostHalfOfAServiceIsEjected)
{
	for (uint64_t node = 1; node <= 5; node++)
		add(node);
	for (uint64_t node = 1; node <= 5; node++) {
		for (int i = 0; i < 3 * BALANCE_FAILURES_MAX; i++)
			fail(node);
	}
	int ejected = 0;
	for (uint64_t node = 1; node <= 5; node++)
		ejected += view(node).ejected;
	EXPECT_EQ(ejected, 2);
	// Ejected instances are chosen if there are no others.
	EXPECT_NE(choose({3, 4, 5}), 0u);
}

// Guards against ejecting healthy instances when all instances of the service return
// errors, and against not ejecting one that fails far more often than the others.
TEST_F(Balance, ASuccessRateIsComparedWithThatOfTheOthers)
{
	for (uint64_t node = 1; node <= 4; node++)
		add(node);
	for (int i = 0; i < 200; i++) {
		for (uint64_t node = 1; node <= 4; node++)
			answer(node, 1000, 1, i % 2 ? 500 : 200);
	}
	for (uint64_t node = 1; node <= 4; node++)
		EXPECT_FALSE(view(node).ejected);
	now += 60 * NS_PER_S;
	for (int i = 0; i < 200; i++) {
		for (uint64_t node = 1; node <= 4; node++)
			answer(node, 1000, 1, node == 2 && i % 2 ? 500 : 200);
	}
	EXPECT_TRUE(view(2).ejected);
	EXPECT_FALSE(view(1).ejected);
}

// Guards against policy refusals that count as failures and eject a busy instance.
TEST_F(Balance, RefusalsOfABusyGateEjectNothing)
{
	add(1);
	add(2);
	for (int i = 0; i < 100; i++) {
		refuse(1, REASON_QUEUE_FULL);
		refuse(1, REASON_DEADLINE_TOO_SHORT);
	}
	EXPECT_FALSE(view(1).ejected);
	for (int i = 0; i < BALANCE_FAILURES_MAX; i++)
		refuse(1, REASON_BACKEND_CONNECT);
	EXPECT_TRUE(view(1).ejected);
}

// Guards against a gate that refuses immediately, so looks idle and attracts all work.
TEST_F(Balance, AGateThatRefusesGetsLessWorkAndIsTriedAgain)
{
	std::vector<balance_attempt_t> attempts(10);

	add(1);
	add(2);
	answer(1, 1000);
	answer(2, 1000);
	for (balance_attempt_t &attempt : attempts)
		balance_attempt_start(
		    balance, 2, request_of(ROUTE_LOOKUP), now, &attempt);
	for (int i = 0; i < 50; i++)
		refuse(1, REASON_QUEUE_FULL);
	EXPECT_EQ(shares(1000).count(1), 0u);
	now += 10 * NS_PER_S;
	EXPECT_EQ(shares(1000)[1], 1000);
}

// Guards against a count of attempts in flight that leaks or underflows when an
// attempt is closed twice or outlives its instance.
TEST_F(Balance, InFlightSurvivesDoubleCloseAndReplacement)
{
	balance_attempt_t attempts[3];

	add(1);
	for (balance_attempt_t &attempt : attempts)
		balance_attempt_start(balance, 1, request_of(ROUTE_CALL), now, &attempt);
	EXPECT_EQ(view(1).in_flight, 3u);
	balance_attempt_failed(balance, &attempts[0], now);
	balance_attempt_end(balance, &attempts[0], now);
	balance_attempt_refused(balance, &attempts[0], REASON_QUEUE_FULL, NULL, now);
	EXPECT_EQ(view(1).in_flight, 2u);
	balance_member_remove(balance, 1);
	balance_attempt_end(balance, &attempts[1], now);
	add(1);
	balance_attempt_end(balance, &attempts[2], now);
	EXPECT_EQ(view(1).in_flight, 0u);
	balance_attempt_start(balance, 99, request_of(ROUTE_CALL), now, &attempts[0]);
	EXPECT_FALSE(attempts[0].open);
}

// Guards against a naive baseline that is not round robin.
TEST_F(Balance, NaiveIsRoundRobin)
{
	balance_destroy(balance);
	create(BALANCE_NAIVE);
	add(1);
	add(2, "cebu-b");
	add(3, "manila-a");
	for (int i = 0; i < 50; i++)
		fail(1);
	std::map<uint64_t, int> counts = shares(300);
	for (uint64_t node = 1; node <= 3; node++)
		EXPECT_EQ(counts[node], 100);
	EXPECT_EQ(choose({1, 2}), 3u);
	EXPECT_EQ(choose({1, 2, 3}), 0u);
}

// Guards against a table corrupted while instances are added, removed and change their
// service; compares it with a simple model.
TEST_F(Balance, TheTableAgreesWithAModelUnderChurn)
{
	std::map<uint64_t, std::string> model;

	for (int step = 0; step < 50000; step++) {
		uint64_t node = 1 + rng_below(&rng, 300);
		std::string name = "s" + std::to_string(rng_below(&rng, 40));
		member_t member = make_member(node, name.c_str(), "cebu-a");

		if (rng_below(&rng, 3) == 0) {
			balance_member_remove(balance, node);
			model.erase(node);
		} else {
			ASSERT_EQ(balance_member_update(balance, &member, now), 0);
			model[node] = name;
		}
		ASSERT_EQ(balance_instance_count(balance), model.size());
		string_copy(service.name, sizeof(service.name), name.c_str());
		uint64_t chosen = choose();
		if (chosen != 0) {
			ASSERT_EQ(model.at(chosen), name);
		} else {
			for (const auto &entry : model)
				ASSERT_NE(entry.second, name);
		}
	}
}

// Guards against a table that does not hold the target size, or has no bound.
TEST_F(Balance, TheTargetSizeFitsAndTheTableIsBounded)
{
	std::set<uint64_t> chosen;

	for (uint64_t node = 1; node <= 1900; node++) {
		std::string name = "s" + std::to_string(node % 320);
		member_t member = make_member(node, name.c_str(), "cebu-a");

		ASSERT_EQ(balance_member_update(balance, &member, now), 0);
	}
	for (int i = 0; i < 320 * 100; i++) {
		std::string name = "s" + std::to_string(i % 320);

		string_copy(service.name, sizeof(service.name), name.c_str());
		chosen.insert(choose());
	}
	EXPECT_EQ(chosen.size(), 1900u);
	for (uint64_t node = 1901; node <= BALANCE_INSTANCES_MAX + 1; node++) {
		member_t member = make_member(node, "more", "cebu-a");

		EXPECT_EQ(balance_member_update(balance, &member, now),
		    node <= BALANCE_INSTANCES_MAX ? 0 : MASTICPITCH_E_LIMIT);
	}
}

} // namespace
