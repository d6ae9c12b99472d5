#include "entry_internal.h"

#include <stdio.h>
#include <stdlib.h>

static int64_t
elapsed_ms(uint64_t from, uint64_t to)
{
	return to > from ? (int64_t)((to - from) / NS_PER_MS) : 0;
}

void
entry_request_log(const entry_request_t *request, exchange_end_t end)
{
	bool delivered = end == EXCHANGE_END_DELIVERED;
	const entry_t *entry = request->entry;
	const call_head_t *head = request->head;
	uint64_t now = kernel_now(entry->kernel);
	bool refused = request->refusal.reason != REASON_NONE;
	const char *outcome = end == EXCHANGE_END_DROPPED ? "not-read"
			      : refused			  ? "refused"
			      : request->answer_cut	  ? "cut"
			      : !delivered		  ? "caller-left"
			      : request->answer_end	  ? "answered"
							  : "unfinished";
	bool served = delivered && !refused && !request->answer_cut &&
		      request->answer != NULL && request->answer->status < 500;
	char node[17];

	snprintf(
	    node, sizeof(node), "%016llx", (unsigned long long)request->attempt.node);
	LOG_EVENT(kernel_log(entry->kernel), served ? LOG_LEVEL_INFO : LOG_LEVEL_WARNING,
	    served ? "request served" : "request not served",
	    LOG_TEXT("request", head->request_id), LOG_TEXT("outcome", outcome),
	    LOG_NUMBER("status", request->answer != NULL ? request->answer->status : 0),
	    LOG_TEXT("reason", reason_text(request->refusal.reason)),
	    LOG_TEXT("run", run_state_text(request->refusal.run)),
	    LOG_TEXT("route", request->route != NULL ? request->route->name : ""),
	    LOG_TEXT("service", head->service), LOG_TEXT("workspace", head->workspace),
	    LOG_NUMBER(
		"version", request->snapshot != NULL ? request->snapshot->version : 0),
	    LOG_TEXT("class", route_class_text(head->route_class)),
	    LOG_NUMBER("rank", head->rank), LOG_NUMBER("attempts", request->attempts),
	    LOG_TEXT("instance_node", node),
	    LOG_NUMBER("first_byte_ms",
		request->first_byte_at != 0
		    ? elapsed_ms(request->accepted_at, request->first_byte_at)
		    : -1),
	    LOG_NUMBER("ms", elapsed_ms(request->accepted_at, now)),
	    LOG_NUMBER("deadline_left_ms", elapsed_ms(now, head->deadline)),
	    LOG_NUMBER("retry_after_ms", request->refusal.retry_after_ms));
}

#define REPORT_TEXT_MAX_BYTES (4 * 1024 * 1024)

static void
views_write(entry_t *entry, const preset_service_t *service, buffer_t *text)
{
	static const char *const states[] = {"none", "starting", "ready", "leaving"};
	static const char *const roles[] = {"serves", "sampled", "held"};
	size_t max = balance_instance_count(entry->balance);
	balance_view_t *views = calloc(max + 1, sizeof(*views));
	size_t count = 0;

	if (views != NULL)
		count = balance_views(
		    entry->balance, service, kernel_now(entry->kernel), views, max);
	buffer_printf(text, "\"instances\":[");
	for (size_t i = 0; i < count; i++) {
		const balance_view_t *view = &views[i];

		buffer_printf(text,
		    "%s{\"node\":\"%016llx\",\"service\":\"%s\",\"zone\":\"%s\","
		    "\"state\":\"%s\",\"reachable\":%s,\"usable\":%s,\"ejected\":%s,"
		    "\"in_flight\":%u,\"running\":%u,\"queued\":%u,\"limit\":%u,"
		    "\"slots\":%u,\"latency_us\":%u,\"weight_percent\":%u,"
		    "\"speed_percent\":%u,\"host_percent\":%u,\"useful\":%u,"
		    "\"successes\":%llu,\"failures\":%llu,\"release\":\"%s\","
		    "\"rollout\":\"%s\"}",
		    i == 0 ? "" : ",", (unsigned long long)view->node, view->service,
		    view->zone, states[view->state], view->reachable ? "true" : "false",
		    view->usable ? "true" : "false", view->ejected ? "true" : "false",
		    view->in_flight, view->load.running, view->load.queued,
		    view->load.limit, view->load.slots, view->latency_us,
		    view->weight_percent, view->load.speed_percent,
		    view->load.host_percent, view->load.useful,
		    (unsigned long long)view->successes,
		    (unsigned long long)view->failures, view->release, roles[view->role]);
	}
	buffer_printf(text, "]");
	free(views);
}

static void
explain_write(entry_t *entry, const query_t *query, buffer_t *text)
{
	const preset_t *preset = entry->snapshot == NULL ? NULL : entry->snapshot->preset;
	const preset_route_t *route =
	    preset == NULL ? NULL : preset_route_find(preset, query->method, query->path);
	const preset_service_t *service;

	if (route == NULL) {
		buffer_printf(text, "{\"route\":null,\"reason\":\"%s\"}",
		    reason_text(
			preset == NULL ? REASON_NO_CONFIGURATION : REASON_NO_ROUTE));
		return;
	}
	service = &preset->services[route->service];
	buffer_printf(text,
	    "{\"route\":\"%s\",\"prefix\":\"%s\",\"service\":\"%s\",\"class\":\"%s\","
	    "\"idempotent\":%s,\"key_exempt\":%s,\"deadline_ms\":%u,"
	    "\"min_attempt_ms\":%u,\"attempts\":%u,"
	    "\"body_limit_bytes\":%llu,\"retry_budget\":%.1f,\"queue_limit\":%u,"
	    "\"in_flight_limit\":%u,\"spill_percent\":%u,",
	    route->name, route->prefix, service->name,
	    route_class_text(route->route_class), route->idempotent ? "true" : "false",
	    preset->workspace_count == 0 || route->key_exempt ? "true" : "false",
	    route->deadline_ms, route->min_attempt_ms, route->attempts,
	    (unsigned long long)route->body_limit_bytes,
	    retry_budget(entry->retry, service->name), service->queue_limit,
	    service->in_flight_limit, service->spill_percent);
	views_write(entry, service, text);
	buffer_printf(text, "}");
}

static void
status_write(entry_t *entry, buffer_t *text)
{
	buffer_printf(text,
	    "{\"entry\":{\"in_flight\":%u,\"version\":%llu,\"policy\":\"%s\","
	    "\"instances\":%zu,\"workspaces\":%zu,\"crash_suspects\":%zu,"
	    "\"leaving\":%s}}",
	    limit_entry_in_flight(entry->limit),
	    (unsigned long long)(entry->snapshot == NULL ? 0 : entry->snapshot->version),
	    entry->naive ? "naive" : "adaptive", balance_instance_count(entry->balance),
	    entry->snapshot == NULL ? (size_t)0
				    : entry->snapshot->preset->workspace_count,
	    quarantine_count(entry->quarantine, kernel_now(entry->kernel)),
	    entry->leaving ? "true" : "false");
}

void
entry_report(entry_t *entry, const message_t *query)
{
	message_t *message = message_create(MESSAGE_REPORT, query->node, query->stream);
	buffer_t text;

	buffer_init(&text, REPORT_TEXT_MAX_BYTES);
	switch (query->u.query.kind) {
	case QUERY_STATUS:
		status_write(entry, &text);
		break;
	case QUERY_INSTANCES:
		buffer_printf(&text, "{");
		views_write(entry, NULL, &text);
		buffer_printf(&text, "}");
		break;
	case QUERY_EXPLAIN:
		explain_write(entry, &query->u.query, &text);
		break;
	case QUERY_QUOTA:
		break;
	}
	if (message != NULL)
		message->u.report = chunk_copy(text.data, text.size);
	buffer_free(&text);
	kernel_message_post(entry->kernel, &entry->service, query->from, message);
}
