#include "config.h"

#include "config_report.h"
#include "document.h"
#include "http_client.h"
#include "json_text.h"
#include "os.h"
#include "platform.h"
#include "spread.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Reads of parts, and one each for the watch, head, lease and list of relays. */
#define CONNECTIONS_MAX (SPREAD_PART_READS + 4)
/* Jitter before relay/ keys are listed: spreads the load of a mass restart. */
#define JOIN_JITTER_NS (500 * NS_PER_MS)
/*
 * A relay lists the others when it takes its lease, then at this interval: groups of
 * hosts that have no zone in common do not meet at a relay key.
 */
#define RELAY_LIST_INTERVAL_NS (30 * NS_PER_S)
#define RELAY_VALUE_MAX_BYTES 4096

struct config {
	kernel_t *kernel;
	const settings_t *settings;
	service_t service;
	http_client_t *http;
	platform_t *platform;
	spread_t *spread;
	ev_timer timer;
	ev_timer join_timer;
	bool joining;		/* listing of relays is scheduled or in progress */
	bool join_failed;	/* the last one had no answer */
	uint64_t relay_list_at; /* earliest next listing while this node is the relay */
	list_t calls;
	config_report_t report;
	document_t document;  /* last one read; hosted dialect only */
	uint64_t verified_at; /* as the entry was told; 0: never */
};

/* One platform call on behalf of spread. */
typedef struct config_call {
	list_t link;
	config_t *config;
	platform_call_t *call;
	spread_call_t kind;
	digest_t digest;
} config_call_t;

static void config_run(config_t *config);

static void
post(config_t *config, const char *name, message_t *message)
{
	kernel_message_post(config->kernel, &config->service,
	    kernel_service_find(config->kernel, name), message);
}

static uint64_t
call_deadline(const config_t *config)
{
	return kernel_now(config->kernel) +
	       config->settings->platform_timeout_ms * NS_PER_MS;
}

static void
call_free(config_call_t *call)
{
	list_remove(&call->link);
	free(call);
}

/*
 * Replaces the document in an answer by the head built from it; only for the hosted
 * dialect, whose platform stores one document.
 */
static void
document_translate(config_t *config, spread_call_t kind, platform_answer_t *answer)
{
	char reason[MASTICPITCH_MESSAGE_MAX] = "";

	if (config->settings->dialect != DIALECT_HOSTED ||
	    (kind != SPREAD_CALL_GET_HEAD && kind != SPREAD_CALL_WATCH_HEAD) ||
	    answer->outcome != PLATFORM_OK)
		return;
	if (document_read(&config->document, answer->value, answer->size, reason,
		sizeof(reason)) != MASTICPITCH_OK) {
		log_warning(kernel_log(config->kernel),
		    "configuration document is invalid; ignoring it",
		    LOG_TEXT("reason", reason));
		answer->outcome = PLATFORM_UNKNOWN;
		return;
	}
	answer->value = (const char *)config->document.head.data;
	answer->size = config->document.head.size;
}

/* Parses the address in a relay/ZONE value. Errors: MASTICPITCH_E_INVALID. */
static int
relay_address_parse(const char *value, size_t size, address_t *address)
{
	struct json_object *object = NULL;
	json_report_t report;
	char text[ADDRESS_TEXT_BYTES];
	int error;

	json_report_init(&report, NULL, 0);
	error =
	    json_text_parse(value, size, RELAY_VALUE_MAX_BYTES, false, &object, &report);
	if (error == MASTICPITCH_OK)
		error =
		    json_read_text(&report, "", object, "address", text, sizeof(text));
	if (error == MASTICPITCH_OK)
		error = address_parse(text, address);
	if (error == MASTICPITCH_OK && address->port == 0)
		error = MASTICPITCH_E_INVALID;
	json_object_put(object);
	return error;
}

/* Membership asks the relay at that address to join, unless it is a live member. */
static void
relay_join(config_t *config, const char *value, size_t size)
{
	message_t *message = message_create(MESSAGE_JOIN_ADDRESS, 0, 0);

	if (message != NULL &&
	    relay_address_parse(value, size, &message->u.address) != MASTICPITCH_OK) {
		message_destroy(message);
		return;
	}
	post(config, "membership", message);
}

/* Membership repeats its request until it has joined; one listing at a time is enough. */
static void
join_start(config_t *config)
{
	struct ev_loop *loop = kernel_loop(config->kernel);
	uint64_t pause = rng_below(kernel_rng(config->kernel), JOIN_JITTER_NS);

	if (config->joining)
		return;
	config->joining = true;
	ev_timer_set(&config->join_timer, (double)pause / (double)NS_PER_S, 0.0);
	ev_timer_start(loop, &config->join_timer);
}

/* Lists the relays again as soon as the platform answers, if the last listing failed. */
static void
join_resume(config_t *config, platform_outcome_t outcome)
{
	bool answered = outcome == PLATFORM_OK || outcome == PLATFORM_NOT_FOUND ||
			outcome == PLATFORM_UNCHANGED || outcome == PLATFORM_CONFLICT;

	if (!config->join_failed || !answered)
		return;
	config->join_failed = false;
	join_start(config);
}

static void
call_done(void *state, const platform_answer_t *read)
{
	config_call_t *call = state;
	config_t *config = call->config;
	platform_answer_t answer = *read;

	config_report_answer(&config->report, call->kind, &answer);
	join_resume(config, answer.outcome);
	/* Another node holds the key: it is of another group if it is no member. */
	if (call->kind == SPREAD_CALL_RELAY_GET && answer.outcome == PLATFORM_OK)
		relay_join(config, answer.value, answer.size);
	document_translate(config, call->kind, &answer);
	spread_platform_answer(config->spread, call->kind, &call->digest, &answer,
	    kernel_now(config->kernel));
	call_free(call);
	config_run(config);
}

static int
relay_put(config_call_t *call, const spread_action_t *action, const char *key)
{
	platform_put_t put = {.key = key,
	    .value = action->text != NULL ? action->text : "",
	    .size = action->text != NULL ? strlen(action->text) : 0,
	    .expect = action->revision,
	    .lease = action->lease};

	return platform_put(call->config->platform, &put, call_deadline(call->config),
	    call_done, call, &call->call);
}

static int
call_start(config_call_t *call, const spread_action_t *action)
{
	config_t *config = call->config;
	platform_t *platform = config->platform;
	uint64_t deadline = call_deadline(config);
	char key[PLATFORM_KEY_BYTES];
	char digest[DIGEST_TEXT_BYTES];

	snprintf(key, sizeof(key), "relay/%s", config->settings->zone);
	switch (action->call) {
	case SPREAD_CALL_GET_HEAD:
		return platform_get(platform, "head", deadline + action->transfer_ns,
		    call_done, call, &call->call);
	case SPREAD_CALL_WATCH_HEAD:
		return platform_watch(platform, "head", action->revision, action->wait_ms,
		    deadline + action->wait_ms * NS_PER_MS + action->transfer_ns,
		    call_done, call, &call->call);
	case SPREAD_CALL_GET_PART:
		digest_format(&action->digest, digest);
		snprintf(key, sizeof(key), "part/%s", digest);
		return platform_get(
		    platform, key, deadline, call_done, call, &call->call);
	case SPREAD_CALL_LEASE_CREATE:
		return platform_lease_create(platform, SPREAD_LEASE_TTL_MS, deadline,
		    call_done, call, &call->call);
	case SPREAD_CALL_LEASE_RENEW:
		return platform_lease_renew(
		    platform, action->lease, deadline, call_done, call, &call->call);
	case SPREAD_CALL_LEASE_REVOKE:
		return platform_lease_revoke(
		    platform, action->lease, deadline, call_done, call, &call->call);
	case SPREAD_CALL_RELAY_PUT:
		return relay_put(call, action, key);
	case SPREAD_CALL_RELAY_GET:
		return platform_get(
		    platform, key, deadline, call_done, call, &call->call);
	}
	return MASTICPITCH_E_INVALID;
}

/*
 * Answers GET_PART from the document read last: the platform of the hosted dialect
 * stores no parts.
 */
static void
document_answer(config_t *config, const spread_action_t *action)
{
	platform_answer_t answer = {.outcome = PLATFORM_NOT_FOUND};
	const chunk_t *part = record_parts_find(&config->document.parts, &action->digest);

	if (part != NULL) {
		answer.outcome = PLATFORM_OK;
		answer.value = (const char *)part->data;
		answer.size = part->size;
	}
	spread_platform_answer(config->spread, action->call, &action->digest, &answer,
	    kernel_now(config->kernel));
}

/* A call that cannot be started is answered as PLATFORM_NOT_SENT. */
static void
call_perform(config_t *config, const spread_action_t *action)
{
	const platform_answer_t not_sent = {.outcome = PLATFORM_NOT_SENT};
	config_call_t *call;

	if (config->settings->dialect == DIALECT_HOSTED &&
	    action->call == SPREAD_CALL_GET_PART) {
		document_answer(config, action);
		return;
	}
	call = calloc(1, sizeof(*call));
	if (call != NULL) {
		call->config = config;
		call->kind = action->call;
		call->digest = action->digest;
		list_append(&config->calls, &call->link);
		if (call_start(call, action) == MASTICPITCH_OK)
			return;
		call_free(call);
	}
	spread_platform_answer(config->spread, action->call, &action->digest, &not_sent,
	    kernel_now(config->kernel));
}

static void
watch_cancel(config_t *config)
{
	LIST_FOREACH_SAFE (node, &config->calls) {
		config_call_t *call = LIST_ENTRY(node, config_call_t, link);

		if (call->kind != SPREAD_CALL_WATCH_HEAD)
			continue;
		platform_call_cancel(call->call);
		call_free(call);
	}
}

static void
message_send(config_t *config, const spread_action_t *action)
{
	message_t *message = message_create(MESSAGE_CONTROL, action->node, 0);

	if (message == NULL)
		return;
	message->u.control.kind = CONTROL_CONFIG;
	message->u.control.payload = spread_message_pack(action->message);
	if (message->u.control.payload == NULL) {
		message_destroy(message);
		return;
	}
	post(config, "peer", message);
}

static void
snapshot_post(config_t *config, snapshot_t *snapshot)
{
	static const char *const names[] = {
	    "entry", "gate", "operators", "readiness", "quota"};
	message_t *message = message_create(MESSAGE_VERSION, 0, 0);

	for (size_t i = 0; i < ARRAY_LENGTH(names); i++) {
		message_t *copy = message_create(MESSAGE_SNAPSHOT, 0, 0);

		if (copy != NULL)
			copy->u.snapshot = snapshot_hold(snapshot);
		post(config, names[i], copy);
	}
	if (message != NULL) {
		message->u.version.version = snapshot->version;
		message->u.version.floor = snapshot->version;
	}
	post(config, "membership", message);
	log_info(kernel_log(config->kernel), "configuration in force",
	    LOG_NUMBER("version", snapshot->version),
	    LOG_TEXT("preset", snapshot->preset_name));
}

static void
action_perform(config_t *config, spread_action_t *action)
{
	switch (action->kind) {
	case SPREAD_SEND:
		message_send(config, action);
		break;
	case SPREAD_CALL:
		call_perform(config, action);
		break;
	case SPREAD_WATCH_CANCEL:
		watch_cancel(config);
		break;
	case SPREAD_IN_FORCE:
		snapshot_post(config, action->snapshot);
		break;
	case SPREAD_REFUSED:
		log_warning(kernel_log(config->kernel), "configuration refused",
		    LOG_TEXT("reason", action->text != NULL ? action->text : ""));
		break;
	}
}

static void
timer_set(config_t *config)
{
	struct ev_loop *loop = kernel_loop(config->kernel);
	uint64_t wake = spread_next_wake_at(config->spread);
	uint64_t now = kernel_now(config->kernel);

	ev_timer_stop(loop, &config->timer);
	if (wake == TIME_NEVER)
		return;
	ev_now_update(loop);
	ev_timer_set(&config->timer,
	    wake > now ? (double)(wake - now) / (double)NS_PER_S : 0.0, 0.0);
	ev_timer_start(loop, &config->timer);
}

static void
relay_list_run(config_t *config, const spread_status_t *status)
{
	uint64_t now = kernel_now(config->kernel);

	if (!status->lease_held || now < config->relay_list_at)
		return;
	config->relay_list_at = now + RELAY_LIST_INTERVAL_NS;
	join_start(config);
}

/* Tells the entry when the version in force was verified, if it depends on that. */
static void
verified_post(config_t *config, const spread_status_t *status)
{
	message_t *message;

	if (!config->settings->bounds.fail_closed ||
	    status->verified_at <= config->verified_at)
		return;
	config->verified_at = status->verified_at;
	message = message_create(MESSAGE_VERIFIED, 0, 0);
	if (message != NULL)
		message->u.verified_at = status->verified_at;
	post(config, "entry", message);
}

/* Performs the actions that spread appended for an event. */
static void
config_run(config_t *config)
{
	spread_action_t *action;
	spread_status_t status;

	while ((action = spread_action_take(config->spread)) != NULL) {
		action_perform(config, action);
		spread_action_destroy(action);
	}
	status = spread_status(config->spread);
	config_report_changes(&config->report, &status, platform_health(config->platform),
	    kernel_now(config->kernel));
	verified_post(config, &status);
	relay_list_run(config, &status);
	timer_set(config);
}

static void
timer_callback(struct ev_loop *loop, ev_timer *timer, int events)
{
	config_t *config = timer->data;

	spread_tick(config->spread, kernel_now(config->kernel));
	config_run(config);
}

static void
relay_list_done(void *state, const platform_answer_t *answer)
{
	config_t *config = state;

	config->joining = false;
	config->join_failed = answer->outcome != PLATFORM_OK;
	if (answer->entries_skipped > 0 || answer->truncated)
		log_warning(kernel_log(config->kernel),
		    "list of relays has foreign entries",
		    LOG_NUMBER("read", answer->entry_count),
		    LOG_NUMBER("skipped", answer->entries_skipped),
		    LOG_TEXT("truncated", answer->truncated ? "yes" : "no"));
	for (size_t i = 0; i < answer->entry_count; i++)
		relay_join(config, answer->entries[i].value, answer->entries[i].size);
}

static void
join_timer_callback(struct ev_loop *loop, ev_timer *timer, int events)
{
	config_t *config = timer->data;

	config->joining = platform_list(config->platform, "relay/", call_deadline(config),
			      relay_list_done, config, NULL) == MASTICPITCH_OK;
}

static void
status_query_answer(config_t *config, const message_t *query)
{
	spread_status_t status = spread_status(config->spread);
	struct json_object *report = config_report_status(
	    &status, platform_health(config->platform), kernel_now(config->kernel));
	const char *text = json_object_to_json_string_ext(report, JSON_C_TO_STRING_PLAIN);
	message_t *answer = message_create(MESSAGE_REPORT, 0, query->stream);

	if (answer != NULL)
		answer->u.report = chunk_copy(text, strlen(text));
	json_object_put(report);
	kernel_message_post(config->kernel, &config->service, query->from, answer);
}

static void
control_receive(config_t *config, const message_t *message, uint64_t now)
{
	const chunk_t *payload = message->u.control.payload;
	spread_message_t *unpacked = NULL;

	if (payload == NULL || spread_message_unpack(payload->data, payload->size,
				   &unpacked) != MASTICPITCH_OK) {
		metrics_add(kernel_metrics(config->kernel), METRIC_PEER_BAD_FRAMES, 1);
		return;
	}
	spread_message_receive(config->spread, message->node, unpacked, now);
	spread_message_release(unpacked);
}

static void
config_receive(void *state, message_t *message)
{
	config_t *config = state;
	uint64_t now = kernel_now(config->kernel);

	switch (message->type) {
	case MESSAGE_CONTROL:
		control_receive(config, message, now);
		break;
	case MESSAGE_CONTROL_FAILED:
		spread_send_failed(config->spread, message->node, now);
		break;
	case MESSAGE_MEMBER:
		spread_member_update(config->spread, &message->u.member, now);
		break;
	case MESSAGE_MEMBER_REMOVED:
		spread_member_remove(config->spread, message->u.member.node, now);
		break;
	case MESSAGE_VERSION_RECEIVED:
		spread_gossip_receive(config->spread, message->node,
		    message->u.version.version, message->u.version.floor, now);
		break;
	case MESSAGE_JOIN_NEEDED:
		join_start(config);
		return;
	case MESSAGE_QUERY:
		if (message->u.query.kind == QUERY_STATUS)
			status_query_answer(config, message);
		return;
	case MESSAGE_LEAVE:
		spread_leave(config->spread, now);
		break;
	default:
		return;
	}
	config_run(config);
}

static int
components_create(config_t *config)
{
	const settings_t *settings = config->settings;
	kernel_t *kernel = config->kernel;
	platform_options_t platform = {.loop = kernel_loop(kernel),
	    .metrics = kernel_metrics(kernel),
	    .dialect = settings->dialect,
	    .url = settings->platform_url,
	    .prefix = settings->platform_prefix};
	spread_options_t spread = {.node = address_to_node_id(&settings->peers),
	    .address = settings->peers,
	    .zone = settings->zone,
	    .link_mbps = (uint32_t)settings->link_mbps,
	    .boot = kernel_boot_id(kernel),
	    .mode = settings->spread,
	    .source = settings->config_source,
	    .watchers = settings->config_watchers,
	    .dialect = settings->dialect,
	    .apply_ns = settings->bounds.apply_ms * NS_PER_MS,
	    .seed = rng_next(kernel_rng(kernel)) ^ kernel_boot_id(kernel)};
	int error =
	    http_client_create(kernel_loop(kernel), CONNECTIONS_MAX, &config->http);

	if (error != MASTICPITCH_OK)
		return error;
	platform.http = config->http;
	error = platform_create(&platform, &config->platform);
	if (error != MASTICPITCH_OK)
		return error;
	return spread_create(&spread, kernel_now(kernel), &config->spread);
}

int
config_create(kernel_t *kernel, const settings_t *settings, config_t **result)
{
	config_t *config = calloc(1, sizeof(*config));
	int error;

	if (config == NULL)
		return MASTICPITCH_E_NOMEM;
	config->kernel = kernel;
	config->settings = settings;
	config->report.log = kernel_log(kernel);
	config->report.metrics = kernel_metrics(kernel);
	list_init(&config->calls);
	document_init(&config->document);
	list_init(&config->service.link);
	config->service.name = "config";
	config->service.state = config;
	config->service.receive = config_receive;
	ev_timer_init(&config->timer, timer_callback, 0.0, 0.0);
	config->timer.data = config;
	ev_timer_init(&config->join_timer, join_timer_callback, 0.0, 0.0);
	config->join_timer.data = config;
	error = components_create(config);
	if (error == MASTICPITCH_OK)
		error = kernel_service_register(kernel, &config->service);
	if (error != MASTICPITCH_OK) {
		config_destroy(config);
		return error;
	}
	ev_timer_start(kernel_loop(kernel), &config->timer);
	*result = config;
	return MASTICPITCH_OK;
}

void
config_destroy(config_t *config)
{
	if (config == NULL)
		return;
	ev_timer_stop(kernel_loop(config->kernel), &config->timer);
	ev_timer_stop(kernel_loop(config->kernel), &config->join_timer);
	kernel_service_unregister(config->kernel, &config->service);
	platform_destroy(config->platform);
	http_client_destroy(config->http);
	LIST_FOREACH_SAFE (node, &config->calls)
		call_free(LIST_ENTRY(node, config_call_t, link));
	spread_destroy(config->spread);
	document_free(&config->document);
	free(config);
}
