// Guards against short answers that wait behind long bodies, a link that is idle while
// bodies are queued, and calls that are accepted although their long answers cannot be
// sent in time.
#include "link.h"
#include "os.h"

#include <algorithm>
#include <deque>
#include <gtest/gtest.h>

namespace
{

const double MBPS = 5;
const double BYTES_PER_NS = MBPS * 1e6 / 8 / 1e9;
const size_t LONG_BYTES = 90 * 1024;
const size_t SHORT_BYTES = 700;

// A link that transmits in order at its rate.
struct Wire {
	uint64_t free_at = 0;

	uint64_t
	send(size_t bytes, uint64_t now)
	{
		free_at =
		    std::max(free_at, now) + (uint64_t)((double)bytes / BYTES_PER_NS);
		return free_at;
	}
};

// Load: 40 long answers are ready at the start, and 100 short ones a second follow.
// Returns the longest delay of a short answer, ns.
uint64_t
longest_short_delay(double mbps, uint64_t *long_done)
{
	link_shaper_t link;
	Wire wire;
	uint64_t now = NS_PER_S, longest = 0, next_short = now;
	size_t left = 40 * LONG_BYTES;

	link_init(&link, mbps, now);
	for (; left > 0 || now < wire.free_at; now += NS_PER_MS) {
		if (now >= next_short) {
			link_consume(&link, SHORT_BYTES, false, now);
			longest = std::max(longest, wire.send(SHORT_BYTES, now) - now);
			next_short += 10 * NS_PER_MS;
		}
		while (left > 0 && link_admits(&link, now, nullptr)) {
			size_t piece = std::min(left, link_piece_bytes(&link));

			link_consume(&link, piece, true, now);
			wire.send(piece, now);
			left -= piece;
		}
	}
	*long_done = now - NS_PER_S;
	return longest;
}

// Guards against internal calls that time out behind downloads on a narrow link.
TEST(Link, ShortAnswersOvertakeLongBodies)
{
	uint64_t paced_done, naive_done;
	uint64_t paced = longest_short_delay(MBPS, &paced_done);
	uint64_t naive = longest_short_delay(0, &naive_done);

	/* One piece, the burst and the answer's own bytes. */
	EXPECT_LT(paced, 2 * (LINK_PIECE_MS + LINK_BURST_MS) * NS_PER_MS);
	EXPECT_GT(naive, 5 * NS_PER_S);
	/* The long bodies use the bandwidth that the short frames leave. */
	EXPECT_LT((double)paced_done, (double)naive_done * 1.35);
}

// Guards against a link that stays idle long after short frames exceeded its rate.
TEST(Link, DebtOfShortFramesIsBounded)
{
	link_shaper_t link;
	uint64_t now = NS_PER_S, ready_at = 0;

	link_init(&link, MBPS, now);
	link_consume(&link, 10 * 1000 * 1000, false, now);
	EXPECT_FALSE(link_admits(&link, now, &ready_at));
	EXPECT_LE(ready_at, now + (LINK_DEBT_MAX_MS + 1) * NS_PER_MS);
}

// A sender that was refused sets its timer some microseconds later, when the link may be
// free again. Guards against a second look that finds no reason for a timer, after which
// the rest of a long body waits for the next unrelated event.
TEST(Link, RefusalGivesTheTimeToWakeUpAt)
{
	for (uint64_t late_us = 0; late_us < 100; late_us++) {
		link_shaper_t link;
		uint64_t now = NS_PER_S, ready_at = 0, later = now + late_us * NS_PER_US;

		link_init(&link, MBPS, now);
		link_consume(&link, 28, true, now); // 50 us at the paced rate
		ASSERT_FALSE(link_admits(&link, now, &ready_at));
		EXPECT_GT(ready_at, now);
		EXPECT_LT(ready_at, now + 100 * NS_PER_US);
		EXPECT_EQ(link_admits(&link, later, nullptr), later >= ready_at);
	}
}

TEST(Link, WithoutARateNothingIsDelayed)
{
	link_shaper_t link;

	link_init(&link, 0, 0);
	link_consume(&link, 1 << 30, true, 0);
	EXPECT_TRUE(link_admits(&link, 0, nullptr));
	EXPECT_EQ(link_wait_us(&link, 0), 0u);
	EXPECT_FALSE(link_refuses(&link, 1 << 30, 1, 2, 0));
}

// Load: downloads arrive at twice the rate of the link. Guards against all of them
// being late because running calls are not counted before their answers arrive.
TEST(Link, CallsAreRefusedWhenTheirAnswersWouldBeLate)
{
	link_shaper_t link;
	std::deque<uint64_t> accepted_targets;
	uint64_t now = NS_PER_S, sent = 0;
	int refused = 0, late = 0, served = 0;

	link_init(&link, MBPS, now);
	for (int ms = 0; ms < 20000; ms++, now += NS_PER_MS) {
		uint64_t target = now + 800 * NS_PER_MS;

		if (ms % 65 == 0) {
			if (link_refuses(
				&link, LONG_BYTES, target, now + 3 * NS_PER_S, now)) {
				refused++;
			} else {
				accepted_targets.push_back(target);
				link_backlog_add(&link, LONG_BYTES);
			}
		}
		while (!accepted_targets.empty() && link_admits(&link, now, nullptr)) {
			size_t piece =
			    std::min(LONG_BYTES - sent, link_piece_bytes(&link));

			link_consume(&link, piece, true, now);
			link_backlog_remove(&link, piece);
			sent += piece;
			if (sent < LONG_BYTES)
				continue;
			sent = 0;
			late += now > accepted_targets.front();
			served++;
			accepted_targets.pop_front();
		}
	}
	EXPECT_EQ(late, 0);
	EXPECT_GT(refused, 100);
	/* The link is fully used despite the refusals. */
	EXPECT_GT(served * (double)LONG_BYTES, 0.95 * 20e9 * link.rate);
}

} // namespace
