#include "json_text.h"

#include "masticpitch/masticpitch.h"
#include "util.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void
json_report_init(json_report_t *report, char *message, size_t size)
{
	report->message = message;
	report->size = size;
	report->error = MASTICPITCH_OK;
	if (size > 0)
		message[0] = '\0';
}

int
json_report_fail(
    json_report_t *report, int error, const char *location, const char *format, ...)
{
	va_list arguments;
	size_t used = 0;

	if (report->error != MASTICPITCH_OK)
		return report->error;
	report->error = error;
	if (report->size == 0)
		return error;
	if (location[0] != '\0') {
		snprintf(report->message, report->size, "%s: ", location);
		used = strlen(report->message);
	}
	va_start(arguments, format);
	/* The analyzer misses va_start() when it reads several files at once. */
	vsnprintf(report->message + used, report->size - used, format, /* NOLINT */
	    arguments);
	va_end(arguments);
	return error;
}

/* Memory that json-c takes for an empty object and array, for a value and for a key,
 * bytes. */
#define TREE_OBJECT_BYTES 800
#define TREE_ARRAY_BYTES 400
#define TREE_VALUE_BYTES 64
#define TREE_KEY_BYTES 192

/*
 * State of a pass over the raw text that blanks comments, counts keys and estimates the
 * memory of the tree.
 */
typedef struct scan {
	char *text;
	size_t size;
	size_t offset;
	uint64_t colons; /* outside strings: equals the number of keys */
	uint64_t tree_bytes;
} scan_t;

static void
scan_skip_string(scan_t *scan)
{
	for (scan->offset++; scan->offset < scan->size && scan->text[scan->offset] != '"';
	     scan->offset++) {
		if (scan->text[scan->offset] == '\\')
			scan->offset++;
	}
	scan->offset++;
}

/* Replaces one comment by spaces; line feeds stay, so that line numbers stay correct. */
static bool
scan_blank_comment(scan_t *scan)
{
	char kind = scan->offset + 1 < scan->size ? scan->text[scan->offset + 1] : '\0';
	bool ended = false;

	if (kind != '/' && kind != '*')
		return false;
	scan->text[scan->offset++] = ' ';
	scan->text[scan->offset++] = ' ';
	while (scan->offset < scan->size && !ended) {
		char *c = &scan->text[scan->offset++];

		if (*c == '\n') {
			ended = kind == '/';
			continue;
		}
		if (kind == '*' && *c == '*' && scan->offset < scan->size &&
		    c[1] == '/') {
			scan->text[scan->offset++] = ' ';
			ended = true;
		}
		*c = ' ';
	}
	return ended || kind == '/';
}

/* Counts a character outside strings. */
static void
scan_count(scan_t *scan, char character)
{
	switch (character) {
	case '{':
		scan->tree_bytes += TREE_OBJECT_BYTES;
		break;
	case '[':
		scan->tree_bytes += TREE_ARRAY_BYTES;
		break;
	case ',':
		scan->tree_bytes += TREE_VALUE_BYTES;
		break;
	case ':':
		scan->colons++;
		scan->tree_bytes += TREE_KEY_BYTES;
		break;
	default:
		break;
	}
}

static int
scan_run(scan_t *scan, bool comments, json_report_t *report)
{
	while (scan->offset < scan->size) {
		switch (scan->text[scan->offset]) {
		case '"':
			scan_skip_string(scan);
			break;
		case '/':
			if (!comments || !scan_blank_comment(scan))
				return json_report_fail(report, MASTICPITCH_E_INVALID, "",
				    comments ? "unfinished comment"
					     : "comments are not allowed here");
			break;
		case '\0':
			return json_report_fail(
			    report, MASTICPITCH_E_INVALID, "", "contains a zero byte");
		default:
			scan_count(scan, scan->text[scan->offset++]);
			break;
		}
	}
	if (scan->tree_bytes > JSON_TEXT_TREE_MAX_BYTES)
		return json_report_fail(
		    report, MASTICPITCH_E_LIMIT, "", "has too many values");
	return MASTICPITCH_OK;
}

/*
 * Number of keys in the tree; json-c keeps one of duplicate keys, so they are missing
 * here. The recursion is bounded by the depth limit of the tokener.
 */
static uint64_t
keys_count(struct json_object *value)
{
	uint64_t count = 0;

	if (json_object_is_type(value, json_type_array)) {
		size_t length = json_object_array_length(value);

		for (size_t i = 0; i < length; i++)
			count += keys_count(json_object_array_get_idx(value, i));
	} else if (json_object_is_type(value, json_type_object)) {
		json_object_object_foreach(value, key, item)
		{
			(void)key;
			count += 1 + keys_count(item);
		}
	}
	return count;
}

static size_t
line_of(const char *text, size_t offset)
{
	size_t line = 1;

	for (size_t i = 0; i < offset; i++)
		line += text[i] == '\n';
	return line;
}

static bool
is_blank(const char *text, size_t from, size_t size)
{
	for (size_t i = from; i < size; i++) {
		if (strchr(" \t\r\n", text[i]) == NULL)
			return false;
	}
	return true;
}

static int
object_parse(const scan_t *scan, struct json_object **result, json_report_t *report)
{
	struct json_tokener *tokener = json_tokener_new_ex(JSON_TEXT_DEPTH_MAX);
	struct json_object *object = NULL;
	enum json_tokener_error parse_error;
	char location[32];
	size_t end;

	if (tokener == NULL)
		return json_report_fail(report, MASTICPITCH_E_NOMEM, "", "out of memory");
	json_tokener_set_flags(tokener, JSON_TOKENER_STRICT | JSON_TOKENER_VALIDATE_UTF8 |
					    JSON_TOKENER_ALLOW_TRAILING_CHARS);
	object = json_tokener_parse_ex(tokener, scan->text, (int)scan->size);
	parse_error = json_tokener_get_error(tokener);
	end = MIN_OF(json_tokener_get_parse_end(tokener), scan->size);
	snprintf(location, sizeof(location), "line %zu", line_of(scan->text, end));
	if (parse_error == json_tokener_continue)
		json_report_fail(
		    report, MASTICPITCH_E_INVALID, location, "unfinished JSON");
	else if (parse_error != json_tokener_success)
		json_report_fail(report, MASTICPITCH_E_INVALID, location, "%s",
		    json_tokener_error_desc(parse_error));
	else if (!is_blank(scan->text, end, scan->size))
		json_report_fail(
		    report, MASTICPITCH_E_INVALID, location, "text after the end");
	else if (!json_object_is_type(object, json_type_object))
		json_report_fail(report, MASTICPITCH_E_INVALID, "", "must be an object");
	else if (keys_count(object) != scan->colons)
		json_report_fail(report, MASTICPITCH_E_INVALID, "",
		    "a key appears twice in an object");
	json_tokener_free(tokener);
	if (report->error != MASTICPITCH_OK) {
		json_object_put(object);
		return report->error;
	}
	*result = object;
	return MASTICPITCH_OK;
}

int
json_text_parse(const char *text, size_t size, size_t size_max, bool comments,
    struct json_object **object, json_report_t *report)
{
	scan_t scan = {.size = size};
	int error;

	if (size > size_max)
		return json_report_fail(
		    report, MASTICPITCH_E_LIMIT, "", "longer than %zu bytes", size_max);
	scan.text = malloc(size + 1);
	if (scan.text == NULL)
		return json_report_fail(report, MASTICPITCH_E_NOMEM, "", "out of memory");
	if (size > 0)
		memcpy(scan.text, text, size);
	scan.text[size] = '\0';
	error = scan_run(&scan, comments, report);
	if (error == MASTICPITCH_OK)
		error = object_parse(&scan, object, report);
	free(scan.text);
	return error;
}

void
json_iterator_init(
    json_iterator_t *iterator, const char *text, size_t size, json_report_t *report)
{
	*iterator = (json_iterator_t){.text = text, .size = size, .report = report};
}

/* Skips white space; returns the next character, or 0 at the end. */
static char
iterator_peek(json_iterator_t *iterator)
{
	while (iterator->offset < iterator->size &&
	       strchr(" \t\r\n", iterator->text[iterator->offset]) != NULL &&
	       iterator->text[iterator->offset] != '\0')
		iterator->offset++;
	return iterator->offset < iterator->size ? iterator->text[iterator->offset]
						 : '\0';
}

static bool
iterator_fail(json_iterator_t *iterator, const char *reason)
{
	json_report_fail(iterator->report, MASTICPITCH_E_INVALID, "", "%s", reason);
	return false;
}

static bool
iterator_skip_string(json_iterator_t *iterator)
{
	for (iterator->offset++; iterator->offset < iterator->size; iterator->offset++) {
		if (iterator->text[iterator->offset] == '\\')
			iterator->offset++;
		else if (iterator->text[iterator->offset] == '"')
			break;
	}
	if (iterator->offset >= iterator->size)
		return iterator_fail(iterator, "unfinished JSON");
	iterator->offset++;
	return true;
}

/* Skips one value, up to the comma or closing bracket that follows it. */
static bool
iterator_skip_value(json_iterator_t *iterator)
{
	size_t depth = 0;

	while (iterator->offset < iterator->size) {
		switch (iterator->text[iterator->offset]) {
		case '"':
			if (!iterator_skip_string(iterator))
				return false;
			continue;
		case '{':
		case '[':
			depth++;
			break;
		case ',':
			if (depth == 0)
				return true;
			break;
		case '}':
		case ']':
			if (depth-- == 0)
				return true;
			break;
		default:
			break;
		}
		iterator->offset++;
	}
	return iterator_fail(iterator, "unfinished JSON");
}

bool
json_iterator_next(json_iterator_t *iterator, json_member_t *member)
{
	char c = iterator_peek(iterator);

	if (!iterator->started && c != '{')
		return iterator_fail(iterator, "must be an object");
	if (c == '}')
		return false;
	if (c != (iterator->started ? ',' : '{'))
		return iterator_fail(iterator, "malformed object");
	iterator->offset++;
	c = iterator_peek(iterator);
	if (c == '}' && !iterator->started)
		return false;
	iterator->started = true;
	if (c != '"')
		return iterator_fail(iterator, "malformed object");
	member->key = iterator->text + iterator->offset;
	if (!iterator_skip_string(iterator))
		return false;
	member->key_size = (size_t)(iterator->text + iterator->offset - member->key);
	if (iterator_peek(iterator) != ':')
		return iterator_fail(iterator, "malformed object");
	iterator->offset++;
	(void)iterator_peek(iterator);
	member->value = iterator->text + iterator->offset;
	if (!iterator_skip_value(iterator))
		return false;
	member->value_size = (size_t)(iterator->text + iterator->offset - member->value);
	return true;
}

int
json_keys_check(json_report_t *report, const char *location, struct json_object *object,
    const char *const *keys)
{
	json_object_object_foreach(object, key, item)
	{
		const char *const *known = keys;

		(void)item;
		while (*known != NULL && strcmp(*known, key) != 0)
			known++;
		if (*known == NULL)
			return json_report_fail(report, MASTICPITCH_E_INVALID, location,
			    "unknown key \"%.64s\"", key);
	}
	return MASTICPITCH_OK;
}

int
json_read_uint(json_report_t *report, const char *location, struct json_object *object,
    const char *key, bool required, uint64_t min, uint64_t max, uint64_t *value)
{
	struct json_object *item = NULL;
	uint64_t number;

	if (!json_object_object_get_ex(object, key, &item)) {
		if (!required)
			return MASTICPITCH_OK;
		return json_report_fail(
		    report, MASTICPITCH_E_INVALID, location, "%s: is missing", key);
	}
	if (!json_object_is_type(item, json_type_int) || json_object_get_int64(item) < 0)
		return json_report_fail(report, MASTICPITCH_E_INVALID, location,
		    "%s: must be a whole number from %" PRIu64 " to %" PRIu64, key, min,
		    max);
	number = json_object_get_uint64(item);
	if (number < min || number > max)
		return json_report_fail(report, MASTICPITCH_E_INVALID, location,
		    "%s: must be from %" PRIu64 " to %" PRIu64, key, min, max);
	*value = number;
	return MASTICPITCH_OK;
}

int
json_read_uint32(json_report_t *report, const char *location, struct json_object *object,
    const char *key, uint32_t min, uint32_t max, uint32_t *value)
{
	uint64_t number = *value;
	int error =
	    json_read_uint(report, location, object, key, false, min, max, &number);

	if (error == MASTICPITCH_OK)
		*value = (uint32_t)number;
	return error;
}

int
json_read_bool(json_report_t *report, const char *location, struct json_object *object,
    const char *key, bool *value, bool *present)
{
	struct json_object *item = NULL;

	*present = json_object_object_get_ex(object, key, &item);
	if (!*present)
		return MASTICPITCH_OK;
	if (!json_object_is_type(item, json_type_boolean))
		return json_report_fail(report, MASTICPITCH_E_INVALID, location,
		    "%s: must be true or false", key);
	*value = json_object_get_boolean(item);
	return MASTICPITCH_OK;
}

int
json_read_text(json_report_t *report, const char *location, struct json_object *object,
    const char *key, char *target, size_t size)
{
	struct json_object *item = NULL;
	const char *text;
	size_t length;

	if (!json_object_object_get_ex(object, key, &item))
		return json_report_fail(
		    report, MASTICPITCH_E_INVALID, location, "%s: is missing", key);
	if (!json_object_is_type(item, json_type_string))
		return json_report_fail(
		    report, MASTICPITCH_E_INVALID, location, "%s: must be a string", key);
	text = json_object_get_string(item);
	length = (size_t)json_object_get_string_len(item);
	if (length == 0 || length >= size)
		return json_report_fail(report, MASTICPITCH_E_INVALID, location,
		    "%s: must have 1 to %zu bytes", key, size - 1);
	for (size_t i = 0; i < length; i++) {
		if ((unsigned char)text[i] < 0x20 || text[i] == 0x7f)
			return json_report_fail(report, MASTICPITCH_E_INVALID, location,
			    "%s: contains a control character", key);
	}
	memcpy(target, text, length + 1);
	return MASTICPITCH_OK;
}

bool
json_name_is_valid(const char *name, size_t size)
{
	static const char allowed[] =
	    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	    "0123456789-_.";

	return size >= 1 && size <= 64 && strlen(name) == size &&
	       strspn(name, allowed) == size;
}
