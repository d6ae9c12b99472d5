#include "entry_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define RESERVED_PATH "/.masticpitch/"
#define TICKET_PATH "/.masticpitch/ticket"
/* A decoded argument of a query, with its terminator. */
#define QUERY_VALUE_BYTES 1024

/* Collected while the header fields are read. */
typedef struct head_fields {
	const header_names_t *names;
	call_head_t *head;
	size_t bytes;
	size_t bytes_max;
	size_t count;
	size_t length_count;
	size_t encoding_count;
	size_t ticket_count;
	size_t key_count;
	bool keys_needed; /* the version in force has workspaces */
	bool chunked;
	reason_t reason;
	uint64_t length;
	uint64_t deadline_ms;
	uint64_t depth;
	const char *request_id;
	const char *trace;
	const char *ticket;
	const char *key; /* of a workspace */
} head_fields_t;

static bool
number_parse(head_fields_t *fields, const char *value, uint64_t max, uint64_t *number)
{
	if (string_parse_uint(value, max, number) == MASTICPITCH_OK)
		return true;
	fields->reason = REASON_BAD_REQUEST;
	return false;
}

static void
length_read(head_fields_t *fields, const char *value)
{
	if (++fields->length_count > 1 ||
	    string_parse_uint(value, INT64_MAX, &fields->length) != MASTICPITCH_OK)
		fields->reason = REASON_BAD_FRAMING;
}

static void
encoding_read(head_fields_t *fields, const char *value)
{
	fields->chunked = true;
	if (++fields->encoding_count > 1 || strcasecmp(value, "chunked") != 0)
		fields->reason = REASON_BAD_FRAMING;
}

/* True if name is field; field is NULL if the dialect lacks it. */
static bool
name_matches(const char *name, const char *field)
{
	return field != NULL && strcasecmp(name, field) == 0;
}

/* True if the field is interpreted or set by the node and not forwarded as it is. */
static bool
field_is_consumed(head_fields_t *fields, const char *name, const char *value)
{
	const header_names_t *names = fields->names;

	if (strcasecmp(name, "Content-Length") == 0)
		length_read(fields, value);
	else if (strcasecmp(name, "Transfer-Encoding") == 0)
		encoding_read(fields, value);
	else if (name_matches(name, names->deadline))
		number_parse(fields, value, UINT32_MAX, &fields->deadline_ms);
	else if (name_matches(name, names->depth))
		number_parse(fields, value, UINT32_MAX, &fields->depth);
	else if (name_matches(name, names->request_id))
		fields->request_id = value;
	else if (name_matches(name, names->trace))
		fields->trace = value;
	else if (name_matches(name, names->ticket)) {
		fields->ticket = value;
		fields->ticket_count++;
	} else if (fields->keys_needed && name_matches(name, names->key)) {
		fields->key = value;
		fields->key_count++;
	} else
		/* Set by the node itself; received values are ignored. */
		return strcasecmp(name, "Expect") == 0 ||
		       name_matches(name, names->caller_service) ||
		       name_matches(name, names->workspace) ||
		       name_matches(name, names->expect_instance);
	return true;
}

static void
field_read(head_fields_t *fields, const char *name, const char *value)
{
	fields->bytes += strlen(name) + strlen(value);
	if (++fields->count > HEADERS_COUNT_MAX || fields->bytes > fields->bytes_max)
		fields->reason = REASON_HEADERS_TOO_LARGE;
	else if (!field_is_consumed(fields, name, value) &&
		 headers_add(&fields->head->headers, name, value) != MASTICPITCH_OK)
		fields->reason = REASON_BAD_REQUEST;
}

/* The reason for a request that could not be parsed. */
static reason_t
error_reason(http_message_error_t error)
{
	switch (error) {
	case HTTP_MESSAGE_ERROR_NONE:
		break;
	case HTTP_MESSAGE_ERROR_SYNTAX:
		return REASON_BAD_REQUEST;
	case HTTP_MESSAGE_ERROR_FRAMING:
		return REASON_BAD_FRAMING;
	case HTTP_MESSAGE_ERROR_TOO_LARGE:
		return REASON_HEADERS_TOO_LARGE;
	}
	return REASON_NONE;
}

/*
 * Refuses a request whose framing is ambiguous, so that two programs could find
 * its end at different places (request smuggling).
 */
static reason_t
framing_check(entry_request_t *request, const head_fields_t *fields)
{
	if (fields->length_count > 0 && fields->encoding_count > 0)
		return REASON_BAD_FRAMING;
	if (fields->chunked && request->exchange->head.http_1_0)
		return REASON_BAD_FRAMING;
	request->body_length = fields->chunked ? -1 : (int64_t)fields->length;
	request->head->body_length = request->body_length;
	request->head->has_body = request->body_length != 0;
	return REASON_NONE;
}

static reason_t
path_check(const char *path)
{
	if (strlen(path) > ENTRY_PATH_MAX_BYTES)
		return REASON_PATH_TOO_LONG;
	if (path[0] != '/')
		return REASON_BAD_REQUEST;
	for (const char *at = path; *at != '\0'; at++) {
		if ((unsigned char)*at <= ' ' || *at == 0x7f || *at == '#')
			return REASON_BAD_REQUEST;
	}
	/* With dot segments, the path for routing could differ from the server's. */
	for (const char *at = path; *at != '\0' && *at != '?'; at++) {
		size_t dots = *at == '/' ? strspn(at + 1, ".") : 0;

		if ((dots == 1 || dots == 2) && strchr("/?", at[1 + dots]) != NULL)
			return REASON_BAD_REQUEST;
	}
	return REASON_NONE;
}

static void
hex_random(rng_t *rng, char *text, size_t digits)
{
	for (size_t i = 0; i < digits; i += 16)
		snprintf(text + i, digits - i + 1, "%016llx",
		    (unsigned long long)rng_next(rng));
}

static bool
id_is_valid(const char *id)
{
	static const char allowed[] = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWX"
				      "YZ0123456789-_.";
	size_t length = strlen(id);

	return length > 0 && length < REQUEST_ID_BYTES && strspn(id, allowed) == length;
}

/* version "00", trace id, parent id, flags. */
static bool
trace_is_valid(const char *trace)
{
	static const char digits[] = "0123456789abcdef";

	return strlen(trace) == TRACE_BYTES - 1 && memcmp(trace, "00-", 3) == 0 &&
	       strspn(trace + 3, digits) == 32 && trace[35] == '-' &&
	       strspn(trace + 36, digits) == 16 && trace[52] == '-' &&
	       strspn(trace + 53, digits) == 2;
}

/*
 * Takes request id and trace context from the head or generates them. A dialect
 * with signed answers requires the caller's request id.
 */
static reason_t
request_id_set(entry_request_t *request, const head_fields_t *fields)
{
	rng_t *rng = kernel_rng(request->entry->kernel);
	call_head_t *head = request->head;

	if (fields->names->signature != NULL &&
	    (fields->request_id == NULL || !id_is_valid(fields->request_id)))
		return REASON_BAD_REQUEST;
	if (fields->request_id != NULL && id_is_valid(fields->request_id))
		string_copy(head->request_id, REQUEST_ID_BYTES, fields->request_id);
	else
		hex_random(rng, head->request_id, 32);
	if (fields->trace != NULL && trace_is_valid(fields->trace)) {
		string_copy(head->trace, TRACE_BYTES, fields->trace);
		return REASON_NONE;
	}
	if (fields->names->trace == NULL)
		return REASON_NONE;
	memcpy(head->trace, "00-", 3);
	hex_random(rng, head->trace + 3, 32);
	head->trace[35] = '-';
	hex_random(rng, head->trace + 36, 16);
	memcpy(head->trace + 52, "-00", 4);
	return REASON_NONE;
}

/*
 * Finds an argument in the query of a path and decodes its value. False if there is
 * none, or if it is malformed or too long.
 */
static bool
query_find(const char *path, const char *name, char value[QUERY_VALUE_BYTES])
{
	const char *at = strchr(path, '?');
	size_t name_length = strlen(name), size = 0;
	uint8_t byte;

	while (at != NULL &&
	       (strncmp(at + 1, name, name_length) != 0 || at[1 + name_length] != '='))
		at = strchr(at + 1, '&');
	if (at == NULL)
		return false;
	for (at += name_length + 2; *at != '\0' && *at != '&'; at++) {
		char digits[3] = "";

		byte = (uint8_t)*at;
		if (byte == '%') {
			if (at[1] == '\0' || at[2] == '\0')
				return false;
			memcpy(digits, at + 1, 2);
			if (hex_decode(digits, &byte, 1) != MASTICPITCH_OK || byte == 0)
				return false;
			at += 2;
		}
		if (size == QUERY_VALUE_BYTES - 1)
			return false;
		value[size++] = (char)byte;
	}
	value[size] = '\0';
	return true;
}

/*
 * Finds the route of the request. A request for a ticket is routed by the path and
 * the method that the ticket is for.
 */
static reason_t
route_find(entry_request_t *request)
{
	const preset_t *preset = request->snapshot->preset;
	const char *path = request->head->path;
	const char *method = request->head->method;
	size_t length = sizeof(TICKET_PATH) - 1;
	char argument[QUERY_VALUE_BYTES], method_argument[QUERY_VALUE_BYTES];

	if (strncmp(path, RESERVED_PATH, sizeof(RESERVED_PATH) - 1) == 0) {
		if (strncmp(path, TICKET_PATH, length) != 0 ||
		    strchr("?", path[length]) == NULL || strcmp(method, "GET") != 0)
			return REASON_NO_ROUTE;
		if (!query_find(request->head->path, "path", argument) ||
		    !query_find(request->head->path, "method", method_argument))
			return REASON_BAD_REQUEST;
		path = argument;
		method = method_argument;
		request->ticket_requested = true;
	}
	request->route = preset_route_find_host(
	    preset, headers_find(&request->head->headers, "Host"), method, path);
	if (request->route == NULL)
		return REASON_NO_ROUTE;
	request->preset_service = preset_route_choose_service(
	    preset, request->route, rng_unit(kernel_rng(request->entry->kernel)));
	return REASON_NONE;
}

static reason_t
ticket_read(entry_request_t *request, const head_fields_t *fields)
{
	const settings_t *settings = request->entry->settings;
	call_head_t *head = request->head;
	ticket_t ticket;

	if (fields->ticket == NULL || request->ticket_requested)
		return REASON_NONE;
	if (fields->ticket_count > 1 ||
	    string_copy(head->ticket, TICKET_BYTES, fields->ticket) != MASTICPITCH_OK ||
	    ticket_parse(head->ticket, settings->keys, settings->key_count, &ticket) !=
		MASTICPITCH_OK)
		return REASON_TICKET_REQUIRED;
	request->ticket_bound = true;
	request->ticket_node = ticket.node;
	return REASON_NONE;
}

/*
 * The request of this host's backend server that makes this nested call, or NULL. In a
 * dialect with a depth, a nested call has the id of its request.
 */
static const run_item_t *
request_parent(const entry_request_t *request, const head_fields_t *fields)
{
	const run_set_t *running = &request->entry->running;
	const char *id = request->head->request_id;

	return fields->depth > 0 ? run_set_find(running, id)
				 : run_set_parent(running, id);
}

/*
 * True if the request has a depth, or if its id belongs to a call of a request that
 * this host's backend server is running.
 */
static bool
request_is_nested(const entry_request_t *request, const head_fields_t *fields)
{
	return fields->depth > 0 || request_parent(request, fields) != NULL;
}

/* True if a key may have been withdrawn too long ago for this node to go on with it. */
static bool
keys_are_outdated(const entry_request_t *request)
{
	const entry_t *entry = request->entry;
	const settings_bounds_t *bounds = &entry->settings->bounds;

	return bounds->fail_closed &&
	       request->accepted_at > entry->verified_at + bounds->revoke_ms * NS_PER_MS;
}

/*
 * Finds the workspace of the request by its key. A nested call has no key of its own,
 * and belongs to the workspace of the request that makes it. Only a request that runs
 * here shows that a call is nested: callers could send any depth.
 */
static reason_t
workspace_apply(entry_request_t *request, const head_fields_t *fields)
{
	const preset_t *preset = request->snapshot->preset;
	const run_item_t *parent = request_parent(request, fields);
	call_head_t *head = request->head;

	if (preset->workspace_count == 0)
		return REASON_NONE;
	if (fields->key_count == 1)
		request->workspace = preset_workspace_find_key(preset, fields->key);
	if (fields->key_count == 1 && !request->route->key_exempt &&
	    keys_are_outdated(request))
		return REASON_KEYS_OUTDATED;
	if (request->workspace != NULL) {
		memcpy(head->workspace, request->workspace->name, NAME_BYTES);
		return REASON_NONE;
	}
	if (parent != NULL && fields->key_count == 0) {
		memcpy(head->workspace, parent->workspace, NAME_BYTES);
		return REASON_NONE;
	}
	if (request->route->key_exempt)
		return REASON_NONE;
	if (fields->key_count == 1)
		return REASON_KEY_UNKNOWN;
	/* Its request may have started before this node did. */
	return fields->key_count == 0 &&
		       (fields->depth > 0 || run_set_parent_hash(head->request_id) != 0)
		   ? REASON_CALLER_UNKNOWN
		   : REASON_KEY_MISSING;
}

/* A nested call has the rank of the request that makes it. */
static uint32_t
request_rank(const entry_request_t *request, const head_fields_t *fields)
{
	const run_item_t *parent = request_parent(request, fields);

	return parent != NULL ? parent->rank
			      : preset_rank(request->route, request->workspace);
}

/*
 * Sets the latency target, counted from the caller's first attempt. A nested call
 * has none: the target of the call that waits for it applies.
 */
static void
target_set(entry_request_t *request, const head_fields_t *fields)
{
	entry_t *entry = request->entry;
	const preset_route_t *route = request->route;
	uint64_t waited_ms;

	if (route->target_ms == 0 || request->nested)
		return;
	waited_ms = deadline_profile_record(
	    &entry->deadlines, hash_string(route->name), (uint32_t)fields->deadline_ms);
	request->head->target =
	    waited_ms >= route->target_ms
		? request->accepted_at
		: request->accepted_at + (route->target_ms - waited_ms) * NS_PER_MS;
}

static reason_t
route_apply(entry_request_t *request, const head_fields_t *fields)
{
	const preset_route_t *route = request->route;
	call_head_t *head = request->head;

	string_copy(head->service, NAME_BYTES, request->preset_service->name);
	memcpy(head->caller_service, request->entry->caller_service, NAME_BYTES);
	request->nested = request_is_nested(request, fields);
	head->route_class = preset_route_class(route, request->nested);
	head->rank = request_rank(request, fields);
	target_set(request, fields);
	head->answer_bytes =
	    answer_profile_bytes(&request->entry->answers, hash_string(route->name));
	head->idempotent = route->idempotent || request->ticket_requested;
	head->depth = (uint32_t)fields->depth;
	head->deadline =
	    request->accepted_at +
	    MIN_OF(fields->deadline_ms, (uint64_t)route->deadline_ms) * NS_PER_MS;
	if (fields->depth > CALL_DEPTH_MAX)
		return REASON_DEPTH_EXCEEDED;
	if (fields->deadline_ms == 0)
		return REASON_DEADLINE_PASSED;
	if (request->body_length > 0 &&
	    (uint64_t)request->body_length > route->body_limit_bytes)
		return REASON_BODY_TOO_LARGE;
	return REASON_NONE;
}

/* The stricter of the configured and the built-in limit. */
static size_t
entry_header_bytes_max(const entry_t *entry)
{
	size_t limit =
	    entry->snapshot == NULL ? 0 : entry->snapshot->preset->limits.header_bytes;

	return limit != 0 ? MIN_OF(limit, (size_t)ENTRY_HEADER_BYTES_MAX)
			  : ENTRY_HEADER_BYTES_MAX;
}

reason_t
entry_head_read(entry_request_t *request)
{
	entry_t *entry = request->entry;
	const http_head_t *head = &request->exchange->head;
	head_fields_t fields = {.names = entry->names,
	    .head = request->head,
	    .bytes_max = entry_header_bytes_max(entry),
	    .keys_needed =
		entry->snapshot != NULL && entry->snapshot->preset->workspace_count > 0,
	    .deadline_ms = UINT32_MAX};
	reason_t reason;

	if (string_copy(request->head->method, sizeof(request->head->method),
		head->method) != MASTICPITCH_OK ||
	    strcmp(head->method, "CONNECT") == 0) {
		request->close = true;
		return REASON_BAD_REQUEST;
	}
	fields.reason = error_reason(head->error);
	for (size_t i = 0; i < head->field_count && fields.reason == REASON_NONE; i++)
		field_read(&fields, http_head_field_name(head, i),
		    http_head_field_value(head, i));
	reason = fields.reason;
	if (reason == REASON_NONE)
		reason = framing_check(request, &fields);
	/* The end of the body is unknown, or reading up to it is not worthwhile. */
	request->close = reason != REASON_NONE;
	/* Refused requests get an id as well. */
	if (request_id_set(request, &fields) != REASON_NONE && reason == REASON_NONE)
		reason = REASON_BAD_REQUEST;
	if (reason == REASON_NONE)
		reason = path_check(request->head->path);
	if (reason != REASON_NONE)
		return reason;
	headers_strip(&request->head->headers);
	/* Nested calls of running requests are accepted while the node is leaving. */
	if (entry->leaving && !request_is_nested(request, &fields) &&
	    request->accepted_at >= entry->accept_deadline)
		return REASON_SHUTDOWN;
	if (entry->snapshot == NULL)
		return REASON_NO_CONFIGURATION;
	request->snapshot = snapshot_hold(entry->snapshot);
	reason = route_find(request);
	if (reason == REASON_NONE)
		reason = workspace_apply(request, &fields);
	if (reason == REASON_NONE)
		reason = ticket_read(request, &fields);
	if (reason == REASON_NONE)
		reason = route_apply(request, &fields);
	return reason;
}

size_t
entry_ahead_bytes(entry_t *entry, const http_head_t *head)
{
	const preset_route_t *route;
	const char *host = NULL;
	uint32_t bytes;

	if (entry->snapshot == NULL)
		return 0;
	for (size_t i = 0; i < head->field_count && host == NULL; i++) {
		if (strcasecmp(http_head_field_name(head, i), "Host") == 0)
			host = http_head_field_value(head, i);
	}
	route = preset_route_find_host(
	    entry->snapshot->preset, host, head->method, http_head_path(head));
	if (route == NULL || !route->idempotent)
		return 0;
	bytes = answer_profile_bytes(&entry->answers, hash_string(route->name));
	return bytes != 0 ? MIN_OF(bytes, (uint32_t)STREAM_WINDOW_BYTES)
			  : ENTRY_AHEAD_BYTES;
}
