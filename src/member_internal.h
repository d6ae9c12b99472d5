/*
 * Structures shared by member.c (table and merge), member_gossip.c (datagrams),
 * member_probe.c (monitoring, zones), member_join.c (joining), member_sync.c
 * (anti-entropy) and member_quota.c (asks and grants of quotas).
 */
#ifndef MASTICPITCH_MEMBER_INTERNAL_H
#define MASTICPITCH_MEMBER_INTERNAL_H

#include "hash_table.h"
#include "masticpitch.pb-c.h"
#include "member.h"

/* Most members monitored concurrently: 3, and those behind suspect ones. */
#define TARGETS_MAX 24
#define MONITOR_REPORTS_MAX 8
/* Most members in one datagram; its size limit allows fewer. */
#define DATAGRAM_MEMBERS_MAX 24
#define DATAGRAM_CRASH_REPORTS_MAX 8
/* Most members piggybacked on a probe. */
#define PROBE_MEMBERS_MAX 8
/* Most bytes of a datagram's own fields. */
#define DATAGRAM_HEADER_MAX 130
/* Larger incarnations are refused: they leave no room for a refutation. */
#define INCARNATION_MAX (UINT64_MAX / 4)

typedef struct member_zone {
	char name[ZONE_BYTES];
	struct member_entry **live; /* alive, suspect and leaving members */
	size_t live_count;
	size_t live_capacity;
	bool reachable;
	uint64_t heard; /* last time that data of one of its members was received */
	uint64_t probe_sent_at;
	bool probe_pending;
} member_zone_t;

typedef enum monitor_report {
	MONITOR_REPORT_NONE,
	MONITOR_REPORT_PENDING,
	MONITOR_REPORT_MISSED
} monitor_report_t;

/* One member, and its monitoring by this node if it is a target (is_target). */
typedef struct member_entry {
	hash_node_t by_node;
	list_t bucket_link;
	list_t gossip_link; /* in table->gossip */
	list_t down_link;   /* in table->down */
	member_t member;
	member_zone_t *zone;
	size_t live_index; /* in table->live */
	size_t zone_index; /* in zone->live */
	uint64_t hash;	   /* contribution to the digests; 0: none */
	uint32_t gossip_sends_left;
	uint64_t version_floor;
	uint64_t version_reported; /* last version passed on as an action */
	bool version_known;
	uint64_t marked_down_at;
	uint64_t heard;		      /* last time that its data was received */
	uint64_t record_requested_at; /* last request for its own record; 0: none */
	/* Monitoring by this node. */
	bool is_target;
	uint64_t target_added_at;
	uint64_t probe_at;
	uint64_t probe_sent_at;
	bool probe_pending;
	unsigned misses;
	uint64_t suspected_at; /* 0: not suspect */
	uint64_t query_at;
	struct {
		uint64_t node;
		monitor_report_t report;
	} monitor_reports[MONITOR_REPORTS_MAX];
	size_t monitor_report_count;
} member_entry_t;

typedef struct crash_entry {
	member_crash_report_t report;
	uint64_t expires_at;
	uint32_t gossip_sends_left;
} crash_entry_t;

static inline uint64_t
after_ms(uint64_t time, uint64_t ms)
{
	return time + ms * NS_PER_MS;
}

/* An address of a node that may be of another group. */
typedef struct member_join {
	address_t address;
	bool is_seed;
	uint64_t next_at;
	uint64_t forget_at;  /* not of a seed */
	uint64_t backoff_ns; /* until the request after the next one */
} member_join_t;

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
	member_entry_t **live; /* includes this node */
	size_t live_count;
	size_t live_capacity;
	list_t down; /* probed in turn */
	size_t down_count;
	uint64_t down_probe_at;
	member_entry_t **ring; /* live members of the own zone by node id */
	size_t ring_count;
	size_t ring_capacity;
	member_entry_t *targets[TARGETS_MAX];
	size_t target_count;
	bool targets_stale;
	uint64_t targets_review_at;
	list_t gossip; /* updates to send, round robin */
	uint64_t urgent_at;
	uint32_t version_sends_left; /* datagrams still to announce the own version */
	uint64_t version_max;
	crash_entry_t crashes[MEMBER_CRASH_REPORTS_MAX];
	size_t crash_next;
	uint32_t crash_pending; /* reports with sends left */
	uint64_t heard_any_at;	/* last datagram of any member */
	uint64_t last_tick_at;
	member_join_t joins[MEMBER_JOIN_ADDRESSES_MAX];
	size_t join_count;
	size_t join_replaced; /* index replaced next when full */
	size_t join_next;     /* index that the next tick begins with */
	uint64_t join_needed_at;
	uint64_t join_backoff;
	uint64_t digest_changed_at;
	uint64_t first_difference_at; /* 0: the last received digest was equal */
	uint64_t sync_at;
	uint64_t sync_answers_second;
	uint32_t sync_answers;
	member_statistics_t statistics;
};

/* member.c */
member_action_t *member_action_append(list_t *actions, member_action_type_t type);
member_entry_t *member_entry_find(const member_table_t *table, uint64_t node);
/*
 * Merges a record if it is newer. forward: pass it on as gossip. Errors:
 * MASTICPITCH_E_INVALID, MASTICPITCH_E_LIMIT, MASTICPITCH_E_NOMEM,
 * MASTICPITCH_E_STALE.
 */
int member_merge(member_table_t *table, const Masticpitch__Member *record, bool forward,
    uint64_t now, list_t *actions);
/* Changes the state without a new incarnation, and gossips it. */
void member_change_state(member_table_t *table, member_entry_t *entry,
    member_state_t state, uint64_t now, list_t *actions);
void member_emit_changed(const member_entry_t *entry, list_t *actions);
/* Raises the own incarnation above known, the one that another node has. */
void member_refute(member_table_t *table, uint64_t known, uint64_t now, list_t *actions);
void member_remove(member_table_t *table, member_entry_t *entry, list_t *actions);
bool member_is_down(const member_entry_t *entry);

/* member_record.c */
bool member_name_is_valid(const char *name, size_t size);
/* Precedence of a state; suspicion is local and counts as alive. */
unsigned member_state_rank(member_state_t state);
/* Errors: MASTICPITCH_E_INVALID. */
int member_record_read(const Masticpitch__Member *record, member_t *member);
/* Records of one node are ordered by incarnation, state and instance sequence. */
bool member_record_is_newer(const member_t *record, const member_t *known);
/* The record points into member and instance. */
void member_to_record(
    const member_t *member, Masticpitch__Member *record, Masticpitch__Instance *instance);

/* member_gossip.c */
typedef struct datagram_options {
	Masticpitch__Datagram__Kind kind;
	uint64_t token;
	uint64_t subject;
	bool heard;	    /* the subject sent data within MEMBER_RECENT_CONTACT_MS */
	bool with_self;	    /* with the own record, in front */
	bool with_sample;   /* random members, for a node that joins */
	size_t members_max; /* most piggybacked updates */
	uint64_t suspected_incarnation; /* receiver_suspected_incarnation */
	Masticpitch__Quota *quota;	/* may be NULL */
} datagram_options_t;

/* receiver may be NULL for a node that is not in the table. */
void member_send(member_table_t *table, const address_t *to,
    const member_entry_t *receiver, const datagram_options_t *options, uint64_t now,
    list_t *actions);
/* Queues the record to be gossiped, ahead of older updates. */
void member_gossip_enqueue(member_table_t *table, member_entry_t *entry, uint64_t now);
/* Sends pending updates if MEMBER_URGENT_INTERVAL_MS have passed. */
void member_flush_urgent(member_table_t *table, uint64_t now, list_t *actions);
void member_to_record(
    const member_t *member, Masticpitch__Member *record, Masticpitch__Instance *instance);
/* A random live member other than this node, or NULL; of a reachable zone if possible. */
member_entry_t *member_pick_random(member_table_t *table);
void member_merge_crash(member_table_t *table, const Masticpitch__CrashReport *report,
    uint64_t now, list_t *actions);
/* How often an update is sent: grows with the logarithm of the member count. */
uint32_t member_gossip_transmissions(const member_table_t *table);

/* member_probe.c */
/* Data was received from the member itself: clears a suspicion. */
void member_mark_contact(
    member_table_t *table, member_entry_t *entry, uint64_t now, list_t *actions);
void member_probe_receive(member_table_t *table, member_entry_t *entry,
    const address_t *from, const Masticpitch__Datagram *datagram, uint64_t now,
    list_t *actions);
void member_clear_suspicion(
    member_table_t *table, member_entry_t *entry, list_t *actions);
/* Requests a node's own record; of a known member at most every 200 ms. */
void member_request_record(member_table_t *table, member_entry_t *entry,
    const address_t *from, uint64_t node, uint64_t now, list_t *actions);

/* member_quota.c */
/* Passes on the asks and grants of a datagram. */
void member_quota_receive(
    uint64_t node, const Masticpitch__Quota *quota, list_t *actions);

/* member_join.c */
void member_join_tick(member_table_t *table, uint64_t now, list_t *actions);

/* member_sync.c */
void member_sync_check(member_table_t *table, member_entry_t *entry, uint64_t digest,
    uint64_t now, list_t *actions);
void member_sync_start(
    member_table_t *table, uint64_t node, uint64_t now, list_t *actions);

#endif
