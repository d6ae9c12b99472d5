/*
 * Small helpers without global state: strings, hex, hashes, a seeded random number
 * generator. Thread-safe, except for calls with the same rng_t.
 */
#ifndef MASTICPITCH_UTIL_H
#define MASTICPITCH_UTIL_H

#include "masticpitch/masticpitch.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Aborts the process if an internal invariant is violated; never for invalid input. */
#define INVARIANT(condition) \
	do { \
		if (!(condition)) \
			util_invariant_failed(#condition, __FILE__, __LINE__); \
	} while (0)

void util_invariant_failed(const char *condition, const char *file, int line)
    __attribute__((noreturn));

#define ARRAY_LENGTH(array) (sizeof(array) / sizeof((array)[0]))
#define MIN_OF(a, b) ((a) < (b) ? (a) : (b))
#define MAX_OF(a, b) ((a) > (b) ? (a) : (b))

/* A digest as stored in records: 128-bit BLAKE2b, as bytes and as hex text. */
#define DIGEST_BYTES 16
#define DIGEST_TEXT_BYTES (2 * DIGEST_BYTES + 1)

typedef struct digest {
	uint8_t bytes[DIGEST_BYTES];
} digest_t;

/* xoshiro256** state; the same seed gives the same sequence on every host. */
typedef struct rng {
	uint64_t state[4];
} rng_t;

void rng_init(rng_t *rng, uint64_t seed);
uint64_t rng_next(rng_t *rng);
/* Uniform in [0, bound); 0 if bound is 0. */
uint64_t rng_below(rng_t *rng, uint64_t bound);
/* Uniform in [0, 1). */
double rng_unit(rng_t *rng);

/* 64-bit FNV-1a with a final mix; for tables, not for authentication. */
uint64_t hash_bytes(const void *data, size_t size, uint64_t seed);
uint64_t hash_string(const char *text);

void digest_compute(const void *data, size_t size, digest_t *digest);
void digest_format(const digest_t *digest, char text[DIGEST_TEXT_BYTES]);
/* Errors: MASTICPITCH_E_INVALID. */
int digest_parse(const char *text, digest_t *digest);
bool digest_equal(const digest_t *a, const digest_t *b);

/* Writes 2 * size lower-case hex digits and a terminator. */
void hex_encode(const uint8_t *data, size_t size, char *text);
/* Errors: MASTICPITCH_E_INVALID unless text is exactly 2 * size hex digits. */
int hex_decode(const char *text, uint8_t *data, size_t size);

/*
 * Copies text into a fixed array; the result is always NUL-terminated. Errors:
 * MASTICPITCH_E_LIMIT if it does not fit; then the target is the empty string.
 */
int string_copy(char *target, size_t size, const char *text);

/* Parses a decimal number in [0, max]. Errors: MASTICPITCH_E_INVALID. */
int string_parse_uint(const char *text, uint64_t max, uint64_t *value);

/*
 * Reads a complete file of at most max bytes; the result is NUL-terminated and is
 * freed by the caller. Errors: MASTICPITCH_E_IO, MASTICPITCH_E_LIMIT,
 * MASTICPITCH_E_NOMEM.
 */
int file_read(const char *path, size_t max, char **text, size_t *size);

#ifdef __cplusplus
}
#endif

#endif
