/*
 * The service "readiness": HTTP endpoint for the platform that reports whether
 * callers may send this node new requests. The node is ready from the moment a
 * configuration is in force until its shutdown begins. Runs on the kernel's thread.
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
 * Does nothing and sets *result to NULL if the settings give no readiness address.
 * Errors: MASTICPITCH_E_ADDRESS_IN_USE, MASTICPITCH_E_IO, MASTICPITCH_E_NOMEM.
 */
int readiness_create(kernel_t *kernel, const settings_t *settings, readiness_t **result);
/* NULL is allowed. */
void readiness_destroy(readiness_t *readiness);

#ifdef __cplusplus
}
#endif

#endif
