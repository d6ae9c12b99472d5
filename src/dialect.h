/*
 * The dialect that callers, backend servers and the platform speak with a node:
 * the project's own, or that of the hosted platform, which platform/ translates.
 * Any thread.
 */
#ifndef MASTICPITCH_DIALECT_H
#define MASTICPITCH_DIALECT_H

#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef enum dialect { DIALECT_NATIVE, DIALECT_HOSTED } dialect_t;

/* Names of the header fields with a meaning here; NULL: not in the dialect. */
typedef struct header_names {
	const char *request_id;
	const char *deadline; /* remaining milliseconds */
	const char *depth;
	const char *trace;
	const char *ticket;
	const char *reason;	     /* of a refusal */
	const char *run;	     /* run state of a refusal */
	const char *final;	     /* no entry above may try again */
	const char *not_executed;    /* answer: the backend server did not run it */
	const char *expect_instance; /* request: any other instance answers 421 */
	const char *caller_service;  /* request: service of the host it comes from */
	const char *signature;	     /* answer: proves that the instance made it */
	const char *load;	     /* answer: running, waiting, slots */
} header_names_t;

const header_names_t *dialect_headers(dialect_t dialect);
/* Path that the readiness listener answers. */
const char *dialect_readiness_path(dialect_t dialect);

#ifdef __cplusplus
}
#endif

#endif
