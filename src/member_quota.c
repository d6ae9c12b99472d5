/*
 * Asks for workspaces' quotas and grants: carried by datagrams of membership, since they
 * are short, may be lost, and have to reach any member without a connection.
 */
#include "member_internal.h"

bool
member_send_quota(member_table_t *table, uint64_t node, bool grants,
    const member_quota_t *items, size_t count, uint64_t now, list_t *actions)
{
	const member_entry_t *entry = member_entry_find(table, node);
	Masticpitch__Quota quota = MASTICPITCH__QUOTA__INIT;
	Masticpitch__QuotaAsk asks[MEMBER_QUOTA_ITEMS_MAX];
	Masticpitch__QuotaAsk *ask_pointers[MEMBER_QUOTA_ITEMS_MAX];
	Masticpitch__QuotaGrant answers[MEMBER_QUOTA_ITEMS_MAX];
	Masticpitch__QuotaGrant *answer_pointers[MEMBER_QUOTA_ITEMS_MAX];
	const datagram_options_t options = {
	    .kind = MASTICPITCH__DATAGRAM__KIND__QUOTA, .quota = &quota};

	if (entry == NULL || count > MEMBER_QUOTA_ITEMS_MAX)
		return false;
	for (size_t i = 0; i < count; i++) {
		masticpitch__quota_ask__init(&asks[i]);
		masticpitch__quota_grant__init(&answers[i]);
		asks[i].workspace = answers[i].workspace = items[i].workspace;
		asks[i].tokens = answers[i].tokens = items[i].tokens;
		answers[i].retry_ms = items[i].retry_ms;
		answers[i].hold = items[i].hold;
		ask_pointers[i] = &asks[i];
		answer_pointers[i] = &answers[i];
	}
	quota.asks = ask_pointers;
	quota.n_asks = grants ? 0 : count;
	quota.grants = answer_pointers;
	quota.n_grants = grants ? count : 0;
	member_send(table, &entry->member.address, entry, &options, now, actions);
	return true;
}

static void
item_pass(
    uint64_t node, member_action_type_t type, const member_quota_t *item, list_t *actions)
{
	member_action_t *action = member_action_append(actions, type);

	if (action == NULL)
		return;
	action->node = node;
	action->u.quota = *item;
}

void
member_quota_receive(uint64_t node, const Masticpitch__Quota *quota, list_t *actions)
{
	for (size_t i = 0; i < quota->n_asks; i++) {
		const member_quota_t item = {.workspace = quota->asks[i]->workspace,
		    .tokens = quota->asks[i]->tokens};

		item_pass(node, MEMBER_ACTION_QUOTA_ASK, &item, actions);
	}
	for (size_t i = 0; i < quota->n_grants; i++) {
		const member_quota_t item = {.workspace = quota->grants[i]->workspace,
		    .tokens = quota->grants[i]->tokens,
		    .retry_ms = quota->grants[i]->retry_ms,
		    .hold = quota->grants[i]->hold};

		item_pass(node, MEMBER_ACTION_QUOTA_GRANT, &item, actions);
	}
}
