/*
 * Releases that no order names. Entries hold a second release of a service until they
 * know its step, since instances of a rollout may be seen before its order. A rolling
 * restart under a new release has no order: relays let it serve after a read of the
 * orders that began some time after the release was first seen.
 */
#include "rollout_internal.h"

#include <string.h>

/* An order is in the store before its instances start; a margin for a slow clock, ms. */
#define SEEN_MIN_MS 1000
/* Interval at which steps are repeated while a service has several releases, ms. */
#define FREE_INTERVAL_MS 2000

static bool
order_is_unreadable(const rollout_decider_t *decider, const char *service)
{
	for (size_t i = 0; i < decider->unreadable_count; i++) {
		if (strcmp(decider->unreadable[i], service) == 0)
			return true;
	}
	return false;
}

static decider_release_t *
release_get(rollout_decider_t *decider, const decider_member_t *member, uint64_t now)
{
	decider_release_t *release;

	for (size_t i = 0; i < decider->release_count; i++) {
		release = &decider->releases[i];
		if (strcmp(release->service, member->service) == 0 &&
		    strcmp(release->release, member->release) == 0)
			return release;
	}
	if (decider->release_count == ROLLOUT_RELEASES_MAX)
		return NULL;
	release = &decider->releases[decider->release_count++];
	memset(release, 0, sizeof(*release));
	memcpy(release->service, member->service, NAME_BYTES);
	memcpy(release->release, member->release, NAME_BYTES);
	release->seen_at = now;
	return release;
}

/* Counts the usable instances of each release; forgets releases without any. */
static void
releases_count(rollout_decider_t *decider, uint64_t now)
{
	size_t kept = 0;

	for (size_t i = 0; i < decider->release_count; i++)
		decider->releases[i].instances = 0;
	for (size_t i = 0; i < decider->member_count; i++) {
		const decider_member_t *member = &decider->members[i];
		decider_release_t *release;

		if (!member->usable || member->release[0] == '\0' ||
		    member->service[0] == '\0')
			continue;
		release = release_get(decider, member, now);
		if (release != NULL)
			release->instances++;
	}
	for (size_t i = 0; i < decider->release_count; i++) {
		if (decider->releases[i].instances > 0)
			decider->releases[kept++] = decider->releases[i];
	}
	decider->release_count = kept;
}

/* The last rollout that moved the release's service; NULL: none. */
static const decider_item_t *
service_moved_by(const rollout_decider_t *decider, const decider_release_t *release)
{
	const decider_item_t *last = NULL;

	for (size_t i = 0; i < decider->item_count; i++) {
		const decider_item_t *item = decider->items[i];

		if (strcmp(item->order.service, release->service) == 0 &&
		    (item->mode == ROLLOUT_FULL || item->mode == ROLLOUT_DONE) &&
		    (last == NULL || item->order.revision > last->order.revision))
			last = item;
	}
	return last;
}

static bool
service_has_moved(const rollout_decider_t *decider, const decider_release_t *release)
{
	return service_moved_by(decider, release) != NULL;
}

/* True if traffic has moved to another release after this one was seen: an old one. */
static bool
release_was_replaced(const rollout_decider_t *decider, const decider_release_t *release)
{
	const decider_item_t *moved = service_moved_by(decider, release);

	return moved != NULL && release->seen_at <= moved->mode_at;
}

static bool
release_has_order(const rollout_decider_t *decider, const decider_release_t *release)
{
	return rollout_item_find(decider, release->service, release->release) != NULL;
}

/* True if the release waits for leave to serve, as another one has no order either. */
static bool
release_waits(const rollout_decider_t *decider, const decider_release_t *release)
{
	if (release_has_order(decider, release) ||
	    order_is_unreadable(decider, release->service) ||
	    release_was_replaced(decider, release))
		return false;
	for (size_t i = 0; i < decider->release_count; i++) {
		const decider_release_t *other = &decider->releases[i];

		if (other != release && strcmp(other->service, release->service) == 0 &&
		    !release_has_order(decider, other))
			return true;
	}
	return service_has_moved(decider, release);
}

void
rollout_free_tick(rollout_decider_t *decider, uint64_t now)
{
	if (decider->rank < 0)
		return;
	releases_count(decider, now);
	for (size_t i = 0; i < decider->release_count; i++) {
		decider_release_t *release = &decider->releases[i];
		uint64_t read_from = release->seen_at + SEEN_MIN_MS * NS_PER_MS;

		release->free = false;
		if (now < read_from || !release_waits(decider, release))
			continue;
		release->free = decider->orders_read_at >= read_from;
		if (!release->free)
			decider->orders_needed = true;
	}
}

bool
rollout_free_step(rollout_decider_t *decider, uint64_t now, rollout_step_t *step,
    uint64_t *nodes, size_t max, size_t *count)
{
	for (size_t i = 0; decider->rank >= 0 && i < decider->release_count; i++) {
		decider_release_t *release = &decider->releases[i];

		if (!release->free || now < release->step_at)
			continue;
		release->step_at = now + FREE_INTERVAL_MS * NS_PER_MS;
		memset(step, 0, sizeof(*step));
		memcpy(step->service, release->service, NAME_BYTES);
		memcpy(step->release, release->release, NAME_BYTES);
		step->mode = ROLLOUT_FREE;
		*count = 0;
		/* Each relay tells its own zone. */
		for (size_t j = 0; j < decider->member_count && *count < max; j++) {
			const decider_member_t *member = &decider->members[j];

			if (member->usable &&
			    strcmp(member->zone, decider->options.zone) == 0)
				nodes[(*count)++] = member->node;
		}
		if (*count > 0)
			return true;
	}
	return false;
}
