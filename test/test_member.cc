// Membership decisions of many nodes in one process with virtual time. The bounds
// are those of docs/design.md section 15.
#include "virtual_mesh.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <set>

#define NODES 200
#define ZONES 5

// A number from the environment. For the long run, MASTICPITCH_SEEDS gives the number
// of seeds and MASTICPITCH_SECONDS the virtual seconds of each; the acceptance bound
// is 100 seeds of 600 s.
static uint64_t
environment(const char *name, uint64_t fallback)
{
	const char *text = getenv(name);
	uint64_t value = fallback;

	if (text != NULL)
		string_parse_uint(text, 1000000, &value);
	return value;
}

static bool
start_converged(VirtualMesh &mesh)
{
	mesh.start_all();
	return mesh.run(20000, [&] { return mesh.is_converged(); });
}

static double
percentile(std::vector<double> values, double share)
{
	std::sort(values.begin(), values.end());
	return values[std::min(
	    values.size() - 1, (size_t)(share * (double)values.size()))];
}

TEST(Member, MeshFormsFromThreeSeeds)
{
	VirtualMesh mesh(NODES, ZONES, 1);

	mesh.start_all();
	uint64_t start = mesh.now;
	ASSERT_TRUE(mesh.run(5000, [&] { return mesh.is_converged(); }));
	printf("formed in %llu ms\n", (unsigned long long)((mesh.now - start) / MS));
}

TEST(Member, DeadHostIsRemovedEverywhereInTwoSeconds)
{
	std::vector<double> times;

	for (uint64_t seed = 1; seed <= 3; seed++) {
		VirtualMesh mesh(NODES, ZONES, seed);

		ASSERT_TRUE(start_converged(mesh));
		mesh.run(1000);
		for (int round = 0; round < 10; round++) {
			int failed_host = (int)rng_below(&mesh.rng, NODES);
			std::vector<bool> seen(NODES, false);
			uint64_t failed_at;

			mesh.run(rng_below(&mesh.rng, 300));
			mesh.kill(failed_host);
			failed_at = mesh.now;
			mesh.on_change = [&](int of, int member, const member_t &record) {
				if (member != failed_host ||
				    record.state != MEMBER_DOWN || seen[(size_t)of])
					return;
				seen[(size_t)of] = true;
				times.push_back(
				    (double)(mesh.now - failed_at) / (double)MS);
			};
			mesh.run(5000);
			EXPECT_EQ(std::count(seen.begin(), seen.end(), true), NODES - 1);
			mesh.on_change = [](int, int, const member_t &) {};
			mesh.start(failed_host);
			ASSERT_TRUE(mesh.run(5000, [&] { return mesh.is_converged(); }));
		}
	}
	printf("dead host removed: p50 %.0f ms, p99 %.0f ms, worst %.0f ms\n",
	    percentile(times, 0.5), percentile(times, 0.99), percentile(times, 1));
	EXPECT_LT(percentile(times, 0.99), 2000);
}

TEST(Member, NoLiveNodeIsRemovedUnderLoss)
{
	uint64_t seeds = environment("MASTICPITCH_SEEDS", 1);
	uint64_t first = environment("MASTICPITCH_FIRST_SEED", 1);
	uint64_t seconds = environment("MASTICPITCH_SECONDS", 30);
	uint64_t removed = 0, unreachable = 0, suspicions = 0;

	for (uint64_t seed = first; seed < first + seeds; seed++) {
		VirtualMesh mesh(NODES, ZONES, seed);

		ASSERT_TRUE(start_converged(mesh));
		mesh.loss = 0.05;
		mesh.on_change = [&](int, int, const member_t &record) {
			removed += record.state == MEMBER_DOWN;
			unreachable += !record.reachable;
		};
		mesh.run(seconds * 1000);
		for (auto &node : mesh.nodes) {
			member_statistics_t statistics;

			member_table_statistics(node.table, &statistics);
			suspicions += statistics.suspicions;
		}
	}
	printf("5%% loss, %llu seeds of %llu s: suspicions %llu, removals %llu, "
	       "unreachable %llu\n",
	    (unsigned long long)seeds, (unsigned long long)seconds,
	    (unsigned long long)suspicions, (unsigned long long)removed,
	    (unsigned long long)unreachable);
	EXPECT_EQ(removed, 0u);
}

TEST(Member, MemberThatOthersReachIsNotRemovedByOneMonitor)
{
	VirtualMesh mesh(40, 2, 14);
	uint64_t removed = 0;
	member_statistics_t statistics;

	ASSERT_TRUE(start_converged(mesh));
	mesh.on_change = [&](int, int, const member_t &record) {
		removed += record.state == MEMBER_DOWN;
	};
	// Node 2 reaches only half of its zone's members; all other pairs are connected.
	mesh.is_cut = [](int a, int b) {
		return (a == 2 && b % 4 == 0) || (b == 2 && a % 4 == 0);
	};
	mesh.run(30000);
	member_table_statistics(mesh.nodes[2].table, &statistics);
	EXPECT_GT(statistics.suspicions, 0u);
	EXPECT_EQ(removed, 0u);
}

TEST(Member, HalfOfTheNodesKilledAndRestarted)
{
	for (uint64_t seed = 1; seed <= 2; seed++) {
		VirtualMesh mesh(NODES, ZONES, seed);
		std::vector<int> order;

		ASSERT_TRUE(start_converged(mesh));
		for (int i = 0; i < NODES; i++)
			order.push_back(i);
		for (size_t i = NODES - 1; i > 0; i--)
			std::swap(order[i], order[rng_below(&mesh.rng, i + 1)]);
		for (int i = 0; i < NODES / 2; i++)
			mesh.kill(order[(size_t)i]);
		uint64_t killed = mesh.now;
		ASSERT_TRUE(mesh.run(5000, [&] { return mesh.is_converged(); }));
		uint64_t back = mesh.now;
		for (int i = 0; i < NODES / 2; i++)
			mesh.start(order[(size_t)i]);
		ASSERT_TRUE(mesh.run(5000, [&] { return mesh.is_converged(); }));
		printf("seed %llu: half removed in %llu ms, back in %llu ms\n",
		    (unsigned long long)seed, (unsigned long long)((back - killed) / MS),
		    (unsigned long long)((mesh.now - back) / MS));
	}
}

TEST(Member, HalfOfTheNodesRestartedSimultaneously)
{
	VirtualMesh mesh(NODES, ZONES, 3);

	ASSERT_TRUE(start_converged(mesh));
	for (int i = 0; i < NODES; i += 2)
		mesh.start(i);
	uint64_t start = mesh.now;
	ASSERT_TRUE(mesh.run(5000, [&] { return mesh.is_converged(); }));
	printf("restarted half: equal in %llu ms\n",
	    (unsigned long long)((mesh.now - start) / MS));
}

TEST(Member, PartitionedZoneIsUnreachableButKeptAndReturns)
{
	VirtualMesh mesh(NODES, ZONES, 4);
	uint64_t removed = 0;

	ASSERT_TRUE(start_converged(mesh));
	mesh.on_change = [&](int, int, const member_t &record) {
		removed += record.state == MEMBER_DOWN;
	};
	mesh.is_cut = [&](int a, int b) {
		return (mesh.nodes[(size_t)a].zone == 0) !=
		       (mesh.nodes[(size_t)b].zone == 0);
	};
	mesh.run(3000);
	for (auto &node : mesh.nodes) {
		member_statistics_t statistics;

		member_table_statistics(node.table, &statistics);
		EXPECT_EQ(statistics.zones_unreachable, node.zone == 0 ? 4u : 1u);
	}
	EXPECT_EQ(removed, 0u);
	// Both sides change during the partition.
	mesh.on_change = [](int, int, const member_t &) {};
	mesh.kill(5);
	mesh.kill(6);
	instance_t instance = {INSTANCE_READY, "katalogo", 10, 110, 1};
	mesh.perform_on(10, [&](member_table_t *table, list_t *actions) {
		member_set_instance(table, &instance, mesh.now, actions);
	});
	mesh.run(30000);
	mesh.start(5);
	mesh.start(6);
	mesh.run(27000);
	mesh.is_cut = [](int, int) { return false; };
	uint64_t healed = mesh.now;
	ASSERT_TRUE(mesh.run(3000, [&] { return mesh.is_converged(); }));
	EXPECT_EQ(mesh.find(1, 10)->instance.state, INSTANCE_READY);
	printf("zone healed: converged in %llu ms\n",
	    (unsigned long long)((mesh.now - healed) / MS));
}

TEST(Member, PartitionInsideTheZonesHeals)
{
	// Each side declares the members of the other one down although they are alive.
	VirtualMesh mesh(40, 2, 5);

	ASSERT_TRUE(start_converged(mesh));
	mesh.is_cut = [&](int a, int b) { return (a / 2 % 2) != (b / 2 % 2); };
	mesh.run(10000);
	EXPECT_EQ(mesh.view(0, 2), MEMBER_DOWN);
	mesh.is_cut = [](int, int) { return false; };
	EXPECT_TRUE(mesh.run(10000, [&] { return mesh.is_converged(); }));
}

TEST(Member, LeavingReachesAllInTwoSecondsAndIsNotUndone)
{
	VirtualMesh mesh(NODES, ZONES, 6);
	std::set<int> seen;
	bool undone = false;

	ASSERT_TRUE(start_converged(mesh));
	mesh.loss = 0.05;
	mesh.on_change = [&](int of, int member, const member_t &record) {
		if (member != 7)
			return;
		if (record.state == MEMBER_LEAVING)
			seen.insert(of);
		else
			undone = undone || seen.count(of) > 0;
	};
	mesh.perform_on(7, [&](member_table_t *table, list_t *actions) {
		member_leave(table, mesh.now, actions);
	});
	uint64_t left = mesh.now;
	ASSERT_TRUE(mesh.run(2000, [&] { return seen.size() == NODES; }));
	printf("leaving known everywhere in %llu ms\n",
	    (unsigned long long)((mesh.now - left) / MS));
	mesh.run(5000);
	EXPECT_FALSE(undone);
	// Wrongly declared down, it refutes and is still leaving.
	instance_t instance = {INSTANCE_LEAVING, "pamigay", 10, 110, 2};
	uint64_t before = mesh.find(9, 7)->incarnation;
	mesh.perform_on(8, [&](member_table_t *table, list_t *actions) {
		member_request_refutation(
		    table, &mesh.nodes[7].address, before, mesh.now, actions);
	});
	mesh.perform_on(7, [&](member_table_t *table, list_t *actions) {
		member_set_instance(table, &instance, mesh.now, actions);
	});
	mesh.run(3000);
	EXPECT_GT(mesh.find(9, 7)->incarnation, before);
	EXPECT_EQ(mesh.view(9, 7), MEMBER_LEAVING);
	EXPECT_EQ(mesh.find(9, 7)->instance.state, INSTANCE_LEAVING);
}

static void
set_instance(VirtualMesh &mesh, int node, instance_state_t state, uint64_t started_ms,
    uint64_t departed_ms)
{
	mesh.perform_on(node, [&](member_table_t *table, list_t *actions) {
		instance_t instance = {
		    state, "katalogo", 8, 100, 1, started_ms, departed_ms};

		member_set_instance(table, &instance, mesh.now, actions);
	});
}

// DRAIN: a node is killed 0.3 s after its backend server has left, is started again and
// announces the server as ready, since it has got a late announcement.
TEST(Member, DepartureOutlivesARestartOfItsNode)
{
	const int node = 7;

	for (uint64_t seed = 1; seed <= 20; seed++) {
		VirtualMesh mesh(60, 3, seed);
		std::set<int> revived, used;

		ASSERT_TRUE(start_converged(mesh));
		mesh.loss = 0.05;
		set_instance(mesh, node, INSTANCE_READY, 1000, 0);
		mesh.run(2000);
		set_instance(mesh, node, INSTANCE_LEAVING, 1000, 1000);
		mesh.run(300);
		mesh.kill(node);
		mesh.run(500);
		// Knows of the departure only from the others.
		mesh.start(11);
		mesh.start(node);
		mesh.on_change = [&](int of, int member, const member_t &record) {
			if (member == node && of != node &&
			    record.instance.state == INSTANCE_READY)
				(record.instance.started_ms == 1000 ? revived : used)
				    .insert(of);
		};
		ASSERT_TRUE(mesh.run(2000, [&] {
			return member_self(mesh.nodes[node].table)->departed_ms == 1000;
		})) << seed;
		set_instance(mesh, node, INSTANCE_READY, 1000, 0);
		mesh.run(5000);
		EXPECT_TRUE(revived.empty()) << seed;
		set_instance(mesh, node, INSTANCE_READY, 2000, 0);
		mesh.run(5000);
		EXPECT_EQ(used.size(), 59u) << seed;
		EXPECT_TRUE(mesh.is_converged()) << seed;
	}
}

// DRAIN: the same for nodes that were cut off while the server left.
TEST(Member, DepartureReachesNodesThatWereCutOff)
{
	VirtualMesh mesh(20, 2, 5);

	ASSERT_TRUE(start_converged(mesh));
	set_instance(mesh, 4, INSTANCE_READY, 1000, 0);
	mesh.run(2000);
	mesh.is_cut = [](int a, int b) { return a % 2 != b % 2; };
	set_instance(mesh, 4, INSTANCE_LEAVING, 1000, 1000);
	mesh.run(3000);
	mesh.start(4);
	set_instance(mesh, 4, INSTANCE_READY, 1000, 0);
	mesh.run(1000);
	mesh.is_cut = [](int, int) { return false; };
	ASSERT_TRUE(mesh.run(10000, [&] {
		for (int i = 0; i < 20; i++) {
			if (mesh.find(i, 4)->departed_ms != 1000)
				return false;
		}
		return mesh.is_converged();
	}));
}

TEST(Member, RestartWithAnOlderClockIsAccepted)
{
	VirtualMesh mesh(20, 2, 7);

	ASSERT_TRUE(start_converged(mesh));
	// Raises the incarnation as if the earlier start had a clock far ahead.
	mesh.perform_on(3, [&](member_table_t *table, list_t *actions) {
		instance_t instance = {INSTANCE_READY, "katalogo", 1, 1, 9};

		member_set_instance(table, &instance, mesh.now, actions);
	});
	mesh.perform_on(4, [&](member_table_t *table, list_t *actions) {
		member_request_refutation(table, &mesh.nodes[3].address,
		    member_self(table)->incarnation + 1000000000, mesh.now, actions);
	});
	mesh.run(2000);
	uint64_t ahead = mesh.find(5, 3)->incarnation;
	EXPECT_GT(ahead, member_self(mesh.nodes[4].table)->incarnation + 999999999);
	mesh.start(3);
	EXPECT_LT(member_self(mesh.nodes[3].table)->incarnation, ahead);
	ASSERT_TRUE(mesh.run(5000,
	    [&] { return mesh.is_converged() && mesh.find(5, 3)->incarnation > ahead; }));
	EXPECT_EQ(mesh.find(5, 3)->instance.state, INSTANCE_NONE);
}

TEST(Member, DelayedRecordOfAnEarlierStartIsIgnored)
{
	VirtualMesh mesh(20, 2, 13);
	chunk_t *old_start = NULL;

	// The first datagram of the first start contains its own record.
	mesh.on_action = [&](int of, const member_action_t *action) {
		if (of == 3 && action->type == MEMBER_ACTION_SEND && old_start == NULL)
			old_start = chunk_hold(action->payload);
	};
	ASSERT_TRUE(start_converged(mesh));
	ASSERT_NE(old_start, nullptr);
	mesh.run(100);
	mesh.start(3);
	ASSERT_TRUE(mesh.run(5000, [&] { return mesh.is_converged(); }));
	uint64_t newest = mesh.find(5, 3)->incarnation;
	mesh.perform_on(5, [&](member_table_t *table, list_t *actions) {
		member_receive(table, &mesh.nodes[3].address, old_start->data,
		    old_start->size, mesh.now, actions);
	});
	EXPECT_EQ(mesh.find(5, 3)->incarnation, newest);
	mesh.run(2000);
	for (int i = 0; i < 20; i++)
		EXPECT_GE(mesh.find(i, 3)->incarnation, newest);
	chunk_release(old_start);
}

TEST(Member, OlderIncarnationNeverReplacesANewerOne)
{
	VirtualMesh mesh(60, 3, 8);
	std::map<std::pair<int, int>, uint64_t> highest;
	bool back = false;

	mesh.on_change = [&](int of, int member, const member_t &record) {
		uint64_t &known = highest[{of, member}];

		back = back || record.incarnation < known;
		known = record.incarnation;
	};
	ASSERT_TRUE(start_converged(mesh));
	mesh.loss = 0.1;
	for (int round = 0; round < 20; round++) {
		int i = (int)rng_below(&mesh.rng, 60);

		for (int j = 0; j < 60; j++)
			highest.erase({i, j});
		mesh.start(i);
		mesh.run(300);
	}
	mesh.loss = 0;
	EXPECT_TRUE(mesh.run(10000, [&] { return mesh.is_converged(); }));
	EXPECT_FALSE(back);
}

TEST(Member, NewVersionReachesAllAndRestartedNodeReceivesItsFloor)
{
	VirtualMesh mesh(50, 5, 9);
	std::set<int> received;
	uint64_t floor = 0;

	ASSERT_TRUE(start_converged(mesh));
	mesh.on_action = [&](int of, const member_action_t *action) {
		if (action->type != MEMBER_ACTION_VERSION_RECEIVED)
			return;
		if (action->u.version.version == 12)
			received.insert(of);
		if (of == 4)
			floor = std::max(floor, action->u.version.floor);
	};
	for (int i = 0; i < 50; i++)
		mesh.perform_on(i, [&](member_table_t *table, list_t *actions) {
			member_set_version(table, 12, mesh.now, actions);
		});
	mesh.run(5000);
	EXPECT_EQ(received.size(), 50u);
	mesh.start(4);
	floor = 0;
	mesh.run(3000);
	EXPECT_EQ(floor, 12u);
}

TEST(Member, CrashReportsReachEveryNodeOnce)
{
	VirtualMesh mesh(50, 5, 10);
	std::map<int, int> reports;
	member_crash_report_t report = {77, 88, false};

	ASSERT_TRUE(start_converged(mesh));
	mesh.on_action = [&](int of, const member_action_t *action) {
		if (action->type == MEMBER_ACTION_CRASH_REPORT) {
			EXPECT_EQ(action->u.crash_report.fingerprint, 77u);
			reports[of]++;
		}
	};
	mesh.perform_on(0, [&](member_table_t *table, list_t *actions) {
		member_report_crash(table, &report, mesh.now, actions);
	});
	mesh.run(2000);
	EXPECT_EQ(reports.size(), 49u);
	for (auto [of, count] : reports)
		EXPECT_EQ(count, 1);
}

TEST(Member, IsolatedNodeRequestsJoinAddressesAndUsesThem)
{
	VirtualMesh mesh(5, 1, 11);
	int needed = 0;

	mesh.on_action = [&](int, const member_action_t *action) {
		needed += action->type == MEMBER_ACTION_JOIN_NEEDED;
	};
	// Node 4 starts first; the seeds are nodes 0 to 2, which are not running.
	mesh.start(4);
	mesh.run(900);
	EXPECT_EQ(needed, 0);
	mesh.run(200);
	EXPECT_EQ(needed, 1);
	mesh.start(3);
	mesh.perform_on(4, [&](member_table_t *table, list_t *) {
		member_add_join_address(table, &mesh.nodes[3].address, false, mesh.now);
	});
	EXPECT_TRUE(mesh.run(2000, [&] { return mesh.is_converged(); }));
}

TEST(Member, DatagramsStayWithinTheirSizeAndSpoofedOnesAreRefused)
{
	VirtualMesh mesh(100, 2, 12);
	size_t longest = 0;
	uint8_t noise[64] = {8, 99, 255, 1};
	list_t actions;

	mesh.on_action = [&](int, const member_action_t *action) {
		if (action->type == MEMBER_ACTION_SEND)
			longest = std::max(longest, action->payload->size);
	};
	mesh.start_all();
	mesh.run(500);
	for (int i = 0; i < 100; i++) {
		instance_t instance = {INSTANCE_READY,
		    "a-service-with-a-name-that-has-sixty-four-characters-in-it-xxxxx",
		    10, 110, 1};
		mesh.perform_on(i, [&](member_table_t *table, list_t *list) {
			member_set_instance(table, &instance, mesh.now, list);
		});
	}
	ASSERT_TRUE(mesh.run(10000, [&] { return mesh.is_converged(); }));
	EXPECT_LE(longest, (size_t)MEMBER_DATAGRAM_MAX);
	EXPECT_GT(longest, (size_t)MEMBER_DATAGRAM_MAX / 2);
	list_init(&actions);
	EXPECT_NE(member_receive(mesh.nodes[0].table, &mesh.nodes[1].address, noise,
		      sizeof(noise), mesh.now, &actions),
	    0);
	// A datagram whose source address does not match its node id.
	chunk_t *content = NULL;
	mesh.on_action = [&](int of, const member_action_t *action) {
		if (of == 1 && action->type == MEMBER_ACTION_SEND && content == NULL)
			content = chunk_hold(action->payload);
	};
	ASSERT_TRUE(mesh.run(1000, [&] { return content != NULL; }));
	EXPECT_NE(member_receive(mesh.nodes[0].table, &mesh.nodes[2].address,
		      content->data, content->size, mesh.now, &actions),
	    0);
	EXPECT_TRUE(list_is_empty(&actions));
	chunk_release(content);
}

// Time until every node has heard of a new version by membership datagrams alone, if each
// node that hears of it has it in force 250 ms later (a pull of a large version on a
// narrow link). Guards against hosts that miss all announcements and learn of a version
// too late to have it in force in time; the bounds are those of docs/design.md section 6.
// Guards against asks and grants that do not fit into a datagram, or lose a field.
TEST(Member, QuotaItemsArriveInOneDatagram)
{
	VirtualMesh mesh(3, 1, 1);
	std::vector<member_quota_t> items, received;
	std::vector<member_action_type_t> types;
	uint64_t datagrams;

	mesh.start_all();
	ASSERT_TRUE(mesh.run(10000, [&] { return mesh.is_converged(); }));
	mesh.on_action = [&](int i, const member_action_t *action) {
		if (action->type != MEMBER_ACTION_QUOTA_ASK &&
		    action->type != MEMBER_ACTION_QUOTA_GRANT)
			return;
		EXPECT_EQ(i, 1);
		EXPECT_EQ(action->node, mesh.id(0));
		types.push_back(action->type);
		received.push_back(action->u.quota);
	};
	for (uint32_t i = 0; i < MEMBER_QUOTA_ITEMS_MAX; i++)
		items.push_back({~UINT64_C(0) - i, UINT32_MAX - i, UINT32_MAX - i, true});
	for (bool grants : {false, true}) {
		received.clear();
		types.clear();
		datagrams = mesh.nodes[0].datagrams;
		mesh.perform_on(0, [&](member_table_t *table, list_t *actions) {
			EXPECT_TRUE(member_send_quota(table, mesh.id(1), grants,
			    items.data(), items.size(), mesh.now, actions));
			EXPECT_FALSE(member_send_quota(table, mesh.id(1), grants,
			    items.data(), MEMBER_QUOTA_ITEMS_MAX + 1, mesh.now, actions));
			EXPECT_FALSE(member_send_quota(
			    table, 12345, grants, items.data(), 1, mesh.now, actions));
		});
		EXPECT_EQ(mesh.nodes[0].datagrams, datagrams + 1);
		mesh.run(100);
		ASSERT_EQ(received.size(), items.size());
		for (size_t i = 0; i < items.size(); i++) {
			EXPECT_EQ(types[i],
			    grants ? MEMBER_ACTION_QUOTA_GRANT : MEMBER_ACTION_QUOTA_ASK);
			EXPECT_EQ(received[i].workspace, items[i].workspace);
			EXPECT_EQ(received[i].tokens, items[i].tokens);
			EXPECT_EQ(received[i].retry_ms, grants ? items[i].retry_ms : 0u);
			EXPECT_EQ(received[i].hold, grants);
		}
	}
}

TEST(Member, VersionIsHeardWithoutAnnouncements)
{
	const struct {
		size_t nodes;
		int zones;
		uint64_t bound_ms;
	} meshes[] = {{87, 3, 2000}, {300, 5, 2300}, {1900, 5, 3000}};
	uint64_t largest = environment("MASTICPITCH_NODES", 300);

	for (const auto &size : meshes) {
		for (double loss : {0.0, 0.05}) {
			if (size.nodes > largest)
				continue;
			VirtualMesh mesh(size.nodes, size.zones, 11);
			std::vector<uint64_t> heard_at(size.nodes, 0);
			std::multimap<uint64_t, int> adopted_at;
			uint64_t start, last = 0;
			size_t heard = 1;

			ASSERT_TRUE(start_converged(mesh));
			mesh.run(2000);
			mesh.loss = loss;
			mesh.on_action = [&](int of, const member_action_t *action) {
				if (action->type != MEMBER_ACTION_VERSION_RECEIVED ||
				    action->u.version.version != 12 ||
				    heard_at[(size_t)of] != 0)
					return;
				heard_at[(size_t)of] = last = mesh.now;
				heard++;
				adopted_at.insert({mesh.now + 250 * MS, of});
			};
			start = heard_at[0] = mesh.now;
			adopted_at.insert({start, 0});
			while (heard < size.nodes && mesh.now < start + 10 * NS_PER_S) {
				while (!adopted_at.empty() &&
				       adopted_at.begin()->first <= mesh.now) {
					int node = adopted_at.begin()->second;

					adopted_at.erase(adopted_at.begin());
					mesh.perform_on(node,
					    [&](member_table_t *table, list_t *actions) {
						    member_set_version(
							table, 12, mesh.now, actions);
					    });
				}
				mesh.run(5);
			}
			EXPECT_EQ(heard, size.nodes);
			EXPECT_LE((last - start) / MS, size.bound_ms)
			    << size.nodes << " nodes, loss " << loss;
			printf("%zu nodes, loss %.2f: all have heard after %lu ms\n",
			    size.nodes, loss, (last - start) / MS);
		}
	}
}
