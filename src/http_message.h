/*
 * Parses the requests on a caller's connection, or the answers on a backend server's,
 * with http-parser. A message is reported as its head, pieces of its body and its end;
 * bytes behind it belong to the next one. Performs no I/O. Not thread-safe.
 */
#ifndef MASTICPITCH_HTTP_MESSAGE_H
#define MASTICPITCH_HTTP_MESSAGE_H

#include "buffer.h"
#include "headers.h"

#include <http_parser.h>
#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Request target, names and values of the fields with their terminators, bytes. */
#define HTTP_HEAD_MAX_BYTES (32 * 1024)
/* One more than is accepted, so that the excess is found when fields are counted. */
#define HTTP_FIELDS_MAX (HEADERS_COUNT_MAX + 2)
#define HTTP_METHOD_BYTES 16

typedef enum http_message_error {
	HTTP_MESSAGE_ERROR_NONE,
	HTTP_MESSAGE_ERROR_SYNTAX,
	HTTP_MESSAGE_ERROR_FRAMING,  /* the end of the message is ambiguous */
	HTTP_MESSAGE_ERROR_TOO_LARGE /* of the head */
} http_message_error_t;

/* Offsets of NUL-terminated strings in the text of the head. */
typedef struct http_field {
	uint32_t name;
	uint32_t value;
} http_field_t;

typedef struct http_head {
	char method[HTTP_METHOD_BYTES];
	int status;    /* of an answer */
	buffer_t text; /* begins with the request target, "" in an answer */
	http_field_t fields[HTTP_FIELDS_MAX];
	size_t field_count;
	bool http_1_0;
	bool keep_alive;     /* the sender keeps the connection open */
	bool expects;	     /* waits for 100 Continue before it sends the body */
	bool has_body;	     /* of a request */
	int64_t body_length; /* Content-Length, bytes; -1: not given */
	/* If it is set, nothing follows: the end of the request is not known. */
	http_message_error_t error;
} http_head_t;

void http_head_init(http_head_t *head);
void http_head_free(http_head_t *head);
/* The request target; "" if it was not read. */
const char *http_head_path(const http_head_t *head);
const char *http_head_field_name(const http_head_t *head, size_t field);
const char *http_head_field_value(const http_head_t *head, size_t field);

/* Each returns false to stop behind the event; state is that of the parser. */
typedef struct http_message_events {
	/* The receiver may move the head and initialise it again. */
	bool (*head)(void *state, http_head_t *head);
	bool (*body)(void *state, const char *data, size_t size);
	bool (*end)(void *state);
} http_message_events_t;

typedef struct http_message_parser {
	http_parser parser;
	http_message_events_t events;
	void *state;
	http_head_t head;	 /* being read */
	const char *data;	 /* of the current run */
	uint64_t consumed_total; /* bytes read by earlier runs */
	uint64_t name_end;	 /* offset behind the last bytes of a name */
	uint64_t value_end;	 /* offset behind the last bytes of a value */
	bool in_name;		 /* of a field whose value has not begun */
	bool in_value;
	bool head_begun; /* a byte of the next head was read */
	bool head_done;
	bool bodiless; /* the answers are to HEAD requests */
	size_t trailer_bytes;
} http_message_parser_t;

/* type: HTTP_REQUEST or HTTP_RESPONSE. */
void http_message_parser_init(http_message_parser_t *parser, enum http_parser_type type,
    const http_message_events_t *events, void *state);
void http_message_parser_free(http_message_parser_t *parser);
/*
 * Parses data until its end or an event that stops; *consumed is the number of bytes
 * read. If the message is malformed before its head was reported, the head is reported
 * with its error; the result tells of all errors. Nothing may be parsed afterwards.
 */
http_message_error_t http_message_parser_run(
    http_message_parser_t *parser, const char *data, size_t size, size_t *consumed);
const char *http_message_error_text(http_message_error_t error);
/* True between the first byte of a message and the end of its head. */
bool http_message_parser_in_head(const http_message_parser_t *parser);

#ifdef __cplusplus
}
#endif

#endif
