#include "record.h"

#include <stdlib.h>

/* The names under which an operator's document stands in a head. */
#define DOCUMENT_PRESET "platform"
#define DOCUMENT_OPERATOR "platform"

int
record_document_head(uint64_t version, const chunk_t *document, buffer_t *text)
{
	record_head_t *head = calloc(1, sizeof(*head));
	record_preset_t *preset;
	record_commit_t *commit;
	int error;

	if (head == NULL)
		return MASTICPITCH_E_NOMEM;
	head->version = version;
	string_copy(head->in_force, NAME_BYTES, DOCUMENT_PRESET);
	preset = &head->presets[head->preset_count++];
	string_copy(preset->name, NAME_BYTES, DOCUMENT_PRESET);
	digest_compute(document->data, document->size, &preset->parts[0]);
	preset->part_count = 1;
	commit = &head->history[head->history_count++];
	commit->version = version;
	digest_format(&preset->parts[0], commit->operation);
	string_copy(commit->operator_name, NAME_BYTES, DOCUMENT_OPERATOR);
	string_copy(commit->action, sizeof(commit->action), "use");
	string_copy(commit->preset, NAME_BYTES, DOCUMENT_PRESET);
	error = record_head_format(head, text);
	free(head);
	return error;
}
