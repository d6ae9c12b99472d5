/*
 * Differences between two presets, by name of service, route and workspace. Moved lines
 * and a different order of keys are no differences. Keys of workspaces are counted, not
 * printed.
 */
#include "cli_platform.h"

#include <stdio.h>
#include <string.h>

/*
 * Prints the fields that differ between two services or routes; a field that one side
 * lacks is shown as "default". Returns their number.
 */
static size_t
diff_fields(FILE *out, const char *kind, const char *name, struct json_object *before,
    struct json_object *after)
{
	size_t count = 0;

	json_object_object_foreach(after, key, value)
	{
		struct json_object *old = cli_json_get(before, key);

		if (json_object_equal(old, value))
			continue;
		fprintf(out, "~ %s %s: %s %s -> %s\n", kind, name, key,
		    old != NULL ? json_object_to_json_string(old) : "default",
		    json_object_to_json_string(value));
		count++;
	}
	json_object_object_foreach(before, old_key, old_value)
	{
		if (cli_json_get(after, old_key) != NULL)
			continue;
		fprintf(out, "~ %s %s: %s %s -> default\n", kind, name, old_key,
		    json_object_to_json_string(old_value));
		count++;
	}
	return count;
}

/*
 * Prints the differences between two objects that hold services or routes by name.
 * Returns their number.
 */
static size_t
diff_members(
    FILE *out, const char *kind, struct json_object *before, struct json_object *after)
{
	size_t count = 0;

	json_object_object_foreach(after, name, value)
	{
		struct json_object *old = cli_json_get(before, name);

		if (old != NULL) {
			count += diff_fields(out, kind, name, old, value);
			continue;
		}
		fprintf(
		    out, "+ %s %s: %s\n", kind, name, json_object_to_json_string(value));
		count++;
	}
	json_object_object_foreach(before, old_name, old_value)
	{
		(void)old_value;
		if (cli_json_get(after, old_name) != NULL)
			continue;
		fprintf(out, "- %s %s\n", kind, old_name);
		count++;
	}
	return count;
}

/* Number of the strings of a list that another list lacks; either may be NULL. */
static size_t
strings_missing(struct json_object *list, struct json_object *other)
{
	size_t count = 0;

	if (!json_object_is_type(list, json_type_array))
		return 0;
	for (size_t i = 0; i < json_object_array_length(list); i++) {
		struct json_object *item = json_object_array_get_idx(list, i);
		bool found = false;

		for (size_t j = 0; json_object_is_type(other, json_type_array) &&
				   j < json_object_array_length(other) && !found;
		     j++)
			found =
			    json_object_equal(item, json_object_array_get_idx(other, j));
		count += !found;
	}
	return count;
}

/* A copy of the workspaces without their keys; the caller holds a reference. */
static struct json_object *
workspaces_without_keys(struct json_object *workspaces)
{
	struct json_object *result = json_object_new_object();

	if (!json_object_is_type(workspaces, json_type_object))
		return result;
	json_object_object_foreach(workspaces, name, workspace)
	{
		struct json_object *copy = NULL;

		if (json_object_deep_copy(workspace, &copy, NULL) != 0)
			continue;
		if (json_object_is_type(copy, json_type_object))
			json_object_object_del(copy, "keys");
		json_object_object_add(result, name, copy);
	}
	return result;
}

static size_t
diff_workspace_keys(FILE *out, struct json_object *before, struct json_object *after)
{
	size_t count = 0;

	if (!json_object_is_type(after, json_type_object))
		return 0;
	json_object_object_foreach(after, name, workspace)
	{
		struct json_object *old =
		    cli_json_get(cli_json_get(before, name), "keys");
		struct json_object *keys = cli_json_get(workspace, "keys");
		size_t added = strings_missing(keys, old);
		size_t removed = strings_missing(old, keys);

		if (added == 0 && removed == 0)
			continue;
		fprintf(out, "~ workspace %s: keys: %zu added, %zu removed\n", name,
		    added, removed);
		count++;
	}
	return count;
}

static size_t
diff_workspaces(FILE *out, struct json_object *before, struct json_object *after)
{
	struct json_object *old_workspaces = workspaces_without_keys(before);
	struct json_object *new_workspaces = workspaces_without_keys(after);
	size_t count = diff_members(out, "workspace", old_workspaces, new_workspaces);

	json_object_put(old_workspaces);
	json_object_put(new_workspaces);
	return count + diff_workspace_keys(out, before, after);
}

/* The services of a preset, keyed by name; the caller holds a reference. */
static struct json_object *
services_of(struct json_object *preset)
{
	struct json_object *services = cli_json_get(preset, "services");

	return json_object_is_type(services, json_type_object) ? json_object_get(services)
							       : json_object_new_object();
}

/* The routes of a preset as an object keyed by name; the caller holds a reference. */
static struct json_object *
routes_of(struct json_object *preset)
{
	struct json_object *routes = cli_json_get(preset, "routes");
	struct json_object *result = json_object_new_object();

	if (!json_object_is_type(routes, json_type_array))
		return result;
	for (size_t i = 0; i < json_object_array_length(routes); i++) {
		struct json_object *route = json_object_array_get_idx(routes, i);

		json_object_object_add(
		    result, cli_json_text(route, "name", "?"), json_object_get(route));
	}
	return result;
}

size_t
cli_preset_diff(FILE *out, struct json_object *before, struct json_object *after)
{
	struct json_object *old_services = services_of(before);
	struct json_object *new_services = services_of(after);
	struct json_object *old_routes = routes_of(before);
	struct json_object *new_routes = routes_of(after);
	size_t count = diff_members(out, "service", old_services, new_services);

	count += diff_members(out, "route", old_routes, new_routes);
	count += diff_workspaces(
	    out, cli_json_get(before, "workspaces"), cli_json_get(after, "workspaces"));
	json_object_put(old_services);
	json_object_put(new_services);
	json_object_put(old_routes);
	json_object_put(new_routes);
	return count;
}
