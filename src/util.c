#include "util.h"

#include <errno.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void
util_invariant_failed(const char *condition, const char *file, int line)
{
	fprintf(stderr,
	    "{\"level\":\"fatal\",\"message\":\"invariant broken\","
	    "\"condition\":\"%s\",\"file\":\"%s\",\"line\":%d}\n",
	    condition, file, line);
	abort();
}

static uint64_t
splitmix_next(uint64_t *state)
{
	uint64_t z = (*state += UINT64_C(0x9e3779b97f4a7c15));

	z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
	return z ^ (z >> 31);
}

void
rng_init(rng_t *rng, uint64_t seed)
{
	for (size_t i = 0; i < ARRAY_LENGTH(rng->state); i++)
		rng->state[i] = splitmix_next(&seed);
}

static uint64_t
rotate_left(uint64_t x, int k)
{
	return (x << k) | (x >> (64 - k));
}

uint64_t
rng_next(rng_t *rng)
{
	uint64_t *s = rng->state;
	uint64_t result = rotate_left(s[1] * 5, 7) * 9;
	uint64_t t = s[1] << 17;

	s[2] ^= s[0];
	s[3] ^= s[1];
	s[1] ^= s[2];
	s[0] ^= s[3];
	s[2] ^= t;
	s[3] = rotate_left(s[3], 45);
	return result;
}

uint64_t
rng_below(rng_t *rng, uint64_t bound)
{
	if (bound == 0)
		return 0;
	return (uint64_t)(((unsigned __int128)rng_next(rng) * bound) >> 64);
}

double
rng_unit(rng_t *rng)
{
	return (double)(rng_next(rng) >> 11) * 0x1.0p-53;
}

uint64_t
hash_bytes(const void *data, size_t size, uint64_t seed)
{
	const uint8_t *bytes = data;
	uint64_t hash = UINT64_C(0xcbf29ce484222325) ^ seed;

	for (size_t i = 0; i < size; i++) {
		hash ^= bytes[i];
		hash *= UINT64_C(0x100000001b3);
	}
	return splitmix_next(&hash);
}

uint64_t
hash_string(const char *text)
{
	return hash_bytes(text, strlen(text), 0);
}

void
digest_compute(const void *data, size_t size, digest_t *digest)
{
	crypto_generichash(digest->bytes, DIGEST_BYTES, data, size, NULL, 0);
}

void
digest_format(const digest_t *digest, char text[DIGEST_TEXT_BYTES])
{
	hex_encode(digest->bytes, DIGEST_BYTES, text);
}

int
digest_parse(const char *text, digest_t *digest)
{
	return hex_decode(text, digest->bytes, DIGEST_BYTES);
}

bool
digest_equal(const digest_t *a, const digest_t *b)
{
	return memcmp(a->bytes, b->bytes, DIGEST_BYTES) == 0;
}

void
hex_encode(const uint8_t *data, size_t size, char *text)
{
	static const char digits[] = "0123456789abcdef";

	for (size_t i = 0; i < size; i++) {
		text[2 * i] = digits[data[i] >> 4];
		text[2 * i + 1] = digits[data[i] & 15];
	}
	text[2 * size] = '\0';
}

static int
hex_value(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	if (c >= 'a' && c <= 'f')
		return c - 'a' + 10;
	if (c >= 'A' && c <= 'F')
		return c - 'A' + 10;
	return -1;
}

int
hex_decode(const char *text, uint8_t *data, size_t size)
{
	if (strlen(text) != 2 * size)
		return MASTICPITCH_E_INVALID;
	for (size_t i = 0; i < size; i++) {
		int high = hex_value(text[2 * i]);
		int low = hex_value(text[2 * i + 1]);

		if (high < 0 || low < 0)
			return MASTICPITCH_E_INVALID;
		data[i] = (uint8_t)(high << 4 | low);
	}
	return MASTICPITCH_OK;
}

int
string_copy(char *target, size_t size, const char *text)
{
	size_t length = strlen(text);

	if (length >= size) {
		target[0] = '\0';
		return MASTICPITCH_E_LIMIT;
	}
	memcpy(target, text, length + 1);
	return MASTICPITCH_OK;
}

int
string_parse_uint(const char *text, uint64_t max, uint64_t *value)
{
	uint64_t result = 0;

	if (*text == '\0')
		return MASTICPITCH_E_INVALID;
	for (; *text != '\0'; text++) {
		uint64_t digit = (uint64_t)(*text - '0');

		if (*text < '0' || *text > '9')
			return MASTICPITCH_E_INVALID;
		if (digit > max || result > (max - digit) / 10)
			return MASTICPITCH_E_INVALID;
		result = result * 10 + digit;
	}
	*value = result;
	return MASTICPITCH_OK;
}

int
file_read(const char *path, size_t max, char **text, size_t *size)
{
	FILE *file = fopen(path, "rb");
	char *buffer = NULL;
	size_t used;
	int error = MASTICPITCH_OK;

	if (file == NULL)
		return MASTICPITCH_E_IO;
	buffer = malloc(max + 2);
	if (buffer == NULL) {
		error = MASTICPITCH_E_NOMEM;
		goto out;
	}
	used = fread(buffer, 1, max + 1, file);
	if (ferror(file)) {
		error = MASTICPITCH_E_IO;
		goto out;
	}
	if (used > max) {
		error = MASTICPITCH_E_LIMIT;
		goto out;
	}
	buffer[used] = '\0';
	*text = buffer;
	*size = used;
	buffer = NULL;
out:
	free(buffer);
	fclose(file);
	return error;
}
