/*
 * The configuration in force as one immutable, reference-counted object. A
 * request keeps the snapshot that it started with. Not thread-safe.
 */
#ifndef MASTICPITCH_SNAPSHOT_H
#define MASTICPITCH_SNAPSHOT_H

#include "preset.h"

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct snapshot {
	uint32_t references;
	uint64_t version;
	char preset_name[NAME_BYTES]; /* the preset in force */
	preset_t *preset;	      /* owned */
} snapshot_t;

/*
 * Takes ownership of the preset. Returns NULL if there is no memory; the preset is
 * destroyed then.
 */
snapshot_t *snapshot_create(uint64_t version, const char *preset_name, preset_t *preset);
/* Adds a reference. */
snapshot_t *snapshot_hold(snapshot_t *snapshot);
/* Drops one reference; NULL is allowed. */
void snapshot_release(snapshot_t *snapshot);

#ifdef __cplusplus
}
#endif

#endif
