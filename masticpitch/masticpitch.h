/*
 * Public interface of masticpitch: a configuration distribution system for a
 * service mesh. A program embeds one or more nodes, or checks settings and
 * presets without starting anything.
 *
 * Threading: a node may be used only from the thread that calls
 * masticpitch_node_run(). masticpitch_node_stop() is the only function that may
 * also be called from a signal handler.
 */
#ifndef MASTICPITCH_H
#define MASTICPITCH_H

#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Functions that can fail return 0 or one of these negative numbers. */
typedef enum masticpitch_error {
	MASTICPITCH_OK = 0,
	MASTICPITCH_E_NOMEM = -1,	   /* out of memory */
	MASTICPITCH_E_INVALID = -2,	   /* malformed input; the message says where */
	MASTICPITCH_E_LIMIT = -3,	   /* a documented limit was reached */
	MASTICPITCH_E_IO = -4,		   /* a system call failed */
	MASTICPITCH_E_ADDRESS_IN_USE = -5, /* a listen address is already bound */
	MASTICPITCH_E_UNREACHABLE = -6,	   /* the peer did not answer */
	MASTICPITCH_E_TIMEOUT = -7,	   /* the deadline passed */
	MASTICPITCH_E_CONFLICT = -8,	   /* compare-and-swap lost to another write */
	MASTICPITCH_E_NOT_FOUND = -9,	   /* no such key, preset, route or instance */
	MASTICPITCH_E_UNKNOWN = -10,	   /* the outcome of a write is unknown */
	MASTICPITCH_E_DENIED = -11,	   /* missing or wrong token or key */
	MASTICPITCH_E_STALE = -12,	   /* older than the version already held */
	MASTICPITCH_E_CANCELLED = -13,	   /* cancelled by the caller */
	MASTICPITCH_E_SYNTAX = -14,	   /* wrong command line */
	MASTICPITCH_E_EXISTS = -15,	   /* the name or key exists already */
} masticpitch_error_t;

/* Size of a buffer for the longest message, bytes, including the terminator. */
#define MASTICPITCH_MESSAGE_MAX 512

typedef struct masticpitch_node masticpitch_node_t;

/*
 * Returns a constant English text for an error number, "unknown error" if it is
 * not a masticpitch_error_t. Any thread.
 */
const char *masticpitch_strerror(int error);

/* Returns the release version, for example "0.1.0". Any thread. */
const char *masticpitch_version(void);

/*
 * Reads and checks a settings file. On failure writes one line that names
 * file, key and reason to message (at most size bytes).
 * Errors: MASTICPITCH_E_IO, MASTICPITCH_E_INVALID, MASTICPITCH_E_LIMIT,
 * MASTICPITCH_E_NOMEM.
 */
int masticpitch_settings_check(const char *path, char *message, size_t size);

/*
 * Reads and checks a preset file by the rules that every node applies. Errors
 * and message as for masticpitch_settings_check().
 */
int masticpitch_preset_check(const char *path, char *message, size_t size);

/*
 * Creates a node from a settings file and binds its listen addresses. From then on
 * SIGTERM and SIGINT stop the node and SIGHUP reloads its settings. Signals that come
 * meanwhile are handled by masticpitch_node_run(); a program that blocks them before
 * the call loses none. An address that is in use is tried again for 10 s.
 * Errors: as masticpitch_settings_check(), MASTICPITCH_E_ADDRESS_IN_USE,
 * MASTICPITCH_E_CANCELLED if SIGTERM or SIGINT was blocked and came meanwhile.
 */
int masticpitch_node_create(
    const char *settings_path, masticpitch_node_t **node, char *message, size_t size);

/*
 * Runs the node until masticpitch_node_stop() was called and every request in
 * flight has finished or the grace period has expired. Errors: MASTICPITCH_E_IO.
 */
int masticpitch_node_run(masticpitch_node_t *node);

/*
 * Starts a graceful shutdown: the node announces that it is leaving, accepts no
 * new work, and masticpitch_node_run() returns when the running work is done. A
 * second call has no effect. Async-signal-safe.
 */
void masticpitch_node_stop(masticpitch_node_t *node);

/*
 * Frees a node and restores the blocked signals as before its creation; NULL is allowed.
 * Not allowed while masticpitch_node_run() runs.
 */
void masticpitch_node_destroy(masticpitch_node_t *node);

#ifdef __cplusplus
}
#endif

#endif
