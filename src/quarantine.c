#include "quarantine.h"

#include "os.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

/* Successes are kept in sets of this size; the oldest of a full set is evicted. */
#define SUCCESS_WAYS 8
#define SUCCESS_SETS (QUARANTINE_SUCCESSES_MAX / SUCCESS_WAYS)
/*
 * Crash ids kept for each fingerprint, so that a report that gossip delivers
 * repeatedly counts once.
 */
#define CRASHES_KEPT 4

typedef struct in_flight {
	uint64_t fingerprint;
	uint32_t count;
} in_flight_t;

typedef struct success {
	uint64_t fingerprint; /* 0: free */
	uint64_t last_used;   /* success_sequence at the latest success */
} success_t;

typedef struct report {
	uint64_t fingerprint;
	uint64_t crashes[CRASHES_KEPT]; /* ids, newest last */
	uint32_t known_crash_count;
	uint32_t counted_crashes; /* crashes since the last success */
	uint64_t reported_at;
	uint64_t refused_until; /* 0: not refused */
} report_t;

struct quarantine {
	size_t in_flight_count;
	in_flight_t in_flight[QUARANTINE_IN_FLIGHT_MAX];
	uint64_t success_sequence;
	success_t successes[SUCCESS_SETS][SUCCESS_WAYS];
	size_t report_count;
	report_t reports[QUARANTINE_REPORTS_MAX];
};

uint64_t
quarantine_fingerprint(const char *method, const char *path, int64_t content_length,
    const void *body, size_t size)
{
	crypto_generichash_state state;
	uint8_t digest[DIGEST_BYTES], length[8];
	uint64_t fingerprint = 0;

	for (size_t i = 0; i < sizeof(length); i++)
		length[i] = (uint8_t)((uint64_t)content_length >> (8 * i));
	crypto_generichash_init(&state, NULL, 0, sizeof(digest));
	/* The terminators delimit method and path, so that bytes cannot shift over. */
	crypto_generichash_update(&state, (const uint8_t *)method, strlen(method) + 1);
	crypto_generichash_update(&state, (const uint8_t *)path, strlen(path) + 1);
	crypto_generichash_update(&state, length, sizeof(length));
	if (size > 0)
		crypto_generichash_update(
		    &state, body, MIN_OF(size, QUARANTINE_BODY_BYTES));
	crypto_generichash_final(&state, digest, sizeof(digest));
	for (size_t i = 0; i < sizeof(fingerprint); i++)
		fingerprint |= (uint64_t)digest[i] << (8 * i);
	return fingerprint != 0 ? fingerprint : 1;
}

int
quarantine_create(quarantine_t **result)
{
	quarantine_t *quarantine = calloc(1, sizeof(*quarantine));

	if (quarantine == NULL)
		return MASTICPITCH_E_NOMEM;
	*result = quarantine;
	return MASTICPITCH_OK;
}

void
quarantine_destroy(quarantine_t *quarantine)
{
	free(quarantine);
}

static in_flight_t *
in_flight_find(quarantine_t *quarantine, uint64_t fingerprint)
{
	for (size_t i = 0; i < quarantine->in_flight_count; i++) {
		if (quarantine->in_flight[i].fingerprint == fingerprint)
			return &quarantine->in_flight[i];
	}
	return NULL;
}

void
quarantine_start(quarantine_t *quarantine, uint64_t fingerprint)
{
	in_flight_t *row;

	if (fingerprint == 0)
		return;
	row = in_flight_find(quarantine, fingerprint);
	if (row != NULL) {
		row->count++;
		return;
	}
	if (quarantine->in_flight_count < QUARANTINE_IN_FLIGHT_MAX)
		quarantine->in_flight[quarantine->in_flight_count++] =
		    (in_flight_t){.fingerprint = fingerprint, .count = 1};
}

/* The entry that holds the fingerprint, else the oldest one of its set. */
static success_t *
success_find_or_oldest(quarantine_t *quarantine, uint64_t fingerprint)
{
	success_t *set = quarantine->successes[fingerprint % SUCCESS_SETS];
	success_t *oldest = &set[0];

	for (size_t i = 0; i < SUCCESS_WAYS; i++) {
		if (set[i].fingerprint == fingerprint)
			return &set[i];
		if (set[i].last_used < oldest->last_used)
			oldest = &set[i];
	}
	return oldest;
}

static report_t *
report_find(const quarantine_t *quarantine, uint64_t fingerprint)
{
	for (size_t i = 0; i < quarantine->report_count; i++) {
		if (quarantine->reports[i].fingerprint == fingerprint)
			return (report_t *)&quarantine->reports[i];
	}
	return NULL;
}

/*
 * The crash ids are kept: gossip may still deliver their reports, which must not
 * count again after the success.
 */
static void
report_clear(report_t *report)
{
	report->counted_crashes = 0;
	report->refused_until = 0;
}

bool
quarantine_end(quarantine_t *quarantine, uint64_t fingerprint, bool success)
{
	in_flight_t *row = in_flight_find(quarantine, fingerprint);
	report_t *report;
	success_t *slot;

	if (row != NULL && --row->count == 0)
		*row = quarantine->in_flight[--quarantine->in_flight_count];
	if (!success || fingerprint == 0)
		return false;
	slot = success_find_or_oldest(quarantine, fingerprint);
	slot->fingerprint = fingerprint;
	slot->last_used = ++quarantine->success_sequence;
	report = report_find(quarantine, fingerprint);
	if (report == NULL || report->counted_crashes == 0)
		return false;
	report_clear(report);
	return true;
}

size_t
quarantine_crash(quarantine_t *quarantine, uint64_t *fingerprints, size_t max)
{
	size_t written = 0;

	for (size_t i = 0; i < quarantine->in_flight_count && written < max; i++) {
		uint64_t fingerprint = quarantine->in_flight[i].fingerprint;

		if (success_find_or_oldest(quarantine, fingerprint)->fingerprint !=
		    fingerprint)
			fingerprints[written++] = fingerprint;
	}
	quarantine->in_flight_count = 0;
	return written;
}

/* The row to evict: the oldest one that is not refused, or NULL. */
static report_t *
report_evictable(quarantine_t *quarantine, uint64_t now)
{
	report_t *oldest = NULL;

	for (size_t i = 0; i < quarantine->report_count; i++) {
		report_t *report = &quarantine->reports[i];

		if (report->refused_until > now)
			continue;
		if (oldest == NULL || report->reported_at < oldest->reported_at)
			oldest = report;
	}
	return oldest;
}

static report_t *
report_add(quarantine_t *quarantine, uint64_t fingerprint, uint64_t now)
{
	report_t *report;

	if (quarantine->report_count < QUARANTINE_REPORTS_MAX)
		report = &quarantine->reports[quarantine->report_count++];
	else
		report = report_evictable(quarantine, now);
	if (report != NULL)
		*report = (report_t){.fingerprint = fingerprint};
	return report;
}

static bool
report_has_crash(const report_t *report, uint64_t crash)
{
	for (size_t i = 0; i < report->known_crash_count; i++) {
		if (report->crashes[i] == crash)
			return true;
	}
	return false;
}

static void
report_add_crash(report_t *report, uint64_t crash, uint64_t now)
{
	/* Reports expire after QUARANTINE_DURATION_MS; older crashes are unrelated. */
	if (now >= report->reported_at + QUARANTINE_DURATION_MS * NS_PER_MS)
		report_clear(report);
	if (report->known_crash_count == CRASHES_KEPT) {
		memmove(&report->crashes[0], &report->crashes[1],
		    (CRASHES_KEPT - 1) * sizeof(report->crashes[0]));
		report->known_crash_count--;
	}
	report->crashes[report->known_crash_count++] = crash;
	report->reported_at = now;
	report->counted_crashes++;
	if (report->counted_crashes >= QUARANTINE_CRASH_THRESHOLD)
		report->refused_until = now + QUARANTINE_DURATION_MS * NS_PER_MS;
}

bool
quarantine_report(
    quarantine_t *quarantine, uint64_t fingerprint, uint64_t crash, uint64_t now)
{
	report_t *report;

	if (fingerprint == 0)
		return false;
	report = report_find(quarantine, fingerprint);
	if (report == NULL)
		report = report_add(quarantine, fingerprint, now);
	if (report == NULL)
		return false;
	if (!report_has_crash(report, crash))
		report_add_crash(report, crash, now);
	return report->refused_until > now;
}

void
quarantine_clear(quarantine_t *quarantine, uint64_t fingerprint)
{
	report_t *report = report_find(quarantine, fingerprint);

	if (report != NULL)
		report_clear(report);
}

bool
quarantine_refuses(const quarantine_t *quarantine, uint64_t fingerprint, uint64_t now)
{
	const report_t *report;

	if (fingerprint == 0 || quarantine->report_count == 0)
		return false;
	report = report_find(quarantine, fingerprint);
	return report != NULL && report->refused_until > now;
}

size_t
quarantine_count(const quarantine_t *quarantine, uint64_t now)
{
	size_t count = 0;

	for (size_t i = 0; i < quarantine->report_count; i++)
		count += quarantine->reports[i].refused_until > now;
	return count;
}
