// Guards the callers' server against pipelined requests that wait for each other, are
// answered out of order or run although they must not, and against answers that are lost
// or taken for complete when a connection ends.
#include "caller_server.h"
#include "common_request.h"

#include <map>
#include <sys/resource.h>

namespace
{

// A request as the owner sees it. Its path tells whether it may run ahead:
// /safe/BYTES with the expected size of its answer; anything else may not.
struct Request {
	exchange_t *exchange;
	std::string path, body;
	size_t body_flushes = 0;
	bool body_ended = false, ended = false, delivered = false, dropped = false;
	std::string answer; // not read by the server yet
	bool answer_ended = false, answer_cut = false;
};

class CallerServer : public ::testing::Test
{
      protected:
	void
	SetUp() override
	{
		const caller_owner_t owner = {this, ahead_bytes, begin, body, body_flush,
		    body_end, read_answer, end};
		address_t any = {0x7f000001, 0};

		loop = ev_loop_new(EVFLAG_AUTO);
		ASSERT_EQ(os_socket_listen(&any, &options.listen_fd), 0);
		options.connections_max = 100;
		options.idle_ns = 60 * NS_PER_S;
		address = {0x7f000001, os_socket_port(options.listen_fd)};
		ASSERT_EQ(caller_server_create(loop, &options, &owner, &server), 0);
	}
	void
	TearDown() override
	{
		caller_server_destroy(server);
		for (auto &request : requests)
			EXPECT_TRUE(request->ended) << request->path;
		ev_loop_destroy(loop);
	}
	std::unique_ptr<RawConnection>
	connect_caller(int receive_buffer = 0)
	{
		struct sockaddr_in target;
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

		if (receive_buffer > 0)
			setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
			    sizeof(receive_buffer));
		address_to_sockaddr(&address, &target);
		connect(fd, reinterpret_cast<struct sockaddr *>(&target), sizeof(target));
		return std::make_unique<RawConnection>(fd);
	}
	void
	run(int iterations = 30)
	{
		for (int i = 0; i < iterations; i++)
			ev_run(loop, EVRUN_NOWAIT);
	}
	// Runs until the condition holds; false after 10 s.
	bool
	run_until(const std::function<bool()> &reached)
	{
		uint64_t end = os_clock_monotonic() + 10 * NS_PER_S;

		while (!reached()) {
			if (os_clock_monotonic() > end)
				return false;
			ev_run(loop, EVRUN_NOWAIT);
		}
		return true;
	}
	// The newest request for a path that has not ended, or NULL.
	Request *
	find(const std::string &path)
	{
		for (auto &request : requests)
			if (request->path == path && !request->ended)
				return request.get();
		return nullptr;
	}
	size_t
	running()
	{
		size_t count = 0;

		for (auto &request : requests)
			count += !request->ended;
		return count;
	}
	void
	answer(const std::string &path, const std::string &text, bool close = false,
	    int64_t length = -2, bool ended = true)
	{
		Request *request = find(path);
		exchange_answer_t given = {200, &no_headers,
		    length == -2 ? (int64_t)text.size() : length, close};

		ASSERT_NE(request, nullptr) << path;
		request->answer = text;
		request->answer_ended = ended;
		ASSERT_EQ(exchange_answer_start(request->exchange, &given), 0);
	}
	static std::string
	get(const std::string &path, const std::string &fields = "")
	{
		return "GET " + path + " HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n";
	}
	static std::string
	post(const std::string &path, const std::string &text)
	{
		return "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: " +
		       std::to_string(text.size()) + "\r\n\r\n" + text;
	}
	// Sends everything, also if the server does not read for a while.
	void
	send_all(RawConnection &caller, const std::string &text)
	{
		size_t sent = 0;

		ASSERT_TRUE(run_until([&] {
			sent += caller.write(text, sent);
			return sent == text.size();
		}));
		run();
	}

	struct ev_loop *loop = nullptr;
	caller_server_t *server = nullptr;
	caller_options_t options = {};
	address_t address = {};
	headers_t no_headers = {};
	std::vector<std::unique_ptr<Request>> requests;
	size_t begun_together = 0; // most requests that ran at the same time
	std::function<void(Request *)> on_begin;
	size_t body_room = SIZE_MAX;

      private:
	static size_t
	ahead_bytes(void *, const http_head_t *head)
	{
		std::string path = http_head_path(head);

		return path.rfind("/safe/", 0) == 0 ? strtoul(&path[6], nullptr, 10) : 0;
	}
	static void *
	begin(void *state, exchange_t *exchange)
	{
		CallerServer *test = (CallerServer *)state;
		Request *request = new Request();

		request->exchange = exchange;
		request->path = http_head_path(&exchange->head);
		if (exchange->head.error != HTTP_MESSAGE_ERROR_NONE)
			request->path = "error";
		test->requests.emplace_back(request);
		test->begun_together = std::max(test->begun_together, test->running());
		if (test->on_begin)
			test->on_begin(request);
		return request;
	}
	static size_t
	body(void *owner, const char *data, size_t size)
	{
		((Request *)owner)->body.append(data, size);
		return size;
	}
	static void
	body_flush(void *owner)
	{
		((Request *)owner)->body_flushes++;
	}
	static void
	body_end(void *owner)
	{
		((Request *)owner)->body_ended = true;
	}
	static ssize_t
	read_answer(void *owner, char *target, size_t size)
	{
		Request *request = (Request *)owner;
		size_t given = std::min(size, request->answer.size());

		if (given > 0) {
			memcpy(target, request->answer.data(), given);
			request->answer.erase(0, given);
			return (ssize_t)given;
		}
		if (request->answer_cut)
			return EXCHANGE_READ_CUT;
		return request->answer_ended ? EXCHANGE_READ_END : 0;
	}
	static void
	end(void *owner, exchange_end_t how)
	{
		Request *request = (Request *)owner;

		EXPECT_FALSE(request->ended);
		request->ended = true;
		request->delivered = how == EXCHANGE_END_DELIVERED;
		request->dropped = how == EXCHANGE_END_DROPPED;
	}
};

TEST_F(CallerServer, IdempotentRequestsRunTogetherAndAreAnsweredInOrder)
{
	auto caller = connect_caller();

	send_all(*caller, get("/safe/1") + get("/safe/2") + get("/safe/3"));
	ASSERT_EQ(running(), 3u);
	answer("/safe/3", "third");
	answer("/safe/2", "second");
	run();
	EXPECT_FALSE(caller->has("HTTP"));
	answer("/safe/1", "first");
	ASSERT_TRUE(run_until([&] { return caller->has("third"); }));
	EXPECT_LT(caller->input.find("first"), caller->input.find("second"));
	EXPECT_LT(caller->input.find("second"), caller->input.find("third"));
	EXPECT_EQ(running(), 0u);
	EXPECT_EQ(caller_server_connections(server), 1u);
}

// Guards against a request that isn't idempotent running before the answers ahead of it
// are known, and against lookups that overtake a booking on the same connection.
TEST_F(CallerServer, OtherRequestsWaitForTheAnswersBeforeThem)
{
	auto caller = connect_caller();

	send_all(*caller, get("/safe/1") + post("/book", "x") + get("/safe/2"));
	EXPECT_NE(find("/safe/1"), nullptr);
	EXPECT_EQ(find("/book"), nullptr);
	answer("/safe/1", "first");
	run();
	ASSERT_NE(find("/book"), nullptr);
	EXPECT_EQ(find("/book")->body, "x");
	EXPECT_TRUE(find("/book")->body_ended);
	EXPECT_EQ(find("/safe/2"), nullptr);
	answer("/book", "booked");
	run();
	answer("/safe/2", "last");
	ASSERT_TRUE(run_until([&] { return caller->has("last"); }));
	EXPECT_EQ(begun_together, 1u);
}

TEST_F(CallerServer, TenThousandRequestsInOneWriteAreBounded)
{
	auto caller = connect_caller();
	std::string text;
	size_t answered = 0, sent = 0;

	for (int i = 0; i < 10000; i++)
		text += get("/safe/1?" + std::to_string(i));
	ASSERT_TRUE(run_until([&] {
		sent += caller->write(text, sent);
		EXPECT_LE(running(), (size_t)CALLER_PIPELINE_MAX);
		// The newest first.
		for (size_t i = requests.size(); i-- > answered;) {
			Request *request = requests[i].get();

			if (request->ended || request->answer_ended)
				continue;
			exchange_answer_t given = {
			    200, &no_headers, (int64_t)request->path.size(), false};
			request->answer = request->path;
			request->answer_ended = true;
			exchange_answer_start(request->exchange, &given);
		}
		while (answered < requests.size() && requests[answered]->ended)
			answered++;
		caller->read();
		return answered == 10000;
	}));
	ASSERT_TRUE(run_until([&] { return caller->has("/safe/1?9999"); }));
	EXPECT_EQ(begun_together, (size_t)CALLER_PIPELINE_MAX);
	for (size_t i = 0, at = 0; i < 10000; i++) {
		at = caller->input.find("\r\n\r\n/safe/1?" + std::to_string(i), at);
		ASSERT_NE(at, std::string::npos) << i;
	}
}

// Guards against answers of many megabytes that wait in memory for a slow first one.
TEST_F(CallerServer, ExpectedAnswersThatRunAheadAreBounded)
{
	auto caller = connect_caller();
	std::string text;

	for (int i = 0; i < 8; i++)
		text += get("/safe/200000?" + std::to_string(i));
	send_all(*caller, text);
	EXPECT_EQ(running(), 2u);
	answer("/safe/200000?0", "0");
	run();
	EXPECT_EQ(running(), 2u);
	EXPECT_EQ(requests.size(), 3u);
}

TEST_F(CallerServer, AnswerThatEndsTheConnectionEndsTheRequestsBehindIt)
{
	for (const std::string kind : {"close", "cut", "abort"}) {
		auto caller = connect_caller();
		std::string paths[4];

		for (int i = 0; i < 4; i++)
			paths[i] = "/safe/" + std::to_string(i + 1) + "?" + kind;
		send_all(*caller,
		    get(paths[0]) + get(paths[1]) + get(paths[2]) + get(paths[3]));
		Request *behind = find(paths[2]);
		answer(paths[2], "third");
		answer(paths[0], "first");
		if (kind == "close") {
			answer(paths[1], "second", true);
		} else if (kind == "cut") {
			Request *second = find(paths[1]);

			answer(paths[1], "second", false, 20, false);
			second->answer_cut = true;
			exchange_resume(second->exchange);
		} else {
			exchange_abort(find(paths[1])->exchange);
		}
		ASSERT_TRUE(run_until([&] {
			caller->read();
			return caller->closed;
		})) << kind;
		EXPECT_FALSE(caller->reset) << kind;
		EXPECT_TRUE(caller->has("first")) << kind;
		EXPECT_EQ(caller->has("second"), kind != "abort") << kind;
		EXPECT_EQ(caller->has("Connection: close"), kind == "close") << kind;
		EXPECT_FALSE(caller->has("third")) << kind;
		EXPECT_TRUE(behind->ended) << kind;
		EXPECT_TRUE(behind->dropped) << kind;
		caller->finish();
		ASSERT_TRUE(run_until([&] { return running() == 0; })) << kind;
		requests.clear();
	}
}

// Guards against a head that takes too long and ends the requests before it.
TEST_F(CallerServer, SlowHeadDoesNotEndTheRequestsBeforeIt)
{
	auto caller = connect_caller();
	uint64_t end = os_clock_monotonic() + 800 * NS_PER_MS;

	caller_server_timeouts_set(server, 0, 200 * NS_PER_MS);
	send_all(*caller, get("/safe/1") + "GET /safe/2 HTT");
	ASSERT_TRUE(run_until([&] { return os_clock_monotonic() > end; }));
	answer("/safe/1", "first");
	ASSERT_TRUE(run_until([&] {
		caller->read();
		return caller->closed;
	}));
	EXPECT_TRUE(caller->has("first"));
	EXPECT_EQ(requests.size(), 1u);
}

// Guards against requests that run although the answer ahead of them will close the
// connection.
TEST_F(CallerServer, NothingStartsBehindAClosingAnswer)
{
	auto caller = connect_caller();

	send_all(*caller, get("/safe/1") + get("/safe/2"));
	answer("/safe/2", "second", true);
	send_all(*caller, get("/safe/3"));
	EXPECT_EQ(find("/safe/3"), nullptr);
	answer("/safe/1", "first");
	ASSERT_TRUE(run_until([&] {
		caller->read();
		return caller->closed;
	}));
	EXPECT_TRUE(caller->has("first"));
	EXPECT_TRUE(caller->has("second"));
	EXPECT_EQ(requests.size(), 2u);
}

TEST_F(CallerServer, LeavingCallerEndsAllItsRequests)
{
	auto caller = connect_caller(), blocked = connect_caller();
	std::string many;

	send_all(*caller, get("/safe/1") + get("/safe/2") + post("/book", "x"));
	EXPECT_EQ(running(), 2u);
	caller->finish();
	ASSERT_TRUE(run_until([&] { return running() == 0; }));
	// The server does not read this one, so only the state of the socket tells.
	for (int i = 0; i < 2 * CALLER_PIPELINE_MAX; i++)
		many += get("/safe/1");
	send_all(*blocked, many);
	EXPECT_EQ(running(), (size_t)CALLER_PIPELINE_MAX);
	blocked->finish();
	ASSERT_TRUE(run_until([&] { return running() == 0; }));
	EXPECT_EQ(caller_server_connections(server), 0u);
}

// The unread bytes behind the last request would make the kernel reset the connection,
// and the caller would lose an answer that was written already.
TEST_F(CallerServer, AnswerBeforeACloseIsNotLostToUnreadBytes)
{
	auto caller = connect_caller(8192);
	std::string body(400000, 'a'), rest;

	for (int i = 0; i < 2000; i++)
		rest += get("/safe/1");
	on_begin = [&](Request *request) {
		exchange_answer_t given = {200, &no_headers, (int64_t)body.size(), true};

		request->answer = body;
		request->answer_ended = true;
		exchange_answer_start(request->exchange, &given);
	};
	caller->write(get("/first") + rest);
	ASSERT_TRUE(run_until([&] {
		caller->read(1000);
		return caller->closed;
	}));
	EXPECT_FALSE(caller->reset);
	EXPECT_GT(caller->input.size(), body.size());
	EXPECT_EQ(requests.size(), 1u);
}

// Guards against a connection that is never closed because its caller goes on sending.
TEST_F(CallerServer, CallerThatSendsWithoutEndIsDisconnected)
{
	auto caller = connect_caller();
	std::string junk(4096, 'x');
	uint64_t start = os_clock_monotonic();

	caller->write("NONSENSE\r\n\r\n");
	run();
	answer("error", "malformed", true);
	ASSERT_TRUE(run_until([&] {
		caller->write(junk);
		return caller_server_connections(server) == 0;
	}));
	EXPECT_LT(os_clock_monotonic() - start, 5 * NS_PER_S);
	EXPECT_EQ(requests.size(), 1u);
}

// Guards against a loop that is busy with a connection it cannot accept.
TEST_F(CallerServer, LackOfDescriptorsIsRetriedLater)
{
	std::vector<int> taken;
	auto caller = connect_caller();
	struct rlimit limit, few;
	int fd;

	ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &limit), 0);
	few = limit;
	few.rlim_cur = 256;
	ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &few), 0);
	while ((fd = dup(caller->fd)) >= 0)
		taken.push_back(fd);
	run();
	EXPECT_EQ(caller_server_counters(server)->limited, 1u);
	EXPECT_EQ(caller_server_connections(server), 0u);
	for (int descriptor : taken)
		close(descriptor);
	ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &limit), 0);
	ASSERT_TRUE(run_until([&] { return caller_server_connections(server) == 1; }));
}

// The same requests, split into two parts at every byte.
TEST_F(CallerServer, RequestsAreTheSameHoweverTheyArrive)
{
	const std::string text =
	    get("/safe/1", "A: b\r\nC:  d \r\n") + post("/book?x=1", "body of it") +
	    "POST /chunks HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
	    "chunked\r\n\r\n4\r\nabcd\r\n3;x=y\r\nefg\r\n0\r\nT: "
	    "v\r\n\r\n" +
	    "HEAD /safe/2 HTTP/1.1\r\nHost: h\r\n\r\n" + get("/last");
	std::vector<std::string> seen;

	on_begin = [&](Request *request) {
		exchange_answer_t given = {200, &no_headers, 2, false};
		const http_head_t *head = &request->exchange->head;
		std::string line = head->method + (" " + request->path);

		for (size_t i = 0; i < head->field_count; i++)
			line += std::string(" ") + http_head_field_name(head, i) + "=" +
				http_head_field_value(head, i);
		seen.push_back(line);
		request->answer = "ok";
		request->answer_ended = true;
		exchange_answer_start(request->exchange, &given);
	};
	for (size_t split = 0; split <= text.size(); split++) {
		auto caller = connect_caller();

		seen.clear();
		requests.clear();
		caller->write(text.substr(0, split));
		run(5);
		caller->write(text, split);
		ASSERT_TRUE(run_until([&] {
			return requests.size() == 5 && running() == 0;
		})) << split;
		EXPECT_EQ(seen, (std::vector<std::string>{"GET /safe/1 Host=h A=b C=d",
				    "POST /book?x=1 Host=h Content-Length=10",
				    "POST /chunks Host=h Transfer-Encoding=chunked",
				    "HEAD /safe/2 Host=h", "GET /last Host=h"}))
		    << split;
		EXPECT_EQ(requests[1]->body, "body of it");
		EXPECT_EQ(requests[2]->body, "abcdefg");
		caller->finish();
		run();
	}
}

// Guards against requests that two programs would find at different places.
TEST_F(CallerServer, MalformedRequestIsReportedBehindTheAnswersBeforeIt)
{
	const char *const malformed[] = {
	    "GET /x HTTP/1.1\r\nHost: h\r\nA: b\r\n folded\r\n\r\n",
	    "GET /x HTTP/1.1\r\nHost : h\r\n\r\n",
	    "GET /x HTTP/2.0\r\nHost: h\r\n\r\n",
	    "NONSENSE\r\n\r\n",
	    "POST /x HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
	    "GET /x HTTP/1.1\r\nHost: h\x01\r\n\r\n",
	    "GET /x HTTP/1.1\r\nHost: \x01h\r\n\r\n",
	    "GET /x HTTP/1.1\r\nHost\r\n\r\n",
	    "GET /x HTTP/1.1\r\nA\r\nHost: h\r\n\r\n",
	    "POST /x HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
	};

	for (const char *text : malformed) {
		auto caller = connect_caller();

		send_all(*caller, get("/safe/1") + text + get("/smuggled"));
		EXPECT_EQ(find("error"), nullptr) << text;
		answer("/safe/1", "first");
		run();
		ASSERT_NE(find("error"), nullptr) << text;
		EXPECT_NE(find("error")->exchange->head.error, HTTP_MESSAGE_ERROR_NONE);
		answer("error", "malformed", true);
		ASSERT_TRUE(run_until([&] { return caller->has("malformed"); })) << text;
		EXPECT_EQ(find("/smuggled"), nullptr) << text;
		caller->finish();
		ASSERT_TRUE(run_until([&] { return running() == 0; })) << text;
	}
}

TEST_F(CallerServer, CallerThatExpectsContinueGetsItInOrder)
{
	auto caller = connect_caller();

	send_all(*caller, get("/safe/1") + "POST /safe/2 HTTP/1.1\r\nHost: h\r\n"
					   "Expect: 100-continue\r\nContent-Length: "
					   "2\r\n\r\n");
	EXPECT_FALSE(caller->has("100 Continue"));
	answer("/safe/1", "first");
	ASSERT_TRUE(run_until([&] { return caller->has("100 Continue"); }));
	EXPECT_LT(caller->input.find("first"), caller->input.find("100 Continue"));
	send_all(*caller, "ok");
	answer("/safe/2", "second");
	ASSERT_TRUE(run_until([&] { return caller->has("second"); }));
}

TEST_F(CallerServer, UnfinishedHeadsAndIdleConnectionsAreClosed)
{
	auto idle = connect_caller(), slow = connect_caller(), busy = connect_caller();

	caller_server_timeouts_set(server, 300 * NS_PER_MS, 300 * NS_PER_MS);
	send_all(*slow, "GET /safe/1 HTTP/1.1\r\nHos");
	send_all(*busy, get("/safe/1"));
	ASSERT_TRUE(run_until([&] {
		idle->read();
		slow->read();
		return idle->closed && slow->closed;
	}));
	// A request that runs has no timeout here.
	answer("/safe/1", "slow");
	ASSERT_TRUE(run_until([&] { return busy->has("slow"); }));
}

// A caller with an answer of HTTP/1.0 without a length sees its end by the close only.
TEST_F(CallerServer, CutAnswerWithoutALengthEndsByAReset)
{
	auto caller = connect_caller();

	send_all(*caller, "GET /safe/1 HTTP/1.0\r\n\r\n");
	Request *request = find("/safe/1");
	answer("/safe/1", "some", false, -1, false);
	ASSERT_TRUE(run_until([&] { return caller->has("some"); }));
	request->answer_cut = true;
	exchange_resume(request->exchange);
	ASSERT_TRUE(run_until([&] {
		caller->read();
		return caller->closed;
	}));
	EXPECT_TRUE(caller->reset);
}

} // namespace
