// Tests the quarantine: a request that crashes backend servers must be refused, and
// harmless requests must not.
#include "quarantine.h"

#include "os.h"

#include <gtest/gtest.h>
#include <set>
#include <string>
#include <vector>

namespace
{

class Quarantine : public testing::Test
{
      protected:
	quarantine_t *quarantine = nullptr;
	uint64_t now = NS_PER_S;

	void
	SetUp() override
	{
		ASSERT_EQ(quarantine_create(&quarantine), 0);
	}

	void
	TearDown() override
	{
		quarantine_destroy(quarantine);
	}

	std::set<uint64_t>
	crash()
	{
		std::vector<uint64_t> fingerprints(QUARANTINE_IN_FLIGHT_MAX);
		size_t count = quarantine_crash(
		    quarantine, fingerprints.data(), fingerprints.size());

		return {fingerprints.begin(), fingerprints.begin() + (long)count};
	}
};

// Guards against different requests sharing a fingerprint, so that one is refused
// because of the other, and against one request having two fingerprints.
TEST(Fingerprint, CoversMethodPathLengthAndTheFirstBytesOfTheBody)
{
	std::string body(10000, 'b'), changed = body, tail = body;
	std::set<uint64_t> seen;

	changed[QUARANTINE_BODY_BYTES - 1] = 'c';
	tail[QUARANTINE_BODY_BYTES] = 'c';
	seen.insert(quarantine_fingerprint("POST", "/a?x=1", 10000, body.data(), 10000));
	seen.insert(quarantine_fingerprint("PUT", "/a?x=1", 10000, body.data(), 10000));
	seen.insert(quarantine_fingerprint("POST", "/a?x=2", 10000, body.data(), 10000));
	seen.insert(quarantine_fingerprint("POST", "/a?x=1", 10001, body.data(), 10000));
	seen.insert(quarantine_fingerprint("POST", "/a?x=1", -1, body.data(), 10000));
	seen.insert(
	    quarantine_fingerprint("POST", "/a?x=1", 10000, changed.data(), 10000));
	seen.insert(quarantine_fingerprint("POST/a", "?x=1", 10000, body.data(), 10000));
	seen.insert(quarantine_fingerprint("POST", "/a?x=1", 0, NULL, 0));
	EXPECT_EQ(seen.size(), 8u);
	EXPECT_EQ(seen.count(0), 0u);
	EXPECT_EQ(seen.count(quarantine_fingerprint(
		      "POST", "/a?x=1", 10000, tail.data(), 10000)),
	    1u);
}

// Guards against a request crashing more than two backend servers, and against a
// refusal without end.
TEST_F(Quarantine, TwoDifferentCrashesRefuseForTenMinutes)
{
	EXPECT_FALSE(quarantine_report(quarantine, 7, 100, now));
	EXPECT_FALSE(quarantine_refuses(quarantine, 7, now));
	// The same crash, delivered again by gossip.
	EXPECT_FALSE(quarantine_report(quarantine, 7, 100, now));
	EXPECT_TRUE(quarantine_report(quarantine, 7, 101, now));
	EXPECT_TRUE(quarantine_refuses(quarantine, 7, now));
	EXPECT_FALSE(quarantine_refuses(quarantine, 8, now));
	EXPECT_FALSE(quarantine_refuses(quarantine, 0, now));
	EXPECT_EQ(quarantine_count(quarantine, now), 1u);
	now += QUARANTINE_DURATION_MS * NS_PER_MS - 1;
	EXPECT_TRUE(quarantine_refuses(quarantine, 7, now));
	now++;
	EXPECT_FALSE(quarantine_refuses(quarantine, 7, now));
	// Old crashes do not count towards the next refusal.
	EXPECT_FALSE(quarantine_report(quarantine, 7, 102, now));
	EXPECT_TRUE(quarantine_report(quarantine, 7, 103, now));
}

// Guards against a refusal because of two unrelated crashes, hours apart.
TEST_F(Quarantine, ReportsFarApartDoNotAddUp)
{
	EXPECT_FALSE(quarantine_report(quarantine, 7, 100, now));
	now += QUARANTINE_DURATION_MS * NS_PER_MS;
	EXPECT_FALSE(quarantine_report(quarantine, 7, 101, now));
}

// Guards against reporting a harmless, frequent request because it was in flight when
// another one crashed the backend server.
TEST_F(Quarantine, ACrashReportsOnlyFingerprintsWithoutASuccess)
{
	quarantine_start(quarantine, 1);
	EXPECT_FALSE(quarantine_end(quarantine, 1, true));
	quarantine_start(quarantine, 1);
	quarantine_start(quarantine, 2);
	quarantine_start(quarantine, 3);
	quarantine_start(quarantine, 3);
	quarantine_start(quarantine, 4);
	EXPECT_FALSE(quarantine_end(quarantine, 4, false));
	quarantine_start(quarantine, 0);
	EXPECT_EQ(crash(), (std::set<uint64_t>{2, 3}));
	EXPECT_EQ(crash(), std::set<uint64_t>{});
}

// Guards against counting a request as in flight after it has ended, and against no
// longer counting it after one of two concurrent runs has ended.
TEST_F(Quarantine, InFlightIsCounted)
{
	quarantine_start(quarantine, 5);
	quarantine_start(quarantine, 5);
	quarantine_end(quarantine, 5, false);
	quarantine_end(quarantine, 6, false);
	EXPECT_EQ(crash(), std::set<uint64_t>{5});
}

// Guards against a request staying refused after it has succeeded, and against a late
// report from gossip that restores the refusal.
TEST_F(Quarantine, ASuccessClears)
{
	quarantine_report(quarantine, 7, 100, now);
	quarantine_report(quarantine, 7, 101, now);
	EXPECT_TRUE(quarantine_end(quarantine, 7, true));
	EXPECT_FALSE(quarantine_refuses(quarantine, 7, now));
	EXPECT_FALSE(quarantine_end(quarantine, 7, true));
	EXPECT_FALSE(quarantine_report(quarantine, 7, 100, now));
	EXPECT_FALSE(quarantine_report(quarantine, 7, 101, now));
	EXPECT_FALSE(quarantine_report(quarantine, 7, 102, now));
	EXPECT_TRUE(quarantine_report(quarantine, 7, 103, now));
	quarantine_clear(quarantine, 7); // a success elsewhere
	quarantine_clear(quarantine, 9);
	EXPECT_FALSE(quarantine_refuses(quarantine, 7, now));
}

// Guards against tables without a bound, and against a flood of reports evicting a
// refused fingerprint.
TEST_F(Quarantine, TablesAreBoundedAndRefusalsStay)
{
	quarantine_report(quarantine, 7, 1, now);
	quarantine_report(quarantine, 7, 2, now);
	for (uint64_t i = 0; i < 5 * QUARANTINE_REPORTS_MAX; i++)
		quarantine_report(quarantine, 1000 + i, 3, now + i);
	EXPECT_TRUE(quarantine_refuses(quarantine, 7, now));
	// With every row refused, further fingerprints are ignored.
	for (uint64_t i = 0; i < 2 * QUARANTINE_REPORTS_MAX; i++) {
		quarantine_report(quarantine, 100000 + i, 4, now);
		quarantine_report(quarantine, 100000 + i, 5, now);
	}
	EXPECT_EQ(quarantine_count(quarantine, now), (size_t)QUARANTINE_REPORTS_MAX);
	EXPECT_TRUE(quarantine_refuses(quarantine, 7, now));
	for (uint64_t i = 1; i <= 2 * QUARANTINE_IN_FLIGHT_MAX; i++)
		quarantine_start(quarantine, i);
	EXPECT_EQ(crash().size(), (size_t)QUARANTINE_IN_FLIGHT_MAX);
	for (uint64_t i = 1; i <= 3 * QUARANTINE_SUCCESSES_MAX; i++)
		quarantine_end(quarantine, i, true);
	quarantine_start(quarantine, 1);
	quarantine_start(quarantine, 3 * QUARANTINE_SUCCESSES_MAX);
	EXPECT_EQ(crash(), std::set<uint64_t>{1}); // the oldest success was evicted
}

// Guards against a crashing request, sent 1,000 times to a mesh of gates, crashing
// more backend servers than the two of QUARANTINE_CRASH_THRESHOLD and those that run
// it concurrently.
TEST_F(Quarantine, ACrashingRequestCostsTwoBackendServers)
{
	const uint64_t crashing = 42;
	int crashes = 0;

	for (int i = 0; i < 1000; i++) {
		now += 10 * NS_PER_MS;
		if (quarantine_refuses(quarantine, crashing, now))
			continue;
		quarantine_start(quarantine, crashing);
		quarantine_start(quarantine, 1000 + (uint64_t)i);
		for (uint64_t fingerprint : crash())
			quarantine_report(
			    quarantine, fingerprint, 1 + (uint64_t)crashes, now);
		crashes++;
	}
	EXPECT_EQ(crashes, QUARANTINE_CRASH_THRESHOLD);
	EXPECT_EQ(quarantine_count(quarantine, now), 1u);
}

} // namespace
