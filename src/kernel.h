/*
 * The micro-kernel of a node: an event loop, services that find each other by
 * name, and one message queue between them. One thread.
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
 * A task that owns its sockets and state. The owner embeds it and fills name,
 * state, receive and, if it has work that a shutdown must wait for, is_idle.
 */
typedef struct service {
	list_t link;
	const char *name;
	void *state;
	/* Handles one message; the kernel frees it afterwards. */
	void (*receive)(void *state, message_t *message);
	/* True if a graceful shutdown need not wait; NULL: always. */
	bool (*is_idle)(const void *state);
} service_t;

/* Messages handled before the loop looks at its sockets again. */
#define KERNEL_MESSAGES_PER_ITERATION 256

/* Errors: MASTICPITCH_E_NOMEM. */
int kernel_create(uint64_t seed, kernel_t **kernel);
/* Destroys undelivered messages; services must be destroyed before. */
void kernel_destroy(kernel_t *kernel);

struct ev_loop *kernel_loop(kernel_t *kernel);
log_t *kernel_log(kernel_t *kernel);
metrics_t *kernel_metrics(kernel_t *kernel);
rng_t *kernel_rng(kernel_t *kernel);
/* Monotonic time, ns. */
uint64_t kernel_now(const kernel_t *kernel);
/* Random id of this start of the node; never 0. */
uint64_t kernel_boot_id(const kernel_t *kernel);

/* Errors: MASTICPITCH_E_EXISTS. */
int kernel_service_register(kernel_t *kernel, service_t *service);
/* Drops the messages that are still on their way to the service. */
void kernel_service_unregister(kernel_t *kernel, service_t *service);
/* NULL if there is none of that name. */
service_t *kernel_service_find(kernel_t *kernel, const char *name);

/*
 * Queues a message; it is delivered after the current callback, in order.
 * Takes the message. A NULL service or message drops it (no memory, or the
 * service is not part of this node).
 */
void kernel_message_post(
    kernel_t *kernel, service_t *from, service_t *to, message_t *message);

/* True if every service is idle and no message waits. */
bool kernel_is_idle(const kernel_t *kernel);
/* Runs the loop until kernel_stop(). */
void kernel_run(kernel_t *kernel);
void kernel_stop(kernel_t *kernel);

#ifdef __cplusplus
}
#endif

#endif
