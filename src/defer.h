/*
 * A callback that runs once, soon, from the loop: after the sockets were looked
 * at again and without a blocking wait. A libev timer with a delay of 0 waits
 * up to 1 ms in its epoll backend, which is most of the latency budget of a call.
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
	ev_idle idle; /* keeps the loop from blocking */
	void (*callback)(void *state);
	void *state;
} defer_t;

void defer_init(
    defer_t *defer, struct ev_loop *loop, void (*callback)(void *state), void *state);
/* Does nothing if it is started already. */
void defer_start(defer_t *defer);
void defer_stop(defer_t *defer);

#ifdef __cplusplus
}
#endif

#endif
