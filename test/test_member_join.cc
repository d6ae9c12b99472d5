// Guards against hosts that reach each other but form two groups, each with a table of
// its own, and against hosts that stay alone after a partition.
#include "virtual_mesh.h"

#include <gtest/gtest.h>
#include <string>

namespace
{

// Hosts of a deployment start within this time of each other.
const uint64_t START_SPREAD_MS = 300;
// From the last start, or the end of a partition, until all tables are equal.
const uint64_t ONE_GROUP_MS = 2000;
const int ZONES = 3;

// Starts nodes in a random order; each runs before the next one is started.
void
start_in_random_order(VirtualMesh &mesh, std::vector<int> order)
{
	uint64_t pause = START_SPREAD_MS / order.size();

	while (!order.empty()) {
		size_t i = rng_below(&mesh.rng, order.size());

		mesh.start(order[i]);
		order.erase(order.begin() + (long)i);
		mesh.run(rng_below(&mesh.rng, 2 * pause + 1));
	}
}

std::vector<int>
all_nodes(const VirtualMesh &mesh)
{
	std::vector<int> order;

	for (size_t i = 0; i < mesh.nodes.size(); i++)
		order.push_back((int)i);
	return order;
}

TEST(MemberJoin, HostsThatStartInAnyOrderAreOneGroup)
{
	for (uint64_t seed = 1; seed <= 1000; seed++) {
		VirtualMesh mesh(9 + seed % 5, ZONES, seed);

		mesh.loss = seed % 2 * 0.05;
		start_in_random_order(mesh, all_nodes(mesh));
		ASSERT_TRUE(mesh.run(ONE_GROUP_MS, [&] { return mesh.is_converged(); }))
		    << "seed " << seed;
	}
}

TEST(MemberJoin, ManyHostsThatStartInAnyOrderAreOneGroup)
{
	for (uint64_t seed = 1; seed <= 4; seed++) {
		VirtualMesh mesh(300, ZONES, seed);

		start_in_random_order(mesh, all_nodes(mesh));
		ASSERT_TRUE(mesh.run(ONE_GROUP_MS, [&] { return mesh.is_converged(); }))
		    << "seed " << seed;
	}
}

// Two groups: all seeds but one are of hosts that are gone.
TEST(MemberJoin, SeedsOfHostsThatAreGoneDelayNoGroup)
{
	for (uint64_t seed = 1; seed <= 300; seed++) {
		VirtualMesh mesh(12, ZONES, seed);
		std::vector<int> order = all_nodes(mesh);
		int up = (int)(seed % 3);

		for (int gone = 2; gone >= 0; gone--)
			if (gone != up)
				order.erase(order.begin() + gone);
		start_in_random_order(mesh, order);
		ASSERT_TRUE(mesh.run(ONE_GROUP_MS, [&] { return mesh.is_converged(); }))
		    << "seed " << seed;
	}
}

// Alone after a partition: the hosts of a zone are killed while it is cut off, and start
// again behind the cut.
TEST(MemberJoin, ZoneThatStartedBehindAPartitionJoinsAfterItsEnd)
{
	for (uint64_t seed = 1; seed <= 100; seed++) {
		VirtualMesh mesh(12, ZONES, seed);
		uint64_t cut_ms = 2000 + seed * 150;

		mesh.start_all();
		ASSERT_TRUE(mesh.run(5000, [&] { return mesh.is_converged(); }));
		mesh.is_cut = [&](int a, int b) {
			return (mesh.nodes[(size_t)a].zone == 0) !=
			       (mesh.nodes[(size_t)b].zone == 0);
		};
		for (int i : all_nodes(mesh))
			mesh.kill(i);
		mesh.run(300);
		start_in_random_order(mesh, all_nodes(mesh));
		mesh.run(cut_ms);
		mesh.is_cut = [](int, int) { return false; };
		ASSERT_TRUE(mesh.run(ONE_GROUP_MS, [&] { return mesh.is_converged(); }))
		    << "seed " << seed;
	}
}

// Two groups without seeds: one host finds an address of the other group, which is
// another host's than the one that it joined through.
TEST(MemberJoin, AddressOfAnotherGroupIsJoinedAtOnce)
{
	for (uint64_t seed = 1; seed <= 100; seed++) {
		VirtualMesh mesh(12, ZONES, seed);

		for (int group = 0; group < 2; group++) {
			mesh.seeds = {group * 6};
			for (int i = group * 6; i < group * 6 + 6; i++)
				mesh.start(i);
		}
		mesh.run(1000 + rng_below(&mesh.rng, 10000));
		ASSERT_FALSE(mesh.is_converged());
		mesh.perform_on(2, [&](member_table_t *table, list_t *) {
			member_add_join_address(
			    table, &mesh.nodes[9].address, false, mesh.now);
		});
		ASSERT_TRUE(mesh.run(ONE_GROUP_MS, [&] { return mesh.is_converged(); }))
		    << "seed " << seed;
	}
}

// Guards against join requests without an end to addresses of hosts that are gone, which
// add up over the life of a process: relays come and go.
TEST(MemberJoin, AddressThatNoMemberAnswersIsForgottenUnlessItIsASeed)
{
	VirtualMesh mesh(12, ZONES, 1);
	uint64_t joins = 0;

	mesh.seeds = {0, 1};
	for (int i : all_nodes(mesh))
		if (i != 1 && i != 11) // never started: a seed, and another one
			mesh.start(i);
	mesh.run(5000);
	mesh.perform_on(2, [&](member_table_t *table, list_t *) {
		member_add_join_address(table, &mesh.nodes[11].address, false, mesh.now);
	});
	mesh.on_action = [&](int, const member_action_t *action) {
		joins += action->type == MEMBER_ACTION_SEND &&
			 action->address.ip == mesh.nodes[11].address.ip;
	};
	mesh.run(MEMBER_JOIN_KEEP_MS);
	EXPECT_GT(joins, 0u);
	joins = 0;
	mesh.run(60000);
	EXPECT_EQ(joins, 0u);
	mesh.start(1);
	EXPECT_TRUE(mesh.run(ONE_GROUP_MS, [&] { return mesh.is_converged(); }));
}

// Guards against join requests that grow with the fleet or never end: a seed that is gone
// costs each host some datagrams a minute.
TEST(MemberJoin, SeedThatIsGoneCostsFewDatagrams)
{
	VirtualMesh mesh(12, ZONES, 1);
	std::vector<int> order = all_nodes(mesh);
	uint64_t joins = 0;

	order.erase(order.begin() + 1, order.begin() + 3); // nodes 1 and 2 never start
	start_in_random_order(mesh, order);
	ASSERT_TRUE(mesh.run(ONE_GROUP_MS, [&] { return mesh.is_converged(); }));
	mesh.run(30000);
	mesh.on_action = [&](int, const member_action_t *action) {
		for (int gone : {1, 2})
			joins +=
			    action->type == MEMBER_ACTION_SEND &&
			    action->address.ip == mesh.nodes[(size_t)gone].address.ip;
	};
	mesh.run(60000);
	// From ten hosts to two seeds, at half of the longest interval.
	EXPECT_LE(joins, 10 * 2 * 60000 / (MEMBER_JOIN_MAX_MS / 2));
}

} // namespace
