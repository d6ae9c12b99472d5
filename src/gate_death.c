#include "gate_internal.h"

#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

static void
crash_report_post(
    gate_t *gate, const char *service, uint64_t fingerprint, uint64_t death, bool cleared)
{
	message_t *message = message_create(MESSAGE_CRASH_REPORT, 0, 0);

	if (message != NULL) {
		message->u.crash_report.fingerprint = fingerprint;
		message->u.crash_report.death = death;
		message->u.crash_report.cleared = cleared;
	}
	kernel_message_post(gate->kernel, &gate->service,
	    kernel_service_find(gate->kernel, service), message);
}

void
gate_crash_start(gate_call_t *call)
{
	if (call->head->fingerprint == 0)
		return;
	quarantine_start(call->gate->quarantine, call->head->fingerprint);
	call->fingerprint_in_flight = true;
}

static void
fingerprint_end(gate_t *gate, uint64_t fingerprint, bool success)
{
	if (!quarantine_end(gate->quarantine, fingerprint, success))
		return;
	crash_report_post(gate, "membership", fingerprint, 0, true);
	crash_report_post(gate, "entry", fingerprint, 0, true);
}

void
gate_crash_end(gate_call_t *call, bool answered)
{
	if (!call->fingerprint_in_flight)
		return;
	call->fingerprint_in_flight = false;
	fingerprint_end(call->gate, call->head->fingerprint, answered);
}

static void
probe_stop(gate_t *gate)
{
	if (gate->probe_fd < 0)
		return;
	ev_io_stop(kernel_loop(gate->kernel), &gate->probe);
	ev_timer_stop(kernel_loop(gate->kernel), &gate->probe_deadline);
	close(gate->probe_fd);
	gate->probe_fd = -1;
}

static void
probes_end(gate_t *gate)
{
	probe_stop(gate);
	ev_timer_stop(kernel_loop(gate->kernel), &gate->probe_pause);
	gate->probes_open = 0;
}

/* The port is open: the exchanges did not break because of a crash. */
static void
broken_exchanges_clear(gate_t *gate)
{
	for (size_t i = 0; i < gate->broken_count; i++)
		fingerprint_end(gate, gate->broken_exchanges[i], false);
	gate->broken_count = 0;
}

static void
probe_finish(gate_t *gate, bool listens)
{
	probe_stop(gate);
	if (!listens) {
		gate_backend_crashed(
		    gate, "connections were reset and the port is closed");
		return;
	}
	if (++gate->probes_open < GATE_PROBE_COUNT) {
		ev_timer_set(
		    &gate->probe_pause, (double)GATE_PROBE_PAUSE_MS / 1000.0, 0.0);
		ev_timer_start(kernel_loop(gate->kernel), &gate->probe_pause);
		return;
	}
	probes_end(gate);
	broken_exchanges_clear(gate);
}

static void
probe_callback(struct ev_loop *loop, ev_io *watcher, int events)
{
	gate_t *gate = watcher->data;
	int error = 0;
	socklen_t size = sizeof(error);

	if (getsockopt(gate->probe_fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0)
		error = 1;
	probe_finish(gate, error == 0);
}

/* A timeout does not prove a crash, so the port counts as open. */
static void
probe_deadline_callback(struct ev_loop *loop, ev_timer *watcher, int events)
{
	probe_finish(watcher->data, true);
}

static void
probe_start(gate_t *gate)
{
	if (gate->probe_fd >= 0 || !gate->backend.live)
		return;
	ev_timer_stop(kernel_loop(gate->kernel), &gate->probe_pause);
	if (os_socket_connect(&gate->backend.address, 0, &gate->probe_fd) !=
	    MASTICPITCH_OK) {
		gate->probe_fd = -1;
		gate_backend_crashed(
		    gate, "connections were reset and the port is closed");
		return;
	}
	ev_io_set(&gate->probe, gate->probe_fd, EV_WRITE);
	ev_io_start(kernel_loop(gate->kernel), &gate->probe);
	ev_timer_set(
	    &gate->probe_deadline, (double)GATE_CONNECT_TIMEOUT_MS / 1000.0, 0.0);
	ev_timer_start(kernel_loop(gate->kernel), &gate->probe_deadline);
}

static void
probe_pause_callback(struct ev_loop *loop, ev_timer *watcher, int events)
{
	probe_start(watcher->data);
}

void
gate_crash_check(gate_call_t *call)
{
	gate_t *gate = call->gate;

	if (call->fingerprint_in_flight && gate->broken_count < GATE_BROKEN_MAX) {
		call->fingerprint_in_flight = false;
		gate->broken_exchanges[gate->broken_count++] = call->head->fingerprint;
	}
	gate->probes_open = 0;
	probe_start(gate);
}

/* Logs the fingerprint, so that operators can identify the refused request. */
static void
crash_log(gate_t *gate, const char *event, uint64_t fingerprint, uint64_t crash_id)
{
	char fingerprint_text[17], crash_id_text[17];

	snprintf(fingerprint_text, sizeof(fingerprint_text), "%016llx",
	    (unsigned long long)fingerprint);
	snprintf(crash_id_text, sizeof(crash_id_text), "%016llx",
	    (unsigned long long)crash_id);
	log_warning(kernel_log(gate->kernel), event,
	    LOG_TEXT("fingerprint", fingerprint_text), LOG_TEXT("death", crash_id_text));
}

void
gate_backend_crashed(gate_t *gate, const char *cause)
{
	uint64_t fingerprints[QUARANTINE_IN_FLIGHT_MAX];
	uint64_t crash_id = rng_next(kernel_rng(gate->kernel));
	uint64_t now = kernel_now(gate->kernel);
	size_t count;

	probes_end(gate);
	gate->broken_count = 0;
	count =
	    quarantine_crash(gate->quarantine, fingerprints, ARRAY_LENGTH(fingerprints));
	for (size_t i = 0; i < count; i++) {
		crash_log(gate, "request was running on a backend server that crashed",
		    fingerprints[i], crash_id);
		quarantine_report(gate->quarantine, fingerprints[i], crash_id, now);
		crash_report_post(gate, "membership", fingerprints[i], crash_id, false);
		crash_report_post(gate, "entry", fingerprints[i], crash_id, false);
	}
	/* Calls of the crashed process must not be removed from its successor's set. */
	LIST_FOREACH (node, &gate->calls)
		LIST_ENTRY(node, gate_call_t, link)->fingerprint_in_flight = false;
	if (gate->backend.live)
		metrics_add(kernel_metrics(gate->kernel), METRIC_BACKEND_DEATHS, 1);
	gate_backend_drop(gate, cause);
}

void
gate_crash_receive(gate_t *gate, const message_t *message)
{
	uint64_t fingerprint = message->u.crash_report.fingerprint;

	crash_log(gate,
	    message->u.crash_report.cleared ? "crash reports withdrawn"
					    : "crash report received",
	    fingerprint, message->u.crash_report.death);
	if (message->u.crash_report.cleared)
		quarantine_clear(gate->quarantine, fingerprint);
	else
		quarantine_report(gate->quarantine, fingerprint,
		    message->u.crash_report.death, kernel_now(gate->kernel));
}

void
gate_crash_init(gate_t *gate)
{
	gate->probe_fd = -1;
	ev_io_init(&gate->probe, probe_callback, -1, EV_WRITE);
	gate->probe.data = gate;
	ev_timer_init(&gate->probe_deadline, probe_deadline_callback, 0.0, 0.0);
	gate->probe_deadline.data = gate;
	ev_timer_init(&gate->probe_pause, probe_pause_callback, 0.0, 0.0);
	gate->probe_pause.data = gate;
}

void
gate_crash_close(gate_t *gate)
{
	probes_end(gate);
}
