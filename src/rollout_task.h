/*
 * The service "rollout" of a node: connects the decisions about rollouts
 * (rollout_decider.h) to the platform client, the peers and the entry. Created only if
 * the settings bound the exposure of new releases. Runs on the kernel's thread.
 */
#ifndef MASTICPITCH_ROLLOUT_TASK_H
#define MASTICPITCH_ROLLOUT_TASK_H

#include "kernel.h"
#include "settings.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct rollout_task rollout_task_t;

/*
 * settings must outlive it. *result is NULL without rollouts. Errors:
 * MASTICPITCH_E_NOMEM.
 */
int rollout_task_create(
    kernel_t *kernel, const settings_t *settings, rollout_task_t **result);
/* Unregisters the service and frees it; NULL is allowed. */
void rollout_task_destroy(rollout_task_t *task);

#ifdef __cplusplus
}
#endif

#endif
