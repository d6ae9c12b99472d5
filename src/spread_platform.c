/*
 * Reading and watching the head on the platform, and the queries of a starting node
 * until a version is in force.
 */
#include "spread_internal.h"

#include <string.h>

bool
spread_reader_has_role(spread_t *spread)
{
	switch (spread->variant.kind) {
	case CONFIG_SOURCE_RELAY:
		/* A node without known members ranks lowest in its own table. */
		return spread->variant.u.relay.active ||
		       (spread->watchers > 1 &&
			   (spread->variant.u.relay.start_delay_passed ||
			       spread_members_usable_count(&spread->members) > 0) &&
			   spread_members_own_rank(&spread->members) < spread->watchers);
	case CONFIG_SOURCE_WATCH:
		return true;
	}
	return false;
}

bool
spread_reader_is_continuous(spread_t *spread)
{
	return spread->freshness.watches || spread_reader_has_role(spread);
}

/* The end of a watch that starts now. */
static uint64_t
watch_end(const spread_t *spread, uint64_t now)
{
	uint64_t earliest = now + SPREAD_WATCH_WAIT_MIN_MS * NS_PER_MS;
	uint64_t interval = spread_verify_interval(spread);

	if (spread->variant.kind == CONFIG_SOURCE_WATCH)
		return now + SPREAD_WATCH_WAIT_MS * NS_PER_MS;
	if (now >= spread->freshness.verified_at + 2 * interval)
		return now + interval;
	return MAX_OF(earliest, spread->freshness.verified_at + interval);
}

void
spread_reader_run(spread_t *spread, uint64_t now)
{
	spread_reader_t *reader = &spread->reader;
	bool continuous = spread_reader_is_continuous(spread);

	reader->is_continuous = continuous;
	if (!continuous && reader->watch_pending) {
		(void)spread_action_add(spread, SPREAD_WATCH_CANCEL);
		reader->watch_pending = false;
		reader->get_before_watch = true;
	}
	/* A starting node repeats its query, to nodes that still read the platform. */
	if (!continuous && spread->in_force) {
		spread->waiter_count = 0;
		reader->get_requested = false;
	}
	if (reader->get_pending || (!continuous && !reader->get_requested))
		return;
	if (reader->watch_pending && !reader->get_requested)
		return;
	if (now < reader->next_at) {
		spread_wake_schedule(spread, reader->next_at);
		return;
	}
	if (reader->get_requested || reader->get_before_watch) {
		reader->get_pending = true;
		reader->get_sent_at = now;
		spread_call(spread, SPREAD_CALL_GET_HEAD);
	} else {
		reader->watch_pending = true;
		reader->watch_sent_at = now;
		reader->watch_ends_at = watch_end(spread, now);
		spread_call(spread, SPREAD_CALL_WATCH_HEAD);
	}
}

static void
reader_failed(spread_t *spread, uint64_t now)
{
	spread_reader_t *reader = &spread->reader;
	uint64_t max_ns = SPREAD_BACKOFF_MAX_NS;

	if (spread->variant.kind == CONFIG_SOURCE_RELAY && spread_reader_has_role(spread))
		max_ns = SPREAD_BACKOFF_RELAY_MAX_NS;
	else if (spread->freshness.watches)
		max_ns = SPREAD_BACKOFF_STALE_MAX_SHARE * spread->apply_ns;
	spread->counters.reads_failed++;
	reader->is_failing = true;
	reader->get_before_watch = true;
	reader->next_at = now + spread_backoff_next(spread, &reader->backoff_ns, max_ns);
}

static void
reader_succeeded(spread_t *spread)
{
	spread->reader.backoff_ns = SPREAD_BACKOFF_MIN_NS;
	spread->reader.is_failing = false;
}

/*
 * Latest time for which an answer without a version says that there is none: a watch is
 * answered at the end of its wait.
 */
static uint64_t
answer_valid_at(const spread_reader_t *reader, spread_call_t call, uint64_t now)
{
	if (call == SPREAD_CALL_GET_HEAD)
		return reader->get_sent_at;
	return now + SPREAD_WATCH_EARLY_NS < reader->watch_ends_at
		   ? reader->watch_sent_at
		   : MIN_OF(now, reader->watch_ends_at);
}

/*
 * Notifies starting nodes that the platform was read after their start. Nodes that
 * queried after this read was sent wait for the next one.
 */
static void
waiters_answer(spread_t *spread, uint64_t read_sent, uint64_t now)
{
	size_t kept = 0;

	for (size_t i = 0; i < spread->waiter_count; i++) {
		const spread_waiter_t *waiter = &spread->waiters[i];
		uint64_t version = spread->in_force ? spread_accepted_version(spread) : 0;
		spread_message_t *message;

		if (waiter->added_at > read_sent) {
			spread->waiters[kept++] = *waiter;
			continue;
		}
		message = spread_message_new(spread, SPREAD_VERSION, version, now);
		if (message == NULL)
			continue; /* the node repeats its query */
		message->floor = spread_member_floor(spread, waiter->node);
		message->token = waiter->token;
		spread_send(spread, waiter->node, message);
	}
	spread->waiter_count = kept;
	spread->reader.get_requested |= kept > 0;
}

/* sent: time of the call; the head in the answer is not older than that. */
static void
head_receive(
    spread_t *spread, const platform_answer_t *answer, uint64_t sent, uint64_t now)
{
	spread_reader_t *reader = &spread->reader;
	chunk_t *text = chunk_copy(answer->value, answer->size);

	/*
	 * The head is the newest at the store's revision too. From its own revision a
	 * watch is refused once the store has dropped that part of its history.
	 */
	reader->revision = MAX_OF(answer->revision, answer->store_revision);
	reader_succeeded(spread);
	if (text == NULL) {
		reader_failed(spread, now);
		return;
	}
	spread_head_offer(spread, text, SOURCE_PLATFORM, sent, now);
	chunk_release(text);
	spread_candidate_advance(spread, now);
	if (spread->confirmed_at >= sent &&
	    spread->confirmed_version <= spread_accepted_version(spread))
		spread_verified(spread, sent, now);
	waiters_answer(spread, sent, now);
}

void
spread_reader_restart(spread_t *spread, uint64_t now)
{
	spread_reader_t *reader = &spread->reader;

	if (reader->watch_pending)
		(void)spread_action_add(spread, SPREAD_WATCH_CANCEL);
	reader->watch_pending = false;
	reader->get_before_watch = true;
	reader->revision = 0;
	reader->next_at = now;
}

void
spread_reader_answer(
    spread_t *spread, spread_call_t call, const platform_answer_t *answer, uint64_t now)
{
	spread_reader_t *reader = &spread->reader;
	bool *pending =
	    call == SPREAD_CALL_GET_HEAD ? &reader->get_pending : &reader->watch_pending;

	if (!*pending)
		return;
	*pending = false;
	switch (answer->outcome) {
	case PLATFORM_OK:
		if (call == SPREAD_CALL_GET_HEAD) {
			reader->get_requested = false;
			reader->get_before_watch = false;
		}
		head_receive(spread, answer,
		    call == SPREAD_CALL_GET_HEAD ? reader->get_sent_at
						 : reader->watch_sent_at,
		    now);
		break;
	case PLATFORM_NOT_FOUND:
		/* No head yet, or it was lost; the watch returns once there is one. */
		reader->get_requested = false;
		reader->get_before_watch = false;
		reader->revision = answer->store_revision;
		reader_succeeded(spread);
		spread_verified(spread, answer_valid_at(reader, call, now), now);
		spread->waiter_count = 0;
		spread->regressed =
		    spread_accepted_version(spread) != 0 || spread->floor != 0;
		break;
	case PLATFORM_UNCHANGED:
		/* An answer with a store revision excludes a regression. */
		reader->get_before_watch |= answer->store_revision == 0;
		reader->revision = MAX_OF(reader->revision, answer->store_revision);
		reader_succeeded(spread);
		/* Otherwise the version that was read last was given up. */
		if (!reader->get_before_watch)
			spread_verified(spread, answer_valid_at(reader, call, now), now);
		break;
	case PLATFORM_CONFLICT:
	case PLATFORM_REFUSED:
	case PLATFORM_NOT_SENT:
	case PLATFORM_UNKNOWN:
	case PLATFORM_OUTCOME_COUNT:
		reader_failed(spread, now);
		break;
	}
}

/* Queries some members, including the zone's relay, for version and floor. */
static void
peers_query(spread_t *spread, uint64_t now)
{
	spread_startup_t *startup = &spread->startup;
	uint64_t targets[SPREAD_QUERY_PEERS + 1];
	size_t count = spread_members_random(
	    &spread->members, &spread->rng, targets, SPREAD_QUERY_PEERS);
	uint64_t relay = spread_members_relay_of(&spread->members, spread->members.zone);
	bool listed = relay == 0;

	for (size_t i = 0; i < count; i++)
		listed |= targets[i] == relay;
	if (!listed)
		targets[count++] = relay;
	for (size_t i = 0; i < count; i++) {
		spread_message_t *message = spread_message_create(SPREAD_ASK_VERSION, 0);

		if (message == NULL)
			return;
		message->token = startup->token;
		message->confirmed_age_ms = (now - startup->started_at) / NS_PER_MS;
		spread_send(spread, targets[i], message);
	}
	if (count > 0)
		startup->last_query_at = now;
}

/* A starting node reads the platform if it is the relay or if peers do not help. */
static bool
own_read_is_due(spread_t *spread, uint64_t now)
{
	const spread_startup_t *startup = &spread->startup;

	if (now < startup->next_read_at)
		return false;
	if (spread_members_is_relay(&spread->members) ||
	    startup->answered_node_count == 0)
		return true;
	return now >= startup->started_at + SPREAD_FLOOR_WAIT_NS;
}

void
spread_startup_run(spread_t *spread, uint64_t now)
{
	spread_startup_t *startup = &spread->startup;

	if (spread->in_force)
		return;
	if (now >= startup->next_query_at) {
		peers_query(spread, now);
		startup->next_query_at = now + SPREAD_QUERY_INTERVAL_NS;
	}
	spread_wake_schedule(spread, startup->next_query_at);
	if (spread->variant.kind == CONFIG_SOURCE_WATCH)
		return; /* every node of this variant reads the platform */
	if (own_read_is_due(spread, now)) {
		spread->reader.get_requested = true;
		startup->next_read_at = now + NS_PER_MS +
					spread_backoff_next(spread, &startup->backoff_ns,
					    SPREAD_BACKOFF_MAX_NS);
	}
	if (now < startup->next_read_at)
		spread_wake_schedule(spread, startup->next_read_at);
	else if (now < startup->started_at + SPREAD_FLOOR_WAIT_NS)
		spread_wake_schedule(spread, startup->started_at + SPREAD_FLOOR_WAIT_NS);
}

/*
 * True if the platform confirmed this node's head after the querying node started,
 * age_ms ago.
 */
static bool
is_confirmed_since(const spread_t *spread, uint64_t age_ms, uint64_t now)
{
	return spread->confirmed_at != 0 &&
	       now - spread->confirmed_at < age_ms * NS_PER_MS;
}

void
spread_version_query_answer(
    spread_t *spread, uint64_t node, const spread_message_t *message, uint64_t now)
{
	uint64_t version = spread->in_force ? spread_accepted_version(spread) : 0;
	spread_message_t *answer =
	    spread_message_new(spread, SPREAD_VERSION, version, now);

	if (answer == NULL)
		return;
	answer->floor = spread_member_floor(spread, node);
	answer->token = message->token;
	spread_send(spread, node, answer);
	if (spread->variant.kind == CONFIG_SOURCE_WATCH ||
	    !spread_reader_is_continuous(spread) ||
	    is_confirmed_since(spread, message->confirmed_age_ms, now))
		return;
	if (spread->waiter_count == SPREAD_WAITERS_MAX) {
		spread->counters.dropped++; /* the node repeats its query */
		return;
	}
	spread->waiters[spread->waiter_count++] =
	    (spread_waiter_t){.node = node, .token = message->token, .added_at = now};
	spread->reader.get_requested = true;
}

void
spread_version_receive(
    spread_t *spread, uint64_t node, const spread_message_t *message, uint64_t now)
{
	spread_startup_t *startup = &spread->startup;
	uint64_t age = message->confirmed_age_ms * NS_PER_MS;

	if (message->token != startup->token)
		return; /* for an earlier process at this address */
	spread_floor_raise(spread, message->floor);
	if (message->confirmed && age < now)
		spread_confirm(spread, message->version, now - age);
	for (size_t i = 0; i < startup->answered_node_count; i++) {
		if (startup->answered_nodes[i] == node)
			return;
	}
	if (startup->answered_node_count < SPREAD_ANSWERED_MAX)
		startup->answered_nodes[startup->answered_node_count++] = node;
}
