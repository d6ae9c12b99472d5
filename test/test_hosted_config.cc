// Guards the configuration document of the hosted platform against a route that selects
// another host's service, a split that ignores its weights, a malformed document that
// is applied, and parts that differ between nodes.
#include "platform/hosted.h"
#include "record.h"

#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <string>

namespace
{

const std::string DOCUMENT =
    R"({"version":"0000001a","routes":{)"
    R"("a":{"host":"One.example","prefix":"/x/","kind":"safe","timeoutMs":800,)"
    R"("targetLatencyMs":400,"priority":2,"service":"s1","maxAttempts":2},)"
    R"("b":{"host":"two.example","prefix":"/x/","kind":"unsafe","priority":1,"service":"s2",)"
    R"("maxAttempts":9},)"
    R"("c":{"host":"one.example","prefix":"/x/y/","kind":"download","weightedSplit":)"
    R"([{"service":"s1","weight":90},{"service":"s2","weight":10}]},)"
    R"("d":{"host":"one.example","prefix":"/new/","kind":"of-tomorrow","service":"s1"}},)"
    R"("services":{"s1":{"maxConnections":110,"protocol":"h1"},"s2":{}},)"
    R"("limits":{"headerBytes":16384,"bodyBytes":1000,"idleTimeoutMs":15000},)"
    R"("baseVersion":"00000019","unheard":[1]})";

class HostedConfig : public testing::Test
{
      protected:
	hosted_document_t document = {};
	preset_t *preset = nullptr;
	char message[MASTICPITCH_MESSAGE_MAX] = "";
	bool split_done = false;

	int
	split(const std::string &text)
	{
		int error = hosted_document_split(
		    text.data(), text.size(), &document, message, sizeof(message));

		split_done = error == MASTICPITCH_OK;
		return error;
	}
	int
	parse(const std::string &text)
	{
		preset_text_t parts[HOSTED_DOCUMENT_PARTS];
		int error = split(text);

		if (error != MASTICPITCH_OK)
			return error;
		for (size_t i = 0; i < document.count; i++)
			parts[i] = {
			    (const char *)document.parts[i].data, document.parts[i].size};
		return hosted_preset_parse(
		    parts, document.count, nullptr, &preset, message, sizeof(message));
	}
	void
	TearDown() override
	{
		if (split_done)
			hosted_document_free(&document);
		preset_release(preset);
	}
	static std::string
	changed(const std::string &from, const std::string &to)
	{
		std::string text = DOCUMENT;

		text.replace(text.find(from), from.size(), to);
		return text;
	}
};

// Guards: a request is sent to the service of another host's route.
TEST_F(HostedConfig, TheHostSelectsTheRoute)
{
	ASSERT_EQ(parse(DOCUMENT), MASTICPITCH_OK) << message;
	EXPECT_EQ(document.version, 0x1au);
	EXPECT_STREQ(
	    preset_route_find_host(preset, "ONE.example:8080", "GET", "/x/1")->name, "a");
	EXPECT_STREQ(
	    preset_route_find_host(preset, "two.example", "GET", "/x/1")->name, "b");
	EXPECT_STREQ(
	    preset_route_find_host(preset, "one.example", "GET", "/x/y/z?q=/new/")->name,
	    "c");
	EXPECT_EQ(
	    preset_route_find_host(preset, "three.example", "GET", "/x/1"), nullptr);
	EXPECT_EQ(preset_route_find_host(preset, nullptr, "GET", "/x/1"), nullptr);
}

// Guards: a request of a route not declared as safe is retried.
TEST_F(HostedConfig, OnlyKnownSafeKindsAreIdempotent)
{
	ASSERT_EQ(parse(DOCUMENT), MASTICPITCH_OK) << message;
	EXPECT_TRUE(
	    preset_route_find_host(preset, "one.example", "GET", "/x/1")->idempotent);
	EXPECT_FALSE(
	    preset_route_find_host(preset, "two.example", "GET", "/x/1")->idempotent);
	EXPECT_TRUE(
	    preset_route_find_host(preset, "one.example", "GET", "/x/y/")->idempotent);
	EXPECT_FALSE(
	    preset_route_find_host(preset, "one.example", "GET", "/new/")->idempotent);
}

TEST_F(HostedConfig, FieldsKeepTheirMeaning)
{
	const preset_route_t *route;

	ASSERT_EQ(parse(DOCUMENT), MASTICPITCH_OK) << message;
	route = preset_route_find_host(preset, "one.example", "GET", "/x/1");
	EXPECT_EQ(route->deadline_ms, 800u);
	EXPECT_EQ(route->target_ms, 400u);
	EXPECT_EQ(route->attempts, 2u);
	EXPECT_EQ(route->body_limit_bytes, 1000u);
	EXPECT_EQ(preset_route_class(route, false), ROUTE_LOOKUP);
	EXPECT_EQ(preset_route_class(route, true), ROUTE_INTERNAL);
	route = preset_route_find_host(preset, "two.example", "GET", "/x/1");
	EXPECT_EQ(route->attempts, (uint32_t)PRESET_ATTEMPTS_MAX);
	EXPECT_EQ(preset_route_class(route, false), ROUTE_CALL);
	EXPECT_EQ(preset->limits.idle_timeout_ms, 15000u);
	EXPECT_EQ(preset_service_find(preset, "s1")->connections_max, 110u);
}

// Guards: a service of a split does not get the share of its weight.
TEST_F(HostedConfig, SplitsFollowTheirWeights)
{
	std::map<std::string, int> drawn;
	const preset_route_t *route;

	ASSERT_EQ(parse(DOCUMENT), MASTICPITCH_OK) << message;
	route = preset_route_find_host(preset, "one.example", "GET", "/x/y/");
	for (int i = 0; i < 1000; i++)
		drawn[preset_route_choose_service(preset, route, i / 1000.0)->name]++;
	EXPECT_EQ(drawn["s1"], 900);
	EXPECT_EQ(drawn["s2"], 100);
}

// Guards: the share of a service drifts off its weight when each of many entries sees
// only a few of the requests (pattern: 300 entries, one or two requests each in a
// window).
TEST_F(HostedConfig, SplitsKeepTheirSharesOverManyEntries)
{
	const preset_route_t *route;
	std::vector<rng_t> entries(300);
	double worst = 0;

	ASSERT_EQ(parse(DOCUMENT), MASTICPITCH_OK) << message;
	route = preset_route_find_host(preset, "one.example", "GET", "/x/y/");
	for (size_t i = 0; i < entries.size(); i++)
		rng_init(&entries[i], i + 1);
	for (int window = 0; window < 200; window++) {
		int first = 0, total = 0;

		for (size_t i = 0; i < entries.size(); i++) {
			for (size_t n = 0; n <= i % 2; n++, total++)
				first += strcmp(preset_route_choose_service(
						    preset, route, rng_unit(&entries[i]))
						    ->name,
					     "s1") == 0;
		}
		worst = std::max(worst, std::abs(first / (double)total - 0.9));
	}
	EXPECT_LE(worst, 0.1); // the users' bound
}

// Guards: each change of the configuration makes a small host parse all routes again
// (pattern: a storm of changes of a large configuration).
TEST_F(HostedConfig, RoutesOfUnchangedPartsAreCopiedFromTheOlderPreset)
{
	preset_text_t parts[HOSTED_DOCUMENT_PARTS];
	hosted_older_preset_t older = {};
	preset_t *next = nullptr;

	ASSERT_EQ(parse(DOCUMENT), MASTICPITCH_OK) << message;
	older.preset = preset;
	for (size_t i = 0; i < document.count; i++) {
		parts[i] = {(const char *)document.parts[i].data, document.parts[i].size};
		older.same_part[i] = (uint32_t)i;
	}
	/* An unchanged part is not parsed. */
	for (size_t i = 1; i < document.count; i++)
		parts[i] = {"no JSON", 7};
	ASSERT_EQ(hosted_preset_parse(
		      parts, document.count, &older, &next, message, sizeof(message)),
	    MASTICPITCH_OK)
	    << message;
	EXPECT_EQ(next->route_count, preset->route_count);
	EXPECT_STREQ(
	    preset_route_find_host(next, "one.example", "GET", "/x/y/z")->name, "c");
	preset_release(next);
}

// Guards: a route of an older version is kept, lost or changed when only the parts that
// differ are parsed.
TEST_F(HostedConfig, ParsingTheChangedPartsGivesTheSameAsParsingAll)
{
	std::map<std::string, int> routes;
	std::unique_ptr<record_parts_t> parts_store(new record_parts_t());
	std::unique_ptr<record_cache_t> cache(new record_cache_t());
	uint32_t random = 7;

	record_parts_init(parts_store.get());
	record_cache_init(cache.get(), DIALECT_HOSTED);
	for (uint64_t version = 1; version <= 60; version++) {
		std::string text = R"({"version":"1","routes":{)";
		record_head_t *head = nullptr;
		preset_t *step = nullptr;
		buffer_t written;

		for (int i = 0; i < 5; i++) {
			random = random * 1664525 + 1013904223;
			std::string name = "r" + std::to_string(random >> 16 & 127);
			if ((random >> 24 & 3) == 0)
				routes.erase(name);
			else
				routes[name] = (int)(random >> 8 & 1023) + 1;
		}
		for (const auto &route : routes)
			text += (text.back() == '{' ? "\"" : ",\"") + route.first +
				R"(":{"host":"h","prefix":"/)" + route.first +
				R"(/","kind":"safe","service":"s","timeoutMs":)" +
				std::to_string(route.second) + "}";
		/* In every 16th version another service shifts all service indexes. */
		text += std::string("},\"services\":{") +
			(version % 16 == 0 ? R"("a":{},)" : "") + R"("s":{}}})";
		ASSERT_EQ(split(text), MASTICPITCH_OK) << message;
		buffer_init(&written, RECORD_HEAD_MAX_BYTES);
		ASSERT_EQ(record_document_build(version, document.parts, document.count,
			      parts_store.get(), &written),
		    MASTICPITCH_OK);
		ASSERT_EQ(record_head_parse((const char *)written.data, written.size,
			      &head, message, sizeof(message)),
		    MASTICPITCH_OK)
		    << message;
		ASSERT_EQ(record_check(head, cache.get(), parts_store.get(), &step,
			      message, sizeof(message)),
		    MASTICPITCH_OK)
		    << message;
		EXPECT_EQ(step->route_count, routes.size());
		for (const auto &route : routes) {
			const preset_route_t *found = preset_route_find_host(
			    step, "h", "GET", ("/" + route.first + "/x").c_str());

			ASSERT_NE(found, nullptr) << route.first;
			EXPECT_EQ(found->name, route.first);
			EXPECT_EQ(found->deadline_ms, (uint32_t)route.second);
			EXPECT_STREQ(step->services[found->service].name, "s");
		}
		record_cache_retain(cache.get(), head);
		record_parts_retain(parts_store.get(), head, NULL);
		preset_release(step);
		free(head);
		buffer_free(&written);
		hosted_document_free(&document);
		split_done = false;
	}
	record_cache_retain(cache.get(), NULL);
	record_parts_clear(parts_store.get());
}

// Guards: a malformed document is applied in part or crashes the node.
TEST_F(HostedConfig, MalformedDocumentsAreRefused)
{
	for (const std::string &text : {std::string("{"), std::string("[]"),
		 changed("0000001a", "x"), changed("0000001a", "00000000"),
		 changed("\"/x/\"", "\"x/\""), changed("\"s2\",", "\"s9\","),
		 changed("\"weight\":90", "\"weight\":-1"), changed("\"safe\"", "7"),
		 changed("\"timeoutMs\":800", "\"timeoutMs\":\"800\""),
		 changed("\"services\"", "\"servicez\""),
		 changed("\"routes\"", "\"route\""), changed("\"version\"", "\"v\""),
		 changed("\"routes\":{", "\"routes\":{\"z\":[],")}) {
		EXPECT_NE(parse(text), MASTICPITCH_OK) << text;
		EXPECT_STRNE(message, "");
		EXPECT_EQ(preset, nullptr);
		if (split_done)
			hosted_document_free(&document);
		split_done = false;
	}
}

// Guards: a change of one route changes more than its part, or nodes that read the
// same document get different heads.
TEST_F(HostedConfig, ChangeOfOneRouteChangesOnePart)
{
	record_parts_t parts;
	buffer_t heads[3];
	const std::string texts[] = {
	    DOCUMENT, DOCUMENT, changed("\"timeoutMs\":800", "\"timeoutMs\":900")};
	size_t before;

	record_parts_init(&parts);
	for (size_t i = 0; i < 3; i++) {
		buffer_init(&heads[i], RECORD_HEAD_MAX_BYTES);
		before = parts.count;
		ASSERT_EQ(split(texts[i]), MASTICPITCH_OK) << message;
		ASSERT_EQ(record_document_build(document.version, document.parts,
			      document.count, &parts, &heads[i]),
		    MASTICPITCH_OK);
		hosted_document_free(&document);
		split_done = false;
	}
	EXPECT_EQ(parts.count, before + 1);
	EXPECT_STREQ(buffer_text(&heads[0]), buffer_text(&heads[1]));
	EXPECT_STRNE(buffer_text(&heads[0]), buffer_text(&heads[2]));
	for (buffer_t &head : heads)
		buffer_free(&head);
	record_parts_clear(&parts);
}

// Guards: bounds in the settings are read in the wrong unit.
TEST(HostedBounds, UnitsAreConverted)
{
	settings_bounds_t bounds = {};
	char message[MASTICPITCH_MESSAGE_MAX];
	const char *const texts[] = {
	    R"(["drainMs=2000","retryBudgetRatio=0.2","budgetWindowS=10","new=true"])",
	    R"({"drainMs":2000,"retryBudgetRatio":0.2,"budgetWindowS":10,"new":true})"};

	for (const char *text : texts) {
		json_object *object = json_tokener_parse(text);

		bounds = {};
		EXPECT_EQ(hosted_bounds_read(object, &bounds, message, sizeof(message)),
		    MASTICPITCH_OK);
		EXPECT_EQ(bounds.drain_ms, 2000u);
		EXPECT_EQ(bounds.retry_percent, 20u);
		EXPECT_EQ(bounds.retry_window_ms, 10000u);
		json_object_put(object);
	}
	json_object *bad = json_tokener_parse(R"(["drainMs=soon"])");
	EXPECT_NE(
	    hosted_bounds_read(bad, &bounds, message, sizeof(message)), MASTICPITCH_OK);
	json_object_put(bad);
}

} // namespace
