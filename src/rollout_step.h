/*
 * The steps in force at one entry, and what it saw of each release. Decides by counts
 * which requests go to a release that is being rolled out. Reads no clock.
 */
#ifndef MASTICPITCH_ROLLOUT_STEP_H
#define MASTICPITCH_ROLLOUT_STEP_H

#include "rollout.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * A sample ends unless the step is repeated within this time, or within this share of the
 * time in which a bad release must get no more requests, if that is less.
 */
#define ROLLOUT_STEP_VALID_MS 2000
#define ROLLOUT_STEP_VALID_PERCENT 40

typedef struct rollout_target {
	rollout_step_t step;
	uint64_t valid_until; /* SAMPLE only */
	uint64_t accepted_at; /* start of the mode */
	uint64_t ordered_at;  /* by the steps; a new decider may not know it */
	/* Requests that may still be sent to it; earned by the others' answers. */
	double credit;
	uint64_t sent;
	rollout_counts_t counts;
	rollout_counts_t base;
} rollout_target_t;

typedef struct rollout_service {
	char name[NAME_BYTES];
	rollout_target_t targets[ROLLOUT_TARGETS_MAX];
	size_t count;
} rollout_service_t;

typedef struct rollout_table {
	rollout_service_t *services[ROLLOUT_SERVICES_MAX];
	size_t count;
	uint64_t valid_ns;   /* of a sample after its last step; 0: the default */
	double credit_first; /* a sample starts with; below 1 request */
} rollout_table_t;

typedef enum rollout_accept {
	ROLLOUT_ACCEPTED,  /* a new mode is in force */
	ROLLOUT_CONFIRMED, /* the same mode, valid for longer */
	ROLLOUT_OUTDATED,  /* an earlier order or mode */
	ROLLOUT_NO_ROOM
} rollout_accept_t;

/* How the instances of a release take part. */
typedef enum rollout_role {
	ROLLOUT_ROLE_SERVES,
	ROLLOUT_ROLE_TARGET, /* only sampled requests */
	ROLLOUT_ROLE_NONE    /* no requests */
} rollout_role_t;

void rollout_table_free(rollout_table_t *table);
/* NULL: the service has no step. */
rollout_service_t *rollout_service_find(const rollout_table_t *table, const char *name);
rollout_accept_t rollout_step_accept(
    rollout_table_t *table, const rollout_step_t *step, uint64_t now);
/* The target of that name; NULL: no step names it. */
rollout_target_t *rollout_target_find(rollout_service_t *service, const char *release);
/*
 * The role of a release. base: the release that serves while no order says otherwise.
 * service may be NULL.
 */
rollout_role_t rollout_role_of(
    const rollout_service_t *service, const char *release, const char *base);
/* True if an old release may help out while no instance of the new one can be chosen. */
bool rollout_may_fall_back(const rollout_service_t *service);
/* The target that the next request should go to; NULL: none. */
rollout_target_t *rollout_sample_draw(rollout_service_t *service, uint64_t now);
void rollout_sample_sent(rollout_target_t *target);

/* An answer, or an attempt that ended without one. */
typedef struct rollout_sample {
	uint32_t route; /* hash of its name */
	bool answered;
	bool failed;
	bool timed; /* latency is usable */
	uint64_t latency;
} rollout_sample_t;

/* Records an answer of an instance that serves; earns credit for the targets. */
void rollout_base_record(
    rollout_service_t *service, const rollout_sample_t *sample, uint64_t now);
void rollout_target_record(rollout_target_t *target, const rollout_sample_t *sample);
/* Time since the order, ms. */
uint64_t rollout_target_elapsed(const rollout_target_t *target, uint64_t now);
/* The bucket of a latency; an upper bound of bucket i is 2^((i + 1) / 2) ms. */
size_t rollout_latency_bucket(uint64_t latency);

#ifdef __cplusplus
}
#endif

#endif
