/*
 * Compares what all entries saw of a new release with the instances that serve at the
 * same time, so that trouble around both counts for neither. Pure functions.
 */
#ifndef MASTICPITCH_ROLLOUT_VERDICT_H
#define MASTICPITCH_ROLLOUT_VERDICT_H

#include "rollout.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef enum rollout_verdict {
	ROLLOUT_VERDICT_OPEN, /* too few answers */
	ROLLOUT_VERDICT_GOOD, /* no difference seen so far */
	ROLLOUT_VERDICT_FAILS,
	ROLLOUT_VERDICT_SLOW
} rollout_verdict_t;

/* Fewest answers of the new release before its traffic may grow. */
#define ROLLOUT_ANSWERS_MIN 40

void rollout_counts_add(rollout_counts_t *sum, const rollout_counts_t *counts);
/* The counts since an earlier state of the same sums; none where a sum has become less.
 */
void rollout_counts_subtract(rollout_counts_t *sum, const rollout_counts_t *earlier);
uint32_t rollout_counts_answers(const rollout_counts_t *counts);
/* with_latency: false compares the failures only. */
rollout_verdict_t rollout_verdict(
    const rollout_counts_t *target, const rollout_counts_t *base, bool with_latency);
/* True if the release looks worse, though not clearly: no moment to move traffic to it.
 */
bool rollout_counts_doubtful(
    const rollout_counts_t *target, const rollout_counts_t *base);
/* "open", "good", "fails", "slow". */
const char *rollout_verdict_text(rollout_verdict_t verdict);

#ifdef __cplusplus
}
#endif

#endif
