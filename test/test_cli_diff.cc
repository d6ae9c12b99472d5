// Guards the comparison of presets against keys of workspaces in its output, and against
// changes that it leaves out.
#include "cli_platform.h"

#include <gtest/gtest.h>
#include <string>

namespace
{

std::string
diff(const char *before_text, const char *after_text, size_t *count)
{
	struct json_object *before = json_tokener_parse(before_text);
	struct json_object *after = json_tokener_parse(after_text);
	char text[4096] = "";
	FILE *out = fmemopen(text, sizeof(text), "w");

	*count = cli_preset_diff(out, before, after);
	fclose(out);
	json_object_put(before);
	json_object_put(after);
	return text;
}

TEST(CliDiff, KeysAreCountedAndNotPrinted)
{
	size_t count = 0;

	EXPECT_EQ(
	    diff(R"({"workspaces":{"north":{"keys":["s1","s2"],"rate_per_s":5},)"
		 R"("east":{"keys":["s5"]}}})",
		R"({"workspaces":{"north":{"keys":["s3","s2","s4"],"rate_per_s":6},)"
		R"("south":{"keys":["s6"],"priority":1}}})",
		&count),
	    "~ workspace north: rate_per_s 5 -> 6\n"
	    "+ workspace south: { \"priority\": 1 }\n"
	    "- workspace east\n"
	    "~ workspace north: keys: 2 added, 1 removed\n"
	    "~ workspace south: keys: 1 added, 0 removed\n");
	EXPECT_EQ(count, 5u);
	EXPECT_EQ(diff("{}", "{}", &count), "");
	EXPECT_EQ(diff(R"({"workspaces":{"a":{"keys":["s1"]}}})",
		      R"({"workspaces":{"a":{"keys":["s1"]}}})", &count),
	    "");
}

} // namespace
