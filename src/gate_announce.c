#include "announcement.h"
#include "gate_internal.h"

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

static void
backend_set(gate_t *gate, const gate_backend_t *announced)
{
	static const char *const states[] = {"none", "starting", "ready", "leaving"};
	bool changed;

	if (gate->backend.boot[0] != '\0' &&
	    strcmp(gate->backend.boot, announced->boot) != 0)
		gate_backend_died(gate, "announced under a new boot id");
	/* Looked up after a death, which withdraws the instance. */
	changed = backend_changed(&gate->backend, announced);
	gate->backend = *announced;
	gate->backend.live = true;
	gate->backend.announced = kernel_now(gate->kernel);
	gate->silence.repeat = (double)GATE_SILENT_MS / 1000.0;
	ev_timer_again(kernel_loop(gate->kernel), &gate->silence);
	curl_loop_set_connections(gate->curl, announced->connections);
	gate_limits_set(gate);
	if (changed) {
		backend_log(gate, LOG_LEVEL_INFO, "backend server announced",
		    states[announced->state]);
		gate_instance_post(gate);
	}
	gate_queue_run(gate);
}

static void
announcement_handle(void *state, const http_server_request_t *request)
{
	gate_t *gate = state;
	gate_backend_t announced = {0};
	char reply[32];
	const char *error;
	int length;

	if (strcmp(request->path, "/announce") != 0) {
		reply_error(request->exchange, 404, "no such resource");
		return;
	}
	if (strcmp(request->method, "POST") != 0) {
		reply_error(request->exchange, 405, "only POST is allowed");
		return;
	}
	error = announcement_parse(request->body, request->body_size, &announced);
	if (error != NULL) {
		backend_log(gate, LOG_LEVEL_WARNING, "announcement refused", error);
		reply_error(request->exchange, 400, error);
		return;
	}
	if (gate->backend.live &&
	    strcmp(gate->backend.instance, announced.instance) != 0) {
		reply_error(request->exchange, 409, "another instance is live here");
		return;
	}
	metrics_add(kernel_metrics(gate->kernel), METRIC_ANNOUNCEMENTS, 1);
	backend_set(gate, &announced);
	length = snprintf(reply, sizeof(reply), "{\"renew_ms\":%d}", GATE_RENEW_MS);
	http_exchange_reply(request->exchange, 200, NULL, reply, (size_t)length);
}

int
gate_announce_open(gate_t *gate)
{
	http_server_options_t options = {
	    .address = gate->settings->backend_servers,
	    .body_max = ANNOUNCEMENT_MAX,
	    .connections_max = ANNOUNCEMENT_CONNECTIONS_MAX,
	    .handler = announcement_handle,
	    .state = gate,
	};

	ev_timer_init(&gate->silence, silence_callback, 0.0, 0.0);
	gate->silence.data = gate;
	return http_server_create(
	    kernel_loop(gate->kernel), &options, &gate->announcements);
}

void
gate_announce_close(gate_t *gate)
{
	ev_timer_stop(kernel_loop(gate->kernel), &gate->silence);
	http_server_destroy(gate->announcements);
	gate->announcements = NULL;
}
