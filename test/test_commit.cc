// Guards against a commit that is reported as lost although it took effect, or as
// committed although it did not, a commit that takes effect twice, and a head that
// names a part which another committer removed.
#include "commit.h"
#include "fake_platform.h"
#include "os.h"

#include <functional>
#include <gtest/gtest.h>
#include <list>
#include <memory>
#include <set>

static const uint64_t DEADLINE = 20 * NS_PER_S;

static std::string
make_preset(uint64_t value)
{
	return "{\"format\":1,\"services\":{\"a\":{\"queue_limit\":" +
	       std::to_string(value % 1000) + "},\"b\":{}},\"routes\":[]}";
}

static void
parse_head(
    const FakePlatform &platform, std::unique_ptr<record_head_t, void (*)(void *)> *head)
{
	record_head_t *parsed = NULL;
	char message[MASTICPITCH_MESSAGE_MAX] = "";
	auto item = platform.keys.find("head");

	ASSERT_NE(item, platform.keys.end());
	ASSERT_EQ(record_head_parse(item->second.value.data(), item->second.value.size(),
		      &parsed, message, sizeof(message)),
	    0)
	    << message;
	head->reset(parsed);
}

struct Operator {
	commit_machine_t *machine = NULL;
	commit_request_t request = {};
	std::string text, name;
	bool finished = false;
	bool waiting = false;
	uint64_t until = 0;
	commit_action_t action = {};

	Operator(commit_kind_t kind, const std::string &who, uint64_t id)
	{
		char operation[40];

		text = make_preset(id);
		name = who;
		snprintf(operation, sizeof(operation), "%032llx", (unsigned long long)id);
		request.kind = kind;
		request.preset = "normal";
		request.text = text.data();
		request.size = text.size();
		request.operator_name = name.c_str();
		strcpy(request.operation, operation);
		request.deadline = DEADLINE;
	}
	Operator(const Operator &) = delete;
	~Operator()
	{
		commit_machine_destroy(machine);
	}
	void
	start(uint64_t now)
	{
		ASSERT_EQ(commit_machine_create(&request, 1, 5, now, &machine), 0);
		step(NULL, now);
	}
	void
	step(const platform_answer_t *answer, uint64_t now)
	{
		waiting = false;
		action = commit_machine_step(machine, answer, now);
		finished = action.kind == COMMIT_ACTION_FINISH;
		if (action.kind == COMMIT_ACTION_WAIT) {
			waiting = true;
			until = action.until;
		}
	}
	const commit_result_t &
	result() const
	{
		return *commit_machine_result(machine);
	}
	// Returns the current call as a function, so that it can take effect later.
	std::function<FakePlatform::Answer(FakePlatform *)>
	call() const
	{
		std::string key = action.key;
		std::string value;
		uint64_t expect = action.expect;

		switch (action.kind) {
		case COMMIT_ACTION_GET:
			return
			    [key](FakePlatform *platform) { return platform->get(key); };
		case COMMIT_ACTION_LIST:
			return
			    [key](FakePlatform *platform) { return platform->list(key); };
		case COMMIT_ACTION_DELETE:
			return [key, expect](FakePlatform *platform) {
				return platform->remove(key, expect);
			};
		default:
			value.assign(action.put.value, action.put.size);
			expect = action.put.expect;
			return [key, value, expect](FakePlatform *platform) {
				return platform->put(key, value, expect, 0);
			};
		}
	}
	void
	perform(FakePlatform *platform, uint64_t now)
	{
		FakePlatform::Answer answer = call()(platform);

		step(fake_answer_set_pointers(&answer), now);
	}
	int
	run(FakePlatform *platform)
	{
		start(0);
		while (!finished)
			perform(platform, 0);
		return result().error;
	}
};

static int
commit_one(FakePlatform *platform, commit_kind_t kind, uint64_t id,
    const char *preset = "normal", uint64_t floor = 0, uint64_t *version = NULL)
{
	Operator one(kind, "ana", id);

	one.request.preset = preset;
	one.request.version_floor = floor;
	int error = one.run(platform);
	if (version)
		*version = one.result().version;
	return error;
}

TEST(Commit, PreconditionsOfEachKind)
{
	FakePlatform platform;
	uint64_t version = 0;
	std::unique_ptr<record_head_t, void (*)(void *)> head(NULL, free);

	EXPECT_EQ(commit_one(&platform, COMMIT_EDIT, 1), MASTICPITCH_E_NOT_FOUND);
	EXPECT_EQ(commit_one(&platform, COMMIT_CREATE, 2, "normal", 0, &version), 0);
	EXPECT_EQ(version, 1u);
	EXPECT_EQ(commit_one(&platform, COMMIT_CREATE, 3), MASTICPITCH_E_EXISTS);
	EXPECT_EQ(commit_one(&platform, COMMIT_CREATE, 4, "peak"), 0);
	EXPECT_EQ(commit_one(&platform, COMMIT_DELETE, 5), MASTICPITCH_E_DENIED);
	EXPECT_EQ(commit_one(&platform, COMMIT_USE, 6, "peak"), 0);
	EXPECT_EQ(commit_one(&platform, COMMIT_DELETE, 7), 0);
	EXPECT_EQ(commit_one(&platform, COMMIT_USE, 8), MASTICPITCH_E_NOT_FOUND);
	EXPECT_EQ(commit_one(&platform, COMMIT_EDIT, 9, "peak", 41, &version), 0);
	EXPECT_EQ(version, 42u) << "above the floor";
	for (uint64_t i = 0; i < 7; i++)
		EXPECT_EQ(commit_one(&platform, COMMIT_CREATE, 20 + i,
			      ("more" + std::to_string(i)).c_str()),
		    0);
	EXPECT_EQ(commit_one(&platform, COMMIT_CREATE, 30, "ninth"), MASTICPITCH_E_LIMIT);
	parse_head(platform, &head);
	EXPECT_STREQ(head->in_force, "peak");
}

TEST(Commit, InvalidRequestsWriteNothing)
{
	FakePlatform platform;
	Operator bad(COMMIT_CREATE, "ana", 1);
	Operator bad_operator(COMMIT_CREATE, "a b", 2);

	bad.text = "{\"format\":1,\"services\":{},\"routes\":[{}]}";
	bad.request.text = bad.text.data();
	bad.request.size = bad.text.size();
	EXPECT_EQ(bad.run(&platform), MASTICPITCH_E_INVALID);
	EXPECT_NE(strstr(bad.result().message, "routes[0]"), nullptr);
	EXPECT_EQ(bad_operator.run(&platform), MASTICPITCH_E_INVALID);
	EXPECT_EQ(platform.revision, 0u);
}

// Both operators read the same head; the second compare-and-swap must lose, and its
// result must name the winner.
TEST(Commit, EachOfHundredRacesOfTwoOperatorsHasOneWinner)
{
	FakePlatform platform;
	rng_t rng;

	rng_init(&rng, 3);
	ASSERT_EQ(commit_one(&platform, COMMIT_CREATE, 1), 0);
	for (uint64_t race = 0; race < 100; race++) {
		Operator ana(COMMIT_EDIT, "ana", 1000 + 2 * race);
		Operator ben(race % 3 ? COMMIT_EDIT : COMMIT_USE, "ben", 1001 + 2 * race);

		ana.start(0);
		ben.start(0);
		ana.perform(&platform, 0);
		ben.perform(&platform, 0);
		while (!ana.finished || !ben.finished) {
			Operator &next = rng_below(&rng, 2) ? ana : ben;
			if (!next.finished)
				next.perform(&platform, 0);
		}
		const Operator &winner = ana.result().error == 0 ? ana : ben;
		const Operator &loser = ana.result().error == 0 ? ben : ana;
		ASSERT_EQ(winner.result().error, 0);
		ASSERT_EQ(loser.result().error, MASTICPITCH_E_CONFLICT);
		EXPECT_EQ(winner.result().version, race + 2);
		EXPECT_EQ(loser.result().lost_to.version, race + 2);
		EXPECT_EQ(loser.result().lost_to.operator_name, winner.name);
		EXPECT_NE(strstr(loser.result().message, winner.name.c_str()), nullptr);
	}
}

TEST(Commit, StaleExpectedVersionIsAConflict)
{
	FakePlatform platform;
	Operator late(COMMIT_USE, "ben", 9);

	ASSERT_EQ(commit_one(&platform, COMMIT_CREATE, 1), 0);
	ASSERT_EQ(commit_one(&platform, COMMIT_EDIT, 2), 0);
	late.request.has_expected_version = true;
	late.request.expected_version = 1;
	EXPECT_EQ(late.run(&platform), MASTICPITCH_E_CONFLICT);
	EXPECT_EQ(late.result().lost_to.version, 2u);
	EXPECT_STREQ(late.result().lost_to.action, "edit");
}

TEST(Commit, LookupReportsTheOutcomeOfAnOperation)
{
	FakePlatform platform;

	for (uint64_t id = 1; id <= 140; id++)
		ASSERT_EQ(
		    commit_one(&platform, id == 1 ? COMMIT_CREATE : COMMIT_EDIT, id), 0);
	Operator recent(COMMIT_LOOKUP, "ana", 135);
	Operator old(COMMIT_LOOKUP, "ana", 3);
	Operator absent(COMMIT_LOOKUP, "ana", 999);
	Operator pending(COMMIT_LOOKUP, "ana", 999);

	EXPECT_EQ(recent.run(&platform), 0);
	EXPECT_EQ(recent.result().version, 135u);
	old.request.has_expected_version = true;
	old.request.expected_version = 2;
	EXPECT_EQ(old.run(&platform), MASTICPITCH_E_UNKNOWN) << "older than the history";
	absent.request.has_expected_version = true;
	absent.request.expected_version = 138;
	EXPECT_EQ(absent.run(&platform), MASTICPITCH_E_CONFLICT);
	EXPECT_EQ(absent.result().lost_to.version, 139u);
	pending.request.has_expected_version = true;
	pending.request.expected_version = 140;
	EXPECT_EQ(pending.run(&platform), MASTICPITCH_E_UNKNOWN) << "may still arrive";
}

// Every answer of one commit is lost in turn, before or after its effect.
TEST(Commit, LostAnswerIsResolvedByTheOperationId)
{
	for (int lost = 0; lost < 12; lost++) {
		for (int effect = 0; effect < 2; effect++) {
			FakePlatform platform;
			uint64_t now = 0;
			int call = 0;
			platform_answer_t unknown = {};

			unknown.outcome = PLATFORM_UNKNOWN;
			ASSERT_EQ(commit_one(&platform, COMMIT_CREATE, 1), 0);
			Operator ana(COMMIT_EDIT, "ana", 7);
			ana.request.clean = true;
			ana.start(now);
			while (!ana.finished) {
				if (ana.waiting) {
					now = ana.until;
					ana.step(NULL, now);
				} else if (call++ == lost) {
					if (effect)
						ana.call()(&platform);
					ana.step(&unknown, now);
				} else {
					ana.perform(&platform, now);
				}
			}
			EXPECT_EQ(ana.result().error, 0) << lost;
			EXPECT_EQ(ana.result().version, 2u);
		}
	}
}

// Several operators against a platform that loses requests and answers, refuses
// calls, and applies writes after the operator has given up.
struct FaultyRun {
	FakePlatform platform;
	rng_t rng;
	std::vector<std::unique_ptr<Operator>> operators;
	std::list<std::function<FakePlatform::Answer(FakePlatform *)>> delayed;
	std::multiset<std::string> applied; // operations that took effect
	uint64_t version = 0;
	uint64_t now = 0;

	void
	check()
	{
		std::unique_ptr<record_head_t, void (*)(void *)> head(NULL, free);

		if (platform.keys.count("head") == 0)
			return;
		parse_head(platform, &head);
		ASSERT_TRUE(head);
		if (head->version != version) {
			ASSERT_EQ(head->version, version + 1);
			version = head->version;
			applied.insert(head->history[head->history_count - 1].operation);
		}
		for (size_t i = 0; i < head->preset_count; i++) {
			for (size_t j = 0; j < head->presets[i].part_count; j++) {
				char digest[DIGEST_TEXT_BYTES];
				digest_format(&head->presets[i].parts[j], digest);
				ASSERT_EQ(
				    platform.keys.count(std::string("part/") + digest),
				    1u)
				    << "dangling part in version " << version;
			}
		}
	}
	void
	deliver_one()
	{
		auto item =
		    std::next(delayed.begin(), (long)rng_below(&rng, delayed.size()));
		(*item)(&platform);
		delayed.erase(item);
		check();
	}
	void
	call_one(Operator *one)
	{
		uint64_t draw = rng_below(&rng, 100);
		platform_answer_t failed = {};

		now += rng_below(&rng, 30 * NS_PER_MS);
		if (draw < 70) {
			one->perform(&platform, now);
		} else {
			failed.outcome = draw < 80   ? PLATFORM_REFUSED
					 : draw < 85 ? PLATFORM_NOT_SENT
						     : PLATFORM_UNKNOWN;
			if (draw >= 95)
				one->call()(&platform); // only the answer is lost
			else if (draw >= 90)
				delayed.push_back(one->call());
			one->step(&failed, now);
		}
		check();
	}
	void
	run(uint64_t seed)
	{
		static const commit_kind_t kinds[] = {
		    COMMIT_EDIT, COMMIT_EDIT, COMMIT_USE, COMMIT_CREATE, COMMIT_DELETE};
		static const char *const presets[] = {"normal", "peak", "other"};
		uint64_t id = 1;

		rng_init(&rng, seed);
		for (int started = 0; started < 12 || !operators.empty();) {
			while (operators.size() < 3 && started < 12) {
				started++;
				auto one = std::make_unique<Operator>(
				    started == 1 ? COMMIT_CREATE
						 : kinds[rng_below(&rng, 5)],
				    "ana", id++);
				one->request.preset = presets[rng_below(&rng, 3)];
				// Few distinct texts, so that removed parts become needed
				// again.
				one->text = make_preset(rng_below(&rng, 3));
				one->request.text = one->text.data();
				one->request.size = one->text.size();
				one->request.clean = true;
				one->request.deadline =
				    now + NS_PER_S / 5 + rng_below(&rng, NS_PER_S);
				one->start(now);
				operators.push_back(std::move(one));
			}
			if (!delayed.empty() && rng_below(&rng, 4) == 0)
				deliver_one();
			size_t which = rng_below(&rng, operators.size());
			Operator *one = operators[which].get();
			if (one->waiting) {
				now = std::max(now, one->until);
				one->step(NULL, now);
			} else if (!one->finished) {
				call_one(one);
			}
			if (one->finished) {
				finished.push_back(std::move(operators[which]));
				operators.erase(operators.begin() + (long)which);
			}
			if (::testing::Test::HasFatalFailure())
				return;
		}
		while (!delayed.empty())
			deliver_one();
		for (const auto &one : finished)
			outcome_check(*one);
	}
	std::vector<std::unique_ptr<Operator>> finished;
	int outcomes[32] = {};

	void
	outcome_check(const Operator &one)
	{
		size_t effects = applied.count(one.request.operation);

		outcomes[-one.result().error]++;
		EXPECT_LE(effects, 1u);
		if (one.result().error == 0) {
			EXPECT_EQ(effects, 1u) << one.result().message;
		} else if (one.result().error != MASTICPITCH_E_UNKNOWN) {
			EXPECT_EQ(effects, 0u) << one.result().message;
		}
	}
};

TEST(Commit, ReportedOutcomesAreCorrectUnderFaultsAndNoPartDangles)
{
	int outcomes[32] = {};

	for (uint64_t seed = 1; seed <= 1500; seed++) {
		FaultyRun faulty_run;

		faulty_run.run(seed);
		ASSERT_FALSE(HasFailure()) << "seed " << seed;
		for (int i = 0; i < 32; i++)
			outcomes[i] += faulty_run.outcomes[i];
	}
	EXPECT_GT(outcomes[0], 1000);
	EXPECT_GT(outcomes[-MASTICPITCH_E_CONFLICT], 100);
	printf("committed %d, conflict %d, unknown %d, unreachable %d\n", outcomes[0],
	    outcomes[-MASTICPITCH_E_CONFLICT], outcomes[-MASTICPITCH_E_UNKNOWN],
	    outcomes[-MASTICPITCH_E_UNREACHABLE]);
}
