/*
 * The quota service of a node: finds the owner of a workspace's quota, asks it for tokens
 * on behalf of this node's entry, and lends tokens of the quotas that this node owns; see
 * docs/design/quota.md. Kernel's thread.
 */
#ifndef MASTICPITCH_QUOTA_H
#define MASTICPITCH_QUOTA_H

#include "kernel.h"
#include "settings.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct quota quota_t;

/*
 * Registers the service "quota"; settings must outlive it. Errors: MASTICPITCH_E_NOMEM,
 * MASTICPITCH_E_EXISTS.
 */
int quota_create(kernel_t *kernel, const settings_t *settings, quota_t **result);
/* Unregisters the service; NULL is allowed. */
void quota_destroy(quota_t *quota);

#ifdef __cplusplus
}
#endif

#endif
