#include "balance.h"

#include "balance_table.h"
#include "link.h"

/* Weight of a new sample in the moving average of the latency. */
#define LATENCY_SAMPLE_WEIGHT 0.2
/* Half-life of the successes and failures that a success rate is made of, ms. */
#define SUCCESS_RATE_HALF_LIFE_MS 5000
/* Fewest answers for which a success rate is compared. */
#define SUCCESS_RATE_SAMPLES_MIN 20.0
/* An instance whose success rate is this far below that of the others is ejected. */
#define SUCCESS_RATE_GAP 0.3
/* The ejection backoff is reset this long after the end of the last ejection, ms. */
#define EJECTION_BACKOFF_RESET_MS 60000
/* No attempts for this time after a refusal "starting" or "gone", ms. */
#define BLOCK_MS 500
/* Weight of a new attempt in the share of attempts refused for overload. */
#define REFUSED_SAMPLE_WEIGHT 0.1

/* The instance of an open attempt; NULL if it has been removed or replaced. */
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
balance_attempt_start(balance_t *balance, uint64_t node, const balance_request_t *request,
    uint64_t now, balance_attempt_t *attempt)
{
	balance_instance_t *instance = balance_instance_find(balance, node);

	*attempt = (balance_attempt_t){.node = node,
	    .started_at = now,
	    .route_class = request->route_class,
	    .long_answer = request->answer_bytes > LINK_SHORT_BYTES,
	    .route = request->route};
	if (instance == NULL)
		return;
	attempt->open = true;
	attempt->generation = instance->generation;
	instance->in_flight++;
	instance->class_in_flight[request->route_class]++;
	instance->long_in_flight += attempt->long_answer;
}

static void
instance_load_record(
    balance_instance_t *instance, const load_report_t *load, uint64_t now)
{
	if (load == NULL)
		return;
	instance->load = *load;
	instance->service->hosts_report |= load->host_percent != 0;
	instance->load_at = MAX_OF(now, 1);
}

static void
instance_acceptance_record(balance_instance_t *instance, bool refused, uint64_t now)
{
	double share = 1 - balance_instance_acceptance(instance, now);

	instance->refused_share =
	    share + REFUSED_SAMPLE_WEIGHT * ((refused ? 1 : 0) - share);
	instance->refused_share_at = now;
}

static void
instance_recent_decay(balance_instance_t *instance, uint64_t now)
{
	double left = balance_decay(instance->recent_at, now, SUCCESS_RATE_HALF_LIFE_MS);

	instance->recent_successes *= left;
	instance->recent_failures *= left;
	instance->recent_at = now;
}

/* Whether the instance's success rate is far below that of the others. */
static bool
instance_success_rate_is_low(const balance_instance_t *instance, uint64_t now)
{
	const balance_service_t *service = instance->service;
	double own = instance->recent_successes + instance->recent_failures;
	double successes = 0, answers = 0;

	if (own < SUCCESS_RATE_SAMPLES_MIN)
		return false;
	for (size_t i = 0; i < service->count; i++) {
		const balance_instance_t *other = service->instances[i];
		double left =
		    balance_decay(other->recent_at, now, SUCCESS_RATE_HALF_LIFE_MS);

		if (other == instance)
			continue;
		successes += left * other->recent_successes;
		answers += left * (other->recent_successes + other->recent_failures);
	}
	return answers >= SUCCESS_RATE_SAMPLES_MIN &&
	       instance->recent_successes / own < successes / answers - SUCCESS_RATE_GAP;
}

static void
instance_eject(balance_instance_t *instance, uint64_t now)
{
	const balance_service_t *service = instance->service;
	uint64_t ejection_ms = BALANCE_EJECTION_MS;
	size_t ready = 0, ejected = 0;

	if (balance_instance_is_ejected(instance, now))
		return;
	for (size_t i = 0; i < service->count; i++) {
		ready += balance_instance_is_eligible(service->instances[i], now);
		ejected += balance_instance_is_eligible(service->instances[i], now) &&
			   balance_instance_is_ejected(service->instances[i], now);
	}
	if ((ejected + 1) * 100 > ready * BALANCE_EJECTED_PERCENT_MAX)
		return;
	if (now > instance->ejected_until + EJECTION_BACKOFF_RESET_MS * NS_PER_MS)
		instance->ejections = 0;
	for (uint32_t i = 0;
	     i < instance->ejections && ejection_ms < BALANCE_EJECTION_MS_MAX; i++)
		ejection_ms *= 2;
	instance->ejections++;
	instance->ejected_until =
	    now + MIN_OF(ejection_ms, BALANCE_EJECTION_MS_MAX) * NS_PER_MS;
	/* After the ejection one failure ejects again, one success clears the count. */
	instance->consecutive_failures = BALANCE_FAILURES_MAX - 1;
	instance->recent_successes = 0;
	instance->recent_failures = 0;
}

static void
instance_failure_record(balance_instance_t *instance, uint64_t now)
{
	instance_recent_decay(instance, now);
	instance->recent_failures++;
	instance->failures++;
	if (instance->consecutive_failures >= BALANCE_FAILURES_MAX ||
	    instance_success_rate_is_low(instance, now))
		instance_eject(instance, now);
}

/*
 * Records a failure of the instance or of the connection to it, not of the request
 * alone. One lost connection ends many attempts together; attempts that started
 * before the last counted failure belong to the same event and are not counted.
 */
static void
instance_consecutive_failure_record(
    balance_instance_t *instance, const balance_attempt_t *attempt, uint64_t now)
{
	if (attempt->started_at < instance->consecutive_failure_at)
		return;
	instance->consecutive_failure_at = now;
	instance->consecutive_failures++;
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
		    LATENCY_SAMPLE_WEIGHT * (sample_us - instance->latency_us);
	instance->latency_at = MAX_OF(now, 1);
	if (service->latency_us <= 0)
		service->latency_us = sample_us;
	else
		service->latency_us += LATENCY_SAMPLE_WEIGHT / (double)service->count *
				       (sample_us - service->latency_us);
}

/*
 * Latency of an answer without its wait for other calls, since the score already
 * contains the load. The latency measured by the gate is a lower bound: a call that
 * overtook the queue is not representative of the others.
 */
static double
answer_service_time_us(double observed_us, const load_report_t *load)
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
	balance_rollout_record(instance, attempt, status, now);
	if (status >= 500) {
		instance_failure_record(instance, now);
		return;
	}
	instance_recent_decay(instance, now);
	instance->recent_successes++;
	instance->successes++;
	instance->consecutive_failures = 0;
	/* The duration of an upload depends on its caller. */
	if (attempt->route_class != ROUTE_UPLOAD && now >= attempt->started_at)
		instance_latency_record(instance,
		    answer_service_time_us(
			(double)(now - attempt->started_at) / NS_PER_US, load),
		    now);
}

/* Whether the reason is a failure of the instance rather than a policy refusal. */
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
		/* A busy link does not affect calls with short answers. */
		if (reason_is_overload(reason) && reason != REASON_LINK_BUSY)
			instance_acceptance_record(instance, true, now);
		/* A gate that answers no call in time still reports its latency. */
		if (load != NULL && load->latency_us > 0)
			instance_latency_record(instance, load->latency_us, now);
		if (reason == REASON_LEAVING || reason == REASON_SHUTDOWN)
			instance->leaving = true;
		if (reason == REASON_BACKEND_STARTING || reason == REASON_INSTANCE_GONE)
			instance->blocked_until = now + BLOCK_MS * NS_PER_MS;
		if (reason_is_failure(reason))
			instance_consecutive_failure_record(instance, attempt, now);
	}
	balance_attempt_end(balance, attempt, now);
}

void
balance_attempt_failed(balance_t *balance, balance_attempt_t *attempt, uint64_t now)
{
	balance_instance_t *instance = attempt_instance(balance, attempt);

	if (instance != NULL) {
		balance_rollout_record(instance, attempt, 0, now);
		instance_consecutive_failure_record(instance, attempt, now);
	}
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
