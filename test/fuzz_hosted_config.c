/* Configuration documents of the hosted platform: no input may crash the codec. */
#include "fuzz_change.h"
#include "platform/hosted.h"

#include <string.h>

static const char valid[] =
    "{\"version\":\"0000001a\",\"routes\":{\"a\":{\"host\":\"o.example\",\"prefix\":\"/x/"
    "\",\"kind\":\"safe\",\"timeoutMs\":800,\"targetLatencyMs\":400,\"priority\":2,"
    "\"service\":\"s1\",\"maxAttempts\":2},\"b\":{\"host\":\"t.example\",\"prefix\":\"/x/"
    "\",\"kind\":\"download\",\"weightedSplit\":[{\"service\":\"s1\",\"weight\":90},{"
    "\"service\":\"s2\",\"weight\":10}]}},\"services\":{\"s1\":{\"maxConnections\":110},"
    "\"s2\":{}},\"limits\":{\"headerBytes\":16384,\"bodyBytes\":1000}}";

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
document_check(const uint8_t *data, size_t size)
{
	char message[MASTICPITCH_MESSAGE_MAX];
	preset_text_t parts[HOSTED_DOCUMENT_PARTS];
	hosted_document_t document;
	preset_t *preset = NULL;

	if (hosted_document_split((const char *)data, size, &document, message,
		sizeof(message)) != MASTICPITCH_OK)
		return;
	for (size_t i = 0; i < document.count; i++)
		parts[i] = (preset_text_t){
		    (const char *)document.parts[i].data, document.parts[i].size};
	if (hosted_preset_parse(parts, document.count, NULL, &preset, message,
		sizeof(message)) == MASTICPITCH_OK) {
		const preset_route_t *route =
		    preset_route_find_host(preset, "o.example", "GET", "/x/1");

		if (route != NULL)
			preset_route_choose_service(preset, route, 0.5);
	}
	preset_release(preset);
	hosted_document_free(&document);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	uint8_t changed[sizeof(valid)];

	document_check(data, size);
	memcpy(changed, valid, sizeof(valid));
	fuzz_change(changed, sizeof(valid) - 1, data, size);
	document_check(changed, sizeof(valid) - 1);
	return 0;
}
