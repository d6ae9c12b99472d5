/*
 * Counters, gauges and latency histograms of one node. Owned by the kernel. Not
 * thread-safe.
 */
#ifndef MASTICPITCH_METRICS_H
#define MASTICPITCH_METRICS_H

#include "buffer.h"
#include "order.h"
#include "reason.h"

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef enum metric {
#define METRIC(symbol, kind, name, help) METRIC_##symbol,
#include "metric.def"
#undef METRIC
	METRIC_COUNT
} metric_t;

/* Log-linear buckets: 8 for each power of two, from 1 us to about 1,100 s. */
#define HISTOGRAM_SUB_BUCKETS 8
#define HISTOGRAM_BUCKETS (31 * HISTOGRAM_SUB_BUCKETS)

typedef struct histogram {
	uint64_t count;
	uint64_t sum_us;
	uint64_t buckets[HISTOGRAM_BUCKETS];
} histogram_t;

typedef enum metric_histogram {
	HISTOGRAM_REQUEST,  /* a caller's request, accepted to last byte of answer */
	HISTOGRAM_QUEUE,    /* waiting time in the queue of the gate */
	HISTOGRAM_BACKEND,  /* one exchange with the backend server */
	HISTOGRAM_PLATFORM, /* one platform call */
	HISTOGRAM_COUNT
} metric_histogram_t;

typedef struct metrics {
	uint64_t values[METRIC_COUNT];
	uint64_t refusals[REASON_COUNT];
	uint64_t retries[REASON_COUNT];
	uint64_t gate_refusals[ORDER_BANDS][REASON_COUNT];
	histogram_t histograms[HISTOGRAM_COUNT];
} metrics_t;

void metrics_add(metrics_t *metrics, metric_t metric, uint64_t amount);
void metrics_set(metrics_t *metrics, metric_t metric, uint64_t value);
void metrics_refusal_add(metrics_t *metrics, reason_t reason);
/* A call of a rank that the gate refused; counted in addition to the reason. */
void metrics_gate_refusal_add(metrics_t *metrics, reason_t reason, uint32_t rank);
void metrics_retry_add(metrics_t *metrics, reason_t reason);
/* Records a duration in ns. */
void metrics_observe(metrics_t *metrics, metric_histogram_t which, uint64_t duration_ns);

/*
 * Upper bound, in us, of the bucket that contains the quantile (0 to 1); 0 without
 * samples.
 */
uint64_t histogram_quantile(const histogram_t *histogram, double quantile);

/* Appends the Prometheus text exposition format. Errors: as buffer_append(). */
int metrics_format(const metrics_t *metrics, buffer_t *text);

#ifdef __cplusplus
}
#endif

#endif
