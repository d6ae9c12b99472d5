// Guards against second attempts that are late, in vain, over the budget, or that load
// servers without room.
#include "hedge.h"

#include <gtest/gtest.h>

namespace
{

const uint64_t START = 1000 * NS_PER_S;
const uint64_t SERVICE = 7;

class Hedge : public testing::Test
{
      protected:
	hedge_t hedge;
	uint64_t now = START;
	hedge_attempt_t attempt = {};

	void
	SetUp() override
	{
		hedge_init(&hedge);
		requests(200);
		attempt.duration = {.typical_us = 150000, .spread = 0.5};
		attempt.expected_us = 150000;
		attempt.started_at = START;
		attempt.target = START + 600 * NS_PER_MS;
		attempt.deadline = START + 1500 * NS_PER_MS;
	}
	void
	requests(int count)
	{
		for (int i = 0; i < count; i++)
			hedge_request_record(&hedge, SERVICE, now);
	}
	hedge_verdict_t
	decide(double utilisation = 0.5)
	{
		return hedge_decide(&hedge, SERVICE, &attempt, utilisation, now);
	}
};

TEST_F(Hedge, LateAttemptIsRepeatedEarlyEnoughForTheTarget)
{
	now = hedge_due(&attempt, START);
	EXPECT_GT(now, START + 250 * NS_PER_MS);
	EXPECT_LT(now, START + 400 * NS_PER_MS);
	EXPECT_EQ(decide(), HEDGE_SEND);
}

TEST_F(Hedge, NothingIsRepeatedWhileTheDurationIsNotKnown)
{
	attempt.duration = {};
	EXPECT_EQ(hedge_due(&attempt, START), 0u);
	EXPECT_EQ(decide(), HEDGE_NO_GAIN);
}

// The first attempt is no longer at work than usual, or the second one would be late like
// the first, as when all servers are slow.
TEST_F(Hedge, AttemptWithoutGainIsNotSent)
{
	now = START + 150 * NS_PER_MS;
	EXPECT_EQ(decide(), HEDGE_NO_GAIN);
	attempt.expected_us = 250000;
	EXPECT_EQ(decide(), HEDGE_NO_GAIN);
	now = START + 350 * NS_PER_MS;
	attempt.duration.typical_us = 600000;
	attempt.expected_us = 600000;
	EXPECT_EQ(decide(), HEDGE_NO_GAIN);
	attempt.duration.typical_us = 150000;
	attempt.expected_us = 150000;
	EXPECT_EQ(decide(), HEDGE_SEND);
}

TEST_F(Hedge, DeadlineCountsOnceTheTargetHasPassed)
{
	now = START + 700 * NS_PER_MS;
	EXPECT_EQ(decide(), HEDGE_SEND);
	now = START + 1450 * NS_PER_MS;
	EXPECT_EQ(decide(), HEDGE_NO_GAIN);
	now = START + 1500 * NS_PER_MS;
	EXPECT_EQ(decide(), HEDGE_NO_GAIN);
}

TEST_F(Hedge, ServiceWithoutRoomGetsNoSecondAttempts)
{
	now = START + 350 * NS_PER_MS;
	EXPECT_EQ(decide(HEDGE_UTILISATION_MAX + 0.01), HEDGE_NO_ROOM);
	EXPECT_EQ(decide(), HEDGE_SEND);
}

TEST_F(Hedge, RepeatsStayWithinTheirShareOfTheWindow)
{
	int sent = 0;

	now = START + 350 * NS_PER_MS;
	for (int i = 0; i < 10; i++)
		hedge_repeat_record(&hedge, SERVICE, now); /* retries count too */
	while (sent < 200 && decide() == HEDGE_SEND)
		sent++;
	EXPECT_EQ(sent + 10, static_cast<int>(200 * HEDGE_SHARE));
	EXPECT_EQ(decide(), HEDGE_NO_BUDGET);
	requests(100);
	EXPECT_EQ(decide(), HEDGE_SEND);
	EXPECT_EQ(hedge_decide(&hedge, SERVICE + 1, &attempt, 0.5, now), HEDGE_NO_BUDGET);
}

TEST_F(Hedge, WindowIsForgotten)
{
	now = START + 350 * NS_PER_MS;
	for (int i = 0; i < 200; i++)
		decide();
	EXPECT_EQ(decide(), HEDGE_NO_BUDGET);
	now += HEDGE_WINDOW_PARTS * HEDGE_WINDOW_PART_NS;
	requests(100);
	attempt.started_at = now - 350 * NS_PER_MS;
	attempt.target = now + 250 * NS_PER_MS;
	attempt.deadline = now + 1150 * NS_PER_MS;
	EXPECT_EQ(decide(), HEDGE_SEND);
}

} // namespace
