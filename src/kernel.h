/*
 * The kernel of a node: an event loop, services that are looked up by name, and
 * one message queue between them. Not thread-safe.
 */
#ifndef MASTICPITCH_KERNEL_H
#define MASTICPITCH_KERNEL_H

#include "log.h"
#include "message.h"
#include "metrics.h"
#include "util.h"

#include <ev.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct kernel kernel_t;

/*
 * A component of the node that owns its sockets and state and communicates by
 * messages. The owner embeds it and sets name, state, receive and, if it has work
 * that a shutdown must wait for, is_idle.
 */
typedef struct service {
	list_t link;
	const char *name;
	void *state;
	/* Handles one message; the kernel frees it afterwards. */
	void (*receive)(void *state, message_t *message);
	/* True if a graceful shutdown need not wait for it; NULL: always idle. */
	bool (*is_idle)(const void *state);
} service_t;

/*
 * Messages delivered before the loop polls its sockets again, or all that were queued
 * when it last polled them, if they are more: otherwise the queue would grow without
 * bound while sockets give messages faster than this.
 */
#define KERNEL_MESSAGES_PER_ITERATION 256

/* Errors: MASTICPITCH_E_NOMEM. */
int kernel_create(uint64_t seed, kernel_t **kernel);
/*
 * Destroys undelivered messages. Services must be destroyed before; NULL is
 * allowed.
 */
void kernel_destroy(kernel_t *kernel);

struct ev_loop *kernel_loop(kernel_t *kernel);
log_t *kernel_log(kernel_t *kernel);
metrics_t *kernel_metrics(kernel_t *kernel);
rng_t *kernel_rng(kernel_t *kernel);
/* Monotonic time, ns. */
uint64_t kernel_now(const kernel_t *kernel);
/* Random id of this process of the node; never 0. */
uint64_t kernel_boot_id(const kernel_t *kernel);

/* The name must be unique. Errors: MASTICPITCH_E_EXISTS. */
int kernel_service_register(kernel_t *kernel, service_t *service);
/* Destroys the undelivered messages to the service. */
void kernel_service_unregister(kernel_t *kernel, service_t *service);
/* NULL if there is no service of that name. */
service_t *kernel_service_find(kernel_t *kernel, const char *name);

/*
 * Queues a message and takes ownership of it; it is delivered after the current
 * callback, in order. If to is NULL (the service is not part of this node) or
 * message is NULL (out of memory), the message is dropped.
 */
void kernel_message_post(
    kernel_t *kernel, service_t *from, service_t *to, message_t *message);

/* The first service that is not idle, or NULL. */
const service_t *kernel_busy_service(const kernel_t *kernel);
/* True if every service is idle and no message is queued. */
bool kernel_is_idle(const kernel_t *kernel);
/* Runs the loop until kernel_stop(). */
void kernel_run(kernel_t *kernel);
void kernel_stop(kernel_t *kernel);

#ifdef __cplusplus
}
#endif

#endif
