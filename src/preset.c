#include "preset.h"

#include <stdlib.h>

void
preset_destroy(preset_t *preset)
{
	if (preset == NULL)
		return;
	free(preset->services);
	free(preset->routes);
	free(preset);
}
