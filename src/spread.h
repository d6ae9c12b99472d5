/*
 * Distribution of configuration versions to every node, as a state machine
 * without I/O, see docs/design.md sections 6 and 8. Each function takes an event
 * and the time (monotonic, ns) and appends actions, which the config service
 * takes and performs. It reads no clock; random numbers come from a seeded
 * generator. Not thread-safe.
 *
 * A record, that is a head with its parts, is fetched as the candidate and
 * accepted completely or not at all. The accepted record is in force once this
 * node may route by it: after a start only if it is not below the version floor,
 * see spread_accept.c.
 */
#ifndef MASTICPITCH_SPREAD_H
#define MASTICPITCH_SPREAD_H

#include "list.h"
#include "platform.h"
#include "record.h"
#include "settings.h"
#include "snapshot.h"
#include "spread_message.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Default number of children of a node in its zone's push tree. */
#define SPREAD_FAN_OUT 8
/* Number of random members that `fast` announces a version to besides the tree. */
#define SPREAD_EXTRA_PUSHES 2
/* Largest size of the parts in a push; if they are larger, all are pulled. */
#define SPREAD_PUSH_PARTS_MAX_BYTES (64 * 1024)
/*
 * Size of the parts in one message: each message counts as progress, and one of this
 * size passes a busy link of 5 Mbit/s well within SPREAD_PULL_TIMEOUT_NS.
 */
#define SPREAD_CONTENT_MAX_BYTES (64 * 1024)
/* Share of the host's link that is assumed to be left for the parts of a version. */
#define SPREAD_LINK_SHARE 0.25
/* Smallest size that is assumed of the platform's document, bytes. */
#define SPREAD_DOCUMENT_MIN_BYTES (256 * 1024)
/* The encoding of a value adds a third to its size. */
#define SPREAD_DOCUMENT_ENCODING_DIVISOR 3
#define SPREAD_MEMBERS_MAX 8192
/* Time to live of the relay's lease, and interval of its renewal. */
#define SPREAD_LEASE_TTL_MS 6000
#define SPREAD_LEASE_RENEW_INTERVAL_NS (2000 * NS_PER_MS)
/*
 * Upper bound of the delay before a node without known members assumes the relay
 * role.
 */
#define SPREAD_RELAY_START_DELAY_MAX_NS (1500 * NS_PER_MS)
/*
 * A relay that could not take the lease from another holder for this time watches
 * without one; longer than the lease's time to live.
 */
#define SPREAD_LEASE_ACQUIRE_TIMEOUT_NS (8000 * NS_PER_MS)
/* Default of spread_options_t.apply_ns: guarantee P9. */
#define SPREAD_APPLY_NS (3000 * NS_PER_MS)
/*
 * Shares of apply_ns. Nodes that watch verify at the end of each watch that there is no
 * newer version. A node that misses a verification is stale and reads the platform
 * itself; the rest is for the slots of read_delay() and the read.
 */
#define SPREAD_VERIFY_SHARE 0.5
#define SPREAD_STALE_SHARE 0.6
#define SPREAD_READ_SLOT_SHARE 0.05
/* Longest delay of a verification that is allowed for: a slow platform, busy nodes. */
#define SPREAD_VERIFIED_DELAY_SHARE 0.1
/* A node sends or passes on verifications that are so much later than the last one. */
#define SPREAD_VERIFIED_SEND_SHARE 0.2
/* Nodes of a zone that read in the first slot; each further slot has twice as many. */
#define SPREAD_FIRST_READERS 8
#define SPREAD_READ_SLOTS_MAX 4
/* Bounds of a stale node's backoff: the first one; the largest as a share of apply_ns. */
#define SPREAD_BACKOFF_STALE_NS (1000 * NS_PER_MS)
#define SPREAD_BACKOFF_STALE_MAX_SHARE 2
/* Verifications of a greater age are dropped; far above that of any delayed message. */
#define SPREAD_VERIFIED_AGE_MAX_MS (24 * 3600 * UINT64_C(1000))
/* Shortest wait of a watch; it ends an interval after the last verification. */
#define SPREAD_WATCH_WAIT_MIN_MS 200
/* An empty answer that comes so much before the end of its watch was cut short. */
#define SPREAD_WATCH_EARLY_NS (20 * NS_PER_MS)
/* The naive baseline waits longer, since each of its nodes watches. */
#define SPREAD_WATCH_WAIT_MS 10000
/* Backoff before a retry at the platform: random below a doubling bound. */
#define SPREAD_BACKOFF_MIN_NS (100 * NS_PER_MS)
#define SPREAD_BACKOFF_MAX_NS (10000 * NS_PER_MS)
/* For nodes that watch for their zone: a longer one would miss the 3 s of P9. */
#define SPREAD_BACKOFF_RELAY_MAX_NS (1000 * NS_PER_MS)
/* A pull or part that is not answered within this time is requested elsewhere. */
#define SPREAD_PULL_TIMEOUT_NS (500 * NS_PER_MS)
#define SPREAD_PULL_ATTEMPTS 6
/*
 * Delay of a pull by a node that watches: its watch usually returns a version about
 * when peers announce it, so that only nodes refused by the platform pull.
 */
#define SPREAD_PULL_DELAY_WATCHER_NS (400 * NS_PER_MS)
/* Jitter before a version reported by a peer is pulled. */
#define SPREAD_PULL_JITTER_FAST_NS (100 * NS_PER_MS)
#define SPREAD_PULL_JITTER_FRUGAL_NS (500 * NS_PER_MS)
/* Jitter before an announced version is pulled; its push may arrive first. */
#define SPREAD_ANNOUNCE_JITTER_NS (20 * NS_PER_MS)
/* Starting node: jitter before its first read of the platform. */
#define SPREAD_START_JITTER_NS (500 * NS_PER_MS)
/* Starting node: interval of its version queries to peers. */
#define SPREAD_QUERY_INTERVAL_NS (500 * NS_PER_MS)
/* Shortest interval while members are being discovered. */
#define SPREAD_QUERY_INTERVAL_MIN_NS (50 * NS_PER_MS)
/* Random peers of one query round; the zone's relay is added. */
#define SPREAD_QUERY_PEERS 5
/*
 * Limits of waiting of a starting node, as times since its start. After JOIN_WAIT the
 * answers of all known members suffice even if they are few; before, more members
 * may become known. After FLOOR_WAIT it no longer waits for floors. After
 * PLATFORM_WAIT answers of peers replace a confirmation by the platform.
 */
#define SPREAD_JOIN_WAIT_NS (300 * NS_PER_MS)
#define SPREAD_FLOOR_WAIT_NS (1000 * NS_PER_MS)
#define SPREAD_PLATFORM_WAIT_NS (3000 * NS_PER_MS)
/* Peers that must have answered if the platform is not available. */
#define SPREAD_PEERS_NEEDED 2
/* Answers with floors that are enough for a confirmed version. */
#define SPREAD_FLOOR_ANSWERS SPREAD_QUERY_PEERS
/* Largest number of concurrent reads of parts from the platform. */
#define SPREAD_PART_READS 8
/* Starting nodes that wait for the relay's next read of the platform. */
#define SPREAD_WAITERS_MAX 512
/* A refused record is not pulled again within this time. */
#define SPREAD_REFUSED_RETRY_DELAY_NS (30000 * NS_PER_MS)

typedef struct spread spread_t;

typedef struct spread_options {
	uint64_t node; /* own id */
	address_t address;
	const char *zone;
	uint32_t link_mbps; /* of this host's link; 0: not known */
	uint64_t boot;
	spread_mode_t mode;
	config_source_t source;
	unsigned watchers; /* nodes of a zone that watch; 0 or 1: only its relay */
	uint64_t seed;
	dialect_t dialect; /* of the parts */
	unsigned fan_out;  /* 0: SPREAD_FAN_OUT */
	uint64_t apply_ns; /* from a commit until it is in force; 0: SPREAD_APPLY_NS */
} spread_options_t;

/* Calls on the platform; the answer repeats the kind. */
typedef enum spread_call {
	SPREAD_CALL_GET_HEAD,
	SPREAD_CALL_WATCH_HEAD,
	SPREAD_CALL_GET_PART, /* several concurrently, distinguished by digest */
	SPREAD_CALL_LEASE_CREATE,
	SPREAD_CALL_LEASE_RENEW,
	SPREAD_CALL_LEASE_REVOKE, /* the answer is ignored */
	SPREAD_CALL_RELAY_PUT,	  /* key relay/ZONE */
	SPREAD_CALL_RELAY_GET
} spread_call_t;

typedef enum spread_action_kind {
	SPREAD_SEND,	     /* send message to node */
	SPREAD_CALL,	     /* start call on the platform */
	SPREAD_WATCH_CANCEL, /* cancel the watch; its answer is no longer needed */
	SPREAD_IN_FORCE,     /* put snapshot in force */
	SPREAD_REFUSED	     /* a record was refused; text has location and reason */
} spread_action_kind_t;

typedef struct spread_action {
	list_t link;
	spread_action_kind_t kind;
	uint64_t node;
	spread_message_t *message; /* one reference */
	spread_call_t call;
	digest_t digest;      /* GET_PART */
	uint64_t revision;    /* WATCH_HEAD: wait for a later one; RELAY_PUT: expected */
	uint32_t wait_ms;     /* WATCH_HEAD */
	uint64_t transfer_ns; /* GET_HEAD, WATCH_HEAD: of the answer, 0: not known */
	uint64_t lease;	      /* LEASE_*, RELAY_PUT */
	snapshot_t *snapshot; /* IN_FORCE: one reference */
	char *text;	      /* RELAY_PUT: value; REFUSED: reason; owned */
} spread_action_t;

typedef struct spread_counters {
	uint64_t applied; /* versions put in force */
	uint64_t refused; /* records refused by validation */
	uint64_t stale;	  /* heads not newer than the accepted one, or below the floor */
	uint64_t pulls;
	uint64_t pushes;       /* including announcements */
	uint64_t dropped;      /* events lost to a full table, or unexpected messages */
	uint64_t reads_failed; /* reads and watches of the head without a usable answer */
	uint64_t pulls_failed; /* pulls that no node answered in time */
	uint64_t stale_reads;  /* reads since no node verified the version in time */
	/* Answers that the platform's store gave before it was restored from a copy. */
	uint64_t outdated;
} spread_counters_t;

typedef struct spread_status_state {
	uint64_t version;  /* in force; 0: none */
	uint64_t accepted; /* 0: none */
	uint64_t floor;
	uint64_t version_max;  /* largest seen on the platform or reported by a node */
	const char *preset;    /* in force, or "" */
	uint64_t accepted_at;  /* monotonic ns, of the accepted version; 0: none */
	uint64_t confirmed_at; /* the platform last had the accepted version; 0: never */
	uint64_t verified_at;  /* it last had no newer one, as far as known; 0: never */
	bool watching;	       /* this node reads and watches the platform */
	bool relay;
	bool lease_held;
	uint64_t lease;	      /* of the relay's key; 0: none */
	uint64_t store_epoch; /* of the platform's store; 0: none given */
	bool regressed;	      /* the platform has an older head than this node */
	/* Reason of the last refusal; "" once a newer record is accepted. */
	const char *refused;
	uint64_t refused_version;
	spread_counters_t counters;
} spread_status_t;

/* Errors: MASTICPITCH_E_NOMEM. */
int spread_create(const spread_options_t *options, uint64_t now, spread_t **spread);
/* NULL is allowed. */
void spread_destroy(spread_t *spread);

/*
 * Events. If there is no memory for an action, it is dropped; timers repeat the
 * essential ones.
 */
void spread_member_update(spread_t *spread, const member_t *member, uint64_t now);
void spread_member_remove(spread_t *spread, uint64_t node, uint64_t now);
/* A member gossips its version in force and the floor it has recorded for this node. */
void spread_gossip_receive(
    spread_t *spread, uint64_t node, uint64_t version, uint64_t floor, uint64_t now);
/* A message from node; the caller keeps its reference. */
void spread_message_receive(
    spread_t *spread, uint64_t node, const spread_message_t *message, uint64_t now);
/* A message to node could not be sent. */
void spread_send_failed(spread_t *spread, uint64_t node, uint64_t now);
/* digest: of GET_PART; ignored for other calls, may be NULL. */
void spread_platform_answer(spread_t *spread, spread_call_t call, const digest_t *digest,
    const platform_answer_t *answer, uint64_t now);
/* The node shuts down: it gives up the relay role. */
void spread_leave(spread_t *spread, uint64_t now);
/* Time has reached spread_next_wake_at(); earlier calls do no harm. */
void spread_tick(spread_t *spread, uint64_t now);
/* The time at which spread_tick() is next needed; TIME_NEVER: none. */
uint64_t spread_next_wake_at(const spread_t *spread);

/* The next action; the caller frees it by spread_action_destroy(). NULL: none. */
spread_action_t *spread_action_take(spread_t *spread);
void spread_action_destroy(spread_action_t *action);

spread_status_t spread_status(const spread_t *spread);
/* The version floor this node has recorded for another one; 0: none. */
uint64_t spread_member_floor(const spread_t *spread, uint64_t node);

#ifdef __cplusplus
}
#endif

#endif
