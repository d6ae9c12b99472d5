// Guards the entry against ambiguous framing, unbounded heads and bodies,
// repeats of requests that may have been run, and refusals that do not say
// whether the request was run.
#include "common_entry.h"

namespace
{

TEST_F(Entry, NothingIsRoutedWithoutConfigurationOrInstance)
{
	expect_refused(answer_to(get("/katalogo/x")), 503, "no-configuration", "no");
	configure();
	settle();
	expect_refused(answer_to(get("/katalogo/x")), 503, "no-instance", "no");
	expect_refused(answer_to(get("/nothing")), 404, "no-route", "no");
	expect_refused(answer_to(get("/.masticpitch/other")), 404, "no-route", "no");
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

} // namespace
