#include "capacity_server.h"

#include <math.h>
#include <string.h>

void
capacity_server_init(capacity_server_t *server, uint32_t cold_ms, uint64_t now)
{
	memset(server, 0, sizeof(*server));
	server->cold.log_ratio = log(CAPACITY_COLD_PERCENT / 100.0);
	server->cold.samples = CAPACITY_COLD_PRIOR_SAMPLES;
	capacity_server_cold_set(server, cold_ms, now);
}

void
capacity_server_cold_set(capacity_server_t *server, uint32_t cold_ms, uint64_t now)
{
	server->cold_until = cold_ms == 0 ? 0 : now + cold_ms * NS_PER_MS;
}

static bool
server_is_cold(const capacity_server_t *server, uint64_t now)
{
	return now < server->cold_until;
}

static double
clip(double value, double bound)
{
	return MIN_OF(MAX_OF(value, -bound), bound);
}

/* Moves the mean towards a sample; the first ones count alike. */
static void
speed_record(capacity_speed_t *speed, double difference, double weight_min)
{
	speed->samples += speed->samples < UINT32_MAX;
	speed->log_ratio += MAX_OF(1.0 / speed->samples, weight_min) *
			    clip(difference, CAPACITY_SPEED_CLIP);
}

/* The band of a call that is one of running. */
static size_t
band_of(uint32_t running, uint32_t slots)
{
	size_t band = (size_t)(MAX_OF(running, 1U) - 1) * CAPACITY_BANDS / slots;

	return MIN_OF(band, (size_t)CAPACITY_BANDS - 1);
}

void
capacity_server_record(
    capacity_server_t *server, const capacity_sample_t *sample, uint64_t now)
{
	bool cold = server_is_cold(server, now);
	capacity_speed_t *speed = cold ? &server->cold : &server->warm;
	uint32_t host_now = capacity_server_host_percent(server, now);
	double host, difference;

	if (sample->typical_us == 0)
		return;
	/* The host may have changed during the exchange. */
	host = sample->host_percent == 0 || host_now == 0
		   ? 1
		   : (sample->host_percent + host_now) / 200.0;
	difference = log(MAX_OF((double)sample->duration / NS_PER_US, 1.0) /
			 sample->typical_us / host) -
		     speed->log_ratio;
	if (sample->cut && difference <= 0)
		return;
	if (!cold && !sample->cut && sample->slots > 0) {
		capacity_speed_t *band =
		    &server->bands[band_of(sample->running, sample->slots)];

		speed_record(
		    band, difference - band->log_ratio, CAPACITY_BAND_SAMPLE_WEIGHT);
	}
	speed_record(speed, difference, CAPACITY_SPEED_SAMPLE_WEIGHT);
}

void
capacity_server_host_record(capacity_server_t *server, uint32_t percent, uint64_t now)
{
	server->host_percent = percent;
	server->host_at = now;
}

uint32_t
capacity_host_percent_parse(const char *text)
{
	uint64_t percent;

	for (int i = 0; i < 3; i++) {
		text = text == NULL ? NULL : strchr(text, ',');
		if (text == NULL)
			return 0;
		text++;
	}
	text += strspn(text, " ");
	if (string_parse_uint(text, CAPACITY_SPEED_PERCENT_MAX, &percent) !=
	    MASTICPITCH_OK)
		return 0;
	return (uint32_t)percent;
}

uint32_t
capacity_server_speed_percent(const capacity_server_t *server, uint64_t now)
{
	const capacity_speed_t *speed =
	    server_is_cold(server, now) ? &server->cold : &server->warm;
	double percent = 100 * exp(speed->log_ratio);

	if (speed->samples == 0)
		return 0;
	return (uint32_t)MIN_OF(
	    MAX_OF(percent, CAPACITY_SPEED_PERCENT_MIN), CAPACITY_SPEED_PERCENT_MAX);
}

uint32_t
capacity_server_host_percent(const capacity_server_t *server, uint64_t now)
{
	if (server->host_percent == 0)
		return 0;
	return now > server->host_at + CAPACITY_HOST_FRESH_MS * NS_PER_MS
		   ? 100
		   : server->host_percent;
}

/* Answers in the time of one at the lowest band, at the top of a band. */
static double
band_throughput(const capacity_server_t *server, size_t band)
{
	return (double)(band + 1) / exp(server->bands[band].log_ratio);
}

uint32_t
capacity_server_useful(const capacity_server_t *server, uint32_t slots)
{
	size_t useful = CAPACITY_BANDS, best = CAPACITY_BANDS;

	for (size_t band = 0; band < CAPACITY_BANDS; band++) {
		double gain;

		if (server->bands[band].samples < CAPACITY_BAND_SAMPLES_MIN)
			continue;
		if (best == CAPACITY_BANDS) {
			best = band;
			continue;
		}
		gain = band_throughput(server, band) - band_throughput(server, best);
		if (gain < CAPACITY_BAND_GAIN_MIN * (double)(band - best) /
			       exp(server->bands[best].log_ratio)) {
			useful = best + 1;
			break;
		}
		best = band;
	}
	return MAX_OF((uint32_t)(slots * useful / CAPACITY_BANDS), 1U);
}

void
capacity_server_report(const capacity_server_t *server, load_report_t *load, uint64_t now)
{
	load->speed_percent = capacity_server_speed_percent(server, now);
	load->host_percent = capacity_server_host_percent(server, now);
	load->useful = capacity_server_useful(server, MAX_OF(load->slots, 1U));
}

bool
capacity_server_moves(const capacity_server_t *server, bool would_wait, uint64_t now)
{
	return would_wait ||
	       capacity_server_host_percent(server, now) >= CAPACITY_HOST_BUSY_PERCENT;
}
