/*
 * Client of the platform's key-value service, see docs/design.md section 9.
 * Used by the config task and by the operators' client. It never retries: the
 * caller decides by the outcome. All functions run on the thread of the loop.
 */
#ifndef MASTICPITCH_PLATFORM_H
#define MASTICPITCH_PLATFORM_H

#include "dialect.h"
#include "http_client.h"
#include "metrics.h"

#include <ev.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Longest value, and longest answer to a list of keys. */
#define PLATFORM_VALUE_MAX_BYTES (1024 * 1024)
#define PLATFORM_LIST_MAX_BYTES (64 * 1024 * 1024)
#define PLATFORM_KEY_BYTES 129
/* Longest wait of a watch on the server, ms. */
#define PLATFORM_WATCH_WAIT_MS_MAX 60000
/* Most calls in flight in one client. */
#define PLATFORM_CALLS_MAX 512

typedef struct platform platform_t;
typedef struct platform_call platform_call_t;

/* What the client can conclude after a call. */
typedef enum platform_outcome {
	PLATFORM_OK,
	PLATFORM_UNCHANGED, /* watch: the wait passed without a change */
	PLATFORM_NOT_FOUND, /* no such key or lease */
	PLATFORM_CONFLICT,  /* the key's revision is not the expected one */
	PLATFORM_REFUSED,   /* answered with 429, 503 or another 4xx: not done */
	PLATFORM_NOT_SENT,  /* never reached the platform: not done */
	PLATFORM_UNKNOWN,   /* sent, but no usable answer: may or may not be done */
	PLATFORM_OUTCOME_COUNT
} platform_outcome_t;

/* One key with its value. */
typedef struct platform_entry {
	/* Without the client's prefix; of an operator's key only the last part. */
	const char *key;
	const char *value;
	size_t size;
	uint64_t revision;
} platform_entry_t;

/* Valid during the callback. */
typedef struct platform_answer {
	platform_outcome_t outcome;
	int status;	   /* HTTP status, 0 without an answer */
	const char *value; /* get, watch: terminated; else NULL */
	size_t size;	   /* bytes of value */
	/*
	 * Of the key: get, watch, put; current one on conflict. If it is set while the
	 * outcome is unknown, the key exists with a value that cannot be decoded.
	 */
	uint64_t revision;
	/* Get, list, watch: revision of the complete store; 0: not given. */
	uint64_t store_revision;
	/*
	 * Incarnation of the store, greater each time it is restored from a copy;
	 * revisions and leases of different ones are not comparable. 0: not given.
	 */
	uint64_t store_epoch;
	uint64_t lease;			 /* lease create */
	const platform_entry_t *entries; /* list */
	size_t entry_count;
	size_t entries_skipped; /* list: malformed ones, which other programs wrote */
	bool truncated;		/* list: the store has more entries */
	uint64_t duration;	/* ns */
} platform_answer_t;

/* Runs once for each call that was started and not cancelled. */
typedef void (*platform_callback_t)(void *state, const platform_answer_t *answer);

typedef struct platform_options {
	struct ev_loop *loop;
	http_client_t *http; /* outlives the platform client */
	metrics_t *metrics;  /* NULL: no metrics */
	const char *url;     /* "http://IP:PORT" */
	const char *prefix;  /* of every key */
	dialect_t dialect;
} platform_options_t;

/* Errors: MASTICPITCH_E_NOMEM, MASTICPITCH_E_LIMIT. */
int platform_create(const platform_options_t *options, platform_t **platform);
/* Cancels every call without its callback; NULL is allowed. */
void platform_destroy(platform_t *platform);

/*
 * Every function below starts one call and takes an absolute monotonic
 * deadline in ns. The callback runs later, from the loop. call may be NULL if
 * the call is never cancelled. Errors: MASTICPITCH_E_NOMEM,
 * MASTICPITCH_E_LIMIT (too many calls, or a key or value that is too long),
 * MASTICPITCH_E_INVALID (a key with characters outside a-z A-Z 0-9 - _ . /);
 * then the callback does not run and nothing was sent.
 */
int platform_get(platform_t *platform, const char *key, uint64_t deadline,
    platform_callback_t callback, void *state, platform_call_t **call);
int platform_list(platform_t *platform, const char *prefix, uint64_t deadline,
    platform_callback_t callback, void *state, platform_call_t **call);

/* Expected revision of a call without a condition. */
#define PLATFORM_EXPECT_ANY UINT64_MAX

typedef struct platform_put_options {
	const char *key;
	const char *value;
	size_t size;
	uint64_t expect; /* 0: the key must not exist; or PLATFORM_EXPECT_ANY */
	uint64_t lease;	 /* 0: none */
	/*
	 * Another key, whose revision must be guard_expect too; NULL: none. The native
	 * dialect has no such condition and refuses it.
	 */
	const char *guard;
	uint64_t guard_expect;
} platform_put_t;

int platform_put(platform_t *platform, const platform_put_t *put, uint64_t deadline,
    platform_callback_t callback, void *state, platform_call_t **call);
int platform_delete(platform_t *platform, const char *key, uint64_t expect,
    uint64_t deadline, platform_callback_t callback, void *state, platform_call_t **call);
int platform_lease_create(platform_t *platform, uint32_t ttl_ms, uint64_t deadline,
    platform_callback_t callback, void *state, platform_call_t **call);
int platform_lease_renew(platform_t *platform, uint64_t lease, uint64_t deadline,
    platform_callback_t callback, void *state, platform_call_t **call);
int platform_lease_revoke(platform_t *platform, uint64_t lease, uint64_t deadline,
    platform_callback_t callback, void *state, platform_call_t **call);
/*
 * Waits for a revision of the key above after, at most wait_ms on the server.
 * The deadline should be some seconds after the end of the wait.
 */
int platform_watch(platform_t *platform, const char *key, uint64_t after,
    uint32_t wait_ms, uint64_t deadline, platform_callback_t callback, void *state,
    platform_call_t **call);

/* Ends a call without its callback; it may take effect or not. NULL is allowed. */
void platform_call_cancel(platform_call_t *call);

/* "ok", "not-found", "conflict", ... for logs. */
const char *platform_outcome_text(platform_outcome_t outcome);

/* Reachability of the platform and counts of calls. */
typedef struct platform_health_state {
	bool reachable;		 /* the last finished call did not fail */
	uint64_t last_answer_at; /* monotonic, ns; 0: none yet */
	uint64_t calls;		 /* started */
	uint64_t failures;	 /* refused, not sent or unknown */
	uint64_t waiting;	 /* calls in flight, watches included */
} platform_health_t;

platform_health_t platform_health(const platform_t *platform);

#ifdef __cplusplus
}
#endif

#endif
