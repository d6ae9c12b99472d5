#include "announcement.h"
#include "gate_internal.h"
#include "platform/hosted.h"

#include <stdio.h>
#include <string.h>

#define ANNOUNCEMENT_MAX_BYTES 4096
#define ANNOUNCEMENT_CONNECTIONS_MAX 32
/*
 * Largest difference that is assumed between the clocks of this node and its backend
 * server; both run on this host.
 */
#define CLOCK_DIFFERENCE_MAX_MS (24 * 60 * 60 * UINT64_C(1000))

static void
reply_error(http_exchange_t *exchange, int status, const char *text)
{
	char body[256];
	int length = snprintf(body, sizeof(body), "{\"error\":\"%s\"}", text);

	http_exchange_reply(exchange, status, NULL, body, (size_t)length);
}

static void
backend_log(gate_t *gate, log_level_t level, const char *message, const char *detail)
{
	LOG_EVENT(kernel_log(gate->kernel), level, message,
	    LOG_TEXT("service", gate->backend.service),
	    LOG_TEXT("instance", gate->backend.instance), LOG_TEXT("detail", detail));
}

/*
 * Without a configuration the entry of this host would refuse the nested calls of the
 * backend server, so its instance is still starting.
 */
static instance_state_t
instance_state(const gate_t *gate)
{
	if (gate->leaving)
		return INSTANCE_LEAVING;
	if (gate->backend.state == INSTANCE_READY && gate->snapshot == NULL)
		return INSTANCE_STARTING;
	return gate->backend.state;
}

void
gate_instance_post(gate_t *gate)
{
	/* Notify the entry of this node directly, without the delay of gossip. */
	static const char *const targets[] = {"membership", "entry"};
	instance_t instance = {
	    .sequence = ++gate->sequence, .departed_ms = gate->departed_ms};

	if (gate->backend.live) {
		instance.started_ms = gate->backend.started_ms;
		memcpy(instance.release, gate->backend.release, NAME_BYTES);
		instance.state = instance_state(gate);
		string_copy(instance.service, NAME_BYTES, gate->backend.service);
		instance.slots = gate->backend.slots;
		instance.connections = gate->backend.connections;
	}
	for (size_t i = 0; i < ARRAY_LENGTH(targets); i++) {
		message_t *message = message_create(MESSAGE_INSTANCE, 0, 0);

		if (message != NULL)
			message->u.instance = instance;
		kernel_message_post(gate->kernel, &gate->service,
		    kernel_service_find(gate->kernel, targets[i]), message);
	}
}

void
gate_backend_drop(gate_t *gate, const char *cause)
{
	if (!gate->backend.live)
		return;
	backend_log(gate, LOG_LEVEL_WARNING, "backend server dropped", cause);
	gate->backend.live = false;
	ev_timer_stop(kernel_loop(gate->kernel), &gate->announce_timeout);
	gate_queue_refuse(gate, REASON_INSTANCE_GONE);
	gate_instance_post(gate);
}

static void
announce_timeout_callback(struct ev_loop *loop, ev_timer *watcher, int events)
{
	gate_backend_drop(watcher->data, "silent");
}

/* True if a change must be announced to other nodes. */
static bool
backend_changed(const gate_backend_t *old, const gate_backend_t *new)
{
	return !old->live || old->state != new->state || old->slots != new->slots ||
	       old->connections != new->connections ||
	       strcmp(old->service, new->service) != 0;
}

/*
 * Refuses the queue once a leaving backend server may not receive new requests, so
 * that they are sent to other instances.
 */
static void
drain_callback(struct ev_loop *loop, ev_timer *watcher, int events)
{
	gate_queue_refuse(watcher->data, REASON_LEAVING);
}

static void
drain_start(gate_t *gate)
{
	uint32_t drain_ms = gate->settings->bounds.drain_ms;
	uint32_t wait_ms = drain_ms - drain_ms / GATE_DRAIN_MARGIN_DIVISOR;

	if (ev_is_active(&gate->drain))
		return;
	ev_timer_set(&gate->drain, (double)wait_ms / 1e3, 0.0);
	ev_timer_start(kernel_loop(gate->kernel), &gate->drain);
}

/*
 * Records that the backend server has left, so that an earlier announcement does not
 * bring it back, at this node or after its restart.
 */
static void
departure_record(gate_t *gate, const gate_backend_t *backend)
{
	gate->departed_ms = MAX_OF(gate->departed_ms, backend->started_ms);
}

static bool
backend_has_departed(const gate_t *gate, const gate_backend_t *backend)
{
	return backend->started_ms != 0 && backend->started_ms <= gate->departed_ms;
}

static void
backend_leave(gate_t *gate, const char *cause)
{
	departure_record(gate, &gate->backend);
	gate->backend.state = INSTANCE_LEAVING;
	backend_log(gate, LOG_LEVEL_INFO, "backend server leaves", cause);
	drain_start(gate);
	gate_instance_post(gate);
}

void
gate_backend_leave(gate_t *gate)
{
	gate->backend_said_leaving = true;
	if (gate->backend.live && gate->backend.state != INSTANCE_LEAVING)
		backend_leave(gate, "says so in an answer");
}

void
gate_departure_receive(gate_t *gate, uint64_t departed_ms)
{
	gate->departed_ms = MAX_OF(gate->departed_ms, departed_ms);
	if (gate->backend.live && gate->backend.state != INSTANCE_LEAVING &&
	    backend_has_departed(gate, &gate->backend))
		backend_leave(gate, "has left before, as other nodes remember");
}

/* Another process takes the place of the backend server known so far. */
static void
backend_replace(gate_t *gate, const char *cause)
{
	gate_backend_crashed(gate, cause);
	gate->backend_since = kernel_now(gate->kernel);
	gate->backend_said_leaving = false;
	gate_rate_reset(gate);
	capacity_server_init(&gate->capacity, 0, gate->backend_since);
	ev_timer_stop(kernel_loop(gate->kernel), &gate->drain);
}

static void
backend_update(gate_t *gate, const gate_backend_t *announced, bool restarted)
{
	static const char *const states[] = {"none", "starting", "ready", "leaving"};
	bool changed;

	if (restarted)
		backend_replace(gate, "announced under a new boot id");
	/* Computed after the crash has withdrawn the instance. */
	changed = backend_changed(&gate->backend, announced);
	gate->backend = *announced;
	gate->backend.live = true;
	gate->backend.announced = kernel_now(gate->kernel);
	capacity_server_cold_set(
	    &gate->capacity, announced->cold_ms, gate->backend.announced);
	gate->announce_timeout.repeat =
	    (double)MAX_OF(GATE_ANNOUNCE_TIMEOUT_MS,
		GATE_ANNOUNCE_MISSED_MIN * gate->settings->backend.announce_ms) /
	    1000.0;
	ev_timer_again(kernel_loop(gate->kernel), &gate->announce_timeout);
	gate_connections_update(gate);
	if (announced->state == INSTANCE_LEAVING) {
		departure_record(gate, announced);
		drain_start(gate);
	}
	gate_limits_update(gate);
	if (changed) {
		backend_log(gate, LOG_LEVEL_INFO, "backend server announced",
		    states[announced->state]);
		gate_instance_post(gate);
	}
	gate_queue_run(gate);
}

/* Parses the request in the configured dialect; returns NULL or an error text. */
static const char *
announcement_read(const gate_t *gate, const http_server_request_t *request,
    gate_backend_t *announced, announcement_kind_t *kind)
{
	if (gate->settings->dialect == DIALECT_HOSTED)
		return hosted_announcement_read(
		    request->path, request->body, request->body_size, announced, kind);
	*kind = ANNOUNCEMENT_NONE;
	if (strcmp(request->path, "/announce") != 0)
		return "no such resource";
	*kind = ANNOUNCEMENT_STATE;
	return announcement_parse(request->body, request->body_size, announced);
}

/*
 * Checks the start and the sequence number, if they are given: with a number that is too
 * large, all later announcements of the backend server would count as late. It makes at
 * most one announcement in a millisecond. Returns NULL or an error text.
 */
static const char *
announcement_numbers_check(const gate_backend_t *announced)
{
	uint64_t latest_ms = os_clock_wall_ms() + CLOCK_DIFFERENCE_MAX_MS;

	if (announced->started_ms > latest_ms)
		return "the start is in the future";
	if (announced->started_ms != 0 &&
	    announced->sequence > latest_ms - announced->started_ms)
		return "the sequence number is too large";
	return NULL;
}

/*
 * Checks address and service against settings and preset; a mismatch shows that
 * the sender is not this host's backend server. Returns NULL or an error text.
 */
static const char *
announcement_check(const gate_t *gate, const gate_backend_t *announced)
{
	const settings_t *settings = gate->settings;

	if (settings->backend.service[0] != '\0' &&
	    (announced->address.ip != settings->backend.address.ip ||
		announced->address.port != settings->backend.address.port))
		return "the address is not that of this host's backend server";
	if (settings->dialect == DIALECT_HOSTED && gate->snapshot != NULL &&
	    preset_service_find(gate->snapshot->preset, announced->service) == NULL)
		return "no such service is configured";
	return NULL;
}

/* Records the deregistration of a backend server that is not live here. */
static void
backend_forget(gate_t *gate, const gate_backend_t *announced)
{
	gate->backend = *announced;
	departure_record(gate, announced);
	gate_instance_post(gate);
}

/*
 * Handles a deregistration. One of an unknown backend server is recorded, so that
 * an earlier announcement that arrives late does not add the server again.
 */
static void
backend_deregister(gate_t *gate, const gate_backend_t *announced)
{
	gate_backend_t leaving = gate->backend;

	switch (announcement_classify(&gate->backend, announced)) {
	case ANNOUNCEMENT_STALE:
	case ANNOUNCEMENT_OTHER_INSTANCE:
		return;
	case ANNOUNCEMENT_RESTARTED:
		/* Without a start time, compare the instance ids. */
		if (announced->started_ms == 0 &&
		    strcmp(gate->backend.instance, announced->instance) != 0)
			return;
		if (announced->started_ms != 0) {
			backend_replace(gate, "deregistered under a new boot id");
			backend_forget(gate, announced);
			return;
		}
		break;
	case ANNOUNCEMENT_SAME:
		if (!gate->backend.live) {
			backend_forget(gate, announced);
			return;
		}
		break;
	}
	leaving.state = INSTANCE_LEAVING;
	backend_update(gate, &leaving, false);
}

static void
state_announcement_handle(
    gate_t *gate, const gate_backend_t *announced, http_exchange_t *exchange)
{
	gate_backend_t accepted = *announced;
	char reply[32];
	int length;

	if (backend_has_departed(gate, announced))
		accepted.state = INSTANCE_LEAVING;
	switch (announcement_classify(&gate->backend, announced)) {
	case ANNOUNCEMENT_OTHER_INSTANCE:
		reply_error(exchange, 409, "another instance is live here");
		return;
	case ANNOUNCEMENT_STALE:
		backend_log(
		    gate, LOG_LEVEL_INFO, "late announcement ignored", announced->boot);
		break;
	case ANNOUNCEMENT_RESTARTED:
		backend_update(gate, &accepted, true);
		break;
	case ANNOUNCEMENT_SAME:
		/* A started process that is leaving does not become ready again. */
		if (gate->backend_said_leaving ||
		    (gate->settings->dialect == DIALECT_HOSTED &&
			gate->backend.state == INSTANCE_LEAVING))
			accepted.state = INSTANCE_LEAVING;
		backend_update(gate, &accepted, false);
		break;
	}
	length = snprintf(
	    reply, sizeof(reply), "{\"renew_ms\":%d}", GATE_ANNOUNCE_INTERVAL_MS);
	http_exchange_reply(exchange, 200, NULL, reply, (size_t)length);
}

static void
announcement_handle(void *state, const http_server_request_t *request)
{
	gate_t *gate = state;
	gate_backend_t announced = {0};
	announcement_kind_t kind;
	const char *error = announcement_read(gate, request, &announced, &kind);

	if (kind == ANNOUNCEMENT_NONE) {
		reply_error(request->exchange, 404, error);
		return;
	}
	if (strcmp(request->method, "POST") != 0) {
		reply_error(request->exchange, 405, "only POST is allowed");
		return;
	}
	if (error == NULL)
		error = announcement_numbers_check(&announced);
	if (error == NULL && kind == ANNOUNCEMENT_STATE)
		error = announcement_check(gate, &announced);
	if (error != NULL) {
		backend_log(gate, LOG_LEVEL_WARNING, "announcement refused", error);
		reply_error(request->exchange, 400, error);
		return;
	}
	metrics_add(kernel_metrics(gate->kernel), METRIC_ANNOUNCEMENTS, 1);
	if (kind == ANNOUNCEMENT_STATE) {
		state_announcement_handle(gate, &announced, request->exchange);
		return;
	}
	backend_log(
	    gate, LOG_LEVEL_INFO, "backend server deregistered", announced.instance);
	backend_deregister(gate, &announced);
	http_exchange_reply(request->exchange, 200, NULL, "{}", 2);
}

int
gate_announce_open(gate_t *gate)
{
	http_server_options_t options = {
	    .address = gate->settings->backend_servers,
	    .body_max_bytes = ANNOUNCEMENT_MAX_BYTES,
	    .connections_max = ANNOUNCEMENT_CONNECTIONS_MAX,
	    .handler = announcement_handle,
	    .state = gate,
	};

	ev_timer_init(&gate->announce_timeout, announce_timeout_callback, 0.0, 0.0);
	gate->announce_timeout.data = gate;
	ev_timer_init(&gate->drain, drain_callback, 0.0, 0.0);
	gate->drain.data = gate;
	return http_server_create(
	    kernel_loop(gate->kernel), &options, &gate->announcements);
}

void
gate_announce_close(gate_t *gate)
{
	ev_timer_stop(kernel_loop(gate->kernel), &gate->announce_timeout);
	ev_timer_stop(kernel_loop(gate->kernel), &gate->drain);
	http_server_destroy(gate->announcements);
	gate->announcements = NULL;
}
