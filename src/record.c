#include "record.h"

#include "json_text.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static int
name_read(json_report_t *report, const char *location, struct json_object *object,
    const char *key, char name[NAME_BYTES])
{
	int error = json_read_text(report, location, object, key, name, NAME_BYTES);

	if (error != MASTICPITCH_OK)
		return error;
	if (!json_name_is_valid(name, strlen(name)))
		return json_report_fail(report, MASTICPITCH_E_INVALID, location,
		    "%s: has 1 to 64 characters of a-z, A-Z, 0-9, '-', '_' and '.'", key);
	return MASTICPITCH_OK;
}

/* Digests must be in lower case, so that each has only one text. */
static bool
digest_text_is_valid(struct json_object *item)
{
	const char *text = json_object_get_string(item);

	return json_object_is_type(item, json_type_string) &&
	       json_object_get_string_len(item) == DIGEST_TEXT_BYTES - 1 &&
	       strspn(text, "0123456789abcdef") == DIGEST_TEXT_BYTES - 1;
}

static int
preset_read(json_report_t *report, const char *name, struct json_object *object,
    record_preset_t *preset)
{
	static const char *const keys[] = {"parts", NULL};
	struct json_object *list = NULL;
	char location[JSON_LOCATION_MAX_BYTES];
	size_t count;

	snprintf(location, sizeof(location), "head: presets.%.64s", name);
	if (!json_name_is_valid(name, strlen(name)))
		return json_report_fail(report, MASTICPITCH_E_INVALID, location,
		    "a name has 1 to 64 characters of a-z, A-Z, 0-9, '-', '_' and '.'");
	string_copy(preset->name, sizeof(preset->name), name);
	if (!json_object_is_type(object, json_type_object))
		return json_report_fail(
		    report, MASTICPITCH_E_INVALID, location, "must be an object");
	if (json_keys_check(report, location, object, keys) != MASTICPITCH_OK)
		return report->error;
	json_object_object_get_ex(object, "parts", &list);
	count = json_object_is_type(list, json_type_array)
		    ? json_object_array_length(list)
		    : 0;
	if (count < 1 || count > RECORD_PRESET_PARTS_MAX)
		return json_report_fail(report, MASTICPITCH_E_INVALID, location,
		    "parts: must be a list of 1 to %d digests", RECORD_PRESET_PARTS_MAX);
	for (size_t i = 0; i < count; i++) {
		struct json_object *item = json_object_array_get_idx(list, i);

		if (!digest_text_is_valid(item))
			return json_report_fail(report, MASTICPITCH_E_INVALID, location,
			    "parts[%zu]: must be 32 hex digits in lower case", i);
		digest_parse(json_object_get_string(item), &preset->parts[i]);
	}
	preset->part_count = count;
	return MASTICPITCH_OK;
}

static int
preset_name_compare(const void *a, const void *b)
{
	return strcmp(
	    ((const record_preset_t *)a)->name, ((const record_preset_t *)b)->name);
}

static int
presets_read(json_report_t *report, struct json_object *object, record_head_t *head)
{
	struct json_object *presets = NULL;

	json_object_object_get_ex(object, "presets", &presets);
	if (!json_object_is_type(presets, json_type_object) ||
	    json_object_object_length(presets) < 1 ||
	    json_object_object_length(presets) > RECORD_PRESETS_MAX)
		return json_report_fail(report, MASTICPITCH_E_INVALID, "head",
		    "presets: must be an object of 1 to %d presets", RECORD_PRESETS_MAX);
	json_object_object_foreach(presets, name, item)
	{
		if (preset_read(report, name, item, &head->presets[head->preset_count]) !=
		    MASTICPITCH_OK)
			return report->error;
		head->preset_count++;
	}
	qsort(head->presets, head->preset_count, sizeof(record_preset_t),
	    preset_name_compare);
	return MASTICPITCH_OK;
}

/* Reads "VERB PRESET". Errors: MASTICPITCH_E_INVALID. */
static int
action_read(json_report_t *report, const char *location, struct json_object *object,
    record_commit_t *commit)
{
	static const char *const verbs[] = {"create", "edit", "delete", "use"};
	char text[RECORD_ACTION_BYTES + NAME_BYTES];

	if (json_read_text(report, location, object, "action", text, sizeof(text)) !=
	    MASTICPITCH_OK)
		return report->error;
	for (size_t i = 0; i < ARRAY_LENGTH(verbs); i++) {
		size_t length = strlen(verbs[i]);
		const char *name = text + length + 1;

		if (strncmp(text, verbs[i], length) != 0 || text[length] != ' ' ||
		    !json_name_is_valid(name, strlen(name)))
			continue;
		string_copy(commit->action, sizeof(commit->action), verbs[i]);
		string_copy(commit->preset, sizeof(commit->preset), name);
		return MASTICPITCH_OK;
	}
	return json_report_fail(report, MASTICPITCH_E_INVALID, location,
	    "action: must be create, edit, delete or use with the name of a preset");
}

static int
commit_read(json_report_t *report, size_t number, struct json_object *object,
    record_commit_t *commit)
{
	static const char *const keys[] = {
	    "version", "operation", "operator", "action", "at", NULL};
	struct json_object *operation = NULL;
	char location[JSON_LOCATION_MAX_BYTES];

	snprintf(location, sizeof(location), "head: history[%zu]", number);
	if (!json_object_is_type(object, json_type_object))
		return json_report_fail(
		    report, MASTICPITCH_E_INVALID, location, "must be an object");
	json_keys_check(report, location, object, keys);
	json_read_uint(report, location, object, "version", true, 1, RECORD_VERSION_MAX,
	    &commit->version);
	json_read_uint(report, location, object, "at", true, 0, INT64_MAX, &commit->at);
	name_read(report, location, object, "operator", commit->operator_name);
	action_read(report, location, object, commit);
	json_object_object_get_ex(object, "operation", &operation);
	if (!digest_text_is_valid(operation))
		return json_report_fail(report, MASTICPITCH_E_INVALID, location,
		    "operation: must be 32 hex digits in lower case");
	string_copy(commit->operation, sizeof(commit->operation),
	    json_object_get_string(operation));
	return report->error;
}

static int
history_read(json_report_t *report, struct json_object *object, record_head_t *head)
{
	struct json_object *list = NULL;
	size_t count;

	json_object_object_get_ex(object, "history", &list);
	count = json_object_is_type(list, json_type_array)
		    ? json_object_array_length(list)
		    : 0;
	if (count < 1 || count > RECORD_HISTORY_MAX)
		return json_report_fail(report, MASTICPITCH_E_INVALID, "head",
		    "history: must be a list of 1 to %d commits", RECORD_HISTORY_MAX);
	for (size_t i = 0; i < count; i++) {
		if (commit_read(report, i, json_object_array_get_idx(list, i),
			&head->history[i]) != MASTICPITCH_OK)
			return report->error;
		if (i > 0 && head->history[i].version <= head->history[i - 1].version)
			return json_report_fail(report, MASTICPITCH_E_INVALID, "head",
			    "history: versions must increase");
	}
	head->history_count = count;
	if (head->history[count - 1].version != head->version)
		return json_report_fail(report, MASTICPITCH_E_INVALID, "head",
		    "history: must end with the head's own version");
	return MASTICPITCH_OK;
}

static int
head_read(json_report_t *report, struct json_object *object, record_head_t *head)
{
	static const char *const keys[] = {
	    "format", "version", "in_force", "presets", "history", NULL};
	uint64_t format = 0;

	json_keys_check(report, "head", object, keys);
	json_read_uint(report, "head", object, "format", true, RECORD_FORMAT,
	    RECORD_FORMAT, &format);
	json_read_uint(report, "head", object, "version", true, 1, RECORD_VERSION_MAX,
	    &head->version);
	name_read(report, "head", object, "in_force", head->in_force);
	if (report->error != MASTICPITCH_OK ||
	    presets_read(report, object, head) != MASTICPITCH_OK ||
	    history_read(report, object, head) != MASTICPITCH_OK)
		return report->error;
	if (record_preset_find(head, head->in_force) == NULL)
		return json_report_fail(report, MASTICPITCH_E_INVALID, "head",
		    "in_force: \"%s\" is not among the presets", head->in_force);
	return MASTICPITCH_OK;
}

int
record_head_parse(const char *text, size_t size, record_head_t **result, char *message,
    size_t message_size)
{
	struct json_object *object = NULL;
	record_head_t *head = calloc(1, sizeof(*head));
	json_report_t report;

	json_report_init(&report, message, message_size);
	if (head == NULL)
		return json_report_fail(
		    &report, MASTICPITCH_E_NOMEM, "", "out of memory");
	if (json_text_parse(text, size, RECORD_HEAD_MAX_BYTES, false, &object, &report) ==
	    MASTICPITCH_OK)
		head_read(&report, object, head);
	json_object_put(object);
	if (report.error != MASTICPITCH_OK) {
		free(head);
		return report.error;
	}
	*result = head;
	return MASTICPITCH_OK;
}

static int
presets_format(const record_head_t *head, buffer_t *text)
{
	char digest[DIGEST_TEXT_BYTES];
	int error = MASTICPITCH_OK;

	for (size_t i = 0; i < head->preset_count && error == MASTICPITCH_OK; i++) {
		const record_preset_t *preset = &head->presets[i];

		error = buffer_printf(
		    text, "%s\"%s\":{\"parts\":[", i > 0 ? "," : "", preset->name);
		for (size_t j = 0; j < preset->part_count && error == MASTICPITCH_OK;
		     j++) {
			digest_format(&preset->parts[j], digest);
			error = buffer_printf(text, "%s\"%s\"", j > 0 ? "," : "", digest);
		}
		if (error == MASTICPITCH_OK)
			error = buffer_printf(text, "]}");
	}
	return error;
}

int
record_head_format(const record_head_t *head, buffer_t *text)
{
	int error = buffer_printf(text,
	    "{\"format\":%d,\"version\":%" PRIu64 ",\"in_force\":\"%s\",\"presets\":{",
	    RECORD_FORMAT, head->version, head->in_force);

	if (error == MASTICPITCH_OK)
		error = presets_format(head, text);
	if (error == MASTICPITCH_OK)
		error = buffer_printf(text, "},\"history\":[");
	for (size_t i = 0; i < head->history_count && error == MASTICPITCH_OK; i++) {
		const record_commit_t *commit = &head->history[i];

		error = buffer_printf(text,
		    "%s{\"version\":%" PRIu64 ",\"operation\":\"%s\",\"operator\":\"%s\","
		    "\"action\":\"%s %s\",\"at\":%" PRIu64 "}",
		    i > 0 ? "," : "", commit->version, commit->operation,
		    commit->operator_name, commit->action, commit->preset, commit->at);
	}
	if (error == MASTICPITCH_OK)
		error = buffer_printf(text, "]}");
	return error;
}

const record_preset_t *
record_preset_find(const record_head_t *head, const char *name)
{
	for (size_t i = 0; i < head->preset_count; i++) {
		if (strcmp(head->presets[i].name, name) == 0)
			return &head->presets[i];
	}
	return NULL;
}

int
record_preset_set(record_head_t *head, const record_preset_t *preset)
{
	for (size_t i = 0; i < head->preset_count; i++) {
		if (strcmp(head->presets[i].name, preset->name) == 0) {
			head->presets[i] = *preset;
			return MASTICPITCH_OK;
		}
	}
	if (head->preset_count == RECORD_PRESETS_MAX)
		return MASTICPITCH_E_LIMIT;
	head->presets[head->preset_count++] = *preset;
	qsort(head->presets, head->preset_count, sizeof(record_preset_t),
	    preset_name_compare);
	return MASTICPITCH_OK;
}

int
record_preset_remove(record_head_t *head, const char *name)
{
	for (size_t i = 0; i < head->preset_count; i++) {
		if (strcmp(head->presets[i].name, name) != 0)
			continue;
		head->preset_count--;
		memmove(&head->presets[i], &head->presets[i + 1],
		    (head->preset_count - i) * sizeof(record_preset_t));
		return MASTICPITCH_OK;
	}
	return MASTICPITCH_E_NOT_FOUND;
}

void
record_history_add(record_head_t *head, const record_commit_t *commit)
{
	if (head->history_count == RECORD_HISTORY_MAX) {
		head->history_count--;
		memmove(&head->history[0], &head->history[1],
		    head->history_count * sizeof(record_commit_t));
	}
	head->history[head->history_count++] = *commit;
}

const record_commit_t *
record_history_find(const record_head_t *head, const char *operation)
{
	for (size_t i = head->history_count; i > 0; i--) {
		if (strcmp(head->history[i - 1].operation, operation) == 0)
			return &head->history[i - 1];
	}
	return NULL;
}

const record_commit_t *
record_history_after(const record_head_t *head, uint64_t version)
{
	for (size_t i = 0; i < head->history_count; i++) {
		if (head->history[i].version > version)
			return &head->history[i];
	}
	return NULL;
}

bool
record_history_covers(const record_head_t *head, uint64_t version)
{
	return head->history_count < RECORD_HISTORY_MAX ||
	       head->history[0].version <= version;
}

bool
record_head_has_part(const record_head_t *head, const digest_t *digest)
{
	for (size_t i = 0; i < head->preset_count; i++) {
		for (size_t j = 0; j < head->presets[i].part_count; j++) {
			if (digest_equal(&head->presets[i].parts[j], digest))
				return true;
		}
	}
	return false;
}
