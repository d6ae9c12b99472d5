#include "spread_internal.h"

#include <stdlib.h>
#include <string.h>

int
spread_create(const spread_options_t *options, uint64_t now, spread_t **result)
{
	spread_t *spread = calloc(1, sizeof(*spread));

	if (spread == NULL)
		return MASTICPITCH_E_NOMEM;
	spread->node = options->node;
	address_format(&options->address, spread->address);
	spread->boot = options->boot;
	spread->mode = options->mode;
	spread->watchers = MAX_OF(options->watchers, 1U);
	spread->variant.kind = options->source;
	rng_init(&spread->rng, options->seed);
	list_init(&spread->actions);
	spread_members_init(&spread->members, options->node, options->link_mbps,
	    options->zone, options->fan_out != 0 ? options->fan_out : SPREAD_FAN_OUT);
	record_parts_init(&spread->parts);
	record_cache_init(&spread->cache, options->dialect);
	for (size_t i = 0; i < SPREAD_ASSEMBLIES; i++)
		buffer_init(&spread->assemblies[i].content, RECORD_PART_MAX_BYTES);
	spread->reader.need_get = true;
	spread->reader.backoff = SPREAD_BACKOFF_MIN_NS;
	spread->start.started = now;
	spread->start.next_ask = now;
	spread->start.next_read = now + rng_below(&spread->rng, SPREAD_START_JITTER_NS);
	spread->start.backoff = SPREAD_FLOOR_WAIT_NS;
	spread->start.token = rng_next(&spread->rng);
	if (spread->variant.kind == CONFIG_SOURCE_RELAY) {
		spread->variant.u.relay.backoff = SPREAD_BACKOFF_MIN_NS;
		/* Members become known first, so that not every node takes the lease. */
		spread->variant.u.relay.next_at = spread->start.next_read;
	} else {
		spread->reader.next_at = spread->start.next_read;
	}
	spread->wake = now;
	*result = spread;
	return MASTICPITCH_OK;
}

void
spread_destroy(spread_t *spread)
{
	if (spread == NULL)
		return;
	LIST_FOREACH_SAFE (node, &spread->actions)
		spread_action_destroy(LIST_ENTRY(node, spread_action_t, link));
	spread_candidate_drop(spread);
	spread_assemblies_free(spread);
	record_parts_clear(&spread->parts);
	record_cache_retain(&spread->cache, NULL);
	free(spread->held.head);
	chunk_release(spread->held.text);
	snapshot_release(spread->held.snapshot);
	spread_members_free(&spread->members);
	free(spread);
}

spread_action_t *
spread_action_add(spread_t *spread, spread_action_kind_t kind)
{
	spread_action_t *action = calloc(1, sizeof(*action));

	if (action == NULL)
		return NULL;
	action->kind = kind;
	list_append(&spread->actions, &action->link);
	return action;
}

spread_action_t *
spread_action_take(spread_t *spread)
{
	list_t *node = list_take_first(&spread->actions);

	return node != NULL ? LIST_ENTRY(node, spread_action_t, link) : NULL;
}

void
spread_action_destroy(spread_action_t *action)
{
	if (action == NULL)
		return;
	spread_message_release(action->message);
	snapshot_release(action->snapshot);
	free(action->text);
	free(action);
}

void
spread_send(spread_t *spread, uint64_t node, spread_message_t *message)
{
	spread_action_t *action;

	if (message == NULL)
		return;
	action = spread_action_add(spread, SPREAD_SEND);
	if (action == NULL) {
		spread_message_release(message);
		return;
	}
	action->node = node;
	action->message = message;
}

void
spread_call(spread_t *spread, spread_call_t call)
{
	spread_action_t *action = spread_action_add(spread, SPREAD_CALL);

	if (action == NULL)
		return;
	action->call = call;
	if (call == SPREAD_CALL_WATCH_HEAD) {
		action->revision = spread->reader.revision;
		action->wait_ms = spread->variant.kind == CONFIG_SOURCE_RELAY
				      ? SPREAD_WATCH_WAIT_RELAY_MS
				      : SPREAD_WATCH_WAIT_MS;
	}
}

void
spread_wake_at(spread_t *spread, uint64_t at)
{
	spread->wake = MIN_OF(spread->wake, at);
}

uint64_t
spread_wake(const spread_t *spread)
{
	return spread->wake;
}

uint64_t
spread_version_held(const spread_t *spread)
{
	return spread->held.head != NULL ? spread->held.head->version : 0;
}

uint64_t
spread_backoff_next(spread_t *spread, uint64_t *backoff, uint64_t max)
{
	uint64_t pause = rng_below(&spread->rng, *backoff);

	*backoff = MIN_OF(2 * *backoff, max);
	return pause;
}

void
spread_update(spread_t *spread, uint64_t now)
{
	spread->wake = TIME_NEVER;
	switch (spread->variant.kind) {
	case CONFIG_SOURCE_RELAY:
		spread_relay_run(spread, now);
		spread_pull_run(spread, now);
		break;
	case CONFIG_SOURCE_WATCH:
		break;
	}
	spread_return_run(spread, now);
	spread_candidate_run(spread, now);
	spread_force_run(spread, now);
	spread_reader_run(spread, now);
}

void
spread_tick(spread_t *spread, uint64_t now)
{
	spread_update(spread, now);
}

void
spread_leave(spread_t *spread, uint64_t now)
{
	spread_members_leave(&spread->members);
	spread_update(spread, now);
}

/* Notes a version that a node holds, and pulls it if it is newer. */
static void
version_note(
    spread_t *spread, uint64_t node, uint64_t version, uint64_t jitter, uint64_t now)
{
	spread_member_t *member = spread_member_get(&spread->members, node);

	spread->version_max = MAX_OF(spread->version_max, version);
	if (member == NULL) {
		spread->counters.dropped += node != spread->node;
		return;
	}
	member->version = version;
	member->floor = MAX_OF(member->floor, version);
	if (version > spread_version_held(spread) && version >= spread->floor &&
	    spread->variant.kind == CONFIG_SOURCE_RELAY)
		spread_pull_schedule(spread, node, version,
		    spread_pull_pause(spread) +
			(jitter > 0 ? rng_below(&spread->rng, jitter) : 0),
		    now);
}

static uint64_t
pull_jitter(const spread_t *spread)
{
	return spread->mode == SPREAD_FAST ? SPREAD_PULL_JITTER_FAST_NS
					   : SPREAD_PULL_JITTER_FRUGAL_NS;
}

void
spread_member_update(spread_t *spread, const member_t *member, uint64_t now)
{
	const spread_member_t *known;

	if (member->node == spread->node)
		return;
	known = spread_member_find(&spread->members, member->node);
	/* Members that can be asked on the way back. */
	if (!spread->in_force && (known == NULL || !known->known) &&
	    spread->start.answered_count < SPREAD_PEERS_NEEDED)
		spread->start.next_ask = MIN_OF(spread->start.next_ask,
		    MAX_OF(now, spread->start.last_ask + SPREAD_ASK_PAUSE_NS));
	spread_members_update(&spread->members, member);
	if (member->config_version > 0)
		version_note(spread, member->node, member->config_version,
		    pull_jitter(spread), now);
	spread_update(spread, now);
}

void
spread_member_remove(spread_t *spread, uint64_t node, uint64_t now)
{
	spread_members_remove(&spread->members, node);
	spread_update(spread, now);
}

void
spread_version_heard(
    spread_t *spread, uint64_t node, uint64_t version, uint64_t floor, uint64_t now)
{
	spread_floor_raise(spread, floor);
	version_note(spread, node, version, pull_jitter(spread), now);
	spread_update(spread, now);
}

static void
push_receive(
    spread_t *spread, uint64_t node, const spread_message_t *message, uint64_t now)
{
	uint64_t age = message->confirmed_age_ms * NS_PER_MS;
	uint64_t at = message->confirmed && age < now ? now - age : 0;

	if (message->head == NULL)
		return;
	spread_head_offer(spread, message->head, node, at, now);
	spread_pieces_receive(spread, node, message, now);
	spread_candidate_advance(spread, now);
}

static void
message_dispatch(
    spread_t *spread, uint64_t node, const spread_message_t *message, uint64_t now)
{
	uint64_t held = spread_version_held(spread);

	switch (message->kind) {
	case SPREAD_ANNOUNCE:
		version_note(spread, node, message->version,
		    spread->mode == SPREAD_FAST ? SPREAD_ANNOUNCE_DELAY_NS : 0, now);
		break;
	case SPREAD_PUSH:
		push_receive(spread, node, message, now);
		version_note(spread, node, message->version, 0, now);
		break;
	case SPREAD_PULL_HEAD:
		if (held > message->version)
			spread_send(spread, node, spread_push_new(spread, now));
		break;
	case SPREAD_PULL_PARTS:
		spread_parts_serve(spread, node, message);
		break;
	case SPREAD_PARTS:
		spread_pieces_receive(spread, node, message, now);
		spread_candidate_advance(spread, now);
		break;
	case SPREAD_ASK_VERSION:
		spread_ask_answer(spread, node, message, now);
		break;
	case SPREAD_VERSION:
		spread_version_receive(spread, node, message, now);
		version_note(spread, node, message->version, 0, now);
		break;
	case SPREAD_KIND_COUNT:
		break;
	}
}

void
spread_message_receive(
    spread_t *spread, uint64_t node, const spread_message_t *message, uint64_t now)
{
	switch (spread->variant.kind) {
	case CONFIG_SOURCE_RELAY:
		spread->version_max = MAX_OF(spread->version_max, message->version_max);
		message_dispatch(spread, node, message, now);
		break;
	case CONFIG_SOURCE_WATCH:
		/* Nodes tell each other their floors and nothing else. */
		if (message->kind == SPREAD_ASK_VERSION ||
		    message->kind == SPREAD_VERSION)
			message_dispatch(spread, node, message, now);
		else
			spread->counters.dropped++;
		break;
	}
	spread_update(spread, now);
}

void
spread_send_failed(spread_t *spread, uint64_t node, uint64_t now)
{
	spread_member_t *member = spread_member_find(&spread->members, node);

	/* Not a source until it is heard again. */
	if (member != NULL)
		member->version = 0;
	if (spread->pull.version != 0 && spread->pull.node == node)
		spread_pull_failed(spread, now);
	if (spread->candidate.head != NULL && spread->candidate.source == node)
		spread->candidate.deadline = now;
	spread_update(spread, now);
}

void
spread_platform_answer(spread_t *spread, spread_call_t call, const digest_t *digest,
    const platform_answer_t *answer, uint64_t now)
{
	switch (call) {
	case SPREAD_CALL_GET_HEAD:
	case SPREAD_CALL_WATCH_HEAD:
		spread_reader_answer(spread, call, answer, now);
		break;
	case SPREAD_CALL_GET_PART:
		spread_part_was_read(spread, digest, answer, now);
		break;
	case SPREAD_CALL_LEASE_CREATE:
	case SPREAD_CALL_LEASE_RENEW:
	case SPREAD_CALL_RELAY_PUT:
	case SPREAD_CALL_RELAY_GET:
		spread_relay_answer(spread, call, answer, now);
		break;
	case SPREAD_CALL_LEASE_REVOKE:
		break;
	}
	spread_update(spread, now);
}

uint64_t
spread_floor_of(const spread_t *spread, uint64_t node)
{
	const spread_member_t *member = spread_member_find(&spread->members, node);

	return member != NULL ? member->floor : 0;
}

spread_status_t
spread_status(const spread_t *spread)
{
	const record_head_t *head = spread->held.head;
	spread_status_t status = {
	    .version = spread->in_force ? spread_version_held(spread) : 0,
	    .held = spread_version_held(spread),
	    .floor = spread->floor,
	    .version_max = spread->version_max,
	    .preset = head != NULL && spread->in_force ? head->in_force : "",
	    .accepted_at = spread->held.accepted_at,
	    .regressed = spread->regressed,
	    .refused = spread->refused,
	    .refused_version = spread->refused_version,
	    .counters = spread->counters,
	};

	if (head != NULL && spread->confirmed_version == head->version)
		status.confirmed_at = spread->confirmed_at;
	if (spread->variant.kind == CONFIG_SOURCE_RELAY) {
		const spread_relay_t *relay = &spread->variant.u.relay;

		status.relay = relay->active;
		status.lease_held =
		    relay->phase == RELAY_HELD || relay->phase == RELAY_RENEWING;
	}
	return status;
}
