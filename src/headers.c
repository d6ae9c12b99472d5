#include "headers.h"

#include "util.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define RESERVED_PREFIX "Masticpitch-"

void
headers_init(headers_t *headers)
{
	memset(headers, 0, sizeof(*headers));
}

void
headers_free(headers_t *headers)
{
	for (size_t i = 0; i < headers->count; i++) {
		free(headers->items[i].name);
		free(headers->items[i].value);
	}
	free(headers->items);
	headers_init(headers);
}

/* False for characters that would split or end a header line. */
static bool
header_is_valid(const char *name, const char *value)
{
	return name[0] != '\0' && strpbrk(name, "\r\n: \t") == NULL &&
	       strpbrk(value, "\r\n") == NULL;
}

int
headers_add(headers_t *headers, const char *name, const char *value)
{
	size_t bytes = strlen(name) + strlen(value);
	header_t *items;
	header_t item;

	if (!header_is_valid(name, value))
		return MASTICPITCH_E_INVALID;
	if (headers->count >= HEADERS_COUNT_MAX ||
	    headers->bytes + bytes > HEADERS_BYTES_MAX)
		return MASTICPITCH_E_LIMIT;
	item.name = strdup(name);
	item.value = strdup(value);
	items = realloc(headers->items, (headers->count + 1) * sizeof(*items));
	if (items != NULL)
		headers->items = items;
	if (item.name == NULL || item.value == NULL || items == NULL) {
		free(item.name);
		free(item.value);
		return MASTICPITCH_E_NOMEM;
	}
	headers->items[headers->count++] = item;
	headers->bytes += bytes;
	return MASTICPITCH_OK;
}

const char *
headers_find(const headers_t *headers, const char *name)
{
	for (size_t i = 0; i < headers->count; i++) {
		if (strcasecmp(headers->items[i].name, name) == 0)
			return headers->items[i].value;
	}
	return NULL;
}

size_t
headers_count(const headers_t *headers, const char *name)
{
	size_t found = 0;

	for (size_t i = 0; i < headers->count; i++)
		found += strcasecmp(headers->items[i].name, name) == 0;
	return found;
}

static void
headers_remove_at(headers_t *headers, size_t index)
{
	header_t *item = &headers->items[index];

	headers->bytes -= strlen(item->name) + strlen(item->value);
	free(item->name);
	free(item->value);
	headers->count--;
	memmove(item, item + 1, (headers->count - index) * sizeof(*item));
}

void
headers_remove(headers_t *headers, const char *name)
{
	for (size_t i = headers->count; i-- > 0;) {
		if (strcasecmp(headers->items[i].name, name) == 0)
			headers_remove_at(headers, i);
	}
}

bool
header_is_hop_by_hop(const char *name)
{
	static const char *const names[] = {"Connection", "Keep-Alive",
	    "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE",
	    "Trailer", "Transfer-Encoding", "Upgrade"};

	for (size_t i = 0; i < ARRAY_LENGTH(names); i++) {
		if (strcasecmp(names[i], name) == 0)
			return true;
	}
	return false;
}

/* Removes the fields that the Connection field names. */
static void
headers_strip_named(headers_t *headers)
{
	const char *value = headers_find(headers, "Connection");
	char *list, *rest, *name;

	if (value == NULL)
		return;
	list = strdup(value);
	if (list == NULL)
		return;
	for (name = strtok_r(list, ", \t", &rest); name != NULL;
	     name = strtok_r(NULL, ", \t", &rest)) {
		if (strcasecmp(name, "Content-Length") != 0 &&
		    strcasecmp(name, "Host") != 0)
			headers_remove(headers, name);
	}
	free(list);
}

void
headers_strip(headers_t *headers)
{
	headers_strip_named(headers);
	for (size_t i = headers->count; i-- > 0;) {
		const char *name = headers->items[i].name;

		if (header_is_hop_by_hop(name) ||
		    strncasecmp(name, RESERVED_PREFIX, sizeof(RESERVED_PREFIX) - 1) == 0)
			headers_remove_at(headers, i);
	}
}
