// Guards quotas against what membership really shows: nodes run the membership table and
// the quota decisions together, in virtual time, with the datagrams of both.
#include "quota_lease.h"
#include "quota_owner.h"
#include "quota_rank.h"
#include "virtual_mesh.h"

#include <algorithm>
#include <deque>
#include <gtest/gtest.h>

namespace
{

const size_t NODES = 36;
const uint64_t WORKSPACE = 4711;
// Wall clock of the virtual mesh at its time 0, ms.
const uint64_t WALL_MS = 1000000;

struct QuotaNode {
	quota_rank_t *rank = nullptr;
	quota_owner_t *owner = nullptr;
	quota_lease_t *lease = nullptr;
	std::deque<uint64_t> waiting; // deadlines, ns
};

class QuotaMembers : public ::testing::TestWithParam<int>
{
      protected:
	quota_limit_t limit =
	    GetParam() % 2 == 0 ? quota_limit_t{900.0, 900.0} : quota_limit_t{20.0, 20.0};
	VirtualMesh mesh{NODES, 3, static_cast<uint64_t>(GetParam()) + 1};
	std::vector<QuotaNode> nodes{NODES};
	std::vector<uint64_t> sent, admitted, lost; // ns
	std::function<bool(int)> is_served = [](int) { return true; };

	void
	SetUp() override
	{
		mesh.on_change = [this](int i, int, const member_t &member) {
			tell(i, member);
		};
		mesh.on_action = [this](int i, const member_action_t *action) {
			receive(i, action);
		};
		for (size_t i = 0; i < NODES; i++)
			start(static_cast<int>(i));
		run(6000, 0.0);
		ASSERT_TRUE(mesh.is_converged());
	}
	void
	TearDown() override
	{
		printf("margin in the worst window: %.2f of the rate\n",
		    -excess() / limit.rate);
		for (size_t i = 0; i < NODES; i++)
			stop(static_cast<int>(i));
	}
	void
	start(int i)
	{
		QuotaNode &node = nodes[i];
		member_t self;

		node.rank = quota_rank_create(mesh.id(i), mesh.now);
		node.owner = quota_owner_create();
		node.lease = quota_lease_create(rng_next(&mesh.rng));
		mesh.start(i);
		self = *member_self(mesh.nodes[i].table);
		self.reachable = true;
		tell(i, self);
	}
	void
	stop(int i)
	{
		QuotaNode &node = nodes[i];

		mesh.kill(i);
		quota_rank_destroy(node.rank);
		quota_owner_destroy(node.owner);
		quota_lease_destroy(node.lease);
		node = {};
	}
	void
	leave(int i)
	{
		quota_rank_leave(nodes[i].rank, mesh.now);
		mesh.perform_on(i, [this](member_table_t *table, list_t *actions) {
			member_leave(table, mesh.now, actions);
		});
	}
	int
	owner()
	{
		for (size_t i = 0; i < NODES; i++)
			if (nodes[i].rank != nullptr &&
			    quota_rank_owner(nodes[i].rank, WORKSPACE) == mesh.id(i))
				return static_cast<int>(i);
		return -1;
	}
	// Sends requests to random nodes that run, evenly in time.
	void
	run(uint64_t ms, double per_s)
	{
		double due = 0.0;

		for (uint64_t i = 0; i < ms; i++) {
			mesh.run(1);
			for (size_t at = 0; at < NODES; at++)
				tick(static_cast<int>(at), i + at);
			due += per_s / 1000.0 * 2.0 * rng_unit(&mesh.rng);
			for (; due >= 1.0; due -= 1.0)
				request();
		}
	}
	void
	request()
	{
		int i = static_cast<int>(rng_below(&mesh.rng, NODES));
		quota_take_t take;

		if (nodes[i].rank == nullptr || !is_served(i))
			return;
		sent.push_back(mesh.now);
		take = quota_lease_take(nodes[i].lease, WORKSPACE, limit.rate, mesh.now);
		if (take.verdict == QUOTA_WAITING)
			nodes[i].waiting.push_back(mesh.now + QUOTA_WAIT_MS * NS_PER_MS);
		record(take.verdict);
		ask(i);
	}
	// Requests admitted in the worst 5 s beyond what is allowed; below 0: fewer.
	double
	excess() const
	{
		double allowed = (limit.rate * 5.0 + limit.burst) * 1.1 + 20.0;
		double worst = -allowed;
		size_t first = 0;

		for (size_t i = 0; i < admitted.size(); i++) {
			while (admitted[first] + 5 * NS_PER_S <= admitted[i])
				first++;
			worst =
			    std::max(worst, static_cast<double>(i - first + 1) - allowed);
		}
		return worst;
	}
	// Share of the requests in the last ms that were refused.
	double
	refused_share(uint64_t ms) const
	{
		uint64_t from = mesh.now - ms * NS_PER_MS;

		return static_cast<double>(lost.end() - std::lower_bound(lost.begin(),
							    lost.end(), from)) /
		       static_cast<double>(
			   sent.end() - std::lower_bound(sent.begin(), sent.end(), from));
	}
	void
	cut_zone(int zone)
	{
		mesh.is_cut = [this, zone](int a, int b) {
			return (mesh.nodes[a].zone == zone) !=
			       (mesh.nodes[b].zone == zone);
		};
	}

      private:
	void
	record(quota_verdict_t verdict)
	{
		if (verdict == QUOTA_ADMITTED || verdict == QUOTA_ADMITTED_BY_RESERVE)
			admitted.push_back(mesh.now);
		if (verdict == QUOTA_REFUSED)
			lost.push_back(mesh.now);
	}
	void
	tick(int i, uint64_t at_ms)
	{
		if (nodes[i].rank == nullptr)
			return;
		if (at_ms % 100 == 0) {
			quota_rank_tick(
			    nodes[i].rank, mesh.now, WALL_MS + mesh.now / NS_PER_MS);
			changed(i);
		}
		if (at_ms % QUOTA_RECHECK_MS == 0)
			recheck(i);
	}
	void
	recheck(int i)
	{
		QuotaNode &node = nodes[i];
		std::deque<uint64_t> left;

		for (uint64_t deadline : node.waiting) {
			quota_take_t take = quota_lease_retake(
			    node.lease, WORKSPACE, limit.rate, mesh.now);

			if (take.verdict != QUOTA_WAITING) {
				record(take.verdict);
			} else if (mesh.now < deadline) {
				left.push_back(deadline);
			} else {
				quota_lease_leave(node.lease, WORKSPACE);
				lost.push_back(mesh.now);
			}
		}
		node.waiting = left;
		if (!left.empty())
			ask(i);
	}
	void
	ask(int i)
	{
		uint32_t tokens = quota_lease_ask(nodes[i].lease, WORKSPACE, mesh.now);
		uint64_t to = quota_rank_owner(nodes[i].rank, WORKSPACE);

		if (tokens == 0 || to == 0)
			return;
		if (to == mesh.id(i))
			granted(i, lend(i, tokens));
		else
			send(i, to, false, {WORKSPACE, tokens, 0, false});
	}
	void
	send(int i, uint64_t to, bool grant, member_quota_t item)
	{
		mesh.perform_on(i, [&](member_table_t *table, list_t *actions) {
			member_send_quota(table, to, grant, &item, 1, mesh.now, actions);
		});
	}
	quota_grant_t
	lend(int i, uint32_t wanted)
	{
		QuotaNode &node = nodes[i];

		if (quota_rank_owner(node.rank, WORKSPACE) != mesh.id(i) ||
		    !quota_rank_may_lend(node.rank, mesh.now))
			return {};
		return quota_owner_lend(node.owner, WORKSPACE, &limit,
		    quota_rank_share(node.rank), wanted, quota_rank_changed_at(node.rank),
		    mesh.now);
	}
	void
	granted(int i, const quota_grant_t &grant)
	{
		quota_lease_granted(nodes[i].lease, WORKSPACE, &grant, mesh.now);
		recheck(i);
	}
	void
	receive(int i, const member_action_t *action)
	{
		const member_quota_t &item = action->u.quota;

		if (action->type == MEMBER_ACTION_QUOTA_GRANT)
			granted(i, {item.tokens, item.retry_ms, item.hold});
		if (action->type == MEMBER_ACTION_QUOTA_ASK) {
			quota_grant_t grant = lend(i, item.tokens);

			send(i, action->node, true,
			    {WORKSPACE, grant.tokens, grant.retry_ms, grant.hold});
		}
	}
	void
	tell(int i, const member_t &member)
	{
		quota_rank_member(
		    nodes[i].rank, &member, mesh.now, WALL_MS + mesh.now / NS_PER_MS);
		changed(i);
	}
	void
	changed(int i)
	{
		struct {
			quota_rank_t *rank;
			uint64_t self;
		} view = {nodes[i].rank, mesh.id(i)};

		quota_lease_members_set(nodes[i].lease, quota_rank_known(view.rank));
		quota_owner_prune(
		    nodes[i].owner,
		    [](void *context, uint64_t workspace) {
			    auto *of = static_cast<decltype(view) *>(context);

			    return quota_rank_owner(of->rank, workspace) == of->self;
		    },
		    &view);
	}
};

TEST_P(QuotaMembers, ZoneWithTheOwnerIsCutOffUnderOverload)
{
	run(6000, 3.7 * limit.rate);
	cut_zone(mesh.nodes[owner()].zone);
	run(6000, 3.7 * limit.rate);
	mesh.is_cut = [](int, int) { return false; };
	run(8000, 3.7 * limit.rate);
	EXPECT_LE(excess(), 0.0);
}

// The bucket is full when the zone is cut off.
TEST_P(QuotaMembers, OverloadBeginsWithThePartition)
{
	for (int zone = 0; zone < 3; zone++) {
		run(4000, 0.62 * limit.rate);
		cut_zone(zone);
		run(6000, 3.7 * limit.rate);
		mesh.is_cut = [](int, int) { return false; };
		run(6000, 0.62 * limit.rate);
	}
	EXPECT_LE(excess(), 0.0) << excess() / limit.rate;
}

TEST_P(QuotaMembers, OverloadBeginsWithTheEndOfThePartition)
{
	for (int zone = 0; zone < 3; zone++) {
		run(2000, 0.62 * limit.rate);
		cut_zone(zone);
		run(6000, 0.3 * limit.rate);
		mesh.is_cut = [](int, int) { return false; };
		run(6000, 3.7 * limit.rate);
	}
	EXPECT_LE(excess(), 0.0) << excess() / limit.rate;
}

TEST_P(QuotaMembers, ZoneWithTheOwnerIsCutOff)
{
	run(3000, 0.62 * limit.rate);
	cut_zone(mesh.nodes[owner()].zone);
	run(3500, 0.62 * limit.rate);
	printf("refused in the first 3.5 s: %.3f\n", refused_share(3500));
	run(3000, 0.62 * limit.rate);
	EXPECT_LE(refused_share(3000), 0.05);
	mesh.is_cut = [](int, int) { return false; };
	run(4000, 0.62 * limit.rate);
	run(3000, 0.62 * limit.rate);
	EXPECT_EQ(refused_share(3000), 0.0);
	EXPECT_LE(excess(), 0.0);
}

TEST_P(QuotaMembers, SingleNodesAreCutOffUnderOverload)
{
	run(6000, 3.7 * limit.rate);
	mesh.is_cut = [](int a, int b) { return a != b && (a % 6 == 1 || b % 6 == 1); };
	run(6000, 3.7 * limit.rate);
	mesh.is_cut = [](int, int) { return false; };
	run(8000, 3.7 * limit.rate);
	EXPECT_LE(excess(), 0.0);
}

TEST_P(QuotaMembers, OwnerIsKilled)
{
	int killed;

	run(3000, 0.62 * limit.rate);
	killed = owner();
	stop(killed);
	run(3500, 0.62 * limit.rate);
	printf("refused in the first 3.5 s: %.3f\n", refused_share(3500));
	run(2000, 0.62 * limit.rate);
	EXPECT_EQ(refused_share(2000), 0.0);
	start(killed);
	run(8000, 0.62 * limit.rate);
	EXPECT_EQ(refused_share(8000), 0.0);
	EXPECT_LE(excess(), 0.0);
}

TEST_P(QuotaMembers, HalfOfTheNodesAreKilledUnderOverload)
{
	run(6000, 3.7 * limit.rate);
	for (size_t i = 0; i < NODES; i += 2)
		stop(static_cast<int>(i));
	run(2000, 3.7 * limit.rate);
	for (size_t i = 0; i < NODES; i += 2)
		start(static_cast<int>(i));
	run(8000, 3.7 * limit.rate);
	EXPECT_LE(excess(), 0.0);
}

TEST_P(QuotaMembers, AllNodesAreKilledUnderOverload)
{
	run(6000, 3.7 * limit.rate);
	for (size_t i = 0; i < NODES; i++)
		stop(static_cast<int>(i));
	run(600, 0.0);
	for (size_t i = 0; i < NODES; i++) {
		start(static_cast<int>(i));
		run(rng_below(&mesh.rng, 30), 3.7 * limit.rate);
	}
	run(8000, 3.7 * limit.rate);
	EXPECT_LE(excess(), 0.0);
}

TEST_P(QuotaMembers, NodesRestartInTurn)
{
	run(2000, 0.62 * limit.rate);
	for (size_t i = 0; i < 12; i++) {
		int leaving = i % 2 == 0 ? owner() : static_cast<int>(i * 3);

		if (leaving < 0 || nodes[leaving].rank == nullptr)
			continue;
		leave(leaving);
		run(500, 0.62 * limit.rate);
		is_served = [leaving](int at) { return at != leaving; };
		run(600, 0.62 * limit.rate);
		stop(leaving);
		run(300, 0.62 * limit.rate);
		start(leaving);
		is_served = [](int) { return true; };
		run(300, 0.62 * limit.rate);
	}
	run(2000, 0.62 * limit.rate);
	printf("refused while nodes restart: %.3f\n", refused_share(20000));
	EXPECT_LE(refused_share(20000), 0.01);
	EXPECT_LE(excess(), 0.0);
}

INSTANTIATE_TEST_SUITE_P(Seeds, QuotaMembers, ::testing::Range(0, 6));

} // namespace
