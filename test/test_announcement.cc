// Parsing of announcements: a missing or invalid field gives an error text for that
// field, and all fields of a valid body are stored.
#include "announcement.h"

#include <gtest/gtest.h>
#include <string>

namespace
{

std::string
body_with(const std::string &address, const std::string &more)
{
	return "{\"service\":\"katalogo\",\"instance\":\"k-1\",\"address\":\"" + address +
	       "\",\"slots\":10,\"connections\":110,\"state\":\"ready\",\"boot\":\"b1\"" +
	       more + "}";
}

std::string
error_of(const std::string &text)
{
	gate_backend_t backend = {};
	const char *error = announcement_parse(text.c_str(), text.size(), &backend);

	return error != nullptr ? error : "";
}

TEST(Announcement, ValidBodyIsParsedCompletely)
{
	gate_backend_t backend = {};
	std::string text = body_with("127.0.0.1:9001", ",\"load\":0.25");

	ASSERT_EQ(announcement_parse(text.c_str(), text.size(), &backend), nullptr);
	EXPECT_STREQ(backend.service, "katalogo");
	EXPECT_STREQ(backend.instance, "k-1");
	EXPECT_STREQ(backend.boot, "b1");
	EXPECT_EQ(backend.address.port, 9001);
	EXPECT_EQ(backend.slots, 10u);
	EXPECT_EQ(backend.connections, 110u);
	EXPECT_EQ(backend.state, INSTANCE_READY);
	EXPECT_EQ(backend.load, 0.25);
	EXPECT_FALSE(backend.live);
}

TEST(Announcement, EachErrorIsReported)
{
	EXPECT_EQ(error_of(""), "not valid JSON");
	EXPECT_EQ(error_of("[]"), "not a JSON object");
	EXPECT_EQ(error_of("{}"), "a text field is missing");
	EXPECT_EQ(error_of(body_with("127.0.0.1:0", "")), "address is not IP:PORT");
	EXPECT_EQ(error_of(body_with("127.0.0.1:9001", ",\"load\":1.5")),
	    "load is not between 0 and 1");
	EXPECT_EQ(error_of(body_with("127.0.0.1:9001", ",\"load\":NaN")),
	    "load is not between 0 and 1");
	EXPECT_EQ(error_of(body_with("127.0.0.1:9001", ",\"load\":\"abc\"")),
	    "load is not a number");
	EXPECT_EQ(
	    error_of(body_with("127.0.0.1:9001", "") + " x"), "text after the object");
	EXPECT_EQ(error_of(body_with("127.0.0.1:9001", "") + "\r\n"), "");
}

} // namespace
