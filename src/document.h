/*
 * Converts the operator's configuration document, on a platform that stores it as one
 * value, into a record: a head and parts, of which a change touches few. Not
 * thread-safe.
 */
#ifndef MASTICPITCH_DOCUMENT_H
#define MASTICPITCH_DOCUMENT_H

#include "record.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct document {
	digest_t digest; /* of the complete text */
	buffer_t head;	 /* JSON; empty: no document was read yet */
	record_parts_t parts;
} document_t;

void document_init(document_t *document);
void document_free(document_t *document);
/*
 * Replaces the document by a new text; if the text is unchanged, only its digest is
 * computed. If the text is invalid, the old document stays and message has the
 * reason. Errors:
 * MASTICPITCH_E_INVALID, MASTICPITCH_E_LIMIT, MASTICPITCH_E_NOMEM.
 */
int document_read(document_t *document, const char *text, size_t size, char *message,
    size_t message_size);

#ifdef __cplusplus
}
#endif

#endif
