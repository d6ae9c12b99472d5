// Guards against workspaces that get more than their quota over all nodes, also behind
// partitions and restarts, and against requests that are refused below it.
#include "quota_simulation.h"

#include <gtest/gtest.h>

namespace
{

const quota_limit_t LARGE = {900.0, 900.0};
const quota_limit_t MIDDLE = {60.0, 60.0};
const quota_limit_t SMALL = {5.0, 5.0};
const quota_limit_t LIMITS[] = {LARGE, MIDDLE, SMALL};
const size_t NODES = 30;
// Until all nodes are old enough to own quotas.
const uint64_t SETTLE_MS = 5000;

class Quota : public ::testing::TestWithParam<int>
{
      protected:
	quota_limit_t limit = LIMITS[GetParam() % 3];
	QuotaMesh mesh{NODES, limit, static_cast<uint64_t>(GetParam()) + 1};

	void
	settle()
	{
		mesh.run(SETTLE_MS, 0.0, mesh.everywhere());
	}
	// Share of the quota that was served in the time, without the burst.
	double
	served(uint64_t from, uint64_t to) const
	{
		return static_cast<double>(QuotaMesh::between(mesh.admitted, from, to)) /
		       (limit.rate * static_cast<double>(to - from) / 1000.0);
	}
	// Share of the requests sent in the time that were refused, or got no answer.
	double
	lost(uint64_t from, uint64_t to) const
	{
		return static_cast<double>(QuotaMesh::between(mesh.refused, from, to) +
					   QuotaMesh::between(mesh.unknown, from, to)) /
		       static_cast<double>(QuotaMesh::between(mesh.sent, from, to));
	}
};

TEST_P(Quota, ServesTheQuotaAtThreeTimesTheLoad)
{
	settle();
	mesh.run(15000, 3 * limit.rate, mesh.everywhere());
	EXPECT_LE(mesh.excess(), 0.0);
	EXPECT_GE(served(SETTLE_MS + 1000, mesh.time()), 0.9);
}

TEST_P(Quota, OverloadDoesNotFloodTheOwner)
{
	uint64_t before;

	settle();
	mesh.run(2000, 20 * limit.rate, mesh.everywhere());
	before = mesh.messages;
	mesh.run(10000, 20 * limit.rate, mesh.everywhere());
	/* Refusals, and the asks that get tokens; an ask and its answer each. */
	EXPECT_LE(static_cast<double>(mesh.messages - before) / 10.0,
	    2.0 * (QUOTA_REFUSALS_PER_S + limit.rate));
}

TEST_P(Quota, RefusesNothingWithinTheQuota)
{
	settle();
	mesh.run(15000, 0.62 * limit.rate, mesh.everywhere());
	EXPECT_LE(mesh.excess(), 0.0);
	EXPECT_EQ(lost(SETTLE_MS + 1000, mesh.time()), 0.0);
}

TEST_P(Quota, LoadFromOneNode)
{
	settle();
	mesh.run(8000, 0.9 * limit.rate, [](rng_t *) { return 7; });
	EXPECT_EQ(lost(SETTLE_MS + 1000, mesh.time()), 0.0);
	mesh.run(8000, 3 * limit.rate, [](rng_t *) { return 7; });
	EXPECT_LE(mesh.excess(), 0.0);
	EXPECT_GE(served(SETTLE_MS + 9000, mesh.time()), 0.9);
}

TEST_P(Quota, LoadThatMovesBetweenNodes)
{
	settle();
	for (size_t i = 0; i < 5; i++)
		mesh.run(3000, 3 * limit.rate, [i](rng_t *) { return i * 5; });
	EXPECT_LE(mesh.excess(), 0.0);
	EXPECT_GE(served(SETTLE_MS + 1000, mesh.time()), 0.9);
	mesh.run(3000, 0.0, mesh.everywhere());
	uint64_t from = mesh.time();
	for (size_t i = 0; i < 5; i++)
		mesh.run(3000, 0.62 * limit.rate, [i](rng_t *) { return i * 5 + 1; });
	EXPECT_EQ(lost(from + 1000, mesh.time()), 0.0);
}

TEST_P(Quota, LossesDelayOnly)
{
	settle();
	mesh.loss = 0.05;
	mesh.run(15000, 0.62 * limit.rate, mesh.everywhere());
	EXPECT_EQ(lost(SETTLE_MS + 1000, mesh.time()), 0.0);
	mesh.run(10000, 3 * limit.rate, mesh.everywhere());
	EXPECT_LE(mesh.excess(), 0.0);
}

TEST_P(Quota, OwnerIsKilled)
{
	for (double load : {3.7, 0.62}) {
		QuotaMesh one(NODES, limit, static_cast<uint64_t>(GetParam()) + 1);
		uint64_t killed_at;
		size_t owner;

		one.run(SETTLE_MS, 0.0, one.everywhere());
		one.run(6000, load * limit.rate, one.everywhere());
		owner = one.owner();
		one.stop(owner);
		killed_at = one.time();
		one.run(3000, load * limit.rate, one.everywhere());
		one.start(owner);
		one.run(8000, load * limit.rate, one.everywhere());
		EXPECT_LE(one.excess(), 0.0) << load;
		/* Two seconds until its death is known, and one of waiting. */
		if (load > 1.0)
			continue;
		EXPECT_EQ(
		    QuotaMesh::between(one.refused, killed_at + 3000, one.time()) +
			QuotaMesh::between(one.unknown, killed_at + 3000, one.time()),
		    0u);
	}
}

TEST_P(Quota, ZoneIsCutOff)
{
	for (double load : {3.7, 0.62}) {
		QuotaMesh one(NODES, limit, static_cast<uint64_t>(GetParam()) + 1);
		uint64_t cut_at;

		one.run(SETTLE_MS, 0.0, one.everywhere());
		one.run(6000, load * limit.rate, one.everywhere());
		one.cut_zone = one.nodes[one.owner()].zone;
		cut_at = one.time();
		one.run(6000, load * limit.rate, one.everywhere());
		one.cut_zone = -1;
		one.run(8000, load * limit.rate, one.everywhere());
		EXPECT_LE(one.excess(), 0.0) << load;
		/* Known after two seconds; then each side has its part of the quota. */
		if (load > 1.0)
			continue;
		EXPECT_LE(
		    QuotaMesh::between(one.refused, cut_at + 3500, cut_at + 6000) +
			QuotaMesh::between(one.unknown, cut_at + 3500, cut_at + 6000),
		    0.03 * load * limit.rate * 2.5 + 2.0);
	}
}

TEST_P(Quota, SingleNodesAreCutOff)
{
	settle();
	mesh.run(6000, 3.7 * limit.rate, mesh.everywhere());
	for (size_t i = 0; i < 5; i++)
		mesh.nodes[i * 6].cut = true;
	mesh.run(6000, 3.7 * limit.rate, mesh.everywhere());
	for (size_t i = 0; i < 5; i++)
		mesh.nodes[i * 6].cut = false;
	mesh.run(6000, 3.7 * limit.rate, mesh.everywhere());
	EXPECT_LE(mesh.excess(), 0.0);
}

TEST_P(Quota, AllNodesAreKilledAtOnce)
{
	uint64_t from;

	settle();
	mesh.run(6000, 3.7 * limit.rate, mesh.everywhere());
	for (size_t i = 0; i < NODES; i++)
		mesh.stop(i);
	mesh.run(500, 0.0, mesh.everywhere());
	for (size_t i = 0; i < NODES; i++) {
		mesh.start(i);
		mesh.run(20, 3.7 * limit.rate, mesh.everywhere());
	}
	from = mesh.time();
	mesh.run(8000, 3.7 * limit.rate, mesh.everywhere());
	EXPECT_LE(mesh.excess(), 0.0);
	EXPECT_GE(served(from + 3000, mesh.time()), 0.9);
}

TEST_P(Quota, HalfOfTheNodesAreKilled)
{
	uint64_t from;

	settle();
	mesh.run(6000, 0.62 * limit.rate, mesh.everywhere());
	for (size_t i = 0; i < NODES; i += 2)
		mesh.stop(i);
	mesh.run(2000, 0.62 * limit.rate, mesh.everywhere());
	for (size_t i = 0; i < NODES; i += 2)
		mesh.start(i);
	from = mesh.time();
	mesh.run(8000, 0.62 * limit.rate, mesh.everywhere());
	EXPECT_EQ(lost(from + 2000, mesh.time()), 0.0);
	mesh.run(8000, 3.7 * limit.rate, mesh.everywhere());
	EXPECT_LE(mesh.excess(), 0.0);
}

TEST_P(Quota, NodesRestartInTurn)
{
	settle();
	mesh.run(2000, 0.62 * limit.rate, mesh.everywhere());
	for (size_t i = 0; i < 12; i++) {
		size_t owner = mesh.owner();
		auto others = [this, owner](rng_t *r) {
			size_t at = rng_below(r, NODES - 1);

			return at + (at >= owner);
		};

		mesh.leave(owner);
		mesh.run(600, 0.62 * limit.rate, others);
		mesh.stop(owner);
		mesh.run(400, 0.62 * limit.rate, others);
		mesh.start(owner);
		mesh.run(500, 0.62 * limit.rate, others);
	}
	EXPECT_LE(mesh.excess(), 0.0);
	EXPECT_EQ(lost(SETTLE_MS + 1000, mesh.time()), 0.0);
}

TEST_P(Quota, LowerLimitBindsAtOnce)
{
	uint64_t from;

	settle();
	mesh.run(6000, 0.62 * limit.rate, mesh.everywhere());
	mesh.limit.rate /= 5.0;
	mesh.limit.burst /= 5.0;
	mesh.run(1000, 0.62 * limit.rate, mesh.everywhere());
	from = mesh.time();
	mesh.run(8000, 0.62 * limit.rate, mesh.everywhere());
	mesh.admitted.erase(mesh.admitted.begin(),
	    std::lower_bound(mesh.admitted.begin(), mesh.admitted.end(), from));
	EXPECT_LE(mesh.excess(), 0.0);
}

// A former owner that gets the quota back must not lend what it had before: the owner in
// between may have lent the burst.
TEST(QuotaOwner, LosesItsBucketWithTheQuota)
{
	quota_owner_t *owner = quota_owner_create();
	auto none = [](void *, uint64_t) { return false; };
	auto all = [](void *, uint64_t) { return true; };
	uint64_t now = 100 * NS_PER_S;
	quota_grant_t grant;

	/* Owned for long, so the bucket is full. */
	grant = quota_owner_lend(owner, WORKSPACE, &MIDDLE, 1.0, 1, 0, now);
	EXPECT_EQ(grant.tokens, 1u);
	EXPECT_GT(quota_owner_tokens(owner, WORKSPACE), 40.0);
	EXPECT_EQ(quota_owner_prune(owner, all, nullptr), 0u);
	EXPECT_EQ(quota_owner_prune(owner, none, nullptr), 1u);
	EXPECT_EQ(quota_owner_tokens(owner, WORKSPACE), -1.0);
	grant = quota_owner_lend(owner, WORKSPACE, &MIDDLE, 1.0, 100, now, now);
	EXPECT_EQ(grant.tokens, static_cast<uint32_t>(QUOTA_NEW_BUCKET));
	/* It refuses nothing in its first second. */
	grant = quota_owner_lend(owner, WORKSPACE, &MIDDLE, 1.0, 100, now, now + 1);
	EXPECT_EQ(grant.tokens, 0u);
	EXPECT_TRUE(grant.hold);
	quota_owner_destroy(owner);
}

INSTANTIATE_TEST_SUITE_P(Seeds, Quota, ::testing::Range(0, 9));

} // namespace
