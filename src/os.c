#include "os.h"

#include "util.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define LISTEN_BACKLOG 1024

static uint64_t
clock_read(clockid_t clock)
{
	struct timespec now;

	clock_gettime(clock, &now);
	return (uint64_t)now.tv_sec * NS_PER_S + (uint64_t)now.tv_nsec;
}

uint64_t
os_clock_monotonic(void)
{
	return clock_read(CLOCK_MONOTONIC);
}

uint64_t
os_clock_wall_ms(void)
{
	return clock_read(CLOCK_REALTIME) / NS_PER_MS;
}

uint64_t
os_clock_cpu(void)
{
	return clock_read(CLOCK_PROCESS_CPUTIME_ID);
}

uint64_t
os_memory_resident(void)
{
	FILE *file = fopen("/proc/self/statm", "r");
	unsigned long total, resident = 0;

	if (file == NULL)
		return 0;
	if (fscanf(file, "%lu %lu", &total, &resident) != 2) /* NOLINT(cert-err34-c) */
		resident = 0;
	fclose(file);
	return (uint64_t)resident * (uint64_t)sysconf(_SC_PAGESIZE);
}

uint64_t
os_memory_peak(void)
{
	static const char name[] = "VmHWM:";
	FILE *file = fopen("/proc/self/status", "r");
	unsigned long kilobytes = 0;
	char line[128];

	if (file == NULL)
		return 0;
	while (kilobytes == 0 && fgets(line, sizeof(line), file) != NULL) {
		if (strncmp(line, name, sizeof(name) - 1) == 0)
			kilobytes = strtoul(line + sizeof(name) - 1, NULL, 10);
	}
	fclose(file);
	return (uint64_t)kilobytes * 1024;
}

static void
signals_fill(sigset_t *signals)
{
	sigemptyset(signals);
	sigaddset(signals, SIGTERM);
	sigaddset(signals, SIGINT);
	sigaddset(signals, SIGHUP);
}

void
os_signals_block(sigset_t *previous)
{
	sigset_t signals;

	signals_fill(&signals);
	pthread_sigmask(SIG_BLOCK, &signals, previous);
}

void
os_signals_unblock(void)
{
	sigset_t signals;

	signals_fill(&signals);
	pthread_sigmask(SIG_UNBLOCK, &signals, NULL);
}

void
os_signals_restore(const sigset_t *previous)
{
	pthread_sigmask(SIG_SETMASK, previous, NULL);
}

bool
os_stop_is_pending(void)
{
	sigset_t pending;

	if (sigpending(&pending) != 0)
		return false;
	return sigismember(&pending, SIGTERM) == 1 || sigismember(&pending, SIGINT) == 1;
}

void
os_sleep_until(uint64_t deadline)
{
	const struct timespec time = {.tv_sec = (time_t)(deadline / NS_PER_S),
	    .tv_nsec = (long)(deadline % NS_PER_S)};

	(void)clock_nanosleep(CLOCK_MONOTONIC, TIMER_ABSTIME, &time, NULL);
}

int
address_parse(const char *text, address_t *address)
{
	char ip[INET_ADDRSTRLEN];
	const char *colon = strrchr(text, ':');
	struct in_addr parsed;
	uint64_t port;

	if (colon == NULL || (size_t)(colon - text) >= sizeof(ip))
		return MASTICPITCH_E_INVALID;
	memcpy(ip, text, (size_t)(colon - text));
	ip[colon - text] = '\0';
	if (inet_pton(AF_INET, ip, &parsed) != 1)
		return MASTICPITCH_E_INVALID;
	if (string_parse_uint(colon + 1, UINT16_MAX, &port) != MASTICPITCH_OK)
		return MASTICPITCH_E_INVALID;
	address->ip = ntohl(parsed.s_addr);
	address->port = (uint16_t)port;
	return MASTICPITCH_OK;
}

void
address_format(const address_t *address, char text[ADDRESS_TEXT_BYTES])
{
	snprintf(text, ADDRESS_TEXT_BYTES, "%u.%u.%u.%u:%u", address->ip >> 24,
	    address->ip >> 16 & 255, address->ip >> 8 & 255, address->ip & 255,
	    (unsigned)address->port);
}

void
address_to_sockaddr(const address_t *address, struct sockaddr_in *sockaddr)
{
	memset(sockaddr, 0, sizeof(*sockaddr));
	sockaddr->sin_family = AF_INET;
	sockaddr->sin_port = htons(address->port);
	sockaddr->sin_addr.s_addr = htonl(address->ip);
}

void
address_from_sockaddr(const struct sockaddr_in *sockaddr, address_t *address)
{
	address->ip = ntohl(sockaddr->sin_addr.s_addr);
	address->port = ntohs(sockaddr->sin_port);
}

uint64_t
address_to_node_id(const address_t *address)
{
	uint64_t key = (uint64_t)address->ip << 16 | address->port;
	uint64_t id = hash_bytes(&key, sizeof(key), 0);

	return id != 0 ? id : 1;
}

static int
socket_bind(const address_t *address, int type, int *fd)
{
	struct sockaddr_in sockaddr;
	int one = 1;
	int error = MASTICPITCH_E_IO;
	int socket_fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (socket_fd < 0)
		return MASTICPITCH_E_IO;
	if (type == SOCK_STREAM)
		setsockopt(socket_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	address_to_sockaddr(address, &sockaddr);
	if (bind(socket_fd, (struct sockaddr *)&sockaddr, sizeof(sockaddr)) != 0) {
		if (errno == EADDRINUSE)
			error = MASTICPITCH_E_ADDRESS_IN_USE;
		goto fail;
	}
	if (type == SOCK_STREAM && listen(socket_fd, LISTEN_BACKLOG) != 0) {
		if (errno == EADDRINUSE)
			error = MASTICPITCH_E_ADDRESS_IN_USE;
		goto fail;
	}
	*fd = socket_fd;
	return MASTICPITCH_OK;
fail:
	close(socket_fd);
	return error;
}

int
os_socket_listen(const address_t *address, int *fd)
{
	return socket_bind(address, SOCK_STREAM, fd);
}

int
os_socket_datagram(const address_t *address, int *fd)
{
	return socket_bind(address, SOCK_DGRAM, fd);
}

int
os_socket_connect(const address_t *address, uint32_t source_ip, int *fd)
{
	struct sockaddr_in sockaddr;
	int one = 1;
	int socket_fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (socket_fd < 0)
		return MASTICPITCH_E_IO;
	setsockopt(socket_fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (source_ip != 0) {
		address_t source = {.ip = source_ip, .port = 0};

		setsockopt(
		    socket_fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &one, sizeof(one));
		address_to_sockaddr(&source, &sockaddr);
		if (bind(socket_fd, (struct sockaddr *)&sockaddr, sizeof(sockaddr)) != 0)
			goto fail;
	}
	address_to_sockaddr(address, &sockaddr);
	if (connect(socket_fd, (struct sockaddr *)&sockaddr, sizeof(sockaddr)) != 0 &&
	    errno != EINPROGRESS)
		goto fail;
	*fd = socket_fd;
	return MASTICPITCH_OK;
fail:
	close(socket_fd);
	return MASTICPITCH_E_IO;
}

uint16_t
os_socket_port(int fd)
{
	struct sockaddr_in sockaddr = {0};
	socklen_t size = sizeof(sockaddr);

	if (getsockname(fd, (struct sockaddr *)&sockaddr, &size) != 0)
		return 0;
	return ntohs(sockaddr.sin_port);
}
