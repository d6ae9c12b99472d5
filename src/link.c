#include "link.h"

#include "os.h"
#include "util.h"

#include <math.h>

void
link_init(link_shaper_t *link, double mbps, uint64_t now)
{
	/* Mbit/s to bytes per ns. */
	double rate = mbps * 1e6 / 8 / (double)NS_PER_S;

	*link =
	    (link_shaper_t){.rate = rate * LINK_USED_PERCENT / 100, .refilled_at = now};
}

static void
link_refill(link_shaper_t *link, uint64_t now)
{
	double burst = link->rate * LINK_BURST_MS * (double)NS_PER_MS;

	if (now <= link->refilled_at)
		return;
	link->tokens =
	    MIN_OF(link->tokens + link->rate * (double)(now - link->refilled_at), burst);
	link->refilled_at = now;
}

bool
link_admits(link_shaper_t *link, uint64_t now, uint64_t *ready_at)
{
	if (link->rate <= 0)
		return true;
	link_refill(link, now);
	if (link->tokens >= 0)
		return true;
	if (ready_at != NULL)
		*ready_at = now + (uint64_t)(-link->tokens / link->rate) + 1;
	return false;
}

/* Adds bytes to an exponentially decaying average. */
static void
short_rate_record(link_shaper_t *link, size_t bytes, uint64_t now)
{
	double window = (double)LINK_SHORT_WINDOW_MS * (double)NS_PER_MS;
	double age = now > link->short_rate_at ? (double)(now - link->short_rate_at) : 0;

	link->short_rate = link->short_rate * exp(-age / window) + (double)bytes / window;
	link->short_rate_at = MAX_OF(now, link->short_rate_at);
}

/* The rate that remains for long bodies, bytes per ns. */
static double
bulk_rate(link_shaper_t *link, uint64_t now)
{
	short_rate_record(link, 0, now);
	return MAX_OF(link->rate - link->short_rate, link->rate * LINK_BULK_SHARE_MIN);
}

void
link_consume(link_shaper_t *link, size_t bytes, bool bulk, uint64_t now)
{
	if (link->rate <= 0)
		return;
	if (!bulk)
		short_rate_record(link, bytes, now);
	link_refill(link, now);
	link->tokens = MAX_OF(link->tokens - (double)bytes,
	    -link->rate * LINK_DEBT_MAX_MS * (double)NS_PER_MS);
}

size_t
link_piece_bytes(const link_shaper_t *link)
{
	size_t piece = (size_t)(link->rate * LINK_PIECE_MS * (double)NS_PER_MS);

	if (link->rate <= 0)
		return LINK_PIECE_MAX_BYTES;
	return MIN_OF(
	    MAX_OF(piece, (size_t)LINK_PIECE_MIN_BYTES), (size_t)LINK_PIECE_MAX_BYTES);
}

void
link_backlog_add(link_shaper_t *link, size_t bytes)
{
	link->backlog_bytes += bytes;
}

void
link_backlog_remove(link_shaper_t *link, size_t bytes)
{
	INVARIANT(link->backlog_bytes >= bytes);
	link->backlog_bytes -= bytes;
}

uint32_t
link_wait_us(link_shaper_t *link, uint64_t now)
{
	double debt;

	if (link->rate <= 0)
		return 0;
	link_refill(link, now);
	debt = (double)link->backlog_bytes - MIN_OF(link->tokens, 0.0);
	return (uint32_t)MIN_OF(
	    debt / bulk_rate(link, now) / (double)NS_PER_US, (double)UINT32_MAX);
}

bool
link_refuses(link_shaper_t *link, uint32_t answer_bytes, uint64_t target,
    uint64_t deadline, uint64_t now)
{
	uint64_t wait, transfer;

	if (link->rate <= 0 || answer_bytes <= LINK_SHORT_BYTES || deadline <= now)
		return false;
	wait = link_wait_us(link, now) * NS_PER_US;
	transfer = (uint64_t)(answer_bytes / bulk_rate(link, now));
	if (target > now)
		return wait + transfer > target - now;
	return wait + transfer > deadline - now ||
	       wait > (deadline - now) / 100 * LINK_LATE_WAIT_PERCENT;
}

uint32_t
link_ns_per_kilobyte(link_shaper_t *link, uint64_t now)
{
	return link->rate <= 0 ? 0 : (uint32_t)(1000 / bulk_rate(link, now));
}
