#include "rollout_step.h"

#include "util.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Unused credit beyond this is lost, so that an idle target gets no burst later. */
#define CREDIT_MAX 2.0

static const char *const mode_texts[ROLLOUT_MODE_COUNT] = {
    [ROLLOUT_HOLD] = "hold",
    [ROLLOUT_SAMPLE] = "sample",
    [ROLLOUT_FULL] = "full",
    [ROLLOUT_DONE] = "done",
    [ROLLOUT_STOPPED] = "stopped",
    [ROLLOUT_FREE] = "free",
};

const char *
rollout_mode_text(rollout_mode_t mode)
{
	return mode_texts[mode];
}

int
rollout_mode_parse(const char *text, rollout_mode_t *mode)
{
	for (size_t i = 0; i < ROLLOUT_MODE_COUNT; i++) {
		if (strcmp(text, mode_texts[i]) != 0)
			continue;
		*mode = (rollout_mode_t)i;
		return MASTICPITCH_OK;
	}
	return MASTICPITCH_E_INVALID;
}

void
rollout_table_free(rollout_table_t *table)
{
	for (size_t i = 0; i < table->count; i++)
		free(table->services[i]);
	table->count = 0;
}

rollout_service_t *
rollout_service_find(const rollout_table_t *table, const char *name)
{
	for (size_t i = 0; i < table->count; i++) {
		if (strcmp(table->services[i]->name, name) == 0)
			return table->services[i];
	}
	return NULL;
}

static rollout_service_t *
service_get(rollout_table_t *table, const char *name)
{
	rollout_service_t *service = rollout_service_find(table, name);

	if (service != NULL || table->count == ROLLOUT_SERVICES_MAX)
		return service;
	service = calloc(1, sizeof(*service));
	if (service == NULL)
		return NULL;
	string_copy(service->name, sizeof(service->name), name);
	table->services[table->count++] = service;
	return service;
}

rollout_target_t *
rollout_target_find(rollout_service_t *service, const char *release)
{
	for (size_t i = 0; i < service->count; i++) {
		if (strcmp(service->targets[i].step.release, release) == 0)
			return &service->targets[i];
	}
	return NULL;
}

/* Room for one more target; the one of the oldest order gives way. */
static rollout_target_t *
target_add(rollout_service_t *service)
{
	rollout_target_t *oldest = &service->targets[0];

	if (service->count < ROLLOUT_TARGETS_MAX)
		return &service->targets[service->count++];
	for (size_t i = 1; i < service->count; i++) {
		if (service->targets[i].step.order < oldest->step.order)
			oldest = &service->targets[i];
	}
	return oldest;
}

static bool
mode_is_final(rollout_mode_t mode)
{
	return mode == ROLLOUT_DONE || mode == ROLLOUT_STOPPED;
}

static void
sample_extend(const rollout_table_t *table, rollout_target_t *target,
    const rollout_step_t *step, uint64_t now)
{
	uint64_t passed = MIN_OF(step->elapsed_ms, now / NS_PER_MS) * NS_PER_MS;

	target->step = *step;
	if (target->ordered_at == 0 || now - passed < target->ordered_at)
		target->ordered_at = now - passed;
	target->valid_until =
	    now +
	    (table->valid_ns != 0 ? table->valid_ns : ROLLOUT_STEP_VALID_MS * NS_PER_MS);
}

rollout_accept_t
rollout_step_accept(rollout_table_t *table, const rollout_step_t *step, uint64_t now)
{
	rollout_service_t *service = service_get(table, step->service);
	rollout_target_t *target;

	if (service == NULL)
		return ROLLOUT_NO_ROOM;
	target = rollout_target_find(service, step->release);
	if (target != NULL && step->order < target->step.order)
		return ROLLOUT_OUTDATED;
	if (target != NULL && step->order == target->step.order) {
		if (step->mode == target->step.mode) {
			sample_extend(table, target, step, now);
			return ROLLOUT_CONFIRMED;
		}
		if (step->mode < target->step.mode || mode_is_final(target->step.mode) ||
		    (step->mode == ROLLOUT_STOPPED && target->step.mode == ROLLOUT_FULL))
			return ROLLOUT_OUTDATED;
		target->accepted_at = now;
		sample_extend(table, target, step, now);
		return ROLLOUT_ACCEPTED;
	}
	if (target == NULL)
		target = target_add(service);
	memset(target, 0, sizeof(*target));
	target->accepted_at = now;
	target->credit = table->credit_first;
	sample_extend(table, target, step, now);
	return ROLLOUT_ACCEPTED;
}

/* The newest order whose release gets all requests; NULL: none. */
static const rollout_target_t *
target_in_charge(const rollout_service_t *service)
{
	const rollout_target_t *newest = NULL;

	for (size_t i = 0; i < service->count; i++) {
		const rollout_target_t *target = &service->targets[i];

		if ((target->step.mode == ROLLOUT_FULL ||
			target->step.mode == ROLLOUT_DONE) &&
		    (newest == NULL || target->step.order > newest->step.order))
			newest = target;
	}
	return newest;
}

rollout_role_t
rollout_role_of(const rollout_service_t *service, const char *release, const char *base)
{
	const rollout_target_t *charge = NULL, *target = NULL;

	if (release[0] == '\0')
		return ROLLOUT_ROLE_SERVES;
	if (service != NULL) {
		charge = target_in_charge(service);
		target = rollout_target_find((rollout_service_t *)service, release);
	}
	if (charge != NULL && target == charge)
		return ROLLOUT_ROLE_SERVES;
	/* One that was free before the last move is an old one now. */
	if (target != NULL && target->step.mode == ROLLOUT_FREE)
		return charge == NULL || target->accepted_at > charge->accepted_at
			   ? ROLLOUT_ROLE_SERVES
			   : ROLLOUT_ROLE_NONE;
	if (target == NULL) {
		if (charge != NULL)
			return ROLLOUT_ROLE_NONE;
		return target != NULL || strcmp(release, base) == 0 ? ROLLOUT_ROLE_SERVES
								    : ROLLOUT_ROLE_NONE;
	}
	return target->step.mode == ROLLOUT_SAMPLE ? ROLLOUT_ROLE_TARGET
						   : ROLLOUT_ROLE_NONE;
}

bool
rollout_may_fall_back(const rollout_service_t *service)
{
	const rollout_target_t *charge =
	    service != NULL ? target_in_charge(service) : NULL;

	return charge != NULL && charge->step.mode == ROLLOUT_FULL;
}

static bool
target_is_sampled(const rollout_target_t *target, uint64_t now)
{
	return target->step.mode == ROLLOUT_SAMPLE && now < target->valid_until;
}

rollout_target_t *
rollout_sample_draw(rollout_service_t *service, uint64_t now)
{
	for (size_t i = 0; i < service->count; i++) {
		rollout_target_t *target = &service->targets[i];

		if (target_is_sampled(target, now) && target->credit >= 1)
			return target;
	}
	return NULL;
}

void
rollout_sample_sent(rollout_target_t *target)
{
	target->credit -= 1;
	target->sent++;
}

uint64_t
rollout_target_elapsed(const rollout_target_t *target, uint64_t now)
{
	return (now - MIN_OF(target->ordered_at, now)) / NS_PER_MS;
}

size_t
rollout_latency_bucket(uint64_t latency)
{
	double ms = (double)latency / (double)NS_PER_MS;

	if (ms <= 1)
		return 0;
	return MIN_OF((size_t)(2 * log2(ms)), (size_t)ROLLOUT_LATENCY_BUCKETS - 1);
}

static void
counts_record(rollout_counts_t *counts, const rollout_sample_t *sample)
{
	rollout_route_counts_t *route =
	    &counts->routes[sample->route % ROLLOUT_ROUTE_SLOTS];

	route->answers++;
	route->failures += sample->failed;
	if (sample->timed && !sample->failed)
		route->latencies[rollout_latency_bucket(sample->latency)]++;
}

void
rollout_base_record(
    rollout_service_t *service, const rollout_sample_t *sample, uint64_t now)
{
	for (size_t i = 0; i < service->count; i++) {
		rollout_target_t *target = &service->targets[i];

		if (!target_is_sampled(target, now))
			continue;
		counts_record(&target->base, sample);
		if (sample->answered)
			target->credit = MIN_OF(
			    CREDIT_MAX, target->credit + target->step.permille / 1000.0);
	}
}

void
rollout_target_record(rollout_target_t *target, const rollout_sample_t *sample)
{
	counts_record(&target->counts, sample);
}
