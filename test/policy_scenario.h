// Seeded load and faults, state and results of the simulation in policy_simulation.h.
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
// Calls that a backend server runs concurrently without slowing down.
const uint32_t SLOTS = 6;
const uint64_t WARM_UP_NS = 300 * NS_PER_MS;
const uint64_t END_NS = 2300 * NS_PER_MS; // no request arrives later
const double REQUESTS_PER_SECOND = 300;	  // at load 1, 70% of capacity

struct traffic_t {
	route_class_t route_class;
	bool idempotent;
	double share; // of all requests
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

// The same for both policies.
struct scenario_t {
	std::vector<arrival_t> arrivals;
	int overclaiming, cold, lagging, crashing; // index of a gate; -1: none
	uint64_t lag_at, lag_until, crash_at;
	std::vector<std::pair<uint64_t, int>> connection_losses; // time and gate
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
	scenario.overclaiming = first;
	scenario.cold = (first + 1) % GATES;
	scenario.lagging = (first + 2) % GATES;
	scenario.crashing = seed % 4 == 0 ? (first + 3) % GATES : -1;
	scenario.lag_at = WARM_UP_NS + rng_below(&rng, 300 * NS_PER_MS);
	scenario.lag_until = scenario.lag_at + 400 * NS_PER_MS;
	scenario.crash_at = WARM_UP_NS + rng_below(&rng, END_NS - WARM_UP_NS);
	for (int i = 0; i < 3; i++)
		scenario.connection_losses.push_back(
		    {rng_below(&rng, END_NS), (int)rng_below(&rng, GATES)});
	for (;;) {
		arrival_t arrival;
		double drawn = rng_unit(&rng);

		now += (uint64_t)(-log(1 - rng_unit(&rng)) /
				  (REQUESTS_PER_SECOND * load) * NS_PER_S);
		if (now >= END_NS)
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
	EVENT_CONNECTION_LOSS,
	EVENT_CRASH,
	EVENT_RESTART
};

struct event_t {
	uint64_t at;
	uint64_t number; // orders events at the same time
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
	uint32_t announced_slots = SLOTS;
	uint32_t running = 0;
	uint32_t epoch = 1;
	uint64_t ready_at = 0; // 0: before the simulation began
	bool alive = true;
	std::vector<call_t *> on_backend;
};

struct entry_state_t {
	balance_t *balance;
	retry_t *retry;
	limit_entry_t *limit;
};

struct result_t {
	uint64_t offered = 0, answered_in_time = 0, refused = 0, attempts = 0;
	uint64_t internal_offered = 0;
	uint64_t duplicate_runs = 0, false_not_run = 0;
	std::vector<uint64_t> internal_latencies_us;

	void
	add(const result_t &other)
	{
		offered += other.offered;
		answered_in_time += other.answered_in_time;
		refused += other.refused;
		attempts += other.attempts;
		internal_offered += other.internal_offered;
		duplicate_runs += other.duplicate_runs;
		false_not_run += other.false_not_run;
		internal_latencies_us.insert(internal_latencies_us.end(),
		    other.internal_latencies_us.begin(),
		    other.internal_latencies_us.end());
	}

	double
	internal_p99_ms()
	{
		if (internal_latencies_us.empty())
			return 0;
		auto position = internal_latencies_us.begin() +
				(long)(internal_latencies_us.size() * 99 / 100);
		std::nth_element(
		    internal_latencies_us.begin(), position, internal_latencies_us.end());
		return (double)*position / 1000;
	}

	double
	internal_answered_share()
	{
		return (double)internal_latencies_us.size() / (double)internal_offered;
	}
};

} // namespace policy_simulation

#endif
