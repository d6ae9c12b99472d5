/*
 * Structures shared by the peer service's own files: peer.c (service),
 * peer_remote.c (state for each other node), peer_connection.c (one TCP
 * connection), peer_stream.c (calls and answers), peer_send.c (scheduling).
 */
#ifndef MASTICPITCH_PEER_INTERNAL_H
#define MASTICPITCH_PEER_INTERNAL_H

#include "auth.h"
#include "fault.h"
#include "frame.h"
#include "hash_table.h"
#include "link.h"
#include "peer.h"

/* Connect and handshake together; a connect in the mesh takes some 3 ms. */
#define PEER_CONNECT_TIMEOUT_MS 1000
/*
 * A connection with streams or unsent output that receives nothing is pinged after
 * the first, closed after the second.
 */
#define PEER_PING_AFTER_MS 500
/*
 * A connection whose ping is not answered within this time gets no new streams; they
 * go to a new connection. It may be silent for good while the node answers elsewhere,
 * or only late, so its own streams stay.
 */
#define PEER_PING_LATE_MS 500
#define PEER_SILENCE_MAX_MS 4000
/* A node in state down is pinged this long after its last frame. */
#define PEER_DOWN_PING_MS 300
/* Interval at which membership is notified that a node's connections deliver. */
#define PEER_CONTACT_INTERVAL_MS 200
/*
 * The initiator closes an idle connection. Neither side starts new work on it
 * in the last seconds before, so that no call crosses the close.
 */
#define PEER_IDLE_CLOSE_MS (5 * 60 * 1000)
#define PEER_IDLE_MARGIN_MS (10 * 1000)
/* The same for a connection that another one to the same node replaces. */
#define PEER_REPLACED_CLOSE_MS 5000
#define PEER_BACKOFF_MIN_MS 100
#define PEER_BACKOFF_MAX_MS 5000
#define PEER_TICK_MS 250
/* Connections whose handshake is not complete. */
#define PEER_UNAUTHENTICATED_MAX 1024
#define PEER_CONNECTIONS_MAX 8192
/* Connections with one node; more than two exist only briefly. */
#define PEER_CONNECTIONS_PER_NODE_MAX 4
/* Encoded bytes that wait for the socket; few, so that priorities take effect. */
#define PEER_OUT_TARGET_BYTES (32 * 1024)
/* Largest capacity, in bytes, that an empty output keeps; most calls are shorter. */
#define PEER_OUT_KEPT_BYTES 2048
/* Unsent bytes that the kernel accepts; low for the same reason. */
#define PEER_NOTSENT_BYTES (64 * 1024)
#define PEER_READ_BYTES (64 * 1024)
/* Control messages waiting on one node, and their bytes. */
#define PEER_CONTROL_WAITING_MAX 256
#define PEER_CONTROL_WAITING_BYTES (8 * 1024 * 1024)

typedef enum peer_connection_state {
	PEER_CONNECTING,
	PEER_HELLO, /* waits for the other side's Hello */
	PEER_PROOF, /* waits for the other side's Proof */
	PEER_READY
} peer_connection_state_t;

typedef struct peer_remote {
	hash_node_t by_node; /* key: node id */
	uint64_t node;
	address_t address; /* port 0: not known */
	bool down;
	list_t connections; /* peer_connection_t.remote_link, any state */
	list_t waiting;	    /* peer_stream_t.owner_link: no connection yet */
	list_t control;	    /* message_t.link: no connection yet */
	size_t control_count;
	size_t control_bytes;
	size_t stream_count;	    /* outgoing, waiting ones too */
	uint64_t contact_posted_at; /* last MESSAGE_CONTACT to membership, ns */
	uint32_t failures;
	uint64_t retry_at; /* ns; no connect before */
} peer_remote_t;

typedef struct peer_connection {
	list_t link;	    /* in peer->connections */
	list_t remote_link; /* in peer_remote_t.connections */
	list_t dirty_link;  /* in peer->dirty: has something to send */
	struct peer *peer;
	peer_remote_t *remote; /* NULL until an accepted one is authenticated */
	uint64_t id;	       /* unique in this process */
	int fd;
	uint32_t remote_ip;
	auth_role_t role;
	peer_connection_state_t state;
	bool failed; /* closed in the next iteration of the loop */
	bool paused; /* by the fault hook */
	ev_io reader;
	ev_io writer;
	buffer_t in;
	buffer_t out;
	uint64_t out_total;   /* bytes encoded since it was opened */
	uint64_t sent_total;  /* bytes written since it was opened */
	uint64_t opened_at;   /* ns */
	uint64_t received_at; /* last frame, ns */
	uint64_t used_at;     /* last frame but Ping in either direction, ns */
	uint64_t pinged_at;   /* last Ping by a tick, ns; its token */
	bool ping_due;
	bool pong_due;
	uint64_t pong_token;
	chunk_t *hello; /* own, as sent */
	uint8_t transcript[AUTH_PROOF_BYTES];
	uint64_t remote_node;
	uint64_t remote_boot;
	auth_channel_t send_channel;
	auth_channel_t receive_channel;
	list_t control; /* message_t: first priority */
	size_t control_offset;
	size_t control_count;
	size_t control_bytes;
	list_t small;	/* message_t: second priority */
	list_t bodies;	/* peer_stream_t.body_link: short ones, round-robin */
	list_t streams; /* peer_stream_t.owner_link */
	size_t incoming_count;
	uint64_t next_wire;
	uint64_t last_incoming_wire;
	buffer_t assembly; /* pieces of a control payload */
	uint32_t assembly_kind;
} peer_connection_t;

/* A call to another node (outgoing) or from one (incoming). */
typedef struct peer_stream {
	hash_node_t by_local; /* outgoing: node, stream; incoming: 0, stream */
	hash_node_t by_wire;  /* connection id, wire id with the direction */
	list_t owner_link;
	list_t body_link; /* in connection->bodies, a long body in peer->bulk */
	list_t queue;	  /* message_t: data, and the head while it waits */
	peer_remote_t *remote;
	peer_connection_t *connection; /* NULL: waits for one */
	bool outgoing;
	bool open_encoded;
	bool data_seen;		  /* a piece of body was queued */
	bool body_ended;	  /* the answer's end is queued */
	bool bulk;		  /* its body is long */
	size_t body_queued_bytes; /* body queued so far */
	uint64_t urgency;      /* of a long body: the call's target, else its deadline */
	size_t expected_bytes; /* of a long answer, not received yet */
	uint64_t local;
	uint64_t wire;
	uint64_t open_offset;	      /* out_total where the head begins */
	int64_t receive_window_bytes; /* that the other side may still send */
} peer_stream_t;

struct peer {
	kernel_t *kernel;
	const settings_t *settings;
	service_t service;
	uint64_t node;
	auth_keys_t keys;
	int listen_fd;
	ev_io listener;
	ev_timer ticker;
	ev_timer reaper;    /* fires immediately: closes failed connections */
	ev_prepare flusher; /* after the kernel's delivery */
	bool in_flush;
	hash_table_t remotes;
	list_t connections;
	list_t dirty;
	list_t bulk; /* streams with a long body to send, most urgent first */
	link_shaper_t link;
	uint64_t
	    bulk_ready_at; /* when the link admits the next piece; 0: it did not refuse */
	ev_timer pacer;	   /* fires at bulk_ready_at */
	size_t connection_count;
	size_t unauthenticated_count;
	uint64_t next_connection;
	hash_table_t outgoing; /* streams by (node, stream) */
	hash_table_t incoming; /* streams by (0, stream) */
	hash_table_t wires;
	uint64_t next_incoming;
	frame_scratch_t scratch;
	fault_t *fault;
};

/* peer.c */
void peer_post(peer_t *peer, const char *to, message_t *message);
/* A copy that owns the content; the message is left empty. NULL: no memory. */
message_t *peer_message_take(message_t *message);
void peer_message_queue_clear(list_t *queue);
/* Returns an undeliverable control message to the service that owns its kind. */
void peer_control_fail(peer_t *peer, uint64_t node, message_t *message);
const char *peer_control_service(control_kind_t kind);

/* peer_remote.c */
peer_remote_t *peer_remote_find(peer_t *peer, uint64_t node);
/* Creates it if needed; NULL: no memory. */
peer_remote_t *peer_remote_get(peer_t *peer, uint64_t node);
void peer_remote_member(peer_t *peer, const member_t *member);
void peer_remote_removed(peer_t *peer, uint64_t node);
/* The connection for new work; NULL: none is ready. */
peer_connection_t *peer_remote_connection(peer_t *peer, peer_remote_t *remote);
/* Starts a connect unless one runs. Errors: MASTICPITCH_E_UNREACHABLE. */
int peer_remote_connect(peer_t *peer, peer_remote_t *remote);
/* Moves waiting streams and control messages to a ready connection. */
void peer_remote_ready(peer_t *peer, peer_remote_t *remote);
/* A connection has ended; unauthenticated: it never became ready. */
void peer_remote_lost(peer_t *peer, peer_remote_t *remote, bool unauthenticated);
void peer_remote_control(peer_t *peer, message_t *message);
void peer_remotes_destroy(peer_t *peer);
/* Frees it if it has no address, connections or waiting work. */
void peer_remote_release(peer_t *peer, peer_remote_t *remote);

/* peer_connection.c */
peer_connection_t *peer_connection_create(
    peer_t *peer, int fd, auth_role_t role, uint32_t remote_ip, peer_remote_t *remote);
/* Notifies the owners of its streams and frees it. */
void peer_connection_close(peer_connection_t *connection);
void peer_connection_tick(peer_connection_t *connection, uint64_t now);
/* Marks it for the next flush. */
void peer_connection_dirty(peer_connection_t *connection);
void peer_connection_fail(peer_connection_t *connection);
/* True if neither side may start new work on it any more. */
bool peer_connection_is_stale(const peer_connection_t *connection, uint64_t now);
/* True if a ping is not answered in time. */
bool peer_connection_is_silent(const peer_connection_t *connection, uint64_t now);
/* True if the other host has not acknowledged all bytes. */
bool peer_connection_has_unacknowledged(const peer_connection_t *connection);
/* Errors: MASTICPITCH_E_IO. */
int peer_connection_flush(peer_connection_t *connection);

/* peer_handshake.c */
int peer_handshake_start(peer_connection_t *connection);
/* Errors: MASTICPITCH_E_DENIED, MASTICPITCH_E_INVALID, MASTICPITCH_E_NOMEM. */
int peer_handshake_receive(peer_connection_t *connection, const Masticpitch__Frame *frame,
    const uint8_t *body, size_t size);

/* peer_send.c */
/* Encodes waiting frames by priority while the output is short. */
int peer_send_fill(peer_connection_t *connection);
bool peer_send_is_empty(const peer_connection_t *connection);
/*
 * Encodes pieces of long bodies while the link admits them and sets bulk_ready_at;
 * false: none.
 */
bool peer_bulk_run(peer_t *peer);
/* Signs and appends one frame. */
int peer_send_frame(peer_connection_t *connection, const Masticpitch__Frame *frame);
void peer_send_control(peer_connection_t *connection, message_t *message);

/* peer_stream.c */
/* A message from a service of this node; takes ownership of its content. */
void peer_stream_send(peer_t *peer, message_t *message);
/* A frame from the other node. Errors: as frame_to_message(). */
int peer_stream_receive(peer_connection_t *connection, const Masticpitch__Frame *frame);
/* Assigns a waiting stream to a connection. */
void peer_stream_attach(peer_stream_t *stream, peer_connection_t *connection);
peer_stream_t *peer_stream_find_wire(
    peer_connection_t *connection, bool outgoing, uint64_t wire);
void peer_stream_destroy(peer_t *peer, peer_stream_t *stream);
/* Bytes of body in a message. */
size_t peer_message_body(const message_t *message);
/* Notifies the owner of how the stream ended and destroys it. */
void peer_stream_end(peer_t *peer, peer_stream_t *stream, message_type_t type,
    reason_t reason, run_state_t run);
/* The connection broke. */
void peer_stream_lost(peer_t *peer, peer_stream_t *stream);

#endif
