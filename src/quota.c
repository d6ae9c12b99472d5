#include "quota.h"

#include "quota_owner.h"
#include "quota_rank.h"
#include "quota_table.h"
#include "snapshot.h"

#include <stdio.h>
#include <stdlib.h>

/* Period in which ages and silent members are looked at, ms. */
#define TICK_MS 100
/* Answer to an operator's query, bytes. */
#define REPORT_MAX_BYTES 1024

struct quota {
	kernel_t *kernel;
	service_t service;
	uint64_t node;
	quota_table_t table;
	quota_owner_t *owner;
	quota_rank_t *rank;
	uint64_t pruned_generation;
	size_t members_posted;
	ev_timer ticker;
};

static void
item_post(quota_t *quota, const char *to, message_type_t type, uint64_t node,
    const quota_item_t *item)
{
	message_t *message = message_create(type, node, 0);

	if (message != NULL)
		message->u.quota = *item;
	kernel_message_post(quota->kernel, &quota->service,
	    kernel_service_find(quota->kernel, to), message);
}

/* Answers an ask, of this node's entry if node is 0. */
static void
grant_post(quota_t *quota, uint64_t node, const quota_item_t *item)
{
	item_post(
	    quota, node == 0 ? "entry" : "membership", MESSAGE_QUOTA_GRANT, node, item);
}

/* The entry divides its reserve by the number of members. */
static void
members_post(quota_t *quota)
{
	size_t members = quota_rank_known(quota->rank);
	message_t *message;

	if (members == quota->members_posted || quota->table.count == 0)
		return;
	message = message_create(MESSAGE_QUOTA_MEMBERS, 0, 0);
	if (message == NULL)
		return;
	quota->members_posted = members;
	message->u.members = members;
	kernel_message_post(quota->kernel, &quota->service,
	    kernel_service_find(quota->kernel, "entry"), message);
}

static bool
workspace_is_owned(void *context, uint64_t workspace)
{
	quota_t *quota = context;
	quota_row_t *row = quota_table_find(&quota->table, workspace);

	return row != NULL && quota_row_owner(row, quota->rank) == quota->node;
}

/* A bucket is dropped as soon as its owner changes: the next owner starts at zero. */
static void
owner_prune(quota_t *quota)
{
	size_t lost;

	if (quota->pruned_generation == quota_rank_generation(quota->rank))
		return;
	quota->pruned_generation = quota_rank_generation(quota->rank);
	lost = quota_owner_prune(quota->owner, workspace_is_owned, quota);
	metrics_set(kernel_metrics(quota->kernel), METRIC_QUOTA_OWNED,
	    quota_owner_count(quota->owner));
	if (lost > 0)
		log_info(kernel_log(quota->kernel), "quotas have another owner now",
		    LOG_NUMBER("lost", lost),
		    LOG_NUMBER("kept", quota_owner_count(quota->owner)),
		    LOG_NUMBER("members", quota_rank_known(quota->rank)));
}

static void
rank_changed(quota_t *quota)
{
	owner_prune(quota);
	members_post(quota);
}

/* Called at each tick: the members of a zone become unreachable one after the other. */
static void
share_show(quota_t *quota)
{
	uint64_t share = (uint64_t)(quota_rank_share(quota->rank) * 100.0);
	metrics_t *metrics = kernel_metrics(quota->kernel);

	if (share == metrics->values[METRIC_QUOTA_SHARE])
		return;
	metrics_set(metrics, METRIC_QUOTA_SHARE, share);
	log_info(kernel_log(quota->kernel), "part of quotas to lend changed",
	    LOG_NUMBER("percent", share),
	    LOG_NUMBER("members", quota_rank_known(quota->rank)));
}

/* Lends tokens of a quota that this node owns. */
static void
quota_lend(quota_t *quota, const quota_row_t *row, uint64_t node, quota_item_t *item)
{
	metrics_t *metrics = kernel_metrics(quota->kernel);
	uint64_t now = kernel_now(quota->kernel);
	size_t count = quota_owner_count(quota->owner);
	quota_grant_t grant = quota_owner_lend(quota->owner, row->workspace, &row->limit,
	    quota_rank_share(quota->rank), item->tokens,
	    quota_rank_changed_at(quota->rank), now);

	if (quota_owner_count(quota->owner) != count) {
		char text[17];

		snprintf(
		    text, sizeof(text), "%016llx", (unsigned long long)row->workspace);
		metrics_set(metrics, METRIC_QUOTA_OWNED, count + 1);
		log_info(kernel_log(quota->kernel), "first ask for a quota of this node",
		    LOG_TEXT("workspace_hash", text),
		    LOG_NUMBER("rate", (uint64_t)row->limit.rate),
		    LOG_NUMBER("owned", count + 1));
	}
	item->tokens = grant.tokens;
	item->retry_ms = grant.retry_ms;
	item->hold = grant.hold;
	metrics_add(metrics, METRIC_QUOTA_LENT, grant.tokens);
	if (grant.tokens == 0)
		metrics_add(metrics, METRIC_QUOTA_NOT_LENT, 1);
	grant_post(quota, node, item);
}

static void
ask_receive(quota_t *quota, const message_t *message)
{
	quota_item_t item = message->u.quota;
	quota_row_t *row = quota_table_find(&quota->table, item.workspace);
	uint64_t owner = row == NULL ? 0 : quota_row_owner(row, quota->rank);

	if (row != NULL && owner == quota->node &&
	    quota_rank_may_lend(quota->rank, kernel_now(quota->kernel))) {
		quota_lend(quota, row, message->node, &item);
		return;
	}
	if (message->node == 0 && owner != 0 && owner != quota->node) {
		item_post(quota, "membership", MESSAGE_QUOTA_ASK, owner, &item);
		return;
	}
	metrics_add(kernel_metrics(quota->kernel), METRIC_QUOTA_MISDIRECTED, 1);
	item.tokens = 0;
	item.retry_ms = 0;
	grant_post(quota, message->node, &item);
}

static void
snapshot_receive(quota_t *quota, const message_t *message)
{
	if (quota_table_read(&quota->table, message->u.snapshot->preset) !=
	    MASTICPITCH_OK)
		log_error(kernel_log(quota->kernel),
		    "no memory for quotas; their requests are refused");
	if (quota->table.count > 0)
		ev_timer_start(kernel_loop(quota->kernel), &quota->ticker);
	else
		ev_timer_stop(kernel_loop(quota->kernel), &quota->ticker);
	quota_owner_prune(quota->owner, workspace_is_owned, quota);
	members_post(quota);
}

/* Answers an operator's query. Names contain no character that JSON has to escape. */
static void
query_answer(quota_t *quota, const message_t *query)
{
	message_t *report = message_create(MESSAGE_REPORT, query->node, query->stream);
	const char *name = query->u.query.path;
	quota_row_t *row = quota_table_find(&quota->table, hash_string(name));
	buffer_t text;

	buffer_init(&text, REPORT_MAX_BYTES);
	if (row == NULL) {
		buffer_printf(
		    &text, "{\"error\":\"no workspace of that name has a quota\"}");
	} else {
		uint64_t owner = quota_row_owner(row, quota->rank);

		buffer_printf(&text,
		    "{\"workspace\":\"%s\",\"rate_per_s\":%g,\"burst\":%g,"
		    "\"owner\":\"%016llx\",\"owned_here\":%s,\"tokens\":%.1f,"
		    "\"share_percent\":%.0f,\"members\":%zu}",
		    name, row->limit.rate, row->limit.burst, (unsigned long long)owner,
		    owner == quota->node ? "true" : "false",
		    quota_owner_tokens(quota->owner, row->workspace),
		    quota_rank_share(quota->rank) * 100.0, quota_rank_known(quota->rank));
	}
	if (report != NULL)
		report->u.report = chunk_copy(text.data, text.size);
	buffer_free(&text);
	kernel_message_post(quota->kernel, &quota->service, query->from, report);
}

static void
quota_receive(void *state, message_t *message)
{
	quota_t *quota = state;
	uint64_t now = kernel_now(quota->kernel);

	switch (message->type) {
	case MESSAGE_MEMBER:
		if (quota_rank_member(quota->rank, &message->u.member, now,
			os_clock_wall_ms()) != MASTICPITCH_OK)
			log_warning(kernel_log(quota->kernel),
			    "no memory for a member; it owns no quota");
		rank_changed(quota);
		break;
	case MESSAGE_MEMBER_REMOVED:
		quota_rank_remove(quota->rank, message->node, now);
		rank_changed(quota);
		break;
	case MESSAGE_LEAVE:
		quota_rank_leave(quota->rank, now);
		rank_changed(quota);
		break;
	case MESSAGE_SNAPSHOT:
		snapshot_receive(quota, message);
		break;
	case MESSAGE_QUERY:
		query_answer(quota, message);
		break;
	case MESSAGE_QUOTA_ASK:
		ask_receive(quota, message);
		break;
	case MESSAGE_QUOTA_GRANT:
		item_post(quota, "entry", MESSAGE_QUOTA_GRANT, message->node,
		    &message->u.quota);
		break;
	default:
		break;
	}
}

static void
tick_callback(struct ev_loop *loop, ev_timer *watcher, int events)
{
	quota_t *quota = watcher->data;

	quota_rank_tick(quota->rank, kernel_now(quota->kernel), os_clock_wall_ms());
	rank_changed(quota);
	share_show(quota);
}

int
quota_create(kernel_t *kernel, const settings_t *settings, quota_t **result)
{
	quota_t *quota = calloc(1, sizeof(*quota));
	int error = MASTICPITCH_E_NOMEM;

	if (quota == NULL)
		return error;
	quota->kernel = kernel;
	quota->node = address_to_node_id(&settings->peers);
	quota->service.name = "quota";
	quota->service.state = quota;
	quota->service.receive = quota_receive;
	list_init(&quota->service.link);
	ev_timer_init(&quota->ticker, tick_callback, 0., TICK_MS / 1e3);
	quota->ticker.data = quota;
	quota->owner = quota_owner_create();
	quota->rank = quota_rank_create(quota->node, kernel_now(kernel));
	if (quota->owner != NULL && quota->rank != NULL)
		error = kernel_service_register(kernel, &quota->service);
	if (error != MASTICPITCH_OK) {
		quota_destroy(quota);
		return error;
	}
	*result = quota;
	return MASTICPITCH_OK;
}

void
quota_destroy(quota_t *quota)
{
	if (quota == NULL)
		return;
	kernel_service_unregister(quota->kernel, &quota->service);
	ev_timer_stop(kernel_loop(quota->kernel), &quota->ticker);
	quota_owner_destroy(quota->owner);
	quota_rank_destroy(quota->rank);
	quota_table_free(&quota->table);
	free(quota);
}
