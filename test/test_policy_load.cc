// Compares the real policies with the naive ones on the same seeded load, in
// virtual time. Guards: goodput that collapses under overload, internal calls
// that become slow with it, a second run of a non-idempotent call, and a refusal
// "not run" of a request that was run. Bounds: docs/design.md section 15.
#include "policy_simulation.h"

#include <thread>

using namespace policy_simulation;

namespace
{

const int GROUP = 50; // seeds judged together
const int SEEDS = 1000;
const int THREADS = 3;

struct figures_t {
	result_t at[3];
};

const int LOADS[3] = {1, 2, 5};

figures_t
run_seed(uint64_t seed, bool naive)
{
	figures_t figures;

	for (int i = 0; i < 3; i++) {
		scenario_t scenario = make_scenario(seed, LOADS[i]);

		figures.at[i] = simulation_t(scenario, naive, seed).run();
	}
	return figures;
}

// Sums over groups of seeds, run by a few threads; the split does not change
// any figure.
std::vector<figures_t>
run_groups(bool naive)
{
	std::vector<figures_t> groups(SEEDS / GROUP);
	std::vector<std::thread> threads;

	for (int t = 0; t < THREADS; t++) {
		threads.emplace_back([&groups, t, naive] {
			for (size_t g = (size_t)t; g < groups.size(); g += THREADS) {
				for (int s = 0; s < GROUP; s++) {
					figures_t one =
					    run_seed(1 + g * GROUP + s, naive);

					for (int i = 0; i < 3; i++)
						groups[g].at[i].add(one.at[i]);
				}
			}
		});
	}
	for (std::thread &thread : threads)
		thread.join();
	return groups;
}

void
print_figures(const char *variant, std::vector<figures_t> &groups)
{
	const double seconds = (double)(END - WARM_UP) / NS_PER_S * SEEDS;

	for (int i = 0; i < 3; i++) {
		result_t sum;

		for (figures_t &group : groups)
			sum.add(group.at[i]);
		printf(
		    "%-5s %dx: offered %6.1f/s good %6.1f/s attempts/request %.2f "
		    "internal answered %.3f p99 %6.1f ms doubled %lu false not run %lu\n",
		    variant, LOADS[i], (double)sum.offered / seconds,
		    (double)sum.good / seconds,
		    (double)sum.attempts / (double)sum.offered, sum.internal_answered(),
		    sum.internal_p99_ms(), (unsigned long)sum.doubled,
		    (unsigned long)sum.false_not_run);
	}
}

TEST(PolicyLoad, RealPoliciesKeepGoodputAndInternalLatencyUnderOverload)
{
	std::vector<figures_t> real = run_groups(false);
	std::vector<figures_t> naive = run_groups(true);

	print_figures("real", real);
	print_figures("naive", naive);
	for (figures_t &group : real) {
		result_t &normal = group.at[0], &overload = group.at[2];

		EXPECT_GE((double)overload.good, 0.9 * (double)normal.good);
		EXPECT_LE(overload.internal_p99_ms(), 2 * normal.internal_p99_ms());
		// The p99 of those answered says little if few are.
		EXPECT_GE(overload.internal_answered(), 0.9 * normal.internal_answered());
		for (result_t &each : group.at) {
			// 10% of the requests, and what each budget may have saved up.
			EXPECT_LE((double)each.attempts,
			    1.1 * (double)each.offered +
				GROUP * ENTRIES * RETRY_TOKENS_MAX);
			EXPECT_EQ(each.doubled, 0u);
			EXPECT_EQ(each.false_not_run, 0u);
		}
	}
}

} // namespace
