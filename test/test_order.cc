// Tests who is served when room is short: the queue of one gate under patterns of load
// of the deployments, in virtual time. Each request needs a slot for a fixed time.
#include "order.h"

#include "queue.h"
#include "util.h"

#include <deque>
#include <gtest/gtest.h>
#include <map>
#include <queue>
#include <vector>

namespace
{

const uint64_t START = 100 * NS_PER_S;
const uint64_t RUN_NS = 110 * NS_PER_MS;
const uint32_t SLOTS = 8;
const double RATE = SLOTS / 0.110; // calls a second that the slots can run

// Requests of one kind that arrive at equal intervals.
struct flow_t {
	uint32_t rank;
	route_class_t route_class;
	uint64_t workspace;
	double rate; // a second
	uint64_t target_ms;
	uint64_t deadline_ms;
	uint32_t offered = 0, in_time = 0;
};

class Order : public testing::Test
{
      protected:
	queue_t queue;
	std::vector<flow_t> flows;
	// End of each running call, and its flow.
	std::priority_queue<std::pair<uint64_t, int>,
	    std::vector<std::pair<uint64_t, int>>, std::greater<std::pair<uint64_t, int>>>
	    running;
	std::deque<queue_item_t> items;
	std::map<queue_item_t *, int> flow_of;
	std::map<int, std::deque<uint64_t>> targets; // of running calls
	queue_capacity_t capacity = {SLOTS, SLOTS, 0, 0};

	void
	SetUp() override
	{
		queue_init(&queue, 0, SLOTS, true);
	}

	void
	start(queue_item_t *item, uint64_t now)
	{
		int flow = flow_of[item];

		if (now + RUN_NS <= item->target || item->target == 0)
			flows[flow].in_time++;
		running.push({now + RUN_NS, flow});
	}

	void
	fill(uint64_t now)
	{
		queue_item_t *item;
		reason_t reason;

		while (queue_expire(&queue, now, &reason) != nullptr)
			continue;
		while (running.size() < SLOTS &&
		       (item = queue_pop(&queue, true, true, now)) != nullptr)
			start(item, now);
	}

	void
	arrive(int i, uint64_t now)
	{
		const flow_t &flow = flows[i];
		queue_item_t item = {};
		queue_item_t *shed;

		item.rank = flow.rank;
		item.route_class = flow.route_class;
		item.workspace = flow.workspace;
		item.deadline = now + flow.deadline_ms * NS_PER_MS;
		if (flow.target_ms > 0)
			item.target = now + flow.target_ms * NS_PER_MS;
		items.push_back(item);
		flow_of[&items.back()] = i;
		flows[i].offered++;
		if (running.size() < SLOTS && queue_length(&queue) == 0)
			start(&items.back(), now);
		else
			queue_push(&queue, &items.back(), capacity, now, &shed);
	}

	// Runs the flows for ten seconds.
	void
	run()
	{
		std::vector<double> next(flows.size(), 0);
		uint64_t now = START;

		for (int i = 0; i < ROUTE_CLASS_COUNT; i++)
			queue_service_record(&queue, (route_class_t)i, RUN_NS, now);
		for (; now < START + 10 * NS_PER_S; now += NS_PER_MS) {
			while (!running.empty() && running.top().first <= now) {
				route_class_t route_class =
				    flows[running.top().second].route_class;

				running.pop();
				queue_service_record(&queue, route_class, RUN_NS, now);
			}
			fill(now);
			for (size_t i = 0; i < flows.size(); i++) {
				next[i] += flows[i].rate / 1000;
				for (; next[i] >= 1; next[i]--)
					arrive((int)i, now);
			}
		}
	}

	double
	share(int i)
	{
		return (double)flows[i].in_time / flows[i].offered;
	}
};

// Guards against a burst of the least urgent requests that displaces the most urgent
// ones (donorlaiks-grown trouble-1: slot-view, priority 0, had the least credit).
TEST_F(Order, BurstOfTheLeastUrgentLeavesTheMostUrgentTheirRoom)
{
	flows = {{0, ROUTE_CALL, 0, 0.5 * RATE, 400, 1500},
	    {1, ROUTE_CALL, 0, 1.0 * RATE, 500, 2000},
	    {2, ROUTE_LOOKUP, 0, 1.3 * RATE, 2500, 5000}};
	run();
	EXPECT_GT(share(0), 0.95);
	EXPECT_GT(share(0), share(1));
}

// Guards against nested calls of an unimportant request that go before important
// requests, whoever needs them.
TEST_F(Order, NestedCallsOfTheLeastUrgentDoNotDisplaceTheMostUrgent)
{
	flows = {{0, ROUTE_CALL, 0, 0.6 * RATE, 400, 1500},
	    {2, ROUTE_INTERNAL, 0, 1.5 * RATE, 0, 300}};
	run();
	EXPECT_GT(share(0), 0.9);
}

// Guards against nested calls that wait behind new requests of their own rank: the work
// that waits for them is lost then.
TEST_F(Order, NestedCallsGoBeforeNewRequestsOfTheirRank)
{
	flows = {{1, ROUTE_INTERNAL, 0, 0.5 * RATE, 300, 300},
	    {1, ROUTE_CALL, 0, 1.5 * RATE, 500, 2000}};
	run();
	EXPECT_GT(share(0), 0.9);
}

// Guards against a workspace at six times its usual requests that takes the room of the
// others of its rank.
TEST_F(Order, WorkspaceAtSixTimesItsUsualLeavesTheOthersOfItsRankTheirRoom)
{
	double others = 0;

	flows = {{0, ROUTE_CALL, 1, 6 * 0.3 * RATE, 400, 1500}};
	for (uint64_t workspace = 2; workspace < 9; workspace++)
		flows.push_back({0, ROUTE_CALL, workspace, 0.08 * RATE, 400, 1500});
	run();
	for (int i = 1; i < 8; i++)
		others += share(i) / 7;
	EXPECT_GT(others, 0.8);
	EXPECT_GT(share(0), 0.1);
}

// Guards against many ranks taking all turns ahead of the most urgent: each waiting
// band was let ahead once in nine turns.
TEST_F(Order, ManyRanksKeepTheMostUrgentAhead)
{
	queue_item_t *shed;
	int urgent = 0;
	const auto add = [&](uint32_t rank) {
		queue_item_t item = {};

		item.rank = rank;
		item.route_class = ROUTE_CALL;
		item.deadline = START + NS_PER_S;
		items.push_back(item);
		ASSERT_EQ(queue_push(&queue, &items.back(), capacity, START, &shed),
		    REASON_NONE);
	};

	for (uint32_t rank = 0; rank < QUEUE_RANKS_MAX; rank++)
		add(rank);
	for (int turn = 0; turn < 900; turn++) {
		uint32_t rank = queue_pop(&queue, true, true, START)->rank;

		urgent += rank == 0;
		add(rank);
	}
	EXPECT_GE(urgent, 750);
	EXPECT_LT(urgent, 900);
}

// Guards against a late queue that is full of less urgent calls.
TEST_F(Order, TheLateQueueGivesUpTheLeastUrgent)
{
	queue_item_t late[SLOTS + 2] = {};
	queue_item_t *shed;

	queue_service_record(&queue, ROUTE_CALL, RUN_NS, START);
	for (uint32_t i = 0; i < SLOTS + 2; i++) {
		late[i].rank = i < SLOTS ? 2 : i == SLOTS ? 2 : 1;
		late[i].route_class = ROUTE_CALL;
		late[i].target = START + 1;
		late[i].deadline = START + NS_PER_S + i;
	}
	for (uint32_t i = 0; i < SLOTS; i++)
		ASSERT_EQ(
		    queue_push(&queue, &late[i], capacity, START, &shed), REASON_NONE);
	EXPECT_EQ(queue_push(&queue, &late[SLOTS], capacity, START, &shed),
	    REASON_TARGET_MISSED);
	EXPECT_EQ(
	    queue_push(&queue, &late[SLOTS + 1], capacity, START, &shed), REASON_NONE);
	EXPECT_EQ(shed, &late[SLOTS - 1]);
	EXPECT_EQ(queue_pop(&queue, true, true, START), &late[SLOTS + 1]);
}

// Guards against ranks beyond the queue's bound that are lost or served too early.
TEST_F(Order, FurtherRanksJoinTheNextLessUrgent)
{
	queue_item_t waiting[QUEUE_RANKS_MAX + 1] = {};
	queue_item_t *shed;

	for (uint32_t i = 0; i <= QUEUE_RANKS_MAX; i++) {
		waiting[i].rank = i < QUEUE_RANKS_MAX ? 10 * i : 15;
		waiting[i].route_class = ROUTE_CALL;
		waiting[i].deadline = START + NS_PER_S + i;
		ASSERT_EQ(
		    queue_push(&queue, &waiting[i], capacity, START, &shed), REASON_NONE);
	}
	for (uint32_t i : {0, 1, 2, (int)QUEUE_RANKS_MAX, 3})
		EXPECT_EQ(queue_pop(&queue, true, true, START), &waiting[i]);
	EXPECT_EQ(queue_length(&queue), QUEUE_RANKS_MAX - 4u);
}

TEST(OrderCompare, RankGoesBeforeClass)
{
	EXPECT_LT(order_key_compare({0, ROUTE_UPLOAD}, {1, ROUTE_INTERNAL}), 0);
	EXPECT_LT(order_key_compare({1, ROUTE_INTERNAL}, {1, ROUTE_CALL}), 0);
	EXPECT_LT(order_key_compare({1, ROUTE_CALL}, {1, ROUTE_LOOKUP}), 0);
	EXPECT_GT(order_key_compare({1, ROUTE_UPLOAD}, {1, ROUTE_LOOKUP}), 0);
	EXPECT_EQ(order_key_compare({3, ROUTE_CALL}, {3, ROUTE_CALL}), 0);
}

// Guards against refusals of one rank that are counted with those of another.
TEST(OrderBand, SplitsByWorkspaceThenRoute)
{
	const uint32_t workspace = PRESET_PRIORITY_MAX + 1;

	EXPECT_STREQ(order_band_text(order_band(0)), "0/0");
	EXPECT_STREQ(order_band_text(order_band(1)), "0/1");
	EXPECT_STREQ(order_band_text(order_band(PRESET_PRIORITY_MAX)), "0/2+");
	EXPECT_STREQ(order_band_text(order_band(workspace)), "1+/0");
	EXPECT_STREQ(order_band_text(order_band(5 * workspace + 1)), "1+/1");
	EXPECT_STREQ(
	    order_band_text(order_band(PRESET_PRIORITY_MAX * workspace + 7)), "1+/2+");
}

} // namespace
