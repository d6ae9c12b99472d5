/*
 * The wire formats between a node and its callers, backend servers and platform:
 * the project's own dialect, or that of the hosted platform (codec in platform/).
 * Thread-safe.
 */
#ifndef MASTICPITCH_DIALECT_H
#define MASTICPITCH_DIALECT_H

#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef enum dialect { DIALECT_NATIVE, DIALECT_HOSTED } dialect_t;

/* Names of the header fields that a node reads or writes; NULL: not in the dialect. */
typedef struct header_names {
	const char *request_id;
	const char *deadline; /* remaining milliseconds */
	const char *depth;
	const char *trace;
	const char *ticket;
	const char *reason;	  /* of a refusal */
	const char *run;	  /* run state of a refusal */
	const char *final;	  /* no entry upstream may retry */
	const char *not_executed; /* answer: the backend server did not run the request */
	/* Request: only this instance may run it, others answer 421. */
	const char *expect_instance;
	const char *caller_service; /* request: service of the host that sends it */
	const char *signature;	    /* answer: proof that the instance made it */
	const char *load;	    /* answer: running, waiting, slots */
	/* Answer: calls/s that the backend server takes from all nodes together. */
	const char *rate_limit;
	const char *leaving; /* answer: 1 if the backend server leaves */
	const char *key;     /* request: the caller's workspace key; not passed on */
	const char
	    *workspace; /* request: name of the caller's workspace, set by the node */
} header_names_t;

const header_names_t *dialect_headers(dialect_t dialect);
/* Path of readiness requests on the readiness listener. */
const char *dialect_readiness_path(dialect_t dialect);

#ifdef __cplusplus
}
#endif

#endif
