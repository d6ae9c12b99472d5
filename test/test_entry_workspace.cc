// Guards the entry against requests that run without a key in force, or for another
// workspace than the one that holds their key, and against keys that are passed on.
#include "common_entry.h"

namespace
{

const char ROUTES[] =
    "{\"format\":1,\"services\":{\"katalogo\":{}},\"routes\":["
    "{\"name\":\"list\",\"prefix\":\"/katalogo/\",\"service\":\"katalogo\","
    "\"class\":\"lookup\"},"
    "{\"name\":\"open\",\"prefix\":\"/katalogo/open/\",\"service\":\"katalogo\","
    "\"class\":\"lookup\",\"key_exempt\":true}],\"workspaces\":";

class EntryWorkspace : public Entry
{
      protected:
	void
	use(const std::string &workspaces, uint64_t version = 5)
	{
		configure(ROUTES + workspaces + "}", version);
		add_local();
		run_until_idle();
	}
	// The attempt that a request leads to.
	const ReceivedMessage *
	passed_on(const std::string &path, const std::string &fields)
	{
		callers.push_back(send_request(get(path, fields)));
		return gate->find(MESSAGE_CALL_OPEN, attempt(path).stream);
	}
	void
	run(const char *id, const char *workspace, uint32_t rank, bool started)
	{
		message_t *message = message_create(MESSAGE_RUN, 0, 0);

		message->u.run.item.request = hash_string(id);
		message->u.run.item.rank = rank;
		strcpy(message->u.run.item.workspace, workspace);
		message->u.run.started = started;
		gate->post("entry", message);
		run_until_idle();
	}
	std::vector<std::unique_ptr<RawConnection>> callers;
};

TEST_F(EntryWorkspace, KeyIsReplacedByItsWorkspace)
{
	const ReceivedMessage *open;

	use(R"({"north":{"keys":["k1"],"priority":2},"south":{"keys":["k2"]}})");
	open = passed_on("/katalogo/1",
	    "Masticpitch-Key: k1\r\nMasticpitch-Workspace: south\r\nX-Own: 1\r\n");
	EXPECT_EQ(open->workspace, "north");
	EXPECT_EQ(open->rank, 2u * (PRESET_PRIORITY_MAX + 1));
	EXPECT_EQ(open->headers, "Host: h\nX-Own: 1\n");
	EXPECT_EQ(
	    passed_on("/katalogo/2", "Masticpitch-Key: k2\r\n")->workspace, "south");
	EXPECT_EQ(
	    passed_on("/katalogo/open/3", "Masticpitch-Workspace: north\r\n")->workspace,
	    "");
}

TEST_F(EntryWorkspace, RequestsWithoutAKeyInForceAreRefused)
{
	use(R"({"north":{"keys":["k1","k3"]},"south":{"keys":["k2"]}})");
	expect_refused(answer_to(get("/katalogo/1")), 401, "key-missing", "no");
	expect_refused(answer_to(get("/katalogo/1", "Masticpitch-Key: k9\r\n")), 401,
	    "key-unknown", "no");
	expect_refused(answer_to(get("/katalogo/1", "Masticpitch-Key: \r\n")), 401,
	    "key-unknown", "no");
	expect_refused(answer_to(get("/katalogo/1",
			   "Masticpitch-Key: k1\r\nMasticpitch-Key: k2\r\n")),
	    401, "key-missing", "no");
	/* A key that is taken away, one that moves, and one that is added. */
	use(R"({"north":{"keys":["k3","k4"]},"south":{"keys":["k1"]}})", 6);
	expect_refused(answer_to(get("/katalogo/1", "Masticpitch-Key: k2\r\n")), 401,
	    "key-unknown", "no");
	EXPECT_EQ(
	    passed_on("/katalogo/5", "Masticpitch-Key: k1\r\n")->workspace, "south");
	EXPECT_EQ(
	    passed_on("/katalogo/6", "Masticpitch-Key: k4\r\n")->workspace, "north");
}

// Guards against callers that pose as nested calls, and nested calls that are refused, or
// served as another workspace's.
TEST_F(EntryWorkspace, NestedCallsBelongToTheWorkspaceOfTheirRequest)
{
	const ReceivedMessage *open;

	use(R"({"north":{"keys":["k1"]}})");
	run("a1", "north", 1003, true);
	open = passed_on("/katalogo/1", "Masticpitch-Request-Id: a1.5\r\n");
	EXPECT_EQ(open->workspace, "north");
	EXPECT_EQ(open->rank, 1003u);
	open = passed_on(
	    "/katalogo/2", "Masticpitch-Request-Id: a1\r\nMasticpitch-Depth: 1\r\n");
	EXPECT_EQ(open->workspace, "north");
	expect_refused(answer_to(get("/katalogo/2", "Masticpitch-Depth: 3\r\n")), 503,
	    "caller-unknown", "no");
	run("a1", "", 0, false);
	expect_refused(answer_to(get("/katalogo/3", "Masticpitch-Request-Id: a1.6\r\n")),
	    503, "caller-unknown", "no");
}

// Guards against keys that work on a node that cannot learn that they were withdrawn,
// where the operator asks for that, and against refusals where the operator does not.
TEST_F(EntryWorkspace, KeysOfAnUnverifiedVersionAreRefusedIfAskedFor)
{
	const std::string key = "Masticpitch-Key: k1\r\n";
	message_t *message = message_create(MESSAGE_VERIFIED, 0, 0);

	use(R"({"north":{"keys":["k1"]}})");
	settings.bounds.revoke_ms = 60000;
	EXPECT_EQ(passed_on("/katalogo/1", key)->workspace, "north");
	settings.bounds.fail_closed = true;
	expect_refused(answer_to(get("/katalogo/2", key)), 503, "keys-outdated", "no");
	passed_on("/katalogo/open/3", key);
	message->u.verified_at = os_clock_monotonic();
	config->post("entry", message);
	run_until_idle();
	EXPECT_EQ(passed_on("/katalogo/4", key)->workspace, "north");
}

// A configuration without workspaces leaves the field to the backend servers.
TEST_F(EntryWorkspace, NoKeyIsNeededWithoutWorkspaces)
{
	use("{}");
	EXPECT_EQ(passed_on("/katalogo/1", "Masticpitch-Key: k1\r\n")->workspace, "");
}

} // namespace
