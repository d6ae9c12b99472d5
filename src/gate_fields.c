#include "gate_internal.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

static bool
line_add(gate_call_t *call, const char *name, const char *value)
{
	size_t size = strlen(name) + strlen(value) + 4;
	char line_buffer[512];
	char *line = size <= sizeof(line_buffer) ? line_buffer : malloc(size);
	struct curl_slist *extended;

	if (line == NULL)
		return false;
	/* libcurl sends a field without a value only if the line ends in a semicolon. */
	if (value[0] == '\0')
		snprintf(line, size, "%s;", name);
	else
		snprintf(line, size, "%s: %s", name, value);
	extended = curl_slist_append(call->lines, line);
	if (line != line_buffer)
		free(line);
	if (extended == NULL)
		return false;
	call->lines = extended;
	return true;
}

/* Keeps libcurl from adding a field of its own; line: its name and a colon. */
static bool
line_suppress(gate_call_t *call, const char *line)
{
	struct curl_slist *extended = curl_slist_append(call->lines, line);

	if (extended == NULL)
		return false;
	call->lines = extended;
	return true;
}

/* Adds a field of the dialect unless the dialect lacks it or the value is empty. */
static bool
line_add_dialect(gate_call_t *call, const char *name, const char *value)
{
	return name == NULL || value[0] == '\0' || line_add(call, name, value);
}

static bool
lines_add_dialect(gate_call_t *call, uint64_t now)
{
	const header_names_t *names = call->gate->names;
	const call_head_t *head = call->head;
	uint64_t remaining_ms =
	    (head->deadline - MIN_OF(now, head->deadline)) / NS_PER_MS;
	char remaining[24], depth[24];

	snprintf(remaining, sizeof(remaining), "%" PRIu64, remaining_ms);
	snprintf(depth, sizeof(depth), "%u", head->depth + 1);
	return line_add_dialect(call, names->deadline, remaining) &&
	       line_add_dialect(call, names->depth, depth) &&
	       line_add_dialect(call, names->request_id, head->request_id) &&
	       line_add_dialect(call, names->trace, head->trace) &&
	       line_add_dialect(call, names->ticket, head->ticket) &&
	       line_add_dialect(call, names->caller_service, head->caller_service) &&
	       line_add_dialect(call, names->workspace, head->workspace) &&
	       line_add_dialect(
		   call, names->expect_instance, call->gate->backend.instance);
}

bool
gate_lines_build(gate_call_t *call)
{
	const headers_t *headers = &call->head->headers;

	for (size_t i = 0; i < headers->count; i++) {
		const header_t *item = &headers->items[i];

		if (strcasecmp(item->name, "Content-Length") == 0 ||
		    strcasecmp(item->name, "Expect") == 0 ||
		    header_is_hop_by_hop(item->name))
			continue;
		if (!line_add(call, item->name, item->value))
			return false;
	}
	if (headers_find(headers, "Accept") == NULL && !line_suppress(call, "Accept:"))
		return false;
	return line_suppress(call, "Expect:") &&
	       lines_add_dialect(call, kernel_now(call->gate->kernel));
}
