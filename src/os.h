/*
 * Clocks, addresses and sockets. Thread-safe.
 */
#ifndef MASTICPITCH_OS_H
#define MASTICPITCH_OS_H

#include "masticpitch/masticpitch.h"

#include <netinet/in.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define NS_PER_US UINT64_C(1000)
#define NS_PER_MS UINT64_C(1000000)
#define NS_PER_S UINT64_C(1000000000)

/* A point in time that is never reached. */
#define TIME_NEVER UINT64_MAX

/* "255.255.255.255:65535" with its terminator. */
#define ADDRESS_TEXT_BYTES 22

/* An IPv4 address and port, both in host byte order. */
typedef struct address {
	uint32_t ip;
	uint16_t port;
} address_t;

/* Monotonic time, ns since an arbitrary start. */
uint64_t os_clock_monotonic(void);
/* Wall clock, ms since 1970 UTC; only for logs, history and incarnations. */
uint64_t os_clock_wall_ms(void);
/* CPU time used by this process, ns. */
uint64_t os_clock_cpu(void);
/* Resident memory of this process, bytes; 0 if it cannot be read. */
uint64_t os_memory_resident(void);
/* Highest resident memory of this process so far, bytes; 0 if it cannot be read. */
uint64_t os_memory_peak(void);

/*
 * Blocks the signals that a node handles: SIGTERM, SIGINT and SIGHUP. They stay pending
 * for the calling thread and the threads that it creates. previous may be NULL.
 */
void os_signals_block(sigset_t *previous);
void os_signals_unblock(void);
void os_signals_restore(const sigset_t *previous);
/* True if SIGTERM or SIGINT is blocked and pending. */
bool os_stop_is_pending(void);
/* Sleeps until that monotonic time, ns; signals that are not blocked end it earlier. */
void os_sleep_until(uint64_t deadline);

/* Parses "A.B.C.D:PORT". Errors: MASTICPITCH_E_INVALID. */
int address_parse(const char *text, address_t *address);
void address_format(const address_t *address, char text[ADDRESS_TEXT_BYTES]);
void address_to_sockaddr(const address_t *address, struct sockaddr_in *sockaddr);
void address_from_sockaddr(const struct sockaddr_in *sockaddr, address_t *address);
/* The 64-bit node id of the node that has this peer address; never 0. */
uint64_t address_to_node_id(const address_t *address);

/*
 * Opens a non-blocking listening TCP socket, close-on-exec. Errors:
 * MASTICPITCH_E_ADDRESS_IN_USE, MASTICPITCH_E_IO.
 */
int os_socket_listen(const address_t *address, int *fd);
/* Opens a non-blocking UDP socket bound to address. Errors as above. */
int os_socket_datagram(const address_t *address, int *fd);
/*
 * Starts a non-blocking TCP connect from the source IP (0: any). The socket becomes
 * writable when the connect has completed or failed. Errors: MASTICPITCH_E_IO.
 */
int os_socket_connect(const address_t *address, uint32_t source_ip, int *fd);
/* The local port of a bound socket, or 0 on an error. */
uint16_t os_socket_port(int fd);

#ifdef __cplusplus
}
#endif

#endif
