#include "log.h"

#include "os.h"
#include "util.h"

#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

typedef struct line {
	char text[LOG_LINE_MAX_BYTES];
	size_t size;
} line_t;

/* Reserved for the closing brace and the line feed. */
#define LINE_TAIL_BYTES 4

static const char *const level_names[] = {"debug", "info", "warning", "error"};

void
log_init(log_t *log, int fd, log_level_t level)
{
	memset(log, 0, sizeof(*log));
	log->fd = fd;
	log->level = level;
}

void
log_set_nonblocking(log_t *log)
{
	int flags = fcntl(log->fd, F_GETFL);

	/* A terminal is shared with the shell that started the process. */
	if (flags >= 0 && !isatty(log->fd))
		(void)fcntl(log->fd, F_SETFL, flags | O_NONBLOCK);
}

int
log_level_parse(const char *name, log_level_t *level)
{
	for (size_t i = 0; i < ARRAY_LENGTH(level_names); i++) {
		if (strcmp(name, level_names[i]) == 0) {
			*level = (log_level_t)i;
			return MASTICPITCH_OK;
		}
	}
	return MASTICPITCH_E_INVALID;
}

static void
line_append(line_t *line, const char *text)
{
	size_t length = strlen(text);

	if (line->size + length > LOG_LINE_MAX_BYTES - LINE_TAIL_BYTES)
		return;
	memcpy(line->text + line->size, text, length);
	line->size += length;
}

static void
line_append_quoted(line_t *line, const char *text)
{
	char escaped[8];

	line_append(line, "\"");
	for (; *text != '\0'; text++) {
		unsigned char c = (unsigned char)*text;

		if (line->size > LOG_LINE_MAX_BYTES - LINE_TAIL_BYTES - sizeof(escaped))
			break;
		if (c == '"' || c == '\\')
			snprintf(escaped, sizeof(escaped), "\\%c", c);
		else if (c < 0x20)
			snprintf(escaped, sizeof(escaped), "\\u%04x", c);
		else
			snprintf(escaped, sizeof(escaped), "%c", c);
		line_append(line, escaped);
	}
	line_append(line, "\"");
}

static void
line_append_time(line_t *line)
{
	char text[40];
	uint64_t wall_ms = os_clock_wall_ms();
	time_t seconds = (time_t)(wall_ms / 1000);
	struct tm parts;
	size_t used;

	gmtime_r(&seconds, &parts);
	used = strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &parts);
	snprintf(text + used, sizeof(text) - used, ".%03uZ", (unsigned)(wall_ms % 1000));
	line_append_quoted(line, text);
}

/*
 * Rate limit. Returns 1 if the line is to be written; *suppressed is the number of
 * lines with this message dropped before it.
 */
static int
log_repeat_admit(log_t *log, log_level_t level, const char *message, uint32_t *suppressed)
{
	uint64_t hash = hash_string(message);
	uint64_t second = os_clock_monotonic() / NS_PER_S;
	log_repeat_t *slot = &log->repeats[hash % LOG_REPEAT_SLOTS];

	*suppressed = 0;
	if (slot->message_hash != hash || slot->second != second) {
		if (slot->message_hash == hash)
			*suppressed = slot->suppressed;
		*slot = (log_repeat_t){.message_hash = hash, .second = second};
	}
	if (slot->passed >=
	    (level >= LOG_LEVEL_WARNING ? LOG_WARNINGS_PER_S : LOG_REPEATS_PER_S)) {
		slot->suppressed++;
		log->suppressed++;
		return 0;
	}
	slot->passed++;
	return 1;
}

void
log_write(log_t *log, log_level_t level, const char *message, const log_field_t *fields)
{
	line_t line = {.size = 0};
	char number[24];
	uint32_t suppressed;

	if (log == NULL || level < log->level ||
	    !log_repeat_admit(log, level, message, &suppressed))
		return;
	line_append(&line, "{\"time\":");
	line_append_time(&line);
	/* The time of day may jump; this one tells the order and the distance of lines.
	 */
	snprintf(number, sizeof(number), "%llu",
	    (unsigned long long)(os_clock_monotonic() / NS_PER_MS));
	line_append(&line, ",\"monotonic_ms\":");
	line_append(&line, number);
	line_append(&line, ",\"level\":");
	line_append_quoted(&line, level_names[level]);
	if (log->node[0] != '\0') {
		line_append(&line, ",\"node\":");
		line_append_quoted(&line, log->node);
	}
	line_append(&line, ",\"message\":");
	line_append_quoted(&line, message);
	for (; fields->kind != LOG_KIND_END; fields++) {
		line_append(&line, ",");
		line_append_quoted(&line, fields->key);
		line_append(&line, ":");
		if (fields->kind == LOG_KIND_TEXT) {
			line_append_quoted(
			    &line, fields->text != NULL ? fields->text : "");
		} else {
			snprintf(
			    number, sizeof(number), "%lld", (long long)fields->number);
			line_append(&line, number);
		}
	}
	if (suppressed > 0) {
		snprintf(number, sizeof(number), "%u", suppressed);
		line_append(&line, ",\"suppressed\":");
		line_append(&line, number);
	}
	memcpy(line.text + line.size, "}\n", 2);
	line.size += 2;
	if (write(log->fd, line.text, line.size) < 0)
		log->suppressed++;
}
