/*
 * The membership part of GET /status, see docs/design.md section 12. Not thread-safe.
 */
#ifndef MASTICPITCH_MEMBERSHIP_STATUS_H
#define MASTICPITCH_MEMBERSHIP_STATUS_H

#include "member.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Longest status, bytes: about 200 for each member. */
#define MEMBERSHIP_STATUS_MAX (4 * 1024 * 1024)
/* Most versions counted separately per zone; further ones are left out. */
#define MEMBERSHIP_STATUS_VERSIONS_MAX 16

/* JSON object with members and zones, freed by the caller; NULL: no memory, too long. */
chunk_t *membership_status_format(const member_table_t *table);

#ifdef __cplusplus
}
#endif

#endif
