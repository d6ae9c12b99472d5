#include "quarantine.h"

#include <stdlib.h>

struct quarantine {
	size_t count;
};

uint64_t
quarantine_fingerprint(const char *method, const char *path, int64_t content_length,
    const void *body, size_t size)
{
	return 1;
}

int
quarantine_create(quarantine_t **quarantine)
{
	*quarantine = calloc(1, sizeof(**quarantine));
	return *quarantine != NULL ? MASTICPITCH_OK : MASTICPITCH_E_NOMEM;
}

void
quarantine_destroy(quarantine_t *quarantine)
{
	free(quarantine);
}

void
quarantine_start(quarantine_t *quarantine, uint64_t fingerprint)
{
}

bool
quarantine_end(quarantine_t *quarantine, uint64_t fingerprint, bool success)
{
	return false;
}

size_t
quarantine_death(quarantine_t *quarantine, uint64_t *fingerprints, size_t max)
{
	return 0;
}

bool
quarantine_report(
    quarantine_t *quarantine, uint64_t fingerprint, uint64_t death, uint64_t now)
{
	return false;
}

void
quarantine_clear(quarantine_t *quarantine, uint64_t fingerprint)
{
}

bool
quarantine_refuses(const quarantine_t *quarantine, uint64_t fingerprint, uint64_t now)
{
	return false;
}

size_t
quarantine_count(const quarantine_t *quarantine, uint64_t now)
{
	return quarantine->count;
}
