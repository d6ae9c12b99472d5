// Guards the gate against answers of a backend server that belong to no request or to
// another one, or that end early.
#include "common_gate.h"

namespace
{

const char INSTANCE[] = "i-1";
// More than the gate reads of what has no use to callers; fits into a socket's buffers.
const size_t ENDLESS_BYTES = 256 * 1024;

// A gate whose backend server speaks the hosted platform's dialect.
class HostedGate : public Gate
{
      protected:
	RawConnection *connection = nullptr; // of the first call

	dialect_t
	dialect() const override
	{
		return DIALECT_HOSTED;
	}
	void
	SetUp() override
	{
		char address[ADDRESS_TEXT_BYTES];

		Gate::SetUp();
		address_format(&server_address, address);
		ASSERT_EQ(
		    announce_text(
			std::string("{\"born\":1700000000000,\"address\":\"") + address +
			    "\",\"info\":{\"service\":\"katalogo\",\"version\":"
			    "\"v1\",\"zone\":\"cebu-a\",\"slots\":2},\"status\":"
			    "{\"state\":\"ready\",\"seq\":1,\"coldLeftMs\":0}}",
			std::string("/-/Instances.Heartbeat/") + INSTANCE),
		    200);
	}
	// The head of an answer to the call with that id.
	static std::string
	head(const std::string &status, const std::string &id, const std::string &fields)
	{
		return "HTTP/1.1 " + status + "\r\nX-Masticpitch-Attempt-Id: " + id +
		       "\r\n" + fields + "\r\n";
	}
	static std::string
	refusal(const std::string &id)
	{
		return head("503 Service Unavailable", id,
		    "X-Masticpitch-Not-Executed: 1\r\nContent-Length: 0\r\n");
	}
	static std::string
	success(const std::string &id, const std::string &body)
	{
		return head("200 OK", id,
			   "X-Masticpitch-Server-Stamp: s\r\nContent-Length: " +
			       std::to_string(body.size()) + "\r\n") +
		       body;
	}
	// Sends a call and returns the connection that it arrives on.
	RawConnection *
	call_arrives(uint64_t stream, const std::string &path, uint64_t id)
	{
		RawConnection *found = nullptr;
		message_t *message = call(0, stream, "POST", path.c_str());

		snprintf(message->u.call->request_id, REQUEST_ID_BYTES, "id-%llu",
		    (unsigned long long)id);
		entry->post("gate", message);
		EXPECT_TRUE(run_until([&] {
			found = server->connection_with(path + " HTTP");
			return found != nullptr && found->has("\r\n\r\n");
		}));
		return found;
	}
	// As many copies of the text as have at least that size.
	static std::string
	repeated(const std::string &text, size_t size)
	{
		std::string result;

		while (result.size() < size)
			result += text;
		return result;
	}
	// Sends a call that is answered so, after which its connection ends; it must fail
	// with an unknown outcome, before anything is passed on.
	void
	expect_unknown(uint64_t stream, const std::string &answer)
	{
		std::string path = "/katalogo/" + std::to_string(stream);
		RawConnection *arrived = call_arrives(stream, path, 1);

		arrived->write(answer);
		shutdown(arrived->fd, SHUT_WR);
		ASSERT_TRUE(run_until([&] {
			return entry->find(MESSAGE_REFUSAL, stream) != nullptr ||
			       entry->find(MESSAGE_ANSWER_HEAD, stream) != nullptr;
		}));
		ASSERT_EQ(entry->find(MESSAGE_ANSWER_HEAD, stream), nullptr) << answer;
		EXPECT_EQ(entry->find(MESSAGE_REFUSAL, stream)->refusal.run, RUN_UNKNOWN);
		arrived->finish();
		server->connections.clear();
	}
	// A call that the backend server refuses; its connection is kept.
	void
	first_call_refused()
	{
		connection = call_arrives(1, "/katalogo/1", 1);
		connection->write(refusal("id-1"));
		expect_refusal(*entry, MESSAGE_REFUSAL, 1, REASON_BACKEND_SHED, RUN_NO);
	}
};

// REFUSED, TWICE: the backend server writes an earlier refusal once more, where the
// answer to a request that it runs is expected.
TEST_F(HostedGate, RefusalOfAnEarlierRequestDoesNotRefuseTheNextOne)
{
	first_call_refused();
	ASSERT_EQ(call_arrives(2, "/katalogo/2", 2), connection);
	connection->write(refusal("id-1") + success("id-2", "ok"));
	expect_refusal(*entry, MESSAGE_REFUSAL, 2, REASON_BACKEND_PROTOCOL, RUN_UNKNOWN);
}

// The same, for a refusal that does not name its request.
TEST_F(HostedGate, RefusalWithoutAnIdOnAKeptConnectionIsUnknown)
{
	const std::string unnamed = "HTTP/1.1 503 Service Unavailable\r\n"
				    "X-Masticpitch-Not-Executed: 1\r\n"
				    "Content-Length: 0\r\n\r\n";

	connection = call_arrives(1, "/katalogo/1", 1);
	connection->write(unnamed);
	expect_refusal(*entry, MESSAGE_REFUSAL, 1, REASON_BACKEND_SHED, RUN_NO);
	ASSERT_EQ(call_arrives(2, "/katalogo/2", 2), connection);
	connection->write(unnamed);
	expect_refusal(*entry, MESSAGE_REFUSAL, 2, REASON_BACKEND_PROTOCOL, RUN_UNKNOWN);
}

// The same, for a refused request that comes to this backend server again: a copy of its
// refusal cannot be told from a second one.
TEST_F(HostedGate, RefusedRequestThatReturnsIsSentOnANewConnection)
{
	RawConnection *second;

	first_call_refused();
	second = call_arrives(2, "/katalogo/again", 1);
	ASSERT_NE(second, connection);
	connection->write(refusal("id-1"));
	second->write(success("id-1", "ok"));
	ASSERT_TRUE(run_until([&] { return has_ended(2); }));
	EXPECT_EQ(entry->body(MESSAGE_ANSWER_DATA, 2), "ok");
}

// A second copy of an answer that arrives while no request is waiting.
TEST_F(HostedGate, CopyOfAnAnswerBeforeTheNextRequestReachesNoCaller)
{
	RawConnection *second;

	connection = call_arrives(1, "/katalogo/1", 1);
	connection->write(success("id-1", "first") + success("id-1", "first"));
	ASSERT_TRUE(run_until([&] { return has_ended(1); }));
	second = call_arrives(2, "/katalogo/2", 2);
	second->write(success("id-2", "second"));
	ASSERT_TRUE(run_until([&] { return has_ended(2); }));
	EXPECT_EQ(entry->body(MESSAGE_ANSWER_DATA, 1), "first");
	EXPECT_EQ(entry->body(MESSAGE_ANSWER_DATA, 2), "second");
}

// MIXED, ORDER: the backend server stops in the head of its answer and closes; the
// caller must not get a success with an empty or short body.
TEST_F(HostedGate, AnswerThatEndsInItsHeadIsUnknown)
{
	const std::string body = "ok";
	const std::string answer = success("id-1", body);
	const size_t head_size = answer.size() - body.size();

	for (size_t size = 0; size < head_size; size++)
		expect_unknown(size + 1, answer.substr(0, size));
}

// The same with an answer whose body has no length and ends with its connection.
TEST_F(HostedGate, AnswerWithoutALengthThatEndsInItsHeadIsUnknown)
{
	const std::string answer = head(
	    "200 OK", "id-1", "X-Masticpitch-Server-Stamp: s\r\nConnection: close\r\n");

	for (size_t size = answer.size() - 40; size < answer.size(); size++)
		expect_unknown(size + 1, answer.substr(0, size));
}

// MIXED: a byte of the head is spoiled, so that the end of the answer is not known; the
// digits before that byte must not pass for the length of a complete answer.
TEST_F(HostedGate, AnswerWithSpoiledFramingIsUnknown)
{
	const std::string framings[] = {
	    "Content-Length: 1o",
	    "Content-Length: 0x2",
	    "Content-Length: +2",
	    "Content-Length: -2",
	    "Content-Length: 2 2",
	    "Content-Length: 2;2",
	    std::string("Content-Length: 2\0002", 19),
	    "Content-Length: ",
	    "Content-Length: 99999999999999999999",
	    "Content-Length: 2\r\nContent-Length: 1",
	    "Content-Length: 2\r\nTransfer-Encoding: chunked",
	    "Content-Length 2",
	    "Content-Length",
	    "X-Line\r\nContent-Length: 1",
	    "Content-Length : 2",
	    "Content-Len\001th: 2",
	    "Content-Length: 2\r\n Folded: 1",
	    "Transfer-Encoding: chunkee",
	    "Transfer-Encoding: chunked, identity",
	    "Transfer-Encoding: ",
	};
	uint64_t stream = 0;

	for (const std::string &framing : framings)
		expect_unknown(++stream,
		    head("200 OK", "id-1",
			"X-Masticpitch-Server-Stamp: s\r\n" + framing + "\r\n") +
			"ok");
}

// MIXED: the same with a spoiled status line, of which a prefix is a valid status.
TEST_F(HostedGate, AnswerWithASpoiledStatusLineIsUnknown)
{
	const std::string answer = success("id-1", "ok");
	uint64_t stream = 0;

	for (const std::string line :
	    {"HTTP/1.1 2000 OK", "HTTP/1.1 200x", "HTTP/1.1 2o0 OK", "HTTP/1.1200 OK"})
		expect_unknown(++stream, line + answer.substr(answer.find("\r\n")));
}

// MIXED: a backend server in trouble sends a status that is none, such as 000, which the
// caller would get as an answer. It is refused when it arrives, not at the deadline.
TEST_F(HostedGate, AnswerWhoseStatusIsNoneIsUnknown)
{
	const std::string answer = success("id-1", "ok");
	uint64_t stream = 0;

	for (const char *status :
	    {"000", "000 OK", "001 Odd", "099 Odd", "600 Odd", "999 Odd"}) {
		uint64_t begin = os_clock_monotonic();

		expect_unknown(++stream, std::string("HTTP/1.1 ") + status +
					     answer.substr(answer.find("\r\n")));
		EXPECT_LT(os_clock_monotonic() - begin, NS_PER_S) << status;
	}
}

// MIXED: the backend server begins an earlier answer once more, and the next one follows
// where that ends, so that both read as one head.
TEST_F(HostedGate, AnswerBehindTheBeginOfAnotherIsUnknown)
{
	const std::string answer = success("id-1", "ok");
	const std::string id = "X-Masticpitch-Attempt-Id: id-0\r\n";
	const std::string stamp = "X-Masticpitch-Server-Stamp: s0\r\n";
	uint64_t stream = 0;

	for (const std::string status :
	    {"100 Continue", "200 OK", "404 Not Found", "500 Internal Server Error"}) {
		for (const std::string &fields : {id + stamp, stamp + id}) {
			const std::string early = "HTTP/1.1 " + status + "\r\n" + fields;

			for (size_t cut = 1; cut <= early.size(); cut++)
				expect_unknown(++stream, early.substr(0, cut) + answer);
		}
	}
}

// MIXED: a second copy of an earlier answer, whose id is spoiled, arrives where that to
// the next request is expected.
TEST_F(HostedGate, AnswerWithoutAnIdOnAKeptConnectionIsUnknown)
{
	std::string unnamed = success("id-1", "ok");

	unnamed.replace(unnamed.find("Attempt-Id"), 10, "Attempt-xd");
	connection = call_arrives(1, "/katalogo/1", 1);
	connection->write(unnamed);
	ASSERT_TRUE(run_until([&] { return has_ended(1); }));
	ASSERT_EQ(call_arrives(2, "/katalogo/2", 2), connection);
	connection->write(unnamed);
	expect_refusal(*entry, MESSAGE_REFUSAL, 2, REASON_BACKEND_PROTOCOL, RUN_UNKNOWN);
}

// MIXED: a carriage return in place of a field's first byte ends the head for one parser
// and not for another.
TEST_F(HostedGate, FieldThatBeginsWithACarriageReturnIsUnknown)
{
	const std::string body = "0123456789abcdefghij";
	uint64_t stream = 0;

	for (const std::string framing :
	    {"Content-Length: 20\r\n", "Transfer-Encoding: chunked\r\n"})
		expect_unknown(++stream,
		    "HTTP/1.1 200 OK\r\nX-Masticpitch-Attempt-Id: id-1\r\n"
		    "X-Masticpitch-Server-Stamp: s\r\n" +
			framing + "\rontent-Type: a\r\n\r\n" +
			(framing[0] == 'C' ? body : "14\r\n" + body + "\r\n0\r\n\r\n"));
}

// MIXED: a line feed in place of a carriage return ends the head early, and what is left
// of its end reads as the first bytes of the body.
TEST_F(HostedGate, LineWithoutACarriageReturnIsUnknown)
{
	uint64_t stream = 0;

	for (const std::string framing : {"Content-Length: 20", "Connection: close"})
		expect_unknown(
		    ++stream, "HTTP/1.1 200 OK\r\nX-Masticpitch-Attempt-Id: id-1\r\n"
			      "X-Masticpitch-Server-Stamp: s\r\n" +
				  framing + "\n\n\r\n0123456789abcdefghij");
}

// FAULT: a first field line that begins with a blank, in the answer behind another one,
// makes libcurl append it to a field of the earlier answer, which it has freed.
TEST_F(HostedGate, FoldedFirstFieldAfterAnEarlierAnswerIsUnknown)
{
	const std::string answer = success("id-1", "ok");
	const size_t first_field = answer.find("\r\n") + 2;
	uint64_t stream = 1;

	connection = call_arrives(stream, "/katalogo/first", 1);
	connection->write(answer);
	ASSERT_TRUE(run_until([&] { return has_ended(stream); }));
	for (const char blank : {' ', '\t'}) {
		std::string folded = answer;

		folded[first_field] = blank;
		expect_unknown(++stream, folded);
	}
}

// DENIED: answers whose framing is unusual but clear are passed on.
TEST_F(HostedGate, AnswerWithUnusualFramingIsPassedOn)
{
	const char *const framings[] = {
	    "Content-Length: 2\r\nX-Empty:\r\n\r\nok",
	    "content-length:\t2 \r\n\r\nok",
	    "Transfer-Encoding: Chunked\r\n\r\n2;x=1\r\nok\r\n0\r\nX-After: 1\r\n\r\n",
	    "Transfer-Encoding: chunked\r\n\r\n0001\r\no\r\n1\r\nk\r\n0\r\n\r\n",
	    "Connection: close\r\n\r\nok",
	    "X-Latin: \xe9\r\n\r\nok",
	    "Via: HTTP/1.1 192.0.2.1:80\r\n\r\nok",
	};
	uint64_t stream = 0;

	for (const char *framing : framings) {
		std::string path = "/katalogo/" + std::to_string(++stream);
		std::string id = "id-" + std::to_string(stream);
		RawConnection *arrived = call_arrives(stream, path, stream);

		arrived->write("HTTP/1.1 100 Continue\r\n\r\n"
			       "HTTP/1.1 200\r\nX-Masticpitch-Attempt-Id: " +
			       id + "\r\nX-Masticpitch-Server-Stamp: s\r\n" + framing);
		shutdown(arrived->fd, SHUT_WR);
		ASSERT_TRUE(run_until([&] {
			return entry->find(MESSAGE_REFUSAL, stream) != nullptr ||
			       has_ended(stream);
		}));
		ASSERT_EQ(entry->find(MESSAGE_REFUSAL, stream), nullptr) << framing;
		EXPECT_EQ(entry->body(MESSAGE_ANSWER_DATA, stream), "ok") << framing;
		arrived->finish();
		server->connections.clear();
	}
}

// LOST: the trailer section of an answer goes on until the gate closes; a node that keeps
// it exceeds its memory and breaks off the requests of other callers.
TEST_F(HostedGate, TrailersWithoutEndBreakOffTheAnswer)
{
	connection = call_arrives(1, "/katalogo/1", 1);
	connection->write(
	    head("200 OK", "id-1",
		"X-Masticpitch-Server-Stamp: s\r\nTransfer-Encoding: chunked\r\n") +
	    "2\r\nok\r\n0\r\n" + repeated("X-Part: 0\r\n", ENDLESS_BYTES));
	expect_refusal(*entry, MESSAGE_ANSWER_ABORT, 1, REASON_BACKEND_PROTOCOL, RUN_YES);
	EXPECT_TRUE(run_until([&] {
		connection->read();
		return connection->closed;
	}));
}

// LOST: the same with interim answers in front of the answer.
TEST_F(HostedGate, InterimAnswersWithoutEndAreUnknown)
{
	connection = call_arrives(1, "/katalogo/1", 1);
	connection->write(
	    repeated("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", ENDLESS_BYTES));
	expect_refusal(*entry, MESSAGE_REFUSAL, 1, REASON_BACKEND_PROTOCOL, RUN_UNKNOWN);
}

// LOST: the same with an extension of a chunk's size.
TEST_F(HostedGate, ChunkExtensionWithoutEndBreaksOffTheAnswer)
{
	connection = call_arrives(1, "/katalogo/1", 1);
	connection->write(
	    head("200 OK", "id-1",
		"X-Masticpitch-Server-Stamp: s\r\nTransfer-Encoding: chunked\r\n") +
	    "2;" + repeated("x", ENDLESS_BYTES));
	expect_refusal(*entry, MESSAGE_ANSWER_ABORT, 1, REASON_BACKEND_PROTOCOL, RUN_YES);
}

// FAULT, LOST: answers whose bytes arrive as fast as they are read keep the node in
// libcurl; nobody else is answered, and no deadline ends the answers.
TEST_F(HostedGate, AnswerIsReadInSeveralIterations)
{
	const size_t size = 64;
	std::string answer = head("200 OK", "id-1",
	    "X-Masticpitch-Server-Stamp: s\r\nTransfer-Encoding: chunked\r\n");

	for (size_t i = 0; i < size; i++)
		answer += "1;" + std::string(4000, 'x') + "\r\na\r\n";
	answer += "0\r\n\r\n";
	connection = call_arrives(1, "/katalogo/1", 1);
	ASSERT_EQ(connection->write(answer), answer.size());
	ASSERT_TRUE(run_until([&] { return has_ended(1); }));
	EXPECT_EQ(entry->body(MESSAGE_ANSWER_DATA, 1), std::string(size, 'a'));
	EXPECT_GE(metric(METRIC_BACKEND_YIELDS), answer.size() / (128 * 1024));
}

// The same for an answer that waited for its caller, which then takes a whole window.
TEST_F(HostedGate, AnswerThatWaitedIsReadInSeveralIterations)
{
	const std::string body(2000000, 'a');
	const std::string answer = success("id-1", body);
	size_t written = 0, credited = 0;

	connection = call_arrives(1, "/katalogo/1", 1);
	for (int i = 0; i < 100; i++) {
		written += connection->write(answer, written);
		run_until_idle();
	}
	ASSERT_TRUE(run_until([&] {
		size_t got = entry->body(MESSAGE_ANSWER_DATA, 1).size();

		if (got - credited > STREAM_WINDOW_BYTES - STREAM_DATA_MAX_BYTES) {
			entry->post_credit("gate", MESSAGE_ANSWER_CREDIT, 0, 1,
			    static_cast<uint32_t>(got - credited));
			credited = got;
		}
		written += connection->write(answer, written);
		return has_ended(1);
	}));
	EXPECT_TRUE(entry->body(MESSAGE_ANSWER_DATA, 1) == body);
}

// A refusal whose body goes on until the gate closes is passed on at once, not at the
// deadline of the request.
TEST_F(HostedGate, RefusalWithoutEndIsPassedOnImmediately)
{
	connection = call_arrives(1, "/katalogo/1", 1);
	connection->write(head("503 Service Unavailable", "id-1",
			      "X-Masticpitch-Not-Executed: 1\r\n"
			      "Transfer-Encoding: chunked\r\n") +
			  "2\r\nno\r\n0\r\n" + repeated("X-Part: 0\r\n", ENDLESS_BYTES));
	expect_refusal(*entry, MESSAGE_REFUSAL, 1, REASON_BACKEND_SHED, RUN_NO);
}

// The same for a refusal whose body stops, or goes on slowly: a caller that waits for it
// has no time left for another backend server.
TEST_F(HostedGate, RefusalWithSlowBodyIsPassedOnImmediately)
{
	const uint64_t started_at = os_clock_monotonic();

	connection = call_arrives(1, "/katalogo/1", 1);
	connection->write(head("503 Service Unavailable", "id-1",
			      "X-Masticpitch-Not-Executed: 1\r\n"
			      "Content-Length: 1000\r\n") +
			  "no");
	expect_refusal(*entry, MESSAGE_REFUSAL, 1, REASON_BACKEND_SHED, RUN_NO);
	EXPECT_LT(os_clock_monotonic() - started_at, 2 * NS_PER_S);
	EXPECT_TRUE(run_until([&] {
		connection->read();
		return connection->closed;
	}));
}

// MIXED: a byte of a chunk's size or end is spoiled, so that the body ends early or has
// other bytes; the answer must not look complete.
TEST_F(HostedGate, AnswerWithSpoiledChunksIsBrokenOff)
{
	const std::string bodies[] = {
	    "00o2\r\n\r\n\r\n0\r\n\r\n", // the data look like the end of the trailers
	    "0o\r\n\r\n",
	    "0\r\nok\r\n\r\n",
	    "0\r\nX-After : 1\r\n\r\n",
	    "0\r\nX-After: \001\r\n\r\n",
	    "1\r\nok\r\n0\r\n\r\n",
	    "2\r\nok\n\n0\r\n\r\n",
	    "0 2\r\nok\r\n0\r\n\r\n",
	    "-2\r\nok\r\n0\r\n\r\n",
	    "0x2\r\nok\r\n0\r\n\r\n",
	    "2\r\nok\r\n",
	    "2\r\nok\r\n0\r\n",
	};
	uint64_t stream = 0;

	for (const std::string &body : bodies) {
		std::string path = "/katalogo/" + std::to_string(++stream);
		RawConnection *arrived = call_arrives(stream, path, stream);

		arrived->write(head("200 OK", "id-" + std::to_string(stream),
				   "X-Masticpitch-Server-Stamp: s\r\n"
				   "Transfer-Encoding: chunked\r\n") +
			       body);
		shutdown(arrived->fd, SHUT_WR);
		ASSERT_TRUE(run_until([&] {
			return entry->find(MESSAGE_ANSWER_ABORT, stream) != nullptr ||
			       has_ended(stream);
		}));
		EXPECT_FALSE(has_ended(stream)) << stream << ": " << body;
		arrived->finish();
		server->connections.clear();
	}
}

// MIXED: an answer that arrives in pieces, at any place, is passed on unchanged, and so
// is the next one on the same connection.
TEST_F(HostedGate, ChunkedAnswerInPiecesIsPassedOnWhole)
{
	const std::string body = "5;x=y\r\nhello\r\nA\r\n, callers!\r\n0\r\nT: v\r\n\r\n";

	for (size_t cut = 1; cut < body.size(); cut++) {
		std::string path = "/katalogo/" + std::to_string(cut);
		std::string id = "id-" + std::to_string(cut);
		RawConnection *arrived = call_arrives(cut, path, cut);

		arrived->write(head("200 OK", id,
				   "X-Masticpitch-Server-Stamp: s\r\n"
				   "Transfer-Encoding: chunked\r\n") +
			       body.substr(0, cut));
		run_until_idle();
		ASSERT_FALSE(has_ended(cut)) << cut;
		arrived->write(body.substr(cut));
		ASSERT_TRUE(run_until([&] { return has_ended(cut); })) << cut;
		EXPECT_EQ(entry->body(MESSAGE_ANSWER_DATA, cut), "hello, callers!");
	}
	EXPECT_EQ(server->connections.size(), 1u);
}

// A chunked answer larger than the window is neither lost nor reordered while it waits
// for credit, whatever the sizes of its chunks.
TEST_F(HostedGate, LargeChunkedAnswerWaitsForCredit)
{
	const size_t sizes[] = {7001, 30011, 1, 65536};
	std::string answer = head("200 OK", "id-1",
	    "X-Masticpitch-Server-Stamp: s\r\nTransfer-Encoding: chunked\r\n");
	std::string body;
	size_t written = 0, credited = 0;

	for (size_t i = 0; body.size() < 1000000; i++) {
		std::string piece(sizes[i % 4], static_cast<char>('a' + i % 26));
		char line[16];

		snprintf(line, sizeof(line), "%zx\r\n", piece.size());
		answer += line + piece + "\r\n";
		body += piece;
	}
	answer += "0\r\n\r\n";
	connection = call_arrives(1, "/katalogo/big", 1);
	ASSERT_TRUE(run_until([&] {
		size_t got = entry->body(MESSAGE_ANSWER_DATA, 1).size();

		EXPECT_LE(got - credited, size_t{STREAM_WINDOW_BYTES});
		if (got - credited > STREAM_WINDOW_BYTES - STREAM_DATA_MAX_BYTES) {
			entry->post_credit("gate", MESSAGE_ANSWER_CREDIT, 0, 1,
			    static_cast<uint32_t>(got - credited));
			credited = got;
		}
		written += connection->write(answer, written);
		return has_ended(1);
	}));
	EXPECT_TRUE(entry->body(MESSAGE_ANSWER_DATA, 1) == body);
}

// FAULT, LOST: a faulty instance answers in chunks of one byte without end; a message for
// each of them uses up the memory of the host.
TEST_F(HostedGate, SmallPiecesOfAnAnswerArePassedOnTogether)
{
	const size_t size = 4000;
	std::string answer = head("200 OK", "id-1",
	    "X-Masticpitch-Server-Stamp: s\r\nTransfer-Encoding: chunked\r\n");

	for (size_t i = 0; i < size; i++)
		answer += "1\r\na\r\n";
	answer += "0\r\n\r\n";
	connection = call_arrives(1, "/katalogo/1", 1);
	connection->write(answer);
	ASSERT_TRUE(run_until([&] { return has_ended(1); }));
	EXPECT_EQ(entry->body(MESSAGE_ANSWER_DATA, 1), std::string(size, 'a'));
	// libcurl reads up to 16 KB at once; some for reads that end early, and the end.
	EXPECT_LE(entry->count(MESSAGE_ANSWER_DATA), answer.size() / (16 * 1024) + 4);
}

// MIXED, LOST: a chunk is spoiled in a part of the answer that waits for credit; neither
// the node ends nor does the caller wait, whether more of the answer follows or not.
TEST_F(HostedGate, ChunkSpoiledWhileTheAnswerWaitsIsBrokenOff)
{
	const std::string start = head("200 OK", "id-1",
	    "X-Masticpitch-Server-Stamp: s\r\nTransfer-Encoding: chunked\r\n");
	const std::string data = std::string(0x1000, 'a') + "\r\n";
	const size_t sound_sizes[] = {STREAM_WINDOW_BYTES - 2 * STREAM_DATA_MAX_BYTES,
	    STREAM_WINDOW_BYTES - STREAM_DATA_MAX_BYTES, STREAM_WINDOW_BYTES,
	    STREAM_WINDOW_BYTES + STREAM_DATA_MAX_BYTES};
	uint64_t stream = 0;

	for (size_t sound : sound_sizes) {
		for (bool more : {false, true}) {
			std::string answer = start;
			size_t written = 0;

			while (answer.size() < sound)
				answer += "1000\r\n" + data;
			// libcurl takes this for 1000.
			answer += "1000o\r\n" + data + "1000\r\n" + data;
			stream++;
			connection = call_arrives(
			    stream, "/katalogo/" + std::to_string(stream), 1);
			ASSERT_NE(connection, nullptr);
			for (int i = 0; i < 10; i++) {
				written += connection->write(answer, written);
				run_until_idle();
			}
			ASSERT_EQ(written, answer.size());
			for (int i = 0; i < 10; i++) {
				entry->post_credit("gate", MESSAGE_ANSWER_CREDIT, 0,
				    stream, STREAM_WINDOW_BYTES / 2);
				run_until_idle();
				if (more)
					connection->write("1000\r\n" + data);
			}
			expect_refusal(*entry, MESSAGE_ANSWER_ABORT, stream,
			    REASON_BACKEND_PROTOCOL, RUN_YES);
			server->connections.clear();
		}
	}
}

// Guards against calls that run slowly on a busy host while other instances have room,
// and against moving those that have no other instance, or after the host is as usual
// again.
TEST_F(HostedGate, CallsThatMayMoveAreRefusedUnrunWhileTheHostIsBusy)
{
	const std::string load = "X-Masticpitch-Server-Load: 1,0,2,250\r\n";
	RawConnection *arrived;
	message_t *message;

	call_arrives(1, "/katalogo/1", 1)
	    ->write(head("200 OK", "id-1",
		"X-Masticpitch-Server-Stamp: s\r\nContent-Length: 0\r\n" + load));
	ASSERT_TRUE(run_until([&] { return has_ended(1); }));
	message = call(0, 2, "POST", "/katalogo/2");
	message->u.call->movable = true;
	entry->post("gate", message);
	expect_refusal(*entry, MESSAGE_REFUSAL, 2, REASON_HOST_BUSY, RUN_NO);
	ASSERT_NE(entry->find(MESSAGE_REFUSAL, 2), nullptr);
	EXPECT_EQ(entry->find(MESSAGE_REFUSAL, 2)->refusal.load.host_percent, 250u);
	EXPECT_EQ(server->connection_with("/katalogo/2"), nullptr);
	arrived = call_arrives(3, "/katalogo/3", 3);
	ASSERT_NE(arrived, nullptr);
	arrived->write(head("200 OK", "id-3",
	    "X-Masticpitch-Server-Stamp: s\r\nContent-Length: 0\r\n"
	    "X-Masticpitch-Server-Load: 1,0,2,100\r\n"));
	ASSERT_TRUE(run_until([&] { return has_ended(3); }));
	message = call(0, 4, "POST", "/katalogo/4");
	message->u.call->movable = true;
	entry->post("gate", message);
	ASSERT_TRUE(run_until(
	    [&] { return server->connection_with("/katalogo/4 HTTP") != nullptr; }));
}

} // namespace
