/*
 * Reading and watching the head on the platform, and the way back of a node
 * after its start.
 */
#include "spread_internal.h"

#include <string.h>

bool
spread_reader_is_continuous(spread_t *spread)
{
	switch (spread->variant.kind) {
	case CONFIG_SOURCE_RELAY:
		/* At first a node knows nobody and ranks lowest by mistake. */
		return spread->variant.u.relay.active ||
		       (spread->watchers > 1 &&
			   (spread->variant.u.relay.lone_waited ||
			       spread_members_usable_count(&spread->members) > 0) &&
			   spread_members_own_rank(&spread->members) < spread->watchers);
	case CONFIG_SOURCE_WATCH:
		return true;
	}
	return false;
}

void
spread_reader_run(spread_t *spread, uint64_t now)
{
	spread_reader_t *reader = &spread->reader;
	bool continuous = spread_reader_is_continuous(spread);

	if (!continuous && reader->watching) {
		(void)spread_action_add(spread, SPREAD_WATCH_CANCEL);
		reader->watching = false;
		reader->need_get = true;
	}
	if (reader->getting || (!continuous && !reader->wanted))
		return;
	if (reader->watching && !reader->wanted)
		return;
	if (now < reader->next_at) {
		spread_wake_schedule(spread, reader->next_at);
		return;
	}
	if (reader->wanted || reader->need_get) {
		reader->getting = true;
		reader->get_sent = now;
		spread_call(spread, SPREAD_CALL_GET_HEAD);
	} else {
		reader->watching = true;
		reader->watch_sent = now;
		spread_call(spread, SPREAD_CALL_WATCH_HEAD);
	}
}

static void
reader_failed(spread_t *spread, uint64_t now)
{
	spread_reader_t *reader = &spread->reader;

	bool relay = spread->variant.kind == CONFIG_SOURCE_RELAY &&
		     spread_reader_is_continuous(spread);

	reader->need_get = true;
	reader->next_at =
	    now + spread_backoff_next(spread, &reader->backoff,
		      relay ? SPREAD_BACKOFF_RELAY_MAX_NS : SPREAD_BACKOFF_MAX_NS);
}

/*
 * Tells returning nodes that the platform was read after their start. Who
 * asked while the read was under way waits for the next one.
 */
static void
waiters_answer(spread_t *spread, uint64_t read_sent, uint64_t now)
{
	size_t kept = 0;

	for (size_t i = 0; i < spread->waiter_count; i++) {
		const spread_waiter_t *waiter = &spread->waiters[i];
		uint64_t version = spread->in_force ? spread_accepted_version(spread) : 0;
		spread_message_t *message;

		if (waiter->added > read_sent) {
			spread->waiters[kept++] = *waiter;
			continue;
		}
		message = spread_message_new(spread, SPREAD_VERSION, version, now);
		if (message == NULL)
			continue; /* it asks again */
		message->floor = spread_member_floor(spread, waiter->node);
		message->token = waiter->token;
		spread_send(spread, waiter->node, message);
	}
	spread->waiter_count = kept;
	spread->reader.wanted |= kept > 0;
}

/* sent: when the call was made; what it saw is not older than that. */
static void
head_was_seen(
    spread_t *spread, const platform_answer_t *answer, uint64_t sent, uint64_t now)
{
	spread_reader_t *reader = &spread->reader;
	chunk_t *text = chunk_copy(answer->value, answer->size);

	reader->revision = answer->revision;
	reader->backoff = SPREAD_BACKOFF_MIN_NS;
	if (text == NULL) {
		reader_failed(spread, now);
		return;
	}
	spread_head_offer(spread, text, SOURCE_PLATFORM, sent, now);
	chunk_release(text);
	spread_candidate_advance(spread, now);
	waiters_answer(spread, sent, now);
}

void
spread_reader_answer(
    spread_t *spread, spread_call_t call, const platform_answer_t *answer, uint64_t now)
{
	spread_reader_t *reader = &spread->reader;
	bool *pending =
	    call == SPREAD_CALL_GET_HEAD ? &reader->getting : &reader->watching;

	if (!*pending)
		return;
	*pending = false;
	switch (answer->outcome) {
	case PLATFORM_OK:
		if (call == SPREAD_CALL_GET_HEAD) {
			reader->wanted = false;
			reader->need_get = false;
		}
		head_was_seen(spread, answer,
		    call == SPREAD_CALL_GET_HEAD ? reader->get_sent : reader->watch_sent,
		    now);
		break;
	case PLATFORM_NOT_FOUND:
		/* No head yet, or one was lost; the watch tells when there is one. */
		reader->wanted = false;
		reader->need_get = false;
		reader->revision = 0;
		reader->backoff = SPREAD_BACKOFF_MIN_NS;
		spread->waiter_count = 0;
		spread->regressed =
		    spread_accepted_version(spread) != 0 || spread->floor != 0;
		break;
	case PLATFORM_UNCHANGED:
		/* A platform that names its revision has not been set back. */
		reader->need_get = answer->store_revision == 0;
		reader->revision = MAX_OF(reader->revision, answer->store_revision);
		reader->backoff = SPREAD_BACKOFF_MIN_NS;
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

/* Asks some members, the zone's relay among them, for version and floor. */
static void
peers_ask(spread_t *spread, uint64_t now)
{
	spread_startup_t *start = &spread->start;
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
		message->token = start->token;
		message->confirmed_age_ms = (now - start->started) / NS_PER_MS;
		spread_send(spread, targets[i], message);
	}
	if (count > 0)
		start->last_ask = now;
}

/* This node reads the platform itself if it relays or peers do not help. */
static bool
own_read_is_due(spread_t *spread, uint64_t now)
{
	const spread_startup_t *start = &spread->start;

	if (now < start->next_read)
		return false;
	if (spread_members_is_relay(&spread->members) || start->answered_count == 0)
		return true;
	return now >= start->started + SPREAD_FLOOR_WAIT_NS;
}

void
spread_startup_run(spread_t *spread, uint64_t now)
{
	spread_startup_t *start = &spread->start;

	if (spread->in_force)
		return;
	if (now >= start->next_ask) {
		peers_ask(spread, now);
		start->next_ask = now + SPREAD_QUERY_INTERVAL_NS;
	}
	spread_wake_schedule(spread, start->next_ask);
	if (spread->variant.kind == CONFIG_SOURCE_WATCH)
		return; /* it reads the platform anyway */
	if (own_read_is_due(spread, now)) {
		spread->reader.wanted = true;
		start->next_read =
		    now + NS_PER_MS +
		    spread_backoff_next(spread, &start->backoff, SPREAD_BACKOFF_MAX_NS);
	}
	if (now < start->next_read)
		spread_wake_schedule(spread, start->next_read);
	else if (now < start->started + SPREAD_FLOOR_WAIT_NS)
		spread_wake_schedule(spread, start->started + SPREAD_FLOOR_WAIT_NS);
}

/* True if the platform had the head held after the asking node started. */
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
		spread->counters.dropped++; /* it asks again */
		return;
	}
	spread->waiters[spread->waiter_count++] =
	    (spread_waiter_t){.node = node, .token = message->token, .added = now};
	spread->reader.wanted = true;
}

void
spread_version_receive(
    spread_t *spread, uint64_t node, const spread_message_t *message, uint64_t now)
{
	spread_startup_t *start = &spread->start;
	uint64_t age = message->confirmed_age_ms * NS_PER_MS;

	if (message->token != start->token)
		return; /* meant for an earlier start of this address */
	spread_floor_raise(spread, message->floor);
	if (message->confirmed && age < now)
		spread_confirm(spread, message->version, now - age);
	for (size_t i = 0; i < start->answered_count; i++) {
		if (start->answered[i] == node)
			return;
	}
	if (start->answered_count < SPREAD_ANSWERED_MAX)
		start->answered[start->answered_count++] = node;
}
