#include "entry_internal.h"

#include <stdlib.h>
#include <string.h>

/* Gives this entry its share of the retry allowance of all entries. */
static void
retry_share_set(entry_t *entry)
{
	uint32_t extra = entry->settings->bounds.retry_extra;
	size_t nodes = balance_instance_count(entry->balance);

	if (extra == 0 || nodes == entry->retry_nodes)
		return;
	entry->retry_nodes = nodes;
	retry_tokens_max_set(entry->retry,
	    1 + ENTRY_RETRY_EXTRA_SHARE * extra / (double)MAX_OF(nodes, (size_t)1));
}

static void
member_update(entry_t *entry, const member_t *member)
{
	int error =
	    balance_member_update(entry->balance, member, kernel_now(entry->kernel));

	retry_share_set(entry);
	if (error != MASTICPITCH_OK)
		log_warning(kernel_log(entry->kernel),
		    "member update failed; instance is not used",
		    LOG_TEXT("reason", masticpitch_strerror(error)));
}

/* Updates the local instance, which the local gate reports without gossip. */
static void
local_instance_update(entry_t *entry, const instance_t *instance)
{
	const settings_t *settings = entry->settings;
	member_t member = {
	    .node = entry->node,
	    .address = settings->peers,
	    .state = MEMBER_ALIVE,
	    .instance = *instance,
	    .reachable = true,
	};

	string_copy(member.zone, sizeof(member.zone), settings->zone);
	string_copy(member.region, sizeof(member.region), settings->region);
	member_update(entry, &member);
}

static void
crash_report_receive(entry_t *entry, const message_t *message)
{
	uint64_t fingerprint = message->u.crash_report.fingerprint;

	if (message->u.crash_report.cleared)
		quarantine_clear(entry->quarantine, fingerprint);
	else
		quarantine_report(entry->quarantine, fingerprint,
		    message->u.crash_report.death, kernel_now(entry->kernel));
}

static void
stream_receive(entry_t *entry, message_t *message)
{
	stream_entry_t *found = stream_table_find(&entry->streams, message);
	stream_entry_t *second;

	if (found == NULL) {
		second = stream_table_find(&entry->second_streams, message);
		if (second != NULL) {
			entry_request_t *request =
			    LIST_ENTRY(second, entry_request_t, second);

			if (entry_hedge_receive(request, message))
				entry_attempt_receive(request, message);
			return;
		}
		metrics_add(kernel_metrics(entry->kernel), METRIC_LATE_FRAMES, 1);
		return;
	}
	entry_attempt_receive(LIST_ENTRY(found, entry_request_t, stream), message);
}

static void
entry_leave(entry_t *entry)
{
	uint64_t now = kernel_now(entry->kernel);

	if (entry->leaving)
		return;
	entry->leaving = true;
	entry->accept_deadline = now + entry->settings->shutdown_accept_ms * NS_PER_MS;
	entry->grace_deadline = now + entry->settings->shutdown_grace_ms * NS_PER_MS;
	entry->leave_deadline =
	    now + MIN_OF(ENTRY_LEAVE_IDLE_NS,
		      entry->settings->shutdown_grace_ms * NS_PER_MS / 2);
}

/* Requests that have no answer at the end of the grace period get one that is true. */
static void
entry_stop_waiting(entry_t *entry)
{
	LIST_FOREACH_SAFE (node, &entry->requests) {
		entry_request_t *request = LIST_ENTRY(node, entry_request_t, link);

		if (request->state != REQUEST_ANSWERING)
			entry_request_expire(request, REASON_SHUTDOWN);
	}
}

/* Puts a step in force and reports what this entry saw of the release. */
static void
rollout_step_receive(entry_t *entry, const message_t *message)
{
	metrics_t *metrics = kernel_metrics(entry->kernel);
	const rollout_step_t *step = message->u.step;
	rollout_accept_t result =
	    balance_step_accept(entry->balance, step, kernel_now(entry->kernel));
	rollout_report_t *report = malloc(sizeof(*report));
	message_t *answer = message_create(MESSAGE_ROLLOUT_REPORT, message->node, 0);

	if (result == ROLLOUT_ACCEPTED) {
		metrics_add(metrics, METRIC_ROLLOUT_STEPS, 1);
		log_info(kernel_log(entry->kernel), "rollout: step in force",
		    LOG_TEXT("service", step->service),
		    LOG_TEXT("release", step->release),
		    LOG_TEXT("step", rollout_mode_text(step->mode)),
		    LOG_NUMBER("order", step->order));
	} else if (result != ROLLOUT_CONFIRMED) {
		metrics_add(metrics, METRIC_ROLLOUT_STEPS_REFUSED, 1);
	}
	metrics_set(
	    metrics, METRIC_ROLLOUT_SAMPLED, balance_sampled_count(entry->balance));
	if (answer == NULL || report == NULL ||
	    !balance_rollout_report(
		entry->balance, step, kernel_now(entry->kernel), report)) {
		free(report);
		message_destroy(answer);
		return;
	}
	answer->u.rollout = report;
	kernel_message_post(entry->kernel, &entry->service, message->from, answer);
}

static void
quota_receive(entry_t *entry, const quota_item_t *grant)
{
	const quota_grant_t lent = {
	    .tokens = grant->tokens, .retry_ms = grant->retry_ms, .hold = grant->hold};

	metrics_add(kernel_metrics(entry->kernel), METRIC_QUOTA_GRANTED, grant->tokens);
	quota_lease_granted(
	    entry->quota, grant->workspace, &lent, kernel_now(entry->kernel));
	entry_requests_quota(entry);
}

static void
quota_callback(struct ev_loop *loop, ev_timer *watcher, int events)
{
	entry_t *entry = watcher->data;

	entry_requests_quota(entry);
	if (list_is_empty(&entry->quota_waiting))
		ev_timer_stop(loop, watcher);
}

static void
entry_receive(void *state, message_t *message)
{
	entry_t *entry = state;

	switch (message->type) {
	case MESSAGE_CALL_CREDIT:
	case MESSAGE_ANSWER_HEAD:
	case MESSAGE_ANSWER_DATA:
	case MESSAGE_ANSWER_ABORT:
	case MESSAGE_REFUSAL:
	case MESSAGE_STREAM_LOST:
		stream_receive(entry, message);
		break;
	case MESSAGE_ROLLOUT_STEP:
		rollout_step_receive(entry, message);
		break;
	case MESSAGE_MEMBER:
		if (message->u.member.node != entry->node)
			member_update(entry, &message->u.member);
		break;
	case MESSAGE_MEMBER_REMOVED:
		if (message->u.member.node != entry->node)
			balance_member_remove(entry->balance, message->u.member.node);
		break;
	case MESSAGE_INSTANCE:
		if (message->u.instance.service[0] != '\0')
			memcpy(entry->caller_service, message->u.instance.service,
			    NAME_BYTES);
		local_instance_update(entry, &message->u.instance);
		break;
	case MESSAGE_RUN:
		if (message->u.run.started)
			run_set_add(&entry->running, &message->u.run.item);
		else
			run_set_remove(&entry->running, message->u.run.item.request);
		break;
	case MESSAGE_CRASH_REPORT:
		crash_report_receive(entry, message);
		break;
	case MESSAGE_QUOTA_GRANT:
		quota_receive(entry, &message->u.quota);
		break;
	case MESSAGE_QUOTA_MEMBERS:
		quota_lease_members_set(entry->quota, message->u.members);
		break;
	case MESSAGE_SNAPSHOT:
		quota_lease_sweep(entry->quota, kernel_now(entry->kernel));
		snapshot_release(entry->snapshot);
		entry->snapshot = message->u.snapshot;
		message->u.snapshot = NULL;
		break;
	case MESSAGE_VERIFIED:
		entry->verified_at = message->u.verified_at;
		break;
	case MESSAGE_QUERY:
		entry_report(entry, message);
		break;
	case MESSAGE_LEAVE:
		entry_leave(entry);
		break;
	case MESSAGE_STOP_LISTENING:
		caller_server_stop_listening(entry->callers);
		break;
	case MESSAGE_STOP_WAITING:
		entry_stop_waiting(entry);
		break;
	default:
		break;
	}
}

static bool
entry_is_idle(const void *state)
{
	const entry_t *entry = state;

	if (!list_is_empty(&entry->requests) ||
	    kernel_now(entry->kernel) < entry->accept_deadline)
		return false;
	if (!entry->leaving || entry_connections(entry) == 0)
		return true;
	return kernel_now(entry->kernel) >= entry->leave_deadline &&
	       caller_server_is_settled(entry->callers);
}

static int
policies_create(entry_t *entry)
{
	const settings_t *settings = entry->settings;
	int error = balance_create(entry->naive ? BALANCE_NAIVE : BALANCE_ADAPTIVE,
	    settings->zone, settings->region, &entry->balance);

	if (error == MASTICPITCH_OK) {
		balance_local_set(entry->balance, entry->node);
		if (settings->bounds.exposure_percent > 0)
			balance_rollouts_enable(entry->balance,
			    settings->bounds.exposure_extra,
			    settings->bounds.rollback_ms);
		error = retry_create(
		    entry->naive ? RETRY_NAIVE : RETRY_ADAPTIVE, &entry->retry);
	}
	if (error == MASTICPITCH_OK)
		error = limit_entry_create(
		    settings->requests_max, !entry->naive, &entry->limit);
	if (error == MASTICPITCH_OK)
		error = quarantine_create(&entry->quarantine);
	if (error == MASTICPITCH_OK) {
		entry->quota = quota_lease_create(rng_next(kernel_rng(entry->kernel)));
		error = entry->quota != NULL ? MASTICPITCH_OK : MASTICPITCH_E_NOMEM;
	}
	return error;
}

int
entry_create(kernel_t *kernel, const settings_t *settings, entry_t **result)
{
	entry_t *entry = calloc(1, sizeof(*entry));
	int error;

	if (entry == NULL)
		return MASTICPITCH_E_NOMEM;
	entry->kernel = kernel;
	entry->settings = settings;
	entry->node = address_to_node_id(&settings->peers);
	entry->naive = settings->routing_policy == ROUTING_NAIVE;
	entry->names = dialect_headers(settings->dialect);
	memcpy(entry->caller_service, settings->backend.service, NAME_BYTES);
	entry->service.name = "entry";
	entry->service.state = entry;
	entry->service.receive = entry_receive;
	entry->service.is_idle = entry_is_idle;
	deadline_profile_init(&entry->deadlines);
	capacity_routes_init(&entry->durations);
	hedge_init(&entry->hedge);
	answer_profile_init(&entry->answers);
	run_set_init(&entry->running);
	list_init(&entry->service.link);
	list_init(&entry->requests);
	list_init(&entry->quota_waiting);
	ev_timer_init(&entry->quota_timer, quota_callback, QUOTA_RECHECK_MS / 1e3,
	    QUOTA_RECHECK_MS / 1e3);
	entry->quota_timer.data = entry;
	error = stream_table_init(&entry->streams);
	if (error == MASTICPITCH_OK)
		error = stream_table_init(&entry->second_streams);
	if (error == MASTICPITCH_OK)
		error = policies_create(entry);
	if (error == MASTICPITCH_OK)
		error = entry_callers_open(entry);
	if (error == MASTICPITCH_OK)
		error = kernel_service_register(kernel, &entry->service);
	if (error != MASTICPITCH_OK) {
		entry_destroy(entry);
		return error;
	}
	*result = entry;
	return MASTICPITCH_OK;
}

void
entry_destroy(entry_t *entry)
{
	if (entry == NULL)
		return;
	kernel_service_unregister(entry->kernel, &entry->service);
	caller_server_destroy(entry->callers);
	ev_timer_stop(kernel_loop(entry->kernel), &entry->quota_timer);
	quota_lease_destroy(entry->quota);
	balance_destroy(entry->balance);
	retry_destroy(entry->retry);
	limit_entry_destroy(entry->limit);
	quarantine_destroy(entry->quarantine);
	snapshot_release(entry->snapshot);
	stream_table_free(&entry->streams);
	stream_table_free(&entry->second_streams);
	free(entry);
}
