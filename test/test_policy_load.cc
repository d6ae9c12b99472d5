// Compares the adaptive policies ("real") with the naive ones under the same seeded
// load in virtual time. Guards against goodput that collapses under overload, internal
// calls that become slow under overload, a second run of a non-idempotent call, and a
// refusal "not run" of a request that was run. Bounds: docs/design.md section 15.
#include "policy_simulation.h"

#include <thread>

using namespace policy_simulation;

namespace
{

const int SEEDS_PER_GROUP = 50; // the bounds hold for the sum over a group
const int SEEDS = 1000;
const int THREADS = 3;

struct figures_t {
	result_t by_load[3];
};

const int LOADS[3] = {1, 2, 5};

figures_t
run_seed(uint64_t seed, bool naive)
{
	figures_t figures;

	for (int i = 0; i < 3; i++) {
		scenario_t scenario = make_scenario(seed, LOADS[i]);

		figures.by_load[i] = simulation_t(scenario, naive, seed).run();
	}
	return figures;
}

// Sums over groups of seeds, run by a few threads. The results do not depend on the
// number of threads.
std::vector<figures_t>
run_groups(bool naive)
{
	std::vector<figures_t> groups(SEEDS / SEEDS_PER_GROUP);
	std::vector<std::thread> threads;

	for (int t = 0; t < THREADS; t++) {
		threads.emplace_back([&groups, t, naive] {
			for (size_t g = (size_t)t; g < groups.size(); g += THREADS) {
				for (int s = 0; s < SEEDS_PER_GROUP; s++) {
					figures_t one =
					    run_seed(1 + g * SEEDS_PER_GROUP + s, naive);

					for (int i = 0; i < 3; i++)
						groups[g].by_load[i].add(one.by_load[i]);
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
	const double seconds = (double)(END_NS - WARM_UP_NS) / NS_PER_S * SEEDS;

	for (int i = 0; i < 3; i++) {
		result_t sum;

		for (figures_t &group : groups)
			sum.add(group.by_load[i]);
		printf("%-5s %dx: offered %6.1f/s answered in time %6.1f/s "
		       "attempts/request %.2f internal answered %.3f p99 %6.1f ms "
		       "duplicate runs %lu false not run %lu\n",
		    variant, LOADS[i], (double)sum.offered / seconds,
		    (double)sum.answered_in_time / seconds,
		    (double)sum.attempts / (double)sum.offered,
		    sum.internal_answered_share(), sum.internal_p99_ms(),
		    (unsigned long)sum.duplicate_runs, (unsigned long)sum.false_not_run);
	}
}

TEST(PolicyLoad, RealPoliciesKeepGoodputAndInternalLatencyUnderOverload)
{
	std::vector<figures_t> real = run_groups(false);
	std::vector<figures_t> naive = run_groups(true);

	print_figures("real", real);
	print_figures("naive", naive);
	for (figures_t &group : real) {
		result_t &normal = group.by_load[0], &overload = group.by_load[2];

		EXPECT_GE((double)overload.answered_in_time,
		    0.9 * (double)normal.answered_in_time);
		EXPECT_LE(overload.internal_p99_ms(), 2 * normal.internal_p99_ms());
		// The p99 covers only answered calls, so most calls must be answered.
		EXPECT_GE(overload.internal_answered_share(),
		    0.9 * normal.internal_answered_share());
		for (result_t &each : group.by_load) {
			// 10% of the requests and the tokens saved up in each budget.
			EXPECT_LE((double)each.attempts,
			    1.1 * (double)each.offered +
				SEEDS_PER_GROUP * ENTRIES * RETRY_TOKENS_MAX);
			EXPECT_EQ(each.duplicate_runs, 0u);
			EXPECT_EQ(each.false_not_run, 0u);
		}
	}
}

} // namespace
