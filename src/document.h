/*
 * The operator's configuration document on a platform that keeps it as one value,
 * as a record of the spread: a head, and parts of which a change touches few. One
 * thread.
 */
#ifndef MASTICPITCH_DOCUMENT_H
#define MASTICPITCH_DOCUMENT_H

#include "record.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct document {
	digest_t digest; /* of the whole text */
	buffer_t head;	 /* JSON; empty: none was read */
	record_parts_t parts;
} document_t;

void document_init(document_t *document);
void document_free(document_t *document);
/*
 * Takes over a text; the one that is held already costs only its digest. On
 * failure what is held stays, and message says why. Errors:
 * MASTICPITCH_E_INVALID, MASTICPITCH_E_LIMIT, MASTICPITCH_E_NOMEM.
 */
int document_read(document_t *document, const char *text, size_t size, char *message,
    size_t message_size);

#ifdef __cplusplus
}
#endif

#endif
