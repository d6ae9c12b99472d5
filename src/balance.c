#include "balance.h"

#include "balance_table.h"
#include "link.h"

#include <string.h>

/* Half-life of a gate's load report, ms. */
#define LOAD_HALF_LIFE_MS 500
/*
 * Half-life with which a latency without new samples returns to the service's mean,
 * ms. Without it an instance that was slow once would never be tried again.
 */
#define LATENCY_HALF_LIFE_MS 5000
/* Latency assumed until a service has its first sample, us. */
#define LATENCY_DEFAULT_US 1000.0
/*
 * Mean wait for the links of a tier's hosts at which the tier counts as fully
 * utilised by calls with long answers, us.
 */
#define LINK_WAIT_FULL_US 300000.0
/* Weight of an instance when its slow start begins. */
#define WEIGHT_MIN 0.1
/*
 * Time in which what a gate reports of its host loses its weight, ms: hosts are busy for
 * some 0.6 s. A rest of it would keep an instance from ever being tried again.
 */
#define HOST_FORGET_MS 600
/*
 * Instances that are compared if the choice follows the chance of an answer in time. Of
 * two, both are slow too often if a third of them is.
 */
#define SAMPLES_BY_CHANCE 4
/* The same for a choice by score. */
#define SAMPLES_BY_SCORE 2
/*
 * Exponent of the utilisation by which a call is expected to take longer than on an idle
 * server: reports are late, so a nearly full gate may have no room left.
 */
#define CROWDING_EXPONENT 4
/*
 * Part of a score that follows the expected duration rather than the chance to be late,
 * which is close to 0 for every instance if the target is far away.
 */
#define DURATION_SHARE 0.1
/*
 * Chance of being late by which an instance of a farther tier must be better than the
 * best one nearby: work that leaves the zone costs traffic between zones.
 */
#define TIER_CHANCE_GAIN 0.15
/* A service's utilisation is computed again after this time, ms. */
#define UTILISATION_KEPT_MS 10
/* Work moves to a farther tier for a better chance only while that has room. */
#define TIER_UTILISATION_MAX 0.8
/* Lower bound of the acceptance that a score is divided by. */
#define ACCEPTANCE_MIN 0.05

static bool
instance_is_preferred(const balance_instance_t *instance, uint64_t now)
{
	return balance_instance_is_eligible(instance, now) &&
	       !balance_instance_is_ejected(instance, now) &&
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
	       balance_decay(instance->load_at, now, LOAD_HALF_LIFE_MS);
}

static double
instance_latency_us(const balance_instance_t *instance, uint64_t now)
{
	double mean = instance->service->latency_us;

	if (mean <= 0)
		mean = LATENCY_DEFAULT_US;
	if (instance->latency_at == 0)
		return mean;
	return mean + (instance->latency_us - mean) *
			  balance_decay(instance->latency_at, now, LATENCY_HALF_LIFE_MS);
}

static double
instance_weight(const balance_instance_t *instance, uint32_t slow_start_ms, uint64_t now)
{
	double ramp = (double)slow_start_ms * (double)NS_PER_MS;
	uint64_t since = MAX_OF(instance->ready_at, instance->ejected_until);

	if (now < since)
		return WEIGHT_MIN;
	if (ramp <= 0 || (double)(now - since) >= ramp)
		return 1;
	return MAX_OF(WEIGHT_MIN, (double)(now - since) / ramp);
}

static uint32_t
instance_capacity(const balance_instance_t *instance)
{
	uint32_t capacity =
	    instance->load_at != 0 ? instance->load.limit : instance->slots;

	return MAX_OF(capacity, 1);
}

/*
 * Calls that delay a new one. Internal calls overtake the others in a gate's queue,
 * so only running calls and other internal calls count for them.
 */
static double
instance_work(const balance_instance_t *instance, route_class_t route_class, uint64_t now)
{
	if (route_class != ROUTE_INTERNAL)
		return instance->in_flight + instance_reported_load(instance, now);
	return instance->class_in_flight[ROUTE_INTERNAL] +
	       instance->load.running *
		   balance_decay(instance->load_at, now, LOAD_HALF_LIFE_MS);
}

/* Time for which the answer occupies the link of the instance's host, us. */
static double
instance_transfer_us(const balance_t *balance, const balance_instance_t *instance,
    const balance_request_t *request)
{
	if (request->answer_bytes <= LINK_SHORT_BYTES || instance->node == balance->local)
		return 0;
	return (double)request->answer_bytes / 1000 *
	       instance->load.link_ns_per_kilobyte / NS_PER_US;
}

/* Time for which a long answer waits for the link of the instance's host, us. */
static double
instance_link_wait_us(const balance_t *balance, const balance_instance_t *instance,
    const balance_request_t *request, uint64_t now)
{
	double age, reported;

	if (request->answer_bytes <= LINK_SHORT_BYTES || instance->load_at == 0 ||
	    instance->node == balance->local)
		return 0;
	age = (double)(now - MIN_OF(instance->load_at, now)) / NS_PER_US;
	reported = MAX_OF(instance->load.link_wait_us - age, 0.0);
	return MAX_OF(reported,
	    instance->long_in_flight * instance_transfer_us(balance, instance, request));
}

/*
 * Approximate time until a new call would be answered, us; lower is better. The
 * calls ahead are divided by the number that the gate runs concurrently, since a slow
 * gate has a short queue that advances slowly.
 */
static double
instance_score(const balance_t *balance, const balance_instance_t *instance,
    const preset_service_t *settings, const balance_request_t *request, uint64_t now)
{
	double load = 1.0 + instance_work(instance, request->route_class, now);
	double work = load / instance_capacity(instance) *
		      instance_latency_us(instance, now) /
		      instance_weight(instance, settings->slow_start_ms, now) /
		      MAX_OF(ACCEPTANCE_MIN, balance_instance_acceptance(instance, now));

	return work + instance_link_wait_us(balance, instance, request, now) +
	       instance_transfer_us(balance, instance, request);
}

/* Calls that the instance runs with profit at a time. */
static double
instance_useful(const balance_instance_t *instance)
{
	uint32_t capacity = instance_capacity(instance);

	if (instance->load_at == 0 || instance->load.useful == 0)
		return capacity;
	return MIN_OF(instance->load.useful, capacity);
}

/* Duration of work on the instance against that elsewhere, 1 as elsewhere. */
static double
instance_slowness(const balance_instance_t *instance, uint64_t now)
{
	double speed = 1, host = 1;

	if (instance->load_at == 0)
		return 1;
	if (instance->load.speed_percent != 0)
		speed = instance->load.speed_percent / 100.0;
	if (instance->load.host_percent != 0)
		host += (instance->load.host_percent / 100.0 - 1) *
			MAX_OF(1 - (double)(now - MIN_OF(now, instance->load_at)) /
				       (HOST_FORGET_MS * NS_PER_MS),
			    0.0);
	return speed * host;
}

static bool
choice_is_by_chance(const balance_service_t *service, const balance_request_t *request)
{
	return service->hosts_report && request->duration.typical_us != 0;
}

/*
 * Chance that the instance answers after the target, with a small part that grows with
 * the expected duration; lower is better.
 */
static double
instance_lateness(
    const balance_instance_t *instance, const balance_request_t *request, uint64_t now)
{
	double useful = instance_useful(instance);
	double used = instance_work(instance, request->route_class, now) / useful;
	double typical = request->duration.typical_us * instance_slowness(instance, now);
	double crowding = 1, late = 0;

	for (int i = 0; i < CROWDING_EXPONENT; i++)
		crowding *= used;
	/* Beyond its useful concurrency a call also waits for those ahead of it. */
	typical *= 1 + MIN_OF(crowding, 1.0) + MAX_OF(used - 1, 0.0);
	typical /= MAX_OF(ACCEPTANCE_MIN, balance_instance_acceptance(instance, now));
	if (request->target > now)
		late = capacity_late_chance(typical,
		    (double)(request->target - now) / NS_PER_US,
		    request->duration.spread);
	return late + DURATION_SHARE * typical / request->duration.typical_us;
}

/* Random candidates of a tier, the local one, and the sums for its utilisation. */
typedef struct candidates {
	balance_instance_t *sampled[SAMPLES_BY_CHANCE];
	size_t sampled_max;
	balance_instance_t *local; /* instance of this entry's node, or NULL */
	size_t count;
	double work;
	double capacity;
	double link_wait_sum_us;
} candidates_t;

static void
candidates_add(const balance_t *balance, candidates_t *candidates,
    balance_instance_t *instance, const balance_request_t *request, rng_t *rng,
    uint64_t now)
{
	double reported = instance_reported_load(instance, now);
	size_t seen = candidates->count++;

	candidates->work += MAX_OF(reported, (double)instance->in_flight);
	candidates->capacity += instance_capacity(instance);
	candidates->link_wait_sum_us +=
	    instance_link_wait_us(balance, instance, request, now);
	if (instance->node == balance->local)
		candidates->local = instance;
	/* Reservoir sampling: every set is equally likely, and nothing is allocated. */
	if (seen < candidates->sampled_max) {
		candidates->sampled[seen] = instance;
	} else {
		uint64_t position = rng_below(rng, seen + 1);

		if (position < candidates->sampled_max)
			candidates->sampled[position] = instance;
	}
}

static double
candidates_utilisation(const candidates_t *candidates)
{
	return MAX_OF(candidates->work / candidates->capacity,
	    candidates->link_wait_sum_us / (double)candidates->count / LINK_WAIT_FULL_US);
}

/* Which instances a choice is made from. */
typedef enum choice {
	CHOICE_PREFERRED,
	CHOICE_ELIGIBLE, /* ejected and suspect ones too */
	CHOICE_ANY_ROLE, /* also those that a rollout has taken out of service */
	CHOICE_SAMPLE	 /* of a release that is being rolled out */
} choice_t;

static bool
instance_is_candidate(const balance_instance_t *instance, choice_t choice, uint64_t now)
{
	switch (choice) {
	case CHOICE_PREFERRED:
		return instance->role == ROLLOUT_ROLE_SERVES &&
		       instance_is_preferred(instance, now);
	case CHOICE_ELIGIBLE:
		return instance->role == ROLLOUT_ROLE_SERVES &&
		       balance_instance_is_eligible(instance, now);
	case CHOICE_ANY_ROLE:
		return balance_instance_is_eligible(instance, now);
	case CHOICE_SAMPLE:
		return instance->sampled && instance_is_preferred(instance, now);
	}
	return false;
}

static void
candidates_collect(const balance_t *balance, const balance_service_t *service,
    const balance_request_t *request, const uint64_t *excluded, size_t excluded_count,
    choice_t choice, rng_t *rng, uint64_t now, candidates_t tiers[TIER_COUNT])
{
	memset(tiers, 0, TIER_COUNT * sizeof(*tiers));
	for (size_t i = 0; i < TIER_COUNT; i++)
		tiers[i].sampled_max = choice_is_by_chance(service, request)
					   ? SAMPLES_BY_CHANCE
					   : SAMPLES_BY_SCORE;
	for (size_t i = 0; i < service->count; i++) {
		balance_instance_t *instance = service->instances[i];

		if (!instance_is_candidate(instance, choice, now))
			continue;
		if (!instance_is_excluded(instance, excluded, excluded_count))
			candidates_add(
			    balance, &tiers[instance->tier], instance, request, rng, now);
	}
}

/*
 * The nearest tier that has candidates. The share of work above the spill threshold
 * goes to the next tier that is less utilised. Only that share moves: moving all of
 * it would overload the zones alternately.
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

/* The instance with the lower score; a if the scores are equal. */
static const balance_instance_t *
instance_better(const balance_t *balance, const balance_instance_t *a,
    const balance_instance_t *b, const preset_service_t *settings,
    const balance_request_t *request, uint64_t now)
{
	return instance_score(balance, b, settings, request, now) <
		       instance_score(balance, a, settings, request, now)
		   ? b
		   : a;
}

/* The best of two random choices and the local instance, which needs no link. */
static const balance_instance_t *
candidates_best(const balance_t *balance, const candidates_t *candidates,
    const preset_service_t *settings, const balance_request_t *request, rng_t *rng,
    uint64_t now)
{
	const balance_instance_t *best = candidates->sampled[0];

	if (candidates->count > 1) {
		/* Scores are often equal when idle, so the order is random. */
		size_t first = rng_below(rng, 2);

		best = instance_better(balance, candidates->sampled[first],
		    candidates->sampled[1 - first], settings, request, now);
	}
	if (candidates->local != NULL)
		best = instance_better(
		    balance, candidates->local, best, settings, request, now);
	return best;
}

/* The candidate with the best chance to answer within the target, and its lateness. */
static const balance_instance_t *
candidates_most_punctual(const candidates_t *candidates, const balance_request_t *request,
    rng_t *rng, uint64_t now, double *lateness_min)
{
	size_t count = MIN_OF(candidates->count, candidates->sampled_max);
	/* Among equal ones the first wins, so the order is random. */
	size_t first = rng_below(rng, count);
	const balance_instance_t *best = candidates->sampled[first];
	double best_lateness = instance_lateness(best, request, now);

	for (size_t i = 1; i < count; i++) {
		const balance_instance_t *other =
		    candidates->sampled[(first + i) % count];
		double lateness = instance_lateness(other, request, now);

		if (lateness < best_lateness) {
			best = other;
			best_lateness = lateness;
		}
	}
	*lateness_min = best_lateness;
	return best;
}

/* The best candidate of the selected tier, or a much better one of a farther tier. */
static const balance_instance_t *
tiers_most_punctual(const candidates_t tiers[TIER_COUNT], const candidates_t *selected,
    const balance_request_t *request, rng_t *rng, uint64_t now)
{
	double lateness;
	const balance_instance_t *best =
	    candidates_most_punctual(selected, request, rng, now, &lateness);

	for (const candidates_t *tier = selected + 1; tier < tiers + TIER_COUNT; tier++) {
		const balance_instance_t *other;
		double other_lateness;

		if (tier->count == 0 ||
		    candidates_utilisation(tier) > TIER_UTILISATION_MAX)
			continue;
		other =
		    candidates_most_punctual(tier, request, rng, now, &other_lateness);
		if (other_lateness + TIER_CHANCE_GAIN >= lateness)
			continue;
		best = other;
		lateness = other_lateness;
	}
	return best;
}

static int
choose_adaptive(const balance_t *balance, const balance_service_t *service,
    const preset_service_t *settings, const balance_request_t *request,
    const uint64_t *excluded, size_t excluded_count, rng_t *rng, uint64_t now,
    uint64_t *node)
{
	candidates_t tiers[TIER_COUNT];
	const candidates_t *selected;

	candidates_collect(balance, service, request, excluded, excluded_count,
	    CHOICE_PREFERRED, rng, now, tiers);
	selected = candidates_select(tiers, settings->spill_percent, rng);
	if (selected == NULL) {
		/* Falls back to ejected and suspect instances. */
		candidates_collect(balance, service, request, excluded, excluded_count,
		    CHOICE_ELIGIBLE, rng, now, tiers);
		selected = candidates_select(tiers, settings->spill_percent, rng);
	}
	if (selected == NULL && rollout_may_fall_back(service->rollout)) {
		candidates_collect(balance, service, request, excluded, excluded_count,
		    CHOICE_ANY_ROLE, rng, now, tiers);
		selected = candidates_select(tiers, settings->spill_percent, rng);
	}
	if (selected == NULL)
		return MASTICPITCH_E_NOT_FOUND;
	if (choice_is_by_chance(service, request))
		*node = tiers_most_punctual(tiers, selected, request, rng, now)->node;
	else
		*node =
		    candidates_best(balance, selected, settings, request, rng, now)->node;
	return MASTICPITCH_OK;
}

/*
 * Chooses an instance of a release that is being rolled out, if its next request is due.
 * One without a free slot is passed over: the sample must not measure overload. Retries
 * are no samples.
 */
static bool
choose_sample(balance_t *balance, const balance_service_t *service,
    const preset_service_t *settings, const balance_request_t *request, rng_t *rng,
    uint64_t now, uint64_t *node)
{
	rollout_target_t *target = rollout_sample_draw(service->rollout, now);
	const balance_instance_t *best = NULL;
	candidates_t found = {.sampled_max = SAMPLES_BY_SCORE};

	if (target == NULL)
		return false;
	for (size_t i = 0; i < service->count; i++) {
		balance_instance_t *instance = service->instances[i];

		if (instance_is_candidate(instance, CHOICE_SAMPLE, now) &&
		    strcmp(instance->release, target->step.release) == 0 &&
		    instance_work(instance, ROUTE_CALL, now) <
			instance_capacity(instance))
			candidates_add(balance, &found, instance, request, rng, now);
	}
	if (found.count == 0)
		return false;
	found.local = NULL;
	best = candidates_best(balance, &found, settings, request, rng, now);
	rollout_sample_sent(target);
	balance->sampled++;
	*node = best->node;
	return true;
}

static int
choose_naive(balance_service_t *service, const uint64_t *excluded, size_t excluded_count,
    uint64_t now, uint64_t *node)
{
	for (size_t i = 0; i < service->count; i++) {
		size_t position = (service->u.next_position + i) % service->count;
		const balance_instance_t *instance = service->instances[position];

		if (!instance_is_candidate(instance, CHOICE_ELIGIBLE, now) ||
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
	const balance_request_t request = {.route_class = ROUTE_CALL};

	return balance_choose_for(
	    balance, settings, &request, excluded, excluded_count, rng, now, node);
}

int
balance_choose_for(balance_t *balance, const preset_service_t *settings,
    const balance_request_t *request, const uint64_t *excluded, size_t excluded_count,
    rng_t *rng, uint64_t now, uint64_t *node)
{
	balance_service_t *service = balance_service_find(balance, settings->name);

	if (service == NULL)
		return MASTICPITCH_E_NOT_FOUND;
	if (service->rollout != NULL && excluded_count == 0 &&
	    choose_sample(balance, service, settings, request, rng, now, node))
		return MASTICPITCH_OK;
	switch (balance->kind) {
	case BALANCE_NAIVE:
		return choose_naive(service, excluded, excluded_count, now, node);
	case BALANCE_ADAPTIVE:
	default:
		return choose_adaptive(balance, service, settings, request, excluded,
		    excluded_count, rng, now, node);
	}
}

bool
balance_hosts_report(const balance_t *balance, const char *name)
{
	const balance_service_t *service = balance_service_find(balance, name);

	return service != NULL && service->hosts_report;
}

double
balance_expected_us(const balance_t *balance, uint64_t node,
    const balance_request_t *request, uint64_t now)
{
	const balance_instance_t *instance = balance_instance_find(balance, node);

	return instance == NULL
		   ? request->duration.typical_us
		   : request->duration.typical_us * instance_slowness(instance, now);
}

static double
service_utilisation(const balance_service_t *service, uint64_t now)
{
	double work = 0, useful = 0;

	for (size_t i = 0; i < service->count; i++) {
		const balance_instance_t *instance = service->instances[i];
		double weight = 0;

		if (!instance_is_preferred(instance, now))
			continue;
		/* Old reports count less, rather than as if the instance were idle. */
		if (instance->load_at != 0)
			weight = balance_decay(instance->load_at, now, LOAD_HALF_LIFE_MS);
		weight = MAX_OF(weight, WEIGHT_MIN);
		work += weight *
			MAX_OF((double)instance->load.running + instance->load.queued,
			    (double)instance->in_flight);
		useful += weight * instance_useful(instance);
	}
	return useful > 0 ? work / useful : 1;
}

double
balance_utilisation(const balance_t *balance, const char *name, uint64_t now)
{
	balance_service_t *service = balance_service_find(balance, name);

	if (service == NULL)
		return 1;
	if (service->utilisation_at == 0 ||
	    now >= service->utilisation_at + UTILISATION_KEPT_MS * NS_PER_MS) {
		service->utilisation = service_utilisation(service, now);
		service->utilisation_at = now;
	}
	return service->utilisation;
}

static void
instance_view(const balance_instance_t *instance, uint32_t slow_start_ms, uint64_t now,
    balance_view_t *view)
{
	*view = (balance_view_t){.node = instance->node,
	    .state = instance->state,
	    .reachable = instance->reachable,
	    .usable = instance_is_preferred(instance, now),
	    .ejected = balance_instance_is_ejected(instance, now),
	    .in_flight = instance->in_flight,
	    .load = instance->load,
	    .latency_us = (uint32_t)instance->latency_us,
	    .weight_percent =
		(uint32_t)(100 * instance_weight(instance, slow_start_ms, now)),
	    .successes = instance->successes,
	    .failures = instance->failures,
	    .role = instance->role};
	memcpy(view->release, instance->release, sizeof(view->release));
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
