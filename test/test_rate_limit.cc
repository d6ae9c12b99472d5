// Guards against a backend server in need that gets more calls than it names, against
// a limit that never ends, and against values that are no rate.
#include "masticpitch/masticpitch.h"
#include "os.h"
#include "rate_limit.h"

#include <gtest/gtest.h>
#include <vector>

namespace
{

const uint64_t START = 100 * NS_PER_S;

// Offers calls at even intervals; returns the times at which they started.
std::vector<uint64_t>
calls_started(rate_limit_t *limit, uint64_t from, uint64_t until, uint64_t interval)
{
	std::vector<uint64_t> started;

	for (uint64_t now = from; now < until; now += interval) {
		if (rate_limit_next(limit) > now)
			continue;
		rate_limit_start(limit, now);
		started.push_back(now);
	}
	return started;
}

size_t
most_in_window(const std::vector<uint64_t> &times, uint64_t window)
{
	size_t most = 0, first = 0;

	for (size_t last = 0; last < times.size(); last++) {
		while (times[last] - times[first] >= window)
			first++;
		most = std::max(most, last - first + 1);
	}
	return most;
}

// Guards against windows above the named rate, from many idle seconds to a flood.
TEST(RateLimit, NoWindowHoldsMoreThanTheRateAndItsBurst)
{
	for (double per_s : {0.0, 0.3, 1.0, 7.2, 33.3, 500.0}) {
		rate_limit_t limit = {};
		double enforced = std::max(per_s, RATE_LIMIT_MIN_PER_S);
		std::vector<uint64_t> started;

		EXPECT_TRUE(rate_limit_set(&limit, per_s, START));
		started = calls_started(
		    &limit, START + 5 * NS_PER_S, START + 25 * NS_PER_S, NS_PER_MS / 2);
		EXPECT_LE(most_in_window(started, 4 * NS_PER_S),
		    enforced * (4 + RATE_LIMIT_BURST_MS / 1000.0) + 1)
		    << per_s;
		EXPECT_GE(started.size(), (size_t)(enforced * 20)) << per_s;
	}
}

// Guards against a limit that admits calls without bound because it changes with each
// answer.
TEST(RateLimit, ChangesOfTheRateGiveNoFurtherCalls)
{
	rate_limit_t limit = {};
	std::vector<uint64_t> started;

	for (uint64_t now = START; now < START + 20 * NS_PER_S; now += NS_PER_MS) {
		rate_limit_set(&limit, now / NS_PER_MS % 2 == 0 ? 10 : 10.1, now);
		if (rate_limit_next(&limit) > now)
			continue;
		rate_limit_start(&limit, now);
		started.push_back(now);
	}
	EXPECT_LE(most_in_window(started, 4 * NS_PER_S),
	    10.1 * (4 + RATE_LIMIT_BURST_MS / 1000.0) + 1);
	EXPECT_GE(started.size(), 199u);
}

// Guards against a rate that is lost when calls come in groups.
TEST(RateLimit, CallsThatWereNotUsedAreAdmittedShortlyAfter)
{
	rate_limit_t limit = {};
	size_t started = 0;

	rate_limit_set(&limit, 40, START);
	for (uint64_t now = START; now < START + 10 * NS_PER_S; now += 200 * NS_PER_MS)
		for (int i = 0; i < 8; i++)
			started += calls_started(&limit, now, now + 1, 1).size();
	EXPECT_GE(started, 390u);
}

// Guards against a limit that ends by an answer that another one has overtaken.
TEST(RateLimit, LimitEndsWithAnAnswerWithoutItAfterTheHold)
{
	rate_limit_t limit = {};
	uint64_t hold = RATE_LIMIT_HOLD_MS * NS_PER_MS;

	EXPECT_FALSE(rate_limit_release(&limit, START));
	EXPECT_TRUE(rate_limit_set(&limit, 10, START));
	EXPECT_FALSE(rate_limit_set(&limit, 10, START + hold / 2));
	EXPECT_FALSE(rate_limit_release(&limit, START + hold));
	EXPECT_NE(rate_limit_interval(&limit), 0u);
	EXPECT_TRUE(rate_limit_release(&limit, START + 2 * hold));
	EXPECT_EQ(rate_limit_interval(&limit), 0u);
	EXPECT_EQ(rate_limit_next(&limit), 0u);
}

// Guards against a higher rate that takes effect only after the long interval of the
// lower one before it.
TEST(RateLimit, HigherRateAppliesImmediately)
{
	rate_limit_t limit = {};

	rate_limit_set(&limit, 0, START);
	rate_limit_start(&limit, START);
	EXPECT_GT(rate_limit_next(&limit), START + NS_PER_S);
	EXPECT_TRUE(rate_limit_set(&limit, 100, START));
	EXPECT_LE(rate_limit_next(&limit), START + NS_PER_S / 100);
}

// Guards against values from a faulty backend server: no rate, or one without bound.
TEST(RateLimit, OnlyDecimalNumbersAreRates)
{
	double per_s = -1;

	for (const char *text : {"", ".", "-1", "+1", " 1", "1 ", "1,5", "1.2.3", "nan",
		 "inf", "0x10", "1e3", "1000001", "12abc"})
		EXPECT_EQ(rate_limit_parse(text, &per_s), MASTICPITCH_E_INVALID) << text;
	EXPECT_EQ(rate_limit_parse(std::string(4000, '9').c_str(), &per_s),
	    MASTICPITCH_E_INVALID);
	EXPECT_EQ(per_s, -1);
	EXPECT_EQ(rate_limit_parse("20.7", &per_s), MASTICPITCH_OK);
	EXPECT_DOUBLE_EQ(per_s, 20.7);
	EXPECT_EQ(rate_limit_parse("0", &per_s), MASTICPITCH_OK);
	EXPECT_EQ(per_s, 0);
}

} // namespace
