/*
 * The state of configuration distribution, shared by its source files. Points in
 * time are monotonic, in ns.
 */
#ifndef MASTICPITCH_SPREAD_INTERNAL_H
#define MASTICPITCH_SPREAD_INTERNAL_H

#include "spread.h"
#include "spread_members.h"

/* Value of `source` for the platform, in place of a node id. */
#define SOURCE_PLATFORM 0
/* Parts that are received in pieces at the same time. */
#define SPREAD_ASSEMBLIES 4
#define SPREAD_ANSWERED_MAX 32

/* An accepted record. */
typedef struct spread_accepted {
	record_head_t *head; /* NULL: none */
	chunk_t *text;
	digest_t digest;
	snapshot_t *snapshot;
	uint64_t accepted_at;
} spread_accepted_t;

/* The record that is being fetched. */
typedef struct spread_candidate {
	record_head_t *head; /* NULL: none */
	chunk_t *text;
	digest_t digest;
	uint64_t source; /* node that the parts are requested from, or SOURCE_PLATFORM */
	bool from_outside_zone; /* came from the platform or another zone */
	bool from_platform;	/* the head came from the platform */
	bool requested;		/* the missing parts were requested */
	uint64_t deadline;	/* of the requested parts */
	unsigned attempts;
} spread_candidate_t;

/* A part that is received in pieces from one node. */
typedef struct spread_assembly {
	digest_t digest;
	uint64_t node; /* 0: free */
	uint32_t total;
	buffer_t content;
} spread_assembly_t;

/* The pull of a newer head from a node; one at a time. */
typedef struct spread_pull {
	uint64_t version; /* at least this one; 0: no pull */
	uint64_t node;
	uint64_t due_at;
	bool sent; /* then due_at is the deadline of the answer */
	unsigned attempts;
} spread_pull_t;

/* Reads and watches of the head. */
typedef struct spread_reader {
	bool get_pending;
	bool watch_pending;
	bool get_requested;    /* one read of the head is needed */
	bool get_before_watch; /* a read must precede the next watch */
	bool is_continuous;    /* watches are repeated, as of the last run */
	uint64_t revision;
	uint64_t get_sent_at;
	uint64_t watch_sent_at;
	uint64_t watch_ends_at; /* its wait, as the platform counts it */
	bool is_failing;	/* since the last usable answer */
	uint64_t next_at;
	uint64_t backoff_ns; /* bound of the next pause */
	digest_t pending_parts[SPREAD_PART_READS];
	size_t pending_part_count;
} spread_reader_t;

/* Freshness of the accepted version, see spread_freshness.c. */
typedef struct spread_freshness {
	uint64_t verified_at; /* the platform had no newer version then; 0: not known */
	uint64_t stale_at;    /* without a later verification */
	uint64_t read_at;     /* read of the platform by a stale node; TIME_NEVER: none */
	bool watches;	      /* without the role, since it was stale */
	uint64_t verifier;    /* the node that read the platform at verified_at */
	uint64_t told_until;  /* a node of lower rank verifies */
	/* Earliest verified_at of the next message on own reads, on those of others. */
	uint64_t send_from;
	uint64_t pass_on_from;
} spread_freshness_t;

/* From the start of the node until a version is in force. */
typedef struct spread_startup {
	uint64_t started_at;
	uint64_t last_query_at; /* 0: no peer was queried yet */
	uint64_t next_query_at;
	uint64_t answered_nodes[SPREAD_ANSWERED_MAX];
	size_t answered_node_count;
	uint64_t next_read_at; /* of the platform by this node */
	uint64_t backoff_ns;
	uint64_t token;
} spread_startup_t;

typedef enum relay_phase {
	RELAY_NONE,
	RELAY_CREATING, /* the lease */
	RELAY_PUTTING,	/* the key */
	RELAY_READING,	/* the key's holder */
	RELAY_HELD,
	RELAY_RENEWING
} relay_phase_t;

/* Relay variant: the lease of the zone's relay. */
typedef struct spread_relay {
	bool active;		 /* this node watches for its zone */
	bool start_delay_passed; /* it has members or waited before assuming the role */
	relay_phase_t phase;
	uint64_t lease;
	uint64_t expect; /* revision of relay/ZONE that a put replaces */
	uint64_t next_at;
	uint64_t backoff_ns;
	/* When another node was first found to hold the lease; 0: none. */
	uint64_t lease_denied_at;
} spread_relay_t;

/* A starting node that waits for the next read of the platform. */
typedef struct spread_waiter {
	uint64_t node;
	uint64_t token;
	uint64_t added_at;
} spread_waiter_t;

struct spread {
	uint64_t node;
	char address[ADDRESS_TEXT_BYTES];
	uint64_t boot;
	spread_mode_t mode;
	unsigned watchers;  /* of a zone; at least 1 */
	uint32_t link_mbps; /* of this host's link; 0: not known */
	uint64_t apply_ns;  /* from a commit until it is in force */
	rng_t rng;
	list_t actions;
	uint64_t next_wake_at;
	spread_members_t members;
	record_parts_t parts; /* of the accepted record and the candidate */
	record_cache_t cache; /* of the accepted record */
	spread_accepted_t accepted;
	spread_candidate_t candidate;
	spread_assembly_t assemblies[SPREAD_ASSEMBLIES];
	size_t assembly_next;
	bool in_force;
	uint64_t floor;
	uint64_t version_max;
	uint64_t store_epoch;	    /* of the platform's store; 0: none given */
	uint64_t store_epoch_at;    /* when it was first seen */
	uint64_t confirmed_at;	    /* when the platform last confirmed ... */
	uint64_t confirmed_version; /* ... that this version is its newest */
	bool regressed;
	spread_pull_t pull;
	spread_reader_t reader;
	spread_freshness_t freshness;
	spread_startup_t startup;
	spread_waiter_t waiters[SPREAD_WAITERS_MAX];
	size_t waiter_count;
	digest_t refused_digest;
	uint64_t refused_version;
	uint64_t refused_until; /* no pull of that version before this time */
	char refused[MASTICPITCH_MESSAGE_MAX];
	spread_counters_t counters;
	/* What differs between the relay variant and the naive baseline. */
	struct {
		config_source_t kind;
		union {
			spread_relay_t relay;
			struct {
				bool unused; /* every node watches; no state of its own */
			} watch;
		} u;
	} variant;
};

/* spread.c */
spread_action_t *spread_action_add(spread_t *spread, spread_action_kind_t kind);
/* Takes the caller's reference to the message, which may be NULL. */
void spread_send(spread_t *spread, uint64_t node, spread_message_t *message);
void spread_call(spread_t *spread, spread_call_t call);
/* Runs everything that is due and computes the next wake-up time. */
void spread_update(spread_t *spread, uint64_t now);
/* Requests a spread_tick() at that time at the latest. */
void spread_wake_schedule(spread_t *spread, uint64_t at);
/* 0: none. */
uint64_t spread_accepted_version(const spread_t *spread);
/* A random pause below *backoff, in ns; *backoff then doubles, up to max. */
uint64_t spread_backoff_next(spread_t *spread, uint64_t *backoff_ns, uint64_t max);

/* spread_accept.c */
/*
 * Considers a head from a node or the platform as the candidate; at: when the
 * platform confirmed it as its newest, 0: it did not.
 */
void spread_head_offer(
    spread_t *spread, chunk_t *text, uint64_t source, uint64_t at, uint64_t now);
/* Records that the platform had version as its newest at that time. */
void spread_confirm(spread_t *spread, uint64_t version, uint64_t at);
void spread_floor_raise(spread_t *spread, uint64_t floor);
/*
 * True if parts of the candidate are on their way from a node. It is completed first:
 * a host on a slow link would complete none if each newer version replaced it. Newer
 * heads are pulled afterwards, since their parts are replaced quickly in a sequence of
 * versions.
 */
bool spread_candidate_is_in_transfer(const spread_t *spread);
/* Accepts the candidate if it is complete, else requests the missing parts. */
void spread_candidate_advance(spread_t *spread, uint64_t now);
void spread_candidate_drop(spread_t *spread);
void spread_candidate_run(spread_t *spread, uint64_t now);
/* Puts the accepted version in force if the rules for a starting node allow it. */
void spread_activation_run(spread_t *spread, uint64_t now);

/* spread_parts.c */
/*
 * Time for which the platform's complete document occupies this host's link, ns; 0:
 * not known.
 */
uint64_t spread_document_transfer(const spread_t *spread);
void spread_parts_request(spread_t *spread, uint64_t now);
void spread_pieces_receive(
    spread_t *spread, uint64_t node, const spread_message_t *message, uint64_t now);
void spread_part_get_done(spread_t *spread, const digest_t *digest,
    const platform_answer_t *answer, uint64_t now);
void spread_parts_serve(spread_t *spread, uint64_t node, const spread_message_t *message);
/* Adds a part in pieces to a message; a full message is sent and replaced. */
void spread_part_append(
    spread_t *spread, uint64_t node, spread_message_t **message, const digest_t *digest);
void spread_assemblies_free(spread_t *spread);

/* spread_push.c */
/* A message with version_max and the confirmation filled in; NULL: no memory. */
spread_message_t *spread_message_new(
    spread_t *spread, spread_kind_t kind, uint64_t version, uint64_t now);
spread_message_t *spread_push_new(spread_t *spread, uint64_t now);
void spread_push_accepted(spread_t *spread, const record_head_t *older,
    bool from_outside_zone, bool from_platform, uint64_t now);
void spread_pull_schedule(
    spread_t *spread, uint64_t node, uint64_t version, uint64_t delay, uint64_t now);
/* Delay of a pull that gives this node's own watch time to return, in ns. */
uint64_t spread_pull_delay(spread_t *spread);
/* Schedules a pull if a member has a version newer than the accepted one. */
void spread_pull_newer(spread_t *spread, uint64_t now);
void spread_pull_run(spread_t *spread, uint64_t now);
/* Schedules the next attempt, at another node if there is one. */
void spread_pull_failed(spread_t *spread, uint64_t now);

/* spread_freshness.c */
/* Interval at which nodes that watch verify the version, ns. */
uint64_t spread_verify_interval(const spread_t *spread);
/* This node has learnt from the platform that it had no newer version at that time. */
void spread_verified(spread_t *spread, uint64_t at, uint64_t now);
/* VERIFIED from a node; the caller keeps its reference. */
void spread_verification_receive(
    spread_t *spread, uint64_t node, const spread_message_t *message, uint64_t now);
/* Reads the platform if the accepted version was not verified in time. */
void spread_freshness_run(spread_t *spread, uint64_t now);

/* spread_platform.c */
/* True if this node is to watch the platform, as a relay or watcher of its zone. */
bool spread_reader_has_role(spread_t *spread);
/* True if it watches, with the role or since its version was not verified in time. */
bool spread_reader_is_continuous(spread_t *spread);
void spread_reader_run(spread_t *spread, uint64_t now);
/* The store was restored: its revisions are void, so the head is read again. */
void spread_reader_restart(spread_t *spread, uint64_t now);
void spread_reader_answer(
    spread_t *spread, spread_call_t call, const platform_answer_t *answer, uint64_t now);
/* Queries peers and schedules reads of the platform until a version is in force. */
void spread_startup_run(spread_t *spread, uint64_t now);
void spread_version_query_answer(
    spread_t *spread, uint64_t node, const spread_message_t *message, uint64_t now);
void spread_version_receive(
    spread_t *spread, uint64_t node, const spread_message_t *message, uint64_t now);

/* spread_relay.c */
void spread_relay_run(spread_t *spread, uint64_t now);
/* The store was restored: the lease is void, and its number may be another node's. */
void spread_relay_restart(spread_t *spread, uint64_t now);
void spread_relay_answer(
    spread_t *spread, spread_call_t call, const platform_answer_t *answer, uint64_t now);

#endif
