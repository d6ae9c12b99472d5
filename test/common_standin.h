/*
 * Shared by the stand-ins: command-line options, HTTP replies with libmicrohttpd,
 * and answers that are a function of the request, so that a caller can compute
 * the expected answer and compare it byte for byte.
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

/* Called with each request's URI before it is parsed; returns the request context. */
typedef void *(*standin_log_uri_t)(
    void *state, const char *uri, struct MHD_Connection *connection);

/* The value of "--name VALUE" on the command line, or fallback. */
const char *standin_option(int argc, char **argv, const char *name, const char *fallback);
/* The same for a number; exits with code 2 if it is malformed. */
double standin_option_number(int argc, char **argv, const char *name, double fallback);
/* Ends the program with a message and exit code 2. */
void standin_fail(const char *what, const char *detail) __attribute__((noreturn));

/* The value of an argument of a URI's query, not percent-decoded, or "". */
void standin_query(const char *uri, const char *name, char *value, size_t size);
double standin_query_number(const char *uri, const char *name, double fallback);

/* Fills data with a pseudo-random byte stream determined by seed, from offset on. */
void standin_pattern(uint64_t seed, uint64_t offset, uint8_t *data, size_t size);
/* Seed for a request's body (text: its id) or its answer's filler (text: its URI). */
uint64_t standin_seed(const char *text);

/*
 * The expected answer to a request: a line with method, URI, body length and
 * digest of the body, then as many filler bytes as the URI's "size" argument
 * gives. Errors: MASTICPITCH_E_NOMEM, MASTICPITCH_E_LIMIT.
 */
int standin_answer(const char *method, const char *uri, uint64_t body_size,
    const digest_t *body_digest, buffer_t *answer);

/*
 * Starts an HTTP server with one thread per connection on IP:PORT and prints
 * "listening IP:PORT". Exits with code 2 on failure.
 */
struct MHD_Daemon *standin_listen(const char *address_text,
    MHD_AccessHandlerCallback handler, MHD_RequestCompletedCallback completed,
    standin_log_uri_t log_uri, void *state);
/* Queues a reply with a copy of the body and one header; header and value may be NULL. */
enum MHD_Result standin_reply(struct MHD_Connection *connection, unsigned status,
    const char *body, size_t size, const char *header, const char *value);
/* True if the peer has closed the connection or its sending side. */
bool standin_disconnected(struct MHD_Connection *connection);
/*
 * Sleeps and checks the connection periodically; returns false early if the peer
 * has disconnected.
 */
bool standin_sleep(struct MHD_Connection *connection, uint64_t ns);

#endif
