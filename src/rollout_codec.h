/*
 * Values in the store about rollouts, in the platform's dialect.
 */
#ifndef MASTICPITCH_ROLLOUT_CODEC_H
#define MASTICPITCH_ROLLOUT_CODEC_H

#include "rollout_decider.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Native: {"service","release","ramp_ms"}. Revisions are not set. Errors of all readers:
 * MASTICPITCH_E_INVALID, MASTICPITCH_E_LIMIT, MASTICPITCH_E_NOMEM.
 */
int rollout_order_read(
    dialect_t dialect, const char *value, size_t size, rollout_order_t *order);
/* Native: {"release","state"}; the service is the key's. */
int rollout_status_read(
    dialect_t dialect, const char *value, size_t size, rollout_status_t *status);
/* The same in every dialect. */
int rollout_state_read(const char *value, size_t size, rollout_state_t *state);
/* Errors: as buffer_printf(). */
int rollout_status_write(
    dialect_t dialect, const rollout_status_t *status, buffer_t *text);
int rollout_state_write(const rollout_state_t *state, buffer_t *text);

#ifdef __cplusplus
}
#endif

#endif
