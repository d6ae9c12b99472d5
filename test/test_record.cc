// Guards against a record that is accepted in part, digests that depend on how a preset
// is formatted, and orphan removal that selects a part which is still needed.
#include "record.h"

#include <gtest/gtest.h>
#include <memory>
#include <string>

static std::string
make_preset(int services, int deadline)
{
	std::string text = "{\"format\":1,\"services\":{";

	for (int i = 0; i < services; i++)
		text += (i ? ",\"s" : "\"s") + std::to_string(i) + "\":{}";
	return text +
	       "},\"routes\":[{\"name\":\"r\",\"prefix\":\"/\\\"x\",\"service\":\"s0\","
	       "\"deadline_ms\":" +
	       std::to_string(deadline) + "}]}";
}

struct Record : public ::testing::Test {
	std::unique_ptr<record_head_t> head{new record_head_t()};
	std::unique_ptr<record_parts_t> parts{new record_parts_t()};
	char message[MASTICPITCH_MESSAGE_MAX];

	Record()
	{
		record_parts_init(parts.get());
	}
	~Record() override
	{
		record_parts_clear(parts.get());
	}
	int
	add(const char *name, const std::string &text)
	{
		record_preset_t preset;
		int error = record_preset_split(name, text.data(), text.size(), &preset,
		    parts.get(), message, sizeof(message));

		return error ? error : record_preset_set(head.get(), &preset);
	}
	void
	commit(uint64_t version)
	{
		record_commit_t entry = {};

		entry.version = version;
		snprintf(entry.operation, sizeof(entry.operation), "%032llx",
		    (unsigned long long)version);
		strcpy(entry.operator_name, "ana");
		strcpy(entry.action, "edit");
		strcpy(entry.preset, "normal");
		record_history_add(head.get(), &entry);
		head->version = version;
		strcpy(head->in_force, "normal");
	}
	std::string
	format()
	{
		buffer_t text;
		std::string result;

		buffer_init(&text, RECORD_HEAD_MAX_BYTES);
		EXPECT_EQ(record_head_format(head.get(), &text), 0);
		result = buffer_text(&text);
		buffer_free(&text);
		return result;
	}
	int
	parse(const std::string &text, record_head_t **result)
	{
		return record_head_parse(
		    text.data(), text.size(), result, message, sizeof(message));
	}
};

TEST_F(Record, LargestHeadFitsAndRoundTrips)
{
	record_head_t *copy = NULL;

	ASSERT_EQ(add("normal", make_preset(1024, 1)), 0) << message;
	ASSERT_EQ(head->presets[0].part_count, (size_t)(1 + RECORD_BUCKETS));
	/* A document has parts of workspaces too. */
	while (head->presets[0].part_count < RECORD_PRESET_PARTS_MAX) {
		size_t i = head->presets[0].part_count++;

		digest_compute(&i, sizeof(i), &head->presets[0].parts[i]);
	}
	for (int i = 1; i < RECORD_PRESETS_MAX; i++) {
		record_preset_t preset = head->presets[0];

		memset(preset.name, 'a' + i, sizeof(preset.name) - 1);
		ASSERT_EQ(record_preset_set(head.get(), &preset), 0);
	}
	record_preset_t ninth = head->presets[0];
	strcpy(ninth.name, "ninth");
	EXPECT_EQ(record_preset_set(head.get(), &ninth), MASTICPITCH_E_LIMIT);
	for (int i = 0; i < 200; i++) {
		commit(RECORD_VERSION_MAX - 200 + (uint64_t)i);
		memset(head->history[head->history_count - 1].operator_name, 'o',
		    NAME_BYTES - 1);
		memset(
		    head->history[head->history_count - 1].preset, 'p', NAME_BYTES - 1);
		head->history[head->history_count - 1].at = INT64_MAX;
	}
	EXPECT_EQ(head->history_count, (size_t)RECORD_HISTORY_MAX);
	std::string text = format();
	ASSERT_EQ(parse(text, &copy), 0) << message;
	EXPECT_EQ(memcmp(copy, head.get(), sizeof(*copy)), 0);
	EXPECT_TRUE(record_history_covers(copy, RECORD_VERSION_MAX - 128));
	EXPECT_FALSE(record_history_covers(copy, RECORD_VERSION_MAX - 129));
	free(copy);
}

TEST_F(Record, DigestsDependOnContentNotOnFormatting)
{
	record_preset_t a, b;
	std::string spaced = "// note\n" + make_preset(10, 7) + "\n\n";
	std::string plain = make_preset(10, 7);

	ASSERT_EQ(record_preset_split("n", plain.data(), plain.size(), &a, parts.get(),
		      message, sizeof(message)),
	    0);
	ASSERT_EQ(record_preset_split("n", spaced.data(), spaced.size(), &b, parts.get(),
		      message, sizeof(message)),
	    0);
	EXPECT_EQ(memcmp(&a, &b, sizeof(a)), 0);
}

TEST_F(Record, EditChangesOnlyItsParts)
{
	std::unique_ptr<record_head_t> older(new record_head_t());
	std::string text = make_preset(320, 5);
	digest_t changed[RECORD_PARTS_MAX];

	ASSERT_EQ(add("normal", text), 0);
	*older = *head;
	text.replace(text.find("\"s7\":{}"), 7, "\"s7\":{\"queue_limit\":3}");
	ASSERT_EQ(add("normal", text), 0);
	EXPECT_EQ(record_head_diff(head.get(), older.get(), changed), 1u);
	EXPECT_EQ(record_parts_missing(parts.get(), head.get(), changed), 0u);
}

// A record with one invalid preset is refused completely, whichever preset it is and
// also if other presets were accepted before.
TEST_F(Record, OneInvalidPresetRefusesTheCompleteRecord)
{
	preset_t *preset = NULL;
	std::unique_ptr<record_cache_t> cache(new record_cache_t());
	const char bad[] = "{\"format\":1,\"routes\":[{\"name\":\"r\",\"prefix\":\"/\","
			   "\"service\":\"none\"}]}";

	ASSERT_EQ(add("normal", make_preset(3, 5)), 0);
	ASSERT_EQ(add("peak", make_preset(3, 6)), 0);
	commit(1);
	ASSERT_EQ(record_check(head.get(), cache.get(), parts.get(), &preset, message,
		      sizeof(message)),
	    0);
	EXPECT_EQ(preset->routes[0].deadline_ms, 5u);
	EXPECT_STREQ(preset->routes[0].prefix, "/\"x");
	preset_release(preset);
	preset = NULL;

	chunk_t *content = chunk_copy(bad, strlen(bad));
	record_parts_add(parts.get(), content);
	digest_compute(bad, strlen(bad), &head->presets[1].parts[0]);
	chunk_release(content);
	EXPECT_EQ(record_check(head.get(), cache.get(), parts.get(), &preset, message,
		      sizeof(message)),
	    MASTICPITCH_E_INVALID);
	EXPECT_NE(strstr(message, "preset peak: part 0: routes[0] r"), nullptr)
	    << message;
	EXPECT_EQ(preset, nullptr);
	EXPECT_EQ(cache->count, 2u);
	memset(&head->presets[1].parts[0], 1, sizeof(digest_t));
	EXPECT_EQ(record_check(head.get(), cache.get(), parts.get(), &preset, message,
		      sizeof(message)),
	    MASTICPITCH_E_NOT_FOUND);
	EXPECT_EQ(preset, nullptr);
	record_cache_retain(cache.get(), NULL);
}

// Guards: a switch gets a cached preset of other parts, or the cache keeps presets that
// no head names.
TEST_F(Record, SwitchUsesTheCachedPresetOfItsParts)
{
	std::unique_ptr<record_cache_t> cache(new record_cache_t());
	preset_t *preset = NULL;

	ASSERT_EQ(add("normal", make_preset(3, 5)), 0);
	ASSERT_EQ(add("peak", make_preset(3, 6)), 0);
	commit(1);
	for (int i = 0; i < 4; i++) {
		string_copy(
		    head->in_force, sizeof(head->in_force), i % 2 ? "peak" : "normal");
		ASSERT_EQ(record_check(head.get(), cache.get(), parts.get(), &preset,
			      message, sizeof(message)),
		    0);
		EXPECT_EQ(preset->routes[0].deadline_ms, i % 2 ? 6u : 5u);
		EXPECT_EQ(preset->references, 2u);
		preset_release(preset);
		EXPECT_EQ(cache->count, 2u);
	}
	ASSERT_EQ(record_preset_remove(head.get(), "normal"), 0);
	record_cache_retain(cache.get(), head.get());
	EXPECT_EQ(cache->count, 1u);
	record_cache_retain(cache.get(), NULL);
	EXPECT_EQ(cache->count, 0u);
}

TEST_F(Record, EachInvalidHeadIsRefused)
{
	const struct {
		const char *from;
		const char *to;
		const char *reason;
	} cases[] = {
	    {"\"format\":1", "\"format\":2", "format"},
	    {"\"in_force\":\"normal\"", "\"in_force\":\"gone\"", "not among"},
	    {"\"version\":9,", "\"version\":0,", "version"},
	    {"\"version\":9,", "\"version\":10,", "own version"},
	    {"\"version\":9,", "\"version\":9,\"extra\":1,", "extra"},
	    {"\"action\":\"edit normal\"", "\"action\":\"burn normal\"", "action"},
	    {"\"action\":\"edit normal\"", "\"action\":\"edit\"", "action"},
	    {"\"parts\":[\"", "\"parts\":[\"A", "32 hex digits"},
	    {"\"operator\":\"ana\"", "\"operator\":\"a a\"", "operator"},
	    {"\"history\":[", "\"history\":[3,", "history[0]"},
	    {"{", "{ /* no */", "comments"},
	};
	record_head_t *copy = NULL;

	ASSERT_EQ(add("normal", make_preset(3, 5)), 0);
	commit(8);
	commit(9);
	const std::string good = format();
	ASSERT_EQ(parse(good, &copy), 0);
	free(copy);
	for (const auto &item : cases) {
		std::string text = good;

		ASSERT_NE(text.find(item.from), std::string::npos) << item.from;
		text.replace(text.find(item.from), strlen(item.from), item.to);
		EXPECT_NE(parse(text, &copy), 0) << item.to;
		EXPECT_NE(strstr(message, item.reason), nullptr) << message;
	}
	EXPECT_EQ(parse(std::string(RECORD_HEAD_MAX_BYTES + 1, ' '), &copy),
	    MASTICPITCH_E_LIMIT);
	EXPECT_EQ(record_history_after(head.get(), 8)->version, 9u);
	EXPECT_EQ(record_history_after(head.get(), 9), nullptr);
}

TEST_F(Record, OrphansExcludePartsThatMayStillBeNeeded)
{
	std::unique_ptr<record_head_t> replaced(new record_head_t());
	record_stored_t stored[4] = {};

	ASSERT_EQ(add("normal", make_preset(1, 5)), 0);
	*replaced = *head;
	ASSERT_EQ(add("normal", make_preset(1, 6)), 0);
	stored[0] = {head->presets[0].parts[0], 5};
	stored[1] = {replaced->presets[0].parts[0], 4};
	stored[2].revision = 9; /* an orphan from before the head's write */
	stored[3].revision = 11;
	stored[3].digest.bytes[0] = 1; /* written by a committer that read this head */
	EXPECT_EQ(record_orphans_select(stored, 4, head.get(), replaced.get(), 10), 1u);
	EXPECT_EQ(stored[0].revision, 9u);
}
