/*
 * What the service "config" reports of configuration distribution and the platform:
 * log lines, metrics and the operators' status. Runs on the kernel's thread.
 */
#ifndef MASTICPITCH_CONFIG_REPORT_H
#define MASTICPITCH_CONFIG_REPORT_H

#include "log.h"
#include "metrics.h"
#include "platform.h"
#include "spread.h"

#include <json-c/json.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct config_report {
	log_t *log;
	metrics_t *metrics;
	spread_status_t reported; /* status last reflected in metrics and log */
	bool platform_lost;	  /* as last logged */
} config_report_t;

/* Logs one answer of the platform, on level debug. */
void config_report_answer(
    config_report_t *report, spread_call_t call, const platform_answer_t *answer);
/* Reports changes since the last call to metrics and log. now: monotonic, ns. */
void config_report_changes(config_report_t *report, const spread_status_t *status,
    platform_health_t platform, uint64_t now);
/* The operators' status; the caller owns the object. now: monotonic, ns. */
struct json_object *config_report_status(
    const spread_status_t *status, platform_health_t platform, uint64_t now);

#ifdef __cplusplus
}
#endif

#endif
