#include "rollout_codec.h"

#include "json_text.h"
#include "platform/hosted.h"
#include "util.h"

#include <inttypes.h>
#include <string.h>

#define VALUE_MAX_BYTES 4096
/* Longest ramp, ms: a week. */
#define RAMP_MAX_MS 604800000

static const char *const outcome_texts[] = {
    [ROLLOUT_NOT_WRITTEN] = "",
    [ROLLOUT_RUNNING] = "running",
    [ROLLOUT_COMPLETED] = "completed",
    [ROLLOUT_ROLLED_BACK] = "rolled-back",
};

int
rollout_order_read(
    dialect_t dialect, const char *value, size_t size, rollout_order_t *order)
{
	struct json_object *object = NULL;
	json_report_t report;
	uint64_t ramp_ms = 0;

	memset(order, 0, sizeof(*order));
	if (dialect == DIALECT_HOSTED)
		return hosted_rollout_order_read(value, size, order);
	json_report_init(&report, NULL, 0);
	if (json_text_parse(value, size, VALUE_MAX_BYTES, false, &object, &report) ==
		MASTICPITCH_OK &&
	    json_read_text(&report, "", object, "service", order->service, NAME_BYTES) ==
		MASTICPITCH_OK &&
	    json_read_text(&report, "", object, "release", order->release, NAME_BYTES) ==
		MASTICPITCH_OK)
		json_read_uint(
		    &report, "", object, "ramp_ms", true, 0, RAMP_MAX_MS, &ramp_ms);
	json_object_put(object);
	order->ramp_ms = (uint32_t)ramp_ms;
	return report.error;
}

int
rollout_status_read(
    dialect_t dialect, const char *value, size_t size, rollout_status_t *status)
{
	struct json_object *object = NULL;
	json_report_t report;
	char text[NAME_BYTES] = "";

	memset(status, 0, sizeof(*status));
	if (dialect == DIALECT_HOSTED)
		return hosted_rollout_status_read(value, size, status);
	json_report_init(&report, NULL, 0);
	if (json_text_parse(value, size, VALUE_MAX_BYTES, false, &object, &report) ==
		MASTICPITCH_OK &&
	    json_read_text(&report, "", object, "release", status->release, NAME_BYTES) ==
		MASTICPITCH_OK)
		json_read_text(&report, "", object, "state", text, sizeof(text));
	json_object_put(object);
	for (size_t i = 1; i < ARRAY_LENGTH(outcome_texts); i++) {
		if (strcmp(text, outcome_texts[i]) == 0)
			status->outcome = (rollout_outcome_t)i;
	}
	return report.error;
}

int
rollout_status_write(dialect_t dialect, const rollout_status_t *status, buffer_t *text)
{
	if (dialect == DIALECT_HOSTED)
		return hosted_rollout_status_write(status, text);
	return buffer_printf(text, "{\"release\":\"%s\",\"state\":\"%s\"}",
	    status->release, outcome_texts[status->outcome]);
}

int
rollout_state_read(const char *value, size_t size, rollout_state_t *state)
{
	struct json_object *object = NULL;
	json_report_t report;
	char mode[NAME_BYTES];
	int error;

	memset(state, 0, sizeof(*state));
	json_report_init(&report, NULL, 0);
	error = json_text_parse(value, size, VALUE_MAX_BYTES, false, &object, &report);
	if (error == MASTICPITCH_OK)
		error = json_read_text(
		    &report, "", object, "service", state->service, NAME_BYTES);
	if (error == MASTICPITCH_OK)
		error = json_read_text(
		    &report, "", object, "release", state->release, NAME_BYTES);
	if (error == MASTICPITCH_OK)
		error = json_read_text(&report, "", object, "mode", mode, sizeof(mode));
	if (error == MASTICPITCH_OK)
		error = json_read_uint(
		    &report, "", object, "order", true, 0, INT64_MAX, &state->order);
	if (error == MASTICPITCH_OK)
		error = json_read_uint(&report, "", object, "elapsed_ms", true, 0,
		    INT64_MAX / NS_PER_MS, &state->elapsed_ms);
	if (error == MASTICPITCH_OK)
		error = rollout_mode_parse(mode, &state->mode);
	json_object_put(object);
	return error;
}

int
rollout_state_write(const rollout_state_t *state, buffer_t *text)
{
	return buffer_printf(text,
	    "{\"service\":\"%s\",\"release\":\"%s\",\"mode\":\"%s\",\"order\":%" PRIu64
	    ",\"elapsed_ms\":%" PRIu64 "}",
	    state->service, state->release, rollout_mode_text(state->mode), state->order,
	    state->elapsed_ms);
}
