#include "rollout_message.h"

#include "frame.h"
#include "masticpitch.pb-c.h"
#include "util.h"

#include <string.h>

/* Longest message; a report takes some 1.5 KB. */
#define MESSAGE_MAX_BYTES (32 * 1024)

static chunk_t *
message_pack(const Masticpitch__RolloutMessage *packed)
{
	chunk_t *chunk =
	    chunk_create(masticpitch__rollout_message__get_packed_size(packed));

	if (chunk != NULL)
		masticpitch__rollout_message__pack(packed, chunk->data);
	return chunk;
}

chunk_t *
rollout_step_pack(const rollout_step_t *step)
{
	Masticpitch__RolloutMessage packed = MASTICPITCH__ROLLOUT_MESSAGE__INIT;
	Masticpitch__RolloutStep item = MASTICPITCH__ROLLOUT_STEP__INIT;
	Masticpitch__RolloutStep *items[] = {&item};

	item.service = (char *)step->service;
	item.release = (char *)step->release;
	item.order = step->order;
	item.mode = step->mode;
	item.permille = step->permille;
	item.instances = step->instances;
	item.elapsed_ms = step->elapsed_ms;
	packed.n_steps = 1;
	packed.steps = items;
	return message_pack(&packed);
}

typedef struct pack_space {
	Masticpitch__RolloutRoute routes[2 * ROLLOUT_ROUTE_SLOTS];
	Masticpitch__RolloutRoute *list[2 * ROLLOUT_ROUTE_SLOTS];
	size_t count;
} pack_space_t;

/* Adds the routes that have answers; returns their number. */
static size_t
counts_pack(pack_space_t *space, const rollout_counts_t *counts)
{
	size_t first = space->count;

	for (size_t i = 0; i < ROLLOUT_ROUTE_SLOTS; i++) {
		const rollout_route_counts_t *from = &counts->routes[i];
		Masticpitch__RolloutRoute *to = &space->routes[space->count];

		if (from->answers == 0)
			continue;
		masticpitch__rollout_route__init(to);
		to->slot = (uint32_t)i;
		to->answers = from->answers;
		to->failures = from->failures;
		to->n_latencies = ROLLOUT_LATENCY_BUCKETS;
		to->latencies = (uint32_t *)from->latencies;
		space->list[space->count++] = to;
	}
	return space->count - first;
}

chunk_t *
rollout_report_pack(const rollout_report_t *report)
{
	Masticpitch__RolloutMessage packed = MASTICPITCH__ROLLOUT_MESSAGE__INIT;
	Masticpitch__RolloutReport item = MASTICPITCH__ROLLOUT_REPORT__INIT;
	Masticpitch__RolloutReport *items[] = {&item};
	pack_space_t space = {.count = 0};

	item.service = (char *)report->service;
	item.release = (char *)report->release;
	item.order = report->order;
	item.mode = report->mode;
	item.others_in_flight = report->others_in_flight;
	item.elapsed_ms = report->elapsed_ms;
	item.target = space.list;
	item.n_target = counts_pack(&space, &report->target);
	item.others = space.list + item.n_target;
	item.n_others = counts_pack(&space, &report->base);
	packed.n_reports = 1;
	packed.reports = items;
	return message_pack(&packed);
}

/* Names are checked by their length only; they are compared, never used as keys. */
static int
names_unpack(const char *service, const char *release, uint32_t mode, char *to_service,
    char *to_release)
{
	if (mode >= ROLLOUT_MODE_COUNT || service[0] == '\0' || release[0] == '\0' ||
	    string_copy(to_service, NAME_BYTES, service) != MASTICPITCH_OK ||
	    string_copy(to_release, NAME_BYTES, release) != MASTICPITCH_OK)
		return MASTICPITCH_E_INVALID;
	return MASTICPITCH_OK;
}

static int
step_unpack(const Masticpitch__RolloutStep *packed, rollout_step_t *step)
{
	memset(step, 0, sizeof(*step));
	step->order = packed->order;
	step->mode = (rollout_mode_t)packed->mode;
	step->permille = packed->permille;
	step->instances = packed->instances;
	step->elapsed_ms = packed->elapsed_ms;
	if (packed->permille > 1000)
		return MASTICPITCH_E_INVALID;
	return names_unpack(
	    packed->service, packed->release, packed->mode, step->service, step->release);
}

static int
counts_unpack(
    Masticpitch__RolloutRoute *const *routes, size_t count, rollout_counts_t *counts)
{
	if (count > ROLLOUT_ROUTE_SLOTS)
		return MASTICPITCH_E_INVALID;
	for (size_t i = 0; i < count; i++) {
		const Masticpitch__RolloutRoute *route = routes[i];
		rollout_route_counts_t *to;

		if (route->slot >= ROLLOUT_ROUTE_SLOTS ||
		    route->n_latencies != ROLLOUT_LATENCY_BUCKETS ||
		    route->failures > route->answers)
			return MASTICPITCH_E_INVALID;
		to = &counts->routes[route->slot];
		to->answers = route->answers;
		to->failures = route->failures;
		memcpy(to->latencies, route->latencies, sizeof(to->latencies));
	}
	return MASTICPITCH_OK;
}

static int
report_unpack(const Masticpitch__RolloutReport *packed, rollout_report_t *report)
{
	memset(report, 0, sizeof(*report));
	report->order = packed->order;
	report->mode = (rollout_mode_t)packed->mode;
	report->others_in_flight = packed->others_in_flight;
	report->elapsed_ms = packed->elapsed_ms;
	if (names_unpack(packed->service, packed->release, packed->mode, report->service,
		report->release) != MASTICPITCH_OK ||
	    counts_unpack(packed->target, packed->n_target, &report->target) !=
		MASTICPITCH_OK ||
	    counts_unpack(packed->others, packed->n_others, &report->base) !=
		MASTICPITCH_OK)
		return MASTICPITCH_E_INVALID;
	return MASTICPITCH_OK;
}

int
rollout_message_unpack(const void *data, size_t size, rollout_message_kind_t *kind,
    rollout_step_t *step, rollout_report_t *report)
{
	Masticpitch__RolloutMessage *packed;
	frame_allocator_t allocator;
	int error = MASTICPITCH_E_INVALID;

	if (size > MESSAGE_MAX_BYTES)
		return error;
	/* Bounds memory: empty routes take far more than the bytes received. */
	frame_allocator_init(&allocator, size);
	packed = masticpitch__rollout_message__unpack(&allocator.base, size, data);
	if (packed == NULL)
		return error;
	if (packed->n_steps == 1 && packed->n_reports == 0) {
		*kind = ROLLOUT_MESSAGE_STEP;
		error = step_unpack(packed->steps[0], step);
	} else if (packed->n_steps == 0 && packed->n_reports == 1) {
		*kind = ROLLOUT_MESSAGE_REPORT;
		error = report_unpack(packed->reports[0], report);
	}
	masticpitch__rollout_message__free_unpacked(packed, &allocator.base);
	return error;
}
