/* Settings files: no text may crash the parser or pass with a value out of range. */
#include "fuzz_change.h"
#include "settings.h"
#include "util.h"

#include <string.h>

static const char valid[] =
    "{\"availability_zone\":\"cebu-a\",\"region\":\"visayas\",\"listen\":{"
    "\"callers\":\"127.1.1.1:8080\",\"backend_servers\":\"127.1.1.1:8081\","
    "\"peers\":\"127.1.1.1:7000\",\"operators\":\"127.1.1.1:8082\"},"
    "\"platform\":{\"url\":\"http://127.0.0.1:9000\",\"prefix\":\"m/\","
    "\"timeout_ms\":2000},\"mesh\":{\"seeds\":[\"127.1.1.2:7000\"],\"keys\":[{\"id\":1,"
    "\"secret\":\"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\"},"
    "{\"id\":2,\"secret\":"
    "\"bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb\"}]},"
    "\"operators\":{\"token\":\"0123456789abcdef\"},\"configuration\":{"
    "\"spread\":\"frugal\",\"source\":\"watch\"},\"routing\":{\"policy\":\"naive\"},"
    "\"limits\":{\"requests\":100,\"streams_per_peer\":10},"
    "\"shutdown\":{\"grace_ms\":5},\"log\":{\"level\":\"debug\"}}";

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
parse_and_check(const uint8_t *data, size_t size)
{
	char message[MASTICPITCH_MESSAGE_MAX];
	settings_t settings;
	int error = settings_parse(
	    "f", (const char *)data, size, &settings, message, sizeof(message));

	INVARIANT((error == MASTICPITCH_OK) == (message[0] == '\0'));
	if (error != MASTICPITCH_OK)
		return;
	INVARIANT(settings.zone[0] != '\0' && settings.region[0] != '\0');
	INVARIANT(settings.peers.ip != 0 && settings.peers.port != 0);
	INVARIANT(settings.seed_count <= SETTINGS_SEEDS_MAX);
	INVARIANT(settings.key_count >= 1 && settings.key_count <= SETTINGS_KEYS_MAX);
	INVARIANT(settings.requests_max >= 1 && settings.requests_max <= 65536);
	INVARIANT(settings.streams_per_peer_max >= 1);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	uint8_t changed[sizeof(valid)];

	parse_and_check(data, size);
	memcpy(changed, valid, sizeof(valid));
	fuzz_change(changed, sizeof(valid) - 1, data, size);
	parse_and_check(changed, sizeof(valid) - 1);
	return 0;
}
