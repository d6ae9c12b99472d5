/*
 * Pushing an accepted version along the tree, and pulling a newer version that a
 * peer reported.
 */
#include "spread_internal.h"

#include <string.h>

#define PUSH_TARGETS_MAX 96

spread_message_t *
spread_message_new(spread_t *spread, spread_kind_t kind, uint64_t version, uint64_t now)
{
	spread_message_t *message = spread_message_create(kind, version);

	if (message == NULL)
		return NULL;
	message->version_max = spread->version_max;
	if (spread->confirmed_at != 0 &&
	    spread->confirmed_version == spread_accepted_version(spread) &&
	    version == spread->confirmed_version) {
		message->confirmed = true;
		/* Rounded up, so that it never looks more recent than it is. */
		message->confirmed_age_ms =
		    (now - spread->confirmed_at + NS_PER_MS - 1) / NS_PER_MS;
	}
	return message;
}

spread_message_t *
spread_push_new(spread_t *spread, uint64_t now)
{
	spread_message_t *message =
	    spread_message_new(spread, SPREAD_PUSH, spread_accepted_version(spread), now);

	if (message != NULL)
		message->head = chunk_hold(spread->accepted.text);
	return message;
}

static spread_message_t *
announce_new(spread_t *spread, uint64_t now)
{
	spread_message_t *message = spread_message_new(
	    spread, SPREAD_ANNOUNCE, spread_accepted_version(spread), now);

	if (message != NULL)
		message->digest = spread->accepted.digest;
	return message;
}

/*
 * Adds the changed parts unless they exceed SPREAD_PUSH_PARTS_MAX_BYTES; a node that
 * lacks further parts pulls them.
 */
static void
changed_parts_add(spread_t *spread, const record_head_t *older, spread_message_t *message)
{
	digest_t changed[RECORD_PARTS_MAX];
	size_t count = record_head_diff(spread->accepted.head, older, changed);
	size_t size = 0;

	for (size_t i = 0; i < count; i++) {
		const chunk_t *content = record_parts_find(&spread->parts, &changed[i]);

		INVARIANT(content != NULL);
		size += content->size;
	}
	if (size > SPREAD_PUSH_PARTS_MAX_BYTES)
		return;
	for (size_t i = 0; i < count; i++) {
		chunk_t *content = record_parts_find(&spread->parts, &changed[i]);
		spread_piece_t piece = {.digest = changed[i],
		    .content = content,
		    .total = (uint32_t)content->size};

		if (spread_message_piece_add(message, &piece) != MASTICPITCH_OK)
			return;
	}
}

static void
random_members_announce(spread_t *spread, uint64_t now)
{
	uint64_t targets[SPREAD_EXTRA_PUSHES];
	size_t count = spread_members_random(
	    &spread->members, &spread->rng, targets, SPREAD_EXTRA_PUSHES);

	for (size_t i = 0; i < count; i++) {
		spread_send(spread, targets[i], announce_new(spread, now));
		spread->counters.pushes++;
	}
}

void
spread_push_accepted(spread_t *spread, const record_head_t *older, bool from_outside_zone,
    bool from_platform, uint64_t now)
{
	uint64_t targets[PUSH_TARGETS_MAX];
	size_t count =
	    spread_members_push_targets(&spread->members, spread_accepted_version(spread),
		from_outside_zone, from_platform, targets, PUSH_TARGETS_MAX);
	spread_message_t *message = NULL;

	switch (spread->mode) {
	case SPREAD_FAST:
		message = spread_push_new(spread, now);
		if (message != NULL)
			changed_parts_add(spread, older, message);
		break;
	case SPREAD_FRUGAL:
		message = announce_new(spread, now);
		break;
	}
	if (message == NULL)
		return; /* members receive the version by gossip and pull it */
	for (size_t i = 0; i < count; i++) {
		spread_send(spread, targets[i], spread_message_hold(message));
		spread->counters.pushes++;
	}
	spread_message_release(message);
	if (spread->mode == SPREAD_FAST)
		random_members_announce(spread, now);
}

/* True if a pull of that version would return the record that was refused. */
static bool
is_refused_version(const spread_t *spread, uint64_t version, uint64_t now)
{
	return version == spread->refused_version && now < spread->refused_until;
}

void
spread_pull_schedule(
    spread_t *spread, uint64_t node, uint64_t version, uint64_t delay, uint64_t now)
{
	spread_pull_t *pull = &spread->pull;
	const record_head_t *candidate = spread->candidate.head;

	if ((candidate != NULL && candidate->version >= version) ||
	    spread_candidate_is_in_transfer(spread) ||
	    is_refused_version(spread, version, now))
		return;
	if (pull->version != 0) {
		/* One pull at a time; its source may have the newer version as well. */
		if (!pull->sent)
			pull->due_at = MIN_OF(pull->due_at, now + delay);
		if (!pull->sent && version > pull->version) {
			pull->version = version;
			pull->node = node;
		}
		return;
	}
	*pull = (spread_pull_t){.version = version, .node = node, .due_at = now + delay};
	spread_wake_schedule(spread, pull->due_at);
}

uint64_t
spread_pull_delay(spread_t *spread)
{
	/* What a starting node has read of the platform shows that it has none newer. */
	if (!spread->in_force && spread_accepted_version(spread) != 0)
		return 0;
	/* On a narrow link the parts that peers send arrive before the document. */
	return spread->watchers > 1 && spread_reader_has_role(spread) &&
		       !spread->reader.is_failing &&
		       spread_document_transfer(spread) < SPREAD_PULL_DELAY_WATCHER_NS
		   ? SPREAD_PULL_DELAY_WATCHER_NS
		   : 0;
}

/*
 * A member with a version newer than the accepted one, or NULL: the newer of two random
 * ones. In a sequence of versions the newest is pulled by few nodes, and the others
 * skip versions without all asking the relay.
 */
static const spread_member_t *
newer_member(spread_t *spread)
{
	uint64_t wanted = spread_accepted_version(spread) + 1;
	const spread_member_t *found = NULL;

	for (int i = 0; i < 2; i++) {
		uint64_t node =
		    spread_members_source(&spread->members, &spread->rng, wanted, 0);
		const spread_member_t *member =
		    spread_member_find(&spread->members, node);

		if (found == NULL || member->version > found->version)
			found = member;
	}
	return found;
}

void
spread_pull_newer(spread_t *spread, uint64_t now)
{
	const spread_member_t *member = newer_member(spread);

	if (member != NULL)
		spread_pull_schedule(spread, member->node, member->version,
		    spread_pull_delay(spread) +
			rng_below(&spread->rng, SPREAD_PULL_JITTER_FAST_NS),
		    now);
}

void
spread_pull_failed(spread_t *spread, uint64_t now)
{
	spread_pull_t *pull = &spread->pull;
	uint64_t source = spread_members_source(&spread->members, &spread->rng,
	    spread_accepted_version(spread) + 1, pull->node);
	uint64_t bound = SPREAD_PULL_JITTER_FAST_NS << MIN_OF(pull->attempts, 5);

	spread->counters.pulls_failed++;
	if (source != 0)
		pull->node = source;
	if (++pull->attempts > SPREAD_PULL_ATTEMPTS) {
		pull->version = 0; /* the next reported version starts a new pull */
		return;
	}
	pull->sent = false;
	pull->due_at = now + rng_below(&spread->rng, bound);
}

void
spread_pull_run(spread_t *spread, uint64_t now)
{
	spread_pull_t *pull = &spread->pull;
	uint64_t accepted_version = spread_accepted_version(spread);

	if (pull->version != 0 && pull->version <= accepted_version)
		pull->version = 0;
	if (pull->version == 0)
		return;
	if (now >= pull->due_at && pull->sent)
		spread_pull_failed(spread, now);
	if (pull->version != 0 && now >= pull->due_at) {
		spread_send(spread, pull->node,
		    spread_message_new(spread, SPREAD_PULL_HEAD, accepted_version, now));
		spread->counters.pulls++;
		pull->sent = true;
		pull->due_at = now + SPREAD_PULL_TIMEOUT_NS;
	}
	if (pull->version != 0)
		spread_wake_schedule(spread, pull->due_at);
}
