#include "commit.h"

#include "list.h"
#include "os.h"

#include <sodium.h>
#include <stdlib.h>

struct commit_run {
	list_t link;
	commit_client_t *client;
	commit_machine_t *machine;
	commit_callback_t callback;
	void *state;
	platform_call_t *call; /* NULL while no call is in flight */
	ev_timer timer;
	uint64_t deadline;
};

struct commit_client {
	struct ev_loop *loop;
	platform_t *platform;
	uint64_t call_timeout_ns;
	list_t runs;
};

static void run_step(commit_run_t *run, const platform_answer_t *answer);

int
commit_client_create(struct ev_loop *loop, platform_t *platform, uint32_t call_timeout_ms,
    commit_client_t **result)
{
	commit_client_t *client = calloc(1, sizeof(*client));

	if (client == NULL)
		return MASTICPITCH_E_NOMEM;
	client->loop = loop;
	client->platform = platform;
	client->call_timeout_ns = call_timeout_ms * NS_PER_MS;
	list_init(&client->runs);
	*result = client;
	return MASTICPITCH_OK;
}

static void
run_free(commit_run_t *run)
{
	list_remove(&run->link);
	ev_timer_stop(run->client->loop, &run->timer);
	commit_machine_destroy(run->machine);
	free(run);
}

void
commit_cancel(commit_run_t *run)
{
	if (run == NULL)
		return;
	platform_call_cancel(run->call);
	run_free(run);
}

void
commit_client_destroy(commit_client_t *client)
{
	if (client == NULL)
		return;
	LIST_FOREACH_SAFE (node, &client->runs)
		commit_cancel(LIST_ENTRY(node, commit_run_t, link));
	free(client);
}

static void
answer_callback(void *state, const platform_answer_t *answer)
{
	commit_run_t *run = state;

	run->call = NULL;
	run_step(run, answer);
}

static void
timer_callback(struct ev_loop *loop, ev_timer *timer, int events)
{
	run_step(timer->data, NULL);
}

static void
run_wait(commit_run_t *run, uint64_t until)
{
	uint64_t now = os_clock_monotonic();

	ev_now_update(run->client->loop);
	ev_timer_set(&run->timer,
	    until > now ? (double)(until - now) / (double)NS_PER_S : 0.0, 0.0);
	ev_timer_start(run->client->loop, &run->timer);
}

/* Starts the call of an action. Errors: as the platform's functions. */
static int
action_call(commit_run_t *run, const commit_action_t *action)
{
	platform_t *platform = run->client->platform;
	uint64_t deadline =
	    MIN_OF(run->deadline, os_clock_monotonic() + run->client->call_timeout_ns);

	switch (action->kind) {
	case COMMIT_ACTION_GET:
		return platform_get(
		    platform, action->key, deadline, answer_callback, run, &run->call);
	case COMMIT_ACTION_PUT:
		return platform_put(
		    platform, &action->put, deadline, answer_callback, run, &run->call);
	case COMMIT_ACTION_LIST:
		return platform_list(
		    platform, action->key, deadline, answer_callback, run, &run->call);
	case COMMIT_ACTION_DELETE:
		return platform_delete(platform, action->key, action->expect, deadline,
		    answer_callback, run, &run->call);
	case COMMIT_ACTION_WAIT:
	case COMMIT_ACTION_FINISH:
		break;
	}
	INVARIANT(false);
}

static void
run_finish(commit_run_t *run)
{
	run->callback(run->state, commit_machine_result(run->machine));
	run_free(run);
}

static void
run_step(commit_run_t *run, const platform_answer_t *answer)
{
	const platform_answer_t not_sent = {.outcome = PLATFORM_NOT_SENT};
	commit_action_t action =
	    commit_machine_step(run->machine, answer, os_clock_monotonic());

	while (action.kind != COMMIT_ACTION_FINISH && action.kind != COMMIT_ACTION_WAIT) {
		if (action_call(run, &action) == MASTICPITCH_OK)
			return;
		action =
		    commit_machine_step(run->machine, &not_sent, os_clock_monotonic());
	}
	if (action.kind == COMMIT_ACTION_WAIT)
		run_wait(run, action.until);
	else
		run_finish(run);
}

int
commit_start(commit_client_t *client, const commit_request_t *request,
    commit_callback_t callback, void *state, commit_run_t **result)
{
	commit_request_t copy = *request;
	commit_run_t *run = calloc(1, sizeof(*run));
	digest_t operation;
	uint64_t seed;
	int error;

	if (run == NULL)
		return MASTICPITCH_E_NOMEM;
	randombytes_buf(&operation, sizeof(operation));
	randombytes_buf(&seed, sizeof(seed));
	if (copy.operation[0] == '\0' && copy.kind != COMMIT_LOOKUP)
		digest_format(&operation, copy.operation);
	error = commit_machine_create(
	    &copy, seed, os_clock_wall_ms(), os_clock_monotonic(), &run->machine);
	if (error != MASTICPITCH_OK) {
		free(run);
		return error;
	}
	run->client = client;
	run->callback = callback;
	run->state = state;
	run->deadline = request->deadline;
	ev_timer_init(&run->timer, timer_callback, 0.0, 0.0);
	run->timer.data = run;
	list_append(&client->runs, &run->link);
	run_wait(run, 0); /* the first step runs from the loop */
	if (result != NULL)
		*result = run;
	return MASTICPITCH_OK;
}
