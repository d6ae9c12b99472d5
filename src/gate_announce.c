#include "gate_internal.h"

#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

#define ANNOUNCEMENT_MAX 4096
#define ANNOUNCEMENT_CONNECTIONS_MAX 32
#define ANNOUNCEMENT_NESTING_MAX 4
#define SLOTS_MAX 65536

static void
reply_error(http_exchange_t *exchange, int status, const char *text)
{
	char body[256];
	int length = snprintf(body, sizeof(body), "{\"error\":\"%s\"}", text);

	http_exchange_reply(exchange, status, NULL, body, (size_t)length);
}

/* Names go into JSON and metrics unescaped, so they are plain. */
static bool
name_is_plain(const char *name)
{
	if (name[0] == '\0')
		return false;
	for (; *name != '\0'; name++) {
		if (*name <= ' ' || *name > '~' || *name == '"' || *name == '\\')
			return false;
	}
	return true;
}

static const char *
field_text(struct json_object *object, const char *key, char *target, size_t size)
{
	struct json_object *value;

	if (!json_object_object_get_ex(object, key, &value) ||
	    !json_object_is_type(value, json_type_string))
		return "a text field is missing";
	if (string_copy(target, size, json_object_get_string(value)) != MASTICPITCH_OK)
		return "a text field is too long";
	return name_is_plain(target) ? NULL : "a text field has forbidden characters";
}

static const char *
field_count(struct json_object *object, const char *key, uint32_t *target)
{
	struct json_object *value;
	int64_t number;

	if (!json_object_object_get_ex(object, key, &value) ||
	    !json_object_is_type(value, json_type_int))
		return "slots or connections is missing";
	number = json_object_get_int64(value);
	if (number < 1 || number > SLOTS_MAX)
		return "slots or connections is out of range";
	*target = (uint32_t)number;
	return NULL;
}

static const char *
field_state(struct json_object *object, instance_state_t *state)
{
	char text[16];

	if (field_text(object, "state", text, sizeof(text)) != NULL)
		return "state is missing";
	if (strcmp(text, "ready") == 0)
		*state = INSTANCE_READY;
	else if (strcmp(text, "starting") == 0)
		*state = INSTANCE_STARTING;
	else if (strcmp(text, "leaving") == 0)
		*state = INSTANCE_LEAVING;
	else
		return "state is not starting, ready or leaving";
	return NULL;
}

static const char *
announcement_read(struct json_object *object, gate_backend_t *backend)
{
	struct json_object *load;
	char address[ADDRESS_TEXT_BYTES];
	const char *error;

	if (!json_object_is_type(object, json_type_object))
		return "not a JSON object";
	if ((error = field_text(object, "service", backend->service, NAME_BYTES)) !=
		NULL ||
	    (error = field_text(object, "instance", backend->instance, NAME_BYTES)) !=
		NULL ||
	    (error = field_text(object, "boot", backend->boot, GATE_BOOT_BYTES)) !=
		NULL ||
	    (error = field_text(object, "address", address, sizeof(address))) != NULL ||
	    (error = field_count(object, "slots", &backend->slots)) != NULL ||
	    (error = field_count(object, "connections", &backend->connections)) != NULL ||
	    (error = field_state(object, &backend->state)) != NULL)
		return error;
	if (address_parse(address, &backend->address) != MASTICPITCH_OK ||
	    backend->address.port == 0)
		return "address is not IP:PORT";
	if (json_object_object_get_ex(object, "load", &load)) {
		backend->load = json_object_get_double(load);
		if (!(backend->load >= 0.0 && backend->load <= 1.0))
			return "load is not between 0 and 1";
	}
	return NULL;
}

static const char *
announcement_parse(const char *text, size_t size, gate_backend_t *backend)
{
	struct json_tokener *tokener = json_tokener_new_ex(ANNOUNCEMENT_NESTING_MAX);
	struct json_object *object;
	const char *error = "not valid JSON";

	if (tokener == NULL)
		return "no memory";
	object = json_tokener_parse_ex(tokener, text, (int)size + 1);
	if (object != NULL) {
		error = announcement_read(object, backend);
		json_object_put(object);
	}
	json_tokener_free(tokener);
	return error;
}

static void
backend_log(gate_t *gate, log_level_t level, const char *message, const char *detail)
{
	const log_field_t fields[] = {
	    {LOG_KIND_TEXT, "service", gate->backend.service, 0},
	    {LOG_KIND_TEXT, "instance", gate->backend.instance, 0},
	    {LOG_KIND_TEXT, "detail", detail, 0},
	    {LOG_KIND_END, NULL, NULL, 0},
	};

	log_write(kernel_log(gate->kernel), level, message, fields);
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
