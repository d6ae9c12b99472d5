/*
 * What the backend server of a gate takes well, learned from its own exchanges: its
 * speed against that of the other servers of its service, the concurrency up to which
 * more calls give more answers, and how long work takes on its host at this moment.
 * Each exchange is compared with what the same route takes elsewhere, which the entry
 * sends with the call, so routes of different duration can be mixed. Times are
 * monotonic, ns. Not thread-safe.
 */
#ifndef MASTICPITCH_CAPACITY_SERVER_H
#define MASTICPITCH_CAPACITY_SERVER_H

#include "message.h"
#include "os.h"
#include "util.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Weight of a new exchange: a change of speed is followed within some 20 exchanges. */
#define CAPACITY_SPEED_SAMPLE_WEIGHT 0.08
/* An exchange counts at most this far from the estimate, as a logarithm. */
#define CAPACITY_SPEED_CLIP 1.0
/* Bounds of a learned speed, percent of the usual duration. */
#define CAPACITY_SPEED_PERCENT_MIN 10
#define CAPACITY_SPEED_PERCENT_MAX 2000
/*
 * Percent of the usual duration that is assumed of a cold server, and the exchanges
 * that this assumption counts as.
 */
#define CAPACITY_COLD_PERCENT 200
#define CAPACITY_COLD_PRIOR_SAMPLES 2
/*
 * What a host says of itself holds for this long without a new answer, ms. Hosts are
 * busy for some 0.6 s at a time.
 */
#define CAPACITY_HOST_FRESH_MS 300
/* Work on a busy host takes at least this much, percent of the usual. */
#define CAPACITY_HOST_BUSY_PERCENT 140
/* Bands of concurrency, from 0 to the slots, for which durations are compared. */
#define CAPACITY_BANDS 6
/* Exchanges in a band before it is compared. */
#define CAPACITY_BAND_SAMPLES_MIN 60
/* Durations spread so much that a larger weight shows a knee where there is none. */
#define CAPACITY_BAND_SAMPLE_WEIGHT 0.01
/*
 * A higher band is useful only if it gives at least this much more answers, as a share
 * of those that its additional concurrency would give at an unchanged duration.
 */
#define CAPACITY_BAND_GAIN_MIN 0.1

/* Mean of log(duration / usual duration). */
typedef struct capacity_speed {
	double log_ratio;
	uint32_t samples;
} capacity_speed_t;

typedef struct capacity_server {
	capacity_speed_t warm;
	capacity_speed_t cold; /* while the server has just started */
	uint64_t cold_until;   /* 0: not cold */
	uint32_t host_percent; /* as last reported; 0: never */
	uint64_t host_at;
	capacity_speed_t bands[CAPACITY_BANDS]; /* against the speed at that time */
} capacity_server_t;

/* One exchange with the backend server. */
typedef struct capacity_sample {
	uint64_t duration;     /* until the answer head */
	uint32_t typical_us;   /* of the route; 0: not known */
	uint32_t host_percent; /* when it began; 0: not known */
	uint32_t running;      /* calls that ran when it began, itself included */
	uint32_t slots;
	bool cut; /* cancelled before the answer: it takes longer still */
} capacity_sample_t;

/* cold_ms: how much longer the server says that it is slow. */
void capacity_server_init(capacity_server_t *server, uint32_t cold_ms, uint64_t now);
/* Applies a new announcement of the same server. */
void capacity_server_cold_set(capacity_server_t *server, uint32_t cold_ms, uint64_t now);
void capacity_server_record(
    capacity_server_t *server, const capacity_sample_t *sample, uint64_t now);
/* Records what the host says: 100 as usual. */
void capacity_server_host_record(
    capacity_server_t *server, uint32_t percent, uint64_t now);
/* Parses the server's load text; the percent of its host, 0 if it has none. */
uint32_t capacity_host_percent_parse(const char *text);

/* Duration of work here, percent of that elsewhere; 0: not known yet. */
uint32_t capacity_server_speed_percent(const capacity_server_t *server, uint64_t now);
/* 100 as usual, also when the last report is too old; 0: the host reports nothing. */
uint32_t capacity_server_host_percent(const capacity_server_t *server, uint64_t now);
/* Calls that the server runs with profit at a time, from 1 to slots. */
uint32_t capacity_server_useful(const capacity_server_t *server, uint32_t slots);
/* Fills in the learned part of a load report, whose slots are set. */
void capacity_server_report(
    const capacity_server_t *server, load_report_t *load, uint64_t now);
/*
 * Whether a call that its entry may send elsewhere is refused unrun: the host is busy, or
 * the call would wait.
 */
bool capacity_server_moves(
    const capacity_server_t *server, bool would_wait, uint64_t now);

#ifdef __cplusplus
}
#endif

#endif
