/*
 * Workspaces of a preset: reading them with their keys, and the index of the keys.
 * Pure functions of the preset. Messages name workspaces and positions of keys, never a
 * key.
 */
#ifndef MASTICPITCH_WORKSPACE_H
#define MASTICPITCH_WORKSPACE_H

#include "json_text.h"
#include "preset.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Names of a workspace's fields in a format. */
typedef struct workspace_fields {
	const char *keys;     /* list of strings */
	const char *priority; /* 0 to PRESET_PRIORITY_MAX */
	const char *rate;     /* requests a second */
	const char *burst;    /* requests */
} workspace_fields_t;

/*
 * Reads a table of workspaces by name and adds them to the preset. Errors:
 * MASTICPITCH_E_INVALID, MASTICPITCH_E_LIMIT, MASTICPITCH_E_NOMEM.
 */
int workspaces_read(json_report_t *report, const char *location,
    struct json_object *table, const workspace_fields_t *fields, uint32_t part,
    preset_t *preset);
/* Adds a copy of another preset's workspace. Errors: MASTICPITCH_E_NOMEM, _LIMIT. */
int workspace_copy(preset_t *preset, const preset_t *older,
    const preset_workspace_t *workspace, uint32_t part);
/*
 * Sorts the workspaces and builds the index of the keys. Fails if a name appears twice,
 * or if a key does, in one workspace or in two. Errors: MASTICPITCH_E_INVALID,
 * MASTICPITCH_E_NOMEM.
 */
int workspaces_finish(json_report_t *report, preset_t *preset);
/* Key number i of a workspace. */
const char *workspace_key(
    const preset_t *preset, const preset_workspace_t *workspace, uint32_t i);

#ifdef __cplusplus
}
#endif

#endif
