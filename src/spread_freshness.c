/*
 * Freshness of the accepted version: when the platform was last known to have none newer.
 * Nodes that read the platform verify that and tell the others along the push tree. A
 * node that learns nothing for too long reads the platform itself, whatever the reason:
 * those that are to tell it are refused by the platform, stand still or are cut off from
 * it.
 */
#include "spread_internal.h"

#include <string.h>

#define FRESHNESS_TARGETS_MAX 96

static uint64_t
share_of(const spread_t *spread, double share)
{
	return (uint64_t)((double)spread->apply_ns * share);
}

uint64_t
spread_verify_interval(const spread_t *spread)
{
	return share_of(spread, SPREAD_VERIFY_SHARE);
}

static uint64_t
stale_after(const spread_t *spread)
{
	return share_of(spread, SPREAD_STALE_SHARE);
}

static bool
is_of_own_zone(const spread_t *spread, uint64_t node)
{
	const spread_member_t *member = spread_member_find(&spread->members, node);

	return member != NULL && strcmp(member->zone, spread->members.zone) == 0;
}

/*
 * source: the node that passed it on, SOURCE_PLATFORM: this node has verified. What other
 * nodes pass on has a limit of its own, so that it does not hold back what this node
 * says.
 */
static void
verification_send(spread_t *spread, uint64_t source, uint64_t now)
{
	spread_freshness_t *freshness = &spread->freshness;
	uint64_t *send_from =
	    source == SOURCE_PLATFORM ? &freshness->send_from : &freshness->pass_on_from;
	uint64_t targets[FRESHNESS_TARGETS_MAX];
	spread_message_t *message;
	size_t count;

	if (spread->variant.kind != CONFIG_SOURCE_RELAY || !spread->in_force ||
	    freshness->verified_at < *send_from)
		return;
	*send_from =
	    freshness->verified_at + share_of(spread, SPREAD_VERIFIED_SEND_SHARE);
	message = spread_message_create(SPREAD_VERIFIED, spread_accepted_version(spread));
	if (message == NULL)
		return; /* the next one is due in an interval */
	message->version_max = spread->version_max;
	message->token = freshness->verifier;
	/* Rounded up, so that it never looks more recent than it is. */
	message->confirmed_age_ms =
	    (now - freshness->verified_at + NS_PER_MS - 1) / NS_PER_MS;
	count = spread_members_push_targets(&spread->members,
	    spread_accepted_version(spread), !is_of_own_zone(spread, source),
	    source == SOURCE_PLATFORM, targets, FRESHNESS_TARGETS_MAX);
	for (size_t i = 0; i < count; i++)
		if (targets[i] != source)
			spread_send(spread, targets[i], spread_message_hold(message));
	spread_message_release(message);
}

/*
 * True if that is news. The next verification is due an interval after this one arrived,
 * so a platform that answers slowly does not make the version stale.
 */
static bool
verified_at_raise(spread_t *spread, uint64_t at, uint64_t verifier, uint64_t now)
{
	spread_freshness_t *freshness = &spread->freshness;
	uint64_t delay = MIN_OF(now - at, share_of(spread, SPREAD_VERIFIED_DELAY_SHARE));

	if (at <= freshness->verified_at)
		return false;
	freshness->verified_at = at;
	freshness->verifier = verifier;
	freshness->stale_at =
	    MAX_OF(freshness->stale_at, at + delay + stale_after(spread));
	return true;
}

static bool
ranks_below_own(const spread_t *spread, uint64_t node)
{
	const spread_member_t *member = spread_member_find(&spread->members, node);

	return member != NULL && member->rank < spread->members.self_rank;
}

void
spread_verified(spread_t *spread, uint64_t at, uint64_t now)
{
	if (verified_at_raise(spread, at, spread->node, now))
		verification_send(spread, SOURCE_PLATFORM, now);
}

void
spread_verification_receive(
    spread_t *spread, uint64_t node, const spread_message_t *message, uint64_t now)
{
	uint64_t age = message->confirmed_age_ms * NS_PER_MS;

	/* A newer version is pulled; the pull's own answer says when it was verified. */
	if (spread_accepted_version(spread) < message->version || age >= now ||
	    message->confirmed_age_ms > SPREAD_VERIFIED_AGE_MAX_MS)
		return;
	if (ranks_below_own(spread, message->token))
		spread->freshness.told_until = now - age + stale_after(spread);
	if (verified_at_raise(spread, now - age, message->token, now))
		verification_send(spread, node, now);
}

/*
 * Delay before a node without the role reads the platform. The nodes of lowest rank read
 * first; if one of them is answered, the others learn of it and need not read.
 */
static uint64_t
read_delay(spread_t *spread)
{
	uint64_t slot_ns = share_of(spread, SPREAD_READ_SLOT_SHARE);
	size_t rank = spread_members_own_rank(&spread->members);
	uint64_t slot = 0;

	for (; rank >= SPREAD_FIRST_READERS && slot < SPREAD_READ_SLOTS_MAX; rank /= 2)
		slot++;
	/* Half a slot, in which messages that wait in the process are received. */
	return slot * slot_ns + slot_ns / 2 + rng_below(&spread->rng, slot_ns / 2);
}

/* Begins to read and watch, or reads anew if the watch that is waiting seems lost. */
static void
stale_read_start(spread_t *spread, bool has_role, uint64_t now)
{
	spread_freshness_t *freshness = &spread->freshness;
	spread_reader_t *reader = &spread->reader;

	freshness->stale_at = now + stale_after(spread);
	freshness->read_at = TIME_NEVER;
	if (reader->watch_pending) {
		spread->counters.stale_reads++;
		(void)spread_action_add(spread, SPREAD_WATCH_CANCEL);
		reader->watch_pending = false;
		reader->next_at = now;
	}
	reader->get_before_watch = true;
	if (has_role || freshness->watches)
		return;
	spread->counters.stale_reads++;
	freshness->watches = true;
	reader->next_at = now;
	/* All nodes of a zone do this if the platform is down. */
	reader->backoff_ns = SPREAD_BACKOFF_STALE_NS;
}

/*
 * Ends the watch of a node without the role once a node of lower rank verifies: of
 * several nodes without the role, the one of lowest rank goes on.
 */
static void
stale_watch_check(spread_t *spread, bool has_role, uint64_t now)
{
	if (has_role || now < spread->freshness.told_until)
		spread->freshness.watches = false;
}

void
spread_freshness_run(spread_t *spread, uint64_t now)
{
	spread_freshness_t *freshness = &spread->freshness;
	bool has_role = spread_reader_has_role(spread);

	if (spread_accepted_version(spread) != 0 &&
	    spread->confirmed_version <= spread_accepted_version(spread))
		(void)verified_at_raise(spread, spread->confirmed_at, spread->node, now);
	if (!spread->in_force) {
		/* A starting node reads and queries by itself. */
		freshness->stale_at = now + stale_after(spread);
		return;
	}
	stale_watch_check(spread, has_role, now);
	if (now < freshness->stale_at) {
		freshness->read_at = TIME_NEVER;
		spread_wake_schedule(spread, freshness->stale_at);
		return;
	}
	if (freshness->read_at == TIME_NEVER)
		freshness->read_at = now + (has_role ? 0 : read_delay(spread));
	if (now < freshness->read_at) {
		spread_wake_schedule(spread, freshness->read_at);
		return;
	}
	stale_read_start(spread, has_role, now);
	spread_wake_schedule(spread, freshness->stale_at);
}
