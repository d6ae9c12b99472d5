/*
 * Presets: the routes and services that operators configure and nodes route by.
 * Parsing and validation are pure functions of the text. May be called on any
 * thread; a preset's reference count is not atomic.
 */
#ifndef MASTICPITCH_PRESET_H
#define MASTICPITCH_PRESET_H

#include "buffer.h"
#include "member_types.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define PRESET_FORMAT 1
#define PRESET_SERVICES_MAX 1024
#define PRESET_ROUTES_MAX 8192
#define PRESET_PREFIX_BYTES 257 /* 256 characters and a terminator */
#define PRESET_HOST_BYTES 129
/* Routes with a priority up to this one are served before the others. */
#define PRESET_PRIORITY_URGENT_MAX 1
/* Largest priority of a route or a workspace. */
#define PRESET_PRIORITY_MAX 1000
#define PRESET_SPLITS_MAX 8
#define PRESET_WORKSPACES_MAX 10000
#define PRESET_WORKSPACE_KEYS_MAX 64
/* Length of a key, bytes, without a terminator. */
#define PRESET_KEY_MAX_BYTES 128
#define PRESET_METHODS_MAX 8
#define PRESET_ATTEMPTS_MAX 5
/* Default of min_attempt_ms. */
#define PRESET_MIN_ATTEMPT_MS_DEFAULT 5
#define PRESET_DEADLINE_MS_MAX (24 * 60 * 60 * 1000)
/* Longest text of a preset file or of one part. */
#define PRESET_TEXT_MAX_BYTES (1024 * 1024)
#define PRESET_IN_FLIGHT_MAX 65536
#define PRESET_QUEUE_MAX 65536
/*
 * Default of slow_start_ms: backend servers are cold for some three seconds; a longer
 * slow start leaves warm ones underused after a restart of their node.
 */
#define PRESET_SLOW_START_MS_DEFAULT 3000
#define PRESET_SLOW_START_MS_MAX (10 * 60 * 1000)
#define PRESET_BODY_LIMIT_MAX_BYTES (UINT64_C(1) << 40)
/* Most parts of preset_parse_parts(): one of routes and 32 buckets of services. */
#define PRESET_PARTS_MAX 33

typedef enum route_class {
	ROUTE_CALL,	/* non-idempotent; the safe default */
	ROUTE_LOOKUP,	/* idempotent */
	ROUTE_UPLOAD,	/* streamed, non-idempotent */
	ROUTE_INTERNAL, /* calls between services */
	ROUTE_CLASS_COUNT
} route_class_t;

/* A service's settings; preset_service_init() has the defaults. */
typedef struct preset_service {
	char name[NAME_BYTES];
	uint32_t queue_limit;	  /* calls waiting at each gate; 0: 4 x slots */
	uint32_t in_flight_limit; /* calls in flight from each entry */
	uint32_t retry_percent;	  /* retries as a share of requests, 0 to 100 */
	/* Utilisation of the own zone above which requests spill over. */
	uint32_t spill_percent;
	uint32_t slow_start_ms;	  /* slow start of a new instance */
	uint32_t connections_max; /* to one backend server; 0: as it announces */
} preset_service_t;

/* One target of a route's weighted split. */
typedef struct preset_split {
	uint32_t service; /* index into services */
	uint32_t weight;
} preset_split_t;

/*
 * A workspace: callers that share keys, a rank and a quota. The quota holds for all
 * nodes together: in any time of t seconds at most rate * t + burst requests run.
 */
typedef struct preset_workspace {
	char name[NAME_BYTES];
	bool has_priority;
	uint32_t priority;  /* if has_priority; 0 is the most urgent */
	double rate;	    /* requests a second; 0: no quota */
	double burst;	    /* requests */
	uint32_t part;	    /* index of the part that it was read from */
	uint32_t key_first; /* index into the preset's keys */
	uint32_t key_count;
} preset_workspace_t;

/* A key that callers of a workspace send. Never logged. */
typedef struct preset_key {
	uint32_t offset;    /* into the preset's key_text */
	uint32_t workspace; /* index into workspaces */
} preset_key_t;

/* Bounds on callers' requests; 0: the node's own bound applies. */
typedef struct preset_limits {
	uint32_t header_bytes;
	uint64_t body_bytes;
	uint32_t header_timeout_ms;
	uint32_t idle_timeout_ms; /* of a connection without a request */
} preset_limits_t;

typedef struct preset_route {
	char name[NAME_BYTES];
	char methods[PRESET_METHODS_MAX][16]; /* none: every method */
	size_t method_count;
	char host[PRESET_HOST_BYTES]; /* lower case, no port; empty: any */
	char prefix[PRESET_PREFIX_BYTES];
	/* Index into services; if there are splits, that of the first. */
	uint32_t service;
	preset_split_t splits[PRESET_SPLITS_MAX];
	size_t split_count; /* 0: all requests go to service */
	uint32_t part;	    /* index of the part that the route was read from */
	bool has_priority;  /* ordered by priority instead of class */
	uint32_t priority;  /* if has_priority; 0 is the most urgent */
	uint32_t target_ms; /* answers within this time have full value; 0: not given */
	bool key_exempt;    /* callers need no workspace key */
	route_class_t route_class;
	bool idempotent;
	uint32_t deadline_ms;	 /* longest time for a request */
	uint32_t min_attempt_ms; /* no attempt starts with less time left */
	uint32_t attempts;	 /* most attempts of a request, the first included */
	uint64_t body_limit_bytes;
} preset_route_t;

typedef struct preset {
	uint32_t references;	    /* everything else is immutable after parsing */
	preset_service_t *services; /* sorted by name */
	size_t service_count;
	preset_route_t *routes; /* sorted: longest prefix first, then prefix, name */
	size_t route_count;
	/* If there are any, each request needs a workspace key; sorted by name. */
	preset_workspace_t *workspaces;
	size_t workspace_count;
	preset_key_t *keys;
	size_t key_count;
	buffer_t key_text;   /* the keys, each with a terminator */
	uint32_t *key_index; /* hash table: key to its index + 1; private */
	uint32_t key_mask;   /* slots - 1; private */
	uint32_t *index;     /* hash table: prefix to its first route; private */
	uint32_t index_mask; /* slots - 1; private */
	bool has_hosts;	     /* some route is for one host only; private */
	preset_limits_t limits;
	uint64_t lengths[(PRESET_PREFIX_BYTES + 63) / 64]; /* prefix lengths in use */
} preset_t;

/* One text of a preset that is stored in parts. */
typedef struct preset_text {
	const char *text;
	size_t size;
} preset_text_t;

/*
 * Parses and validates a preset: JSON, which may have comments. On failure message
 * names the location and the reason. The result holds one reference, to be dropped by
 * preset_release(). Errors: MASTICPITCH_E_INVALID, MASTICPITCH_E_LIMIT,
 * MASTICPITCH_E_NOMEM.
 */
int preset_parse(
    const char *text, size_t size, preset_t **preset, char *message, size_t message_size);
/*
 * The same for a preset in parts, JSON without comments: the first part has the
 * routes, each further one has services. Messages name the part. Errors as above.
 */
int preset_parse_parts(const preset_text_t *parts, size_t count, preset_t **preset,
    char *message, size_t message_size);
/* Adds one reference; returns preset. */
preset_t *preset_hold(preset_t *preset);
/* Drops one reference and frees the preset with the last one; NULL is allowed. */
void preset_release(preset_t *preset);

/*
 * For codecs of other formats: creates a preset with room for that many services
 * and routes. The codec fills services, sets service_count and calls
 * preset_services_finish(); then it fills the routes, which refer to services by
 * preset_service_find(), and calls preset_finish(), which validates the complete
 * preset and releases it on failure. Errors: MASTICPITCH_E_NOMEM,
 * MASTICPITCH_E_LIMIT, MASTICPITCH_E_INVALID.
 */
int preset_create(size_t services, size_t routes, preset_t **preset);
/* Reserves room for more routes. Errors: MASTICPITCH_E_NOMEM, MASTICPITCH_E_LIMIT. */
int preset_routes_reserve(preset_t *preset, size_t more);
int preset_services_finish(preset_t *preset, char *message, size_t message_size);
int preset_finish(
    preset_t *preset, preset_t **result, char *message, size_t message_size);

/* Sets every setting of a service to its default. */
void preset_service_init(preset_service_t *service);

/*
 * The route with the longest prefix among those that match the method and the
 * path up to its query, or NULL. The cost grows with the path's length, at
 * most 256 bytes, and not with the number of routes.
 */
const preset_route_t *preset_route_find(
    const preset_t *preset, const char *method, const char *path);
/*
 * The same among the routes for that host, and if none matches, among those for any
 * host. host is the value of a Host header field; NULL: only routes for any host.
 */
const preset_route_t *preset_route_find_host(
    const preset_t *preset, const char *host, const char *method, const char *path);
/*
 * The class in which a request of the route competes for capacity. nested: the
 * request belongs to a call that runs already, and is served before new calls.
 */
route_class_t preset_route_class(const preset_route_t *route, bool nested);
/* Chooses the service of a request by the split's weights; draw: random, in [0, 1). */
const preset_service_t *preset_route_choose_service(
    const preset_t *preset, const preset_route_t *route, double draw);
/* The service of that name, or NULL. */
const preset_service_t *preset_service_find(const preset_t *preset, const char *name);
/*
 * Order in which requests are served when room is short, 0 first: by the priority of
 * the workspace, then by that of the route. workspace may be NULL.
 */
uint32_t preset_rank(const preset_route_t *route, const preset_workspace_t *workspace);
/* The workspace of that name, or NULL. */
const preset_workspace_t *preset_workspace_find(const preset_t *preset, const char *name);
/* The workspace that holds the key, or NULL. */
const preset_workspace_t *preset_workspace_find_key(
    const preset_t *preset, const char *key);

/* "lookup", "call", "upload", "internal". */
const char *route_class_text(route_class_t route_class);
/* Errors: MASTICPITCH_E_INVALID. */
int route_class_parse(const char *text, route_class_t *route_class);

#ifdef __cplusplus
}
#endif

#endif
