// Tests admission under two patterns of load: requests that occupy a slot and then fail
// because a service that they call is overloaded, and callers that retry.
#include "deadline_profile.h"
#include "os.h"
#include "run_set.h"
#include "throttle.h"
#include "util.h"

#include <gtest/gtest.h>

namespace
{

const uint64_t START = 100 * NS_PER_S;

// The end of a call that a request of rank 0 has made.
void
record(throttle_t *throttle, route_class_t route_class, uint32_t pressure, bool refused,
    bool late, uint64_t now)
{
	throttle_outcome_t outcome = {
	    .called = 1, .pressure = pressure, .refused = refused, .late = late};

	throttle_call_record(throttle, {0, route_class}, &outcome, now);
}

int
admitted_of(throttle_t *throttle, route_class_t route_class, int count, uint64_t now)
{
	int admitted = 0;

	for (int i = 0; i < count; i++)
		admitted += throttle_admit(throttle, {0, route_class}, now);
	return admitted;
}

// Guards against lookups occupying slots while every call that they make is refused,
// which left 9,106 runs of a day without a result.
TEST(Throttle, RefusedCallsReduceTheShareOfTheirClass)
{
	throttle_t throttle = {};
	uint64_t now = START;

	EXPECT_EQ(admitted_of(&throttle, ROUTE_LOOKUP, 100, now), 100);
	for (int i = 0; i < 30; i++) {
		now += THROTTLE_STEP_MS * NS_PER_MS;
		record(&throttle, ROUTE_LOOKUP, 0, true, false, now);
	}
	EXPECT_LE(admitted_of(&throttle, ROUTE_LOOKUP, 1000, now), 110);
	EXPECT_GE(admitted_of(&throttle, ROUTE_LOOKUP, 1000, now), 90);
	/* Other classes and nested calls are not affected. */
	EXPECT_EQ(admitted_of(&throttle, ROUTE_CALL, 100, now), 100);
	EXPECT_EQ(admitted_of(&throttle, ROUTE_INTERNAL, 100, now), 100);
}

// Guards against all lookups being late, instead of fewer being in time, when a called
// service queues calls and refuses none (grown campanario-mesh scale-2: 16,745 of
// 42,134 late).
TEST(Throttle, LateCallsReduceTheShareOfTheirClass)
{
	throttle_t throttle = {};
	uint64_t now = START;

	for (int i = 0; i < 200; i++) {
		now += 10 * NS_PER_MS;
		record(&throttle, ROUTE_LOOKUP, 0, false, i % 10 == 0, now);
	}
	/* One late call in ten is below the threshold. */
	EXPECT_EQ(throttle_percent(&throttle, ROUTE_LOOKUP), 100u);
	for (int i = 0; i < 400; i++) {
		now += 10 * NS_PER_MS;
		record(&throttle, ROUTE_LOOKUP, 0, false, i % 2 == 0, now);
	}
	EXPECT_LT(throttle_percent(&throttle, ROUTE_LOOKUP), 50u);
	for (int i = 0; i < 400; i++) {
		now += 10 * NS_PER_MS;
		record(&throttle, ROUTE_LOOKUP, 0, false, false, now);
	}
	EXPECT_EQ(throttle_percent(&throttle, ROUTE_LOOKUP), 100u);
}

// Guards against a short burst of refusals stopping a class immediately.
TEST(Throttle, TheShareChangesOncePerStep)
{
	throttle_t throttle = {};

	for (int i = 0; i < 100; i++)
		record(&throttle, ROUTE_LOOKUP, 100, true, false, START);
	EXPECT_EQ(throttle_percent(&throttle, ROUTE_LOOKUP), 90u);
}

// Guards against a share that stays low after the called service has recovered, or
// because no request is admitted whose calls would show the recovery.
TEST(Throttle, TheShareRecovers)
{
	throttle_t throttle = {};
	uint64_t now = START;

	for (int i = 0; i < 40; i++) {
		now += THROTTLE_STEP_MS * NS_PER_MS;
		record(&throttle, ROUTE_LOOKUP, 100, false, false, now);
	}
	ASSERT_EQ(throttle_percent(&throttle, ROUTE_LOOKUP), 10u);
	for (int i = 0; i < 30; i++) {
		now += THROTTLE_STEP_MS * NS_PER_MS;
		if (i < 10)
			record(&throttle, ROUTE_LOOKUP, 0, false, false, now);
		else
			throttle_admit(&throttle, {0, ROUTE_LOOKUP}, now);
	}
	EXPECT_EQ(throttle_percent(&throttle, ROUTE_LOOKUP), 100u);
}

// Guards against the most urgent requests being refused because a service that they
// call has no room, while less urgent ones that call it are admitted.
TEST(Throttle, TheLeastUrgentAreReducedFirstAndRaisedLast)
{
	const order_key_t urgent = {0, ROUTE_CALL}, other = {1001, ROUTE_CALL};
	const order_key_t elsewhere = {1002, ROUTE_CALL};
	throttle_t throttle = {};
	throttle_outcome_t good = {.called = 1};
	throttle_outcome_t refused = {.called = 1, .refused = true};
	throttle_outcome_t unrelated = {.called = 2};
	throttle_change_t change;
	uint64_t now = START;
	bool raised = false;

	for (int i = 0; i < 40; i++) {
		now += THROTTLE_STEP_MS * NS_PER_MS;
		throttle_call_record(&throttle, elsewhere, &unrelated, now);
		throttle_call_record(&throttle, other, &good, now);
		change = throttle_call_record(&throttle, urgent, &refused, now);
		if (i == 10) {
			EXPECT_EQ(change.key.rank, other.rank);
			EXPECT_EQ(change.cause, THROTTLE_REFUSED);
			EXPECT_TRUE(throttle_admit(&throttle, urgent, now));
		}
	}
	/* The least urgent is at its minimum by now, and the urgent one follows. */
	EXPECT_EQ(change.key.rank, urgent.rank);
	EXPECT_TRUE(throttle_admit(&throttle, elsewhere, now));
	for (int i = 0; i < 100; i++) {
		now += THROTTLE_STEP_MS * NS_PER_MS;
		change = throttle_call_record(&throttle, other, &good, now);
		raised |= change.cause == THROTTLE_ROOM;
		change = throttle_call_record(&throttle, urgent, &good, now);
		if (change.cause == THROTTLE_ROOM && change.share < 1)
			ASSERT_FALSE(raised);
	}
	EXPECT_TRUE(raised);
}

// Guards against refused bookings at a called service that keep more urgent requests
// from calling it.
TEST(Pressure, RefusalsOfLessUrgentCallsAreNotReported)
{
	pressure_table_t table = {};

	for (int i = 0; i < 20; i++) {
		pressure_table_record(&table, 1, true, START);
		pressure_table_record(&table, 0, false, START);
	}
	EXPECT_EQ(pressure_table_percent(&table, 0, START), 0u);
	EXPECT_EQ(pressure_table_percent(&table, 1, START), 50u);
	EXPECT_EQ(pressure_table_percent(&table, 9, START), 50u);
	EXPECT_EQ(pressure_table_percent(&table, 9, START + 10 * NS_PER_S), 0u);
}

// Guards against the pressure of an earlier rank counting for the one that takes its row.
TEST(Pressure, RowsAreReused)
{
	pressure_table_t table = {};

	for (uint32_t rank = 0; rank < PRESSURE_RANKS_MAX; rank++) {
		for (int i = 0; i < 10; i++)
			pressure_table_record(&table, rank, true, START + rank);
	}
	for (int i = 0; i < 10; i++)
		pressure_table_record(&table, 100, false, START + 100);
	EXPECT_EQ(pressure_table_percent(&table, 0, START + 100), 0u);
	EXPECT_EQ(pressure_table_percent(&table, 1, START + 100), 100u);
	EXPECT_EQ(pressure_table_percent(&table, 100, START + 100), 87u);
}

TEST(Pressure, PercentageOfRefusals)
{
	pressure_t pressure = {};

	pressure_record(&pressure, true, START);
	EXPECT_EQ(pressure_percent(&pressure, START), 0u); /* too few */
	for (int i = 0; i < 9; i++)
		pressure_record(&pressure, i % 2 == 0, START);
	EXPECT_EQ(pressure_percent(&pressure, START), 60u);
	EXPECT_EQ(pressure_percent(&pressure, START + 10 * NS_PER_S), 0u);
}

// Guards against treating a caller's retry as a new request, so that its late answer
// displaces one that would be in time.
TEST(DeadlineProfile, RetriesAreDetectedByTheirRemainingTime)
{
	deadline_profile_t profile;

	deadline_profile_init(&profile);
	for (int i = 0; i < 20; i++) {
		EXPECT_EQ(deadline_profile_record(&profile, 7, 1499 + i % 2), 0u);
		/* The remaining time differs between retries. */
		if (i > 10) {
			EXPECT_EQ(deadline_profile_record(&profile, 7, 1000 - 17 * i),
			    1500u - (1000 - 17 * i + 5) / 10 * 10);
		}
	}
	EXPECT_EQ(deadline_profile_record(&profile, 7, 6000), 0u); /* longer deadline */
	EXPECT_EQ(deadline_profile_record(&profile, 8, 100), 0u);  /* another route */
}

// Guards against a usual deadline that is not updated after the callers have changed
// it.
TEST(DeadlineProfile, AChangedUsualDeadlineIsDetected)
{
	deadline_profile_t profile;

	deadline_profile_init(&profile);
	for (int i = 0; i < 200; i++)
		deadline_profile_record(&profile, 7, 3000);
	for (int i = 0; i < 600; i++)
		deadline_profile_record(&profile, 7, 1000);
	EXPECT_EQ(deadline_profile_record(&profile, 7, 1000), 0u);
}

run_item_t
run_item(const char *id, const char *workspace, uint32_t rank)
{
	run_item_t item = {};

	item.request = hash_string(id);
	item.rank = rank;
	string_copy(item.workspace, sizeof(item.workspace), workspace);
	return item;
}

// Guards against new requests gaining priority by posing as nested calls of a running
// request, and against nested calls waiting like new requests.
TEST(RunSet, OnlyCallsOfRunningRequestsAreNested)
{
	run_item_t first = run_item("ab12", "north", 3);
	run_item_t second = run_item("ab12.77", "north", 3);
	run_set_t set;

	run_set_init(&set);
	run_set_add(&set, &first);
	EXPECT_NE(run_set_parent(&set, "ab12.77"), nullptr);
	EXPECT_EQ(run_set_parent(&set, "ab12"), nullptr);
	EXPECT_EQ(run_set_parent(&set, "ab13.77"), nullptr);
	EXPECT_EQ(run_set_parent(&set, ".77"), nullptr);
	EXPECT_EQ(run_set_parent(&set, "ab12.77.9"), nullptr);
	run_set_add(&set, &second);
	EXPECT_NE(run_set_parent(&set, "ab12.77.9"), nullptr);
	run_set_remove(&set, hash_string("ab12"));
	EXPECT_EQ(run_set_parent(&set, "ab12.77"), nullptr);
}

// Guards against a nested call that is served, or charged, as another request's.
TEST(RunSet, CallsInheritFromTheirRequest)
{
	run_item_t first = run_item("a1", "north", 0);
	run_item_t second = run_item("a2", "south", 1003);
	run_set_t set;

	run_set_init(&set);
	run_set_add(&set, &first);
	run_set_add(&set, &second);
	run_set_remove(&set, first.request);
	ASSERT_NE(run_set_parent(&set, "a2.1"), nullptr);
	EXPECT_STREQ(run_set_parent(&set, "a2.1")->workspace, "south");
	EXPECT_EQ(run_set_parent(&set, "a2.1")->rank, 1003u);
}

} // namespace
