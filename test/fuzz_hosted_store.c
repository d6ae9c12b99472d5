/* Answers of the hosted platform's store: no body may crash the codec. */
#include "fuzz_change.h"
#include "platform/hosted.h"

#include <stdlib.h>
#include <string.h>

static const char valid[] =
    "{\"events\":[{\"key\":\"op/config\",\"value\":\"YQ==\",\"revision\":5}],"
    "\"items\":[{\"key\":\"m/a\",\"value\":\"YQ==\",\"revision\":3}],\"hasMore\":false,"
    "\"key\":\"op/config\",\"value\":\"bm9kZS0x\",\"revision\":412,\"lease\":7,"
    "\"at\":530}";

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
answer_check(const uint8_t *data, size_t size)
{
	static const int statuses[] = {200, 412};
	char *text = calloc(size + 1, 1);
	http_answer_t http = {.body = text, .body_size = size};

	if (text == NULL)
		return;
	if (size > 0)
		memcpy(text, data, size);
	for (int kind = PLATFORM_CALL_GET; kind <= PLATFORM_CALL_WATCH; kind++) {
		platform_request_t request = {.kind = (platform_call_kind_t)kind};

		strcpy(request.prefix, "m/");
		strcpy(request.key, kind == PLATFORM_CALL_LIST ? "" : "head");
		for (size_t i = 0; i < 2; i++) {
			platform_decoded_t decoded = {.document = NULL};

			http.status = statuses[i];
			hosted_store_decode(&request, &http, &decoded);
			platform_decoded_free(&decoded);
		}
	}
	free(text);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	uint8_t changed[sizeof(valid)];

	answer_check(data, size);
	memcpy(changed, valid, sizeof(valid));
	fuzz_change(changed, sizeof(valid) - 1, data, size);
	answer_check(changed, sizeof(valid) - 1);
	return 0;
}
