/*
 * Quotas of workspaces at the entry: a request takes a token before its first attempt, or
 * waits for one.
 */
#include "entry_internal.h"

#include <string.h>

static uint64_t
request_workspace(const entry_request_t *request)
{
	return hash_string(request->workspace->name);
}

/* A nested call has no workspace of its own, and is not charged. */
static bool
request_is_charged(const entry_request_t *request)
{
	return request->workspace != NULL && request->workspace->rate > 0.0 &&
	       !request->route->key_exempt;
}

static void
ask_post(entry_t *entry, uint64_t workspace)
{
	uint32_t tokens =
	    quota_lease_ask(entry->quota, workspace, kernel_now(entry->kernel));
	message_t *message;

	if (tokens == 0)
		return;
	metrics_add(kernel_metrics(entry->kernel), METRIC_QUOTA_ASKED, tokens);
	message = message_create(MESSAGE_QUOTA_ASK, 0, 0);
	if (message != NULL)
		message->u.quota =
		    (quota_item_t){.workspace = workspace, .tokens = tokens};
	kernel_message_post(entry->kernel, &entry->service,
	    kernel_service_find(entry->kernel, "quota"), message);
}

static reason_t
verdict_apply(entry_request_t *request, const quota_take_t *take)
{
	metrics_t *metrics = kernel_metrics(request->entry->kernel);

	switch (take->verdict) {
	case QUOTA_ADMITTED:
		metrics_add(metrics, METRIC_QUOTA_ADMITTED, 1);
		request->quota_until = take->until;
		break;
	case QUOTA_ADMITTED_BY_RESERVE:
		metrics_add(metrics, METRIC_QUOTA_RESERVE, 1);
		break;
	case QUOTA_WAITING:
		break;
	case QUOTA_REFUSED:
		request->refusal.retry_after_ms = take->retry_ms;
		return REASON_QUOTA_EXCEEDED;
	}
	return REASON_NONE;
}

reason_t
entry_quota_admit(entry_request_t *request)
{
	entry_t *entry = request->entry;
	uint64_t now = kernel_now(entry->kernel);
	uint64_t workspace;
	quota_take_t take;

	if (!request_is_charged(request))
		return REASON_NONE;
	workspace = request_workspace(request);
	take = quota_lease_take(entry->quota, workspace, request->workspace->rate, now);
	if (take.verdict == QUOTA_WAITING) {
		metrics_add(kernel_metrics(entry->kernel), METRIC_QUOTA_WAITED, 1);
		request->quota_deadline = now + QUOTA_WAIT_MS * NS_PER_MS;
		list_append(&entry->quota_waiting, &request->quota_link);
		ev_timer_start(kernel_loop(entry->kernel), &entry->quota_timer);
	}
	ask_post(entry, workspace);
	return verdict_apply(request, &take);
}

bool
entry_quota_is_waiting(const entry_request_t *request)
{
	return !list_is_empty(&request->quota_link);
}

bool
entry_quota_retry(entry_request_t *request, reason_t *reason)
{
	entry_t *entry = request->entry;
	uint64_t now = kernel_now(entry->kernel);
	uint64_t workspace = request_workspace(request);
	quota_take_t take =
	    quota_lease_retake(entry->quota, workspace, request->workspace->rate, now);

	*reason = verdict_apply(request, &take);
	if (take.verdict == QUOTA_WAITING && now < request->quota_deadline) {
		ask_post(entry, workspace);
		return false;
	}
	if (take.verdict == QUOTA_WAITING) {
		quota_lease_leave(entry->quota, workspace);
		*reason = REASON_QUOTA_UNKNOWN;
	}
	list_remove(&request->quota_link);
	return true;
}

void
entry_quota_cancel(entry_request_t *request)
{
	if (!entry_quota_is_waiting(request))
		return;
	quota_lease_leave(request->entry->quota, request_workspace(request));
	list_remove(&request->quota_link);
}

void
entry_quota_give_back(entry_request_t *request)
{
	entry_t *entry = request->entry;

	if (request->quota_until != 0 &&
	    quota_lease_give_back(entry->quota, request_workspace(request),
		request->quota_until, kernel_now(entry->kernel)))
		metrics_add(kernel_metrics(entry->kernel), METRIC_QUOTA_RETURNED, 1);
	request->quota_until = 0;
}
