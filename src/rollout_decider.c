#include "rollout_decider.h"

#include "rollout_step.h"
#include "util.h"

#include <stdlib.h>
#include <string.h>

/* Pause after a failed call, and after another node was found to decide, ms. */
#define RETRY_MS 300
#define DENIED_MS 1000
/* Without steps from the deciding node for this time another one may try, ms. */
#define SILENCE_MS 2500
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

typedef struct decider_member {
	uint64_t node;
	uint64_t incarnation;
	bool usable; /* takes steps: not down, and reachable */
	instance_state_t state;
	char service[NAME_BYTES];
	char release[NAME_BYTES];
	uint64_t ready_at; /* 0: not ready */
} decider_member_t;

typedef struct decider_report {
	uint64_t node;
	rollout_mode_t mode;
	uint32_t others_in_flight;
	rollout_counts_t target;
	rollout_counts_t base;
} decider_report_t;

typedef struct decider_item {
	rollout_order_t order;
	rollout_mode_t mode;
	uint64_t seen_at;	 /* the order; earlier if the store says so */
	uint64_t mode_at;	 /* start of the mode */
	bool withdrawn;		 /* the order is gone */
	bool restored;		 /* state and status were read since the order is known */
	rollout_mode_t kept;	 /* mode in the store */
	bool claimed;		 /* kept was written under the lease held now */
	uint64_t state_revision; /* 0: no such key */
	rollout_outcome_t written;
	rollout_verdict_t verdict;
	uint64_t verdict_at;
	uint64_t watched_at; /* the sample is watched without a pause since then */
	uint64_t window_at;  /* start of the newer window */
	struct decider_sums {
		rollout_counts_t target;
		rollout_counts_t base;
	} windows[2];  /* sums at the start of the older and the newer window */
	bool doubtful; /* the last answers are worse, but that may be chance */
	bool moves;    /* the verdict is good: FULL as soon as it is in the store */
	bool changed;
	uint64_t step_at; /* next one is due */
	decider_report_t *reports;
	size_t report_count;
	size_t report_capacity;
} decider_item_t;

typedef struct decider_status {
	char service[NAME_BYTES];
	char release[NAME_BYTES];
	rollout_outcome_t outcome;
	uint64_t revision;
} decider_status_t;

struct rollout_decider {
	rollout_decider_options_t options;
	int rank; /* negative: no relay */
	decider_member_t *members;
	size_t member_count;
	size_t member_capacity;
	decider_item_t *items[ROLLOUT_ITEMS_MAX];
	size_t item_count;
	decider_status_t statuses[ROLLOUT_ITEMS_MAX];
	size_t status_count;
	/* Calls on the store: the watch, and one other. */
	bool watch_pending;
	bool call_pending;
	uint64_t call_sent_at;
	uint64_t retry_at;
	uint64_t watch_at; /* next watch or list */
	uint64_t after;
	bool orders_needed;
	bool states_needed;
	bool statuses_needed;
	size_t item_called; /* of the put in flight */
	rollout_mode_t mode_called;
	rollout_outcome_t outcome_called;
	/* The lease. */
	uint64_t lease; /* 0: none */
	bool leads;	/* the leader's key is this node's */
	uint64_t lease_until;
	uint64_t renew_at;
	uint64_t compete_at;
	uint64_t heard_at; /* last step of another node that decides */
};

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

static void
item_free(decider_item_t *item)
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
		item_free(decider->items[i]);
	free(decider->members);
	free(decider);
}

static bool
mode_is_final(rollout_mode_t mode)
{
	return mode == ROLLOUT_DONE || mode == ROLLOUT_STOPPED;
}

/* True if nothing is left to decide or to write. */
static bool
item_is_closed(const decider_item_t *item)
{
	return mode_is_final(item->mode) && item->restored &&
	       item->written ==
		   (item->mode == ROLLOUT_DONE ? ROLLOUT_COMPLETED : ROLLOUT_ROLLED_BACK);
}

static bool
has_open_items(const rollout_decider_t *decider)
{
	for (size_t i = 0; i < decider->item_count; i++) {
		if (!item_is_closed(decider->items[i]))
			return true;
	}
	return false;
}

static void
item_mode_set(decider_item_t *item, rollout_mode_t mode, uint64_t now)
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

static decider_member_t *
member_find(const rollout_decider_t *decider, uint64_t node)
{
	for (size_t i = 0; i < decider->member_count; i++) {
		if (decider->members[i].node == node)
			return &decider->members[i];
	}
	return NULL;
}

static decider_member_t *
member_get(rollout_decider_t *decider, uint64_t node)
{
	decider_member_t *member = member_find(decider, node);

	if (member != NULL)
		return member;
	if (decider->member_count == decider->member_capacity) {
		size_t capacity = MAX_OF(64, 2 * decider->member_capacity);
		decider_member_t *grown =
		    realloc(decider->members, capacity * sizeof(*grown));

		if (grown == NULL)
			return NULL;
		decider->members = grown;
		decider->member_capacity = capacity;
	}
	member = &decider->members[decider->member_count++];
	memset(member, 0, sizeof(*member));
	member->node = node;
	return member;
}

static decider_report_t *
report_find(const decider_item_t *item, uint64_t node)
{
	for (size_t i = 0; i < item->report_count; i++) {
		if (item->reports[i].node == node)
			return &item->reports[i];
	}
	return NULL;
}

void
rollout_decider_member_update(
    rollout_decider_t *decider, const member_t *update, uint64_t now)
{
	decider_member_t *member = member_get(decider, update->node);
	const instance_t *instance = &update->instance;

	if (member == NULL)
		return;
	if (member->incarnation != update->incarnation) {
		/* Another process there knows no step; its counts start again. */
		for (size_t i = 0; i < decider->item_count; i++) {
			decider_report_t *report =
			    report_find(decider->items[i], update->node);

			if (report != NULL)
				report->mode = ROLLOUT_HOLD;
		}
	}
	member->incarnation = update->incarnation;
	member->usable = update->state != MEMBER_DOWN && update->reachable;
	if (strcmp(member->service, instance->service) != 0 ||
	    strcmp(member->release, instance->release) != 0)
		member->ready_at = 0;
	member->state = instance->state;
	string_copy(member->service, sizeof(member->service), instance->service);
	string_copy(member->release, sizeof(member->release), instance->release);
	if (instance->state != INSTANCE_READY)
		member->ready_at = 0;
	else if (member->ready_at == 0)
		member->ready_at = now;
}

void
rollout_decider_member_remove(rollout_decider_t *decider, uint64_t node)
{
	decider_member_t *member = member_find(decider, node);

	if (member != NULL)
		*member = decider->members[--decider->member_count];
}

/* Ready instances of the service: of the release, or with others all others. */
static size_t
instances_count(const rollout_decider_t *decider, const rollout_order_t *order,
    bool others, uint64_t *ready_first)
{
	size_t count = 0;

	for (size_t i = 0; i < decider->member_count; i++) {
		const decider_member_t *member = &decider->members[i];
		bool is_target = strcmp(member->release, order->release) == 0;

		if (!member->usable || member->ready_at == 0 || is_target == others ||
		    strcmp(member->service, order->service) != 0)
			continue;
		count++;
		if (ready_first != NULL && member->ready_at < *ready_first)
			*ready_first = member->ready_at;
	}
	return count;
}

static decider_item_t *
item_find(const rollout_decider_t *decider, const char *service, const char *release)
{
	for (size_t i = 0; i < decider->item_count; i++) {
		const rollout_order_t *order = &decider->items[i]->order;

		if (strcmp(order->service, service) == 0 &&
		    strcmp(order->release, release) == 0)
			return decider->items[i];
	}
	return NULL;
}

/* A decider that started after the order takes the deadline from an earlier one. */
static void
seen_at_lower(decider_item_t *item, uint64_t elapsed, uint64_t now)
{
	uint64_t passed = MIN_OF(elapsed, now / NS_PER_MS) * NS_PER_MS;

	item->seen_at = MIN_OF(item->seen_at, now - passed);
}

void
rollout_decider_step_heard(
    rollout_decider_t *decider, const rollout_step_t *step, uint64_t now)
{
	decider_item_t *item = item_find(decider, step->service, step->release);

	if (!mode_is_final(step->mode))
		decider->heard_at = now;
	if (item == NULL || item->order.revision != step->order ||
	    rollout_decider_leads(decider, now) || mode_is_final(item->mode))
		return;
	seen_at_lower(item, step->elapsed_ms, now);
	if (step->mode > item->mode)
		item_mode_set(item, step->mode, now);
	/* The status is read again, by a node that has to write it. */
	if (mode_is_final(step->mode))
		decider->statuses_needed = true;
}

void
rollout_decider_report(rollout_decider_t *decider, uint64_t node,
    const rollout_report_t *update, uint64_t now)
{
	decider_item_t *item = item_find(decider, update->service, update->release);
	decider_report_t *report;

	if (item == NULL || item->order.revision != update->order)
		return;
	seen_at_lower(item, update->elapsed_ms, now);
	report = report_find(item, node);
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
	report->mode = update->mode;
	report->others_in_flight = update->others_in_flight;
	report->target = update->target;
	report->base = update->base;
}

static uint64_t
elapsed_ms(const decider_item_t *item, uint64_t now)
{
	return (now - MIN_OF(item->seen_at, now)) / NS_PER_MS;
}

static bool
ramp_has_passed(const decider_item_t *item, uint32_t percent, uint64_t now)
{
	return elapsed_ms(item, now) * 100 >= (uint64_t)item->order.ramp_ms * percent;
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
static size_t
nodes_missing(const rollout_decider_t *decider, const decider_item_t *item)
{
	size_t missing = 0;

	for (size_t i = 0; i < decider->member_count; i++) {
		const decider_member_t *member = &decider->members[i];
		const decider_report_t *report = report_find(item, member->node);

		missing +=
		    member->usable && (report == NULL || report->mode < ROLLOUT_FULL ||
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
		item_mode_set(item, ROLLOUT_STOPPED, now);
	switch (item->mode) {
	case ROLLOUT_HOLD:
		if (!item->claimed ||
		    instances_count(decider, &item->order, false, &ready_at) == 0)
			break;
		if (instances_count(decider, &item->order, true, NULL) == 0)
			item->moves = true;
		else if (now >= ready_at + warmup)
			item_mode_set(item, ROLLOUT_SAMPLE, now);
		break;
	case ROLLOUT_SAMPLE:
		if (now < item->verdict_at + VERDICT_INTERVAL_MS * NS_PER_MS)
			break;
		answers = verdict_update(item, now);
		if (verdict_is_bad(item)) {
			item->moves = false;
			item_mode_set(item, ROLLOUT_STOPPED, now);
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
	if (mode_is_final(item->mode))
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
		    nodes_missing(decider, item) == 0)
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

	if (!item->restored || (item_is_closed(item) && !item->claimed))
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
	call->state.elapsed_ms = elapsed_ms(item, now);
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
		return decider->rank >= 0 && has_open_items(decider) &&
		       may_compete(decider, now) &&
		       call_begin(decider, call, ROLLOUT_CALL_LEASE, now);
	if (!decider->leads)
		return call_begin(decider, call, ROLLOUT_CALL_LEADER, now);
	if (decider->rank < 0 || !has_open_items(decider))
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
	decider_item_t *item = item_find(decider, order->service, order->release);

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

		if (item_is_closed(item) && !answer_has_order(answer, &item->order))
			item_free(item);
		else
			decider->items[kept++] = item;
	}
	decider->item_count = kept;
}

static void
orders_receive(rollout_decider_t *decider, const rollout_answer_t *answer, uint64_t now)
{
	decider->orders_needed = false;
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
		decider_item_t *item = item_find(decider, state->service, state->release);

		if (item == NULL)
			continue;
		item->state_revision = state->revision;
		if (state->order != item->order.revision)
			continue;
		item->kept = state->mode;
		seen_at_lower(item, state->elapsed_ms, now);
		if (state->mode > item->mode && !mode_is_final(item->mode))
			item_mode_set(item, state->mode, now);
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
			item_mode_set(item, ROLLOUT_DONE, now);
		else if (status->outcome == ROLLOUT_ROLLED_BACK)
			item_mode_set(item, ROLLOUT_STOPPED, now);
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
	item->claimed = true;
	item->kept = decider->mode_called;
	if (item->kept == ROLLOUT_FULL && item->mode < ROLLOUT_FULL)
		item_mode_set(item, ROLLOUT_FULL, now);
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
		item_mode_set(item, ROLLOUT_DONE, now);
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
		report = report_find(item, member->node);
		if (mode_is_final(item->mode) && report != NULL &&
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
		if (!mode_is_final(item->mode) && (!leads || !item->claimed))
			continue;
		item->step_at =
		    now + (mode_is_final(item->mode) ? FINAL_INTERVAL_MS
						     : ROLLOUT_STEP_INTERVAL_MS) *
			      NS_PER_MS;
		*count = step_nodes(decider, item, nodes, max);
		if (*count == 0)
			continue;
		serving = instances_count(decider, &item->order, true, NULL);
		memset(step, 0, sizeof(*step));
		memcpy(step->service, item->order.service, NAME_BYTES);
		memcpy(step->release, item->order.release, NAME_BYTES);
		step->order = item->order.revision;
		step->mode = item->mode;
		step->permille = permille;
		step->elapsed_ms = elapsed_ms(item, now);
		step->instances =
		    (uint32_t)MAX_OF((serving * permille + 999) / 1000, (size_t)1);
		return true;
	}
	return false;
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
		    .elapsed_ms = elapsed_ms(item, now),
		    .answers = rollout_counts_answers(&sum),
		    .nodes_missing = nodes_missing(decider, item),
		    .changed = item->changed};
		item->changed = false;
	}
	return count;
}
