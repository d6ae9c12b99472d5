// Guards the frame decoder against malformed input: no memory error, and an
// accepted frame can be encoded again.
#include "frame.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static frame_scratch_t scratch;
	Masticpitch__Frame *frame;
	message_t *message = NULL;
	buffer_t out;
	size_t length;

	frame_length(data, size, &length);
	frame = frame_decode(data, size);
	if (frame == NULL)
		return 0;
	if (frame_to_message(frame, 1000, &message) == MASTICPITCH_OK) {
		buffer_init(&out, 2 * FRAME_MAX_BYTES);
		if (frame_from_message(message, 1, 1000, &scratch) == MASTICPITCH_OK)
			frame_append(&scratch.frame, 16, &out);
		buffer_free(&out);
	}
	message_destroy(message);
	frame_free(frame);
	return 0;
}
