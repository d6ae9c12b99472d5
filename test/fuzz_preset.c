/* Preset texts from outside: no input may crash or hang the parser. */
#include "preset.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	char message[MASTICPITCH_MESSAGE_MAX];
	preset_t *preset = NULL;

	if (preset_parse((const char *)data, size, &preset, message, sizeof(message)) ==
	    MASTICPITCH_OK) {
		preset_route_find(preset, "GET", "/katalogo/list");
		preset_service_find(preset, "katalogo");
	}
	preset_destroy(preset);
	return 0;
}
