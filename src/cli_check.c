/*
 * "preset check": checks a configuration file before it is sent.
 */
#include "cli_platform.h"
#include "platform/hosted.h"
#include "preset_check.h"
#include "util.h"

#include <stdlib.h>
#include <string.h>

typedef struct output {
	struct json_object *findings;	 /* NULL: text is printed */
	struct json_object *differences; /* likewise */
} output_t;

static void
finding_print(
    void *context, preset_finding_t finding, const char *place, const char *text)
{
	output_t *output = context;
	struct json_object *item;

	if (output->findings == NULL) {
		printf("%s: %s: %s\n", preset_finding_text(finding), place, text);
		return;
	}
	item = json_object_new_object();
	json_object_object_add(
	    item, "kind", json_object_new_string(preset_finding_text(finding)));
	json_object_object_add(item, "place", json_object_new_string(place));
	json_object_object_add(item, "text", json_object_new_string(text));
	json_object_array_add(
	    finding == PRESET_FINDING_DIFFERENCE ? output->differences : output->findings,
	    item);
}

/* Parses a document of the hosted platform. */
static int
document_parse(
    const char *text, size_t size, preset_t **preset, char *message, size_t message_size)
{
	hosted_document_t *document = malloc(sizeof(*document));
	preset_text_t parts[HOSTED_DOCUMENT_PARTS];
	int error;

	if (document == NULL)
		return MASTICPITCH_E_NOMEM;
	error = hosted_document_split(text, size, document, message, message_size);
	if (error == MASTICPITCH_OK) {
		for (size_t i = 0; i < document->count; i++)
			parts[i] = (preset_text_t){(const char *)document->parts[i].data,
			    document->parts[i].size};
		error = hosted_preset_parse(
		    parts, document->count, NULL, preset, message, message_size);
		hosted_document_free(document);
	}
	free(document);
	return error;
}

/* Reads a preset from a file; returns an exit code. */
static int
file_parse(cli_t *cli, const char *path, bool hosted, preset_t **preset)
{
	char message[MASTICPITCH_MESSAGE_MAX] = "out of memory";
	char *text = NULL;
	size_t size;
	int error = file_read(path, PRESET_TEXT_MAX_BYTES, &text, &size);

	if (error != MASTICPITCH_OK) {
		cli_error(
		    cli, "%s: cannot be read: %s", path, masticpitch_strerror(error));
		return CLI_EXIT_INVALID;
	}
	error = hosted ? document_parse(text, size, preset, message, sizeof(message))
		       : preset_parse(text, size, preset, message, sizeof(message));
	if (error != MASTICPITCH_OK)
		cli_error(cli, "%s: %s", path, message);
	free(text);
	return error == MASTICPITCH_OK ? CLI_EXIT_OK : CLI_EXIT_INVALID;
}

static void
result_print(const output_t *output, size_t findings, bool compared, size_t differences)
{
	struct json_object *result;

	if (output->findings == NULL) {
		printf("valid, %zu findings", findings);
		if (compared)
			printf(", %zu differences", differences);
		printf("\n");
		return;
	}
	result = json_object_new_object();
	json_object_object_add(result, "findings", json_object_get(output->findings));
	json_object_object_add(
	    result, "differences", json_object_get(output->differences));
	cli_json_print(result);
	json_object_put(result);
}

static int
check_run(cli_t *cli, void *const *arguments)
{
	const struct arg_str *file = arguments[0];
	const struct arg_str *against = arguments[1];
	const struct arg_lit *hosted = arguments[2];
	output_t output = {NULL, NULL};
	preset_t *preset = NULL, *before = NULL;
	size_t findings, differences = 0;
	int code = file_parse(cli, file->sval[0], hosted->count > 0, &preset);

	if (code == CLI_EXIT_OK && against->count > 0)
		code = file_parse(cli, against->sval[0], hosted->count > 0, &before);
	if (code != CLI_EXIT_OK)
		goto out;
	if (cli->json) {
		output.findings = json_object_new_array();
		output.differences = json_object_new_array();
	}
	findings = preset_check(preset, finding_print, &output);
	if (before != NULL)
		differences = preset_compare(before, preset, finding_print, &output);
	result_print(&output, findings, before != NULL, differences);
	code = findings > 0 ? CLI_EXIT_FINDINGS : CLI_EXIT_OK;
out:
	json_object_put(output.findings);
	json_object_put(output.differences);
	preset_release(before);
	preset_release(preset);
	return code;
}

int
cli_run_preset_check(int argc, char **argv, const cli_command_t *command)
{
	void *arguments[] = {
	    arg_str1(NULL, NULL, "FILE", "configuration file"),
	    arg_str0(NULL, "against", "FILE", "file with the version in force"),
	    arg_lit0(NULL, "hosted", "a document of the hosted platform"),
	};

	return cli_run(argc, argv, command, CLI_TARGET_PLATFORM, arguments,
	    ARRAY_LENGTH(arguments), check_run);
}
