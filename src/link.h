/*
 * Sending order on a host's network link. A narrow link shared by many
 * connections fills with long bodies, and short answers then wait seconds
 * behind them in the network's queues. Long bodies are therefore paced to the
 * link's rate, less what short frames use; short frames are never held.
 *
 * A pure decision on owned state. Times are monotonic, ns; sizes are bytes. One
 * thread; reads no clock.
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
/* A body up to this size is short: two milliseconds of a link of 100 Mbit/s, bytes. */
#define LINK_SHORT_BYTES (24 * 1024)
/* Time that one piece of a long body may occupy the link, ms. */
#define LINK_PIECE_MS 6
/* Bounds of a piece, bytes. */
#define LINK_PIECE_MIN_BYTES 2048
#define LINK_PIECE_MAX_BYTES (16 * 1024)
/* Longest time that short frames hold long bodies back, ms. */
#define LINK_DEBT_MAX_MS 200
/* Longest wait of an answer past its target, share of the time to the deadline. */
#define LINK_LATE_WAIT_PERCENT 25
/* Time over which the use by short frames is smoothed, ms. */
#define LINK_SHORT_WINDOW_MS 500
/* Least share of the link's rate that long bodies are expected to get. */
#define LINK_BULK_SHARE_MIN 0.2
/* Unused time on the link that may be made up for, ms. */
#define LINK_BURST_MS 10

/* Embedded by its owner; read through the functions. */
typedef struct link_shaper {
	double rate;   /* bytes per ns; 0: the link is not paced */
	double tokens; /* bytes that may leave; below 0 while short frames were ahead */
	uint64_t at;   /* time of tokens */
	double short_rate; /* smoothed use by short frames, bytes per ns */
	uint64_t short_at;
	uint64_t waiting; /* bytes of long bodies to be sent, expected ones too */
} link_shaper_t;

/* mbps: of the host's link, Mbit/s; 0: not known, nothing is paced. */
void link_init(link_shaper_t *link, double mbps, uint64_t now);
/* Whether a piece of a long body may be sent now. */
bool link_admits(link_shaper_t *link, uint64_t now);
/* The time at which link_admits() is true if nothing else is sent. */
uint64_t link_ready_at(link_shaper_t *link, uint64_t now);
/* Bytes are handed to the network; bulk: of a long body. */
void link_consume(link_shaper_t *link, size_t bytes, bool bulk, uint64_t now);
/* Size of the pieces that long bodies are sent in. */
size_t link_piece_bytes(const link_shaper_t *link);
/*
 * Bytes of long bodies are expected or queued, or have left the queue. Answers
 * of calls that run count as well, or all calls that arrive before the first
 * answer would find the link free.
 */
void link_backlog_add(link_shaper_t *link, size_t bytes);
void link_backlog_remove(link_shaper_t *link, size_t bytes);
/* Time until a long body that is queued now begins to leave, us. */
uint32_t link_wait_us(link_shaper_t *link, uint64_t now);
/*
 * Whether a call whose answer has so many bytes is better refused: the answer
 * could not leave in time. target and deadline as in a call's head; an answer
 * that is late anyway waits at most LINK_LATE_WAIT_PERCENT of its time.
 */
bool link_refuses(link_shaper_t *link, uint32_t answer_bytes, uint64_t target,
    uint64_t deadline, uint64_t now);
/* Time that the link needs for a thousand bytes of a long body, ns; 0: not known. */
uint32_t link_ns_per_kilobyte(link_shaper_t *link, uint64_t now);

#ifdef __cplusplus
}
#endif

#endif
