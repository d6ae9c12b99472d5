/*
 * Structures shared by member.c (table and merge), member_gossip.c (datagrams),
 * member_probe.c (monitoring, zones, join) and member_sync.c (anti-entropy).
 */
#ifndef MASTICPITCH_MEMBER_INTERNAL_H
#define MASTICPITCH_MEMBER_INTERNAL_H

#include "hash_table.h"
#include "masticpitch.pb-c.h"
#include "member.h"

/* Members watched at once: 3, and those behind suspect ones. */
#define TARGETS_MAX 24
#define VERDICTS_MAX 8
/* Members in one datagram; what fits is fewer. */
#define DATAGRAM_MEMBERS_MAX 24
#define DATAGRAM_CRASH_REPORTS_MAX 8
/* Members that ride on a probe. */
#define PROBE_MEMBERS_MAX 8
/* Most bytes of a datagram's own fields. */
#define DATAGRAM_HEADER_MAX 130
/* A larger incarnation is refused: none could follow it. */
#define INCARNATION_MAX (UINT64_MAX / 4)

typedef struct member_zone {
	char name[ZONE_BYTES];
	struct member_entry **live; /* alive, suspect and leaving members */
	size_t live_count;
	size_t live_capacity;
	bool reachable;
	uint64_t heard;
	uint64_t probe_sent;
	bool probe_pending;
} member_zone_t;

typedef enum verdict { VERDICT_NONE, VERDICT_PENDING, VERDICT_MISSED } verdict_t;

/* A member that this node watches, or any other one. */
typedef struct member_entry {
	hash_node_t by_node;
	list_t bucket_link;
	list_t gossip_link; /* in table->gossip */
	list_t down_link;   /* in table->down */
	member_t member;
	member_zone_t *zone;
	size_t live_index; /* in table->live */
	size_t zone_index; /* in zone->live */
	uint64_t hash;	   /* its part of the digests; 0: none */
	uint32_t gossip_left;
	uint64_t version_floor;
	uint64_t version_posted;
	bool version_known;
	uint64_t down_since;
	uint64_t heard;
	uint64_t asked; /* a probe that answers a datagram was sent */
	/* Monitoring. */
	bool is_target;
	uint64_t target_since;
	uint64_t probe_at;
	uint64_t probe_sent;
	bool probe_pending;
	unsigned misses;
	uint64_t suspect_since; /* 0: not suspect */
	uint64_t query_at;
	struct {
		uint64_t node;
		verdict_t verdict;
	} verdicts[VERDICTS_MAX];
	size_t verdict_count;
} member_entry_t;

typedef struct crash_entry {
	member_crash_report_t report;
	uint64_t expires;
	uint32_t gossip_left;
} crash_entry_t;

struct member_table {
	uint64_t boot;
	uint64_t sequence;
	rng_t rng;
	member_entry_t *self;
	hash_table_t entries;
	list_t buckets[MEMBER_BUCKETS];
	uint64_t bucket_digests[MEMBER_BUCKETS];
	uint64_t digest;
	member_zone_t *zones[MEMBER_ZONES_MAX];
	size_t zone_count;
	member_entry_t **live; /* with this node */
	size_t live_count;
	size_t live_capacity;
	list_t down; /* probed in turn */
	size_t down_count;
	uint64_t down_probe_at;
	member_entry_t **ring; /* own zone's live members by node id */
	size_t ring_count;
	size_t ring_capacity;
	member_entry_t *targets[TARGETS_MAX];
	size_t target_count;
	bool targets_stale;
	uint64_t targets_review_at;
	list_t gossip; /* updates to send, in turn */
	uint64_t urgent_at;
	uint32_t version_left; /* datagrams that announce the own version */
	uint64_t version_max;
	crash_entry_t crashes[MEMBER_CRASH_REPORTS_MAX];
	size_t crash_next;
	uint32_t crash_pending; /* reports that are still sent */
	uint64_t heard_any;
	uint64_t last_tick;
	address_t join_addresses[MEMBER_JOIN_ADDRESSES_MAX];
	size_t join_count;
	size_t join_next; /* replaced next when full */
	uint64_t join_at;
	uint64_t join_needed_at;
	uint64_t join_backoff;
	uint64_t changed;	 /* last change of the digest */
	uint64_t differed_since; /* 0: the last digest heard was equal */
	uint64_t sync_at;
	uint64_t sync_second;
	uint32_t sync_answers;
	member_statistics_t statistics;
};

/* member.c */
member_action_t *member_action_append(list_t *actions, member_action_type_t type);
member_entry_t *member_entry_find(const member_table_t *table, uint64_t node);
/*
 * Takes over a record if it is newer. spread: pass it on as gossip. Errors:
 * MASTICPITCH_E_INVALID, MASTICPITCH_E_LIMIT, MASTICPITCH_E_NOMEM,
 * MASTICPITCH_E_STALE.
 */
int member_merge(member_table_t *table, const Masticpitch__Member *record, bool spread,
    uint64_t now, list_t *actions);
/* Changes the state at the incarnation that is held, and spreads it. */
void member_change_state(member_table_t *table, member_entry_t *entry,
    member_state_t state, uint64_t now, list_t *actions);
void member_emit_changed(const member_entry_t *entry, list_t *actions);
/* Raises the own incarnation above held. */
void member_refute(member_table_t *table, uint64_t held, uint64_t now, list_t *actions);
void member_forget(member_table_t *table, member_entry_t *entry, list_t *actions);
bool member_is_down(const member_entry_t *entry);

/* member_record.c */
bool member_name_is_valid(const char *name, size_t size);
/* Place in the order of states; a suspicion is local and counts as alive. */
unsigned member_state_rank(member_state_t state);
/* Errors: MASTICPITCH_E_INVALID. */
int member_record_read(const Masticpitch__Member *record, member_t *member);
/* Order of one node's records: incarnation, state, instance sequence. */
bool member_record_is_newer(const member_t *record, const member_t *held);
/* Points into member and instance. */
void member_to_record(
    const member_t *member, Masticpitch__Member *record, Masticpitch__Instance *instance);

/* member_gossip.c */
typedef struct datagram_options {
	Masticpitch__Datagram__Kind kind;
	uint64_t token;
	uint64_t subject;
	bool heard;
	bool with_self;	    /* own record first */
	bool with_sample;   /* random members, for a node that joins */
	size_t members_max; /* updates that ride on it */
	uint64_t suspected; /* receiver_suspected_incarnation */
} datagram_options_t;

/* receiver may be NULL for a node that is not in the table. */
void member_send(member_table_t *table, const address_t *to,
    const member_entry_t *receiver, const datagram_options_t *options, uint64_t now,
    list_t *actions);
void member_spread(member_table_t *table, member_entry_t *entry, uint64_t now);
/* Sends urgent updates if it is time. */
void member_flush_urgent(member_table_t *table, uint64_t now, list_t *actions);
void member_to_record(
    const member_t *member, Masticpitch__Member *record, Masticpitch__Instance *instance);
/* A random live member but this node, of a reachable zone if possible. */
member_entry_t *member_pick(member_table_t *table);
void member_merge_crash(member_table_t *table, const Masticpitch__CrashReport *report,
    uint64_t now, list_t *actions);
uint32_t member_spread_count(const member_table_t *table);

/* member_probe.c */
/* Something was received from the member itself. */
void member_heard(
    member_table_t *table, member_entry_t *entry, uint64_t now, list_t *actions);
void member_probe_receive(member_table_t *table, member_entry_t *entry,
    const address_t *from, const Masticpitch__Datagram *datagram, uint64_t now,
    list_t *actions);
void member_clear_suspicion(
    member_table_t *table, member_entry_t *entry, list_t *actions);
void member_probe_tick(member_table_t *table, uint64_t now, list_t *actions);
/* A datagram with a question for the sender's own record, seldom. */
void member_ask_record(member_table_t *table, member_entry_t *entry,
    const address_t *from, uint64_t node, uint64_t now, list_t *actions);

/* member_sync.c */
void member_sync_check(member_table_t *table, member_entry_t *entry, uint64_t digest,
    uint64_t now, list_t *actions);
void member_sync_start(
    member_table_t *table, uint64_t node, uint64_t now, list_t *actions);

#endif
