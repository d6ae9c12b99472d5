#include "exchange.h"

#include "os.h"
#include "util.h"

#include <microhttpd.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <time.h>

/* Head of an answer, bytes; more than the fields of an answer may have. */
#define ANSWER_HEAD_MAX_BYTES (40 * 1024)
/* Piece of the body of an answer, bytes. */
#define PIECE_BYTES (16 * 1024)
#define DATE_BYTES 40

exchange_t *
exchange_create(
    exchange_wakeup_t *wakeup, list_t *exchanges, http_head_t *head, uint64_t now)
{
	exchange_t *exchange = calloc(1, sizeof(*exchange));

	if (exchange == NULL)
		return NULL;
	exchange->wakeup = wakeup;
	exchange->received_at = now;
	exchange->head = *head;
	http_head_init(head);
	list_append(exchanges, &exchange->link);
	exchange->siblings = exchanges;
	buffer_init(&exchange->answer_head, ANSWER_HEAD_MAX_BYTES);
	return exchange;
}

void
exchange_destroy(exchange_t *exchange)
{
	if (exchange == NULL)
		return;
	list_remove(&exchange->link);
	http_head_free(&exchange->head);
	buffer_free(&exchange->answer_head);
	free(exchange);
}

void
exchange_wake(exchange_wakeup_t *wakeup)
{
	if (!list_is_empty(&wakeup->link))
		return;
	list_append(wakeup->queue, &wakeup->link);
	defer_start(wakeup->defer);
}

void
exchange_resume(exchange_t *exchange)
{
	exchange_wake(exchange->wakeup);
}

void
exchange_abort(exchange_t *exchange)
{
	exchange->aborted = true;
	exchange_resume(exchange);
}

bool
exchange_has_followers(const exchange_t *exchange)
{
	return exchange->link.next != exchange->siblings;
}

/* Fields that describe the connection or the framing, which are set here. */
static bool
field_is_own(const char *name)
{
	return strcasecmp(name, "Content-Length") == 0 ||
	       strcasecmp(name, "Transfer-Encoding") == 0 ||
	       strcasecmp(name, "Connection") == 0 || strcasecmp(name, "Keep-Alive") == 0;
}

static exchange_framing_t
framing_of(const exchange_t *exchange, const exchange_answer_t *answer)
{
	if (answer->status < 200 || answer->status == 204 || answer->status == 304 ||
	    strcmp(exchange->head.method, "HEAD") == 0)
		return EXCHANGE_NO_BODY;
	if (answer->body_length >= 0)
		return EXCHANGE_LENGTH;
	return exchange->head.http_1_0 ? EXCHANGE_UNTIL_CLOSE : EXCHANGE_CHUNKED;
}

static int
fields_write(exchange_t *exchange, const exchange_answer_t *answer)
{
	buffer_t *text = &exchange->answer_head;
	bool dated = false;
	int error = MASTICPITCH_OK;

	for (size_t i = 0; i < answer->headers->count && error == MASTICPITCH_OK; i++) {
		const header_t *field = &answer->headers->items[i];

		dated |= strcasecmp(field->name, "Date") == 0;
		if (!field_is_own(field->name))
			error =
			    buffer_printf(text, "%s: %s\r\n", field->name, field->value);
	}
	if (error == MASTICPITCH_OK && !dated) {
		time_t now = (time_t)(os_clock_wall_ms() / 1000);
		char date[DATE_BYTES];
		struct tm parts;

		strftime(date, sizeof(date), "%a, %d %b %Y %H:%M:%S GMT",
		    gmtime_r(&now, &parts));
		error = buffer_printf(text, "Date: %s\r\n", date);
	}
	return error;
}

static int
framing_write(exchange_t *exchange, const exchange_answer_t *answer)
{
	buffer_t *text = &exchange->answer_head;
	int error = MASTICPITCH_OK;

	switch (exchange->framing) {
	case EXCHANGE_CHUNKED:
		error = buffer_printf(text, "Transfer-Encoding: chunked\r\n");
		break;
	case EXCHANGE_NO_BODY:
		/* The length of the body that another method would get. */
		if (answer->status == 204 || answer->body_length < 0)
			break;
		__attribute__((fallthrough));
	case EXCHANGE_LENGTH:
		error = buffer_printf(
		    text, "Content-Length: %lld\r\n", (long long)answer->body_length);
		break;
	case EXCHANGE_UNTIL_CLOSE:
		break;
	}
	if (error == MASTICPITCH_OK && exchange->close)
		error = buffer_printf(text, "Connection: close\r\n");
	else if (error == MASTICPITCH_OK && exchange->head.http_1_0)
		error = buffer_printf(text, "Connection: keep-alive\r\n");
	return error == MASTICPITCH_OK ? buffer_append(text, "\r\n", 2) : error;
}

int
exchange_answer_start(exchange_t *exchange, const exchange_answer_t *answer)
{
	int error;

	exchange->framing = framing_of(exchange, answer);
	exchange->close = answer->close || !exchange->head.keep_alive ||
			  exchange->framing == EXCHANGE_UNTIL_CLOSE;
	exchange->body_left = answer->body_length > 0 ? (uint64_t)answer->body_length : 0;
	error = buffer_printf(&exchange->answer_head, "HTTP/1.1 %d %s\r\n",
	    answer->status, MHD_get_reason_phrase_for((unsigned)answer->status));
	if (error == MASTICPITCH_OK)
		error = fields_write(exchange, answer);
	if (error == MASTICPITCH_OK)
		error = framing_write(exchange, answer);
	if (error == MASTICPITCH_OK)
		exchange->state = EXCHANGE_ANSWERING;
	exchange_resume(exchange);
	return error;
}

/* Writes one piece as the framing requires; false: no memory. */
static bool
piece_write(exchange_t *exchange, const char *piece, size_t size, buffer_t *output)
{
	if (exchange->framing == EXCHANGE_CHUNKED)
		return buffer_printf(output, "%zx\r\n", size) == MASTICPITCH_OK &&
		       buffer_append(output, piece, size) == MASTICPITCH_OK &&
		       buffer_append(output, "\r\n", 2) == MASTICPITCH_OK;
	if (exchange->framing == EXCHANGE_LENGTH)
		exchange->body_left -= size;
	return buffer_append(output, piece, size) == MASTICPITCH_OK;
}

/* The end of the body; false: it is not complete. */
static bool
body_finish(exchange_t *exchange, buffer_t *output)
{
	switch (exchange->framing) {
	case EXCHANGE_CHUNKED:
		return buffer_append(output, "0\r\n\r\n", 5) == MASTICPITCH_OK;
	case EXCHANGE_LENGTH:
		return exchange->body_left == 0;
	case EXCHANGE_NO_BODY:
	case EXCHANGE_UNTIL_CLOSE:
		break;
	}
	return true;
}

bool
exchange_output(exchange_t *exchange, exchange_read_t read, buffer_t *output)
{
	char piece[PIECE_BYTES];

	if (exchange->answer_head.size > 0) {
		if (buffer_append(output, exchange->answer_head.data,
			exchange->answer_head.size) != MASTICPITCH_OK)
			goto cut;
		buffer_free(&exchange->answer_head);
	}
	while (output->size < EXCHANGE_OUTPUT_TARGET_BYTES) {
		size_t size = sizeof(piece);
		ssize_t given = EXCHANGE_READ_END;

		if (exchange->framing == EXCHANGE_LENGTH)
			size = MIN_OF(size, exchange->body_left);
		if (exchange->framing != EXCHANGE_NO_BODY && size > 0)
			given = read(exchange->owner, piece, size);
		if (given == 0)
			return false;
		if (given == EXCHANGE_READ_CUT)
			goto cut;
		if (given == EXCHANGE_READ_END) {
			if (!body_finish(exchange, output))
				goto cut;
			exchange->state = EXCHANGE_ANSWERED;
			return true;
		}
		if (!piece_write(exchange, piece, (size_t)given, output))
			goto cut;
	}
	return false;
cut:
	exchange->cut = true;
	exchange->state = EXCHANGE_ANSWERED;
	return true;
}
