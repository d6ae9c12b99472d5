/*
 * Pushing an accepted version along the tree, and pulling a newer one that
 * was heard of.
 */
#include "spread_internal.h"

#include <string.h>

#define TARGETS_MAX 96

/* Fills in what every message tells of the sender's view. */
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
		/* Rounded up, so that it never looks fresher than it is. */
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
		message->head = chunk_hold(spread->held.text);
	return message;
}

static spread_message_t *
announce_new(spread_t *spread, uint64_t now)
{
	spread_message_t *message = spread_message_new(
	    spread, SPREAD_ANNOUNCE, spread_accepted_version(spread), now);

	if (message != NULL)
		message->digest = spread->held.digest;
	return message;
}

/*
 * Adds the changed parts if they are few; a node that lacks more than these
 * pulls them.
 */
static void
changes_add(spread_t *spread, const record_head_t *older, spread_message_t *message)
{
	digest_t changed[RECORD_PARTS_MAX];
	size_t count = record_head_diff(spread->held.head, older, changed);
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
extra_push(spread_t *spread, uint64_t now)
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
	uint64_t targets[TARGETS_MAX];
	size_t count =
	    spread_members_push_targets(&spread->members, spread_accepted_version(spread),
		from_outside_zone, from_platform, targets, TARGETS_MAX);
	spread_message_t *message = NULL;

	switch (spread->mode) {
	case SPREAD_FAST:
		message = spread_push_new(spread, now);
		if (message != NULL)
			changes_add(spread, older, message);
		break;
	case SPREAD_FRUGAL:
		message = announce_new(spread, now);
		break;
	}
	if (message == NULL)
		return; /* members hear of the version and pull it */
	for (size_t i = 0; i < count; i++) {
		spread_send(spread, targets[i], spread_message_hold(message));
		spread->counters.pushes++;
	}
	spread_message_release(message);
	if (spread->mode == SPREAD_FAST)
		extra_push(spread, now);
}

/* A pull of that version would bring what was refused already. */
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
	    is_refused_version(spread, version, now))
		return;
	if (pull->version != 0) {
		/* One pull at a time; its source may have the newer version too. */
		if (!pull->sent)
			pull->due = MIN_OF(pull->due, now + delay);
		if (!pull->sent && version > pull->version) {
			pull->version = version;
			pull->node = node;
		}
		return;
	}
	*pull = (spread_pull_t){.version = version, .node = node, .due = now + delay};
	spread_wake_schedule(spread, pull->due);
}

uint64_t
spread_pull_delay(spread_t *spread)
{
	return spread->watchers > 1 && spread_reader_is_continuous(spread)
		   ? SPREAD_PULL_DELAY_WATCHER_NS
		   : 0;
}

void
spread_pull_newer(spread_t *spread, uint64_t now)
{
	uint64_t wanted = spread_accepted_version(spread) + 1;
	uint64_t source =
	    spread_members_source(&spread->members, &spread->rng, wanted, 0);
	const spread_member_t *member = spread_member_find(&spread->members, source);

	if (member != NULL)
		spread_pull_schedule(spread, source, member->version,
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

	if (source != 0)
		pull->node = source;
	if (++pull->attempts > SPREAD_PULL_ATTEMPTS) {
		pull->version = 0; /* the next version heard starts again */
		return;
	}
	pull->sent = false;
	pull->due = now + rng_below(&spread->rng, bound);
}

void
spread_pull_run(spread_t *spread, uint64_t now)
{
	spread_pull_t *pull = &spread->pull;
	uint64_t held = spread_accepted_version(spread);

	if (pull->version != 0 && pull->version <= held)
		pull->version = 0;
	if (pull->version == 0)
		return;
	if (now >= pull->due && pull->sent)
		spread_pull_failed(spread, now);
	if (pull->version != 0 && now >= pull->due) {
		spread_send(spread, pull->node,
		    spread_message_new(spread, SPREAD_PULL_HEAD, held, now));
		spread->counters.pulls++;
		pull->sent = true;
		pull->due = now + SPREAD_PULL_TIMEOUT_NS;
	}
	if (pull->version != 0)
		spread_wake_schedule(spread, pull->due);
}
