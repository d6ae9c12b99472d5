/*
 * Subcommands that commit: preset create, edit, delete; use; operation.
 */
#include "cli_platform.h"

#include "util.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Interval between two queries of the members' versions. */
#define WAIT_POLL_INTERVAL_S 0.1

/* Options of every subcommand that commits. */
typedef struct commit_options {
	struct arg_str *operator_name;
	struct arg_str *operation;
	struct arg_str *if_version;
	struct arg_lit *wait;
} commit_options_t;

static void
commit_options_create(commit_options_t *options)
{
	options->operator_name = arg_str0(NULL, "operator", "NAME",
	    "operator's name in the history (default: $MASTICPITCH_OPERATOR)");
	options->operation = arg_str0(
	    NULL, "operation", "ID", "operation id, 32 hex digits (default: random)");
	options->if_version = arg_str0(
	    NULL, "if-version", "N", "commit only if the platform is at version N");
	options->wait = arg_lit0(NULL, "wait",
	    "wait until every reachable node has the version; needs --node");
}

/* Fills the request in from the options; returns an exit code. */
static int
request_prepare(cli_t *cli, const commit_options_t *options, commit_request_t *request)
{
	request->operator_name = options->operator_name->count > 0
				     ? options->operator_name->sval[0]
				     : getenv("MASTICPITCH_OPERATOR");
	if (request->operator_name == NULL) {
		cli_error(cli,
		    "no operator given: use --operator NAME or MASTICPITCH_OPERATOR");
		return CLI_EXIT_SYNTAX;
	}
	if (options->operation->count > 0 &&
	    string_copy(request->operation, sizeof(request->operation),
		options->operation->sval[0]) != MASTICPITCH_OK) {
		cli_error(cli, "--operation: must be 32 hex digits");
		return CLI_EXIT_SYNTAX;
	}
	if (options->if_version->count > 0) {
		request->has_expected_version = true;
		if (string_parse_uint(options->if_version->sval[0], RECORD_VERSION_MAX,
			&request->expected_version) != MASTICPITCH_OK) {
			cli_error(cli, "--if-version: must be a version number");
			return CLI_EXIT_SYNTAX;
		}
	}
	if (options->wait->count > 0 && cli->node_url == NULL) {
		cli_error(cli, "--wait needs --node URL or MASTICPITCH_NODE");
		return CLI_EXIT_SYNTAX;
	}
	request->deadline = cli->deadline;
	return CLI_EXIT_OK;
}

/*
 * Reads the largest version that the node given by --node has seen on any member; 0
 * without a node. Nodes accept a commit above it even if the platform lost newer
 * versions and has an older head. Returns an exit code.
 */
static int
version_floor_read(cli_t *cli, uint64_t *floor)
{
	struct json_object *status = NULL;
	int code;

	*floor = 0;
	if (cli->node_url == NULL)
		return CLI_EXIT_OK;
	code = cli_node_get(cli, "/status", &status);
	if (code == CLI_EXIT_OK)
		*floor = (uint64_t)MAX_OF(cli_json_number(status, "version", 0),
		    cli_json_number(status, "version_max", 0));
	json_object_put(status);
	return code;
}

/* Waits until every reachable member has the version; returns an exit code. */
static int
wait_for_rollout(cli_t *cli, uint64_t version)
{
	struct json_object *status = NULL;
	cli_rollout_t rollout = {0};
	int64_t printed = -1;
	int code;

	for (;;) {
		json_object_put(status);
		status = NULL;
		code = cli_node_get(cli, "/status", &status);
		if (code != CLI_EXIT_OK)
			break;
		rollout = cli_rollout_of(status, (int64_t)version);
		if (rollout.updated != printed && !cli->json)
			fprintf(stderr, "version %llu on %lld of %lld reachable nodes\n",
			    (unsigned long long)version, (long long)rollout.updated,
			    (long long)rollout.members);
		printed = rollout.updated;
		if (rollout.members > 0 && rollout.updated == rollout.members)
			break;
		if (os_clock_monotonic() >= cli->deadline) {
			code = CLI_EXIT_TIMEOUT;
			break;
		}
		cli_sleep(cli, WAIT_POLL_INTERVAL_S);
	}
	if (code == CLI_EXIT_TIMEOUT) {
		cli_error(cli,
		    "committed, but not every reachable node has version %llu:",
		    (unsigned long long)version);
		cli_print_outdated(status, (int64_t)version);
	} else if (code == CLI_EXIT_OK && rollout.unreachable > 0) {
		fprintf(stderr, "%lld nodes are in unreachable zones:\n",
		    (long long)rollout.unreachable);
		cli_print_outdated(status, (int64_t)version);
	}
	json_object_put(status);
	return code;
}

static void
print_result_json(const commit_result_t *result)
{
	struct json_object *answer = json_object_new_object();

	json_object_object_add(answer, "outcome",
	    json_object_new_string(result->error == MASTICPITCH_OK	    ? "committed"
				   : result->error == MASTICPITCH_E_UNKNOWN ? "unknown"
				   : result->error == MASTICPITCH_E_CONFLICT
				       ? "conflict"
				       : "refused"));
	json_object_object_add(
	    answer, "version", json_object_new_int64((int64_t)result->version));
	json_object_object_add(
	    answer, "base_version", json_object_new_int64((int64_t)result->base_version));
	json_object_object_add(
	    answer, "operation", json_object_new_string(result->operation));
	json_object_object_add(
	    answer, "message", json_object_new_string(result->message));
	if (result->error == MASTICPITCH_E_CONFLICT) {
		json_object_object_add(answer, "lost_to_version",
		    json_object_new_int64((int64_t)result->lost_to.version));
		json_object_object_add(answer, "lost_to_operator",
		    json_object_new_string(result->lost_to.operator_name));
	}
	cli_json_print(answer);
	json_object_put(answer);
}

static void
print_result(const cli_t *cli, const commit_result_t *result)
{
	if (cli->json) {
		print_result_json(result);
		return;
	}
	if (result->error == MASTICPITCH_OK) {
		printf("version %llu committed (operation %s)\n",
		    (unsigned long long)result->version, result->operation);
		return;
	}
	cli_error(cli, "%s", result->message);
	if (result->error == MASTICPITCH_E_UNKNOWN)
		fprintf(stderr,
		    "look up the outcome later: masticpitch operation %s --base-version "
		    "%llu\n",
		    result->operation, (unsigned long long)result->base_version);
}

/* Commits, prints the result and, with --wait, waits for the nodes. */
static int
commit_and_report(cli_t *cli, platform_t *platform, commit_request_t *request, bool wait)
{
	commit_result_t result = {0};
	int code = version_floor_read(cli, &request->version_floor);

	if (code != CLI_EXIT_OK)
		return code;
	code = cli_commit_run(cli, platform, request, &result);
	if (result.message[0] != '\0')
		print_result(cli, &result);
	if (code == CLI_EXIT_OK && wait)
		code = wait_for_rollout(cli, result.version);
	return code;
}

/* Prints what an edit would change; returns an exit code. */
static int
show_difference(cli_t *cli, platform_t *platform, const char *name,
    struct json_object *after, size_t *difference_count)
{
	struct json_object *before = NULL;
	record_head_t *head = NULL;
	int code = cli_head_read(cli, platform, &head);

	if (code == CLI_EXIT_OK)
		code = cli_preset_read(cli, platform, head, name, &before);
	if (code == CLI_EXIT_OK)
		*difference_count = cli_preset_diff(stderr, before, after);
	json_object_put(before);
	free(head);
	return code;
}

/* Commits that need a preset file: create and edit. */
static int
run_commit_with_file(
    int argc, char **argv, const cli_command_t *command, commit_kind_t kind)
{
	cli_options_t common;
	commit_options_t commit;
	struct arg_str *name = arg_str1(NULL, NULL, "NAME", "preset");
	struct arg_str *file = arg_str1(NULL, "file", "FILE", "preset file");
	struct arg_lit *dry_run =
	    arg_lit0(NULL, "dry-run", "check and show the differences, commit nothing");
	commit_request_t request = {.kind = kind};
	struct json_object *preset = NULL;
	platform_t *platform = NULL;
	char *text = NULL;
	size_t difference_count = 1;
	cli_t cli;
	int code;

	cli_options_create(&common);
	commit_options_create(&commit);
	void *table[] = {name, file, dry_run, commit.operator_name, commit.operation,
	    commit.if_version, commit.wait, common.platform, common.prefix, common.node,
	    common.token, common.timeout, common.json, common.help, common.end};

	code = cli_begin(&cli, argc, argv, command, table, &common);
	if (code >= 0)
		goto out;
	code = request_prepare(&cli, &commit, &request);
	if (code == CLI_EXIT_OK)
		code = cli_preset_file_read(
		    &cli, file->sval[0], &text, &request.size, &preset);
	if (code == CLI_EXIT_OK)
		code = cli_platform_create(&cli, &platform);
	if (code == CLI_EXIT_OK && kind == COMMIT_EDIT)
		code = show_difference(
		    &cli, platform, name->sval[0], preset, &difference_count);
	if (code == CLI_EXIT_OK && difference_count == 0) {
		fprintf(stderr, "no differences, nothing committed\n");
	} else if (code == CLI_EXIT_OK && dry_run->count == 0) {
		request.preset = name->sval[0];
		request.text = text;
		code =
		    commit_and_report(&cli, platform, &request, commit.wait->count > 0);
	}
	json_object_put(preset);
	free(text);
	platform_destroy(platform);
	cli_end(&cli);
out:
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}

int
cli_run_preset_create(int argc, char **argv, const cli_command_t *command)
{
	return run_commit_with_file(argc, argv, command, COMMIT_CREATE);
}

int
cli_run_preset_edit(int argc, char **argv, const cli_command_t *command)
{
	return run_commit_with_file(argc, argv, command, COMMIT_EDIT);
}

/* Commits that need only the preset's name: delete and use. */
static int
run_commit_by_name(
    int argc, char **argv, const cli_command_t *command, commit_kind_t kind)
{
	cli_options_t common;
	commit_options_t commit;
	struct arg_str *name = arg_str1(NULL, NULL, "NAME", "preset");
	commit_request_t request = {.kind = kind};
	platform_t *platform = NULL;
	cli_t cli;
	int code;

	cli_options_create(&common);
	commit_options_create(&commit);
	void *table[] = {name, commit.operator_name, commit.operation, commit.if_version,
	    commit.wait, common.platform, common.prefix, common.node, common.token,
	    common.timeout, common.json, common.help, common.end};

	code = cli_begin(&cli, argc, argv, command, table, &common);
	if (code >= 0)
		goto out;
	code = request_prepare(&cli, &commit, &request);
	if (code == CLI_EXIT_OK)
		code = cli_platform_create(&cli, &platform);
	if (code == CLI_EXIT_OK) {
		request.preset = name->sval[0];
		code =
		    commit_and_report(&cli, platform, &request, commit.wait->count > 0);
	}
	platform_destroy(platform);
	cli_end(&cli);
out:
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}

int
cli_run_preset_delete(int argc, char **argv, const cli_command_t *command)
{
	return run_commit_by_name(argc, argv, command, COMMIT_DELETE);
}

int
cli_run_use(int argc, char **argv, const cli_command_t *command)
{
	return run_commit_by_name(argc, argv, command, COMMIT_USE);
}

int
cli_run_operation(int argc, char **argv, const cli_command_t *command)
{
	cli_options_t common;
	struct arg_str *operation = arg_str1(NULL, NULL, "ID", "operation id");
	struct arg_str *base = arg_str0(NULL, "base-version", "N",
	    "version the commit was based on, as printed with the unknown outcome");
	commit_request_t request = {.kind = COMMIT_LOOKUP};
	commit_result_t result = {0};
	platform_t *platform = NULL;
	cli_t cli;
	int code;

	cli_options_create(&common);
	void *table[] = {operation, base, common.platform, common.prefix, common.timeout,
	    common.json, common.help, common.node, common.token, common.end};

	code = cli_begin(&cli, argc, argv, command, table, &common);
	if (code >= 0)
		goto out;
	code = CLI_EXIT_OK;
	request.deadline = cli.deadline;
	if (string_copy(request.operation, sizeof(request.operation),
		operation->sval[0]) != MASTICPITCH_OK) {
		cli_error(&cli, "ID: must be 32 hex digits");
		code = CLI_EXIT_SYNTAX;
	}
	request.has_expected_version = base->count > 0;
	if (base->count > 0 && string_parse_uint(base->sval[0], RECORD_VERSION_MAX,
				   &request.expected_version) != MASTICPITCH_OK) {
		cli_error(&cli, "--base-version: must be a version number");
		code = CLI_EXIT_SYNTAX;
	}
	if (code == CLI_EXIT_OK)
		code = cli_platform_create(&cli, &platform);
	if (code == CLI_EXIT_OK) {
		code = cli_commit_run(&cli, platform, &request, &result);
		if (result.message[0] != '\0')
			print_result(&cli, &result);
	}
	platform_destroy(platform);
	cli_end(&cli);
out:
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}
