// Guards against nodes that serve an older version because the nodes that are to tell
// them of a newer one cannot, while the platform would serve them (issue 44).
#include "restorable_store.h"

namespace
{

const uint64_t MS = NS_PER_MS;

// Three zones of four hosts that know each other and have version 1 in force. The
// parameter: time from a commit until the version is in force everywhere, ms.
class ThreeZones : public testing::TestWithParam<uint64_t>
{
      protected:
	RestorableStore world;
	uint64_t newest = 1;

	void
	SetUp() override
	{
		world.apply_ns = GetParam() * MS;
		world.write(1);
		for (const char *zone : {"zone-a", "zone-b", "zone-c"})
			for (int i = 0; i < 4; i++)
				world.host_start(zone);
		for (size_t host = 0; host < world.hosts.size(); host++)
			for (size_t about = 0; about < world.hosts.size(); about++)
				if (about != host)
					world.member(host, about);
		world.run(8000 * MS);
		for (size_t host = 0; host < world.hosts.size(); host++)
			ASSERT_EQ(world.version(host), 1u) << "host " << host;
	}
	std::set<size_t>
	watchers(size_t first = 0, size_t last = 11) const
	{
		std::set<size_t> found;

		for (size_t host = first; host <= last; host++)
			if (spread_status(world.hosts[host].spread).watching)
				found.insert(host);
		return found;
	}
	// Commits a version; it must be in force in time on all hosts but the excluded.
	void
	commit_and_check(const std::set<size_t> &excluded)
	{
		world.write(++newest);
		world.run(world.apply_ns);
		for (size_t host = 0; host < world.hosts.size(); host++)
			if (excluded.count(host) == 0) {
				EXPECT_EQ(world.version(host), newest) << "host " << host;
			}
	}
};

// CONFIG: the platform refuses exactly the nodes that watch it, in each zone. Nobody else
// reads it, so no node gets the version.
TEST_P(ThreeZones, VersionArrivesWhileAllWatchersAreRefused)
{
	std::set<size_t> refused = watchers();

	ASSERT_EQ(refused.size(), 6u);
	for (size_t host : refused)
		world.refuse(host);
	for (int i = 0; i < 3; i++)
		commit_and_check({});
}

// CONFIG: the platform serves one node only, which has no role.
TEST_P(ThreeZones, VersionArrivesWhileOneNodeIsServed)
{
	std::set<size_t> refused = watchers();
	size_t served = 0;

	while (refused.count(served) != 0)
		served++;
	for (size_t host = 0; host < world.hosts.size(); host++)
		if (host != served)
			world.refuse(host);
	for (int i = 0; i < 3; i++)
		commit_and_check({});
}

// CONFIG: a node without a role is cut off from all others at the moment of a change,
// before membership notices, and serves the older version (seen with real nodes: 4.0 s).
TEST_P(ThreeZones, NodeCutOffFromAllOthersReadsThePlatform)
{
	std::set<size_t> roles = watchers();
	size_t alone = 0;

	while (roles.count(alone) != 0)
		alone++;
	world.cut_off(alone);
	for (int i = 0; i < 3; i++)
		commit_and_check({});
}

// CONFIG: a zone is cut off from the others, and the platform refuses its watchers.
TEST_P(ThreeZones, ZoneThatIsCutOffReplacesWatchersThatAreRefused)
{
	for (size_t host : watchers(0, 3))
		world.refuse(host);
	for (size_t host = 0; host < 4; host++)
		for (size_t other = 4; other < 12; other++) {
			world.cuts.insert({host, other});
			world.cuts.insert({other, host});
		}
	for (int i = 0; i < 3; i++)
		commit_and_check({});
}

// CONFIG: the answers to all waiting watches are lost, while reads are answered.
TEST_P(ThreeZones, VersionArrivesWhileAllWatchesAreSilent)
{
	world.watches_are_silent = true;
	for (int i = 0; i < 3; i++)
		commit_and_check({});
}

// CONFIG: all nodes that watch stand still, before membership notices.
TEST_P(ThreeZones, VersionArrivesWhileAllWatchersStandStill)
{
	std::set<size_t> frozen = watchers();

	for (size_t host : frozen)
		world.freeze(host, 20000 * MS);
	for (int i = 0; i < 3; i++)
		commit_and_check(frozen);
}

// A calm platform is read and watched by the nodes with the role only.
TEST_P(ThreeZones, CalmNodesWithoutTheRoleDoNotReadThePlatform)
{
	std::set<size_t> roles = watchers();
	std::vector<uint64_t> reads;

	for (const RestorableStore::Host &host : world.hosts)
		reads.push_back(spread_status(host.spread).counters.stale_reads);
	for (int i = 0; i < 20; i++) {
		commit_and_check({});
		world.run(700 * MS);
	}
	for (size_t host = 0; host < world.hosts.size(); host++)
		EXPECT_EQ(spread_status(world.hosts[host].spread).counters.stale_reads,
		    reads[host])
		    << "host " << host;
	EXPECT_EQ(watchers(), roles);
}

// A node that had to read the platform gives up its watch when others tell it again.
TEST_P(ThreeZones, NodeThatWasCutOffEndsItsWatch)
{
	std::set<size_t> roles = watchers();
	size_t alone = 0;

	while (roles.count(alone) != 0)
		alone++;
	world.cut_off(alone);
	world.run(world.apply_ns);
	ASSERT_EQ(watchers().count(alone), 1u);
	world.cuts.clear();
	world.run(world.apply_ns);
	EXPECT_EQ(watchers(), roles);
	commit_and_check({});
}

// Load: the platform refuses all nodes for 8 s. Guards against nodes that go on watching
// after it is back: each version is transferred to each of them in full
// (campanario-mesh-grown trouble-3).
TEST_P(ThreeZones, OnlyTheNodesWithTheRoleWatchSoonAfterAnOutage)
{
	std::set<size_t> roles = watchers();

	for (size_t host = 0; host < world.hosts.size(); host++)
		world.refuse(host);
	world.run(8000 * MS);
	for (RestorableStore::Host &host : world.hosts)
		host.refused = false;
	world.run(SPREAD_BACKOFF_RELAY_MAX_NS + 100 * MS);
	EXPECT_EQ(watchers(), roles);
	commit_and_check({});
}

// Of the nodes of a zone that read the platform while those with the role are refused,
// one goes on watching.
TEST_P(ThreeZones, OneNodeReplacesWatchersThatAreRefused)
{
	std::set<size_t> roles = watchers();

	for (size_t host : roles)
		world.refuse(host);
	for (int i = 0; i < 5; i++) {
		commit_and_check({});
		EXPECT_LE(watchers().size(), roles.size() + 3);
		EXPECT_GT(watchers().size(), roles.size());
	}
}

// A platform that answers nobody is not called more and more: each node without the role
// waits longer after each failure, a second at first.
TEST_P(ThreeZones, CallsOfAPlatformThatRefusesAllNodesAreBounded)
{
	std::set<size_t> roles = watchers();
	uint64_t before = 0, calls = 0;

	for (size_t host = 0; host < world.hosts.size(); host++)
		world.refuse(host);
	for (size_t host = 0; host < world.hosts.size(); host++)
		if (roles.count(host) == 0)
			before += world.hosts[host].calls[SPREAD_CALL_GET_HEAD];
	world.run(30000 * MS);
	for (size_t host = 0; host < world.hosts.size(); host++)
		if (roles.count(host) == 0)
			calls += world.hosts[host].calls[SPREAD_CALL_GET_HEAD];
	/* Less than one call a second and node. */
	EXPECT_LE(calls - before, 6u * 30u);
	EXPECT_GE(calls - before, 6u);
}

// CONFIG: a node that the platform did not serve for long is served again, while it is
// cut off from all others: it must not wait long for its next read.
TEST_P(ThreeZones, NodeThatIsServedAgainReadsThePlatformSoon)
{
	std::set<size_t> roles = watchers();
	size_t alone = 0;

	while (roles.count(alone) != 0)
		alone++;
	world.cut_off(alone);
	world.refuse(alone);
	world.run(40000 * MS);
	world.write(++newest);
	world.hosts[alone].refused = false;
	world.run(SPREAD_BACKOFF_STALE_MAX_SHARE * world.apply_ns + 100 * MS);
	EXPECT_EQ(world.version(alone), newest);
}

INSTANTIATE_TEST_SUITE_P(ApplyTimes, ThreeZones, testing::Values(2000, 2500, 3000));

} // namespace
