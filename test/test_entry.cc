// Guards the entry against ambiguous framing, unbounded heads and bodies,
// repeats of requests that may have been run, answers of another stream, cut
// answers that look whole, and work that goes on after its caller is gone.
#include "common_request.h"
#include "entry.h"
#include "retry.h"

#include <json-c/json.h>

namespace
{

const uint64_t REMOTE = 77;

const char PRESET[] =
    "{\"format\":1,\"services\":{\"katalogo\":{},\"pamigay\":{}},\"routes\":["
    "{\"name\":\"list\",\"methods\":[\"GET\",\"HEAD\"],\"prefix\":\"/katalogo/\","
    "\"service\":\"katalogo\",\"class\":\"lookup\",\"idempotent\":true,"
    "\"deadline_ms\":5000,\"min_attempt_ms\":1,\"attempts\":3,"
    "\"body_limit_bytes\":65536},"
    "{\"name\":\"inner\",\"methods\":[\"GET\"],\"prefix\":\"/katalogo/inner/\","
    "\"service\":\"katalogo\",\"class\":\"internal\",\"idempotent\":true,"
    "\"deadline_ms\":5000,\"min_attempt_ms\":1,\"attempts\":3,"
    "\"body_limit_bytes\":65536},"
    "{\"name\":\"book\",\"methods\":[\"POST\"],\"prefix\":\"/katalogo/book/\","
    "\"service\":\"katalogo\",\"class\":\"call\",\"deadline_ms\":5000,"
    "\"min_attempt_ms\":1,\"attempts\":3,\"body_limit_bytes\":200000},"
    "{\"name\":\"up\",\"methods\":[\"PUT\"],\"prefix\":\"/katalogo/up/\","
    "\"service\":\"katalogo\",\"class\":\"upload\",\"deadline_ms\":60000,"
    "\"min_attempt_ms\":1,\"attempts\":3,\"body_limit_bytes\":10000000}]}";

// Where an attempt went.
struct Attempt {
	Fake *to = nullptr;
	uint64_t node = 0;
	uint64_t stream = 0;
};

class Entry : public RequestTest
{
      protected:
	entry_t *entry = nullptr;
	std::unique_ptr<Fake> gate, peer, membership, config;

	void
	SetUp() override
	{
		RequestTest::SetUp();
		settings.requests_max = 16;
		create();
	}
	void
	TearDown() override
	{
		destroy();
		RequestTest::TearDown();
	}
	void
	create()
	{
		ASSERT_EQ(entry_create(kernel, &settings, &entry), 0);
		gate = std::make_unique<Fake>(kernel, "gate");
		peer = std::make_unique<Fake>(kernel, "peer");
		membership = std::make_unique<Fake>(kernel, "membership");
		config = std::make_unique<Fake>(kernel, "config");
	}
	void
	destroy()
	{
		entry_destroy(entry);
		entry = nullptr;
		gate.reset();
		peer.reset();
		membership.reset();
		config.reset();
	}
	void
	configure()
	{
		message_t *message = message_create(MESSAGE_SNAPSHOT, 0, 0);
		char error[MASTICPITCH_MESSAGE_MAX];
		preset_t *preset = nullptr;

		ASSERT_EQ(preset_parse(
			      PRESET, sizeof(PRESET) - 1, &preset, error, sizeof(error)),
		    0)
		    << error;
		message->u.snapshot = snapshot_create(5, "normal", preset);
		config->post("entry", message);
	}
	void
	add_local()
	{
		message_t *message = message_create(MESSAGE_INSTANCE, 0, 0);

		message->u.instance.state = INSTANCE_READY;
		strcpy(message->u.instance.service, "katalogo");
		message->u.instance.slots = 4;
		message->u.instance.connections = 4;
		message->u.instance.sequence = 1;
		gate->post("entry", message);
	}
	void
	add_remote()
	{
		message_t *message = message_create(MESSAGE_MEMBER, REMOTE, 0);
		member_t *member = &message->u.member;

		member->node = REMOTE;
		member->address = {own_ip(), 9000};
		strcpy(member->zone, "cebu-a");
		strcpy(member->region, "visayas");
		member->incarnation = 1;
		member->state = MEMBER_ALIVE;
		member->reachable = true;
		member->instance.state = INSTANCE_READY;
		strcpy(member->instance.service, "katalogo");
		member->instance.slots = 4;
		member->instance.connections = 4;
		member->instance.sequence = 1;
		membership->post("entry", message);
	}
	void
	ready()
	{
		configure();
		add_local();
		settle();
	}
	std::unique_ptr<Raw>
	connect_caller(int receive_buffer = 0)
	{
		struct sockaddr_in target;
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

		if (receive_buffer > 0)
			setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
			    sizeof(receive_buffer));
		address_to_sockaddr(&settings.callers, &target);
		connect(fd, reinterpret_cast<struct sockaddr *>(&target), sizeof(target));
		return std::make_unique<Raw>(fd);
	}
	std::unique_ptr<Raw>
	send_request(const std::string &text)
	{
		std::unique_ptr<Raw> caller = connect_caller();

		EXPECT_EQ(caller->write(text), text.size());
		return caller;
	}
	static std::string
	get(const std::string &path, const std::string &fields = "")
	{
		return "GET " + path + " HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n";
	}
	static std::string
	post(const std::string &path, const std::string &body)
	{
		return "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: " +
		       std::to_string(body.size()) + "\r\n\r\n" + body;
	}
	// The whole answer to a request that is refused, or "" after 10 s.
	std::string
	answer_to(const std::string &request)
	{
		std::unique_ptr<Raw> caller = send_request(request);

		EXPECT_TRUE(until([&] {
			return caller->has("\r\n\r\n") &&
			       (caller->has("}") || caller->closed);
		}));
		return caller->input;
	}
	void
	expect_refused(const std::string &answer, int status, const std::string &reason,
	    const std::string &run)
	{
		EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 " + std::to_string(status));
		EXPECT_NE(answer.find("Masticpitch-Reason: " + reason + "\r\n"),
		    std::string::npos)
		    << answer;
		EXPECT_NE(
		    answer.find("Masticpitch-Run: " + run + "\r\n"), std::string::npos)
		    << answer;
	}
	// Waits for the given attempt at a path.
	Attempt
	attempt(const std::string &path, uint32_t number = 1)
	{
		Attempt found;

		EXPECT_TRUE(until([&] {
			for (Fake *fake : {gate.get(), peer.get()}) {
				for (const Received &message : fake->messages) {
					if (message.type != MESSAGE_CALL_OPEN ||
					    message.path != path ||
					    message.attempt != number)
						continue;
					found = {fake, message.node, message.stream};
				}
			}
			return found.to != nullptr;
		}));
		return found;
	}
	static void
	answer(const Attempt &to, const std::string &body, int64_t length,
	    bool end = true, int status = 200)
	{
		to.to->post_answer("entry", to.node, to.stream, status, length);
		to.to->post_data(
		    "entry", MESSAGE_ANSWER_DATA, to.node, to.stream, body, end);
	}
	static void
	refuse(const Attempt &to, reason_t reason, run_state_t run,
	    message_type_t type = MESSAGE_REFUSAL)
	{
		to.to->post_refusal("entry", type, to.node, to.stream, reason, run);
	}
	bool
	is_idle()
	{
		service_t *service = kernel_service_find(kernel, "entry");

		return service->is_idle(service->state);
	}
	std::string
	report(query_kind_t kind, const char *path = "")
	{
		message_t *message = message_create(MESSAGE_QUERY, 0, 42);

		message->u.query.kind = kind;
		strcpy(message->u.query.method, "GET");
		strcpy(message->u.query.path, path);
		config->messages.clear();
		config->post("entry", message);
		EXPECT_TRUE(
		    until([&] { return config->find(MESSAGE_REPORT, 42) != nullptr; }));
		return config->find(MESSAGE_REPORT, 42)->data;
	}
};

TEST_F(Entry, NothingIsRoutedWithoutConfigurationOrInstance)
{
	expect_refused(answer_to(get("/katalogo/x")), 503, "no-configuration", "no");
	configure();
	settle();
	expect_refused(answer_to(get("/katalogo/x")), 503, "no-instance", "no");
	expect_refused(answer_to(get("/nothing")), 404, "no-route", "no");
	expect_refused(answer_to(get("/.masticpitch/other")), 404, "no-route", "no");
}

TEST_F(Entry, RequestIsRoutedAndAnswered)
{
	std::unique_ptr<Raw> caller;
	Attempt first;
	const Received *open;

	ready();
	caller = send_request(get("/katalogo/a%20b?x=%2f",
	    "X-Own: 1\r\nConnection: X-Hop\r\nX-Hop: 2\r\nMasticpitch-Other: 3\r\n"
	    "Masticpitch-Depth: 4\r\nMasticpitch-Deadline-Ms: 900\r\n"));
	first = attempt("/katalogo/a%20b?x=%2f");
	ASSERT_EQ(first.to, gate.get());
	open = gate->find(MESSAGE_CALL_OPEN, first.stream);
	EXPECT_EQ(open->method, "GET");
	EXPECT_EQ(open->service, "katalogo");
	EXPECT_EQ(open->depth, 4u);
	EXPECT_LE(open->deadline, os_clock_monotonic() + 900 * NS_PER_MS);
	EXPECT_EQ(open->headers, "Host: h\nX-Own: 1\n");
	answer(first, "hello", 5);
	ASSERT_TRUE(until([&] { return caller->has("hello"); }));
	EXPECT_TRUE(caller->has("HTTP/1.1 200 OK\r\n"));
	EXPECT_TRUE(caller->has("Content-Length: 5\r\n"));
	// The connection is kept; the next request gets its own answer.
	caller->input.clear();
	caller->write(get("/katalogo/second"));
	answer(attempt("/katalogo/second"), "again", -1);
	ASSERT_TRUE(until([&] { return caller->has("again"); }));
	ASSERT_TRUE(until([&] { return is_idle(); }));
}

TEST_F(Entry, PipelinedRequestsAreAnsweredInOrder)
{
	std::unique_ptr<Raw> caller;

	ready();
	caller = send_request(get("/katalogo/1") + get("/katalogo/2"));
	answer(attempt("/katalogo/1"), "first", 5);
	answer(attempt("/katalogo/2"), "second", 6);
	ASSERT_TRUE(until([&] { return caller->has("second"); }));
	EXPECT_LT(caller->input.find("first"), caller->input.find("second"));
}

// Two programs that see the body end at different places see different requests.
TEST_F(Entry, AmbiguousFramingIsRefusedAndEndsTheConnection)
{
	const std::string smuggled = get("/katalogo/smuggled");
	const std::vector<std::string> cases = {
	    "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
	    "Transfer-Encoding: chunked\r\nContent-Length: 0\r\n",
	    "Content-Length: 5\r\nContent-Length: 5\r\n",
	    "Content-Length: 5\r\nContent-Length: 6\r\n",
	    "Content-Length: 5, 5\r\n",
	    "Content-Length: +5\r\n",
	    "Content-Length: 0x5\r\n",
	    "Transfer-Encoding: gzip, chunked\r\n",
	    "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
	    "Transfer-Encoding: identity\r\n",
	};

	ready();
	for (const std::string &fields : cases) {
		std::unique_ptr<Raw> caller =
		    send_request("POST /katalogo/book/1 HTTP/1.1\r\nHost: h\r\n" +
				 fields + "\r\n0\r\n\r\n" + smuggled);

		EXPECT_TRUE(until([&] {
			caller->read();
			return caller->closed;
		})) << fields;
		EXPECT_EQ(caller->input.substr(0, 12), "HTTP/1.1 400") << fields;
		// libmicrohttpd writes its own 400 twice for a malformed length.
		for (size_t at = 0;
		     (at = caller->input.find("HTTP/1.1 ", at)) != std::string::npos;
		     at++)
			EXPECT_EQ(caller->input.substr(at, 12), "HTTP/1.1 400") << fields;
		EXPECT_NE(caller->input.find("Connection: close"), std::string::npos);
	}
	expect_refused(answer_to("POST /katalogo/book/1 HTTP/1.0\r\nHost: h\r\n"
				 "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
	    400, "bad-framing", "no");
	settle();
	EXPECT_EQ(gate->count(MESSAGE_CALL_OPEN), 0u);
}

TEST_F(Entry, HeadsBeyondTheLimitsAreRefused)
{
	std::string many;

	ready();
	for (int i = 0; i < 101; i++)
		many += "X-" + std::to_string(i) + ": 1\r\n";
	expect_refused(
	    answer_to(get("/katalogo/x", many)), 431, "headers-too-large", "no");
	expect_refused(
	    answer_to(get("/katalogo/x", "X-Big: " + std::string(17000, 'x') + "\r\n")),
	    431, "headers-too-large", "no");
	EXPECT_EQ(
	    answer_to(get("/katalogo/x", "X-Big: " + std::string(60000, 'x') + "\r\n"))
		.substr(0, 12),
	    "HTTP/1.1 431");
	expect_refused(answer_to(get("/katalogo/" + std::string(9000, 'x'))), 414,
	    "path-too-long", "no");
	expect_refused(answer_to(get("/katalogo/../x")), 400, "bad-request", "no");
	expect_refused(answer_to(get("/katalogo/x", "Masticpitch-Depth: x\r\n")), 400,
	    "bad-request", "no");
	expect_refused(answer_to(get("/katalogo/x", "Masticpitch-Depth: 20\r\n")), 508,
	    "depth-exceeded", "no");
	expect_refused(answer_to(get("/katalogo/x", "Masticpitch-Deadline-Ms: 0\r\n")),
	    504, "deadline-passed", "no");
	expect_refused(answer_to(get("/katalogo/x", "Idempotency-Key: mine\r\n")), 400,
	    "ticket-required", "no");
	EXPECT_EQ(gate->count(MESSAGE_CALL_OPEN), 0u);
	EXPECT_TRUE(is_idle());
}

TEST_F(Entry, BodiesBeyondTheRoutesLimitAreRefused)
{
	std::unique_ptr<Raw> caller;

	ready();
	expect_refused(answer_to("POST /katalogo/book/1 HTTP/1.1\r\nHost: h\r\n"
				 "Content-Length: 200001\r\n\r\n"),
	    413, "body-too-large", "no");
	EXPECT_EQ(gate->count(MESSAGE_CALL_OPEN), 0u);
	// Chunked, the size shows only while the call runs already.
	caller = send_request("POST /katalogo/book/2 HTTP/1.1\r\nHost: h\r\n"
			      "Transfer-Encoding: chunked\r\n\r\n");
	for (int i = 0; i < 51; i++)
		caller->write("fa0\r\n" + std::string(4000, 'x') + "\r\n");
	caller->write("0\r\n\r\n");
	ASSERT_TRUE(until([&] { return caller->has("}"); }));
	expect_refused(caller->input, 413, "body-too-large", "unknown");
	ASSERT_TRUE(until([&] { return gate->count(MESSAGE_CALL_CANCEL) == 1; }));
}

TEST_F(Entry, RequestNotRunIsSentWholeToAnotherInstance)
{
	std::string body(50000, 'b');
	std::unique_ptr<Raw> caller;
	Attempt first, second;

	ready();
	add_remote();
	settle();
	caller = send_request(post("/katalogo/book/1", body));
	first = attempt("/katalogo/book/1");
	refuse(first, REASON_QUEUE_FULL, RUN_NO);
	second = attempt("/katalogo/book/1", 2);
	EXPECT_NE(second.to, first.to);
	ASSERT_TRUE(
	    until([&] { return second.to->ended(MESSAGE_CALL_DATA, second.stream); }));
	EXPECT_EQ(second.to->body(MESSAGE_CALL_DATA, second.stream), body);
	EXPECT_EQ(peer->messages[0].node, REMOTE);
	answer(second, "done", 4);
	ASSERT_TRUE(until([&] { return caller->has("done"); }));
	EXPECT_EQ(metric(METRIC_ATTEMPTS), 2u);
}

TEST_F(Entry, RequestThatMayHaveRunIsNotRepeatedUnlessIdempotent)
{
	std::unique_ptr<Raw> booking, lookup;
	Attempt first;

	ready();
	add_remote();
	settle();
	booking = send_request(post("/katalogo/book/1", "x"));
	refuse(attempt("/katalogo/book/1"), REASON_STREAM_LOST, RUN_UNKNOWN,
	    MESSAGE_STREAM_LOST);
	ASSERT_TRUE(until([&] { return booking->has("}"); }));
	expect_refused(booking->input, 502, "stream-lost", "unknown");
	EXPECT_EQ(metric(METRIC_ATTEMPTS), 1u);
	lookup = send_request(get("/katalogo/1"));
	refuse(
	    attempt("/katalogo/1"), REASON_STREAM_LOST, RUN_UNKNOWN, MESSAGE_STREAM_LOST);
	// What the first attempt may have run stays said.
	refuse(attempt("/katalogo/1", 2), REASON_QUEUE_FULL, RUN_NO);
	ASSERT_TRUE(until([&] { return lookup->has("}"); }));
	EXPECT_TRUE(lookup->has("Masticpitch-Run: unknown\r\n"));
}

TEST_F(Entry, BodyThatIsNotKeptIsNotResent)
{
	std::unique_ptr<Raw> caller;
	Attempt first;

	ready();
	add_remote();
	settle();
	caller = send_request(post("/katalogo/book/1", std::string(100000, 'b')));
	first = attempt("/katalogo/book/1");
	ASSERT_TRUE(
	    until([&] { return first.to->ended(MESSAGE_CALL_DATA, first.stream); }));
	refuse(first, REASON_QUEUE_FULL, RUN_NO);
	ASSERT_TRUE(until([&] { return caller->has("}"); }));
	expect_refused(caller->input, 503, "queue-full", "no");
	EXPECT_EQ(metric(METRIC_ATTEMPTS), 1u);
}

TEST_F(Entry, HangUpCancelsTheCall)
{
	std::unique_ptr<Raw> waiting, uploading;
	Attempt first, second;

	ready();
	waiting = send_request(get("/katalogo/1"));
	uploading = send_request("PUT /katalogo/up/1 HTTP/1.1\r\nHost: h\r\n"
				 "Content-Length: 5000000\r\n\r\n" +
				 std::string(50000, 'u'));
	first = attempt("/katalogo/1");
	second = attempt("/katalogo/up/1");
	waiting->finish();
	uploading->abort();
	ASSERT_TRUE(until([&] {
		return gate->find(MESSAGE_CALL_CANCEL, first.stream) != nullptr &&
		       gate->find(MESSAGE_CALL_CANCEL, second.stream) != nullptr;
	}));
	ASSERT_TRUE(until([&] { return is_idle(); }));
	answer(first, "late", 4);
	settle();
	EXPECT_EQ(metric(METRIC_LATE_FRAMES), 2u);
	EXPECT_EQ(metric(METRIC_CALLER_HANGUPS), 2u);
}

TEST_F(Entry, CutAnswerBreaksTheCallersConnection)
{
	std::unique_ptr<Raw> with_length, chunked, old;
	Attempt first;

	ready();
	with_length = send_request(get("/katalogo/1"));
	first = attempt("/katalogo/1");
	answer(first, "some", 10, false);
	ASSERT_TRUE(until([&] { return with_length->has("some"); }));
	refuse(first, REASON_BACKEND_LOST, RUN_YES, MESSAGE_ANSWER_ABORT);
	ASSERT_TRUE(
	    until([&] { return with_length->has("some") && with_length->closed; }));
	EXPECT_EQ(with_length->input.substr(with_length->input.size() - 4), "some");

	chunked = send_request(get("/katalogo/2"));
	first = attempt("/katalogo/2");
	answer(first, "some", -1, false);
	ASSERT_TRUE(until([&] { return chunked->has("some"); }));
	refuse(first, REASON_STREAM_LOST, RUN_UNKNOWN, MESSAGE_STREAM_LOST);
	ASSERT_TRUE(until([&] { return chunked->has("some") && chunked->closed; }));
	EXPECT_EQ(chunked->input.find("\r\n0\r\n"), std::string::npos);

	// Only a reset tells an HTTP/1.0 caller that the answer is not whole.
	old = send_request("GET /katalogo/3 HTTP/1.0\r\n\r\n");
	first = attempt("/katalogo/3");
	answer(first, "some", -1, false);
	ASSERT_TRUE(until([&] { return old->has("some"); }));
	refuse(first, REASON_BACKEND_LOST, RUN_YES, MESSAGE_ANSWER_ABORT);
	ASSERT_TRUE(until([&] { return old->has("some") && old->closed; }));
	EXPECT_TRUE(old->reset);
	EXPECT_EQ(metric(METRIC_ANSWERS_CUT), 3u);
}

// With a length the caller takes the answer for whole at its last byte.
TEST_F(Entry, LastByteWaitsForTheEndMark)
{
	std::unique_ptr<Raw> caller;
	Attempt first;

	ready();
	caller = send_request(get("/katalogo/1"));
	first = attempt("/katalogo/1");
	answer(first, "whole", 5, false);
	ASSERT_TRUE(until([&] { return caller->has("whol"); }));
	settle();
	EXPECT_FALSE(caller->has("whole"));
	first.to->post_data(
	    "entry", MESSAGE_ANSWER_DATA, first.node, first.stream, "", true);
	ASSERT_TRUE(until([&] { return caller->has("whole"); }));
	EXPECT_EQ(metric(METRIC_LATE_FRAMES), 0u);
}

TEST_F(Entry, EmptyAnswerWaitsForTheEndMarkToo)
{
	std::unique_ptr<Raw> caller;
	Attempt first;

	ready();
	caller = send_request(post("/katalogo/book/1", "x"));
	first = attempt("/katalogo/book/1");
	first.to->post_answer("entry", first.node, first.stream, 204, 0);
	settle();
	EXPECT_FALSE(caller->has("HTTP"));
	refuse(first, REASON_BACKEND_LOST, RUN_YES, MESSAGE_ANSWER_ABORT);
	ASSERT_TRUE(until([&] { return caller->has("}"); }));
	expect_refused(caller->input, 502, "backend-lost", "yes");
}

TEST_F(Entry, LateAndCrossedAnswersReachNoOtherCaller)
{
	std::unique_ptr<Raw> one, two;
	Attempt first, second, again;

	ready();
	add_remote();
	settle();
	one = send_request(get("/katalogo/1"));
	first = attempt("/katalogo/1");
	refuse(first, REASON_QUEUE_FULL, RUN_NO);
	again = attempt("/katalogo/1", 2);
	two = send_request(get("/katalogo/2"));
	second = attempt("/katalogo/2");
	// The ended attempt, another service's stream, another node's stream.
	answer(first, "late", 4);
	(second.to == gate.get() ? peer : gate)
	    ->post_answer("entry", second.node, second.stream, 200, 4);
	second.to->post_answer("entry", second.node + 1, second.stream, 200, 4);
	answer(second, "two", 3);
	answer(again, "one", 3);
	ASSERT_TRUE(until([&] { return one->has("one") && two->has("two"); }));
	EXPECT_FALSE(one->has("late"));
	EXPECT_EQ(metric(METRIC_LATE_FRAMES), 4u);
}

TEST_F(Entry, AnswerDataBeforeTheHeadIsAProtocolError)
{
	std::unique_ptr<Raw> caller;
	Attempt first;

	ready();
	caller = send_request(post("/katalogo/book/1", "x"));
	first = attempt("/katalogo/book/1");
	first.to->post_data(
	    "entry", MESSAGE_ANSWER_DATA, first.node, first.stream, "x", true);
	ASSERT_TRUE(until([&] { return caller->has("}"); }));
	expect_refused(caller->input, 502, "backend-protocol", "unknown");
	EXPECT_NE(gate->find(MESSAGE_CALL_CANCEL, first.stream), nullptr);
}

TEST_F(Entry, DeadlineAnswersTheCallerAndCancelsTheCall)
{
	std::unique_ptr<Raw> caller, slow;
	Attempt first;

	ready();
	caller = send_request(get("/katalogo/1", "Masticpitch-Deadline-Ms: 100\r\n"));
	first = attempt("/katalogo/1");
	ASSERT_TRUE(until([&] { return caller->has("}"); }));
	expect_refused(caller->input, 504, "deadline-passed", "unknown");
	EXPECT_NE(first.to->find(MESSAGE_CALL_CANCEL, first.stream), nullptr);
	// A body that does not end is broken off.
	slow = send_request("POST /katalogo/book/1 HTTP/1.1\r\nHost: h\r\n"
			    "Masticpitch-Deadline-Ms: 100\r\nContent-Length: 9\r\n\r\nx");
	ASSERT_TRUE(until([&] {
		slow->read();
		return slow->closed;
	}));
	ASSERT_TRUE(until([&] { return is_idle(); }));
}

TEST_F(Entry, UploadWaitsForCreditAndArrivesWhole)
{
	std::string head = "PUT /katalogo/up/1 HTTP/1.1\r\nHost: h\r\n"
			   "Content-Length: 3000000\r\n\r\n";
	std::string body(3000000, 'u');
	std::unique_ptr<Raw> caller;
	size_t written = 0, credited = 0, got;
	Attempt first;

	ready();
	for (size_t i = 0; i < body.size(); i++)
		body[i] = static_cast<char>('a' + i % 23);
	caller = connect_caller();
	ASSERT_TRUE(until([&] { return caller->write(head) == head.size(); }));
	for (int i = 0; i < 200; i++) {
		written += caller->write(body, written);
		settle();
	}
	first = attempt("/katalogo/up/1");
	got = gate->body(MESSAGE_CALL_DATA, first.stream).size();
	EXPECT_LE(got, size_t{STREAM_WINDOW});
	EXPECT_GT(got, size_t{STREAM_WINDOW - STREAM_DATA_MAX});
	ASSERT_TRUE(until([&] {
		written += caller->write(body, written);
		got = 0;
		for (const Received &message : gate->messages)
			got +=
			    message.type == MESSAGE_CALL_DATA ? message.data.size() : 0;
		if (got > credited)
			gate->post_credit("entry", MESSAGE_CALL_CREDIT, 0, first.stream,
			    static_cast<uint32_t>(got - credited));
		credited = got;
		return gate->ended(MESSAGE_CALL_DATA, first.stream);
	}));
	EXPECT_EQ(gate->body(MESSAGE_CALL_DATA, first.stream), body);
	answer(first, "stored", 6);
	ASSERT_TRUE(until([&] { return caller->has("stored"); }));
}

TEST_F(Entry, CreditFollowsTheCallersReading)
{
	std::unique_ptr<Raw> caller;
	std::string piece(STREAM_DATA_MAX, 'p');
	size_t posted = 0, allowed = STREAM_WINDOW, total = 8000000;
	Attempt first;
	auto feed = [&] {
		allowed = STREAM_WINDOW;
		for (const Received &message : gate->messages)
			allowed +=
			    message.type == MESSAGE_ANSWER_CREDIT ? message.credit : 0;
		while (posted < total && posted + piece.size() <= allowed) {
			posted += piece.size();
			gate->post_data("entry", MESSAGE_ANSWER_DATA, 0, first.stream,
			    piece, posted >= total);
		}
	};

	ready();
	caller = connect_caller(4096);
	ASSERT_TRUE(until([&] { return caller->write(get("/katalogo/1")) > 0; }));
	first = attempt("/katalogo/1");
	first.to->post_answer("entry", first.node, first.stream, 200, -1);
	for (int i = 0; i < 200; i++) {
		feed();
		settle();
	}
	// The rest waits: what is out fits into the window and the socket's buffers.
	EXPECT_LT(posted, total);
	ASSERT_TRUE(until([&] {
		feed();
		caller->read();
		return caller->input.size() > total;
	}));
	ASSERT_TRUE(until([&] { return caller->has("\r\n0\r\n\r\n"); }));
}

TEST_F(Entry, LeavingFinishesRunningWorkAndItsNestedCalls)
{
	std::unique_ptr<Raw> uploading, nested;
	Attempt first;

	ready();
	uploading = send_request("PUT /katalogo/up/1 HTTP/1.1\r\nHost: h\r\n"
				 "Content-Length: 5010\r\n\r\n" +
				 std::string(5000, 'u'));
	first = attempt("/katalogo/up/1");
	config->post("entry", message_create(MESSAGE_LEAVE, 0, 0));
	settle();
	expect_refused(answer_to(get("/katalogo/late")), 503, "shutdown", "no");
	nested = send_request(get("/katalogo/nested", "Masticpitch-Depth: 1\r\n"));
	answer(attempt("/katalogo/nested"), "inner", 5);
	ASSERT_TRUE(until([&] { return nested->has("inner"); }));
	EXPECT_FALSE(is_idle());
	uploading->write("0123456789");
	ASSERT_TRUE(until([&] { return gate->ended(MESSAGE_CALL_DATA, first.stream); }));
	answer(first, "stored", 6);
	ASSERT_TRUE(until([&] { return uploading->has("stored") && is_idle(); }));
	EXPECT_TRUE(uploading->has("Connection: close"));
}

TEST_F(Entry, RequestsInFlightAreBounded)
{
	std::vector<std::unique_ptr<Raw>> callers;
	std::string refused;

	ready();
	for (int i = 0; i < 40; i++)
		callers.push_back(send_request(get("/katalogo/" + std::to_string(i))));
	ASSERT_TRUE(until([&] {
		size_t answered = 0;

		for (auto &caller : callers)
			answered += caller->has("}");
		return answered + gate->count(MESSAGE_CALL_OPEN) == callers.size();
	}));
	EXPECT_LE(gate->count(MESSAGE_CALL_OPEN), 16u);
	EXPECT_GT(gate->count(MESSAGE_CALL_OPEN), 0u);
}

TEST_F(Entry, CrashSuspectsAreRefused)
{
	Attempt first;
	uint64_t fingerprint =
	    quarantine_fingerprint("GET", "/katalogo/bad", 0, nullptr, 0);

	ready();
	for (uint64_t death = 1; death <= 2; death++) {
		message_t *message = message_create(MESSAGE_CRASH_REPORT, 0, 0);

		message->u.crash_report.fingerprint = fingerprint;
		message->u.crash_report.death = death;
		membership->post("entry", message);
	}
	settle();
	expect_refused(answer_to(get("/katalogo/bad")), 503, "crash-suspect", "no");
	EXPECT_EQ(gate->count(MESSAGE_CALL_OPEN), 0u);
}

TEST_F(Entry, TicketGoesToItsGateAndIsNotRunElsewhere)
{
	std::unique_ptr<Raw> asking, caller;
	ticket_t ticket;
	char text[TICKET_BYTES];

	ready();
	asking =
	    send_request(get("/.masticpitch/ticket?method=POST&path=/katalogo/book/1"));
	answer(
	    attempt("/.masticpitch/ticket?method=POST&path=/katalogo/book/1"), "{}", 2);
	ASSERT_TRUE(until([&] { return asking->has("{}"); }));
	ticket_issue(&ticket, "katalogo", REMOTE, 3, kernel_rng(kernel), 0);
	ticket_format(&ticket, &settings.keys[0], text);
	caller = send_request("POST /katalogo/book/1 HTTP/1.1\r\nHost: h\r\n"
			      "Idempotency-Key: " +
			      std::string(text) + "\r\nContent-Length: 1\r\n\r\nx");
	Attempt first = attempt("/katalogo/book/1");
	EXPECT_EQ(first.to, peer.get());
	EXPECT_EQ(first.node, REMOTE);
	refuse(first, REASON_PEER_UNREACHABLE, RUN_NO, MESSAGE_STREAM_LOST);
	ASSERT_TRUE(until([&] { return caller->has("}"); }));
	expect_refused(caller->input, 409, "ticket-lost", "unknown");
}

TEST_F(Entry, NaivePolicyMakesThreeAttemptsForIdempotentRequests)
{
	std::unique_ptr<Raw> lookup, booking;

	destroy();
	settings.routing_policy = ROUTING_NAIVE;
	create();
	ready();
	add_remote();
	settle();
	lookup = send_request(get("/katalogo/1"));
	for (uint32_t i = 1; i <= 3; i++)
		refuse(attempt("/katalogo/1", i), REASON_BACKEND_LOST, RUN_UNKNOWN);
	ASSERT_TRUE(until([&] { return lookup->has("}"); }));
	EXPECT_EQ(metric(METRIC_ATTEMPTS), 3u);
	booking = send_request(post("/katalogo/book/1", "x"));
	refuse(attempt("/katalogo/book/1"), REASON_BACKEND_LOST, RUN_UNKNOWN);
	ASSERT_TRUE(until([&] { return booking->has("}"); }));
	EXPECT_EQ(metric(METRIC_ATTEMPTS), 4u);
}

// Guards: the last retries of the budget, kept for internal calls, that these
// do not get since the entry does not tell their class.
TEST_F(Entry, InternalCallsHaveTheLastRetriesOfTheBudget)
{
	ready();
	add_remote();
	settle();
	for (int i = 0; i < RETRY_TOKENS_START; i++) {
		std::string path = "/katalogo/inner/" + std::to_string(i);
		std::unique_ptr<Raw> caller = send_request(get(path));
		Attempt second;

		refuse(attempt(path), REASON_QUEUE_FULL, RUN_NO);
		second = attempt(path, 2);
		ASSERT_NE(second.to, nullptr);
		answer(second, "done", 4);
		ASSERT_TRUE(until([&] { return caller->has("done"); }));
	}
}

TEST_F(Entry, ReportsAreJson)
{
	ready();
	add_remote();
	settle();
	for (const std::string &text : {report(QUERY_STATUS), report(QUERY_INSTANCES),
		 report(QUERY_EXPLAIN, "/katalogo/x"), report(QUERY_EXPLAIN, "/none")}) {
		struct json_object *object = json_tokener_parse(text.c_str());

		EXPECT_TRUE(json_object_is_type(object, json_type_object)) << text;
		json_object_put(object);
	}
	EXPECT_NE(report(QUERY_INSTANCES).find("katalogo"), std::string::npos);
	EXPECT_NE(report(QUERY_EXPLAIN, "/katalogo/x").find("\"class\":\"lookup\""),
	    std::string::npos);
}

} // namespace
