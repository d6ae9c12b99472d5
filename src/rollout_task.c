#include "rollout_task.h"

#include "http_client.h"
#include "json_text.h"
#include "platform_codec.h"
#include "rollout_codec.h"
#include "rollout_message.h"
#include "spread_members.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* One for the watch, one for the other call. */
#define CONNECTIONS_MAX 2
/* Interval of decisions while there is an order, and otherwise, s. */
#define TICK_ACTIVE_S 0.1
#define TICK_IDLE_S 1.0
/* Keys of this service; a state's key ends in /SERVICE/RELEASE. */
#define STATE_PREFIX "rollout/"
#define LEADER_KEY "rollout-leader"
/*
 * A node is the relay of its zone for so long before it acts as one, ns: a starting node
 * ranks lowest until it knows the others.
 */
#define RELAY_SETTLE_NS (2 * NS_PER_S)
/* Fan-out of the push tree, which this service does not use. */
#define FAN_OUT 8

struct rollout_task {
	kernel_t *kernel;
	const settings_t *settings;
	service_t service;
	http_client_t *http;
	platform_t *platform;
	rollout_decider_t *decider;
	spread_members_t members;
	char zones[ROLLOUT_ITEMS_MAX][ZONE_BYTES]; /* known zones, sorted */
	size_t zone_count;
	uint64_t relay_since; /* 0: this node is not the relay of its zone */
	bool leaving;
	bool led;
	ev_timer timer;
	struct rollout_task_call {
		rollout_task_t *task;
		platform_call_t *call; /* NULL: none */
		rollout_call_kind_t kind;
	} calls[2]; /* the watch, and the other */
};

typedef struct rollout_task_call task_call_t;

static void task_run(rollout_task_t *task);

/* The lists in an answer, decoded. */
typedef struct decoded_lists {
	rollout_order_t orders[ROLLOUT_ITEMS_MAX];
	char unreadable[ROLLOUT_ITEMS_MAX][NAME_BYTES];
	rollout_state_t states[ROLLOUT_ITEMS_MAX];
	rollout_status_t statuses[ROLLOUT_ITEMS_MAX];
} decoded_lists_t;

/* The last part of a key. */
static const char *
key_name(const char *key)
{
	const char *slash = strrchr(key, '/');

	return slash != NULL ? slash + 1 : key;
}

static void
order_decode(rollout_task_t *task, const platform_entry_t *entry, decoded_lists_t *lists,
    rollout_answer_t *answer)
{
	rollout_order_t *order = &lists->orders[answer->order_count];
	const char *name = key_name(entry->key);

	if (answer->order_count == ROLLOUT_ITEMS_MAX ||
	    answer->unreadable_count == ROLLOUT_ITEMS_MAX)
		return;
	if (rollout_order_read(task->settings->dialect, entry->value, entry->size,
		order) == MASTICPITCH_OK &&
	    strcmp(order->service, name) == 0 &&
	    json_name_is_valid(order->release, strlen(order->release))) {
		order->revision = entry->revision;
		answer->order_count++;
		return;
	}
	string_copy(lists->unreadable[answer->unreadable_count++], NAME_BYTES, name);
	metrics_add(kernel_metrics(task->kernel), METRIC_ROLLOUT_ORDERS_INVALID, 1);
	log_warning(kernel_log(task->kernel),
	    "rollout: order cannot be read; what runs there goes on",
	    LOG_TEXT("service", name));
}

static void
entry_decode(rollout_task_t *task, const platform_entry_t *entry, decoded_lists_t *lists,
    rollout_answer_t *answer)
{
	rollout_state_t *state = &lists->states[answer->state_count];
	rollout_status_t *status = &lists->statuses[answer->status_count];

	switch (answer->kind) {
	case ROLLOUT_CALL_ORDERS:
		order_decode(task, entry, lists, answer);
		break;
	case ROLLOUT_CALL_STATES:
		if (answer->state_count == ROLLOUT_ITEMS_MAX ||
		    rollout_state_read(entry->value, entry->size, state) !=
			MASTICPITCH_OK)
			break;
		state->revision = entry->revision;
		answer->state_count++;
		break;
	case ROLLOUT_CALL_STATUSES:
		if (answer->status_count == ROLLOUT_ITEMS_MAX)
			break;
		/* One that cannot be read is replaced, so its revision is needed. */
		(void)rollout_status_read(
		    task->settings->dialect, entry->value, entry->size, status);
		string_copy(status->service, NAME_BYTES, key_name(entry->key));
		status->revision = entry->revision;
		answer->status_count++;
		break;
	default:
		break;
	}
}

static void
call_done(void *state, const platform_answer_t *read)
{
	task_call_t *call = state;
	rollout_task_t *task = call->task;
	decoded_lists_t *lists = calloc(1, sizeof(*lists));
	rollout_answer_t answer = {.kind = call->kind,
	    .outcome = lists != NULL ? read->outcome : PLATFORM_UNKNOWN,
	    .revision = read->revision,
	    .store_revision = read->store_revision,
	    .lease = read->lease};

	call->call = NULL;
	for (size_t i = 0; lists != NULL && i < read->entry_count; i++)
		entry_decode(task, &read->entries[i], lists, &answer);
	if (lists != NULL) {
		answer.orders = lists->orders;
		answer.unreadable = (const char(*)[NAME_BYTES])lists->unreadable;
		answer.states = lists->states;
		answer.statuses = lists->statuses;
	}
	rollout_decider_answer(task->decider, &answer, kernel_now(task->kernel));
	free(lists);
	task_run(task);
}

static void
state_key(const rollout_call_t *call, char key[PLATFORM_KEY_BYTES])
{
	/* Names that make the key too long are refused by the platform client. */
	if (snprintf(key, PLATFORM_KEY_BYTES, STATE_PREFIX "%s/%s", call->state.service,
		call->state.release) >= PLATFORM_KEY_BYTES)
		key[0] = '\0';
}

static int
value_put(rollout_task_t *task, const rollout_call_t *call, task_call_t *slot,
    uint64_t deadline)
{
	dialect_t dialect = task->settings->dialect;
	char key[PLATFORM_KEY_BYTES], guard[PLATFORM_KEY_BYTES];
	platform_put_t put = {.key = key};
	buffer_t text;
	int error;

	buffer_init(&text, 4096);
	if (call->kind == ROLLOUT_CALL_LEADER) {
		snprintf(key, sizeof(key), "%s", LEADER_KEY);
		put.lease = call->lease;
		error = buffer_printf(&text, "{\"node\":\"%016llx\"}",
		    (unsigned long long)address_to_node_id(&task->settings->peers));
	} else if (call->kind == ROLLOUT_CALL_STATE) {
		state_key(call, key);
		put.expect = call->state.revision;
		error = rollout_state_write(&call->state, &text);
	} else {
		snprintf(key, sizeof(key), PLATFORM_KEY_ROLLOUT_STATUS "%s",
		    call->status.service);
		state_key(call, guard);
		put.expect = call->status.revision;
		if (dialect == DIALECT_HOSTED) {
			put.guard = guard;
			put.guard_expect = call->state.revision;
		}
		error = rollout_status_write(dialect, &call->status, &text);
	}
	put.value = (const char *)text.data;
	put.size = text.size;
	if (error == MASTICPITCH_OK)
		error = platform_put(
		    task->platform, &put, deadline, call_done, slot, &slot->call);
	buffer_free(&text);
	return error;
}

static int
call_start(rollout_task_t *task, const rollout_call_t *call, task_call_t *slot)
{
	platform_t *platform = task->platform;
	uint64_t deadline =
	    kernel_now(task->kernel) + task->settings->platform_timeout_ms * NS_PER_MS;

	switch (call->kind) {
	case ROLLOUT_CALL_ORDERS:
		return platform_list(platform, PLATFORM_KEY_ROLLOUT_ORDERS, deadline,
		    call_done, slot, &slot->call);
	case ROLLOUT_CALL_STATES:
		return platform_list(
		    platform, STATE_PREFIX, deadline, call_done, slot, &slot->call);
	case ROLLOUT_CALL_STATUSES:
		return platform_list(platform, PLATFORM_KEY_ROLLOUT_STATUS, deadline,
		    call_done, slot, &slot->call);
	case ROLLOUT_CALL_WATCH:
		return platform_watch(platform, PLATFORM_KEY_ROLLOUT_ORDERS, call->after,
		    ROLLOUT_WATCH_MS, deadline + ROLLOUT_WATCH_MS * NS_PER_MS, call_done,
		    slot, &slot->call);
	case ROLLOUT_CALL_LEASE:
		return platform_lease_create(
		    platform, ROLLOUT_LEASE_MS, deadline, call_done, slot, &slot->call);
	case ROLLOUT_CALL_RENEW:
		return platform_lease_renew(
		    platform, call->lease, deadline, call_done, slot, &slot->call);
	case ROLLOUT_CALL_REVOKE:
		return platform_lease_revoke(
		    platform, call->lease, deadline, call_done, slot, &slot->call);
	case ROLLOUT_CALL_LEADER:
	case ROLLOUT_CALL_STATE:
	case ROLLOUT_CALL_STATUS:
		return value_put(task, call, slot, deadline);
	}
	return MASTICPITCH_E_INVALID;
}

static void
calls_start(rollout_task_t *task)
{
	uint64_t now = kernel_now(task->kernel);
	rollout_call_t call;

	while (rollout_decider_call(task->decider, now, &call)) {
		task_call_t *slot = &task->calls[call.kind != ROLLOUT_CALL_WATCH];
		rollout_answer_t failed = {
		    .kind = call.kind, .outcome = PLATFORM_NOT_SENT};

		slot->task = task;
		slot->kind = call.kind;
		if (call_start(task, &call, slot) != MASTICPITCH_OK)
			rollout_decider_answer(task->decider, &failed, now);
	}
}

static void
control_send(rollout_task_t *task, uint64_t node, chunk_t *payload)
{
	message_t *message = message_create(MESSAGE_CONTROL, node, 0);

	if (message != NULL) {
		message->u.control.kind = CONTROL_ROLLOUT;
		message->u.control.payload = chunk_hold(payload);
	}
	kernel_message_post(task->kernel, &task->service,
	    kernel_service_find(task->kernel, "peer"), message);
}

/* Gives a step to the entry of this node; decider: the node to report to. */
static void
step_deliver(rollout_task_t *task, const rollout_step_t *step, uint64_t decider)
{
	message_t *message = message_create(MESSAGE_ROLLOUT_STEP, decider, 0);

	if (message == NULL)
		return;
	message->u.step = malloc(sizeof(*step));
	if (message->u.step == NULL) {
		message_destroy(message);
		return;
	}
	*message->u.step = *step;
	kernel_message_post(task->kernel, &task->service,
	    kernel_service_find(task->kernel, "entry"), message);
}

static void
steps_send(rollout_task_t *task)
{
	uint64_t self = address_to_node_id(&task->settings->peers);
	size_t max = rollout_decider_member_count(task->decider);
	uint64_t *nodes = calloc(max + 1, sizeof(*nodes));
	rollout_step_t step;
	size_t count;

	while (
	    nodes != NULL && rollout_decider_step(task->decider, kernel_now(task->kernel),
				 &step, nodes, max, &count)) {
		chunk_t *payload = rollout_step_pack(&step);

		for (size_t i = 0; payload != NULL && i < count; i++) {
			if (nodes[i] == self)
				step_deliver(task, &step, self);
			else
				control_send(task, nodes[i], payload);
		}
		chunk_release(payload);
	}
	free(nodes);
}

static void
changes_log(rollout_task_t *task)
{
	metrics_t *metrics = kernel_metrics(task->kernel);
	uint64_t now = kernel_now(task->kernel);
	bool leads = rollout_decider_leads(task->decider, now);
	rollout_view_t views[ROLLOUT_ITEMS_MAX];
	size_t count =
	    rollout_decider_views(task->decider, now, views, ROLLOUT_ITEMS_MAX);

	metrics_set(metrics, METRIC_ROLLOUT_LEADS, leads);
	if (leads != task->led)
		log_info(kernel_log(task->kernel),
		    leads ? "rollout: this node decides"
			  : "rollout: this node no longer decides");
	task->led = leads;
	for (size_t i = 0; i < count; i++) {
		const rollout_view_t *view = &views[i];

		if (!view->changed)
			continue;
		if (leads && view->mode == ROLLOUT_STOPPED)
			metrics_add(metrics, METRIC_ROLLOUT_STOPPED, 1);
		if (leads && view->mode == ROLLOUT_DONE)
			metrics_add(metrics, METRIC_ROLLOUT_COMPLETED, 1);
		log_info(kernel_log(task->kernel), "rollout: step",
		    LOG_TEXT("service", view->order.service),
		    LOG_TEXT("release", view->order.release),
		    LOG_TEXT("step", rollout_mode_text(view->mode)),
		    LOG_TEXT("verdict", rollout_verdict_text(view->verdict)),
		    LOG_NUMBER("elapsed_ms", view->elapsed_ms),
		    LOG_NUMBER("answers", view->answers),
		    LOG_NUMBER("nodes_missing", view->nodes_missing),
		    LOG_NUMBER("written", view->written));
	}
}

/* Rank of this node among the zones' relays; negative: it is none. */
static int
own_rank(rollout_task_t *task)
{
	uint64_t now = kernel_now(task->kernel);
	int rank = 0;

	if (task->leaving || !spread_members_is_relay(&task->members)) {
		task->relay_since = 0;
		return -1;
	}
	if (task->relay_since == 0)
		task->relay_since = now;
	if (now < task->relay_since + RELAY_SETTLE_NS)
		return -1;
	for (size_t i = 0; i < task->zone_count; i++)
		rank += strcmp(task->zones[i], task->settings->zone) < 0;
	return rank;
}

static void
task_run(rollout_task_t *task)
{
	struct ev_loop *loop = kernel_loop(task->kernel);
	uint64_t now = kernel_now(task->kernel);

	rollout_decider_rank_set(task->decider, own_rank(task), now);
	rollout_decider_tick(task->decider, now);
	calls_start(task);
	steps_send(task);
	changes_log(task);
	task->timer.repeat =
	    rollout_decider_is_active(task->decider) ? TICK_ACTIVE_S : TICK_IDLE_S;
	ev_timer_again(loop, &task->timer);
}

static void
timer_callback(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	task_run(timer->data);
}

static void
zone_add(rollout_task_t *task, const char *zone)
{
	for (size_t i = 0; i < task->zone_count; i++) {
		if (strcmp(task->zones[i], zone) == 0)
			return;
	}
	if (task->zone_count < ROLLOUT_ITEMS_MAX)
		string_copy(task->zones[task->zone_count++], ZONE_BYTES, zone);
}

static void
control_receive(rollout_task_t *task, const message_t *message)
{
	const chunk_t *payload = message->u.control.payload;
	rollout_report_t *report = malloc(sizeof(*report));
	rollout_message_kind_t kind;
	rollout_step_t step;
	uint64_t now = kernel_now(task->kernel);

	if (report == NULL)
		return;
	if (payload == NULL || rollout_message_unpack(payload->data, payload->size, &kind,
				   &step, report) != MASTICPITCH_OK) {
		metrics_add(kernel_metrics(task->kernel), METRIC_PEER_BAD_FRAMES, 1);
	} else if (kind == ROLLOUT_MESSAGE_STEP) {
		rollout_decider_step_heard(task->decider, &step, now);
		step_deliver(task, &step, message->node);
	} else {
		rollout_decider_report(task->decider, message->node, report, now);
	}
	free(report);
}

/* From the entry of this node, in answer to a step. */
static void
report_receive(rollout_task_t *task, const message_t *message)
{
	uint64_t self = address_to_node_id(&task->settings->peers);
	chunk_t *payload;

	if (message->node == self) {
		rollout_decider_report(
		    task->decider, self, message->u.rollout, kernel_now(task->kernel));
		return;
	}
	payload = rollout_report_pack(message->u.rollout);
	if (payload == NULL)
		return;
	control_send(task, message->node, payload);
	chunk_release(payload);
}

static void
task_receive(void *state, message_t *message)
{
	rollout_task_t *task = state;
	uint64_t now = kernel_now(task->kernel);

	switch (message->type) {
	case MESSAGE_CONTROL:
		control_receive(task, message);
		break;
	case MESSAGE_ROLLOUT_REPORT:
		report_receive(task, message);
		break;
	case MESSAGE_MEMBER:
		zone_add(task, message->u.member.zone);
		spread_members_update(&task->members, &message->u.member);
		rollout_decider_member_update(task->decider, &message->u.member, now);
		break;
	case MESSAGE_MEMBER_REMOVED:
		spread_members_remove(&task->members, message->u.member.node);
		rollout_decider_member_remove(task->decider, message->u.member.node);
		break;
	case MESSAGE_LEAVE:
		task->leaving = true;
		task_run(task);
		break;
	default:
		break;
	}
}

static int
components_create(rollout_task_t *task)
{
	const settings_t *settings = task->settings;
	kernel_t *kernel = task->kernel;
	uint64_t self = address_to_node_id(&settings->peers);
	rollout_decider_options_t options = {.node = self,
	    .exposure_percent = settings->bounds.exposure_percent,
	    .watches = settings->dialect == DIALECT_HOSTED};
	platform_options_t platform = {.loop = kernel_loop(kernel),
	    .metrics = kernel_metrics(kernel),
	    .dialect = settings->dialect,
	    .url = settings->platform_url,
	    .prefix = settings->platform_prefix};
	int error = http_client_create(kernel_loop(kernel), CONNECTIONS_MAX, &task->http);

	string_copy(options.zone, sizeof(options.zone), settings->zone);

	spread_members_init(
	    &task->members, self, (uint32_t)settings->link_mbps, settings->zone, FAN_OUT);
	if (error != MASTICPITCH_OK)
		return error;
	platform.http = task->http;
	error = platform_create(&platform, &task->platform);
	if (error != MASTICPITCH_OK)
		return error;
	task->decider = rollout_decider_create(&options);
	return task->decider != NULL ? MASTICPITCH_OK : MASTICPITCH_E_NOMEM;
}

int
rollout_task_create(kernel_t *kernel, const settings_t *settings, rollout_task_t **result)
{
	rollout_task_t *task;
	int error;

	*result = NULL;
	if (settings->bounds.exposure_percent == 0)
		return MASTICPITCH_OK;
	task = calloc(1, sizeof(*task));
	if (task == NULL)
		return MASTICPITCH_E_NOMEM;
	task->kernel = kernel;
	task->settings = settings;
	list_init(&task->service.link);
	task->service.name = "rollout";
	task->service.state = task;
	task->service.receive = task_receive;
	ev_timer_init(&task->timer, timer_callback, TICK_IDLE_S, TICK_IDLE_S);
	task->timer.data = task;
	zone_add(task, settings->zone);
	error = components_create(task);
	if (error == MASTICPITCH_OK)
		error = kernel_service_register(kernel, &task->service);
	if (error != MASTICPITCH_OK) {
		rollout_task_destroy(task);
		return error;
	}
	ev_timer_start(kernel_loop(kernel), &task->timer);
	*result = task;
	return MASTICPITCH_OK;
}

void
rollout_task_destroy(rollout_task_t *task)
{
	if (task == NULL)
		return;
	ev_timer_stop(kernel_loop(task->kernel), &task->timer);
	kernel_service_unregister(task->kernel, &task->service);
	platform_destroy(task->platform);
	http_client_destroy(task->http);
	rollout_decider_destroy(task->decider);
	spread_members_free(&task->members);
	free(task);
}
