// Guards the quota service against asks that do not reach the owner, nodes that lend what
// they do not own, and messages without any quota in the configuration.
#include "common_request.h"
#include "quota.h"

#include "quota_table.h"

namespace
{

const char QUOTAS[] = "{\"format\":1,\"services\":{\"katalogo\":{}},\"routes\":["
		      "{\"name\":\"list\",\"prefix\":\"/katalogo/\",\"service\":"
		      "\"katalogo\",\"class\":\"lookup\"}],\"workspaces\":{"
		      "\"north\":{\"keys\":[\"k1\"],\"rate_per_s\":5,\"burst\":5},"
		      "\"south\":{\"keys\":[\"k2\"]}}}";
const uint64_t OTHER = 77;

class QuotaService : public RequestTest
{
      protected:
	quota_t *quota = nullptr;
	std::unique_ptr<FakeService> entry, membership;

	void
	SetUp() override
	{
		RequestTest::SetUp();
		entry = std::make_unique<FakeService>(kernel, "entry");
		membership = std::make_unique<FakeService>(kernel, "membership");
		ASSERT_EQ(quota_create(kernel, &settings, &quota), 0);
		member(self(), MEMBER_ALIVE);
	}
	void
	TearDown() override
	{
		quota_destroy(quota);
		entry.reset();
		membership.reset();
		RequestTest::TearDown();
	}
	uint64_t
	self() const
	{
		return address_to_node_id(&settings.peers);
	}
	// A member that has run for ten seconds.
	void
	member(uint64_t node, member_state_t state)
	{
		message_t *message = message_create(MESSAGE_MEMBER, node, 0);

		message->u.member.node = node;
		message->u.member.state = state;
		message->u.member.reachable = true;
		message->u.member.incarnation = os_clock_wall_ms() - 10000;
		membership->post("quota", message);
	}
	void
	configure(const std::string &text = QUOTAS)
	{
		message_t *message = message_create(MESSAGE_SNAPSHOT, 0, 0);
		char error[MASTICPITCH_MESSAGE_MAX];
		preset_t *preset = nullptr;

		ASSERT_EQ(
		    preset_parse(text.data(), text.size(), &preset, error, sizeof(error)),
		    0)
		    << error;
		message->u.snapshot = snapshot_create(5, "normal", preset);
		entry->post("quota", message);
		run_until_idle();
	}
	void
	ask(FakeService *from, uint64_t node, uint32_t tokens, const char *name = "north")
	{
		message_t *message = message_create(MESSAGE_QUOTA_ASK, node, 0);

		message->u.quota.workspace = hash_string(name);
		message->u.quota.tokens = tokens;
		from->post("quota", message);
		run_until_idle();
	}
	// Adds members until another one than this node owns the quota; returns it.
	uint64_t
	other_owner()
	{
		quota_rank_t *rank = quota_rank_create(self(), 0);
		member_t record = {};
		uint64_t node = OTHER;

		record.reachable = true;
		record.node = self();
		quota_rank_member(rank, &record, 0, 1000000);
		for (record.node = node;; record.node = ++node) {
			quota_rank_member(rank, &record, 0, 1000000);
			member(node, MEMBER_ALIVE);
			if (quota_rank_owner(rank, hash_string("north")) == node)
				break;
		}
		quota_rank_destroy(rank);
		run_until_idle();
		return node;
	}
	std::string
	query(const char *name)
	{
		message_t *message = message_create(MESSAGE_QUERY, 0, 42);

		message->u.query.kind = QUERY_QUOTA;
		strcpy(message->u.query.path, name);
		entry->post("quota", message);
		run_until_idle();
		return entry->find(MESSAGE_REPORT, 42)->data;
	}
};

TEST_F(QuotaService, LendsWhatItOwns)
{
	configure();
	ask(entry.get(), 0, 2);
	ASSERT_EQ(entry->count(MESSAGE_QUOTA_GRANT), 1u);
	EXPECT_EQ(entry->messages.back().quota.tokens, 2u);
	ask(membership.get(), OTHER, 1);
	ASSERT_EQ(membership->count(MESSAGE_QUOTA_GRANT), 1u);
	EXPECT_EQ(membership->messages.back().node, OTHER);
	EXPECT_NE(query("north").find("\"owned_here\":true"), std::string::npos);
}

TEST_F(QuotaService, AsksTheOwner)
{
	uint64_t owner;

	configure();
	owner = other_owner();
	ask(entry.get(), 0, 3);
	ASSERT_EQ(membership->count(MESSAGE_QUOTA_ASK), 1u);
	EXPECT_EQ(membership->messages.back().node, owner);
	EXPECT_EQ(membership->messages.back().quota.tokens, 3u);
	/* An ask of a node that takes this one for the owner is not passed on. */
	ask(membership.get(), OTHER, 1);
	ASSERT_EQ(membership->count(MESSAGE_QUOTA_GRANT), 1u);
	EXPECT_EQ(membership->messages.back().quota.tokens, 0u);
	EXPECT_EQ(membership->messages.back().quota.retry_ms, 0u);
	EXPECT_EQ(membership->count(MESSAGE_QUOTA_ASK), 1u);
	EXPECT_NE(query("north").find("\"owned_here\":false"), std::string::npos);
	/* Once the owner has left, this node is. */
	for (uint64_t node = OTHER; node <= owner; node++)
		member(node, MEMBER_LEAVING);
	run_until_idle();
	ask(entry.get(), 0, 1);
	EXPECT_EQ(entry->messages.back().type, MESSAGE_QUOTA_GRANT);
	EXPECT_EQ(entry->messages.back().quota.tokens, 1u);
}

TEST_F(QuotaService, LeavingNodeLendsNothing)
{
	configure();
	entry->post("quota", message_create(MESSAGE_LEAVE, 0, 0));
	ask(membership.get(), OTHER, 1);
	ASSERT_EQ(membership->count(MESSAGE_QUOTA_GRANT), 1u);
	EXPECT_EQ(membership->messages.back().quota.tokens, 0u);
}

TEST_F(QuotaService, NothingIsSentWithoutQuotas)
{
	configure("{\"format\":1,\"services\":{\"katalogo\":{}},\"routes\":["
		  "{\"name\":\"list\",\"prefix\":\"/katalogo/\",\"service\":"
		  "\"katalogo\",\"class\":\"lookup\"}]}");
	member(OTHER, MEMBER_ALIVE);
	member(OTHER, MEMBER_DOWN);
	run_until_idle();
	EXPECT_EQ(entry->messages.size(), 0u);
	EXPECT_EQ(membership->messages.size(), 0u);
	EXPECT_NE(query("north").find("error"), std::string::npos);
}

TEST_F(QuotaService, ChangedQuotaHoldsAtOnce)
{
	std::string lower = QUOTAS;

	configure();
	ask(entry.get(), 0, 1);
	EXPECT_EQ(entry->messages.back().quota.tokens, 1u);
	lower.replace(lower.find("\"rate_per_s\":5"), 14, "\"rate_per_s\":0");
	configure(lower);
	ask(entry.get(), 0, 1);
	EXPECT_EQ(entry->messages.back().quota.tokens, 0u);
	EXPECT_NE(query("north").find("error"), std::string::npos);
}

} // namespace
