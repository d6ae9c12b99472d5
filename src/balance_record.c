#include "balance.h"

#include "balance_table.h"
#include "link.h"

/* Share of a new sample in a smoothed latency. */
#define LATENCY_SAMPLE_SHARE 0.2
/* Half-life of the counts behind a success rate, ms. */
#define RATE_HALF_LIFE_MS 5000
/* Fewest answers behind a success rate that is compared. */
#define RATE_SAMPLES_MIN 20.0
/* An instance this much below the success rate of the others is ejected. */
#define RATE_GAP 0.3
/* An instance without ejection for this time has its backoff reset, ms. */
#define EJECTION_FORGET_MS 60000
/* A refusal "starting" or "gone" keeps the instance out for this time, ms. */
#define BLOCK_MS 500
/* Share of a new sample in the share of attempts refused for load. */
#define REFUSED_SAMPLE_SHARE 0.1

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
balance_attempt_start(balance_t *balance, uint64_t node, const balance_request_t *need,
    uint64_t now, balance_attempt_t *attempt)
{
	balance_instance_t *instance = balance_instance_find(balance, node);

	*attempt = (balance_attempt_t){.node = node,
	    .started = now,
	    .route_class = need->route_class,
	    .long_answer = need->answer_bytes > LINK_SHORT_BYTES};
	if (instance == NULL)
		return;
	attempt->open = true;
	attempt->generation = instance->generation;
	instance->in_flight++;
	instance->class_in_flight[need->route_class]++;
	instance->long_in_flight += attempt->long_answer;
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
instance_acceptance_record(balance_instance_t *instance, bool refused, uint64_t now)
{
	double share = 1 - balance_instance_acceptance(instance, now);

	instance->refused_share =
	    share + REFUSED_SAMPLE_SHARE * ((refused ? 1 : 0) - share);
	instance->refused_at = now;
}

static void
instance_recent_decay(balance_instance_t *instance, uint64_t now)
{
	double left = balance_decay(instance->recent_at, now, RATE_HALF_LIFE_MS);

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
		double left = balance_decay(other->recent_at, now, RATE_HALF_LIFE_MS);

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

	if (balance_instance_is_ejected(instance, now))
		return;
	for (size_t i = 0; i < service->count; i++) {
		ready += balance_instance_is_ready(service->instances[i], now);
		ejected += balance_instance_is_ready(service->instances[i], now) &&
			   balance_instance_is_ejected(service->instances[i], now);
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

static void
instance_failure_record(balance_instance_t *instance, uint64_t now)
{
	instance_recent_decay(instance, now);
	instance->recent_failures++;
	instance->failures++;
	if (instance->failures_in_row >= BALANCE_FAILURES_MAX ||
	    instance_rate_is_low(instance, now))
		instance_eject(instance, now);
}

/*
 * The instance or the way to it failed, not just the request. One lost
 * connection ends many attempts at once; those that had started before the
 * failure counted last are the same event and are not counted again.
 */
static void
instance_loss_record(
    balance_instance_t *instance, const balance_attempt_t *attempt, uint64_t now)
{
	if (attempt->started < instance->lost_at)
		return;
	instance->lost_at = now;
	instance->failures_in_row++;
	instance_failure_record(instance, now);
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

/*
 * Latency of an answer without its wait for other calls, which the load in the
 * score stands for already. What the gate has measured is a lower bound: a call
 * that went ahead of the queue says little about the others.
 */
static double
answer_latency(double observed_us, const load_report_t *load)
{
	double rounds;

	if (load == NULL)
		return observed_us;
	rounds = ((double)load->running + load->queued) / MAX_OF(load->limit, 1);
	return MAX_OF(observed_us / MAX_OF(rounds, 1), (double)load->latency_us);
}

void
balance_attempt_answer(balance_t *balance, balance_attempt_t *attempt, int status,
    const load_report_t *load, uint64_t now)
{
	balance_instance_t *instance = attempt_instance(balance, attempt);

	if (instance == NULL)
		return;
	instance_load_record(instance, load, now);
	instance_acceptance_record(instance, false, now);
	if (status >= 500) {
		instance_failure_record(instance, now);
		return;
	}
	instance_recent_decay(instance, now);
	instance->recent_successes++;
	instance->successes++;
	instance->failures_in_row = 0;
	/* The time of an upload is its caller's. */
	if (attempt->route_class != ROUTE_UPLOAD && now >= attempt->started)
		instance_latency_record(instance,
		    answer_latency((double)(now - attempt->started) / NS_PER_US, load),
		    now);
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
		/* A busy link says nothing of calls with short answers. */
		if (reason_is_overload(reason) && reason != REASON_LINK_BUSY)
			instance_acceptance_record(instance, true, now);
		/* A gate that answers nothing in time still tells how slow it is. */
		if (load != NULL && load->latency_us > 0)
			instance_latency_record(instance, load->latency_us, now);
		if (reason == REASON_LEAVING || reason == REASON_SHUTDOWN)
			instance->leaving = true;
		if (reason == REASON_BACKEND_STARTING || reason == REASON_INSTANCE_GONE)
			instance->blocked_until = now + BLOCK_MS * NS_PER_MS;
		if (reason_is_failure(reason))
			instance_loss_record(instance, attempt, now);
	}
	balance_attempt_end(balance, attempt, now);
}

void
balance_attempt_failed(balance_t *balance, balance_attempt_t *attempt, uint64_t now)
{
	balance_instance_t *instance = attempt_instance(balance, attempt);

	if (instance != NULL)
		instance_loss_record(instance, attempt, now);
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
	instance->class_in_flight[attempt->route_class]--;
	instance->long_in_flight -= attempt->long_answer;
}
