/*
 * Frames between nodes over TCP: a length prefix of 4 bytes (big endian), a
 * protobuf Frame, and after the handshake a keyed digest (see auth.h). Pure
 * functions. Not thread-safe.
 */
#ifndef MASTICPITCH_FRAME_H
#define MASTICPITCH_FRAME_H

#include "buffer.h"
#include "masticpitch.pb-c.h"
#include "message.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Longest frame without its prefix, bytes. */
#define FRAME_MAX_BYTES (256 * 1024)
#define FRAME_PREFIX_BYTES 4
/* Control payload of one frame; limits how long an answer queues behind it. */
#define FRAME_CONTROL_MAX_BYTES (64 * 1024)
/*
 * Most memory that decoding one frame or payload may take, as a multiple of its
 * size plus a base: repeated empty fields would otherwise take 30 times their
 * encoded size.
 */
#define FRAME_DECODE_FACTOR 8
#define FRAME_DECODE_BASE_BYTES (32 * 1024)
/* Longest deadline of a route; a longer one is shortened to it when sent. */
#define FRAME_REMAINING_MS_MAX PRESET_DEADLINE_MS_MAX

/* Storage for one frame that is built from a message; points into the message. */
typedef struct frame_scratch {
	Masticpitch__Frame frame;
	union {
		Masticpitch__CallOpen call_open;
		Masticpitch__CallData call_data;
		Masticpitch__CallCancel call_cancel;
		Masticpitch__AnswerHead answer_head;
		Masticpitch__AnswerData answer_data;
		Masticpitch__Refusal refusal;
		Masticpitch__Credit credit;
	} body;
	Masticpitch__Load load;
	Masticpitch__Header headers[HEADERS_COUNT_MAX];
	Masticpitch__Header *header_pointers[HEADERS_COUNT_MAX];
} frame_scratch_t;

/* Bounded allocator for protobuf-c; frees as the library does. */
typedef struct frame_allocator {
	ProtobufCAllocator base;
	size_t remaining_bytes;
} frame_allocator_t;

void frame_allocator_init(frame_allocator_t *allocator, size_t encoded_size);

/*
 * Fills scratch from a CALL_*, ANSWER_* or REFUSAL message. The deadline
 * becomes the time that remains at now (monotonic, ns). Errors:
 * MASTICPITCH_E_INVALID for another type, MASTICPITCH_E_TIMEOUT if the call's
 * deadline has passed.
 */
int frame_from_message(
    const message_t *message, uint64_t stream, uint64_t now, frame_scratch_t *scratch);

/*
 * The message of a CALL_*, ANSWER_* or REFUSAL frame, with message->stream as on
 * the wire. Errors: MASTICPITCH_E_INVALID, MASTICPITCH_E_LIMIT for a value
 * outside its bounds, MASTICPITCH_E_NOMEM.
 */
int frame_to_message(const Masticpitch__Frame *frame, uint64_t now, message_t **message);

/*
 * Appends prefix and frame; the prefix also counts trailer bytes that the caller
 * appends. Errors: MASTICPITCH_E_LIMIT, MASTICPITCH_E_NOMEM; out is then unchanged.
 */
int frame_append(const Masticpitch__Frame *frame, size_t trailer, buffer_t *out);

/*
 * Reads the prefix of a frame. Errors: MASTICPITCH_E_LIMIT if the length is 0
 * or above FRAME_MAX_BYTES; MASTICPITCH_E_NOT_FOUND if the prefix is not complete.
 */
int frame_length(const uint8_t *data, size_t size, size_t *length);

/* Decodes a frame without prefix and trailer; NULL: malformed or too large. */
Masticpitch__Frame *frame_decode(const uint8_t *data, size_t size);
void frame_free(Masticpitch__Frame *frame);

#ifdef __cplusplus
}
#endif

#endif
