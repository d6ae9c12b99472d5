/*
 * Fuzzes announcements of backend servers: no body may crash the parser or be
 * accepted with a value outside the gate's bounds.
 */
#include "announcement.h"
#include "fuzz_change.h"
#include "util.h"

#include <stdlib.h>
#include <string.h>

static const char valid[] =
    "{\"service\":\"katalogo\",\"instance\":\"k-1\",\"address\":\"127.0.0.1:9001\","
    "\"slots\":10,\"connections\":110,\"state\":\"ready\",\"boot\":\"b1\","
    "\"load\":0.25}";

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* The parser gets a block of exact size, so that the sanitizer detects overreads. */
static void
announcement_check(const uint8_t *data, size_t size)
{
	gate_backend_t backend = {0};
	char *text = calloc(size + 1, 1);

	if (text == NULL)
		return;
	if (size > 0)
		memcpy(text, data, size);
	if (announcement_parse(text, size, &backend) == NULL) {
		INVARIANT(backend.service[0] != '\0' && backend.instance[0] != '\0');
		INVARIANT(backend.boot[0] != '\0' && backend.address.port != 0);
		INVARIANT(backend.slots >= 1 && backend.connections >= 1);
		INVARIANT(backend.load >= 0.0 && backend.load <= 1.0);
		INVARIANT(backend.state != INSTANCE_NONE);
		INVARIANT(!backend.live && backend.announced == 0);
	}
	free(text);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	uint8_t changed[sizeof(valid)];

	announcement_check(data, size);
	memcpy(changed, valid, sizeof(valid));
	fuzz_change(changed, sizeof(valid) - 1, data, size);
	announcement_check(changed, sizeof(valid) - 1);
	return 0;
}
