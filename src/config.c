/*
 * Thin configuration service: reads the head from the platform at an interval
 * and puts each newer valid version in force.
 */
#include "config.h"

#include "http_client.h"
#include "os.h"
#include "platform.h"
#include "record.h"
#include "snapshot.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define POLL_S 0.25
#define CONNECTIONS_MAX 4

struct config {
	kernel_t *kernel;
	const settings_t *settings;
	service_t service;
	http_client_t *http;
	platform_t *platform;
	ev_timer poll;
	record_head_t *head;	/* in force, or NULL */
	record_head_t *pending; /* whose parts are being read, or NULL */
	record_parts_t parts;
	digest_t missing[RECORD_PARTS_MAX];
	size_t missing_count;
	snapshot_t *snapshot;
	bool busy;
};

static void part_request(config_t *config);

static uint64_t
call_deadline(const config_t *config)
{
	return kernel_now(config->kernel) + config->settings->platform_timeout_ms * NS_PER_MS;
}

static void
snapshot_announce(config_t *config)
{
	const char *const names[] = {"entry", "gate", "operators"};
	message_t *message = message_create(MESSAGE_VERSION, 0, 0);

	for (size_t i = 0; i < ARRAY_LENGTH(names); i++) {
		message_t *copy = message_create(MESSAGE_SNAPSHOT, 0, 0);

		if (copy != NULL)
			copy->u.snapshot = snapshot_hold(config->snapshot);
		kernel_message_post(config->kernel, &config->service,
		    kernel_service_find(config->kernel, names[i]), copy);
	}
	if (message != NULL)
		message->u.version.version = config->snapshot->version;
	kernel_message_post(config->kernel, &config->service,
	    kernel_service_find(config->kernel, "membership"), message);
	metrics_set(
	    kernel_metrics(config->kernel), METRIC_CONFIG_VERSION, config->snapshot->version);
	metrics_add(kernel_metrics(config->kernel), METRIC_CONFIG_APPLIED, 1);
	log_info(kernel_log(config->kernel), "configuration in force",
	    LOG_NUMBER("version", config->snapshot->version),
	    LOG_TEXT("preset", config->snapshot->preset_name));
}

static void
pending_apply(config_t *config)
{
	char message[MASTICPITCH_MESSAGE_MAX];
	preset_t *preset = NULL;
	snapshot_t *snapshot;

	if (record_check(config->pending, config->head, &config->parts, &preset, message,
		sizeof(message)) != MASTICPITCH_OK) {
		metrics_add(kernel_metrics(config->kernel), METRIC_CONFIG_REFUSED, 1);
		log_warning(kernel_log(config->kernel), "record refused",
		    LOG_TEXT("reason", message));
		free(config->pending);
	} else if ((snapshot = snapshot_create(config->pending->version,
			config->pending->in_force, preset)) != NULL) {
		free(config->head);
		config->head = config->pending;
		snapshot_release(config->snapshot);
		config->snapshot = snapshot;
		snapshot_announce(config);
	}
	config->pending = NULL;
	config->busy = false;
}

static void
part_done(void *state, const platform_answer_t *answer)
{
	config_t *config = state;
	chunk_t *content;

	if (answer->outcome != PLATFORM_OK) {
		free(config->pending);
		config->pending = NULL;
		config->busy = false;
		return;
	}
	content = chunk_copy(answer->value, answer->size);
	if (content != NULL)
		record_parts_add(&config->parts, content);
	chunk_release(content);
	config->missing_count--;
	part_request(config);
}

static void
part_request(config_t *config)
{
	char key[PLATFORM_KEY_BYTES] = "part/";

	if (config->missing_count == 0) {
		pending_apply(config);
		return;
	}
	digest_format(&config->missing[config->missing_count - 1], key + strlen(key));
	platform_get(
	    config->platform, key, call_deadline(config), part_done, config, NULL);
}

static void
head_done(void *state, const platform_answer_t *answer)
{
	config_t *config = state;
	char message[MASTICPITCH_MESSAGE_MAX];
	record_head_t *head = NULL;

	config->busy = false;
	if (answer->outcome != PLATFORM_OK ||
	    record_head_parse(answer->value, answer->size, &head, message,
		sizeof(message)) != MASTICPITCH_OK)
		return;
	if (config->head != NULL && head->version <= config->head->version) {
		free(head);
		return;
	}
	config->busy = true;
	config->pending = head;
	record_parts_retain(&config->parts, config->head, head);
	config->missing_count = record_parts_missing(&config->parts, head, config->missing);
	part_request(config);
}

static void
poll_callback(struct ev_loop *loop, ev_timer *watcher, int events)
{
	config_t *config = watcher->data;

	if (config->busy)
		return;
	config->busy = platform_get(config->platform, "head", call_deadline(config),
			   head_done, config, NULL) == MASTICPITCH_OK;
}

static void
status_report(config_t *config, const message_t *query)
{
	char text[512];
	bool reachable = platform_health(config->platform).reachable;
	int size = snprintf(text, sizeof(text),
	    "{\"version\":%llu,\"preset\":\"%s\",\"version_age_ms\":0,\"relay\":false,"
	    "\"platform\":{\"reachable\":%s,\"regressed\":false}}",
	    (unsigned long long)(config->snapshot != NULL ? config->snapshot->version : 0),
	    config->snapshot != NULL ? config->snapshot->preset_name : "none",
	    reachable ? "true" : "false");
	message_t *message = message_create(MESSAGE_REPORT, 0, query->stream);

	if (message != NULL)
		message->u.report = chunk_copy(text, (size_t)size);
	kernel_message_post(config->kernel, &config->service, query->from, message);
}

static void
config_receive(void *state, message_t *message)
{
	if (message->type == MESSAGE_QUERY)
		status_report(state, message);
}

int
config_create(kernel_t *kernel, const settings_t *settings, config_t **result)
{
	config_t *config = calloc(1, sizeof(*config));
	platform_options_t options = {.loop = kernel_loop(kernel),
	    .metrics = kernel_metrics(kernel),
	    .url = settings->platform_url,
	    .prefix = settings->platform_prefix};
	int error;

	if (config == NULL)
		return MASTICPITCH_E_NOMEM;
	config->kernel = kernel;
	config->settings = settings;
	record_parts_init(&config->parts);
	list_init(&config->service.link);
	config->service.name = "config";
	config->service.state = config;
	config->service.receive = config_receive;
	ev_timer_init(&config->poll, poll_callback, 0., POLL_S);
	config->poll.data = config;
	error = http_client_create(kernel_loop(kernel), CONNECTIONS_MAX, &config->http);
	options.http = config->http;
	if (error == MASTICPITCH_OK)
		error = platform_create(&options, &config->platform);
	if (error == MASTICPITCH_OK)
		error = kernel_service_register(kernel, &config->service);
	if (error != MASTICPITCH_OK) {
		config_destroy(config);
		return error;
	}
	ev_timer_start(kernel_loop(kernel), &config->poll);
	*result = config;
	return MASTICPITCH_OK;
}

void
config_destroy(config_t *config)
{
	if (config == NULL)
		return;
	ev_timer_stop(kernel_loop(config->kernel), &config->poll);
	kernel_service_unregister(config->kernel, &config->service);
	platform_destroy(config->platform);
	http_client_destroy(config->http);
	snapshot_release(config->snapshot);
	record_parts_clear(&config->parts);
	free(config->head);
	free(config->pending);
	free(config);
}
