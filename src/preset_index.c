#include "preset_index.h"

#include "util.h"

#include <stdlib.h>
#include <string.h>

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

/* Routes with one prefix, [first, end) of the sorted routes, must not overlap. */
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

/* One step of FNV-1a, so that all prefixes of a path are hashed in one pass. */
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

static uint64_t
prefix_hash(const char *prefix)
{
	uint64_t hash = PREFIX_HASH_START;

	for (; *prefix != '\0'; prefix++)
		hash = prefix_hash_step(hash, *prefix);
	return hash;
}

static void
index_add(preset_t *preset, size_t first)
{
	const char *prefix = preset->routes[first].prefix;
	uint32_t slot = prefix_slot(preset, prefix_hash(prefix));
	size_t length = strlen(prefix);

	while (preset->index[slot] != 0)
		slot = (slot + 1) & preset->index_mask;
	preset->index[slot] = (uint32_t)first + 1;
	preset->lengths[length / 64] |= UINT64_C(1) << (length % 64);
}

int
preset_index_build(preset_t *preset, json_report_t *report)
{
	size_t slots = 16;
	size_t end;

	if (route_names_check(report, preset) != MASTICPITCH_OK)
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
		while (
		    end < preset->route_count &&
		    strcmp(preset->routes[end].prefix, preset->routes[first].prefix) == 0)
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

static bool
route_takes_method(const preset_route_t *route, const char *method)
{
	for (size_t i = 0; i < route->method_count; i++) {
		if (strcmp(route->methods[i], method) == 0)
			return true;
	}
	return route->method_count == 0;
}

/* The route for the method among those whose prefix is path[0..length). */
static const preset_route_t *
prefix_find(const preset_t *preset, const char *method, const char *path, size_t length,
    uint64_t hash)
{
	uint32_t slot = prefix_slot(preset, hash);

	for (; preset->index[slot] != 0; slot = (slot + 1) & preset->index_mask) {
		size_t first = preset->index[slot] - 1;
		const char *prefix = preset->routes[first].prefix;

		if (strncmp(prefix, path, length) != 0 || prefix[length] != '\0')
			continue;
		for (size_t i = first; i < preset->route_count &&
				       strcmp(preset->routes[i].prefix, prefix) == 0;
		     i++) {
			if (route_takes_method(&preset->routes[i], method))
				return &preset->routes[i];
		}
		return NULL;
	}
	return NULL;
}

const preset_route_t *
preset_route_find(const preset_t *preset, const char *method, const char *path)
{
	const preset_route_t *found = NULL;
	uint64_t hash = PREFIX_HASH_START;

	for (size_t i = 0;
	     path[i] != '\0' && path[i] != '?' && i + 1 < PRESET_PREFIX_BYTES; i++) {
		const preset_route_t *route;
		size_t length = i + 1;

		hash = prefix_hash_step(hash, path[i]);
		if ((preset->lengths[length / 64] >> (length % 64) & 1) == 0)
			continue;
		route = prefix_find(preset, method, path, length, hash);
		if (route != NULL)
			found = route;
	}
	return found;
}
