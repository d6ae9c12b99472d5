#include "cli_platform.h"

#include "util.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Timeout of one call to the platform. */
#define CALL_TIMEOUT_MS 2000

typedef struct read_state {
	struct ev_loop *loop;
	platform_outcome_t outcome;
	buffer_t value;
	bool done;
} read_state_t;

int
cli_platform_create(cli_t *cli, platform_t **platform)
{
	platform_options_t options = {.loop = cli->loop,
	    .http = cli->http,
	    .url = cli->platform_url,
	    .prefix = cli->platform_prefix};

	if (cli->platform_url == NULL) {
		cli_error(
		    cli, "no platform given: use --platform URL or MASTICPITCH_PLATFORM");
		return CLI_EXIT_SYNTAX;
	}
	if (platform_create(&options, platform) != MASTICPITCH_OK) {
		cli_error(cli, "invalid platform URL or prefix");
		return CLI_EXIT_INVALID;
	}
	return CLI_EXIT_OK;
}

static void
read_done(void *state, const platform_answer_t *answer)
{
	read_state_t *read = state;

	read->outcome = answer->outcome;
	if (answer->outcome == PLATFORM_OK &&
	    buffer_append(&read->value, answer->value, answer->size) != MASTICPITCH_OK)
		read->outcome = PLATFORM_UNKNOWN;
	read->done = true;
	ev_break(read->loop, EVBREAK_ALL);
}

/* Reads one key; retries failed reads until the command's deadline. */
static int
read_key(cli_t *cli, platform_t *platform, const char *key, buffer_t *value)
{
	read_state_t read = {.loop = cli->loop};
	int code = CLI_EXIT_OK;

	buffer_init(&read.value, PLATFORM_VALUE_MAX_BYTES);
	for (;;) {
		uint64_t now = os_clock_monotonic();
		uint64_t deadline =
		    MIN_OF(cli->deadline, now + CALL_TIMEOUT_MS * NS_PER_MS);

		if (now >= cli->deadline) {
			cli_error(cli, "platform %s: no answer (%s)", cli->platform_url,
			    platform_outcome_text(read.outcome));
			code = CLI_EXIT_UNREACHABLE;
			break;
		}
		read.done = false;
		if (platform_get(platform, key, deadline, read_done, &read, NULL) !=
		    MASTICPITCH_OK) {
			code = CLI_EXIT_INTERNAL;
			break;
		}
		while (!read.done)
			ev_run(cli->loop, 0);
		if (read.outcome == PLATFORM_OK)
			break;
		if (read.outcome == PLATFORM_NOT_FOUND) {
			code = CLI_EXIT_REFUSED;
			break;
		}
		cli_sleep(cli, 0.1);
	}
	if (code == CLI_EXIT_OK)
		*value = read.value;
	else
		buffer_free(&read.value);
	return code;
}

int
cli_head_read(cli_t *cli, platform_t *platform, record_head_t **head)
{
	char message[MASTICPITCH_MESSAGE_MAX];
	buffer_t text;
	int code = read_key(cli, platform, "head", &text);

	if (code == CLI_EXIT_REFUSED)
		cli_error(cli, "the platform has no preset yet");
	if (code != CLI_EXIT_OK)
		return code;
	if (record_head_parse((const char *)text.data, text.size, head, message,
		sizeof(message)) != MASTICPITCH_OK) {
		cli_error(cli, "the head on the platform is invalid: %s", message);
		code = CLI_EXIT_INVALID;
	}
	buffer_free(&text);
	return code;
}

void
cli_preset_add_part(struct json_object *preset, struct json_object *part)
{
	struct json_object *services = cli_json_get(preset, "services");
	struct json_object *part_services = cli_json_get(part, "services");
	struct json_object *routes = cli_json_get(part, "routes");

	if (json_object_is_type(part_services, json_type_object)) {
		json_object_object_foreach(part_services, name, service)
		{
			json_object_object_add(services, name, json_object_get(service));
		}
	}
	if (json_object_is_type(routes, json_type_array))
		json_object_object_add(preset, "routes", json_object_get(routes));
}

int
cli_preset_read(cli_t *cli, platform_t *platform, const record_head_t *head,
    const char *name, struct json_object **result)
{
	const record_preset_t *entry = record_preset_find(head, name);
	struct json_object *preset;
	int code = CLI_EXIT_OK;

	if (entry == NULL) {
		cli_error(cli, "no preset \"%s\"", name);
		return CLI_EXIT_REFUSED;
	}
	preset = json_object_new_object();
	json_object_object_add(preset, "format", json_object_new_int(PRESET_FORMAT));
	json_object_object_add(preset, "services", json_object_new_object());
	for (size_t i = 0; code == CLI_EXIT_OK && i < entry->part_count; i++) {
		char key[PLATFORM_KEY_BYTES] = "part/";
		struct json_object *part;
		buffer_t text;

		digest_format(&entry->parts[i], key + strlen(key));
		code = read_key(cli, platform, key, &text);
		if (code == CLI_EXIT_REFUSED)
			cli_error(cli, "%s is missing on the platform; try again", key);
		if (code != CLI_EXIT_OK)
			break;
		part = json_tokener_parse(buffer_text(&text));
		cli_preset_add_part(preset, part);
		json_object_put(part);
		buffer_free(&text);
	}
	if (code == CLI_EXIT_OK)
		*result = preset;
	else
		json_object_put(preset);
	return code;
}

int
cli_session_open(cli_t *cli, cli_session_t *session)
{
	int code;

	memset(session, 0, sizeof(*session));
	code = cli_platform_create(cli, &session->platform);
	if (code == CLI_EXIT_OK)
		code = cli_head_read(cli, session->platform, &session->head);
	return code;
}

void
cli_session_close(cli_session_t *session)
{
	free(session->head);
	platform_destroy(session->platform);
}

typedef struct commit_wait {
	struct ev_loop *loop;
	commit_result_t *result;
	bool done;
} commit_wait_t;

static void
commit_done(void *state, const commit_result_t *result)
{
	commit_wait_t *wait = state;

	*wait->result = *result;
	wait->done = true;
	ev_break(wait->loop, EVBREAK_ALL);
}

int
cli_commit_run(cli_t *cli, platform_t *platform, const commit_request_t *request,
    commit_result_t *result)
{
	commit_wait_t wait = {.loop = cli->loop, .result = result};
	commit_client_t *client = NULL;
	int error = commit_client_create(cli->loop, platform, CALL_TIMEOUT_MS, &client);

	if (error == MASTICPITCH_OK)
		error = commit_start(client, request, commit_done, &wait, NULL);
	if (error != MASTICPITCH_OK) {
		cli_error(cli, "%s", masticpitch_strerror(error));
		commit_client_destroy(client);
		return cli_exit_code(error);
	}
	while (!wait.done)
		ev_run(cli->loop, 0);
	commit_client_destroy(client);
	return cli_exit_code(result->error);
}
