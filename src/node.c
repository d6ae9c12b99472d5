/*
 * Creates the services of a node and runs its shutdown in two stages.
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
#include "quota.h"
#include "readiness.h"
#include "rollout_task.h"
#include "settings.h"

#include <curl/curl.h>
#include <malloc.h>
#include <sodium.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Interval at which a leaving node checks whether its work is done. */
#define SHUTDOWN_POLL_INTERVAL_S 0.02
/*
 * A leaving node stays at least this long: peers that have not yet learned that it is
 * leaving may still send calls, and these must get a refusal.
 */
#define SHUTDOWN_LINGER_NS (500 * NS_PER_MS)
/*
 * Delay between the end of listening and the exit, so that requests on connections
 * accepted just before are answered. Without it, about one request in 2,400 over two
 * planned stops was reset with an unknown outcome.
 */
#define SHUTDOWN_CLOSE_DELAY_NS (100 * NS_PER_MS)

/*
 * Time before the end of the grace period at which requests that are still running are
 * answered without a result.
 */
#define SHUTDOWN_ANSWER_NS (300 * NS_PER_MS)
/* Time for these answers to be sent, also if the process was late. */
#define SHUTDOWN_SEND_NS (100 * NS_PER_MS)

/* Allocations of at least this size use mmap(); half the size of a document. */
#define MEMORY_MMAP_BYTES (32 * 1024)
/* Free bytes that are kept at the top of the heap. */
#define MEMORY_TRIM_BYTES (64 * 1024)

/*
 * A listen address that is in use is tried again for this time from the start on: another
 * node that leaves, or an outgoing connection of another program, may hold it.
 */
#define ADDRESS_RETRY_NS (10 * NS_PER_S)
#define ADDRESS_RETRY_INTERVAL_NS (50 * NS_PER_MS)

struct masticpitch_node {
	settings_t settings;
	char *path;		 /* of the settings file */
	sigset_t signals_before; /* blocked signals of the creating thread */
	kernel_t *kernel;
	membership_t *membership;
	peer_t *peer;
	gate_t *gate;
	entry_t *entry;
	quota_t *quota;
	config_t *config;
	rollout_task_t *rollout;
	operators_t *operators;
	readiness_t *readiness;
	ev_signal reload;
	ev_async stop;
	ev_signal signals[2];
	ev_timer shutdown_poll;
	bool leaving;
	uint64_t grace_deadline;
	size_t stopped_waiting; /* services that got MESSAGE_STOP_WAITING */
	uint64_t send_deadline; /* of the answers to these messages */
	bool listening;
	uint64_t next_stage_at; /* earliest time of the next step of the shutdown */
	uint64_t withdraw_at; /* the instance accepts work from other nodes until then */
	bool withdrawn;
};

/* Creates one service of a node; may be repeated after an error. */
typedef struct start_step {
	const char *key; /* of the settings */
	size_t address;	 /* offset in settings_t */
	int (*create)(masticpitch_node_t *node);
} start_step_t;

/* Services that get MESSAGE_LEAVE when the shutdown begins. */
static const char *const leave_first_services[] = {
    "entry", "peer", "operators", "readiness"};
/*
 * Services that get MESSAGE_LEAVE at withdraw_at. The relay in "config" stops together
 * with "membership": another node assumes the role of relay only after it has learned
 * that this one is leaving, so stopping earlier would leave the zone without a relay.
 */
static const char *const withdraw_services[] = {
    "gate", "membership", "quota", "config", "rollout"};

/*
 * Services that get MESSAGE_STOP_WAITING, one at each poll: the gate's refusals of queued
 * calls reach the entry before the entry ends its requests as possibly run.
 */
static const char *const stop_waiting_services[] = {"gate", "entry"};

static void
services_post_leave(masticpitch_node_t *node, const char *const *names, size_t count)
{
	kernel_t *kernel = node->kernel;

	for (size_t i = 0; i < count; i++)
		kernel_message_post(kernel, NULL, kernel_service_find(kernel, names[i]),
		    message_create(MESSAGE_LEAVE, 0, 0));
}

/*
 * Withdraws the instance from other nodes, once. The backend server of this host keeps
 * running when only the node restarts, so its instance does not leave before the node
 * starts to refuse callers.
 */
static void
node_withdraw(masticpitch_node_t *node)
{
	if (node->withdrawn || kernel_now(node->kernel) < node->withdraw_at)
		return;
	node->withdrawn = true;
	log_info(
	    kernel_log(node->kernel), "shutdown: instance withdrawn from other nodes");
	services_post_leave(node, withdraw_services, ARRAY_LENGTH(withdraw_services));
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
	node->next_stage_at = node->withdraw_at + SHUTDOWN_LINGER_NS;
	log_info(kernel_log(kernel), "shutdown started");
	services_post_leave(
	    node, leave_first_services, ARRAY_LENGTH(leave_first_services));
	node_withdraw(node);
	ev_timer_start(kernel_loop(kernel), &node->shutdown_poll);
}

/* Has the requests answered that will not end within the grace period. */
static void
node_stop_waiting(masticpitch_node_t *node)
{
	kernel_t *kernel = node->kernel;
	uint64_t grace_ns = node->settings.shutdown_grace_ms * NS_PER_MS;

	if (node->stopped_waiting == ARRAY_LENGTH(stop_waiting_services) ||
	    kernel_now(kernel) + MIN_OF(SHUTDOWN_ANSWER_NS, grace_ns / 2) <
		node->grace_deadline)
		return;
	if (node->stopped_waiting == 0)
		log_warning(kernel_log(kernel),
		    "shutdown: grace period ends, running requests get no result");
	kernel_message_post(kernel, NULL,
	    kernel_service_find(kernel, stop_waiting_services[node->stopped_waiting]),
	    message_create(MESSAGE_STOP_WAITING, 0, 0));
	node->stopped_waiting++;
	node->send_deadline = kernel_now(kernel) + SHUTDOWN_SEND_NS;
}

/* A process that was late answers its requests before it ends. */
static bool
node_grace_is_over(const masticpitch_node_t *node, uint64_t now)
{
	return now >= node->grace_deadline &&
	       node->stopped_waiting == ARRAY_LENGTH(stop_waiting_services) &&
	       now >= node->send_deadline;
}

static void
shutdown_poll_callback(struct ev_loop *loop, ev_timer *watcher, int events)
{
	masticpitch_node_t *node = watcher->data;
	uint64_t now = kernel_now(node->kernel);

	if (node_grace_is_over(node, now)) {
		const service_t *busy = kernel_busy_service(node->kernel);

		log_error(kernel_log(node->kernel),
		    "shutdown: grace period expired, running requests are aborted",
		    LOG_TEXT("busy_service", busy != NULL ? busy->name : ""));
		kernel_stop(node->kernel);
		return;
	}
	node_withdraw(node);
	node_stop_waiting(node);
	if (!kernel_is_idle(node->kernel) || now < node->next_stage_at)
		return;
	if (node->listening) {
		node->listening = false;
		node->next_stage_at = now + SHUTDOWN_CLOSE_DELAY_NS;
		kernel_message_post(node->kernel, NULL,
		    kernel_service_find(node->kernel, "entry"),
		    message_create(MESSAGE_STOP_LISTENING, 0, 0));
		return;
	}
	log_info(kernel_log(node->kernel), "shutdown: all requests finished, exiting",
	    LOG_NUMBER("peak_memory_bytes", os_memory_peak()));
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

static void
seeds_post(masticpitch_node_t *node, const settings_t *settings)
{
	kernel_t *kernel = node->kernel;

	for (size_t i = 0; i < settings->seed_count; i++) {
		message_t *message = message_create(MESSAGE_JOIN_ADDRESS, 0, 0);

		if (message != NULL)
			message->u.address = settings->seeds[i];
		kernel_message_post(
		    kernel, NULL, kernel_service_find(kernel, "membership"), message);
	}
}

/*
 * Reads the settings file again and applies what a running node can change: the
 * log level and seeds. Addresses stay as bound, and an invalid file changes nothing.
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
		log_error(log, "settings reload failed, keeping the previous settings",
		    LOG_TEXT("reason", message));
		return;
	}
	log->level = settings.log_level;
	node->settings.log_level = settings.log_level;
	seeds_post(node, &settings);
	log_info(log, "settings reloaded", LOG_TEXT("file", node->path));
}

static void
node_start_watchers(masticpitch_node_t *node)
{
	struct ev_loop *loop = kernel_loop(node->kernel);
	const int signal_numbers[] = {SIGTERM, SIGINT};

	ev_async_init(&node->stop, stop_callback);
	node->stop.data = node;
	ev_async_start(loop, &node->stop);
	for (size_t i = 0; i < ARRAY_LENGTH(signal_numbers); i++) {
		ev_signal_init(&node->signals[i], signal_callback, signal_numbers[i]);
		node->signals[i].data = node;
		ev_signal_start(loop, &node->signals[i]);
	}
	ev_signal_init(&node->reload, reload_callback, SIGHUP);
	node->reload.data = node;
	ev_signal_start(loop, &node->reload);
	ev_timer_init(&node->shutdown_poll, shutdown_poll_callback,
	    SHUTDOWN_POLL_INTERVAL_S, SHUTDOWN_POLL_INTERVAL_S);
	node->shutdown_poll.data = node;
	/* Delivers the signals that came during the start. */
	os_signals_unblock();
}

static void
node_stop_watchers(masticpitch_node_t *node)
{
	struct ev_loop *loop = kernel_loop(node->kernel);

	/* Without its watcher, a signal would end the process. */
	os_signals_block(NULL);
	ev_async_stop(loop, &node->stop);
	ev_timer_stop(loop, &node->shutdown_poll);
	ev_signal_stop(loop, &node->reload);
	for (size_t i = 0; i < ARRAY_LENGTH(node->signals); i++)
		ev_signal_stop(loop, &node->signals[i]);
}

static int
start_operators(masticpitch_node_t *node)
{
	return operators_create(node->kernel, &node->settings, &node->operators);
}

static int
start_peer(masticpitch_node_t *node)
{
	return peer_create(node->kernel, &node->settings, &node->peer);
}

static int
start_membership(masticpitch_node_t *node)
{
	return membership_create(node->kernel, &node->settings, &node->membership);
}

static int
start_rollout(masticpitch_node_t *node)
{
	return rollout_task_create(node->kernel, &node->settings, &node->rollout);
}

static int
start_gate(masticpitch_node_t *node)
{
	return gate_create(node->kernel, &node->settings, &node->gate);
}

static int
start_readiness(masticpitch_node_t *node)
{
	return readiness_create(node->kernel, &node->settings, &node->readiness);
}

static int
start_entry(masticpitch_node_t *node)
{
	return entry_create(node->kernel, &node->settings, &node->entry);
}

static int
start_quota(masticpitch_node_t *node)
{
	return quota_create(node->kernel, &node->settings, &node->quota);
}

static int
start_config(masticpitch_node_t *node)
{
	return config_create(node->kernel, &node->settings, &node->config);
}

/* The services in the order of their creation, with the settings key of their address. */
static const start_step_t start_steps[] = {
    {"listen.operators", offsetof(settings_t, operators), start_operators},
    {"listen.peers", offsetof(settings_t, peers), start_peer},
    {"platform.url", offsetof(settings_t, callers), start_rollout},
    {"listen.peers", offsetof(settings_t, peers), start_membership},
    {"listen.backend_servers", offsetof(settings_t, backend_servers), start_gate},
    {"listen.readiness", offsetof(settings_t, readiness), start_readiness},
    {"listen.callers", offsetof(settings_t, callers), start_entry},
    {"listen.peers", offsetof(settings_t, peers), start_quota},
    {"platform.url", offsetof(settings_t, callers), start_config},
};

/*
 * Creates a service. While its address is in use, tries again until the deadline or a
 * signal to stop. Errors: those of the service, MASTICPITCH_E_CANCELLED.
 */
static int
node_start_service(masticpitch_node_t *node, const start_step_t *step,
    const char *address, uint64_t deadline)
{
	log_t *log = kernel_log(node->kernel);
	int error = step->create(node);

	if (error != MASTICPITCH_E_ADDRESS_IN_USE)
		return error;
	log_warning(log, "address in use, waiting", LOG_TEXT("key", step->key),
	    LOG_TEXT("address", address));
	while (error == MASTICPITCH_E_ADDRESS_IN_USE && os_clock_monotonic() < deadline) {
		os_sleep_until(os_clock_monotonic() + ADDRESS_RETRY_INTERVAL_NS);
		if (os_stop_is_pending())
			return MASTICPITCH_E_CANCELLED;
		error = step->create(node);
	}
	if (error == MASTICPITCH_OK)
		log_info(log, "address is free, start continues",
		    LOG_TEXT("key", step->key), LOG_TEXT("address", address));
	return error;
}

/* Creates the services; message, of that size, describes an error. */
static int
node_start_services(masticpitch_node_t *node, char *message, size_t size)
{
	log_t *log = kernel_log(node->kernel);
	uint64_t deadline = os_clock_monotonic() + ADDRESS_RETRY_NS;
	char address[ADDRESS_TEXT_BYTES];
	int error = MASTICPITCH_OK;

	for (size_t i = 0; i < ARRAY_LENGTH(start_steps); i++) {
		const start_step_t *step = &start_steps[i];

		address_format(
		    (const address_t *)((const char *)&node->settings + step->address),
		    address);
		error = node_start_service(node, step, address, deadline);
		if (error == MASTICPITCH_E_CANCELLED) {
			log_info(log, "shutdown: stopped during the start");
			break;
		}
		if (error != MASTICPITCH_OK) {
			snprintf(message, size, "%s: %s: %s: %s", node->path, step->key,
			    address, masticpitch_strerror(error));
			log_error(log, "node start failed", LOG_TEXT("key", step->key),
			    LOG_TEXT("address", address),
			    LOG_TEXT("reason", masticpitch_strerror(error)));
			break;
		}
	}
	return error;
}

/*
 * Reduces memory use, as hosts are small: blocks of the size of a configuration return
 * to the system when they are freed, and libcurl skips the setup of TLS, which this
 * program does not use.
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
	uint64_t seed;
	int error;

	if (node == NULL)
		return MASTICPITCH_E_NOMEM;
	os_signals_block(&node->signals_before);
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
	error = node_start_services(node, message, size);
	if (error != MASTICPITCH_OK)
		goto fail;
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
	rollout_task_destroy(node->rollout);
	readiness_destroy(node->readiness);
	entry_destroy(node->entry);
	quota_destroy(node->quota);
	gate_destroy(node->gate);
	membership_destroy(node->membership);
	peer_destroy(node->peer);
	operators_destroy(node->operators);
	if (node->kernel != NULL)
		node_stop_watchers(node);
	kernel_destroy(node->kernel);
	os_signals_restore(&node->signals_before);
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
