// Guards against servers that are taken for fast or slow because of a few requests, of
// the mix of routes or of a busy host, and against changes that are not followed.
#include "capacity_route.h"
#include "capacity_server.h"

#include <cmath>
#include <gtest/gtest.h>

namespace
{

const uint64_t START = 1000 * NS_PER_S;
const uint32_t SLOTS = 12;

class CapacityServer : public testing::Test
{
      protected:
	capacity_server_t server = {};
	uint64_t now = START;
	rng_t rng;

	void
	SetUp() override
	{
		rng_init(&rng, 5);
		capacity_server_init(&server, 0, now);
	}
	// Exchanges of a route that takes typical_us elsewhere; one every 30 ms.
	void
	exchange(uint32_t typical_us, double factor, int count = 1, uint32_t running = 1)
	{
		for (int i = 0; i < count; i++) {
			capacity_sample_t sample = {};

			now += 30 * NS_PER_MS;
			sample.duration =
			    static_cast<uint64_t>(typical_us * factor) * NS_PER_US;
			sample.typical_us = typical_us;
			sample.host_percent = capacity_server_host_percent(&server, now);
			sample.running = running;
			sample.slots = SLOTS;
			capacity_server_record(&server, &sample, now);
		}
	}
	uint32_t
	speed() const
	{
		return capacity_server_speed_percent(&server, now);
	}
};

TEST_F(CapacityServer, SpeedDoesNotDependOnTheRoutes)
{
	EXPECT_EQ(speed(), 0u);
	for (int i = 0; i < 40; i++) {
		exchange(190000, 1.7);
		exchange(5000, 1.7);
	}
	EXPECT_NEAR(speed(), 170, 5);
}

// 3 of 100 requests take seven times as long. A mean of the durations would show 118.
TEST_F(CapacityServer, LongTailChangesTheSpeedLittle)
{
	for (int i = 0; i < 1000; i++)
		exchange(190000, rng_below(&rng, 100) < 3 ? 7 : 1);
	EXPECT_LT(speed(), 115u);
	exchange(190000, 7);
	EXPECT_LT(speed(), 125u);
}

TEST_F(CapacityServer, ChangedSpeedIsFollowed)
{
	exchange(190000, 0.7, 100);
	EXPECT_NEAR(speed(), 70, 3);
	exchange(190000, 3.5, 40);
	EXPECT_GT(speed(), 300u);
	exchange(190000, 0.7, 40);
	EXPECT_LT(speed(), 85u);
}

// A hung or very slow server would otherwise keep its speed: the attempts that it does
// not answer are cancelled.
TEST_F(CapacityServer, CancelledExchangesCountIfTheyTookLonger)
{
	capacity_sample_t sample = {};

	exchange(190000, 1, 50);
	sample.duration = 20 * NS_PER_MS;
	sample.typical_us = 190000;
	sample.cut = true;
	capacity_server_record(&server, &sample, now);
	EXPECT_NEAR(speed(), 100, 2);
	sample.duration = 900 * NS_PER_MS;
	for (int i = 0; i < 20; i++)
		capacity_server_record(&server, &sample, now);
	EXPECT_GT(speed(), 200u);
}

// A host is busy for some 0.6 s: its server is as fast as before, and what the host has
// said is no longer true after a while without answers.
TEST_F(CapacityServer, BusyHostIsNoSlowServerAndIsForgotten)
{
	exchange(190000, 1, 50);
	for (int i = 0; i < 20; i++) {
		capacity_server_host_record(&server, 250, now);
		exchange(190000, 2.5);
	}
	EXPECT_NEAR(speed(), 100, 15);
	EXPECT_EQ(capacity_server_host_percent(&server, now), 250u);
	EXPECT_TRUE(capacity_server_moves(&server, false, now));
	now += 400 * NS_PER_MS;
	EXPECT_EQ(capacity_server_host_percent(&server, now), 100u);
	EXPECT_FALSE(capacity_server_moves(&server, false, now));
	EXPECT_TRUE(capacity_server_moves(&server, true, now));
}

TEST_F(CapacityServer, HostPercentIsTheFourthFigure)
{
	EXPECT_EQ(capacity_host_percent_parse("3,0,8,250"), 250u);
	EXPECT_EQ(capacity_host_percent_parse("3, 0, 8, 100"), 100u);
	for (const char *text : {"3,0,8", "", "3,0,8,", "3,0,8,x", "3,0,8,-5",
		 "3,0,8,99999999999999999999", "3,0,8,100,7"})
		EXPECT_EQ(capacity_host_percent_parse(text), 0u) << text;
	EXPECT_EQ(capacity_host_percent_parse(nullptr), 0u);
	EXPECT_EQ(capacity_server_host_percent(&server, now), 0u);
}

// A cold server is slow until it says otherwise; the time after it does not inherit that.
TEST_F(CapacityServer, ColdStartIsLearnedApart)
{
	capacity_server_init(&server, 3000, now);
	EXPECT_EQ(speed(), static_cast<uint32_t>(CAPACITY_COLD_PERCENT));
	exchange(190000, 3, 50);
	EXPECT_GT(speed(), 250u);
	now = START + 3000 * NS_PER_MS;
	EXPECT_EQ(speed(), 0u);
	exchange(190000, 1, 5);
	EXPECT_NEAR(speed(), 100, 2);
}

// Answers take five times as long once more than 8 calls run: more calls give fewer
// answers.
TEST_F(CapacityServer, ConcurrencyBeyondTheKneeIsNotUseful)
{
	EXPECT_EQ(capacity_server_useful(&server, SLOTS), SLOTS);
	for (int i = 0; i < 1500; i++) {
		uint32_t running = 1 + static_cast<uint32_t>(rng_below(&rng, SLOTS));

		exchange(190000, running > 8 ? 5 : 1, 1, running);
	}
	EXPECT_EQ(capacity_server_useful(&server, SLOTS), 8u);
}

// Durations spread by themselves: that must not look like a knee, at any time.
TEST_F(CapacityServer, SlotsAreUsefulIfAnswersTakeTheSame)
{
	int fewer = 0;

	for (int i = 0; i < 5000; i++) {
		exchange(190000, 0.3 + 1.5 * rng_unit(&rng), 1,
		    1 + static_cast<uint32_t>(rng_below(&rng, SLOTS)));
		fewer += capacity_server_useful(&server, SLOTS) != SLOTS;
	}
	EXPECT_LT(fewer, 250);
}

TEST(CapacityRoutes, TypicalDurationIgnoresTheTailAndBusyHosts)
{
	capacity_routes_t routes;
	rng_t rng;

	capacity_routes_init(&routes);
	rng_init(&rng, 5);
	for (int i = 0; i < CAPACITY_ROUTE_SAMPLES_MIN; i++) {
		EXPECT_EQ(capacity_route_duration(&routes, 7).typical_us, 0u);
		capacity_route_record(&routes, 7, 150 * NS_PER_MS, 0, 0);
	}
	for (int i = 0; i < 1000; i++) {
		bool tail = rng_below(&rng, 100) < 3, busy = rng_below(&rng, 4) == 0;

		capacity_route_record(&routes, 7,
		    (tail ? 7 : 1) * (busy ? 375 : 150) * NS_PER_MS, busy ? 250 : 100,
		    100);
	}
	EXPECT_NEAR(capacity_route_duration(&routes, 7).typical_us, 150000, 12000);
	EXPECT_LT(capacity_route_duration(&routes, 7).spread, 0.25);
	EXPECT_EQ(capacity_route_duration(&routes, 8).typical_us, 0u);
	/* One answer after minutes. */
	capacity_route_record(&routes, 7, 150 * NS_PER_S, 100, 100);
	EXPECT_NEAR(capacity_route_duration(&routes, 7).typical_us, 150000, 15000);
}

TEST(CapacityRoutes, LateChanceGrowsWithTheEstimate)
{
	EXPECT_NEAR(capacity_late_chance(600, 600, 0.5), 0.5, 0.01);
	EXPECT_LT(capacity_late_chance(150, 600, 0.5), 0.02);
	EXPECT_GT(capacity_late_chance(800, 600, 0.5), 0.7);
	EXPECT_EQ(capacity_late_chance(100, 0, 0.5), 1);
	EXPECT_EQ(capacity_late_chance(0, 600, 0.5), 0);
}

} // namespace
