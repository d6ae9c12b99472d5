/*
 * The relay of a zone: the live member of lowest rank, which holds the lease of the
 * key relay/ZONE. Two relays, none or a paused one do no harm, since versions only
 * grow; the lease only limits the number of watches.
 */
#include "spread_internal.h"

#include "json_text.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RELAY_VALUE_BYTES 128

static void
lease_revoke(spread_t *spread, spread_relay_t *relay)
{
	spread_action_t *action = NULL;

	if (relay->lease != 0)
		action = spread_action_add(spread, SPREAD_CALL);
	if (action != NULL) {
		action->call = SPREAD_CALL_LEASE_REVOKE;
		action->lease = relay->lease;
	}
	relay->lease = 0;
}

static void
lease_call(spread_t *spread, spread_relay_t *relay, spread_call_t call)
{
	spread_action_t *action = spread_action_add(spread, SPREAD_CALL);

	if (action == NULL)
		return;
	action->call = call;
	action->lease = relay->lease;
}

static void
key_put(spread_t *spread, spread_relay_t *relay)
{
	spread_action_t *action = spread_action_add(spread, SPREAD_CALL);
	char value[RELAY_VALUE_BYTES];

	relay->phase = RELAY_PUTTING;
	if (action == NULL)
		return;
	snprintf(value, sizeof(value),
	    "{\"node\":\"%016" PRIx64 "\",\"address\":\"%s\",\"boot\":\"%016" PRIx64
	    "\"}",
	    spread->node, spread->address, spread->boot);
	action->call = SPREAD_CALL_RELAY_PUT;
	action->lease = relay->lease;
	action->revision = relay->expect;
	action->text = strdup(value);
}

static void
retry_later(spread_t *spread, spread_relay_t *relay, uint64_t now)
{
	relay->phase = RELAY_NONE;
	relay->expect = 0;
	relay->next_at =
	    now + spread_backoff_next(spread, &relay->backoff_ns, SPREAD_BACKOFF_MAX_NS);
}

static void
step_down(spread_t *spread, spread_relay_t *relay)
{
	if (relay->lease != 0)
		lease_revoke(spread, relay);
	relay->active = false;
	relay->lease_denied_at = 0;
	relay->expect = 0;
	/* For a call in flight the answer sets RELAY_NONE. */
	if (relay->phase == RELAY_HELD)
		relay->phase = RELAY_NONE;
}

/*
 * A node without known members ranks lowest in its own table. If all hosts of a zone
 * start at the same time, each would create a lease, put the key, read it and revoke
 * the lease again. The delays differ by node, so that most find the key of the first.
 */
static uint64_t
start_delay_until(const spread_t *spread)
{
	if (spread_members_usable_count(&spread->members) > 0)
		return 0;
	return spread->startup.started_at +
	       spread->members.self_rank % SPREAD_RELAY_START_DELAY_MAX_NS;
}

void
spread_relay_run(spread_t *spread, uint64_t now)
{
	spread_relay_t *relay = &spread->variant.u.relay;

	if (!spread_members_is_relay(&spread->members)) {
		step_down(spread, relay);
		return;
	}
	if (start_delay_until(spread) > now) {
		spread_wake_schedule(spread, start_delay_until(spread));
		return;
	}
	relay->start_delay_passed = true;
	if (relay->lease_denied_at != 0 &&
	    now >= relay->lease_denied_at + SPREAD_LEASE_ACQUIRE_TIMEOUT_NS)
		relay->active = true; /* the holder can't be reached from this node */
	if (relay->phase != RELAY_NONE && relay->phase != RELAY_HELD)
		return;
	if (now < relay->next_at) {
		spread_wake_schedule(spread, relay->next_at);
		return;
	}
	if (relay->phase == RELAY_HELD) {
		relay->phase = RELAY_RENEWING;
		lease_call(spread, relay, SPREAD_CALL_LEASE_RENEW);
	} else {
		relay->phase = RELAY_CREATING;
		lease_call(spread, relay, SPREAD_CALL_LEASE_CREATE);
	}
}

void
spread_relay_restart(spread_t *spread, uint64_t now)
{
	spread_relay_t *relay = &spread->variant.u.relay;

	relay->lease = 0;
	relay->expect = 0;
	/* Calls in flight start over when they are answered, see restart_if_revoked(). */
	if (relay->phase == RELAY_HELD || relay->phase == RELAY_NONE) {
		relay->phase = RELAY_NONE;
		relay->next_at = now;
	}
}

/* Parses the node id in the value of relay/ZONE; 0: malformed. */
static uint64_t
holder_parse(const platform_answer_t *answer)
{
	struct json_object *object = NULL;
	json_report_t report;
	char text[20];
	uint8_t bytes[8];
	uint64_t node = 0;

	json_report_init(&report, NULL, 0);
	if (json_text_parse(answer->value, answer->size, 4096, false, &object, &report) ==
		MASTICPITCH_OK &&
	    json_read_text(&report, "", object, "node", text, sizeof(text)) ==
		MASTICPITCH_OK &&
	    hex_decode(text, bytes, sizeof(bytes)) == MASTICPITCH_OK) {
		for (size_t i = 0; i < sizeof(bytes); i++)
			node = node << 8 | bytes[i];
	}
	json_object_put(object);
	return node;
}

/*
 * True if the key's holder is down or an earlier process of this node, or if the value
 * names none: another program has written it.
 */
static bool
may_replace(const spread_t *spread, uint64_t holder)
{
	const spread_member_t *member = spread_member_find(&spread->members, holder);

	return holder == spread->node || holder == 0 ||
	       (member != NULL && member->listed && member->state == MEMBER_DOWN);
}

/* True if the lease was revoked while the call was in flight: starts over then. */
static bool
restart_if_revoked(spread_relay_t *relay, uint64_t now)
{
	if (relay->lease != 0)
		return false;
	relay->phase = RELAY_NONE;
	relay->next_at = now;
	return true;
}

static void
holder_get_done(spread_t *spread, spread_relay_t *relay, const platform_answer_t *answer,
    uint64_t now)
{
	bool is_malformed;

	if (restart_if_revoked(relay, now))
		return;
	if (answer->outcome == PLATFORM_NOT_FOUND) {
		relay->expect = 0;
		key_put(spread, relay);
		return;
	}
	is_malformed = answer->outcome == PLATFORM_UNKNOWN && answer->revision != 0;
	if (answer->outcome != PLATFORM_OK && !is_malformed) {
		lease_revoke(spread, relay);
		retry_later(spread, relay, now);
		return;
	}
	if (is_malformed || may_replace(spread, holder_parse(answer))) {
		relay->expect = answer->revision;
		key_put(spread, relay);
		return;
	}
	if (relay->lease_denied_at == 0)
		relay->lease_denied_at = now;
	lease_revoke(spread, relay);
	relay->phase = RELAY_NONE;
	relay->next_at = now + SPREAD_LEASE_RENEW_INTERVAL_NS;
}

static void
lease_create_done(spread_t *spread, spread_relay_t *relay,
    const platform_answer_t *answer, uint64_t now)
{
	if (answer->outcome != PLATFORM_OK) {
		retry_later(spread, relay, now);
		return;
	}
	relay->lease = answer->lease;
	relay->expect = 0;
	key_put(spread, relay);
}

static void
key_put_done(spread_t *spread, spread_relay_t *relay, const platform_answer_t *answer,
    uint64_t now)
{
	if (restart_if_revoked(relay, now))
		return;
	switch (answer->outcome) {
	case PLATFORM_OK:
		relay->phase = RELAY_HELD;
		relay->active = true;
		relay->lease_denied_at = 0;
		relay->backoff_ns = SPREAD_BACKOFF_MIN_NS;
		relay->next_at = now + SPREAD_LEASE_RENEW_INTERVAL_NS;
		break;
	case PLATFORM_CONFLICT:
		relay->phase = RELAY_READING;
		spread_call(spread, SPREAD_CALL_RELAY_GET);
		break;
	default:
		lease_revoke(spread, relay);
		retry_later(spread, relay, now);
		break;
	}
}

static void
lease_renew_done(spread_t *spread, spread_relay_t *relay, const platform_answer_t *answer,
    uint64_t now)
{
	relay->phase = RELAY_HELD;
	relay->next_at = now + SPREAD_LEASE_RENEW_INTERVAL_NS;
	if (answer->outcome != PLATFORM_NOT_FOUND && relay->lease != 0)
		return;
	/* The lease expired while this node was paused or disconnected. */
	relay->lease = 0;
	relay->phase = RELAY_NONE;
	relay->next_at = now;
}

void
spread_relay_answer(
    spread_t *spread, spread_call_t call, const platform_answer_t *answer, uint64_t now)
{
	spread_relay_t *relay = &spread->variant.u.relay;
	bool wanted = spread_members_is_relay(&spread->members);

	if (spread->variant.kind != CONFIG_SOURCE_RELAY)
		return;
	if (!wanted) {
		if (call == SPREAD_CALL_LEASE_CREATE && answer->outcome == PLATFORM_OK)
			relay->lease = answer->lease;
		relay->phase = RELAY_NONE;
		step_down(spread, relay);
		return;
	}
	if (call == SPREAD_CALL_LEASE_CREATE && relay->phase == RELAY_CREATING)
		lease_create_done(spread, relay, answer, now);
	else if (call == SPREAD_CALL_RELAY_PUT && relay->phase == RELAY_PUTTING)
		key_put_done(spread, relay, answer, now);
	else if (call == SPREAD_CALL_RELAY_GET && relay->phase == RELAY_READING)
		holder_get_done(spread, relay, answer, now);
	else if (call == SPREAD_CALL_LEASE_RENEW && relay->phase == RELAY_RENEWING)
		lease_renew_done(spread, relay, answer, now);
}
