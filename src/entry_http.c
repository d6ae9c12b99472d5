#include "entry_internal.h"

#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#define DISCONNECTS_PER_CALL 64

void
entry_request_resume(entry_request_t *request)
{
	if (!request->suspended)
		return;
	request->suspended = false;
	mhd_loop_resume(&request->entry->mhd, request->mhd);
}

/* libmicrohttpd closes a connection when it reads the end of its input. */
void
entry_request_abort(entry_request_t *request)
{
	request->aborted = true;
	shutdown(request->connection->fd, SHUT_RD);
	entry_request_resume(request);
}

static enum MHD_Result
request_suspend(entry_request_t *request)
{
	if (!request->suspended) {
		request->suspended = true;
		MHD_suspend_connection(request->mhd);
	}
	return MHD_YES;
}

static enum MHD_Result
body_receive(entry_request_t *request, const char *data, size_t *size)
{
	*size -= entry_request_body(request, data, *size);
	return *size > 0 ? request_suspend(request) : MHD_YES;
}

/*
 * True if a refusal is sent before the body is read. A short body is read first,
 * since the caller may read the answer only after it has sent the body.
 */
static bool
refusal_is_due(const entry_request_t *request)
{
	return request->refusal.reason != REASON_NONE &&
	       (request->close || request->body_length > ENTRY_BODY_DISCARDED_MAX_BYTES ||
		   MHD_lookup_connection_value(
		       request->mhd, MHD_HEADER_KIND, MHD_HTTP_HEADER_EXPECT) != NULL);
}

static enum MHD_Result
access_callback(void *state, struct MHD_Connection *connection, const char *path,
    const char *method, const char *version, const char *data, size_t *size,
    void **request_state)
{
	entry_request_t *request = *request_state;

	if (request == NULL || request->aborted || request->entry->stopping)
		return MHD_NO;
	switch (request->state) {
	case REQUEST_HEAD:
		request->state = REQUEST_BODY;
		entry_request_begin(request, method, version);
		return refusal_is_due(request) ? entry_request_answer(request) : MHD_YES;
	case REQUEST_BODY:
		if (*size > 0)
			return body_receive(request, data, size);
		request->state = REQUEST_WAITING;
		entry_request_body_end(request);
		break;
	case REQUEST_WAITING:
	case REQUEST_ANSWERING:
		break;
	}
	if (entry_request_is_ready(request))
		return entry_request_answer(request);
	return request_suspend(request);
}

static entry_connection_t *
connection_of(struct MHD_Connection *mhd)
{
	const union MHD_ConnectionInfo *info =
	    MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

	return info == NULL ? NULL : info->socket_context;
}

/* A changed idle timeout takes effect with the connection's next request. */
static void
idle_timeout_set(const entry_t *entry, struct MHD_Connection *mhd)
{
	uint32_t idle_ms =
	    entry->snapshot == NULL ? 0 : entry->snapshot->preset->limits.idle_timeout_ms;

	if (idle_ms != 0)
		MHD_set_connection_option(mhd, MHD_CONNECTION_OPTION_TIMEOUT,
		    (unsigned)(idle_ms / 1000 + ENTRY_IDLE_MARGIN_S));
}

/* Called for each request line; the result becomes *request_state. */
static void *
uri_callback(void *state, const char *uri, struct MHD_Connection *mhd)
{
	entry_connection_t *connection = connection_of(mhd);
	entry_request_t *request;

	if (connection == NULL)
		return NULL;
	request = entry_request_create(state, mhd, uri);
	if (request != NULL) {
		request->connection = connection;
		connection->request = request;
		idle_timeout_set(state, mhd);
	}
	return request;
}

static void
completed_callback(void *state, struct MHD_Connection *mhd, void **request_state,
    enum MHD_RequestTerminationCode code)
{
	entry_request_t *request = *request_state;
	metrics_t *metrics;

	if (request == NULL)
		return;
	*request_state = NULL;
	metrics = kernel_metrics(request->entry->kernel);
	entry_request_log(request, code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
	if (request->answer_cut)
		metrics_add(metrics, METRIC_ANSWERS_CUT, 1);
	else if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK)
		metrics_add(metrics, METRIC_CALLER_HANGUPS, 1);
	else if (request->answer != NULL)
		metrics_add(metrics, METRIC_ANSWERS, 1);
	metrics_observe(metrics, HISTOGRAM_REQUEST,
	    kernel_now(request->entry->kernel) - request->accepted_at);
	request->connection->request = NULL;
	entry_request_destroy(request);
}

static void
connection_callback(void *state, struct MHD_Connection *mhd, void **context,
    enum MHD_ConnectionNotificationCode code)
{
	entry_t *entry = state;
	entry_connection_t *connection = *context;
	struct epoll_event event = {.events = EPOLLRDHUP | EPOLLET};

	if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
		free(connection);
		*context = NULL;
		return;
	}
	connection = calloc(1, sizeof(*connection));
	*context = connection;
	if (connection == NULL)
		return;
	connection->fd =
	    MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
	event.data.ptr = connection;
	epoll_ctl(entry->disconnect_fd, EPOLL_CTL_ADD, connection->fd, &event);
}

/*
 * Detects disconnects, since libmicrohttpd does not poll the socket of a suspended
 * connection. A half-closed connection counts as a disconnect.
 */
static void
disconnect_callback(struct ev_loop *loop, ev_io *watcher, int events)
{
	entry_t *entry = watcher->data;
	struct epoll_event found[DISCONNECTS_PER_CALL];
	int count = epoll_wait(entry->disconnect_fd, found, DISCONNECTS_PER_CALL, 0);

	for (int i = 0; i < count; i++) {
		entry_connection_t *connection = found[i].data.ptr;
		entry_request_t *request = connection->request;

		if (request == NULL || request->state == REQUEST_HEAD)
			continue;
		request->aborted = true;
		entry_attempt_cancel(request);
		entry_request_resume(request);
	}
}

static int
disconnect_open(entry_t *entry)
{
	entry->disconnect_fd = epoll_create1(EPOLL_CLOEXEC);
	if (entry->disconnect_fd < 0)
		return MASTICPITCH_E_IO;
	ev_io_init(
	    &entry->disconnect, disconnect_callback, entry->disconnect_fd, EV_READ);
	entry->disconnect.data = entry;
	ev_io_start(kernel_loop(entry->kernel), &entry->disconnect);
	return MASTICPITCH_OK;
}

int
entry_http_open(entry_t *entry)
{
	int fd = -1;
	int error = disconnect_open(entry);

	if (error == MASTICPITCH_OK)
		error = os_socket_listen(&entry->settings->callers, &fd);
	if (error != MASTICPITCH_OK)
		return error;
	entry->daemon = MHD_start_daemon(MHD_LOOP_FLAGS, 0, NULL, NULL, access_callback,
	    entry, MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_CONNECTION_LIMIT,
	    (unsigned)(entry->settings->requests_max + ENTRY_EXTRA_CONNECTIONS),
	    MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)ENTRY_CONNECTION_MEMORY_BYTES,
	    MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)ENTRY_IDLE_TIMEOUT_S,
	    MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_URI_LOG_CALLBACK, uri_callback,
	    entry, MHD_OPTION_NOTIFY_COMPLETED, completed_callback, entry,
	    MHD_OPTION_NOTIFY_CONNECTION, connection_callback, entry, MHD_OPTION_END);
	if (entry->daemon == NULL) {
		close(fd);
		return MASTICPITCH_E_IO;
	}
	mhd_loop_start(&entry->mhd, kernel_loop(entry->kernel), entry->daemon);
	return MASTICPITCH_OK;
}

void
entry_http_stop_listening(entry_t *entry)
{
	struct sockaddr_in peer;
	socklen_t size = sizeof(peer);
	int listen_fd = MHD_quiesce_daemon(entry->daemon);
	int fd;

	if (listen_fd < 0)
		return;
	/* Connections left in the backlog would be reset with their requests unread. */
	while ((fd = accept4(listen_fd, (struct sockaddr *)&peer, &size,
		    SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
		MHD_add_connection(entry->daemon, fd, (struct sockaddr *)&peer, size);
		size = sizeof(peer);
	}
	close(listen_fd);
	mhd_loop_schedule(&entry->mhd);
}

unsigned
entry_connections(const entry_t *entry)
{
	const union MHD_DaemonInfo *info =
	    MHD_get_daemon_info(entry->daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);

	return info != NULL ? info->num_connections : 0;
}

void
entry_http_close(entry_t *entry)
{
	entry->stopping = true;
	/* libmicrohttpd refuses to stop while a connection is suspended. */
	LIST_FOREACH (node, &entry->requests) {
		entry_request_t *request = LIST_ENTRY(node, entry_request_t, link);

		request->aborted = true;
		entry_request_resume(request);
	}
	mhd_loop_stop(&entry->mhd);
	if (entry->daemon != NULL)
		MHD_stop_daemon(entry->daemon);
	entry->daemon = NULL;
	if (entry->disconnect_fd < 0)
		return;
	ev_io_stop(kernel_loop(entry->kernel), &entry->disconnect);
	close(entry->disconnect_fd);
	entry->disconnect_fd = -1;
}
