/*
 * Record of one node in the member table; passed between services by value.
 */
#ifndef MASTICPITCH_MEMBER_TYPES_H
#define MASTICPITCH_MEMBER_TYPES_H

#include "os.h"

#include <stdbool.h>
#include <stdint.h>

#define NAME_BYTES 65 /* 64 characters and a terminator */
#define ZONE_BYTES 33 /* 32 characters and a terminator */

typedef enum member_state {
	MEMBER_ALIVE,
	MEMBER_SUSPECT,
	MEMBER_LEAVING,
	MEMBER_DOWN
} member_state_t;

typedef enum instance_state {
	INSTANCE_NONE,	   /* no backend server behind the node now */
	INSTANCE_STARTING, /* announced, not ready */
	INSTANCE_READY,
	INSTANCE_LEAVING
} instance_state_t;

/* The backend server behind a node. */
typedef struct instance {
	instance_state_t state;
	char service[NAME_BYTES];
	uint32_t slots;	      /* calls it runs concurrently */
	uint32_t connections; /* most connections to it */
	uint32_t sequence;    /* grows with each change within a boot of the node */
	uint64_t started_ms;  /* wall clock of its start; 0: not known */
	/* Newest start of a backend server there that has left; see member_t. */
	uint64_t departed_ms;
	char release[NAME_BYTES]; /* version of its software; empty: not known */
} instance_t;

typedef struct member {
	uint64_t node;	   /* address_to_node_id(&address) */
	address_t address; /* peers' address, TCP and UDP */
	char zone[ZONE_BYTES];
	char region[ZONE_BYTES];
	uint32_t link_mbps;   /* of the host's network link; 0: not known */
	uint64_t incarnation; /* wall clock at start, ms; raised to refute a state */
	member_state_t state;
	instance_t instance;
	/*
	 * Newest start of a backend server there that has left, wall clock in ms; 0:
	 * none. Only grows, also across restarts of the node: other nodes remember it.
	 * Such a server is not used again, whatever the node says of it.
	 */
	uint64_t departed_ms;
	uint64_t config_version; /* in force there, as last received */
	bool reachable;		 /* false while the member's zone is unreachable; local */
} member_t;

#endif
