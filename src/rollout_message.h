/*
 * Messages between nodes about rollouts, and their protobuf form, RolloutMessage.
 */
#ifndef MASTICPITCH_ROLLOUT_MESSAGE_H
#define MASTICPITCH_ROLLOUT_MESSAGE_H

#include "buffer.h"
#include "rollout.h"

#ifdef __cplusplus
extern "C" {
#endif

/* NULL: no memory. */
chunk_t *rollout_step_pack(const rollout_step_t *step);
chunk_t *rollout_report_pack(const rollout_report_t *report);

typedef enum rollout_message_kind {
	ROLLOUT_MESSAGE_STEP,
	ROLLOUT_MESSAGE_REPORT
} rollout_message_kind_t;

/*
 * Parses a message; every length is checked. Only step or report is written, as kind
 * says. Errors: MASTICPITCH_E_INVALID.
 */
int rollout_message_unpack(const void *data, size_t size, rollout_message_kind_t *kind,
    rollout_step_t *step, rollout_report_t *report);

#ifdef __cplusplus
}
#endif

#endif
