/*
 * The service "readiness": tells the platform over HTTP whether callers may send
 * this node new work. It may as soon as a configuration is in force, until a
 * shutdown begins. Runs on the kernel's thread.
 */
#ifndef MASTICPITCH_READINESS_H
#define MASTICPITCH_READINESS_H

#include "kernel.h"
#include "settings.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct readiness readiness_t;

/*
 * Does nothing, with a NULL result, if the settings name no address for it.
 * Errors: MASTICPITCH_E_ADDRESS_IN_USE, MASTICPITCH_E_IO, MASTICPITCH_E_NOMEM.
 */
int readiness_create(kernel_t *kernel, const settings_t *settings, readiness_t **result);
/* NULL is allowed. */
void readiness_destroy(readiness_t *readiness);

#ifdef __cplusplus
}
#endif

#endif
