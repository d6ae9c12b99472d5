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
	spread->link_mbps = options->link_mbps;
	spread->variant.kind = options->source;
	spread->apply_ns = options->apply_ns != 0 ? options->apply_ns : SPREAD_APPLY_NS;
	spread->freshness.read_at = TIME_NEVER;
	rng_init(&spread->rng, options->seed);
	list_init(&spread->actions);
	spread_members_init(&spread->members, options->node, options->link_mbps,
	    options->zone, options->fan_out != 0 ? options->fan_out : SPREAD_FAN_OUT);
	record_parts_init(&spread->parts);
	record_cache_init(&spread->cache, options->dialect);
	for (size_t i = 0; i < SPREAD_ASSEMBLIES; i++)
		buffer_init(&spread->assemblies[i].content, RECORD_PART_MAX_BYTES);
	spread->reader.get_before_watch = true;
	spread->reader.backoff_ns = SPREAD_BACKOFF_MIN_NS;
	spread->startup.started_at = now;
	spread->startup.next_query_at = now;
	spread->startup.next_read_at =
	    now + rng_below(&spread->rng, SPREAD_START_JITTER_NS);
	spread->startup.backoff_ns = SPREAD_FLOOR_WAIT_NS;
	spread->startup.token = rng_next(&spread->rng);
	if (spread->variant.kind == CONFIG_SOURCE_RELAY) {
		spread->variant.u.relay.backoff_ns = SPREAD_BACKOFF_MIN_NS;
		/* Members are discovered first, so that few nodes request the lease. */
		spread->variant.u.relay.next_at = spread->startup.next_read_at;
	} else {
		spread->reader.next_at = spread->startup.next_read_at;
	}
	spread->next_wake_at = now;
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
	free(spread->accepted.head);
	chunk_release(spread->accepted.text);
	snapshot_release(spread->accepted.snapshot);
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
	if (call == SPREAD_CALL_GET_HEAD || call == SPREAD_CALL_WATCH_HEAD)
		action->transfer_ns = spread_document_transfer(spread);
	if (call == SPREAD_CALL_WATCH_HEAD) {
		action->revision = spread->reader.revision;
		action->wait_ms = (uint32_t)((spread->reader.watch_ends_at -
						 spread->reader.watch_sent_at) /
					     NS_PER_MS);
	}
}

void
spread_wake_schedule(spread_t *spread, uint64_t at)
{
	spread->next_wake_at = MIN_OF(spread->next_wake_at, at);
}

uint64_t
spread_next_wake_at(const spread_t *spread)
{
	return spread->next_wake_at;
}

uint64_t
spread_accepted_version(const spread_t *spread)
{
	return spread->accepted.head != NULL ? spread->accepted.head->version : 0;
}

uint64_t
spread_backoff_next(spread_t *spread, uint64_t *backoff_ns, uint64_t max)
{
	uint64_t pause = rng_below(&spread->rng, *backoff_ns);

	*backoff_ns = MIN_OF(2 * *backoff_ns, max);
	return pause;
}

void
spread_update(spread_t *spread, uint64_t now)
{
	spread->next_wake_at = TIME_NEVER;
	switch (spread->variant.kind) {
	case CONFIG_SOURCE_RELAY:
		spread_relay_run(spread, now);
		spread_pull_run(spread, now);
		break;
	case CONFIG_SOURCE_WATCH:
		break;
	}
	spread_startup_run(spread, now);
	spread_candidate_run(spread, now);
	spread_activation_run(spread, now);
	if (spread->variant.kind == CONFIG_SOURCE_RELAY)
		spread_freshness_run(spread, now);
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

/* Records the version of a node, and schedules a pull if it is newer. */
static void
version_record(
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
	if (version > spread_accepted_version(spread) && version >= spread->floor &&
	    spread->variant.kind == CONFIG_SOURCE_RELAY)
		spread_pull_schedule(spread, node, version,
		    spread_pull_delay(spread) +
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
	const spread_member_t *listed;

	if (member->node == spread->node)
		return;
	listed = spread_member_find(&spread->members, member->node);
	/* A new member can answer a starting node's query: send the next one sooner. */
	if (!spread->in_force && (listed == NULL || !listed->listed) &&
	    spread->startup.answered_node_count < SPREAD_PEERS_NEEDED)
		spread->startup.next_query_at = MIN_OF(spread->startup.next_query_at,
		    MAX_OF(now,
			spread->startup.last_query_at + SPREAD_QUERY_INTERVAL_MIN_NS));
	spread_members_update(&spread->members, member);
	if (member->config_version > 0)
		version_record(spread, member->node, member->config_version,
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
spread_gossip_receive(
    spread_t *spread, uint64_t node, uint64_t version, uint64_t floor, uint64_t now)
{
	spread_floor_raise(spread, floor);
	version_record(spread, node, version, pull_jitter(spread), now);
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
	uint64_t accepted_version = spread_accepted_version(spread);

	switch (message->kind) {
	case SPREAD_ANNOUNCE:
		version_record(spread, node, message->version,
		    spread->mode == SPREAD_FAST ? SPREAD_ANNOUNCE_JITTER_NS : 0, now);
		break;
	case SPREAD_PUSH:
		push_receive(spread, node, message, now);
		version_record(spread, node, message->version, 0, now);
		break;
	case SPREAD_PULL_HEAD:
		if (accepted_version > message->version)
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
		spread_version_query_answer(spread, node, message, now);
		break;
	case SPREAD_VERSION:
		spread_version_receive(spread, node, message, now);
		version_record(spread, node, message->version, 0, now);
		break;
	case SPREAD_VERIFIED:
		spread_verification_receive(spread, node, message, now);
		version_record(spread, node, message->version, 0, now);
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
		/* Nodes of the naive baseline exchange only versions and floors. */
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

	/* Not used as a source until it reports a version again. */
	if (member != NULL)
		member->version = 0;
	if (spread->pull.version != 0 && spread->pull.node == node)
		spread_pull_failed(spread, now);
	if (spread->candidate.head != NULL && spread->candidate.source == node)
		spread->candidate.deadline = now;
	spread_update(spread, now);
}

/*
 * True for an answer that the store gave before it was restored. A lower epoch in the
 * answer to a call that was sent after the higher one was seen is that of another store,
 * which has taken its place.
 */
static bool
answer_is_outdated(const spread_t *spread, spread_call_t call, uint64_t epoch)
{
	if (epoch == 0 || epoch >= spread->store_epoch)
		return false;
	return call != SPREAD_CALL_GET_HEAD ||
	       spread->reader.get_sent_at <= spread->store_epoch_at;
}

/*
 * Revisions and leases go back when the store is restored from a copy and are given out
 * again, so none is used in another epoch.
 */
static void
store_epoch_set(spread_t *spread, uint64_t epoch, uint64_t now)
{
	bool restored = spread->store_epoch != 0;

	spread->store_epoch = epoch;
	spread->store_epoch_at = now;
	if (!restored)
		return;
	spread_reader_restart(spread, now);
	if (spread->variant.kind == CONFIG_SOURCE_RELAY)
		spread_relay_restart(spread, now);
}

void
spread_platform_answer(spread_t *spread, spread_call_t call, const digest_t *digest,
    const platform_answer_t *received, uint64_t now)
{
	const platform_answer_t outdated = {.outcome = PLATFORM_UNKNOWN};
	const platform_answer_t *answer = received;

	if (answer_is_outdated(spread, call, received->store_epoch)) {
		spread->counters.outdated++;
		answer = &outdated;
	} else if (received->store_epoch != 0 &&
		   received->store_epoch != spread->store_epoch) {
		store_epoch_set(spread, received->store_epoch, now);
	}
	switch (call) {
	case SPREAD_CALL_GET_HEAD:
	case SPREAD_CALL_WATCH_HEAD:
		spread_reader_answer(spread, call, answer, now);
		break;
	case SPREAD_CALL_GET_PART:
		spread_part_get_done(spread, digest, answer, now);
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
spread_member_floor(const spread_t *spread, uint64_t node)
{
	const spread_member_t *member = spread_member_find(&spread->members, node);

	return member != NULL ? member->floor : 0;
}

spread_status_t
spread_status(const spread_t *spread)
{
	const record_head_t *head = spread->accepted.head;
	spread_status_t status = {
	    .version = spread->in_force ? spread_accepted_version(spread) : 0,
	    .accepted = spread_accepted_version(spread),
	    .floor = spread->floor,
	    .version_max = spread->version_max,
	    .preset = head != NULL && spread->in_force ? head->in_force : "",
	    .accepted_at = spread->accepted.accepted_at,
	    .verified_at = spread->freshness.verified_at,
	    .store_epoch = spread->store_epoch,
	    .regressed = spread->regressed,
	    .watching = spread->reader.is_continuous,
	    .refused = spread->refused,
	    .refused_version = spread->refused_version,
	    .counters = spread->counters,
	};

	if (head != NULL && spread->confirmed_version == head->version)
		status.confirmed_at = spread->confirmed_at;
	if (spread->variant.kind == CONFIG_SOURCE_RELAY) {
		const spread_relay_t *relay = &spread->variant.u.relay;

		status.relay = relay->active;
		status.lease = relay->lease;
		status.lease_held =
		    relay->phase == RELAY_HELD || relay->phase == RELAY_RENEWING;
	}
	return status;
}
