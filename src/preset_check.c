#include "preset_check.h"

#include "util.h"
#include "workspace.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define TEXT_BYTES 640
/* Paths below it are the node's own. */
#define RESERVED_PREFIX "/.masticpitch/"

typedef struct checker {
	preset_report_t report;
	void *context;
	size_t count;
} checker_t;

static void finding_add(checker_t *checker, preset_finding_t finding, const char *section,
    const char *name, const char *format, ...) __attribute__((format(printf, 5, 6)));

static void
finding_add(checker_t *checker, preset_finding_t finding, const char *section,
    const char *name, const char *format, ...)
{
	char place[NAME_BYTES + 16];
	char text[TEXT_BYTES];
	va_list arguments;

	snprintf(place, sizeof(place), "%s.%s", section, name);
	va_start(arguments, format);
	vsnprintf(text, sizeof(text), format, arguments);
	va_end(arguments);
	checker->count++;
	checker->report(checker->context, finding, place, text);
}

const char *
preset_finding_text(preset_finding_t finding)
{
	switch (finding) {
	case PRESET_FINDING_UNUSED:
		return "never matches";
	case PRESET_FINDING_CONTRADICTION:
		return "contradiction";
	case PRESET_FINDING_DIFFERENCE:
	default:
		return "difference";
	}
}

/* Requests whose path has a segment "." or ".." are refused. */
static bool
prefix_has_dot_segment(const char *prefix)
{
	for (const char *at = prefix; *at != '\0'; at++) {
		size_t dots = *at == '/' ? strspn(at + 1, ".") : 0;

		if ((dots == 1 || dots == 2) && at[1 + dots] == '/')
			return true;
	}
	return false;
}

static void
splits_check(checker_t *checker, const preset_t *preset, const preset_route_t *route)
{
	uint64_t total = 0;

	for (size_t i = 0; i < route->split_count; i++)
		total += route->splits[i].weight;
	for (size_t i = 0; i < route->split_count; i++) {
		const char *service = preset->services[route->splits[i].service].name;

		if (route->splits[i].weight == 0 && (total > 0 || i > 0))
			finding_add(checker, PRESET_FINDING_UNUSED, "routes", route->name,
			    "no request goes to \"%s\", whose weight is 0", service);
	}
}

static void
route_check(checker_t *checker, const preset_t *preset, const preset_route_t *route)
{
	const preset_service_t *service = &preset->services[route->service];

	if (prefix_has_dot_segment(route->prefix))
		finding_add(checker, PRESET_FINDING_UNUSED, "routes", route->name,
		    "paths with a segment \".\" or \"..\" are refused");
	if (strncmp(route->prefix, RESERVED_PREFIX, sizeof(RESERVED_PREFIX) - 1) == 0)
		finding_add(checker, PRESET_FINDING_UNUSED, "routes", route->name,
		    "paths below %s are the node's own", RESERVED_PREFIX);
	if (route->method_count == 1 && strcmp(route->methods[0], "CONNECT") == 0)
		finding_add(checker, PRESET_FINDING_UNUSED, "routes", route->name,
		    "the method CONNECT is refused");
	splits_check(checker, preset, route);
	if (route->target_ms > route->deadline_ms)
		finding_add(checker, PRESET_FINDING_CONTRADICTION, "routes", route->name,
		    "the time-out of %" PRIu32 " ms ends before the latency target of "
		    "%" PRIu32 " ms",
		    route->deadline_ms, route->target_ms);
	if (route->min_attempt_ms >= route->deadline_ms)
		finding_add(checker, PRESET_FINDING_CONTRADICTION, "routes", route->name,
		    "an attempt needs %" PRIu32 " ms, all of the time-out of %" PRIu32
		    " ms",
		    route->min_attempt_ms, route->deadline_ms);
	if (route->attempts > 1 && service->retry_percent == 0)
		finding_add(checker, PRESET_FINDING_CONTRADICTION, "routes", route->name,
		    "%" PRIu32 " attempts, but the service \"%s\" has no retry budget",
		    route->attempts, service->name);
}

static bool
service_is_used(const preset_t *preset, uint32_t service)
{
	for (size_t i = 0; i < preset->route_count; i++) {
		const preset_route_t *route = &preset->routes[i];

		if (route->split_count == 0 && route->service == service)
			return true;
		for (size_t j = 0; j < route->split_count; j++) {
			if (route->splits[j].service == service)
				return true;
		}
	}
	return false;
}

static bool
keys_are_needed(const preset_t *preset)
{
	for (size_t i = 0; i < preset->route_count; i++) {
		if (!preset->routes[i].key_exempt)
			return true;
	}
	return false;
}

static void
workspace_check(checker_t *checker, const preset_workspace_t *workspace)
{
	if (workspace->key_count == 0)
		finding_add(checker, PRESET_FINDING_UNUSED, "workspaces", workspace->name,
		    "it has no key");
	if (workspace->rate <= 0 && workspace->burst > 0)
		finding_add(checker, PRESET_FINDING_CONTRADICTION, "workspaces",
		    workspace->name, "a burst of %g without a rate has no effect",
		    workspace->burst);
	if (workspace->rate > 0 && workspace->burst < 1)
		finding_add(checker, PRESET_FINDING_CONTRADICTION, "workspaces",
		    workspace->name, "a burst of %g is less than one request",
		    workspace->burst);
	if (workspace->rate > 0 &&
	    workspace->burst > workspace->rate * PRESET_CHECK_REFILL_MAX_S)
		finding_add(checker, PRESET_FINDING_CONTRADICTION, "workspaces",
		    workspace->name,
		    "a burst of %g takes over %d s to refill at %g requests/s",
		    workspace->burst, PRESET_CHECK_REFILL_MAX_S, workspace->rate);
}

size_t
preset_check(const preset_t *preset, preset_report_t report, void *context)
{
	checker_t checker = {.report = report, .context = context};
	bool needed = keys_are_needed(preset);

	for (size_t i = 0; i < preset->service_count; i++) {
		if (!service_is_used(preset, (uint32_t)i))
			finding_add(&checker, PRESET_FINDING_UNUSED, "services",
			    preset->services[i].name, "no route leads to it");
	}
	for (size_t i = 0; i < preset->route_count; i++)
		route_check(&checker, preset, &preset->routes[i]);
	for (size_t i = 0; i < preset->workspace_count; i++) {
		workspace_check(&checker, &preset->workspaces[i]);
		if (!needed)
			finding_add(&checker, PRESET_FINDING_UNUSED, "workspaces",
			    preset->workspaces[i].name, "no route needs a key");
	}
	return checker.count;
}

/* One field of an entry as text, for comparison. */
typedef struct field {
	const char *name;
	char value[512];
} field_t;

#define FIELDS_MAX 16

typedef struct fields {
	field_t items[FIELDS_MAX];
	size_t count;
} fields_t;

static void field_add(fields_t *fields, const char *name, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

static void
field_add(fields_t *fields, const char *name, const char *format, ...)
{
	field_t *field = &fields->items[fields->count++];
	va_list arguments;

	field->name = name;
	va_start(arguments, format);
	vsnprintf(field->value, sizeof(field->value), format, arguments);
	va_end(arguments);
}

static void
priority_add(fields_t *fields, bool given, uint32_t priority)
{
	if (given)
		field_add(fields, "priority", "%" PRIu32, priority);
	else
		field_add(fields, "priority", "none");
}

/* A service, or the services of a split with their weights. */
static void
target_add(fields_t *fields, const preset_t *preset, const preset_route_t *route)
{
	field_t *field = &fields->items[fields->count++];
	size_t length = 0;

	field->name = "service";
	snprintf(field->value, sizeof(field->value), "%s",
	    preset->services[route->service].name);
	for (size_t i = 0; i < route->split_count && length < sizeof(field->value); i++) {
		const preset_split_t *split = &route->splits[i];

		length += (size_t)snprintf(field->value + length,
		    sizeof(field->value) - length, "%s%s %" PRIu32, i > 0 ? ", " : "",
		    preset->services[split->service].name, split->weight);
	}
}

static void
methods_add(fields_t *fields, const preset_route_t *route)
{
	field_t *field = &fields->items[fields->count++];
	size_t length = 0;

	field->name = "methods";
	snprintf(field->value, sizeof(field->value), "all");
	for (size_t i = 0; i < route->method_count; i++)
		length +=
		    (size_t)snprintf(field->value + length, sizeof(field->value) - length,
			"%s%s", i > 0 ? ", " : "", route->methods[i]);
}

static void
route_fields(const preset_t *preset, const void *entry, fields_t *fields)
{
	const preset_route_t *route = entry;

	methods_add(fields, route);
	field_add(fields, "host", "%s", route->host);
	field_add(fields, "prefix", "%s", route->prefix);
	target_add(fields, preset, route);
	field_add(fields, "class", "%s", route_class_text(route->route_class));
	field_add(fields, "idempotent", "%s", route->idempotent ? "true" : "false");
	field_add(fields, "key_exempt", "%s", route->key_exempt ? "true" : "false");
	priority_add(fields, route->has_priority, route->priority);
	field_add(fields, "target_ms", "%" PRIu32, route->target_ms);
	field_add(fields, "deadline_ms", "%" PRIu32, route->deadline_ms);
	field_add(fields, "min_attempt_ms", "%" PRIu32, route->min_attempt_ms);
	field_add(fields, "attempts", "%" PRIu32, route->attempts);
	field_add(fields, "body_limit_bytes", "%" PRIu64, route->body_limit_bytes);
}

static void
service_fields(const preset_t *preset, const void *entry, fields_t *fields)
{
	const preset_service_t *service = entry;

	field_add(fields, "queue_limit", "%" PRIu32, service->queue_limit);
	field_add(fields, "in_flight_limit", "%" PRIu32, service->in_flight_limit);
	field_add(fields, "retry_percent", "%" PRIu32, service->retry_percent);
	field_add(fields, "spill_percent", "%" PRIu32, service->spill_percent);
	field_add(fields, "slow_start_ms", "%" PRIu32, service->slow_start_ms);
	field_add(fields, "connections_max", "%" PRIu32, service->connections_max);
}

static void
workspace_fields(const preset_t *preset, const void *entry, fields_t *fields)
{
	const preset_workspace_t *workspace = entry;

	priority_add(fields, workspace->has_priority, workspace->priority);
	field_add(fields, "rate", "%g", workspace->rate);
	field_add(fields, "burst", "%g", workspace->burst);
}

static const void *
route_by_name(const preset_t *preset, const char *name)
{
	for (size_t i = 0; i < preset->route_count; i++) {
		if (strcmp(preset->routes[i].name, name) == 0)
			return &preset->routes[i];
	}
	return NULL;
}

static const void *
service_by_name(const preset_t *preset, const char *name)
{
	return preset_service_find(preset, name);
}

static const void *
workspace_by_name(const preset_t *preset, const char *name)
{
	return preset_workspace_find(preset, name);
}

/* A table of a preset's entries; each entry starts with its name. */
typedef struct section {
	const char *name;
	const void *(*find)(const preset_t *preset, const char *name);
	void (*read)(const preset_t *preset, const void *entry, fields_t *fields);
	size_t entry_size;
} section_t;

static const char *
entries_of(const preset_t *preset, const section_t *section, size_t *count)
{
	if (section->find == route_by_name) {
		*count = preset->route_count;
		return (const char *)preset->routes;
	}
	if (section->find == service_by_name) {
		*count = preset->service_count;
		return (const char *)preset->services;
	}
	*count = preset->workspace_count;
	return (const char *)preset->workspaces;
}

static bool
workspace_has_key(
    const preset_t *preset, const preset_workspace_t *workspace, const char *key)
{
	const preset_workspace_t *holder = preset_workspace_find_key(preset, key);

	return holder != NULL && holder == workspace;
}

static size_t
keys_missing(const preset_t *preset, const preset_workspace_t *workspace,
    const preset_t *other_preset, const preset_workspace_t *other)
{
	size_t count = 0;

	for (uint32_t i = 0; i < workspace->key_count; i++)
		count += !workspace_has_key(
		    other_preset, other, workspace_key(preset, workspace, i));
	return count;
}

static void
keys_compare(checker_t *checker, const preset_t *before, const preset_t *after)
{
	for (size_t i = 0; i < after->workspace_count; i++) {
		const preset_workspace_t *workspace = &after->workspaces[i];
		const preset_workspace_t *old =
		    preset_workspace_find(before, workspace->name);
		size_t added, removed;

		if (old == NULL)
			continue;
		added = keys_missing(after, workspace, before, old);
		removed = keys_missing(before, old, after, workspace);
		if (added + removed > 0)
			finding_add(checker, PRESET_FINDING_DIFFERENCE, "workspaces",
			    workspace->name, "keys: %zu added, %zu removed", added,
			    removed);
	}
}

static void
entry_compare(checker_t *checker, const section_t *section, const char *name,
    const preset_t *before, const void *old, const preset_t *after, const void *entry)
{
	fields_t old_fields = {.count = 0};
	fields_t new_fields = {.count = 0};

	section->read(before, old, &old_fields);
	section->read(after, entry, &new_fields);
	for (size_t i = 0; i < new_fields.count; i++) {
		const field_t *field = &new_fields.items[i];

		if (strcmp(field->value, old_fields.items[i].value) != 0)
			finding_add(checker, PRESET_FINDING_DIFFERENCE, section->name,
			    name, "%s: %.250s -> %.250s", field->name,
			    old_fields.items[i].value, field->value);
	}
}

static void
section_compare(checker_t *checker, const section_t *section, const preset_t *before,
    const preset_t *after)
{
	size_t count;
	const char *entries = entries_of(after, section, &count);

	for (size_t i = 0; i < count; i++) {
		const char *entry = entries + i * section->entry_size;
		const void *old = section->find(before, entry);

		if (old == NULL)
			finding_add(checker, PRESET_FINDING_DIFFERENCE, section->name,
			    entry, "added");
		else
			entry_compare(checker, section, entry, before, old, after, entry);
	}
	entries = entries_of(before, section, &count);
	for (size_t i = 0; i < count; i++) {
		const char *entry = entries + i * section->entry_size;

		if (section->find(after, entry) == NULL)
			finding_add(checker, PRESET_FINDING_DIFFERENCE, section->name,
			    entry, "removed");
	}
}

size_t
preset_compare(
    const preset_t *before, const preset_t *after, preset_report_t report, void *context)
{
	static const section_t sections[] = {
	    {"services", service_by_name, service_fields, sizeof(preset_service_t)},
	    {"routes", route_by_name, route_fields, sizeof(preset_route_t)},
	    {"workspaces", workspace_by_name, workspace_fields,
		sizeof(preset_workspace_t)},
	};
	checker_t checker = {.report = report, .context = context};

	for (size_t i = 0; i < ARRAY_LENGTH(sections); i++)
		section_compare(&checker, &sections[i], before, after);
	keys_compare(&checker, before, after);
	return checker.count;
}
