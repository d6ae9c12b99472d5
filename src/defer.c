#include "defer.h"

static void
check_callback(struct ev_loop *loop, ev_check *watcher, int events)
{
	defer_t *defer = watcher->data;

	defer_stop(defer);
	defer->callback(defer->state);
}

static void
idle_callback(struct ev_loop *loop, ev_idle *watcher, int events)
{
}

void
defer_init(
    defer_t *defer, struct ev_loop *loop, void (*callback)(void *state), void *state)
{
	defer->loop = loop;
	defer->callback = callback;
	defer->state = state;
	ev_check_init(&defer->check, check_callback);
	defer->check.data = defer;
	ev_idle_init(&defer->idle, idle_callback);
}

void
defer_start(defer_t *defer)
{
	if (ev_is_active(&defer->check))
		return;
	ev_check_start(defer->loop, &defer->check);
	ev_idle_start(defer->loop, &defer->idle);
}

void
defer_stop(defer_t *defer)
{
	ev_check_stop(defer->loop, &defer->check);
	ev_idle_stop(defer->loop, &defer->idle);
}
