#include "preset.h"

#include "json_text.h"
#include "preset_index.h"
#include "util.h"
#include "workspace.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define METHOD_BYTES 16
#define BODY_LIMIT_DEFAULT_BYTES (64 * 1024)
#define BODY_LIMIT_UPLOAD_DEFAULT_BYTES (UINT64_C(1) << 30)
#define DEADLINE_MS_DEFAULT 10000
#define DEADLINE_UPLOAD_MS_DEFAULT (60 * 60 * 1000)
#define ATTEMPTS_DEFAULT 3

static const char *const class_names[ROUTE_CLASS_COUNT] = {
    [ROUTE_CALL] = "call",
    [ROUTE_LOOKUP] = "lookup",
    [ROUTE_UPLOAD] = "upload",
    [ROUTE_INTERNAL] = "internal",
};

const char *
route_class_text(route_class_t route_class)
{
	return (unsigned)route_class < ROUTE_CLASS_COUNT ? class_names[route_class]
							 : "none";
}

int
route_class_parse(const char *text, route_class_t *route_class)
{
	for (size_t i = 0; i < ROUTE_CLASS_COUNT; i++) {
		if (strcmp(text, class_names[i]) == 0) {
			*route_class = (route_class_t)i;
			return MASTICPITCH_OK;
		}
	}
	return MASTICPITCH_E_INVALID;
}

void
preset_service_init(preset_service_t *service)
{
	memset(service, 0, sizeof(*service));
	service->in_flight_limit = 1024;
	service->retry_percent = 10;
	service->spill_percent = 80;
	service->slow_start_ms = PRESET_SLOW_START_MS_DEFAULT;
}

static int
service_compare(const void *a, const void *b)
{
	return strcmp(
	    ((const preset_service_t *)a)->name, ((const preset_service_t *)b)->name);
}

static int
service_read(json_report_t *report, const char *location, const char *name,
    struct json_object *object, preset_service_t *service)
{
	static const char *const keys[] = {"queue_limit", "in_flight_limit",
	    "retry_percent", "spill_percent", "slow_start_ms", NULL};

	preset_service_init(service);
	if (!json_name_is_valid(name, strlen(name)))
		return json_report_fail(report, MASTICPITCH_E_INVALID, location,
		    "a name has 1 to 64 characters of a-z, A-Z, 0-9, '-', '_' and '.'");
	if (!json_object_is_type(object, json_type_object))
		return json_report_fail(
		    report, MASTICPITCH_E_INVALID, location, "must be an object");
	string_copy(service->name, sizeof(service->name), name);
	json_keys_check(report, location, object, keys);
	json_read_uint32(report, location, object, "queue_limit", 0, PRESET_QUEUE_MAX,
	    &service->queue_limit);
	json_read_uint32(report, location, object, "in_flight_limit", 1,
	    PRESET_IN_FLIGHT_MAX, &service->in_flight_limit);
	json_read_uint32(
	    report, location, object, "retry_percent", 0, 100, &service->retry_percent);
	json_read_uint32(
	    report, location, object, "spill_percent", 1, 100, &service->spill_percent);
	json_read_uint32(report, location, object, "slow_start_ms", 0,
	    PRESET_SLOW_START_MS_MAX, &service->slow_start_ms);
	return report->error;
}

/* Adds the services of one part; services_finish() checks that names differ. */
static int
services_read(json_report_t *report, const char *prefix, struct json_object *object,
    preset_t *preset)
{
	size_t count;
	preset_service_t *grown;
	char location[JSON_LOCATION_MAX_BYTES];

	if (!json_object_is_type(object, json_type_object)) {
		snprintf(location, sizeof(location), "%sservices", prefix);
		return json_report_fail(
		    report, MASTICPITCH_E_INVALID, location, "must be an object");
	}
	count = (size_t)json_object_object_length(object);
	if (count > PRESET_SERVICES_MAX - preset->service_count)
		return json_report_fail(report, MASTICPITCH_E_LIMIT, "services",
		    "more than %d services", PRESET_SERVICES_MAX);
	if (count == 0)
		return MASTICPITCH_OK;
	grown =
	    realloc(preset->services, (preset->service_count + count) * sizeof(*grown));
	if (grown == NULL)
		return json_report_fail(report, MASTICPITCH_E_NOMEM, "", "out of memory");
	preset->services = grown;
	json_object_object_foreach(object, name, item)
	{
		snprintf(location, sizeof(location), "%sservices.%.64s", prefix, name);
		if (service_read(report, location, name, item,
			&preset->services[preset->service_count]) != MASTICPITCH_OK)
			return report->error;
		preset->service_count++;
	}
	return MASTICPITCH_OK;
}

static int
services_finish(json_report_t *report, preset_t *preset)
{
	if (preset->service_count > 0)
		qsort(preset->services, preset->service_count, sizeof(preset_service_t),
		    service_compare);
	for (size_t i = 1; i < preset->service_count; i++) {
		if (strcmp(preset->services[i - 1].name, preset->services[i].name) == 0)
			return json_report_fail(report, MASTICPITCH_E_INVALID, "services",
			    "\"%s\" appears in two parts", preset->services[i].name);
	}
	return MASTICPITCH_OK;
}

static int
methods_read(json_report_t *report, const char *location, struct json_object *object,
    preset_route_t *route)
{
	struct json_object *list = NULL;

	if (!json_object_object_get_ex(object, "methods", &list))
		return MASTICPITCH_OK;
	if (!json_object_is_type(list, json_type_array) ||
	    json_object_array_length(list) == 0 ||
	    json_object_array_length(list) > PRESET_METHODS_MAX)
		return json_report_fail(report, MASTICPITCH_E_INVALID, location,
		    "methods: must be a list of 1 to %d methods", PRESET_METHODS_MAX);
	for (size_t i = 0; i < json_object_array_length(list); i++) {
		struct json_object *item = json_object_array_get_idx(list, i);
		const char *text = json_object_get_string(item);

		if (!json_object_is_type(item, json_type_string) || text[0] == '\0' ||
		    strlen(text) >= METHOD_BYTES ||
		    strspn(text, "ABCDEFGHIJKLMNOPQRSTUVWXYZ-") != strlen(text))
			return json_report_fail(report, MASTICPITCH_E_INVALID, location,
			    "methods[%zu]: must have 1 to %d characters of A-Z and '-'",
			    i, METHOD_BYTES - 1);
		for (size_t j = 0; j < i; j++) {
			if (strcmp(route->methods[j], text) == 0)
				return json_report_fail(report, MASTICPITCH_E_INVALID,
				    location, "methods: \"%s\" appears twice", text);
		}
		string_copy(route->methods[i], METHOD_BYTES, text);
		route->method_count++;
	}
	return MASTICPITCH_OK;
}

static int
prefix_read(json_report_t *report, const char *location, struct json_object *object,
    preset_route_t *route)
{
	int error = json_read_text(
	    report, location, object, "prefix", route->prefix, sizeof(route->prefix));

	if (error != MASTICPITCH_OK)
		return error;
	if (route->prefix[0] != '/')
		return json_report_fail(report, MASTICPITCH_E_INVALID, location,
		    "prefix: must start with '/'");
	for (const char *c = route->prefix; *c != '\0'; c++) {
		if ((unsigned char)*c <= ' ' || (unsigned char)*c >= 0x7f || *c == '?' ||
		    *c == '#')
			return json_report_fail(report, MASTICPITCH_E_INVALID, location,
			    "prefix: must have no spaces, '?', '#' or non-ASCII bytes");
	}
	return MASTICPITCH_OK;
}

static int
class_read(json_report_t *report, const char *location, struct json_object *object,
    preset_route_t *route)
{
	char name[NAME_BYTES] = "call";
	bool given = false;

	if (json_object_object_get_ex(object, "class", NULL) &&
	    json_read_text(report, location, object, "class", name, sizeof(name)) !=
		MASTICPITCH_OK)
		return report->error;
	if (route_class_parse(name, &route->route_class) != MASTICPITCH_OK)
		return json_report_fail(report, MASTICPITCH_E_INVALID, location,
		    "class: must be lookup, call, upload or internal");
	route->idempotent = route->route_class == ROUTE_LOOKUP;
	json_read_bool(
	    report, location, object, "idempotent", &route->idempotent, &given);
	if (route->route_class == ROUTE_LOOKUP && !route->idempotent)
		return json_report_fail(report, MASTICPITCH_E_INVALID, location,
		    "idempotent: a lookup is always idempotent");
	if (route->idempotent &&
	    (route->route_class == ROUTE_CALL || route->route_class == ROUTE_UPLOAD))
		return json_report_fail(report, MASTICPITCH_E_INVALID, location,
		    "idempotent: class %s is never idempotent", name);
	return report->error;
}

static int
service_reference_read(json_report_t *report, const char *location,
    struct json_object *object, const preset_t *preset, preset_route_t *route)
{
	char name[NAME_BYTES];
	const preset_service_t *service;

	if (json_read_text(report, location, object, "service", name, sizeof(name)) !=
	    MASTICPITCH_OK)
		return report->error;
	service = preset_service_find(preset, name);
	if (service == NULL)
		return json_report_fail(report, MASTICPITCH_E_INVALID, location,
		    "service: \"%s\" is not among the services", name);
	route->service = (uint32_t)(service - preset->services);
	return MASTICPITCH_OK;
}

static int
limits_read(json_report_t *report, const char *location, struct json_object *object,
    preset_route_t *route)
{
	bool upload = route->route_class == ROUTE_UPLOAD;

	route->deadline_ms = upload ? DEADLINE_UPLOAD_MS_DEFAULT : DEADLINE_MS_DEFAULT;
	route->attempts = ATTEMPTS_DEFAULT;
	route->body_limit_bytes =
	    upload ? BODY_LIMIT_UPLOAD_DEFAULT_BYTES : BODY_LIMIT_DEFAULT_BYTES;
	json_read_uint32(report, location, object, "deadline_ms", 1,
	    PRESET_DEADLINE_MS_MAX, &route->deadline_ms);
	route->min_attempt_ms = MIN_OF(PRESET_MIN_ATTEMPT_MS_DEFAULT, route->deadline_ms);
	json_read_uint32(report, location, object, "min_attempt_ms", 0,
	    route->deadline_ms, &route->min_attempt_ms);
	json_read_uint32(report, location, object, "attempts", 1, PRESET_ATTEMPTS_MAX,
	    &route->attempts);
	json_read_uint(report, location, object, "body_limit_bytes", false, 0,
	    PRESET_BODY_LIMIT_MAX_BYTES, &route->body_limit_bytes);
	return report->error;
}

static int
route_read(json_report_t *report, const char *location, struct json_object *object,
    const preset_t *preset, preset_route_t *route)
{
	static const char *const keys[] = {"name", "methods", "prefix", "service",
	    "class", "idempotent", "deadline_ms", "min_attempt_ms", "attempts",
	    "body_limit_bytes", "key_exempt", NULL};
	bool given = false;

	if (!json_object_is_type(object, json_type_object))
		return json_report_fail(
		    report, MASTICPITCH_E_INVALID, location, "must be an object");
	if (json_keys_check(report, location, object, keys) != MASTICPITCH_OK ||
	    json_read_text(report, location, object, "name", route->name,
		sizeof(route->name)) != MASTICPITCH_OK)
		return report->error;
	if (!json_name_is_valid(route->name, strlen(route->name)))
		return json_report_fail(report, MASTICPITCH_E_INVALID, location,
		    "name: has 1 to 64 characters of a-z, A-Z, 0-9, '-', '_' and '.'");
	if (methods_read(report, location, object, route) != MASTICPITCH_OK ||
	    prefix_read(report, location, object, route) != MASTICPITCH_OK ||
	    class_read(report, location, object, route) != MASTICPITCH_OK ||
	    service_reference_read(report, location, object, preset, route) !=
		MASTICPITCH_OK)
		return report->error;
	json_read_bool(
	    report, location, object, "key_exempt", &route->key_exempt, &given);
	return limits_read(report, location, object, route);
}

static int
routes_read(
    json_report_t *report, const char *prefix, struct json_object *list, preset_t *preset)
{
	char location[JSON_LOCATION_MAX_BYTES];
	size_t count;

	snprintf(location, sizeof(location), "%sroutes", prefix);
	if (!json_object_is_type(list, json_type_array))
		return json_report_fail(
		    report, MASTICPITCH_E_INVALID, location, "must be a list");
	count = json_object_array_length(list);
	if (count > PRESET_ROUTES_MAX)
		return json_report_fail(report, MASTICPITCH_E_LIMIT, location,
		    "more than %d routes", PRESET_ROUTES_MAX);
	preset->routes = calloc(MAX_OF(count, 1), sizeof(preset_route_t));
	if (preset->routes == NULL)
		return json_report_fail(report, MASTICPITCH_E_NOMEM, "", "out of memory");
	for (size_t i = 0; i < count; i++) {
		struct json_object *item = json_object_array_get_idx(list, i);
		struct json_object *name = NULL;

		if (json_object_is_type(item, json_type_object))
			json_object_object_get_ex(item, "name", &name);
		snprintf(location, sizeof(location), "%sroutes[%zu]%s%.64s", prefix, i,
		    name != NULL ? " " : "",
		    name != NULL ? json_object_get_string(name) : "");
		if (route_read(report, location, item, preset, &preset->routes[i]) !=
		    MASTICPITCH_OK)
			return report->error;
		preset->route_count++;
	}
	return MASTICPITCH_OK;
}

static int
preset_workspaces_read(json_report_t *report, const char *prefix,
    struct json_object *table, preset_t *preset)
{
	static const workspace_fields_t fields = {.keys = "keys",
	    .priority = "priority",
	    .rate = "rate_per_s",
	    .burst = "burst"};
	static const char *const keys[] = {
	    "keys", "priority", "rate_per_s", "burst", NULL};
	char location[JSON_LOCATION_MAX_BYTES];

	snprintf(location, sizeof(location), "%sworkspaces", prefix);
	if (workspaces_read(report, location, table, &fields, 0, preset) !=
	    MASTICPITCH_OK)
		return report->error;
	json_object_object_foreach(table, name, item)
	{
		snprintf(location, sizeof(location), "%sworkspaces.%.64s", prefix, name);
		if (json_keys_check(report, location, item, keys) != MASTICPITCH_OK)
			break;
	}
	return report->error;
}

static int
format_check(json_report_t *report, const char *prefix, struct json_object *object)
{
	char location[JSON_LOCATION_MAX_BYTES];
	uint64_t format = 0;

	snprintf(location, sizeof(location), "%stop level", prefix);
	return json_read_uint(report, location, object, "format", true, PRESET_FORMAT,
	    PRESET_FORMAT, &format);
}

static int
section_find(json_report_t *report, const char *prefix, struct json_object *object,
    const char *key, struct json_object **section)
{
	char location[JSON_LOCATION_MAX_BYTES];

	snprintf(location, sizeof(location), "%stop level", prefix);
	if (!json_object_object_get_ex(object, key, section))
		return json_report_fail(
		    report, MASTICPITCH_E_INVALID, location, "%s: is missing", key);
	return MASTICPITCH_OK;
}

/* Builds the index and sets *result, or releases the preset after an error. */
static int
preset_finalize(json_report_t *report, preset_t *preset, preset_t **result)
{
	if (report->error == MASTICPITCH_OK)
		preset_index_build(preset, report);
	if (report->error != MASTICPITCH_OK) {
		preset_release(preset);
		return report->error;
	}
	*result = preset;
	return MASTICPITCH_OK;
}

int
preset_parse(
    const char *text, size_t size, preset_t **result, char *message, size_t message_size)
{
	static const char *const keys[] = {
	    "format", "services", "routes", "workspaces", NULL};
	struct json_object *object = NULL;
	struct json_object *services = NULL;
	struct json_object *routes = NULL;
	struct json_object *workspaces = NULL;
	json_report_t report;
	preset_t *preset = calloc(1, sizeof(*preset));

	json_report_init(&report, message, message_size);
	if (preset == NULL)
		return json_report_fail(
		    &report, MASTICPITCH_E_NOMEM, "", "out of memory");
	preset->references = 1;
	if (json_text_parse(text, size, PRESET_TEXT_MAX_BYTES, true, &object, &report) !=
	    MASTICPITCH_OK)
		goto out;
	if (format_check(&report, "", object) == MASTICPITCH_OK &&
	    json_keys_check(&report, "top level", object, keys) == MASTICPITCH_OK &&
	    section_find(&report, "", object, "services", &services) == MASTICPITCH_OK &&
	    section_find(&report, "", object, "routes", &routes) == MASTICPITCH_OK &&
	    services_read(&report, "", services, preset) == MASTICPITCH_OK &&
	    services_finish(&report, preset) == MASTICPITCH_OK &&
	    routes_read(&report, "", routes, preset) == MASTICPITCH_OK &&
	    json_object_object_get_ex(object, "workspaces", &workspaces))
		preset_workspaces_read(&report, "", workspaces, preset);
out:
	json_object_put(object);
	return preset_finalize(&report, preset, result);
}

/* Parses a part and calls read with its section of that name. */
static int
part_read(json_report_t *report, size_t number, const preset_text_t *part,
    const char *key, const char *optional_key, preset_t *preset,
    int (*read)(json_report_t *, const char *, struct json_object *, preset_t *))
{
	const char *const keys[] = {"format", key, optional_key, NULL};
	struct json_object *object = NULL;
	struct json_object *section = NULL;
	char prefix[32];

	snprintf(prefix, sizeof(prefix), "part %zu: ", number);
	if (json_text_parse(part->text, part->size, PRESET_TEXT_MAX_BYTES, false, &object,
		report) == MASTICPITCH_OK &&
	    format_check(report, prefix, object) == MASTICPITCH_OK &&
	    json_keys_check(report, prefix, object, keys) == MASTICPITCH_OK &&
	    section_find(report, prefix, object, key, &section) == MASTICPITCH_OK &&
	    read(report, prefix, section, preset) == MASTICPITCH_OK &&
	    optional_key != NULL &&
	    json_object_object_get_ex(object, optional_key, &section))
		preset_workspaces_read(report, prefix, section, preset);
	json_object_put(object);
	return report->error;
}

int
preset_parse_parts(const preset_text_t *parts, size_t count, preset_t **result,
    char *message, size_t message_size)
{
	json_report_t report;
	preset_t *preset = calloc(1, sizeof(*preset));

	json_report_init(&report, message, message_size);
	if (preset == NULL)
		return json_report_fail(
		    &report, MASTICPITCH_E_NOMEM, "", "out of memory");
	preset->references = 1;
	if (count == 0 || count > PRESET_PARTS_MAX)
		json_report_fail(&report, MASTICPITCH_E_LIMIT, "parts",
		    "must be 1 to %d parts", PRESET_PARTS_MAX);
	for (size_t i = 1; i < count && report.error == MASTICPITCH_OK; i++)
		part_read(&report, i, &parts[i], "services", NULL, preset, services_read);
	if (report.error == MASTICPITCH_OK)
		services_finish(&report, preset);
	if (report.error == MASTICPITCH_OK)
		part_read(
		    &report, 0, &parts[0], "routes", "workspaces", preset, routes_read);
	return preset_finalize(&report, preset, result);
}

int
preset_create(size_t services, size_t routes, preset_t **result)
{
	preset_t *preset;

	if (services > PRESET_SERVICES_MAX || routes > PRESET_ROUTES_MAX)
		return MASTICPITCH_E_LIMIT;
	preset = calloc(1, sizeof(*preset));
	if (preset == NULL)
		return MASTICPITCH_E_NOMEM;
	preset->references = 1;
	preset->services = calloc(MAX_OF(services, 1), sizeof(preset_service_t));
	preset->routes = calloc(MAX_OF(routes, 1), sizeof(preset_route_t));
	if (preset->services == NULL || preset->routes == NULL) {
		preset_release(preset);
		return MASTICPITCH_E_NOMEM;
	}
	*result = preset;
	return MASTICPITCH_OK;
}

int
preset_routes_reserve(preset_t *preset, size_t more)
{
	preset_route_t *grown;

	if (more > PRESET_ROUTES_MAX || preset->route_count > PRESET_ROUTES_MAX - more)
		return MASTICPITCH_E_LIMIT;
	if (more == 0)
		return MASTICPITCH_OK;
	grown = realloc(preset->routes, (preset->route_count + more) * sizeof(*grown));
	if (grown == NULL)
		return MASTICPITCH_E_NOMEM;
	preset->routes = grown;
	memset(&grown[preset->route_count], 0, more * sizeof(*grown));
	return MASTICPITCH_OK;
}

int
preset_services_finish(preset_t *preset, char *message, size_t message_size)
{
	json_report_t report;

	json_report_init(&report, message, message_size);
	return services_finish(&report, preset);
}

int
preset_finish(preset_t *preset, preset_t **result, char *message, size_t message_size)
{
	json_report_t report;

	json_report_init(&report, message, message_size);
	return preset_finalize(&report, preset, result);
}

preset_t *
preset_hold(preset_t *preset)
{
	preset->references++;
	return preset;
}

void
preset_release(preset_t *preset)
{
	if (preset == NULL)
		return;
	INVARIANT(preset->references > 0);
	if (--preset->references > 0)
		return;
	free(preset->services);
	free(preset->routes);
	free(preset->workspaces);
	free(preset->keys);
	free(preset->key_index);
	buffer_free(&preset->key_text);
	free(preset->index);
	free(preset);
}
