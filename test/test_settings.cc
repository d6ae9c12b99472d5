// Settings with unknown keys, wrong types or values out of range must be refused
// instead of starting a node with an unintended value. Each message names file and key.
#include "settings.h"

#include <gtest/gtest.h>
#include <string>

static const std::string SECRET(64, 'a');

static std::string
settings_text_with(
    const std::string &extra_members, const std::string &peers = "127.1.1.1:7000")
{
	return "// a comment\n{\"availability_zone\":\"cebu-a\",\"region\":\"visayas\","
	       "\"listen\":{\"callers\":\"127.1.1.1:8080\","
	       "\"backend_servers\":\"127.1.1.1:8081\",\"peers\":\"" +
	       peers +
	       "\",\"operators\":\"127.1.1.1:8082\"},"
	       "\"platform\":{\"url\":\"http://127.0.0.1:9000\"},"
	       "\"mesh\":{\"keys\":[{\"id\":1,\"secret\":\"" +
	       SECRET + "\"}]},\"operators\":{\"token\":\"0123456789abcdef\"}" +
	       extra_members + "}";
}

static std::string
error_of(const std::string &text)
{
	settings_t settings;
	char message[MASTICPITCH_MESSAGE_MAX] = "";

	int error = settings_parse(
	    "f.json", text.c_str(), text.size(), &settings, message, sizeof(message));
	EXPECT_EQ(error == 0, message[0] == '\0') << message;
	return message;
}

TEST(Settings, ValidFileIsAcceptedWithDefaults)
{
	settings_t settings;
	char message[MASTICPITCH_MESSAGE_MAX];
	std::string text = settings_text_with("");

	ASSERT_EQ(settings_parse("f", text.c_str(), text.size(), &settings, message,
		      sizeof(message)),
	    0)
	    << message;
	EXPECT_STREQ(settings.zone, "cebu-a");
	EXPECT_EQ(settings.peers.port, 7000);
	EXPECT_EQ(settings.spread, SPREAD_FAST);
	EXPECT_EQ(settings.keys[0].secret[31], 0xaa);
	EXPECT_STREQ(settings.platform_prefix, "masticpitch/");
}

// LOST: guards against a grace period that ends far before the operator's kill, so that
// requests are cut which had time left, or behind it.
TEST(Settings, GracePeriodEndsShortlyBeforeTheKill)
{
	const std::pair<std::string, uint32_t> cases[] = {
	    {",\"bounds\":{\"kill_ms\":10000}", 9500},
	    {",\"platform\":{\"url\":\"http://127.0.0.1:9000\","
	     "\"bounds\":[\"graceS=10\"]}",
		9500},
	    {",\"bounds\":{\"kill_ms\":10000},\"shutdown\":{\"grace_ms\":3000}", 3000},
	    {",\"bounds\":{\"kill_ms\":600}", 300},
	    {",\"shutdown\":{\"grace_ms\":3000}", 3000},
	};

	for (const auto &item : cases) {
		std::string text = settings_text_with(item.first);
		char message[MASTICPITCH_MESSAGE_MAX];
		size_t platform = text.find("\"platform\":{\"url\":");
		settings_t settings;

		/* The default of the text is replaced by that of the case. */
		if (item.first.find("\"platform\"") != std::string::npos)
			text.erase(platform, text.find("},", platform) + 2 - platform);
		ASSERT_EQ(settings_parse("f", text.c_str(), text.size(), &settings,
			      message, sizeof(message)),
		    0)
		    << message;
		EXPECT_EQ(settings.shutdown_grace_ms, item.second) << item.first;
	}
}

TEST(Settings, PlatformSeedsGetThePortOfPeers)
{
	std::string text = settings_text_with("");
	char message[MASTICPITCH_MESSAGE_MAX];
	settings_t settings;

	text.replace(
	    text.find("\"url\""), 0, "\"seeds\":[\"10.1.0.2:8144\",\"10.1.0.3:8144\"],");
	ASSERT_EQ(settings_parse("f", text.c_str(), text.size(), &settings, message,
		      sizeof(message)),
	    0)
	    << message;
	ASSERT_EQ(settings.seed_count, 2u);
	EXPECT_EQ(settings.seeds[1].ip, 0x0a010003u);
	EXPECT_EQ(settings.seeds[1].port, 7000);
}

TEST(Settings, EachErrorNamesItsKey)
{
	const std::pair<std::string, std::string> cases[] = {
	    {settings_text_with(",\"colour\":1"), "f.json: colour: unknown key"},
	    {settings_text_with(",\"log\":{\"levle\":1}"),
		"f.json: log.levle: unknown key"},
	    {settings_text_with(",\"log\":{\"level\":\"loud\"}"),
		"f.json: log.level: must be"},
	    {settings_text_with(",\"limits\":{\"requests\":0}"),
		"f.json: limits.requests: must be from"},
	    {settings_text_with(",\"limits\":{\"requests\":\"9\"}"),
		"f.json: limits.requests: must be a"},
	    {settings_text_with(",\"limits\":7"), "f.json: limits: must be an object"},
	    {settings_text_with(",\"configuration\":{\"spread\":\"slow\"}"),
		"f.json: configuration.spread: unknown value"},
	    {settings_text_with("", "127.1.1.1:8080"),
		"f.json: listen.peers: same address"},
	    {settings_text_with("", "127.1.1.1"), "f.json: listen.peers: \"127.1.1.1\""},
	    {settings_text_with("", "0.0.0.0:7000"), "f.json: listen.peers: must name"},
	    {"{\"a\":", "f.json: line 1: "},
	    {"[]", "f.json: settings: must be an object"},
	    {"{}", "f.json: availability_zone: missing"},
	    {settings_text_with(",\"limits\":{\"requests streams_per_peer\":1}"),
		"f.json: limits.requests streams_per_peer: unknown key"},
	    {settings_text_with(",\"region\":\"other\""),
		"f.json: settings: a key appears twice"},
	    {settings_text_with("") + " {}", "f.json: line 2: text after the end"},
	};

	for (const auto &item : cases)
		EXPECT_EQ(
		    error_of(item.first).substr(0, item.second.size()), item.second);
}
