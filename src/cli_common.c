#include "cli.h"

#include "util.h"

#include <curl/curl.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define CLI_CONNECTIONS_MAX 8

void
cli_options_create(cli_options_t *options)
{
	options->help = arg_lit0("h", "help", "print this help");
	options->json = arg_lit0(NULL, "json", "print JSON for programs");
	options->platform = arg_str0(NULL, "platform", "URL",
	    "platform's key-value service (default: $MASTICPITCH_PLATFORM)");
	options->prefix =
	    arg_str0(NULL, "prefix", "TEXT", "key prefix (default: masticpitch/)");
	options->node = arg_str0(NULL, "node", "URL",
	    "operators' interface of a node (default: $MASTICPITCH_NODE)");
	options->token = arg_str0(
	    NULL, "token", "TEXT", "operators' token (default: $MASTICPITCH_TOKEN)");
	options->timeout = arg_int0(
	    NULL, "timeout", "MS", "time limit of the command in ms (default: 10000)");
	options->end = arg_end(8);
}

static const char *
option_text(const struct arg_str *option, const char *variable)
{
	return option->count > 0 ? option->sval[0] : getenv(variable);
}

void
cli_print_usage(const cli_command_t *command, void **table)
{
	printf("masticpitch %s - %s\n\nusage: masticpitch %s", command->name,
	    command->summary, command->name);
	arg_print_syntax(stdout, table, "\n\n");
	arg_print_glossary(stdout, table, "  %-28s %s\n");
	printf("\nexample:\n  %s\n", command->example);
}

int
cli_begin(cli_t *cli, int argc, char **argv, const cli_command_t *command, void **table,
    const cli_options_t *options)
{
	int errors, timeout_ms = CLI_TIMEOUT_MS_DEFAULT;

	memset(cli, 0, sizeof(*cli));
	cli->command = command->name;
	if (arg_nullcheck(table) != 0) {
		cli_error(cli, "out of memory");
		return CLI_EXIT_INTERNAL;
	}
	errors = arg_parse(argc, argv, table);
	if (options->help->count > 0) {
		cli_print_usage(command, table);
		return CLI_EXIT_OK;
	}
	if (errors > 0) {
		arg_print_errors(stderr, options->end, "masticpitch");
		fprintf(stderr, "masticpitch: see \"masticpitch %s --help\"\n",
		    command->name);
		return CLI_EXIT_SYNTAX;
	}
	if (options->timeout->count > 0)
		timeout_ms = options->timeout->ival[0];
	if (timeout_ms < 1) {
		cli_error(cli, "--timeout: must be at least 1 ms");
		return CLI_EXIT_SYNTAX;
	}
	cli->json = options->json->count > 0;
	cli->platform_url = option_text(options->platform, "MASTICPITCH_PLATFORM");
	cli->platform_prefix =
	    options->prefix->count > 0 ? options->prefix->sval[0] : "masticpitch/";
	cli->node_url = option_text(options->node, "MASTICPITCH_NODE");
	cli->token = option_text(options->token, "MASTICPITCH_TOKEN");
	cli->deadline = os_clock_monotonic() + (uint64_t)timeout_ms * NS_PER_MS;
	cli->loop = ev_loop_new(EVFLAG_AUTO);
	if (cli->loop == NULL || http_client_create(cli->loop, CLI_CONNECTIONS_MAX,
				     &cli->http) != MASTICPITCH_OK) {
		cli_error(cli, "out of memory");
		cli_end(cli);
		return CLI_EXIT_INTERNAL;
	}
	return -1;
}

void
cli_end(cli_t *cli)
{
	http_client_destroy(cli->http);
	if (cli->loop != NULL)
		ev_loop_destroy(cli->loop);
	memset(cli, 0, sizeof(*cli));
}

int
cli_run(int argc, char **argv, const cli_command_t *command, cli_target_t target,
    void *const *arguments, size_t count, int (*run)(cli_t *cli, void *const *arguments))
{
	cli_options_t common;
	cli_t cli;
	int code;

	INVARIANT(count <= CLI_ARGUMENTS_MAX);
	cli_options_create(&common);
	void *const node[] = {common.node, common.token, common.timeout, common.json,
	    common.help, common.platform, common.prefix, common.end};
	void *const platform[] = {common.platform, common.prefix, common.timeout,
	    common.json, common.help, common.node, common.token, common.end};
	void *table[CLI_ARGUMENTS_MAX + ARRAY_LENGTH(node)];

	if (count > 0)
		memcpy(table, arguments, count * sizeof(void *));
	memcpy(&table[count], target == CLI_TARGET_NODE ? node : platform, sizeof(node));
	code = cli_begin(&cli, argc, argv, command, table, &common);
	if (code < 0) {
		code = run(&cli, arguments);
		cli_end(&cli);
	}
	arg_freetable(table, count + ARRAY_LENGTH(node));
	return code;
}

void
cli_error(const cli_t *cli, const char *format, ...)
{
	va_list arguments;

	fprintf(stderr, "masticpitch %s: ", cli->command);
	va_start(arguments, format);
	vfprintf(stderr, format, arguments);
	va_end(arguments);
	fputc('\n', stderr);
}

int
cli_exit_code(int error)
{
	switch (error) {
	case MASTICPITCH_OK:
		return CLI_EXIT_OK;
	case MASTICPITCH_E_INVALID:
	case MASTICPITCH_E_LIMIT:
		return CLI_EXIT_INVALID;
	case MASTICPITCH_E_ADDRESS_IN_USE:
		return CLI_EXIT_ADDRESS_IN_USE;
	case MASTICPITCH_E_UNREACHABLE:
		return CLI_EXIT_UNREACHABLE;
	case MASTICPITCH_E_TIMEOUT:
		return CLI_EXIT_TIMEOUT;
	case MASTICPITCH_E_CONFLICT:
	case MASTICPITCH_E_STALE:
		return CLI_EXIT_CONFLICT;
	case MASTICPITCH_E_UNKNOWN:
		return CLI_EXIT_UNKNOWN;
	case MASTICPITCH_E_DENIED:
	case MASTICPITCH_E_NOT_FOUND:
	case MASTICPITCH_E_EXISTS:
		return CLI_EXIT_REFUSED;
	case MASTICPITCH_E_SYNTAX:
		return CLI_EXIT_SYNTAX;
	default:
		return CLI_EXIT_INTERNAL;
	}
}

typedef struct fetch {
	struct ev_loop *loop;
	cli_answer_t *answer;
	bool done;
} fetch_t;

static void
fetch_done(void *state, const http_answer_t *answer)
{
	fetch_t *fetch = state;

	fetch->answer->error = answer->error;
	fetch->answer->status = answer->status;
	if (answer->error == MASTICPITCH_OK)
		fetch->answer->error =
		    buffer_append(&fetch->answer->body, answer->body, answer->body_size);
	fetch->done = true;
	ev_break(fetch->loop, EVBREAK_ALL);
}

int
cli_node_get_text(cli_t *cli, const char *path, cli_answer_t *answer)
{
	char url[1024], authorization[256];
	fetch_t fetch = {.loop = cli->loop, .answer = answer};
	http_request_t request = {.method = "GET",
	    .deadline = cli->deadline,
	    .answer_max_bytes = CLI_ANSWER_MAX_BYTES};
	http_call_t *call;

	memset(answer, 0, sizeof(*answer));
	buffer_init(&answer->body, CLI_ANSWER_MAX_BYTES);
	if (cli->node_url == NULL) {
		cli_error(cli, "no node given: use --node URL or MASTICPITCH_NODE");
		return CLI_EXIT_SYNTAX;
	}
	snprintf(url, sizeof(url), "%s%s", cli->node_url, path);
	snprintf(authorization, sizeof(authorization), "Bearer %s",
	    cli->token != NULL ? cli->token : "");
	request.url = url;
	request.authorization = cli->token != NULL ? authorization : NULL;
	answer->error = http_client_call(cli->http, &request, fetch_done, &fetch, &call);
	if (answer->error == MASTICPITCH_OK) {
		while (!fetch.done)
			ev_run(cli->loop, 0);
	}
	if (answer->error != MASTICPITCH_OK) {
		cli_error(cli, "node %s: %s", cli->node_url,
		    masticpitch_strerror(answer->error));
		/* A read has no effect, so a lost answer is no unknown outcome. */
		if (answer->error == MASTICPITCH_E_UNKNOWN)
			return CLI_EXIT_UNREACHABLE;
		return cli_exit_code(answer->error);
	}
	if (answer->status == 401) {
		cli_error(cli, "node %s: missing or wrong token", cli->node_url);
		return CLI_EXIT_REFUSED;
	}
	if (answer->status != 200 && answer->status != 404) {
		cli_error(cli, "node %s: unexpected HTTP status %d", cli->node_url,
		    answer->status);
		return CLI_EXIT_UNREACHABLE;
	}
	return CLI_EXIT_OK;
}

int
cli_node_get(cli_t *cli, const char *path, struct json_object **answer)
{
	cli_answer_t text;
	int code = cli_node_get_text(cli, path, &text);

	*answer = NULL;
	if (code != CLI_EXIT_OK)
		goto out;
	*answer = json_tokener_parse(buffer_text(&text.body));
	if (!json_object_is_type(*answer, json_type_object)) {
		cli_error(cli, "node %s: the answer is not JSON", cli->node_url);
		code = CLI_EXIT_UNREACHABLE;
	} else if (text.status == 404) {
		cli_error(cli, "%s", cli_json_text(*answer, "error", "not found"));
		code = CLI_EXIT_REFUSED;
	}
	if (code != CLI_EXIT_OK) {
		json_object_put(*answer);
		*answer = NULL;
	}
out:
	buffer_free(&text.body);
	return code;
}

static void
sleep_callback(struct ev_loop *loop, ev_timer *watcher, int events)
{
	ev_break(loop, EVBREAK_ALL);
}

void
cli_sleep(cli_t *cli, double seconds)
{
	uint64_t now = os_clock_monotonic();
	ev_timer timer;

	if (now >= cli->deadline)
		return;
	seconds = MIN_OF(seconds, (double)(cli->deadline - now) / (double)NS_PER_S);
	ev_timer_init(&timer, sleep_callback, seconds, 0.);
	ev_timer_start(cli->loop, &timer);
	ev_run(cli->loop, 0);
	ev_timer_stop(cli->loop, &timer);
}

void
cli_table_init(cli_table_t *table, size_t columns)
{
	memset(table, 0, sizeof(*table));
	INVARIANT(columns <= CLI_COLUMNS_MAX);
	table->columns = columns;
}

void
cli_table_add(cli_table_t *table, const char *format, ...)
{
	va_list arguments;
	char *cell = NULL;
	char **cells;

	va_start(arguments, format);
	if (vasprintf(&cell, format, arguments) < 0)
		cell = NULL;
	va_end(arguments);
	if (table->count == table->capacity) {
		size_t capacity = MAX_OF(64, 2 * table->capacity);

		cells = realloc(table->cells, capacity * sizeof(*cells));
		if (cells == NULL) {
			free(cell);
			return;
		}
		table->cells = cells;
		table->capacity = capacity;
	}
	table->cells[table->count++] = cell;
}

void
cli_table_print(cli_table_t *table)
{
	size_t widths[CLI_COLUMNS_MAX] = {0};

	for (size_t i = 0; i < table->count; i++) {
		size_t length = table->cells[i] != NULL ? strlen(table->cells[i]) : 0;

		widths[i % table->columns] = MAX_OF(widths[i % table->columns], length);
	}
	for (size_t i = 0; i < table->count; i++) {
		size_t column = i % table->columns;
		bool last = column + 1 == table->columns;

		printf("%-*s%s", last ? 0 : (int)widths[column],
		    table->cells[i] != NULL ? table->cells[i] : "", last ? "\n" : "  ");
		free(table->cells[i]);
	}
	free(table->cells);
	memset(table, 0, sizeof(*table));
}

void
cli_json_print(struct json_object *value)
{
	puts(json_object_to_json_string_ext(value, JSON_C_TO_STRING_PLAIN));
}

struct json_object *
cli_json_get(struct json_object *object, const char *key)
{
	struct json_object *value = NULL;

	if (!json_object_is_type(object, json_type_object))
		return NULL;
	json_object_object_get_ex(object, key, &value);
	return value;
}

const char *
cli_json_text(struct json_object *object, const char *key, const char *fallback)
{
	struct json_object *value = cli_json_get(object, key);

	return value != NULL ? json_object_get_string(value) : fallback;
}

int64_t
cli_json_number(struct json_object *object, const char *key, int64_t fallback)
{
	struct json_object *value = cli_json_get(object, key);

	return value != NULL ? json_object_get_int64(value) : fallback;
}

bool
cli_json_bool(struct json_object *object, const char *key)
{
	return json_object_get_boolean(cli_json_get(object, key));
}
