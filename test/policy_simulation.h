// A simulation in virtual time for test_policy_load.cc: two entries and four gates
// with simulated backend servers. One of these announces more slots than it has, one
// starts cold, one is slow for a while and, in every fourth scenario, one crashes.
// Connections between entries and gates are lost together with their streams.
#ifndef MASTICPITCH_POLICY_SIMULATION_H
#define MASTICPITCH_POLICY_SIMULATION_H

#include "policy_scenario.h"

#include <gtest/gtest.h>
#include <memory>
#include <queue>

namespace policy_simulation
{

class simulation_t
{
      public:
	simulation_t(const scenario_t &scenario_given, bool naive_given, uint64_t seed)
	    : scenario(scenario_given), naive(naive_given)
	{
		rng_init(&rng, seed ^ 0x5eed);
		string_copy(service.name, sizeof(service.name), "katalogo");
		service.retry_percent = 10;
		service.spill_percent = 80;
		service.slow_start_ms = 1000;
		create();
	}

	~simulation_t()
	{
		for (entry_state_t &entry : entries) {
			balance_destroy(entry.balance);
			retry_destroy(entry.retry);
			limit_entry_destroy(entry.limit);
		}
	}

	result_t
	run()
	{
		flush();
		while (!events.empty()) {
			event_t event = events.top();

			events.pop();
			now = event.at;
			handle(event);
			flush();
		}
		for (const request_t &request : requests) {
			EXPECT_TRUE(request.done);
			result.false_not_run +=
			    request.reported == RUN_NO && request.runs > 0;
		}
		return result;
	}

      private:
	const scenario_t &scenario;
	bool naive;
	rng_t rng;
	preset_service_t service = {};
	uint64_t now = 0;
	uint64_t number = 0;
	std::priority_queue<event_t, std::vector<event_t>, std::greater<event_t>> events;
	std::vector<event_t> pending; // posted while the current event is handled
	std::vector<request_t> requests;
	std::vector<std::unique_ptr<call_t>> calls;
	std::vector<call_t *> calls_free;
	entry_state_t entries[ENTRIES];
	gate_t gates[GATES];
	result_t result;

	void
	flush()
	{
		for (const event_t &event : pending)
			events.push(event);
		pending.clear();
	}

	// The returned reference is valid until the next call.
	event_t &
	post(event_type_t type, uint64_t at, uint32_t request = 0, int gate = 0)
	{
		event_t event = {};

		event.type = type;
		event.at = at;
		event.number = ++number;
		event.request = request;
		event.gate = gate;
		if (request < requests.size())
			event.attempt = requests[request].attempts;
		if (type != EVENT_ARRIVAL)
			event.epoch = gates[gate].epoch;
		pending.push_back(event);
		return pending.back();
	}

	void
	create()
	{
		for (int i = 0; i < ENTRIES; i++) {
			balance_create(naive ? BALANCE_NAIVE : BALANCE_ADAPTIVE, zone(i),
			    "visayas", &entries[i].balance);
			retry_create(
			    naive ? RETRY_NAIVE : RETRY_ADAPTIVE, &entries[i].retry);
			limit_entry_create(4096, !naive, &entries[i].limit);
		}
		for (int i = 0; i < GATES; i++) {
			gates[i].announced_slots =
			    i == scenario.overclaiming ? 3 * SLOTS : SLOTS;
			gates[i].alive = i != scenario.cold;
			gate_reset(&gates[i]);
			announce(i);
		}
		post(EVENT_RESTART, WARM_UP_NS, 0, scenario.cold);
		for (const auto &lost : scenario.connection_losses)
			post(EVENT_CONNECTION_LOSS, lost.first, 0, lost.second);
		if (scenario.crashing >= 0)
			post(EVENT_CRASH, scenario.crash_at, 0, scenario.crashing);
		requests.resize(scenario.arrivals.size());
		for (uint32_t i = 0; i < requests.size(); i++) {
			requests[i].arrival = &scenario.arrivals[i];
			post(EVENT_ARRIVAL, scenario.arrivals[i].at, i);
		}
	}

	static const char *
	zone(int i)
	{
		return i % 2 ? "cebu-b" : "cebu-a";
	}

	// One-way delay between an entry and a gate, ns.
	uint64_t
	delay(int entry, int gate)
	{
		uint64_t base =
		    entry % 2 == gate % 2 ? 100 * NS_PER_US : 1500 * NS_PER_US;

		return base + rng_below(&rng, base / 2);
	}

	void
	gate_reset(gate_t *gate)
	{
		gate->running = 0;
		limit_gate_init(&gate->limit, gate->announced_slots, !naive, now);
		queue_init(&gate->queue, naive ? QUEUE_LIMIT_MAX : 0,
		    gate->announced_slots, !naive);
	}

	void
	announce(int i)
	{
		member_t member = {};

		member.node = (uint64_t)i + 1;
		member.reachable = true;
		member.instance.state =
		    gates[i].alive ? INSTANCE_READY : INSTANCE_STARTING;
		member.instance.slots = gates[i].announced_slots;
		member.instance.sequence = gates[i].epoch;
		string_copy(member.zone, sizeof(member.zone), zone(i));
		string_copy(member.region, sizeof(member.region), "visayas");
		string_copy(member.instance.service, NAME_BYTES, service.name);
		for (entry_state_t &entry : entries)
			balance_member_update(entry.balance, &member, now);
	}

	void
	handle(const event_t &event)
	{
		switch (event.type) {
		case EVENT_ARRIVAL:
			return handle_arrival(event.request);
		case EVENT_ATTEMPT:
			return start_attempt(event.request);
		case EVENT_AT_GATE:
			return gate_admit(event);
		case EVENT_SERVED:
			return gate_served(event);
		case EVENT_AT_ENTRY:
			return entry_outcome(event);
		case EVENT_DEADLINE:
			return entry_deadline(event.request);
		case EVENT_CANCEL:
			return gate_cancel(event);
		case EVENT_CONNECTION_LOSS:
			return connections_lose(event.gate);
		case EVENT_CRASH:
			return backend_crash(event.gate);
		case EVENT_RESTART:
			gates[event.gate].alive = true;
			gates[event.gate].epoch++;
			gates[event.gate].ready_at = now;
			gate_reset(&gates[event.gate]);
			return announce(event.gate);
		}
	}

	// Entry -----------------------------------------------------------------

	entry_state_t *
	entry_of(const request_t &request)
	{
		return &entries[request.arrival->entry];
	}

	bool
	measured(const request_t &request)
	{
		return request.arrival->at >= WARM_UP_NS;
	}

	void
	handle_arrival(uint32_t index)
	{
		request_t &request = requests[index];
		const traffic_t *traffic = request.arrival->traffic;

		request.deadline = now + traffic->deadline_ms * NS_PER_MS;
		if (measured(request)) {
			result.offered++;
			result.internal_offered += traffic->route_class == ROUTE_INTERNAL;
		}
		if (limit_entry_acquire(entry_of(request)->limit, &service,
			traffic->route_class, &request.permit) != REASON_NONE)
			return finish(request, RUN_NO);
		retry_request_record(entry_of(request)->retry, &service);
		// The gate refuses at the deadline; its refusal needs time to arrive.
		post(EVENT_DEADLINE, request.deadline + 5 * NS_PER_MS, index);
		start_attempt(index);
	}

	int
	choose(const request_t &request, uint32_t excluded, uint64_t *node)
	{
		const balance_request_t properties = {
		    request.arrival->traffic->route_class, 0};

		return balance_choose_for(entry_of(request)->balance, &service,
		    &properties, request.tried, excluded, &rng, now, node);
	}

	void
	start_attempt(uint32_t index)
	{
		request_t &request = requests[index];
		entry_state_t *entry = entry_of(request);
		uint64_t node;

		if (request.done)
			return;
		if (choose(request, request.attempts, &node) != MASTICPITCH_OK &&
		    choose(request, 0, &node) != MASTICPITCH_OK)
			return finish(request, request.run);
		request.tried[request.attempts++] = node;
		result.attempts += measured(request);
		const balance_request_t properties = {
		    request.arrival->traffic->route_class, 0};

		balance_attempt_start(
		    entry->balance, node, &properties, now, &request.attempt);
		post(EVENT_AT_GATE, now + delay(request.arrival->entry, (int)node - 1),
		    index, (int)node - 1);
	}

	void
	finish(request_t &request, run_state_t run)
	{
		request.done = true;
		limit_entry_release(entry_of(request)->limit, &request.permit);
		request.reported = run;
		if (measured(request))
			result.refused++;
	}

	void
	entry_answer(request_t &request, const event_t &event)
	{
		entry_state_t *entry = entry_of(request);

		balance_attempt_answer(
		    entry->balance, &request.attempt, 200, &event.load, now);
		balance_attempt_end(entry->balance, &request.attempt, now);
		limit_entry_release(entry->limit, &request.permit);
		request.done = true;
		request.reported = RUN_YES;
		if (!measured(request) || now > request.deadline)
			return;
		result.answered_in_time++;
		if (request.arrival->traffic->route_class == ROUTE_INTERNAL)
			result.internal_latencies_us.push_back(
			    (now - request.arrival->at) / NS_PER_US);
	}

	void
	entry_outcome(const event_t &event)
	{
		request_t &request = requests[event.request];
		entry_state_t *entry = entry_of(request);
		const traffic_t *traffic = request.arrival->traffic;
		retry_failure_t failure = {event.reason, event.run, false};
		retry_request_t state = {traffic->idempotent, true, false,
		    request.attempts, 3, 10, request.deadline, request.run,
		    traffic->route_class};
		retry_decision_t decision;

		if (request.done || event.attempt != request.attempts)
			return; // belongs to an earlier attempt
		if (event.run == RUN_YES)
			return entry_answer(request, event);
		balance_attempt_refused(entry->balance, &request.attempt, event.reason,
		    event.reason == REASON_STREAM_LOST ? NULL : &event.load, now);
		decision =
		    retry_decide(entry->retry, &service, &state, &failure, &rng, now);
		request.run = decision.run;
		if (decision.stop == RETRY_STOP_NONE)
			post(EVENT_ATTEMPT, decision.at, event.request);
		else
			finish(request, decision.run);
	}

	void
	entry_deadline(uint32_t index)
	{
		request_t &request = requests[index];

		if (request.done)
			return;
		if (request.attempt.open) {
			int gate = (int)request.attempt.node - 1;

			balance_attempt_failed(
			    entry_of(request)->balance, &request.attempt, now);
			post(EVENT_CANCEL, now + delay(request.arrival->entry, gate),
			    index, gate);
			request.run = RUN_UNKNOWN;
		}
		finish(request, request.run);
	}

	// Gate and backend server -----------------------------------------------

	load_report_t
	gate_load(const gate_t &gate)
	{
		return {gate.running, queue_length(&gate.queue),
		    limit_gate_current(&gate.limit), gate.announced_slots,
		    limit_gate_latency_us(&gate.limit)};
	}

	void
	gate_reply(
	    int i, uint32_t index, uint32_t attempt, reason_t reason, run_state_t run)
	{
		event_t &event = post(EVENT_AT_ENTRY,
		    now + delay(requests[index].arrival->entry, i), index, i);

		event.attempt = attempt;
		event.reason = reason;
		event.run = run;
		event.load = gate_load(gates[i]);
	}

	call_t *
	call_of(queue_item_t *item)
	{
		return LIST_ENTRY(item, call_t, item);
	}

	void
	gate_refuse(int i, queue_item_t *item, reason_t reason)
	{
		call_t *call = call_of(item);

		gate_reply(i, call->request, call->attempt, reason, RUN_NO);
		calls_free.push_back(call);
	}

	call_t *
	call_create(const event_t &event)
	{
		call_t *call;

		if (calls_free.empty()) {
			calls.push_back(std::make_unique<call_t>());
			calls_free.push_back(calls.back().get());
		}
		call = calls_free.back();
		calls_free.pop_back();
		*call = call_t();
		call->request = event.request;
		call->attempt = event.attempt;
		call->item.route_class =
		    requests[event.request].arrival->traffic->route_class;
		call->item.deadline = requests[event.request].deadline;
		return call;
	}

	void
	gate_admit(const event_t &event)
	{
		gate_t *gate = &gates[event.gate];
		queue_item_t *shed = NULL;
		reason_t reason;
		call_t *call;

		if (!gate->alive)
			return gate_reply(event.gate, event.request, event.attempt,
			    REASON_BACKEND_STARTING, RUN_NO);
		gate_expire(event.gate);
		call = call_create(event);
		if (limit_gate_admits(&gate->limit, call->item.route_class) &&
		    queue_length(&gate->queue) == 0)
			return gate_run(event.gate, call);
		reason = queue_push(&gate->queue, &call->item,
		    {limit_gate_uploads_max(&gate->limit),
			limit_gate_non_uploads_max(&gate->limit)},
		    now, &shed);
		if (reason != REASON_NONE)
			gate_refuse(event.gate, &call->item, reason);
		if (shed != NULL)
			gate_refuse(event.gate, shed, REASON_QUEUE_SHED);
	}

	void
	gate_expire(int i)
	{
		queue_item_t *item;
		reason_t reason;

		while ((item = queue_expire(&gates[i].queue, now, &reason)) != NULL)
			gate_refuse(i, item, reason);
	}

	// Factor on the service time: above 1 with more calls than slots, in the slow
	// period, and in the first 400 ms after a start.
	double
	backend_slowdown(int i)
	{
		const gate_t *gate = &gates[i];
		double slowdown = std::max(1.0, (double)gate->running / SLOTS);

		if (i == scenario.lagging && now >= scenario.lag_at &&
		    now < scenario.lag_until)
			slowdown *= 5;
		if (gate->ready_at != 0 && now < gate->ready_at + 400 * NS_PER_MS)
			slowdown *= 3;
		return slowdown;
	}

	void
	gate_run(int i, call_t *call)
	{
		request_t &request = requests[call->request];

		request.runs++;
		result.duplicate_runs +=
		    request.runs > 1 && !request.arrival->traffic->idempotent;
		gates[i].running++;
		call->started = now;
		limit_gate_start(&gates[i].limit, call->item.route_class, now);
		event_t &event = post(EVENT_SERVED,
		    now + (uint64_t)((double)request.arrival->service_ns *
				     backend_slowdown(i)),
		    call->request, i);
		event.attempt = call->attempt;
		event.call = call;
		event.running = gates[i].running;
		gates[i].on_backend.push_back(call);
	}

	void
	gate_fill(int i)
	{
		gate_t *gate = &gates[i];

		gate_expire(i);
		while (queue_item_t *item = queue_pop(&gate->queue,
			   limit_gate_admits(&gate->limit, ROUTE_UPLOAD),
			   limit_gate_admits(&gate->limit, ROUTE_LOOKUP), now))
			gate_run(i, call_of(item));
	}

	void
	gate_served(const event_t &event)
	{
		gate_t *gate = &gates[event.gate];
		call_t *call = event.call;
		uint64_t elapsed_ns;

		if (event.epoch != gate->epoch)
			return; // the backend server has crashed since
		elapsed_ns = now - call->started;
		limit_gate_end(&gate->limit, call->item.route_class, call->started, now);
		gate->running--;
		gate->on_backend.erase(
		    std::find(gate->on_backend.begin(), gate->on_backend.end(), call));
		limit_gate_record(
		    &gate->limit, call->item.route_class, elapsed_ns, event.running, now);
		queue_service_record(
		    &gate->queue, call->item.route_class, elapsed_ns, now);
		gate_reply(
		    event.gate, call->request, call->attempt, REASON_NONE, RUN_YES);
		calls_free.push_back(call);
		gate_fill(event.gate);
	}

	void
	gate_cancel(const event_t &event)
	{
		gate_t *gate = &gates[event.gate];

		for (queue_class_t &each : gate->queue.classes) {
			for (queue_band_t &band : each.bands)
				band_cancel(gate, &band, event);
		}
	}

	void
	band_cancel(gate_t *gate, queue_band_t *band, const event_t &event)
	{
		LIST_FOREACH_SAFE (node, &band->items) {
			queue_item_t *item = LIST_ENTRY(node, queue_item_t, link);

			if (call_of(item)->request != event.request ||
			    call_of(item)->attempt != event.attempt)
				continue;
			queue_remove(&gate->queue, item);
			calls_free.push_back(call_of(item));
		}
	}

	// The entries lose their connections to the node: open attempts end as unknown,
	// and the gate removes their calls from its queue.
	void
	connections_lose(int i)
	{
		for (uint32_t index = 0; index < requests.size(); index++) {
			request_t &request = requests[index];

			if (request.done || !request.attempt.open ||
			    request.attempt.node != (uint64_t)i + 1)
				continue;
			event_t &lost = post(EVENT_AT_ENTRY, now, index, i);
			lost.reason = REASON_STREAM_LOST;
			lost.run = RUN_UNKNOWN;
			post(EVENT_CANCEL, now, index, i);
		}
	}

	void
	backend_crash(int i)
	{
		gate_t *gate = &gates[i];
		queue_item_t *item;

		for (call_t *call : gate->on_backend) {
			gate_reply(i, call->request, call->attempt, REASON_BACKEND_LOST,
			    RUN_UNKNOWN);
			calls_free.push_back(call);
		}
		gate->on_backend.clear();
		while ((item = queue_drain(&gate->queue)) != NULL)
			gate_refuse(i, item, REASON_INSTANCE_GONE);
		gate->alive = false;
		gate->epoch++;
		gate->running = 0;
		announce(i);
		post(EVENT_RESTART, now + 300 * NS_PER_MS, 0, i);
	}
};

} // namespace policy_simulation

#endif
