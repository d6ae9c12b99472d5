// Guards the validation of presets, which must refuse an invalid text completely and
// name location and reason, and route lookup, which must agree with a linear search.
#include "preset.h"
#include "util.h"

#include <gtest/gtest.h>
#include <string>
#include <vector>

static const char EXAMPLE[] =
    "// a comment\n{ \"format\": 1, \"services\": { \"katalogo\": { \"queue_limit\": 40,"
    " \"retry_percent\": 10, \"spill_percent\": 80 }, \"pamigay\": {} }, /* routes */"
    "\"routes\": [ { \"name\": \"list\", \"methods\": [\"GET\"], \"prefix\": "
    "\"/katalogo/\","
    " \"service\": \"katalogo\", \"class\": \"lookup\", \"idempotent\": true,"
    " \"deadline_ms\": 2000, \"min_attempt_ms\": 5, \"attempts\": 3,"
    " \"body_limit_bytes\": 65536 } ] }";

struct Parsed {
	preset_t *preset = NULL;
	char message[MASTICPITCH_MESSAGE_MAX];
	int error;

	explicit Parsed(const std::string &text)
	{
		error = preset_parse(
		    text.data(), text.size(), &preset, message, sizeof(message));
	}
	Parsed(const Parsed &) = delete;
	~Parsed()
	{
		preset_release(preset);
	}
};

static std::string
with_routes(const std::string &routes)
{
	return "{\"format\":1,\"services\":{\"a\":{},\"b\":{}},\"routes\":[" + routes +
	       "]}";
}

TEST(Preset, ExampleOfTheDesignPageIsParsed)
{
	Parsed parsed(EXAMPLE);

	ASSERT_EQ(parsed.error, 0) << parsed.message;
	ASSERT_EQ(parsed.preset->route_count, 1u);
	const preset_route_t *route =
	    preset_route_find(parsed.preset, "GET", "/katalogo/x?y=/z");
	ASSERT_NE(route, nullptr);
	EXPECT_STREQ(parsed.preset->services[route->service].name, "katalogo");
	EXPECT_EQ(route->deadline_ms, 2000u);
	EXPECT_TRUE(route->idempotent);
	EXPECT_EQ(preset_route_find(parsed.preset, "POST", "/katalogo/x"), nullptr);
	EXPECT_EQ(preset_route_find(parsed.preset, "GET", "/kata?x=/katalogo/"), nullptr);
	EXPECT_EQ(preset_service_find(parsed.preset, "katalogo")->queue_limit, 40u);
	EXPECT_EQ(preset_service_find(parsed.preset, "none"), nullptr);
}

// Each entry breaks one rule; the message has to name the location and the reason.
TEST(Preset, EachInvalidTextIsRefusedWithPlaceAndReason)
{
	const std::string head = "{\"name\":\"r\",\"prefix\":\"/a\",\"service\":\"a\"";
	const struct {
		std::string text;
		const char *location;
		const char *reason;
	} cases[] = {
	    {"{\"format\":1,\n\"services\":{},\n\"routes\":[}", "line 3", "unexpected"},
	    {"{\"format\":2,\"services\":{},\"routes\":[]}", "format", "1 to 1"},
	    {"{\"format\":1,\"routes\":[]}", "services", "missing"},
	    {"{\"format\":1,\"services\":{},\"routes\":[],\"x\":1}", "top level",
		"\"x\""},
	    {"{\"format\":1,\"services\":{\"a\":{},\"a\":{}},\"routes\":[]}", "",
		"twice"},
	    {"{\"format\":1,\"services\":{\"a b\":{}},\"routes\":[]}", "services.a b",
		"name"},
	    {"{\"format\":1,\"services\":{\"a\":{\"retry_percent\":101}},\"routes\":[]}",
		"services.a", "0 to 100"},
	    {"{\"format\":1,\"services\":{\"a\":{\"queue_limit\":-1}},\"routes\":[]}",
		"queue_limit", "whole number"},
	    {with_routes(head + ",\"attempts\":6}"), "routes[0] r", "1 to 5"},
	    {with_routes(head + ",\"attempts\":1.5}"), "routes[0] r", "whole number"},
	    {with_routes(head + ",\"attempt\":1}"), "routes[0] r", "unknown key"},
	    {with_routes(head + ",\"class\":\"fast\"}"), "class", "lookup, call"},
	    {with_routes(head + ",\"class\":\"call\",\"idempotent\":true}"), "idempotent",
		"never"},
	    {with_routes(head + ",\"methods\":[]}"), "methods", "1 to 8"},
	    {with_routes(head + ",\"methods\":[\"get\"]}"), "methods[0]", "A-Z"},
	    {with_routes(head + ",\"deadline_ms\":10,\"min_attempt_ms\":11}"),
		"min_attempt_ms", "0 to 10"},
	    {with_routes("{\"name\":\"r\",\"prefix\":\"/a\",\"service\":\"c\"}"),
		"routes[0] r", "not among the services"},
	    {with_routes("{\"name\":\"r\",\"prefix\":\"a\",\"service\":\"a\"}"), "prefix",
		"start with"},
	    {with_routes(head + "},{\"name\":\"r\",\"prefix\":\"/b\",\"service\":\"a\"}"),
		"routes", "two routes are named"},
	    {with_routes(head + "},{\"name\":\"q\",\"prefix\":\"/a\",\"service\":\"b\"}"),
		"\"r\"", "same requests"},
	    {with_routes("{\"name\":\"r\",\"prefix\":\"/" + std::string(256, 'x') +
			 "\",\"service\":\"a\"}"),
		"prefix", "1 to 256"},
	    {with_routes("{\"name\":\"" + std::string(65, 'x') + "\",\"prefix\":\"/\"}"),
		"name", "1 to 64"},
	    {std::string(EXAMPLE) + "x", "line 2", "after the end"},
	    {std::string(PRESET_TEXT_MAX_BYTES + 1, ' '), "", "longer than"},
	    {std::string("{\"format\":1\0}", 13), "", "zero byte"},
	    {"", "line 1", "unfinished"},
	    {"[]", "", "must be an object"},
	    {"{\"format\":1,\"services\":{\"a\":[[[[[[[[[]]]]]]]]]}}", "line 1", "deep"},
	    {"/* open", "", "unfinished comment"},
	};

	for (const auto &item : cases) {
		Parsed parsed(item.text);

		EXPECT_NE(parsed.error, 0) << item.text.substr(0, 200);
		EXPECT_EQ(parsed.preset, nullptr);
		EXPECT_NE(strstr(parsed.message, item.location), nullptr)
		    << parsed.message;
		EXPECT_NE(strstr(parsed.message, item.reason), nullptr) << parsed.message;
	}
}

TEST(Preset, CountsAreBounded)
{
	std::string services, routes;

	for (int i = 0; i <= PRESET_SERVICES_MAX; i++)
		services += (i ? ",\"s" : "\"s") + std::to_string(i) + "\":{}";
	for (int i = 0; i <= PRESET_ROUTES_MAX; i++)
		routes += (i ? ",{\"name\":\"r" : "{\"name\":\"r") + std::to_string(i) +
			  "\",\"prefix\":\"/" + std::to_string(i) +
			  "\",\"service\":\"a\"}";
	EXPECT_EQ(
	    Parsed("{\"format\":1,\"services\":{" + services + "},\"routes\":[]}").error,
	    MASTICPITCH_E_LIMIT);
	EXPECT_EQ(Parsed(with_routes(routes)).error, MASTICPITCH_E_LIMIT);
}

TEST(Preset, CommentsAreRefusedInParts)
{
	const char routes[] = "{\"format\":1,\"routes\":[]} // note";
	const preset_text_t part = {routes, strlen(routes)};
	preset_t *preset = NULL;
	char message[MASTICPITCH_MESSAGE_MAX];

	EXPECT_EQ(preset_parse_parts(&part, 1, &preset, message, sizeof(message)),
	    MASTICPITCH_E_INVALID);
	EXPECT_NE(strstr(message, "comments"), nullptr) << message;
}

// The index must give the same route as a linear search, at the largest number of routes.
TEST(Preset, LookupAgreesWithALinearSearch)
{
	std::string routes;
	std::vector<std::string> prefixes;
	rng_t rng;

	rng_init(&rng, 7);
	for (int i = 0; i < PRESET_ROUTES_MAX; i++) {
		std::string prefix = "/";

		for (uint64_t n = rng_below(&rng, 6); n > 0; n--)
			prefix += std::string(1, (char)('a' + rng_below(&rng, 3))) + "/";
		prefix += std::to_string(i % 1500);
		routes += (i ? ",{\"name\":\"r" : "{\"name\":\"r") + std::to_string(i) +
			  "\",\"prefix\":\"" + prefix +
			  "\",\"service\":\"a\",\"methods\":[\"" +
			  std::string(1, (char)('A' + i / 1500)) + "X\",\"M" +
			  std::string(1, (char)('A' + i / 1500)) + "\"]}";
		prefixes.push_back(prefix);
	}
	Parsed parsed(with_routes(routes));
	ASSERT_EQ(parsed.error, 0) << parsed.message;
	for (int i = 0; i < 5000; i++) {
		std::string path = prefixes[rng_below(&rng, prefixes.size())] +
				   std::to_string(rng_below(&rng, 1000));
		std::string method(1, (char)('A' + rng_below(&rng, 4)));
		const preset_route_t *expected = NULL;

		method += "X";
		for (size_t j = 0; j < parsed.preset->route_count && !expected; j++) {
			const preset_route_t *route = &parsed.preset->routes[j];

			if (path.compare(0, strlen(route->prefix), route->prefix) == 0 &&
			    method == route->methods[0])
				expected = route;
		}
		EXPECT_EQ(preset_route_find(parsed.preset, method.c_str(), path.c_str()),
		    expected);
	}
}
