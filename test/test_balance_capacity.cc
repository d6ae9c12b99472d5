// Guards against work that goes to slow or busy servers while others would answer in
// time, and against fast servers that get more than they take.
#include "balance.h"

#include <gtest/gtest.h>
#include <map>

namespace
{

const uint64_t START = 1000 * NS_PER_S;

class BalanceCapacity : public testing::Test
{
      protected:
	balance_t *balance = nullptr;
	preset_service_t service = {};
	balance_request_t request = {};
	rng_t rng;
	uint64_t now = START;

	void
	SetUp() override
	{
		rng_init(&rng, 7);
		string_copy(service.name, sizeof(service.name), "finder");
		service.spill_percent = 80;
		ASSERT_EQ(balance_create(BALANCE_ADAPTIVE, "a", "r", &balance), 0);
		request.route_class = ROUTE_LOOKUP;
		request.duration = {.typical_us = 150000, .spread = 0.5};
		request.target = START + 600 * NS_PER_MS;
	}
	void
	TearDown() override
	{
		balance_destroy(balance);
	}
	void
	add(uint64_t node, const char *zone = "a")
	{
		member_t member = {};

		member.node = node;
		member.state = MEMBER_ALIVE;
		member.reachable = true;
		member.incarnation = 1;
		member.instance.state = INSTANCE_READY;
		member.instance.slots = 12;
		string_copy(member.zone, sizeof(member.zone), zone);
		string_copy(member.region, sizeof(member.region), "r");
		string_copy(
		    member.instance.service, sizeof(member.instance.service), "finder");
		ASSERT_EQ(balance_member_update(balance, &member, now), 0);
	}
	// The gate's report, as an answer brings it.
	void
	report(uint64_t node, uint32_t speed, uint32_t host, uint32_t running = 2,
	    uint32_t useful = 12)
	{
		load_report_t load = {};
		balance_attempt_t attempt;

		load.running = running;
		load.limit = load.slots = 12;
		load.speed_percent = speed;
		load.host_percent = host;
		load.useful = useful;
		balance_attempt_start(balance, node, &request, now, &attempt);
		balance_attempt_answer(balance, &attempt, 200, &load, now);
		balance_attempt_end(balance, &attempt, now);
	}
	// Share of 1,000 choices that fall on each node; none of them is sent.
	std::map<uint64_t, double>
	shares()
	{
		std::map<uint64_t, double> found;

		for (int i = 0; i < 1000; i++) {
			uint64_t node = 0;

			EXPECT_EQ(balance_choose_for(balance, &service, &request, nullptr,
				      0, &rng, now, &node),
			    0);
			found[node] += 0.001;
		}
		return found;
	}
};

TEST_F(BalanceCapacity, SlowServersGetWorkOnlyWhenFastOnesAreFull)
{
	for (uint64_t node = 1; node <= 9; node++) {
		add(node);
		report(node, node % 3 == 0 ? 170 : 70, 100, 6);
	}
	for (const auto &[node, share] : shares())
		EXPECT_TRUE(node % 3 != 0 || share < 0.01) << node << ": " << share;
	for (uint64_t node = 1; node <= 9; node++)
		report(node, node % 3 == 0 ? 170 : 70, 100, node % 3 == 0 ? 2 : 30);
	for (const auto &[node, share] : shares())
		EXPECT_TRUE(node % 3 == 0 || share < 0.1) << node << ": " << share;
}

TEST_F(BalanceCapacity, BusyHostIsAvoidedForAsLongAsItIsBusy)
{
	for (uint64_t node = 1; node <= 4; node++) {
		add(node);
		report(node, 100, node == 1 ? 250 : 100);
	}
	EXPECT_LT(shares()[1], 0.01);
	now += 2 * NS_PER_S;
	request.target = now + 600 * NS_PER_MS;
	EXPECT_GT(shares()[1], 0.1);
}

// Calls beyond the useful concurrency make every call on the server slower.
TEST_F(BalanceCapacity, WorkStaysBelowTheUsefulConcurrency)
{
	for (uint64_t node = 1; node <= 4; node++) {
		add(node);
		report(node, 100, 100, 7, node == 1 ? 6 : 12);
	}
	EXPECT_LT(shares()[1], 0.01);
	EXPECT_NEAR(balance_utilisation(balance, "finder", now), 28.0 / 42, 0.01);
}

TEST_F(BalanceCapacity, ChangedSpeedIsFollowedWithTheNextReport)
{
	for (uint64_t node = 1; node <= 4; node++) {
		add(node);
		report(node, node == 1 ? 500 : 100, 100);
	}
	EXPECT_LT(shares()[1], 0.01);
	report(1, 50, 100);
	EXPECT_GT(shares()[1], 0.8);
}

// Work leaves the zone only for a much better chance: it costs traffic between zones.
TEST_F(BalanceCapacity, FartherServersTakeWorkThatWouldBeLate)
{
	for (uint64_t node = 1; node <= 4; node++) {
		add(node);
		add(node + 10, "b");
		report(node, 140, 100);
		report(node + 10, 70, 100);
	}
	for (const auto &[node, share] : shares())
		EXPECT_LT(node, 10u) << share;
	for (uint64_t node = 1; node <= 4; node++)
		report(node, 400, 100);
	for (const auto &[node, share] : shares())
		EXPECT_GT(node, 10u) << share;
}

// Deployments whose hosts report nothing are served as before.
TEST_F(BalanceCapacity, SpeedCountsOnlyIfHostsReport)
{
	for (uint64_t node = 1; node <= 4; node++) {
		add(node);
		report(node, node == 1 ? 500 : 100, 0);
	}
	EXPECT_FALSE(balance_hosts_report(balance, "finder"));
	EXPECT_GT(shares()[1], 0.1);
	report(1, 500, 100);
	EXPECT_TRUE(balance_hosts_report(balance, "finder"));
	EXPECT_FALSE(balance_hosts_report(balance, "other"));
	EXPECT_LT(shares()[1], 0.01);
}

} // namespace
