// Helpers for tests of the gate and the entry: a real kernel, fake services that
// record the messages they receive, and raw sockets for servers and callers.
#ifndef MASTICPITCH_COMMON_REQUEST_H
#define MASTICPITCH_COMMON_REQUEST_H

#include "http_client.h"
#include "kernel.h"
#include "quarantine.h"
#include "settings.h"
#include "snapshot.h"
#include "ticket.h"

#include <cstring>
#include <functional>
#include <gtest/gtest.h>
#include <memory>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

// A loopback address derived from the process id, so that test programs can run in
// parallel.
inline uint32_t
own_ip()
{
	uint32_t pid = static_cast<uint32_t>(getpid());

	return 0x7f000000u | (64u + (pid >> 16 & 63u)) << 16 | (pid & 0xffffu);
}

struct ReceivedMessage {
	message_type_t type = MESSAGE_LEAVE;
	struct service *from = nullptr;
	uint64_t node = 0;
	uint64_t stream = 0;
	int status = 0;
	int64_t body_length = 0;
	std::string path;
	std::string method;
	std::string service;
	std::string data;
	bool end = false;
	uint32_t credit = 0;
	uint32_t depth = 0;
	uint32_t attempt = 0;
	uint64_t deadline = 0;
	refusal_t refusal = {};
	instance_t instance = {};
	quota_item_t quota = {};
	bool cleared = false;
	uint64_t fingerprint = 0;
	std::string headers;
	std::string workspace;
	uint32_t rank = 0;
	bool nested_refused = false;
	uint64_t nested_called = 0;
	bool movable = false;
};

inline std::string
headers_text(const headers_t &headers)
{
	std::string text;

	for (size_t i = 0; i < headers.count; i++)
		text += std::string(headers.items[i].name) + ": " +
			headers.items[i].value + "\n";
	return text;
}

inline ReceivedMessage
received_from(const message_t *message)
{
	ReceivedMessage copy;

	copy.type = message->type;
	copy.from = message->from;
	copy.node = message->node;
	copy.stream = message->stream;
	switch (message->type) {
	case MESSAGE_CALL_OPEN:
		copy.path = message->u.call->path;
		copy.method = message->u.call->method;
		copy.service = message->u.call->service;
		copy.workspace = message->u.call->workspace;
		copy.rank = message->u.call->rank;
		copy.movable = message->u.call->movable;
		copy.body_length = message->u.call->body_length;
		copy.depth = message->u.call->depth;
		copy.attempt = message->u.call->attempt;
		copy.deadline = message->u.call->deadline;
		copy.headers = headers_text(message->u.call->headers);
		break;
	case MESSAGE_NESTED:
		copy.nested_refused = message->u.nested.refused;
		copy.nested_called = message->u.nested.called;
		break;
	case MESSAGE_CALL_DATA:
	case MESSAGE_ANSWER_DATA:
		if (message->u.data.chunk != nullptr)
			copy.data.assign(
			    reinterpret_cast<char *>(message->u.data.chunk->data),
			    message->u.data.chunk->size);
		copy.end = message->u.data.end;
		break;
	case MESSAGE_CALL_CREDIT:
	case MESSAGE_ANSWER_CREDIT:
		copy.credit = message->u.credit;
		break;
	case MESSAGE_ANSWER_HEAD:
		copy.status = message->u.answer->status;
		copy.body_length = message->u.answer->body_length;
		copy.headers = headers_text(message->u.answer->headers);
		break;
	case MESSAGE_REFUSAL:
	case MESSAGE_ANSWER_ABORT:
	case MESSAGE_STREAM_LOST:
		copy.refusal = message->u.refusal;
		break;
	case MESSAGE_QUOTA_ASK:
	case MESSAGE_QUOTA_GRANT:
		copy.quota = message->u.quota;
		break;
	case MESSAGE_INSTANCE:
		copy.instance = message->u.instance;
		break;
	case MESSAGE_CRASH_REPORT:
		copy.cleared = message->u.crash_report.cleared;
		copy.fingerprint = message->u.crash_report.fingerprint;
		break;
	case MESSAGE_REPORT:
		copy.data.assign(reinterpret_cast<char *>(message->u.report->data),
		    message->u.report->size);
		break;
	default:
		break;
	}
	return copy;
}

// A service that records the messages posted to it.
struct FakeService {
	kernel_t *kernel;
	service_t service = {};
	std::vector<ReceivedMessage> messages;

	FakeService(kernel_t *owner, const char *name) : kernel(owner)
	{
		service.name = name;
		service.state = this;
		service.receive = [](void *state, message_t *message) {
			static_cast<FakeService *>(state)->messages.push_back(
			    received_from(message));
		};
		EXPECT_EQ(kernel_service_register(kernel, &service), 0);
	}
	~FakeService()
	{
		kernel_service_unregister(kernel, &service);
	}
	void
	post(const char *to, message_t *message)
	{
		kernel_message_post(
		    kernel, &service, kernel_service_find(kernel, to), message);
	}
	void
	post_data(const char *to, message_type_t type, uint64_t node, uint64_t stream,
	    const std::string &data, bool end)
	{
		message_t *message = message_create(type, node, stream);

		if (!data.empty())
			message->u.data.chunk = chunk_copy(data.data(), data.size());
		message->u.data.end = end;
		post(to, message);
	}
	void
	post_credit(const char *to, message_type_t type, uint64_t node, uint64_t stream,
	    uint32_t credit)
	{
		message_t *message = message_create(type, node, stream);

		message->u.credit = credit;
		post(to, message);
	}
	void
	post_refusal(const char *to, message_type_t type, uint64_t node, uint64_t stream,
	    reason_t reason, run_state_t run)
	{
		message_t *message = message_create(type, node, stream);

		message->u.refusal.reason = reason;
		message->u.refusal.run = run;
		post(to, message);
	}
	void
	post_answer(const char *to, uint64_t node, uint64_t stream, int status,
	    int64_t body_length, const load_report_t &load = {})
	{
		message_t *message = message_create(MESSAGE_ANSWER_HEAD, node, stream);

		message->u.answer = answer_head_create();
		message->u.answer->status = status;
		message->u.answer->body_length = body_length;
		message->u.answer->load = load;
		post(to, message);
	}
	const ReceivedMessage *
	find(message_type_t type, uint64_t stream) const
	{
		for (const ReceivedMessage &message : messages) {
			if (message.type == type && message.stream == stream)
				return &message;
		}
		return nullptr;
	}
	size_t
	count(message_type_t type) const
	{
		size_t found = 0;

		for (const ReceivedMessage &message : messages)
			found += message.type == type;
		return found;
	}
	std::string
	body(message_type_t type, uint64_t stream) const
	{
		std::string joined;

		for (const ReceivedMessage &message : messages) {
			if (message.type == type && message.stream == stream)
				joined += message.data;
		}
		return joined;
	}
	bool
	ended(message_type_t type, uint64_t stream) const
	{
		for (const ReceivedMessage &message : messages) {
			if (message.type == type && message.stream == stream &&
			    message.end)
				return true;
		}
		return false;
	}
};

// One raw TCP connection; read() appends received bytes to input.
struct RawConnection {
	int fd = -1;
	std::string input;
	bool closed = false;
	bool reset = false;

	explicit RawConnection(int socket) : fd(socket)
	{
	}
	RawConnection(const RawConnection &) = delete;
	~RawConnection()
	{
		if (fd >= 0)
			close(fd);
	}
	void
	read(size_t max_bytes = SIZE_MAX)
	{
		char buffer[65536];
		ssize_t received;

		while (!closed && max_bytes > 0 &&
		       (received = recv(fd, buffer, std::min(sizeof(buffer), max_bytes),
			    MSG_DONTWAIT)) >= 0) {
			if (received == 0)
				closed = true;
			input.append(buffer, static_cast<size_t>(received));
			max_bytes -= static_cast<size_t>(received);
		}
		if (!closed && max_bytes > 0 && errno != EAGAIN)
			closed = reset = true;
	}
	bool
	has(const std::string &text)
	{
		read();
		return input.find(text) != std::string::npos;
	}
	// Sends as much as the socket takes without blocking; returns the number of
	// bytes.
	size_t
	write(const std::string &data, size_t from = 0)
	{
		ssize_t sent = send(fd, data.data() + from, data.size() - from,
		    MSG_DONTWAIT | MSG_NOSIGNAL);

		return sent < 0 ? 0 : static_cast<size_t>(sent);
	}
	void
	finish()
	{
		close(fd);
		fd = -1;
	}
	void
	abort()
	{
		struct linger linger = {1, 0};

		setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
		finish();
	}
};

// A listening socket; the test writes the answers on its connections itself.
struct RawServer {
	int fd = -1;
	std::vector<std::unique_ptr<RawConnection>> connections;

	explicit RawServer(const address_t &address)
	{
		EXPECT_EQ(os_socket_listen(&address, &fd), 0);
	}
	~RawServer()
	{
		stop();
	}
	void
	stop()
	{
		if (fd >= 0)
			close(fd);
		fd = -1;
	}
	void
	poll()
	{
		int accepted;

		while ((accepted = accept4(fd, nullptr, nullptr, SOCK_NONBLOCK)) >= 0)
			connections.push_back(std::make_unique<RawConnection>(accepted));
		for (auto &connection : connections) {
			if (connection->fd >= 0)
				connection->read();
		}
	}
	// The connection whose received bytes contain the text, or NULL.
	RawConnection *
	connection_with(const std::string &text)
	{
		poll();
		for (auto &connection : connections) {
			if (connection->input.find(text) != std::string::npos)
				return connection.get();
		}
		return nullptr;
	}
};

class RequestTest : public ::testing::Test
{
      protected:
	kernel_t *kernel = nullptr;
	settings_t settings = {};

	void
	SetUp() override
	{
		ASSERT_EQ(kernel_create(7, &kernel), 0);
		kernel_log(kernel)->level = LOG_LEVEL_ERROR;
		strcpy(settings.zone, "cebu-a");
		strcpy(settings.region, "visayas");
		settings.callers = {own_ip(), 8080};
		settings.backend_servers = {own_ip(), 8081};
		settings.peers = {own_ip(), 8082};
		settings.operators = {own_ip(), 8083};
		settings.key_count = 1;
		settings.keys[0].id = 1;
		settings.requests_max = 100;
		settings.streams_per_peer_max = 100;
		settings.shutdown_grace_ms = 10000;
	}
	void
	TearDown() override
	{
		kernel_destroy(kernel);
	}
	uint64_t
	metric(metric_t which)
	{
		return kernel_metrics(kernel)->values[which];
	}
	// Runs the event loop until reached() returns true; fails after 10 s.
	::testing::AssertionResult
	run_until(const std::function<bool()> &reached)
	{
		struct ev_loop *loop = kernel_loop(kernel);
		uint64_t end = os_clock_monotonic() + 10 * NS_PER_S;
		ev_timer tick;
		bool done;

		ev_timer_init(
		    &tick, [](struct ev_loop *, ev_timer *, int) {}, 0.002, 0.002);
		ev_timer_start(loop, &tick);
		while (!(done = reached()) && os_clock_monotonic() < end)
			ev_run(loop, EVRUN_ONCE);
		ev_timer_stop(loop, &tick);
		return done ? ::testing::AssertionSuccess()
			    : ::testing::AssertionFailure() << "state not reached";
	}
	// Runs enough non-blocking loop iterations to deliver all pending events.
	void
	run_until_idle()
	{
		for (int i = 0; i < 50; i++)
			ev_run(kernel_loop(kernel), EVRUN_NOWAIT);
	}
	// A call for the gate, as the entry or peer service would post it.
	static message_t *
	call(uint64_t node, uint64_t stream, const char *method, const char *path,
	    int64_t body_length = 0, uint64_t deadline_ms = 10000)
	{
		message_t *message = message_create(MESSAGE_CALL_OPEN, node, stream);
		call_head_t *head = call_head_create();

		strcpy(head->method, method);
		strcpy(head->service, "katalogo");
		strcpy(head->request_id, "id-1");
		head->path = strdup(path);
		head->body_length = body_length;
		head->has_body = body_length != 0;
		head->route_class = ROUTE_CALL;
		head->deadline = os_clock_monotonic() + deadline_ms * NS_PER_MS;
		head->fingerprint = 1000 + stream;
		message->u.call = head;
		return message;
	}
};

#endif
