// Nodes that lend each other tokens of a workspace's quota, in virtual time: the decision
// objects of each node, datagrams with a delay and losses, partitions, and each node's
// view of the members, which lags behind.
#ifndef MASTICPITCH_QUOTA_SIMULATION_H
#define MASTICPITCH_QUOTA_SIMULATION_H

#include "quota_lease.h"
#include "quota_owner.h"
#include "quota_rank.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace
{

const uint64_t WORKSPACE = 4711;
// Wall clock at the start of the simulation, ms.
const uint64_t WALL_MS = 1700000000000;

class QuotaMesh
{
      public:
	struct Node {
		uint64_t id = 0;
		int zone = 0;
		bool up = false;
		bool cut = false; // alone
		bool leaving = false;
		uint64_t incarnation = 0;
		quota_rank_t *rank = nullptr;
		quota_owner_t *owner = nullptr;
		quota_lease_t *lease = nullptr;
		std::deque<uint64_t> waiting; // deadlines
		uint64_t down_since = 0;
		std::map<size_t, int> seen; // others: 0 unknown, 1 alive, 2 unreachable
		std::map<size_t, uint64_t> differs; // since when the view is wrong
		std::map<size_t, uint64_t> seen_incarnation;
	};
	quota_limit_t limit;
	double loss = 0.0;
	uint64_t delay_ms = 1;
	int cut_zone = -1;
	std::vector<Node> nodes;
	std::vector<uint64_t> sent, admitted, refused, unknown, waits; // ms
	uint64_t messages = 0;
	uint64_t reserve = 0;

	QuotaMesh(size_t count, quota_limit_t quota, uint64_t seed = 1)
	    : limit(quota), nodes(count)
	{
		rng_init(&rng, seed);
		for (size_t i = 0; i < count; i++) {
			nodes[i].id = 1000 + i;
			nodes[i].zone = static_cast<int>(i % 3);
			start(i);
		}
	}
	~QuotaMesh()
	{
		for (size_t i = 0; i < nodes.size(); i++)
			stop(i);
	}
	void
	start(size_t i)
	{
		Node &node = nodes[i];

		node.up = true;
		node.leaving = false;
		node.incarnation = WALL_MS + now_ms;
		node.rank = quota_rank_create(node.id, now());
		node.owner = quota_owner_create();
		node.lease = quota_lease_create(rng_next(&rng));
		node.seen.clear();
		node.differs.clear();
		node.seen_incarnation.clear();
		tell(node, i, MEMBER_ALIVE, true);
	}
	void
	stop(size_t i)
	{
		Node &node = nodes[i];

		quota_rank_destroy(node.rank);
		quota_owner_destroy(node.owner);
		quota_lease_destroy(node.lease);
		node.rank = nullptr;
		node.owner = nullptr;
		node.lease = nullptr;
		node.up = false;
		node.waiting.clear();
	}
	void
	leave(size_t i)
	{
		nodes[i].leaving = true;
		quota_rank_leave(nodes[i].rank, now());
	}
	// The node that most others take for the owner.
	size_t
	owner() const
	{
		std::map<uint64_t, int> votes;
		uint64_t best = 0;

		for (const Node &node : nodes)
			if (node.up)
				votes[quota_rank_owner(node.rank, WORKSPACE)]++;
		for (const auto &vote : votes)
			if (best == 0 || vote.second > votes[best])
				best = vote.first;
		return best - 1000;
	}
	void
	request(size_t i)
	{
		Node &node = nodes[i];

		sent.push_back(now_ms);
		if (!node.up)
			return;
		quota_take_t take =
		    quota_lease_take(node.lease, WORKSPACE, limit.rate, now());
		if (take.verdict == QUOTA_WAITING)
			node.waiting.push_back(now_ms + QUOTA_WAIT_MS);
		record(take.verdict, 0);
		ask(i);
	}
	// per_ms: requests in each millisecond; where: chooses the node.
	void
	run(uint64_t ms, double per_s, const std::function<size_t(rng_t *)> &where)
	{
		double due = 0.0;

		for (uint64_t end = now_ms + ms; now_ms < end; now_ms++) {
			deliver();
			views_update();
			for (size_t i = 0; i < nodes.size(); i++) {
				if (!nodes[i].up)
					continue;
				if ((now_ms + i) % 100 == 0)
					quota_rank_tick(
					    nodes[i].rank, now(), WALL_MS + now_ms);
				if ((now_ms + i) % QUOTA_RECHECK_MS == 0)
					recheck(i);
			}
			due += per_s / 1000.0 * 2.0 * rng_unit(&rng);
			for (; due >= 1.0; due -= 1.0)
				request(where(&rng));
		}
	}
	std::function<size_t(rng_t *)>
	everywhere()
	{
		return [this](rng_t *r) { return rng_below(r, nodes.size()); };
	}
	// Requests admitted beyond what the rule allows in the worst window; below 0:
	// fewer.
	double
	excess() const
	{
		double allowed = (limit.rate * 5.0 + limit.burst) * 1.1 + 20.0;
		double worst = -allowed;
		size_t first = 0;

		for (size_t i = 0; i < admitted.size(); i++) {
			while (admitted[first] + 5000 <= admitted[i])
				first++;
			worst =
			    std::max(worst, static_cast<double>(i - first + 1) - allowed);
		}
		return worst;
	}
	static size_t
	between(const std::vector<uint64_t> &times, uint64_t from, uint64_t to)
	{
		return std::lower_bound(times.begin(), times.end(), to) -
		       std::lower_bound(times.begin(), times.end(), from);
	}
	uint64_t
	time() const
	{
		return now_ms;
	}

      private:
	struct Datagram {
		uint64_t at;
		size_t from, to;
		bool is_grant;
		uint32_t wanted;
		quota_grant_t grant;
	};
	rng_t rng;
	uint64_t now_ms = 0;
	std::deque<Datagram> network;

	uint64_t
	now() const
	{
		return (now_ms + 1000) * NS_PER_MS;
	}
	bool
	connected(size_t a, size_t b) const
	{
		if (a == b)
			return true;
		if (nodes[a].cut || nodes[b].cut)
			return false;
		return nodes[a].zone == nodes[b].zone ||
		       (nodes[a].zone != cut_zone && nodes[b].zone != cut_zone);
	}
	void
	record(quota_verdict_t verdict, uint64_t waited_ms)
	{
		if (verdict == QUOTA_REFUSED)
			refused.push_back(now_ms);
		if (verdict == QUOTA_ADMITTED_BY_RESERVE)
			reserve++;
		if (verdict == QUOTA_ADMITTED || verdict == QUOTA_ADMITTED_BY_RESERVE) {
			admitted.push_back(now_ms);
			if (waited_ms > 0)
				waits.push_back(waited_ms);
		}
	}
	void
	recheck(size_t i)
	{
		Node &node = nodes[i];
		std::deque<uint64_t> left;

		for (uint64_t deadline : node.waiting) {
			quota_take_t take =
			    quota_lease_retake(node.lease, WORKSPACE, limit.rate, now());

			if (take.verdict != QUOTA_WAITING) {
				record(take.verdict, now_ms + QUOTA_WAIT_MS - deadline);
			} else if (now_ms < deadline) {
				left.push_back(deadline);
			} else {
				quota_lease_leave(node.lease, WORKSPACE);
				unknown.push_back(now_ms);
			}
		}
		node.waiting = left;
		if (!left.empty())
			ask(i);
	}
	void
	ask(size_t i)
	{
		uint32_t tokens = quota_lease_ask(nodes[i].lease, WORKSPACE, now());
		uint64_t to = quota_rank_owner(nodes[i].rank, WORKSPACE);

		if (tokens > 0 && to != 0)
			send({0, i, to - 1000, false, tokens, {}});
	}
	void
	send(Datagram datagram)
	{
		messages += datagram.from != datagram.to;
		if (datagram.from != datagram.to && rng_unit(&rng) < loss)
			return;
		datagram.at = now_ms + (datagram.from == datagram.to ? 0 : delay_ms);
		network.push_back(datagram);
	}
	void
	deliver()
	{
		std::deque<Datagram> due;

		while (!network.empty() && network.front().at <= now_ms) {
			due.push_back(network.front());
			network.pop_front();
		}
		for (const Datagram &datagram : due)
			if (nodes[datagram.to].up &&
			    connected(datagram.from, datagram.to))
				receive(datagram);
	}
	void
	receive(const Datagram &datagram)
	{
		Node &node = nodes[datagram.to];
		quota_grant_t grant = {};

		if (datagram.is_grant) {
			quota_lease_granted(
			    node.lease, WORKSPACE, &datagram.grant, now());
			recheck(datagram.to);
			return;
		}
		if (quota_rank_owner(node.rank, WORKSPACE) == node.id &&
		    quota_rank_may_lend(node.rank, now()))
			grant = quota_owner_lend(node.owner, WORKSPACE, &limit,
			    quota_rank_share(node.rank), datagram.wanted,
			    quota_rank_changed_at(node.rank), now());
		send({0, datagram.to, datagram.from, true, 0, grant});
	}
	void
	tell(Node &node, size_t other, member_state_t state, bool reachable)
	{
		member_t member = {};

		member.node = nodes[other].id;
		member.state = state;
		member.reachable = reachable;
		member.incarnation = nodes[other].incarnation;
		quota_rank_member(node.rank, &member, now(), WALL_MS + now_ms);
		quota_lease_members_set(node.lease, quota_rank_known(node.rank));
		quota_owner_prune(
		    node.owner,
		    [](void *context, uint64_t workspace) {
			    Node *self = static_cast<Node *>(context);

			    return quota_rank_owner(self->rank, workspace) == self->id;
		    },
		    &node);
	}
	// Each node learns of a member's state after the time that membership takes for
	// it.
	void
	views_update()
	{
		for (size_t i = 0; i < nodes.size(); i++) {
			if (!nodes[i].up || (now_ms + i) % 10 != 0)
				continue;
			for (size_t j = 0; j < nodes.size(); j++)
				if (j != i)
					view_update(nodes[i], i, j);
		}
	}
	void
	view_update(Node &node, size_t i, size_t j)
	{
		const Node &other = nodes[j];
		bool in_reach = other.up && connected(i, j);
		bool zone_lost = cut_zone >= 0 && node.zone != other.zone &&
				 (node.zone == cut_zone || other.zone == cut_zone);
		int is = !in_reach ? (zone_lost ? 2 : 3) : other.leaving ? 4 : 1;
		int &seen = node.seen[j];
		uint64_t lag;

		if (seen == 0 && is != 1)
			return;
		if (seen == is && node.seen_incarnation[j] == other.incarnation) {
			node.differs[j] = 0;
			return;
		}
		if (node.differs[j] == 0)
			node.differs[j] = now_ms + 1;
		// Cuts are noticed after one to two seconds, as in membership; a node
		// that is alone declares nobody down at first.
		lag = is == 2	  ? 1000 + (i * 137) % 1000
		      : is == 3	  ? (node.cut ? 3000 : 1000 + (i * 53 + j) % 700)
		      : is == 4	  ? 50 + (i * 7) % 100
		      : seen == 2 ? (i * 229) % 1000
				  : (i * 29 + j * 11) % 900;
		if (now_ms < node.differs[j] + lag)
			return;
		node.differs[j] = 0;
		seen = is;
		node.seen_incarnation[j] = other.incarnation;
		tell(node, j,
		    is == 3   ? MEMBER_DOWN
		    : is == 4 ? MEMBER_LEAVING
			      : MEMBER_ALIVE,
		    is != 2);
	}
};

} // namespace

#endif
