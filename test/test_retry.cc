// Guards against a second run of a call that may have been run, retries that multiply
// the load, and retries after the deadline.
#include "retry.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <string>

namespace
{

const uint64_t NOW = 50 * NS_PER_S;

class Retry : public testing::Test
{
      protected:
	retry_t *retry = nullptr;
	preset_service_t service = {};
	retry_request_t request = {};
	retry_failure_t failure = {REASON_QUEUE_FULL, RUN_NO, false};
	rng_t rng;

	void
	create(retry_kind_t kind)
	{
		retry_destroy(retry);
		ASSERT_EQ(retry_create(kind, &retry), 0);
	}

	void
	SetUp() override
	{
		rng_init(&rng, 3);
		create(RETRY_ADAPTIVE);
		string_copy(service.name, sizeof(service.name), "pamigay");
		service.retry_percent = 10;
		request = {
		    false, true, false, 1, 3, 5, NOW + NS_PER_S, RUN_NO, ROUTE_LOOKUP};
	}

	void
	TearDown() override
	{
		retry_destroy(retry);
	}

	retry_decision_t
	decide(uint64_t now = NOW)
	{
		return retry_decide(retry, &service, &request, &failure, &rng, now);
	}
};

// Guards against a second run of a reservation, release or booking (P6), by every
// policy and for every reason.
TEST_F(Retry, ANonIdempotentCallIsRepeatedOnlyIfItWasNotRun)
{
	for (retry_kind_t kind : {RETRY_ADAPTIVE, RETRY_NAIVE}) {
		create(kind);
		for (int reason = 0; reason < REASON_COUNT; reason++) {
			failure.reason = (reason_t)reason;
			failure.run = RUN_UNKNOWN;
			EXPECT_EQ(decide().stop, RETRY_STOP_RUN_STATE);
			failure.run = RUN_YES;
			EXPECT_EQ(decide().stop, RETRY_STOP_RUN_STATE);
		}
		failure = {REASON_QUEUE_FULL, RUN_NO, false};
		EXPECT_EQ(decide().stop, RETRY_STOP_NONE);
	}
}

// Guards against not retrying lookups that were lost with their connection.
TEST_F(Retry, AnIdempotentLookupIsRepeatedAfterUnknown)
{
	request.idempotent = true;
	failure = {REASON_STREAM_LOST, RUN_UNKNOWN, false};
	EXPECT_EQ(decide().stop, RETRY_STOP_NONE);
	failure.run = RUN_YES;
	EXPECT_EQ(decide().stop, RETRY_STOP_RUN_STATE);
}

// Guards against a false "not run" for a lookup whose earlier attempt may have been run.
TEST_F(Retry, TheRunStateCoversAllAttempts)
{
	request.idempotent = true;
	request.earlier_run = RUN_UNKNOWN;
	request.attempts_made = 3;
	EXPECT_EQ(decide().stop, RETRY_STOP_ATTEMPTS);
	EXPECT_EQ(decide().run, RUN_UNKNOWN);
	request.attempts_made = 2;
	EXPECT_EQ(decide().stop, RETRY_STOP_NONE);
	EXPECT_EQ(decide().run, RUN_UNKNOWN);
	request.idempotent = false;
	EXPECT_EQ(decide().stop, RETRY_STOP_RUN_STATE);
}

// Guards against a second answer after part of the first was sent to the caller, and
// against a retry with an incomplete body.
TEST_F(Retry, NothingIsRepeatedAfterTheAnswerHeadOrWithoutTheBody)
{
	request.idempotent = true;
	request.answer_started = true;
	EXPECT_EQ(decide().stop, RETRY_STOP_ANSWERED);
	request.answer_started = false;
	request.body_kept = false;
	EXPECT_EQ(decide().stop, RETRY_STOP_BODY);
	// The caller above may still hold the body of a call that was not run.
	EXPECT_FALSE(decide().final);
}

// Guards against retries that multiply over several levels of nested calls.
TEST_F(Retry, AFinalFailureIsPassedOnAsFinal)
{
	failure.final = true;
	EXPECT_EQ(decide().stop, RETRY_STOP_FINAL);
	EXPECT_TRUE(decide().final);
	failure.final = false;
	request.attempts_made = 3;
	EXPECT_EQ(decide().stop, RETRY_STOP_ATTEMPTS);
	EXPECT_TRUE(decide().final);
	EXPECT_EQ(decide().run, RUN_NO);
}

// Guards against retries that every instance would refuse.
TEST_F(Retry, PermanentRefusalsAreNotRepeated)
{
	for (reason_t reason : {REASON_CRASH_SUSPECT, REASON_TICKET_REQUIRED,
		 REASON_TICKET_TABLE_FULL, REASON_BODY_TOO_LARGE, REASON_CANCELLED}) {
		failure.reason = reason;
		EXPECT_EQ(decide().stop == RETRY_STOP_PERMANENT,
		    reason != REASON_TICKET_TABLE_FULL);
	}
}

// Guards against attempts that start without enough time left.
TEST_F(Retry, NoAttemptStartsWithLessThanItsMinimumLeft)
{
	for (uint64_t left_us = 0; left_us < 20000; left_us += 100) {
		request.deadline = NOW + left_us * NS_PER_US;
		create(RETRY_ADAPTIVE);
		retry_decision_t decision = decide();
		if (left_us < 5000) {
			EXPECT_EQ(decision.stop, RETRY_STOP_DEADLINE);
			EXPECT_TRUE(decision.final);
		} else {
			ASSERT_EQ(decision.stop, RETRY_STOP_NONE);
			EXPECT_GE(request.deadline - decision.at, 5 * NS_PER_MS);
		}
	}
	EXPECT_FALSE(retry_time_suffices(NOW, 0, NOW + 1));
	EXPECT_TRUE(retry_time_suffices(NOW + 5 * NS_PER_MS, 5, NOW));
}

// Guards against a retry storm: more retries than 10% of the requests while every
// attempt fails.
TEST_F(Retry, RetriesStayWithinTheBudget)
{
	const int requests = 10000;
	int retries = 0;

	for (int i = 0; i < requests; i++) {
		retry_request_record(retry, &service);
		for (request.attempts_made = 1; request.attempts_made < 4;
		     request.attempts_made++) {
			retry_decision_t decision = decide();
			if (decision.stop != RETRY_STOP_NONE) {
				EXPECT_TRUE(decision.final);
				break;
			}
			retries++;
		}
	}
	EXPECT_LE(retries, requests / 10 + RETRY_TOKENS_INITIAL);
	EXPECT_GE(retries, requests / 10 - RETRY_TOKENS_MAX);
	request.attempts_made = 1;
	EXPECT_EQ(decide().stop, RETRY_STOP_BUDGET);
	EXPECT_EQ(decide().reason, REASON_RETRY_BUDGET);
	EXPECT_EQ(decide().run, RUN_NO);
	// Another service has its own budget.
	string_copy(service.name, sizeof(service.name), "katalogo");
	EXPECT_EQ(decide().stop, RETRY_STOP_NONE);
	service.retry_percent = 0;
	EXPECT_EQ(decide().stop, RETRY_STOP_BUDGET);
}

// Guards against internal calls that cannot be retried because lookups have used up
// the budget.
TEST_F(Retry, TheLastTokensAreForInternalCalls)
{
	while (decide().stop == RETRY_STOP_NONE)
		continue;
	request.route_class = ROUTE_INTERNAL;
	for (int i = 0; i < RETRY_TOKENS_RESERVED; i++)
		EXPECT_EQ(decide().stop, RETRY_STOP_NONE);
	EXPECT_EQ(decide().stop, RETRY_STOP_BUDGET);
}

// Guards against an unbounded budget that allows a burst of retries after hours
// without failures.
TEST_F(Retry, TheBudgetIsCapped)
{
	for (int i = 0; i < 100000; i++)
		retry_request_record(retry, &service);
	EXPECT_EQ(retry_budget(retry, "pamigay"), RETRY_TOKENS_MAX);
}

// Guards against entries whose saved-up retries together exceed the platform's bound
// for all of them, and against a small share that allows no retry of a lookup.
TEST_F(Retry, TheBudgetCanBeSharedAmongEntries)
{
	retry_tokens_max_set(retry, 3);
	failure.run = RUN_UNKNOWN;
	request.idempotent = true;
	for (int i = 0; i < 1000; i++)
		retry_request_record(retry, &service);
	EXPECT_EQ(retry_budget(retry, "pamigay"), 3);
	EXPECT_EQ(decide().stop, RETRY_STOP_NONE);
	EXPECT_EQ(decide().stop, RETRY_STOP_NONE);
	EXPECT_EQ(decide().stop, RETRY_STOP_BUDGET);
	request.unsent = true;
	EXPECT_EQ(decide().stop, RETRY_STOP_NONE);
	EXPECT_EQ(retry_budget(retry, "pamigay"), 1);
}

// Guards against entries that retry in step, and against backoffs above the bound.
TEST_F(Retry, TheBackoffIsJitteredAndBounded)
{
	uint64_t shortest = UINT64_MAX, longest = 0;

	request.attempts_max = 100;
	request.deadline = NOW + 100 * NS_PER_S;
	for (int i = 0; i < 10000; i++) {
		retry_request_record(retry, &service);
		request.attempts_made = 1 + (uint32_t)(i % 20);
		retry_decision_t decision = decide();
		if (decision.stop != RETRY_STOP_NONE)
			continue;
		ASSERT_LE(decision.at - NOW, RETRY_BACKOFF_MS_MAX * NS_PER_MS);
		if (request.attempts_made == 1) {
			shortest = std::min(shortest, decision.at - NOW);
			longest = std::max(longest, decision.at - NOW);
		}
	}
	EXPECT_LT(shortest, RETRY_BACKOFF_MS * NS_PER_MS / 4);
	EXPECT_GT(longest, RETRY_BACKOFF_MS * NS_PER_MS / 2);
	EXPECT_LE(longest, RETRY_BACKOFF_MS * NS_PER_MS);
}

// Guards against a table of budgets that grows with every service name, or that loses
// budgets in use when it is full.
TEST_F(Retry, TheTableOfBudgetsIsBounded)
{
	for (int round = 0; round < 5; round++) {
		for (int i = 0; i < PRESET_SERVICES_MAX; i++) {
			std::string name =
			    std::to_string(round) + "-" + std::to_string(i);

			string_copy(service.name, sizeof(service.name), name.c_str());
			retry_request_record(retry, &service);
			ASSERT_GT(
			    retry_budget(retry, name.c_str()), RETRY_TOKENS_INITIAL);
		}
	}
	EXPECT_EQ(retry_budget(retry, "0-1"), RETRY_TOKENS_INITIAL);
	EXPECT_GT(retry_budget(retry, "4-1"), RETRY_TOKENS_INITIAL);
}

// Guards against a naive baseline with a budget or a backoff, which would distort the
// comparison.
TEST_F(Retry, NaiveRetriesImmediatelyUntilAttemptsAreUsedUp)
{
	create(RETRY_NAIVE);
	for (int i = 0; i < 1000; i++) {
		failure.final = i % 2;
		EXPECT_EQ(decide().stop, RETRY_STOP_NONE);
		EXPECT_EQ(decide().at, NOW);
	}
	request.attempts_made = 3;
	EXPECT_EQ(decide().stop, RETRY_STOP_ATTEMPTS);
	EXPECT_EQ(decide(request.deadline).stop, RETRY_STOP_ATTEMPTS);
	request.attempts_made = 1;
	EXPECT_EQ(decide(request.deadline).stop, RETRY_STOP_DEADLINE);
}

} // namespace
