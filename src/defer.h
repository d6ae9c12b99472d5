/*
 * Runs a callback once, from the event loop, as soon as it has polled the sockets
 * again, which it then does without blocking. A libev timer with a delay of 0 would wait
 * up to 1 ms in the epoll backend, which is most of the latency budget of a call.
 */
#ifndef MASTICPITCH_DEFER_H
#define MASTICPITCH_DEFER_H

#include <ev.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct defer {
	struct ev_loop *loop;
	ev_check check;
	ev_idle idle; /* active: the loop polls without blocking */
	void (*callback)(void *state);
	void *state;
} defer_t;

void defer_init(
    defer_t *defer, struct ev_loop *loop, void (*callback)(void *state), void *state);
/* No effect if already started. */
void defer_start(defer_t *defer);
/* Cancels a pending run; no effect if not started. */
void defer_stop(defer_t *defer);

#ifdef __cplusplus
}
#endif

#endif
