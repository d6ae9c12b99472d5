/*
 * The command line interface: subcommands, their common options, and output as
 * tables for people or JSON for programs. Not thread-safe.
 */
#ifndef MASTICPITCH_CLI_H
#define MASTICPITCH_CLI_H

#include "buffer.h"
#include "http_client.h"
#include "os.h"

#include <argtable2.h>
#include <ev.h>
#include <json-c/json.h>
#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Exit codes; a stable interface, see docs/OPERATIONS.md. */
typedef enum cli_exit {
	CLI_EXIT_OK = 0,
	CLI_EXIT_INTERNAL = 1,
	CLI_EXIT_SYNTAX = 2,
	CLI_EXIT_INVALID = 3,
	CLI_EXIT_ADDRESS_IN_USE = 4,
	CLI_EXIT_UNREACHABLE = 5,
	CLI_EXIT_CONFLICT = 6,
	CLI_EXIT_UNKNOWN = 7,
	CLI_EXIT_REFUSED = 8,
	CLI_EXIT_TIMEOUT = 9,
	CLI_EXIT_FINDINGS = 10
} cli_exit_t;

#define CLI_TIMEOUT_MS_DEFAULT 10000
#define CLI_ANSWER_MAX_BYTES (16 * 1024 * 1024)
#define CLI_COLUMNS_MAX 12

/* Options of every client subcommand. */
typedef struct cli_options {
	struct arg_lit *help;
	struct arg_lit *json;
	struct arg_str *platform;
	struct arg_str *prefix;
	struct arg_str *node;
	struct arg_str *token;
	struct arg_int *timeout;
	struct arg_end *end;
} cli_options_t;

/* State of one invocation of a client subcommand. */
typedef struct cli {
	const char *command; /* name in messages, such as "preset edit" */
	struct ev_loop *loop;
	http_client_t *http;
	const char *platform_url; /* NULL: not given */
	const char *platform_prefix;
	const char *node_url; /* NULL: not given */
	const char *token;    /* NULL: not given */
	uint64_t deadline;    /* of the complete command; monotonic, ns */
	bool json;
} cli_t;

/* An HTTP answer, copied so that it outlives the call. */
typedef struct cli_answer {
	int error;
	int status;
	buffer_t body;
} cli_answer_t;

typedef struct cli_command {
	const char *name; /* "status", or "preset list" */
	const char *summary;
	const char *example;
	int (*run)(int argc, char **argv, const struct cli_command *command);
} cli_command_t;

/* Runs the program; returns its exit code. */
int cli_main(int argc, char **argv);
/* The command table; its last row has a NULL name. */
const cli_command_t *cli_commands(void);

/* Creates the common options; each subcommand adds them to its argument table. */
void cli_options_create(cli_options_t *options);
/*
 * Parses the command line into the argument table and prepares cli. Returns -1 if the
 * command is to run, or the exit code with which it ends (help, syntax error).
 */
int cli_begin(cli_t *cli, int argc, char **argv, const cli_command_t *command,
    void **table, const cli_options_t *options);
/* Prints the --help text of a subcommand. */
void cli_print_usage(const cli_command_t *command, void **table);
/* Frees what cli_begin() created; the caller frees the table by arg_freetable(). */
void cli_end(cli_t *cli);

#define CLI_ARGUMENTS_MAX 4

/* What a subcommand queries; the options for it come first in its --help. */
typedef enum cli_target { CLI_TARGET_NODE, CLI_TARGET_PLATFORM } cli_target_t;

/*
 * Parses the command line into the subcommand's own arguments and the common
 * options, and calls run, which returns an exit code. Frees the arguments.
 */
int cli_run(int argc, char **argv, const cli_command_t *command, cli_target_t target,
    void *const *arguments, size_t count, int (*run)(cli_t *cli, void *const *arguments));

/* Prints "masticpitch COMMAND: text" to stderr. */
void cli_error(const cli_t *cli, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
/* The exit code for a masticpitch_error_t. */
int cli_exit_code(int error);

/*
 * Sends a GET request to the node's operators' interface and waits for the answer.
 * Returns an exit code; on success *answer is the parsed JSON, freed by the caller.
 */
int cli_node_get(cli_t *cli, const char *path, struct json_object **answer);
/* Same for a text answer; the caller frees answer->body, also after a failure. */
int cli_node_get_text(cli_t *cli, const char *path, cli_answer_t *answer);
/* Runs the loop for some seconds, at most until the command's deadline. */
void cli_sleep(cli_t *cli, double seconds);

/* A table of text cells whose columns are as wide as needed. */
typedef struct cli_table {
	size_t columns;
	size_t count; /* cells */
	size_t capacity;
	char **cells;
} cli_table_t;

void cli_table_init(cli_table_t *table, size_t columns);
void cli_table_add(cli_table_t *table, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
/* Prints and frees the table. */
void cli_table_print(cli_table_t *table);
void cli_json_print(struct json_object *value);

/* A member of a JSON object, or fallback (bool: false) if it is absent. */
const char *cli_json_text(
    struct json_object *object, const char *key, const char *fallback);
int64_t cli_json_number(struct json_object *object, const char *key, int64_t fallback);
bool cli_json_bool(struct json_object *object, const char *key);
/* NULL if absent. */
struct json_object *cli_json_get(struct json_object *object, const char *key);

/* Subcommands, grouped by source file. */
int cli_run_status(int argc, char **argv, const cli_command_t *command);
int cli_run_instances(int argc, char **argv, const cli_command_t *command);
int cli_run_explain(int argc, char **argv, const cli_command_t *command);
int cli_run_quota(int argc, char **argv, const cli_command_t *command);
int cli_run_metrics(int argc, char **argv, const cli_command_t *command);
int cli_run_preset_list(int argc, char **argv, const cli_command_t *command);
int cli_run_preset_show(int argc, char **argv, const cli_command_t *command);
int cli_run_preset_create(int argc, char **argv, const cli_command_t *command);
int cli_run_preset_edit(int argc, char **argv, const cli_command_t *command);
int cli_run_preset_delete(int argc, char **argv, const cli_command_t *command);
int cli_run_preset_check(int argc, char **argv, const cli_command_t *command);
int cli_run_preset_diff(int argc, char **argv, const cli_command_t *command);
int cli_run_preset_history(int argc, char **argv, const cli_command_t *command);
int cli_run_use(int argc, char **argv, const cli_command_t *command);
int cli_run_operation(int argc, char **argv, const cli_command_t *command);

/* How far a version has reached the members, according to a node's status. */
typedef struct cli_rollout {
	int64_t members;     /* alive or leaving, in a reachable zone */
	int64_t updated;     /* of these, at the version or above */
	int64_t unreachable; /* members in unreachable zones */
} cli_rollout_t;

cli_rollout_t cli_rollout_of(struct json_object *status, int64_t version);
/* Prints the members below the version, with their zone, to stderr. */
void cli_print_outdated(struct json_object *status, int64_t version);

#ifdef __cplusplus
}
#endif

#endif
