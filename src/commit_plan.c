#include "commit_internal.h"

#include "json_text.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

void
commit_message_set(commit_machine_t *machine, const char *format, ...)
{
	va_list arguments;

	va_start(arguments, format);
	/* The analyzer misses va_start() when it reads several files at once. */
	vsnprintf(machine->result.message, MASTICPITCH_MESSAGE_MAX, format, /* NOLINT */
	    arguments);
	va_end(arguments);
}

static bool
has_text(commit_kind_t kind)
{
	return kind == COMMIT_CREATE || kind == COMMIT_EDIT;
}

static int
request_invalid(commit_machine_t *machine, const char *message)
{
	commit_message_set(machine, "%s", message);
	return MASTICPITCH_E_INVALID;
}

int
commit_request_check(commit_machine_t *machine, const commit_request_t *request)
{
	commit_result_t *result = &machine->result;
	digest_t operation;

	if (digest_parse(request->operation, &operation) != MASTICPITCH_OK)
		return request_invalid(machine, "operation: must be 32 hex digits");
	digest_format(&operation, result->operation);
	if (request->kind == COMMIT_LOOKUP)
		return MASTICPITCH_OK;
	if (request->preset == NULL ||
	    !json_name_is_valid(request->preset, strlen(request->preset)))
		return request_invalid(machine, "preset: a name has 1 to 64 characters "
						"of a-z, A-Z, 0-9, '-', '_', '.'");
	if (request->operator_name == NULL ||
	    !json_name_is_valid(request->operator_name, strlen(request->operator_name)))
		return request_invalid(machine, "operator: a name has 1 to 64 characters "
						"of a-z, A-Z, 0-9, '-', '_', '.'");
	string_copy(machine->preset_name, NAME_BYTES, request->preset);
	string_copy(machine->operator_name, NAME_BYTES, request->operator_name);
	if (!has_text(request->kind))
		return MASTICPITCH_OK;
	return record_preset_split(request->preset, request->text, request->size,
	    &machine->preset, &machine->parts, result->message, sizeof(result->message));
}

int
commit_head_change(commit_machine_t *machine)
{
	record_head_t *head = machine->head;
	const char *name = machine->preset_name;
	bool exists = record_preset_find(head, name) != NULL;

	if (machine->kind == COMMIT_CREATE && exists) {
		commit_message_set(machine, "preset \"%s\" exists already", name);
		return MASTICPITCH_E_EXISTS;
	}
	if (machine->kind != COMMIT_CREATE && !exists) {
		commit_message_set(machine, "there is no preset \"%s\"", name);
		return MASTICPITCH_E_NOT_FOUND;
	}
	if (machine->kind == COMMIT_DELETE && strcmp(head->in_force, name) == 0) {
		commit_message_set(machine,
		    "preset \"%s\" is in force; put another in force first", name);
		return MASTICPITCH_E_DENIED;
	}
	if (machine->kind == COMMIT_DELETE)
		return record_preset_remove(head, name);
	if (machine->kind == COMMIT_USE || head->in_force[0] == '\0')
		string_copy(head->in_force, NAME_BYTES, name);
	if (machine->kind == COMMIT_USE)
		return MASTICPITCH_OK;
	if (record_preset_set(head, &machine->preset) != MASTICPITCH_OK) {
		commit_message_set(machine,
		    "the limit of %d presets is reached; nothing was committed",
		    RECORD_PRESETS_MAX);
		return MASTICPITCH_E_LIMIT;
	}
	return MASTICPITCH_OK;
}

static const char *
action_text(commit_kind_t kind)
{
	switch (kind) {
	case COMMIT_CREATE:
		return "create";
	case COMMIT_EDIT:
		return "edit";
	case COMMIT_DELETE:
		return "delete";
	case COMMIT_USE:
		return "use";
	case COMMIT_LOOKUP:
		break;
	}
	return "";
}

int
commit_head_stamp(commit_machine_t *machine)
{
	record_commit_t entry = {.at = machine->wall_ms};
	uint64_t newest = MAX_OF(machine->head->version, machine->version_floor);

	if (newest >= RECORD_VERSION_MAX) {
		commit_message_set(machine,
		    "version %" PRIu64 " is the largest possible; nothing was committed",
		    newest);
		return MASTICPITCH_E_LIMIT;
	}
	entry.version = newest + 1;
	string_copy(entry.operation, sizeof(entry.operation), machine->result.operation);
	string_copy(entry.operator_name, NAME_BYTES, machine->operator_name);
	string_copy(entry.action, sizeof(entry.action), action_text(machine->kind));
	string_copy(entry.preset, NAME_BYTES, machine->preset_name);
	machine->head->version = entry.version;
	record_history_add(machine->head, &entry);
	return record_head_format(machine->head, &machine->head_text);
}
