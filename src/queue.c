#include "queue_internal.h"

#include "util.h"

void
queue_init(queue_t *queue, uint32_t limit, uint32_t slots, bool prioritized)
{
	*queue = (queue_t){.prioritized = prioritized};
	for (int i = 0; i < ROUTE_CLASS_COUNT; i++) {
		for (int j = 0; j < QUEUE_RANKS_MAX; j++)
			list_init(&queue->classes[i].bands[j].items);
	}
	list_init(&queue->late);
	queue_limit_set(queue, limit, slots);
}

void
queue_limit_set(queue_t *queue, uint32_t limit, uint32_t slots)
{
	uint64_t capacity = limit != 0 ? limit : (uint64_t)QUEUE_LIMIT_PER_SLOT * slots;

	queue->limit = (uint32_t)MIN_OF(capacity, QUEUE_LIMIT_MAX);
	queue->late_limit = QUEUE_LATE_PER_SLOT * slots;
}

static queue_item_t *
band_first(const queue_band_t *band)
{
	return LIST_ENTRY(band->items.next, queue_item_t, link);
}

static queue_item_t *
band_last(const queue_band_t *band)
{
	return LIST_ENTRY(band->items.prev, queue_item_t, link);
}

/* The band for a new item; see QUEUE_RANKS_MAX. */
static queue_band_t *
band_for(queue_class_t *class, uint32_t rank)
{
	queue_band_t *unused = NULL, *next = NULL, *last = NULL;

	for (int i = 0; i < QUEUE_RANKS_MAX; i++) {
		queue_band_t *band = &class->bands[i];

		if (band->count == 0) {
			unused = band;
			continue;
		}
		if (band->key.rank == rank)
			return band;
		if (band->key.rank > rank &&
		    (next == NULL || band->key.rank < next->key.rank))
			next = band;
		if (last == NULL || band->key.rank > last->key.rank)
			last = band;
	}
	if (unused != NULL)
		return unused;
	return next != NULL ? next : last;
}

static void
band_start(queue_t *queue, queue_band_t *band, order_key_t key)
{
	uint32_t position = queue->waiting_count;

	band->key = key;
	band->bypassed = 0;
	while (position > 0 &&
	       order_key_compare(queue->waiting[position - 1]->key, key) > 0) {
		queue->waiting[position] = queue->waiting[position - 1];
		position--;
	}
	queue->waiting[position] = band;
	queue->waiting_count++;
	queue->classes[key.route_class].bands_waiting++;
}

static void
band_end(queue_t *queue, const queue_band_t *band)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < queue->waiting_count; i++) {
		if (queue->waiting[i] != band)
			queue->waiting[kept++] = queue->waiting[i];
	}
	queue->waiting_count = kept;
	queue->classes[band->key.route_class].bands_waiting--;
}

void
queue_remove(queue_t *queue, queue_item_t *item)
{
	if (!item->queued)
		return;
	list_remove(&item->link);
	item->queued = false;
	if (item->late) {
		queue->late_count--;
		return;
	}
	item->band->count--;
	queue->classes[item->route_class].count--;
	queue->count--;
	if (item->band->count == 0)
		band_end(queue, item->band);
}

/* Searches from the back, since deadlines mostly increase in order of arrival. */
static void
items_insert(list_t *items, queue_item_t *item)
{
	list_t *position = items->prev;

	while (position != items &&
	       LIST_ENTRY(position, queue_item_t, link)->deadline > item->deadline)
		position = position->prev;
	list_insert_before(position->next, &item->link);
}

static void
queue_insert(queue_t *queue, queue_item_t *item, uint64_t now)
{
	queue_class_t *class = &queue->classes[item->route_class];

	item->queued_at = now;
	item->queued = true;
	item->band = band_for(class, item->rank);
	if (item->band->count == 0)
		band_start(queue, item->band, queue_item_key(item));
	if (queue->prioritized)
		items_insert(&item->band->items, item);
	else
		list_append(&item->band->items, &item->link);
	item->band->count++;
	class->count++;
	queue->count++;
}

/*
 * Expected run time of an item, ns; 0 for an upload, whose duration depends on the
 * caller.
 */
static uint64_t
item_run_expected(const queue_t *queue, const queue_item_t *item, uint64_t now)
{
	if (item->route_class == ROUTE_UPLOAD)
		return 0;
	return (uint64_t)queue_service_time(&queue->classes[item->route_class], now);
}

/* needed: expected time until the answer, ns. */
static bool
item_is_late(const queue_item_t *item, uint64_t needed, uint64_t now)
{
	return item->target != 0 && now + needed > item->target;
}

/* The wait of an item that is queued again goes on. */
static uint64_t
late_give_up_at(const queue_item_t *item, uint64_t now)
{
	if (item->give_up_at != 0)
		return item->give_up_at;
	return now + (item->deadline - now) / 100 * QUEUE_LATE_WAIT_PERCENT;
}

/* Whether a late item gets its turn at the rate limit before it is given up. */
static bool
late_turn_suffices(const queue_t *queue, const queue_item_t *item,
    queue_capacity_t capacity, uint64_t now)
{
	uint64_t turn =
	    MAX_OF(capacity.start_at, now) + queue_length(queue) * capacity.interval;

	return capacity.interval == 0 || turn <= late_give_up_at(item, now);
}

static bool
late_is_before(const queue_item_t *item, const list_t *position)
{
	const queue_item_t *other = LIST_ENTRY(position, const queue_item_t, link);

	return other->rank != item->rank ? other->rank > item->rank
					 : other->deadline > item->deadline;
}

static void
late_insert(queue_t *queue, queue_item_t *item, uint64_t now)
{
	list_t *position = queue->late.prev;

	item->queued_at = now;
	item->queued = true;
	item->late = true;
	item->give_up_at = late_give_up_at(item, now);
	while (position != &queue->late && late_is_before(item, position))
		position = position->prev;
	list_insert_before(position->next, &item->link);
	queue->late_count++;
}

/*
 * Makes room in the late queue for an item, if need be by removing the last one that is
 * less urgent; *shed is that one. False: there is no room.
 */
static bool
late_reserve(queue_t *queue, const queue_item_t *item, queue_item_t **shed)
{
	queue_item_t *last;

	if (queue->late_count < queue->late_limit)
		return true;
	if (list_is_empty(&queue->late))
		return false;
	last = LIST_ENTRY(queue->late.prev, queue_item_t, link);
	if (last->rank <= item->rank)
		return false;
	queue_remove(queue, last);
	*shed = last;
	return true;
}

/*
 * The item of lowest priority: the one with the latest deadline in the last band whose
 * class exceeds its protected share of the queue, else in the last band. The share
 * keeps a flood of a high class from displacing all low classes.
 */
static queue_item_t *
queue_shed_candidate(const queue_t *queue)
{
	for (uint32_t i = queue->waiting_count; i-- > 0;) {
		const queue_band_t *band = queue->waiting[i];

		if ((uint64_t)queue->classes[band->key.route_class].count * 100 >
		    (uint64_t)queue->limit * QUEUE_CLASS_SHARE_PERCENT)
			return band_last(band);
	}
	if (queue->waiting_count == 0)
		return NULL;
	return band_last(queue->waiting[queue->waiting_count - 1]);
}

/*
 * Time until the answer of an item that is queued now, ns, with the margin that the
 * target needs.
 */
static uint64_t
item_needed(const queue_t *queue, const queue_item_t *item, queue_capacity_t capacity,
    uint64_t now, bool margin)
{
	uint64_t wait = queue_wait_expected(
	    queue, queue_item_key(item), item->deadline, capacity, now);

	if (margin)
		wait = wait / QUEUE_SLACK_PERCENT * 100;
	return wait + item_run_expected(queue, item, now);
}

static void
run_time_assume(queue_class_t *class, const queue_item_t *item, uint64_t now)
{
	if (class->sampled_at != 0 || item->target <= now)
		return;
	class->service_ns =
	    (double)(item->target - now) * QUEUE_RUN_ASSUMED_PERCENT / 100;
	class->assumed = true;
	class->sampled_at = now;
}

/*
 * Removes a call of a workspace with too many if a late item is in time then; true with
 * *shed if so.
 */
static bool
excess_displace(queue_t *queue, const queue_item_t *item, queue_capacity_t capacity,
    uint64_t now, queue_item_t **shed)
{
	queue_item_t *other;

	if (item->workspace == 0)
		return false;
	other = queue_excess_find(queue, item);
	if (other == NULL || other->deadline > item->deadline)
		return false;
	queue_remove(queue, other);
	if (item_is_late(item, item_needed(queue, item, capacity, now, true), now)) {
		queue_insert(queue, other, other->queued_at);
		return false;
	}
	*shed = other;
	return true;
}

reason_t
queue_push(queue_t *queue, queue_item_t *item, queue_capacity_t capacity, uint64_t now,
    queue_item_t **shed)
{
	uint64_t needed;

	*shed = NULL;
	item->queued = false;
	item->late = false;
	if (!queue->prioritized) {
		if (queue->count >= queue->limit)
			return REASON_QUEUE_FULL;
		queue_insert(queue, item, now);
		return REASON_NONE;
	}
	if (item->deadline <= now)
		return REASON_DEADLINE_PASSED;
	run_time_assume(&queue->classes[item->route_class], item, now);
	needed = item_needed(queue, item, capacity, now, false);
	if (needed > item->deadline - now)
		return REASON_DEADLINE_TOO_SHORT;
	needed = item_needed(queue, item, capacity, now, true);
	if (item_is_late(item, needed, now) &&
	    !excess_displace(queue, item, capacity, now, shed)) {
		if (queue->late_held || !late_turn_suffices(queue, item, capacity, now) ||
		    !late_reserve(queue, item, shed))
			return REASON_TARGET_MISSED;
		late_insert(queue, item, now);
		return REASON_NONE;
	}
	queue_insert(queue, item, now);
	if (queue->count <= queue->limit || *shed != NULL)
		return REASON_NONE;
	*shed = queue_shed_candidate(queue);
	INVARIANT(*shed != NULL);
	queue_remove(queue, *shed);
	if (*shed != item)
		return REASON_NONE;
	*shed = NULL;
	return REASON_QUEUE_FULL;
}

/* Calls that may be taken ahead of a waiting band that is behind them in the order. */
static uint32_t
band_bypass_max(const queue_t *queue, const queue_band_t *band)
{
	return QUEUE_BYPASS_MAX * queue->classes[band->key.route_class].bands_waiting;
}

/* Counts that a call of another band is taken ahead of a waiting band. */
static void
band_bypass(const queue_t *queue, queue_band_t *band, order_key_t taken)
{
	uint32_t max = band_bypass_max(queue, band);

	band->bypassed +=
	    queue_is_ahead_of_urgent(taken, band->key)
		? (max + QUEUE_BYPASS_NESTED_MAX - 1) / QUEUE_BYPASS_NESTED_MAX
		: 1;
}

/* The band to take an item from, or NULL if no item may start. */
static queue_band_t *
queue_next_band(const queue_t *queue, bool uploads, bool non_uploads)
{
	queue_band_t *next = NULL;

	for (uint32_t i = 0; i < queue->waiting_count; i++) {
		queue_band_t *band = queue->waiting[i];

		if (!(band->key.route_class == ROUTE_UPLOAD ? uploads : non_uploads))
			continue;
		if (next == NULL || band->bypassed >= band_bypass_max(queue, band))
			next = band;
	}
	return next;
}

/* The item that was queued first over all bands, or NULL. */
static queue_item_t *
queue_oldest(const queue_t *queue)
{
	queue_item_t *oldest = NULL;

	for (uint32_t i = 0; i < queue->waiting_count; i++) {
		queue_item_t *first = band_first(queue->waiting[i]);

		if (oldest == NULL || first->queued_at < oldest->queued_at)
			oldest = first;
	}
	return oldest;
}

/* Removes and returns the late item that may start and is due first, or NULL. */
static queue_item_t *
late_pop(queue_t *queue, bool uploads, bool non_uploads)
{
	LIST_FOREACH (node, &queue->late) {
		queue_item_t *item = LIST_ENTRY(node, queue_item_t, link);

		if (!(item->route_class == ROUTE_UPLOAD ? uploads : non_uploads))
			continue;
		queue_remove(queue, item);
		return item;
	}
	return NULL;
}

/* Moves items that have become late while waiting to the late queue. */
static void
late_collect(queue_t *queue, uint64_t now)
{
	/* From the end: a band that becomes empty leaves the array. */
	for (uint32_t i = queue->waiting_count; i-- > 0;) {
		queue_band_t *band = queue->waiting[i];

		while (band->count > 0) {
			queue_item_t *item = band_first(band);

			if (!item_is_late(item, item_run_expected(queue, item, now), now))
				break;
			queue_remove(queue, item);
			late_insert(queue, item, now);
		}
	}
}

queue_item_t *
queue_pop(queue_t *queue, bool uploads, bool non_uploads, uint64_t now)
{
	queue_band_t *next;
	queue_item_t *item;

	if (!queue->prioritized) {
		item = queue_oldest(queue);
		if (item != NULL)
			queue_remove(queue, item);
		return item;
	}
	late_collect(queue, now);
	next = queue_next_band(queue, uploads, non_uploads);
	if (next == NULL)
		return queue->late_held ? NULL : late_pop(queue, uploads, non_uploads);
	for (uint32_t i = queue->waiting_count; queue->waiting[i - 1] != next; i--)
		band_bypass(queue, queue->waiting[i - 1], next->key);
	next->bypassed = 0;
	item = band_first(next);
	queue_remove(queue, item);
	return item;
}

void
queue_late_hold(queue_t *queue, bool held)
{
	queue->late_held = held;
}

/* Removes and returns the late item past give_up_at that is due first, or NULL. */
static queue_item_t *
late_expire(queue_t *queue, uint64_t now, reason_t *reason)
{
	LIST_FOREACH (node, &queue->late) {
		queue_item_t *item = LIST_ENTRY(node, queue_item_t, link);

		if (now < item->give_up_at)
			continue;
		*reason =
		    item->deadline <= now ? REASON_DEADLINE_PASSED : REASON_TARGET_MISSED;
		queue_remove(queue, item);
		return item;
	}
	return NULL;
}

queue_item_t *
queue_expire(queue_t *queue, uint64_t now, reason_t *reason)
{
	for (uint32_t i = 0; queue->prioritized && i < queue->waiting_count; i++) {
		queue_item_t *item = band_first(queue->waiting[i]);

		if (item->deadline <= now)
			*reason = REASON_DEADLINE_PASSED;
		else if (item->deadline - now < item_run_expected(queue, item, now))
			*reason = REASON_DEADLINE_TOO_SHORT;
		else
			continue;
		queue_remove(queue, item);
		return item;
	}
	return late_expire(queue, now, reason);
}

uint64_t
queue_next_deadline(const queue_t *queue)
{
	uint64_t earliest = TIME_NEVER;

	for (uint32_t i = 0; i < queue->waiting_count; i++) {
		LIST_FOREACH (node, &queue->waiting[i]->items) {
			const queue_item_t *item = LIST_ENTRY(node, queue_item_t, link);

			earliest = MIN_OF(earliest, item->deadline);
			if (queue->prioritized)
				break;
		}
	}
	LIST_FOREACH (node, &queue->late)
		earliest =
		    MIN_OF(earliest, LIST_ENTRY(node, queue_item_t, link)->deadline);
	return earliest;
}

queue_item_t *
queue_drain(queue_t *queue)
{
	queue_item_t *item;

	if (queue->waiting_count == 0)
		return late_pop(queue, true, true);
	item = band_first(queue->waiting[0]);
	queue_remove(queue, item);
	return item;
}

uint32_t
queue_length(const queue_t *queue)
{
	return queue->count + queue->late_count;
}

uint32_t
queue_uploads(const queue_t *queue)
{
	return queue->classes[ROUTE_UPLOAD].count;
}
