/*
 * Requests that crash backend servers: fingerprints, what was in flight when a
 * backend server died, and the fingerprints that the mesh refuses. The entry
 * computes and checks fingerprints; the gate reports deaths; both keep the
 * table of reports. Times are monotonic, ns. One thread; reads no clock.
 */
#ifndef MASTICPITCH_QUARANTINE_H
#define MASTICPITCH_QUARANTINE_H

#include "util.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Bytes of body that go into a fingerprint. */
#define QUARANTINE_BODY_BYTES 4096
/* Different deaths after which a fingerprint is refused. */
#define QUARANTINE_CRASH_THRESHOLD 2
/* How long it is refused, ms. */
#define QUARANTINE_DURATION_MS (10 * 60 * 1000)
/* Fingerprints with reports; the oldest one not refused gives way. */
#define QUARANTINE_REPORTS_MAX 1024
/* Fingerprints in flight at one gate; further ones are not tracked. */
#define QUARANTINE_IN_FLIGHT_MAX 1024
/* Fingerprints known to have had a success; the oldest gives way. */
#define QUARANTINE_SUCCESSES_MAX 4096

typedef struct quarantine quarantine_t;

/*
 * Fingerprint of a request; never 0. path includes the query; content_length
 * is -1 if not known; of body at most QUARANTINE_BODY_BYTES count.
 */
uint64_t quarantine_fingerprint(const char *method, const char *path,
    int64_t content_length, const void *body, size_t size);

/* Errors: MASTICPITCH_E_NOMEM. */
int quarantine_create(quarantine_t **quarantine);
/* NULL is allowed. */
void quarantine_destroy(quarantine_t *quarantine);

/* Gate: a request with this fingerprint goes to the backend server; 0: none. */
void quarantine_start(quarantine_t *quarantine, uint64_t fingerprint);
/*
 * Gate: the request ended, and not by the backend server's death (then
 * quarantine_crash() has ended it). True if a success withdraws reports and
 * the clearing is to be spread.
 */
bool quarantine_end(quarantine_t *quarantine, uint64_t fingerprint, bool success);
/*
 * Gate: the backend server died. Writes the fingerprints in flight that had no
 * success since the gate's start (at most max), each once, and empties the
 * in-flight set. The caller reports each with an id that is unique to this
 * death, to quarantine_report() and to the other nodes.
 */
size_t quarantine_crash(quarantine_t *quarantine, uint64_t *fingerprints, size_t max);

/* A report of this or another node. True if the fingerprint is refused now. */
bool quarantine_report(
    quarantine_t *quarantine, uint64_t fingerprint, uint64_t death, uint64_t now);
/* A success of this or another node withdraws all reports so far. */
void quarantine_clear(quarantine_t *quarantine, uint64_t fingerprint);
/* True: refuse as not run with REASON_CRASH_SUSPECT. */
bool quarantine_refuses(
    const quarantine_t *quarantine, uint64_t fingerprint, uint64_t now);
/* Fingerprints refused now. */
size_t quarantine_count(const quarantine_t *quarantine, uint64_t now);

#ifdef __cplusplus
}
#endif

#endif
