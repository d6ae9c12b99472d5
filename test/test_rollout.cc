// Guards the share of requests that a new release gets at an entry, the steps' order, and
// the verdict on a release: against exposure beyond the bound, late steps that move a
// rollout back, bad releases taken for good ones and trouble around both taken for one.
#include "balance.h"
#include "rollout_codec.h"
#include "rollout_message.h"
#include "rollout_step.h"
#include "rollout_verdict.h"

#include <gtest/gtest.h>
#include <string.h>

static const uint64_t T0 = 1000 * NS_PER_S;

static rollout_step_t
step_of(rollout_mode_t mode, uint64_t order = 7, const char *release = "v2")
{
	rollout_step_t step;

	memset(&step, 0, sizeof(step));
	string_copy(step.service, NAME_BYTES, "katalogo");
	string_copy(step.release, NAME_BYTES, release);
	step.order = order;
	step.mode = mode;
	step.permille = 65;
	step.instances = 2;
	return step;
}

class Fleet : public ::testing::Test
{
      protected:
	void
	SetUp() override
	{
		ASSERT_EQ(
		    balance_create(BALANCE_ADAPTIVE, "a", "r", &balance), MASTICPITCH_OK);
		balance_rollouts_enable(balance, 0, 0);
		rng_init(&rng, 5);
		memset(&service, 0, sizeof(service));
		string_copy(service.name, NAME_BYTES, "katalogo");
		service.spill_percent = 80;
		for (uint64_t node = 1; node <= 20; node++)
			member_set(node, "v1");
	}
	void
	TearDown() override
	{
		balance_destroy(balance);
	}
	void
	member_set(
	    uint64_t node, const char *release, instance_state_t state = INSTANCE_READY)
	{
		member_t member;

		memset(&member, 0, sizeof(member));
		member.node = node;
		string_copy(member.zone, ZONE_BYTES, "a");
		string_copy(member.region, ZONE_BYTES, "r");
		member.reachable = true;
		member.instance.state = state;
		member.instance.slots = 8;
		string_copy(member.instance.service, NAME_BYTES, "katalogo");
		string_copy(member.instance.release, NAME_BYTES, release);
		ASSERT_EQ(balance_member_update(balance, &member, now), MASTICPITCH_OK);
	}
	/* One request that is answered with the status; returns its node, 0: none. */
	uint64_t
	request(int status = 200, size_t excluded_count = 0)
	{
		const uint64_t excluded[] = {1};
		const balance_request_t kind = {.route_class = ROUTE_CALL, .route = 3};
		const load_report_t load = {.limit = 8, .slots = 8, .exchange_us = 9000};
		balance_attempt_t attempt;
		uint64_t node;

		if (balance_choose_for(balance, &service, &kind, excluded, excluded_count,
			&rng, now, &node) != MASTICPITCH_OK)
			return 0;
		balance_attempt_start(balance, node, &kind, now, &attempt);
		now += NS_PER_MS / 10;
		balance_attempt_answer(balance, &attempt, status, &load, now);
		balance_attempt_end(balance, &attempt, now);
		return node;
	}
	/* Requests out of count that went to nodes above 20, the new release. */
	int
	sampled(int count, size_t excluded_count = 0)
	{
		int sum = 0;

		for (int i = 0; i < count; i++)
			sum += request(200, excluded_count) > 20;
		return sum;
	}
	rollout_accept_t
	step(rollout_mode_t mode, uint64_t order = 7)
	{
		rollout_step_t value = step_of(mode, order);

		return balance_step_accept(balance, &value, now);
	}

	uint64_t now = T0;
	balance_t *balance = nullptr;
	preset_service_t service;
	rng_t rng;
};

// A second release without a step would get its share of all requests at once.
TEST_F(Fleet, ReleaseWithoutStepIsHeld)
{
	for (uint64_t node = 21; node <= 30; node++)
		member_set(node, "v2");
	EXPECT_EQ(sampled(500), 0);
	EXPECT_EQ(step(ROLLOUT_HOLD), ROLLOUT_ACCEPTED);
	EXPECT_EQ(sampled(500), 0);
}

// A rolling restart keeps the release and must not be slowed.
TEST_F(Fleet, RestartUnderTheSameReleaseServesAtOnce)
{
	member_set(21, "v1");
	EXPECT_GT(sampled(500), 5);
}

// Without this, the share would be one of the choices, of which a busy service refuses
// many; the bound is on the requests that arrive.
TEST_F(Fleet, SampleStaysUnderItsShareOfAnswers)
{
	for (uint64_t node = 21; node <= 30; node++)
		member_set(node, "v2");
	step(ROLLOUT_SAMPLE);
	int sum = sampled(2000);
	EXPECT_LE(sum, 2000 * 65 / 1000);
	EXPECT_GE(sum, 100);
}

TEST_F(Fleet, RefusedRequestsEarnNoSample)
{
	const balance_request_t kind = {.route_class = ROUTE_CALL};
	const load_report_t load = {.limit = 8, .slots = 8};

	member_set(21, "v2");
	step(ROLLOUT_SAMPLE);
	for (int i = 0; i < 500; i++) {
		balance_attempt_t attempt;
		uint64_t node = 0;

		balance_choose_for(
		    balance, &service, &kind, nullptr, 0, &rng, now, &node);
		ASSERT_LE(node, 20u);
		balance_attempt_start(balance, node, &kind, now, &attempt);
		balance_attempt_refused(balance, &attempt, REASON_QUEUE_FULL, &load, now);
	}
}

// Few instances get the load of full operation, so that faults under load show.
TEST_F(Fleet, SampleGoesToFewInstances)
{
	bool used[64] = {false};
	int count = 0;

	for (uint64_t node = 21; node <= 30; node++)
		member_set(node, "v2");
	step(ROLLOUT_SAMPLE);
	for (int i = 0; i < 2000; i++)
		used[request()] = true;
	for (int node = 21; node <= 30; node++)
		count += used[node];
	EXPECT_EQ(count, 2);
}

// Nodes that no longer hear the deciding one have to stop by themselves.
TEST_F(Fleet, SampleEndsWithoutRepetition)
{
	member_set(21, "v2");
	step(ROLLOUT_SAMPLE);
	EXPECT_GT(sampled(500), 0);
	now += ROLLOUT_STEP_VALID_MS * NS_PER_MS;
	EXPECT_EQ(sampled(500), 0);
	EXPECT_EQ(step(ROLLOUT_SAMPLE), ROLLOUT_CONFIRMED);
	EXPECT_GT(sampled(500), 0);
}

// The operator's bounds: a shorter time to stop in, and a first request sooner.
TEST_F(Fleet, BoundsShortenTheSampleAndGiveAFirstCredit)
{
	balance_rollouts_enable(balance, 38, 1000);
	member_set(21, "v2");
	step(ROLLOUT_SAMPLE);
	/* 38 / 2 / 21 instances: the second answer earns the first sample. */
	EXPECT_EQ(sampled(2), 0);
	EXPECT_EQ(sampled(1), 1);
	now += 400 * NS_PER_MS;
	EXPECT_EQ(sampled(500), 0);
}

TEST_F(Fleet, RetriesAreNoSamples)
{
	member_set(21, "v2");
	step(ROLLOUT_SAMPLE);
	sampled(100);
	EXPECT_EQ(sampled(500, 1), 0);
}

// A decider that was paused, or a message that was late, moves nothing back.
TEST_F(Fleet, StepsOfOneOrderOnlyGoOn)
{
	member_set(21, "v2");
	step(ROLLOUT_SAMPLE);
	EXPECT_EQ(step(ROLLOUT_STOPPED), ROLLOUT_ACCEPTED);
	EXPECT_EQ(step(ROLLOUT_SAMPLE), ROLLOUT_OUTDATED);
	EXPECT_EQ(step(ROLLOUT_FULL), ROLLOUT_OUTDATED);
	EXPECT_EQ(step(ROLLOUT_DONE), ROLLOUT_OUTDATED);
	EXPECT_EQ(sampled(500), 0);
	EXPECT_EQ(step(ROLLOUT_SAMPLE, 6), ROLLOUT_OUTDATED);
	/* The operator orders it again. */
	EXPECT_EQ(step(ROLLOUT_SAMPLE, 8), ROLLOUT_ACCEPTED);
	EXPECT_GT(sampled(500), 0);
}

TEST_F(Fleet, FullIsNotStoppedByALateStep)
{
	member_set(21, "v2");
	step(ROLLOUT_SAMPLE);
	step(ROLLOUT_FULL);
	EXPECT_EQ(step(ROLLOUT_STOPPED), ROLLOUT_OUTDATED);
	EXPECT_EQ(step(ROLLOUT_SAMPLE), ROLLOUT_OUTDATED);
	EXPECT_EQ(sampled(300), 300);
	EXPECT_EQ(step(ROLLOUT_DONE), ROLLOUT_ACCEPTED);
}

TEST_F(Fleet, FullMovesEverythingAndTheOldOnesOnlyHelpOut)
{
	member_set(21, "v2");
	member_set(22, "v2");
	step(ROLLOUT_FULL);
	EXPECT_EQ(sampled(300), 300);
	member_set(21, "v2", INSTANCE_LEAVING);
	member_set(22, "v2", INSTANCE_LEAVING);
	EXPECT_NE(request(), 0u);
	/* Once it is done the old ones end at once. */
	step(ROLLOUT_DONE);
	EXPECT_EQ(request(), 0u);
}

// A release that served without an order is an old one after the next move.
TEST_F(Fleet, FreeReleaseIsReplacedByALaterMove)
{
	rollout_step_t free_step = step_of(ROLLOUT_FREE, 0, "v1");

	member_set(21, "v2");
	balance_step_accept(balance, &free_step, now);
	now += NS_PER_S;
	step(ROLLOUT_FULL);
	EXPECT_EQ(sampled(300), 300);
}

// After a rollout, the next order's instances wait, also if the entry hears of it late.
TEST_F(Fleet, ThirdReleaseWaitsAfterAMove)
{
	member_set(21, "v2");
	step(ROLLOUT_DONE);
	member_set(22, "v3");
	for (int i = 0; i < 300; i++)
		EXPECT_EQ(request(), 21u);
}

// Completion must wait for requests that the old instances still run.
TEST_F(Fleet, ReportCountsRequestsOfOldInstances)
{
	const balance_request_t kind = {.route_class = ROUTE_CALL};
	rollout_step_t full = step_of(ROLLOUT_FULL);
	rollout_report_t report;
	balance_attempt_t attempt;

	member_set(21, "v2");
	balance_attempt_start(balance, 4, &kind, now, &attempt);
	step(ROLLOUT_FULL);
	ASSERT_TRUE(balance_rollout_report(balance, &full, now, &report));
	EXPECT_EQ(report.mode, ROLLOUT_FULL);
	EXPECT_EQ(report.others_in_flight, 1u);
	balance_attempt_end(balance, &attempt, now);
	ASSERT_TRUE(balance_rollout_report(balance, &full, now, &report));
	EXPECT_EQ(report.others_in_flight, 0u);
}

TEST_F(Fleet, AnswersAreCountedByRelease)
{
	rollout_step_t sample = step_of(ROLLOUT_SAMPLE);
	rollout_report_t report, copy;
	rollout_message_kind_t kind;
	rollout_step_t unused;
	chunk_t *packed;

	member_set(21, "v2");
	request();
	step(ROLLOUT_SAMPLE);
	for (int i = 0; i < 100; i++)
		request(500);
	ASSERT_TRUE(balance_rollout_report(balance, &sample, now, &report));
	EXPECT_EQ(
	    rollout_counts_answers(&report.target) + rollout_counts_answers(&report.base),
	    100u);
	EXPECT_EQ(report.target.routes[3].failures, report.target.routes[3].answers);
	EXPECT_GT(report.target.routes[3].answers, 0u);
	/* The report keeps its counts on the way to the deciding node. */
	packed = rollout_report_pack(&report);
	ASSERT_EQ(
	    rollout_message_unpack(packed->data, packed->size, &kind, &unused, &copy),
	    MASTICPITCH_OK);
	EXPECT_EQ(kind, ROLLOUT_MESSAGE_REPORT);
	EXPECT_EQ(memcmp(&report, &copy, sizeof(copy)), 0);
	/* A message that was cut does not crash the receiver or give other counts. */
	for (size_t size = 0; size < packed->size; size++)
		(void)rollout_message_unpack(packed->data, size, &kind, &unused, &copy);
	chunk_release(packed);
}

TEST(RolloutMessage, RefusesStepsOutOfRange)
{
	rollout_step_t step = step_of(ROLLOUT_SAMPLE), copy;
	rollout_report_t report;
	rollout_message_kind_t kind;

	step.permille = 1001;
	for (int i = 0; i < 3; i++) {
		chunk_t *packed = rollout_step_pack(&step);

		EXPECT_EQ(rollout_message_unpack(
			      packed->data, packed->size, &kind, &copy, &report),
		    i < 2 ? MASTICPITCH_E_INVALID : MASTICPITCH_OK);
		chunk_release(packed);
		step.permille = 65;
		step.mode = i == 0 ? ROLLOUT_MODE_COUNT : ROLLOUT_SAMPLE;
	}
	EXPECT_STREQ(copy.release, "v2");
	EXPECT_EQ(copy.order, 7u);
}

/* Answers of one route: of 1,000, so many fail, and so many take the time. */
static void
route_fill(rollout_counts_t *counts, int slot, int answers, int failures, int slow,
    uint64_t ms = 100, uint64_t slow_ms = 800)
{
	rollout_route_counts_t *route = &counts->routes[slot];

	route->answers += answers;
	route->failures += failures;
	route->latencies[rollout_latency_bucket(ms * NS_PER_MS)] +=
	    answers - failures - slow;
	route->latencies[rollout_latency_bucket(slow_ms * NS_PER_MS)] += slow;
}

static rollout_verdict_t
verdict_of(int failures, int slow, int base_failures, int base_slow, int slot = 2)
{
	rollout_counts_t target, base;

	memset(&target, 0, sizeof(target));
	memset(&base, 0, sizeof(base));
	route_fill(&target, 1, 200, 1, 2);
	route_fill(&base, 1, 2800, 11, 28);
	route_fill(&target, slot, 60, failures, slow);
	route_fill(&base, slot, 900, base_failures, base_slow);
	return rollout_verdict(&target, &base, true);
}

TEST(RolloutVerdict, TellsBadReleasesFromTroubleAroundBoth)
{
	EXPECT_EQ(verdict_of(0, 0, 3, 9), ROLLOUT_VERDICT_GOOD);
	/* One route only. */
	EXPECT_EQ(verdict_of(25, 0, 3, 9), ROLLOUT_VERDICT_FAILS);
	EXPECT_EQ(verdict_of(0, 25, 3, 9), ROLLOUT_VERDICT_SLOW);
	/* The old instances are in the same trouble. */
	EXPECT_EQ(verdict_of(25, 0, 380, 9), ROLLOUT_VERDICT_GOOD);
	EXPECT_EQ(verdict_of(0, 25, 3, 380), ROLLOUT_VERDICT_GOOD);
	/* A few failures are no proof. */
	EXPECT_EQ(verdict_of(3, 0, 3, 9), ROLLOUT_VERDICT_GOOD);
}

// A fault on a route with few calls must not vanish among the others.
TEST(RolloutVerdict, FaultOnARareRouteShows)
{
	rollout_counts_t target, base;

	memset(&target, 0, sizeof(target));
	memset(&base, 0, sizeof(base));
	route_fill(&target, 1, 400, 2, 4);
	route_fill(&base, 1, 6000, 24, 60);
	route_fill(&target, 2, 12, 8, 0);
	route_fill(&base, 2, 180, 1, 1);
	EXPECT_EQ(rollout_verdict(&target, &base, true), ROLLOUT_VERDICT_FAILS);
}

// Hosts differ in speed by a factor of two; that is no fault of a release.
TEST(RolloutVerdict, SlowerHostIsNoFault)
{
	rollout_counts_t target, base;

	memset(&target, 0, sizeof(target));
	memset(&base, 0, sizeof(base));
	route_fill(&target, 1, 200, 0, 0, 220);
	route_fill(&base, 1, 2000, 0, 20, 110);
	EXPECT_EQ(rollout_verdict(&target, &base, true), ROLLOUT_VERDICT_GOOD);
}

TEST(RolloutVerdict, FewAnswersLeaveItOpen)
{
	rollout_counts_t target, base;

	memset(&target, 0, sizeof(target));
	memset(&base, 0, sizeof(base));
	route_fill(&target, 1, ROLLOUT_ANSWERS_MIN - 1, 0, 0);
	route_fill(&base, 1, 500, 0, 0);
	EXPECT_EQ(rollout_verdict(&target, &base, true), ROLLOUT_VERDICT_OPEN);
}

// Good releases must pass at usual noise: each false alarm costs the operator a release.
TEST(RolloutVerdict, NoiseGivesNoFalseAlarm)
{
	int alarms = 0;

	for (uint64_t seed = 1; seed <= 300; seed++) {
		rollout_counts_t target, base;
		rng_t rng;

		rng_init(&rng, seed);
		memset(&target, 0, sizeof(target));
		memset(&base, 0, sizeof(base));
		for (int i = 0; i < 8000; i++) {
			rollout_counts_t *to = rng_unit(&rng) < 0.06 ? &target : &base;
			bool failed = rng_unit(&rng) < 0.05;
			bool slow = !failed && rng_unit(&rng) < 0.08;

			route_fill(to, (int)rng_below(&rng, 6), 1, failed, slow);
			if (i % 200 != 0)
				continue;
			rollout_verdict_t verdict = rollout_verdict(&target, &base, true);
			if (verdict == ROLLOUT_VERDICT_FAILS ||
			    verdict == ROLLOUT_VERDICT_SLOW) {
				alarms++;
				break;
			}
		}
	}
	EXPECT_LE(alarms, 3);
}

static int
order_read(dialect_t dialect, const char *text, rollout_order_t *order)
{
	return rollout_order_read(dialect, text, strlen(text), order);
}

// A value that cannot be read must be told apart from an order, and what the operator and
// the next decider read must be what was decided.
TEST(RolloutCodec, ReadsOrdersOfBothDialects)
{
	rollout_order_t order;

	ASSERT_EQ(order_read(DIALECT_HOSTED,
		      "{\"service\":\"huvo11a\",\"targetVersion\":\"v2\",\"rampS\":12.5}",
		      &order),
	    MASTICPITCH_OK);
	EXPECT_STREQ(order.service, "huvo11a");
	EXPECT_STREQ(order.release, "v2");
	EXPECT_EQ(order.ramp_ms, 12500u);
	ASSERT_EQ(order_read(DIALECT_NATIVE,
		      "{\"service\":\"katalogo\",\"release\":\"2.1\",\"ramp_ms\":60000}",
		      &order),
	    MASTICPITCH_OK);
	EXPECT_EQ(order.ramp_ms, 60000u);
	for (const char *text : {"", "{", "[]", "{\"service\":\"a\"}",
		 "{\"service\":\"a\",\"targetVersion\":\"v2\",\"rampS\":\"9\"}",
		 "{\"service\":\"a\",\"targetVersion\":\"v2\",\"rampS\":-1}",
		 "{\"service\":\"a\",\"targetVersion\":7,\"rampS\":9}"}) {
		EXPECT_NE(order_read(DIALECT_HOSTED, text, &order), MASTICPITCH_OK)
		    << text;
		EXPECT_NE(order_read(DIALECT_NATIVE, text, &order), MASTICPITCH_OK)
		    << text;
	}
}

TEST(RolloutCodec, StatusAndStateAreReadAsWritten)
{
	for (dialect_t dialect : {DIALECT_NATIVE, DIALECT_HOSTED}) {
		for (int i = ROLLOUT_RUNNING; i <= ROLLOUT_ROLLED_BACK; i++) {
			rollout_status_t status = {}, copy;
			buffer_t text;

			buffer_init(&text, 4096);
			string_copy(status.release, NAME_BYTES, "v2");
			string_copy(status.service, NAME_BYTES, "katalogo");
			status.outcome = (rollout_outcome_t)i;
			ASSERT_EQ(rollout_status_write(dialect, &status, &text),
			    MASTICPITCH_OK);
			ASSERT_EQ(rollout_status_read(
				      dialect, (char *)text.data, text.size, &copy),
			    MASTICPITCH_OK);
			EXPECT_EQ(copy.outcome, status.outcome);
			EXPECT_STREQ(copy.release, "v2");
			buffer_free(&text);
		}
	}
	for (int i = 0; i < ROLLOUT_MODE_COUNT; i++) {
		rollout_state_t state = {}, copy;
		buffer_t text;

		buffer_init(&text, 4096);
		string_copy(state.service, NAME_BYTES, "katalogo");
		string_copy(state.release, NAME_BYTES, "v2");
		state.mode = (rollout_mode_t)i;
		state.order = 77;
		state.elapsed_ms = 4292;
		ASSERT_EQ(rollout_state_write(&state, &text), MASTICPITCH_OK);
		ASSERT_EQ(rollout_state_read((char *)text.data, text.size, &copy),
		    MASTICPITCH_OK);
		EXPECT_EQ(memcmp(&state, &copy, sizeof(copy)), 0);
		buffer_free(&text);
	}
}
