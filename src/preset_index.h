/*
 * Sorts a preset's routes and builds the hash table by prefix that
 * preset_route_find() uses. May be called on any thread.
 */
#ifndef MASTICPITCH_PRESET_INDEX_H
#define MASTICPITCH_PRESET_INDEX_H

#include "json_text.h"
#include "preset.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Most routes with the same host and prefix; bounds the comparison of each pair for
 * methods in common.
 */
#define PRESET_PREFIX_ROUTES_MAX 64

/*
 * Sorts the routes, checks that names differ and that no two routes with the
 * same host and prefix have a method in common, and builds the table. Errors:
 * MASTICPITCH_E_INVALID, MASTICPITCH_E_LIMIT, MASTICPITCH_E_NOMEM.
 */
int preset_index_build(preset_t *preset, json_report_t *report);

#ifdef __cplusplus
}
#endif

#endif
