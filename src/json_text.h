/*
 * Strict reading of JSON texts with json-c: comments only where they are
 * allowed, no duplicate keys, bounded depth, messages that name place and
 * reason. Any thread.
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
/* Longest place in a message, bytes. */
#define JSON_LOCATION_MAX_BYTES 192

/* Where the first fault of a text is reported to; the first one stays. */
typedef struct json_report {
	char *message;
	size_t size;
	int error; /* 0 until a fault is reported */
} json_report_t;

void json_report_init(json_report_t *report, char *message, size_t size);
/* Writes "PLACE: REASON" unless there is a fault already; returns error. */
int json_report_fail(json_report_t *report, int error, const char *place,
    const char *format, ...) __attribute__((format(printf, 4, 5)));

/*
 * Parses one JSON object. The result is released with json_object_put().
 * Errors: MASTICPITCH_E_INVALID, MASTICPITCH_E_LIMIT, MASTICPITCH_E_NOMEM.
 */
int json_text_parse(const char *text, size_t size, size_t size_max, bool comments,
    struct json_object **object, json_report_t *report);

/*
 * The members of an object, one after the other, without a tree of the whole: that
 * of a document of 500 KB takes 8 MB. Texts of keys and values are as they stand,
 * a key with its quotes; values are not checked beyond their brackets.
 */
typedef struct json_iterator {
	const char *text;
	size_t size;
	size_t at;
	bool begun;
	json_report_t *report;
} json_iterator_t;

typedef struct json_member {
	const char *key;
	size_t key_size;
	const char *value;
	size_t value_size;
} json_member_t;

void json_iterator_init(
    json_iterator_t *walk, const char *text, size_t size, json_report_t *report);
/*
 * The next member; false after the last one or, with the report set, at a fault.
 * Errors: MASTICPITCH_E_INVALID.
 */
bool json_iterator_next(json_iterator_t *walk, json_member_t *member);

/*
 * Refuses an object with a key that is not in keys, which ends with NULL.
 * Errors: MASTICPITCH_E_INVALID.
 */
int json_keys_check(json_report_t *report, const char *place, struct json_object *object,
    const char *const *keys);

/*
 * Reads a whole number in [min, max]; an absent key leaves value as it is,
 * unless it is required. Errors: MASTICPITCH_E_INVALID.
 */
int json_read_uint(json_report_t *report, const char *place, struct json_object *object,
    const char *key, bool required, uint64_t min, uint64_t max, uint64_t *value);
int json_read_uint32(json_report_t *report, const char *place, struct json_object *object,
    const char *key, uint32_t min, uint32_t max, uint32_t *value);
/* Reads true or false in the same way; given tells if the key is there. */
int json_read_bool(json_report_t *report, const char *place, struct json_object *object,
    const char *key, bool *value, bool *given);
/*
 * Reads a required text of 1 to size - 1 bytes without control characters.
 * Errors: MASTICPITCH_E_INVALID.
 */
int json_read_text(json_report_t *report, const char *place, struct json_object *object,
    const char *key, char *target, size_t size);
/* True for 1 to 64 characters of a-z, A-Z, 0-9, '-', '_' and '.'. */
bool json_name_is_valid(const char *name, size_t size);

#ifdef __cplusplus
}
#endif

#endif
