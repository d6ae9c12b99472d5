/*
 * Checks of a valid preset that its parser does not make: entries that no request can
 * match, limits that contradict each other, and differences from another preset. Pure
 * functions; keys of workspaces are counted, never reported.
 */
#ifndef MASTICPITCH_PRESET_CHECK_H
#define MASTICPITCH_PRESET_CHECK_H

#include "preset.h"

#ifdef __cplusplus
extern "C" {
#endif

/* A burst that takes longer than this to refill is reported as a contradiction, s. */
#define PRESET_CHECK_REFILL_MAX_S 60

typedef enum preset_finding {
	PRESET_FINDING_UNUSED,	      /* no request can match the entry */
	PRESET_FINDING_CONTRADICTION, /* limits that exclude each other */
	PRESET_FINDING_DIFFERENCE
} preset_finding_t;

/* place: such as "routes.list"; both texts are valid during the call only. */
typedef void (*preset_report_t)(
    void *context, preset_finding_t finding, const char *place, const char *text);

const char *preset_finding_text(preset_finding_t finding);
/* Returns the number of findings. */
size_t preset_check(const preset_t *preset, preset_report_t report, void *context);
/* Reports what changes from before to after; returns the number of differences. */
size_t preset_compare(
    const preset_t *before, const preset_t *after, preset_report_t report, void *context);

#ifdef __cplusplus
}
#endif

#endif
