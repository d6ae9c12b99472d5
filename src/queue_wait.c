#include "queue_internal.h"
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

double
queue_service_time(const queue_class_t *class, uint64_t now)
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
	double expected = queue_service_time(class, now);

	if (expected <= 0 || class->assumed)
		class->service_ns = (double)duration_ns;
	else
		class->service_ns = expected + SERVICE_TIME_SAMPLE_WEIGHT *
						   ((double)duration_ns - expected);
	class->assumed = false;
	class->sampled_at = now;
}

/* Queued calls of a band that run before a new one with this deadline. */
static uint32_t
band_count_ahead(const queue_band_t *band, uint64_t deadline)
{
	uint32_t ahead = band->count;
	const list_t *position = band->items.prev;

	while (position != &band->items &&
	       LIST_ENTRY(position, const queue_item_t, link)->deadline > deadline) {
		position = position->prev;
		ahead--;
	}
	return ahead;
}

/* Expected time of a number of calls of a class that run one after the other, ns. */
static double
class_run_time(const queue_t *queue, route_class_t route_class, uint32_t calls,
    queue_capacity_t capacity, uint64_t now)
{
	uint32_t running =
	    route_class == ROUTE_UPLOAD ? capacity.uploads : capacity.non_uploads;

	return calls * queue_service_time(&queue->classes[route_class], now) /
	       MAX_OF(running, 1);
}

bool
queue_is_ahead_of_urgent(order_key_t nested, order_key_t key)
{
	return nested.route_class == ROUTE_INTERNAL &&
	       key.route_class != ROUTE_INTERNAL && key.rank < nested.rank;
}

/*
 * Calls of a band that run before a new item, of which own calls of its band do; see
 * QUEUE_BYPASS_NESTED_MAX.
 */
static uint32_t
band_turns(const queue_band_t *band, order_key_t key, uint32_t own)
{
	if (queue_is_ahead_of_urgent(band->key, key))
		return MIN_OF(band->count, QUEUE_BYPASS_NESTED_MAX * (own + 1));
	if (queue_is_ahead_of_urgent(key, band->key))
		return MIN_OF(band->count, own / QUEUE_BYPASS_NESTED_MAX);
	return order_key_compare(band->key, key) < 0 ? band->count : 0;
}

uint64_t
queue_wait_expected(const queue_t *queue, order_key_t key, uint64_t deadline,
    queue_capacity_t capacity, uint64_t now)
{
	uint64_t rate_wait = capacity.start_at > now ? capacity.start_at - now : 0;
	/* One more, for the remaining time of the running calls. */
	double wait = class_run_time(queue, key.route_class, 1, capacity, now);
	uint32_t own = 0;

	for (uint32_t i = 0; i < queue->waiting_count; i++) {
		if (order_key_compare(queue->waiting[i]->key, key) == 0)
			own = band_count_ahead(queue->waiting[i], deadline);
	}
	for (uint32_t i = 0; i < queue->waiting_count; i++) {
		const queue_band_t *band = queue->waiting[i];
		uint32_t ahead = order_key_compare(band->key, key) == 0
				     ? own
				     : band_turns(band, key, own);

		wait +=
		    class_run_time(queue, band->key.route_class, ahead, capacity, now);
		rate_wait += ahead * capacity.interval;
	}
	return MAX_OF((uint64_t)wait, rate_wait);
}
