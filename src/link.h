/*
 * Traffic shaping on a host's network link. A narrow link shared by many
 * connections fills with long bodies, and short answers then wait seconds behind
 * them in the network's queues. Long bodies are therefore paced by a token bucket
 * at the link's rate, less the bandwidth used by short frames; short frames are never
 * delayed.
 *
 * Performs no I/O and reads no clock. Times are monotonic, ns; sizes are bytes. One
 * thread.
 */
#ifndef MASTICPITCH_LINK_H
#define MASTICPITCH_LINK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Share of the link's rate that is used; the rest is for packet headers and datagrams. */
#define LINK_USED_PERCENT 90
/* Largest short body, bytes: 2 ms of a link of 100 Mbit/s. */
#define LINK_SHORT_BYTES (24 * 1024)
/* Time for which one piece of a long body may occupy the link, ms. */
#define LINK_PIECE_MS 6
/* Bounds of a piece, bytes. */
#define LINK_PIECE_MIN_BYTES 2048
#define LINK_PIECE_MAX_BYTES (16 * 1024)
/* Longest time for which short frames delay long bodies, ms. */
#define LINK_DEBT_MAX_MS 200
/*
 * Longest wait for the link of an answer whose target time has passed, as a share of
 * the time to the deadline.
 */
#define LINK_LATE_WAIT_PERCENT 25
/* Time constant of the moving average of the short frames' rate, ms. */
#define LINK_SHORT_WINDOW_MS 500
/* Least share of the link's rate that is assumed for long bodies in estimates. */
#define LINK_BULK_SHARE_MIN 0.2
/* Depth of the token bucket: idle time of the link that may be made up for, ms. */
#define LINK_BURST_MS 10

/* Embedded by its owner; accessed through the functions below. */
typedef struct link_shaper {
	double rate;	      /* bytes per ns; 0: the link is not paced */
	double tokens;	      /* bytes that may be sent; negative: long bodies wait */
	uint64_t refilled_at; /* time for which tokens holds */
	double short_rate;    /* moving average of short frames, bytes per ns */
	uint64_t short_rate_at;
	uint64_t backlog_bytes; /* of long bodies, queued and expected */
} link_shaper_t;

/* mbps: rate of the host's link, Mbit/s; 0: not known, nothing is paced. */
void link_init(link_shaper_t *link, double mbps, uint64_t now);
/*
 * Whether a piece of a long body may be sent now. If not, *ready_at is the time from
 * which it may, provided that nothing is sent until then; may be NULL. The caller
 * has to wake up at that time: a second look may find the link free again.
 */
bool link_admits(link_shaper_t *link, uint64_t now, uint64_t *ready_at);
/* Takes tokens for bytes handed to the network; bulk: they are of a long body. */
void link_consume(link_shaper_t *link, size_t bytes, bool bulk, uint64_t now);
/* Size of the pieces in which long bodies are sent, bytes. */
size_t link_piece_bytes(const link_shaper_t *link);
/*
 * Add to the backlog bytes of long bodies that are expected or queued, and remove
 * those that have left the queue. Answers of running calls count as expected;
 * otherwise all calls that arrive before the first answer would find the link free.
 * Removing more than was added violates an invariant.
 */
void link_backlog_add(link_shaper_t *link, size_t bytes);
void link_backlog_remove(link_shaper_t *link, size_t bytes);
/* Time until the first byte of a long body that is queued now is sent, us. */
uint32_t link_wait_us(link_shaper_t *link, uint64_t now);
/*
 * Whether to refuse a call because its answer of answer_bytes could not be sent in
 * time. target and deadline are those of the call's head; after the target the answer
 * may wait at most LINK_LATE_WAIT_PERCENT of the time to the deadline. Short answers
 * are never refused.
 */
bool link_refuses(link_shaper_t *link, uint32_t answer_bytes, uint64_t target,
    uint64_t deadline, uint64_t now);
/* Transmission time of 1000 bytes of a long body, ns; 0: not known. */
uint32_t link_ns_per_kilobyte(link_shaper_t *link, uint64_t now);

#ifdef __cplusplus
}
#endif

#endif
