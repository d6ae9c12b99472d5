#include "gate_internal.h"

/* Calls/s in the unit of the gauge. */
#define CALLS_PER_MINUTE 60

static void
rate_show(gate_t *gate, const char *message)
{
	uint64_t interval = rate_limit_interval(&gate->rate_limit);
	uint64_t per_min = interval == 0 ? 0 : CALLS_PER_MINUTE * NS_PER_S / interval;

	metrics_set(kernel_metrics(gate->kernel), METRIC_GATE_RATE_LIMIT, per_min);
	log_info(kernel_log(gate->kernel), message,
	    LOG_TEXT("service", gate->backend.service),
	    LOG_TEXT("instance", gate->backend.instance),
	    LOG_NUMBER("calls_per_min", per_min), LOG_NUMBER("running", gate->running),
	    LOG_NUMBER("queued", queue_length(&gate->queue)));
}

bool
gate_rate_admits(const gate_t *gate)
{
	if (gate->naive)
		return true;
	if (!gate->rate_limit.known &&
	    limit_gate_non_uploads(&gate->limit) >= RATE_LIMIT_UNKNOWN_CALLS_MAX)
		return false;
	return rate_limit_next(&gate->rate_limit) <= kernel_now(gate->kernel);
}

uint32_t
gate_rate_concurrency(const gate_t *gate, uint32_t concurrency)
{
	uint64_t interval = rate_limit_interval(&gate->rate_limit);
	double latency_ns = (double)limit_gate_latency_us(&gate->limit) * NS_PER_US;

	if (gate->naive || interval == 0 ||
	    latency_ns >= (double)(concurrency * interval))
		return concurrency;
	/* Little's law: the mean number in service is rate times latency. */
	return MAX_OF((uint32_t)(latency_ns / (double)interval), 1);
}

static void
timer_callback(struct ev_loop *loop, ev_timer *watcher, int events)
{
	gate_t *gate = watcher->data;

	if (gate->rate_changed) {
		gate->rate_changed = false;
		gate_queue_recheck(gate);
	} else {
		gate_queue_run(gate);
	}
}

/*
 * Updates the queue from the event loop, since an answer is read in a callback of
 * libcurl, which must not start another exchange.
 */
static void
queue_update_start(gate_t *gate)
{
	struct ev_loop *loop = kernel_loop(gate->kernel);

	if (gate->naive)
		return;
	gate->rate_changed = true;
	ev_timer_stop(loop, &gate->rate);
	ev_timer_set(&gate->rate, 0.0, 0.0);
	ev_timer_start(loop, &gate->rate);
}

void
gate_rate_timer_start(gate_t *gate)
{
	struct ev_loop *loop = kernel_loop(gate->kernel);
	uint64_t now = kernel_now(gate->kernel);
	uint64_t next = rate_limit_next(&gate->rate_limit);

	if (gate->rate_changed)
		return;
	ev_timer_stop(loop, &gate->rate);
	if (next <= now || queue_length(&gate->queue) == 0)
		return;
	ev_timer_set(&gate->rate, (double)(next - now) / (double)NS_PER_S, 0.0);
	ev_timer_start(loop, &gate->rate);
}

void
gate_rate_open(gate_t *gate)
{
	ev_timer_init(&gate->rate, timer_callback, 0.0, 0.0);
	gate->rate.data = gate;
}

void
gate_rate_close(gate_t *gate)
{
	ev_timer_stop(kernel_loop(gate->kernel), &gate->rate);
}

/* Applies the field; returns true if the queue has to be updated. */
static bool
rate_apply(gate_t *gate, const char *text, uint64_t now)
{
	double per_s;

	if (text == NULL) {
		if (!rate_limit_release(&gate->rate_limit, now))
			return false;
		rate_show(gate, "backend server names no rate limit any more");
		return true;
	}
	if (rate_limit_parse(text, &per_s) != MASTICPITCH_OK) {
		rate_limit_keep(&gate->rate_limit);
		log_warning(kernel_log(gate->kernel),
		    "rate limit is invalid; ignoring it",
		    LOG_TEXT("instance", gate->backend.instance),
		    LOG_TEXT("value", text));
		return false;
	}
	if (!rate_limit_set(&gate->rate_limit, per_s, now))
		return false;
	rate_show(gate, "backend server names a rate limit");
	return true;
}

void
gate_rate_update(gate_t *gate, const char *text)
{
	bool known = gate->rate_limit.known;

	if (rate_apply(gate, text, kernel_now(gate->kernel)) || !known)
		queue_update_start(gate);
}

void
gate_rate_reset(gate_t *gate)
{
	bool limited = gate->rate_limit.limited;

	rate_limit_reset(&gate->rate_limit);
	if (limited)
		rate_show(gate, "rate limit ended with the backend server");
}
