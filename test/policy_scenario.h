// The seeded load and faults, the state and the figures of policy_simulation.h.
#ifndef MASTICPITCH_POLICY_SCENARIO_H
#define MASTICPITCH_POLICY_SCENARIO_H

#include "balance.h"
#include "limit.h"
#include "queue.h"
#include "retry.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace policy_simulation
{

const int ENTRIES = 2;
const int GATES = 4;
const uint32_t SLOTS = 6; // calls that a backend server really runs at once
const uint64_t WARM_UP = 300 * NS_PER_MS;
const uint64_t END = 2300 * NS_PER_MS; // no request arrives later
const double RATE = 300;	       // requests a second at 1x, 70% of capacity

struct traffic_t {
	route_class_t route_class;
	bool idempotent;
	double share;
	uint64_t service_ms;
	uint64_t deadline_ms;
};

const traffic_t TRAFFIC[] = {
    {ROUTE_INTERNAL, true, 0.15, 40, 1500},
    {ROUTE_LOOKUP, true, 0.50, 50, 500},
    {ROUTE_CALL, false, 0.35, 70, 800},
};

struct arrival_t {
	uint64_t at;
	int entry;
	const traffic_t *traffic;
	uint64_t service_ns;
};

// The seeded load and faults, the same for both policies.
struct scenario_t {
	std::vector<arrival_t> arrivals;
	int liar, cold, lagging, dying; // gates
	uint64_t lag_from, lag_until, death_at;
	std::vector<std::pair<uint64_t, int>> breaks; // connections to a gate lost
};

scenario_t
make_scenario(uint64_t seed, int load)
{
	scenario_t scenario;
	rng_t rng;
	uint64_t now = 0;
	int first;

	rng_init(&rng, seed);
	first = (int)rng_below(&rng, GATES);
	scenario.liar = first;
	scenario.cold = (first + 1) % GATES;
	scenario.lagging = (first + 2) % GATES;
	scenario.dying = seed % 4 == 0 ? (first + 3) % GATES : -1;
	scenario.lag_from = WARM_UP + rng_below(&rng, 300 * NS_PER_MS);
	scenario.lag_until = scenario.lag_from + 400 * NS_PER_MS;
	scenario.death_at = WARM_UP + rng_below(&rng, END - WARM_UP);
	for (int i = 0; i < 3; i++)
		scenario.breaks.push_back(
		    {rng_below(&rng, END), (int)rng_below(&rng, GATES)});
	for (;;) {
		arrival_t arrival;
		double drawn = rng_unit(&rng);

		now += (uint64_t)(-log(1 - rng_unit(&rng)) / (RATE * load) * NS_PER_S);
		if (now >= END)
			return scenario;
		arrival.at = now;
		arrival.entry = (int)rng_below(&rng, ENTRIES);
		arrival.traffic = &TRAFFIC[2];
		if (drawn < TRAFFIC[0].share)
			arrival.traffic = &TRAFFIC[0];
		else if (drawn < TRAFFIC[0].share + TRAFFIC[1].share)
			arrival.traffic = &TRAFFIC[1];
		arrival.service_ns =
		    (uint64_t)((0.5 + rng_unit(&rng)) *
			       (double)arrival.traffic->service_ms * NS_PER_MS);
		scenario.arrivals.push_back(arrival);
	}
}

enum event_type_t {
	EVENT_ARRIVAL,
	EVENT_ATTEMPT,
	EVENT_AT_GATE,
	EVENT_SERVED,
	EVENT_AT_ENTRY,
	EVENT_DEADLINE,
	EVENT_CANCEL,
	EVENT_BREAK,
	EVENT_DEATH,
	EVENT_RESTART
};

struct event_t {
	uint64_t at;
	uint64_t number; // makes the order of events at one time certain
	event_type_t type;
	uint32_t request;
	uint32_t attempt;
	int gate;
	uint32_t epoch; // of the backend server
	reason_t reason;
	run_state_t run;
	load_report_t load;
	uint32_t running; // calls at the backend server when this one started
	struct call_t *call;

	bool
	operator>(const event_t &other) const
	{
		return at != other.at ? at > other.at : number > other.number;
	}
};

struct call_t {
	queue_item_t item;
	uint32_t request;
	uint32_t attempt;
	uint64_t started;
};

struct request_t {
	const arrival_t *arrival;
	uint64_t deadline;
	uint32_t attempts;
	uint64_t tried[PRESET_ATTEMPTS_MAX];
	balance_attempt_t attempt;
	limit_permit_t permit;
	run_state_t run;      // over all attempts so far
	run_state_t reported; // to the caller
	int runs;	      // starts at a backend server
	bool done;
};

struct gate_t {
	limit_gate_t limit;
	queue_t queue;
	uint32_t claimed = SLOTS;
	uint32_t running = 0;
	uint32_t epoch = 1;
	uint64_t ready_at = 0; // 0: since before the test
	bool alive = true;
	std::vector<call_t *> on_backend;
};

struct entry_state_t {
	balance_t *balance;
	retry_t *retry;
	limit_entry_t *limit;
};

struct result_t {
	uint64_t offered = 0, good = 0, refused = 0, attempts = 0;
	uint64_t internal_offered = 0;
	uint64_t doubled = 0, false_not_run = 0;
	std::vector<uint64_t> internal_us;

	void
	add(const result_t &other)
	{
		offered += other.offered;
		good += other.good;
		refused += other.refused;
		attempts += other.attempts;
		internal_offered += other.internal_offered;
		doubled += other.doubled;
		false_not_run += other.false_not_run;
		internal_us.insert(internal_us.end(), other.internal_us.begin(),
		    other.internal_us.end());
	}

	double
	internal_p99_ms()
	{
		if (internal_us.empty())
			return 0;
		auto place = internal_us.begin() + (long)(internal_us.size() * 99 / 100);
		std::nth_element(internal_us.begin(), place, internal_us.end());
		return (double)*place / 1000;
	}

	double
	internal_answered()
	{
		return (double)internal_us.size() / (double)internal_offered;
	}
};

} // namespace policy_simulation

#endif
