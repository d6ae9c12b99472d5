/*
 * Membership decisions of one node: member table, monitoring, suspicion,
 * gossip and anti-entropy. Functions of (state, event, now) that return actions;
 * they open no socket and read no clock. Times are monotonic ns. Not thread-safe.
 */
#ifndef MASTICPITCH_MEMBER_H
#define MASTICPITCH_MEMBER_H

#include "buffer.h"
#include "list.h"
#include "masticpitch.pb-c.h"
#include "member_types.h"
#include "util.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct member_table member_table_t;

/* Longest datagram on the wire, and its content without authentication; bytes. */
#define MEMBER_WIRE_MAX 1200
#define MEMBER_DATAGRAM_MAX (MEMBER_WIRE_MAX - 17)
/* Most entries in the table, down members included. */
#define MEMBER_TABLE_MAX 8192
#define MEMBER_ZONES_MAX 64
/* Period of member_tick(). */
#define MEMBER_TICK_MS 50
/* Nodes that monitor a node; they are in its zone. */
#define MEMBER_MONITORS 3
/* Interval of probes to a monitored member. */
#define MEMBER_PROBE_MS 300
/* An answer within a zone takes about 3 ms; after this time it counts as missed. */
#define MEMBER_PROBE_TIMEOUT_MS 150
/* Missed probes in a row that make a member suspect. */
#define MEMBER_SUSPECT_MISSES 3
/* A suspect has this long to answer before it can be declared down. */
#define MEMBER_REFUTE_MS 500
/* Interval of probes and of queries to other monitors while a member is suspect. */
#define MEMBER_SUSPECT_PROBE_MS 100
/*
 * A monitor that has received from a suspect within this time reports it alive. A
 * failed node is suspected 750 ms after its last answer at the earliest.
 */
#define MEMBER_RECENT_CONTACT_MS 700
/* Longest wait for a monitor that has no view of the suspect yet. */
#define MEMBER_MONITOR_TIMEOUT_MS 800
/* A member is monitored for at least this long, even if the ring changes. */
#define MEMBER_TARGET_KEEP_MS 3000
/* A node that receives from no member declares none down before this time. */
#define MEMBER_ISOLATED_MS 3000
/* Interval of probes to another zone, and time without data until it is unreachable. */
#define MEMBER_ZONE_PROBE_MS 1000
#define MEMBER_ZONE_TIMEOUT_MS 2000
/* Interval of probes to down members, one at a time; how long they stay in the table. */
#define MEMBER_DOWN_PROBE_MS 1000
#define MEMBER_DOWN_KEEP_MS (24 * 60 * 60 * UINT64_C(1000))
/* Updates do not wait for a probe: least time between rounds, receivers of a round. */
#define MEMBER_URGENT_INTERVAL_MS 50
#define MEMBER_URGENT_FANOUT 4
/*
 * Join requests to an address that is not of a live member: first interval, longest one
 * while no member is live, and longest one of a group of MEMBER_JOIN_SHARED_BY. In larger
 * groups each node sends less, so that an address of a host that is gone gets as many.
 */
#define MEMBER_JOIN_MS 500
#define MEMBER_JOIN_ALONE_MAX_MS 1000
#define MEMBER_JOIN_MAX_MS 2000
#define MEMBER_JOIN_SHARED_BY 8
/* How long an address that is no seed is kept if no live member has it. */
#define MEMBER_JOIN_KEEP_MS 60000
/* Join requests sent in one tick, and addresses that are kept. */
#define MEMBER_JOINS_PER_TICK 3
#define MEMBER_JOIN_ADDRESSES_MAX 80
/* Least time between syncs that a node starts. */
#define MEMBER_SYNC_MS 1000
/* A difference of tables is left to gossip for this long after a change. */
#define MEMBER_SYNC_DELAY_MS 300
#define MEMBER_SYNC_ANSWERS_PER_S 20
#define MEMBER_BUCKETS 64
#define MEMBER_CRASH_REPORTS_MAX 256
/* Most asks and grants of quotas in one datagram. */
#define MEMBER_QUOTA_ITEMS_MAX 32
#define MEMBER_CRASH_REPORT_MS (10 * 60 * 1000)

typedef enum member_action_type {
	MEMBER_ACTION_SEND,		/* payload as datagram to address of node */
	MEMBER_ACTION_SYNC,		/* payload as CONTROL_MEMBERSHIP to node */
	MEMBER_ACTION_CHANGED,		/* member is new or changed */
	MEMBER_ACTION_REMOVED,		/* node is no longer in the table */
	MEMBER_ACTION_VERSION_RECEIVED, /* of node */
	MEMBER_ACTION_CRASH_REPORT,	/* received from another node */
	MEMBER_ACTION_JOIN_NEEDED,	/* no other member: addresses to join needed */
	MEMBER_ACTION_QUOTA_ASK,	/* of node, an item */
	MEMBER_ACTION_QUOTA_GRANT	/* of node, an item */
} member_action_type_t;

typedef struct member_crash_report {
	uint64_t fingerprint;
	uint64_t death; /* id of the backend server's crash; 0 if cleared */
	bool cleared;
} member_crash_report_t;

/* See quota_item_t. */
typedef struct member_quota {
	uint64_t workspace;
	uint32_t tokens;
	uint32_t retry_ms;
	bool hold;
} member_quota_t;

typedef struct member_action {
	list_t link;
	member_action_type_t type;
	uint64_t node;
	address_t address;
	chunk_t *payload;
	union {
		member_t member;
		struct {
			uint64_t version;
			uint64_t floor; /* of this node, as that member has it */
		} version;
		member_crash_report_t crash_report;
		member_quota_t quota;
	} u;
} member_action_t;

/* Takes the first action off the list, or NULL. */
member_action_t *member_action_take(list_t *actions);
void member_action_destroy(member_action_t *action);

typedef struct member_options {
	address_t address;
	const char *zone;
	const char *region;
	uint32_t link_mbps; /* of this host; 0: not known */
	uint64_t boot;
	uint64_t incarnation; /* wall clock, ms */
	uint64_t seed;	      /* of the random numbers */
	const address_t *seeds;
	size_t seed_count;
} member_options_t;

typedef struct member_statistics {
	size_t alive; /* with this node, suspect and leaving ones */
	size_t down;
	size_t zones_unreachable;
	uint64_t suspicions;
	uint64_t syncs;
	uint64_t refused; /* records and datagrams */
} member_statistics_t;

/* Errors: MASTICPITCH_E_NOMEM, MASTICPITCH_E_INVALID for a name too long. */
int member_table_create(
    const member_options_t *options, uint64_t now, member_table_t **result);
void member_table_destroy(member_table_t *table);

/* Each appends actions; out of memory drops actions, as the network drops datagrams. */

/* Decodes a datagram content; NULL: malformed, or not from that address. */
Masticpitch__Datagram *member_decode(
    const address_t *from, const uint8_t *data, size_t size);
void member_datagram_free(Masticpitch__Datagram *datagram);
/* Handles a decoded datagram. */
void member_handle(member_table_t *table, const address_t *from,
    const Masticpitch__Datagram *datagram, uint64_t now, list_t *actions);
/* member_decode() and member_handle(). Errors: MASTICPITCH_E_INVALID. */
int member_receive(member_table_t *table, const address_t *from, const uint8_t *data,
    size_t size, uint64_t now, list_t *actions);
/* Handles an anti-entropy payload from a node. Errors: MASTICPITCH_E_INVALID. */
int member_sync_receive(member_table_t *table, uint64_t node, const uint8_t *data,
    size_t size, uint64_t now, list_t *actions);
/* Call every MEMBER_TICK_MS. */
void member_tick(member_table_t *table, uint64_t now, list_t *actions);
void member_set_instance(
    member_table_t *table, const instance_t *instance, uint64_t now, list_t *actions);
void member_set_version(
    member_table_t *table, uint64_t version, uint64_t now, list_t *actions);
void member_leave(member_table_t *table, uint64_t now, list_t *actions);
void member_add_join_address(
    member_table_t *table, const address_t *address, bool is_seed, uint64_t now);
/*
 * Data was received on a connection with the node. This shows that it is alive as a
 * datagram does, and is the only sign while its link is too full for datagrams.
 */
void member_receive_on_connection(
    member_table_t *table, uint64_t node, uint64_t now, list_t *actions);
/* Sends a crash report of this node's gate to the others. */
void member_report_crash(member_table_t *table, const member_crash_report_t *report,
    uint64_t now, list_t *actions);
/*
 * Sends asks for quotas, or grants, to a member. False if it is not in the table, or
 * there are more than MEMBER_QUOTA_ITEMS_MAX.
 */
bool member_send_quota(member_table_t *table, uint64_t node, bool grants,
    const member_quota_t *items, size_t count, uint64_t now, list_t *actions);
/*
 * Requests that a node whose boot is not the newest one known raise its incarnation
 * above known_incarnation; see auth_windows_accept().
 */
void member_request_refutation(member_table_t *table, const address_t *to,
    uint64_t known_incarnation, uint64_t now, list_t *actions);

/* True while updates of this node's own record are still to be sent. */
bool member_has_pending_gossip(const member_table_t *table);
/* Own record. */
const member_t *member_self(const member_table_t *table);
/* NULL if it is not in the table. */
const member_t *member_find(const member_table_t *table, uint64_t node);
/* Digest of all members that are not down; equal tables have equal digests. */
uint64_t member_table_digest(const member_table_t *table);
void member_table_statistics(
    const member_table_t *table, member_statistics_t *statistics);
/* Calls visit for each member, in no particular order. */
void member_table_visit(const member_table_t *table,
    void (*visit)(void *context, const member_t *member), void *context);

#ifdef __cplusplus
}
#endif

#endif
