/*
 * The command table and the subcommands that need neither a node nor the
 * platform: node, check, completion, manual, version.
 */
#include "cli.h"

#include "masticpitch/masticpitch.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define COMMAND_WORDS_MAX 2

static int run_node(int argc, char **argv, const cli_command_t *command);
static int run_check(int argc, char **argv, const cli_command_t *command);
static int run_completion(int argc, char **argv, const cli_command_t *command);
static int run_manual(int argc, char **argv, const cli_command_t *command);
static int run_version(int argc, char **argv, const cli_command_t *command);

static const cli_command_t commands[] = {
    {"node", "run the node of a backend server host",
	"masticpitch node --settings node.json", run_node},
    {"check", "check a settings or preset file without starting anything",
	"masticpitch check --preset ordinary.json", run_check},
    {"preset list", "list the presets and mark the one in force",
	"masticpitch preset list --platform http://127.0.0.1:9000", cli_run_preset_list},
    {"preset show", "print a preset", "masticpitch preset show ordinary",
	cli_run_preset_show},
    {"preset create", "commit a new preset from a file",
	"masticpitch preset create peak --file peak.json --operator ana",
	cli_run_preset_create},
    {"preset edit", "commit a changed preset from a file",
	"masticpitch preset edit peak --file peak.json --operator ana",
	cli_run_preset_edit},
    {"preset delete", "delete a preset that is not in force",
	"masticpitch preset delete peak --operator ana", cli_run_preset_delete},
    {"preset check", "check a configuration file before it is sent",
	"masticpitch preset check peak.json --against ordinary.json",
	cli_run_preset_check},
    {"preset diff", "compare a preset with a file or with another preset",
	"masticpitch preset diff peak --file peak.json", cli_run_preset_diff},
    {"preset history", "list the last commits", "masticpitch preset history",
	cli_run_preset_history},
    {"use", "put a preset in force",
	"masticpitch use peak --operator ana --wait --node http://127.1.1.1:8082",
	cli_run_use},
    {"operation", "look up whether a commit with an unknown outcome took effect",
	"masticpitch operation 5f0c2b7a9d1e4f60", cli_run_operation},
    {"status", "show a node's view of platform, zones, versions and alarms",
	"masticpitch status --node http://127.1.1.1:8082", cli_run_status},
    {"instances", "list the instances that a node routes to",
	"masticpitch instances --json", cli_run_instances},
    {"explain", "show which route a request takes and why",
	"masticpitch explain GET /katalogo/list", cli_run_explain},
    {"quota", "show a workspace's quota and the node that lends it",
	"masticpitch quota north", cli_run_quota},
    {"metrics", "print the metrics of a node", "masticpitch metrics", cli_run_metrics},
    {"completion", "print a completion script for bash",
	"masticpitch completion >/etc/bash_completion.d/masticpitch", run_completion},
    {"manual", "print the manual page", "masticpitch manual | man -l -", run_manual},
    {"version", "print the version", "masticpitch version", run_version},
    {NULL, NULL, NULL, NULL},
};

const cli_command_t *
cli_commands(void)
{
	return commands;
}

static void
print_help(FILE *out)
{
	fputs("masticpitch - configuration distribution for a service mesh\n\n"
	      "usage: masticpitch COMMAND [OPTION]...\n\ncommands:\n",
	    out);
	for (const cli_command_t *command = commands; command->name != NULL; command++)
		fprintf(out, "  %-15s %s\n", command->name, command->summary);
	fputs("\nexamples:\n", out);
	for (const cli_command_t *command = commands; command->name != NULL; command++)
		fprintf(out, "  %s\n", command->example);
	fputs(
	    "\n\"masticpitch COMMAND --help\" prints the options of a command.\n"
	    "exit codes: 0 success, 1 internal error, 2 wrong command line, 3 invalid\n"
	    "settings or preset, 4 address in use, 5 unreachable, 6 conflict, 7 outcome\n"
	    "unknown, 8 refused, 9 deadline passed\n",
	    out);
}

/*
 * The command named by the first one or two words, or NULL; *words is their number.
 */
static const cli_command_t *
command_find(int argc, char **argv, int *words)
{
	for (const cli_command_t *command = commands; command->name != NULL; command++) {
		const char *space = strchr(command->name, ' ');
		size_t length = space != NULL ? (size_t)(space - command->name)
					      : strlen(command->name);

		if (strlen(argv[1]) != length ||
		    strncmp(argv[1], command->name, length) != 0)
			continue;
		if (space == NULL) {
			*words = 1;
			return command;
		}
		if (argc > 2 && strcmp(argv[2], space + 1) == 0) {
			*words = COMMAND_WORDS_MAX;
			return command;
		}
	}
	return NULL;
}

int
cli_main(int argc, char **argv)
{
	const cli_command_t *command;
	int words;

	signal(SIGPIPE, SIG_IGN);
	/* A log file that may not grow any more loses lines, not the process. */
	signal(SIGXFSZ, SIG_IGN);
	if (argc < 2) {
		print_help(stderr);
		return CLI_EXIT_SYNTAX;
	}
	if (strcmp(argv[1], "--help") == 0 || strcmp(argv[1], "-h") == 0 ||
	    strcmp(argv[1], "help") == 0) {
		print_help(stdout);
		return CLI_EXIT_OK;
	}
	if (strcmp(argv[1], "--version") == 0)
		return run_version(argc, argv, NULL);
	command = command_find(argc, argv, &words);
	if (command == NULL) {
		fprintf(stderr, "masticpitch: unknown command \"%s%s%s\"; see --help\n",
		    argv[1], argc > 2 ? " " : "", argc > 2 ? argv[2] : "");
		return CLI_EXIT_SYNTAX;
	}
	if (command->run != run_node)
		os_signals_unblock();
	return command->run(argc - words, argv + words, command);
}

/*
 * Parses the arguments of a subcommand without the common client options. Returns -1 if
 * the command is to run, or the exit code with which it ends (help, syntax error).
 */
static int
parse_arguments(int argc, char **argv, const cli_command_t *command, void **table,
    const struct arg_lit *help, struct arg_end *end)
{
	int errors = arg_parse(argc, argv, table);

	if (help->count > 0) {
		cli_print_usage(command, table);
		return CLI_EXIT_OK;
	}
	if (errors > 0) {
		arg_print_errors(stderr, end, "masticpitch");
		return CLI_EXIT_SYNTAX;
	}
	return -1;
}

static int
run_node(int argc, char **argv, const cli_command_t *command)
{
	struct arg_str *settings =
	    arg_str1(NULL, "settings", "FILE", "settings of the node");
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_end *end = arg_end(8);
	void *table[] = {settings, help, end};
	char message[MASTICPITCH_MESSAGE_MAX] = "";
	masticpitch_node_t *node = NULL;
	int error;
	int code = parse_arguments(argc, argv, command, table, help, end);

	if (code >= 0)
		goto out;
	error =
	    masticpitch_node_create(settings->sval[0], &node, message, sizeof(message));
	if (error == MASTICPITCH_OK)
		error = masticpitch_node_run(node);
	else if (error == MASTICPITCH_E_CANCELLED) /* by a planned stop */
		error = MASTICPITCH_OK;
	if (error != MASTICPITCH_OK)
		fprintf(stderr, "masticpitch node: %s\n",
		    message[0] != '\0' ? message : masticpitch_strerror(error));
	masticpitch_node_destroy(node);
	/* To the operator, an unreadable settings file counts as an invalid one. */
	code = error == MASTICPITCH_E_IO ? CLI_EXIT_INVALID : cli_exit_code(error);
out:
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}

static int
run_check(int argc, char **argv, const cli_command_t *command)
{
	struct arg_str *settings = arg_str0(NULL, "settings", "FILE", "a settings file");
	struct arg_str *preset = arg_str0(NULL, "preset", "FILE", "a preset file");
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_end *end = arg_end(8);
	void *table[] = {settings, preset, help, end};
	char message[MASTICPITCH_MESSAGE_MAX] = "";
	int error = MASTICPITCH_OK;
	int code = parse_arguments(argc, argv, command, table, help, end);

	if (code >= 0)
		goto out;
	if (settings->count + preset->count == 0) {
		fputs("masticpitch check: needs --settings FILE or --preset FILE\n",
		    stderr);
		code = CLI_EXIT_SYNTAX;
		goto out;
	}
	if (settings->count > 0)
		error = masticpitch_settings_check(
		    settings->sval[0], message, sizeof(message));
	if (error == MASTICPITCH_OK && preset->count > 0)
		error =
		    masticpitch_preset_check(preset->sval[0], message, sizeof(message));
	if (error != MASTICPITCH_OK)
		fprintf(stderr, "masticpitch check: %s\n", message);
	else
		puts("ok");
	code = error != MASTICPITCH_OK ? CLI_EXIT_INVALID : CLI_EXIT_OK;
out:
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}

static int
run_completion(int argc, char **argv, const cli_command_t *command)
{
	fputs(
	    "# bash completion for masticpitch\n_masticpitch()\n{\n"
	    "\tlocal word=${COMP_WORDS[COMP_CWORD]} first=${COMP_WORDS[1]}\n"
	    "\tlocal options='--help --json --platform --prefix --node --token --timeout "
	    "--operator --file --wait --if-version'\n"
	    "\tif [ \"$COMP_CWORD\" -eq 1 ]; then\n\t\tCOMPREPLY=($(compgen -W '",
	    stdout);
	for (const cli_command_t *row = commands; row->name != NULL; row++) {
		if (strchr(row->name, ' ') == NULL)
			printf("%s ", row->name);
	}
	fputs("preset' -- \"$word\"))\n"
	      "\telif [ \"$COMP_CWORD\" -eq 2 ] && [ \"$first\" = preset ]; then\n"
	      "\t\tCOMPREPLY=($(compgen -W '",
	    stdout);
	for (const cli_command_t *row = commands; row->name != NULL; row++) {
		if (strncmp(row->name, "preset ", 7) == 0)
			printf("%s ", row->name + 7);
	}
	fputs("' -- \"$word\"))\n\telif [[ $word == -* ]]; then\n"
	      "\t\tCOMPREPLY=($(compgen -W \"$options\" -- \"$word\"))\n"
	      "\telse\n\t\tCOMPREPLY=($(compgen -f -- \"$word\"))\n\tfi\n}\n"
	      "complete -F _masticpitch masticpitch\n",
	    stdout);
	return CLI_EXIT_OK;
}

static int
run_manual(int argc, char **argv, const cli_command_t *command)
{
	fputs(".TH MASTICPITCH 1\n.SH NAME\nmasticpitch \\- configuration distribution "
	      "for a "
	      "service mesh\n.SH SYNOPSIS\n.B masticpitch\n.I "
	      "COMMAND\n[\\fIOPTION\\fR]...\n"
	      ".SH COMMANDS\n",
	    stdout);
	for (const cli_command_t *row = commands; row->name != NULL; row++)
		printf(".TP\n.B %s\n%s.\n.br\nExample: \\fI%s\\fR\n", row->name,
		    row->summary, row->example);
	fputs(
	    ".SH OPTIONS\nEach command prints its options with \\fB\\-\\-help\\fR.\n"
	    ".SH ENVIRONMENT\n.TP\n.B MASTICPITCH_PLATFORM\nURL of the platform's "
	    "key-value "
	    "service.\n.TP\n.B MASTICPITCH_NODE\nURL of a node's operators' interface.\n"
	    ".TP\n.B MASTICPITCH_TOKEN\nOperators' token.\n.TP\n.B MASTICPITCH_OPERATOR\n"
	    "Operator's name for commits, recorded in the history.\n"
	    ".SH EXIT STATUS\n0 success, 1 internal error, 2 wrong command line, 3 "
	    "invalid "
	    "settings or preset, 4 address in use, 5 unreachable, 6 conflict, 7 outcome "
	    "unknown, 8 refused, 9 deadline passed.\n",
	    stdout);
	return CLI_EXIT_OK;
}

static int
run_version(int argc, char **argv, const cli_command_t *command)
{
	printf("masticpitch %s\n", masticpitch_version());
	return CLI_EXIT_OK;
}
