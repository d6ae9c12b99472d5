#include "settings.h"

#include "json_text.h"
#include "platform/hosted.h"
#include "util.h"

#include <json-c/json.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define TOKEN_LENGTH_MIN 16
/* Highest accepted link rate, Mbit/s. */
#define LINK_MBPS_MAX 1e6

/* Destination of error messages; only the first error is recorded. */
typedef struct reader {
	const char *name;
	char *message;
	size_t message_size;
	int error;
} reader_t;

typedef struct choice {
	const char *text;
	int value;
} choice_t;

static const choice_t spread_choices[] = {
    {"fast", SPREAD_FAST}, {"frugal", SPREAD_FRUGAL}, {NULL, 0}};
static const choice_t source_choices[] = {
    {"relay", CONFIG_SOURCE_RELAY}, {"watch", CONFIG_SOURCE_WATCH}, {NULL, 0}};
static const choice_t dialect_choices[] = {
    {"native", DIALECT_NATIVE}, {"hosted", DIALECT_HOSTED}, {NULL, 0}};
static const choice_t policy_choices[] = {
    {"adaptive", ROUTING_ADAPTIVE}, {"naive", ROUTING_NAIVE}, {NULL, 0}};

static void reader_fail(reader_t *reader, int error, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

static void
reader_fail(reader_t *reader, int error, const char *format, ...)
{
	va_list arguments;
	int used;

	if (reader->error != MASTICPITCH_OK)
		return;
	reader->error = error;
	used = snprintf(reader->message, reader->message_size, "%s: ", reader->name);
	if (used < 0 || (size_t)used >= reader->message_size)
		return;
	va_start(arguments, format);
	vsnprintf(reader->message + used, reader->message_size - (size_t)used, format,
	    arguments);
	va_end(arguments);
}

/* The value of a key such as "listen.peers", or NULL. */
static struct json_object *
settings_lookup(struct json_object *root, const char *key)
{
	char path[64];
	char *rest, *name;
	struct json_object *value = root;

	if (string_copy(path, sizeof(path), key) != MASTICPITCH_OK)
		return NULL;
	for (name = strtok_r(path, ".", &rest); name != NULL;
	     name = strtok_r(NULL, ".", &rest)) {
		if (!json_object_is_type(value, json_type_object) ||
		    !json_object_object_get_ex(value, name, &value))
			return NULL;
	}
	return value;
}

/* Returns NULL after an error or if an optional key is absent. */
static const char *
read_text(reader_t *reader, struct json_object *root, const char *key, bool required)
{
	struct json_object *value = settings_lookup(root, key);

	if (value == NULL) {
		if (required)
			reader_fail(reader, MASTICPITCH_E_INVALID, "%s: missing", key);
		return NULL;
	}
	if (!json_object_is_type(value, json_type_string)) {
		reader_fail(reader, MASTICPITCH_E_INVALID, "%s: must be a string", key);
		return NULL;
	}
	return json_object_get_string(value);
}

static void
read_label(reader_t *reader, struct json_object *root, const char *key, char *target)
{
	const char *text = read_text(reader, root, key, true);

	if (text == NULL)
		return;
	if (*text == '\0' || strlen(text) >= ZONE_BYTES ||
	    strspn(text, "abcdefghijklmnopqrstuvwxyz0123456789-") != strlen(text)) {
		reader_fail(reader, MASTICPITCH_E_INVALID,
		    "%s: must have 1 to 32 characters of a-z, 0-9 and -", key);
		return;
	}
	string_copy(target, ZONE_BYTES, text);
}

static void
read_address(reader_t *reader, struct json_object *root, const char *key, bool required,
    address_t *target)
{
	const char *text = read_text(reader, root, key, required);

	if (text != NULL && address_parse(text, target) != MASTICPITCH_OK)
		reader_fail(reader, MASTICPITCH_E_INVALID,
		    "%s: \"%s\" is not an address of the form IP:PORT", key, text);
}

static void
read_number(reader_t *reader, struct json_object *root, const char *key, uint32_t low,
    uint32_t high, uint32_t *target)
{
	struct json_object *value = settings_lookup(root, key);
	int64_t number;

	if (value == NULL)
		return;
	if (!json_object_is_type(value, json_type_int)) {
		reader_fail(
		    reader, MASTICPITCH_E_INVALID, "%s: must be a whole number", key);
		return;
	}
	number = json_object_get_int64(value);
	if (number < (int64_t)low || number > (int64_t)high) {
		reader_fail(reader, MASTICPITCH_E_INVALID, "%s: must be from %u to %u",
		    key, low, high);
		return;
	}
	*target = (uint32_t)number;
}

/* Reads a number from 0 to high. */
static void
read_decimal(reader_t *reader, struct json_object *root, const char *key, double high,
    double *target)
{
	struct json_object *value = settings_lookup(root, key);
	double number;

	if (value == NULL)
		return;
	number = json_object_get_double(value);
	if ((!json_object_is_type(value, json_type_double) &&
		!json_object_is_type(value, json_type_int)) ||
	    !(number >= 0 && number <= high)) {
		reader_fail(reader, MASTICPITCH_E_INVALID,
		    "%s: must be a number from 0 to %.0f", key, high);
		return;
	}
	*target = number;
}

static void
read_flag(reader_t *reader, struct json_object *root, const char *key, bool *target)
{
	struct json_object *value = settings_lookup(root, key);

	if (value == NULL)
		return;
	if (!json_object_is_type(value, json_type_boolean)) {
		reader_fail(
		    reader, MASTICPITCH_E_INVALID, "%s: must be true or false", key);
		return;
	}
	*target = json_object_get_boolean(value);
}

static int
read_choice(reader_t *reader, struct json_object *root, const char *key,
    const choice_t *choices, int default_value)
{
	const char *text = read_text(reader, root, key, false);

	if (text == NULL)
		return default_value;
	for (; choices->text != NULL; choices++) {
		if (strcmp(choices->text, text) == 0)
			return choices->value;
	}
	reader_fail(reader, MASTICPITCH_E_INVALID, "%s: unknown value \"%s\"", key, text);
	return default_value;
}

static bool
name_is_listed(const char *name, const char *const *names)
{
	while (*names != NULL && strcmp(*names, name) != 0)
		names++;
	return *names != NULL;
}

/* Reports keys of a section that are not in names, a NULL-terminated list. */
static void
check_keys(reader_t *reader, struct json_object *root, const char *section,
    const char *const *names)
{
	struct json_object *object =
	    section[0] != '\0' ? settings_lookup(root, section) : root;

	if (object == NULL)
		return;
	if (!json_object_is_type(object, json_type_object)) {
		reader_fail(
		    reader, MASTICPITCH_E_INVALID, "%s: must be an object", section);
		return;
	}
	json_object_object_foreach(object, key, value)
	{
		(void)value;
		if (!name_is_listed(key, names))
			reader_fail(reader, MASTICPITCH_E_INVALID, "%s%s%s: unknown key",
			    section, section[0] != '\0' ? "." : "", key);
	}
}

static void
read_seeds(reader_t *reader, struct json_object *root, settings_t *settings)
{
	struct json_object *list = settings_lookup(root, "mesh.seeds");
	size_t count;

	if (list == NULL)
		return;
	if (!json_object_is_type(list, json_type_array)) {
		reader_fail(reader, MASTICPITCH_E_INVALID, "mesh.seeds: must be a list");
		return;
	}
	count = json_object_array_length(list);
	if (count > SETTINGS_SEEDS_MAX) {
		reader_fail(reader, MASTICPITCH_E_LIMIT,
		    "mesh.seeds: at most %d addresses", SETTINGS_SEEDS_MAX);
		return;
	}
	for (size_t i = 0; i < count; i++) {
		struct json_object *item = json_object_array_get_idx(list, i);
		const char *text = json_object_get_string(item);

		if (!json_object_is_type(item, json_type_string) ||
		    address_parse(text, &settings->seeds[i]) != MASTICPITCH_OK) {
			reader_fail(reader, MASTICPITCH_E_INVALID,
			    "mesh.seeds[%zu]: must be an address of the form IP:PORT", i);
			return;
		}
	}
	settings->seed_count = count;
}

/* Seeds that the hosted platform hands out replace those of the mesh section. */
static void
read_platform_seeds(reader_t *reader, struct json_object *root, settings_t *settings)
{
	struct json_object *list = settings_lookup(root, "platform.seeds");

	if (list != NULL &&
	    hosted_seeds_read(list, settings->peers.port, settings->seeds,
		SETTINGS_SEEDS_MAX, &settings->seed_count) != MASTICPITCH_OK)
		reader_fail(reader, MASTICPITCH_E_INVALID,
		    "platform.seeds: must be a list of addresses of the form IP:PORT");
}

static void
read_key(reader_t *reader, struct json_object *item, size_t index, mesh_key_t *key)
{
	struct json_object *id = settings_lookup(item, "id");
	struct json_object *secret = settings_lookup(item, "secret");
	int64_t number;

	if (!json_object_is_type(id, json_type_int) ||
	    !json_object_is_type(secret, json_type_string)) {
		reader_fail(reader, MASTICPITCH_E_INVALID,
		    "mesh.keys[%zu]: must be {\"id\": number, \"secret\": string}",
		    index);
		return;
	}
	number = json_object_get_int64(id);
	if (number < 1 || number > 255) {
		reader_fail(reader, MASTICPITCH_E_INVALID,
		    "mesh.keys[%zu].id: must be 1 to 255", index);
		return;
	}
	key->id = (uint8_t)number;
	if (hex_decode(json_object_get_string(secret), key->secret, SETTINGS_KEY_BYTES) !=
	    MASTICPITCH_OK)
		reader_fail(reader, MASTICPITCH_E_INVALID,
		    "mesh.keys[%zu].secret: must be %d hex digits", index,
		    2 * SETTINGS_KEY_BYTES);
}

static void
read_keys(reader_t *reader, struct json_object *root, settings_t *settings)
{
	struct json_object *list = settings_lookup(root, "mesh.keys");
	size_t count;

	if (!json_object_is_type(list, json_type_array)) {
		reader_fail(reader, MASTICPITCH_E_INVALID, "mesh.keys: must be a list");
		return;
	}
	count = json_object_array_length(list);
	if (count < 1 || count > SETTINGS_KEYS_MAX) {
		reader_fail(
		    reader, MASTICPITCH_E_INVALID, "mesh.keys: must have 1 or 2 keys");
		return;
	}
	for (size_t i = 0; i < count; i++)
		read_key(
		    reader, json_object_array_get_idx(list, i), i, &settings->keys[i]);
	if (count == 2 && settings->keys[0].id == settings->keys[1].id)
		reader_fail(reader, MASTICPITCH_E_INVALID,
		    "mesh.keys: both keys have the same id");
	settings->key_count = count;
}

static void
read_listen(reader_t *reader, struct json_object *root, settings_t *settings)
{
	const char *const keys[] = {"listen.callers", "listen.backend_servers",
	    "listen.peers", "listen.operators"};
	address_t *const targets[] = {&settings->callers, &settings->backend_servers,
	    &settings->peers, &settings->operators};

	for (size_t i = 0; i < ARRAY_LENGTH(keys); i++)
		read_address(reader, root, keys[i], true, targets[i]);
	read_address(reader, root, "listen.readiness", false, &settings->readiness);
	if (reader->error != MASTICPITCH_OK)
		return;
	if (settings->peers.ip == 0)
		reader_fail(reader, MASTICPITCH_E_INVALID,
		    "listen.peers: must name the host's own address, not 0.0.0.0");
	if (settings->peers.port == 0)
		reader_fail(reader, MASTICPITCH_E_INVALID,
		    "listen.peers: needs a port other than 0");
	for (size_t i = 0; i < ARRAY_LENGTH(keys); i++) {
		for (size_t j = 0; j < i; j++) {
			if (targets[i]->ip == targets[j]->ip && targets[i]->port != 0 &&
			    targets[i]->port == targets[j]->port)
				reader_fail(reader, MASTICPITCH_E_INVALID,
				    "%s: same address as %s", keys[i], keys[j]);
		}
	}
}

static void
read_platform(reader_t *reader, struct json_object *root, settings_t *settings)
{
	const char *url = read_text(reader, root, "platform.url", true);
	const char *prefix = read_text(reader, root, "platform.prefix", false);
	address_t address;

	if (url != NULL && (strncmp(url, "http://", 7) != 0 ||
			       address_parse(url + 7, &address) != MASTICPITCH_OK ||
			       string_copy(settings->platform_url, SETTINGS_URL_BYTES,
				   url) != MASTICPITCH_OK))
		reader_fail(reader, MASTICPITCH_E_INVALID,
		    "platform.url: \"%s\" is not of the form http://IP:PORT", url);
	if (prefix != NULL && (prefix[0] == '\0' || strpbrk(prefix, "?#% \t") != NULL ||
				  string_copy(settings->platform_prefix,
				      SETTINGS_PREFIX_BYTES, prefix) != MASTICPITCH_OK))
		reader_fail(reader, MASTICPITCH_E_INVALID,
		    "platform.prefix: must have 1 to 64 characters without ? # %% and "
		    "blanks");
	read_number(reader, root, "platform.timeout_ms", 10, 60000,
	    &settings->platform_timeout_ms);
	settings->dialect = (dialect_t)read_choice(
	    reader, root, "platform.dialect", dialect_choices, DIALECT_NATIVE);
}

static void
read_backend(reader_t *reader, struct json_object *root, settings_t *settings)
{
	const char *service = read_text(reader, root, "backend_server.service", false);

	if (service != NULL && !json_name_is_valid(service, strlen(service)))
		reader_fail(reader, MASTICPITCH_E_INVALID,
		    "backend_server.service: must have 1 to 64 characters of a-z, A-Z, "
		    "0-9, '-', '_' and '.'");
	else if (service != NULL)
		string_copy(settings->backend.service, NAME_BYTES, service);
	read_address(reader, root, "backend_server.address", service != NULL,
	    &settings->backend.address);
	read_number(reader, root, "backend_server.announce_ms", 10, 3600000,
	    &settings->backend.announce_ms);
}

/* Bounds are given by name, or as the list that the hosted platform generates. */
static void
read_bounds(reader_t *reader, struct json_object *root, settings_t *settings)
{
	settings_bounds_t *bounds = &settings->bounds;
	struct json_object *list = settings_lookup(root, "platform.bounds");
	char reason[MASTICPITCH_MESSAGE_MAX];

	if (list != NULL &&
	    hosted_bounds_read(list, bounds, reason, sizeof(reason)) != MASTICPITCH_OK) {
		reader_fail(reader, MASTICPITCH_E_INVALID, "platform.bounds: %s", reason);
		return;
	}
	read_number(reader, root, "bounds.apply_ms", 500, 3600000, &bounds->apply_ms);
	read_number(reader, root, "bounds.drain_ms", 0, 3600000, &bounds->drain_ms);
	read_number(reader, root, "bounds.retry_percent", 0, 100, &bounds->retry_percent);
	read_number(reader, root, "bounds.retry_window_ms", 100, 3600000,
	    &bounds->retry_window_ms);
	read_number(reader, root, "bounds.retry_extra", 0, 1000000, &bounds->retry_extra);
	read_number(reader, root, "bounds.kill_ms", 0, 86400000, &bounds->kill_ms);
	read_number(
	    reader, root, "bounds.exposure_percent", 0, 100, &bounds->exposure_percent);
	read_number(
	    reader, root, "bounds.exposure_extra", 0, 1000000, &bounds->exposure_extra);
	read_number(reader, root, "bounds.rollback_ms", 0, 3600000, &bounds->rollback_ms);
	read_flag(reader, root, "bounds.fail_closed", &bounds->fail_closed);
	read_number(reader, root, "bounds.revoke_ms", 500, 3600000, &bounds->revoke_ms);
}

static void
read_token(reader_t *reader, struct json_object *root, settings_t *settings)
{
	const char *token = read_text(reader, root, "operators.token", true);

	if (token == NULL)
		return;
	if (strlen(token) < TOKEN_LENGTH_MIN ||
	    string_copy(settings->operators_token, SETTINGS_TOKEN_BYTES, token) !=
		MASTICPITCH_OK)
		reader_fail(reader, MASTICPITCH_E_INVALID,
		    "operators.token: must have 16 to 128 characters");
}

static void
read_log_level(reader_t *reader, struct json_object *root, settings_t *settings)
{
	const char *name = read_text(reader, root, "log.level", false);

	if (name != NULL && log_level_parse(name, &settings->log_level) != MASTICPITCH_OK)
		reader_fail(reader, MASTICPITCH_E_INVALID,
		    "log.level: must be debug, info, warning or error");
}

static void
settings_set_defaults(settings_t *settings)
{
	memset(settings, 0, sizeof(*settings));
	string_copy(settings->platform_prefix, SETTINGS_PREFIX_BYTES, "masticpitch/");
	settings->platform_timeout_ms = 2000;
	settings->config_watchers = 1;
	settings->requests_max = 4096;
	settings->streams_per_peer_max = 1024;
	settings->shutdown_grace_ms = 600 * 1000;
	settings->backend.announce_ms = 1000;
	settings->bounds = (settings_bounds_t){.apply_ms = 3000,
	    .drain_ms = 2000,
	    .revoke_ms = 5000,
	    .retry_percent = 10,
	    .retry_window_ms = 10000,
	    .retry_extra = 0};
	settings->log_level = LOG_LEVEL_INFO;
}

/* Time of a stop between the end of the grace period and the operator's kill, ms. */
#define SETTINGS_KILL_MARGIN_MS 500
#define SECTION_KEYS_MAX 16

/* The keys of each section; "" is the top level. */
static const struct section {
	const char *name;
	const char *keys[SECTION_KEYS_MAX + 1];
} sections[] = {
    {"", {"availability_zone", "region", "listen", "platform", "mesh", "operators",
	     "configuration", "routing", "limits", "shutdown", "log", "backend_server",
	     "bounds", NULL}},
    {"listen", {"callers", "backend_servers", "peers", "operators", "readiness", NULL}},
    {"platform", {"url", "prefix", "timeout_ms", "dialect", "bounds", "seeds", NULL}},
    {"backend_server", {"service", "address", "announce_ms", NULL}},
    {"bounds", {"apply_ms", "drain_ms", "retry_percent", "retry_window_ms", "retry_extra",
		   "kill_ms", "exposure_percent", "exposure_extra", "rollback_ms",
		   "fail_closed", "revoke_ms", NULL}},
    {"mesh", {"seeds", "keys", NULL}},
    {"operators", {"token", NULL}},
    {"configuration", {"spread", "source", "watchers", NULL}},
    {"routing", {"policy", NULL}},
    {"limits", {"requests", "streams_per_peer", "fixed", "link_mbps", NULL}},
    {"shutdown", {"grace_ms", "accept_ms", NULL}},
    {"log", {"level", NULL}},
};

/* Ends the grace period before the operator's bound does it by a kill. */
static void
grace_limit(settings_t *settings)
{
	uint32_t kill_ms = settings->bounds.kill_ms;

	if (kill_ms != 0)
		settings->shutdown_grace_ms = MIN_OF(settings->shutdown_grace_ms,
		    kill_ms - MIN_OF(kill_ms / 2, SETTINGS_KILL_MARGIN_MS));
}

static void
settings_read(reader_t *reader, struct json_object *root, settings_t *settings)
{
	for (size_t i = 0; i < ARRAY_LENGTH(sections); i++)
		check_keys(reader, root, sections[i].name, sections[i].keys);
	if (reader->error != MASTICPITCH_OK)
		return;
	read_label(reader, root, "availability_zone", settings->zone);
	read_label(reader, root, "region", settings->region);
	read_listen(reader, root, settings);
	read_platform(reader, root, settings);
	read_backend(reader, root, settings);
	read_bounds(reader, root, settings);
	read_seeds(reader, root, settings);
	read_platform_seeds(reader, root, settings);
	read_keys(reader, root, settings);
	read_token(reader, root, settings);
	settings->spread = (spread_mode_t)read_choice(
	    reader, root, "configuration.spread", spread_choices, SPREAD_FAST);
	settings->config_source = (config_source_t)read_choice(
	    reader, root, "configuration.source", source_choices, CONFIG_SOURCE_RELAY);
	read_number(
	    reader, root, "configuration.watchers", 1, 1024, &settings->config_watchers);
	settings->routing_policy = (routing_policy_t)read_choice(
	    reader, root, "routing.policy", policy_choices, ROUTING_ADAPTIVE);
	read_flag(reader, root, "limits.fixed", &settings->fixed_limit);
	read_decimal(
	    reader, root, "limits.link_mbps", LINK_MBPS_MAX, &settings->link_mbps);
	read_number(reader, root, "limits.requests", 1, 65536, &settings->requests_max);
	read_number(reader, root, "limits.streams_per_peer", 1, 65536,
	    &settings->streams_per_peer_max);
	read_number(
	    reader, root, "shutdown.grace_ms", 0, 86400000, &settings->shutdown_grace_ms);
	read_number(reader, root, "shutdown.accept_ms", 0, 86400000,
	    &settings->shutdown_accept_ms);
	grace_limit(settings);
	read_log_level(reader, root, settings);
}

int
settings_parse(const char *name, const char *text, size_t size, settings_t *settings,
    char *message, size_t message_size)
{
	reader_t reader = {
	    .name = name, .message = message, .message_size = message_size};
	char reason[MASTICPITCH_MESSAGE_MAX];
	struct json_object *root = NULL;
	json_report_t report;

	message[0] = '\0';
	settings_set_defaults(settings);
	json_report_init(&report, reason, sizeof(reason));
	if (json_text_parse(text, size, SETTINGS_TEXT_MAX_BYTES, true, &root, &report) ==
	    MASTICPITCH_OK)
		settings_read(&reader, root, settings);
	else
		/* Errors that concern the complete text carry no line number. */
		reader_fail(&reader, report.error, "%s%s",
		    strncmp(reason, "line ", 5) == 0 ? "" : "settings: ", reason);
	json_object_put(root);
	return reader.error;
}

int
settings_load(const char *path, settings_t *settings, char *message, size_t message_size)
{
	char *text = NULL;
	size_t size;
	int error = file_read(path, SETTINGS_TEXT_MAX_BYTES, &text, &size);

	if (error != MASTICPITCH_OK) {
		snprintf(message, message_size, "%s: cannot be read: %s", path,
		    masticpitch_strerror(error));
		return error;
	}
	error = settings_parse(path, text, size, settings, message, message_size);
	free(text);
	return error;
}
