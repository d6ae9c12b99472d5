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

void
gate_rate_update(gate_t *gate, const char *text)
{
	uint64_t now = kernel_now(gate->kernel);
	double per_s;

	if (text == NULL) {
		if (rate_limit_release(&gate->rate_limit, now))
			rate_show(gate, "backend server names no rate limit any more");
		return;
	}
	if (rate_limit_parse(text, &per_s) != MASTICPITCH_OK) {
		log_warning(kernel_log(gate->kernel),
		    "rate limit is invalid; ignoring it",
		    LOG_TEXT("instance", gate->backend.instance),
		    LOG_TEXT("value", text));
		return;
	}
	if (rate_limit_set(&gate->rate_limit, per_s, now))
		rate_show(gate, "backend server names a rate limit");
}

void
gate_rate_reset(gate_t *gate)
{
	if (!gate->rate_limit.limited)
		return;
	rate_limit_reset(&gate->rate_limit);
	rate_show(gate, "rate limit ended with the backend server");
}
