// Tests idempotency tickets: no ticket runs twice for any sequence of uses, forged or
// altered tickets are refused, and the table is bounded and keeps live tickets.
#include "ticket.h"

#include "util.h"

#include <gtest/gtest.h>
#include <map>
#include <string>
#include <vector>

namespace
{

const uint64_t NODE = 0x1111, BOOT = 0x2222;

mesh_key_t
make_key(uint8_t id, uint8_t fill)
{
	mesh_key_t key;

	key.id = id;
	memset(key.secret, fill, sizeof(key.secret));
	return key;
}

class Ticket : public testing::Test
{
      protected:
	std::vector<mesh_key_t> keys = {make_key(1, 0xaa), make_key(2, 0xbb)};
	ticket_table_t *table = nullptr;
	ticket_t ticket = {};
	rng_t rng;
	uint64_t now = NS_PER_S;

	void
	create(size_t capacity)
	{
		ticket_table_destroy(table);
		ASSERT_EQ(ticket_table_create(NODE, BOOT, capacity, &table), 0);
	}

	void
	SetUp() override
	{
		rng_init(&rng, 9);
		create(100);
	}

	void
	TearDown() override
	{
		ticket_table_destroy(table);
	}

	std::string
	issue(const char *service = "pamigay", uint64_t node = NODE, uint64_t boot = BOOT)
	{
		char text[TICKET_BYTES];

		ticket_issue(&ticket, service, node, boot, &rng, now);
		ticket_format(&ticket, &keys[0], text);
		return text;
	}

	ticket_decision_t
	redeem(const std::string &text, uint64_t fingerprint = 5)
	{
		return ticket_redeem(table, text.c_str(), keys.data(), keys.size(),
		    "pamigay", fingerprint, now, &ticket);
	}

	void
	expect_refused(const std::string &text, reason_t reason, run_state_t run,
	    uint64_t fingerprint = 5)
	{
		ticket_decision_t decision = redeem(text, fingerprint);

		EXPECT_EQ(decision.action, TICKET_REFUSE);
		EXPECT_STREQ(reason_text(decision.reason), reason_text(reason));
		EXPECT_EQ(decision.run, run);
	}
};

// Guards against a ticket that loses a field in formatting or parsing, or exceeds
// TICKET_BYTES.
TEST_F(Ticket, TextRoundTrips)
{
	std::string longest(NAME_BYTES - 1, 's');

	for (std::string service : {std::string("a"), std::string("a-b.c"), longest}) {
		std::string text = issue(service.c_str());
		ticket_t read;

		ASSERT_LT(text.size(), (size_t)TICKET_BYTES);
		ASSERT_EQ(ticket_parse(text.c_str(), keys.data(), keys.size(), &read), 0);
		EXPECT_EQ(memcmp(&read, &ticket, sizeof(read)), 0);
		// Signed with keys[0], verified after that key has moved to keys[1].
		std::swap(keys[0], keys[1]);
		EXPECT_EQ(ticket_parse(text.c_str(), keys.data(), keys.size(), &read), 0);
		EXPECT_EQ(ticket_parse(text.c_str(), keys.data(), 1, &read),
		    MASTICPITCH_E_DENIED);
		std::swap(keys[0], keys[1]);
	}
}

// Guards against accepting a ticket with an altered byte, truncated or extended, and
// against reads outside of the text.
TEST_F(Ticket, AlteredTicketsAreRefusedAsNotRun)
{
	std::string text = issue();

	for (size_t i = 0; i < text.size(); i++) {
		for (char c : {'0', 'f', '.', 'x', '\x7f'}) {
			std::string altered = text;

			altered[i] = c;
			if (altered != text)
				expect_refused(altered, REASON_TICKET_REQUIRED, RUN_NO);
		}
		expect_refused(text.substr(0, i), REASON_TICKET_REQUIRED, RUN_NO);
	}
	expect_refused(text + "0", REASON_TICKET_REQUIRED, RUN_NO);
	expect_refused(std::string(5000, 'a'), REASON_TICKET_REQUIRED, RUN_NO);
	expect_refused("order-4711", REASON_TICKET_REQUIRED, RUN_NO);
	EXPECT_EQ(ticket_table_count(table), 0u);
	EXPECT_EQ(redeem(text).action, TICKET_RUN);
}

// Guards against a retry that runs again or gets a different answer.
TEST_F(Ticket, ARepeatGetsTheOutcome)
{
	std::string text = issue();

	ASSERT_EQ(redeem(text).action, TICKET_RUN);
	expect_refused(text, REASON_TICKET_RUNNING, RUN_UNKNOWN);
	ticket_finish(table, &ticket, 201, "application/json", "{\"ok\":1}", 8);
	for (int i = 0; i < 3; i++) {
		ticket_decision_t decision = redeem(text);

		ASSERT_EQ(decision.action, TICKET_REPLAY);
		EXPECT_EQ(decision.outcome.status, 201);
		EXPECT_STREQ(decision.outcome.content_type, "application/json");
		EXPECT_EQ(std::string(
			      (const char *)decision.outcome.body, decision.outcome.size),
		    "{\"ok\":1}");
	}
	// A late report of another end does not change the outcome.
	ticket_finish_unknown(table, &ticket);
	ticket_release(table, &ticket);
	EXPECT_EQ(redeem(text).action, TICKET_REPLAY);
}

// Guards against a second run after the exchange failed.
TEST_F(Ticket, AnUnknownOutcomeStaysUnknown)
{
	std::string text = issue();

	ASSERT_EQ(redeem(text).action, TICKET_RUN);
	ticket_finish_unknown(table, &ticket);
	expect_refused(text, REASON_TICKET_UNKNOWN, RUN_UNKNOWN);
	ticket_finish(table, &ticket, 200, NULL, "", 0);
	expect_refused(text, REASON_TICKET_UNKNOWN, RUN_UNKNOWN);
}

// Guards against tickets of calls shed from the queue that can never be used again.
TEST_F(Ticket, AReleasedTicketMayRun)
{
	std::string text = issue();

	ASSERT_EQ(redeem(text).action, TICKET_RUN);
	ticket_release(table, &ticket);
	EXPECT_EQ(redeem(text).action, TICKET_RUN);
	expect_refused(text, REASON_TICKET_RUNNING, RUN_UNKNOWN);
}

// Guards against replaying an answer that is truncated to the size limit of the table.
TEST_F(Ticket, ALargeAnswerIsNotReplayedInPart)
{
	std::string text = issue();
	std::string body(TICKET_BODY_MAX_BYTES + 1, 'x');

	ASSERT_EQ(redeem(text).action, TICKET_RUN);
	ticket_finish(table, &ticket, 200, NULL, body.data(), body.size());
	expect_refused(text, REASON_TICKET_NOT_KEPT, RUN_YES);
	text = issue();
	ASSERT_EQ(redeem(text).action, TICKET_RUN);
	ticket_finish(table, &ticket, 200, NULL, body.data(), TICKET_BODY_MAX_BYTES);
	EXPECT_EQ(redeem(text).outcome.size, (size_t)TICKET_BODY_MAX_BYTES);
}

// Guards against running a ticket of another gate or an earlier boot, which may
// already have run it.
TEST_F(Ticket, ATicketOfAnotherGateOrBootIsNeverRun)
{
	expect_refused(issue("pamigay", NODE + 1, BOOT), REASON_TICKET_LOST, RUN_UNKNOWN);
	expect_refused(issue("pamigay", NODE, BOOT + 1), REASON_TICKET_LOST, RUN_UNKNOWN);
	expect_refused(issue("katalogo"), REASON_TICKET_MISMATCH, RUN_NO);
}

// Guards against answering a request with the outcome of another one with the same
// ticket.
TEST_F(Ticket, AnotherRequestWithTheSameTicketIsRefusedAsNotRun)
{
	std::string text = issue();

	ASSERT_EQ(redeem(text, 5).action, TICKET_RUN);
	expect_refused(text, REASON_TICKET_MISMATCH, RUN_NO, 6);
	ticket_finish(table, &ticket, 200, NULL, "a", 1);
	expect_refused(text, REASON_TICKET_MISMATCH, RUN_NO, 6);
}

// Guards against a second run of an expired ticket after the table has dropped its
// row.
TEST_F(Ticket, AnExpiredTicketIsNeverRun)
{
	std::string first = issue(), second = issue();

	ASSERT_EQ(redeem(first).action, TICKET_RUN);
	ticket_finish(table, &ticket, 200, NULL, "a", 1);
	now += TICKET_LIFETIME_MS * NS_PER_MS - 1;
	EXPECT_EQ(redeem(first).action, TICKET_REPLAY);
	now++;
	expect_refused(first, REASON_TICKET_EXPIRED, RUN_UNKNOWN);
	expect_refused(second, REASON_TICKET_EXPIRED, RUN_UNKNOWN);
	EXPECT_EQ(ticket_table_count(table), 0u);
}

// Guards against a full table that drops a live ticket, or never frees rows.
TEST_F(Ticket, AFullTableRefusesAsNotRunUntilTicketsExpire)
{
	std::vector<std::string> texts;

	for (int i = 0; i < 100; i++) {
		texts.push_back(issue());
		ASSERT_EQ(redeem(texts.back()).action, TICKET_RUN);
		if (i > 0)
			ticket_finish(table, &ticket, 200, NULL, "a", 1);
	}
	expect_refused(issue(), REASON_TICKET_TABLE_FULL, RUN_NO);
	EXPECT_EQ(redeem(texts[1]).action, TICKET_REPLAY);
	now += TICKET_LIFETIME_MS * NS_PER_MS;
	EXPECT_EQ(redeem(issue()).action, TICKET_RUN);
	// The one that is still running, and the new one.
	EXPECT_EQ(ticket_table_count(table), 2u);
}

// Guards against stored bodies without a bound on their total size.
TEST_F(Ticket, KeptBodiesAreBounded)
{
	std::string body(TICKET_BODY_MAX_BYTES, 'x');
	const size_t fitting = TICKET_BODIES_MAX_BYTES / TICKET_BODY_MAX_BYTES;
	size_t kept = 0;

	create(fitting + 50);
	for (size_t i = 0; i < fitting + 50; i++) {
		std::string text = issue();

		ASSERT_EQ(redeem(text).action, TICKET_RUN);
		ticket_finish(table, &ticket, 200, NULL, body.data(), body.size());
		kept += redeem(text).action == TICKET_REPLAY;
	}
	EXPECT_EQ(kept, fitting);
	EXPECT_EQ(
	    ticket_table_create(1, 1, TICKET_TABLE_MAX + 1, &table), MASTICPITCH_E_LIMIT);
}

// Guards against a second run of a ticket, over random sequences of uses, ends and
// expiries.
TEST_F(Ticket, NoSequenceRunsATicketTwice)
{
	for (int seed = 0; seed < 200; seed++) {
		std::vector<std::string> texts;
		std::map<std::string, int> runs;
		std::map<std::string, ticket_t> running;

		rng_init(&rng, 1000 + seed);
		create(20);
		for (int step = 0; step < 500; step++) {
			now += rng_below(&rng, 60 * NS_PER_S);
			if (texts.empty() || rng_below(&rng, 4) == 0)
				texts.push_back(issue());
			std::string text = texts[rng_below(&rng, texts.size())];
			if (redeem(text).action == TICKET_RUN) {
				ASSERT_EQ(++runs[text], 1);
				running[text] = ticket;
			}
			if (running.empty() || rng_below(&rng, 2) == 0)
				continue;
			auto ending = running.begin();
			switch (rng_below(&rng, 3)) {
			case 0:
				ticket_finish(table, &ending->second, 200, NULL, "a", 1);
				break;
			case 1:
				ticket_finish_unknown(table, &ending->second);
				break;
			default:
				ticket_release(table, &ending->second);
				runs[ending->first] = 0; // known not to have run
				break;
			}
			running.erase(ending);
		}
	}
}

} // namespace
