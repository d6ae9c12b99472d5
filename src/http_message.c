#include "http_message.h"

#include "util.h"

#include <string.h>
#include <strings.h>

/* Results of the callback for a head; http-parser gives 1 and 2 meanings of its own. */
#define HEAD_CALLBACK_BODILESS 1
#define HEAD_CALLBACK_FAILED 3
/* Names and values of trailer fields, which are discarded, bytes. */
#define TRAILERS_MAX_BYTES (16 * 1024)

void
http_head_init(http_head_t *head)
{
	head->method[0] = '\0';
	head->status = 0;
	buffer_init(&head->text, HTTP_HEAD_MAX_BYTES);
	head->field_count = 0;
	head->http_1_0 = false;
	head->keep_alive = false;
	head->expects = false;
	head->has_body = false;
	head->body_length = -1;
	head->error = HTTP_MESSAGE_ERROR_NONE;
}

void
http_head_free(http_head_t *head)
{
	buffer_free(&head->text);
	http_head_init(head);
}

const char *
http_head_path(const http_head_t *head)
{
	return head->text.size > 0 ? (const char *)head->text.data : "";
}

const char *
http_head_field_name(const http_head_t *head, size_t field)
{
	return (const char *)head->text.data + head->fields[field].name;
}

const char *
http_head_field_value(const http_head_t *head, size_t field)
{
	return (const char *)head->text.data + head->fields[field].value;
}

static http_message_parser_t *
parser_of(http_parser *parser)
{
	return parser->data;
}

/* Stops the parser with an error that is not one of http-parser's. */
static int
parser_fail(http_message_parser_t *parser, http_message_error_t error)
{
	parser->head.error = error;
	return 1;
}

static int
text_append(http_message_parser_t *parser, const char *data, size_t size)
{
	if (buffer_append(&parser->head.text, data, size) != MASTICPITCH_OK)
		return parser_fail(parser, HTTP_MESSAGE_ERROR_TOO_LARGE);
	return 0;
}

/* Terminates the string that was appended last; a value ends before its white space. */
static int
text_end(http_message_parser_t *parser)
{
	http_head_t *head = &parser->head;
	buffer_t *text = &head->text;

	while (parser->in_value &&
	       text->size > head->fields[head->field_count - 1].value &&
	       strchr(" \t", text->data[text->size - 1]) != NULL)
		text->size--;
	return text_append(parser, "", 1);
}

static int
begin_callback(http_parser *http)
{
	http_message_parser_t *parser = parser_of(http);

	parser->head_begun = true;
	parser->head_done = false;
	parser->in_name = false;
	parser->in_value = false;
	parser->trailer_bytes = 0;
	return 0;
}

static int
url_callback(http_parser *http, const char *data, size_t size)
{
	return text_append(parser_of(http), data, size);
}

static int
trailer_discard(http_message_parser_t *parser, size_t size)
{
	parser->trailer_bytes += size;
	return parser->trailer_bytes > TRAILERS_MAX_BYTES
		   ? parser_fail(parser, HTTP_MESSAGE_ERROR_TOO_LARGE)
		   : 0;
}

/* Offset of a byte of the current run in all that the parser has read. */
static uint64_t
offset_of(const http_message_parser_t *parser, const char *data)
{
	return parser->consumed_total + (uint64_t)(data - parser->data);
}

/* Checks a piece of a field's name, which http-parser reads more leniently. */
static bool
name_is_valid(http_message_parser_t *parser, const char *data, size_t size)
{
	uint64_t offset = offset_of(parser, data);

	/* The line before had a name without a colon. */
	if (parser->in_name && offset != parser->name_end)
		return false;
	parser->in_name = true;
	parser->name_end = offset + size;
	/* Other programs may read "Name : value" as another field, or as none. */
	return memchr(data, ' ', size) == NULL;
}

static int
name_callback(http_parser *http, const char *data, size_t size)
{
	http_message_parser_t *parser = parser_of(http);
	http_head_t *head = &parser->head;
	bool starts = parser->in_value || head->field_count == 0;

	if (!name_is_valid(parser, data, size))
		return parser_fail(parser, HTTP_MESSAGE_ERROR_SYNTAX);
	if (http->flags & F_TRAILING)
		return trailer_discard(parser, size);
	/* Ends the request target or the value before. */
	if (starts) {
		if (text_end(parser) != 0)
			return 1;
		if (head->field_count == HTTP_FIELDS_MAX)
			return parser_fail(parser, HTTP_MESSAGE_ERROR_TOO_LARGE);
		head->fields[head->field_count++] =
		    (http_field_t){.name = (uint32_t)head->text.size};
		parser->in_value = false;
	}
	return text_append(parser, data, size);
}

static bool
is_control(char character)
{
	return (unsigned char)character < ' ' || character == 0x7f;
}

static int
value_callback(http_parser *http, const char *data, size_t size)
{
	http_message_parser_t *parser = parser_of(http);
	http_head_t *head = &parser->head;
	uint64_t offset = offset_of(parser, data);

	/* http-parser does not check the first byte of a value. */
	if (parser->in_name && size > 0 && is_control(data[0]))
		return parser_fail(parser, HTTP_MESSAGE_ERROR_SYNTAX);
	parser->in_name = false;
	if (http->flags & F_TRAILING)
		return trailer_discard(parser, size);
	if (!parser->in_value) {
		if (text_end(parser) != 0)
			return 1;
		head->fields[head->field_count - 1].value = (uint32_t)head->text.size;
		parser->in_value = true;
	} else if (offset != parser->value_end) {
		/* A folded line, which other programs may read as two fields. */
		return parser_fail(parser, HTTP_MESSAGE_ERROR_SYNTAX);
	}
	parser->value_end = offset + size;
	return text_append(parser, data, size);
}

/*
 * True if the end of the message cannot be determined from its fields, beyond what
 * http-parser rejects; see RFC 9112, section 6.
 */
static bool
framing_is_ambiguous(const http_parser *http)
{
	if (http->uses_transfer_encoding)
		return http->http_minor == 0 || !(http->flags & F_CHUNKED);
	return (http->flags & F_CONTENTLENGTH) && http->content_length > INT64_MAX;
}

static void
head_finish(http_message_parser_t *parser)
{
	http_parser *http = &parser->parser;
	http_head_t *head = &parser->head;

	if (http->type == HTTP_RESPONSE)
		head->status = (int)http->status_code;
	else
		string_copy(head->method, sizeof(head->method),
		    http_method_str((enum http_method)http->method));
	if (http->flags & F_CONTENTLENGTH)
		head->body_length = (int64_t)http->content_length;
	head->http_1_0 = http->http_minor == 0;
	head->keep_alive = http_should_keep_alive(http) != 0;
	head->has_body = (http->flags & F_CHUNKED) != 0 ||
			 ((http->flags & F_CONTENTLENGTH) && http->content_length > 0);
	for (size_t i = 0; i < head->field_count; i++)
		head->expects |=
		    strcasecmp(http_head_field_name(head, i), "Expect") == 0 &&
		    strcasecmp(http_head_field_value(head, i), "100-continue") == 0;
}

/* http-parser accepts any digits. */
static bool
status_is_valid(unsigned status)
{
	return status >= 100 && status <= 599;
}

static int
head_callback(http_parser *http)
{
	http_message_parser_t *parser = parser_of(http);

	if (text_end(parser) != 0)
		return HEAD_CALLBACK_FAILED;
	if (http->http_major != 1 || parser->in_name) {
		parser_fail(parser, HTTP_MESSAGE_ERROR_SYNTAX);
		return HEAD_CALLBACK_FAILED;
	}
	if (http->type == HTTP_RESPONSE && !status_is_valid(http->status_code)) {
		parser_fail(parser, HTTP_MESSAGE_ERROR_SYNTAX);
		return HEAD_CALLBACK_FAILED;
	}
	if (framing_is_ambiguous(http)) {
		parser_fail(parser, HTTP_MESSAGE_ERROR_FRAMING);
		return HEAD_CALLBACK_FAILED;
	}
	head_finish(parser);
	/* Other protocols are not offered; the message is an ordinary one. */
	http->upgrade = 0;
	parser->head_begun = false;
	parser->head_done = true;
	if (!parser->events.head(parser->state, &parser->head))
		http_parser_pause(http, 1);
	return parser->bodiless ? HEAD_CALLBACK_BODILESS : 0;
}

static int
body_callback(http_parser *http, const char *data, size_t size)
{
	http_message_parser_t *parser = parser_of(http);

	if (!parser->events.body(parser->state, data, size))
		http_parser_pause(http, 1);
	return 0;
}

static int
end_callback(http_parser *http)
{
	http_message_parser_t *parser = parser_of(http);

	/* The last line of the trailers had no colon. */
	if (parser->in_name)
		return parser_fail(parser, HTTP_MESSAGE_ERROR_SYNTAX);
	http_head_free(&parser->head);
	parser->head_done = false;
	if (!parser->events.end(parser->state))
		http_parser_pause(http, 1);
	return 0;
}

static const http_parser_settings CALLBACKS = {
    .on_message_begin = begin_callback,
    .on_url = url_callback,
    .on_header_field = name_callback,
    .on_header_value = value_callback,
    .on_headers_complete = head_callback,
    .on_body = body_callback,
    .on_message_complete = end_callback,
};

void
http_message_parser_init(http_message_parser_t *parser, enum http_parser_type type,
    const http_message_events_t *events, void *state)
{
	memset(parser, 0, sizeof(*parser));
	http_parser_init(&parser->parser, type);
	parser->parser.data = parser;
	parser->events = *events;
	parser->state = state;
	http_head_init(&parser->head);
}

void
http_message_parser_free(http_message_parser_t *parser)
{
	http_head_free(&parser->head);
}

static http_message_error_t
error_of(const http_message_parser_t *parser)
{
	if (parser->head.error != HTTP_MESSAGE_ERROR_NONE)
		return parser->head.error;
	switch (HTTP_PARSER_ERRNO(&parser->parser)) {
	case HPE_INVALID_CONTENT_LENGTH:
	case HPE_UNEXPECTED_CONTENT_LENGTH:
	case HPE_INVALID_TRANSFER_ENCODING:
	case HPE_INVALID_CHUNK_SIZE:
		return HTTP_MESSAGE_ERROR_FRAMING;
	case HPE_HEADER_OVERFLOW:
		return HTTP_MESSAGE_ERROR_TOO_LARGE;
	default:
		return HTTP_MESSAGE_ERROR_SYNTAX;
	}
}

http_message_error_t
http_message_parser_run(
    http_message_parser_t *parser, const char *data, size_t size, size_t *consumed)
{
	http_head_t *head = &parser->head;

	http_parser_pause(&parser->parser, 0);
	parser->data = data;
	*consumed = http_parser_execute(&parser->parser, &CALLBACKS, data, size);
	parser->consumed_total += *consumed;
	if (HTTP_PARSER_ERRNO(&parser->parser) == HPE_PAUSED ||
	    HTTP_PARSER_ERRNO(&parser->parser) == HPE_OK)
		return HTTP_MESSAGE_ERROR_NONE;
	head->error = error_of(parser);
	if (!parser->head_done) {
		http_message_error_t error = head->error;

		/* What was read of the fields is incomplete. */
		if (head->text.size > 0 && head->text.size < head->text.limit)
			(void)text_end(parser);
		else if (head->text.size > 0)
			head->text.data[head->text.size - 1] = '\0';
		head->error = error;
		head->field_count = 0;
		parser->head_begun = false;
		parser->head_done = true;
		(void)parser->events.head(parser->state, head);
		return error;
	}
	return head->error;
}

bool
http_message_parser_in_head(const http_message_parser_t *parser)
{
	return parser->head_begun;
}

const char *
http_message_error_text(http_message_error_t error)
{
	switch (error) {
	case HTTP_MESSAGE_ERROR_NONE:
		return "none";
	case HTTP_MESSAGE_ERROR_SYNTAX:
		return "syntax";
	case HTTP_MESSAGE_ERROR_FRAMING:
		return "ambiguous framing";
	case HTTP_MESSAGE_ERROR_TOO_LARGE:
		return "too large";
	}
	return "unknown";
}
