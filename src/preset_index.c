#include "preset_index.h"

#include "util.h"
#include "workspace.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

static int
route_compare(const void *a, const void *b)
{
	const preset_route_t *first = a;
	const preset_route_t *second = b;
	size_t first_length = strlen(first->prefix);
	size_t second_length = strlen(second->prefix);
	int order;

	if (first_length != second_length)
		return first_length > second_length ? -1 : 1;
	order = strcmp(first->prefix, second->prefix);
	if (order == 0)
		order = strcmp(first->host, second->host);
	return order != 0 ? order : strcmp(first->name, second->name);
}

static int
route_name_compare(const void *a, const void *b)
{
	return strcmp((*(const preset_route_t *const *)a)->name,
	    (*(const preset_route_t *const *)b)->name);
}

static int
route_names_check(json_report_t *report, const preset_t *preset)
{
	const preset_route_t **sorted =
	    calloc(MAX_OF(preset->route_count, 1), sizeof(preset_route_t *));

	if (sorted == NULL)
		return json_report_fail(report, MASTICPITCH_E_NOMEM, "", "out of memory");
	for (size_t i = 0; i < preset->route_count; i++)
		sorted[i] = &preset->routes[i];
	qsort(sorted, preset->route_count, sizeof(preset_route_t *), route_name_compare);
	for (size_t i = 1; i < preset->route_count; i++) {
		if (strcmp(sorted[i - 1]->name, sorted[i]->name) == 0)
			json_report_fail(report, MASTICPITCH_E_INVALID, "routes",
			    "two routes are named \"%s\"", sorted[i]->name);
	}
	free(sorted);
	return report->error;
}

static bool
routes_overlap(const preset_route_t *a, const preset_route_t *b)
{
	if (a->method_count == 0 || b->method_count == 0)
		return true;
	for (size_t i = 0; i < a->method_count; i++) {
		for (size_t j = 0; j < b->method_count; j++) {
			if (strcmp(a->methods[i], b->methods[j]) == 0)
				return true;
		}
	}
	return false;
}

static bool
host_and_prefix_are_equal(const preset_route_t *a, const preset_route_t *b)
{
	return strcmp(a->prefix, b->prefix) == 0 && strcmp(a->host, b->host) == 0;
}

/*
 * Checks that no two routes of a group have a method in common. The group is
 * [first, end) of the sorted routes, all with the same host and prefix.
 */
static int
group_check(json_report_t *report, const preset_t *preset, size_t first, size_t end)
{
	if (end - first > PRESET_PREFIX_ROUTES_MAX)
		return json_report_fail(report, MASTICPITCH_E_LIMIT, "routes",
		    "more than %d routes under prefix \"%.128s\"",
		    PRESET_PREFIX_ROUTES_MAX, preset->routes[first].prefix);
	for (size_t i = first; i < end; i++) {
		for (size_t j = first; j < i; j++) {
			const preset_route_t *a = &preset->routes[j];
			const preset_route_t *b = &preset->routes[i];

			if (routes_overlap(a, b))
				return json_report_fail(report, MASTICPITCH_E_INVALID,
				    "routes",
				    "\"%s\" and \"%s\" match the same requests under "
				    "prefix \"%.128s\"",
				    a->name, b->name, a->prefix);
		}
	}
	return MASTICPITCH_OK;
}

#define PREFIX_HASH_START UINT64_C(0xcbf29ce484222325)

/* One step of FNV-1a; hashing byte by byte gives all prefixes of a path in one pass. */
static uint64_t
prefix_hash_step(uint64_t hash, char c)
{
	return (hash ^ (uint8_t)c) * UINT64_C(0x100000001b3);
}

static uint32_t
prefix_slot(const preset_t *preset, uint64_t hash)
{
	return (uint32_t)(hash ^ (hash >> 29)) & preset->index_mask;
}

/* Hash of a Host header field's value in lower case, without the port. */
static uint64_t
host_hash(const char *host)
{
	uint64_t hash = PREFIX_HASH_START;

	for (; *host != '\0' && *host != ':'; host++)
		hash = prefix_hash_step(hash, (char)tolower((unsigned char)*host));
	return hash;
}

static bool
host_matches(const char *route_host, const char *host)
{
	size_t length = strcspn(host, ":");

	return strncasecmp(route_host, host, length) == 0 && route_host[length] == '\0';
}

static uint64_t
prefix_hash(const char *host, const char *prefix)
{
	uint64_t hash = host_hash(host);

	for (; *prefix != '\0'; prefix++)
		hash = prefix_hash_step(hash, *prefix);
	return hash;
}

static void
index_add(preset_t *preset, size_t first)
{
	const char *prefix = preset->routes[first].prefix;
	const char *host = preset->routes[first].host;
	uint32_t slot = prefix_slot(preset, prefix_hash(host, prefix));
	size_t length = strlen(prefix);

	while (preset->index[slot] != 0)
		slot = (slot + 1) & preset->index_mask;
	preset->index[slot] = (uint32_t)first + 1;
	preset->has_hosts |= host[0] != '\0';
	preset->lengths[length / 64] |= UINT64_C(1) << (length % 64);
}

int
preset_index_build(preset_t *preset, json_report_t *report)
{
	size_t slots = 16;
	size_t end;

	if (route_names_check(report, preset) != MASTICPITCH_OK ||
	    workspaces_finish(report, preset) != MASTICPITCH_OK)
		return report->error;
	while (slots < 2 * preset->route_count)
		slots *= 2;
	preset->index = calloc(slots, sizeof(uint32_t));
	if (preset->index == NULL)
		return json_report_fail(report, MASTICPITCH_E_NOMEM, "", "out of memory");
	preset->index_mask = (uint32_t)slots - 1;
	qsort(preset->routes, preset->route_count, sizeof(preset_route_t), route_compare);
	for (size_t first = 0; first < preset->route_count; first = end) {
		end = first + 1;
		while (end < preset->route_count &&
		       host_and_prefix_are_equal(
			   &preset->routes[end], &preset->routes[first]))
			end++;
		if (group_check(report, preset, first, end) != MASTICPITCH_OK)
			return report->error;
		index_add(preset, first);
	}
	return MASTICPITCH_OK;
}

const preset_service_t *
preset_service_find(const preset_t *preset, const char *name)
{
	size_t low = 0;
	size_t high = preset->service_count;

	while (low < high) {
		size_t middle = low + (high - low) / 2;
		int order = strcmp(preset->services[middle].name, name);

		if (order == 0)
			return &preset->services[middle];
		if (order < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return NULL;
}

uint32_t
preset_rank(const preset_route_t *route, const preset_workspace_t *workspace)
{
	uint32_t rank = 0;

	if (workspace != NULL && workspace->has_priority)
		rank = workspace->priority * (PRESET_PRIORITY_MAX + 1);
	return route->has_priority ? rank + route->priority : rank;
}

static bool
route_accepts_method(const preset_route_t *route, const char *method)
{
	for (size_t i = 0; i < route->method_count; i++) {
		if (strcmp(route->methods[i], method) == 0)
			return true;
	}
	return route->method_count == 0;
}

/* The route for the method among those whose prefix is path[0..length). */
static const preset_route_t *
prefix_find(const preset_t *preset, const char *host, const char *method,
    const char *path, size_t length, uint64_t hash)
{
	uint32_t slot = prefix_slot(preset, hash);

	for (; preset->index[slot] != 0; slot = (slot + 1) & preset->index_mask) {
		size_t first = preset->index[slot] - 1;
		const preset_route_t *first_route = &preset->routes[first];

		if (strncmp(first_route->prefix, path, length) != 0 ||
		    first_route->prefix[length] != '\0' ||
		    !host_matches(first_route->host, host))
			continue;
		for (size_t i = first;
		     i < preset->route_count &&
		     host_and_prefix_are_equal(&preset->routes[i], first_route);
		     i++) {
			if (route_accepts_method(&preset->routes[i], method))
				return &preset->routes[i];
		}
		return NULL;
	}
	return NULL;
}

static const preset_route_t *
route_find(const preset_t *preset, const char *host, const char *method, const char *path)
{
	const preset_route_t *found = NULL;
	uint64_t hash = host_hash(host);

	for (size_t i = 0;
	     path[i] != '\0' && path[i] != '?' && i + 1 < PRESET_PREFIX_BYTES; i++) {
		const preset_route_t *route;
		size_t length = i + 1;

		hash = prefix_hash_step(hash, path[i]);
		if ((preset->lengths[length / 64] >> (length % 64) & 1) == 0)
			continue;
		route = prefix_find(preset, host, method, path, length, hash);
		if (route != NULL)
			found = route;
	}
	return found;
}

const preset_route_t *
preset_route_find(const preset_t *preset, const char *method, const char *path)
{
	return route_find(preset, "", method, path);
}

const preset_route_t *
preset_route_find_host(
    const preset_t *preset, const char *host, const char *method, const char *path)
{
	const preset_route_t *route = NULL;

	if (preset->has_hosts && host != NULL && host[0] != '\0')
		route = route_find(preset, host, method, path);
	return route != NULL ? route : route_find(preset, "", method, path);
}

route_class_t
preset_route_class(const preset_route_t *route, bool nested)
{
	if (!route->has_priority)
		return route->route_class;
	if (nested)
		return ROUTE_INTERNAL;
	return route->priority <= PRESET_PRIORITY_URGENT_MAX ? ROUTE_CALL : ROUTE_LOOKUP;
}

const preset_service_t *
preset_route_choose_service(
    const preset_t *preset, const preset_route_t *route, double draw)
{
	uint64_t total = 0;
	uint64_t position;

	for (size_t i = 0; i < route->split_count; i++)
		total += route->splits[i].weight;
	if (total == 0)
		return &preset->services[route->service];
	position = (uint64_t)(draw * (double)total);
	for (size_t i = 0; i < route->split_count; i++) {
		const preset_split_t *split = &route->splits[i];

		if (position < split->weight)
			return &preset->services[split->service];
		position -= split->weight;
	}
	return &preset->services[route->splits[route->split_count - 1].service];
}
