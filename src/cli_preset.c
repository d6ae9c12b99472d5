/*
 * Subcommands that read presets: preset list, show, diff, history.
 */
#include "cli_platform.h"

#include "util.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

static void
format_wall_time(uint64_t wall_ms, char text[32])
{
	time_t seconds = (time_t)(wall_ms / 1000);
	struct tm parts;

	gmtime_r(&seconds, &parts);
	strftime(text, 32, "%Y-%m-%dT%H:%M:%SZ", &parts);
}

/*
 * Parses a preset into canonical form with every default filled in. name stands for the
 * preset in messages. Returns an exit code.
 */
static int
preset_canonicalize(cli_t *cli, const char *name, const char *text, size_t size,
    struct json_object **result)
{
	char message[MASTICPITCH_MESSAGE_MAX];
	record_preset_t entry = {0};
	record_parts_t *parts = malloc(sizeof(*parts));
	struct json_object *preset;
	int error;

	if (parts == NULL)
		return CLI_EXIT_INTERNAL;
	record_parts_init(parts);
	error = record_preset_split(
	    name, text, size, &entry, parts, message, sizeof(message));
	if (error != MASTICPITCH_OK) {
		cli_error(cli, "%s", message);
		record_parts_clear(parts);
		free(parts);
		return CLI_EXIT_INVALID;
	}
	preset = json_object_new_object();
	json_object_object_add(preset, "services", json_object_new_object());
	for (size_t i = 0; i < entry.part_count; i++) {
		chunk_t *content = record_parts_find(parts, &entry.parts[i]);
		struct json_tokener *tokener = json_tokener_new();
		struct json_object *part = json_tokener_parse_ex(
		    tokener, (const char *)content->data, (int)content->size);

		cli_preset_add_part(preset, part);
		json_object_put(part);
		json_tokener_free(tokener);
	}
	record_parts_clear(parts);
	free(parts);
	*result = preset;
	return CLI_EXIT_OK;
}

int
cli_preset_file_read(
    cli_t *cli, const char *path, char **text, size_t *size, struct json_object **preset)
{
	int error = file_read(path, PRESET_TEXT_MAX_BYTES, text, size);
	int code;

	if (error != MASTICPITCH_OK) {
		cli_error(
		    cli, "%s: cannot be read: %s", path, masticpitch_strerror(error));
		return CLI_EXIT_INVALID;
	}
	code = preset_canonicalize(cli, "file", *text, *size, preset);
	if (code != CLI_EXIT_OK) {
		free(*text);
		*text = NULL;
	}
	return code;
}

static void
print_list(const record_head_t *head, bool json)
{
	struct json_object *list;
	cli_table_t table;

	if (json) {
		struct json_object *answer = json_object_new_object();

		list = json_object_new_array();
		for (size_t i = 0; i < head->preset_count; i++)
			json_object_array_add(
			    list, json_object_new_string(head->presets[i].name));
		json_object_object_add(
		    answer, "version", json_object_new_int64((int64_t)head->version));
		json_object_object_add(
		    answer, "in_force", json_object_new_string(head->in_force));
		json_object_object_add(answer, "presets", list);
		cli_json_print(answer);
		json_object_put(answer);
		return;
	}
	cli_table_init(&table, 3);
	cli_table_add(&table, "PRESET");
	cli_table_add(&table, "PARTS");
	cli_table_add(&table, "IN FORCE");
	for (size_t i = 0; i < head->preset_count; i++) {
		const record_preset_t *preset = &head->presets[i];

		cli_table_add(&table, "%s", preset->name);
		cli_table_add(&table, "%zu", preset->part_count);
		cli_table_add(
		    &table, "%s", strcmp(preset->name, head->in_force) == 0 ? "yes" : "");
	}
	cli_table_print(&table);
	printf("version %llu\n", (unsigned long long)head->version);
}

static int
list_run(cli_t *cli, void *const *arguments)
{
	cli_session_t session = {0};
	int code = cli_session_open(cli, &session);

	if (code == CLI_EXIT_OK)
		print_list(session.head, cli->json);
	cli_session_close(&session);
	return code;
}

int
cli_run_preset_list(int argc, char **argv, const cli_command_t *command)
{
	return cli_run(argc, argv, command, CLI_TARGET_PLATFORM, NULL, 0, list_run);
}

static int
show_run(cli_t *cli, void *const *arguments)
{
	const struct arg_str *name = arguments[0];
	struct json_object *preset = NULL;
	cli_session_t session = {0};
	int code = cli_session_open(cli, &session);

	if (code == CLI_EXIT_OK)
		code = cli_preset_read(
		    cli, session.platform, session.head, name->sval[0], &preset);
	if (code == CLI_EXIT_OK)
		puts(json_object_to_json_string_ext(preset,
		    cli->json ? JSON_C_TO_STRING_PLAIN
			      : JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_SPACED |
				    JSON_C_TO_STRING_NOSLASHESCAPE));
	json_object_put(preset);
	cli_session_close(&session);
	return code;
}

int
cli_run_preset_show(int argc, char **argv, const cli_command_t *command)
{
	void *arguments[] = {arg_str1(NULL, NULL, "NAME", "preset")};

	return cli_run(argc, argv, command, CLI_TARGET_PLATFORM, arguments,
	    ARRAY_LENGTH(arguments), show_run);
}

static int
diff_run(cli_t *cli, void *const *arguments)
{
	const struct arg_str *name = arguments[0], *other = arguments[1];
	const struct arg_str *file = arguments[2];
	struct json_object *before = NULL, *after = NULL;
	cli_session_t session = {0};
	char *text = NULL;
	size_t size;
	int code;

	if (file->count + other->count != 1) {
		cli_error(cli, "give either OTHER or --file FILE");
		return CLI_EXIT_SYNTAX;
	}
	code = cli_session_open(cli, &session);
	if (code == CLI_EXIT_OK)
		code = cli_preset_read(
		    cli, session.platform, session.head, name->sval[0], &before);
	if (code == CLI_EXIT_OK && file->count > 0)
		code = cli_preset_file_read(cli, file->sval[0], &text, &size, &after);
	else if (code == CLI_EXIT_OK)
		code = cli_preset_read(
		    cli, session.platform, session.head, other->sval[0], &after);
	if (code == CLI_EXIT_OK && cli_preset_diff(stdout, before, after) == 0)
		puts("no differences");
	json_object_put(before);
	json_object_put(after);
	free(text);
	cli_session_close(&session);
	return code;
}

int
cli_run_preset_diff(int argc, char **argv, const cli_command_t *command)
{
	void *arguments[] = {
	    arg_str1(NULL, NULL, "NAME", "preset"),
	    arg_str0(NULL, NULL, "OTHER", "another preset"),
	    arg_str0(NULL, "file", "FILE", "a preset file"),
	};

	return cli_run(argc, argv, command, CLI_TARGET_PLATFORM, arguments,
	    ARRAY_LENGTH(arguments), diff_run);
}

static void
print_history_json(const record_head_t *head)
{
	struct json_object *list = json_object_new_array();
	char at[32];

	for (size_t i = head->history_count; i-- > 0;) {
		const record_commit_t *commit = &head->history[i];
		struct json_object *item = json_object_new_object();

		format_wall_time(commit->at, at);
		json_object_object_add(
		    item, "version", json_object_new_int64((int64_t)commit->version));
		json_object_object_add(item, "at", json_object_new_string(at));
		json_object_object_add(
		    item, "operator", json_object_new_string(commit->operator_name));
		json_object_object_add(
		    item, "action", json_object_new_string(commit->action));
		json_object_object_add(
		    item, "preset", json_object_new_string(commit->preset));
		json_object_object_add(
		    item, "operation", json_object_new_string(commit->operation));
		json_object_array_add(list, item);
	}
	cli_json_print(list);
	json_object_put(list);
}

static void
print_history_table(const record_head_t *head)
{
	cli_table_t table;
	char at[32];

	cli_table_init(&table, 6);
	cli_table_add(&table, "VERSION");
	cli_table_add(&table, "AT");
	cli_table_add(&table, "OPERATOR");
	cli_table_add(&table, "ACTION");
	cli_table_add(&table, "PRESET");
	cli_table_add(&table, "OPERATION");
	for (size_t i = head->history_count; i-- > 0;) {
		const record_commit_t *commit = &head->history[i];

		format_wall_time(commit->at, at);
		cli_table_add(&table, "%llu", (unsigned long long)commit->version);
		cli_table_add(&table, "%s", at);
		cli_table_add(&table, "%s", commit->operator_name);
		cli_table_add(&table, "%s", commit->action);
		cli_table_add(&table, "%s", commit->preset);
		cli_table_add(&table, "%s", commit->operation);
	}
	cli_table_print(&table);
}

static int
history_run(cli_t *cli, void *const *arguments)
{
	cli_session_t session = {0};
	int code = cli_session_open(cli, &session);

	if (code == CLI_EXIT_OK) {
		if (cli->json)
			print_history_json(session.head);
		else
			print_history_table(session.head);
	}
	cli_session_close(&session);
	return code;
}

int
cli_run_preset_history(int argc, char **argv, const cli_command_t *command)
{
	return cli_run(argc, argv, command, CLI_TARGET_PLATFORM, NULL, 0, history_run);
}
