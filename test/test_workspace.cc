// Guards against a key that is accepted for another workspace or after it was taken away,
// a document with ambiguous keys that is applied, and a key in a message.
#include "platform/hosted.h"
#include "preset.h"
#include "record.h"
#include "workspace.h"

#include <gtest/gtest.h>
#include <memory>
#include <string>

namespace
{

const std::string HEAD =
    R"({"format":1,"services":{"s":{}},"routes":[)"
    R"({"name":"r","prefix":"/","service":"s"},)"
    R"({"name":"open","prefix":"/open/","service":"s","key_exempt":true}],)"
    R"("workspaces":)";

class Workspace : public testing::Test
{
      protected:
	preset_t *preset = nullptr;
	char message[MASTICPITCH_MESSAGE_MAX] = "";

	int
	parse(const std::string &workspaces)
	{
		std::string text = HEAD + workspaces + "}";

		preset_release(preset);
		preset = nullptr;
		return preset_parse(
		    text.data(), text.size(), &preset, message, sizeof(message));
	}
	std::string
	holder(const std::string &key)
	{
		const preset_workspace_t *found =
		    preset_workspace_find_key(preset, key.c_str());

		return found == nullptr ? "" : found->name;
	}
	void
	TearDown() override
	{
		preset_release(preset);
	}
};

TEST_F(Workspace, KeyNamesItsWorkspaceOnly)
{
	ASSERT_EQ(parse(R"({"north":{"keys":["k1","k2"],"priority":1,"rate_per_s":3.5,)"
			R"("burst":7},"alone":{"keys":[]},"south":{"keys":["k10"]}})"),
	    0)
	    << message;
	EXPECT_EQ(holder("k1"), "north");
	EXPECT_EQ(holder("k2"), "north");
	EXPECT_EQ(holder("k10"), "south");
	for (const char *unknown : {"", "k", "K1", "k1 ", "k11", "north"})
		EXPECT_EQ(holder(unknown), "") << unknown;
	const preset_workspace_t *north = preset_workspace_find(preset, "north");
	ASSERT_NE(north, nullptr);
	EXPECT_EQ(north->rate, 3.5);
	EXPECT_EQ(north->burst, 7);
	EXPECT_TRUE(north->has_priority);
	EXPECT_EQ(preset_workspace_find(preset, "alone")->rate, 0);
	EXPECT_TRUE(preset_route_find(preset, "GET", "/open/x")->key_exempt);
	EXPECT_FALSE(preset_route_find(preset, "GET", "/x")->key_exempt);
}

// Guards against ambiguous or unusable workspaces in force, and keys in messages.
TEST_F(Workspace, BadWorkspacesAreRefusedWithTheirPlace)
{
	const struct {
		const char *text;
		const char *place;
	} cases[] = {
	    {R"({"a":{"keys":["secret","secret"]}})", "\"a\": keys 0 and 1 are equal"},
	    {R"({"a":{"keys":["secret"]},"b":{"keys":["x","secret"]}})",
		"\"a\" and \"b\" hold the same key"},
	    {R"({"a":{"keys":["secret",""]}})", "workspaces.a: keys[1]"},
	    {R"({"a":{"keys":["secret 2"]}})", "workspaces.a: keys[0]"},
	    {R"({"a":{"keys":"secret"}})", "workspaces.a: keys"},
	    {R"({"a":{"keys":["secret"],"rate_per_s":-1}})", "workspaces.a: rate_per_s"},
	    {R"({"a":{"keys":["secret"],"rate_per_s":"9"}})", "workspaces.a: rate_per_s"},
	    {R"({"a":{"keys":["secret"],"burst":null}})", "workspaces.a: burst"},
	    {R"({"a":{"keys":["secret"],"priority":1001}})", "workspaces.a: priority"},
	    {R"({"a":{"keys":["secret"],"speed":1}})", "workspaces.a"},
	    {R"({"a b":{"keys":["secret"]}})", "workspaces.a b"},
	    {R"(["secret"])", "workspaces"},
	};

	for (const auto &item : cases) {
		EXPECT_NE(parse(item.text), 0) << item.text;
		EXPECT_NE(std::string(message).find(item.place), std::string::npos)
		    << message;
		EXPECT_EQ(std::string(message).find("secret"), std::string::npos)
		    << message;
	}
	EXPECT_EQ(parse(R"({"a":{"keys":["secret"]}})"), 0) << message;
}

// Guards against workspaces that are lost, or keep a withdrawn key, on their way through
// the record that nodes exchange.
TEST_F(Workspace, RecordKeepsWorkspaces)
{
	auto parts = std::make_unique<record_parts_t>();
	std::string text = HEAD +
			   R"({"n":{"keys":["k\"1"],"priority":2,"rate_per_s":0.1,)"
			   R"("burst":3},"z":{"keys":["k2"]}}})";
	record_preset_t split;

	record_parts_init(parts.get());
	ASSERT_EQ(record_preset_split("p", text.data(), text.size(), &split, parts.get(),
		      message, sizeof(message)),
	    0)
	    << message;
	ASSERT_EQ(
	    record_preset_parse(&split, parts.get(), &preset, message, sizeof(message)),
	    0)
	    << message;
	record_parts_clear(parts.get());
	EXPECT_EQ(holder("k\"1"), "n");
	EXPECT_EQ(holder("k2"), "z");
	EXPECT_EQ(preset_workspace_find(preset, "n")->rate, 0.1);
	EXPECT_EQ(preset_workspace_find(preset, "n")->priority, 2u);
	EXPECT_TRUE(preset_route_find(preset, "GET", "/open/x")->key_exempt);
}

// A document of the hosted platform with that many workspaces; their keys end in suffix.
std::string
document(int workspaces, const std::string &suffix)
{
	std::string text = R"({"version":"00000001","tenants":{)";

	for (int i = 0; i < workspaces; i++)
		text += (i > 0 ? ",\"" : "\"") + std::string("w") + std::to_string(i) +
			R"(":{"apiKeys":["a)" + std::to_string(i) + R"(","b)" +
			std::to_string(i) + (i == 7 ? suffix : "") +
			R"("],"priority":1,"ratePerS":5,"burst":6})";
	return text + R"(},"routes":{"r":{"host":"h.example","prefix":"/x/",)"
		      R"("kind":"safe","priority":2,"service":"s","maxAttempts":2,)"
		      R"("authExempt":true}},"services":{"s":{}}})";
}

// Guards against a change of one key that leaves the old one in force, and against one
// that has every node read the complete document again.
TEST_F(Workspace, ChangedKeyOfADocumentMovesOnePart)
{
	hosted_document_t documents[2];
	preset_text_t parts[2][HOSTED_DOCUMENT_PARTS];
	preset_t *older = nullptr;
	hosted_older_preset_t match = {};
	int changed = 0;

	for (int i = 0; i < 2; i++) {
		std::string source = document(100, i == 0 ? "old" : "new");

		ASSERT_EQ(hosted_document_split(source.data(), source.size(),
			      &documents[i], message, sizeof(message)),
		    0)
		    << message;
		for (size_t j = 0; j < documents[i].count; j++)
			parts[i][j] = {(const char *)documents[i].parts[j].data,
			    documents[i].parts[j].size};
	}
	ASSERT_EQ(documents[0].count, documents[1].count);
	ASSERT_EQ(hosted_preset_parse(parts[0], documents[0].count, nullptr, &older,
		      message, sizeof(message)),
	    0)
	    << message;
	match.preset = older;
	for (size_t j = 1; j < documents[0].count; j++) {
		bool same = std::string(parts[0][j].text, parts[0][j].size) ==
			    std::string(parts[1][j].text, parts[1][j].size);

		match.same_part[j] = same ? (uint32_t)j : 0;
		changed += !same;
	}
	EXPECT_EQ(changed, 1);
	ASSERT_EQ(hosted_preset_parse(parts[1], documents[1].count, &match, &preset,
		      message, sizeof(message)),
	    0)
	    << message;
	EXPECT_EQ(preset->workspace_count, 100u);
	EXPECT_EQ(holder("b7new"), "w7");
	EXPECT_EQ(holder("b7old"), "");
	EXPECT_EQ(holder("a99"), "w99");
	EXPECT_EQ(preset_rank(&preset->routes[0], preset_workspace_find(preset, "w7")),
	    PRESET_PRIORITY_MAX + 1u + 2u);
	EXPECT_TRUE(preset->routes[0].key_exempt);
	preset_release(older);
	for (int i = 0; i < 2; i++)
		hosted_document_free(&documents[i]);
}

} // namespace
