#include "kernel.h"

#include "os.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

struct kernel {
	struct ev_loop *loop;
	ev_prepare prepare;
	ev_idle idle; /* active while messages are queued: the loop does not block */
	list_t services;
	list_t queue;
	size_t queued; /* messages in the queue */
	log_t log;
	metrics_t metrics;
	rng_t rng;
	uint64_t boot_id;
};

static void
kernel_messages_deliver(kernel_t *kernel)
{
	size_t left = MAX_OF(kernel->queued, (size_t)KERNEL_MESSAGES_PER_ITERATION);
	list_t *node;

	while (left-- > 0 && (node = list_take_first(&kernel->queue)) != NULL) {
		message_t *message = LIST_ENTRY(node, message_t, link);

		kernel->queued--;
		metrics_add(&kernel->metrics, METRIC_MESSAGES, 1);
		message->to->receive(message->to->state, message);
		message_destroy(message);
	}
}

static void
prepare_callback(struct ev_loop *loop, ev_prepare *watcher, int events)
{
	kernel_t *kernel = watcher->data;

	kernel_messages_deliver(kernel);
	if (list_is_empty(&kernel->queue))
		ev_idle_stop(loop, &kernel->idle);
	else
		ev_idle_start(loop, &kernel->idle);
}

static void
idle_callback(struct ev_loop *loop, ev_idle *watcher, int events)
{
}

int
kernel_create(uint64_t seed, kernel_t **result)
{
	kernel_t *kernel = calloc(1, sizeof(*kernel));

	if (kernel == NULL)
		return MASTICPITCH_E_NOMEM;
	INVARIANT(sodium_init() >= 0);
	kernel->loop = ev_loop_new(EVFLAG_AUTO);
	if (kernel->loop == NULL) {
		free(kernel);
		return MASTICPITCH_E_NOMEM;
	}
	list_init(&kernel->services);
	list_init(&kernel->queue);
	log_init(&kernel->log, STDOUT_FILENO, LOG_LEVEL_INFO);
	rng_init(&kernel->rng, seed);
	randombytes_buf(&kernel->boot_id, sizeof(kernel->boot_id));
	kernel->boot_id |= 1;
	ev_prepare_init(&kernel->prepare, prepare_callback);
	kernel->prepare.data = kernel;
	ev_prepare_start(kernel->loop, &kernel->prepare);
	ev_unref(kernel->loop);
	ev_idle_init(&kernel->idle, idle_callback);
	*result = kernel;
	return MASTICPITCH_OK;
}

void
kernel_destroy(kernel_t *kernel)
{
	list_t *node;

	if (kernel == NULL)
		return;
	while ((node = list_take_first(&kernel->queue)) != NULL)
		message_destroy(LIST_ENTRY(node, message_t, link));
	ev_ref(kernel->loop);
	ev_prepare_stop(kernel->loop, &kernel->prepare);
	ev_idle_stop(kernel->loop, &kernel->idle);
	ev_loop_destroy(kernel->loop);
	free(kernel);
}

struct ev_loop *
kernel_loop(kernel_t *kernel)
{
	return kernel->loop;
}

log_t *
kernel_log(kernel_t *kernel)
{
	return &kernel->log;
}

metrics_t *
kernel_metrics(kernel_t *kernel)
{
	return &kernel->metrics;
}

rng_t *
kernel_rng(kernel_t *kernel)
{
	return &kernel->rng;
}

uint64_t
kernel_now(const kernel_t *kernel)
{
	return os_clock_monotonic();
}

uint64_t
kernel_boot_id(const kernel_t *kernel)
{
	return kernel->boot_id;
}

int
kernel_service_register(kernel_t *kernel, service_t *service)
{
	if (kernel_service_find(kernel, service->name) != NULL)
		return MASTICPITCH_E_EXISTS;
	list_append(&kernel->services, &service->link);
	return MASTICPITCH_OK;
}

void
kernel_service_unregister(kernel_t *kernel, service_t *service)
{
	LIST_FOREACH_SAFE (node, &kernel->queue) {
		message_t *message = LIST_ENTRY(node, message_t, link);

		if (message->to != service)
			continue;
		list_remove(node);
		kernel->queued--;
		message_destroy(message);
	}
	list_remove(&service->link);
}

service_t *
kernel_service_find(kernel_t *kernel, const char *name)
{
	LIST_FOREACH (node, &kernel->services) {
		service_t *service = LIST_ENTRY(node, service_t, link);

		if (strcmp(service->name, name) == 0)
			return service;
	}
	return NULL;
}

void
kernel_message_post(kernel_t *kernel, service_t *from, service_t *to, message_t *message)
{
	if (to == NULL || message == NULL) {
		message_destroy(message);
		return;
	}
	message->from = from;
	message->to = to;
	list_append(&kernel->queue, &message->link);
	kernel->queued++;
}

const service_t *
kernel_busy_service(const kernel_t *kernel)
{
	LIST_FOREACH (node, &kernel->services) {
		const service_t *service = LIST_ENTRY(node, service_t, link);

		if (service->is_idle != NULL && !service->is_idle(service->state))
			return service;
	}
	return NULL;
}

bool
kernel_is_idle(const kernel_t *kernel)
{
	return kernel_busy_service(kernel) == NULL && list_is_empty(&kernel->queue);
}

void
kernel_run(kernel_t *kernel)
{
	ev_run(kernel->loop, 0);
}

void
kernel_stop(kernel_t *kernel)
{
	ev_break(kernel->loop, EVBREAK_ALL);
}
