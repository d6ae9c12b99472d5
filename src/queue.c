#include "queue.h"

#include "util.h"

/* Share of a new sample in a class's smoothed service time. */
#define SERVICE_SAMPLE_SHARE 0.1
/*
 * Without new samples a service time counts half after this time, ms. A time
 * too long to fit any deadline would else refuse everything for good.
 */
#define SERVICE_HALF_LIFE_MS 1000
/* After this many half-lives it counts nothing. */
#define SERVICE_HALF_LIVES_MAX 40

/* Classes in order of priority. */
static const route_class_t ranking[ROUTE_CLASS_COUNT] = {
    ROUTE_INTERNAL, ROUTE_CALL, ROUTE_LOOKUP, ROUTE_UPLOAD};

void
queue_init(queue_t *queue, uint32_t limit, uint32_t slots, bool ordered)
{
	*queue = (queue_t){.ordered = ordered};
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
		class->passed = 0;
}

/* Inserted from the back, since deadlines mostly grow with arrival. */
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
	if (queue->ordered)
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
		halvings = (now - class->sampled_at) / (SERVICE_HALF_LIFE_MS * NS_PER_MS);
	if (halvings > SERVICE_HALF_LIVES_MAX)
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
		class->service_ns =
		    expected + SERVICE_SAMPLE_SHARE * ((double)duration_ns - expected);
	class->sampled_at = now;
}

/* Calls of a class ahead of a new one with this deadline. */
static uint32_t
class_ahead(const queue_class_t *class, uint64_t deadline)
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
	double wait = 0;

	for (int i = 0; i < ROUTE_CLASS_COUNT; i++) {
		const queue_class_t *class = &queue->classes[ranking[i]];
		bool own = ranking[i] == route_class;
		uint32_t ahead = own ? class_ahead(class, deadline) : class->count;

		uint32_t running =
		    ranking[i] == ROUTE_UPLOAD ? capacity.uploads : capacity.non_uploads;

		/* One more, for the rest of what runs at the moment. */
		wait += (ahead + (own ? 1 : 0)) * class_service_time(class, now) /
			MAX_OF(running, 1);
		if (own)
			break;
	}
	return (uint64_t)wait;
}

/* The time that an item still needs once it runs; an upload's is its caller's. */
static uint64_t
item_run_expected(const queue_t *queue, const queue_item_t *item, uint64_t now)
{
	if (item->route_class == ROUTE_UPLOAD)
		return 0;
	return (uint64_t)class_service_time(&queue->classes[item->route_class], now);
}

/* True if the answer can only come after the item's target. */
static bool
item_is_late(const queue_item_t *item, uint64_t needed, uint64_t now)
{
	return item->target != 0 && now + needed > item->target;
}

static void
late_insert(queue_t *queue, queue_item_t *item, uint64_t now)
{
	item->queued_at = now;
	item->queued = true;
	item->late = true;
	item->give_up = now + (item->deadline - now) / 100 * QUEUE_LATE_WAIT_PERCENT;
	items_insert(&queue->late, item);
	queue->late_count++;
}

/*
 * The item that ranks last: the one with the latest deadline of the lowest
 * class that holds more than its share. The share keeps a flood of a high
 * class from pushing every low one out.
 */
static queue_item_t *
queue_last(const queue_t *queue)
{
	for (int i = ROUTE_CLASS_COUNT - 1; i >= 0; i--) {
		const queue_class_t *class = &queue->classes[ranking[i]];

		if ((uint64_t) class->count * 100 >
		    (uint64_t)queue->limit * QUEUE_CLASS_SHARE_PERCENT)
			return class_last(class);
	}
	for (int i = ROUTE_CLASS_COUNT - 1; i >= 0; i--) {
		queue_item_t *last = class_last(&queue->classes[ranking[i]]);

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
	if (!queue->ordered) {
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
		if (queue->late_count >= queue->late_limit)
			return REASON_TARGET_MISSED;
		late_insert(queue, item, now);
		return REASON_NONE;
	}
	queue_insert(queue, item, now);
	if (queue->count <= queue->limit)
		return REASON_NONE;
	*shed = queue_last(queue);
	INVARIANT(*shed != NULL);
	queue_remove(queue, *shed);
	if (*shed != item)
		return REASON_NONE;
	*shed = NULL;
	return REASON_QUEUE_FULL;
}

/* The class whose turn it is, or NULL if nothing waits that may start. */
static queue_class_t *
queue_turn(queue_t *queue, bool uploads, bool non_uploads)
{
	queue_class_t *turn = NULL;

	for (int i = 0; i < ROUTE_CLASS_COUNT; i++) {
		queue_class_t *class = &queue->classes[ranking[i]];

		if (class->count == 0 ||
		    !(ranking[i] == ROUTE_UPLOAD ? uploads : non_uploads))
			continue;
		if (turn == NULL || class->passed >= QUEUE_BYPASS_MAX)
			turn = class;
	}
	return turn;
}

/* First come, first served over all classes. */
static queue_item_t *
queue_oldest(const queue_t *queue)
{
	queue_item_t *oldest = NULL;

	for (int i = 0; i < ROUTE_CLASS_COUNT; i++) {
		queue_item_t *first = class_first(&queue->classes[ranking[i]]);

		if (first != NULL &&
		    (oldest == NULL || first->queued_at < oldest->queued_at))
			oldest = first;
	}
	return oldest;
}

/* The first late item that may start, or NULL. */
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

/* Moves the items that have become late while they waited. */
static void
late_sort_out(queue_t *queue, uint64_t now)
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
	queue_class_t *turn;
	queue_item_t *item;
	bool below = false;

	if (!queue->ordered) {
		item = queue_oldest(queue);
		if (item != NULL)
			queue_remove(queue, item);
		return item;
	}
	late_sort_out(queue, now);
	turn = queue_turn(queue, uploads, non_uploads);
	if (turn == NULL)
		return late_pop(queue, uploads, non_uploads);
	for (int i = 0; i < ROUTE_CLASS_COUNT; i++) {
		queue_class_t *class = &queue->classes[ranking[i]];

		if (below && class->count > 0)
			class->passed++;
		below = below || class == turn;
	}
	turn->passed = 0;
	item = class_first(turn);
	queue_remove(queue, item);
	return item;
}

/* The late item with the earliest deadline that has waited long enough, or NULL. */
static queue_item_t *
late_expire(queue_t *queue, uint64_t now, reason_t *reason)
{
	LIST_FOREACH (node, &queue->late) {
		queue_item_t *item = LIST_ENTRY(node, queue_item_t, link);

		if (now < item->give_up)
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

		if (item == NULL || !queue->ordered)
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
			if (queue->ordered)
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
		queue_item_t *item = class_first(&queue->classes[ranking[i]]);

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
