#include "limit.h"

#include "util.h"

#include <stdlib.h>
#include <string.h>

#define SERVICE_BUCKETS 1024
/* Services with requests in flight, of two presets while one replaces the other. */
#define SERVICE_ROWS_MAX (2 * PRESET_SERVICES_MAX)
#define ROW_NONE UINT32_MAX

/*
 * Minimum weight of a new sample in a smoothed latency. The weight grows as the
 * limit falls: samples are then rarer, and with a constant weight recovery from a
 * slow phase would take seconds.
 */
#define LATENCY_SAMPLE_WEIGHT_MIN 0.1
/*
 * Samples that a class's smoothed latency needs before it counts for the minimum,
 * since a single fast answer is not a baseline.
 */
#define BASELINE_SAMPLES_MIN 8
/*
 * Halving the limit counts as effective if the latency ratio falls to this share of
 * its highest value or less.
 */
#define DECREASE_EFFECT_RATIO 0.8

typedef struct service_row {
	char name[NAME_BYTES];
	uint32_t in_flight;
	uint32_t next; /* in its bucket, or in the list of free rows */
} service_row_t;

struct limit_entry {
	uint32_t requests_max;
	uint32_t reserved; /* requests reserved for each class */
	uint32_t margin;   /* see LIMIT_SERVICE_MARGIN_PERCENT */
	bool enforced;
	uint32_t in_flight;
	uint32_t classes[ROUTE_CLASS_COUNT];
	uint32_t buckets[SERVICE_BUCKETS];
	uint32_t free_head;
	service_row_t rows[SERVICE_ROWS_MAX];
};

int
limit_entry_create(uint32_t requests_max, bool enforced, limit_entry_t **result)
{
	limit_entry_t *limit = calloc(1, sizeof(*limit));

	if (limit == NULL)
		return MASTICPITCH_E_NOMEM;
	limit->requests_max = MAX_OF(requests_max, 1);
	limit->reserved = (uint32_t)((uint64_t)limit->requests_max *
				     LIMIT_CLASS_RESERVED_PERCENT / 100);
	limit->margin = (uint32_t)((uint64_t)limit->requests_max *
				   LIMIT_SERVICE_MARGIN_PERCENT / 100);
	limit->enforced = enforced;
	for (size_t i = 0; i < SERVICE_BUCKETS; i++)
		limit->buckets[i] = ROW_NONE;
	for (uint32_t i = 0; i < SERVICE_ROWS_MAX; i++)
		limit->rows[i].next = i + 1 < SERVICE_ROWS_MAX ? i + 1 : ROW_NONE;
	*result = limit;
	return MASTICPITCH_OK;
}

void
limit_entry_destroy(limit_entry_t *limit)
{
	free(limit);
}

/* Link to the service's row; *link is ROW_NONE if it has no requests in flight. */
static uint32_t *
service_link(limit_entry_t *limit, const char *name)
{
	uint32_t *link = &limit->buckets[hash_string(name) % SERVICE_BUCKETS];

	while (*link != ROW_NONE && strcmp(limit->rows[*link].name, name) != 0)
		link = &limit->rows[*link].next;
	return link;
}

/* Requests that a class may still start: its own reserved and the unreserved ones. */
static uint32_t
class_available(const limit_entry_t *limit, route_class_t route_class)
{
	uint32_t unused = limit->requests_max - limit->in_flight;
	uint32_t reserved = 0;

	for (int i = 0; i < ROUTE_CLASS_COUNT; i++) {
		if (i != (int)route_class && limit->classes[i] < limit->reserved)
			reserved += limit->reserved - limit->classes[i];
	}
	return unused > reserved ? unused - reserved : 0;
}

static reason_t
limit_entry_check(const limit_entry_t *limit, const preset_service_t *service,
    route_class_t route_class, uint32_t service_in_flight)
{
	uint32_t available;

	if (limit->in_flight >= limit->requests_max)
		return REASON_ENTRY_LIMIT;
	if (!limit->enforced)
		return REASON_NONE;
	available = class_available(limit, route_class);
	if (available == 0)
		return REASON_CLASS_LIMIT;
	if (service->in_flight_limit != 0 &&
	    service_in_flight >= service->in_flight_limit)
		return REASON_SERVICE_LIMIT;
	/*
	 * A service may have at most as many in flight as are still available, so one
	 * slow service gets half of the limit and n of them together n / (n + 1).
	 * Within the margin only services with none in flight are admitted.
	 */
	if (service_in_flight >=
	    (available > limit->margin ? MAX_OF(available - limit->margin, 1) : 1))
		return REASON_SERVICE_LIMIT;
	return REASON_NONE;
}

reason_t
limit_entry_acquire(limit_entry_t *limit, const preset_service_t *service,
    route_class_t route_class, limit_permit_t *permit)
{
	uint32_t *link = service_link(limit, service->name);
	uint32_t row = *link;
	reason_t reason;

	permit->held = false;
	reason = limit_entry_check(limit, service, route_class,
	    row == ROW_NONE ? 0 : limit->rows[row].in_flight);
	if (reason != REASON_NONE)
		return reason;
	if (row == ROW_NONE) {
		row = limit->free_head;
		if (row == ROW_NONE)
			return REASON_SERVICE_LIMIT;
		limit->free_head = limit->rows[row].next;
		memcpy(limit->rows[row].name, service->name, NAME_BYTES);
		limit->rows[row].in_flight = 0;
		limit->rows[row].next = ROW_NONE;
		*link = row;
	}
	limit->rows[row].in_flight++;
	limit->classes[route_class]++;
	limit->in_flight++;
	*permit =
	    (limit_permit_t){.route_class = route_class, .service = row, .held = true};
	return REASON_NONE;
}

void
limit_entry_release(limit_entry_t *limit, limit_permit_t *permit)
{
	service_row_t *row = &limit->rows[permit->service];

	if (!permit->held)
		return;
	permit->held = false;
	INVARIANT(row->in_flight > 0);
	INVARIANT(limit->classes[permit->route_class] > 0);
	row->in_flight--;
	limit->classes[permit->route_class]--;
	limit->in_flight--;
	if (row->in_flight == 0) {
		uint32_t *link = service_link(limit, row->name);

		*link = row->next;
		row->next = limit->free_head;
		limit->free_head = permit->service;
	}
}

uint32_t
limit_entry_in_flight(const limit_entry_t *limit)
{
	return limit->in_flight;
}

uint32_t
limit_entry_class_in_flight(const limit_entry_t *limit, route_class_t route_class)
{
	return limit->classes[route_class];
}

void
limit_gate_init(limit_gate_t *limit, uint32_t slots, bool adaptive, uint64_t now)
{
	*limit = (limit_gate_t){.adaptive = adaptive,
	    .slots = MAX_OF(slots, 1),
	    .limit = MAX_OF(slots, 1),
	    .created_at = now,
	    .updated_at = now,
	    .minimum_started_at = now,
	    .window_started_at = now};
}

void
limit_gate_slots_set(limit_gate_t *limit, uint32_t slots)
{
	slots = MAX_OF(slots, 1);
	/* A limit below the slots grows step by step; one equal to them follows. */
	if (limit->limit >= limit->slots || limit->limit > slots)
		limit->limit = slots;
	limit->slots = slots;
}

/* The first sample has full weight. */
static double
smooth(double value, double sample, double weight)
{
	return value > 0 ? value + weight * (sample - value) : sample;
}

static double
latency_baseline(const limit_latency_t *latency)
{
	if (latency->minimum_previous <= 0)
		return latency->minimum;
	if (latency->minimum <= 0)
		return latency->minimum_previous;
	return MIN_OF(latency->minimum, latency->minimum_previous);
}

static void
minimum_rotate(limit_gate_t *limit, uint64_t now)
{
	if (now < limit->minimum_started_at + LIMIT_MINIMUM_PERIOD_MS * NS_PER_MS)
		return;
	limit->minimum_started_at = now;
	for (int i = 0; i < ROUTE_CLASS_COUNT; i++) {
		limit_latency_t *latency = &limit->latency[i];

		/* After a period without samples the previous minimum stays. */
		if (latency->minimum > 0)
			latency->minimum_previous = latency->minimum;
		latency->minimum = 0;
	}
}

/*
 * A latency that stays high although the limit was halved is not caused by
 * concurrency. The minimum is then out of date and is reset to the smoothed
 * latency; otherwise a backend server that became slower, for example by a new
 * release, would stay limited to one call.
 */
static void
decrease_check(limit_gate_t *limit, double ratio)
{
	if (limit->decrease_limit <= 0) {
		limit->decrease_limit = limit->limit;
		limit->decrease_ratio = ratio;
		return;
	}
	/* The smoothed latency is still rising at the first decrease. */
	limit->decrease_ratio = MAX_OF(limit->decrease_ratio, ratio);
	if (limit->limit > MAX_OF(1, limit->decrease_limit / 2))
		return;
	if (ratio > DECREASE_EFFECT_RATIO * limit->decrease_ratio) {
		for (int i = 0; i < ROUTE_CLASS_COUNT; i++) {
			limit->latency[i].minimum = limit->latency[i].smoothed;
			limit->latency[i].minimum_previous = 0;
		}
	}
	limit->decrease_limit = 0;
}

/* Ratio of the smoothed latency less LIMIT_SLACK_US to the baseline; at least 1. */
static double
latency_ratio(const limit_latency_t *latency, double baseline)
{
	return MAX_OF(latency->smoothed - LIMIT_SLACK_US, baseline) / baseline;
}

/* Adjusts the limit and starts a new window if the current one is complete. */
static void
window_step(limit_gate_t *limit, uint64_t now)
{
	double ratio;

	if (now < limit->window_started_at + LIMIT_WINDOW_MS * NS_PER_MS)
		return;
	/* About one sample for each call that runs concurrently. */
	if (limit->window_samples < MIN_OF(LIMIT_WINDOW_SAMPLES, limit->limit) &&
	    !limit->window_overload)
		return;
	ratio =
	    limit->window_samples > 0 ? limit->window_ratio / limit->window_samples : 0;
	if (ratio > LIMIT_RATIO_HIGH)
		decrease_check(limit, ratio);
	if (limit->window_overload || ratio > LIMIT_RATIO_HIGH) {
		limit->limit *= LIMIT_DECREASE_FACTOR;
	} else if (ratio < LIMIT_RATIO_LOW) {
		limit->decrease_limit = 0;
		if (limit->window_running >= limit_gate_current(limit))
			limit->limit += 1;
	}
	limit->limit = MAX_OF(1, MIN_OF(limit->limit, (double)limit->slots));
	limit->window_started_at = now;
	limit->window_samples = 0;
	limit->window_ratio = 0;
	limit->window_running = 0;
	limit->window_overload = false;
}

void
limit_gate_start(limit_gate_t *limit, route_class_t route_class, uint64_t now)
{
	limit->updated_at = now;
	if (route_class == ROUTE_UPLOAD) {
		limit->uploads++;
		return;
	}
	limit->open_count++;
	limit->open_started_sum += now - limit->created_at;
}

void
limit_gate_end(
    limit_gate_t *limit, route_class_t route_class, uint64_t started_at, uint64_t now)
{
	limit->updated_at = now;
	if (route_class == ROUTE_UPLOAD) {
		INVARIANT(limit->uploads > 0);
		limit->uploads--;
		return;
	}
	INVARIANT(limit->open_count > 0);
	limit->open_count--;
	limit->open_started_sum -= started_at - limit->created_at;
}

void
limit_gate_record(limit_gate_t *limit, route_class_t route_class, uint64_t latency_ns,
    uint32_t running, uint64_t now)
{
	limit_latency_t *latency = &limit->latency[route_class];
	double sample_us = (double)MAX_OF(latency_ns, NS_PER_US) / NS_PER_US;
	double weight = MAX_OF(LATENCY_SAMPLE_WEIGHT_MIN, 1 / (1 + limit->limit));
	double baseline;

	if (route_class == ROUTE_UPLOAD)
		return;
	minimum_rotate(limit, now);
	limit->latency_us = smooth(limit->latency_us, sample_us, weight);
	latency->smoothed = smooth(latency->smoothed, sample_us, weight);
	if (latency->samples < BASELINE_SAMPLES_MIN)
		latency->samples++;
	if (latency->samples >= BASELINE_SAMPLES_MIN &&
	    (latency->minimum <= 0 || latency->smoothed < latency->minimum))
		latency->minimum = latency->smoothed;
	baseline = latency_baseline(latency);
	if (baseline > 0) {
		limit->window_samples++;
		limit->window_ratio += latency_ratio(latency, baseline);
	}
	limit->window_running = MAX_OF(limit->window_running, running);
	if (limit->adaptive)
		window_step(limit, now);
}

void
limit_gate_overload(limit_gate_t *limit, uint64_t now)
{
	limit->window_overload = true;
	if (limit->adaptive)
		window_step(limit, now);
}

uint32_t
limit_gate_current(const limit_gate_t *limit)
{
	return limit->adaptive ? (uint32_t)limit->limit : limit->slots;
}

uint32_t
limit_gate_uploads_max(const limit_gate_t *limit)
{
	uint64_t reserved;

	if (!limit->adaptive || limit->slots == 1)
		return limit->slots;
	reserved =
	    ((uint64_t)limit->slots * LIMIT_NON_UPLOAD_RESERVED_PERCENT + 99) / 100;
	return limit->slots - (uint32_t)reserved;
}

uint32_t
limit_gate_non_uploads_max(const limit_gate_t *limit)
{
	/* Fewer slots may have been announced since the uploads started. */
	uint32_t left = limit->slots - MIN_OF(limit->slots, limit->uploads);

	return MIN_OF(limit_gate_current(limit), left);
}

uint32_t
limit_gate_total_max(const limit_gate_t *limit)
{
	return MIN_OF((uint64_t)limit_gate_current(limit) + limit->uploads, limit->slots);
}

uint32_t
limit_gate_non_uploads(const limit_gate_t *limit)
{
	return limit->open_count;
}

bool
limit_gate_admits(const limit_gate_t *limit, route_class_t route_class)
{
	if (route_class != ROUTE_UPLOAD)
		return limit->open_count < limit_gate_non_uploads_max(limit);
	return limit->uploads < limit_gate_uploads_max(limit) &&
	       limit->uploads + limit->open_count < limit->slots;
}

uint32_t
limit_gate_latency_us(const limit_gate_t *limit)
{
	double age_us = 0;

	if (limit->open_count > 0)
		age_us = ((double)(limit->updated_at - limit->created_at) -
			     (double)limit->open_started_sum / limit->open_count) /
			 NS_PER_US;
	return (uint32_t)MAX_OF(limit->latency_us, age_us);
}
