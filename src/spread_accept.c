/*
 * Acceptance of records: a record is accepted completely or not at all, only with a
 * version above the accepted one, and put in force only at or above the version
 * floor.
 */
#include "spread_internal.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void
spread_floor_raise(spread_t *spread, uint64_t floor)
{
	spread->floor = MAX_OF(spread->floor, floor);
	spread->version_max = MAX_OF(spread->version_max, floor);
}

void
spread_confirm(spread_t *spread, uint64_t version, uint64_t at)
{
	if (at <= spread->confirmed_at)
		return;
	spread->confirmed_at = at;
	spread->confirmed_version = version;
}

void
spread_candidate_drop(spread_t *spread)
{
	spread_candidate_t *candidate = &spread->candidate;

	free(candidate->head);
	chunk_release(candidate->text);
	memset(candidate, 0, sizeof(*candidate));
	record_parts_retain(&spread->parts, spread->accepted.head, NULL);
	spread_assemblies_free(spread);
}

/* Records why a head was refused; a head with the same digest is then ignored. */
static void
refuse(spread_t *spread, const digest_t *digest, uint64_t version, const char *reason,
    uint64_t now)
{
	spread_action_t *action = spread_action_add(spread, SPREAD_REFUSED);

	spread->counters.refused++;
	spread->refused_digest = *digest;
	spread->refused_version = version;
	spread->refused_until = now + SPREAD_REFUSED_RETRY_DELAY_NS;
	snprintf(spread->refused, sizeof(spread->refused), "version %" PRIu64 ": %.460s",
	    version, reason);
	if (action != NULL)
		action->text = strdup(spread->refused);
}

static bool
is_refused(const spread_t *spread, const digest_t *digest)
{
	return spread->refused[0] != '\0' &&
	       digest_equal(&spread->refused_digest, digest);
}

/*
 * Sets `regressed` if the platform's head is older than the accepted version or the
 * floor, or differs from the accepted head under the same version.
 */
static void
regression_check(spread_t *spread, uint64_t version)
{
	uint64_t accepted_version = spread_accepted_version(spread);

	spread->regressed = version < spread->floor || version < accepted_version ||
			    (accepted_version != 0 && version == accepted_version);
}

bool
spread_candidate_is_in_transfer(const spread_t *spread)
{
	const spread_candidate_t *candidate = &spread->candidate;

	return candidate->head != NULL && candidate->requested &&
	       candidate->source != SOURCE_PLATFORM;
}

/* True if the head is newer than the accepted one and may replace the candidate. */
static bool
head_is_wanted(spread_t *spread, const record_head_t *head, uint64_t source)
{
	const spread_candidate_t *candidate = &spread->candidate;

	if (source == SOURCE_PLATFORM)
		regression_check(spread, head->version);
	if (head->version <= spread_accepted_version(spread) ||
	    head->version < spread->floor) {
		spread->counters.stale++;
		return false;
	}
	/* The platform has the parts of its newest head. */
	if (source != SOURCE_PLATFORM && spread_candidate_is_in_transfer(spread))
		return false;
	return candidate->head == NULL || head->version > candidate->head->version;
}

static bool
is_from_outside(const spread_t *spread, uint64_t source)
{
	const spread_member_t *member = spread_member_find(&spread->members, source);

	return source == SOURCE_PLATFORM ||
	       (member != NULL && strcmp(member->zone, spread->members.zone) != 0);
}

static void
candidate_set(spread_t *spread, record_head_t *head, chunk_t *text,
    const digest_t *digest, uint64_t source)
{
	spread_candidate_t *candidate = &spread->candidate;

	free(candidate->head);
	chunk_release(candidate->text);
	memset(candidate, 0, sizeof(*candidate));
	candidate->head = head;
	candidate->text = chunk_hold(text);
	candidate->digest = *digest;
	candidate->source = source;
	candidate->from_platform = source == SOURCE_PLATFORM;
	candidate->from_outside_zone = is_from_outside(spread, source);
	record_parts_retain(&spread->parts, spread->accepted.head, head);
}

void
spread_head_offer(
    spread_t *spread, chunk_t *text, uint64_t source, uint64_t at, uint64_t now)
{
	char reason[MASTICPITCH_MESSAGE_MAX];
	record_head_t *head = NULL;
	digest_t digest;

	digest_compute(text->data, text->size, &digest);
	if (spread->accepted.head != NULL &&
	    digest_equal(&digest, &spread->accepted.digest)) {
		spread->counters.stale += source != SOURCE_PLATFORM;
		spread_confirm(spread, spread_accepted_version(spread), at);
		if (source == SOURCE_PLATFORM)
			spread->regressed =
			    spread_accepted_version(spread) < spread->floor;
		return;
	}
	if (is_refused(spread, &digest)) {
		if (source == SOURCE_PLATFORM)
			spread_verified(spread, at, now);
		return;
	}
	if (spread->candidate.head != NULL &&
	    digest_equal(&digest, &spread->candidate.digest)) {
		spread_confirm(spread, spread->candidate.head->version, at);
		return;
	}
	if (record_head_parse((const char *)text->data, text->size, &head, reason,
		sizeof(reason)) != MASTICPITCH_OK) {
		refuse(spread, &digest, 0, reason, now);
		return;
	}
	spread->version_max = MAX_OF(spread->version_max, head->version);
	if (!head_is_wanted(spread, head, source)) {
		/* A platform restored from a copy may have only older ones. */
		if (source == SOURCE_PLATFORM)
			spread_confirm(spread, head->version, at);
		free(head);
		return;
	}
	spread_confirm(spread, head->version, at);
	candidate_set(spread, head, text, &digest, source);
	if (spread->pull.version <= head->version)
		spread->pull.version = 0;
}

/* The candidate becomes the accepted record; it is pushed before it is in force. */
static void
candidate_accept(spread_t *spread, snapshot_t *snapshot, uint64_t now)
{
	spread_candidate_t *candidate = &spread->candidate;
	spread_accepted_t *accepted = &spread->accepted;
	record_head_t *older = accepted->head;
	bool from_outside_zone = candidate->from_outside_zone;
	bool from_platform = candidate->from_platform;

	INVARIANT(candidate->head->version > spread_accepted_version(spread));
	chunk_release(accepted->text);
	snapshot_release(accepted->snapshot);
	accepted->head = candidate->head;
	accepted->text = candidate->text;
	accepted->digest = candidate->digest;
	accepted->snapshot = snapshot;
	accepted->accepted_at = now;
	spread->refused[0] = '\0';
	spread->refused_version = 0;
	candidate->head = NULL;
	candidate->text = NULL;
	spread_candidate_drop(spread);
	if (spread->variant.kind == CONFIG_SOURCE_RELAY)
		spread_push_accepted(
		    spread, older, from_outside_zone, from_platform, now);
	free(older);
	/* If a version was in force before, the newer one replaces it immediately. */
	spread->in_force = false;
	spread_activation_run(spread, now);
	if (spread->variant.kind == CONFIG_SOURCE_RELAY)
		spread_pull_newer(spread, now);
}

void
spread_candidate_advance(spread_t *spread, uint64_t now)
{
	spread_candidate_t *candidate = &spread->candidate;
	char reason[MASTICPITCH_MESSAGE_MAX];
	digest_t missing[RECORD_PARTS_MAX];
	preset_t *preset = NULL;
	snapshot_t *snapshot;

	if (candidate->head == NULL)
		return;
	if (record_parts_missing(&spread->parts, candidate->head, missing) > 0) {
		if (!candidate->requested || candidate->source == SOURCE_PLATFORM)
			spread_parts_request(spread, now);
		return;
	}
	if (record_check(candidate->head, &spread->cache, &spread->parts, &preset, reason,
		sizeof(reason)) != MASTICPITCH_OK) {
		record_cache_retain(&spread->cache, spread->accepted.head);
		refuse(spread, &candidate->digest, candidate->head->version, reason, now);
		spread_candidate_drop(spread);
		if (spread->variant.kind == CONFIG_SOURCE_RELAY)
			spread_pull_newer(spread, now);
		return;
	}
	snapshot =
	    snapshot_create(candidate->head->version, candidate->head->in_force, preset);
	record_cache_retain(&spread->cache, candidate->head);
	if (snapshot == NULL) {
		spread_candidate_drop(spread);
		spread->reader.get_before_watch = true;
		return;
	}
	candidate_accept(spread, snapshot, now);
}

/* Selects another source for a candidate whose parts did not arrive in time. */
static void
candidate_source_change(spread_t *spread)
{
	spread_candidate_t *candidate = &spread->candidate;
	uint64_t source = spread_members_source(
	    &spread->members, &spread->rng, candidate->head->version, candidate->source);

	if (spread_reader_has_role(spread) &&
	    (candidate->source != SOURCE_PLATFORM || source == 0))
		candidate->source = SOURCE_PLATFORM;
	else if (source != 0 && spread->variant.kind == CONFIG_SOURCE_RELAY)
		candidate->source = source;
}

/* True if a member that can be asked has a newer version than that one. */
static bool
newer_is_known(spread_t *spread, uint64_t version)
{
	return spread->variant.kind == CONFIG_SOURCE_RELAY &&
	       spread_members_source(&spread->members, &spread->rng, version + 1, 0) != 0;
}

void
spread_candidate_run(spread_t *spread, uint64_t now)
{
	spread_candidate_t *candidate = &spread->candidate;

	if (candidate->head == NULL)
		return;
	if (now >= candidate->deadline) {
		/* Sources that have accepted a newer version lack the older parts. */
		if (++candidate->attempts > SPREAD_PULL_ATTEMPTS ||
		    newer_is_known(spread, candidate->head->version)) {
			spread_candidate_drop(spread);
			spread->reader.get_before_watch = true;
			if (spread->variant.kind == CONFIG_SOURCE_RELAY)
				spread_pull_newer(spread, now);
			return;
		}
		candidate_source_change(spread);
		spread_parts_request(spread, now);
	}
	spread_wake_schedule(spread, candidate->deadline);
}

/*
 * True if enough peers have reported their floors. While the node joins it has only
 * some members or none yet, so few answers suffice only after a delay.
 */
static bool
floor_answers_suffice(const spread_t *spread, uint64_t now)
{
	size_t usable = spread_members_usable_count(&spread->members);
	size_t answered = spread->startup.answered_node_count;
	uint64_t age = now - spread->startup.started_at;

	return answered >= SPREAD_FLOOR_ANSWERS || age >= SPREAD_FLOOR_WAIT_NS ||
	       (usable > 0 && answered >= usable && age >= SPREAD_JOIN_WAIT_NS);
}

/* Without the platform, answers of two peers suffice, or of the only one. */
static bool
peer_answers_suffice(const spread_t *spread, uint64_t now)
{
	size_t usable = spread_members_usable_count(&spread->members);
	size_t needed = usable == 1 ? 1 : SPREAD_PEERS_NEEDED;

	return now >= spread->startup.started_at + SPREAD_PLATFORM_WAIT_NS &&
	       spread->startup.answered_node_count >= needed;
}

static bool
may_activate(spread_t *spread, uint64_t now)
{
	uint64_t accepted_version = spread_accepted_version(spread);
	bool confirmed = spread->confirmed_at > spread->startup.started_at &&
			 accepted_version >= spread->confirmed_version;

	if (accepted_version == 0 || accepted_version < spread->floor)
		return false;
	/*
	 * A platform restored from a copy may have confirmed a version that is older than
	 * the one in force elsewhere, which is being pulled.
	 */
	if (now < spread->startup.started_at + SPREAD_FLOOR_WAIT_NS &&
	    newer_is_known(spread, accepted_version))
		return false;
	switch (spread->variant.kind) {
	case CONFIG_SOURCE_RELAY:
		return (confirmed && floor_answers_suffice(spread, now)) ||
		       peer_answers_suffice(spread, now);
	case CONFIG_SOURCE_WATCH:
		return confirmed && floor_answers_suffice(spread, now);
	}
	return false;
}

void
spread_activation_run(spread_t *spread, uint64_t now)
{
	spread_action_t *action;

	if (spread->in_force)
		return;
	if (spread->counters.applied == 0 && !may_activate(spread, now)) {
		if (spread_accepted_version(spread) != 0) {
			uint64_t started_at = spread->startup.started_at;

			if (now < started_at + SPREAD_JOIN_WAIT_NS)
				spread_wake_schedule(
				    spread, started_at + SPREAD_JOIN_WAIT_NS);
			else if (now < started_at + SPREAD_FLOOR_WAIT_NS)
				spread_wake_schedule(
				    spread, started_at + SPREAD_FLOOR_WAIT_NS);
			else if (now < started_at + SPREAD_PLATFORM_WAIT_NS)
				spread_wake_schedule(
				    spread, started_at + SPREAD_PLATFORM_WAIT_NS);
		}
		return;
	}
	action = spread_action_add(spread, SPREAD_IN_FORCE);
	if (action == NULL) {
		spread_wake_schedule(spread, now + SPREAD_BACKOFF_MIN_NS);
		return;
	}
	action->snapshot = snapshot_hold(spread->accepted.snapshot);
	spread->in_force = true;
	spread->counters.applied++;
	spread_floor_raise(spread, spread_accepted_version(spread));
}
