// Tests when the callers of refused requests are told to come back.
#include "retry_after.h"

#include "os.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <vector>

namespace
{

const uint64_t START = 100 * NS_PER_S;

uint64_t
after_ms(uint64_t ms)
{
	return START + ms * NS_PER_MS;
}

// Guards against a return that is too late for the target: slot-views of 110 ms with a
// target of 400 ms were told to wait for up to 500 ms.
TEST(RetryAfter, ReturnLeavesTimeForTheTarget)
{
	retry_after_t request = {after_ms(1500), after_ms(390), 160 * NS_PER_MS};
	rng_t rng;

	rng_init(&rng, 1);
	for (int i = 0; i < 1000; i++) {
		uint32_t ms = retry_after_ms(&request, &rng, START);

		ASSERT_GE(ms, (uint32_t)RETRY_AFTER_MIN_MS);
		ASSERT_LE(ms, 390u - 160u - RETRY_AFTER_TRANSIT_MS);
	}
}

// Guards against a wait that callers cut short: they wait for a third of their time.
TEST(RetryAfter, ReturnIsWithinAThirdOfTheTimeLeft)
{
	retry_after_t request = {after_ms(300), after_ms(2500), 0};
	rng_t rng;

	rng_init(&rng, 1);
	for (int i = 0; i < 1000; i++)
		ASSERT_LE(retry_after_ms(&request, &rng, START), 100u);
	request.target = 0;
	for (int i = 0; i < 1000; i++)
		ASSERT_LE(retry_after_ms(&request, &rng, START), 100u);
}

// Guards against a second wave at a cold mesh: all callers are refused at once and come
// back at once.
TEST(RetryAfter, CallersOfAColdMeshReturnSpread)
{
	for (uint64_t target : {after_ms(400), after_ms(50), (uint64_t)0}) {
		retry_after_t request = {after_ms(1500), target, 160 * NS_PER_MS};
		std::vector<int> returns(1500 / 50 + 1);
		rng_t rng;

		rng_init(&rng, 7);
		for (int i = 0; i < 2000; i++)
			returns[retry_after_ms(&request, &rng, START) / 50]++;
		EXPECT_LT(*std::max_element(returns.begin(), returns.end()), 2000 / 3);
	}
}

// Guards against a time of 0, which callers take as permission to return at once.
TEST(RetryAfter, IsNeverZero)
{
	retry_after_t request = {START, 0, 0};
	rng_t rng;

	rng_init(&rng, 1);
	EXPECT_EQ(retry_after_ms(&request, &rng, START), 1u);
	request.deadline = after_ms(2);
	EXPECT_EQ(retry_after_ms(&request, &rng, START), 1u);
}

} // namespace
