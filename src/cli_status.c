/*
 * Subcommands that query a node: status, instances, explain, quota, metrics.
 */
#include "cli.h"

#include "util.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define OUTDATED_PRINTED_MAX 20

/* True for members that are expected to have the version in force. */
static bool
member_is_counted(struct json_object *member)
{
	const char *state = cli_json_text(member, "state", "");

	return strcmp(state, "alive") == 0 || strcmp(state, "leaving") == 0;
}

cli_rollout_t
cli_rollout_of(struct json_object *status, int64_t version)
{
	struct json_object *members = cli_json_get(status, "members");
	cli_rollout_t rollout = {0};

	if (!json_object_is_type(members, json_type_array))
		return rollout;
	for (size_t i = 0; i < json_object_array_length(members); i++) {
		struct json_object *member = json_object_array_get_idx(members, i);

		if (!member_is_counted(member))
			continue;
		if (!cli_json_bool(member, "reachable")) {
			rollout.unreachable++;
			continue;
		}
		rollout.members++;
		rollout.updated += cli_json_number(member, "version", 0) >= version;
	}
	return rollout;
}

void
cli_print_outdated(struct json_object *status, int64_t version)
{
	struct json_object *members = cli_json_get(status, "members");
	int printed = 0;

	if (!json_object_is_type(members, json_type_array))
		return;
	for (size_t i = 0; i < json_object_array_length(members); i++) {
		struct json_object *member = json_object_array_get_idx(members, i);
		int64_t member_version = cli_json_number(member, "version", 0);

		if (!member_is_counted(member) || member_version >= version)
			continue;
		if (printed++ == OUTDATED_PRINTED_MAX) {
			fputs("  ...\n", stderr);
			return;
		}
		fprintf(stderr, "  %s %s has version %lld%s\n",
		    cli_json_text(member, "zone", "?"),
		    cli_json_text(member, "node", "?"), (long long)member_version,
		    cli_json_bool(member, "reachable") ? ""
						       : ", its zone is unreachable");
	}
}

static void
format_versions(struct json_object *versions, char *text, size_t size)
{
	size_t used = 0;

	text[0] = '\0';
	if (!json_object_is_type(versions, json_type_object))
		return;
	json_object_object_foreach(versions, version, count)
	{
		int length =
		    snprintf(text + used, size - used, "%s%s: %lld", used > 0 ? ", " : "",
			version, (long long)json_object_get_int64(count));

		if (length < 0 || (size_t)length >= size - used)
			return;
		used += (size_t)length;
	}
}

static void
print_zones(struct json_object *zones)
{
	cli_table_t table;
	char versions[256];

	if (!json_object_is_type(zones, json_type_array))
		return;
	cli_table_init(&table, 5);
	cli_table_add(&table, "ZONE");
	cli_table_add(&table, "ALIVE");
	cli_table_add(&table, "DOWN");
	cli_table_add(&table, "REACHABLE");
	cli_table_add(&table, "NODES BY VERSION");
	for (size_t i = 0; i < json_object_array_length(zones); i++) {
		struct json_object *zone = json_object_array_get_idx(zones, i);

		format_versions(
		    cli_json_get(zone, "versions"), versions, sizeof(versions));
		cli_table_add(&table, "%s", cli_json_text(zone, "zone", "?"));
		cli_table_add(
		    &table, "%lld", (long long)cli_json_number(zone, "alive", 0));
		cli_table_add(
		    &table, "%lld", (long long)cli_json_number(zone, "down", 0));
		cli_table_add(
		    &table, "%s", cli_json_bool(zone, "reachable") ? "yes" : "no");
		cli_table_add(&table, "%s", versions);
	}
	cli_table_print(&table);
}

static void
print_status(struct json_object *status)
{
	struct json_object *platform = cli_json_get(status, "platform");
	struct json_object *alarms = cli_json_get(status, "alarms");

	printf("node      %s  zone %s  region %s%s\n", cli_json_text(status, "node", "?"),
	    cli_json_text(status, "zone", "?"), cli_json_text(status, "region", "?"),
	    cli_json_bool(status, "leaving") ? "  leaving" : "");
	printf("preset    %s  version %lld  accepted %lld ms ago\n",
	    cli_json_text(status, "preset", "none"),
	    (long long)cli_json_number(status, "version", 0),
	    (long long)cli_json_number(status, "version_age_ms", -1));
	printf("platform  %s%s\n\n",
	    cli_json_bool(platform, "reachable") ? "reachable" : "unreachable",
	    cli_json_bool(platform, "regressed") ? ", older than the version in force"
						 : "");
	print_zones(cli_json_get(status, "zones"));
	if (!json_object_is_type(alarms, json_type_array) ||
	    json_object_array_length(alarms) == 0) {
		printf("\nno alarms\n");
		return;
	}
	for (size_t i = 0; i < json_object_array_length(alarms); i++)
		printf("\nALARM %s",
		    json_object_get_string(json_object_array_get_idx(alarms, i)));
	printf("\n");
}

/* Queries the node and prints the answer, as JSON or by print. */
static int
node_print(cli_t *cli, const char *path, void (*print)(struct json_object *answer))
{
	struct json_object *answer = NULL;
	int code = cli_node_get(cli, path, &answer);

	if (code == CLI_EXIT_OK) {
		if (cli->json)
			cli_json_print(answer);
		else
			print(answer);
	}
	json_object_put(answer);
	return code;
}

static int
status_run(cli_t *cli, void *const *arguments)
{
	return node_print(cli, "/status", print_status);
}

int
cli_run_status(int argc, char **argv, const cli_command_t *command)
{
	return cli_run(argc, argv, command, CLI_TARGET_NODE, NULL, 0, status_run);
}

/* Prints nothing if the answer has no list of instances. */
static void
print_instances(struct json_object *answer)
{
	struct json_object *instances = cli_json_get(answer, "instances");
	cli_table_t table;

	if (!json_object_is_type(instances, json_type_array))
		return;
	cli_table_init(&table, 10);
	cli_table_add(&table, "SERVICE");
	cli_table_add(&table, "NODE");
	cli_table_add(&table, "ZONE");
	cli_table_add(&table, "STATE");
	cli_table_add(&table, "SLOTS");
	cli_table_add(&table, "USEFUL");
	cli_table_add(&table, "IN FLIGHT");
	cli_table_add(&table, "LATENCY US");
	cli_table_add(&table, "SPEED %%");
	cli_table_add(&table, "EJECTED");
	for (size_t i = 0; i < json_object_array_length(instances); i++) {
		struct json_object *item = json_object_array_get_idx(instances, i);

		cli_table_add(&table, "%s", cli_json_text(item, "service", "?"));
		cli_table_add(&table, "%s", cli_json_text(item, "node", "?"));
		cli_table_add(&table, "%s", cli_json_text(item, "zone", "?"));
		cli_table_add(&table, "%s", cli_json_text(item, "state", "?"));
		cli_table_add(
		    &table, "%lld", (long long)cli_json_number(item, "slots", 0));
		cli_table_add(
		    &table, "%lld", (long long)cli_json_number(item, "useful", 0));
		cli_table_add(
		    &table, "%lld", (long long)cli_json_number(item, "in_flight", 0));
		cli_table_add(
		    &table, "%lld", (long long)cli_json_number(item, "latency_us", 0));
		cli_table_add(
		    &table, "%lld", (long long)cli_json_number(item, "speed_percent", 0));
		cli_table_add(
		    &table, "%s", cli_json_bool(item, "ejected") ? "yes" : "no");
	}
	cli_table_print(&table);
}

static int
instances_run(cli_t *cli, void *const *arguments)
{
	return node_print(cli, "/instances", print_instances);
}

int
cli_run_instances(int argc, char **argv, const cli_command_t *command)
{
	return cli_run(argc, argv, command, CLI_TARGET_NODE, NULL, 0, instances_run);
}

static void
print_explanation(struct json_object *answer)
{
	cli_table_t table;

	cli_table_init(&table, 2);
	json_object_object_foreach(answer, key, value)
	{
		if (json_object_is_type(value, json_type_array))
			continue;
		cli_table_add(&table, "%s", key);
		cli_table_add(&table, "%s", json_object_get_string(value));
	}
	cli_table_print(&table);
	if (json_object_is_type(cli_json_get(answer, "instances"), json_type_array)) {
		printf("\n");
		print_instances(answer);
	}
}

static int
explain_run(cli_t *cli, void *const *arguments)
{
	const struct arg_str *method = arguments[0], *path = arguments[1];
	char *escaped = curl_easy_escape(NULL, path->sval[0], 0);
	char target[1024];

	snprintf(target, sizeof(target), "/explain?method=%s&path=%s", method->sval[0],
	    escaped != NULL ? escaped : "");
	curl_free(escaped);
	return node_print(cli, target, print_explanation);
}

int
cli_run_explain(int argc, char **argv, const cli_command_t *command)
{
	void *arguments[] = {
	    arg_str1(NULL, NULL, "METHOD", "such as GET"),
	    arg_str1(NULL, NULL, "PATH", "such as /katalogo/list"),
	};

	return cli_run(argc, argv, command, CLI_TARGET_NODE, arguments,
	    ARRAY_LENGTH(arguments), explain_run);
}

static int
quota_run(cli_t *cli, void *const *arguments)
{
	const struct arg_str *workspace = arguments[0];
	char *escaped = curl_easy_escape(NULL, workspace->sval[0], 0);
	char target[512];

	snprintf(target, sizeof(target), "/quota?workspace=%s",
	    escaped != NULL ? escaped : "");
	curl_free(escaped);
	return node_print(cli, target, print_explanation);
}

int
cli_run_quota(int argc, char **argv, const cli_command_t *command)
{
	void *arguments[] = {
	    arg_str1(NULL, NULL, "WORKSPACE", "name of the workspace"),
	};

	return cli_run(argc, argv, command, CLI_TARGET_NODE, arguments,
	    ARRAY_LENGTH(arguments), quota_run);
}

/* Converts the exposition text, in place, to a JSON object from series to value. */
static struct json_object *
metrics_to_json(char *text)
{
	struct json_object *answer = json_object_new_object();
	char *rest;

	for (char *line = strtok_r(text, "\n", &rest); line != NULL;
	     line = strtok_r(NULL, "\n", &rest)) {
		char *space = strrchr(line, ' ');

		if (line[0] == '#' || space == NULL)
			continue;
		*space = '\0';
		json_object_object_add(answer, line,
		    json_object_new_double_s(strtod(space + 1, NULL), space + 1));
	}
	return answer;
}

static int
metrics_run(cli_t *cli, void *const *arguments)
{
	cli_answer_t answer;
	int code = cli_node_get_text(cli, "/metrics", &answer);

	if (code == CLI_EXIT_OK && buffer_text(&answer.body) != NULL) {
		if (cli->json) {
			struct json_object *json =
			    metrics_to_json((char *)answer.body.data);

			cli_json_print(json);
			json_object_put(json);
		} else {
			fputs((const char *)answer.body.data, stdout);
		}
	}
	buffer_free(&answer.body);
	return code;
}

int
cli_run_metrics(int argc, char **argv, const cli_command_t *command)
{
	return cli_run(argc, argv, command, CLI_TARGET_NODE, NULL, 0, metrics_run);
}
