#include "common_report.h"

#include "util.h"

#include <json-c/json.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char *const class_texts[LOAD_CLASSES] = {
    "lookup", "call", "upload", "internal", "crash"};

static const char *const outcome_texts[OUTCOMES] = {
    "answered", "refused", "unknown", "failed", "wrong", "cut"};

const char *
report_class_text(load_class_t load_class)
{
	return class_texts[load_class];
}

const char *
report_outcome_text(outcome_t outcome)
{
	return outcome_texts[outcome];
}

bool
load_class_is_non_idempotent(load_class_t load_class)
{
	return load_class == LOAD_CALL || load_class == LOAD_UPLOAD;
}

int
report_init(report_t *report, size_t capacity)
{
	for (size_t i = 0; i < LOAD_CLASSES; i++)
		if ((report->latencies[i] = malloc(capacity * sizeof(float))) == NULL)
			return MASTICPITCH_E_NOMEM;
	return MASTICPITCH_OK;
}

void
report_free(report_t *report)
{
	for (size_t i = 0; i < LOAD_CLASSES; i++)
		free(report->latencies[i]);
}

static void
reason_add(report_t *report, outcome_t outcome, const char *text)
{
	reason_count_t *reason;

	for (size_t i = 0; i < report->reason_count; i++) {
		reason = &report->reasons[i];
		if (reason->outcome == outcome && strcmp(reason->text, text) == 0) {
			reason->count++;
			return;
		}
	}
	if (report->reason_count < REASONS_MAX) {
		reason = &report->reasons[report->reason_count++];
		snprintf(reason->text, sizeof(reason->text), "%s", text);
		reason->outcome = outcome;
		reason->count = 1;
	}
}

void
report_add(report_t *report, load_class_t load_class, outcome_t outcome,
    const char *reason, uint64_t latency)
{
	report->counts[load_class][outcome]++;
	if (outcome == OUTCOME_ANSWERED)
		report->latencies[load_class][report->latency_counts[load_class]++] =
		    (float)latency / 1e6f;
	else
		reason_add(report, outcome, reason);
}

static int
compare_floats(const void *a, const void *b)
{
	float left = *(const float *)a, right = *(const float *)b;

	return (left > right) - (left < right);
}

static json_object *
print_class(report_t *report, load_class_t load_class)
{
	json_object *object = json_object_new_object();
	float *values = report->latencies[load_class];
	size_t count = report->latency_counts[load_class];
	const struct {
		const char *name;
		double fraction;
	} points[] = {{"p50", 0.5}, {"p99", 0.99}, {"max", 1}};

	for (size_t i = 0; i < OUTCOMES; i++)
		json_object_object_add(object, outcome_texts[i],
		    json_object_new_uint64(report->counts[load_class][i]));
	qsort(values, count, sizeof(*values), compare_floats);
	for (size_t i = 0; i < ARRAY_LENGTH(points) && count > 0; i++) {
		size_t rank = (size_t)ceil(points[i].fraction * (double)count);

		json_object_object_add(object, points[i].name,
		    json_object_new_double(values[rank > 0 ? rank - 1 : 0]));
	}
	return object;
}

static void
number_add(json_object *object, const char *name, uint64_t number)
{
	json_object_object_add(object, name, json_object_new_uint64(number));
}

void
report_print(report_t *report)
{
	json_object *object = json_object_new_object();
	json_object *classes = json_object_new_object();
	json_object *reasons = json_object_new_object();

	number_add(object, "sent", report->sent);
	number_add(object, "not_sent", report->not_sent);
	number_add(object, "failovers", report->failovers);
	for (size_t i = 0; i < OUTCOMES; i++) {
		uint64_t sum = 0;

		for (size_t k = 0; k < LOAD_CLASSES; k++)
			sum += report->counts[k][i];
		number_add(object, outcome_texts[i], sum);
	}
	for (size_t i = 0; i < LOAD_CLASSES; i++)
		json_object_object_add(
		    classes, class_texts[i], print_class(report, (load_class_t)i));
	for (size_t i = 0; i < report->reason_count; i++) {
		char name[100];

		snprintf(name, sizeof(name), "%s:%s",
		    outcome_texts[report->reasons[i].outcome], report->reasons[i].text);
		number_add(reasons, name, report->reasons[i].count);
	}
	json_object_object_add(object, "classes", classes);
	json_object_object_add(object, "reasons", reasons);
	printf("%s\n", json_object_to_json_string_ext(object, JSON_C_TO_STRING_PLAIN));
	json_object_put(object);
}
