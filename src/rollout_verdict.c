#include "rollout_verdict.h"

#include "util.h"

#include <math.h>

/* What a conclusion from shares of bad answers rests on. */
typedef struct test {
	uint32_t bad_min; /* fewest bad answers */
	double gap;	  /* least difference of the shares */
	/* Greatest probability that it is chance; some 10 tests are made at a time. */
	double chance_max;
} test_t;

static const test_t test_clear = {6, 0.06, 1e-6};
/* Holds back some good releases too, for a moment. */
static const test_t test_doubt = {3, 0.0, 2e-3};
/* Fewest answers of the serving instances that a share is taken of. */
#define BASE_MIN 20
/*
 * An answer is slow beyond this multiple of the others' median, in buckets of a factor
 * of sqrt(2): 4 to 5.7 times. A host of half the speed takes 2 times as long, a bad
 * release 8.
 */
#define SLOW_BUCKETS 5

void
rollout_counts_add(rollout_counts_t *sum, const rollout_counts_t *counts)
{
	for (size_t i = 0; i < ROLLOUT_ROUTE_SLOTS; i++) {
		rollout_route_counts_t *to = &sum->routes[i];
		const rollout_route_counts_t *from = &counts->routes[i];

		to->answers += from->answers;
		to->failures += from->failures;
		for (size_t j = 0; j < ROLLOUT_LATENCY_BUCKETS; j++)
			to->latencies[j] += from->latencies[j];
	}
}

static uint32_t
difference(uint32_t a, uint32_t b)
{
	return a - MIN_OF(a, b);
}

void
rollout_counts_subtract(rollout_counts_t *sum, const rollout_counts_t *earlier)
{
	for (size_t i = 0; i < ROLLOUT_ROUTE_SLOTS; i++) {
		rollout_route_counts_t *to = &sum->routes[i];
		const rollout_route_counts_t *from = &earlier->routes[i];

		to->answers = difference(to->answers, from->answers);
		to->failures =
		    MIN_OF(difference(to->failures, from->failures), to->answers);
		for (size_t j = 0; j < ROLLOUT_LATENCY_BUCKETS; j++)
			to->latencies[j] =
			    difference(to->latencies[j], from->latencies[j]);
	}
}

uint32_t
rollout_counts_answers(const rollout_counts_t *counts)
{
	uint32_t sum = 0;

	for (size_t i = 0; i < ROLLOUT_ROUTE_SLOTS; i++)
		sum += counts->routes[i].answers;
	return sum;
}

/*
 * Probability that at least so many of all answers are bad if each is with the given
 * share. Exact: with few answers a normal approximation gives false alarms.
 */
static double
chance_of(uint32_t bad, uint32_t all, double share)
{
	double n = all, sum = 0;

	for (uint32_t i = bad; i <= all; i++) {
		double k = i;
		double term = exp(lgamma(n + 1) - lgamma(k + 1) - lgamma(n - k + 1) +
				  k * log(share) + (n - k) * log1p(-share));

		sum += term;
		if (term < sum * 1e-9)
			break;
	}
	return sum;
}

/* True if the first share of bad answers is clearly above the second. */
static bool
share_is_higher(
    const test_t *test, uint32_t bad, uint32_t all, uint32_t base_bad, uint32_t base_all)
{
	double share, base_share;

	if (bad < test->bad_min || base_all < BASE_MIN)
		return false;
	share = (double)bad / all;
	/* At least one bad and one good answer more, so that no share is 0 or 1. */
	base_share = ((double)base_bad + 1) / ((double)base_all + 2);
	return share - base_share > test->gap &&
	       chance_of(bad, all, base_share) < test->chance_max;
}

static uint32_t
latencies_sum(const rollout_route_counts_t *route, size_t from)
{
	uint32_t sum = 0;

	for (size_t i = from; i < ROLLOUT_LATENCY_BUCKETS; i++)
		sum += route->latencies[i];
	return sum;
}

static bool
route_is_slow(const test_t *test, const rollout_route_counts_t *target,
    const rollout_route_counts_t *base)
{
	uint32_t base_all = latencies_sum(base, 0), seen = 0;
	size_t median = 0, slow;

	for (; median < ROLLOUT_LATENCY_BUCKETS - 1; median++) {
		seen += base->latencies[median];
		if (2 * seen >= base_all)
			break;
	}
	slow = MIN_OF(median + SLOW_BUCKETS, (size_t)ROLLOUT_LATENCY_BUCKETS - 1);
	return share_is_higher(test, latencies_sum(target, slow),
	    latencies_sum(target, 0), latencies_sum(base, slow), base_all);
}

rollout_verdict_t
rollout_verdict(
    const rollout_counts_t *target, const rollout_counts_t *base, bool with_latency)
{
	rollout_route_counts_t all = {0}, base_all = {0};

	for (size_t i = 0; i < ROLLOUT_ROUTE_SLOTS; i++) {
		const rollout_route_counts_t *route = &target->routes[i];
		const rollout_route_counts_t *base_route = &base->routes[i];

		all.answers += route->answers;
		all.failures += route->failures;
		base_all.answers += base_route->answers;
		base_all.failures += base_route->failures;
		if (share_is_higher(&test_clear, route->failures, route->answers,
			base_route->failures, base_route->answers))
			return ROLLOUT_VERDICT_FAILS;
		if (with_latency && route_is_slow(&test_clear, route, base_route))
			return ROLLOUT_VERDICT_SLOW;
	}
	if (share_is_higher(&test_clear, all.failures, all.answers, base_all.failures,
		base_all.answers))
		return ROLLOUT_VERDICT_FAILS;
	return all.answers < ROLLOUT_ANSWERS_MIN ? ROLLOUT_VERDICT_OPEN
						 : ROLLOUT_VERDICT_GOOD;
}

bool
rollout_counts_doubtful(const rollout_counts_t *target, const rollout_counts_t *base)
{
	for (size_t i = 0; i < ROLLOUT_ROUTE_SLOTS; i++) {
		const rollout_route_counts_t *route = &target->routes[i];
		const rollout_route_counts_t *base_route = &base->routes[i];

		if (share_is_higher(&test_doubt, route->failures, route->answers,
			base_route->failures, base_route->answers) ||
		    route_is_slow(&test_doubt, route, base_route))
			return true;
	}
	return false;
}

const char *
rollout_verdict_text(rollout_verdict_t verdict)
{
	static const char *const texts[] = {"open", "good", "fails", "slow"};

	return texts[verdict];
}
