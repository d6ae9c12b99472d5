#include "metrics.h"

#include "os.h"
#include "util.h"

#include <string.h>

#ifndef MASTICPITCH_REVISION
#define MASTICPITCH_REVISION "unknown"
#endif

typedef struct metric_row {
	const char *kind;
	const char *name;
	const char *help;
} metric_row_t;

#define COUNTER "counter"
#define GAUGE "gauge"

static const metric_row_t rows[METRIC_COUNT] = {
#define METRIC(symbol, kind, name, help) {kind, name, help},
#include "metric.def"
#undef METRIC
};

static const char *const histogram_names[HISTOGRAM_COUNT] = {
    "request_duration_seconds",
    "queue_wait_seconds",
    "backend_duration_seconds",
    "platform_duration_seconds",
};

void
metrics_add(metrics_t *metrics, metric_t metric, uint64_t amount)
{
	metrics->values[metric] += amount;
}

void
metrics_set(metrics_t *metrics, metric_t metric, uint64_t value)
{
	metrics->values[metric] = value;
}

void
metrics_refusal_add(metrics_t *metrics, reason_t reason)
{
	INVARIANT((unsigned)reason < REASON_COUNT);
	metrics->refusals[reason]++;
}

void
metrics_gate_refusal_add(metrics_t *metrics, reason_t reason, uint32_t rank)
{
	INVARIANT((unsigned)reason < REASON_COUNT);
	metrics->gate_refusals[order_band(rank)][reason]++;
}

void
metrics_retry_add(metrics_t *metrics, reason_t reason)
{
	INVARIANT((unsigned)reason < REASON_COUNT);
	metrics->retries[reason]++;
}

static size_t
histogram_bucket(uint64_t us)
{
	unsigned power;
	size_t bucket;

	if (us < HISTOGRAM_SUB_BUCKETS)
		return (size_t)us;
	power = 63U - (unsigned)__builtin_clzll(us);
	bucket = (size_t)(power - 2) * HISTOGRAM_SUB_BUCKETS +
		 (size_t)((us >> (power - 3)) - HISTOGRAM_SUB_BUCKETS);
	return MIN_OF(bucket, (size_t)HISTOGRAM_BUCKETS - 1);
}

/* The exclusive upper bound of the bucket, us. */
static uint64_t
histogram_bucket_end(size_t bucket)
{
	size_t power;

	if (bucket < HISTOGRAM_SUB_BUCKETS)
		return bucket + 1;
	power = bucket / HISTOGRAM_SUB_BUCKETS + 2;
	return (uint64_t)(HISTOGRAM_SUB_BUCKETS + bucket % HISTOGRAM_SUB_BUCKETS + 1)
	       << (power - 3);
}

void
metrics_observe(metrics_t *metrics, metric_histogram_t which, uint64_t duration_ns)
{
	histogram_t *histogram = &metrics->histograms[which];
	uint64_t us = duration_ns / NS_PER_US;

	histogram->count++;
	histogram->sum_us += us;
	histogram->buckets[histogram_bucket(us)]++;
}

uint64_t
histogram_quantile(const histogram_t *histogram, double quantile)
{
	uint64_t rank = (uint64_t)((double)histogram->count * quantile);
	uint64_t cumulative = 0;

	if (histogram->count == 0)
		return 0;
	for (size_t i = 0; i < HISTOGRAM_BUCKETS; i++) {
		cumulative += histogram->buckets[i];
		if (cumulative > rank || cumulative == histogram->count)
			return histogram_bucket_end(i);
	}
	return histogram_bucket_end(HISTOGRAM_BUCKETS - 1);
}

static int
histogram_format(const histogram_t *histogram, const char *name, buffer_t *text)
{
	uint64_t cumulative = 0;
	int error;

	error = buffer_printf(text, "# TYPE masticpitch_%s histogram\n", name);
	for (size_t i = 0; error == MASTICPITCH_OK && i < HISTOGRAM_BUCKETS; i++) {
		cumulative += histogram->buckets[i];
		if (histogram->buckets[i] == 0)
			continue;
		error = buffer_printf(text, "masticpitch_%s_bucket{le=\"%.6f\"} %llu\n",
		    name, (double)histogram_bucket_end(i) / 1e6,
		    (unsigned long long)cumulative);
	}
	if (error == MASTICPITCH_OK)
		error = buffer_printf(text,
		    "masticpitch_%s_bucket{le=\"+Inf\"} %llu\n"
		    "masticpitch_%s_sum %.6f\nmasticpitch_%s_count %llu\n",
		    name, (unsigned long long)histogram->count, name,
		    (double)histogram->sum_us / 1e6, name,
		    (unsigned long long)histogram->count);
	return error;
}

static int
reasons_format(const uint64_t counts[REASON_COUNT], const char *name, const char *help,
    buffer_t *text)
{
	int error = buffer_printf(text,
	    "# HELP masticpitch_%s %s\n# TYPE masticpitch_%s counter\n", name, help,
	    name);

	for (int i = 1; error == MASTICPITCH_OK && i < REASON_COUNT; i++)
		error = buffer_printf(text, "masticpitch_%s{reason=\"%s\"} %llu\n", name,
		    reason_text((reason_t)i), (unsigned long long)counts[i]);
	return error;
}

/* Only counters above 0: most reasons concern few ranks. */
static int
gate_refusals_format(const metrics_t *metrics, buffer_t *text)
{
	int error = buffer_printf(text,
	    "# HELP masticpitch_gate_refusals_total calls refused by the gate, by "
	    "priority of workspace and route\n"
	    "# TYPE masticpitch_gate_refusals_total counter\n");

	for (unsigned i = 0; i < ORDER_BANDS * REASON_COUNT; i++) {
		unsigned band = i / REASON_COUNT;
		reason_t reason = (reason_t)(i % REASON_COUNT);
		uint64_t count = metrics->gate_refusals[band][reason];

		if (error != MASTICPITCH_OK || count == 0)
			continue;
		error = buffer_printf(text,
		    "masticpitch_gate_refusals_total{reason=\"%s\",priority=\"%s\"} "
		    "%llu\n",
		    reason_text(reason), order_band_text(band),
		    (unsigned long long)count);
	}
	return error;
}

int
metrics_format(const metrics_t *metrics, buffer_t *text)
{
	int error = buffer_printf(text,
	    "# TYPE masticpitch_build_info gauge\n"
	    "masticpitch_build_info{version=\"%s\",revision=\"%s\"} 1\n"
	    "# TYPE process_cpu_seconds_total counter\n"
	    "process_cpu_seconds_total %.6f\n"
	    "# TYPE process_resident_memory_bytes gauge\n"
	    "process_resident_memory_bytes %llu\n"
	    "# TYPE process_peak_memory_bytes gauge\n"
	    "process_peak_memory_bytes %llu\n",
	    masticpitch_version(), MASTICPITCH_REVISION, (double)os_clock_cpu() / 1e9,
	    (unsigned long long)os_memory_resident(),
	    (unsigned long long)os_memory_peak());

	for (int i = 0; error == MASTICPITCH_OK && i < METRIC_COUNT; i++)
		error = buffer_printf(text,
		    "# HELP masticpitch_%s %s\n# TYPE masticpitch_%s %s\nmasticpitch_%s "
		    "%llu\n",
		    rows[i].name, rows[i].help, rows[i].name, rows[i].kind, rows[i].name,
		    (unsigned long long)metrics->values[i]);
	if (error == MASTICPITCH_OK)
		error = reasons_format(metrics->refusals, "refusals_total",
		    "requests refused, by reason", text);
	if (error == MASTICPITCH_OK)
		error = reasons_format(metrics->retries, "retries_total",
		    "attempts repeated, by the reason of the failed one", text);
	if (error == MASTICPITCH_OK)
		error = gate_refusals_format(metrics, text);
	for (int i = 0; error == MASTICPITCH_OK && i < HISTOGRAM_COUNT; i++)
		error =
		    histogram_format(&metrics->histograms[i], histogram_names[i], text);
	return error;
}
