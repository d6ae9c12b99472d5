/*
 * Messages between the services of a node. A message belongs to the kernel
 * from kernel_message_post() on; the receiver may take a content pointer by
 * setting it to NULL in the message.
 *
 * A request is a stream. CALL_* messages go from the entry towards the gate,
 * ANSWER_*, REFUSAL and STREAM_LOST back. A stream is named by (from service,
 * node, stream): node 0 is this node; with another node the message passes
 * through the service "peer" on both ends, which keeps node and stream.
 * A receiver answers to message->from with the same node and stream.
 */
#ifndef MASTICPITCH_MESSAGE_H
#define MASTICPITCH_MESSAGE_H

#include "buffer.h"
#include "headers.h"
#include "list.h"
#include "member_types.h"
#include "preset.h"
#include "reason.h"
#include "rollout.h"
#include "run_set.h"

#ifdef __cplusplus
extern "C" {
#endif

struct service;
struct snapshot;

typedef enum message_type {
	MESSAGE_CALL_OPEN,
	MESSAGE_CALL_DATA,   /* a piece of the request body */
	MESSAGE_CALL_CREDIT, /* from the receiver of the request body */
	MESSAGE_CALL_CANCEL,
	MESSAGE_ANSWER_HEAD,
	MESSAGE_ANSWER_DATA,	/* a piece of the answer body */
	MESSAGE_ANSWER_CREDIT,	/* from the receiver of the answer body */
	MESSAGE_ANSWER_ABORT,	/* the answer is truncated after its head */
	MESSAGE_REFUSAL,	/* in place of ANSWER_HEAD; ends the stream */
	MESSAGE_STREAM_LOST,	/* from peer: the connection broke; ends the stream */
	MESSAGE_CONTROL,	/* configuration and membership between nodes */
	MESSAGE_CONTROL_FAILED, /* from peer: no connection; the bytes were dropped */
	MESSAGE_MEMBER,		/* from membership: a member was added or changed */
	MESSAGE_MEMBER_REMOVED, /* from membership: a member was removed */
	MESSAGE_INSTANCE,	/* from gate to membership: the local instance */
	MESSAGE_RUN,		/* from gate to entry: a request starts or ends running */
	MESSAGE_NESTED,	 /* from entry to gate: a call of a running request ended */
	MESSAGE_CONTACT, /* peer to membership: a node's connection delivers frames */
	MESSAGE_CRASH_REPORT,	  /* about a fingerprint, see quarantine.h */
	MESSAGE_VERSION,	  /* config to membership: version now in force */
	MESSAGE_VERSION_RECEIVED, /* membership to config: a member's version */
	MESSAGE_SNAPSHOT,	  /* from config: the configuration now in force */
	MESSAGE_VERIFIED,	  /* from config: the platform had no newer version */
	MESSAGE_QUERY,		  /* from operators: report your state */
	MESSAGE_REPORT,		  /* JSON text in answer to a query */
	MESSAGE_LEAVE,		  /* from node: shutdown has begun */
	MESSAGE_STOP_LISTENING,	  /* from node: no request is running any more */
	MESSAGE_STOP_WAITING,	  /* from node: the shutdown's grace period ends */
	MESSAGE_JOIN_NEEDED,	  /* membership to config: no seed answers */
	MESSAGE_JOIN_ADDRESS,  /* config to membership: one more node to join through */
	MESSAGE_DEPARTURE,     /* membership to gate: a local backend server has left */
	MESSAGE_QUOTA_ASK,     /* entry to quota, or another node's: tokens wanted */
	MESSAGE_QUOTA_GRANT,   /* quota to entry, or another node's: the answer */
	MESSAGE_QUOTA_MEMBERS, /* quota to entry: number of members that may run */
	MESSAGE_ROLLOUT_STEP,  /* rollout to entry */
	MESSAGE_ROLLOUT_REPORT /* entry to rollout, in answer to a step */
} message_type_t;

/* Most bytes of body in one CALL_DATA or ANSWER_DATA message. */
#define STREAM_DATA_MAX_BYTES (16 * 1024)
/* Bytes a sender may send before it receives credit. */
#define STREAM_WINDOW_BYTES (256 * 1024)
/* Levels of nested calls. */
#define CALL_DEPTH_MAX 19
#define REQUEST_ID_BYTES 49
#define TRACE_BYTES 56
#define TICKET_BYTES 257

/* The head of a request on its way to a gate. */
typedef struct call_head {
	char method[16];
	char *path;	     /* with query; owned */
	headers_t headers;   /* without hop-by-hop and own fields */
	int64_t body_length; /* bytes; -1: unknown (chunked) */
	bool has_body;	     /* CALL_DATA follow, the last one with end set */
	char service[NAME_BYTES];
	route_class_t route_class;
	bool idempotent;
	uint64_t deadline;     /* monotonic, ns */
	uint64_t target;       /* an answer by then has full value; 0: no target */
	uint32_t answer_bytes; /* of the answer's body, as expected; 0: not known */
	uint32_t depth;	       /* 0 for a call from outside the mesh */
	uint32_t attempt;      /* 1 for the first */
	char request_id[REQUEST_ID_BYTES];
	char trace[TRACE_BYTES];
	char ticket[TICKET_BYTES];	 /* empty: none */
	uint64_t fingerprint;		 /* 0: none */
	char caller_service[NAME_BYTES]; /* of the host it comes from; may be empty */
	/*
	 * For whom the call is made. A nested call has the workspace and the rank of the
	 * request that waits for it.
	 */
	char workspace[NAME_BYTES]; /* empty: none */
	uint32_t rank;		    /* see preset_rank() */
	uint32_t typical_us;	    /* duration of the route's answers; 0: not known */
	bool movable; /* the gate may refuse it because another one would be faster */
} call_head_t;

/* Load of a gate; part of every answer head and refusal. */
typedef struct load_report {
	uint32_t running;
	uint32_t queued;
	uint32_t limit; /* adaptive limit, calls */
	uint32_t slots;
	uint32_t latency_us; /* smoothed backend latency */
	/*
	 * Share of the urgent calls, of the call's rank and of more urgent ones, that are
	 * refused for load, percent.
	 */
	uint32_t pressure;
	uint32_t link_wait_us;	       /* until a long body queued now leaves the host */
	uint32_t link_ns_per_kilobyte; /* of the host's link; 0: not known */
	uint32_t speed_percent;	       /* learned duration of work; 100: as elsewhere */
	uint32_t host_percent; /* of work on its host now; 100: as usual; 0: not known */
	uint32_t useful;       /* concurrency up to which more calls give more answers */
	uint32_t exchange_us;  /* until the answer, without its wait at the gate */
} load_report_t;

typedef struct answer_head {
	int status;
	headers_t headers;
	int64_t body_length; /* bytes; -1: unknown */
	bool nested_failed;  /* a call made by the running request has failed */
	load_report_t load;
} answer_head_t;

typedef struct refusal {
	reason_t reason;
	run_state_t run;
	bool final; /* no upstream entry may retry */
	load_report_t load;
	uint32_t retry_after_ms; /* 0: not known */
} refusal_t;

/* The service that receives a MESSAGE_CONTROL on the other node. */
typedef enum control_kind {
	CONTROL_CONFIG = 1,
	CONTROL_MEMBERSHIP = 2,
	CONTROL_ROLLOUT = 3 /* only while an order of a rollout exists */
} control_kind_t;

/* Longest payload of one MESSAGE_CONTROL; a longer one returns as CONTROL_FAILED. */
#define CONTROL_PAYLOAD_MAX_BYTES (2 * 1024 * 1024)

/*
 * Tokens of a workspace's quota, asked for or granted. Passes through membership, with
 * node set, if the owner is another node.
 */
typedef struct quota_item {
	uint64_t workspace; /* hash of its name */
	uint32_t tokens;
	uint32_t retry_ms; /* GRANT without tokens: there may be one then */
	bool hold;	   /* GRANT without tokens: ask again */
} quota_item_t;

/* Queries from operators to a service. */
typedef enum query_kind {
	QUERY_STATUS,	 /* config, membership, entry, gate: a JSON object */
	QUERY_INSTANCES, /* entry: instances with their balancing state */
	QUERY_EXPLAIN,	 /* entry: route, service, class, limits, instances */
	QUERY_QUOTA	 /* quota: a workspace's quota and its owner */
} query_kind_t;

typedef struct query {
	query_kind_t kind;
	char method[16];		/* EXPLAIN */
	char path[PRESET_PREFIX_BYTES]; /* EXPLAIN; QUOTA: name of the workspace */
} query_t;

typedef struct message {
	list_t link;
	message_type_t type;
	struct service *to;
	struct service *from;
	uint64_t node;
	uint64_t stream;
	union {
		call_head_t *call; /* CALL_OPEN */
		struct {
			chunk_t *chunk; /* may be NULL with end */
			bool end;	/* the body is complete */
		} data;			/* CALL_DATA, ANSWER_DATA */
		uint32_t credit;	/* bytes; CALL_CREDIT, ANSWER_CREDIT */
		answer_head_t *answer;	/* ANSWER_HEAD */
		refusal_t refusal;	/* REFUSAL, ANSWER_ABORT, STREAM_LOST */
		struct {
			control_kind_t kind;
			chunk_t *payload;
		} control;	      /* CONTROL; to peer: node is the target */
		member_t member;      /* MEMBER; MEMBER_REMOVED: node only */
		instance_t instance;  /* INSTANCE */
		uint64_t departed_ms; /* DEPARTURE; see member_t */
		struct {
			run_item_t item; /* if it has ended, only the request */
			bool started;
		} run; /* RUN */
		struct {
			uint64_t parent;   /* hash of the running request's id */
			uint64_t called;   /* hash of the called service's name */
			uint64_t duration; /* of the call, ns */
			uint32_t pressure; /* at the called service, percent */
			bool refused;	   /* for load */
			bool failed;	   /* for any reason */
		} nested;		   /* NESTED */
		struct {
			uint64_t fingerprint;
			uint64_t death; /* id of the backend server's death */
			bool cleared;	/* a success clears the report */
		} crash_report;		/* CRASH_REPORT */
		struct {
			uint64_t version;
			uint64_t floor;	   /* of this node, as that member saw it */
		} version;		   /* VERSION, VERSION_RECEIVED */
		struct snapshot *snapshot; /* SNAPSHOT; one reference */
		uint64_t verified_at;	   /* VERIFIED; monotonic, ns */
		query_t query;		   /* QUERY; stream names it */
		chunk_t *report;	   /* REPORT: JSON object, same stream */
		address_t address;	   /* JOIN_ADDRESS */
		rollout_step_t *step;	   /* ROLLOUT_STEP; node: that decides */
		rollout_report_t *rollout; /* ROLLOUT_REPORT; node: as in the step */
		quota_item_t quota;	   /* QUOTA_ASK, QUOTA_GRANT */
		size_t members;		   /* QUOTA_MEMBERS */
	} u;
} message_t;

call_head_t *call_head_create(void);
/* Deep copy, for another attempt; NULL: no memory. */
call_head_t *call_head_copy(const call_head_t *head);
void call_head_destroy(call_head_t *head);
answer_head_t *answer_head_create(void);
void answer_head_destroy(answer_head_t *head);

/* NULL: no memory. */
message_t *message_create(message_type_t type, uint64_t node, uint64_t stream);
/* Frees the message and the content that it still owns; NULL is allowed. */
void message_destroy(message_t *message);

#ifdef __cplusplus
}
#endif

#endif
