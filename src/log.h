/*
 * Log of JSON lines on a file descriptor, with levels and a rate limit for each
 * message. Not thread-safe.
 */
#ifndef MASTICPITCH_LOG_H
#define MASTICPITCH_LOG_H

#include "masticpitch/masticpitch.h"

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef enum log_level {
	LOG_LEVEL_DEBUG,
	LOG_LEVEL_INFO,
	LOG_LEVEL_WARNING,
	LOG_LEVEL_ERROR
} log_level_t;

/*
 * Lines with the same message that are written in one second; the rest is dropped
 * and counted. The limit is higher from level warning on, because a warning reports
 * a single failed request.
 */
#define LOG_REPEATS_PER_S 10
#define LOG_WARNINGS_PER_S 50
/* Messages counted separately; two that share a slot reset each other's count. */
#define LOG_REPEAT_SLOTS 64
/* Maximum length of a line; text that does not fit is cut off or left out. */
#define LOG_LINE_MAX_BYTES 2048

typedef struct log_repeat {
	uint64_t message_hash;
	uint64_t second;
	uint32_t passed;
	uint32_t suppressed;
} log_repeat_t;

typedef struct log {
	int fd;
	log_level_t level;
	char node[24];	     /* peer address of the node; empty: none */
	uint64_t suppressed; /* lines dropped since startup */
	log_repeat_t repeats[LOG_REPEAT_SLOTS];
} log_t;

typedef enum log_kind { LOG_KIND_END, LOG_KIND_TEXT, LOG_KIND_NUMBER } log_kind_t;

/* A key and its value. */
typedef struct log_field {
	log_kind_t kind;
	const char *key;
	const char *text;
	int64_t number;
} log_field_t;

#define LOG_TEXT(key, value) ((log_field_t){LOG_KIND_TEXT, (key), (value), 0})
#define LOG_NUMBER(key, value) \
	((log_field_t){LOG_KIND_NUMBER, (key), NULL, (int64_t)(value)})

void log_init(log_t *log, int fd, log_level_t level);
/*
 * Makes the descriptor non-blocking, unless it is a terminal: lines are dropped and
 * counted while its reader is slow. For a process that must not block.
 */
void log_set_nonblocking(log_t *log);

/* Names: debug, info, warning, error. Errors: MASTICPITCH_E_INVALID. */
int log_level_parse(const char *name, log_level_t *level);

/*
 * Writes {"time","monotonic_ms","level","node","message",fields...}. The message is a
 * constant text; variable parts go into fields, an array that ends with LOG_KIND_END.
 * If the rate limit dropped lines with this message before, "suppressed" has their
 * number. log NULL: no effect.
 */
void log_write(
    log_t *log, log_level_t level, const char *message, const log_field_t *fields);

/* cppcheck cannot parse __VA_OPT__; the first element only makes the comma valid. */
#define LOG_EVENT(log, level, message, ...) \
	log_write((log), (level), (message), \
	    &(const log_field_t[]){{LOG_KIND_END, NULL, NULL, 0}, ##__VA_ARGS__, \
		{LOG_KIND_END, NULL, NULL, 0}}[1])

#define log_debug(log, ...) LOG_EVENT((log), LOG_LEVEL_DEBUG, __VA_ARGS__)
#define log_info(log, ...) LOG_EVENT((log), LOG_LEVEL_INFO, __VA_ARGS__)
#define log_warning(log, ...) LOG_EVENT((log), LOG_LEVEL_WARNING, __VA_ARGS__)
#define log_error(log, ...) LOG_EVENT((log), LOG_LEVEL_ERROR, __VA_ARGS__)

#ifdef __cplusplus
}
#endif

#endif
