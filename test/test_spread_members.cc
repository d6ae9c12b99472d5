// Guards against members that no push reaches, members that receive a version twice, and
// nodes that are inner nodes of the push tree, and so send, for every version.
#include "spread_members.h"

#include <gtest/gtest.h>
#include <map>
#include <vector>

namespace
{

const size_t NODES = 60;
const unsigned FAN_OUT = 8;
const uint64_t VERSIONS = 400;

class Tree : public ::testing::Test
{
      protected:
	std::map<uint64_t, spread_members_t> views;

	void
	SetUp() override
	{
		for (uint64_t self = 1; self <= NODES; self++) {
			spread_members_init(&views[self], self, 0, "z", FAN_OUT);
			for (uint64_t node = 1; node <= NODES; node++)
				add(&views[self], node);
		}
	}
	void
	TearDown() override
	{
		for (auto &view : views)
			spread_members_free(&view.second);
	}
	static void
	add(spread_members_t *members, uint64_t node)
	{
		member_t member = {};

		if (node == members->self)
			return;
		member.node = node;
		strcpy(member.zone, "z");
		member.state = MEMBER_ALIVE;
		member.reachable = true;
		spread_members_update(members, &member);
	}
};

TEST_F(Tree, VersionReachesEachMemberOnceAndLoadIsDistributed)
{
	std::map<uint64_t, size_t> sent;
	uint64_t relay = 0;

	for (auto &view : views) {
		if (spread_members_is_relay(&view.second))
			relay = view.first;
	}
	ASSERT_NE(relay, 0u);
	for (uint64_t version = 1; version <= VERSIONS; version++) {
		std::map<uint64_t, int> received = {{relay, 1}};
		std::vector<uint64_t> reached = {relay};

		for (size_t i = 0; i < reached.size(); i++) {
			uint64_t targets[64];
			size_t count = spread_members_push_targets(
			    &views[reached[i]], version, false, false, targets, 64);

			sent[reached[i]] += count;
			for (size_t j = 0; j < count; j++) {
				received[targets[j]]++;
				reached.push_back(targets[j]);
			}
			ASSERT_LE(reached.size(), NODES);
		}
		ASSERT_EQ(received.size(), NODES) << "version " << version;
	}
	for (auto &item : sent) {
		if (item.first == relay)
			continue;
		EXPECT_LT(item.second, 2 * VERSIONS) << "node " << item.first;
	}
}

// A large document changes several times a second, and few hosts have fast links. Guards
// against a relay whose link is saturated by the downloads of the document.
TEST(SpreadMembers, HostWithFastestLinkIsRelay)
{
	spread_members_t slow, fast;

	spread_members_init(&slow, 1, 5, "z", FAN_OUT);
	spread_members_init(&fast, 40, 100, "z", FAN_OUT);
	for (uint64_t node = 1; node <= NODES; node++) {
		member_t member = {};

		member.node = node;
		strcpy(member.zone, "z");
		member.state = MEMBER_ALIVE;
		member.reachable = true;
		member.link_mbps = node == 40 ? 100 : 5;
		if (node != 1)
			spread_members_update(&slow, &member);
		if (node != 40)
			spread_members_update(&fast, &member);
	}
	EXPECT_TRUE(spread_members_is_relay(&fast));
	EXPECT_FALSE(spread_members_is_relay(&slow));
	EXPECT_EQ(spread_members_relay_of(&slow, "z"), 40u);
	spread_members_remove(&slow, 40);
	EXPECT_NE(spread_members_relay_of(&slow, "z"), 40u);
	spread_members_free(&slow);
	spread_members_free(&fast);
}

} // namespace
