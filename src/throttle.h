/*
 * How much new work of each class a gate takes while the services that this work
 * calls are short of room. Work whose calls are then refused is lost after it
 * has held a place, and takes the called service's room from work that is more
 * urgent there. A pure decision; times are monotonic, ns. One thread.
 */
#ifndef MASTICPITCH_THROTTLE_H
#define MASTICPITCH_THROTTLE_H

#include "preset.h"

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Shortest time between two steps of a class's share, ms. */
#define THROTTLE_STEP_MS 100
/* Pressure at a called service above which the share shrinks, percent. */
#define THROTTLE_PRESSURE_HIGH_PERCENT 15
/* Pressure up to which it grows again, percent. */
#define THROTTLE_PRESSURE_LOW_PERCENT 5
/*
 * Share of the calls that make their work late above which the share shrinks, and
 * up to which it grows again. A called service may queue long before it refuses.
 */
#define THROTTLE_LATE_HIGH 0.25
#define THROTTLE_LATE_LOW 0.12
/* Share of a new outcome in the smoothed share of late calls. */
#define THROTTLE_LATE_SAMPLE_SHARE 0.05
#define THROTTLE_DECREASE_FACTOR 0.9
#define THROTTLE_INCREASE 0.04
/* The share never falls below this, so that recovery is noticed. */
#define THROTTLE_SHARE_MIN 0.1
/* Without a call for this time the share grows, ms. */
#define THROTTLE_IDLE_MS 500

typedef struct throttle_class {
	double share;  /* of the new work that is taken */
	double credit; /* towards the next one taken */
	uint64_t stepped_at;
	uint64_t heard_at; /* of a call's outcome */
	double late;	   /* smoothed share of the calls that made their work late */
} throttle_class_t;

typedef struct throttle {
	throttle_class_t classes[ROUTE_CLASS_COUNT];
} throttle_t;

/* What share of its urgent calls a gate refuses for load, over the last moments. */
typedef struct pressure {
	double refused; /* both decay */
	double taken;
	uint64_t at;
} pressure_t;

/* Half-life of the counts behind a pressure, ms. */
#define PRESSURE_HALF_LIFE_MS 500
/* Calls, decayed, below which there is no pressure to speak of. */
#define PRESSURE_SAMPLES_MIN 4.0

void pressure_record(pressure_t *pressure, bool refused, uint64_t now);
uint32_t pressure_percent(const pressure_t *pressure, uint64_t now);

void throttle_init(throttle_t *throttle);
/*
 * A call made by work of the class has ended. pressure: percent of the urgent
 * work that the called service refuses for load; refused: so was this call; late:
 * it took so long that the work misses its latency target.
 */
void throttle_call_record(throttle_t *throttle, route_class_t route_class,
    uint32_t pressure, bool refused, bool late, uint64_t now);
/* Whether a new request of the class is taken; calls of running work always are. */
bool throttle_admit(throttle_t *throttle, route_class_t route_class, uint64_t now);
/* For reports: the share of a class, percent. */
uint32_t throttle_percent(const throttle_t *throttle, route_class_t route_class);

#ifdef __cplusplus
}
#endif

#endif
