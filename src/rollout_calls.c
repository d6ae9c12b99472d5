/*
 * A decider's calls on the store: which one is due, and what its answer changes.
 */
#include "rollout_internal.h"

#include <stdlib.h>
#include <string.h>

/* Pause after a failed call, and after another node was found to decide, ms. */
#define RETRY_MS 300
#define DENIED_MS 1000
/* Without steps from the deciding node for this time another one may try, ms. */
#define SILENCE_MS 2500

static decider_status_t *
status_find(rollout_decider_t *decider, const char *service)
{
	for (size_t i = 0; i < decider->status_count; i++) {
		if (strcmp(decider->statuses[i].service, service) == 0)
			return &decider->statuses[i];
	}
	return NULL;
}

/* The mode that the store must have before the item may go on; false: none. */
static bool
state_is_due(const decider_item_t *item, rollout_mode_t *mode)
{
	if (rollout_mode_is_final(item->mode))
		*mode = item->mode;
	else if (item->moves && item->mode < ROLLOUT_FULL)
		*mode = ROLLOUT_FULL;
	else
		*mode = item->mode;
	return !item->claimed || *mode != item->kept;
}

/* What the operator must read now. */
static rollout_outcome_t
outcome_due(const rollout_decider_t *decider, const decider_item_t *item, uint64_t now)
{
	switch (item->mode) {
	case ROLLOUT_STOPPED:
		return ROLLOUT_ROLLED_BACK;
	case ROLLOUT_DONE:
		return ROLLOUT_COMPLETED;
	case ROLLOUT_FULL:
		if (item->kept == ROLLOUT_FULL && item->claimed &&
		    now >= item->mode_at + ROLLOUT_SETTLE_MS * NS_PER_MS &&
		    rollout_nodes_missing(decider, item) == 0)
			return ROLLOUT_COMPLETED;
		return ROLLOUT_RUNNING;
	default:
		return ROLLOUT_RUNNING;
	}
}

/* A put for the item that is most urgent: a final status before anything else. */
static bool
item_call(rollout_decider_t *decider, size_t index, uint64_t now, rollout_call_t *call)
{
	decider_item_t *item = decider->items[index];
	rollout_outcome_t outcome = outcome_due(decider, item, now);
	const decider_status_t *status = status_find(decider, item->order.service);
	rollout_mode_t mode;
	bool state_due = state_is_due(item, &mode);

	if (!item->restored || (rollout_item_is_closed(item) && !item->claimed))
		return false;
	memset(call, 0, sizeof(*call));
	decider->item_called = index;
	call->state.revision = item->state_revision;
	memcpy(call->state.service, item->order.service, NAME_BYTES);
	memcpy(call->state.release, item->order.release, NAME_BYTES);
	if (item->claimed && outcome != item->written) {
		call->kind = ROLLOUT_CALL_STATUS;
		call->status.outcome = decider->outcome_called = outcome;
		call->status.revision = status != NULL ? status->revision : 0;
		memcpy(call->status.service, item->order.service, NAME_BYTES);
		memcpy(call->status.release, item->order.release, NAME_BYTES);
		return true;
	}
	if (!state_due)
		return false;
	call->kind = ROLLOUT_CALL_STATE;
	call->state.order = item->order.revision;
	call->state.mode = decider->mode_called = mode;
	call->state.elapsed_ms = rollout_elapsed_ms(item, now);
	return true;
}

static bool
call_begin(rollout_decider_t *decider, rollout_call_t *call, rollout_call_kind_t kind,
    uint64_t now)
{
	if (call->kind != kind)
		memset(call, 0, sizeof(*call));
	call->kind = kind;
	call->lease = decider->lease;
	decider->call_pending = true;
	decider->call_sent_at = now;
	return true;
}

static bool
may_compete(const rollout_decider_t *decider, uint64_t now)
{
	return now >= decider->compete_at &&
	       (decider->heard_at == 0 ||
		   now >= decider->heard_at + SILENCE_MS * NS_PER_MS);
}

static bool
watch_call(rollout_decider_t *decider, uint64_t now, rollout_call_t *call)
{
	if (decider->rank < 0 || decider->watch_pending || decider->orders_needed ||
	    now < decider->watch_at)
		return false;
	if (!decider->options.watches) {
		decider->orders_needed = true;
		return false;
	}
	decider->watch_pending = true;
	memset(call, 0, sizeof(*call));
	call->kind = ROLLOUT_CALL_WATCH;
	call->after = decider->after;
	return true;
}

static bool
lease_call(rollout_decider_t *decider, uint64_t now, rollout_call_t *call)
{
	if (decider->lease == 0)
		return decider->rank >= 0 && rollout_has_open_items(decider) &&
		       may_compete(decider, now) &&
		       call_begin(decider, call, ROLLOUT_CALL_LEASE, now);
	if (!decider->leads)
		return call_begin(decider, call, ROLLOUT_CALL_LEADER, now);
	if (decider->rank < 0 || !rollout_has_open_items(decider))
		return call_begin(decider, call, ROLLOUT_CALL_REVOKE, now);
	return now >= decider->renew_at &&
	       call_begin(decider, call, ROLLOUT_CALL_RENEW, now);
}

bool
rollout_decider_call(rollout_decider_t *decider, uint64_t now, rollout_call_t *call)
{
	memset(call, 0, sizeof(*call));
	if (watch_call(decider, now, call))
		return true;
	if (decider->call_pending || now < decider->retry_at)
		return false;
	if (decider->rank >= 0 && decider->orders_needed)
		return call_begin(decider, call, ROLLOUT_CALL_ORDERS, now);
	if (decider->rank >= 0 && decider->states_needed)
		return call_begin(decider, call, ROLLOUT_CALL_STATES, now);
	if (decider->rank >= 0 && decider->statuses_needed)
		return call_begin(decider, call, ROLLOUT_CALL_STATUSES, now);
	if (lease_call(decider, now, call))
		return true;
	if (!rollout_decider_leads(decider, now))
		return false;
	for (size_t i = 0; i < decider->item_count; i++) {
		if (item_call(decider, i, now, call))
			return call_begin(decider, call, call->kind, now);
	}
	return false;
}

static void
item_order_set(rollout_decider_t *decider, const rollout_order_t *order, uint64_t now)
{
	decider_item_t *item = rollout_item_find(decider, order->service, order->release);

	if (item != NULL && item->order.revision == order->revision) {
		item->withdrawn = false;
		return;
	}
	if (item == NULL) {
		if (decider->item_count == ROLLOUT_ITEMS_MAX)
			return;
		item = calloc(1, sizeof(*item));
		if (item == NULL)
			return;
		decider->items[decider->item_count++] = item;
	} else {
		free(item->reports);
		memset(item, 0, sizeof(*item));
	}
	item->order = *order;
	item->seen_at = now;
	item->mode_at = now;
	item->changed = true;
	decider->states_needed = true;
	decider->statuses_needed = true;
}

static bool
answer_has_order(const rollout_answer_t *answer, const rollout_order_t *wanted)
{
	for (size_t i = 0; i < answer->order_count; i++) {
		const rollout_order_t *order = &answer->orders[i];

		/* A later order for the service does not withdraw an earlier one. */
		if (strcmp(order->service, wanted->service) == 0)
			return true;
	}
	for (size_t i = 0; i < answer->unreadable_count; i++) {
		if (strcmp(answer->unreadable[i], wanted->service) == 0)
			return true;
	}
	return false;
}

/* Forgets a closed rollout that the store has no order for. */
static void
items_drop_closed(rollout_decider_t *decider, const rollout_answer_t *answer)
{
	size_t kept = 0;

	for (size_t i = 0; i < decider->item_count; i++) {
		decider_item_t *item = decider->items[i];

		if (rollout_item_is_closed(item) &&
		    !answer_has_order(answer, &item->order))
			rollout_item_free(item);
		else
			decider->items[kept++] = item;
	}
	decider->item_count = kept;
}

static void
orders_receive(rollout_decider_t *decider, const rollout_answer_t *answer, uint64_t now)
{
	decider->orders_needed = false;
	decider->orders_read_at = decider->call_sent_at;
	decider->unreadable_count =
	    MIN_OF(answer->unreadable_count, (size_t)ROLLOUT_ITEMS_MAX);
	for (size_t i = 0; i < decider->unreadable_count; i++)
		memcpy(decider->unreadable[i], answer->unreadable[i], NAME_BYTES);
	decider->after = answer->store_revision;
	decider->watch_at =
	    decider->options.watches ? now : now + ROLLOUT_LIST_INTERVAL_MS * NS_PER_MS;
	for (size_t i = 0; i < decider->item_count; i++)
		decider->items[i]->withdrawn =
		    !answer_has_order(answer, &decider->items[i]->order);
	for (size_t i = 0; i < answer->order_count; i++)
		item_order_set(decider, &answer->orders[i], now);
	items_drop_closed(decider, answer);
}

static void
states_receive(rollout_decider_t *decider, const rollout_answer_t *answer, uint64_t now)
{
	decider->states_needed = false;
	for (size_t i = 0; i < decider->item_count; i++) {
		decider->items[i]->state_revision = 0;
		decider->items[i]->claimed = false;
	}
	for (size_t i = 0; i < answer->state_count; i++) {
		const rollout_state_t *state = &answer->states[i];
		decider_item_t *item =
		    rollout_item_find(decider, state->service, state->release);

		if (item == NULL)
			continue;
		item->state_revision = state->revision;
		if (state->order != item->order.revision)
			continue;
		item->kept = state->mode;
		rollout_seen_at_lower(item, state->elapsed_ms, now);
		if (state->mode > item->mode && !rollout_mode_is_final(item->mode))
			rollout_item_mode_set(item, state->mode, now);
	}
}

static void
status_set(rollout_decider_t *decider, const rollout_status_t *status)
{
	decider_status_t *known = status_find(decider, status->service);

	if (known == NULL) {
		if (decider->status_count == ROLLOUT_ITEMS_MAX)
			return;
		known = &decider->statuses[decider->status_count++];
	}
	memcpy(known->service, status->service, NAME_BYTES);
	memcpy(known->release, status->release, NAME_BYTES);
	known->outcome = status->outcome;
	known->revision = status->revision;
}

static void
statuses_receive(rollout_decider_t *decider, const rollout_answer_t *answer, uint64_t now)
{
	decider->statuses_needed = false;
	decider->status_count = 0;
	for (size_t i = 0; i < answer->status_count; i++)
		status_set(decider, &answer->statuses[i]);
	for (size_t i = 0; i < decider->item_count; i++) {
		decider_item_t *item = decider->items[i];
		const decider_status_t *status =
		    status_find(decider, item->order.service);

		item->restored = true;
		/* Older than the order: it is about an earlier one. */
		if (status == NULL || status->revision < item->order.revision ||
		    strcmp(status->release, item->order.release) != 0)
			continue;
		item->written = status->outcome;
		if (status->outcome == ROLLOUT_COMPLETED)
			rollout_item_mode_set(item, ROLLOUT_DONE, now);
		else if (status->outcome == ROLLOUT_ROLLED_BACK)
			rollout_item_mode_set(item, ROLLOUT_STOPPED, now);
	}
}

static void
lease_drop(rollout_decider_t *decider)
{
	decider->lease = 0;
	decider->leads = false;
	for (size_t i = 0; i < decider->item_count; i++)
		decider->items[i]->claimed = false;
}

static void
lease_extend(rollout_decider_t *decider)
{
	decider->lease_until = decider->call_sent_at +
			       (ROLLOUT_LEASE_MS - ROLLOUT_LEASE_MARGIN_MS) * NS_PER_MS;
	decider->renew_at = decider->call_sent_at + ROLLOUT_LEASE_RENEW_MS * NS_PER_MS;
}

/* This node begins to decide; until now perhaps nobody watched the samples. */
static void
watch_restart(rollout_decider_t *decider, uint64_t now)
{
	for (size_t i = 0; i < decider->item_count; i++) {
		decider->items[i]->watched_at = now;
		decider->items[i]->moves = false;
	}
}

static void
leader_receive(rollout_decider_t *decider, const rollout_answer_t *answer, uint64_t now)
{
	if (answer->outcome == PLATFORM_OK) {
		decider->leads = true;
		watch_restart(decider, now);
		/* An earlier decider may have written since the last read. */
		decider->states_needed = true;
		decider->statuses_needed = true;
		return;
	}
	/* Its lease ends by itself; the key is another node's or its fate is unknown. */
	lease_drop(decider);
	decider->compete_at = now + DENIED_MS * NS_PER_MS;
}

static void
state_put_done(rollout_decider_t *decider, const rollout_answer_t *answer, uint64_t now)
{
	decider_item_t *item = decider->items[decider->item_called];

	if (answer->outcome != PLATFORM_OK) {
		decider->states_needed = true;
		decider->statuses_needed = true;
		return;
	}
	item->state_revision = answer->revision;
	/* A status that an earlier decider wrote until now; later ones are refused. */
	decider->statuses_needed |= !item->claimed;
	item->claimed = true;
	item->kept = decider->mode_called;
	if (item->kept == ROLLOUT_FULL && item->mode < ROLLOUT_FULL)
		rollout_item_mode_set(item, ROLLOUT_FULL, now);
}

static void
status_put_done(rollout_decider_t *decider, const rollout_answer_t *answer, uint64_t now)
{
	decider_item_t *item = decider->items[decider->item_called];
	rollout_status_t status = {
	    .outcome = decider->outcome_called, .revision = answer->revision};

	if (answer->outcome != PLATFORM_OK) {
		decider->states_needed = true;
		decider->statuses_needed = true;
		return;
	}
	memcpy(status.service, item->order.service, NAME_BYTES);
	memcpy(status.release, item->order.release, NAME_BYTES);
	status_set(decider, &status);
	item->written = status.outcome;
	item->changed = true;
	if (status.outcome == ROLLOUT_COMPLETED)
		rollout_item_mode_set(item, ROLLOUT_DONE, now);
}

static bool
outcome_is_answer(platform_outcome_t outcome)
{
	return outcome == PLATFORM_OK || outcome == PLATFORM_NOT_FOUND ||
	       outcome == PLATFORM_CONFLICT || outcome == PLATFORM_UNCHANGED;
}

static void
watch_receive(rollout_decider_t *decider, const rollout_answer_t *answer, uint64_t now)
{
	decider->watch_pending = false;
	if (answer->outcome == PLATFORM_UNCHANGED && answer->store_revision != 0) {
		decider->after = MAX_OF(decider->after, answer->store_revision);
		decider->watch_at = now;
		return;
	}
	decider->orders_needed = true;
	if (!outcome_is_answer(answer->outcome))
		decider->retry_at = now + RETRY_MS * NS_PER_MS;
}

void
rollout_decider_answer(
    rollout_decider_t *decider, const rollout_answer_t *answer, uint64_t now)
{
	if (answer->kind == ROLLOUT_CALL_WATCH) {
		watch_receive(decider, answer, now);
		return;
	}
	decider->call_pending = false;
	if (!outcome_is_answer(answer->outcome))
		decider->retry_at = now + RETRY_MS * NS_PER_MS;
	switch (answer->kind) {
	case ROLLOUT_CALL_ORDERS:
		if (answer->outcome == PLATFORM_OK)
			orders_receive(decider, answer, now);
		break;
	case ROLLOUT_CALL_STATES:
		if (answer->outcome == PLATFORM_OK)
			states_receive(decider, answer, now);
		break;
	case ROLLOUT_CALL_STATUSES:
		if (answer->outcome == PLATFORM_OK)
			statuses_receive(decider, answer, now);
		break;
	case ROLLOUT_CALL_LEASE:
		if (answer->outcome == PLATFORM_OK) {
			decider->lease = answer->lease;
			lease_extend(decider);
		}
		break;
	case ROLLOUT_CALL_RENEW:
		if (answer->outcome == PLATFORM_OK) {
			if (now >= decider->lease_until)
				watch_restart(decider, now);
			lease_extend(decider);
		} else if (answer->outcome == PLATFORM_NOT_FOUND)
			lease_drop(decider);
		break;
	case ROLLOUT_CALL_REVOKE:
		lease_drop(decider);
		break;
	case ROLLOUT_CALL_LEADER:
		leader_receive(decider, answer, now);
		break;
	case ROLLOUT_CALL_STATE:
		state_put_done(decider, answer, now);
		break;
	case ROLLOUT_CALL_STATUS:
		status_put_done(decider, answer, now);
		break;
	case ROLLOUT_CALL_WATCH:
		break;
	}
}
