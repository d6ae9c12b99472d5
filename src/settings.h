/*
 * The settings file of a node: JSON with comments. docs/design.md section 13
 * describes each key. Any thread.
 */
#ifndef MASTICPITCH_SETTINGS_H
#define MASTICPITCH_SETTINGS_H

#include "dialect.h"
#include "log.h"
#include "member_types.h"

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define SETTINGS_SEEDS_MAX 64
#define SETTINGS_KEYS_MAX 2
#define SETTINGS_KEY_BYTES 32
#define SETTINGS_TOKEN_BYTES 129
#define SETTINGS_URL_BYTES 257
#define SETTINGS_PREFIX_BYTES 65
#define SETTINGS_TEXT_MAX_BYTES (64 * 1024)

typedef enum spread_mode { SPREAD_FAST, SPREAD_FRUGAL } spread_mode_t;
typedef enum config_source {
	CONFIG_SOURCE_RELAY, /* some nodes of each availability zone watch */
	CONFIG_SOURCE_WATCH  /* baseline: every node watches, none notifies another */
} config_source_t;
typedef enum routing_policy { ROUTING_ADAPTIVE, ROUTING_NAIVE } routing_policy_t;

typedef struct mesh_key {
	uint8_t id;
	uint8_t secret[SETTINGS_KEY_BYTES];
} mesh_key_t;

/* Bounds that the platform's operator guarantees to callers and backend servers. */
typedef struct settings_bounds {
	uint32_t apply_ms;	  /* from a commit until it is in force on every node */
	uint32_t drain_ms;	  /* a leaving instance gets no new work after it */
	uint32_t retry_percent;	  /* retries, as a share of a service's requests */
	uint32_t retry_window_ms; /* window over which the share applies */
	uint32_t retry_extra;	  /* retries in a window beyond the share, all nodes */
	uint32_t kill_ms;	  /* a stopped process is killed after it; 0: no bound */
	/* Of a service's requests, to a new release that may be bad; 0: no rollouts. */
	uint32_t exposure_percent;
	uint32_t exposure_extra; /* requests beyond the share */
	uint32_t rollback_ms;	 /* after 50 bad answers a release gets no requests */
	/*
	 * If fail_closed, requests that need a workspace key are refused while the
	 * version in force has not been verified for revoke_ms; else they are served.
	 */
	bool fail_closed;
	uint32_t revoke_ms;
} settings_bounds_t;

/* The backend server of this host, if the settings name it. */
typedef struct settings_backend {
	char service[NAME_BYTES]; /* empty: known from announcements only */
	address_t address;
	uint32_t announce_ms; /* interval between announcements */
} settings_backend_t;

typedef struct settings {
	char zone[ZONE_BYTES];
	char region[ZONE_BYTES];
	address_t callers;
	address_t backend_servers;
	address_t peers;
	address_t operators;
	address_t readiness; /* port 0: no readiness listener */
	dialect_t dialect;
	settings_backend_t backend;
	settings_bounds_t bounds;
	char platform_url[SETTINGS_URL_BYTES];
	char platform_prefix[SETTINGS_PREFIX_BYTES];
	uint32_t platform_timeout_ms;
	address_t seeds[SETTINGS_SEEDS_MAX];
	size_t seed_count;
	mesh_key_t keys[SETTINGS_KEYS_MAX];
	size_t key_count;
	char operators_token[SETTINGS_TOKEN_BYTES];
	spread_mode_t spread;
	config_source_t config_source;
	uint32_t config_watchers; /* nodes of a zone that watch; 1: only the relay */
	routing_policy_t routing_policy;
	double link_mbps; /* of the host's network link, Mbit/s; 0: unknown */
	bool fixed_limit; /* gate limit is the announced slots instead of adaptive */
	uint32_t requests_max;
	uint32_t streams_per_peer_max;
	uint32_t shutdown_grace_ms;
	uint32_t shutdown_accept_ms; /* new requests of callers accepted this long */
	log_level_t log_level;
} settings_t;

/*
 * Reads and checks a settings file. On failure message is one line that names
 * file, key and reason; on success it is empty. Errors: MASTICPITCH_E_IO,
 * MASTICPITCH_E_INVALID, MASTICPITCH_E_LIMIT, MASTICPITCH_E_NOMEM.
 */
int settings_load(
    const char *path, settings_t *settings, char *message, size_t message_size);
/* Same as settings_load() for a text in memory; messages use name for the file. */
int settings_parse(const char *name, const char *text, size_t size, settings_t *settings,
    char *message, size_t message_size);

#ifdef __cplusplus
}
#endif

#endif
