// Guards the entry against answers of another stream, cut answers that look
// complete, buffers beyond the window, and calls that continue after their
// caller has disconnected.
#include "common_entry.h"
#include "entry_internal.h"

#include <json-c/json.h>

namespace
{

TEST_F(Entry, DisconnectCancelsTheCall)
{
	std::unique_ptr<RawConnection> waiting, uploading;
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
	ASSERT_TRUE(run_until([&] {
		return gate->find(MESSAGE_CALL_CANCEL, first.stream) != nullptr &&
		       gate->find(MESSAGE_CALL_CANCEL, second.stream) != nullptr;
	}));
	ASSERT_TRUE(run_until([&] { return is_idle(); }));
	answer(first, "late", 4);
	run_until_idle();
	EXPECT_EQ(metric(METRIC_LATE_FRAMES), 2u);
	EXPECT_EQ(metric(METRIC_CALLER_HANGUPS), 2u);
}

TEST_F(Entry, CutAnswerBreaksTheCallersConnection)
{
	std::unique_ptr<RawConnection> with_length, chunked, old;
	Attempt first;

	ready();
	with_length = send_request(get("/katalogo/1"));
	first = attempt("/katalogo/1");
	answer(first, "some", 10, false);
	ASSERT_TRUE(run_until([&] { return with_length->has("some"); }));
	refuse(first, REASON_BACKEND_LOST, RUN_YES, MESSAGE_ANSWER_ABORT);
	ASSERT_TRUE(
	    run_until([&] { return with_length->has("some") && with_length->closed; }));
	EXPECT_EQ(with_length->input.substr(with_length->input.size() - 4), "some");

	chunked = send_request(get("/katalogo/2"));
	first = attempt("/katalogo/2");
	answer(first, "some", -1, false);
	ASSERT_TRUE(run_until([&] { return chunked->has("some"); }));
	refuse(first, REASON_STREAM_LOST, RUN_UNKNOWN, MESSAGE_STREAM_LOST);
	ASSERT_TRUE(run_until([&] { return chunked->has("some") && chunked->closed; }));
	EXPECT_EQ(chunked->input.find("\r\n0\r\n"), std::string::npos);

	// Only a reset shows an HTTP/1.0 caller that the answer is incomplete.
	old = send_request("GET /katalogo/3 HTTP/1.0\r\n\r\n");
	first = attempt("/katalogo/3");
	answer(first, "some", -1, false);
	ASSERT_TRUE(run_until([&] { return old->has("some"); }));
	refuse(first, REASON_BACKEND_LOST, RUN_YES, MESSAGE_ANSWER_ABORT);
	ASSERT_TRUE(run_until([&] { return old->has("some") && old->closed; }));
	EXPECT_TRUE(old->reset);
	EXPECT_EQ(metric(METRIC_ANSWERS_CUT), 3u);
}

// With a length, a caller regards the answer as complete at its last byte.
TEST_F(Entry, LastByteWaitsForTheEndMark)
{
	std::unique_ptr<RawConnection> caller;
	Attempt first;

	ready();
	caller = send_request(get("/katalogo/1"));
	first = attempt("/katalogo/1");
	answer(first, "whole", 5, false);
	ASSERT_TRUE(run_until([&] { return caller->has("whol"); }));
	run_until_idle();
	EXPECT_FALSE(caller->has("whole"));
	first.to->post_data(
	    "entry", MESSAGE_ANSWER_DATA, first.node, first.stream, "", true);
	ASSERT_TRUE(run_until([&] { return caller->has("whole"); }));
	EXPECT_EQ(metric(METRIC_LATE_FRAMES), 0u);
}

TEST_F(Entry, EmptyAnswerWaitsForTheEndMark)
{
	std::unique_ptr<RawConnection> caller;
	Attempt first;

	ready();
	caller = send_request(post("/katalogo/book/1", "x"));
	first = attempt("/katalogo/book/1");
	first.to->post_answer("entry", first.node, first.stream, 204, 0);
	run_until_idle();
	EXPECT_FALSE(caller->has("HTTP"));
	refuse(first, REASON_BACKEND_LOST, RUN_YES, MESSAGE_ANSWER_ABORT);
	ASSERT_TRUE(run_until([&] { return caller->has("}"); }));
	expect_refused(caller->input, 502, "backend-lost", "yes");
}

TEST_F(Entry, LateAndCrossedAnswersReachNoOtherCaller)
{
	std::unique_ptr<RawConnection> one, two;
	Attempt first, second, again;

	ready();
	add_remote();
	run_until_idle();
	one = send_request(get("/katalogo/1"));
	first = attempt("/katalogo/1");
	refuse(first, REASON_QUEUE_FULL, RUN_NO);
	again = attempt("/katalogo/1", 2);
	two = send_request(get("/katalogo/2"));
	second = attempt("/katalogo/2");
	// Answers of the ended attempt, of another service and of another node.
	answer(first, "late", 4);
	(second.to == gate.get() ? peer : gate)
	    ->post_answer("entry", second.node, second.stream, 200, 4);
	second.to->post_answer("entry", second.node + 1, second.stream, 200, 4);
	answer(second, "two", 3);
	answer(again, "one", 3);
	ASSERT_TRUE(run_until([&] { return one->has("one") && two->has("two"); }));
	EXPECT_FALSE(one->has("late"));
	EXPECT_EQ(metric(METRIC_LATE_FRAMES), 4u);
}

TEST_F(Entry, AnswerDataBeforeTheHeadIsAProtocolError)
{
	std::unique_ptr<RawConnection> caller;
	Attempt first;

	ready();
	caller = send_request(post("/katalogo/book/1", "x"));
	first = attempt("/katalogo/book/1");
	first.to->post_data(
	    "entry", MESSAGE_ANSWER_DATA, first.node, first.stream, "x", true);
	ASSERT_TRUE(run_until([&] { return caller->has("}"); }));
	expect_refused(caller->input, 502, "backend-protocol", "unknown");
	EXPECT_NE(gate->find(MESSAGE_CALL_CANCEL, first.stream), nullptr);
}

TEST_F(Entry, DeadlineAnswersTheCallerAndCancelsTheCall)
{
	std::unique_ptr<RawConnection> caller, slow;
	Attempt first;

	ready();
	caller = send_request(get("/katalogo/1", "Masticpitch-Deadline-Ms: 100\r\n"));
	first = attempt("/katalogo/1");
	ASSERT_TRUE(run_until([&] { return caller->has("}"); }));
	expect_refused(caller->input, 504, "deadline-passed", "unknown");
	EXPECT_NE(first.to->find(MESSAGE_CALL_CANCEL, first.stream), nullptr);
	// The connection is closed if the body has not ended by then.
	slow = send_request("POST /katalogo/book/1 HTTP/1.1\r\nHost: h\r\n"
			    "Masticpitch-Deadline-Ms: 100\r\nContent-Length: 9\r\n\r\nx");
	ASSERT_TRUE(run_until([&] {
		slow->read();
		return slow->closed;
	}));
	ASSERT_TRUE(run_until([&] { return is_idle(); }));
}

// REFUSED, TWICE: an instance answers before the body is in, and its answer is replaced
// at the deadline by a refusal that says that the request was not run.
TEST_F(Entry, EarlyAnswerIsDeliveredAtTheDeadline)
{
	std::unique_ptr<RawConnection> caller;
	Attempt first;

	ready();
	caller = send_request("POST /katalogo/book/1 HTTP/1.1\r\nHost: h\r\n"
			      "Masticpitch-Deadline-Ms: 300\r\n"
			      "Content-Length: 100000\r\n\r\n" +
			      std::string(5000, 'b'));
	first = attempt("/katalogo/book/1");
	answer(first, "failed", 6, true, 500);
	ASSERT_TRUE(run_until([&] { return caller->has("HTTP/1.1 "); }));
	EXPECT_TRUE(caller->has("HTTP/1.1 500")) << caller->input;
	ASSERT_TRUE(run_until([&] { return caller->has("failed") && caller->closed; }));
	EXPECT_EQ(gate->count(MESSAGE_CALL_OPEN), 1u);
}

// LOST: a refusal that waits for the answers ahead of it is cut at its deadline, and the
// requests behind it get no answer.
TEST_F(Entry, RefusalThatWaitsForItsTurnOutlivesItsDeadline)
{
	std::unique_ptr<RawConnection> caller;
	uint64_t end;

	ready();
	caller = send_request(get("/katalogo/1") +
			      get("/katalogo/2", "Masticpitch-Deadline-Ms: 200\r\n") +
			      get("/katalogo/3"));
	refuse(attempt("/katalogo/2"), REASON_DEADLINE_PASSED, RUN_UNKNOWN);
	answer(attempt("/katalogo/3"), "three", 5);
	end = os_clock_monotonic() + 300 * NS_PER_MS;
	ASSERT_TRUE(run_until([&] { return os_clock_monotonic() > end; }));
	answer(attempt("/katalogo/1"), "one", 3);
	ASSERT_TRUE(run_until([&] { return caller->has("three") || caller->closed; }));
	EXPECT_TRUE(caller->has("\"error\":\"deadline-passed\"")) << caller->input;
	EXPECT_TRUE(caller->has("three")) << caller->input;
}

TEST_F(Entry, UploadWaitsForCreditAndArrivesCompletely)
{
	std::string head = "PUT /katalogo/up/1 HTTP/1.1\r\nHost: h\r\n"
			   "Content-Length: 3000000\r\n\r\n";
	std::string body(3000000, 'u');
	std::unique_ptr<RawConnection> caller;
	size_t written = 0, credited = 0, got;
	Attempt first;

	ready();
	for (size_t i = 0; i < body.size(); i++)
		body[i] = static_cast<char>('a' + i % 23);
	caller = connect_caller();
	ASSERT_TRUE(run_until([&] { return caller->write(head) == head.size(); }));
	for (int i = 0; i < 200; i++) {
		written += caller->write(body, written);
		run_until_idle();
	}
	first = attempt("/katalogo/up/1");
	got = gate->body(MESSAGE_CALL_DATA, first.stream).size();
	EXPECT_LE(got, size_t{STREAM_WINDOW_BYTES});
	EXPECT_GT(got, size_t{STREAM_WINDOW_BYTES - STREAM_DATA_MAX_BYTES});
	ASSERT_TRUE(run_until([&] {
		written += caller->write(body, written);
		got = 0;
		for (const ReceivedMessage &message : gate->messages)
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
	ASSERT_TRUE(run_until([&] { return caller->has("stored"); }));
}

// FAULT, LOST: a caller sends a body in chunks of one byte; a message for each of them
// uses up the memory of the host, and the process ends with the requests of others.
TEST_F(Entry, SmallPiecesOfABodyArePassedOnTogether)
{
	const size_t size = 4000;
	std::string text = "PUT /katalogo/up/1 HTTP/1.1\r\nHost: h\r\n"
			   "Transfer-Encoding: chunked\r\n\r\n";
	std::unique_ptr<RawConnection> caller;
	Attempt first;

	for (size_t i = 0; i < size; i++)
		text += "1\r\nu\r\n";
	text += "0\r\n\r\n";
	ready();
	caller = send_request(text);
	first = attempt("/katalogo/up/1");
	ASSERT_TRUE(
	    run_until([&] { return gate->ended(MESSAGE_CALL_DATA, first.stream); }));
	EXPECT_EQ(gate->body(MESSAGE_CALL_DATA, first.stream), std::string(size, 'u'));
	// At most one for each read, and one for the end.
	EXPECT_LE(gate->count(MESSAGE_CALL_DATA), text.size() / CALLER_READ_BYTES + 2);
	answer(first, "stored", 6);
	ASSERT_TRUE(run_until([&] { return caller->has("stored"); }));
}

// A body that the entry does not take at once, in pieces of all sizes, arrives whole.
TEST_F(Entry, PiecesOfAnUploadThatWaitsArriveInOrder)
{
	const size_t sizes[] = {1, 1, 3, 900, 1, 17000, 2, 1100};
	std::string text = "PUT /katalogo/up/1 HTTP/1.1\r\nHost: h\r\n"
			   "Transfer-Encoding: chunked\r\n\r\n";
	std::unique_ptr<RawConnection> caller;
	size_t written = 0, credited = 0;
	std::string body;
	Attempt first;

	for (size_t i = 0; body.size() < 1000000; i++) {
		std::string piece(sizes[i % 8], static_cast<char>('a' + i % 26));
		char line[16];

		snprintf(line, sizeof(line), "%zx\r\n", piece.size());
		text += line + piece + "\r\n";
		body += piece;
	}
	text += "0\r\n\r\n";
	ready();
	caller = connect_caller();
	written = caller->write(text);
	first = attempt("/katalogo/up/1");
	ASSERT_TRUE(run_until([&] {
		size_t got = gate->body(MESSAGE_CALL_DATA, first.stream).size();

		EXPECT_LE(got - credited, size_t{STREAM_WINDOW_BYTES});
		if (got - credited > STREAM_WINDOW_BYTES - STREAM_DATA_MAX_BYTES) {
			gate->post_credit("entry", MESSAGE_CALL_CREDIT, 0, first.stream,
			    static_cast<uint32_t>(got - credited));
			credited = got;
		}
		written += caller->write(text, written);
		return gate->ended(MESSAGE_CALL_DATA, first.stream);
	}));
	EXPECT_TRUE(gate->body(MESSAGE_CALL_DATA, first.stream) == body);
}

TEST_F(Entry, CreditFollowsTheCallersReading)
{
	std::unique_ptr<RawConnection> caller;
	std::string piece(STREAM_DATA_MAX_BYTES, 'p');
	size_t posted = 0, allowed = STREAM_WINDOW_BYTES, total = 8000000;
	Attempt first;
	auto feed = [&] {
		allowed = STREAM_WINDOW_BYTES;
		for (const ReceivedMessage &message : gate->messages)
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
	ASSERT_TRUE(run_until([&] { return caller->write(get("/katalogo/1")) > 0; }));
	first = attempt("/katalogo/1");
	first.to->post_answer("entry", first.node, first.stream, 200, -1);
	for (int i = 0; i < 200; i++) {
		feed();
		run_until_idle();
	}
	// Only the window and the socket's buffers are in transit.
	EXPECT_LT(posted, total);
	ASSERT_TRUE(run_until([&] {
		feed();
		caller->read();
		return caller->input.size() > total;
	}));
	ASSERT_TRUE(run_until([&] { return caller->has("\r\n0\r\n\r\n"); }));
}

TEST_F(Entry, LeavingFinishesRunningWorkAndItsNestedCalls)
{
	std::unique_ptr<RawConnection> uploading, nested;
	Attempt first;

	ready();
	uploading = send_request("PUT /katalogo/up/1 HTTP/1.1\r\nHost: h\r\n"
				 "Content-Length: 5010\r\n\r\n" +
				 std::string(5000, 'u'));
	first = attempt("/katalogo/up/1");
	config->post("entry", message_create(MESSAGE_LEAVE, 0, 0));
	run_until_idle();
	expect_refused(answer_to(get("/katalogo/late")), 503, "shutdown", "no");
	nested = send_request(get("/katalogo/nested", "Masticpitch-Depth: 1\r\n"));
	answer(attempt("/katalogo/nested"), "inner", 5);
	ASSERT_TRUE(run_until([&] { return nested->has("inner"); }));
	EXPECT_FALSE(is_idle());
	uploading->write("0123456789");
	ASSERT_TRUE(
	    run_until([&] { return gate->ended(MESSAGE_CALL_DATA, first.stream); }));
	answer(first, "stored", 6);
	ASSERT_TRUE(run_until([&] { return uploading->has("stored") && is_idle(); }));
	EXPECT_TRUE(uploading->has("Connection: close"));
}

// LOST: guards against a planned stop that passes on a request which cannot end before
// the grace period does, and then cuts it.
TEST_F(Entry, LeavingRefusesRequestsThatEndAfterTheGracePeriod)
{
	std::unique_ptr<RawConnection> nested;

	settings.shutdown_grace_ms = ENTRY_LEAVE_ATTEMPT_NS / NS_PER_MS - 1;
	settings.shutdown_accept_ms = 60000;
	ready();
	config->post("entry", message_create(MESSAGE_LEAVE, 0, 0));
	run_until_idle();
	expect_refused(answer_to(get("/katalogo/late")), 503, "shutdown", "no");
	expect_refused(answer_to(get("/katalogo/nested", "Masticpitch-Depth: 1\r\n")),
	    503, "shutdown", "no");
	EXPECT_EQ(gate->count(MESSAGE_CALL_OPEN), 0u);
	nested = send_request(get("/katalogo/short",
	    "Masticpitch-Depth: 1\r\nMasticpitch-Deadline-Ms: 500\r\n"));
	answer(attempt("/katalogo/short"), "inner", 5);
	EXPECT_TRUE(run_until([&] { return nested->has("inner"); }));
}

// LOST: guards against a planned stop that cuts requests without an answer at the end of
// the grace period.
TEST_F(Entry, RequestsAreAnsweredAtTheEndOfTheGracePeriod)
{
	std::unique_ptr<RawConnection> running, uploading;

	ready();
	running = send_request(post("/katalogo/book/1", "x"));
	attempt("/katalogo/book/1");
	uploading = send_request("PUT /katalogo/up/1 HTTP/1.1\r\nHost: h\r\n"
				 "Content-Length: 5010\r\n\r\nu");
	run_until_idle();
	config->post("entry", message_create(MESSAGE_LEAVE, 0, 0));
	config->post("entry", message_create(MESSAGE_STOP_WAITING, 0, 0));
	for (RawConnection *caller : {running.get(), uploading.get()}) {
		ASSERT_TRUE(run_until([&] {
			caller->read();
			return caller->closed;
		}));
	}
	expect_refused(running->input, 503, "shutdown", "unknown");
	expect_refused(uploading->input, 503, "shutdown", "no");
}

// Guards against a planned stop that closes the connection behind the first answer of
// several, so that the others are lost although their requests have run.
TEST_F(Entry, LeavingAnswersAllPipelinedRequests)
{
	std::unique_ptr<RawConnection> caller;
	Attempt first, second, third;

	ready();
	caller =
	    send_request(get("/katalogo/1") + get("/katalogo/2") + get("/katalogo/3"));
	first = attempt("/katalogo/1");
	second = attempt("/katalogo/2");
	third = attempt("/katalogo/3");
	config->post("entry", message_create(MESSAGE_LEAVE, 0, 0));
	answer(second, "second", 6);
	answer(first, "first", 5);
	ASSERT_TRUE(run_until([&] { return caller->has("second"); }));
	EXPECT_FALSE(caller->has("Connection: close"));
	answer(third, "third", 5);
	ASSERT_TRUE(run_until([&] {
		caller->read();
		return caller->closed;
	}));
	EXPECT_TRUE(caller->has("third"));
	EXPECT_TRUE(caller->has("Connection: close"));
	caller->finish();
	EXPECT_TRUE(run_until([&] { return is_idle(); }));
}

// Guards against a planned stop that closes an idle connection while a request
// is in transit, which leaves its caller with an unknown outcome.
TEST_F(Entry, LeavingWaitsForIdleConnections)
{
	std::unique_ptr<RawConnection> caller;

	ready();
	caller = send_request(get("/katalogo/1"));
	answer(attempt("/katalogo/1"), "first", 5);
	ASSERT_TRUE(run_until([&] { return caller->has("first"); }));
	config->post("entry", message_create(MESSAGE_LEAVE, 0, 0));
	run_until_idle();
	EXPECT_FALSE(is_idle());
	caller->write(get("/katalogo/2"));
	ASSERT_TRUE(run_until([&] { return caller->has("Masticpitch-Run: no"); }));
	EXPECT_TRUE(caller->has("Connection: close"));
	EXPECT_TRUE(run_until([&] { return is_idle(); }));
}

// LOST: guards against a large chunked upload that gets no answer where it is refused
// before its route is known.
TEST_F(Entry, LargeChunkedUploadsAreRefusedWithAnAnswer)
{
	const size_t size = ENTRY_BODY_DISCARDED_MAX_BYTES + 10000;
	char length[16];
	std::string upload = "PUT /katalogo/up/1 HTTP/1.1\r\nHost: h\r\n"
			     "Transfer-Encoding: chunked\r\n\r\n";

	snprintf(length, sizeof(length), "%zx\r\n", size);
	upload += length + std::string(size, 'u') + "\r\n0\r\n\r\n";
	ready();
	config->post("entry", message_create(MESSAGE_LEAVE, 0, 0));
	run_until_idle();
	expect_refused(answer_to(upload), 503, "shutdown", "no");
}

// Guards against a planned stop that resets connections which are established
// but not accepted yet.
TEST_F(Entry, ConnectionsMadeBeforeTheEndOfListeningAreAnswered)
{
	std::vector<std::unique_ptr<RawConnection>> callers;
	struct sockaddr_in target;
	int late;

	ready();
	config->post("entry", message_create(MESSAGE_LEAVE, 0, 0));
	run_until_idle();
	config->post("entry", message_create(MESSAGE_STOP_LISTENING, 0, 0));
	for (int i = 0; i < 20; i++)
		callers.push_back(send_request(get("/katalogo/1")));
	for (auto &caller : callers) {
		ASSERT_TRUE(run_until([&] { return caller->has("}"); }));
		expect_refused(caller->input, 503, "shutdown", "no");
	}
	late = socket(AF_INET, SOCK_STREAM, 0);
	address_to_sockaddr(&settings.callers, &target);
	EXPECT_NE(
	    connect(late, reinterpret_cast<struct sockaddr *>(&target), sizeof(target)),
	    0);
	close(late);
	EXPECT_TRUE(run_until([&] { return is_idle(); }));
}

// LOST: guards against a planned stop that closes a kept connection whose next request
// has arrived and is not read yet, since the process was late.
TEST_F(Entry, LeavingWaitsForRequestsThatAreNotReadYet)
{
	std::unique_ptr<RawConnection> caller;

	settings.shutdown_grace_ms = 1;
	ready();
	caller = send_request(get("/katalogo/1"));
	answer(attempt("/katalogo/1"), "first", 5);
	ASSERT_TRUE(run_until([&] { return caller->has("first"); }));
	config->post("entry", message_create(MESSAGE_LEAVE, 0, 0));
	run_until_idle();
	ASSERT_TRUE(run_until([&] { return is_idle(); }));
	caller->write(get("/katalogo/2"));
	EXPECT_FALSE(is_idle());
	ASSERT_TRUE(run_until([&] { return caller->has("Masticpitch-Run: no"); }));
	EXPECT_TRUE(run_until([&] { return is_idle(); }));
}

// LOST: guards against a planned stop that cuts an answer which its caller has not
// received completely, or a request of which a part has arrived.
TEST_F(Entry, LeavingWaitsForAnswersThatAreUnderWay)
{
	std::unique_ptr<RawConnection> slow, begun;
	const std::string body(20000, 'b');
	Attempt first;

	settings.shutdown_grace_ms = 1;
	ready();
	slow = connect_caller(2048);
	slow->write(get("/katalogo/1"));
	first = attempt("/katalogo/1");
	begun = send_request("GET /katalogo/2 HTTP/1.1\r\n");
	run_until_idle();
	config->post("entry", message_create(MESSAGE_LEAVE, 0, 0));
	answer(first, body.c_str(), body.size());
	run_until_idle();
	EXPECT_FALSE(is_idle());
	ASSERT_TRUE(run_until([&] { return slow->has(body); }));
	EXPECT_FALSE(is_idle());
	begun->write("Host: h\r\n\r\n");
	ASSERT_TRUE(run_until([&] { return begun->has("Masticpitch-Run: no"); }));
	EXPECT_TRUE(run_until([&] { return is_idle(); }));
}

TEST_F(Entry, RequestsInFlightAreBounded)
{
	std::vector<std::unique_ptr<RawConnection>> callers;
	std::string refused;

	ready();
	for (int i = 0; i < 40; i++)
		callers.push_back(send_request(get("/katalogo/" + std::to_string(i))));
	ASSERT_TRUE(run_until([&] {
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
	run_until_idle();
	expect_refused(answer_to(get("/katalogo/bad")), 503, "crash-suspect", "no");
	EXPECT_EQ(gate->count(MESSAGE_CALL_OPEN), 0u);
}

TEST_F(Entry, TicketGoesToItsGateAndIsNotRunElsewhere)
{
	std::unique_ptr<RawConnection> ticket_caller, caller;
	ticket_t ticket;
	char text[TICKET_BYTES];

	ready();
	ticket_caller =
	    send_request(get("/.masticpitch/ticket?method=POST&path=/katalogo/book/1"));
	answer(
	    attempt("/.masticpitch/ticket?method=POST&path=/katalogo/book/1"), "{}", 2);
	ASSERT_TRUE(run_until([&] { return ticket_caller->has("{}"); }));
	ticket_issue(&ticket, "katalogo", REMOTE, 3, kernel_rng(kernel), 0);
	ticket_format(&ticket, &settings.keys[0], text);
	caller = send_request("POST /katalogo/book/1 HTTP/1.1\r\nHost: h\r\n"
			      "Idempotency-Key: " +
			      std::string(text) + "\r\nContent-Length: 1\r\n\r\nx");
	Attempt first = attempt("/katalogo/book/1");
	EXPECT_EQ(first.to, peer.get());
	EXPECT_EQ(first.node, REMOTE);
	refuse(first, REASON_PEER_UNREACHABLE, RUN_NO, MESSAGE_STREAM_LOST);
	ASSERT_TRUE(run_until([&] { return caller->has("}"); }));
	expect_refused(caller->input, 409, "ticket-lost", "unknown");
}

TEST_F(Entry, NaivePolicyMakesThreeAttemptsForIdempotentRequests)
{
	std::unique_ptr<RawConnection> lookup, booking;

	destroy();
	settings.routing_policy = ROUTING_NAIVE;
	create();
	ready();
	add_remote();
	run_until_idle();
	lookup = send_request(get("/katalogo/1"));
	for (uint32_t i = 1; i <= 3; i++)
		refuse(attempt("/katalogo/1", i), REASON_BACKEND_LOST, RUN_UNKNOWN);
	ASSERT_TRUE(run_until([&] { return lookup->has("}"); }));
	EXPECT_EQ(metric(METRIC_ATTEMPTS), 3u);
	booking = send_request(post("/katalogo/book/1", "x"));
	refuse(attempt("/katalogo/book/1"), REASON_BACKEND_LOST, RUN_UNKNOWN);
	ASSERT_TRUE(run_until([&] { return booking->has("}"); }));
	EXPECT_EQ(metric(METRIC_ATTEMPTS), 4u);
}

TEST_F(Entry, ReportsAreJson)
{
	ready();
	add_remote();
	run_until_idle();
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
