// Tests the gate's queue: calls that cannot finish in time are refused, low classes do
// not starve, and each item leaves the queue exactly once.
#include "queue.h"

#include "util.h"

#include <algorithm>
#include <deque>
#include <gtest/gtest.h>
#include <set>
#include <vector>

namespace
{

const uint64_t START = 100 * NS_PER_S;

class Queue : public testing::Test
{
      protected:
	queue_t queue;
	std::deque<queue_item_t> items;
	uint64_t now = START;

	void
	SetUp() override
	{
		queue_init(&queue, 0, 10, true);
	}

	queue_item_t *
	make(route_class_t route_class, uint64_t deadline_ms)
	{
		queue_item_t item = {};

		item.route_class = route_class;
		item.deadline = now + deadline_ms * NS_PER_MS;
		items.push_back(item);
		return &items.back();
	}

	reason_t
	push(queue_item_t *item, queue_item_t **shed_item = nullptr)
	{
		queue_item_t *shed;
		reason_t reason = queue_push(&queue, item, {10, 10}, now, &shed);

		if (shed_item != nullptr)
			*shed_item = shed;
		else
			EXPECT_EQ(shed, nullptr);
		return reason;
	}
};

// Guards against urgent calls waiting behind less urgent ones.
TEST_F(Queue, OrderIsByClassThenDeadline)
{
	queue_item_t *upload = make(ROUTE_UPLOAD, 10);
	queue_item_t *lookup = make(ROUTE_LOOKUP, 10);
	queue_item_t *call_late = make(ROUTE_CALL, 30);
	queue_item_t *call_soon = make(ROUTE_CALL, 20);
	queue_item_t *internal = make(ROUTE_INTERNAL, 1000);

	for (queue_item_t *item : {upload, lookup, call_late, call_soon, internal})
		ASSERT_EQ(push(item), REASON_NONE);
	for (queue_item_t *item : {internal, call_soon, call_late, lookup, upload})
		EXPECT_EQ(queue_pop(&queue, true, true, now), item);
	EXPECT_EQ(queue_pop(&queue, true, true, now), nullptr);
}

// Guards against uploads and lookups never running while internal calls keep arriving.
TEST_F(Queue, LowClassesAreServedWithinABound)
{
	queue_item_t *waiting[] = {make(ROUTE_UPLOAD, 100000), make(ROUTE_LOOKUP, 100000),
	    make(ROUTE_CALL, 100000)};
	size_t served = 0;

	for (queue_item_t *item : waiting)
		ASSERT_EQ(push(item), REASON_NONE);
	for (int turn = 0; turn < 3 * (QUEUE_BYPASS_MAX + 2); turn++) {
		ASSERT_EQ(push(make(ROUTE_INTERNAL, 1000)), REASON_NONE);
		queue_item_t *item = queue_pop(&queue, true, true, now);
		served += std::count(std::begin(waiting), std::end(waiting), item);
	}
	EXPECT_EQ(served, 3u);
}

// Guards against the protection from starvation giving low classes more than a small
// share.
TEST_F(Queue, HighClassesKeepMostTurns)
{
	int internal = 0;

	ASSERT_EQ(push(make(ROUTE_UPLOAD, 10000)), REASON_NONE);
	for (int turn = 0; turn < 900; turn++) {
		ASSERT_EQ(push(make(ROUTE_INTERNAL, 10000)), REASON_NONE);
		if (queue_pop(&queue, true, true, now)->route_class == ROUTE_INTERNAL)
			internal++;
		else
			ASSERT_EQ(push(make(ROUTE_UPLOAD, 10000)), REASON_NONE);
		ASSERT_LT(queue_length(&queue), 40u);
		while (queue_length(&queue) > 10)
			queue_drain(&queue);
	}
	EXPECT_GE(internal, 700);
}

// Guards against queueing calls that cannot be served before their deadline.
TEST_F(Queue, ACallThatCannotFinishInTimeIsRefusedImmediately)
{
	for (int i = 0; i < 200; i++)
		queue_service_record(&queue, ROUTE_LOOKUP, 10 * NS_PER_MS, now);
	for (int i = 0; i < 30; i++)
		ASSERT_EQ(push(make(ROUTE_LOOKUP, 200)), REASON_NONE);
	// 31 calls of 10 ms on 10 slots and its own 10 ms: 41 ms.
	EXPECT_EQ(push(make(ROUTE_LOOKUP, 205)), REASON_NONE);
	EXPECT_EQ(push(make(ROUTE_UPLOAD, 30)), REASON_DEADLINE_TOO_SHORT);
	EXPECT_EQ(push(make(ROUTE_LOOKUP, 10)), REASON_DEADLINE_TOO_SHORT);
	EXPECT_EQ(push(make(ROUTE_LOOKUP, 0)), REASON_DEADLINE_PASSED);
	// Nothing is ahead of an internal call or of an earlier deadline.
	EXPECT_EQ(push(make(ROUTE_INTERNAL, 1)), REASON_NONE);
	EXPECT_EQ(push(make(ROUTE_LOOKUP, 12)), REASON_NONE);
}

// Guards against uploads and other classes blocking each other when only one of them
// may start.
TEST_F(Queue, AClassThatMayNotStartIsSkipped)
{
	queue_item_t *upload = make(ROUTE_UPLOAD, 100000);
	queue_item_t *lookup;

	ASSERT_EQ(push(upload), REASON_NONE);
	for (int turn = 0; turn < 2 * QUEUE_BYPASS_MAX; turn++) {
		ASSERT_EQ(push(lookup = make(ROUTE_LOOKUP, 1000)), REASON_NONE);
		EXPECT_EQ(queue_pop(&queue, false, true, now), lookup);
	}
	EXPECT_EQ(queue_pop(&queue, false, true, now), nullptr);
	ASSERT_EQ(push(lookup = make(ROUTE_LOOKUP, 1000)), REASON_NONE);
	EXPECT_EQ(queue_pop(&queue, true, false, now), upload);
	EXPECT_EQ(queue_pop(&queue, true, false, now), nullptr);
	EXPECT_EQ(queue_pop(&queue, false, true, now), lookup);
}

// Guards against refusing a lookup because of the duration of uploads, for which it
// does not wait, and against estimating an upload's wait with the capacity of the
// other classes.
TEST_F(Queue, TheExpectedWaitUsesTheCapacityOfEachClass)
{
	queue_capacity_t capacity = {.uploads = 2, .non_uploads = 10};

	queue_service_record(&queue, ROUTE_UPLOAD, 60 * NS_PER_S, now);
	queue_service_record(&queue, ROUTE_LOOKUP, 10 * NS_PER_MS, now);
	for (int i = 0; i < 3; i++) {
		ASSERT_EQ(push(make(ROUTE_UPLOAD, 1000000)), REASON_NONE);
		ASSERT_EQ(push(make(ROUTE_LOOKUP, 1000)), REASON_NONE);
	}
	EXPECT_EQ(queue_wait_expected(
		      &queue, {0, ROUTE_LOOKUP}, now + 2 * NS_PER_S, capacity, now),
	    4 * NS_PER_MS);
	EXPECT_EQ(queue_wait_expected(
		      &queue, {0, ROUTE_UPLOAD}, now + 2000 * NS_PER_S, capacity, now),
	    120 * NS_PER_S + 3 * NS_PER_MS);
}

// Guards against one slow phase after which every call is refused.
TEST_F(Queue, AnOutdatedServiceTimeDecays)
{
	queue_service_record(&queue, ROUTE_LOOKUP, 10 * NS_PER_S, now);
	EXPECT_EQ(push(make(ROUTE_LOOKUP, 100)), REASON_DEADLINE_TOO_SHORT);
	now += 20 * NS_PER_S;
	EXPECT_EQ(push(make(ROUTE_LOOKUP, 100)), REASON_NONE);
	now += 1000 * NS_PER_S;
	EXPECT_EQ(push(make(ROUTE_LOOKUP, 1)), REASON_NONE);
}

// Guards against a full queue keeping less urgent calls instead of more urgent ones.
TEST_F(Queue, AFullQueueShedsTheLowestPriority)
{
	queue_item_t *shed;
	queue_item_t *last = make(ROUTE_LOOKUP, 5000);

	ASSERT_EQ(push(last), REASON_NONE);
	for (int i = 0; i < 39; i++)
		ASSERT_EQ(push(make(ROUTE_LOOKUP, 1000)), REASON_NONE);
	EXPECT_EQ(push(make(ROUTE_LOOKUP, 9000), &shed), REASON_QUEUE_FULL);
	EXPECT_EQ(shed, nullptr);
	EXPECT_EQ(push(make(ROUTE_INTERNAL, 9000), &shed), REASON_NONE);
	EXPECT_EQ(shed, last);
	EXPECT_FALSE(last->queued);
	EXPECT_EQ(queue_length(&queue), 40u);
}

// Guards against a flood of one class shedding all calls of the others.
TEST_F(Queue, AFloodLeavesEachClassItsShare)
{
	queue_item_t *shed;
	int uploads = 0;

	for (int i = 0; i < 4; i++)
		ASSERT_EQ(push(make(ROUTE_UPLOAD, 60000)), REASON_NONE);
	for (int i = 0; i < 200; i++)
		push(make(ROUTE_INTERNAL, 1000), &shed);
	while (queue_item_t *item = queue_drain(&queue))
		uploads += item->route_class == ROUTE_UPLOAD;
	EXPECT_EQ(uploads, 4);
}

// Guards against running calls whose deadline has passed or would pass before they
// end.
TEST_F(Queue, ItemsThatCannotFinishInTimeExpire)
{
	reason_t reason = REASON_NONE;
	queue_item_t *soon = make(ROUTE_LOOKUP, 20);
	queue_item_t *late = make(ROUTE_CALL, 2000);

	ASSERT_EQ(push(soon), REASON_NONE);
	ASSERT_EQ(push(late), REASON_NONE);
	EXPECT_EQ(queue_next_deadline(&queue), soon->deadline);
	EXPECT_EQ(queue_expire(&queue, now, &reason), nullptr);
	queue_service_record(&queue, ROUTE_LOOKUP, 15 * NS_PER_MS, now);
	EXPECT_EQ(queue_expire(&queue, now + 10 * NS_PER_MS, &reason), soon);
	EXPECT_EQ(reason, REASON_DEADLINE_TOO_SHORT);
	EXPECT_EQ(queue_expire(&queue, late->deadline, &reason), late);
	EXPECT_EQ(reason, REASON_DEADLINE_PASSED);
	EXPECT_EQ(queue_next_deadline(&queue), TIME_NEVER);
}

// Guards against items that are lost, returned twice or left linked, over random
// sequences.
TEST_F(Queue, EveryItemLeavesExactlyOnce)
{
	rng_t rng;
	std::set<queue_item_t *> inside;
	reason_t reason;

	rng_init(&rng, 21);
	for (int step = 0; step < 50000; step++) {
		queue_item_t *item = nullptr, *shed = nullptr;

		now += rng_below(&rng, 2 * NS_PER_MS);
		switch (rng_below(&rng, 6)) {
		case 0:
			item = queue_pop(&queue, true, true, now);
			break;
		case 1:
			item = queue_expire(&queue, now, &reason);
			break;
		case 2:
			queue_service_record(&queue,
			    (route_class_t)rng_below(&rng, ROUTE_CLASS_COUNT),
			    rng_below(&rng, 20 * NS_PER_MS), now);
			continue;
		case 3:
			if (inside.empty())
				continue;
			item = *inside.begin();
			queue_remove(&queue, item);
			queue_remove(&queue, item);
			break;
		default:
			item = make((route_class_t)rng_below(&rng, ROUTE_CLASS_COUNT),
			    rng_below(&rng, 300));
			if (queue_push(&queue, item, {10, 10}, now, &shed) == REASON_NONE)
				inside.insert(item);
			ASSERT_EQ(item->queued, inside.count(item) == 1);
			item = shed;
			break;
		}
		if (item != nullptr) {
			ASSERT_EQ(inside.erase(item), 1u);
			ASSERT_FALSE(item->queued);
		}
		ASSERT_EQ(queue_length(&queue), inside.size());
		ASSERT_LE(queue_length(&queue), 40u);
	}
}

// Guards against a naive baseline that reorders, refuses by deadline or sheds, which
// would make it look better than it is.
TEST_F(Queue, NaiveIsFirstComeFirstServed)
{
	queue_init(&queue, 0, 10, false);
	queue_item_t *first = make(ROUTE_UPLOAD, 0);
	queue_item_t *second = make(ROUTE_INTERNAL, 1);

	ASSERT_EQ(push(first), REASON_NONE);
	now++;
	ASSERT_EQ(push(second), REASON_NONE);
	EXPECT_EQ(queue_pop(&queue, true, true, now + NS_PER_S), first);
	EXPECT_EQ(queue_pop(&queue, true, true, now + NS_PER_S), second);
}

// Guards against all calls waiting in order and being answered late under overload: on
// days with one and a half times the load 8,731 answers were late and 2,629 in time.
// Calls that can only be late wait in the late queue, for a short time and behind calls
// that can be in time.
TEST_F(Queue, SustainedOverloadKeepsAnswersInTime)
{
	uint32_t in_time = 0, late = 0, refused = 0;
	const uint64_t service_ns = 120 * NS_PER_MS;

	/* 10 slots run 83 calls of 120 ms per second; 125 arrive. */
	queue_service_record(&queue, ROUTE_LOOKUP, service_ns, now);
	for (int i = 0; i < 2000; i++) {
		queue_item_t *item = make(ROUTE_LOOKUP, 1500);
		reason_t reason;

		now += 8 * NS_PER_MS;
		item->deadline = now + 1500 * NS_PER_MS;
		item->target = now + 400 * NS_PER_MS;
		refused += push(item) != REASON_NONE;
		while (queue_expire(&queue, now, &reason) != nullptr)
			refused++;
		if (i % 3 == 2)
			continue;
		item = queue_pop(&queue, true, true, now);
		if (item == nullptr)
			continue;
		queue_service_record(&queue, ROUTE_LOOKUP, service_ns, now);
		if (now + service_ns <= item->target)
			in_time++;
		else
			late++;
	}
	EXPECT_GT(in_time, 1250u);
	EXPECT_LT(late, 20u);
	EXPECT_GT(refused, 600u);
}

// Guards against an idle gate refusing a call only because its target has passed.
TEST_F(Queue, LateCallsRunWhenNothingElseWaits)
{
	queue_item_t *late = make(ROUTE_LOOKUP, 1000);
	queue_item_t *fresh = make(ROUTE_LOOKUP, 1000);

	late->target = now - 1;
	fresh->target = now + 500 * NS_PER_MS;
	ASSERT_EQ(push(late), REASON_NONE);
	ASSERT_EQ(push(fresh), REASON_NONE);
	EXPECT_EQ(queue_pop(&queue, true, true, now), fresh);
	EXPECT_EQ(queue_pop(&queue, true, true, now), late);
	EXPECT_EQ(queue_length(&queue), 0u);
}

// Guards against late calls waiting until their deadline instead of being refused
// earlier.
TEST_F(Queue, LateCallsDoNotWaitForLong)
{
	queue_item_t *late = make(ROUTE_LOOKUP, 1000);
	reason_t reason;

	late->target = now - 1;
	ASSERT_EQ(push(late), REASON_NONE);
	EXPECT_EQ(queue_expire(&queue, now + 200 * NS_PER_MS, &reason), nullptr);
	EXPECT_EQ(queue_expire(&queue, now + 250 * NS_PER_MS, &reason), late);
	EXPECT_EQ(reason, REASON_TARGET_MISSED);
}

// Guards against a late call that starts its wait again each time its backend server
// names another rate limit, and is held for most of its time.
TEST_F(Queue, LateItemThatIsQueuedAgainIsGivenUpAtTheSameTime)
{
	queue_item_t *late = make(ROUTE_LOOKUP, 2400);
	uint64_t give_up_at = now + 2400 * NS_PER_MS / 100 * QUEUE_LATE_WAIT_PERCENT;
	reason_t reason;

	late->target = now - 1;
	ASSERT_EQ(push(late), REASON_NONE);
	now += 400 * NS_PER_MS;
	ASSERT_EQ(queue_drain(&queue), late);
	ASSERT_EQ(push(late), REASON_NONE);
	EXPECT_EQ(queue_expire(&queue, give_up_at - 1, &reason), nullptr);
	EXPECT_EQ(queue_expire(&queue, give_up_at, &reason), late);
	EXPECT_EQ(reason, REASON_TARGET_MISSED);
}

// Guards against a late queue without a bound.
TEST_F(Queue, TheLateQueueIsBounded)
{
	queue_item_t *item;

	for (int i = 0; i < 10 * QUEUE_LATE_PER_SLOT; i++) {
		item = make(ROUTE_LOOKUP, 1000);
		item->target = now - 1;
		ASSERT_EQ(push(item), REASON_NONE);
	}
	item = make(ROUTE_LOOKUP, 1000);
	item->target = now - 1;
	EXPECT_EQ(push(item), REASON_TARGET_MISSED);
}

// Guards against calls that wait at a rate limit until their deadlines, though it is
// known on arrival that their turn comes too late.
TEST_F(Queue, RateLimitCountsInTheExpectedWait)
{
	queue_capacity_t capacity = {10, 10, now + 50 * NS_PER_MS, 100 * NS_PER_MS};
	queue_item_t *shed;

	for (int i = 0; i < 3; i++)
		ASSERT_EQ(
		    queue_push(&queue, make(ROUTE_LOOKUP, 1000), capacity, now, &shed),
		    REASON_NONE);
	EXPECT_EQ(queue_wait_expected(
		      &queue, {0, ROUTE_LOOKUP}, now + 1000 * NS_PER_MS, capacity, now),
	    350 * NS_PER_MS);
	EXPECT_EQ(queue_push(&queue, make(ROUTE_LOOKUP, 300), capacity, now, &shed),
	    REASON_NONE);
	EXPECT_EQ(queue_push(&queue, make(ROUTE_UPLOAD, 400), capacity, now, &shed),
	    REASON_DEADLINE_TOO_SHORT);
	/* A call of a higher class does not wait for the lookups. */
	EXPECT_EQ(
	    queue_push(&queue, make(ROUTE_CALL, 60), capacity, now, &shed), REASON_NONE);
}

// Guards against late calls that are held for a quarter of their time at a rate limit
// that leaves no turn for them.
TEST_F(Queue, LateCallWithoutATurnAtTheRateLimitIsRefusedImmediately)
{
	queue_capacity_t capacity = {10, 10, now, 100 * NS_PER_MS};
	queue_item_t *shed;
	size_t late = 0;

	for (int i = 0; i < 4; i++)
		ASSERT_EQ(
		    queue_push(&queue, make(ROUTE_CALL, 1000), capacity, now, &shed),
		    REASON_NONE);
	for (int i = 0; i < 5; i++) {
		queue_item_t *item = make(ROUTE_LOOKUP, 2400);

		item->target = now + 300 * NS_PER_MS;
		late += queue_push(&queue, item, capacity, now, &shed) == REASON_NONE;
	}
	/* Given up after 600 ms: there is time for six turns, and four are taken. */
	EXPECT_EQ(late, 3u);
	EXPECT_EQ(queue_length(&queue), 7u);
}

} // namespace
