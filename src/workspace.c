#include "workspace.h"

#include "util.h"

#include <math.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Largest rate and burst; they are counted in doubles. */
#define AMOUNT_MAX 1e9
/* Text of all keys, bytes. */
#define KEY_TEXT_MAX_BYTES (64 * 1024 * 1024)

const char *
workspace_key(const preset_t *preset, const preset_workspace_t *workspace, uint32_t i)
{
	return (const char *)preset->key_text.data +
	       preset->keys[workspace->key_first + i].offset;
}

static int
workspaces_reserve(preset_t *preset, size_t more)
{
	preset_workspace_t *grown;

	if (more > PRESET_WORKSPACES_MAX - preset->workspace_count)
		return MASTICPITCH_E_LIMIT;
	grown = realloc(
	    preset->workspaces, (preset->workspace_count + more) * sizeof(*grown));
	if (grown == NULL)
		return MASTICPITCH_E_NOMEM;
	preset->workspaces = grown;
	return MASTICPITCH_OK;
}

/* Reserves room for more keys of the workspace that is added next. */
static int
keys_reserve(preset_t *preset, size_t more)
{
	preset_key_t *grown =
	    realloc(preset->keys, MAX_OF(preset->key_count + more, 1) * sizeof(*grown));

	if (grown == NULL)
		return MASTICPITCH_E_NOMEM;
	preset->keys = grown;
	return MASTICPITCH_OK;
}

static int
key_add(preset_t *preset, const char *key)
{
	preset_key_t *added = &preset->keys[preset->key_count];

	if (preset->key_text.limit == 0)
		buffer_init(&preset->key_text, KEY_TEXT_MAX_BYTES);
	*added = (preset_key_t){.offset = (uint32_t)preset->key_text.size};
	if (buffer_append(&preset->key_text, key, strlen(key) + 1) != MASTICPITCH_OK)
		return MASTICPITCH_E_NOMEM;
	preset->key_count++;
	return MASTICPITCH_OK;
}

/* A key is the complete value of a header field. */
static bool
key_is_valid(const char *key, size_t size)
{
	if (size < 1 || size > PRESET_KEY_MAX_BYTES || strlen(key) != size)
		return false;
	for (; *key != '\0'; key++) {
		if (*key <= ' ' || *key > '~')
			return false;
	}
	return true;
}

static int
keys_read(json_report_t *report, const char *location, struct json_object *object,
    const char *field, preset_t *preset, preset_workspace_t *workspace)
{
	struct json_object *list = NULL;
	size_t count;

	workspace->key_first = (uint32_t)preset->key_count;
	if (!json_object_object_get_ex(object, field, &list))
		return MASTICPITCH_OK;
	if (!json_object_is_type(list, json_type_array))
		return json_report_fail(
		    report, MASTICPITCH_E_INVALID, location, "%s: must be a list", field);
	count = json_object_array_length(list);
	if (count > PRESET_WORKSPACE_KEYS_MAX)
		return json_report_fail(report, MASTICPITCH_E_LIMIT, location,
		    "%s: more than %d keys", field, PRESET_WORKSPACE_KEYS_MAX);
	if (keys_reserve(preset, count) != MASTICPITCH_OK)
		return json_report_fail(report, MASTICPITCH_E_NOMEM, "", "out of memory");
	for (size_t i = 0; i < count; i++) {
		struct json_object *item = json_object_array_get_idx(list, i);

		if (!json_object_is_type(item, json_type_string) ||
		    !key_is_valid(json_object_get_string(item),
			(size_t)json_object_get_string_len(item)))
			return json_report_fail(report, MASTICPITCH_E_INVALID, location,
			    "%s[%zu]: must have 1 to %d printable characters without "
			    "blanks",
			    field, i, PRESET_KEY_MAX_BYTES);
		if (key_add(preset, json_object_get_string(item)) != MASTICPITCH_OK)
			return json_report_fail(
			    report, MASTICPITCH_E_NOMEM, "", "out of memory");
		workspace->key_count++;
	}
	return MASTICPITCH_OK;
}

static int
amount_read(json_report_t *report, const char *location, struct json_object *object,
    const char *field, double *value)
{
	struct json_object *item = NULL;

	if (!json_object_object_get_ex(object, field, &item))
		return MASTICPITCH_OK;
	*value = json_object_get_double(item);
	if ((!json_object_is_type(item, json_type_double) &&
		!json_object_is_type(item, json_type_int)) ||
	    !isfinite(*value) || *value < 0 || *value > AMOUNT_MAX)
		return json_report_fail(report, MASTICPITCH_E_INVALID, location,
		    "%s: must be a number from 0 to %.0f", field, AMOUNT_MAX);
	return MASTICPITCH_OK;
}

static int
workspace_read(json_report_t *report, const char *location, const char *name,
    struct json_object *object, const workspace_fields_t *fields, preset_t *preset,
    preset_workspace_t *workspace)
{
	if (!json_name_is_valid(name, strlen(name)) ||
	    !json_object_is_type(object, json_type_object))
		return json_report_fail(report, MASTICPITCH_E_INVALID, location,
		    "must be an object, and its name 1 to 64 of a-z A-Z 0-9 - _ .");
	string_copy(workspace->name, sizeof(workspace->name), name);
	workspace->has_priority =
	    json_object_object_get_ex(object, fields->priority, NULL);
	json_read_uint32(report, location, object, fields->priority, 0,
	    PRESET_PRIORITY_MAX, &workspace->priority);
	amount_read(report, location, object, fields->rate, &workspace->rate);
	amount_read(report, location, object, fields->burst, &workspace->burst);
	keys_read(report, location, object, fields->keys, preset, workspace);
	return report->error;
}

int
workspaces_read(json_report_t *report, const char *location, struct json_object *table,
    const workspace_fields_t *fields, uint32_t part, preset_t *preset)
{
	char place[JSON_LOCATION_MAX_BYTES];
	int error;

	if (!json_object_is_type(table, json_type_object))
		return json_report_fail(
		    report, MASTICPITCH_E_INVALID, location, "must be an object");
	if (json_object_object_length(table) == 0)
		return MASTICPITCH_OK;
	error = workspaces_reserve(preset, (size_t)json_object_object_length(table));
	if (error != MASTICPITCH_OK)
		return json_report_fail(report, error, location,
		    "more than %d, or out of memory", PRESET_WORKSPACES_MAX);
	json_object_object_foreach(table, name, item)
	{
		preset_workspace_t *workspace =
		    &preset->workspaces[preset->workspace_count];

		*workspace = (preset_workspace_t){.part = part};
		snprintf(place, sizeof(place), "%.64s.%.64s", location, name);
		if (workspace_read(report, place, name, item, fields, preset,
			workspace) != MASTICPITCH_OK)
			return report->error;
		preset->workspace_count++;
	}
	return MASTICPITCH_OK;
}

int
workspace_copy(preset_t *preset, const preset_t *older,
    const preset_workspace_t *workspace, uint32_t part)
{
	preset_workspace_t *copy;
	int error = workspaces_reserve(preset, 1);

	if (error == MASTICPITCH_OK)
		error = keys_reserve(preset, workspace->key_count);
	if (error != MASTICPITCH_OK)
		return error;
	copy = &preset->workspaces[preset->workspace_count++];
	*copy = *workspace;
	copy->part = part;
	copy->key_first = (uint32_t)preset->key_count;
	for (uint32_t i = 0; i < workspace->key_count && error == MASTICPITCH_OK; i++)
		error = key_add(preset, workspace_key(older, workspace, i));
	return error;
}

static int
workspace_compare(const void *a, const void *b)
{
	return strcmp(
	    ((const preset_workspace_t *)a)->name, ((const preset_workspace_t *)b)->name);
}

static uint32_t
key_slot(const preset_t *preset, const char *key)
{
	uint64_t hash = hash_string(key);

	return (uint32_t)(hash ^ (hash >> 29)) & preset->key_mask;
}

/* Compares in a time that does not depend on where two keys of a length differ. */
static bool
key_equals(const char *a, const char *b, size_t size)
{
	return strlen(a) == size && sodium_memcmp(a, b, size) == 0;
}

static const preset_key_t *
key_find(const preset_t *preset, const char *key)
{
	size_t size = strlen(key);

	if (preset->key_index == NULL)
		return NULL;
	for (uint32_t slot = key_slot(preset, key); preset->key_index[slot] != 0;
	     slot = (slot + 1) & preset->key_mask) {
		const preset_key_t *found = &preset->keys[preset->key_index[slot] - 1];
		const char *text = (const char *)preset->key_text.data + found->offset;

		if (key_equals(text, key, size))
			return found;
	}
	return NULL;
}

static int
key_index_add(json_report_t *report, preset_t *preset, size_t workspace, size_t key)
{
	const preset_workspace_t *holder = &preset->workspaces[workspace];
	const char *text = (const char *)preset->key_text.data + preset->keys[key].offset;
	const preset_key_t *other = key_find(preset, text);
	uint32_t slot = key_slot(preset, text);

	if (other != NULL && other->workspace == workspace)
		return json_report_fail(report, MASTICPITCH_E_INVALID, "workspaces",
		    "\"%s\": keys %u and %zu are equal", holder->name,
		    (unsigned)(other - preset->keys) - holder->key_first,
		    key - holder->key_first);
	if (other != NULL)
		return json_report_fail(report, MASTICPITCH_E_INVALID, "workspaces",
		    "\"%s\" and \"%s\" hold the same key",
		    preset->workspaces[other->workspace].name, holder->name);
	while (preset->key_index[slot] != 0)
		slot = (slot + 1) & preset->key_mask;
	preset->keys[key].workspace = (uint32_t)workspace;
	preset->key_index[slot] = (uint32_t)key + 1;
	return MASTICPITCH_OK;
}

int
workspaces_finish(json_report_t *report, preset_t *preset)
{
	size_t slots = 16;

	if (preset->workspace_count == 0)
		return MASTICPITCH_OK;
	qsort(preset->workspaces, preset->workspace_count, sizeof(preset_workspace_t),
	    workspace_compare);
	for (size_t i = 1; i < preset->workspace_count; i++) {
		if (strcmp(preset->workspaces[i - 1].name, preset->workspaces[i].name) ==
		    0)
			return json_report_fail(report, MASTICPITCH_E_INVALID,
			    "workspaces", "\"%s\" appears twice",
			    preset->workspaces[i].name);
	}
	while (slots < 2 * preset->key_count)
		slots *= 2;
	preset->key_index = calloc(slots, sizeof(uint32_t));
	if (preset->key_index == NULL)
		return json_report_fail(report, MASTICPITCH_E_NOMEM, "", "out of memory");
	preset->key_mask = (uint32_t)slots - 1;
	for (size_t i = 0; i < preset->workspace_count; i++) {
		const preset_workspace_t *workspace = &preset->workspaces[i];

		for (uint32_t j = 0; j < workspace->key_count; j++) {
			if (key_index_add(report, preset, i, workspace->key_first + j) !=
			    MASTICPITCH_OK)
				return report->error;
		}
	}
	return MASTICPITCH_OK;
}

const preset_workspace_t *
preset_workspace_find(const preset_t *preset, const char *name)
{
	size_t low = 0;
	size_t high = preset->workspace_count;

	while (low < high) {
		size_t middle = low + (high - low) / 2;
		int order = strcmp(preset->workspaces[middle].name, name);

		if (order == 0)
			return &preset->workspaces[middle];
		if (order < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return NULL;
}

const preset_workspace_t *
preset_workspace_find_key(const preset_t *preset, const char *key)
{
	const preset_key_t *found = key_find(preset, key);

	return found == NULL ? NULL : &preset->workspaces[found->workspace];
}
