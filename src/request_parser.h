/*
 * Parses the requests on a caller's connection, with http-parser. A request is
 * reported as its head, pieces of its body and its end; bytes behind it belong to the
 * next one. Performs no I/O. Not thread-safe.
 */
#ifndef MASTICPITCH_REQUEST_PARSER_H
#define MASTICPITCH_REQUEST_PARSER_H

#include "buffer.h"
#include "headers.h"

#include <http_parser.h>
#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Request target, names and values of the fields with their terminators, bytes. */
#define REQUEST_HEAD_MAX_BYTES (32 * 1024)
/* One more than is accepted, so that the excess is found when fields are counted. */
#define REQUEST_FIELDS_MAX (HEADERS_COUNT_MAX + 2)
#define REQUEST_METHOD_BYTES 16

typedef enum request_error {
	REQUEST_ERROR_NONE,
	REQUEST_ERROR_SYNTAX,
	REQUEST_ERROR_FRAMING,	/* the end of the request is ambiguous */
	REQUEST_ERROR_TOO_LARGE /* of the head */
} request_error_t;

/* Offsets of NUL-terminated strings in the text of the head. */
typedef struct request_field {
	uint32_t name;
	uint32_t value;
} request_field_t;

typedef struct request_head {
	char method[REQUEST_METHOD_BYTES];
	buffer_t text; /* begins with the request target */
	request_field_t fields[REQUEST_FIELDS_MAX];
	size_t field_count;
	bool http_1_0;
	bool keep_alive; /* the caller keeps the connection open */
	bool expects;	 /* waits for 100 Continue before it sends the body */
	bool has_body;
	/* If it is set, nothing follows: the end of the request is not known. */
	request_error_t error;
} request_head_t;

void request_head_init(request_head_t *head);
void request_head_free(request_head_t *head);
/* The request target; "" if it was not read. */
const char *request_head_path(const request_head_t *head);
const char *request_field_name(const request_head_t *head, size_t field);
const char *request_field_value(const request_head_t *head, size_t field);

/* Each returns false to stop behind the event; state is that of the parser. */
typedef struct request_events {
	/* The receiver may move the head and initialise it again. */
	bool (*head)(void *state, request_head_t *head);
	bool (*body)(void *state, const char *data, size_t size);
	bool (*end)(void *state);
} request_events_t;

typedef struct request_parser {
	http_parser parser;
	request_events_t events;
	void *state;
	request_head_t head;	 /* being read */
	const char *data;	 /* of the current run */
	uint64_t consumed_total; /* bytes read by earlier runs */
	uint64_t value_end;	 /* offset behind the last bytes of a value */
	bool in_value;
	bool head_begun; /* a byte of the next head was read */
	bool head_done;
	size_t trailer_bytes;
} request_parser_t;

void request_parser_init(
    request_parser_t *parser, const request_events_t *events, void *state);
void request_parser_free(request_parser_t *parser);
/*
 * Parses data until its end or an event that stops; *consumed is the number of bytes
 * read. If the request is malformed before its head was reported, the head is reported
 * with its error; the result tells of all errors. Nothing may be parsed afterwards.
 */
request_error_t request_parser_run(
    request_parser_t *parser, const char *data, size_t size, size_t *consumed);
/* True between the first byte of a request and the end of its head. */
bool request_parser_in_head(const request_parser_t *parser);

#ifdef __cplusplus
}
#endif

#endif
