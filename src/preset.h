/*
 * Presets: what operators write and nodes route by. Parsing and validation
 * are pure functions of the text. Any thread.
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
/* Ranked routes up to this priority go before the others. */
#define PRESET_PRIORITY_URGENT_MAX 1
#define PRESET_SPLITS_MAX 8
#define PRESET_METHODS_MAX 8
#define PRESET_ATTEMPTS_MAX 5
/* No attempt of a route starts with less time left, unless it says so, ms. */
#define PRESET_MIN_ATTEMPT_MS_DEFAULT 5
#define PRESET_DEADLINE_MS_MAX (24 * 60 * 60 * 1000)
/* Longest text of a preset file or of one part, bytes. */
#define PRESET_TEXT_MAX_BYTES (1024 * 1024)
#define PRESET_IN_FLIGHT_MAX 65536
#define PRESET_QUEUE_MAX 65536
/*
 * Ramp of a new instance unless the preset says so, ms: backend servers are cold for
 * some three seconds; a longer ramp leaves warm ones unused after a node's restart.
 */
#define PRESET_SLOW_START_MS_DEFAULT 3000
#define PRESET_SLOW_START_MS_MAX (10 * 60 * 1000)
#define PRESET_BODY_LIMIT_MAX_BYTES (UINT64_C(1) << 40)
/* Texts that preset_parse_parts() takes: routes and 32 buckets of services. */
#define PRESET_PARTS_MAX 33

typedef enum route_class {
	ROUTE_CALL,	/* non-idempotent; the safe default */
	ROUTE_LOOKUP,	/* idempotent */
	ROUTE_UPLOAD,	/* streamed, non-idempotent */
	ROUTE_INTERNAL, /* calls between services */
	ROUTE_CLASS_COUNT
} route_class_t;

/* A service's settings; the defaults stand in preset_service_init(). */
typedef struct preset_service {
	char name[NAME_BYTES];
	uint32_t queue_limit;	  /* calls waiting at each gate; 0: 4 x slots */
	uint32_t in_flight_limit; /* calls in flight from each entry */
	uint32_t retry_percent;	  /* retries as a share of requests, 0 to 100 */
	uint32_t spill_percent;	  /* utilisation of the own zone that spills over */
	uint32_t slow_start_ms;	  /* ramp of a new instance */
	uint32_t connections_max; /* to one backend server; 0: as it announces */
} preset_service_t;

/* A share of a route's requests. */
typedef struct preset_split {
	uint32_t service; /* index into services */
	uint32_t weight;
} preset_split_t;

/* Bounds on what callers send; 0: the node's own bound holds. */
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
	uint32_t service; /* index into services; of the first split if there are */
	preset_split_t splits[PRESET_SPLITS_MAX];
	size_t split_count; /* 0: everything goes to service */
	uint32_t part;	    /* of a record in parts that it was read from */
	bool has_priority;  /* its priority orders it, in place of its class */
	uint32_t priority;  /* of a ranked route; 0 is the most urgent */
	uint32_t target_ms; /* answers within this time are worth most; 0: not given */
	route_class_t route_class;
	bool idempotent;
	uint32_t deadline_ms;	 /* the route's longest time for a request */
	uint32_t min_attempt_ms; /* no attempt starts with less time left */
	uint32_t attempts;	 /* with the first one */
	uint64_t body_limit_bytes;
} preset_route_t;

typedef struct preset {
	uint32_t references;	    /* it is immutable once parsed */
	preset_service_t *services; /* sorted by name */
	size_t service_count;
	preset_route_t *routes; /* sorted: longest prefix first, then prefix, name */
	size_t route_count;
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
 * Parses and checks a preset: JSON, in operators' files with comments. On
 * failure message names the place and the reason. The result is freed with
 * preset_release(). Errors: MASTICPITCH_E_INVALID, MASTICPITCH_E_LIMIT,
 * MASTICPITCH_E_NOMEM.
 */
int preset_parse(
    const char *text, size_t size, preset_t **preset, char *message, size_t message_size);
/*
 * The same for a preset in parts, plain JSON: the first part has the routes,
 * each further one has services. Messages name the part. Errors as above.
 */
int preset_parse_parts(const preset_text_t *parts, size_t count, preset_t **preset,
    char *message, size_t message_size);
preset_t *preset_hold(preset_t *preset);
/* Drops one reference; NULL is allowed. */
void preset_release(preset_t *preset);

/*
 * For codecs of other formats: a preset with room for that many services and
 * routes, to be filled and finished. Services are filled first, up to
 * service_count, and finished; routes then refer to them by
 * preset_service_find(). preset_finish() checks the whole; on failure it
 * destroys the preset. Errors: MASTICPITCH_E_NOMEM, MASTICPITCH_E_LIMIT,
 * MASTICPITCH_E_INVALID.
 */
int preset_create(size_t services, size_t routes, preset_t **preset);
/* Makes room for more routes. Errors: MASTICPITCH_E_NOMEM, MASTICPITCH_E_LIMIT. */
int preset_routes_reserve(preset_t *preset, size_t more);
int preset_services_finish(preset_t *preset, char *message, size_t message_size);
int preset_finish(
    preset_t *preset, preset_t **result, char *message, size_t message_size);

/* A service with every setting at its default. */
void preset_service_init(preset_service_t *service);

/*
 * The route with the longest prefix among those that match the method and the
 * path up to its query, or NULL. The cost grows with the path's length, at
 * most 256 bytes, and not with the number of routes.
 */
const preset_route_t *preset_route_find(
    const preset_t *preset, const char *method, const char *path);
/*
 * The same among the routes for that host, or else among those for any host.
 * host is a Host field's value, or NULL: only routes for any host.
 */
const preset_route_t *preset_route_find_host(
    const preset_t *preset, const char *host, const char *method, const char *path);
/*
 * The class in which a request of the route competes for places. nested: it is a
 * call of work that runs already, and goes before new work.
 */
route_class_t preset_route_class(const preset_route_t *route, bool nested);
/* The service that a request of the route goes to; draw is in [0, 1). */
const preset_service_t *preset_route_choose_service(
    const preset_t *preset, const preset_route_t *route, double draw);
/* Errors: none; NULL if there is no such service. */
const preset_service_t *preset_service_find(const preset_t *preset, const char *name);

/* "lookup", "call", "upload", "internal". */
const char *route_class_text(route_class_t route_class);
/* Errors: MASTICPITCH_E_INVALID. */
int route_class_parse(const char *text, route_class_t *route_class);

#ifdef __cplusplus
}
#endif

#endif
