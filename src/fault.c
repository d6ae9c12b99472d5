#include "fault.h"

#ifdef MASTICPITCH_FAULTS

#include "os.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define COMMAND_MAX_BYTES 128

typedef struct fault_cut {
	uint32_t ip;
	uint32_t mask;
} fault_cut_t;

struct fault {
	kernel_t *kernel;
	service_t service; /* lets later callers of fault_acquire() find it */
	unsigned reference_count;
	int fd;
	ev_io reader;
	rng_t rng;
	unsigned loss_percent;
	fault_cut_t cuts[FAULT_CUTS_MAX];
	size_t cut_count;
};

static int
fault_cut_add(fault_t *fault, const char *text)
{
	uint32_t ip = 0, mask = 0;
	unsigned parts = 0;

	while (*text != '\0' && parts < 4) {
		char *end;
		unsigned long value = strtoul(text, &end, 10);

		if (end == text || value > 255 || (*end != '.' && *end != '\0'))
			return MASTICPITCH_E_INVALID;
		ip |= (uint32_t)value << (24 - 8 * parts);
		mask |= UINT32_C(255) << (24 - 8 * parts);
		parts++;
		text = *end == '.' ? end + 1 : end;
	}
	if (parts == 0 || *text != '\0')
		return MASTICPITCH_E_INVALID;
	if (fault->cut_count == FAULT_CUTS_MAX)
		return MASTICPITCH_E_LIMIT;
	fault->cuts[fault->cut_count++] = (fault_cut_t){ip, mask};
	return MASTICPITCH_OK;
}

int
fault_command(fault_t *fault, const char *command)
{
	uint64_t percent;

	if (strncmp(command, "cut ", 4) == 0)
		return fault_cut_add(fault, command + 4);
	if (strncmp(command, "cut-prefix ", 11) == 0)
		return fault_cut_add(fault, command + 11);
	if (strcmp(command, "heal") == 0) {
		fault->cut_count = 0;
		fault->loss_percent = 0;
		return MASTICPITCH_OK;
	}
	if (strncmp(command, "loss ", 5) == 0 &&
	    string_parse_uint(command + 5, 100, &percent) == MASTICPITCH_OK) {
		fault->loss_percent = (unsigned)percent;
		return MASTICPITCH_OK;
	}
	return MASTICPITCH_E_INVALID;
}

static void
fault_callback(struct ev_loop *loop, ev_io *watcher, int events)
{
	fault_t *fault = watcher->data;
	struct sockaddr_in from;
	socklen_t from_size = sizeof(from);
	char command[COMMAND_MAX_BYTES];
	const char *answer;
	ssize_t size = recvfrom(fault->fd, command, sizeof(command) - 1, 0,
	    (struct sockaddr *)&from, &from_size);

	if (size < 0)
		return;
	while (size > 0 && (command[size - 1] == '\n' || command[size - 1] == ' '))
		size--;
	command[size] = '\0';
	answer = fault_command(fault, command) == MASTICPITCH_OK ? "ok" : "error";
	sendto(fault->fd, answer, strlen(answer), 0, (struct sockaddr *)&from, from_size);
}

static void
fault_listen(fault_t *fault, const settings_t *settings)
{
	const char *text = getenv("MASTICPITCH_FAULT_PORT");
	address_t address = {.ip = settings->peers.ip};
	uint64_t port;

	if (text == NULL)
		return;
	if (string_parse_uint(text, UINT16_MAX, &port) != MASTICPITCH_OK)
		port = 0;
	address.port = (uint16_t)port;
	if (port == 0 || os_socket_datagram(&address, &fault->fd) != MASTICPITCH_OK) {
		fault->fd = -1;
		log_error(kernel_log(fault->kernel),
		    "fault port cannot be opened; fault commands are disabled",
		    LOG_TEXT("variable", "MASTICPITCH_FAULT_PORT"),
		    LOG_TEXT("port", text));
		return;
	}
	ev_io_init(&fault->reader, fault_callback, fault->fd, EV_READ);
	fault->reader.data = fault;
	ev_io_start(kernel_loop(fault->kernel), &fault->reader);
}

static void
fault_receive(void *state, message_t *message)
{
}

fault_t *
fault_acquire(kernel_t *kernel, const settings_t *settings)
{
	service_t *service = kernel_service_find(kernel, "fault");
	fault_t *fault;

	if (service != NULL) {
		fault = service->state;
		fault->reference_count++;
		return fault;
	}
	fault = calloc(1, sizeof(*fault));
	if (fault == NULL)
		return NULL;
	fault->kernel = kernel;
	fault->reference_count = 1;
	fault->fd = -1;
	rng_init(&fault->rng, rng_next(kernel_rng(kernel)));
	fault->service.name = "fault";
	fault->service.state = fault;
	fault->service.receive = fault_receive;
	kernel_service_register(kernel, &fault->service);
	fault_listen(fault, settings);
	return fault;
}

void
fault_release(fault_t *fault)
{
	if (fault == NULL || --fault->reference_count > 0)
		return;
	kernel_service_unregister(fault->kernel, &fault->service);
	if (fault->fd >= 0) {
		ev_io_stop(kernel_loop(fault->kernel), &fault->reader);
		close(fault->fd);
	}
	free(fault);
}

bool
fault_is_cut(const fault_t *fault, uint32_t ip)
{
	if (fault == NULL)
		return false;
	for (size_t i = 0; i < fault->cut_count; i++)
		if ((ip & fault->cuts[i].mask) == fault->cuts[i].ip)
			return true;
	return false;
}

bool
fault_drops_datagram(fault_t *fault, uint32_t ip)
{
	if (fault == NULL)
		return false;
	return fault_is_cut(fault, ip) ||
	       rng_below(&fault->rng, 100) < fault->loss_percent;
}

#else

struct fault {
	int unused;
};

fault_t *
fault_acquire(kernel_t *kernel, const settings_t *settings)
{
	return NULL;
}

void
fault_release(fault_t *fault)
{
}

bool
fault_is_cut(const fault_t *fault, uint32_t ip)
{
	return false;
}

bool
fault_drops_datagram(fault_t *fault, uint32_t ip)
{
	return false;
}

int
fault_command(fault_t *fault, const char *command)
{
	return MASTICPITCH_E_INVALID;
}

#endif
