// Guards against a message whose head is accepted although it is none. Bytes that the
// fuzz target finds get a case here.
#include "http_message.h"

#include <gtest/gtest.h>
#include <string>

namespace
{

int heads; // without an error

bool
count_head(void *, http_head_t *head)
{
	heads += head->error == HTTP_MESSAGE_ERROR_NONE;
	return true;
}

bool
drop_body(void *, const char *, size_t)
{
	return true;
}

bool
drop_end(void *)
{
	return true;
}

http_message_error_t
parse_answer(const std::string &text)
{
	const http_message_events_t events = {count_head, drop_body, drop_end};
	http_message_parser_t parser;
	http_message_error_t error;
	size_t consumed = 0;

	heads = 0;
	http_message_parser_init(&parser, HTTP_RESPONSE, &events, nullptr);
	error = http_message_parser_run(&parser, text.data(), text.size(), &consumed);
	http_message_parser_free(&parser);
	return error;
}

// MIXED: an instance in trouble answers with the status 000.
TEST(HttpMessage, StatusOutsideTheRangeIsMalformed)
{
	for (const char *status : {"000", "001", "099", "600", "999"}) {
		EXPECT_EQ(parse_answer(std::string("HTTP/1.1 ") + status +
				       " Odd\r\nContent-Length: 0\r\n\r\n"),
		    HTTP_MESSAGE_ERROR_SYNTAX)
		    << status;
		EXPECT_EQ(heads, 0) << status;
	}
	for (const char *status : {"100", "200", "599"}) {
		EXPECT_EQ(parse_answer(std::string("HTTP/1.1 ") + status +
				       " Any\r\nContent-Length: 0\r\n\r\n"),
		    HTTP_MESSAGE_ERROR_NONE)
		    << status;
		EXPECT_EQ(heads, 1) << status;
	}
}

} // namespace
