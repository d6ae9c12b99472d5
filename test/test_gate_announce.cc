// Guards the gate against announcements that arrive late, after the backend server has
// left or after the node was restarted.
#include "common_gate.h"

namespace
{

const uint64_t STARTED_MS = 1700000000000;

// A gate whose backend server speaks the hosted platform's dialect.
class HostedAnnouncements : public Gate
{
      protected:
	dialect_t
	dialect() const override
	{
		return DIALECT_HOSTED;
	}
	std::string
	heartbeat_text(
	    const std::string &state, uint64_t sequence, uint64_t started) const
	{
		char address[ADDRESS_TEXT_BYTES];

		address_format(&server_address, address);
		return "{\"born\":" + std::to_string(started) + ",\"address\":\"" +
		       address +
		       "\",\"info\":{\"service\":\"katalogo\",\"version\":\"v1\","
		       "\"zone\":\"cebu-a\",\"slots\":2},\"status\":{\"state\":\"" +
		       state + "\",\"seq\":" + std::to_string(sequence) +
		       ",\"coldLeftMs\":0}}";
	}
	int
	heartbeat(
	    const std::string &state, uint64_t sequence, uint64_t started = STARTED_MS)
	{
		return announce_text(heartbeat_text(state, sequence, started),
		    "/-/Instances.Heartbeat/i-1");
	}
	int
	deregister(uint64_t started = STARTED_MS)
	{
		return announce_text("{\"born\":" + std::to_string(started) + "}",
		    "/-/Instances.Deregister/i-1");
	}
	// What the gate posted last of its backend server.
	const instance_t &
	posted()
	{
		run_until_idle();
		return membership->messages.back().instance;
	}
	// Other nodes remember that a backend server has left.
	void
	departure(uint64_t departed_ms)
	{
		message_t *message = message_create(MESSAGE_DEPARTURE, 0, 0);

		message->u.departed_ms = departed_ms;
		membership->post("gate", message);
		run_until_idle();
	}
};

// DRAIN: the departure must reach other nodes, which outlive a restart of this one.
TEST_F(HostedAnnouncements, DepartureIsPosted)
{
	ASSERT_EQ(heartbeat("ready", 1), 200);
	EXPECT_EQ(posted().started_ms, STARTED_MS);
	EXPECT_EQ(posted().departed_ms, 0u);
	ASSERT_EQ(deregister(), 200);
	EXPECT_EQ(posted().state, INSTANCE_LEAVING);
	EXPECT_EQ(posted().departed_ms, STARTED_MS);
	// The next process of the backend server is used.
	ASSERT_EQ(heartbeat("ready", 1, STARTED_MS + 1), 200);
	EXPECT_EQ(posted().state, INSTANCE_READY);
	EXPECT_EQ(posted().departed_ms, STARTED_MS);
	ASSERT_EQ(heartbeat("draining", 2, STARTED_MS + 1), 200);
	EXPECT_EQ(posted().state, INSTANCE_LEAVING);
	EXPECT_EQ(posted().departed_ms, STARTED_MS + 1);
}

// DRAIN: the same where the first thing that a restarted node hears is the departure.
TEST_F(HostedAnnouncements, DepartureOfAnUnknownServerIsPosted)
{
	ASSERT_EQ(deregister(), 200);
	EXPECT_EQ(posted().departed_ms, STARTED_MS);
	ASSERT_EQ(heartbeat("ready", 7), 200);
	EXPECT_EQ(posted().state, INSTANCE_LEAVING);
	entry->post("gate", call(0, 1, "GET", "/k/x"));
	expect_refusal(*entry, MESSAGE_REFUSAL, 1, REASON_LEAVING, RUN_NO);
}

// DRAIN: a node that was restarted takes a late announcement of a server that has left
// for that of a live one.
TEST_F(HostedAnnouncements, LateAnnouncementOfADepartedServerDoesNotReviveIt)
{
	departure(STARTED_MS);
	ASSERT_EQ(heartbeat("ready", 7), 200);
	EXPECT_EQ(posted().state, INSTANCE_LEAVING);
	entry->post("gate", call(0, 1, "GET", "/k/x"));
	expect_refusal(*entry, MESSAGE_REFUSAL, 1, REASON_LEAVING, RUN_NO);
	ASSERT_EQ(heartbeat("ready", 8, STARTED_MS - 1), 200);
	EXPECT_EQ(posted().state, INSTANCE_LEAVING);
}

// DRAIN: the same where the announcement arrives before other nodes are heard.
TEST_F(HostedAnnouncements, DepartureThatIsHeardLaterEndsTheUseOfTheServer)
{
	ASSERT_EQ(heartbeat("ready", 7), 200);
	EXPECT_EQ(posted().state, INSTANCE_READY);
	departure(STARTED_MS - 1);
	EXPECT_EQ(posted().state, INSTANCE_READY);
	departure(STARTED_MS);
	EXPECT_EQ(posted().state, INSTANCE_LEAVING);
	ASSERT_EQ(heartbeat("ready", 8), 200);
	EXPECT_EQ(posted().state, INSTANCE_LEAVING);
}

// An odd announcement that another program has sent must neither end the node nor make
// those of the backend server count as late.
TEST_F(HostedAnnouncements, OddAnnouncementsOfOtherProgramsAreRefused)
{
	const uint64_t future = os_clock_wall_ms() + 365 * 24 * 3600 * UINT64_C(1000);
	const std::string good = heartbeat_text("ready", 2, STARTED_MS);
	const std::string start = std::to_string(STARTED_MS);
	const std::string deep = std::string(900, '[') + std::string(900, ']');
	const std::string changes[][2] = {
	    {"\"seq\":2", "\"seq\":9223372036854775807"},
	    {"\"seq\":2", "\"seq\":99999999999999999999999"},
	    {"\"seq\":2", "\"seq\":1e400"},
	    {"\"seq\":2", "\"seq\":" + std::string(900, '9')},
	    {"\"seq\":2", "\"seq\":" + std::string(900, '[')},
	    {"\"seq\":2", "\"seq\":2,\"more\":" + deep},
	    {start, std::to_string(future)},
	    {start, "99999999999999"},
	    {"\"slots\":2", "\"slots\":4294967298"},
	    {":8090", ":70000"},
	    {":8090", ":0"},
	    {":8090", ":99999999999999999999999"},
	};

	ASSERT_EQ(heartbeat("ready", 1), 200);
	for (const auto &change : changes) {
		std::string text = good;

		text.replace(text.find(change[0]), change[0].size(), change[1]);
		EXPECT_EQ(announce_text(text, "/-/Instances.Heartbeat/i-1"), 400) << text;
	}
	EXPECT_EQ(deregister(future), 400);
	ASSERT_EQ(heartbeat("draining", 3), 200);
	EXPECT_EQ(posted().state, INSTANCE_LEAVING);
	EXPECT_EQ(posted().departed_ms, STARTED_MS);
}

// A planned stop of the node does not end the use of its server after the restart.
TEST_F(HostedAnnouncements, PlannedStopOfTheNodeIsNoDeparture)
{
	ASSERT_EQ(heartbeat("ready", 1), 200);
	entry->post("gate", message_create(MESSAGE_LEAVE, 0, 0));
	EXPECT_EQ(posted().state, INSTANCE_LEAVING);
	EXPECT_EQ(posted().departed_ms, 0u);
}

} // namespace
