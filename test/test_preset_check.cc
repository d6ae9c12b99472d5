// Guards against a configuration that is sent although some entry can never match or two
// limits exclude each other, against findings in a sound one, and against keys in them.
#include "preset_check.h"

#include <algorithm>
#include <cstring>
#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace
{

class PresetCheck : public testing::Test
{
      protected:
	std::vector<std::string> found;
	std::vector<preset_t *> presets;

	static void
	collect(
	    void *context, preset_finding_t finding, const char *place, const char *text)
	{
		static_cast<PresetCheck *>(context)->found.push_back(
		    std::string(preset_finding_text(finding)) + ": " + place + ": " +
		    text);
	}
	preset_t *
	parse(const std::string &text)
	{
		char message[MASTICPITCH_MESSAGE_MAX] = "";
		preset_t *preset = nullptr;

		EXPECT_EQ(preset_parse(text.data(), text.size(), &preset, message,
			      sizeof(message)),
		    0)
		    << message;
		presets.push_back(preset);
		return preset;
	}
	void
	TearDown() override
	{
		for (preset_t *preset : presets)
			preset_release(preset);
	}
};

const char SOUND[] =
    R"({"format":1,"services":{"s":{}},"routes":[)"
    R"({"name":"a","prefix":"/a/","service":"s"},)"
    R"({"name":"..","prefix":"/..a/.../","service":"s","key_exempt":true}],)"
    R"("workspaces":{"w":{"keys":["k1"],"rate_per_s":5,"burst":5}}})";

TEST_F(PresetCheck, SoundPresetHasNoFindings)
{
	preset_t *preset = parse(SOUND);

	EXPECT_EQ(preset_check(preset, collect, this), 0u);
	EXPECT_EQ(preset_compare(preset, preset, collect, this), 0u);
	EXPECT_TRUE(found.empty());
}

TEST_F(PresetCheck, EntriesThatNeverMatchAndContradictionsAreFound)
{
	preset_t *preset = parse(
	    R"({"format":1,"services":{"s":{"retry_percent":0},"idle":{}},"routes":[)"
	    R"({"name":"dots","prefix":"/a/../b/","service":"s","attempts":1},)"
	    R"({"name":"own","prefix":"/.masticpitch/x","service":"s","attempts":1},)"
	    R"({"name":"tunnel","prefix":"/t/","methods":["CONNECT"],"service":"s",)"
	    R"("attempts":1},)"
	    R"({"name":"again","prefix":"/r/","service":"s","attempts":3},)"
	    R"({"name":"short","prefix":"/m/","service":"s","attempts":1,)"
	    R"("deadline_ms":10,"min_attempt_ms":10}],)"
	    R"("workspaces":{"empty":{"keys":[]},"slow":{"keys":["k"],"rate_per_s":1,)"
	    R"("burst":61},"none":{"keys":["l"],"burst":5},)"
	    R"("tight":{"keys":["m"],"rate_per_s":5}}})");

	/* Only codecs of other formats give a target. */
	for (size_t i = 0; i < preset->route_count; i++) {
		if (strcmp(preset->routes[i].name, "again") == 0)
			preset->routes[i].target_ms = 20000;
	}
	EXPECT_EQ(preset_check(preset, collect, this), 11u);
	const std::vector<std::string> expected = {
	    "never matches: services.idle: no route leads to it",
	    "never matches: routes.own: paths below /.masticpitch/ are the node's own",
	    "never matches: routes.dots: paths with a segment \".\" or \"..\" are "
	    "refused",
	    "contradiction: routes.short: an attempt needs 10 ms, all of the time-out of "
	    "10 ms",
	    "contradiction: routes.again: the time-out of 10000 ms ends before the "
	    "latency "
	    "target of 20000 ms",
	    "contradiction: routes.again: 3 attempts, but the service \"s\" has no retry "
	    "budget",
	    "never matches: routes.tunnel: the method CONNECT is refused",
	    "never matches: workspaces.empty: it has no key",
	    "contradiction: workspaces.none: a burst of 5 without a rate has no effect",
	    "contradiction: workspaces.slow: a burst of 61 takes over 60 s to refill at "
	    "1 "
	    "requests/s",
	    "contradiction: workspaces.tight: a burst of 0 is less than one request"};
	for (const std::string &line : expected)
		EXPECT_NE(std::find(found.begin(), found.end(), line), found.end())
		    << line;
}

TEST_F(PresetCheck, DifferencesAreReportedWithoutKeys)
{
	preset_t *after =
	    parse(R"({"format":1,"services":{"s":{"queue_limit":9},"t":{}},"routes":[)"
		  R"({"name":"a","prefix":"/a/","service":"t","attempts":2},)"
		  R"({"name":"new","prefix":"/n/","service":"s"}],)"
		  R"("workspaces":{"w":{"keys":["k2","k3"],"rate_per_s":6,"burst":5}}})");

	EXPECT_EQ(preset_compare(parse(SOUND), after, collect, this), 8u);
	const std::vector<std::string> expected = {
	    "difference: services.s: queue_limit: 0 -> 9",
	    "difference: services.t: added", "difference: routes.new: added",
	    "difference: routes.a: service: s -> t",
	    "difference: routes.a: attempts: 3 -> 2", "difference: routes...: removed",
	    "difference: workspaces.w: rate: 5 -> 6",
	    "difference: workspaces.w: keys: 2 added, 1 removed"};
	for (const std::string &line : expected)
		EXPECT_NE(std::find(found.begin(), found.end(), line), found.end())
		    << line;
}

} // namespace
