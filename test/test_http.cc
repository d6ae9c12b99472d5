// Guards the HTTP client and server against answers that are lost because the
// handler gives them later, resends by the HTTP library, unbounded bodies, and
// calls that continue after their deadline.
#include "common_request.h"
#include "http_client.h"
#include "http_server.h"
#include "masticpitch/masticpitch.h"

#include <functional>
#include <gtest/gtest.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace
{

struct Answer {
	bool done = false;
	int error = 0;
	bool sent = false;
	int status = 0;
	std::string body;
	std::string content_type;
};

void
store_answer(void *state, const http_answer_t *answer)
{
	Answer *stored = static_cast<Answer *>(state);
	const char *content_type = headers_find(answer->headers, "content-type");

	stored->done = true;
	stored->error = answer->error;
	stored->sent = answer->sent;
	stored->status = answer->status;
	stored->body.assign(answer->body, answer->body_size);
	stored->content_type = content_type == nullptr ? "" : content_type;
}

class Http : public ::testing::Test
{
      protected:
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	http_client_t *client = nullptr;
	http_server_t *server = nullptr;
	address_t address = {own_ip(), 8080};
	std::string url;
	std::function<void(const http_server_request_t *)> handler;

	static void
	handle(void *state, const http_server_request_t *request)
	{
		static_cast<Http *>(state)->handler(request);
	}
	void
	SetUp() override
	{
		char text[ADDRESS_TEXT_BYTES];

		address_format(&address, text);
		url = std::string("http://") + text;
		ASSERT_EQ(http_client_create(loop, 4, &client), 0);
	}
	void
	TearDown() override
	{
		http_client_destroy(client);
		http_server_destroy(server);
		ev_loop_destroy(loop);
	}
	void
	serve()
	{
		http_server_options_t options = {address, 1000, 8, handle, this};

		ASSERT_EQ(http_server_create(loop, &options, &server), 0);
	}
	void
	run_until(const std::function<bool()> &reached)
	{
		uint64_t end = os_clock_monotonic() + 10 * NS_PER_S;
		ev_timer tick;
		bool done;

		ev_timer_init(
		    &tick, [](struct ev_loop *, ev_timer *, int) {}, 0.005, 0.005);
		ev_timer_start(loop, &tick);
		while (!(done = reached()) && os_clock_monotonic() < end)
			ev_run(loop, EVRUN_ONCE);
		ev_timer_stop(loop, &tick);
		ASSERT_TRUE(done);
	}
	http_call_t *
	start(const char *method, const std::string &path, const std::string &body,
	    Answer *answer, uint64_t deadline_ms = 10000, size_t answer_max_bytes = 1000,
	    bool new_connection = false)
	{
		std::string full = url + path;
		http_request_t request = {};
		http_call_t *call = nullptr;

		request.method = method;
		request.url = full.c_str();
		request.authorization = "Bearer abc";
		request.body = body.empty() ? nullptr : body.c_str();
		request.body_size = body.size();
		request.deadline = os_clock_monotonic() + deadline_ms * NS_PER_MS;
		request.answer_max_bytes = answer_max_bytes;
		request.new_connection = new_connection;
		EXPECT_EQ(
		    http_client_call(client, &request, store_answer, answer, &call), 0);
		return call;
	}
};

TEST_F(Http, RequestAndLateAnswerArriveComplete)
{
	http_exchange_t *waiting = nullptr;
	std::string seen;
	Answer answer;

	handler = [&](const http_server_request_t *request) {
		const char *argument = http_exchange_argument(request->exchange, "key");

		seen = std::string(request->method) + " " + request->path + " " +
		       (argument == nullptr ? "" : argument) + " " +
		       request->authorization + " " + request->body;
		waiting = request->exchange;
	};
	serve();
	start("PUT", "/some/path?key=a%20b", "content", &answer);
	run_until([&] { return waiting != nullptr; });
	EXPECT_FALSE(answer.done);
	http_exchange_reply(waiting, 201, nullptr, "{}", 2);
	run_until([&] { return answer.done; });
	EXPECT_EQ(seen, "PUT /some/path a b Bearer abc content");
	EXPECT_EQ(answer.error, 0);
	EXPECT_EQ(answer.status, 201);
	EXPECT_EQ(answer.body, "{}");
	EXPECT_EQ(answer.content_type, "application/json");
}

TEST_F(Http, ManyCallsShareFewConnections)
{
	Answer answers[50];
	int handled = 0;

	handler = [&](const http_server_request_t *request) {
		handled++;
		http_exchange_reply(
		    request->exchange, 200, "text/plain", request->path, 3);
	};
	serve();
	for (Answer &answer : answers)
		start("GET", "/abcdef", "", &answer);
	for (Answer &answer : answers) {
		run_until([&] { return answer.done; });
		EXPECT_EQ(answer.status, 200);
		EXPECT_EQ(answer.body, "/ab");
	}
	EXPECT_EQ(handled, 50);
}

TEST_F(Http, BodiesAboveTheLimitsAreRefused)
{
	std::string large(3000, 'x');
	Answer refused, cut;
	int handled = 0;

	handler = [&](const http_server_request_t *request) {
		handled++;
		http_exchange_reply(
		    request->exchange, 200, nullptr, large.data(), large.size());
	};
	serve();
	start("POST", "/", large, &refused);
	run_until([&] { return refused.done; });
	EXPECT_EQ(refused.status, 413);
	EXPECT_EQ(handled, 0);
	start("GET", "/", "", &cut);
	run_until([&] { return cut.done; });
	EXPECT_EQ(cut.error, MASTICPITCH_E_LIMIT);
}

TEST_F(Http, DeadlineEndsACallThatWasSent)
{
	http_exchange_t *waiting = nullptr;
	Answer answer;

	handler = [&](const http_server_request_t *request) {
		waiting = request->exchange;
	};
	serve();
	start("GET", "/", "", &answer, 200);
	run_until([&] { return answer.done; });
	EXPECT_EQ(answer.error, MASTICPITCH_E_TIMEOUT);
	EXPECT_TRUE(answer.sent);
	ASSERT_NE(waiting, nullptr);
	http_exchange_reply(waiting, 200, nullptr, "late", 4);
}

TEST_F(Http, CancelledCallRunsNoCallback)
{
	http_exchange_t *waiting = nullptr;
	Answer answer, other;
	http_call_t *call;

	handler = [&](const http_server_request_t *request) {
		if (std::string(request->path) == "/first")
			waiting = request->exchange;
		else
			http_exchange_reply(request->exchange, 204, nullptr, "", 0);
	};
	serve();
	call = start("GET", "/first", "", &answer);
	run_until([&] { return waiting != nullptr; });
	http_call_cancel(call);
	http_exchange_reply(waiting, 200, nullptr, "late", 4);
	start("GET", "/second", "", &other);
	run_until([&] { return other.done; });
	EXPECT_EQ(other.status, 204);
	EXPECT_FALSE(answer.done);
}

TEST_F(Http, RefusedConnectionCountsAsNotSent)
{
	Answer answer;

	start("GET", "/", "", &answer);
	run_until([&] { return answer.done; });
	EXPECT_EQ(answer.error, MASTICPITCH_E_UNREACHABLE);
	EXPECT_FALSE(answer.sent);
}

// A server closes a reused connection after it received the second request: it must
// not receive that request again, which libcurl would resend on a new connection.
TEST_F(Http, ReusedConnectionThatClosesIsNotUsedToResend)
{
	static const char reply[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
	int listener, connection, requests = 0;
	char buffer[4096];
	Answer first, second;

	ASSERT_EQ(os_socket_listen(&address, &listener), 0);
	start("PUT", "/", "one", &first);
	run_until([&] { return (connection = accept(listener, nullptr, nullptr)) >= 0; });
	run_until([&] {
		ssize_t got = recv(connection, buffer, sizeof(buffer), MSG_DONTWAIT);

		return got > 0 && memmem(buffer, (size_t)got, "one", 3) != nullptr;
	});
	ASSERT_GT(send(connection, reply, sizeof(reply) - 1, 0), 0);
	run_until([&] { return first.done; });
	start("PUT", "/", "two", &second);
	run_until(
	    [&] { return recv(connection, buffer, sizeof(buffer), MSG_DONTWAIT) > 0; });
	close(connection);
	run_until([&] {
		int again = accept(listener, nullptr, nullptr);

		if (again >= 0) {
			ssize_t got = recv(again, buffer, sizeof(buffer), MSG_DONTWAIT);

			requests += got > 0;
			close(again);
		}
		return second.done;
	});
	EXPECT_EQ(second.error, MASTICPITCH_E_UNKNOWN);
	EXPECT_TRUE(second.sent);
	EXPECT_EQ(requests, 0);
	close(listener);
}

// Guards against a read that is sent on a kept connection which has gone silent, and
// waits there for its deadline although the server answers on new ones.
TEST_F(Http, NewConnectionIsUsedInPlaceOfASilentOne)
{
	static const char reply[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
	int listener, silent = -1, fresh = -1;
	char buffer[4096];
	Answer first, second;

	ASSERT_EQ(os_socket_listen(&address, &listener), 0);
	start("GET", "/first", "", &first);
	run_until([&] { return (silent = accept(listener, nullptr, nullptr)) >= 0; });
	run_until([&] { return recv(silent, buffer, sizeof(buffer), MSG_DONTWAIT) > 0; });
	ASSERT_GT(send(silent, reply, sizeof(reply) - 1, 0), 0);
	run_until([&] { return first.done; });
	start("GET", "/second", "", &second, 10000, 1000, true);
	run_until([&] { return (fresh = accept(listener, nullptr, nullptr)) >= 0; });
	run_until([&] { return recv(fresh, buffer, sizeof(buffer), MSG_DONTWAIT) > 0; });
	ASSERT_GT(send(fresh, reply, sizeof(reply) - 1, 0), 0);
	run_until([&] { return second.done; });
	EXPECT_EQ(second.status, 200);
	EXPECT_LT(recv(silent, buffer, sizeof(buffer), MSG_DONTWAIT), 0);
	close(fresh);
	close(silent);
	close(listener);
}

// Guards against a write that counts as done, or a value that counts as empty, after an
// answer that ended in its head.
TEST_F(Http, AnswerThatEndsInItsHeadIsNoAnswer)
{
	const std::string head = "HTTP/1.1 200 OK\r\nRevision: 7\r\n"
				 "Content-Length: 0\r\n\r\n";
	RawServer raw(address);

	for (size_t size = 0; size < head.size(); size++) {
		RawConnection *connection = nullptr;
		std::string path = "/" + std::to_string(size) + "/";
		Answer answer;

		start("PUT", path, "x", &answer);
		run_until([&] {
			connection = raw.connection_with(path);
			return connection != nullptr && connection->has("\r\n\r\nx");
		});
		connection->write(head.substr(0, size));
		shutdown(connection->fd, SHUT_WR);
		run_until([&] { return answer.done; });
		EXPECT_EQ(answer.error, MASTICPITCH_E_UNKNOWN) << head.substr(0, size);
		raw.connections.clear();
	}
}

// Guards against a server whose interim answers or trailers go on until the client
// closes, which would use up the client's memory until its deadline.
TEST_F(Http, AnswerWithoutEndIsRefused)
{
	const std::string heads[] = {
	    "", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n"};
	const std::string lines[] = {
	    "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", "X-Part: 0\r\n"};
	RawServer raw(address);

	for (size_t i = 0; i < 2; i++) {
		RawConnection *connection = nullptr;
		std::string path = "/" + std::to_string(i) + "/";
		std::string answered = heads[i];
		Answer answer;

		while (answered.size() < 256 * 1024)
			answered += lines[i];
		start("PUT", path, "x", &answer);
		run_until([&] {
			connection = raw.connection_with(path);
			return connection != nullptr && connection->has("\r\n\r\nx");
		});
		connection->write(answered);
		run_until([&] { return answer.done; });
		EXPECT_EQ(answer.error, MASTICPITCH_E_LIMIT) << lines[i];
		raw.connections.clear();
	}
}

TEST_F(Http, AddressInUseIsReported)
{
	http_server_t *second = nullptr;
	http_server_options_t options = {address, 1000, 8, handle, this};

	serve();
	EXPECT_EQ(
	    http_server_create(loop, &options, &second), MASTICPITCH_E_ADDRESS_IN_USE);
}

} // namespace
