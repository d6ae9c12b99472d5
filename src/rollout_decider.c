#include "rollout_internal.h"

#include <stdlib.h>
#include <string.h>

/* Final steps go to nodes that have not confirmed them at this interval, ms. */
#define FINAL_INTERVAL_MS 1000
/* Shortest pause between two verdicts, ms. */
#define VERDICT_INTERVAL_MS 200
/*
 * Length of the window of answers that are also judged alone, ms: a release that turns
 * bad late would be diluted by its earlier answers.
 */
#define WINDOW_MS 2000
/*
 * The traffic moves only after the sample was watched so long without a pause, ms: while
 * nobody decides, a release may turn bad unseen.
 */
#define WATCHED_MIN_MS 3000
/* Without enough answers the traffic still moves after this share of the ramp ... */
#define OBSERVE_LATEST_PERCENT 80
/* ... if the release has given this many. */
#define ANSWERS_LATEST_MIN 10

rollout_decider_t *
rollout_decider_create(const rollout_decider_options_t *options)
{
	rollout_decider_t *decider = calloc(1, sizeof(*decider));

	if (decider == NULL)
		return NULL;
	decider->options = *options;
	decider->rank = -1;
	return decider;
}

void
rollout_item_free(decider_item_t *item)
{
	free(item->reports);
	free(item);
}

void
rollout_decider_destroy(rollout_decider_t *decider)
{
	if (decider == NULL)
		return;
	for (size_t i = 0; i < decider->item_count; i++)
		rollout_item_free(decider->items[i]);
	free(decider->members);
	free(decider);
}

bool
rollout_mode_is_final(rollout_mode_t mode)
{
	return mode == ROLLOUT_DONE || mode == ROLLOUT_STOPPED;
}

/* True if nothing is left to decide or to write. */
bool
rollout_item_is_closed(const decider_item_t *item)
{
	return rollout_mode_is_final(item->mode) && item->restored &&
	       item->written ==
		   (item->mode == ROLLOUT_DONE ? ROLLOUT_COMPLETED : ROLLOUT_ROLLED_BACK);
}

bool
rollout_has_open_items(const rollout_decider_t *decider)
{
	for (size_t i = 0; i < decider->item_count; i++) {
		if (!rollout_item_is_closed(decider->items[i]))
			return true;
	}
	return false;
}

void
rollout_item_mode_set(decider_item_t *item, rollout_mode_t mode, uint64_t now)
{
	if (item->mode == mode)
		return;
	item->mode = mode;
	item->mode_at = now;
	item->watched_at = now;
	item->step_at = now;
	item->changed = true;
}

void
rollout_decider_rank_set(rollout_decider_t *decider, int rank, uint64_t now)
{
	if (decider->rank < 0 && rank >= 0) {
		decider->orders_needed = true;
		decider->compete_at = now + (uint64_t)rank * ROLLOUT_TURN_MS * NS_PER_MS;
	}
	decider->rank = rank;
}

/* A decider that started after the order takes the deadline from an earlier one. */
void
rollout_seen_at_lower(decider_item_t *item, uint64_t elapsed, uint64_t now)
{
	uint64_t passed = MIN_OF(elapsed, now / NS_PER_MS) * NS_PER_MS;

	item->seen_at = MIN_OF(item->seen_at, now - passed);
}

void
rollout_decider_step_heard(
    rollout_decider_t *decider, const rollout_step_t *step, uint64_t now)
{
	decider_item_t *item = rollout_item_find(decider, step->service, step->release);

	/* Final and free steps come from relays that do not decide. */
	if (step->mode < ROLLOUT_DONE)
		decider->heard_at = now;
	if (item == NULL || item->order.revision != step->order ||
	    rollout_decider_leads(decider, now) || rollout_mode_is_final(item->mode))
		return;
	rollout_seen_at_lower(item, step->elapsed_ms, now);
	if (step->mode > item->mode)
		rollout_item_mode_set(item, step->mode, now);
	/* The status is read again, by a node that has to write it. */
	if (rollout_mode_is_final(step->mode))
		decider->statuses_needed = true;
}

void
rollout_decider_report(rollout_decider_t *decider, uint64_t node,
    const rollout_report_t *update, uint64_t now)
{
	decider_item_t *item =
	    rollout_item_find(decider, update->service, update->release);
	decider_report_t *report;

	if (item == NULL || item->order.revision != update->order)
		return;
	rollout_seen_at_lower(item, update->elapsed_ms, now);
	report = rollout_report_find(item, node);
	if (report == NULL) {
		if (item->report_count == item->report_capacity) {
			size_t capacity = MAX_OF(64, 2 * item->report_capacity);
			decider_report_t *grown =
			    realloc(item->reports, capacity * sizeof(*grown));

			if (grown == NULL)
				return;
			item->reports = grown;
			item->report_capacity = capacity;
		}
		report = &item->reports[item->report_count++];
		memset(report, 0, sizeof(*report));
		report->node = node;
	}
	/* An earlier decider stopped it, and could not write that any more. */
	if (update->mode == ROLLOUT_STOPPED && item->mode < ROLLOUT_FULL)
		rollout_item_mode_set(item, ROLLOUT_STOPPED, now);
	report->mode = update->mode;
	report->others_in_flight = update->others_in_flight;
	report->target = update->target;
	report->base = update->base;
}

uint64_t
rollout_elapsed_ms(const decider_item_t *item, uint64_t now)
{
	return (now - MIN_OF(item->seen_at, now)) / NS_PER_MS;
}

static bool
ramp_has_passed(const decider_item_t *item, uint32_t percent, uint64_t now)
{
	return rollout_elapsed_ms(item, now) * 100 >=
	       (uint64_t)item->order.ramp_ms * percent;
}

/* Judges all answers, and those of the last one or two windows; returns their number. */
static uint32_t
verdict_update(decider_item_t *item, uint64_t now)
{
	struct decider_sums sums = {0}, recent;
	rollout_verdict_t verdict;

	for (size_t i = 0; i < item->report_count; i++) {
		rollout_counts_add(&sums.target, &item->reports[i].target);
		rollout_counts_add(&sums.base, &item->reports[i].base);
	}
	recent = sums;
	rollout_counts_subtract(&recent.target, &item->windows[0].target);
	rollout_counts_subtract(&recent.base, &item->windows[0].base);
	item->verdict = rollout_verdict(&sums.target, &sums.base, true);
	verdict = rollout_verdict(&recent.target, &recent.base, true);
	if (item->verdict == ROLLOUT_VERDICT_GOOD)
		item->verdict = verdict;
	item->doubtful = rollout_counts_doubtful(&recent.target, &recent.base);
	item->verdict_at = now;
	if (now >= item->window_at + WINDOW_MS * NS_PER_MS) {
		item->windows[0] = item->windows[1];
		item->windows[1] = sums;
		item->window_at = now;
	}
	return rollout_counts_answers(&recent.target);
}

static bool
verdict_is_bad(const decider_item_t *item)
{
	return item->verdict == ROLLOUT_VERDICT_FAILS ||
	       item->verdict == ROLLOUT_VERDICT_SLOW;
}

static uint64_t
watched_min(const decider_item_t *item)
{
	return MIN_OF(WATCHED_MIN_MS, item->order.ramp_ms / 4) * NS_PER_MS;
}

/* Usable members that have not moved, or still wait for answers of old instances. */
size_t
rollout_nodes_missing(const rollout_decider_t *decider, const decider_item_t *item)
{
	size_t missing = 0;

	for (size_t i = 0; i < decider->member_count; i++) {
		const decider_member_t *member = &decider->members[i];
		const decider_report_t *report = rollout_report_find(item, member->node);

		missing +=
		    member->usable &&
		    (report == NULL ||
			(report->mode != ROLLOUT_FULL && report->mode != ROLLOUT_DONE) ||
			report->others_in_flight > 0);
	}
	return missing;
}

static void
item_advance(rollout_decider_t *decider, decider_item_t *item, uint64_t now)
{
	uint64_t warmup = MIN_OF(ROLLOUT_WARMUP_MS, item->order.ramp_ms / 4) * NS_PER_MS;
	uint64_t ready_at = UINT64_MAX;
	uint32_t answers;

	if (item->withdrawn && item->mode < ROLLOUT_FULL)
		rollout_item_mode_set(item, ROLLOUT_STOPPED, now);
	switch (item->mode) {
	case ROLLOUT_HOLD:
		if (!item->claimed ||
		    rollout_instances_count(decider, &item->order, false, &ready_at) == 0)
			break;
		if (rollout_instances_count(decider, &item->order, true, NULL) == 0)
			item->moves = true;
		else if (now >= ready_at + warmup)
			rollout_item_mode_set(item, ROLLOUT_SAMPLE, now);
		break;
	case ROLLOUT_SAMPLE:
		if (now < item->verdict_at + VERDICT_INTERVAL_MS * NS_PER_MS)
			break;
		answers = verdict_update(item, now);
		if (verdict_is_bad(item)) {
			item->moves = false;
			rollout_item_mode_set(item, ROLLOUT_STOPPED, now);
			break;
		}
		item->moves =
		    !item->doubtful && now >= item->watched_at + watched_min(item) &&
		    ((item->verdict == ROLLOUT_VERDICT_GOOD &&
			 ramp_has_passed(item, ROLLOUT_OBSERVE_PERCENT, now)) ||
			(answers >= ANSWERS_LATEST_MIN &&
			    ramp_has_passed(item, OBSERVE_LATEST_PERCENT, now)));
		break;
	default:
		break;
	}
}

void
rollout_decider_tick(rollout_decider_t *decider, uint64_t now)
{
	rollout_free_tick(decider, now);
	if (!rollout_decider_leads(decider, now))
		return;
	for (size_t i = 0; i < decider->item_count; i++) {
		if (decider->items[i]->restored)
			item_advance(decider, decider->items[i], now);
	}
}

bool
rollout_decider_leads(const rollout_decider_t *decider, uint64_t now)
{
	return decider->leads && now < decider->lease_until;
}

bool
rollout_decider_is_active(const rollout_decider_t *decider)
{
	return decider->rank >= 0 &&
	       (decider->leads || decider->item_count > 0 || decider->orders_needed);
}

size_t
rollout_decider_member_count(const rollout_decider_t *decider)
{
	return decider->member_count;
}

/* Nodes that a step goes to; of a final one those that have not confirmed it. */
static size_t
step_nodes(const rollout_decider_t *decider, const decider_item_t *item, uint64_t *nodes,
    size_t max)
{
	size_t count = 0;

	for (size_t i = 0; i < decider->member_count && count < max; i++) {
		const decider_member_t *member = &decider->members[i];
		const decider_report_t *report;

		if (!member->usable)
			continue;
		report = rollout_report_find(item, member->node);
		if (rollout_mode_is_final(item->mode) && report != NULL &&
		    report->mode == item->mode)
			continue;
		nodes[count++] = member->node;
	}
	return count;
}

bool
rollout_decider_step(rollout_decider_t *decider, uint64_t now, rollout_step_t *step,
    uint64_t *nodes, size_t max, size_t *count)
{
	bool leads = rollout_decider_leads(decider, now);

	for (size_t i = 0; decider->rank >= 0 && i < decider->item_count; i++) {
		decider_item_t *item = decider->items[i];
		uint32_t permille =
		    decider->options.exposure_percent * ROLLOUT_EXPOSURE_PERCENT / 10;
		size_t serving;

		if (!item->restored || now < item->step_at)
			continue;
		if (!rollout_mode_is_final(item->mode) && (!leads || !item->claimed))
			continue;
		item->step_at =
		    now + (rollout_mode_is_final(item->mode) ? FINAL_INTERVAL_MS
							     : ROLLOUT_STEP_INTERVAL_MS) *
			      NS_PER_MS;
		*count = step_nodes(decider, item, nodes, max);
		if (*count == 0)
			continue;
		serving = rollout_instances_count(decider, &item->order, true, NULL);
		memset(step, 0, sizeof(*step));
		memcpy(step->service, item->order.service, NAME_BYTES);
		memcpy(step->release, item->order.release, NAME_BYTES);
		step->order = item->order.revision;
		step->mode = item->mode;
		step->permille = permille;
		step->elapsed_ms = rollout_elapsed_ms(item, now);
		step->instances =
		    (uint32_t)MAX_OF((serving * permille + 999) / 1000, (size_t)1);
		return true;
	}
	return rollout_free_step(decider, now, step, nodes, max, count);
}

size_t
rollout_decider_views(
    rollout_decider_t *decider, uint64_t now, rollout_view_t *views, size_t max)
{
	size_t count = 0;

	for (size_t i = 0; i < decider->item_count && count < max; i++) {
		decider_item_t *item = decider->items[i];
		rollout_counts_t sum = {0};

		for (size_t j = 0; j < item->report_count; j++)
			rollout_counts_add(&sum, &item->reports[j].target);
		views[count++] = (rollout_view_t){.order = item->order,
		    .mode = item->mode,
		    .written = item->written,
		    .verdict = item->verdict,
		    .elapsed_ms = rollout_elapsed_ms(item, now),
		    .answers = rollout_counts_answers(&sum),
		    .nodes_missing = rollout_nodes_missing(decider, item),
		    .changed = item->changed};
		item->changed = false;
	}
	return count;
}
