/*
 * Quarantine of requests that crash backend servers: fingerprints of requests, the
 * fingerprints in flight when a backend server crashed, and those that the mesh
 * refuses. The entry computes and checks fingerprints, the gate reports crashes,
 * both keep a table of reports. Times are monotonic, ns. Not thread-safe; callers
 * pass the current time.
 */
#ifndef MASTICPITCH_QUARANTINE_H
#define MASTICPITCH_QUARANTINE_H

#include "util.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Leading bytes of a body that go into a fingerprint. */
#define QUARANTINE_BODY_BYTES 4096
/* Different crashes after which a fingerprint is refused. */
#define QUARANTINE_CRASH_THRESHOLD 2
/* Duration of a refusal and of the validity of a report, ms. */
#define QUARANTINE_DURATION_MS (10 * 60 * 1000)
/* Fingerprints with reports; when full, the oldest one not refused is evicted. */
#define QUARANTINE_REPORTS_MAX 1024
/* Fingerprints in flight at one gate; when full, further ones are not tracked. */
#define QUARANTINE_IN_FLIGHT_MAX 1024
/* Fingerprints with a success; the least recently successful is evicted. */
#define QUARANTINE_SUCCESSES_MAX 4096

typedef struct quarantine quarantine_t;

/*
 * Fingerprint of a request; never 0. path includes the query. content_length is
 * -1 if not known. Only the first QUARANTINE_BODY_BYTES of body are used.
 */
uint64_t quarantine_fingerprint(const char *method, const char *path,
    int64_t content_length, const void *body, size_t size);

/* Errors: MASTICPITCH_E_NOMEM. */
int quarantine_create(quarantine_t **quarantine);
/* NULL is allowed. */
void quarantine_destroy(quarantine_t *quarantine);

/*
 * Gate: a request with this fingerprint is sent to the backend server. Fingerprint
 * 0: no effect.
 */
void quarantine_start(quarantine_t *quarantine, uint64_t fingerprint);
/*
 * Gate: the request ended other than by a crash of the backend server, which
 * quarantine_crash() handles. True if its success cleared reports; the caller then
 * sends the clearing to the other nodes.
 */
bool quarantine_end(quarantine_t *quarantine, uint64_t fingerprint, bool success);
/*
 * Gate: the backend server crashed. Writes at most max fingerprints in flight that
 * have no recorded success, each once, clears the in-flight set and returns their
 * number. The caller reports each, with an id that is unique to this crash, to
 * quarantine_report() and to the other nodes.
 */
size_t quarantine_crash(quarantine_t *quarantine, uint64_t *fingerprints, size_t max);

/*
 * Adds a report of this or another node; crash: its unique id. True if the
 * fingerprint is refused now.
 */
bool quarantine_report(
    quarantine_t *quarantine, uint64_t fingerprint, uint64_t crash, uint64_t now);
/* Clears the reports of a fingerprint after a success at this or another node. */
void quarantine_clear(quarantine_t *quarantine, uint64_t fingerprint);
/* True if a request is to be refused as not run with REASON_CRASH_SUSPECT. */
bool quarantine_refuses(
    const quarantine_t *quarantine, uint64_t fingerprint, uint64_t now);
/* Fingerprints refused now. */
size_t quarantine_count(const quarantine_t *quarantine, uint64_t now);

#ifdef __cplusplus
}
#endif

#endif
