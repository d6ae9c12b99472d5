/* Preset texts from untrusted sources: no input may crash or hang the parser. */
#include "fuzz_change.h"
#include "preset.h"

#include <string.h>

/* A valid preset; without it random inputs seldom get past the JSON parser. */
static const char valid[] =
    "{\"format\":1,\"services\":{\"a\":{\"queue_limit\":40,\"retry_percent\":10,"
    "\"spill_percent\":80,\"slow_start_ms\":5,\"in_flight_limit\":9},\"b\":{}},"
    "\"routes\":[{\"name\":\"l\",\"methods\":[\"GET\",\"PUT\"],\"prefix\":\"/katalogo/\","
    "\"service\":\"a\",\"class\":\"lookup\",\"idempotent\":true,\"deadline_ms\":2000,"
    "\"min_attempt_ms\":5,\"attempts\":3,\"body_limit_bytes\":65536},"
    "{\"name\":\"m\",\"prefix\":\"/katalogo/"
    "\",\"methods\":[\"POST\"],\"service\":\"b\"}]}";

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
preset_check(const uint8_t *data, size_t size)
{
	char message[MASTICPITCH_MESSAGE_MAX];
	preset_t *preset = NULL;

	if (preset_parse((const char *)data, size, &preset, message, sizeof(message)) ==
	    MASTICPITCH_OK) {
		preset_route_find(preset, "GET", "/katalogo/list");
		preset_service_find(preset, "katalogo");
	}
	preset_release(preset);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	uint8_t changed[sizeof(valid)];

	preset_check(data, size);
	memcpy(changed, valid, sizeof(valid));
	fuzz_change(changed, sizeof(valid) - 1, data, size);
	preset_check(changed, sizeof(valid) - 1);
	return 0;
}
