// Guards an entry's borrowed tokens: used after their end, asked for too often, lost, or
// used without an owner.
#include "quota_lease.h"

#include "os.h"

#include <gtest/gtest.h>

namespace
{

const uint64_t WORKSPACE = 7;

class QuotaLease : public ::testing::Test
{
      protected:
	quota_lease_t *lease = quota_lease_create(1);
	double rate = 100.0;

	~QuotaLease() override
	{
		quota_lease_destroy(lease);
	}
	static uint64_t
	at(uint64_t ms)
	{
		return (1000 + ms) * NS_PER_MS;
	}
	quota_verdict_t
	take(uint64_t ms)
	{
		return quota_lease_take(lease, WORKSPACE, rate, at(ms)).verdict;
	}
	quota_verdict_t
	retake(uint64_t ms)
	{
		return quota_lease_retake(lease, WORKSPACE, rate, at(ms)).verdict;
	}
	uint32_t
	ask(uint64_t ms)
	{
		return quota_lease_ask(lease, WORKSPACE, at(ms));
	}
	void
	grant(uint64_t ms, uint32_t tokens, uint32_t retry_ms = 0, bool hold = false)
	{
		quota_grant_t answer = {tokens, retry_ms, hold};

		quota_lease_granted(lease, WORKSPACE, &answer, at(ms));
	}
};

TEST_F(QuotaLease, TokensEndUnused)
{
	EXPECT_EQ(take(0), QUOTA_WAITING);
	EXPECT_EQ(ask(0), 1u);
	grant(2, 3);
	EXPECT_EQ(retake(2), QUOTA_ADMITTED);
	EXPECT_EQ(take(QUOTA_LEASE_MS + 1), QUOTA_ADMITTED);
	EXPECT_EQ(take(QUOTA_LEASE_MS + 2), QUOTA_WAITING);
}

TEST_F(QuotaLease, AsksAreRepeatedOnlyAfterAWhile)
{
	EXPECT_EQ(take(0), QUOTA_WAITING);
	EXPECT_EQ(ask(0), 1u);
	EXPECT_EQ(take(1), QUOTA_WAITING);
	EXPECT_EQ(ask(1), 0u);
	EXPECT_EQ(ask(QUOTA_ASK_MS - 1), 0u);
	EXPECT_EQ(ask(QUOTA_ASK_MS), 2u);
	grant(QUOTA_ASK_MS + 1, 2);
	EXPECT_EQ(retake(QUOTA_ASK_MS + 1), QUOTA_ADMITTED);
	EXPECT_EQ(retake(QUOTA_ASK_MS + 1), QUOTA_ADMITTED);
	EXPECT_EQ(ask(QUOTA_ASK_MS + 1), 0u);
}

TEST_F(QuotaLease, RefusalHoldsUntilItsEnd)
{
	quota_take_t refused;

	EXPECT_EQ(take(0), QUOTA_WAITING);
	EXPECT_EQ(ask(0), 1u);
	grant(2, 0, 50);
	EXPECT_EQ(retake(2), QUOTA_REFUSED);
	refused = quota_lease_take(lease, WORKSPACE, rate, at(12));
	EXPECT_EQ(refused.verdict, QUOTA_REFUSED);
	EXPECT_EQ(refused.retry_ms, 40u);
	EXPECT_EQ(ask(12), 0u);
	EXPECT_EQ(take(52), QUOTA_WAITING);
	EXPECT_GE(ask(52), 1u);
}

TEST_F(QuotaLease, DemandIsAskedForAhead)
{
	uint32_t asked = 0;

	/* 50 requests a second, for two seconds. */
	for (uint64_t ms = 0; ms < 2000; ms += 20) {
		quota_verdict_t verdict = take(ms);
		uint32_t tokens = ask(ms);

		if (tokens > 0)
			grant(ms, tokens);
		if (verdict == QUOTA_WAITING) {
			EXPECT_EQ(retake(ms), QUOTA_ADMITTED);
			EXPECT_LT(ms, 1000u);
		}
		asked += tokens;
	}
	EXPECT_LE(asked, 115u);
}

// Under overload an entry would hold tokens that others lack.
TEST_F(QuotaLease, NoMoreThanTheQuotaIsAskedForAhead)
{
	rate = 20.0;
	for (uint64_t ms = 0; ms < 2000; ms += 5)
		take(ms);
	EXPECT_EQ(ask(2000), 400u + 4u);
}

TEST_F(QuotaLease, TokenIsGivenBackUntilItsEnd)
{
	quota_take_t taken;

	EXPECT_EQ(take(0), QUOTA_WAITING);
	EXPECT_EQ(ask(0), 1u);
	grant(0, 1);
	taken = quota_lease_retake(lease, WORKSPACE, rate, at(0));
	EXPECT_TRUE(quota_lease_give_back(lease, WORKSPACE, taken.until, at(10)));
	taken = quota_lease_take(lease, WORKSPACE, rate, at(20));
	EXPECT_EQ(taken.verdict, QUOTA_ADMITTED);
	EXPECT_EQ(taken.until, at(QUOTA_LEASE_MS));
	EXPECT_FALSE(
	    quota_lease_give_back(lease, WORKSPACE, taken.until, at(QUOTA_LEASE_MS)));
	EXPECT_FALSE(quota_lease_give_back(lease, 99, taken.until, at(20)));
}

// All entries together must not admit more than their part while no owner answers.
TEST_F(QuotaLease, ReserveIsHalfOfAnEqualPart)
{
	size_t admitted = 0;

	quota_lease_members_set(lease, 10);
	rate = 200.0;
	for (uint64_t ms = 0; ms < 3000; ms += 5) {
		quota_verdict_t verdict = take(ms);

		ask(ms);
		EXPECT_TRUE(ms >= QUOTA_SILENCE_MS || verdict == QUOTA_WAITING) << ms;
		admitted += verdict == QUOTA_ADMITTED_BY_RESERVE;
	}
	/* 200 / 10 / 2 a second, for 2.8 s, and one in the beginning. */
	EXPECT_GE(admitted, 26u);
	EXPECT_LE(admitted, 30u);
	/* An answer ends it, also one of an owner that only lets requests wait. */
	grant(3000, 0, 0, true);
	EXPECT_EQ(take(3200), QUOTA_WAITING);
}

TEST_F(QuotaLease, UnusedLeasesAreForgotten)
{
	EXPECT_EQ(take(0), QUOTA_WAITING);
	quota_lease_sweep(lease, at(QUOTA_LEASE_IDLE_S * 1000));
	EXPECT_EQ(quota_lease_count(lease), 1u);
	quota_lease_leave(lease, WORKSPACE);
	quota_lease_sweep(lease, at(QUOTA_LEASE_IDLE_S * 1000 - 1));
	EXPECT_EQ(quota_lease_count(lease), 1u);
	quota_lease_sweep(lease, at(QUOTA_LEASE_IDLE_S * 1000));
	EXPECT_EQ(quota_lease_count(lease), 0u);
}

} // namespace
