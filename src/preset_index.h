/*
 * The order of a preset's routes and the hash table over their prefixes that
 * preset_route_find() uses. Any thread.
 */
#ifndef MASTICPITCH_PRESET_INDEX_H
#define MASTICPITCH_PRESET_INDEX_H

#include "json_text.h"
#include "preset.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Routes that may share a prefix and differ by method; bounds the comparison
 * of each with each.
 */
#define PRESET_PREFIX_ROUTES_MAX 64

/*
 * Sorts the routes, checks that names differ and that no two routes match the
 * same request with equal rank, and builds the table. Errors:
 * MASTICPITCH_E_INVALID, MASTICPITCH_E_LIMIT, MASTICPITCH_E_NOMEM.
 */
int preset_index_build(preset_t *preset, json_report_t *report);

#ifdef __cplusplus
}
#endif

#endif
