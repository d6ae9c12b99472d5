#include "balance.h"

#include "balance_table.h"

#include <math.h>
#include <string.h>

/* A gate's load report counts half after this time, ms. */
#define LOAD_HALF_LIFE_MS 500
/*
 * A latency without new samples moves half way to the service's mean in this
 * time, ms; else an instance that was slow once would never be tried again.
 */
#define LATENCY_HALF_LIFE_MS 5000
/* Share of a new sample in a smoothed latency. */
#define LATENCY_SAMPLE_SHARE 0.2
/* Latency assumed before the first sample of a service, us. */
#define LATENCY_DEFAULT_US 1000.0
/* Half-life of the counts behind a success rate, ms. */
#define RATE_HALF_LIFE_MS 5000
/* Fewest answers behind a success rate that is compared. */
#define RATE_SAMPLES_MIN 20.0
/* An instance this much below the success rate of the others is ejected. */
#define RATE_GAP 0.3
/* Weight of an instance at the start of its slow start. */
#define WEIGHT_MIN 0.1
/* An instance without ejection for this time has its backoff reset, ms. */
#define EJECTION_FORGET_MS 60000
/* A refusal "starting" or "gone" keeps the instance out for this time, ms. */
#define BLOCK_MS 500

/* Share of a value that is left after the time since at. */
static double
decay(uint64_t at, uint64_t now, uint64_t half_life_ms)
{
	if (now <= at)
		return 1;
	return exp2(-(double)(now - at) / (double)(half_life_ms * NS_PER_MS));
}

static bool
instance_is_ejected(const balance_instance_t *instance, uint64_t now)
{
	return now < instance->ejected_until;
}

/* Could take work if it must. */
static bool
instance_is_ready(const balance_instance_t *instance, uint64_t now)
{
	return instance->state == INSTANCE_READY && instance->reachable &&
	       !instance->leaving && now >= instance->blocked_until &&
	       (instance->member_state == MEMBER_ALIVE ||
		   instance->member_state == MEMBER_SUSPECT);
}

static bool
instance_is_preferred(const balance_instance_t *instance, uint64_t now)
{
	return instance_is_ready(instance, now) && !instance_is_ejected(instance, now) &&
	       instance->member_state == MEMBER_ALIVE;
}

static bool
instance_is_excluded(
    const balance_instance_t *instance, const uint64_t *excluded, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		if (excluded[i] == instance->node)
			return true;
	}
	return false;
}

static double
instance_reported_load(const balance_instance_t *instance, uint64_t now)
{
	if (instance->load_at == 0)
		return 0;
	return ((double)instance->load.running + instance->load.queued) *
	       decay(instance->load_at, now, LOAD_HALF_LIFE_MS);
}

static double
instance_latency(const balance_instance_t *instance, uint64_t now)
{
	double mean = instance->service->latency_us;

	if (mean <= 0)
		mean = LATENCY_DEFAULT_US;
	if (instance->latency_at == 0)
		return mean;
	return mean + (instance->latency_us - mean) *
			  decay(instance->latency_at, now, LATENCY_HALF_LIFE_MS);
}

static double
instance_weight(const balance_instance_t *instance, uint32_t slow_start_ms, uint64_t now)
{
	double ramp = (double)slow_start_ms * (double)NS_PER_MS;
	uint64_t since = MAX_OF(instance->ready_since, instance->ejected_until);

	if (now < since)
		return WEIGHT_MIN;
	if (ramp <= 0 || (double)(now - since) >= ramp)
		return 1;
	return MAX_OF(WEIGHT_MIN, (double)(now - since) / ramp);
}

/* Lower is better. */
static double
instance_score(
    const balance_instance_t *instance, const preset_service_t *settings, uint64_t now)
{
	return (1.0 + instance->in_flight + instance_reported_load(instance, now)) *
	       instance_latency(instance, now) /
	       instance_weight(instance, settings->slow_start_ms, now);
}

/* Two random candidates of a tier and the tier's utilisation. */
typedef struct candidates {
	balance_instance_t *drawn[2];
	size_t count;
	double work;
	double places;
} candidates_t;

static void
candidates_add(
    candidates_t *candidates, balance_instance_t *instance, rng_t *rng, uint64_t now)
{
	double reported = instance_reported_load(instance, now);
	uint32_t places = instance->load_at != 0 ? instance->load.limit : instance->slots;
	size_t seen = candidates->count++;

	candidates->work += MAX_OF(reported, (double)instance->in_flight);
	candidates->places += MAX_OF(places, 1);
	/* Reservoir of two: every pair is equally likely, and nothing is allocated. */
	if (seen < 2) {
		candidates->drawn[seen] = instance;
	} else {
		uint64_t position = rng_below(rng, seen + 1);

		if (position < 2)
			candidates->drawn[position] = instance;
	}
}

static double
candidates_utilisation(const candidates_t *candidates)
{
	return candidates->work / candidates->places;
}

static void
candidates_collect(const balance_service_t *service, const uint64_t *excluded,
    size_t excluded_count, bool preferred, rng_t *rng, uint64_t now,
    candidates_t tiers[TIER_COUNT])
{
	memset(tiers, 0, TIER_COUNT * sizeof(*tiers));
	for (size_t i = 0; i < service->count; i++) {
		balance_instance_t *instance = service->instances[i];

		if (preferred ? !instance_is_preferred(instance, now)
			      : !instance_is_ready(instance, now))
			continue;
		if (!instance_is_excluded(instance, excluded, excluded_count))
			candidates_add(&tiers[instance->tier], instance, rng, now);
	}
}

/*
 * The nearest tier that has candidates; the share of work above the spill
 * threshold goes to the next tier that is less utilised. Only that share:
 * moving all of it would let zones take turns in being overloaded.
 */
static const candidates_t *
candidates_select(
    const candidates_t tiers[TIER_COUNT], uint32_t spill_percent, rng_t *rng)
{
	const candidates_t *selected = NULL;

	for (size_t i = 0; i < TIER_COUNT; i++) {
		const candidates_t *tier = &tiers[i];
		double threshold = spill_percent / 100.0;
		double utilisation;

		if (tier->count == 0)
			continue;
		if (selected == NULL) {
			selected = tier;
			continue;
		}
		utilisation = candidates_utilisation(selected);
		if (utilisation <= threshold)
			break;
		if (candidates_utilisation(tier) >= utilisation)
			continue;
		if (rng_unit(rng) >= 1 - threshold / utilisation)
			break;
		selected = tier;
	}
	return selected;
}

static int
choose_adaptive(const balance_service_t *service, const preset_service_t *settings,
    const uint64_t *excluded, size_t excluded_count, rng_t *rng, uint64_t now,
    uint64_t *node)
{
	candidates_t tiers[TIER_COUNT];
	const candidates_t *selected;
	const balance_instance_t *best;

	candidates_collect(service, excluded, excluded_count, true, rng, now, tiers);
	selected = candidates_select(tiers, settings->spill_percent, rng);
	if (selected == NULL) {
		/* Ejected and suspect instances are better than none. */
		candidates_collect(
		    service, excluded, excluded_count, false, rng, now, tiers);
		selected = candidates_select(tiers, settings->spill_percent, rng);
	}
	if (selected == NULL)
		return MASTICPITCH_E_NOT_FOUND;
	best = selected->drawn[0];
	if (selected->count > 1) {
		/* Equal scores are common when idle; the order must not decide them. */
		size_t first = rng_below(rng, 2);

		best = selected->drawn[first];
		if (instance_score(selected->drawn[1 - first], settings, now) <
		    instance_score(best, settings, now))
			best = selected->drawn[1 - first];
	}
	*node = best->node;
	return MASTICPITCH_OK;
}

static int
choose_naive(balance_service_t *service, const uint64_t *excluded, size_t excluded_count,
    uint64_t now, uint64_t *node)
{
	for (size_t i = 0; i < service->count; i++) {
		size_t position = (service->u.next_position + i) % service->count;
		const balance_instance_t *instance = service->instances[position];

		if (!instance_is_ready(instance, now) ||
		    instance_is_excluded(instance, excluded, excluded_count))
			continue;
		service->u.next_position = position + 1;
		*node = instance->node;
		return MASTICPITCH_OK;
	}
	return MASTICPITCH_E_NOT_FOUND;
}

int
balance_choose(balance_t *balance, const preset_service_t *settings,
    const uint64_t *excluded, size_t excluded_count, rng_t *rng, uint64_t now,
    uint64_t *node)
{
	balance_service_t *service = balance_service_find(balance, settings->name);

	if (service == NULL)
		return MASTICPITCH_E_NOT_FOUND;
	switch (balance->kind) {
	case BALANCE_NAIVE:
		return choose_naive(service, excluded, excluded_count, now, node);
	case BALANCE_ADAPTIVE:
	default:
		return choose_adaptive(
		    service, settings, excluded, excluded_count, rng, now, node);
	}
}

/* The instance that an open attempt counts towards, or NULL. */
static balance_instance_t *
attempt_instance(const balance_t *balance, const balance_attempt_t *attempt)
{
	balance_instance_t *instance;

	if (!attempt->open)
		return NULL;
	instance = balance_instance_find(balance, attempt->node);
	if (instance == NULL || instance->generation != attempt->generation)
		return NULL;
	return instance;
}

void
balance_attempt_start(balance_t *balance, uint64_t node, route_class_t route_class,
    uint64_t now, balance_attempt_t *attempt)
{
	balance_instance_t *instance = balance_instance_find(balance, node);

	*attempt =
	    (balance_attempt_t){.node = node, .started = now, .route_class = route_class};
	if (instance == NULL)
		return;
	attempt->open = true;
	attempt->generation = instance->generation;
	instance->in_flight++;
}

static void
instance_load_record(
    balance_instance_t *instance, const load_report_t *load, uint64_t now)
{
	if (load == NULL)
		return;
	instance->load = *load;
	instance->load_at = MAX_OF(now, 1);
}

static void
instance_recent_decay(balance_instance_t *instance, uint64_t now)
{
	double left = decay(instance->recent_at, now, RATE_HALF_LIFE_MS);

	instance->recent_successes *= left;
	instance->recent_failures *= left;
	instance->recent_at = now;
}

/* Whether the instance's success rate is far below that of the others. */
static bool
instance_rate_is_low(const balance_instance_t *instance, uint64_t now)
{
	const balance_service_t *service = instance->service;
	double own = instance->recent_successes + instance->recent_failures;
	double successes = 0, answers = 0;

	if (own < RATE_SAMPLES_MIN)
		return false;
	for (size_t i = 0; i < service->count; i++) {
		const balance_instance_t *other = service->instances[i];
		double left = decay(other->recent_at, now, RATE_HALF_LIFE_MS);

		if (other == instance)
			continue;
		successes += left * other->recent_successes;
		answers += left * (other->recent_successes + other->recent_failures);
	}
	return answers >= RATE_SAMPLES_MIN &&
	       instance->recent_successes / own < successes / answers - RATE_GAP;
}

static void
instance_eject(balance_instance_t *instance, uint64_t now)
{
	const balance_service_t *service = instance->service;
	uint64_t wait_ms = BALANCE_EJECTION_MS;
	size_t ready = 0, ejected = 0;

	if (instance_is_ejected(instance, now))
		return;
	for (size_t i = 0; i < service->count; i++) {
		ready += instance_is_ready(service->instances[i], now);
		ejected += instance_is_ready(service->instances[i], now) &&
			   instance_is_ejected(service->instances[i], now);
	}
	if ((ejected + 1) * 100 > ready * BALANCE_EJECTED_PERCENT_MAX)
		return;
	if (now > instance->ejected_until + EJECTION_FORGET_MS * NS_PER_MS)
		instance->ejections = 0;
	for (uint32_t i = 0; i < instance->ejections && wait_ms < BALANCE_EJECTION_MS_MAX;
	     i++)
		wait_ms *= 2;
	instance->ejections++;
	instance->ejected_until =
	    now + MIN_OF(wait_ms, BALANCE_EJECTION_MS_MAX) * NS_PER_MS;
	/* After its return one more failure is enough, one success clears it. */
	instance->failures_in_row = BALANCE_FAILURES_MAX - 1;
	instance->recent_successes = 0;
	instance->recent_failures = 0;
}

/* in_row: the instance or the way to it failed, not just the request. */
static void
instance_failure_record(balance_instance_t *instance, bool in_row, uint64_t now)
{
	instance_recent_decay(instance, now);
	instance->recent_failures++;
	instance->failures++;
	if (in_row)
		instance->failures_in_row++;
	if (instance->failures_in_row >= BALANCE_FAILURES_MAX ||
	    instance_rate_is_low(instance, now))
		instance_eject(instance, now);
}

static void
instance_latency_record(balance_instance_t *instance, double sample_us, uint64_t now)
{
	balance_service_t *service = instance->service;

	if (instance->latency_at == 0)
		instance->latency_us = sample_us;
	else
		instance->latency_us +=
		    LATENCY_SAMPLE_SHARE * (sample_us - instance->latency_us);
	instance->latency_at = MAX_OF(now, 1);
	if (service->latency_us <= 0)
		service->latency_us = sample_us;
	else
		service->latency_us += LATENCY_SAMPLE_SHARE / (double)service->count *
				       (sample_us - service->latency_us);
}

void
balance_attempt_answer(balance_t *balance, balance_attempt_t *attempt, int status,
    const load_report_t *load, uint64_t now)
{
	balance_instance_t *instance = attempt_instance(balance, attempt);

	if (instance == NULL)
		return;
	instance_load_record(instance, load, now);
	if (status >= 500) {
		instance_failure_record(instance, false, now);
		return;
	}
	instance_recent_decay(instance, now);
	instance->recent_successes++;
	instance->successes++;
	instance->failures_in_row = 0;
	/* The time of an upload is its caller's. */
	if (attempt->route_class != ROUTE_UPLOAD && now >= attempt->started)
		instance_latency_record(
		    instance, (double)(now - attempt->started) / NS_PER_US, now);
}

/* Whether the reason is the instance's fault rather than a refusal by rule. */
static bool
reason_is_failure(reason_t reason)
{
	switch (reason) {
	case REASON_BACKEND_CONNECT:
	case REASON_BACKEND_LOST:
	case REASON_BACKEND_PROTOCOL:
	case REASON_PEER_UNREACHABLE:
	case REASON_STREAM_LOST:
		return true;
	default:
		return false;
	}
}

void
balance_attempt_refused(balance_t *balance, balance_attempt_t *attempt, reason_t reason,
    const load_report_t *load, uint64_t now)
{
	balance_instance_t *instance = attempt_instance(balance, attempt);

	if (instance != NULL) {
		instance_load_record(instance, load, now);
		if (reason == REASON_LEAVING || reason == REASON_SHUTDOWN)
			instance->leaving = true;
		if (reason == REASON_BACKEND_STARTING || reason == REASON_INSTANCE_GONE)
			instance->blocked_until = now + BLOCK_MS * NS_PER_MS;
		if (reason_is_failure(reason))
			instance_failure_record(instance, true, now);
	}
	balance_attempt_end(balance, attempt, now);
}

void
balance_attempt_failed(balance_t *balance, balance_attempt_t *attempt, uint64_t now)
{
	balance_instance_t *instance = attempt_instance(balance, attempt);

	if (instance != NULL)
		instance_failure_record(instance, true, now);
	balance_attempt_end(balance, attempt, now);
}

void
balance_attempt_end(balance_t *balance, balance_attempt_t *attempt, uint64_t now)
{
	balance_instance_t *instance = attempt_instance(balance, attempt);

	attempt->open = false;
	if (instance == NULL)
		return;
	INVARIANT(instance->in_flight > 0);
	instance->in_flight--;
}

static void
instance_view(const balance_instance_t *instance, uint32_t slow_start_ms, uint64_t now,
    balance_view_t *view)
{
	*view = (balance_view_t){.node = instance->node,
	    .state = instance->state,
	    .reachable = instance->reachable,
	    .usable = instance_is_preferred(instance, now),
	    .ejected = instance_is_ejected(instance, now),
	    .in_flight = instance->in_flight,
	    .load = instance->load,
	    .latency_us = (uint32_t)instance->latency_us,
	    .weight_percent =
		(uint32_t)(100 * instance_weight(instance, slow_start_ms, now)),
	    .successes = instance->successes,
	    .failures = instance->failures};
	if (view->ejected)
		view->ejected_until = instance->ejected_until;
	memcpy(view->service, instance->service->name, sizeof(view->service));
	memcpy(view->zone, instance->zone, sizeof(view->zone));
}

size_t
balance_views(const balance_t *balance, const preset_service_t *settings, uint64_t now,
    balance_view_t *views, size_t max)
{
	size_t written = 0;

	if (settings != NULL) {
		const balance_service_t *service =
		    balance_service_find(balance, settings->name);

		for (size_t i = 0; service != NULL && i < service->count && i < max; i++)
			instance_view(service->instances[i], settings->slow_start_ms, now,
			    &views[written++]);
		return written;
	}
	for (size_t i = 0; i < BALANCE_INSTANCE_BUCKETS; i++) {
		for (const balance_instance_t *instance = balance->instances[i];
		     instance != NULL && written < max; instance = instance->next)
			instance_view(instance, 0, now, &views[written++]);
	}
	return written;
}
