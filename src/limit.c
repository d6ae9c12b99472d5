#include "limit.h"

#include "util.h"

#include <stdlib.h>
#include <string.h>

#define SERVICE_BUCKETS 1024
/* Services with requests in flight; two presets' worth, for a switch. */
#define SERVICE_ROWS (2 * PRESET_SERVICES_MAX)
#define ROW_NONE UINT32_MAX

/*
 * Share of a new sample in a smoothed latency, at least; with a lower limit
 * samples are rarer and count more, else recovery from a lag takes seconds.
 */
#define LATENCY_SAMPLE_SHARE 0.1
/*
 * A class's minimum is only taken from a smoothed latency of this many samples
 * or more, since a single fast answer is no baseline.
 */
#define MINIMUM_SAMPLES 8
/* Share of the ratio that a halved limit must get below to have had an effect. */
#define DECREASE_EFFECT 0.8

typedef struct service_row {
	char name[NAME_BYTES];
	uint32_t in_flight;
	uint32_t next; /* in its bucket, or in the list of free rows */
} service_row_t;

struct limit_entry {
	uint32_t requests_max;
	uint32_t reserved; /* places kept for each class */
	uint32_t margin;   /* last places of a class: one for each service */
	bool enforced;
	uint32_t in_flight;
	uint32_t classes[ROUTE_CLASS_COUNT];
	uint32_t buckets[SERVICE_BUCKETS];
	uint32_t free_row;
	service_row_t rows[SERVICE_ROWS];
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
	for (uint32_t i = 0; i < SERVICE_ROWS; i++)
		limit->rows[i].next = i + 1 < SERVICE_ROWS ? i + 1 : ROW_NONE;
	*result = limit;
	return MASTICPITCH_OK;
}

void
limit_entry_destroy(limit_entry_t *limit)
{
	free(limit);
}

/* The link to the service's row; ROW_NONE if it has nothing in flight. */
static uint32_t *
service_link(limit_entry_t *limit, const char *name)
{
	uint32_t *link = &limit->buckets[hash_string(name) % SERVICE_BUCKETS];

	while (*link != ROW_NONE && strcmp(limit->rows[*link].name, name) != 0)
		link = &limit->rows[*link].next;
	return link;
}

/* Free places that a class may take: its own reserved ones and unreserved ones. */
static uint32_t
places_for_class(const limit_entry_t *limit, route_class_t route_class)
{
	uint32_t free_places = limit->requests_max - limit->in_flight;
	uint32_t reserved = 0;

	for (int i = 0; i < ROUTE_CLASS_COUNT; i++) {
		if (i != (int)route_class && limit->classes[i] < limit->reserved)
			reserved += limit->reserved - limit->classes[i];
	}
	return free_places > reserved ? free_places - reserved : 0;
}

static reason_t
limit_entry_check(const limit_entry_t *limit, const preset_service_t *service,
    route_class_t route_class, uint32_t service_in_flight)
{
	uint32_t places;

	if (limit->in_flight >= limit->requests_max)
		return REASON_ENTRY_LIMIT;
	if (!limit->enforced)
		return REASON_NONE;
	places = places_for_class(limit, route_class);
	if (places == 0)
		return REASON_CLASS_LIMIT;
	if (service->in_flight_limit != 0 &&
	    service_in_flight >= service->in_flight_limit)
		return REASON_SERVICE_LIMIT;
	/*
	 * At most as many as are left, which gives one lagging service half of the
	 * places and n of them in turn n / (n + 1); of the last places, kept for
	 * services that have none, only one.
	 */
	if (service_in_flight >=
	    (places > limit->margin ? MAX_OF(places - limit->margin, 1) : 1))
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
		row = limit->free_row;
		if (row == ROW_NONE)
			return REASON_SERVICE_LIMIT;
		limit->free_row = limit->rows[row].next;
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
		row->next = limit->free_row;
		limit->free_row = permit->service;
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
	    .created = now,
	    .seen = now,
	    .minimum_since = now,
	    .window_since = now};
}

void
limit_gate_slots_set(limit_gate_t *limit, uint32_t slots)
{
	slots = MAX_OF(slots, 1);
	/* More slots are reached by growth; a full limit follows at once. */
	if (limit->limit >= limit->slots || limit->limit > slots)
		limit->limit = slots;
	limit->slots = slots;
}

/* The first sample counts whole. */
static double
smooth(double value, double sample, double share)
{
	return value > 0 ? value + share * (sample - value) : sample;
}

static double
latency_baseline(const limit_latency_t *latency)
{
	if (latency->minimum_last <= 0)
		return latency->minimum;
	if (latency->minimum <= 0)
		return latency->minimum_last;
	return MIN_OF(latency->minimum, latency->minimum_last);
}

static void
minimum_rotate(limit_gate_t *limit, uint64_t now)
{
	if (now < limit->minimum_since + LIMIT_MINIMUM_PERIOD_MS * NS_PER_MS)
		return;
	limit->minimum_since = now;
	for (int i = 0; i < ROUTE_CLASS_COUNT; i++) {
		limit_latency_t *latency = &limit->latency[i];

		/* A period without samples keeps the minimum of the one before. */
		if (latency->minimum > 0)
			latency->minimum_last = latency->minimum;
		latency->minimum = 0;
	}
}

/*
 * A latency that stays high although the limit was halved does not come from
 * concurrency; then the minimum is out of date and starts anew. Without this a
 * backend server that got slower by itself would be held at one call.
 */
static void
decrease_judge(limit_gate_t *limit, double ratio)
{
	if (limit->decrease_limit <= 0) {
		limit->decrease_limit = limit->limit;
		limit->decrease_ratio = ratio;
		return;
	}
	/* The smoothed latency is still rising when decreases begin. */
	limit->decrease_ratio = MAX_OF(limit->decrease_ratio, ratio);
	if (limit->limit > MAX_OF(1, limit->decrease_limit / 2))
		return;
	if (ratio > DECREASE_EFFECT * limit->decrease_ratio) {
		for (int i = 0; i < ROUTE_CLASS_COUNT; i++) {
			limit->latency[i].minimum = limit->latency[i].smoothed;
			limit->latency[i].minimum_last = 0;
		}
	}
	limit->decrease_limit = 0;
}

/* Smoothed latency over the minimum, without the slack; at least 1. */
static double
latency_ratio(const limit_latency_t *latency, double baseline)
{
	return MAX_OF(latency->smoothed - LIMIT_SLACK_US, baseline) / baseline;
}

/* Ends the window if it is long enough: one step of the limit. */
static void
window_step(limit_gate_t *limit, uint64_t now)
{
	double ratio;

	if (now < limit->window_since + LIMIT_WINDOW_MS * NS_PER_MS)
		return;
	/* About as many samples as run at once, so a step takes one round. */
	if (limit->window_samples < MIN_OF(LIMIT_WINDOW_SAMPLES, limit->limit) &&
	    !limit->window_overload)
		return;
	ratio =
	    limit->window_samples > 0 ? limit->window_ratio / limit->window_samples : 0;
	if (ratio > LIMIT_RATIO_HIGH)
		decrease_judge(limit, ratio);
	if (limit->window_overload || ratio > LIMIT_RATIO_HIGH) {
		limit->limit *= LIMIT_DECREASE_FACTOR;
	} else if (ratio < LIMIT_RATIO_LOW) {
		limit->decrease_limit = 0;
		if (limit->window_running >= limit_gate_current(limit))
			limit->limit += 1;
	}
	limit->limit = MAX_OF(1, MIN_OF(limit->limit, (double)limit->slots));
	limit->window_since = now;
	limit->window_samples = 0;
	limit->window_ratio = 0;
	limit->window_running = 0;
	limit->window_overload = false;
}

void
limit_gate_start(limit_gate_t *limit, route_class_t route_class, uint64_t now)
{
	limit->seen = now;
	if (route_class == ROUTE_UPLOAD) {
		limit->uploads++;
		return;
	}
	limit->open_count++;
	limit->open_since += now - limit->created;
}

void
limit_gate_end(
    limit_gate_t *limit, route_class_t route_class, uint64_t started, uint64_t now)
{
	limit->seen = now;
	if (route_class == ROUTE_UPLOAD) {
		INVARIANT(limit->uploads > 0);
		limit->uploads--;
		return;
	}
	INVARIANT(limit->open_count > 0);
	limit->open_count--;
	limit->open_since -= started - limit->created;
}

void
limit_gate_record(limit_gate_t *limit, route_class_t route_class, uint64_t latency_ns,
    uint32_t running, uint64_t now)
{
	limit_latency_t *latency = &limit->latency[route_class];
	double sample_us = (double)MAX_OF(latency_ns, NS_PER_US) / NS_PER_US;
	double share = MAX_OF(LATENCY_SAMPLE_SHARE, 1 / (1 + limit->limit));
	double baseline;

	if (route_class == ROUTE_UPLOAD)
		return;
	minimum_rotate(limit, now);
	limit->latency_us = smooth(limit->latency_us, sample_us, share);
	latency->smoothed = smooth(latency->smoothed, sample_us, share);
	if (latency->samples < MINIMUM_SAMPLES)
		latency->samples++;
	if (latency->samples >= MINIMUM_SAMPLES &&
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
	uint64_t kept;

	if (!limit->adaptive || limit->slots == 1)
		return limit->slots;
	kept = ((uint64_t)limit->slots * LIMIT_NON_UPLOAD_RESERVED_PERCENT + 99) / 100;
	return limit->slots - (uint32_t)kept;
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
		age_us = ((double)(limit->seen - limit->created) -
			     (double)limit->open_since / limit->open_count) /
			 NS_PER_US;
	return (uint32_t)MAX_OF(limit->latency_us, age_us);
}
