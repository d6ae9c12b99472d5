/*
 * Rollouts in the instance table: which instances serve, which get sampled requests, and
 * what was seen of them.
 */
#include "balance_table.h"

#include <stdlib.h>
#include <string.h>

/* Releases of one service that are told apart; instances of further ones are held. */
#define RELEASES_MAX 8

void
balance_rollouts_enable(balance_t *balance, uint32_t extra, uint32_t rollback_ms)
{
	uint64_t valid_ms = (uint64_t)rollback_ms * ROLLOUT_STEP_VALID_PERCENT / 100;

	balance->rollouts = true;
	balance->rollout_extra = extra;
	if (rollback_ms != 0)
		balance->rollout.valid_ns =
		    MIN_OF(valid_ms, (uint64_t)ROLLOUT_STEP_VALID_MS) * NS_PER_MS;
}

/*
 * Half of the requests beyond the share are this entry's part of a first credit, so that
 * entries with little traffic sample too; the other half is for entries that restart.
 */
static void
first_credit_update(balance_t *balance)
{
	double part = balance->rollout_extra / 2.0 / (double)MAX_OF(balance->count, 1);

	balance->rollout.credit_first = MIN_OF(part, 0.99);
}

/*
 * The release that serves while no order says otherwise: the one with most instances
 * among those that no order names. A rolling restart keeps its release.
 */
static const char *
base_release(const balance_service_t *service)
{
	const char *releases[RELEASES_MAX];
	size_t counts[RELEASES_MAX] = {0};
	size_t count = 0, best = 0;

	for (size_t i = 0; i < service->count; i++) {
		const balance_instance_t *instance = service->instances[i];
		size_t j = 0;

		if (instance->release[0] == '\0' ||
		    (service->rollout != NULL &&
			rollout_target_find(service->rollout, instance->release) != NULL))
			continue;
		while (j < count && strcmp(releases[j], instance->release) != 0)
			j++;
		if (j == RELEASES_MAX)
			continue;
		if (j == count)
			releases[count++] = instance->release;
		counts[j]++;
	}
	for (size_t j = 1; j < count; j++) {
		if (counts[j] > counts[best])
			best = j;
	}
	return count == 0 ? "" : releases[best];
}

/* Order in which instances are sampled: the same at every entry. */
static uint64_t
sample_rank(const balance_instance_t *instance, const rollout_target_t *target)
{
	return hash_bytes(&instance->node, sizeof(instance->node), target->step.order);
}

/* Marks the instances that rank lowest among the ready ones of the target's release. */
static void
samples_mark(balance_service_t *service, const rollout_target_t *target)
{
	for (uint32_t marked = 0; marked < target->step.instances; marked++) {
		balance_instance_t *lowest = NULL;

		for (size_t i = 0; i < service->count; i++) {
			balance_instance_t *instance = service->instances[i];

			if (instance->role == ROLLOUT_ROLE_TARGET && !instance->sampled &&
			    instance->state == INSTANCE_READY && instance->reachable &&
			    instance->member_state == MEMBER_ALIVE &&
			    strcmp(instance->release, target->step.release) == 0 &&
			    (lowest == NULL || sample_rank(instance, target) <
						   sample_rank(lowest, target)))
				lowest = instance;
		}
		if (lowest == NULL)
			return;
		lowest->sampled = true;
	}
}

void
balance_roles_update(balance_t *balance, balance_service_t *service)
{
	const char *base;

	if (!balance->rollouts)
		return;
	base = base_release(service);
	for (size_t i = 0; i < service->count; i++) {
		balance_instance_t *instance = service->instances[i];

		instance->role =
		    rollout_role_of(service->rollout, instance->release, base);
		instance->sampled = false;
	}
	if (service->rollout == NULL)
		return;
	for (size_t i = 0; i < service->rollout->count; i++) {
		if (service->rollout->targets[i].step.mode == ROLLOUT_SAMPLE)
			samples_mark(service, &service->rollout->targets[i]);
	}
}

rollout_accept_t
balance_step_accept(balance_t *balance, const rollout_step_t *step, uint64_t now)
{
	balance_service_t *service = balance_service_find(balance, step->service);
	rollout_accept_t result;

	first_credit_update(balance);
	result = rollout_step_accept(&balance->rollout, step, now);

	if (service == NULL || result == ROLLOUT_NO_ROOM || result == ROLLOUT_OUTDATED)
		return result;
	service->rollout = rollout_service_find(&balance->rollout, step->service);
	balance_roles_update(balance, service);
	return result;
}

bool
balance_rollout_report(const balance_t *balance, const rollout_step_t *step, uint64_t now,
    rollout_report_t *report)
{
	const balance_service_t *service = balance_service_find(balance, step->service);
	rollout_service_t *rollout =
	    rollout_service_find(&balance->rollout, step->service);
	const rollout_target_t *target =
	    rollout != NULL ? rollout_target_find(rollout, step->release) : NULL;

	if (target == NULL)
		return false;
	memset(report, 0, sizeof(*report));
	memcpy(report->service, step->service, sizeof(report->service));
	memcpy(report->release, step->release, sizeof(report->release));
	report->order = target->step.order;
	report->mode = target->step.mode;
	report->elapsed_ms = rollout_target_elapsed(target, now);
	report->target = target->counts;
	report->base = target->base;
	for (size_t i = 0; service != NULL && i < service->count; i++) {
		if (service->instances[i]->role != ROLLOUT_ROLE_SERVES)
			report->others_in_flight += service->instances[i]->in_flight;
	}
	return true;
}

void
balance_rollout_record(balance_instance_t *instance, const balance_attempt_t *attempt,
    int status, uint64_t now)
{
	rollout_service_t *rollout = instance->service->rollout;
	rollout_sample_t sample = {.route = attempt->route,
	    .answered = status != 0,
	    .failed = status >= 500 && !attempt->nested_failed,
	    .timed = attempt->route_class != ROUTE_UPLOAD,
	    .latency = (uint64_t)instance->load.exchange_us * NS_PER_US};
	rollout_target_t *target;

	if (rollout == NULL || instance->role == ROLLOUT_ROLE_NONE)
		return;
	/* Without an answer the wait at the gate is not known; none if its queue is
	 * empty. */
	if (status == 0) {
		sample.timed = instance->load.queued == 0;
		sample.latency = now - MIN_OF(attempt->started_at, now);
	}
	target = rollout_target_find(rollout, instance->release);
	if (target != NULL && target->step.mode == ROLLOUT_SAMPLE)
		rollout_target_record(target, &sample);
	else
		rollout_base_record(rollout, &sample, now);
}

uint64_t
balance_sampled_count(const balance_t *balance)
{
	return balance->sampled;
}
