/*
 * Shared declarations of the gate service; see gate.h.
 *
 * gate.c: service, streams and message dispatch. gate_announce.c: announcements
 * of the backend server. gate_admit.c: admission and queue. gate_exchange.c:
 * HTTP exchange of one call with the backend server. gate_fields.c: header
 * fields of its request. gate_answer.c: its answer. gate_rate.c: rate limit that the
 * backend server names. gate_ticket.c: idempotency tickets. gate_death.c: detection of
 * backend server crashes, crash reports.
 */
#ifndef MASTICPITCH_GATE_INTERNAL_H
#define MASTICPITCH_GATE_INTERNAL_H

#include "announcement.h"
#include "capacity_server.h"
#include "chunk_queue.h"
#include "curl_loop.h"
#include "defer.h"
#include "gate.h"
#include "http_message.h"
#include "http_server.h"
#include "limit.h"
#include "quarantine.h"
#include "queue.h"
#include "rate_limit.h"
#include "snapshot.h"
#include "stream_table.h"
#include "throttle.h"
#include "ticket.h"

/* Announcement interval that is requested from the backend server. */
#define GATE_ANNOUNCE_INTERVAL_MS 1000
/* Shortest time without an announcement after which the backend server is dropped. */
#define GATE_ANNOUNCE_TIMEOUT_MS 3000
/*
 * The time also covers this many announcement intervals, since an announcement may
 * be late by several of them.
 */
#define GATE_ANNOUNCE_MISSED_MIN 6
/*
 * One part in this many of bounds.drain_ms is left for requests in transit to a
 * leaving backend server.
 */
#define GATE_DRAIN_MARGIN_DIVISOR 4
/*
 * Idle time after which a connection to the backend server is not reused, s, and
 * the longest time that the server may set instead with Keep-Alive.
 */
#define GATE_IDLE_TIMEOUT_S 5
#define GATE_IDLE_TIMEOUT_MAX_S 3600
/* Requests that the backend server refused last; see gate_t.refused. */
#define GATE_REFUSED_MAX 256
/* Request body bytes consumed after which credit is returned. */
#define GATE_CREDIT_BYTES (STREAM_WINDOW_BYTES / 4)
/*
 * Bytes of one answer besides the body that its caller gets: its head, those of interim
 * answers, the body of a refusal. An answer with more is broken off.
 */
#define GATE_ANSWER_OVERHEAD_MAX_BYTES (64 * 1024)
/*
 * Bytes of one answer that are read in one iteration of the event loop; libcurl goes on
 * for as long as more arrive.
 */
#define GATE_ITERATION_READ_MAX_BYTES (64 * 1024)
/* Time for the body of a refusal to end, after which its connection is closed, ms. */
#define GATE_REFUSAL_BODY_MS 100
/* Queued and running calls of a gate; further calls are refused. */
#define GATE_CALLS_MAX 8192
/* Connect timeout: a working backend server on the same host accepts immediately. */
#define GATE_CONNECT_TIMEOUT_MS 1000
/*
 * Probes of the port after a broken exchange and the pause between them. A
 * crashing process resets its connections some milliseconds before its port
 * closes, so one probe that finds the port open does not rule out a crash: with a
 * single probe, half of the crashes caused by a request went unreported.
 */
#define GATE_PROBE_COUNT 3
#define GATE_PROBE_PAUSE_MS 60
/* Capacity of the ticket table if the dialect has no tickets. */
#define GATE_TICKETS_UNUSED_CAPACITY 16
/* Broken exchanges for which the probes have not yet decided on a crash. */
#define GATE_BROKEN_MAX 64

struct gate {
	service_t service;
	kernel_t *kernel;
	const settings_t *settings;
	http_server_t *announcements;
	curl_loop_t *curl;
	list_t yielded; /* calls whose answer is read on in the next iteration */
	defer_t yield;
	stream_table_t streams;
	list_t calls;  /* all calls, by arrival */
	queue_t queue; /* queued calls */
	limit_gate_t limit;
	rate_limit_t rate_limit;
	throttle_t throttle;
	pressure_table_t pressure;
	pressure_t shortage; /* arriving calls that could not be in time */
	bool naive;
	bool in_queue_run; /* gate_queue_run() is active */
	ticket_table_t *tickets;
	quarantine_t *quarantine;
	snapshot_t *snapshot; /* may be NULL */
	uint32_t running;
	gate_backend_t backend;
	capacity_server_t capacity; /* of the backend server */
	/* Calls started before went to another process of the backend server. */
	uint64_t backend_since;
	bool backend_said_leaving; /* in an answer */
	uint64_t departed_ms;	   /* see member_t */
	uint32_t sequence;
	bool leaving;
	ev_timer announce_timeout;
	ev_timer drain;	   /* when the queue of a leaving backend server is refused */
	ev_timer rate;	   /* when the rate limit allows the next queued call */
	bool rate_changed; /* the queue is to be checked against another rate limit */
	const header_names_t *names;
	uint32_t idle_s; /* how long the backend server keeps idle connections, s */
	/*
	 * Hashes of the ids of refused requests, a ring. One that returns is sent on a
	 * new connection: a late copy of its refusal would have its own id.
	 */
	uint64_t refused[GATE_REFUSED_MAX];
	size_t refused_next;

	/* Probe: checks whether the backend server still listens. */
	int probe_fd; /* -1: no probe in progress */
	ev_io probe;
	ev_timer probe_deadline;
	ev_timer probe_pause;
	unsigned probes_open; /* consecutive probes that found the port open */
	uint64_t broken_exchanges[GATE_BROKEN_MAX]; /* fingerprints */
	size_t broken_count;
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
	uint64_t arrived_at;
	uint64_t started_at;
	uint32_t running_at_start;
	uint32_t host_at_start;	    /* see load_report_t.host_percent */
	uint64_t answered_at;	    /* arrival of the answer head */
	bool fingerprint_in_flight; /* in the quarantine's in-flight set */
	ticket_t ticket;
	bool ticket_pending;  /* outcome not reported to the ticket table yet */
	buffer_t ticket_body; /* start of the answer body */
	char ticket_content_type[TICKET_CONTENT_TYPE_BYTES];

	/* request body */
	chunk_queue_t body; /* not yet passed to libcurl */
	uint64_t body_received;
	uint32_t body_credit; /* bytes consumed, credit not returned yet */
	bool body_end;
	bool body_paused;

	/* exchange */
	CURL *easy;
	struct curl_slist *lines;
	bool sent; /* the request may have reached the backend server */
	bool resend_blocked;
	bool shed;	     /* refused by the backend server without being run */
	bool misdirected;    /* the address now belongs to another instance */
	bool nested_failed;  /* a nested call of it failed */
	bool foreign_answer; /* not a genuine answer to this call */
	bool shed_final;     /* the refusal is final: no retry */
	http_message_parser_t response; /* reads the answer */
	int status;			/* of the posted answer */
	answer_head_t *answer;		/* until it is posted */
	bool answered;			/* the answer head is posted */
	bool answer_complete;		/* its end was read */
	bool answer_malformed;		/* its end cannot be found */
	bool answer_failed;		/* no memory for a piece of its body */
	size_t answer_overhead;		/* see GATE_ANSWER_OVERHEAD_MAX_BYTES */
	chunk_t *answer_chunk;		/* bytes of the body that are not posted yet */
	uint32_t answer_credit;
	bool answer_paused;
	unsigned iteration;    /* of the event loop, in which the answer was read last */
	size_t iteration_read; /* bytes of the answer read in it */
	list_t yield_link;     /* in gate_t.yielded */
} gate_call_t;

/* gate.c */
/* Fills in the current load report for a call of a rank. */
void gate_load(const gate_t *gate, uint32_t rank, load_report_t *load);
/* Place of the call in the order of service. */
order_key_t gate_call_key(const gate_call_t *call);
/* Creates a message of the call's stream; NULL: no memory. */
message_t *gate_call_message(const gate_call_t *call, message_type_t type);
void gate_call_post(gate_call_t *call, message_t *message);
/* Posts a refusal, or an abort once the answer head is posted, and ends the call. */
void gate_call_refuse(gate_call_t *call, reason_t reason, run_state_t run, bool final);
/* Ends the call without a message and starts queued calls. */
void gate_call_finish(gate_call_t *call);

/* Records a running call in what the backend server takes; cut: it is cancelled. */
void gate_capacity_record(const gate_call_t *call, uint64_t now, bool cut);

/* gate_announce.c */
int gate_announce_open(gate_t *gate);
void gate_announce_close(gate_t *gate);
/* Posts the state of the local instance to membership and entry. */
void gate_instance_post(gate_t *gate);
/* The backend server says in an answer that it leaves. */
void gate_backend_leave(gate_t *gate);
/* Other nodes remember that a backend server of this host has left. */
void gate_departure_receive(gate_t *gate, uint64_t departed_ms);
/* Withdraws the instance and refuses queued calls. */
void gate_backend_drop(gate_t *gate, const char *cause);

/* gate_admit.c */
/* Updates concurrency and queue limits after an announcement or a new preset. */
void gate_limits_update(gate_t *gate);
/* Updates the limit of connections to the backend server, likewise. */
void gate_connections_update(gate_t *gate);
/* Runs, queues or refuses a call that has just arrived. */
void gate_call_admit(gate_call_t *call);
/* Starts queued calls while the limits admit them. */
void gate_queue_run(gate_t *gate);
/* Refuses the queued calls that a lower rate limit delays for too long. */
void gate_queue_recheck(gate_t *gate);
/* Refuses every queued call as not run. */
void gate_queue_refuse(gate_t *gate, reason_t reason);
/* Removes a call from the queue or from the running calls. */
void gate_call_release(gate_call_t *call);
/* Calls that may run concurrently; 0 without a backend server. */
uint32_t gate_limit(const gate_t *gate);

/* gate_rate.c */
/* Applies the rate limit that an answer names; text NULL: the answer names none. */
void gate_rate_update(gate_t *gate, const char *text);
/* Forgets the rate limit of a backend server that has ended. */
void gate_rate_reset(gate_t *gate);
/* Whether the rate limit allows another call to start now. */
bool gate_rate_admits(const gate_t *gate);
/* Calls that run concurrently at the rate limit, from 1 to concurrency. */
uint32_t gate_rate_concurrency(const gate_t *gate, uint32_t concurrency);
/* Runs the queue when the rate limit allows the next call, if any is waiting. */
void gate_rate_timer_start(gate_t *gate);
void gate_rate_open(gate_t *gate);
void gate_rate_close(gate_t *gate);

/* gate_ticket.c */
/* Answers a request for a ticket. True if the call was one; it is freed then. */
bool gate_ticket_issue(gate_call_t *call);
/*
 * Looks up the call's ticket. True if the ticket prevents the call from running; it
 * is answered and freed then.
 */
bool gate_ticket_answer(gate_call_t *call);
/* Keeps the start of the answer body for the ticket table. */
void gate_ticket_record_body(gate_call_t *call, const void *data, size_t size);
/* The exchange ended with a complete answer. */
void gate_ticket_finish(gate_call_t *call);
/* The exchange ended without a complete answer. */
void gate_ticket_fail(gate_call_t *call, run_state_t run);

/* gate_death.c */
void gate_crash_init(gate_t *gate);
void gate_crash_close(gate_t *gate);
/* The call is being sent to the backend server. */
void gate_crash_start(gate_call_t *call);
/* The call ended; answered: with a complete answer of the backend server. */
void gate_crash_end(gate_call_t *call, bool answered);
/* The exchange broke after the request was sent: probes for a crash. */
void gate_crash_check(gate_call_t *call);
/* The backend server crashed: reports the requests it was running, drops it. */
void gate_backend_crashed(gate_t *gate, const char *cause);
void gate_crash_receive(gate_t *gate, const message_t *message);

/* gate_fields.c */
/* Builds the header lines of the request; false: no memory. */
bool gate_lines_build(gate_call_t *call);

/* gate_answer.c */
/* Prepares the reading of the call's answer; call->head is set. */
void gate_answer_init(gate_call_t *call);
/* Parses one header line of the answer with its line end. False: abort the exchange. */
bool gate_answer_line(gate_call_t *call, const char *data, size_t length);
/* Parses bytes of the body and posts what they hold. False: abort the exchange. */
bool gate_answer_body(gate_call_t *call, const char *data, size_t length);
/* The exchange ended without an error. True if the answer is complete. */
bool gate_answer_finish(gate_call_t *call);

/* gate_exchange.c */
int gate_exchange_open(gate_t *gate);
void gate_exchange_close(gate_t *gate);
/* Errors: MASTICPITCH_E_NOMEM; nothing was started then. */
int gate_exchange_start(gate_call_t *call);
/* Aborts the exchange if it is still running. */
void gate_exchange_stop(gate_call_t *call);
/* Ends the exchange and its connection, and with it the call. */
void gate_exchange_break(gate_call_t *call);
/* More body or answer credit has arrived. Each may end the call. */
void gate_exchange_resume_body(gate_call_t *call);
void gate_exchange_resume_answer(gate_call_t *call);

#endif
