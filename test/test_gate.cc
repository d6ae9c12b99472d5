// Guards the gate against wrong run states, resends by the HTTP library,
// cut answers that are not marked as such, calls that are interrupted when the
// host leaves, and buffers beyond the window.
#include "common_gate.h"
#include "rate_limit.h"
#include "throttle.h"

namespace
{

const char OK_ANSWER[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Own: 1\r\n"
			 "Masticpitch-Depth: 3\r\nKeep-Alive: timeout=5\r\n\r\nok";

TEST_F(Gate, MalformedAnnouncementsAreRefused)
{
	EXPECT_EQ(announce_text("{"), 400);
	EXPECT_EQ(announce_text("[]"), 400);
	EXPECT_EQ(announce_text("{\"service\":\"a\\u0000b\"}"), 400);
	EXPECT_EQ(announce("resting"), 400);
	EXPECT_EQ(announce("ready", 0), 400);
	EXPECT_EQ(announce_text("{}", "/other"), 404);
	EXPECT_EQ(announce_text(std::string(5000, ' ')), 413);
	EXPECT_TRUE(membership->messages.empty());
}

TEST_F(Gate, InstanceIsPostedOnEachChangeAndDroppedAfterATimeout)
{
	EXPECT_EQ(announce("starting"), 200);
	EXPECT_EQ(announce("starting"), 200);
	EXPECT_EQ(announce("ready", 3), 200);
	EXPECT_EQ(announce("ready", 3, "b1", "katalogo-2"), 409);
	ASSERT_TRUE(run_until([&] { return membership->messages.size() == 2; }));
	EXPECT_EQ(membership->messages[0].instance.state, INSTANCE_STARTING);
	EXPECT_EQ(membership->messages[1].instance.state, INSTANCE_READY);
	EXPECT_EQ(membership->messages[1].instance.slots, 3u);
	EXPECT_GT(membership->messages[1].instance.sequence,
	    membership->messages[0].instance.sequence);
	EXPECT_EQ(entry->count(MESSAGE_INSTANCE), 2u);
	ASSERT_TRUE(run_until([&] { return membership->messages.size() == 3; }));
	EXPECT_EQ(membership->messages[2].instance.state, INSTANCE_NONE);
}

// A gate whose host has no configuration yet.
class StartingGate : public Gate
{
      protected:
	void
	configure() override
	{
	}
};

// Guards against callers that get a failure after a planned restart of a node: the
// nested calls of its backend server are refused until the node has a configuration.
TEST_F(StartingGate, InstanceIsStartingUntilTheHostHasAConfiguration)
{
	ASSERT_EQ(announce("ready"), 200);
	ASSERT_TRUE(run_until([&] { return membership->messages.size() == 1; }));
	EXPECT_EQ(membership->messages[0].instance.state, INSTANCE_STARTING);
	entry->post("gate", call(0, 1, "GET", "/katalogo/x"));
	expect_refusal(*entry, MESSAGE_REFUSAL, 1, REASON_BACKEND_STARTING, RUN_NO);
	Gate::configure();
	ASSERT_TRUE(run_until([&] { return membership->messages.size() == 2; }));
	EXPECT_EQ(membership->messages[1].instance.state, INSTANCE_READY);
	EXPECT_EQ(entry->messages.back().instance.state, INSTANCE_READY);
}

TEST_F(Gate, CallReachesTheServerAndItsAnswerIsReturned)
{
	RawConnection *connection;

	ASSERT_EQ(announce("ready"), 200);
	entry->post("gate", call(0, 1, "GET", "/katalogo/a%20b?x=1"));
	ASSERT_TRUE(
	    run_until([&] { return server->connection_with("\r\n\r\n") != nullptr; }));
	connection = server->connection_with("\r\n\r\n");
	EXPECT_TRUE(connection->has("GET /katalogo/a%20b?x=1 HTTP/1.1\r\n"));
	EXPECT_TRUE(connection->has("Masticpitch-Depth: 1\r\n"));
	EXPECT_TRUE(connection->has("Masticpitch-Request-Id: id-1\r\n"));
	EXPECT_TRUE(connection->has("Masticpitch-Deadline-Ms: 9"));
	EXPECT_FALSE(connection->has("Accept:"));
	connection->write(OK_ANSWER);
	ASSERT_TRUE(run_until([&] { return has_ended(1); }));
	const ReceivedMessage *head = entry->find(MESSAGE_ANSWER_HEAD, 1);
	ASSERT_NE(head, nullptr);
	EXPECT_EQ(head->status, 200);
	EXPECT_EQ(head->body_length, 2);
	EXPECT_EQ(head->headers, "X-Own: 1\n");
	EXPECT_EQ(entry->body(MESSAGE_ANSWER_DATA, 1), "ok");
	EXPECT_TRUE(is_idle());
}

TEST_F(Gate, UploadIsBoundedByTheWindowAndArrivesCompletely)
{
	std::string body(1000000, 'x'), piece;
	size_t sent = 0, credit = STREAM_WINDOW_BYTES;
	RawConnection *connection = nullptr;

	ASSERT_EQ(announce("ready"), 200);
	for (size_t i = 0; i < body.size(); i++)
		body[i] = static_cast<char>('a' + i % 23);
	peer->post("gate", call(9, 5, "POST", "/katalogo/up", 1000000));
	ASSERT_TRUE(run_until([&] {
		size_t most = STREAM_WINDOW_BYTES;

		for (const ReceivedMessage &message : peer->messages)
			most += message.type == MESSAGE_CALL_CREDIT ? message.credit : 0;
		credit = most;
		while (sent < body.size() && sent + STREAM_DATA_MAX_BYTES <= credit) {
			piece = body.substr(sent, STREAM_DATA_MAX_BYTES);
			sent += piece.size();
			peer->post_data(
			    "gate", MESSAGE_CALL_DATA, 9, 5, piece, sent == body.size());
		}
		connection = server->connection_with("\r\n\r\n");
		return connection != nullptr && connection->input.size() > body.size();
	}));
	ASSERT_TRUE(run_until([&] { return connection->has(body); }));
	connection->write(OK_ANSWER);
	ASSERT_TRUE(run_until([&] { return peer->ended(MESSAGE_ANSWER_DATA, 5); }));
	EXPECT_EQ(peer->find(MESSAGE_ANSWER_HEAD, 5)->node, 9u);
}

TEST_F(Gate, BytesBeyondTheWindowEndTheCall)
{
	std::string piece(STREAM_DATA_MAX_BYTES, 'x');

	ASSERT_EQ(announce("ready", 1), 200);
	entry->post("gate", call(0, 1, "GET", "/katalogo/slow"));
	entry->post("gate", call(0, 2, "POST", "/katalogo/up", -1));
	for (int i = 0; i < STREAM_WINDOW_BYTES / STREAM_DATA_MAX_BYTES; i++)
		entry->post_data("gate", MESSAGE_CALL_DATA, 0, 2, piece, false);
	run_until_idle();
	EXPECT_EQ(entry->find(MESSAGE_REFUSAL, 2), nullptr);
	entry->post_data("gate", MESSAGE_CALL_DATA, 0, 2, "x", false);
	expect_refusal(*entry, MESSAGE_REFUSAL, 2, REASON_BAD_FRAMING, RUN_NO);
}

TEST_F(Gate, BodyShorterThanItsLengthIsNotPassedAsComplete)
{
	ASSERT_EQ(announce("ready"), 200);
	entry->post("gate", call(0, 1, "POST", "/katalogo/up", 100));
	entry->post_data("gate", MESSAGE_CALL_DATA, 0, 1, "short", true);
	expect_refusal(*entry, MESSAGE_REFUSAL, 1, REASON_BAD_FRAMING, RUN_NO);
}

TEST_F(Gate, LargeAnswerWaitsForCredit)
{
	std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" +
			     std::string(1000000, 'y');
	size_t written = 0, credited = 0;
	RawConnection *connection = nullptr;

	ASSERT_EQ(announce("ready"), 200);
	entry->post("gate", call(0, 1, "GET", "/katalogo/big"));
	ASSERT_TRUE(run_until([&] {
		connection = server->connection_with("\r\n\r\n");
		return connection != nullptr;
	}));
	ASSERT_TRUE(run_until([&] {
		written += connection->write(answer, written);
		return entry->body(MESSAGE_ANSWER_DATA, 1).size() >
		       STREAM_WINDOW_BYTES - STREAM_DATA_MAX_BYTES;
	}));
	for (int i = 0; i < 20; i++) {
		written += connection->write(answer, written);
		run_until_idle();
	}
	EXPECT_LE(
	    entry->body(MESSAGE_ANSWER_DATA, 1).size(), size_t{STREAM_WINDOW_BYTES});
	ASSERT_TRUE(run_until([&] {
		size_t got = entry->body(MESSAGE_ANSWER_DATA, 1).size();

		if (got - credited >= STREAM_WINDOW_BYTES / 4) {
			entry->post_credit("gate", MESSAGE_ANSWER_CREDIT, 0, 1,
			    static_cast<uint32_t>(got - credited));
			credited = got;
		}
		written += connection->write(answer, written);
		return has_ended(1);
	}));
	EXPECT_EQ(entry->body(MESSAGE_ANSWER_DATA, 1), std::string(1000000, 'y'));
}

TEST_F(Gate, CallsThatTheInstanceCannotTakeAreRefusedAsNotRun)
{
	message_t *foreign = call(0, 2, "GET", "/pamigay/x");

	entry->post("gate", call(0, 1, "GET", "/katalogo/x"));
	expect_refusal(*entry, MESSAGE_REFUSAL, 1, REASON_INSTANCE_GONE, RUN_NO);
	ASSERT_EQ(announce("starting"), 200);
	strcpy(foreign->u.call->service, "pamigay");
	entry->post("gate", foreign);
	expect_refusal(*entry, MESSAGE_REFUSAL, 2, REASON_INSTANCE_GONE, RUN_NO);
	entry->post("gate", call(0, 3, "GET", "/katalogo/x"));
	expect_refusal(*entry, MESSAGE_REFUSAL, 3, REASON_BACKEND_STARTING, RUN_NO);
	ASSERT_EQ(announce("leaving"), 200);
	entry->post("gate", call(0, 4, "GET", "/katalogo/x"));
	expect_refusal(*entry, MESSAGE_REFUSAL, 4, REASON_LEAVING, RUN_NO);
	server->poll();
	EXPECT_TRUE(server->connections.empty());
}

TEST_F(Gate, RefusedConnectionIsNotRunAndWithdrawsTheInstance)
{
	server->stop();
	ASSERT_EQ(announce("ready"), 200);
	entry->post("gate", call(0, 1, "POST", "/katalogo/x"));
	expect_refusal(*entry, MESSAGE_REFUSAL, 1, REASON_BACKEND_CONNECT, RUN_NO);
	ASSERT_TRUE(run_until([&] { return membership->messages.size() >= 2; }));
	EXPECT_EQ(membership->messages[1].instance.state, INSTANCE_NONE);
}

TEST_F(Gate, ResetAfterTheRequestWasSentIsUnknown)
{
	ASSERT_EQ(announce("ready"), 200);
	entry->post("gate", call(0, 1, "POST", "/katalogo/x"));
	ASSERT_TRUE(
	    run_until([&] { return server->connection_with("\r\n\r\n") != nullptr; }));
	server->connections[0]->abort();
	expect_refusal(*entry, MESSAGE_REFUSAL, 1, REASON_BACKEND_LOST, RUN_UNKNOWN);
}

// Guards against libcurl's own resend of the request on a new connection.
TEST_F(Gate, ReusedConnectionThatClosesIsNotUsedToResend)
{
	RawConnection *connection = nullptr;

	ASSERT_EQ(announce("ready"), 200);
	entry->post("gate", call(0, 1, "GET", "/katalogo/x"));
	ASSERT_TRUE(
	    run_until([&] { return server->connection_with("\r\n\r\n") != nullptr; }));
	connection = server->connections[0].get();
	connection->write(OK_ANSWER);
	ASSERT_TRUE(run_until([&] { return has_ended(1); }));
	connection->input.clear();
	entry->post("gate", call(0, 2, "POST", "/katalogo/y"));
	ASSERT_TRUE(run_until([&] { return connection->has("/katalogo/y"); }));
	connection->finish();
	expect_refusal(*entry, MESSAGE_REFUSAL, 2, REASON_BACKEND_LOST, RUN_UNKNOWN);
	EXPECT_EQ(metric(METRIC_BACKEND_RESEND_BLOCKED), 1u);
	run_until_idle();
	server->poll();
	for (auto &other : server->connections)
		EXPECT_EQ(other.get() == connection ? "" : other->input, "");
}

TEST_F(Gate, ShortAnswerIsMarkedAsCut)
{
	ASSERT_EQ(announce("ready"), 200);
	entry->post("gate", call(0, 1, "GET", "/katalogo/x"));
	ASSERT_TRUE(
	    run_until([&] { return server->connection_with("\r\n\r\n") != nullptr; }));
	server->connections[0]->write(
	    "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort");
	ASSERT_TRUE(run_until([&] { return entry->find(MESSAGE_ANSWER_HEAD, 1); }));
	server->connections[0]->finish();
	expect_refusal(*entry, MESSAGE_ANSWER_ABORT, 1, REASON_BACKEND_LOST, RUN_YES);
	EXPECT_FALSE(has_ended(1));
}

// Guards against an answer without a length that counts as complete after a reset, or
// as cut after an orderly close.
TEST_F(Gate, AnswerWithoutALengthEndsWithItsConnection)
{
	ASSERT_EQ(announce("ready"), 200);
	entry->post("gate", call(0, 1, "GET", "/katalogo/x"));
	ASSERT_TRUE(
	    run_until([&] { return server->connection_with("\r\n\r\n") != nullptr; }));
	server->connections[0]->write("HTTP/1.1 200 OK\r\n\r\nthe whole");
	ASSERT_TRUE(run_until([&] { return entry->find(MESSAGE_ANSWER_DATA, 1); }));
	EXPECT_FALSE(has_ended(1));
	server->connections[0]->finish();
	ASSERT_TRUE(run_until([&] { return has_ended(1); }));

	entry->post("gate", call(0, 2, "GET", "/katalogo/reset"));
	ASSERT_TRUE(run_until(
	    [&] { return server->connection_with("/katalogo/reset") != nullptr; }));
	server->connection_with("/katalogo/reset")
	    ->write("HTTP/1.1 200 OK\r\n\r\na part");
	ASSERT_TRUE(run_until([&] { return entry->find(MESSAGE_ANSWER_DATA, 2); }));
	server->connection_with("/katalogo/reset")->abort();
	expect_refusal(*entry, MESSAGE_ANSWER_ABORT, 2, REASON_BACKEND_LOST, RUN_YES);
	EXPECT_FALSE(has_ended(2));
}

// Guards against the rest of a long body that is sent after an early answer, so that
// the backend server takes it for the next request.
TEST_F(Gate, ConnectionOfAnEarlyAnswerIsNotUsedForTheNextRequest)
{
	RawConnection *first;

	ASSERT_EQ(announce("ready"), 200);
	entry->post("gate", call(0, 1, "POST", "/katalogo/early", 100000));
	entry->post_data("gate", MESSAGE_CALL_DATA, 0, 1, std::string(1000, 'x'), false);
	ASSERT_TRUE(run_until(
	    [&] { return server->connection_with("/katalogo/early") != nullptr; }));
	first = server->connection_with("/katalogo/early");
	first->write("HTTP/1.1 403 Early\r\nContent-Length: 2\r\n\r\nno");
	ASSERT_TRUE(run_until([&] { return has_ended(1); }));
	entry->post("gate", call(0, 2, "GET", "/katalogo/next"));
	ASSERT_TRUE(run_until(
	    [&] { return server->connection_with("/katalogo/next") != nullptr; }));
	EXPECT_FALSE(first->has("/katalogo/next"));
	server->connection_with("/katalogo/next")->write(OK_ANSWER);
	ASSERT_TRUE(run_until([&] { return has_ended(2); }));
}

// MIXED: a second copy of an answer comes late, when the next request has been sent on
// the connection.
TEST_F(Gate, AnswerThatNamesAnotherRequestIsUnknown)
{
	const std::string answer = "HTTP/1.1 200 OK\r\nMasticpitch-Request-Id: id-1\r\n"
				   "Content-Length: 2\r\n\r\nok";
	RawConnection *connection;
	message_t *next = call(0, 2, "POST", "/katalogo/y");

	ASSERT_EQ(announce("ready"), 200);
	entry->post("gate", call(0, 1, "GET", "/katalogo/x"));
	ASSERT_TRUE(
	    run_until([&] { return server->connection_with("\r\n\r\n") != nullptr; }));
	connection = server->connections[0].get();
	connection->write(answer);
	ASSERT_TRUE(run_until([&] { return has_ended(1); }));
	EXPECT_EQ(entry->body(MESSAGE_ANSWER_DATA, 1), "ok");
	string_copy(next->u.call->request_id, REQUEST_ID_BYTES, "id-2");
	entry->post("gate", next);
	ASSERT_TRUE(run_until([&] { return connection->has("/katalogo/y"); }));
	connection->write(answer);
	expect_refusal(*entry, MESSAGE_REFUSAL, 2, REASON_BACKEND_PROTOCOL, RUN_UNKNOWN);
}

TEST_F(Gate, MalformedAnswerIsUnknown)
{
	ASSERT_EQ(announce("ready"), 200);
	entry->post("gate", call(0, 1, "GET", "/katalogo/x"));
	ASSERT_TRUE(
	    run_until([&] { return server->connection_with("\r\n\r\n") != nullptr; }));
	server->connections[0]->write("no HTTP at all\r\n\r\n");
	expect_refusal(*entry, MESSAGE_REFUSAL, 1, REASON_BACKEND_PROTOCOL, RUN_UNKNOWN);
}

TEST_F(Gate, OnlyAMarked503CountsAsShedWithoutBeingRun)
{
	ASSERT_EQ(announce("ready"), 200);
	entry->post("gate", call(0, 1, "GET", "/katalogo/x"));
	ASSERT_TRUE(
	    run_until([&] { return server->connection_with("\r\n\r\n") != nullptr; }));
	server->connections[0]->write("HTTP/1.1 503 Busy\r\nMasticpitch-Run: no\r\n"
				      "Content-Length: 4\r\n\r\nbusy");
	expect_refusal(*entry, MESSAGE_REFUSAL, 1, REASON_BACKEND_SHED, RUN_NO);
	server->connections[0]->input.clear();
	entry->post("gate", call(0, 2, "GET", "/katalogo/y"));
	ASSERT_TRUE(
	    run_until([&] { return server->connection_with("/katalogo/y") != nullptr; }));
	server->connection_with("/katalogo/y")
	    ->write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
	ASSERT_TRUE(run_until([&] { return has_ended(2); }));
	EXPECT_EQ(entry->find(MESSAGE_ANSWER_HEAD, 2)->status, 503);
}

TEST_F(Gate, CancelledCallsFreeTheirSlots)
{
	RawConnection *connection;

	ASSERT_EQ(announce("ready", 1), 200);
	for (uint64_t i = 1; i <= 3; i++) {
		std::string path = "/katalogo/" + std::to_string(i);

		entry->post("gate", call(0, i, "GET", path.c_str()));
	}
	ASSERT_TRUE(run_until(
	    [&] { return server->connection_with("/katalogo/1 ") != nullptr; }));
	connection = server->connection_with("/katalogo/1 ");
	entry->post("gate", message_create(MESSAGE_CALL_CANCEL, 0, 2));
	entry->post("gate", message_create(MESSAGE_CALL_CANCEL, 0, 1));
	ASSERT_TRUE(run_until(
	    [&] { return server->connection_with("/katalogo/3 ") != nullptr; }));
	EXPECT_TRUE(connection->closed);
	EXPECT_EQ(server->connection_with("/katalogo/2 "), nullptr);
	server->connection_with("/katalogo/3 ")->write(OK_ANSWER);
	ASSERT_TRUE(run_until([&] { return has_ended(3); }));
	EXPECT_EQ(entry->find(MESSAGE_ANSWER_HEAD, 1), nullptr);
	EXPECT_TRUE(is_idle());
}

// Guards against a gate that starts waiting calls without regard to their rank, and
// against refusals that are counted for another rank.
TEST_F(Gate, WaitingCallsStartByRank)
{
	const uint32_t workspace = PRESET_PRIORITY_MAX + 1;
	const uint32_t ranks[] = {0, 2, workspace, 0};

	ASSERT_EQ(announce("ready", 1), 200);
	for (uint64_t i = 1; i <= 4; i++) {
		std::string path = "/katalogo/" + std::to_string(i);
		message_t *message = call(0, i, "GET", path.c_str());

		message->u.call->rank = ranks[i - 1];
		entry->post("gate", message);
	}
	for (uint64_t i : {1, 4, 2}) {
		std::string path = "/katalogo/" + std::to_string(i) + " ";

		ASSERT_TRUE(run_until([&] {
			return server->connection_with(path) != nullptr;
		})) << path;
		EXPECT_EQ(server->connection_with("/katalogo/3 "), nullptr);
		server->connection_with(path)->write(OK_ANSWER);
		ASSERT_TRUE(run_until([&] { return has_ended(i); }));
	}
	ASSERT_EQ(announce("leaving", 1), 200);
	entry->post("gate", call(0, 5, "GET", "/katalogo/5"));
	expect_refusal(*entry, MESSAGE_REFUSAL, 5, REASON_LEAVING, RUN_NO);
	EXPECT_EQ(
	    kernel_metrics(kernel)->gate_refusals[order_band(0)][REASON_LEAVING], 1u);
}

// Guards against pressure from calls that find room at another gate.
TEST_F(Gate, PressureCountsCallsThatOtherGatesHaveRefused)
{
	uint64_t stream = 0;

	ASSERT_EQ(announce("ready", 1), 200);
	for (uint32_t attempt : {1u, (uint32_t)THROTTLE_PRESSURE_ATTEMPT}) {
		for (int i = 0; i < 20; i++) {
			message_t *message = call(0, ++stream, "GET", "/katalogo/1");

			message->u.call->attempt = attempt;
			entry->post("gate", message);
		}
		ASSERT_TRUE(run_until(
		    [&] { return entry->find(MESSAGE_REFUSAL, stream) != nullptr; }));
		if (attempt == 1)
			EXPECT_EQ(
			    entry->find(MESSAGE_REFUSAL, stream)->refusal.load.pressure,
			    0u);
		else
			EXPECT_GT(
			    entry->find(MESSAGE_REFUSAL, stream)->refusal.load.pressure,
			    50u);
	}
}

// Guards against uploads over weak links that take every slot, so that lookups wait
// for them, and against a queued upload that blocks the lookups behind it.
TEST_F(Gate, RunningUploadsLeaveSlotsForLookups)
{
	ASSERT_EQ(announce("ready", 10), 200);
	for (uint64_t i = 1; i <= 12; i++) {
		message_t *upload = call(0, i, "POST", "/katalogo/up", 100);

		upload->u.call->route_class = ROUTE_UPLOAD;
		entry->post("gate", upload);
	}
	entry->post("gate", call(0, 20, "GET", "/katalogo/lookup"));
	ASSERT_TRUE(run_until(
	    [&] { return server->connection_with("/katalogo/lookup ") != nullptr; }));
	server->connection_with("/katalogo/lookup ")->write(OK_ANSWER);
	ASSERT_TRUE(run_until([&] { return has_ended(20); }));
	/* Seven uploads run, five are queued. */
	EXPECT_EQ(server->connections.size(), 8u);
	EXPECT_EQ(entry->count(MESSAGE_REFUSAL), 0u);
}

TEST_F(Gate, LostNodeEndsItsCalls)
{
	ASSERT_EQ(announce("ready", 1), 200);
	peer->post("gate", call(4, 1, "GET", "/katalogo/1"));
	ASSERT_TRUE(
	    run_until([&] { return server->connection_with("\r\n\r\n") != nullptr; }));
	peer->post("gate", message_create(MESSAGE_STREAM_LOST, 4, 1));
	ASSERT_TRUE(run_until([&] {
		server->poll();
		return server->connections[0]->closed;
	}));
	EXPECT_TRUE(is_idle());
}

TEST_F(Gate, DeadlineReportsWhetherTheCallWasSent)
{
	ASSERT_EQ(announce("ready", 1), 200);
	entry->post("gate", call(0, 1, "GET", "/katalogo/1", 0, 300));
	ASSERT_TRUE(run_until(
	    [&] { return server->connection_with("/katalogo/1 ") != nullptr; }));
	entry->post("gate", call(0, 2, "GET", "/katalogo/2", 0, 100));
	expect_refusal(*entry, MESSAGE_REFUSAL, 2, REASON_DEADLINE_PASSED, RUN_NO);
	expect_refusal(*entry, MESSAGE_REFUSAL, 1, REASON_DEADLINE_PASSED, RUN_UNKNOWN);
	EXPECT_EQ(server->connection_with("/katalogo/2 "), nullptr);
}

TEST_F(Gate, RunningUploadFinishesWhileLeaving)
{
	RawConnection *connection;

	ASSERT_EQ(announce("ready", 1), 200);
	entry->post("gate", call(0, 1, "POST", "/katalogo/up", 10));
	entry->post("gate", call(0, 2, "GET", "/katalogo/queued"));
	entry->post_data("gate", MESSAGE_CALL_DATA, 0, 1, "first", false);
	ASSERT_TRUE(
	    run_until([&] { return server->connection_with("first") != nullptr; }));
	connection = server->connection_with("first");
	entry->post("gate", message_create(MESSAGE_LEAVE, 0, 0));
	entry->post("gate", call(0, 3, "GET", "/katalogo/late"));
	expect_refusal(*entry, MESSAGE_REFUSAL, 3, REASON_LEAVING, RUN_NO);
	EXPECT_EQ(membership->messages.back().instance.state, INSTANCE_LEAVING);
	EXPECT_FALSE(is_idle());
	EXPECT_FALSE(connection->closed);
	entry->post_data("gate", MESSAGE_CALL_DATA, 0, 1, "-last", true);
	ASSERT_TRUE(run_until([&] { return connection->has("first-last"); }));
	connection->write(OK_ANSWER);
	ASSERT_TRUE(run_until([&] { return has_ended(1); }));
	ASSERT_TRUE(run_until(
	    [&] { return server->connection_with("/katalogo/queued") != nullptr; }));
	server->connection_with("/katalogo/queued")->write(OK_ANSWER);
	ASSERT_TRUE(run_until([&] { return has_ended(2); }));
	EXPECT_TRUE(is_idle());
}

// LOST: guards against queued calls that count as possibly run when the host stops.
TEST_F(Gate, QueuedCallsAreRefusedAsNotRunAtTheEndOfTheGracePeriod)
{
	ASSERT_EQ(announce("ready", 1), 200);
	entry->post("gate", call(0, 1, "GET", "/katalogo/slow"));
	entry->post("gate", call(0, 2, "GET", "/katalogo/queued"));
	ASSERT_TRUE(
	    run_until([&] { return server->connection_with("\r\n\r\n") != nullptr; }));
	entry->post("gate", message_create(MESSAGE_LEAVE, 0, 0));
	entry->post("gate", message_create(MESSAGE_STOP_WAITING, 0, 0));
	expect_refusal(*entry, MESSAGE_REFUSAL, 2, REASON_LEAVING, RUN_NO);
	EXPECT_EQ(entry->find(MESSAGE_REFUSAL, 1), nullptr);
}

TEST_F(Gate, LateAndCrossedFramesAreDroppedAndCounted)
{
	ASSERT_EQ(announce("ready"), 200);
	entry->post("gate", call(0, 1, "POST", "/katalogo/x", 3));
	ASSERT_TRUE(
	    run_until([&] { return server->connection_with("\r\n\r\n") != nullptr; }));
	// The same stream id from another service or node denotes another stream.
	peer->post_data("gate", MESSAGE_CALL_DATA, 0, 1, "bad", true);
	entry->post_data("gate", MESSAGE_CALL_DATA, 8, 1, "bad", true);
	peer->post("gate", message_create(MESSAGE_CALL_CANCEL, 0, 1));
	entry->post("gate", call(0, 1, "POST", "/katalogo/again", 3));
	entry->post_data("gate", MESSAGE_CALL_DATA, 0, 1, "yes", true);
	ASSERT_TRUE(run_until([&] { return server->connections[0]->has("yes"); }));
	server->connections[0]->write(OK_ANSWER);
	ASSERT_TRUE(run_until([&] { return has_ended(1); }));
	entry->post_credit("gate", MESSAGE_ANSWER_CREDIT, 0, 1, 5);
	entry->post("gate", message_create(MESSAGE_CALL_CANCEL, 0, 1));
	ASSERT_TRUE(run_until([&] { return metric(METRIC_LATE_FRAMES) == 6; }));
	EXPECT_EQ(server->connection_with("again"), nullptr);
	EXPECT_EQ(server->connection_with("bad"), nullptr);
}

// A retry with the same ticket gets the stored outcome, also from a gate that is
// leaving.
TEST_F(Gate, TicketRunsAtMostOnce)
{
	std::string body, ticket;
	auto with_ticket = [&](uint64_t stream) {
		message_t *message = call(0, stream, "POST", "/katalogo/book");

		string_copy(message->u.call->ticket, TICKET_BYTES, ticket.c_str());
		message->u.call->fingerprint = 55;
		entry->post("gate", message);
	};
	auto issue = [&](uint64_t stream) {
		entry->post("gate",
		    call(0, stream, "GET", "/.masticpitch/ticket?method=POST&path=/x"));
		ASSERT_TRUE(run_until([&] { return has_ended(stream); }));
		body = entry->body(MESSAGE_ANSWER_DATA, stream);
		ticket = body.substr(11, body.find('"', 11) - 11);
	};

	ASSERT_EQ(announce("ready"), 200);
	issue(1);
	with_ticket(2);
	ASSERT_TRUE(run_until(
	    [&] { return server->connection_with("/katalogo/book") != nullptr; }));
	EXPECT_TRUE(
	    server->connection_with("/katalogo/book")->has("Idempotency-Key: " + ticket));
	with_ticket(3);
	expect_refusal(*entry, MESSAGE_REFUSAL, 3, REASON_TICKET_RUNNING, RUN_UNKNOWN);
	server->connection_with("/katalogo/book")->write(OK_ANSWER);
	ASSERT_TRUE(run_until([&] { return has_ended(2); }));
	entry->post("gate", message_create(MESSAGE_LEAVE, 0, 0));
	with_ticket(4);
	ASSERT_TRUE(run_until([&] { return has_ended(4); }));
	EXPECT_EQ(entry->find(MESSAGE_ANSWER_HEAD, 4)->status, 200);
	EXPECT_EQ(entry->body(MESSAGE_ANSWER_DATA, 4), "ok");
	EXPECT_EQ(metric(METRIC_GATE_ADMITTED), 1u);
}

// The outcome of a broken first run stays unknown.
TEST_F(Gate, BrokenTicketRunStaysUnknownAndARefusedOneMayRunLater)
{
	std::string body, ticket;
	auto with_ticket = [&](uint64_t stream, uint64_t deadline_ms) {
		message_t *message =
		    call(0, stream, "POST", "/katalogo/book", 0, deadline_ms);

		string_copy(message->u.call->ticket, TICKET_BYTES, ticket.c_str());
		message->u.call->fingerprint = 55;
		entry->post("gate", message);
	};

	ASSERT_EQ(announce("ready"), 200);
	entry->post("gate", call(0, 1, "GET", "/.masticpitch/ticket"));
	ASSERT_TRUE(run_until([&] { return has_ended(1); }));
	body = entry->body(MESSAGE_ANSWER_DATA, 1);
	ticket = body.substr(11, body.find('"', 11) - 11);
	with_ticket(2, 0);
	expect_refusal(*entry, MESSAGE_REFUSAL, 2, REASON_DEADLINE_PASSED, RUN_NO);
	with_ticket(3, 5000);
	ASSERT_TRUE(run_until(
	    [&] { return server->connection_with("/katalogo/book") != nullptr; }));
	server->connection_with("/katalogo/book")->abort();
	expect_refusal(*entry, MESSAGE_REFUSAL, 3, REASON_BACKEND_LOST, RUN_UNKNOWN);
	with_ticket(4, 5000);
	expect_refusal(*entry, MESSAGE_REFUSAL, 4, REASON_TICKET_UNKNOWN, RUN_UNKNOWN);
	EXPECT_EQ(metric(METRIC_GATE_ADMITTED), 1u);
}

// A reset counts as a crash only if the port is closed; then every request in
// flight is reported once.
TEST_F(Gate, CrashReportsTheRequestsInFlight)
{
	ASSERT_EQ(announce("ready"), 200);
	entry->post("gate", call(0, 1, "GET", "/katalogo/1"));
	ASSERT_TRUE(
	    run_until([&] { return server->connection_with("/katalogo/1") != nullptr; }));
	server->connection_with("/katalogo/1")->abort();
	expect_refusal(*entry, MESSAGE_REFUSAL, 1, REASON_BACKEND_LOST, RUN_UNKNOWN);
	ASSERT_TRUE(run_until([&] {
		server->poll();
		return server->connections.size() == 4; // with three probes
	}));
	run_until_idle();
	EXPECT_EQ(membership->count(MESSAGE_CRASH_REPORT), 0u);
	entry->post("gate", call(0, 2, "GET", "/katalogo/2"));
	entry->post("gate", call(0, 3, "GET", "/katalogo/3"));
	ASSERT_TRUE(run_until([&] {
		return server->connection_with("/katalogo/2") != nullptr &&
		       server->connection_with("/katalogo/3") != nullptr;
	}));
	server->stop();
	server->connections.clear();
	ASSERT_TRUE(
	    run_until([&] { return membership->count(MESSAGE_CRASH_REPORT) == 2; }));
	run_until_idle();
	EXPECT_EQ(membership->count(MESSAGE_CRASH_REPORT), 2u);
	EXPECT_EQ(entry->count(MESSAGE_CRASH_REPORT), 2u);
	EXPECT_EQ(metric(METRIC_BACKEND_DEATHS), 1u);
	EXPECT_EQ(membership->messages.back().instance.state, INSTANCE_NONE);
}

// Guards against a crash that is not reported because the port closes some
// milliseconds after the connections were reset.
TEST_F(Gate, PortThatClosesAfterTheResetIsACrash)
{
	ASSERT_EQ(announce("ready"), 200);
	entry->post("gate", call(0, 1, "GET", "/katalogo/1"));
	ASSERT_TRUE(
	    run_until([&] { return server->connection_with("/katalogo/1") != nullptr; }));
	server->connection_with("/katalogo/1")->abort();
	ASSERT_TRUE(run_until([&] {
		server->poll();
		return server->connections.size() == 2; // the first probe
	}));
	server->stop();
	server->connections.clear();
	ASSERT_TRUE(
	    run_until([&] { return membership->count(MESSAGE_CRASH_REPORT) == 1; }));
	EXPECT_EQ(membership->find(MESSAGE_CRASH_REPORT, 0)->fingerprint, 1001u);
	EXPECT_EQ(metric(METRIC_BACKEND_DEATHS), 1u);
}

TEST_F(Gate, NewBootIdIsACrash)
{
	ASSERT_EQ(announce("ready"), 200);
	entry->post("gate", call(0, 1, "GET", "/katalogo/1"));
	ASSERT_TRUE(
	    run_until([&] { return server->connection_with("/katalogo/1") != nullptr; }));
	ASSERT_EQ(announce("ready", 2, "b2"), 200);
	ASSERT_TRUE(
	    run_until([&] { return membership->count(MESSAGE_CRASH_REPORT) == 1; }));
	EXPECT_EQ(membership->find(MESSAGE_CRASH_REPORT, 0)->fingerprint, 1001u);
	ASSERT_TRUE(run_until([&] {
		return membership->messages.back().instance.state == INSTANCE_READY;
	}));
}

// Answers every complete request that the server has received; returns their number.
size_t
requests_answer(RawServer *server, const std::string &answer)
{
	size_t answered = 0;

	server->poll();
	for (auto &connection : server->connections) {
		if (connection->fd < 0 ||
		    connection->input.find("\r\n\r\n") == std::string::npos)
			continue;
		connection->input.clear();
		connection->write(answer);
		answered++;
	}
	return answered;
}

std::string
answer_with(const std::string &fields)
{
	return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + fields + "\r\nok";
}

// LIMIT: guards against more calls from all nodes together than the backend server
// names in its answers.
TEST_F(Gate, CallsKeepToTheRateThatTheServerNames)
{
	const double per_s = 20;
	const std::string answer = answer_with("Masticpitch-Rate-Limit: 20\r\n");
	uint64_t named_at = 0;
	double elapsed_s;
	size_t started = 0;

	ASSERT_EQ(announce("ready", 1), 200);
	for (uint64_t stream = 1; stream <= 15; stream++) {
		FakeService &from = stream % 2 == 0 ? *peer : *entry;

		from.post("gate", call(stream % 2 == 0 ? 9 : 0, stream, "GET", "/k/x"));
		ASSERT_TRUE(
		    run_until([&] { return requests_answer(server.get(), answer) > 0; }));
		ASSERT_TRUE(
		    run_until([&] { return from.ended(MESSAGE_ANSWER_DATA, stream); }));
		if (named_at == 0)
			named_at = os_clock_monotonic();
		else
			started++;
	}
	elapsed_s = (double)(os_clock_monotonic() - named_at) / NS_PER_S;
	EXPECT_LE((double)started, per_s * (elapsed_s + RATE_LIMIT_BURST_MS / 1e3) + 1);
	EXPECT_EQ(metric(METRIC_GATE_RATE_LIMIT), 1200u);
}

// LIMIT: guards against a node that starts as many calls as there are slots after its
// restart, before an answer tells it the limit.
TEST_F(Gate, FewCallsRunBeforeTheFirstAnswer)
{
	const std::string answer = answer_with("Masticpitch-Rate-Limit: 0\r\n");

	ASSERT_EQ(announce("ready", 9), 200);
	for (uint64_t stream = 1; stream <= 9; stream++)
		entry->post("gate", call(0, stream, "GET", "/k/x", 0, 1500));
	ASSERT_TRUE(run_until([&] {
		server->poll();
		return server->connections.size() == RATE_LIMIT_UNKNOWN_CALLS_MAX;
	}));
	run_until_idle();
	EXPECT_EQ(metric(METRIC_GATE_RUNNING), RATE_LIMIT_UNKNOWN_CALLS_MAX);
	ASSERT_TRUE(run_until([&] { return requests_answer(server.get(), answer) > 0; }));
	/* The first one of the queue starts; the turn of the others comes too late. */
	ASSERT_TRUE(run_until([&] {
		return entry->count(MESSAGE_REFUSAL) >=
		       9 - 1 - RATE_LIMIT_UNKNOWN_CALLS_MAX;
	}));
	EXPECT_EQ(metric(METRIC_GATE_ADMITTED), 1u + RATE_LIMIT_UNKNOWN_CALLS_MAX);
}

// Guards against calls that stay queued after an answer without a limit.
TEST_F(Gate, AllSlotsAreUsedAfterAnAnswerWithoutALimit)
{
	ASSERT_EQ(announce("ready", 4), 200);
	for (uint64_t stream = 1; stream <= 5; stream++)
		entry->post("gate", call(0, stream, "GET", "/k/x"));
	ASSERT_TRUE(
	    run_until([&] { return server->connection_with("\r\n\r\n") != nullptr; }));
	server->connection_with("\r\n\r\n")->write(answer_with(""));
	ASSERT_TRUE(run_until([&] { return metric(METRIC_GATE_RUNNING) == 4; }));
	EXPECT_EQ(entry->count(MESSAGE_REFUSAL), 0u);
}

// Guards against a faulty value that keeps the gate at few calls for good.
TEST_F(Gate, AllSlotsAreUsedAfterAnAnswerWithAnInvalidLimit)
{
	ASSERT_EQ(announce("ready", 4), 200);
	for (uint64_t stream = 1; stream <= 5; stream++)
		entry->post("gate", call(0, stream, "GET", "/k/x"));
	ASSERT_TRUE(
	    run_until([&] { return server->connection_with("\r\n\r\n") != nullptr; }));
	server->connection_with("\r\n\r\n")
	    ->write(answer_with("Masticpitch-Rate-Limit: none\r\n"));
	ASSERT_TRUE(run_until([&] { return metric(METRIC_GATE_RUNNING) == 4; }));
	EXPECT_EQ(metric(METRIC_GATE_RATE_LIMIT), 0u);
}

// Guards against queued calls that wait until their deadlines after the backend server
// has named a limit at which their turn comes too late.
TEST_F(Gate, QueuedCallsThatARateLimitDelaysTooLongAreRefusedImmediately)
{
	ASSERT_EQ(announce("ready", 1), 200);
	for (uint64_t stream = 1; stream <= 5; stream++)
		entry->post("gate", call(0, stream, "GET", "/k/x", 0, 3000));
	ASSERT_TRUE(run_until([&] {
		return requests_answer(server.get(),
			   answer_with("Masticpitch-Rate-Limit: 0\r\n")) > 0;
	}));
	/* Two may start before their deadlines, the calls behind them may not. */
	ASSERT_TRUE(run_until([&] { return entry->count(MESSAGE_REFUSAL) >= 2; }));
	expect_refusal(*entry, MESSAGE_REFUSAL, 5, REASON_DEADLINE_TOO_SHORT, RUN_NO);
	EXPECT_GT(metric(METRIC_GATE_RATE_LIMITED), 0u);
}

// DRAIN: guards against new calls to a backend server that says only in its answers
// that it leaves, and against a late announcement that makes it ready again.
TEST_F(Gate, ServerThatSaysInAnAnswerThatItLeavesGetsNoNewCalls)
{
	ASSERT_EQ(announce("ready"), 200);
	entry->post("gate", call(0, 1, "GET", "/k/x"));
	ASSERT_TRUE(run_until([&] {
		return requests_answer(
			   server.get(), answer_with("Masticpitch-Leaving: 1\r\n")) > 0;
	}));
	ASSERT_TRUE(run_until([&] { return has_ended(1); }));
	entry->post("gate", call(0, 2, "GET", "/k/x"));
	expect_refusal(*entry, MESSAGE_REFUSAL, 2, REASON_LEAVING, RUN_NO);
	ASSERT_TRUE(run_until([&] { return membership->messages.size() == 2; }));
	EXPECT_EQ(membership->messages[1].instance.state, INSTANCE_LEAVING);
	ASSERT_EQ(announce("ready"), 200);
	entry->post("gate", call(0, 3, "GET", "/k/x"));
	expect_refusal(*entry, MESSAGE_REFUSAL, 3, REASON_LEAVING, RUN_NO);
}

// Guards against a backend server that is taken out of use, or slowed down, by an answer
// of the process before it.
TEST_F(Gate, StartedServerIsNotBoundByAnAnswerOfTheProcessBefore)
{
	ASSERT_EQ(announce("ready", 1, "b1"), 200);
	entry->post("gate", call(0, 1, "GET", "/k/x"));
	ASSERT_TRUE(
	    run_until([&] { return server->connection_with("\r\n\r\n") != nullptr; }));
	ASSERT_EQ(announce("ready", 1, "b2"), 200);
	ASSERT_GT(
	    requests_answer(server.get(),
		answer_with("Masticpitch-Leaving: 1\r\nMasticpitch-Rate-Limit: 0\r\n")),
	    0u);
	ASSERT_TRUE(run_until([&] { return has_ended(1); }));
	entry->post("gate", call(0, 2, "GET", "/k/x"));
	ASSERT_TRUE(run_until(
	    [&] { return requests_answer(server.get(), answer_with("")) > 0; }));
	ASSERT_TRUE(run_until([&] { return has_ended(2); }));
	EXPECT_EQ(metric(METRIC_GATE_RATE_LIMIT), 0u);
}

} // namespace
