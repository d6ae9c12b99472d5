// Simulated mesh of member tables in one process with virtual time: one queue of
// pending events, with seeded loss, delay, reordering, partitions, failures and
// restarts under the same address.
#ifndef VIRTUAL_MESH_H
#define VIRTUAL_MESH_H

#include "member.h"
#include "os.h"

#include <functional>
#include <queue>
#include <stdlib.h>
#include <string>
#include <unordered_map>
#include <vector>

#define MS NS_PER_MS

struct VirtualNode {
	member_table_t *table = NULL;
	address_t address = {};
	int zone = 0;
	bool running = false;
	uint64_t starts = 0;
	uint64_t datagrams = 0, bytes = 0, sync_bytes = 0;
};

struct VirtualEvent {
	uint64_t at, order;
	int to, from;
	uint64_t start; // starts of the node when a tick was queued
	bool is_sync;
	chunk_t *payload; // NULL: tick
};

struct VirtualEventLater {
	bool
	operator()(const VirtualEvent &a, const VirtualEvent &b) const
	{
		return a.at != b.at ? a.at > b.at : a.order > b.order;
	}
};

class VirtualMesh
{
      public:
	std::vector<VirtualNode> nodes;
	uint64_t now = 1000 * NS_PER_S;
	double loss = 0;
	std::vector<int> seeds = {0, 1, 2}; // nodes that a started one may join through
	std::function<bool(int, int)> is_cut = [](int, int) { return false; };
	// A view changed: index of the node, index of the member, its new record.
	std::function<void(int, int, const member_t &)> on_change =
	    [](int, int, const member_t &) {};
	std::function<void(int, const member_action_t *)> on_action =
	    [](int, const member_action_t *) {};

	VirtualMesh(size_t count, int zones, uint64_t seed) : nodes(count), wall(1000000)
	{
		rng_init(&rng, seed);
		for (size_t i = 0; i < count; i++) {
			nodes[i].zone = (int)(i % (size_t)zones);
			nodes[i].address.ip = 0x0a000001u +
					      ((uint32_t)nodes[i].zone << 16) +
					      ((uint32_t)(i / (size_t)zones) << 4);
			nodes[i].address.port = 7000;
			index[address_to_node_id(&nodes[i].address)] = (int)i;
		}
	}
	~VirtualMesh()
	{
		for (auto &node : nodes)
			member_table_destroy(node.table);
		while (!events.empty()) {
			chunk_release(events.top().payload);
			events.pop();
		}
	}
	// Starts or restarts a node.
	void
	start(int i)
	{
		VirtualNode &node = nodes[(size_t)i];
		std::string zone = "zone-" + std::to_string(node.zone);
		std::vector<address_t> addresses;
		member_options_t options = {};

		for (int seed : seeds)
			if ((size_t)seed < nodes.size())
				addresses.push_back(nodes[(size_t)seed].address);
		member_table_destroy(node.table);
		options.address = node.address;
		options.zone = zone.c_str();
		options.region = "region-1";
		options.boot = rng_next(&rng) | 1;
		options.incarnation = wall + now / MS;
		options.seed = rng_next(&rng);
		options.seeds = addresses.data();
		options.seed_count = addresses.size();
		node.table = NULL;
		if (member_table_create(&options, now, &node.table) != 0)
			abort();
		node.running = true;
		node.starts++;
		push({now + rng_below(&rng, MEMBER_TICK_MS * MS), 0, i, i, node.starts,
		    false, NULL});
	}
	void
	start_all()
	{
		for (size_t i = 0; i < nodes.size(); i++)
			start((int)i);
	}
	void
	kill(int i)
	{
		nodes[(size_t)i].running = false;
	}
	// Runs until the condition holds or ms of virtual time have passed.
	bool
	run(uint64_t ms, std::function<bool()> until = nullptr)
	{
		uint64_t end = now + ms * MS, check = now;

		while (!events.empty() && events.top().at <= end) {
			VirtualEvent event = events.top();

			events.pop();
			now = event.at;
			handle(event);
			chunk_release(event.payload);
			if (until && now >= check) {
				if (until())
					return true;
				check = now + 10 * MS;
			}
		}
		now = end;
		return until ? until() : true;
	}
	void
	perform_on(int i, const std::function<void(member_table_t *, list_t *)> &call)
	{
		list_t actions;

		list_init(&actions);
		call(nodes[(size_t)i].table, &actions);
		perform(i, &actions);
	}
	member_state_t
	view(int of, int member)
	{
		const member_t *found =
		    member_find(nodes[(size_t)of].table, id((size_t)member));

		return found != NULL ? found->state : MEMBER_DOWN;
	}
	const member_t *
	find(int of, int member)
	{
		return member_find(nodes[(size_t)of].table, id((size_t)member));
	}
	uint64_t
	id(size_t i)
	{
		return address_to_node_id(&nodes[i].address);
	}
	size_t
	running()
	{
		size_t count = 0;

		for (auto &node : nodes)
			count += node.running;
		return count;
	}
	// True if every running node has exactly the running ones, with equal records.
	bool
	is_converged()
	{
		uint64_t digest = 0;
		size_t live = running();

		for (auto &node : nodes) {
			member_statistics_t statistics;

			if (!node.running)
				continue;
			member_table_statistics(node.table, &statistics);
			if (statistics.alive != live || statistics.zones_unreachable != 0)
				return false;
			if (digest != 0 && digest != member_table_digest(node.table))
				return false;
			digest = member_table_digest(node.table);
		}
		return true;
	}
	rng_t rng;

      private:
	uint64_t wall;
	uint64_t order = 0;
	std::priority_queue<VirtualEvent, std::vector<VirtualEvent>, VirtualEventLater>
	    events;
	std::unordered_map<uint64_t, int> index;

	void
	push(VirtualEvent event)
	{
		event.order = ++order;
		events.push(event);
	}
	// 1.5 ms one way between zones; one in a hundred is delayed and reordered.
	uint64_t
	delay(int a, int b)
	{
		uint64_t base =
		    nodes[(size_t)a].zone == nodes[(size_t)b].zone ? 200 : 1500;

		base += rng_below(&rng, 500);
		if (rng_below(&rng, 100) == 0)
			base += rng_below(&rng, 40000);
		return base * NS_PER_US;
	}
	void
	perform(int i, list_t *actions)
	{
		member_action_t *action;
		VirtualNode &node = nodes[(size_t)i];

		while ((action = member_action_take(actions)) != NULL) {
			on_action(i, action);
			switch (action->type) {
			case MEMBER_ACTION_SEND:
				node.datagrams++;
				// Content, authentication, UDP and IP headers.
				node.bytes += action->payload->size + 17 + 28;
				deliver(i, action, false);
				break;
			case MEMBER_ACTION_SYNC:
				node.sync_bytes += action->payload->size + 200;
				deliver(i, action, true);
				break;
			case MEMBER_ACTION_CHANGED:
				on_change(i, index[action->node], action->u.member);
				break;
			default:
				break;
			}
			member_action_destroy(action);
		}
	}
	void
	deliver(int from, member_action_t *action, bool is_sync)
	{
		auto found = index.find(action->node);

		if (found == index.end() || is_cut(from, found->second) ||
		    (!is_sync && rng_unit(&rng) < loss))
			return;
		// A sync over TCP takes a connect and more than one round trip.
		push({now + delay(from, found->second) * (is_sync ? 3 : 1), 0,
		    found->second, from, 0, is_sync, action->payload});
		action->payload = NULL;
	}
	void
	handle(const VirtualEvent &event)
	{
		VirtualNode &node = nodes[(size_t)event.to];
		list_t actions;

		if (!node.running)
			return;
		list_init(&actions);
		if (event.payload == NULL) {
			if (event.start != node.starts)
				return;
			member_tick(node.table, now, &actions);
			push({now + MEMBER_TICK_MS * MS, 0, event.to, event.to,
			    event.start, false, NULL});
		} else if (event.is_sync) {
			if (!is_cut(event.from, event.to))
				member_sync_receive(node.table, id((size_t)event.from),
				    event.payload->data, event.payload->size, now,
				    &actions);
		} else if (!is_cut(event.from, event.to)) {
			member_receive(node.table, &nodes[(size_t)event.from].address,
			    event.payload->data, event.payload->size, now, &actions);
		}
		perform(event.to, &actions);
	}
};

#endif
