/*
 * An operator's commit: create, edit or delete a preset, or switch the one in
 * force. See docs/design.md section 6. commit_machine_t is a state machine that
 * makes the decisions, without clock, timers or sockets; commit_client_t performs
 * its actions on the platform. Not thread-safe.
 *
 * Steps: read the head; write the parts that the head does not name yet; then
 * compare-and-swap the head, which is the commit. A compare-and-swap whose
 * answer is lost is sent again unchanged: once any write took effect, the
 * expected revision is outdated, so it can take effect at most once. After a
 * conflict the operation ids in the head's history show which commit won.
 */
#ifndef MASTICPITCH_COMMIT_H
#define MASTICPITCH_COMMIT_H

#include "platform.h"
#include "record.h"

#ifdef __cplusplus
extern "C" {
#endif

/* A commit not finished this long after its start is abandoned, whatever its deadline. */
#define COMMIT_DURATION_MAX_NS (UINT64_C(300) * 1000 * 1000 * 1000)
/* Orphan parts are removed after a commit whose version is a multiple of this. */
#define COMMIT_CLEANUP_INTERVAL_VERSIONS 16
/* Most orphan parts that one commit removes. */
#define COMMIT_CLEANUP_PARTS_MAX 1024
/* Delay before a retry: random, below a bound that doubles from MIN to MAX. */
#define COMMIT_BACKOFF_MIN_NS (UINT64_C(50) * 1000 * 1000)
#define COMMIT_BACKOFF_MAX_NS (UINT64_C(2000) * 1000 * 1000)

typedef enum commit_kind {
	COMMIT_CREATE, /* a new preset; the first one ever is also put in force */
	COMMIT_EDIT,   /* replace the text of a preset */
	COMMIT_DELETE, /* remove a preset that is not in force */
	COMMIT_USE,    /* put a preset in force */
	COMMIT_LOOKUP  /* report the outcome of an operation; writes nothing */
} commit_kind_t;

typedef struct commit_request {
	commit_kind_t kind;
	const char *preset;	   /* name; not for LOOKUP */
	const char *text;	   /* JSON with comments; CREATE and EDIT */
	size_t size;		   /* bytes of text */
	const char *operator_name; /* 1 to 64 of a-z A-Z 0-9 - _ . */
	/*
	 * 32 hex digits. LOOKUP: the operation to look up. Otherwise empty, and
	 * commit_start() chooses a random one, or an id chosen by the caller that
	 * was never used before.
	 */
	char operation[RECORD_OPERATION_BYTES];
	/*
	 * Refuse with a conflict unless the head has this version. LOOKUP: the
	 * base_version of the result that was unknown; without it an operation that
	 * is absent is only reported as not found.
	 */
	bool has_expected_version;
	uint64_t expected_version;
	/*
	 * The largest version seen on any node, or 0. The commit gets a larger
	 * version, so that nodes accept it after the platform lost newer versions.
	 */
	uint64_t version_floor;
	uint64_t deadline; /* monotonic, ns */
	bool clean;	   /* remove orphan parts after this commit in any case */
} commit_request_t;

/*
 * Outcome of a commit. error is
 *   MASTICPITCH_OK              committed as version (LOOKUP: was committed)
 *   MASTICPITCH_E_INVALID       request or preset invalid, see message; or the
 *                               head on the platform is; nothing was committed
 *   MASTICPITCH_E_LIMIT         too many presets, or a part too long
 *   MASTICPITCH_E_CONFLICT      not committed: lost to the commit in lost_to
 *   MASTICPITCH_E_NOT_FOUND     no such preset; LOOKUP: not in the history
 *   MASTICPITCH_E_EXISTS        CREATE: there is a preset of that name
 *   MASTICPITCH_E_DENIED        DELETE: the preset is in force
 *   MASTICPITCH_E_UNREACHABLE   not committed: the platform did not answer, or
 *                               refused, until the deadline
 *   MASTICPITCH_E_UNKNOWN       the compare-and-swap was sent and its effect is
 *                               not known; look the operation up later
 *   MASTICPITCH_E_NOMEM         not committed
 */
typedef struct commit_result {
	int error;
	uint64_t version;      /* OK: the new version */
	uint64_t base_version; /* of the head that was read; 0: none */
	char operation[RECORD_OPERATION_BYTES];
	record_commit_t lost_to; /* CONFLICT: the winner; version 0: unknown */
	char message[MASTICPITCH_MESSAGE_MAX]; /* one line in English; never empty */
	uint32_t parts_written;
	uint32_t parts_removed; /* orphans */
} commit_result_t;

/* State machine -------------------------------------------------------- */

typedef struct commit_machine commit_machine_t;

typedef enum commit_action_kind {
	COMMIT_ACTION_GET,    /* key */
	COMMIT_ACTION_PUT,    /* put */
	COMMIT_ACTION_LIST,   /* key is the prefix */
	COMMIT_ACTION_DELETE, /* key, expect */
	COMMIT_ACTION_WAIT,   /* until the time */
	COMMIT_ACTION_FINISH  /* see commit_machine_result() */
} commit_action_kind_t;

/* The next action to perform; pointers are valid until the next step. */
typedef struct commit_action {
	commit_action_kind_t kind;
	const char *key;
	platform_put_t put;
	uint64_t expect;
	uint64_t until;
} commit_action_t;

/*
 * Checks a request and copies what it needs. seed: for the backoff. Times are
 * monotonic, ns; wall_ms is for the history. Errors: MASTICPITCH_E_NOMEM; an
 * invalid request is reported by the machine's result.
 */
int commit_machine_create(const commit_request_t *request, uint64_t seed,
    uint64_t wall_ms, uint64_t now, commit_machine_t **machine);
/* NULL is allowed. */
void commit_machine_destroy(commit_machine_t *machine);
/*
 * Takes the answer to the last action (NULL at the start and after a wait) and
 * returns the next action. Must not be called after FINISH.
 */
commit_action_t commit_machine_step(
    commit_machine_t *machine, const platform_answer_t *answer, uint64_t now);
/* Valid after FINISH, until the machine is destroyed. */
const commit_result_t *commit_machine_result(const commit_machine_t *machine);

/* Client --------------------------------------------------------------- */

typedef struct commit_client commit_client_t;
typedef struct commit_run commit_run_t;

/* Runs once for each run that was started and not cancelled. */
typedef void (*commit_callback_t)(void *state, const commit_result_t *result);

/*
 * call_timeout_ms bounds each single call on the platform; platform and loop
 * outlive the client. Errors: MASTICPITCH_E_NOMEM.
 */
int commit_client_create(struct ev_loop *loop, platform_t *platform,
    uint32_t call_timeout_ms, commit_client_t **client);
/* Cancels every run without its callback; NULL is allowed. */
void commit_client_destroy(commit_client_t *client);

/*
 * Starts a commit or a lookup; copies what the request points to. The callback
 * runs later, from the loop, with a result that is valid during it. run may be
 * NULL if it is never cancelled. Several runs may be active simultaneously. Errors:
 * MASTICPITCH_E_NOMEM; then the callback does not run.
 */
int commit_start(commit_client_t *client, const commit_request_t *request,
    commit_callback_t callback, void *state, commit_run_t **run);
/* Ends a run without its callback; the commit may take effect or not. NULL is allowed. */
void commit_cancel(commit_run_t *run);

#ifdef __cplusplus
}
#endif

#endif
