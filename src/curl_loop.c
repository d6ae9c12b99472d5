#include "curl_loop.h"

#include "defer.h"
#include "util.h"

#include <stdlib.h>

struct curl_loop {
	struct ev_loop *loop;
	CURLM *multi;
	ev_timer timer;
	defer_t defer;
	curl_done_t done;
	void *state;
};

typedef struct curl_watcher {
	ev_io io;
	curl_loop_t *curl;
} curl_watcher_t;

static void
finished_transfers_report(curl_loop_t *curl)
{
	CURLMsg *message;
	int left;

	while ((message = curl_multi_info_read(curl->multi, &left)) != NULL) {
		CURL *easy = message->easy_handle;
		CURLcode result = message->data.result;

		if (message->msg != CURLMSG_DONE)
			continue;
		curl_multi_remove_handle(curl->multi, easy);
		curl->done(curl->state, easy, result);
	}
}

static void
socket_action(curl_loop_t *curl, curl_socket_t fd, int flags)
{
	int running;

	curl_multi_socket_action(curl->multi, fd, flags, &running);
	finished_transfers_report(curl);
}

static void
timer_callback(struct ev_loop *loop, ev_timer *watcher, int events)
{
	socket_action(watcher->data, CURL_SOCKET_TIMEOUT, 0);
}

static void
defer_callback(void *state)
{
	socket_action(state, CURL_SOCKET_TIMEOUT, 0);
}

static void
io_callback(struct ev_loop *loop, ev_io *watcher, int events)
{
	curl_watcher_t *entry = watcher->data;
	int flags = ((events & EV_READ) != 0 ? CURL_CSELECT_IN : 0) |
		    ((events & EV_WRITE) != 0 ? CURL_CSELECT_OUT : 0);

	socket_action(entry->curl, watcher->fd, flags);
}

static int
socket_watch(CURL *easy, curl_socket_t fd, int what, void *state, void *entry_state)
{
	curl_loop_t *curl = state;
	curl_watcher_t *entry = entry_state;
	int events = 0;

	if (what == CURL_POLL_REMOVE) {
		if (entry != NULL) {
			ev_io_stop(curl->loop, &entry->io);
			free(entry);
			curl_multi_assign(curl->multi, fd, NULL);
		}
		return 0;
	}
	if (entry == NULL) {
		entry = calloc(1, sizeof(*entry));
		if (entry == NULL)
			return -1;
		entry->curl = curl;
		ev_io_init(&entry->io, io_callback, fd, 0);
		entry->io.data = entry;
		curl_multi_assign(curl->multi, fd, entry);
	}
	events |= (what & CURL_POLL_IN) != 0 ? EV_READ : 0;
	events |= (what & CURL_POLL_OUT) != 0 ? EV_WRITE : 0;
	ev_io_stop(curl->loop, &entry->io);
	ev_io_set(&entry->io, fd, events);
	if (events != 0)
		ev_io_start(curl->loop, &entry->io);
	return 0;
}

static int
timer_update(CURLM *multi, long timeout_ms, void *state)
{
	curl_loop_t *curl = state;

	ev_timer_stop(curl->loop, &curl->timer);
	if (timeout_ms < 0) {
		defer_stop(&curl->defer);
	} else if (timeout_ms == 0) {
		defer_start(&curl->defer);
	} else {
		defer_stop(&curl->defer);
		ev_timer_set(&curl->timer, (double)timeout_ms / 1000.0, 0.0);
		ev_timer_start(curl->loop, &curl->timer);
	}
	return 0;
}

int
curl_loop_create(
    struct ev_loop *loop, curl_done_t done, void *state, curl_loop_t **result)
{
	curl_loop_t *curl = calloc(1, sizeof(*curl));

	if (curl == NULL)
		return MASTICPITCH_E_NOMEM;
	curl->multi = curl_multi_init();
	if (curl->multi == NULL) {
		free(curl);
		return MASTICPITCH_E_NOMEM;
	}
	curl->loop = loop;
	curl->done = done;
	curl->state = state;
	ev_timer_init(&curl->timer, timer_callback, 0.0, 0.0);
	curl->timer.data = curl;
	defer_init(&curl->defer, loop, defer_callback, curl);
	curl_multi_setopt(curl->multi, CURLMOPT_SOCKETFUNCTION, socket_watch);
	curl_multi_setopt(curl->multi, CURLMOPT_SOCKETDATA, curl);
	curl_multi_setopt(curl->multi, CURLMOPT_TIMERFUNCTION, timer_update);
	curl_multi_setopt(curl->multi, CURLMOPT_TIMERDATA, curl);
	*result = curl;
	return MASTICPITCH_OK;
}

void
curl_loop_destroy(curl_loop_t *curl)
{
	if (curl == NULL)
		return;
	curl_multi_cleanup(curl->multi);
	ev_timer_stop(curl->loop, &curl->timer);
	defer_stop(&curl->defer);
	free(curl);
}

void
curl_loop_set_connections(curl_loop_t *curl, unsigned connections)
{
	curl_multi_setopt(curl->multi, CURLMOPT_MAX_TOTAL_CONNECTIONS, (long)connections);
	curl_multi_setopt(curl->multi, CURLMOPT_MAXCONNECTS, (long)connections);
}

int
curl_loop_add(curl_loop_t *curl, CURL *easy)
{
	return curl_multi_add_handle(curl->multi, easy) == CURLM_OK ? MASTICPITCH_OK
								    : MASTICPITCH_E_NOMEM;
}

void
curl_loop_remove(curl_loop_t *curl, CURL *easy)
{
	curl_multi_remove_handle(curl->multi, easy);
}

void
curl_loop_unpause(curl_loop_t *curl, CURL *easy)
{
	curl_easy_pause(easy, CURLPAUSE_CONT);
	defer_start(&curl->defer);
}
