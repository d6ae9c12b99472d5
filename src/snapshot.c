#include "snapshot.h"

#include "util.h"

#include <stdlib.h>

snapshot_t *
snapshot_create(uint64_t version, const char *preset_name, preset_t *preset)
{
	snapshot_t *snapshot = calloc(1, sizeof(*snapshot));

	if (snapshot == NULL) {
		preset_release(preset);
		return NULL;
	}
	snapshot->references = 1;
	snapshot->version = version;
	string_copy(snapshot->preset_name, sizeof(snapshot->preset_name), preset_name);
	snapshot->preset = preset;
	return snapshot;
}

snapshot_t *
snapshot_hold(snapshot_t *snapshot)
{
	snapshot->references++;
	return snapshot;
}

void
snapshot_release(snapshot_t *snapshot)
{
	if (snapshot == NULL)
		return;
	INVARIANT(snapshot->references > 0);
	if (--snapshot->references > 0)
		return;
	preset_release(snapshot->preset);
	free(snapshot);
}
