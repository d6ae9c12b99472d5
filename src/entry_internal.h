/*
 * Shared declarations of the entry service; see entry.h. Each file calls only those
 * before it.
 *
 * entry_hedge.c: second attempts of requests whose first one is still at work.
 * entry_report.c: request log and answers to operators' queries. entry_answer.c:
 * answers to callers. entry_quota.c: quotas of workspaces. entry_refuse.c: the end of an
 * attempt and the refusal of a request. entry_attempt.c: attempts at instances.
 * entry_head.c: validates and parses a request head. entry_request.c: a request from its
 * head to its end. entry_callers.c: callers' connections. entry.c: service and message
 * dispatch.
 */
#ifndef MASTICPITCH_ENTRY_INTERNAL_H
#define MASTICPITCH_ENTRY_INTERNAL_H

#include "answer_profile.h"
#include "balance.h"
#include "caller_server.h"
#include "capacity_route.h"
#include "chunk_queue.h"
#include "deadline_profile.h"
#include "entry.h"
#include "hedge.h"
#include "limit.h"
#include "quarantine.h"
#include "quota_lease.h"
#include "retry.h"
#include "run_set.h"
#include "snapshot.h"
#include "stream_table.h"
#include "ticket.h"

/* Names and values of all header fields of a request, bytes. */
#define ENTRY_HEADER_BYTES_MAX (16 * 1024)
/* Path with query, bytes. */
#define ENTRY_PATH_MAX_BYTES 8192
/* Unsent body bytes of a request above which no more is read from its caller. */
#define ENTRY_BODY_BUFFERED_MAX_BYTES (64 * 1024)
/*
 * The body of a refused request is read and discarded up to this size, so that
 * the caller receives the refusal.
 */
#define ENTRY_BODY_DISCARDED_MAX_BYTES (64 * 1024)
/* Longest time for which the body of a refused request is read, s. */
#define ENTRY_DISCARD_TIMEOUT_S 10
/* Answer bytes delivered to the caller after which credit is returned. */
#define ENTRY_CREDIT_BYTES (STREAM_WINDOW_BYTES / 4)
/*
 * A connection without progress for this long is closed, s. Uploads over weak
 * links have long pauses.
 */
#define ENTRY_IDLE_TIMEOUT_S 120
/*
 * Added to the idle timeout of the configuration, so that the caller's own idle
 * timeout ends first, s.
 */
#define ENTRY_IDLE_MARGIN_S 1
/*
 * Open connections above which an answer also closes its connection. Under
 * overload, callers open a new connection for each retry and leave the old ones
 * idle; 3,000 idle connections took 100 MB.
 */
#define ENTRY_KEEP_ALIVE_CONNECTIONS_MAX 256
/* Connections allowed in addition to the limit of requests in flight. */
#define ENTRY_EXTRA_CONNECTIONS 1024
/*
 * The entry waits this long after the deadline, since the gate's refusal at the
 * deadline states the run state more exactly than the entry's, ms.
 */
#define ENTRY_DEADLINE_GRACE_MS 20
/* Expected size of the first answer of a route, for pipelined requests, bytes. */
#define ENTRY_AHEAD_BYTES (64 * 1024)
/* Attempts of an idempotent request under the naive policy. */
#define ENTRY_NAIVE_ATTEMPTS 3
/*
 * Time for which a leaving entry waits for another request on each idle
 * connection: the answer to it then closes the connection in order. Closing a
 * connection while a request is in transit leaves its caller with an unknown
 * outcome.
 */
#define ENTRY_LEAVE_IDLE_NS (5 * NS_PER_S)
/*
 * In this last part of its grace period a leaving entry starts no attempt whose deadline
 * is behind the end: an attempt that is still running then gives the caller no result.
 */
#define ENTRY_LEAVE_ATTEMPT_NS (1 * NS_PER_S)
/*
 * Share of the extra attempts in a window, as the platform allows them to all
 * nodes together, that the entries divide among themselves. The rest is a margin,
 * since entries have no information on each other's retries.
 */
#define ENTRY_RETRY_EXTRA_SHARE 0.6
/*
 * A request is not retried after this many of its attempts ended as
 * REASON_BACKEND_LOST: the third attempt of a lookup that crashes backend servers
 * would take down a third one before any crash report has spread.
 */
#define ENTRY_BACKENDS_LOST_MAX 2

/* Most refusals of a request as REASON_HOST_BUSY; after them it takes what it gets. */
#define ENTRY_MOVES_MAX 3
/* Fewest usable instances among which calls are moved. */
#define ENTRY_MOVE_INSTANCES_MIN 3
/*
 * Share of a service's capacity in use above which calls aren't moved: most gates would
 * refuse them.
 */
#define ENTRY_MOVE_UTILISATION_MAX 1.2

typedef struct entry_request entry_request_t;

struct entry {
	service_t service;
	kernel_t *kernel;
	const settings_t *settings;
	uint64_t node; /* own id */
	caller_server_t *callers;
	stream_table_t streams;
	list_t requests;
	uint64_t stream_last;
	snapshot_t *snapshot; /* NULL: none yet */
	uint64_t verified_at; /* if bounds.fail_closed: the snapshot was the newest */
	balance_t *balance;
	retry_t *retry;
	size_t retry_nodes; /* instance count at the last division of the budget */
	limit_entry_t *limit;
	quarantine_t *quarantine;
	deadline_profile_t deadlines;
	answer_profile_t answers;
	capacity_routes_t durations;
	hedge_t hedge;
	stream_table_t second_streams; /* of second attempts */
	quota_lease_t *quota;
	list_t quota_waiting; /* requests that wait for a token */
	ev_timer quota_timer; /* looks at them again */
	run_set_t running;    /* requests that this host's backend server runs */
	bool naive;
	bool leaving;
	uint64_t leave_deadline;  /* end of the wait for idle connections */
	uint64_t accept_deadline; /* a leaving entry accepts new requests until then */
	uint64_t grace_deadline;  /* a leaving entry ends then */
	const header_names_t *names;
	char caller_service[NAME_BYTES]; /* backend server's; may be empty */
};

typedef enum request_state {
	REQUEST_BODY,	  /* the body is being read */
	REQUEST_WAITING,  /* completely read; waits for answer or refusal */
	REQUEST_ANSWERING /* the answer is being sent */
} request_state_t;

struct entry_request {
	list_t link;
	entry_t *entry;
	exchange_t *exchange;
	request_state_t state;
	bool close; /* close the connection after the answer */
	uint64_t accepted_at;

	/* route */
	snapshot_t *snapshot;
	const preset_route_t *route;
	const preset_service_t *preset_service;
	const preset_workspace_t *workspace; /* that the key names; NULL: none */
	limit_permit_t permit;
	list_t quota_link;	 /* in the entry's quota_waiting */
	uint64_t quota_deadline; /* of the wait for a token */
	uint64_t quota_until;	 /* its token can be given back until then; 0: none */
	call_head_t *head;	 /* kept for further attempts */
	ev_timer deadline;
	bool nested; /* made by a request that is being run */
	bool ticket_requested;
	bool ticket_bound;    /* carries a ticket */
	uint64_t ticket_node; /* whose gate must run it; valid if ticket_bound */

	/* request body */
	int64_t body_length; /* -1: chunked */
	uint64_t body_received;
	uint64_t body_discarded; /* bytes read after the refusal or the complete answer */
	bool body_end;
	buffer_t kept_body; /* body received so far, for retries */
	bool body_kept;	    /* kept_body is complete so far */
	chunk_queue_t unsent;

	/* attempts */
	bool started; /* the first attempt has begun */
	stream_entry_t stream;
	bool stream_open;
	balance_attempt_t attempt;
	uint32_t attempts;	/* calls opened at gates */
	uint32_t attempts_sent; /* attempts that may have reached a backend server */
	uint64_t tried[PRESET_ATTEMPTS_MAX]; /* nodes of the attempts */
	uint32_t window;		     /* body bytes that may be sent */
	bool end_sent;
	run_state_t run; /* combined over all attempts so far */
	reason_t last_reason;
	load_report_t last_load; /* from the last refusal */
	uint64_t first_byte_at;	 /* arrival of the answer head; 0: none yet */
	uint32_t backends_lost;	 /* attempts that ended as REASON_BACKEND_LOST */
	ev_timer backoff;
	uint32_t moves; /* refusals as REASON_HOST_BUSY */

	/* second attempt while the first one is still at work */
	ev_timer hedge_timer;
	hedge_attempt_t hedge_attempt;
	stream_entry_t second;
	bool second_open;
	bool second_denied; /* at least once; counted once */
	balance_attempt_t second_attempt;

	/* answer */
	answer_head_t *answer;
	chunk_queue_t answer_body;
	bool answer_end;
	bool answer_cut;
	uint64_t answer_delivered; /* bytes of the body */
	uint32_t answer_credit;	   /* bytes delivered, credit not returned yet */

	/* refusal, if reason is not REASON_NONE */
	refusal_t refusal;
};

/* entry_hedge.c */
/* What the choice of an instance for the request depends on. */
balance_request_t entry_balance_request(const entry_request_t *request);
void entry_hedge_init(entry_request_t *request);
/* Starts the wait for the time at which a second attempt is due, if any is. */
void entry_hedge_arm(entry_request_t *request);
/* Ends the wait, and the second attempt, if any, with CALL_CANCEL. */
void entry_hedge_cancel(entry_request_t *request);
/*
 * Makes the second attempt the only one after the first has ended. False: there is no
 * second attempt.
 */
bool entry_hedge_promote(entry_request_t *request);
/*
 * Handles a message of the second attempt's stream. True: it is to be handled as one of
 * the request's only attempt.
 */
bool entry_hedge_receive(entry_request_t *request, const message_t *message);

/* entry_report.c */
/* Logs the outcome of the request in one line. */
void entry_request_log(const entry_request_t *request, exchange_end_t end);
/* Answers an operator's query with MESSAGE_REPORT. */
void entry_report(entry_t *entry, const message_t *query);

/* entry_answer.c */
/* True if an answer or a refusal can be given. */
bool entry_request_is_ready(const entry_request_t *request);
/* Gives the answer or the refusal to the caller. */
void entry_request_answer(entry_request_t *request);
/* See exchange_read_t. */
ssize_t entry_answer_read(void *owner, char *target, size_t size);
/* Answers if that is possible now; otherwise the caller's connection goes on. */
void entry_request_resume(entry_request_t *request);
/* Number of callers' open connections. */
unsigned entry_connections(const entry_t *entry);

/* entry_quota.c */
/*
 * Takes a token of the workspace's quota, or lets the request wait for one. Returns the
 * reason for refusing it.
 */
reason_t entry_quota_admit(entry_request_t *request);
bool entry_quota_is_waiting(const entry_request_t *request);
/* Ends the wait if there is a token, or none to wait for; then reason is set. */
bool entry_quota_retry(entry_request_t *request, reason_t *reason);
/* Ends the wait of a request that needs no token any more. */
void entry_quota_cancel(entry_request_t *request);
/* The request has certainly not run. */
void entry_quota_give_back(entry_request_t *request);

/* entry_refuse.c */
/* A message of the request's open stream; NULL: no memory. */
message_t *entry_stream_message(const entry_request_t *request, message_type_t type);
/* Posts it to the stream's service, gate or peer. */
void entry_stream_post(entry_request_t *request, message_t *message);
void entry_stream_close(entry_request_t *request);
/* Ends the open stream, if any, with CALL_CANCEL. */
void entry_attempt_cancel(entry_request_t *request);
/*
 * Reports the end of a nested request to the gate of this host; does nothing for
 * other requests. load: of the instance, may be NULL; refused: for load, not run.
 */
void entry_nested_report(
    entry_request_t *request, const load_report_t *load, bool refused, bool failed);
/* Sets the refusal and cancels the open attempt; answers if the body was read. */
void entry_request_refuse(
    entry_request_t *request, reason_t reason, run_state_t run, bool final);

/* entry_attempt.c */
/* Starts the first or another attempt, or refuses the request. */
void entry_attempt_start(entry_request_t *request);
/* Sends body data while there is credit. */
void entry_attempt_pump(entry_request_t *request);
/* Handles a message of the request's stream. */
void entry_attempt_receive(entry_request_t *request, message_t *message);

/* entry_head.c */
/*
 * Validates the head and fills in framing, deadline and route. Returns
 * REASON_NONE, or the reason for refusing the request.
 */
reason_t entry_head_read(entry_request_t *request);
/* See caller_owner_t. */
size_t entry_ahead_bytes(entry_t *entry, const http_head_t *head);

/* entry_request.c */
/* Returns NULL if there is no memory. */
entry_request_t *entry_request_create(entry_t *entry, exchange_t *exchange);
void entry_request_destroy(entry_request_t *request);
/* Parses the head, then admits or refuses the request. */
void entry_request_begin(entry_request_t *request);
/* Looks at the requests that wait for a token of their workspace's quota. */
void entry_requests_quota(entry_t *entry);
/* Consumes body bytes; returns how many. */
size_t entry_request_body(entry_request_t *request, const char *data, size_t size);
/* Passes on the bytes consumed so far, see caller_owner_t. */
void entry_request_body_flush(entry_request_t *request);
void entry_request_body_end(entry_request_t *request);
/*
 * Ends the wait for an answer and for the rest of the body: a complete answer is
 * delivered, otherwise the request is refused with the run state of its attempts so far.
 */
void entry_request_expire(entry_request_t *request, reason_t reason);

/* entry_callers.c */
int entry_callers_open(entry_t *entry);

#endif
