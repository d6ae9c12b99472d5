#include "announcement.h"
#include "gate_internal.h"
#include "platform/hosted.h"

#include <stdio.h>
#include <string.h>

#define ANNOUNCEMENT_MAX 4096
#define ANNOUNCEMENT_CONNECTIONS_MAX 32

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

void
gate_instance_post(gate_t *gate)
{
	/* The entry of this node learns of it at once, not by way of gossip. */
	static const char *const targets[] = {"membership", "entry"};
	instance_t instance = {.sequence = ++gate->sequence};

	if (gate->backend.live) {
		instance.state = gate->leaving ? INSTANCE_LEAVING : gate->backend.state;
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
	ev_timer_stop(kernel_loop(gate->kernel), &gate->silence);
	gate_queue_refuse(gate, REASON_INSTANCE_GONE);
	gate_instance_post(gate);
}

static void
silence_callback(struct ev_loop *loop, ev_timer *watcher, int events)
{
	gate_backend_drop(watcher->data, "silent");
}

/* True if other nodes need to know. */
static bool
backend_changed(const gate_backend_t *old, const gate_backend_t *new)
{
	return !old->live || old->state != new->state || old->slots != new->slots ||
	       old->connections != new->connections ||
	       strcmp(old->service, new->service) != 0;
}

/*
 * What still waits when a leaving backend server may get no more new work goes
 * elsewhere.
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
	uint32_t wait_ms = drain_ms - drain_ms / GATE_DRAIN_MARGIN;

	if (ev_is_active(&gate->drain))
		return;
	ev_timer_set(&gate->drain, (double)wait_ms / 1e3, 0.0);
	ev_timer_start(kernel_loop(gate->kernel), &gate->drain);
}

static void
backend_set(gate_t *gate, const gate_backend_t *announced, bool restarted)
{
	static const char *const states[] = {"none", "starting", "ready", "leaving"};
	bool changed;

	if (restarted) {
		gate_backend_died(gate, "announced under a new boot id");
		ev_timer_stop(kernel_loop(gate->kernel), &gate->drain);
	}
	/* Looked up after a death, which withdraws the instance. */
	changed = backend_changed(&gate->backend, announced);
	gate->backend = *announced;
	gate->backend.live = true;
	gate->backend.announced = kernel_now(gate->kernel);
	gate->silence.repeat =
	    (double)MAX_OF(GATE_SILENT_MS,
		GATE_SILENT_ANNOUNCEMENTS * gate->settings->backend.announce_ms) /
	    1000.0;
	ev_timer_again(kernel_loop(gate->kernel), &gate->silence);
	gate_connections_set(gate);
	if (announced->state == INSTANCE_LEAVING)
		drain_start(gate);
	gate_limits_set(gate);
	if (changed) {
		backend_log(gate, LOG_LEVEL_INFO, "backend server announced",
		    states[announced->state]);
		gate_instance_post(gate);
	}
	gate_queue_run(gate);
}

/* Reads the request in the dialect of the settings; NULL, or what is wrong. */
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
 * Settings and configuration name what may stand here; an announcement of
 * anything else comes from a writer that is not this host's backend server.
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

/*
 * The backend server goes without having said more. One that is not known yet
 * is noted, so that an earlier announcement that is late does not bring it back.
 */
static void
backend_leave(gate_t *gate, const gate_backend_t *announced)
{
	gate_backend_t leaving = gate->backend;

	switch (announcement_judge(&gate->backend, announced)) {
	case ANNOUNCEMENT_STALE:
	case ANNOUNCEMENT_FOREIGN:
		return;
	case ANNOUNCEMENT_RESTARTED:
		/* Without a start of its own the instance id decides. */
		if (announced->started_ms == 0 &&
		    strcmp(gate->backend.instance, announced->instance) != 0)
			return;
		if (announced->started_ms != 0) {
			gate_backend_died(gate, "deregistered under a new boot id");
			gate->backend = *announced;
			return;
		}
		break;
	case ANNOUNCEMENT_SAME:
		if (!gate->backend.live) {
			gate->backend = *announced;
			return;
		}
		break;
	}
	leaving.state = INSTANCE_LEAVING;
	backend_set(gate, &leaving, false);
}

static void
state_handle(gate_t *gate, const gate_backend_t *announced, http_exchange_t *exchange)
{
	gate_backend_t accepted = *announced;
	char reply[32];
	int length;

	switch (announcement_judge(&gate->backend, announced)) {
	case ANNOUNCEMENT_FOREIGN:
		reply_error(exchange, 409, "another instance is live here");
		return;
	case ANNOUNCEMENT_STALE:
		backend_log(gate, LOG_LEVEL_INFO, "late announcement passed over",
		    announced->boot);
		break;
	case ANNOUNCEMENT_RESTARTED:
		backend_set(gate, announced, true);
		break;
	case ANNOUNCEMENT_SAME:
		/* Leaving is not taken back within a start. */
		if (gate->settings->dialect == DIALECT_HOSTED &&
		    gate->backend.state == INSTANCE_LEAVING)
			accepted.state = INSTANCE_LEAVING;
		backend_set(gate, &accepted, false);
		break;
	}
	length = snprintf(reply, sizeof(reply), "{\"renew_ms\":%d}", GATE_RENEW_MS);
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
	if (error == NULL && kind == ANNOUNCEMENT_STATE)
		error = announcement_check(gate, &announced);
	if (error != NULL) {
		backend_log(gate, LOG_LEVEL_WARNING, "announcement refused", error);
		reply_error(request->exchange, 400, error);
		return;
	}
	metrics_add(kernel_metrics(gate->kernel), METRIC_ANNOUNCEMENTS, 1);
	if (kind == ANNOUNCEMENT_STATE) {
		state_handle(gate, &announced, request->exchange);
		return;
	}
	backend_log(
	    gate, LOG_LEVEL_INFO, "backend server deregistered", announced.instance);
	backend_leave(gate, &announced);
	http_exchange_reply(request->exchange, 200, NULL, "{}", 2);
}

int
gate_announce_open(gate_t *gate)
{
	http_server_options_t options = {
	    .address = gate->settings->backend_servers,
	    .body_max_bytes = ANNOUNCEMENT_MAX,
	    .connections_max = ANNOUNCEMENT_CONNECTIONS_MAX,
	    .handler = announcement_handle,
	    .state = gate,
	};

	ev_timer_init(&gate->silence, silence_callback, 0.0, 0.0);
	gate->silence.data = gate;
	ev_timer_init(&gate->drain, drain_callback, 0.0, 0.0);
	gate->drain.data = gate;
	return http_server_create(
	    kernel_loop(gate->kernel), &options, &gate->announcements);
}

void
gate_announce_close(gate_t *gate)
{
	ev_timer_stop(kernel_loop(gate->kernel), &gate->silence);
	ev_timer_stop(kernel_loop(gate->kernel), &gate->drain);
	http_server_destroy(gate->announcements);
	gate->announcements = NULL;
}
