/*
 * How a configuration version reaches every node: decisions only, see
 * docs/design.md sections 6 and 8. Each function takes an event and the time
 * and appends actions, which the config task takes and performs. No socket, no
 * clock; random numbers come from a seeded generator. One thread.
 *
 * Record: a head with its parts is gathered as the candidate and accepted
 * whole or not at all. Held: the accepted record. In force: held, and this
 * node may route by it; after a start that takes the version floor into
 * account, see spread_accept.c.
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

/* Children of a node in its zone's push tree. */
#define SPREAD_FAN_OUT 8
/* Random members that `fast` announces a version to besides the tree. */
#define SPREAD_EXTRA_PUSHES 2
/* Bytes of parts that a push carries; what is beyond it is pulled. */
#define SPREAD_PUSH_PARTS_MAX_BYTES (64 * 1024)
/* Bytes of content in one message; a frame holds at most 256 KiB. */
#define SPREAD_CONTENT_MAX_BYTES (128 * 1024)
#define SPREAD_MEMBERS_MAX 8192
/* Time to live of the relay's lease and its renewal. */
#define SPREAD_LEASE_TTL_MS 6000
#define SPREAD_LEASE_RENEW_INTERVAL_NS (2000 * NS_PER_MS)
/* A node that knows nobody waits up to this before it takes the relay's part. */
#define SPREAD_RELAY_START_DELAY_MAX_NS (1500 * NS_PER_MS)
/* Longer than the lease: then the relay watches without one. */
#define SPREAD_LEASE_ACQUIRE_TIMEOUT_NS (8000 * NS_PER_MS)
/*
 * Longest wait of one watch. A read follows, which finds a regression: a watch
 * would wait for a revision that the platform has forgotten. The naive
 * baseline waits longer, since each of its nodes watches.
 */
#define SPREAD_WATCH_WAIT_RELAY_MS 2000
#define SPREAD_WATCH_WAIT_MS 10000
/* Pause before the platform is tried again: random below a doubling bound. */
#define SPREAD_BACKOFF_MIN_NS (100 * NS_PER_MS)
#define SPREAD_BACKOFF_MAX_NS (10000 * NS_PER_MS)
/* For the one reader of a zone: a longer pause would miss the 3 s of P9. */
#define SPREAD_BACKOFF_RELAY_MAX_NS (1000 * NS_PER_MS)
/* A pull or a part that is not answered by then is asked for elsewhere. */
#define SPREAD_PULL_TIMEOUT_NS (500 * NS_PER_MS)
#define SPREAD_PULL_ATTEMPTS 6
/*
 * A watcher's own watch brings a version about as soon as it is heard of; a
 * pull is for those that the platform turns away.
 */
#define SPREAD_PULL_DELAY_WATCHER_NS (400 * NS_PER_MS)
/* Bound of the random wait before a heard version is pulled. */
#define SPREAD_PULL_JITTER_FAST_NS (100 * NS_PER_MS)
#define SPREAD_PULL_JITTER_FRUGAL_NS (500 * NS_PER_MS)
/* An announcement that comes besides the tree waits for the tree's push. */
#define SPREAD_ANNOUNCE_JITTER_NS (20 * NS_PER_MS)
/* Returning node: jitter before the platform, and the limits of waiting. */
#define SPREAD_START_JITTER_NS (500 * NS_PER_MS)
#define SPREAD_QUERY_INTERVAL_NS (500 * NS_PER_MS)
/* Least time between two rounds while members become known. */
#define SPREAD_QUERY_INTERVAL_MIN_NS (50 * NS_PER_MS)
#define SPREAD_QUERY_PEERS 5
#define SPREAD_JOIN_WAIT_NS (300 * NS_PER_MS)
#define SPREAD_FLOOR_WAIT_NS (1000 * NS_PER_MS)
#define SPREAD_PLATFORM_WAIT_NS (3000 * NS_PER_MS)
#define SPREAD_PEERS_NEEDED 2
/* Answers about floors that a confirmed version waits for, if they come. */
#define SPREAD_FLOOR_ANSWERS SPREAD_QUERY_PEERS
/* Parts read from the platform at once. */
#define SPREAD_PART_READS 8
/* Returning nodes that wait for the relay's next read of the platform. */
#define SPREAD_WAITERS_MAX 512
/* A refused record is not pulled again for so long. */
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
	unsigned watchers; /* of a zone; 0 or 1: only its relay watches */
	uint64_t seed;
	dialect_t dialect; /* of the parts */
	unsigned fan_out;  /* 0: SPREAD_FAN_OUT */
} spread_options_t;

/* Calls on the platform; the answer names the kind again. */
typedef enum spread_call {
	SPREAD_CALL_GET_HEAD,
	SPREAD_CALL_WATCH_HEAD,
	SPREAD_CALL_GET_PART, /* several at once, told apart by digest */
	SPREAD_CALL_LEASE_CREATE,
	SPREAD_CALL_LEASE_RENEW,
	SPREAD_CALL_LEASE_REVOKE, /* the answer is not needed */
	SPREAD_CALL_RELAY_PUT,	  /* key relay/ZONE */
	SPREAD_CALL_RELAY_GET
} spread_call_t;

typedef enum spread_action_kind {
	SPREAD_SEND,	     /* message to node */
	SPREAD_CALL,	     /* call */
	SPREAD_WATCH_CANCEL, /* the watch's answer is not wanted any more */
	SPREAD_IN_FORCE,     /* snapshot is in force from now on */
	SPREAD_REFUSED	     /* a record was refused; text says where and why */
} spread_action_kind_t;

typedef struct spread_action {
	list_t link;
	spread_action_kind_t kind;
	uint64_t node;
	spread_message_t *message; /* one reference */
	spread_call_t call;
	digest_t digest;      /* GET_PART */
	uint64_t revision;    /* WATCH_HEAD: after; RELAY_PUT: expect */
	uint32_t wait_ms;     /* WATCH_HEAD */
	uint64_t lease;	      /* LEASE_*, RELAY_PUT */
	snapshot_t *snapshot; /* IN_FORCE: one reference */
	char *text;	      /* RELAY_PUT: value; REFUSED: reason; owned */
} spread_action_t;

typedef struct spread_counters {
	uint64_t applied; /* versions put in force */
	uint64_t refused; /* records refused by validation */
	uint64_t stale;	  /* heads not newer than the one held, or below the floor */
	uint64_t pulls;
	uint64_t pushes;  /* and announcements */
	uint64_t dropped; /* table full, or a message that makes no sense now */
} spread_counters_t;

typedef struct spread_status_state {
	uint64_t version; /* in force; 0: none */
	uint64_t held;	  /* accepted; 0: none */
	uint64_t floor;
	uint64_t version_max;  /* largest seen anywhere */
	const char *preset;    /* in force, or "" */
	uint64_t accepted_at;  /* monotonic ns, of the version held; 0: none */
	uint64_t confirmed_at; /* the platform last had the version held; 0: never */
	bool relay;
	bool lease_held;
	bool regressed; /* the platform holds an older head than this node */
	/* Why a record was refused, or "" once a newer one was accepted. */
	const char *refused;
	uint64_t refused_version;
	spread_counters_t counters;
} spread_status_t;

/* Errors: MASTICPITCH_E_NOMEM. */
int spread_create(const spread_options_t *options, uint64_t now, spread_t **spread);
/* NULL is allowed. */
void spread_destroy(spread_t *spread);

/* Events. Lack of memory loses the action; timers repeat what matters. */
void spread_member_update(spread_t *spread, const member_t *member, uint64_t now);
void spread_member_remove(spread_t *spread, uint64_t node, uint64_t now);
/* A member's version in force, and the floor of this node as it knows it. */
void spread_gossip_receive(
    spread_t *spread, uint64_t node, uint64_t version, uint64_t floor, uint64_t now);
void spread_message_receive(
    spread_t *spread, uint64_t node, const spread_message_t *message, uint64_t now);
/* A message to the node could not be sent. */
void spread_send_failed(spread_t *spread, uint64_t node, uint64_t now);
/* digest: of GET_PART, else NULL. */
void spread_platform_answer(spread_t *spread, spread_call_t call, const digest_t *digest,
    const platform_answer_t *answer, uint64_t now);
/* The node shuts down: it gives up the relay's part. */
void spread_leave(spread_t *spread, uint64_t now);
void spread_tick(spread_t *spread, uint64_t now);
/* When spread_tick() is next needed; TIME_NEVER: not. */
uint64_t spread_next_wake_at(const spread_t *spread);

/* The next action, to be freed with spread_action_destroy(); NULL: none. */
spread_action_t *spread_action_take(spread_t *spread);
void spread_action_destroy(spread_action_t *action);

spread_status_t spread_status(const spread_t *spread);
/* What this node would tell a returning node about its floor. */
uint64_t spread_member_floor(const spread_t *spread, uint64_t node);

#ifdef __cplusplus
}
#endif

#endif
