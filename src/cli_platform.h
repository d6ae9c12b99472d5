/*
 * Functions of the client subcommands that use the platform: reading the head and
 * presets, running a commit to completion. Not thread-safe. Functions that return int
 * return an exit code and print a message on failure, unless noted.
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

int cli_platform_create(cli_t *cli, platform_t **platform);
/*
 * Reads and checks the head; freed with free(). A platform without a head is
 * CLI_EXIT_REFUSED.
 */
int cli_head_read(cli_t *cli, platform_t *platform, record_head_t **head);
/*
 * Reads a preset's parts and merges them into one JSON object in the form of a
 * preset file; freed with json_object_put().
 */
int cli_preset_read(cli_t *cli, platform_t *platform, const record_head_t *head,
    const char *name, struct json_object **preset);
/* Adds the content of a part to a preset object that has the key "services". */
void cli_preset_add_part(struct json_object *preset, struct json_object *part);
/*
 * Reads a preset file. *text is the file as it stands, freed with free(); *preset is
 * its canonical form with every default filled in, freed with json_object_put().
 */
int cli_preset_file_read(
    cli_t *cli, const char *path, char **text, size_t *size, struct json_object **preset);

/* A client of the platform and the head that was read from it. */
typedef struct cli_session {
	platform_t *platform;
	record_head_t *head;
} cli_session_t;

/* The caller calls cli_session_close() also after a failure. */
int cli_session_open(cli_t *cli, cli_session_t *session);
void cli_session_close(cli_session_t *session);

/*
 * Runs a commit or a lookup to completion. Its failure is described in *result and not
 * printed; if it could not be started, a message is printed and *result is unchanged.
 */
int cli_commit_run(cli_t *cli, platform_t *platform, const commit_request_t *request,
    commit_result_t *result);

/*
 * Prints the differences between two presets, by service and route, one per line;
 * either may be NULL. Returns the number of differences.
 */
size_t cli_preset_diff(FILE *out, struct json_object *before, struct json_object *after);

#ifdef __cplusplus
}
#endif

#endif
