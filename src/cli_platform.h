/*
 * What the client subcommands share when they talk to the platform: reading
 * the head and presets, running a commit to its end. One thread.
 */
#ifndef MASTICPITCH_CLI_PLATFORM_H
#define MASTICPITCH_CLI_PLATFORM_H

#include "cli.h"
#include "commit.h"
#include "platform.h"
#include "record.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Errors of both: exit codes, with a message printed. */
int cli_platform_create(cli_t *cli, platform_t **platform);
/*
 * Reads and checks the head; freed with free(). A platform without a head is
 * CLI_EXIT_REFUSED.
 */
int cli_head_read(cli_t *cli, platform_t *platform, record_head_t **head);
/*
 * Reads a preset's parts and joins them to one JSON object in the form of a
 * preset file; freed with json_object_put().
 */
int cli_preset_read(cli_t *cli, platform_t *platform, const record_head_t *head,
    const char *name, struct json_object **preset);
/* Adds what a part holds to a preset object that has the key "services". */
void cli_preset_add_part(struct json_object *preset, struct json_object *part);
/*
 * Reads a preset file: its text, and the preset in canonical form with every
 * default filled in. text is freed with free().
 */
int cli_preset_file_read(
    cli_t *cli, const char *path, char **text, size_t *size, struct json_object **preset);

/* The platform and its head, opened together. */
typedef struct cli_session {
	platform_t *platform;
	record_head_t *head;
} cli_session_t;

/* Returns an exit code; cli_session_close() is called in any case. */
int cli_session_open(cli_t *cli, cli_session_t *session);
void cli_session_close(cli_session_t *session);

/* Runs a commit or a lookup to its end. */
int cli_commit_run(cli_t *cli, platform_t *platform, const commit_request_t *request,
    commit_result_t *result);

/*
 * Prints the differences of two presets, by service and route, one a line;
 * either may be NULL. Returns their number.
 */
size_t cli_preset_diff(FILE *out, struct json_object *before, struct json_object *after);

#ifdef __cplusplus
}
#endif

#endif
