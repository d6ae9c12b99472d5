/*
 * Membership datagrams: the updates piggybacked on them, their encoding within the
 * size limit, and their handling on receipt.
 */
#include "frame.h"
#include "member_internal.h"

#include <string.h>

/* Random picks until a member of a reachable zone is found. */
#define PICK_ATTEMPTS 4
/* Most bytes of tag and length in front of an embedded message. */
#define EMBEDDED_OVERHEAD 3
/* The same for quotas, whose tag and length take two bytes each. */
#define QUOTA_OVERHEAD 4

/* Storage that one datagram is built in. */
typedef struct datagram_scratch {
	Masticpitch__Datagram datagram;
	Masticpitch__Member members[DATAGRAM_MEMBERS_MAX];
	Masticpitch__Instance instances[DATAGRAM_MEMBERS_MAX];
	Masticpitch__Member *member_pointers[DATAGRAM_MEMBERS_MAX];
	Masticpitch__CrashReport crashes[DATAGRAM_CRASH_REPORTS_MAX];
	Masticpitch__CrashReport *crash_pointers[DATAGRAM_CRASH_REPORTS_MAX];
	size_t left; /* bytes left for members and crash reports */
} datagram_scratch_t;

uint32_t
member_gossip_transmissions(const member_table_t *table)
{
	uint32_t bits = 0;

	for (size_t n = table->live_count; n > 1; n = (n + 1) / 2)
		bits++;
	return bits + 3;
}

/* False if it does not fit. */
static bool
datagram_add_member(datagram_scratch_t *scratch, const member_t *member)
{
	size_t index = scratch->datagram.n_members;
	size_t size;

	if (index == DATAGRAM_MEMBERS_MAX)
		return false;
	member_to_record(member, &scratch->members[index], &scratch->instances[index]);
	size = masticpitch__member__get_packed_size(&scratch->members[index]) +
	       EMBEDDED_OVERHEAD;
	if (size > scratch->left)
		return false;
	scratch->left -= size;
	scratch->member_pointers[index] = &scratch->members[index];
	scratch->datagram.n_members++;
	return true;
}

/* Adds updates round robin; one without sends left is removed from the list. */
static void
datagram_add_updates(
    member_table_t *table, datagram_scratch_t *scratch, size_t members_max)
{
	list_t sent;

	list_init(&sent);
	while (members_max-- > 0 && !list_is_empty(&table->gossip)) {
		member_entry_t *entry =
		    LIST_ENTRY(table->gossip.next, member_entry_t, gossip_link);

		if (!datagram_add_member(scratch, &entry->member))
			break;
		list_remove(&entry->gossip_link);
		if (--entry->gossip_sends_left > 0)
			list_append(&sent, &entry->gossip_link);
	}
	while (!list_is_empty(&sent))
		list_append(&table->gossip, list_take_first(&sent));
}

static void
datagram_add_crashes(
    member_table_t *table, datagram_scratch_t *scratch, bool all, uint64_t now)
{
	if (table->crash_pending == 0 && !all)
		return;
	for (size_t i = 0; i < MEMBER_CRASH_REPORTS_MAX; i++) {
		crash_entry_t *entry = &table->crashes[i];
		size_t index = scratch->datagram.n_crash_reports;
		Masticpitch__CrashReport *report = &scratch->crashes[index];
		size_t size;

		if (index == DATAGRAM_CRASH_REPORTS_MAX)
			return;
		if (entry->expires_at <= now || (entry->gossip_sends_left == 0 && !all))
			continue;
		masticpitch__crash_report__init(report);
		report->fingerprint = entry->report.fingerprint;
		report->death = entry->report.death;
		report->cleared = entry->report.cleared;
		report->remaining_ms = (uint32_t)((entry->expires_at - now) / NS_PER_MS);
		size = masticpitch__crash_report__get_packed_size(report) +
		       EMBEDDED_OVERHEAD;
		if (size > scratch->left)
			return;
		scratch->left -= size;
		scratch->crash_pointers[index] = report;
		scratch->datagram.n_crash_reports++;
		if (entry->gossip_sends_left > 0 && --entry->gossip_sends_left == 0)
			table->crash_pending--;
	}
}

static void
datagram_add_sample(member_table_t *table, datagram_scratch_t *scratch)
{
	size_t start = rng_below(&table->rng, table->live_count);

	for (size_t i = 0; i < table->live_count && i < DATAGRAM_MEMBERS_MAX; i++) {
		const member_entry_t *entry =
		    table->live[(start + i) % table->live_count];

		if (entry != table->self && !datagram_add_member(scratch, &entry->member))
			return;
	}
}

void
member_send(member_table_t *table, const address_t *to, const member_entry_t *receiver,
    const datagram_options_t *options, uint64_t now, list_t *actions)
{
	datagram_scratch_t scratch;
	Masticpitch__Datagram *datagram = &scratch.datagram;
	member_action_t *action;

	masticpitch__datagram__init(datagram);
	datagram->members = scratch.member_pointers;
	datagram->crash_reports = scratch.crash_pointers;
	scratch.left = MEMBER_DATAGRAM_MAX - DATAGRAM_HEADER_MAX;
	datagram->kind = options->kind;
	datagram->node = table->self->member.node;
	datagram->boot = table->boot;
	datagram->sequence = ++table->sequence;
	datagram->incarnation = table->self->member.incarnation;
	datagram->token = options->token;
	datagram->subject = options->subject;
	datagram->heard = options->heard;
	datagram->config_version = table->self->member.config_version;
	datagram->table_digest = table->digest;
	datagram->version_max = table->version_max;
	datagram->receiver_suspected_incarnation = options->suspected_incarnation;
	if (receiver != NULL) {
		datagram->version_floor = receiver->version_floor;
		if (options->suspected_incarnation == 0 && member_is_down(receiver))
			datagram->receiver_suspected_incarnation =
			    receiver->member.incarnation;
	}
	datagram->quota = options->quota;
	if (options->quota != NULL)
		scratch.left -=
		    masticpitch__quota__get_packed_size(options->quota) + QUOTA_OVERHEAD;
	if (options->with_self)
		datagram_add_member(&scratch, &table->self->member);
	datagram_add_crashes(table, &scratch, options->with_sample, now);
	datagram_add_updates(table, &scratch, options->members_max);
	if (options->with_sample)
		datagram_add_sample(table, &scratch);
	action = member_action_append(actions, MEMBER_ACTION_SEND);
	if (action == NULL)
		return;
	action->node = address_to_node_id(to);
	action->address = *to;
	action->payload = chunk_create(masticpitch__datagram__get_packed_size(datagram));
	if (action->payload == NULL)
		return;
	INVARIANT(action->payload->size <= MEMBER_DATAGRAM_MAX);
	masticpitch__datagram__pack(datagram, action->payload->data);
}

void
member_gossip_enqueue(member_table_t *table, member_entry_t *entry, uint64_t now)
{
	entry->gossip_sends_left = member_gossip_transmissions(table);
	/* In front: new updates are sent before those that others have already. */
	list_remove(&entry->gossip_link);
	list_prepend(&table->gossip, &entry->gossip_link);
}

member_entry_t *
member_pick_random(member_table_t *table)
{
	member_entry_t *entry = NULL;

	if (table->live_count < 2)
		return NULL;
	for (int i = 0; i < PICK_ATTEMPTS; i++) {
		entry = table->live[rng_below(&table->rng, table->live_count)];
		if (entry != table->self && entry->zone->reachable)
			return entry;
	}
	return entry != table->self ? entry : NULL;
}

void
member_flush_urgent(member_table_t *table, uint64_t now, list_t *actions)
{
	const datagram_options_t options = {.kind = MASTICPITCH__DATAGRAM__KIND__GOSSIP,
	    .members_max = DATAGRAM_MEMBERS_MAX};

	if (now < table->urgent_at || table->live_count < 2)
		return;
	for (int i = 0; i < MEMBER_URGENT_FANOUT; i++) {
		member_entry_t *target;

		if (list_is_empty(&table->gossip) && table->version_sends_left == 0 &&
		    table->crash_pending == 0)
			return;
		target = member_pick_random(table);
		if (target == NULL)
			continue;
		if (table->version_sends_left > 0)
			table->version_sends_left--;
		member_send(
		    table, &target->member.address, target, &options, now, actions);
		table->urgent_at = now + MEMBER_URGENT_INTERVAL_MS * NS_PER_MS;
	}
}

/*
 * Finds the report with the same fingerprint, crash id and cleared; the crash id of a
 * clearing report is 0. NULL if there is none.
 */
static crash_entry_t *
crash_find(member_table_t *table, const member_crash_report_t *report, uint64_t now)
{
	for (size_t i = 0; i < MEMBER_CRASH_REPORTS_MAX; i++) {
		crash_entry_t *entry = &table->crashes[i];

		if (entry->expires_at > now &&
		    entry->report.fingerprint == report->fingerprint &&
		    entry->report.death == report->death &&
		    entry->report.cleared == report->cleared)
			return entry;
	}
	return NULL;
}

/* False if it is known or expired. */
static bool
crash_add(member_table_t *table, const member_crash_report_t *report, uint64_t expires_at,
    uint64_t now)
{
	crash_entry_t *entry;

	if (expires_at <= now || crash_find(table, report, now) != NULL)
		return false;
	entry = &table->crashes[table->crash_next];
	table->crash_next = (table->crash_next + 1) % MEMBER_CRASH_REPORTS_MAX;
	if (entry->gossip_sends_left > 0)
		table->crash_pending--;
	entry->report = *report;
	entry->expires_at = expires_at;
	entry->gossip_sends_left = member_gossip_transmissions(table);
	table->crash_pending++;
	return true;
}

void
member_report_crash(member_table_t *table, const member_crash_report_t *report,
    uint64_t now, list_t *actions)
{
	crash_add(table, report, now + MEMBER_CRASH_REPORT_MS * NS_PER_MS, now);
	member_flush_urgent(table, now, actions);
}

void
member_merge_crash(member_table_t *table, const Masticpitch__CrashReport *report,
    uint64_t now, list_t *actions)
{
	member_crash_report_t crash = {
	    report->fingerprint, report->death, report->cleared};
	uint64_t remaining =
	    MIN_OF(report->remaining_ms, (uint32_t)MEMBER_CRASH_REPORT_MS);
	member_action_t *action;

	if (!crash_add(table, &crash, now + remaining * NS_PER_MS, now))
		return;
	action = member_action_append(actions, MEMBER_ACTION_CRASH_REPORT);
	if (action != NULL)
		action->u.crash_report = crash;
}

static void
version_receive(member_table_t *table, member_entry_t *entry,
    const Masticpitch__Datagram *datagram, list_t *actions)
{
	uint64_t version = datagram->config_version;
	member_action_t *action;
	bool notify = !entry->version_known || entry->version_reported != version ||
		      version > table->self->member.config_version ||
		      datagram->version_floor > table->self->member.config_version;

	entry->member.config_version = version;
	entry->version_floor = MAX_OF(entry->version_floor, version);
	table->version_max =
	    MAX_OF(table->version_max, MAX_OF(version, datagram->version_max));
	if (!notify)
		return;
	action = member_action_append(actions, MEMBER_ACTION_VERSION_RECEIVED);
	if (action == NULL)
		return;
	entry->version_known = true;
	entry->version_reported = version;
	action->node = entry->member.node;
	action->u.version.version = version;
	action->u.version.floor = datagram->version_floor;
}

static void
join_answer(member_table_t *table, member_entry_t *entry, const address_t *from,
    const Masticpitch__Datagram *datagram, uint64_t now, list_t *actions)
{
	datagram_options_t options = {.kind = MASTICPITCH__DATAGRAM__KIND__JOIN_ANSWER,
	    .with_self = true,
	    .with_sample = true,
	    .members_max = PROBE_MEMBERS_MAX};

	/* An earlier start has a higher incarnation here: the node must exceed it. */
	if (entry != NULL && entry->member.incarnation > datagram->incarnation)
		options.suspected_incarnation = entry->member.incarnation;
	member_send(table, from, entry, &options, now, actions);
}

static void
datagram_receive(member_table_t *table, const address_t *from,
    const Masticpitch__Datagram *datagram, uint64_t now, list_t *actions)
{
	bool is_join = datagram->kind == MASTICPITCH__DATAGRAM__KIND__JOIN;
	bool is_answer = datagram->kind == MASTICPITCH__DATAGRAM__KIND__JOIN_ANSWER;
	member_entry_t *entry;

	for (size_t i = 0; i < datagram->n_members; i++)
		member_merge(table, datagram->members[i], !is_answer, now, actions);
	for (size_t i = 0; i < datagram->n_crash_reports; i++)
		member_merge_crash(table, datagram->crash_reports[i], now, actions);
	if (datagram->quota != NULL)
		member_quota_receive(datagram->node, datagram->quota, actions);
	if (datagram->receiver_suspected_incarnation != 0)
		member_refute(
		    table, datagram->receiver_suspected_incarnation, now, actions);
	table->heard_any_at = now;
	entry = member_entry_find(table, datagram->node);
	if (is_join)
		join_answer(table, entry, from, datagram, now, actions);
	if (entry == NULL || datagram->incarnation > entry->member.incarnation) {
		if (!is_join)
			member_request_record(
			    table, entry, from, datagram->node, now, actions);
	}
	if (entry != NULL && datagram->incarnation >= entry->member.incarnation) {
		version_receive(table, entry, datagram, actions);
		member_mark_contact(table, entry, now, actions);
		if (is_answer)
			member_sync_start(table, datagram->node, now, actions);
		else
			member_sync_check(
			    table, entry, datagram->table_digest, now, actions);
	}
	member_probe_receive(table, entry, from, datagram, now, actions);
}

Masticpitch__Datagram *
member_decode(const address_t *from, const uint8_t *data, size_t size)
{
	frame_allocator_t allocator;
	Masticpitch__Datagram *datagram;

	if (size > MEMBER_DATAGRAM_MAX)
		return NULL;
	frame_allocator_init(&allocator, size);
	datagram = masticpitch__datagram__unpack(&allocator.base, size, data);
	if (datagram == NULL)
		return NULL;
	if (datagram->node == address_to_node_id(from) && datagram->incarnation != 0 &&
	    datagram->incarnation <= INCARNATION_MAX)
		return datagram;
	member_datagram_free(datagram);
	return NULL;
}

void
member_datagram_free(Masticpitch__Datagram *datagram)
{
	if (datagram != NULL)
		masticpitch__datagram__free_unpacked(datagram, NULL);
}

void
member_handle(member_table_t *table, const address_t *from,
    const Masticpitch__Datagram *datagram, uint64_t now, list_t *actions)
{
	if (datagram->node == table->self->member.node)
		return;
	datagram_receive(table, from, datagram, now, actions);
	member_flush_urgent(table, now, actions);
}

int
member_receive(member_table_t *table, const address_t *from, const uint8_t *data,
    size_t size, uint64_t now, list_t *actions)
{
	Masticpitch__Datagram *datagram = member_decode(from, data, size);

	if (datagram == NULL) {
		table->statistics.refused++;
		return MASTICPITCH_E_INVALID;
	}
	member_handle(table, from, datagram, now, actions);
	member_datagram_free(datagram);
	return MASTICPITCH_OK;
}
