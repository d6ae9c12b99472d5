/*
 * Monitoring within the zone with suspicion and its confirmation, reachability
 * of other zones, and probes of down members.
 */
#include "member_internal.h"

#include <string.h>

static void
probe_send(member_table_t *table, member_entry_t *entry, uint64_t now, list_t *actions)
{
	const datagram_options_t options = {.kind = MASTICPITCH__DATAGRAM__KIND__PROBE,
	    .token = now,
	    .members_max = PROBE_MEMBERS_MAX};

	member_send(table, &entry->member.address, entry, &options, now, actions);
}

void
member_request_record(member_table_t *table, member_entry_t *entry, const address_t *from,
    uint64_t node, uint64_t now, list_t *actions)
{
	const datagram_options_t options = {.kind = MASTICPITCH__DATAGRAM__KIND__PROBE,
	    .token = now,
	    .subject = node,
	    .members_max = PROBE_MEMBERS_MAX};

	if (entry != NULL) {
		if (entry->record_requested_at != 0 &&
		    now < after_ms(entry->record_requested_at, 200))
			return;
		entry->record_requested_at = now;
	}
	member_send(table, from, entry, &options, now, actions);
}

void
member_request_refutation(member_table_t *table, const address_t *to,
    uint64_t known_incarnation, uint64_t now, list_t *actions)
{
	const datagram_options_t options = {.kind = MASTICPITCH__DATAGRAM__KIND__PROBE,
	    .token = now,
	    .suspected_incarnation = known_incarnation};

	member_send(table, to, NULL, &options, now, actions);
}

void
member_clear_suspicion(member_table_t *table, member_entry_t *entry, list_t *actions)
{
	entry->misses = 0;
	entry->probe_pending = false;
	if (entry->suspected_at == 0)
		return;
	entry->suspected_at = 0;
	entry->monitor_report_count = 0;
	table->targets_stale = true;
	if (entry->member.state != MEMBER_SUSPECT)
		return;
	entry->member.state = MEMBER_ALIVE;
	if (actions != NULL)
		member_emit_changed(entry, actions);
}

static void
zone_set_reachable(member_zone_t *zone, bool reachable, list_t *actions)
{
	if (zone->reachable == reachable)
		return;
	zone->reachable = reachable;
	for (size_t i = 0; i < zone->live_count; i++)
		member_emit_changed(zone->live[i], actions);
}

void
member_mark_contact(
    member_table_t *table, member_entry_t *entry, uint64_t now, list_t *actions)
{
	entry->heard = now;
	entry->zone->heard = now;
	entry->zone->probe_pending = false;
	zone_set_reachable(entry->zone, true, actions);
	if (!member_is_down(entry))
		member_clear_suspicion(table, entry, actions);
}

void
member_receive_on_connection(
    member_table_t *table, uint64_t node, uint64_t now, list_t *actions)
{
	member_entry_t *entry = member_entry_find(table, node);

	if (entry == NULL)
		return;
	if (member_is_down(entry))
		member_request_record(
		    table, entry, &entry->member.address, node, now, actions);
	else
		member_mark_contact(table, entry, now, actions);
}

/* Position of the first ring entry with an id above node's. */
static size_t
ring_after(const member_table_t *table, uint64_t node)
{
	size_t low = 0, high = table->ring_count;

	while (low < high) {
		size_t middle = (low + high) / 2;

		if (table->ring[middle]->member.node <= node)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

/*
 * A former target is retained for MEMBER_TARGET_KEEP_MS, so that its probe results and
 * reports are not lost while a run of other members is declared down.
 */
static bool
target_is_retained(const member_table_t *table, const member_entry_t *entry, uint64_t now)
{
	return table->target_count < TARGETS_MAX && !member_is_down(entry) &&
	       entry->zone == table->self->zone &&
	       now < after_ms(entry->target_added_at, MEMBER_TARGET_KEEP_MS);
}

/*
 * Monitors the 3 predecessors on the ring. Suspect ones do not count, and each adds
 * 3 more, so that a run of hosts that failed together is detected in two steps
 * instead of 3 hosts at a time.
 */
static void
targets_update(member_table_t *table, uint64_t now, list_t *actions)
{
	member_entry_t *previous[TARGETS_MAX];
	size_t previous_count = table->target_count;
	size_t position = ring_after(table, table->self->member.node) - 1;
	unsigned unsuspected = 0, wanted = MEMBER_MONITORS;

	table->targets_review_at = after_ms(now, MEMBER_TARGET_KEEP_MS);
	memcpy(previous, table->targets, sizeof(previous));
	for (size_t i = 0; i < previous_count; i++)
		previous[i]->is_target = false;
	table->target_count = 0;
	for (size_t i = 1; i < table->ring_count && i <= TARGETS_MAX; i++) {
		member_entry_t *entry =
		    table->ring[(position + table->ring_count - i) % table->ring_count];

		if (unsuspected >= wanted)
			break;
		entry->is_target = true;
		table->targets[table->target_count++] = entry;
		if (entry->suspected_at == 0)
			unsuspected++;
		else
			wanted += MEMBER_MONITORS;
	}
	for (size_t i = 0; i < previous_count; i++) {
		if (previous[i]->is_target)
			continue;
		if (target_is_retained(table, previous[i], now)) {
			previous[i]->is_target = true;
			table->targets[table->target_count++] = previous[i];
			continue;
		}
		member_clear_suspicion(table, previous[i], actions);
		previous[i]->target_added_at = 0;
	}
	table->targets_stale = false;
	for (size_t i = 0; i < table->target_count; i++) {
		member_entry_t *entry = table->targets[i];

		if (entry->target_added_at != 0)
			continue;
		entry->target_added_at = now;
		entry->heard = MAX_OF(entry->heard, now - MEMBER_PROBE_MS * NS_PER_MS);
		entry->probe_at = after_ms(now, rng_below(&table->rng, MEMBER_PROBE_MS));
		entry->probe_pending = false;
		entry->misses = 0;
	}
}

/* The other monitors of the member, by this node's view of the ring. */
static size_t
other_monitors(const member_table_t *table, const member_entry_t *subject,
    member_entry_t *monitors[MEMBER_MONITORS])
{
	size_t start = ring_after(table, subject->member.node);
	size_t count = 0;
	unsigned unsuspected = 0;

	for (size_t i = 0; i + 1 < table->ring_count && i < TARGETS_MAX; i++) {
		member_entry_t *entry = table->ring[(start + i) % table->ring_count];

		if (entry == subject || entry->suspected_at != 0)
			continue;
		if (entry != table->self)
			monitors[count++] = entry;
		if (++unsuspected == MEMBER_MONITORS)
			break;
	}
	return count;
}

static void
suspicion_query_send(
    member_table_t *table, member_entry_t *subject, uint64_t now, list_t *actions)
{
	const datagram_options_t options = {
	    .kind = MASTICPITCH__DATAGRAM__KIND__SUSPECT_QUERY,
	    .token = now,
	    .subject = subject->member.node,
	    .members_max = 2};
	member_entry_t *monitors[MEMBER_MONITORS];
	size_t count = other_monitors(table, subject, monitors);

	for (size_t i = 0; i < count; i++)
		member_send(table, &monitors[i]->member.address, monitors[i], &options,
		    now, actions);
}

static void
suspicion_begin(
    member_table_t *table, member_entry_t *entry, uint64_t now, list_t *actions)
{
	entry->suspected_at = now;
	entry->query_at = now;
	entry->monitor_report_count = 0;
	entry->probe_at = now;
	table->targets_stale = true;
	table->statistics.suspicions++;
	if (entry->member.state == MEMBER_ALIVE) {
		entry->member.state = MEMBER_SUSPECT;
		member_emit_changed(entry, actions);
	}
}

/*
 * True if the member had MEMBER_REFUTE_MS to answer and two monitors, or all that
 * reported, miss it; this node counts as one.
 */
static bool
suspicion_is_confirmed(
    const member_table_t *table, const member_entry_t *entry, uint64_t now)
{
	size_t missed = 1, answered = 1;

	if (now < after_ms(entry->suspected_at, MEMBER_REFUTE_MS))
		return false;
	/* If nothing is received at all, this node may be the one that is cut off. */
	if (now > after_ms(table->heard_any_at, MEMBER_REFUTE_MS) &&
	    now < after_ms(entry->suspected_at, MEMBER_ISOLATED_MS))
		return false;
	for (size_t i = 0; i < entry->monitor_report_count; i++) {
		if (entry->monitor_reports[i].report == MONITOR_REPORT_MISSED)
			missed++;
		if (entry->monitor_reports[i].report != MONITOR_REPORT_PENDING ||
		    now < after_ms(entry->suspected_at, MEMBER_MONITOR_TIMEOUT_MS))
			answered++;
	}
	return missed >= 2 || missed == answered;
}

static void
monitor_report_set(member_entry_t *subject, uint64_t monitor, monitor_report_t report)
{
	for (size_t i = 0; i < subject->monitor_report_count; i++)
		if (subject->monitor_reports[i].node == monitor) {
			subject->monitor_reports[i].report = report;
			return;
		}
	if (subject->monitor_report_count == MONITOR_REPORTS_MAX)
		return;
	subject->monitor_reports[subject->monitor_report_count].node = monitor;
	subject->monitor_reports[subject->monitor_report_count++].report = report;
}

/*
 * Answers a query about a suspect. Token 1 means that the answer is this node's own
 * observation: a node that does not monitor the subject has none.
 */
static void
suspicion_query_answer(member_table_t *table, const member_entry_t *requester,
    const address_t *from, uint64_t node, uint64_t now, list_t *actions)
{
	const member_entry_t *subject = member_entry_find(table, node);
	datagram_options_t options = {
	    .kind = MASTICPITCH__DATAGRAM__KIND__SUSPECT_ANSWER, .subject = node};

	if (subject == NULL)
		return;
	options.heard = !member_is_down(subject) &&
			now < after_ms(subject->heard, MEMBER_RECENT_CONTACT_MS);
	if (member_is_down(subject) ||
	    (subject->is_target &&
		now >= after_ms(subject->target_added_at, MEMBER_RECENT_CONTACT_MS)))
		options.token = 1;
	else if (!subject->is_target)
		options.heard = false;
	member_send(table, from, requester, &options, now, actions);
}

static void
monitor_report_receive(member_table_t *table, const Masticpitch__Datagram *datagram,
    uint64_t now, list_t *actions)
{
	member_entry_t *subject = member_entry_find(table, datagram->subject);

	if (subject == NULL || subject->suspected_at == 0)
		return;
	if (datagram->heard) {
		member_clear_suspicion(table, subject, actions);
		return;
	}
	monitor_report_set(subject, datagram->node,
	    datagram->token == 1 ? MONITOR_REPORT_MISSED : MONITOR_REPORT_PENDING);
}

static void
probe_answer(member_table_t *table, const member_entry_t *entry, const address_t *from,
    const Masticpitch__Datagram *datagram, uint64_t now, list_t *actions)
{
	const datagram_options_t options = {
	    .kind = MASTICPITCH__DATAGRAM__KIND__PROBE_ANSWER,
	    .token = datagram->token,
	    .with_self = datagram->subject == table->self->member.node,
	    .members_max = PROBE_MEMBERS_MAX};

	member_send(table, from, entry, &options, now, actions);
}

void
member_probe_receive(member_table_t *table, member_entry_t *entry, const address_t *from,
    const Masticpitch__Datagram *datagram, uint64_t now, list_t *actions)
{
	switch (datagram->kind) {
	case MASTICPITCH__DATAGRAM__KIND__PROBE:
		probe_answer(table, entry, from, datagram, now, actions);
		return;
	case MASTICPITCH__DATAGRAM__KIND__SUSPECT_QUERY:
		suspicion_query_answer(
		    table, entry, from, datagram->subject, now, actions);
		break;
	case MASTICPITCH__DATAGRAM__KIND__SUSPECT_ANSWER:
		monitor_report_receive(table, datagram, now, actions);
		break;
	default:
		break;
	}
	/* The sender is down in the table but alive: notify it, so that it refutes. */
	if (entry != NULL && member_is_down(entry) &&
	    datagram->kind != MASTICPITCH__DATAGRAM__KIND__PROBE_ANSWER)
		member_request_record(
		    table, entry, from, entry->member.node, now, actions);
}

static void
target_tick(member_table_t *table, member_entry_t *entry, uint64_t now, list_t *actions)
{
	bool suspect = entry->suspected_at != 0;

	if (entry->probe_pending &&
	    now >= after_ms(entry->probe_sent_at, MEMBER_PROBE_TIMEOUT_MS)) {
		entry->probe_pending = false;
		entry->misses++;
	}
	if (!suspect && entry->misses >= MEMBER_SUSPECT_MISSES) {
		suspicion_begin(table, entry, now, actions);
		suspect = true;
	}
	if (now >= entry->probe_at) {
		probe_send(table, entry, now, actions);
		if (!entry->probe_pending)
			entry->probe_sent_at = now;
		entry->probe_pending = true;
		entry->probe_at =
		    after_ms(now, suspect ? MEMBER_SUSPECT_PROBE_MS : MEMBER_PROBE_MS);
	}
	if (!suspect)
		return;
	if (now >= entry->query_at) {
		suspicion_query_send(table, entry, now, actions);
		entry->query_at = after_ms(now, MEMBER_SUSPECT_PROBE_MS);
	}
	if (suspicion_is_confirmed(table, entry, now))
		member_change_state(table, entry, MEMBER_DOWN, now, actions);
}

static void
targets_tick(member_table_t *table, uint64_t now, list_t *actions)
{
	member_entry_t *targets[TARGETS_MAX];
	size_t count;

	/* The review drops retained targets when MEMBER_TARGET_KEEP_MS are over. */
	if (table->targets_stale || now >= table->targets_review_at)
		targets_update(table, now, actions);
	count = table->target_count;
	memcpy(targets, table->targets, sizeof(targets));
	for (size_t i = 0; i < count; i++)
		if (!member_is_down(targets[i]))
			target_tick(table, targets[i], now, actions);
	if (table->targets_stale)
		targets_update(table, now, actions);
}

/* After an unanswered probe the next ones are sent sooner, to other members. */
static void
zones_tick(member_table_t *table, uint64_t now, list_t *actions)
{
	for (size_t i = 0; i < table->zone_count; i++) {
		member_zone_t *zone = table->zones[i];
		uint64_t wait =
		    zone->probe_pending ? MEMBER_PROBE_MS : MEMBER_ZONE_PROBE_MS;

		if (zone == table->self->zone || zone->live_count == 0)
			continue;
		if (now > after_ms(zone->heard, MEMBER_ZONE_TIMEOUT_MS))
			zone_set_reachable(zone, false, actions);
		if (now < after_ms(zone->probe_sent_at, wait))
			continue;
		/* Two probes after a miss: 5% loss must not make a zone unreachable. */
		for (int probes = zone->probe_pending ? 2 : 1; probes > 0; probes--)
			probe_send(table,
			    zone->live[rng_below(&table->rng, zone->live_count)], now,
			    actions);
		zone->probe_sent_at = now;
		zone->probe_pending = true;
	}
}

/* Probes down members round robin; removes one after MEMBER_DOWN_KEEP_MS. */
static void
down_tick(member_table_t *table, uint64_t now, list_t *actions)
{
	member_entry_t *entry;

	if (now < table->down_probe_at || list_is_empty(&table->down))
		return;
	table->down_probe_at = after_ms(now, MEMBER_DOWN_PROBE_MS);
	entry = LIST_ENTRY(table->down.next, member_entry_t, down_link);
	if (now > after_ms(entry->marked_down_at, MEMBER_DOWN_KEEP_MS)) {
		member_remove(table, entry, actions);
		return;
	}
	list_remove(&entry->down_link);
	list_append(&table->down, &entry->down_link);
	probe_send(table, entry, now, actions);
}

void
member_tick(member_table_t *table, uint64_t now, list_t *actions)
{
	/* After a pause of this process, missing answers are due to that pause. */
	if (now > after_ms(table->last_tick_at, 1000)) {
		table->heard_any_at = now;
		for (size_t i = 0; i < table->zone_count; i++)
			table->zones[i]->heard = now;
		for (size_t i = 0; i < table->target_count; i++)
			member_clear_suspicion(table, table->targets[i], actions);
	}
	table->last_tick_at = now;
	targets_tick(table, now, actions);
	zones_tick(table, now, actions);
	down_tick(table, now, actions);
	member_join_tick(table, now, actions);
	member_flush_urgent(table, now, actions);
}
