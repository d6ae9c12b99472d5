/*
 * What the files of the entry service share; see entry.h.
 *
 * entry.c: the service and its messages. entry_http.c: callers' connections.
 * entry_head.c: checks and reads a request head. entry_request.c: a request's
 * body, answer and refusal. entry_attempt.c: attempts at instances.
 * entry_report.c: answers to operators' queries.
 */
#ifndef MASTICPITCH_ENTRY_INTERNAL_H
#define MASTICPITCH_ENTRY_INTERNAL_H

#include "answer_profile.h"
#include "balance.h"
#include "chunk_queue.h"
#include "deadline_profile.h"
#include "entry.h"
#include "limit.h"
#include "mhd_loop.h"
#include "quarantine.h"
#include "retry.h"
#include "run_set.h"
#include "snapshot.h"
#include "stream_table.h"
#include "ticket.h"

/* A request head: names and values of its fields together, bytes. */
#define ENTRY_HEADER_BYTES_MAX (16 * 1024)
/* Path with query, bytes. */
#define ENTRY_PATH_MAX 8192
/* Memory of libmicrohttpd for one connection; larger heads get its own 431. */
#define ENTRY_CONNECTION_MEMORY (20 * 1024)
/* Body bytes held that cannot be sent yet; then the caller is not read further. */
#define ENTRY_BODY_HELD_MAX (64 * 1024)
/* Refused bodies up to this size are read and dropped, so the refusal arrives. */
#define ENTRY_BODY_DROPPED_MAX (64 * 1024)
/* And for at most this time, s. */
#define ENTRY_DROP_S 10
/* Answer bytes given to the caller before credit goes back. */
#define ENTRY_CREDIT_BYTES (STREAM_WINDOW_BYTES / 4)
/* A connection without progress is closed; uploads over weak links pause for long. */
#define ENTRY_IDLE_S 120
/* Added to the configuration's idle timeout, so that the caller's own ends first, s. */
#define ENTRY_IDLE_MARGIN_S 1
/*
 * Open connections above which an answer also ends its connection. Under
 * overload callers open a new one for each further try and leave the old ones
 * idle, which took 100 MB for 3,000 of them.
 */
#define ENTRY_CONNECTIONS_KEPT_MAX 256
/* Connections besides those with a request in flight. */
#define ENTRY_SPARE_CONNECTIONS 1024
/* The gate's own, more exact refusal at the deadline comes before the entry's, ms. */
#define ENTRY_DEADLINE_GRACE_MS 20
/* Attempts of an idempotent request under the naive policy. */
#define ENTRY_NAIVE_ATTEMPTS 3
/*
 * A leaving entry waits so long for callers to use their idle connections once
 * more: the refusal closes the connection in order. A connection that is closed
 * while a request is on its way leaves the caller with an unknown outcome.
 */
#define ENTRY_LEAVE_IDLE_NS (5 * NS_PER_S)
/*
 * Part of the extra attempts that the platform allows all nodes in a window, kept
 * for what entries do not know of each other.
 */
#define ENTRY_RETRY_EXTRA_USED 0.6
/*
 * A caller that is refused for load comes back after a random time in this
 * range, ms; callers take at most a third of the time that they have left.
 */
#define ENTRY_RETRY_AFTER_MIN_MS 100
#define ENTRY_RETRY_AFTER_MAX_MS 500
/*
 * A request whose attempts lost this many backend servers is not sent again: the
 * third attempt of a crashing lookup would take down a third one before any
 * crash report has spread.
 */
#define ENTRY_BACKENDS_LOST_MAX 2

typedef struct entry_request entry_request_t;

/* A caller's connection. */
typedef struct entry_connection {
	int fd;
	entry_request_t *request; /* the one in progress, or NULL */
} entry_connection_t;

struct entry {
	service_t service;
	kernel_t *kernel;
	const settings_t *settings;
	uint64_t node; /* own id */
	struct MHD_Daemon *daemon;
	mhd_loop_t mhd;
	int hangup_fd; /* epoll descriptor that waits for hang-ups only */
	ev_io hangup;
	stream_table_t streams;
	list_t requests;
	uint64_t stream_last;
	snapshot_t *snapshot; /* NULL: none yet */
	balance_t *balance;
	retry_t *retry;
	size_t retry_nodes; /* that share the budget, when it was last divided */
	limit_entry_t *limit;
	quarantine_t *quarantine;
	deadline_profile_t deadlines;
	answer_profile_t answers;
	run_set_t running; /* on this host's backend server */
	bool naive;
	bool leaving;
	uint64_t leave_deadline;  /* of waiting for idle connections */
	uint64_t accept_deadline; /* a leaving entry takes new requests until then */
	const header_names_t *names;
	char caller_service[NAME_BYTES]; /* of this host; may be empty */
	bool stopping;
};

typedef enum request_state {
	REQUEST_HEAD,	  /* the head is not read yet */
	REQUEST_BODY,	  /* the body is being read */
	REQUEST_WAITING,  /* read whole; waits for answer or refusal */
	REQUEST_ANSWERING /* the answer is being sent */
} request_state_t;

struct entry_request {
	list_t link;
	entry_t *entry;
	struct MHD_Connection *mhd;
	entry_connection_t *connection;
	request_state_t state;
	bool suspended;
	bool dead; /* the caller hung up or the exchange is broken off */
	bool http_1_0;
	bool close; /* the connection ends with this answer */
	uint64_t accepted;

	/* route */
	snapshot_t *snapshot;
	const preset_route_t *route;
	const preset_service_t *preset_service;
	limit_permit_t permit;
	call_head_t *head; /* kept for further attempts */
	ev_timer deadline;
	bool nested; /* a call of work that runs already */
	bool asks_ticket;
	bool ticket_bound;
	uint64_t ticket_node;

	/* request body */
	int64_t body_length; /* -1: chunked */
	uint64_t body_received;
	uint64_t body_dropped; /* read after the refusal or the whole answer */
	bool body_end;
	buffer_t kept; /* the body so far, for another attempt */
	bool body_kept;
	chunk_queue_t unsent;

	/* attempts */
	bool started; /* the first attempt has begun */
	stream_entry_t stream;
	bool stream_open;
	balance_attempt_t attempt;
	uint32_t attempts; /* at gates */
	uint32_t runs;	   /* of these, may have reached a backend server */
	uint64_t tried[PRESET_ATTEMPTS_MAX];
	uint32_t window; /* body bytes that may be sent */
	bool end_sent;
	run_state_t run; /* of all attempts so far */
	reason_t last_reason;
	load_report_t last_load; /* of the gate that refused last */
	uint64_t first_byte;	 /* time of the answer head; 0: none */
	uint32_t backends_lost;	 /* attempts that ended as REASON_BACKEND_LOST */
	ev_timer backoff;

	/* answer */
	answer_head_t *answer;
	chunk_queue_t answer_body;
	bool answer_end;
	bool answer_cut;
	uint32_t answer_credit; /* given to the caller, credit not yet sent back */

	/* refusal, if reason is not REASON_NONE */
	refusal_t refusal;
};

/* entry.c */
/* Posts to gate or peer for the request's open stream. */
void entry_stream_post(entry_request_t *request, message_t *message);

/* entry_http.c */
int entry_http_open(entry_t *entry);
void entry_http_close(entry_t *entry);
/*
 * Closes the listen socket; connections that callers have made are taken on
 * first. A second call changes nothing.
 */
void entry_http_stop_listening(entry_t *entry);
/* Callers' open connections. */
unsigned entry_connections(const entry_t *entry);
void entry_request_resume(entry_request_t *request);
/* Breaks the caller's connection without an answer. */
void entry_request_break(entry_request_t *request);

/* entry_head.c */
/* Fills head, framing, deadline and route; or says why not. */
reason_t entry_head_read(
    entry_request_t *request, const char *method, const char *version);

/* entry_request.c */
entry_request_t *entry_request_create(
    entry_t *entry, struct MHD_Connection *mhd, const char *path);
void entry_request_destroy(entry_request_t *request);
/* The head is read: takes the request or refuses it. */
void entry_request_begin(
    entry_request_t *request, const char *method, const char *version);
/* Takes body bytes; returns how many. */
size_t entry_request_body(entry_request_t *request, const char *data, size_t size);
void entry_request_body_end(entry_request_t *request);
/* Ends the request with a refusal; nothing is sent before the body is read. */
void entry_request_refuse(
    entry_request_t *request, reason_t reason, run_state_t run, bool final);
/* One line on how the request has ended. */
void entry_request_log(const entry_request_t *request, bool delivered);
/* True if there is something to answer with. */
bool entry_request_is_ready(const entry_request_t *request);
/* Queues answer or refusal. */
enum MHD_Result entry_request_answer(entry_request_t *request);

/* Tells the gate of this host how a call of its running work has ended. */
void entry_nested_report(
    entry_request_t *request, const load_report_t *load, bool refused, bool failed);

/* entry_attempt.c */
void entry_attempt_start(entry_request_t *request);
/* Sends body while there is credit. */
void entry_attempt_pump(entry_request_t *request);
/* Ends the open stream, if any, with CALL_CANCEL. */
void entry_attempt_cancel(entry_request_t *request);
/* A message for the request's stream. */
void entry_attempt_receive(entry_request_t *request, message_t *message);

/* entry_report.c */
void entry_report(entry_t *entry, const message_t *query);

#endif
