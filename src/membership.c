#include "membership.h"

#include "auth.h"
#include "fault.h"
#include "member.h"
#include "membership_status.h"

#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

/* Most datagrams read before the event loop serves other sockets. */
#define DATAGRAMS_PER_TURN 64
/* Least time between answers to earlier boots of nodes: replays cause little traffic. */
#define BOOT_ANSWER_INTERVAL_MS 100
/* Holds the bursts of a mass restart; the system may grant less. */
#define RECEIVE_BUFFER_BYTES (1024 * 1024)

/* Asks for quotas, or grants, that wait for the end of the turn of the event loop. */
typedef struct quota_batch {
	uint64_t node;
	bool grants;
	member_quota_t items[MEMBER_QUOTA_ITEMS_MAX];
	size_t count;
} quota_batch_t;

struct membership {
	kernel_t *kernel;
	const settings_t *settings;
	service_t service;
	uint64_t node;
	auth_keys_t keys;
	auth_windows_t *windows;
	member_table_t *table;
	int fd;
	ev_io reader;
	ev_timer ticker;
	uint64_t boot_answer_sent_at; /* monotonic ns */
	bool self_posted;	      /* the own record was posted to the services */
	fault_t *fault;
	quota_batch_t quota;
	ev_timer quota_flusher;
};

static void
membership_post(membership_t *membership, const char *to, message_t *message)
{
	kernel_message_post(membership->kernel, &membership->service,
	    kernel_service_find(membership->kernel, to), message);
}

static void
datagram_send(membership_t *membership, const member_action_t *action)
{
	metrics_t *metrics = kernel_metrics(membership->kernel);
	uint8_t wire[MEMBER_WIRE_MAX];
	size_t size = action->payload->size + AUTH_DATAGRAM_HEAD_BYTES;
	struct sockaddr_in to;

	INVARIANT(size <= sizeof(wire));
	metrics_add(metrics, METRIC_DATAGRAMS_SENT, 1);
	metrics_add(metrics, METRIC_CONTROL_BYTES_SENT, size);
	if (fault_drops_datagram(membership->fault, action->address.ip))
		return;
	auth_datagram_sign(&membership->keys, action->node, action->payload->data,
	    action->payload->size, wire);
	address_to_sockaddr(&action->address, &to);
	/* A failure has the same effect as a lost datagram; probes are retried. */
	(void)sendto(
	    membership->fd, wire, size, 0, (const struct sockaddr *)&to, sizeof(to));
}

static void
sync_send(membership_t *membership, member_action_t *action)
{
	message_t *message = message_create(MESSAGE_CONTROL, action->node, 0);

	if (message == NULL)
		return;
	message->u.control.kind = CONTROL_MEMBERSHIP;
	message->u.control.payload = action->payload;
	action->payload = NULL;
	membership_post(membership, "peer", message);
}

static void
member_post(membership_t *membership, const member_t *member)
{
	static const char *const receivers[] = {
	    "peer", "entry", "config", "operators", "quota", "rollout"};

	for (size_t i = 0; i < ARRAY_LENGTH(receivers); i++) {
		message_t *message = message_create(MESSAGE_MEMBER, member->node, 0);

		if (message != NULL)
			message->u.member = *member;
		membership_post(membership, receivers[i], message);
	}
}

static void
removed_post(membership_t *membership, uint64_t node)
{
	static const char *const receivers[] = {
	    "peer", "entry", "config", "operators", "quota", "rollout"};

	for (size_t i = 0; i < ARRAY_LENGTH(receivers); i++)
		membership_post(membership, receivers[i],
		    message_create(MESSAGE_MEMBER_REMOVED, node, 0));
}

static void
version_post(membership_t *membership, const member_action_t *action)
{
	message_t *message = message_create(MESSAGE_VERSION_RECEIVED, action->node, 0);

	if (message != NULL) {
		message->u.version.version = action->u.version.version;
		message->u.version.floor = action->u.version.floor;
	}
	membership_post(membership, "config", message);
}

static void
crash_post(membership_t *membership, const member_crash_report_t *report)
{
	static const char *const receivers[] = {"gate", "entry"};

	for (size_t i = 0; i < ARRAY_LENGTH(receivers); i++) {
		message_t *message = message_create(MESSAGE_CRASH_REPORT, 0, 0);

		if (message != NULL) {
			message->u.crash_report.fingerprint = report->fingerprint;
			message->u.crash_report.death = report->death;
			message->u.crash_report.cleared = report->cleared;
		}
		membership_post(membership, receivers[i], message);
	}
}

/* Logs each change of a member record. */
static void
member_log_change(membership_t *membership, const member_t *member)
{
	static const char *const states[] = {"alive", "suspect", "leaving", "down"};
	static const char *const instances[] = {"none", "starting", "ready", "leaving"};
	char address[ADDRESS_TEXT_BYTES];

	address_format(&member->address, address);
	log_info(kernel_log(membership->kernel), "member changed",
	    LOG_TEXT("member", address), LOG_TEXT("zone", member->zone),
	    LOG_TEXT("state", states[member->state]),
	    LOG_TEXT("service", member->instance.service),
	    LOG_TEXT("instance", instances[member->instance.state]),
	    LOG_NUMBER("incarnation", member->incarnation),
	    LOG_NUMBER("sequence", member->instance.sequence),
	    LOG_NUMBER("started_ms", member->instance.started_ms),
	    LOG_NUMBER("departed_ms", member->departed_ms),
	    LOG_NUMBER("version", member->config_version),
	    LOG_TEXT("reachable", member->reachable ? "yes" : "no"));
}

/* Tells the gate what other nodes remember of the backend server of this host. */
static void
departure_post(membership_t *membership, const member_t *self)
{
	message_t *message;

	if (self->departed_ms == 0)
		return;
	message = message_create(MESSAGE_DEPARTURE, 0, 0);
	if (message != NULL)
		message->u.departed_ms = self->departed_ms;
	membership_post(membership, "gate", message);
}

static void
quota_post(membership_t *membership, const member_action_t *action, message_type_t type)
{
	message_t *message = message_create(type, action->node, 0);

	if (message != NULL) {
		message->u.quota.workspace = action->u.quota.workspace;
		message->u.quota.tokens = action->u.quota.tokens;
		message->u.quota.retry_ms = action->u.quota.retry_ms;
		message->u.quota.hold = action->u.quota.hold;
	}
	membership_post(membership, "quota", message);
}

static void
action_perform(membership_t *membership, member_action_t *action)
{
	switch (action->type) {
	case MEMBER_ACTION_SEND:
		if (action->payload != NULL)
			datagram_send(membership, action);
		break;
	case MEMBER_ACTION_SYNC:
		if (action->payload != NULL)
			sync_send(membership, action);
		break;
	case MEMBER_ACTION_CHANGED:
		member_log_change(membership, &action->u.member);
		member_post(membership, &action->u.member);
		if (action->node == membership->node)
			departure_post(membership, &action->u.member);
		break;
	case MEMBER_ACTION_REMOVED:
		removed_post(membership, action->node);
		break;
	case MEMBER_ACTION_VERSION_RECEIVED:
		version_post(membership, action);
		break;
	case MEMBER_ACTION_CRASH_REPORT:
		crash_post(membership, &action->u.crash_report);
		break;
	case MEMBER_ACTION_JOIN_NEEDED:
		membership_post(
		    membership, "config", message_create(MESSAGE_JOIN_NEEDED, 0, 0));
		break;
	case MEMBER_ACTION_QUOTA_ASK:
		quota_post(membership, action, MESSAGE_QUOTA_ASK);
		break;
	case MEMBER_ACTION_QUOTA_GRANT:
		quota_post(membership, action, MESSAGE_QUOTA_GRANT);
		break;
	}
}

static void
actions_perform(membership_t *membership, list_t *actions)
{
	member_action_t *action;

	while ((action = member_action_take(actions)) != NULL) {
		action_perform(membership, action);
		member_action_destroy(action);
	}
}

static void
statistics_publish(membership_t *membership)
{
	metrics_t *metrics = kernel_metrics(membership->kernel);
	member_statistics_t statistics;

	member_table_statistics(membership->table, &statistics);
	metrics_set(metrics, METRIC_MEMBERS_ALIVE, statistics.alive);
	metrics_set(metrics, METRIC_MEMBERS_DOWN, statistics.down);
	metrics_set(metrics, METRIC_ZONES_UNREACHABLE, statistics.zones_unreachable);
	metrics_set(metrics, METRIC_MEMBER_SUSPICIONS, statistics.suspicions);
	metrics_set(metrics, METRIC_MEMBER_SYNCS, statistics.syncs);
}

/* Answers a datagram of a boot that is not the newest one known, or a replay. */
static void
stale_boot_answer(membership_t *membership, const address_t *from,
    uint64_t known_incarnation, list_t *actions)
{
	uint64_t now = kernel_now(membership->kernel);

	if (now < membership->boot_answer_sent_at + BOOT_ANSWER_INTERVAL_MS * NS_PER_MS)
		return;
	membership->boot_answer_sent_at = now;
	member_request_refutation(
	    membership->table, from, known_incarnation, now, actions);
}

/* Errors: those of authentication, and MASTICPITCH_E_INVALID. */
static int
datagram_accept(membership_t *membership, const address_t *from, const uint8_t *data,
    size_t size, list_t *actions)
{
	uint64_t now = kernel_now(membership->kernel);
	Masticpitch__Datagram *datagram;
	const uint8_t *content;
	size_t content_size;
	uint64_t known_incarnation = 0;
	int error = auth_datagram_verify(
	    &membership->keys, membership->node, data, size, &content, &content_size);

	if (error != MASTICPITCH_OK)
		return error;
	datagram = member_decode(from, content, content_size);
	if (datagram == NULL)
		return MASTICPITCH_E_INVALID;
	error = auth_windows_accept(membership->windows, datagram->node, datagram->boot,
	    datagram->incarnation, datagram->sequence, now, &known_incarnation);
	if (error == MASTICPITCH_OK)
		member_handle(membership->table, from, datagram, now, actions);
	else if (error == MASTICPITCH_E_STALE)
		stale_boot_answer(membership, from, known_incarnation, actions);
	member_datagram_free(datagram);
	return error;
}

static void
read_callback(struct ev_loop *loop, ev_io *watcher, int events)
{
	membership_t *membership = watcher->data;
	metrics_t *metrics = kernel_metrics(membership->kernel);
	list_t actions;

	list_init(&actions);
	for (int i = 0; i < DATAGRAMS_PER_TURN; i++) {
		uint8_t data[MEMBER_WIRE_MAX + 1];
		struct sockaddr_in sockaddr = {0};
		socklen_t sockaddr_size = sizeof(sockaddr);
		address_t from;
		ssize_t size = recvfrom(membership->fd, data, sizeof(data), 0,
		    (struct sockaddr *)&sockaddr, &sockaddr_size);

		/* ICMP port unreachable after an earlier send; continue reading. */
		if (size < 0 && errno == ECONNREFUSED)
			continue;
		if (size < 0)
			break;
		address_from_sockaddr(&sockaddr, &from);
		if (fault_drops_datagram(membership->fault, from.ip))
			continue;
		if (datagram_accept(membership, &from, data, (size_t)size, &actions) !=
		    MASTICPITCH_OK) {
			metrics_add(metrics, METRIC_DATAGRAMS_REFUSED, 1);
			continue;
		}
		metrics_add(metrics, METRIC_DATAGRAMS_RECEIVED, 1);
		metrics_add(metrics, METRIC_CONTROL_BYTES_RECEIVED, (uint64_t)size);
	}
	actions_perform(membership, &actions);
}

static void
tick_callback(struct ev_loop *loop, ev_timer *watcher, int events)
{
	membership_t *membership = watcher->data;
	list_t actions;

	/* All services are registered now: post the record of this node itself. */
	if (!membership->self_posted) {
		member_t self = *member_self(membership->table);

		membership->self_posted = true;
		self.reachable = true;
		member_post(membership, &self);
	}
	list_init(&actions);
	member_tick(membership->table, kernel_now(membership->kernel), &actions);
	actions_perform(membership, &actions);
	statistics_publish(membership);
}

static void
quota_flush(membership_t *membership, list_t *actions)
{
	quota_batch_t *batch = &membership->quota;

	member_send_quota(membership->table, batch->node, batch->grants, batch->items,
	    batch->count, kernel_now(membership->kernel), actions);
	batch->count = 0;
}

static void
quota_callback(struct ev_loop *loop, ev_timer *watcher, int events)
{
	membership_t *membership = watcher->data;
	list_t actions;

	list_init(&actions);
	quota_flush(membership, &actions);
	actions_perform(membership, &actions);
}

static void
query_answer(membership_t *membership, const message_t *query)
{
	message_t *report = message_create(MESSAGE_REPORT, query->node, query->stream);

	if (report != NULL)
		report->u.report = membership_status_format(membership->table);
	kernel_message_post(
	    membership->kernel, &membership->service, query->from, report);
}

/*
 * Takes an item into the next datagram. It is sent at the end of the turn, or before an
 * item that does not fit: several asks and grants to one node share a datagram.
 */
static void
quota_queue(membership_t *membership, const message_t *message, list_t *actions)
{
	quota_batch_t *batch = &membership->quota;
	bool grants = message->type == MESSAGE_QUOTA_GRANT;

	if (batch->count > 0 &&
	    (batch->node != message->node || batch->grants != grants ||
		batch->count == MEMBER_QUOTA_ITEMS_MAX))
		quota_flush(membership, actions);
	batch->node = message->node;
	batch->grants = grants;
	batch->items[batch->count++] =
	    (member_quota_t){.workspace = message->u.quota.workspace,
		.tokens = message->u.quota.tokens,
		.retry_ms = message->u.quota.retry_ms,
		.hold = message->u.quota.hold};
	ev_timer_start(kernel_loop(membership->kernel), &membership->quota_flusher);
}

static void
membership_receive(void *state, message_t *message)
{
	membership_t *membership = state;
	member_table_t *table = membership->table;
	uint64_t now = kernel_now(membership->kernel);
	const chunk_t *payload;
	member_crash_report_t report;
	list_t actions;

	list_init(&actions);
	switch (message->type) {
	case MESSAGE_INSTANCE:
		member_set_instance(table, &message->u.instance, now, &actions);
		break;
	case MESSAGE_VERSION:
		member_set_version(table, message->u.version.version, now, &actions);
		break;
	case MESSAGE_CRASH_REPORT:
		report.fingerprint = message->u.crash_report.fingerprint;
		report.death = message->u.crash_report.death;
		report.cleared = message->u.crash_report.cleared;
		member_report_crash(table, &report, now, &actions);
		break;
	case MESSAGE_LEAVE:
		member_leave(table, now, &actions);
		break;
	case MESSAGE_JOIN_ADDRESS:
		member_add_join_address(table, &message->u.address, false, now);
		break;
	case MESSAGE_CONTACT:
		member_receive_on_connection(membership->table, message->node,
		    kernel_now(membership->kernel), &actions);
		break;
	case MESSAGE_CONTROL:
		payload = message->u.control.payload;
		if (payload != NULL)
			member_sync_receive(table, message->node, payload->data,
			    payload->size, now, &actions);
		break;
	case MESSAGE_QUERY:
		query_answer(membership, message);
		break;
	case MESSAGE_QUOTA_ASK:
	case MESSAGE_QUOTA_GRANT:
		quota_queue(membership, message, &actions);
		break;
	default:
		break;
	}
	actions_perform(membership, &actions);
}

/* A graceful shutdown waits until the leaving state has been gossiped. */
static bool
membership_is_idle(const void *state)
{
	const membership_t *membership = state;

	return !member_has_pending_gossip(membership->table);
}

static int
table_open(membership_t *membership)
{
	kernel_t *kernel = membership->kernel;
	const settings_t *settings = membership->settings;
	const member_options_t options = {.address = settings->peers,
	    .zone = settings->zone,
	    .region = settings->region,
	    .link_mbps = (uint32_t)settings->link_mbps,
	    .boot = kernel_boot_id(kernel),
	    .incarnation = os_clock_wall_ms(),
	    .seed = rng_next(kernel_rng(kernel)) ^ kernel_boot_id(kernel),
	    .seeds = settings->seeds,
	    .seed_count = settings->seed_count};

	return member_table_create(&options, kernel_now(kernel), &membership->table);
}

int
membership_create(kernel_t *kernel, const settings_t *settings, membership_t **result)
{
	membership_t *membership = calloc(1, sizeof(*membership));
	struct ev_loop *loop = kernel_loop(kernel);
	int receive_bytes = RECEIVE_BUFFER_BYTES;
	int error = MASTICPITCH_E_NOMEM;

	if (membership == NULL)
		return error;
	membership->kernel = kernel;
	membership->settings = settings;
	membership->node = address_to_node_id(&settings->peers);
	membership->fd = -1;
	auth_keys_init(&membership->keys, settings);
	membership->windows = auth_windows_create();
	if (membership->windows == NULL)
		goto fail;
	error = table_open(membership);
	if (error != MASTICPITCH_OK)
		goto fail;
	error = os_socket_datagram(&settings->peers, &membership->fd);
	if (error != MASTICPITCH_OK)
		goto fail;
	setsockopt(
	    membership->fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof(receive_bytes));
	membership->service.name = "membership";
	membership->service.state = membership;
	membership->service.receive = membership_receive;
	membership->service.is_idle = membership_is_idle;
	error = kernel_service_register(kernel, &membership->service);
	if (error != MASTICPITCH_OK)
		goto fail;
	membership->fault = fault_acquire(kernel, settings);
	ev_io_init(&membership->reader, read_callback, membership->fd, EV_READ);
	membership->reader.data = membership;
	ev_io_start(loop, &membership->reader);
	ev_timer_init(&membership->quota_flusher, quota_callback, 0., 0.);
	membership->quota_flusher.data = membership;
	ev_timer_init(&membership->ticker, tick_callback, 0., MEMBER_TICK_MS / 1e3);
	membership->ticker.data = membership;
	ev_timer_start(loop, &membership->ticker);
	*result = membership;
	return MASTICPITCH_OK;
fail:
	if (membership->fd >= 0)
		close(membership->fd);
	member_table_destroy(membership->table);
	auth_windows_destroy(membership->windows);
	free(membership);
	return error;
}

void
membership_destroy(membership_t *membership)
{
	struct ev_loop *loop;

	if (membership == NULL)
		return;
	loop = kernel_loop(membership->kernel);
	ev_io_stop(loop, &membership->reader);
	ev_timer_stop(loop, &membership->ticker);
	ev_timer_stop(loop, &membership->quota_flusher);
	close(membership->fd);
	kernel_service_unregister(membership->kernel, &membership->service);
	fault_release(membership->fault);
	member_table_destroy(membership->table);
	auth_windows_destroy(membership->windows);
	free(membership);
}
