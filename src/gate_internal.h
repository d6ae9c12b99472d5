/*
 * What the files of the gate service share; see gate.h.
 *
 * gate.c: the service, its streams and messages. gate_announce.c: the backend
 * server's announcements. gate_admit.c: admission and queue. gate_exchange.c:
 * the exchange of one call with the backend server.
 */
#ifndef MASTICPITCH_GATE_INTERNAL_H
#define MASTICPITCH_GATE_INTERNAL_H

#include "chunk_queue.h"
#include "curl_loop.h"
#include "gate.h"
#include "http_server.h"
#include "stream_table.h"

#define GATE_BOOT_BYTES 65
/* A backend server announces itself this often. */
#define GATE_RENEW_MS 1000
/* Without an announcement for this long it is dropped. */
#define GATE_SILENT_MS 3000
/* Handles of libcurl kept for reuse; creating one costs more than a short call. */
#define GATE_HANDLES_MAX 64
/* Request body bytes taken before credit goes back: a quarter of the window. */
#define GATE_CREDIT_BYTES (STREAM_WINDOW / 4)
/* Calls of one gate, waiting and running; beyond it calls are refused. */
#define GATE_CALLS_MAX 8192

/* The backend server as last announced. */
typedef struct gate_backend {
	bool live;
	instance_state_t state;
	char service[NAME_BYTES];
	char instance[NAME_BYTES];
	char boot[GATE_BOOT_BYTES];
	address_t address;
	uint32_t slots;
	uint32_t connections;
	double load; /* as announced, 0 to 1 */
	uint64_t announced;
} gate_backend_t;

struct gate {
	service_t service;
	kernel_t *kernel;
	const settings_t *settings;
	http_server_t *announcements;
	curl_loop_t *curl;
	CURL *handles[GATE_HANDLES_MAX];
	size_t handle_count;
	stream_table_t streams;
	list_t calls; /* every call, by arrival */
	list_t queue; /* the waiting ones */
	uint32_t running;
	uint32_t queued;
	gate_backend_t backend;
	uint32_t sequence;
	bool leaving;
	ev_timer silence;
};

typedef enum gate_call_state {
	GATE_CALL_NEW,
	GATE_CALL_QUEUED,
	GATE_CALL_RUNNING
} gate_call_state_t;

typedef struct gate_call {
	stream_entry_t stream;
	list_t link;
	list_t queue_link;
	gate_t *gate;
	call_head_t *head;
	gate_call_state_t state;
	ev_timer deadline;
	uint64_t queued_at;
	uint64_t started;

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
	bool shed; /* the backend server refused it unrun */
	bool shed_final;
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
/* Runs, queues or refuses a call that has just arrived. */
void gate_call_admit(gate_call_t *call);
/* Starts queued calls while there are places. */
void gate_queue_run(gate_t *gate);
/* Refuses every queued call as not run. */
void gate_queue_refuse(gate_t *gate, reason_t reason);
/* A call leaves the queue or its running place. */
void gate_call_leave(gate_call_t *call);
uint32_t gate_limit(const gate_t *gate);

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
