// Guards the reads of the platform against a store that is restored from a copy: its
// revisions and leases go back and are given out again.
#include "restorable_store.h"

namespace
{

const uint64_t MS = NS_PER_MS;
// Time from a write to the version in force, as the operators are promised.
const uint64_t APPLY_NS = 2000 * NS_PER_MS;
// Wait of a watch of the hosts, which have the default of apply_ns.
const uint64_t WATCH_WAIT_MS =
    (uint64_t)(SPREAD_VERIFY_SHARE * SPREAD_APPLY_NS) / NS_PER_MS;

// A host with version 1 in force that watches on from a revision to which other writes
// have brought the store since its copy was taken.
class RestoredStore : public testing::Test
{
      protected:
	RestorableStore world;
	size_t host = 0;

	void
	SetUp() override
	{
		world.write(1);
		host = world.host_start("zone-a");
		world.run(4000 * MS);
		ASSERT_EQ(world.version(host), 1u);
		world.copy_take();
	}
	// Time from the write of a version until the host has it in force, ns.
	uint64_t
	lag(uint64_t version)
	{
		auto found = world.hosts[host].in_force_at.find(version);

		return found == world.hosts[host].in_force_at.end()
			   ? TIME_NEVER
			   : found->second - world.written_at[version];
	}
};

// CONFIG: a watch that goes on from a revision which the restored store has given out
// again leaves out the version written below that revision.
TEST_F(RestoredStore, WatchesLeaveOutNoVersionAfterRevisionsAreGivenOutAgain)
{
	for (int i = 0; i < 5; i++)
		world.write_other();
	world.run(2500 * MS); // the host watches from the last of them
	world.freeze(host, 1500 * MS);
	world.copy_restore();
	world.run(500 * MS);
	world.write(2);
	for (int i = 0; i < 9; i++)
		world.write_other();
	world.run(1000 * MS + 2 * APPLY_NS);
	EXPECT_EQ(world.version(host), 2u);
	EXPECT_LE(lag(2), 1000 * MS + APPLY_NS);
}

// CONFIG: while a watch waits on a connection that has gone silent, another call shows
// that the store was restored; a version written meanwhile waits for the watch's timeout.
TEST_F(RestoredStore, RestoreSeenByAnotherCallEndsTheWaitingWatch)
{
	uint64_t watches = world.hosts[host].calls[SPREAD_CALL_WATCH_HEAD];

	while (world.hosts[host].calls[SPREAD_CALL_WATCH_HEAD] == watches)
		world.run(MS);
	world.watches_are_silent = true;
	world.run(10 * MS);
	world.copy_restore();
	world.write(2);
	world.run(APPLY_NS + 100 * MS);
	EXPECT_EQ(world.version(host), 2u);
	/* The relay's lease is renewed within this time. */
	EXPECT_LE(lag(2), SPREAD_LEASE_RENEW_INTERVAL_NS + 50 * MS);
}

// A relay that goes on with a lease number of the store before it was restored: the lease
// belongs to another zone's relay now, its own key is gone, and its stop ends the
// other's.
TEST_F(RestoredStore, LeasesOfTheStoreBeforeAreNeitherRenewedNorEnded)
{
	size_t other = world.host_start("zone-b");
	uint64_t lease;

	world.run(4000 * MS);
	lease = spread_status(world.hosts[other].spread).lease;
	ASSERT_NE(world.store.keys.count("relay/zone-b"), 0u);
	ASSERT_NE(lease, 0u);
	world.copy_restore(); // the copy has neither that lease nor the key
	ASSERT_EQ(world.store.keys.count("relay/zone-b"), 0u);
	/* A third zone's relay gets the same number. */
	ASSERT_EQ(world.store.lease_create(60 * NS_PER_S, world.now).answer.lease, lease);
	world.store.put("relay/zone-c", "", 0, lease);
	world.run(3000 * MS);
	EXPECT_NE(world.store.keys.count("relay/zone-b"), 0u);
	EXPECT_NE(world.store.keys["relay/zone-b"].lease, lease);
	spread_leave(world.hosts[other].spread, world.now);
	world.drain(other);
	world.run(100 * MS);
	EXPECT_NE(world.store.keys.count("relay/zone-c"), 0u);
	for (uint64_t revoked : world.hosts[other].revoked)
		EXPECT_NE(revoked, lease);
}

// CONFIG: an answer that the store gave before it was restored arrives after one given
// since, and the next watch goes on from its revision.
TEST_F(RestoredStore, LateAnswerOfTheStoreBeforeIsIgnored)
{
	spread_message_t *query = spread_message_create(SPREAD_ASK_VERSION, 0);

	for (int i = 0; i < 5; i++)
		world.write_other();
	world.head_answer_delay = 2500 * MS;
	world.message(77, host, query); // has the relay read the document again
	spread_message_release(query);
	world.run(10 * MS);
	world.head_answer_delay = RestorableStore::LATENCY_NS;
	world.copy_restore();
	world.write(2);
	for (int i = 0; i < 9; i++)
		world.write_other();
	world.run(2500 * MS + APPLY_NS);
	EXPECT_EQ(world.version(host), 2u);
	EXPECT_LE(lag(2), 2500 * MS + 100 * MS);
}

// CONFIG: the parts of a version cannot be read, and the host gives it up. The next watch
// ends without a change, and the host does not read the version again until the next one.
TEST_F(RestoredStore, VersionWithoutItsPartsIsReadAgain)
{
	world.parts_are_unavailable = true;
	world.write(2);
	world.run((SPREAD_PULL_ATTEMPTS + 1) * SPREAD_PULL_TIMEOUT_NS + 100 * MS);
	ASSERT_EQ(world.version(host), 1u);
	world.parts_are_unavailable = false;
	world.run(WATCH_WAIT_MS * MS + APPLY_NS);
	EXPECT_EQ(world.version(host), 2u);
}

// CONFIG: another store takes the place of the platform's and counts its epochs anew; all
// its answers count as those of the store before.
TEST_F(RestoredStore, StoreWithALowerEpochIsReadIfItAnswersLaterCalls)
{
	world.epoch = 7;
	world.run(SPREAD_LEASE_RENEW_INTERVAL_NS + APPLY_NS);
	ASSERT_EQ(spread_status(world.hosts[host].spread).store_epoch, 7u);
	world.epoch = 1;
	world.write(2);
	world.run(APPLY_NS);
	EXPECT_EQ(world.version(host), 2u);
	world.run(SPREAD_LEASE_RENEW_INTERVAL_NS + APPLY_NS);
	EXPECT_EQ(spread_status(world.hosts[host].spread).store_epoch, 1u);
}

// A host starts after the restore: the copy has version 1, its peer has version 3 in
// force.
class StartAfterRestore : public RestoredStore
{
      protected:
	uint64_t started_at = 0;
	std::map<uint64_t, uint64_t> in_force_at; // by version

	void
	start_in_zone(const char *zone)
	{
		size_t started;

		world.write(2);
		world.run(100 * MS);
		world.write(3);
		world.run(100 * MS);
		ASSERT_EQ(world.version(host), 3u);
		world.copy_restore();
		world.run(2500 * MS);
		started_at = world.now;
		started = world.host_start(zone);
		world.member(started, host);
		world.member(host, started);
		world.run(SPREAD_PLATFORM_WAIT_NS + 500 * MS);
		in_force_at = world.hosts[started].in_force_at;
		ASSERT_EQ(in_force_at.count(3), 1u);
	}
};

// CONFIG: a relay that starts reads the copy before it has the newer version from its
// peer, and puts the older one in force for a moment.
TEST_F(StartAfterRestore, TheCopysVersionIsNotPutInForceBeforeTheNewerOneOfPeers)
{
	world.message_latency = 100 * MS;
	start_in_zone("zone-b");
	EXPECT_EQ(in_force_at.count(1), 0u);
}

// A host waits as long as without the platform, since the copy does not confirm the
// version that its peer has in force.
TEST_F(StartAfterRestore, TheVersionOfPeersIsInForceWithoutTheCopysConfirmation)
{
	start_in_zone("zone-a");
	EXPECT_LE(
	    in_force_at[3], started_at + SPREAD_FLOOR_WAIT_NS + SPREAD_START_JITTER_NS);
}

// A watch from a revision whose history the store has dropped is asked again at once,
// for as long as the document does not change: hundreds of calls in a calm minute.
// Guards against a zone without a relay: another program has written the relay's key.
TEST(SpreadPlatform, ForeignValueOfTheRelayKeyIsReplaced)
{
	for (const char *value : {"", "x", "[[[[[[[[[[]]]]]]]]]]", "{\"node\":1e400}",
		 "{\"node\":\"12345678901234567890\"}"}) {
		RestorableStore world;
		size_t host;

		world.store.put("relay/zone-a", value, PLATFORM_EXPECT_ANY, 0);
		world.write(1);
		host = world.host_start("zone-a");
		world.run(4000 * MS);
		EXPECT_TRUE(spread_status(world.hosts[host].spread).lease_held) << value;
	}
}

TEST(SpreadPlatform, WatchFollowsTheStoreWhileTheDocumentDoesNotChange)
{
	for (bool restored : {false, true}) {
		RestorableStore world;
		size_t host;
		uint64_t before = 0;

		world.write(1);
		host = world.host_start("zone-a");
		world.run(4000 * MS);
		world.copy_take();
		for (int i = 0; i < 60; i++) {
			world.write_other();
			world.run(1000 * MS);
			if (i == 30)
				before = world.hosts[host].calls[SPREAD_CALL_WATCH_HEAD];
			if (i == 30 && restored)
				world.copy_restore();
		}
		EXPECT_LE(world.hosts[host].calls[SPREAD_CALL_WATCH_HEAD] - before,
		    29000 / WATCH_WAIT_MS + 2);
		EXPECT_LE(world.hosts[host].calls[SPREAD_CALL_GET_HEAD], 6u);
		world.write(2);
		world.run(50 * MS);
		EXPECT_EQ(world.version(host), 2u);
	}
}

} // namespace
