/*
 * What the stand-ins share: command-line options, HTTP replies on
 * libmicrohttpd, and answers that a caller can compute by itself from its
 * request and compare byte for byte.
 */
#ifndef MASTICPITCH_COMMON_STANDIN_H
#define MASTICPITCH_COMMON_STANDIN_H

#include "buffer.h"
#include "os.h"
#include "util.h"

#include <microhttpd.h>
#include <stdbool.h>
#include <stdint.h>

#define STANDIN_URI_MAX_BYTES 2048
#define STANDIN_ANSWER_MAX_BYTES (16 * 1024 * 1024)

/* Gets each request's URI before it is parsed; its result starts the context. */
typedef void *(*standin_log_uri_t)(
    void *state, const char *uri, struct MHD_Connection *connection);

/* The value of "--name VALUE" on the command line, or fallback. */
const char *standin_option(int argc, char **argv, const char *name, const char *fallback);
/* The same for a number; ends the program if it is malformed. */
double standin_option_number(int argc, char **argv, const char *name, double fallback);
/* Ends the program with a message and exit code 2. */
void standin_fail(const char *what, const char *detail) __attribute__((noreturn));

/* The value of an argument in a URI's query as it stands there, or "". */
void standin_query(const char *uri, const char *name, char *value, size_t size);
double standin_query_number(const char *uri, const char *name, double fallback);

/* Fills data with the bytes of the stream named by seed, from offset on. */
void standin_pattern(uint64_t seed, uint64_t offset, uint8_t *data, size_t size);
/* Seed of a request's body and of its answer's filler. */
uint64_t standin_seed(const char *text);

/*
 * The one right answer to a request: a line of method, URI, body length and
 * digest of the body, then the number of filler bytes that the URI's "size"
 * argument asks for. Errors: MASTICPITCH_E_NOMEM, MASTICPITCH_E_LIMIT.
 */
int standin_answer(const char *method, const char *uri, uint64_t body_size,
    const digest_t *body_digest, buffer_t *answer);

/*
 * Starts a daemon with one thread a connection on IP:PORT, prints
 * "listening IP:PORT" and ends the program on failure.
 */
struct MHD_Daemon *standin_listen(const char *address_text,
    MHD_AccessHandlerCallback handler, MHD_RequestCompletedCallback completed,
    standin_log_uri_t log_uri, void *state);
/* Queues an answer that copies the body; header and value may be NULL. */
enum MHD_Result standin_reply(struct MHD_Connection *connection, unsigned status,
    const char *body, size_t size, const char *header, const char *value);
/* True if the other side has closed the connection. */
bool standin_disconnected(struct MHD_Connection *connection);
/* Sleeps, at most to the end of a pause in which the connection closes. */
bool standin_sleep(struct MHD_Connection *connection, uint64_t ns);

#endif
