/*
 * Mutates a valid input in a few places: random inputs alone seldom get past the
 * outermost parser.
 */
#ifndef MASTICPITCH_FUZZ_CHANGE_H
#define MASTICPITCH_FUZZ_CHANGE_H

#include <stddef.h>
#include <stdint.h>

/* Each 3 bytes of data replace a byte of target: offset (2 bytes), new value. */
static inline void
fuzz_change(uint8_t *target, size_t target_size, const uint8_t *data, size_t size)
{
	for (size_t i = 0; i + 2 < size && i < 12; i += 3)
		target[(size_t)(data[i] << 8 | data[i + 1]) % target_size] = data[i + 2];
}

#endif
