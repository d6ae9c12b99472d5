/*
 * The state of configuration distribution, shared by its source files.
 */
#ifndef MASTICPITCH_SPREAD_INTERNAL_H
#define MASTICPITCH_SPREAD_INTERNAL_H

#include "spread.h"
#include "spread_members.h"

/* The platform as the source of a record, in place of a node. */
#define SOURCE_PLATFORM 0
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

/* The record that is being gathered. */
typedef struct spread_candidate {
	record_head_t *head; /* NULL: none */
	chunk_t *text;
	digest_t digest;
	uint64_t source;	/* node that the parts are asked from, or the platform */
	bool from_outside_zone; /* came from the platform or another zone */
	bool from_platform;	/* the head came from the platform */
	bool requested;		/* the missing parts were asked for */
	uint64_t deadline;	/* of the parts asked for */
	unsigned attempts;
} spread_candidate_t;

/* A part that comes in pieces from one node. */
typedef struct spread_assembly {
	digest_t digest;
	uint64_t node; /* 0: free */
	uint32_t total;
	buffer_t content;
} spread_assembly_t;

typedef struct spread_pull {
	uint64_t version; /* wanted at least; 0: no pull */
	uint64_t node;
	uint64_t due;
	bool sent; /* due is the deadline of the answer */
	unsigned attempts;
} spread_pull_t;

/* Reads and watches of the head. */
typedef struct spread_reader {
	bool getting;
	bool watching;
	bool wanted;   /* one read, whoever needs it */
	bool need_get; /* a read is due before the next watch */
	uint64_t revision;
	uint64_t get_sent;
	uint64_t watch_sent;
	uint64_t next_at;
	uint64_t backoff;
	digest_t reading[SPREAD_PART_READS];
	size_t reading_count;
} spread_reader_t;

/* From the start until a version is in force. */
typedef struct spread_startup {
	uint64_t started;
	uint64_t last_ask; /* 0: nobody was asked yet */
	uint64_t next_ask;
	uint64_t answered[SPREAD_ANSWERED_MAX];
	size_t answered_count;
	uint64_t next_read; /* of the platform by this node itself */
	uint64_t backoff;
	uint64_t token;
} spread_startup_t;

typedef enum relay_phase {
	RELAY_NONE,
	RELAY_CREATING, /* the lease */
	RELAY_PUTTING,	/* the key */
	RELAY_READING,	/* who holds the key */
	RELAY_HELD,
	RELAY_RENEWING
} relay_phase_t;

/* Real variant: the lease of the zone's relay. */
typedef struct spread_relay {
	bool active;	  /* this node watches for its zone */
	bool lone_waited; /* others were looked for before it takes the part */
	relay_phase_t phase;
	uint64_t lease;
	uint64_t expect; /* revision of relay/ZONE that a put replaces */
	uint64_t next_at;
	uint64_t backoff;
	uint64_t refused_since; /* another node has held the lease; 0: it has not */
} spread_relay_t;

typedef struct spread_waiter {
	uint64_t node;
	uint64_t token;
	uint64_t added;
} spread_waiter_t;

struct spread {
	uint64_t node;
	char address[ADDRESS_TEXT_BYTES];
	uint64_t boot;
	spread_mode_t mode;
	unsigned watchers; /* of a zone; at least 1 */
	rng_t rng;
	list_t actions;
	uint64_t wake;
	spread_members_t members;
	record_parts_t parts; /* of held and candidate */
	record_cache_t cache; /* of held */
	spread_accepted_t held;
	spread_candidate_t candidate;
	spread_assembly_t assemblies[SPREAD_ASSEMBLIES];
	size_t assembly_next;
	bool in_force;
	uint64_t floor;
	uint64_t version_max;
	uint64_t confirmed_at;	    /* time of the platform's last word ... */
	uint64_t confirmed_version; /* ... that this version is its newest */
	bool regressed;
	spread_pull_t pull;
	spread_reader_t reader;
	spread_startup_t start;
	spread_waiter_t waiters[SPREAD_WAITERS_MAX];
	size_t waiter_count;
	digest_t refused_digest;
	uint64_t refused_version;
	uint64_t refused_until; /* no pull of that version before */
	char refused[MASTICPITCH_MESSAGE_MAX];
	spread_counters_t counters;
	/* What differs between the real variant and the naive baseline. */
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
/* Takes the reference of the message, which may be NULL. */
void spread_send(spread_t *spread, uint64_t node, spread_message_t *message);
void spread_call(spread_t *spread, spread_call_t call);
/* Runs whatever is due and sets the next wake-up. */
void spread_update(spread_t *spread, uint64_t now);
void spread_wake_schedule(spread_t *spread, uint64_t at);
uint64_t spread_accepted_version(const spread_t *spread);
/* Random below the bound, which then doubles up to max. */
uint64_t spread_backoff_next(spread_t *spread, uint64_t *backoff, uint64_t max);

/* spread_accept.c */
/*
 * Takes a head from a node or the platform; at: when the platform confirmed
 * it, 0: it did not.
 */
void spread_head_offer(
    spread_t *spread, chunk_t *text, uint64_t source, uint64_t at, uint64_t now);
void spread_confirm(spread_t *spread, uint64_t version, uint64_t at);
void spread_floor_raise(spread_t *spread, uint64_t floor);
/* Accepts the candidate if nothing is missing, else asks for what is. */
void spread_candidate_advance(spread_t *spread, uint64_t now);
void spread_candidate_drop(spread_t *spread);
void spread_candidate_run(spread_t *spread, uint64_t now);
/* Puts the held version in force if the rules for a returning node allow it. */
void spread_activation_run(spread_t *spread, uint64_t now);

/* spread_parts.c */
void spread_parts_request(spread_t *spread, uint64_t now);
void spread_pieces_receive(
    spread_t *spread, uint64_t node, const spread_message_t *message, uint64_t now);
void spread_part_get_done(spread_t *spread, const digest_t *digest,
    const platform_answer_t *answer, uint64_t now);
void spread_parts_serve(spread_t *spread, uint64_t node, const spread_message_t *message);
/* Adds pieces of the part to a message, or sends it and begins another one. */
void spread_part_append(
    spread_t *spread, uint64_t node, spread_message_t **message, const digest_t *digest);
void spread_assemblies_free(spread_t *spread);

/* spread_push.c */
/* A message with the sender's view of versions; NULL: no memory. */
spread_message_t *spread_message_new(
    spread_t *spread, spread_kind_t kind, uint64_t version, uint64_t now);
spread_message_t *spread_push_new(spread_t *spread, uint64_t now);
void spread_push_accepted(spread_t *spread, const record_head_t *older,
    bool from_outside_zone, bool from_platform, uint64_t now);
void spread_pull_schedule(
    spread_t *spread, uint64_t node, uint64_t version, uint64_t delay, uint64_t now);
/* Wait for the own watch before a heard version is pulled. */
uint64_t spread_pull_delay(spread_t *spread);
void spread_pull_newer(spread_t *spread, uint64_t now);
void spread_pull_run(spread_t *spread, uint64_t now);
void spread_pull_failed(spread_t *spread, uint64_t now);

/* spread_platform.c */
bool spread_reader_is_continuous(spread_t *spread);
void spread_reader_run(spread_t *spread, uint64_t now);
void spread_reader_answer(
    spread_t *spread, spread_call_t call, const platform_answer_t *answer, uint64_t now);
void spread_startup_run(spread_t *spread, uint64_t now);
void spread_version_query_answer(
    spread_t *spread, uint64_t node, const spread_message_t *message, uint64_t now);
void spread_version_receive(
    spread_t *spread, uint64_t node, const spread_message_t *message, uint64_t now);

/* spread_relay.c */
void spread_relay_run(spread_t *spread, uint64_t now);
void spread_relay_answer(
    spread_t *spread, spread_call_t call, const platform_answer_t *answer, uint64_t now);

#endif
