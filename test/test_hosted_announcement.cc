// Guards the heartbeats of backend servers on the hosted platform against a delayed one
// that replaces the state of a newer start, a malformed one of another program that is
// accepted, and a leaving instance that becomes ready again.
#include "platform/hosted.h"

#include <gtest/gtest.h>
#include <string>

namespace
{

std::string
heartbeat(const std::string &state, int seq, const std::string &born)
{
	return R"({"address":"10.0.0.9:8080","info":{"service":"s1","version":"v1",)"
	       R"("zone":"z","slots":9},"status":{"state":")" +
	       state + R"(","seq":)" + std::to_string(seq) +
	       R"(,"coldLeftMs":5},"born":)" + born + "}";
}

const char *
read(const std::string &path, const std::string &body, gate_backend_t *backend,
    announcement_kind_t *kind)
{
	*backend = {};
	return hosted_announcement_read(
	    path.c_str(), body.c_str(), body.size(), backend, kind);
}

const std::string BEAT = "/-/Instances.Heartbeat/";
const std::string LEAVE = "/-/Instances.Deregister/";

TEST(HostedAnnouncement, HeartbeatsAreRead)
{
	gate_backend_t backend;
	announcement_kind_t kind;

	ASSERT_EQ(
	    read(BEAT + "i-1", heartbeat("ready", 4, "1700000000000"), &backend, &kind),
	    nullptr);
	EXPECT_EQ(kind, ANNOUNCEMENT_STATE);
	EXPECT_STREQ(backend.instance, "i-1");
	EXPECT_STREQ(backend.service, "s1");
	EXPECT_EQ(backend.state, INSTANCE_READY);
	EXPECT_EQ(backend.slots, 9u);
	EXPECT_EQ(backend.sequence, 4u);
	EXPECT_EQ(backend.cold_ms, 5u);
	EXPECT_EQ(backend.started_ms, 1700000000000u);
	ASSERT_EQ(
	    read(BEAT + "i-1", heartbeat("draining", 5, "1"), &backend, &kind), nullptr);
	EXPECT_EQ(backend.state, INSTANCE_LEAVING);
	ASSERT_EQ(read(LEAVE + "i-1", R"({"born":7})", &backend, &kind), nullptr);
	EXPECT_EQ(kind, ANNOUNCEMENT_LEAVE);
	EXPECT_EQ(backend.started_ms, 7u);
	EXPECT_EQ(read(LEAVE + "i-1", "", &backend, &kind), nullptr);
}

// Guards: a malformed entry, written by another program, is used as an instance.
TEST(HostedAnnouncement, MalformedHeartbeatsAreRefused)
{
	gate_backend_t backend;
	announcement_kind_t kind;
	const std::string good = heartbeat("ready", 4, "17");

	for (const char *const *change :
	    (const char *const[][2]){{"\"ready\"", "\"asleep\""}, {"\"ready\"", "1"},
		{"\"seq\":4", "\"seq\":\"4\""}, {"\"slots\":9", "\"slots\":0"},
		{"\"born\":17", "\"born\":1.5"}, {"\"born\":17", "\"age\":17"},
		{"10.0.0.9:8080", "10.0.0.9"}, {"\"info\"", "\"inf\""},
		{",\"born\":17}", ",\"born\":17"}, {"\"s1\"", "\"s 1\""},
		{"\"version\":\"v1\",", ""}, {"\"v1\"", "1"}, {"\"z\"", "4"},
		{"\"zone\"", "\"place\""}}) {
		std::string body = good;
		std::string from = change[0];

		body.replace(body.find(from), from.size(), change[1]);
		EXPECT_NE(read(BEAT + "i-1", body, &backend, &kind), nullptr) << body;
	}
	EXPECT_NE(read(BEAT + "", good, &backend, &kind), nullptr);
	EXPECT_NE(read(BEAT + "a/b", good, &backend, &kind), nullptr);
	EXPECT_NE(read("/other", good, &backend, &kind), nullptr);
	EXPECT_EQ(kind, ANNOUNCEMENT_NONE);
}

gate_backend_t
backend(const char *instance, uint64_t started, uint64_t sequence)
{
	gate_backend_t result = {};

	result.live = true;
	snprintf(result.instance, sizeof(result.instance), "%s", instance);
	snprintf(result.boot, sizeof(result.boot), "%llu", (unsigned long long)started);
	result.started_ms = started;
	result.sequence = sequence;
	return result;
}

// Guards: a heartbeat delayed by a partition replaces the state of a newer start.
TEST(Announcement, HeartbeatOfAnEarlierStartIsStale)
{
	gate_backend_t known = backend("i-2", 200, 3);
	gate_backend_t same = backend("i-2", 200, 4);
	gate_backend_t late = backend("i-2", 200, 3);
	gate_backend_t earlier = backend("i-1", 100, 99);
	gate_backend_t earlier_same_id = backend("i-2", 100, 99);
	gate_backend_t next = backend("i-3", 300, 1);
	gate_backend_t restarted = backend("i-2", 300, 1);
	gate_backend_t none = {};

	EXPECT_EQ(announcement_classify(&known, &same), ANNOUNCEMENT_SAME);
	EXPECT_EQ(announcement_classify(&known, &late), ANNOUNCEMENT_STALE);
	EXPECT_EQ(announcement_classify(&known, &earlier), ANNOUNCEMENT_STALE);
	EXPECT_EQ(announcement_classify(&known, &earlier_same_id), ANNOUNCEMENT_STALE);
	EXPECT_EQ(announcement_classify(&known, &next), ANNOUNCEMENT_RESTARTED);
	EXPECT_EQ(announcement_classify(&known, &restarted), ANNOUNCEMENT_RESTARTED);
	EXPECT_EQ(announcement_classify(&none, &known), ANNOUNCEMENT_SAME);
	known.live = false;
	EXPECT_EQ(announcement_classify(&known, &earlier), ANNOUNCEMENT_STALE);
}

} // namespace
