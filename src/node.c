/*
 * Puts the services of a node together and runs the two-stage shutdown.
 */
#include "masticpitch/masticpitch.h"

#include "config.h"
#include "entry.h"
#include "gate.h"
#include "kernel.h"
#include "membership.h"
#include "operators.h"
#include "os.h"
#include "peer.h"
#include "preset.h"
#include "readiness.h"
#include "settings.h"

#include <curl/curl.h>
#include <malloc.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* How often a leaving node looks whether its work is done. */
#define SHUTDOWN_POLL_S 0.02
/*
 * A leaving node stays at least this long, so that late calls of peers that
 * have not heard of it yet get a true refusal.
 */
#define SHUTDOWN_LINGER_NS (500 * NS_PER_MS)
/*
 * Between the end of listening and the exit: requests on connections that were
 * made just before get their answer. Without this step one request in some
 * 2,400 over two planned stops was reset and its outcome unknown.
 */
#define SHUTDOWN_CLOSE_NS (100 * NS_PER_MS)

/* Blocks from this size on are mapped one by one; half of a document's size. */
#define MEMORY_MMAP_BYTES (32 * 1024)
/* Free bytes at the end of the heap that are kept. */
#define MEMORY_TRIM_BYTES (64 * 1024)

struct masticpitch_node {
	settings_t settings;
	char *path; /* of the settings file */
	kernel_t *kernel;
	membership_t *membership;
	peer_t *peer;
	gate_t *gate;
	entry_t *entry;
	config_t *config;
	operators_t *operators;
	readiness_t *readiness;
	ev_signal reload;
	ev_async stop;
	ev_signal signals[2];
	ev_timer shutdown_poll;
	bool leaving;
	uint64_t grace_deadline;
	bool listening;
	uint64_t next_stage;  /* earliest time of the next step of the shutdown */
	uint64_t withdraw_at; /* the instance takes other nodes' work until then */
	bool withdrawn;
};

/* The services that are told of a shutdown when it begins, and at withdraw_at. */
static const char *const first_names[] = {"entry", "peer", "operators", "readiness"};
/*
 * A relay stops with its membership: the others take its part once they hear that it
 * leaves, so a relay that stopped before would leave its zone without one.
 */
static const char *const withdraw_names[] = {"gate", "membership", "config"};

static void
leave_post(masticpitch_node_t *node, const char *const *names, size_t count)
{
	kernel_t *kernel = node->kernel;

	for (size_t i = 0; i < count; i++)
		kernel_message_post(kernel, NULL, kernel_service_find(kernel, names[i]),
		    message_create(MESSAGE_LEAVE, 0, 0));
}

/*
 * The backend server of this host goes on when only the node is restarted: its
 * instance leaves no earlier than callers are turned away.
 */
static void
node_withdraw(masticpitch_node_t *node)
{
	if (node->withdrawn || kernel_now(node->kernel) < node->withdraw_at)
		return;
	node->withdrawn = true;
	log_info(kernel_log(node->kernel), "leaving: the instance is withdrawn");
	leave_post(node, withdraw_names, ARRAY_LENGTH(withdraw_names));
}

static void
node_begin_leaving(masticpitch_node_t *node)
{
	kernel_t *kernel = node->kernel;

	if (node->leaving)
		return;
	node->leaving = true;
	node->grace_deadline =
	    kernel_now(kernel) + node->settings.shutdown_grace_ms * NS_PER_MS;
	node->withdraw_at =
	    kernel_now(kernel) + node->settings.shutdown_accept_ms * NS_PER_MS;
	node->next_stage = node->withdraw_at + SHUTDOWN_LINGER_NS;
	log_info(kernel_log(kernel), "leaving: taking no new work");
	leave_post(node, first_names, ARRAY_LENGTH(first_names));
	node_withdraw(node);
	ev_timer_start(kernel_loop(kernel), &node->shutdown_poll);
}

static void
shutdown_poll_callback(struct ev_loop *loop, ev_timer *watcher, int events)
{
	masticpitch_node_t *node = watcher->data;
	uint64_t now = kernel_now(node->kernel);

	if (now >= node->grace_deadline) {
		log_error(
		    kernel_log(node->kernel), "grace period over: running work is cut");
		kernel_stop(node->kernel);
		return;
	}
	node_withdraw(node);
	if (!kernel_is_idle(node->kernel) || now < node->next_stage)
		return;
	if (node->listening) {
		node->listening = false;
		node->next_stage = now + SHUTDOWN_CLOSE_NS;
		kernel_message_post(node->kernel, NULL,
		    kernel_service_find(node->kernel, "entry"),
		    message_create(MESSAGE_STOP_LISTENING, 0, 0));
		return;
	}
	log_info(kernel_log(node->kernel), "left: all work is finished");
	kernel_stop(node->kernel);
}

static void
stop_callback(struct ev_loop *loop, ev_async *watcher, int events)
{
	node_begin_leaving(watcher->data);
}

static void
signal_callback(struct ev_loop *loop, ev_signal *watcher, int events)
{
	node_begin_leaving(watcher->data);
}

/*
 * Reads the settings file again. What a running node can take over is taken
 * over: the log level. Addresses stay as they were bound, and a file with a
 * fault changes nothing.
 */
static void
reload_callback(struct ev_loop *loop, ev_signal *watcher, int events)
{
	masticpitch_node_t *node = watcher->data;
	log_t *log = kernel_log(node->kernel);
	char message[MASTICPITCH_MESSAGE_MAX];
	settings_t settings;

	if (settings_load(node->path, &settings, message, sizeof(message)) !=
	    MASTICPITCH_OK) {
		log_error(log, "reload refused", LOG_TEXT("reason", message));
		return;
	}
	log->level = settings.log_level;
	node->settings.log_level = settings.log_level;
	log_info(log, "settings reloaded", LOG_TEXT("file", node->path));
}

static void
node_start_watchers(masticpitch_node_t *node)
{
	struct ev_loop *loop = kernel_loop(node->kernel);
	const int numbers[] = {SIGTERM, SIGINT};

	ev_async_init(&node->stop, stop_callback);
	node->stop.data = node;
	ev_async_start(loop, &node->stop);
	for (size_t i = 0; i < ARRAY_LENGTH(numbers); i++) {
		ev_signal_init(&node->signals[i], signal_callback, numbers[i]);
		node->signals[i].data = node;
		ev_signal_start(loop, &node->signals[i]);
	}
	ev_signal_init(&node->reload, reload_callback, SIGHUP);
	node->reload.data = node;
	ev_signal_start(loop, &node->reload);
	ev_timer_init(&node->shutdown_poll, shutdown_poll_callback, SHUTDOWN_POLL_S,
	    SHUTDOWN_POLL_S);
	node->shutdown_poll.data = node;
}

static void
node_stop_watchers(masticpitch_node_t *node)
{
	struct ev_loop *loop = kernel_loop(node->kernel);

	ev_async_stop(loop, &node->stop);
	ev_timer_stop(loop, &node->shutdown_poll);
	ev_signal_stop(loop, &node->reload);
	for (size_t i = 0; i < ARRAY_LENGTH(node->signals); i++)
		ev_signal_stop(loop, &node->signals[i]);
}

/* Creates the services; *what names the one that failed. */
static int
node_create_services(
    masticpitch_node_t *node, const char **what, const address_t **address)
{
	settings_t *settings = &node->settings;
	int error;

	*what = "listen.operators";
	*address = &settings->operators;
	error = operators_create(node->kernel, settings, &node->operators);
	if (error != MASTICPITCH_OK)
		return error;
	*what = "listen.peers";
	*address = &settings->peers;
	error = peer_create(node->kernel, settings, &node->peer);
	if (error == MASTICPITCH_OK)
		error = membership_create(node->kernel, settings, &node->membership);
	if (error != MASTICPITCH_OK)
		return error;
	*what = "listen.backend_servers";
	*address = &settings->backend_servers;
	error = gate_create(node->kernel, settings, &node->gate);
	if (error != MASTICPITCH_OK)
		return error;
	*what = "listen.readiness";
	*address = &settings->readiness;
	error = readiness_create(node->kernel, settings, &node->readiness);
	if (error != MASTICPITCH_OK)
		return error;
	*what = "listen.callers";
	*address = &settings->callers;
	error = entry_create(node->kernel, settings, &node->entry);
	if (error != MASTICPITCH_OK)
		return error;
	*what = "platform.url";
	return config_create(node->kernel, settings, &node->config);
}

/*
 * Hosts are small: blocks of a configuration's size go back to the system when
 * they are freed, and libcurl does not set up TLS, which no call here uses.
 */
static void
memory_tune(void)
{
	mallopt(M_MMAP_THRESHOLD, MEMORY_MMAP_BYTES);
	mallopt(M_TRIM_THRESHOLD, MEMORY_TRIM_BYTES);
	(void)curl_global_init(CURL_GLOBAL_NOTHING);
}

int
masticpitch_node_create(
    const char *settings_path, masticpitch_node_t **result, char *message, size_t size)
{
	masticpitch_node_t *node = calloc(1, sizeof(*node));
	const address_t *address;
	const char *what;
	char text[ADDRESS_TEXT_BYTES];
	uint64_t seed;
	int error;

	if (node == NULL)
		return MASTICPITCH_E_NOMEM;
	memory_tune();
	node->path = strdup(settings_path);
	if (node->path == NULL) {
		error = MASTICPITCH_E_NOMEM;
		goto fail;
	}
	error = settings_load(settings_path, &node->settings, message, size);
	if (error != MASTICPITCH_OK)
		goto fail;
	randombytes_buf(&seed, sizeof(seed));
	error = kernel_create(seed, &node->kernel);
	if (error != MASTICPITCH_OK) {
		snprintf(message, size, "%s", masticpitch_strerror(error));
		goto fail;
	}
	kernel_log(node->kernel)->level = node->settings.log_level;
	log_set_nonblocking(kernel_log(node->kernel));
	address_format(&node->settings.peers, kernel_log(node->kernel)->node);
	error = node_create_services(node, &what, &address);
	if (error != MASTICPITCH_OK) {
		address_format(address, text);
		snprintf(message, size, "%s: %s: %s: %s", settings_path, what, text,
		    masticpitch_strerror(error));
		log_error(kernel_log(node->kernel), "start failed", LOG_TEXT("key", what),
		    LOG_TEXT("address", text),
		    LOG_TEXT("reason", masticpitch_strerror(error)));
		goto fail;
	}
	node->listening = true;
	node_start_watchers(node);
	*result = node;
	return MASTICPITCH_OK;
fail:
	masticpitch_node_destroy(node);
	return error;
}

int
masticpitch_node_run(masticpitch_node_t *node)
{
	char text[ADDRESS_TEXT_BYTES];

	address_format(&node->settings.callers, text);
	log_info(kernel_log(node->kernel), "node started",
	    LOG_TEXT("zone", node->settings.zone), LOG_TEXT("callers", text),
	    LOG_TEXT("version", masticpitch_version()));
	kernel_run(node->kernel);
	return MASTICPITCH_OK;
}

void
masticpitch_node_stop(masticpitch_node_t *node)
{
	ev_async_send(kernel_loop(node->kernel), &node->stop);
}

void
masticpitch_node_destroy(masticpitch_node_t *node)
{
	if (node == NULL)
		return;
	config_destroy(node->config);
	readiness_destroy(node->readiness);
	entry_destroy(node->entry);
	gate_destroy(node->gate);
	membership_destroy(node->membership);
	peer_destroy(node->peer);
	operators_destroy(node->operators);
	if (node->kernel != NULL)
		node_stop_watchers(node);
	kernel_destroy(node->kernel);
	free(node->path);
	free(node);
}

int
masticpitch_settings_check(const char *path, char *message, size_t size)
{
	settings_t settings;

	return settings_load(path, &settings, message, size);
}

int
masticpitch_preset_check(const char *path, char *message, size_t size)
{
	char reason[MASTICPITCH_MESSAGE_MAX];
	preset_t *preset = NULL;
	char *text = NULL;
	size_t length;
	int error = file_read(path, PRESET_TEXT_MAX_BYTES, &text, &length);

	if (error != MASTICPITCH_OK) {
		snprintf(message, size, "%s: cannot be read: %s", path,
		    masticpitch_strerror(error));
		return error;
	}
	error = preset_parse(text, length, &preset, reason, sizeof(reason));
	if (error != MASTICPITCH_OK)
		snprintf(message, size, "%s: %s", path, reason);
	preset_release(preset);
	free(text);
	return error;
}
