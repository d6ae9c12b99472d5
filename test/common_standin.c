#include "common_standin.h"

#include "headers.h"

#include <arpa/inet.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

/* How often a sleeping handler checks whether its caller has disconnected. */
#define DISCONNECT_CHECK_INTERVAL_NS (20 * NS_PER_MS)
/* Maximum number of open connections. */
#define CONNECTIONS_MAX 2048
/* Stack frames of sanitizer builds need more than the 128 KiB that suffice otherwise. */
#define THREAD_STACK_BYTES (512 * 1024)

void
standin_fail(const char *what, const char *detail)
{
	fprintf(stderr, "%s: %s\n", what, detail);
	exit(2);
}

const char *
standin_option(int argc, char **argv, const char *name, const char *fallback)
{
	for (int i = 1; i + 1 < argc; i += 2)
		if (strncmp(argv[i], "--", 2) == 0 && strcmp(argv[i] + 2, name) == 0)
			return argv[i + 1];
	return fallback;
}

double
standin_option_number(int argc, char **argv, const char *name, double fallback)
{
	const char *text = standin_option(argc, argv, name, NULL);
	char *end;
	double value;

	if (text == NULL)
		return fallback;
	value = strtod(text, &end);
	if (end == text || *end != '\0')
		standin_fail(name, "not a number");
	return value;
}

void
standin_query(const char *uri, const char *name, char *value, size_t size)
{
	const char *at = strchr(uri, '?');
	size_t length = strlen(name);

	value[0] = '\0';
	while (at != NULL) {
		at++;
		if (strncmp(at, name, length) == 0 && at[length] == '=') {
			size_t span = strcspn(at + length + 1, "&");

			if (span < size) {
				memcpy(value, at + length + 1, span);
				value[span] = '\0';
			}
			return;
		}
		at = strchr(at, '&');
	}
}

double
standin_query_number(const char *uri, const char *name, double fallback)
{
	char text[32];

	standin_query(uri, name, text, sizeof(text));
	return text[0] != '\0' ? strtod(text, NULL) : fallback;
}

uint64_t
standin_seed(const char *text)
{
	return hash_string(text);
}

void
standin_pattern(uint64_t seed, uint64_t offset, uint8_t *data, size_t size)
{
	for (size_t i = 0; i < size;) {
		uint64_t block = (offset + i) / 8;
		uint64_t word = (block + 1) * UINT64_C(0x9e3779b97f4a7c15) ^ seed;

		word ^= word >> 29;
		word *= UINT64_C(0xbf58476d1ce4e5b9);
		word ^= word >> 32;
		for (size_t k = (offset + i) % 8; k < 8 && i < size; k++, i++)
			data[i] = (uint8_t)(word >> (8 * k));
	}
}

int
standin_answer(const char *method, const char *uri, uint64_t body_size,
    const digest_t *body_digest, buffer_t *answer)
{
	char digest[DIGEST_TEXT_BYTES];
	uint64_t size = (uint64_t)standin_query_number(uri, "size", 64);
	uint64_t seed = standin_seed(uri);
	uint8_t block[4096];
	int error;

	digest_format(body_digest, digest);
	error = buffer_printf(answer, "%s %s %llu %s\n", method, uri,
	    (unsigned long long)body_size, digest);
	for (uint64_t offset = 0; error == 0 && offset < size;) {
		size_t piece = MIN_OF(sizeof(block), size - offset);

		standin_pattern(seed, offset, block, piece);
		error = buffer_append(answer, block, piece);
		offset += piece;
	}
	return error;
}

struct MHD_Daemon *
standin_listen(const char *address_text, MHD_AccessHandlerCallback handler,
    MHD_RequestCompletedCallback completed, standin_log_uri_t log_uri, void *state)
{
	char text[ADDRESS_TEXT_BYTES];
	struct MHD_Daemon *mhd;
	address_t address;
	int fd;

	if (address_parse(address_text, &address) != MASTICPITCH_OK)
		standin_fail(address_text, "not IP:PORT");
	if (os_socket_listen(&address, &fd) != MASTICPITCH_OK)
		standin_fail(address_text, "cannot listen");
	address.port = os_socket_port(fd);
	mhd = MHD_start_daemon(MHD_USE_THREAD_PER_CONNECTION |
				   MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL,
	    0, NULL, NULL, handler, state, MHD_OPTION_LISTEN_SOCKET, fd,
	    MHD_OPTION_NOTIFY_COMPLETED, completed, state, MHD_OPTION_URI_LOG_CALLBACK,
	    log_uri, state, MHD_OPTION_CONNECTION_LIMIT, (unsigned)CONNECTIONS_MAX,
	    MHD_OPTION_THREAD_STACK_SIZE, (size_t)THREAD_STACK_BYTES, MHD_OPTION_END);
	if (mhd == NULL)
		standin_fail(address_text, "cannot start the HTTP server");
	address_format(&address, text);
	printf("listening %s\n", text);
	fflush(stdout);
	return mhd;
}

enum MHD_Result
standin_reply(struct MHD_Connection *connection, unsigned status, const char *body,
    size_t size, const char *header, const char *value)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
	    size, (void *)(uintptr_t)body, MHD_RESPMEM_MUST_COPY);
	const char *id =
	    MHD_lookup_connection_value(connection, MHD_HEADER_KIND, HEADER_REQUEST_ID);
	enum MHD_Result result;

	if (response == NULL)
		return MHD_NO;
	if (id != NULL)
		(void)MHD_add_response_header(response, HEADER_REQUEST_ID, id);
	if (header != NULL)
		(void)MHD_add_response_header(response, header, value);
	result = MHD_queue_response(connection, status, response);
	MHD_destroy_response(response);
	return result;
}

bool
standin_disconnected(struct MHD_Connection *connection)
{
	const union MHD_ConnectionInfo *info =
	    MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
	struct pollfd poller = {
	    .fd = info != NULL ? info->connect_fd : -1, .events = POLLRDHUP};

	return poller.fd >= 0 && poll(&poller, 1, 0) == 1 &&
	       (poller.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

bool
standin_sleep(struct MHD_Connection *connection, uint64_t ns)
{
	uint64_t end = os_clock_monotonic() + ns;
	uint64_t now;

	while ((now = os_clock_monotonic()) < end) {
		uint64_t pause = MIN_OF(end - now, DISCONNECT_CHECK_INTERVAL_NS);
		struct timespec time = {.tv_sec = 0, .tv_nsec = (long)pause};

		nanosleep(&time, NULL);
		if (standin_disconnected(connection))
			return false;
	}
	return true;
}
