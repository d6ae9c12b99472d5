/*
 * What the files of the gate service share; see gate.h.
 *
 * gate.c: the service, its streams and messages. gate_announce.c: the backend
 * server's announcements. gate_admit.c: admission and queue. gate_exchange.c:
 * the exchange of one call with the backend server, with its header fields in
 * gate_fields.c. gate_ticket.c: idempotency tickets. gate_death.c: deaths of
 * the backend server and crash reports.
 */
#ifndef MASTICPITCH_GATE_INTERNAL_H
#define MASTICPITCH_GATE_INTERNAL_H

#include "announcement.h"
#include "chunk_queue.h"
#include "curl_loop.h"
#include "gate.h"
#include "http_server.h"
#include "limit.h"
#include "quarantine.h"
#include "queue.h"
#include "snapshot.h"
#include "stream_table.h"
#include "throttle.h"
#include "ticket.h"

/* A backend server announces itself this often. */
#define GATE_RENEW_MS 1000
/* Without an announcement for this long it is dropped. */
#define GATE_SILENT_MS 3000
/* At least this many must be missed; one may be late by some of them. */
#define GATE_SILENT_ANNOUNCEMENTS 6
/* Part of the time allowed that is kept for work on its way to a leaving one. */
#define GATE_DRAIN_MARGIN 4
/*
 * Idle time after which a connection to the backend server is not used again
 * unless it says how long it keeps one, and the longest that it may say, s.
 */
#define GATE_IDLE_S 5
#define GATE_IDLE_S_MAX 3600
/* Handles of libcurl kept for reuse; creating one costs more than a short call. */
#define GATE_HANDLES_MAX 64
/* Request body bytes taken before credit goes back: a quarter of the window. */
#define GATE_CREDIT_BYTES (STREAM_WINDOW_BYTES / 4)
/* Calls of one gate, waiting and running; beyond it calls are refused. */
#define GATE_CALLS_MAX 8192
/* A backend server on the same host accepts at once or is stuck. */
#define GATE_CONNECT_MS 1000
/*
 * Probes of the port after a broken exchange and the pause between them. A
 * process that dies resets its connections some milliseconds before its port
 * closes, so one probe that finds the port open proves no life: with a single
 * probe every second death of a crashing request went unreported.
 */
#define GATE_PROBES 3
#define GATE_PROBE_PAUSE_MS 60
/* Room in the ticket table where the dialect has no tickets. */
#define GATE_TICKETS_UNUSED 16
/* Broken exchanges whose cause, death or not, is being looked for. */
#define GATE_LOST_MAX 64

struct gate {
	service_t service;
	kernel_t *kernel;
	const settings_t *settings;
	http_server_t *announcements;
	curl_loop_t *curl;
	CURL *handles[GATE_HANDLES_MAX];
	size_t handle_count;
	stream_table_t streams;
	list_t calls;  /* every call, by arrival */
	queue_t queue; /* the waiting ones */
	limit_gate_t limit;
	throttle_t throttle;
	pressure_t pressure;
	bool naive;
	bool in_queue_run;
	ticket_table_t *tickets;
	quarantine_t *quarantine;
	snapshot_t *snapshot; /* may be NULL */
	uint32_t running;
	gate_backend_t backend;
	uint32_t sequence;
	bool leaving;
	ev_timer silence;
	ev_timer drain; /* of a leaving backend server's queue */
	const header_names_t *names;
	uint32_t idle_s; /* idle connections are used again for less than this */

	/* Looks whether the backend server still listens. */
	int probe_fd; /* -1: no probe runs */
	ev_io probe;
	ev_timer probe_deadline;
	ev_timer probe_pause;
	unsigned probes_open;	      /* in a row that found the port open */
	uint64_t lost[GATE_LOST_MAX]; /* fingerprints */
	size_t lost_count;
};

typedef enum gate_call_state {
	GATE_CALL_NEW,
	GATE_CALL_QUEUED,
	GATE_CALL_RUNNING
} gate_call_state_t;

typedef struct gate_call {
	stream_entry_t stream;
	list_t link;
	queue_item_t item;
	gate_t *gate;
	call_head_t *head;
	gate_call_state_t state;
	ev_timer deadline;
	uint64_t started;
	uint32_t running_at_start;
	bool fingerprint_open; /* counted in flight by quarantine */
	ticket_t ticket;
	bool ticket_open; /* its outcome is still to be told */
	buffer_t kept;	  /* start of the answer body, for the ticket */
	char kept_type[TICKET_CONTENT_TYPE_BYTES];

	/* request body */
	chunk_queue_t body; /* not yet taken by libcurl */
	uint64_t body_received;
	uint32_t body_credit; /* taken, credit not yet sent back */
	bool body_end;
	bool body_paused;

	/* exchange */
	CURL *easy;
	struct curl_slist *lines;
	bool sent; /* the request may have reached the backend server */
	bool resend_blocked;
	bool shed;	     /* the backend server refused it unrun */
	bool misdirected;    /* the address belongs to another instance now */
	bool nested_failed;  /* a call that it made has failed */
	bool foreign_answer; /* not an answer of the backend server to this call */
	bool shed_final;
	int status;	       /* of the answer that was posted */
	answer_head_t *answer; /* until it is posted */
	bool answered;	       /* the answer head is posted */
	uint32_t answer_credit;
	bool answer_paused;
} gate_call_t;

/* gate.c */
void gate_load(const gate_t *gate, load_report_t *load);
message_t *gate_call_message(const gate_call_t *call, message_type_t type);
void gate_call_post(gate_call_t *call, message_t *message);
/* Tells the caller why there is no (whole) answer, and ends the call. */
void gate_call_refuse(gate_call_t *call, reason_t reason, run_state_t run, bool final);
/* Ends the call without a message; its place goes to the next one. */
void gate_call_finish(gate_call_t *call);

/* gate_announce.c */
int gate_announce_open(gate_t *gate);
void gate_announce_close(gate_t *gate);
/* Posts the local instance to membership. */
void gate_instance_post(gate_t *gate);
/* The backend server is gone; queued calls are refused. */
void gate_backend_drop(gate_t *gate, const char *cause);

/* gate_admit.c */
/* Takes over slots and settings after an announcement or a new configuration. */
void gate_limits_set(gate_t *gate);
/* Connections to the backend server, by announcement and configuration. */
void gate_connections_set(gate_t *gate);
/* Runs, queues or refuses a call that has just arrived. */
void gate_call_admit(gate_call_t *call);
/* Starts queued calls while there are places. */
void gate_queue_run(gate_t *gate);
/* Refuses every queued call as not run. */
void gate_queue_refuse(gate_t *gate, reason_t reason);
/* A call leaves the queue or its running place. */
void gate_call_leave(gate_call_t *call);
uint32_t gate_limit(const gate_t *gate);

/* gate_ticket.c */
/* True if the call asks for a ticket; then it has been answered and is gone. */
bool gate_ticket_issue(gate_call_t *call);
/* True if its ticket keeps it from running; then it has been answered and is gone. */
bool gate_ticket_answer(gate_call_t *call);
void gate_ticket_keep(gate_call_t *call, const void *data, size_t size);
void gate_ticket_finish(gate_call_t *call);
/* The exchange ended without a whole answer. */
void gate_ticket_fail(gate_call_t *call, run_state_t run);

/* gate_death.c */
void gate_death_init(gate_t *gate);
void gate_death_close(gate_t *gate);
/* The call went to the backend server. */
void gate_crash_start(gate_call_t *call);
/* It ended; answered: with an answer of the backend server. */
void gate_crash_end(gate_call_t *call, bool answered);
/* Its exchange broke after the request was sent; starts a probe. */
void gate_crash_lost(gate_call_t *call);
/* The backend server's process has ended: reports what it was running. */
void gate_backend_died(gate_t *gate, const char *cause);
void gate_crash_receive(gate_t *gate, const message_t *message);

/* gate_fields.c */
/* Header lines of the request to the backend server; false: no memory. */
bool gate_lines_build(gate_call_t *call);
/* One header line of the answer, with its end. False: break the exchange. */
bool gate_answer_line(gate_call_t *call, const char *data, size_t length);

/* gate_exchange.c */
int gate_exchange_open(gate_t *gate);
void gate_exchange_close(gate_t *gate);
/* Errors: MASTICPITCH_E_NOMEM; then nothing was started. */
int gate_exchange_start(gate_call_t *call);
/* Breaks the exchange if it still runs. */
void gate_exchange_stop(gate_call_t *call);
/* More body or answer credit has come. */
void gate_exchange_resume_body(gate_call_t *call);
void gate_exchange_resume_answer(gate_call_t *call);

#endif
