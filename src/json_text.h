/*
 * Strict JSON parser on top of json-c: comments only where the caller allows
 * them, no duplicate keys, bounded depth, error messages with location and
 * reason. Thread-safe.
 */
#ifndef MASTICPITCH_JSON_TEXT_H
#define MASTICPITCH_JSON_TEXT_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define JSON_TEXT_DEPTH_MAX 8
/*
 * Memory that the tree of a text may take, bytes, as estimated before it is built: the
 * smallest values take some 250 times the size of their text.
 */
#define JSON_TEXT_TREE_MAX_BYTES (32 * 1024 * 1024)
/* Size of a buffer for the location in a message, with its terminator. */
#define JSON_LOCATION_MAX_BYTES 192

/* Receives the first error of a text; later ones are ignored. */
typedef struct json_report {
	char *message;
	size_t size;
	int error; /* 0 until an error is reported */
} json_report_t;

void json_report_init(json_report_t *report, char *message, size_t size);
/*
 * Writes "LOCATION: REASON" and returns error. If an error was reported before, it
 * stays and is returned. An empty location is left out.
 */
int json_report_fail(json_report_t *report, int error, const char *location,
    const char *format, ...) __attribute__((format(printf, 4, 5)));

/*
 * Parses one JSON object. The result is released with json_object_put(). A text whose
 * tree would exceed JSON_TEXT_TREE_MAX_BYTES is refused before it is built.
 * Errors: MASTICPITCH_E_INVALID, MASTICPITCH_E_LIMIT, MASTICPITCH_E_NOMEM.
 */
int json_text_parse(const char *text, size_t size, size_t size_max, bool comments,
    struct json_object **object, json_report_t *report);

/*
 * Iterates over the members of an object without building a tree of the complete
 * text: the tree of a document of 500 KB takes 8 MB. Keys and values are unparsed
 * slices of the text, keys with their quotes; of values only the nesting of
 * brackets is checked.
 */
typedef struct json_iterator {
	const char *text;
	size_t size;
	size_t offset;
	bool started;
	json_report_t *report;
} json_iterator_t;

typedef struct json_member {
	const char *key;
	size_t key_size;
	const char *value;
	size_t value_size;
} json_member_t;

void json_iterator_init(
    json_iterator_t *iterator, const char *text, size_t size, json_report_t *report);
/*
 * Reads the next member. Returns false after the last one, and on an error, which
 * is in the report. Errors: MASTICPITCH_E_INVALID.
 */
bool json_iterator_next(json_iterator_t *iterator, json_member_t *member);

/*
 * Fails if the object has a key that is not in keys, a list that ends with NULL.
 * Errors: MASTICPITCH_E_INVALID.
 */
int json_keys_check(json_report_t *report, const char *location,
    struct json_object *object, const char *const *keys);

/*
 * Reads an integer in [min, max]. An absent key leaves value unchanged, or fails
 * if it is required. Errors: MASTICPITCH_E_INVALID.
 */
int json_read_uint(json_report_t *report, const char *location,
    struct json_object *object, const char *key, bool required, uint64_t min,
    uint64_t max, uint64_t *value);
/* The same for an optional key and 32 bits. */
int json_read_uint32(json_report_t *report, const char *location,
    struct json_object *object, const char *key, uint32_t min, uint32_t max,
    uint32_t *value);
/* The same for an optional boolean; present is set to whether the key exists. */
int json_read_bool(json_report_t *report, const char *location,
    struct json_object *object, const char *key, bool *value, bool *present);
/*
 * Reads a required string of 1 to size - 1 bytes without control characters.
 * Errors: MASTICPITCH_E_INVALID.
 */
int json_read_text(json_report_t *report, const char *location,
    struct json_object *object, const char *key, char *target, size_t size);
/* True for 1 to 64 characters of a-z, A-Z, 0-9, '-', '_' and '.'. */
bool json_name_is_valid(const char *name, size_t size);

#ifdef __cplusplus
}
#endif

#endif
