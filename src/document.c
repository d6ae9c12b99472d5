#include "document.h"

#include "platform/hosted.h"

#include <stdlib.h>
#include <string.h>

/* Names of preset and operator in the head of a document. */
#define DOCUMENT_PRESET "platform"
#define DOCUMENT_OPERATOR "platform"

static int
part_add(const buffer_t *text, record_preset_t *preset, record_parts_t *parts)
{
	chunk_t *content = chunk_copy(text->data, text->size);
	int error;

	if (content == NULL)
		return MASTICPITCH_E_NOMEM;
	digest_compute(
	    content->data, content->size, &preset->parts[preset->part_count++]);
	error = record_parts_add(parts, content);
	chunk_release(content);
	return error;
}

/* Adds the commit that a head's history needs; its id is a digest of the parts. */
static void
commit_add(record_head_t *head, const record_preset_t *preset)
{
	record_commit_t *commit = &head->history[head->history_count++];
	digest_t operation;

	digest_compute(
	    preset->parts, preset->part_count * sizeof(preset->parts[0]), &operation);
	digest_format(&operation, commit->operation);
	commit->version = head->version;
	string_copy(commit->operator_name, NAME_BYTES, DOCUMENT_OPERATOR);
	string_copy(commit->action, sizeof(commit->action), "use");
	string_copy(commit->preset, NAME_BYTES, DOCUMENT_PRESET);
}

int
record_document_build(uint64_t version, const buffer_t *texts, size_t count,
    record_parts_t *parts, buffer_t *text)
{
	record_head_t *head;
	record_preset_t *preset;
	int error = MASTICPITCH_OK;

	if (count > RECORD_PRESET_PARTS_MAX)
		return MASTICPITCH_E_LIMIT;
	head = calloc(1, sizeof(*head));
	if (head == NULL)
		return MASTICPITCH_E_NOMEM;
	head->version = version;
	string_copy(head->in_force, NAME_BYTES, DOCUMENT_PRESET);
	preset = &head->presets[head->preset_count++];
	string_copy(preset->name, NAME_BYTES, DOCUMENT_PRESET);
	for (size_t i = 0; i < count && error == MASTICPITCH_OK; i++)
		error = part_add(&texts[i], preset, parts);
	if (error == MASTICPITCH_OK) {
		commit_add(head, preset);
		error = record_head_format(head, text);
	}
	free(head);
	return error;
}

void
document_init(document_t *document)
{
	memset(&document->digest, 0, sizeof(document->digest));
	buffer_init(&document->head, RECORD_HEAD_MAX_BYTES);
	record_parts_init(&document->parts);
}

void
document_free(document_t *document)
{
	buffer_free(&document->head);
	record_parts_clear(&document->parts);
}

int
document_read(document_t *document, const char *text, size_t size, char *message,
    size_t message_size)
{
	hosted_document_t split;
	digest_t digest;
	int error;

	digest_compute(text, size, &digest);
	if (document->head.size > 0 && digest_equal(&digest, &document->digest))
		return MASTICPITCH_OK;
	error = hosted_document_split(text, size, &split, message, message_size);
	if (error != MASTICPITCH_OK)
		return error;
	document->digest = digest;
	record_parts_clear(&document->parts);
	buffer_consume(&document->head, document->head.size);
	error = record_document_build(
	    split.version, split.parts, split.count, &document->parts, &document->head);
	hosted_document_free(&split);
	return error;
}
