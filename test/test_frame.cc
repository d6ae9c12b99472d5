// Guards the framing between nodes against lengths and contents outside their
// bounds, memory amplification, and loss of any field on the wire.
#include "frame.h"

#include <gtest/gtest.h>
#include <string.h>

static message_t *
round_trip(const message_t *message, uint64_t sent_at, uint64_t received_at)
{
	static frame_scratch_t scratch;
	message_t *result = NULL;
	buffer_t out;
	size_t length = 0;

	buffer_init(&out, 2 * FRAME_MAX_BYTES);
	EXPECT_EQ(frame_from_message(message, 77, sent_at, &scratch), 0);
	EXPECT_EQ(frame_append(&scratch.frame, 0, &out), 0);
	EXPECT_EQ(frame_length(out.data, out.size, &length), 0);
	EXPECT_EQ(length + FRAME_PREFIX_BYTES, out.size);
	Masticpitch__Frame *frame = frame_decode(out.data + FRAME_PREFIX_BYTES, length);
	EXPECT_NE(frame, nullptr);
	if (frame != NULL) {
		EXPECT_EQ(frame_to_message(frame, received_at, &result), 0);
	}
	frame_free(frame);
	buffer_free(&out);
	return result;
}

TEST(Frame, CallHeadKeepsEveryField)
{
	message_t *message = message_create(MESSAGE_CALL_OPEN, 1, 2);
	call_head_t *call = call_head_create();
	uint64_t now = 1000 * NS_PER_S;

	message->u.call = call;
	strcpy(call->method, "POST");
	call->path = strdup("/katalogo/x?y=1");
	headers_add(&call->headers, "Accept", "text/plain");
	headers_add(&call->headers, "X-Empty", "");
	call->body_length = -1;
	call->has_body = true;
	strcpy(call->service, "katalogo");
	call->route_class = ROUTE_UPLOAD;
	call->idempotent = true;
	call->deadline = now + 1500 * NS_PER_MS + 250 * NS_PER_US;
	call->depth = 18;
	call->attempt = 3;
	strcpy(call->request_id, "r1");
	strcpy(call->trace, "00-aa-bb-01");
	strcpy(call->ticket, "t");
	call->fingerprint = 99;
	// The receiver's clock differs; the remaining time is the same.
	message_t *got = round_trip(message, now, 5 * NS_PER_S);
	ASSERT_NE(got, nullptr);
	const call_head_t *head = got->u.call;
	EXPECT_EQ(got->stream, 77u);
	EXPECT_STREQ(head->method, "POST");
	EXPECT_STREQ(head->path, "/katalogo/x?y=1");
	EXPECT_EQ(head->headers.count, 2u);
	EXPECT_STREQ(headers_find(&head->headers, "accept"), "text/plain");
	EXPECT_EQ(head->body_length, -1);
	EXPECT_TRUE(head->has_body);
	EXPECT_STREQ(head->service, "katalogo");
	EXPECT_EQ(head->route_class, ROUTE_UPLOAD);
	EXPECT_TRUE(head->idempotent);
	EXPECT_EQ(head->deadline, 5 * NS_PER_S + 1500 * NS_PER_MS + 250 * NS_PER_US);
	EXPECT_EQ(head->depth, 18u);
	EXPECT_EQ(head->attempt, 3u);
	EXPECT_STREQ(head->request_id, "r1");
	EXPECT_STREQ(head->trace, "00-aa-bb-01");
	EXPECT_STREQ(head->ticket, "t");
	EXPECT_EQ(head->fingerprint, 99u);
	message_destroy(got);
	message_destroy(message);
}

TEST(Frame, ExpiredCallIsNotEncoded)
{
	static frame_scratch_t scratch;
	message_t *message = message_create(MESSAGE_CALL_OPEN, 1, 2);

	message->u.call = call_head_create();
	message->u.call->path = strdup("/");
	message->u.call->deadline = 10;
	EXPECT_EQ(frame_from_message(message, 1, 10, &scratch), MASTICPITCH_E_TIMEOUT);
	message_destroy(message);
}

TEST(Frame, AnswersRefusalsAndCreditsKeepTheirValues)
{
	message_t *message = message_create(MESSAGE_ANSWER_ABORT, 1, 2);

	message->u.refusal = {REASON_BACKEND_LOST, RUN_UNKNOWN, true, {1, 2, 3, 4, 5}, 6};
	message_t *got = round_trip(message, 0, 0);
	EXPECT_EQ(got->type, MESSAGE_ANSWER_ABORT);
	EXPECT_EQ(got->u.refusal.reason, REASON_BACKEND_LOST);
	EXPECT_EQ(got->u.refusal.run, RUN_UNKNOWN);
	EXPECT_TRUE(got->u.refusal.final);
	EXPECT_EQ(got->u.refusal.load.latency_us, 5u);
	EXPECT_EQ(got->u.refusal.retry_after_ms, 6u);
	message_destroy(got);
	message->type = MESSAGE_REFUSAL;
	got = round_trip(message, 0, 0);
	EXPECT_EQ(got->type, MESSAGE_REFUSAL);
	message_destroy(got);
	message_destroy(message);
	message = message_create(MESSAGE_ANSWER_CREDIT, 1, 2);
	message->u.credit = 4096;
	got = round_trip(message, 0, 0);
	EXPECT_EQ(got->type, MESSAGE_ANSWER_CREDIT);
	EXPECT_EQ(got->u.credit, 4096u);
	message_destroy(got);
	message_destroy(message);
	message = message_create(MESSAGE_ANSWER_DATA, 1, 2);
	message->u.data.end = true;
	got = round_trip(message, 0, 0);
	EXPECT_EQ(got->u.data.chunk, nullptr);
	EXPECT_TRUE(got->u.data.end);
	message_destroy(got);
	message_destroy(message);
}

TEST(Frame, LengthsOutsideTheBoundsAreRefused)
{
	const uint8_t zero[4] = {0, 0, 0, 0};
	const uint8_t largest[4] = {0, 4, 0, 0};
	const uint8_t above[4] = {0, 4, 0, 1};
	const uint8_t huge[4] = {255, 255, 255, 255};
	size_t length = 0;

	EXPECT_EQ(frame_length(zero, 3, &length), MASTICPITCH_E_NOT_FOUND);
	EXPECT_EQ(frame_length(zero, 4, &length), MASTICPITCH_E_LIMIT);
	EXPECT_EQ(frame_length(above, 4, &length), MASTICPITCH_E_LIMIT);
	EXPECT_EQ(frame_length(huge, 4, &length), MASTICPITCH_E_LIMIT);
	EXPECT_EQ(frame_length(largest, 4, &length), 0);
	EXPECT_EQ(length, (size_t)FRAME_MAX_BYTES);
}

TEST(Frame, DecodingTakesBoundedMemory)
{
	// 60,000 empty header fields, two bytes each: 100 times that as structures.
	const size_t count = 60000;
	const size_t inner = count * 2;
	std::string bytes;

	bytes.push_back(0x1a);
	for (size_t v = inner; v != 0; v >>= 7)
		bytes.push_back((char)((v & 127) | (v > 127 ? 128 : 0)));
	for (size_t i = 0; i < count; i++) {
		bytes.push_back(0x22);
		bytes.push_back(0);
	}
	EXPECT_EQ(frame_decode((const uint8_t *)bytes.data(), bytes.size()), nullptr);
}

TEST(Frame, ValuesOutsideTheirBoundsAreRefused)
{
	Masticpitch__Frame frame = MASTICPITCH__FRAME__INIT;
	Masticpitch__Refusal refusal = MASTICPITCH__REFUSAL__INIT;
	Masticpitch__Credit credit = MASTICPITCH__CREDIT__INIT;
	Masticpitch__CallData data = MASTICPITCH__CALL_DATA__INIT;
	static uint8_t bytes[STREAM_DATA_MAX_BYTES + 1];
	message_t *message;

	frame.body_case = MASTICPITCH__FRAME__BODY_REFUSAL;
	frame.refusal = &refusal;
	refusal.reason = REASON_COUNT;
	EXPECT_NE(frame_to_message(&frame, 0, &message), 0);
	refusal.reason = 1;
	refusal.run = RUN_YES + 1;
	EXPECT_NE(frame_to_message(&frame, 0, &message), 0);
	frame.body_case = MASTICPITCH__FRAME__BODY_CREDIT;
	frame.credit = &credit;
	credit.bytes = STREAM_WINDOW_BYTES + 1;
	EXPECT_NE(frame_to_message(&frame, 0, &message), 0);
	frame.body_case = MASTICPITCH__FRAME__BODY_CALL_DATA;
	frame.call_data = &data;
	data.data.data = bytes;
	data.data.len = sizeof(bytes);
	EXPECT_NE(frame_to_message(&frame, 0, &message), 0);
	frame.body_case = MASTICPITCH__FRAME__BODY__NOT_SET;
	EXPECT_NE(frame_to_message(&frame, 0, &message), 0);
}
