#include "queue.h"

#include "util.h"

/* Weight of a new sample in a class's smoothed service time. */
#define SERVICE_TIME_SAMPLE_WEIGHT 0.1
/*
 * Without new samples the smoothed service time halves at this interval, ms.
 * Otherwise a value too long for any deadline would refuse every call, and no new
 * sample could correct it.
 */
#define SERVICE_TIME_HALF_LIFE_MS 1000
/* After more half-lives than this the service time is taken as 0. */
#define SERVICE_TIME_HALF_LIVES_MAX 40

/* Highest priority first. */
static const route_class_t classes_by_priority[ROUTE_CLASS_COUNT] = {
    ROUTE_INTERNAL, ROUTE_CALL, ROUTE_LOOKUP, ROUTE_UPLOAD};

void
queue_init(queue_t *queue, uint32_t limit, uint32_t slots, bool prioritized)
{
	*queue = (queue_t){.prioritized = prioritized};
	for (int i = 0; i < ROUTE_CLASS_COUNT; i++)
		list_init(&queue->classes[i].items);
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
class_first(const queue_class_t *class)
{
	if (list_is_empty(&class->items))
		return NULL;
	return LIST_ENTRY(class->items.next, queue_item_t, link);
}

static queue_item_t *
class_last(const queue_class_t *class)
{
	if (list_is_empty(&class->items))
		return NULL;
	return LIST_ENTRY(class->items.prev, queue_item_t, link);
}

void
queue_remove(queue_t *queue, queue_item_t *item)
{
	queue_class_t *class = &queue->classes[item->route_class];

	if (!item->queued)
		return;
	list_remove(&item->link);
	item->queued = false;
	if (item->late) {
		queue->late_count--;
		return;
	}
	class->count--;
	queue->count--;
	if (class->count == 0)
		class->bypassed = 0;
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
	if (queue->prioritized)
		items_insert(&class->items, item);
	else
		list_append(&class->items, &item->link);
	class->count++;
	queue->count++;
}

/* Expected time of one call of the class at the backend server, ns. */
static double
class_service_time(const queue_class_t *class, uint64_t now)
{
	uint64_t halvings = 0;

	if (now > class->sampled_at)
		halvings =
		    (now - class->sampled_at) / (SERVICE_TIME_HALF_LIFE_MS * NS_PER_MS);
	if (halvings > SERVICE_TIME_HALF_LIVES_MAX)
		return 0;
	return class->service_ns / (double)(UINT64_C(1) << halvings);
}

void
queue_service_record(
    queue_t *queue, route_class_t route_class, uint64_t duration_ns, uint64_t now)
{
	queue_class_t *class = &queue->classes[route_class];
	double expected = class_service_time(class, now);

	if (expected <= 0)
		class->service_ns = (double)duration_ns;
	else
		class->service_ns = expected + SERVICE_TIME_SAMPLE_WEIGHT *
						   ((double)duration_ns - expected);
	class->sampled_at = now;
}

/* Queued calls of a class that run before a new one with this deadline. */
static uint32_t
class_count_ahead(const queue_class_t *class, uint64_t deadline)
{
	uint32_t ahead = class->count;
	const list_t *position = class->items.prev;

	while (position != &class->items &&
	       LIST_ENTRY(position, const queue_item_t, link)->deadline > deadline) {
		position = position->prev;
		ahead--;
	}
	return ahead;
}

uint64_t
queue_wait_expected(const queue_t *queue, route_class_t route_class, uint64_t deadline,
    queue_capacity_t capacity, uint64_t now)
{
	uint64_t rate_wait = capacity.start_at > now ? capacity.start_at - now : 0;
	double wait = 0;

	for (int i = 0; i < ROUTE_CLASS_COUNT; i++) {
		const queue_class_t *class = &queue->classes[classes_by_priority[i]];
		bool own = classes_by_priority[i] == route_class;
		uint32_t ahead = own ? class_count_ahead(class, deadline) : class->count;

		uint32_t running = classes_by_priority[i] == ROUTE_UPLOAD
				       ? capacity.uploads
				       : capacity.non_uploads;

		/* One more, for the remaining time of the running calls. */
		wait += (ahead + (own ? 1 : 0)) * class_service_time(class, now) /
			MAX_OF(running, 1);
		rate_wait += ahead * capacity.interval;
		if (own)
			break;
	}
	return MAX_OF((uint64_t)wait, rate_wait);
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
	return (uint64_t)class_service_time(&queue->classes[item->route_class], now);
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

static void
late_insert(queue_t *queue, queue_item_t *item, uint64_t now)
{
	item->queued_at = now;
	item->queued = true;
	item->late = true;
	item->give_up_at = late_give_up_at(item, now);
	items_insert(&queue->late, item);
	queue->late_count++;
}

/*
 * The item of lowest priority: the one with the latest deadline in the lowest class
 * that exceeds its protected share of the queue, else in the lowest class that has
 * items. The share keeps a flood of a high class from displacing all low classes.
 */
static queue_item_t *
queue_shed_candidate(const queue_t *queue)
{
	for (int i = ROUTE_CLASS_COUNT - 1; i >= 0; i--) {
		const queue_class_t *class = &queue->classes[classes_by_priority[i]];

		if ((uint64_t) class->count * 100 >
		    (uint64_t)queue->limit * QUEUE_CLASS_SHARE_PERCENT)
			return class_last(class);
	}
	for (int i = ROUTE_CLASS_COUNT - 1; i >= 0; i--) {
		queue_item_t *last = class_last(&queue->classes[classes_by_priority[i]]);

		if (last != NULL)
			return last;
	}
	return NULL;
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
	needed =
	    queue_wait_expected(queue, item->route_class, item->deadline, capacity, now) +
	    item_run_expected(queue, item, now);
	if (needed > item->deadline - now)
		return REASON_DEADLINE_TOO_SHORT;
	if (item_is_late(item, needed, now)) {
		if (queue->late_count >= queue->late_limit ||
		    !late_turn_suffices(queue, item, capacity, now))
			return REASON_TARGET_MISSED;
		late_insert(queue, item, now);
		return REASON_NONE;
	}
	queue_insert(queue, item, now);
	if (queue->count <= queue->limit)
		return REASON_NONE;
	*shed = queue_shed_candidate(queue);
	INVARIANT(*shed != NULL);
	queue_remove(queue, *shed);
	if (*shed != item)
		return REASON_NONE;
	*shed = NULL;
	return REASON_QUEUE_FULL;
}

/* The class to take an item from, or NULL if no item may start. */
static queue_class_t *
queue_next_class(queue_t *queue, bool uploads, bool non_uploads)
{
	queue_class_t *next = NULL;

	for (int i = 0; i < ROUTE_CLASS_COUNT; i++) {
		queue_class_t *class = &queue->classes[classes_by_priority[i]];

		if (class->count == 0 ||
		    !(classes_by_priority[i] == ROUTE_UPLOAD ? uploads : non_uploads))
			continue;
		if (next == NULL || class->bypassed >= QUEUE_BYPASS_MAX)
			next = class;
	}
	return next;
}

/* The item that was queued first over all classes, or NULL. */
static queue_item_t *
queue_oldest(const queue_t *queue)
{
	queue_item_t *oldest = NULL;

	for (int i = 0; i < ROUTE_CLASS_COUNT; i++) {
		queue_item_t *first =
		    class_first(&queue->classes[classes_by_priority[i]]);

		if (first != NULL &&
		    (oldest == NULL || first->queued_at < oldest->queued_at))
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
	for (int i = 0; i < ROUTE_CLASS_COUNT; i++) {
		queue_item_t *item;

		while ((item = class_first(&queue->classes[i])) != NULL &&
		       item_is_late(item, item_run_expected(queue, item, now), now)) {
			queue_remove(queue, item);
			late_insert(queue, item, now);
		}
	}
}

queue_item_t *
queue_pop(queue_t *queue, bool uploads, bool non_uploads, uint64_t now)
{
	queue_class_t *next;
	queue_item_t *item;
	bool below = false;

	if (!queue->prioritized) {
		item = queue_oldest(queue);
		if (item != NULL)
			queue_remove(queue, item);
		return item;
	}
	late_collect(queue, now);
	next = queue_next_class(queue, uploads, non_uploads);
	if (next == NULL)
		return late_pop(queue, uploads, non_uploads);
	for (int i = 0; i < ROUTE_CLASS_COUNT; i++) {
		queue_class_t *class = &queue->classes[classes_by_priority[i]];

		if (below && class->count > 0)
			class->bypassed++;
		below = below || class == next;
	}
	next->bypassed = 0;
	item = class_first(next);
	queue_remove(queue, item);
	return item;
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
	for (int i = 0; i < ROUTE_CLASS_COUNT; i++) {
		queue_item_t *item = class_first(&queue->classes[i]);

		if (item == NULL || !queue->prioritized)
			continue;
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

	for (int i = 0; i < ROUTE_CLASS_COUNT; i++) {
		LIST_FOREACH (node, &queue->classes[i].items) {
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
	for (int i = 0; i < ROUTE_CLASS_COUNT; i++) {
		queue_item_t *item = class_first(&queue->classes[classes_by_priority[i]]);

		if (item == NULL)
			continue;
		queue_remove(queue, item);
		return item;
	}
	return late_pop(queue, true, true);
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
