/*
 * Heartbeats of the hosted platform: no input may crash the codec, and an accepted one
 * has all required fields.
 */
#include "fuzz_change.h"
#include "platform/hosted.h"
#include "util.h"

#include <stdlib.h>
#include <string.h>

static const char valid[] =
    "{\"address\":\"10.128.0.9:8080\",\"info\":{\"service\":\"s1\",\"version\":\"v1\","
    "\"zone\":\"z\",\"slots\":9},\"status\":{\"state\":\"ready\",\"seq\":4,"
    "\"coldLeftMs\":0},\"born\":1700000000000}";

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
heartbeat_check(const uint8_t *data, size_t size)
{
	gate_backend_t backend = {0};
	announcement_kind_t kind;
	char *text = calloc(size + 1, 1);

	if (text == NULL)
		return;
	if (size > 0)
		memcpy(text, data, size);
	if (hosted_announcement_read(
		"/-/Instances.Heartbeat/i-1", text, size, &backend, &kind) == NULL) {
		INVARIANT(backend.service[0] != '\0' && backend.instance[0] != '\0');
		INVARIANT(backend.started_ms != 0 && backend.boot[0] != '\0');
		INVARIANT(backend.slots >= 1 && backend.address.port != 0);
	}
	memset(&backend, 0, sizeof(backend));
	(void)hosted_announcement_read(
	    "/-/Instances.Deregister/i-1", text, size, &backend, &kind);
	free(text);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	uint8_t changed[sizeof(valid)];

	heartbeat_check(data, size);
	memcpy(changed, valid, sizeof(valid));
	fuzz_change(changed, sizeof(valid) - 1, data, size);
	heartbeat_check(changed, sizeof(valid) - 1);
	return 0;
}
