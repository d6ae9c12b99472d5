#include "record.h"

#include "json_text.h"
#include "workspace.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void
record_parts_init(record_parts_t *parts)
{
	parts->count = 0;
}

void
record_parts_clear(record_parts_t *parts)
{
	for (size_t i = 0; i < parts->count; i++)
		chunk_release(parts->items[i].content);
	parts->count = 0;
}

int
record_parts_add(record_parts_t *parts, chunk_t *content)
{
	digest_t digest;

	if (content->size > RECORD_PART_MAX_BYTES)
		return MASTICPITCH_E_LIMIT;
	digest_compute(content->data, content->size, &digest);
	if (record_parts_find(parts, &digest) != NULL)
		return MASTICPITCH_OK;
	if (parts->count == ARRAY_LENGTH(parts->items))
		return MASTICPITCH_E_LIMIT;
	parts->items[parts->count].digest = digest;
	parts->items[parts->count++].content = chunk_hold(content);
	return MASTICPITCH_OK;
}

chunk_t *
record_parts_find(const record_parts_t *parts, const digest_t *digest)
{
	for (size_t i = 0; i < parts->count; i++) {
		if (digest_equal(&parts->items[i].digest, digest))
			return parts->items[i].content;
	}
	return NULL;
}

void
record_parts_retain(record_parts_t *parts, const record_head_t *a, const record_head_t *b)
{
	size_t kept_count = 0;

	for (size_t i = 0; i < parts->count; i++) {
		const digest_t *digest = &parts->items[i].digest;

		if ((a != NULL && record_head_has_part(a, digest)) ||
		    (b != NULL && record_head_has_part(b, digest)))
			parts->items[kept_count++] = parts->items[i];
		else
			chunk_release(parts->items[i].content);
	}
	parts->count = kept_count;
}

static bool
digest_is_listed(const digest_t *list, size_t count, const digest_t *digest)
{
	for (size_t i = 0; i < count; i++) {
		if (digest_equal(&list[i], digest))
			return true;
	}
	return false;
}

size_t
record_parts_missing(
    const record_parts_t *parts, const record_head_t *head, digest_t *missing)
{
	size_t count = 0;

	for (size_t i = 0; i < head->preset_count; i++) {
		for (size_t j = 0; j < head->presets[i].part_count; j++) {
			const digest_t *digest = &head->presets[i].parts[j];

			if (record_parts_find(parts, digest) == NULL &&
			    !digest_is_listed(missing, count, digest))
				missing[count++] = *digest;
		}
	}
	return count;
}

size_t
record_head_diff(const record_head_t *head, const record_head_t *older, digest_t *changed)
{
	size_t count = 0;

	for (size_t i = 0; i < head->preset_count; i++) {
		for (size_t j = 0; j < head->presets[i].part_count; j++) {
			const digest_t *digest = &head->presets[i].parts[j];

			if ((older == NULL || !record_head_has_part(older, digest)) &&
			    !digest_is_listed(changed, count, digest))
				changed[count++] = *digest;
		}
	}
	return count;
}

static int
service_format(const preset_service_t *service, bool first, buffer_t *text)
{
	return buffer_printf(text,
	    "%s\"%s\":{\"queue_limit\":%" PRIu32 ",\"in_flight_limit\":%" PRIu32
	    ",\"retry_percent\":%" PRIu32 ",\"spill_percent\":%" PRIu32
	    ",\"slow_start_ms\":%" PRIu32 "}",
	    first ? "" : ",", service->name, service->queue_limit,
	    service->in_flight_limit, service->retry_percent, service->spill_percent,
	    service->slow_start_ms);
}

/* Formats the services of one bucket; leaves text empty if it has none. */
static int
bucket_format(const preset_t *preset, size_t bucket, buffer_t *text)
{
	bool first = true;
	int error = MASTICPITCH_OK;

	for (size_t i = 0; i < preset->service_count && error == MASTICPITCH_OK; i++) {
		const preset_service_t *service = &preset->services[i];

		if (hash_string(service->name) % RECORD_BUCKETS != bucket)
			continue;
		if (first)
			error = buffer_printf(
			    text, "{\"format\":%d,\"services\":{", PRESET_FORMAT);
		if (error == MASTICPITCH_OK)
			error = service_format(service, first, text);
		first = false;
	}
	if (!first && error == MASTICPITCH_OK)
		error = buffer_printf(text, "}}");
	return error;
}

/* Formats a JSON string; prefixes may have quotes and backslashes. */
static int
text_format(const char *value, buffer_t *text)
{
	int error = buffer_append(text, "\"", 1);

	for (; *value != '\0' && error == MASTICPITCH_OK; value++) {
		if (*value == '"' || *value == '\\')
			error = buffer_append(text, "\\", 1);
		if (error == MASTICPITCH_OK)
			error = buffer_append(text, value, 1);
	}
	return error == MASTICPITCH_OK ? buffer_append(text, "\"", 1) : error;
}

static int
methods_format(const preset_route_t *route, buffer_t *text)
{
	int error = MASTICPITCH_OK;

	if (route->method_count == 0)
		return MASTICPITCH_OK;
	for (size_t i = 0; i < route->method_count && error == MASTICPITCH_OK; i++)
		error = buffer_printf(
		    text, "%s\"%s\"", i > 0 ? "," : "\"methods\":[", route->methods[i]);
	return error == MASTICPITCH_OK ? buffer_printf(text, "],") : error;
}

static int
route_format(const preset_t *preset, const preset_route_t *route, buffer_t *text)
{
	int error = buffer_printf(text, "{\"name\":\"%s\",", route->name);

	if (error == MASTICPITCH_OK)
		error = methods_format(route, text);
	if (error == MASTICPITCH_OK)
		error = buffer_printf(text, "\"prefix\":");
	if (error == MASTICPITCH_OK)
		error = text_format(route->prefix, text);
	if (error != MASTICPITCH_OK)
		return error;
	return buffer_printf(text,
	    ",\"service\":\"%s\",\"class\":\"%s\",\"idempotent\":%s,\"deadline_ms\":"
	    "%" PRIu32 ",\"min_attempt_ms\":%" PRIu32 ",\"attempts\":%" PRIu32
	    ",\"body_limit_bytes\":%" PRIu64 "%s}",
	    preset->services[route->service].name, route_class_text(route->route_class),
	    route->idempotent ? "true" : "false", route->deadline_ms,
	    route->min_attempt_ms, route->attempts, route->body_limit_bytes,
	    route->key_exempt ? ",\"key_exempt\":true" : "");
}

static int
workspace_format(const preset_t *preset, const preset_workspace_t *workspace, bool first,
    buffer_t *text)
{
	int error = buffer_printf(
	    text, "%s\"%s\":{\"keys\":[", first ? "" : ",", workspace->name);

	for (uint32_t i = 0; i < workspace->key_count && error == MASTICPITCH_OK; i++) {
		if (i > 0)
			error = buffer_append(text, ",", 1);
		if (error == MASTICPITCH_OK)
			error = text_format(workspace_key(preset, workspace, i), text);
	}
	if (error == MASTICPITCH_OK && workspace->has_priority)
		error =
		    buffer_printf(text, "],\"priority\":%" PRIu32, workspace->priority);
	else if (error == MASTICPITCH_OK)
		error = buffer_printf(text, "]");
	return error == MASTICPITCH_OK
		   ? buffer_printf(text, ",\"rate_per_s\":%.17g,\"burst\":%.17g}",
			 workspace->rate, workspace->burst)
		   : error;
}

static int
workspaces_format(const preset_t *preset, buffer_t *text)
{
	int error;

	if (preset->workspace_count == 0)
		return MASTICPITCH_OK;
	error = buffer_printf(text, ",\"workspaces\":{");
	for (size_t i = 0; i < preset->workspace_count && error == MASTICPITCH_OK; i++)
		error = workspace_format(preset, &preset->workspaces[i], i == 0, text);
	return error == MASTICPITCH_OK ? buffer_printf(text, "}") : error;
}

static int
routes_format(const preset_t *preset, buffer_t *text)
{
	int error = buffer_printf(text, "{\"format\":%d,\"routes\":[", PRESET_FORMAT);

	for (size_t i = 0; i < preset->route_count && error == MASTICPITCH_OK; i++) {
		if (i > 0)
			error = buffer_printf(text, ",");
		if (error == MASTICPITCH_OK)
			error = route_format(preset, &preset->routes[i], text);
	}
	if (error == MASTICPITCH_OK)
		error = buffer_printf(text, "]");
	if (error == MASTICPITCH_OK)
		error = workspaces_format(preset, text);
	return error == MASTICPITCH_OK ? buffer_printf(text, "}") : error;
}

/* Adds a text to the parts and its digest to the preset. */
static int
part_finish(buffer_t *text, record_preset_t *preset, record_parts_t *parts)
{
	chunk_t *content = chunk_copy(text->data, text->size);
	int error;

	if (content == NULL)
		return MASTICPITCH_E_NOMEM;
	digest_compute(
	    content->data, content->size, &preset->parts[preset->part_count++]);
	error = record_parts_add(parts, content);
	chunk_release(content);
	return error;
}

static int
preset_split(const preset_t *source, record_preset_t *preset, record_parts_t *parts)
{
	buffer_t text;
	int error;

	buffer_init(&text, RECORD_PART_MAX_BYTES);
	error = routes_format(source, &text);
	if (error == MASTICPITCH_OK)
		error = part_finish(&text, preset, parts);
	for (size_t i = 0; i < RECORD_BUCKETS && error == MASTICPITCH_OK; i++) {
		buffer_consume(&text, text.size);
		error = bucket_format(source, i, &text);
		if (error == MASTICPITCH_OK && text.size > 0)
			error = part_finish(&text, preset, parts);
	}
	buffer_free(&text);
	return error;
}

int
record_preset_split(const char *name, const char *text, size_t size,
    record_preset_t *preset, record_parts_t *parts, char *message, size_t message_size)
{
	preset_t *source = NULL;
	json_report_t report;
	int error = preset_parse(text, size, &source, message, message_size);

	if (error != MASTICPITCH_OK)
		return error;
	json_report_init(&report, message, message_size);
	memset(preset, 0, sizeof(*preset));
	if (!json_name_is_valid(name, strlen(name))) {
		json_report_fail(&report, MASTICPITCH_E_INVALID, "name",
		    "a preset's name has 1 to 64 characters of a-z, A-Z, 0-9, '-', '_' "
		    "and '.'");
	} else {
		string_copy(preset->name, sizeof(preset->name), name);
		error = preset_split(source, preset, parts);
		if (error != MASTICPITCH_OK)
			json_report_fail(&report, error, "routes",
			    "a part of the preset exceeds %d bytes, or out of memory",
			    RECORD_PART_MAX_BYTES);
	}
	preset_release(source);
	return report.error;
}

int
record_preset_parse(const record_preset_t *preset, const record_parts_t *parts,
    preset_t **result, char *message, size_t message_size)
{
	preset_text_t texts[RECORD_PRESET_PARTS_MAX];
	char reason[MASTICPITCH_MESSAGE_MAX];
	int error;

	for (size_t i = 0; i < preset->part_count; i++) {
		const chunk_t *content = record_parts_find(parts, &preset->parts[i]);

		if (content == NULL) {
			snprintf(message, message_size, "preset %s: part %zu is missing",
			    preset->name, i);
			return MASTICPITCH_E_NOT_FOUND;
		}
		texts[i] = (preset_text_t){(const char *)content->data, content->size};
	}
	error =
	    preset_parse_parts(texts, preset->part_count, result, reason, sizeof(reason));
	if (error != MASTICPITCH_OK)
		snprintf(message, message_size, "preset %s: %s", preset->name, reason);
	return error;
}

size_t
record_orphans_select(record_stored_t *stored, size_t count, const record_head_t *head,
    const record_head_t *replaced, uint64_t head_revision)
{
	size_t selected = 0;

	for (size_t i = 0; i < count; i++) {
		if (stored[i].revision >= head_revision ||
		    record_head_has_part(head, &stored[i].digest) ||
		    (replaced != NULL &&
			record_head_has_part(replaced, &stored[i].digest)))
			continue;
		stored[selected++] = stored[i];
	}
	return selected;
}
