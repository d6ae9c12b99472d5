/*
 * What a decider knows of members, and what they reported.
 */
#include "rollout_internal.h"

#include <stdlib.h>
#include <string.h>

decider_member_t *
rollout_member_find(const rollout_decider_t *decider, uint64_t node)
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
	decider_member_t *member = rollout_member_find(decider, node);

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

decider_report_t *
rollout_report_find(const decider_item_t *item, uint64_t node)
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
			    rollout_report_find(decider->items[i], update->node);

			if (report != NULL)
				report->mode = ROLLOUT_HOLD;
		}
	}
	member->incarnation = update->incarnation;
	memcpy(member->zone, update->zone, sizeof(member->zone));
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
	decider_member_t *member = rollout_member_find(decider, node);

	if (member != NULL)
		*member = decider->members[--decider->member_count];
}

/* Ready instances of the service: of the release, or with others all others. */
size_t
rollout_instances_count(const rollout_decider_t *decider, const rollout_order_t *order,
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

decider_item_t *
rollout_item_find(
    const rollout_decider_t *decider, const char *service, const char *release)
{
	for (size_t i = 0; i < decider->item_count; i++) {
		const rollout_order_t *order = &decider->items[i]->order;

		if (strcmp(order->service, service) == 0 &&
		    strcmp(order->release, release) == 0)
			return decider->items[i];
	}
	return NULL;
}
