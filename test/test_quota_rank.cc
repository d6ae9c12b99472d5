// Guards the choice of a quota's owner, and the part of the quota that it may lend.
#include "quota_rank.h"

#include "util.h"

#include <gtest/gtest.h>
#include <map>

namespace
{

const uint64_t WALL_MS = 1000000;
const uint64_t SELF = 1;

class QuotaRank : public ::testing::Test
{
      protected:
	quota_rank_t *rank = quota_rank_create(SELF, at(0));
	uint64_t now_ms = 0;

	~QuotaRank() override
	{
		quota_rank_destroy(rank);
	}
	static uint64_t
	at(uint64_t ms)
	{
		return (1000 + ms) * NS_PER_MS;
	}
	// age: how long the member has run at the start of the test.
	void
	member(uint64_t node, member_state_t state = MEMBER_ALIVE, bool reachable = true,
	    uint64_t age_ms = 10000)
	{
		member_t record = {};

		record.node = node;
		record.state = state;
		record.reachable = reachable;
		record.incarnation = WALL_MS - age_ms;
		ASSERT_EQ(
		    quota_rank_member(rank, &record, at(now_ms), WALL_MS + now_ms), 0);
	}
	void
	members(uint64_t from, uint64_t to)
	{
		for (uint64_t node = from; node <= to; node++)
			member(node);
	}
	void
	wait(uint64_t ms)
	{
		for (uint64_t end = now_ms + ms; now_ms < end; now_ms += 100)
			quota_rank_tick(rank, at(now_ms), WALL_MS + now_ms);
	}
};

TEST_F(QuotaRank, OwnersAreSpreadEvenlyAndMoveOnlyFromAMemberThatGoes)
{
	std::map<uint64_t, int> counts;
	std::vector<uint64_t> owners;

	members(1, 10);
	for (uint64_t i = 0; i < 1000; i++) {
		owners.push_back(quota_rank_owner(rank, i));
		counts[owners.back()]++;
	}
	for (uint64_t node = 1; node <= 10; node++) {
		EXPECT_GE(counts[node], 60) << node;
		EXPECT_LE(counts[node], 140) << node;
	}
	member(4, MEMBER_DOWN);
	for (uint64_t i = 0; i < 1000; i++) {
		uint64_t owner = quota_rank_owner(rank, i);

		EXPECT_TRUE(owner == owners[i] || (owners[i] == 4 && owner != 4)) << i;
	}
}

// A node that has just started does not know all members, and is not known to all.
TEST_F(QuotaRank, YoungNodesOwnNothingBesideOldOnes)
{
	member(SELF, MEMBER_ALIVE, true, 0);
	members(2, 3);
	for (uint64_t i = 0; i < 100; i++)
		EXPECT_NE(quota_rank_owner(rank, i), SELF);
	wait(QUOTA_ELIGIBLE_AGE_MS + 100);
	int owned = 0;
	for (uint64_t i = 0; i < 100; i++)
		owned += quota_rank_owner(rank, i) == SELF;
	EXPECT_GE(owned, 15);
}

// All nodes were killed at once: the first ones to start would lend all of it each.
TEST_F(QuotaRank, IfAllAreYoungTheOwnerWaits)
{
	member(SELF, MEMBER_ALIVE, true, 0);
	EXPECT_EQ(quota_rank_owner(rank, 1), SELF);
	EXPECT_FALSE(quota_rank_may_lend(rank, at(0)));
	EXPECT_FALSE(quota_rank_may_lend(rank, at(QUOTA_START_MS - 1)));
	EXPECT_TRUE(quota_rank_may_lend(rank, at(QUOTA_START_MS)));
	now_ms = QUOTA_START_MS;
	member(2, MEMBER_ALIVE, true, 0);
	EXPECT_FALSE(quota_rank_may_lend(rank, at(QUOTA_START_MS + 100)));
	EXPECT_TRUE(quota_rank_may_lend(rank, at(QUOTA_START_MS + QUOTA_START_QUIET_MS)));
}

TEST_F(QuotaRank, PartOfAPartition)
{
	members(1, 12);
	for (uint64_t node = 9; node <= 12; node++)
		member(node, MEMBER_ALIVE, false);
	EXPECT_DOUBLE_EQ(quota_rank_share(rank), 8.0 / 12);
	/* The other side learns of the end later. */
	members(9, 12);
	EXPECT_DOUBLE_EQ(quota_rank_share(rank), 8.0 / 12);
	wait(QUOTA_SHARE_RISE_MS - 100);
	EXPECT_DOUBLE_EQ(quota_rank_share(rank), 8.0 / 12);
	wait(300);
	EXPECT_DOUBLE_EQ(quota_rank_share(rank), 1.0);
}

TEST_F(QuotaRank, PartBesideSilentAndDepartedMembers)
{
	members(1, 10);
	/* Two of ten are down: half of them count as in reach. */
	member(9, MEMBER_DOWN);
	member(10, MEMBER_DOWN);
	EXPECT_DOUBLE_EQ(quota_rank_share(rank), 0.9);
	EXPECT_EQ(quota_rank_known(rank), 10u);
	/* One that leaves first is gone. */
	member(8, MEMBER_LEAVING);
	member(8, MEMBER_DOWN);
	EXPECT_EQ(quota_rank_known(rank), 9u);
	/* Alone: the others probably run, and it is cut off. */
	for (uint64_t node = 2; node <= 7; node++)
		member(node, MEMBER_DOWN);
	EXPECT_DOUBLE_EQ(quota_rank_share(rank), 1.0 / 9);
	/* Those that never come back are forgotten. */
	wait(QUOTA_DOWN_KEEP_MS + 2 * QUOTA_SHARE_RISE_MS);
	EXPECT_EQ(quota_rank_known(rank), 1u);
	EXPECT_DOUBLE_EQ(quota_rank_share(rank), 1.0);
}

TEST_F(QuotaRank, LeavingNodesOwnNothing)
{
	members(1, 2);
	quota_rank_leave(rank, at(0));
	for (uint64_t i = 0; i < 20; i++)
		EXPECT_EQ(quota_rank_owner(rank, i), 2u);
	member(2, MEMBER_LEAVING);
	EXPECT_EQ(quota_rank_owner(rank, 1), 0u);
	quota_rank_remove(rank, 2, at(0));
	EXPECT_EQ(quota_rank_known(rank), 1u);
}

} // namespace
