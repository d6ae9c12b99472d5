#include "membership_status.h"

#include <stdlib.h>
#include <string.h>

typedef struct version_count {
	uint64_t version;
	size_t count;
} version_count_t;

typedef struct zone_status {
	char name[ZONE_BYTES];
	size_t alive;
	size_t down;
	bool reachable;
	version_count_t versions[MEMBERSHIP_STATUS_VERSIONS_MAX];
	size_t version_count;
} zone_status_t;

typedef struct status {
	buffer_t text;
	int error;
	size_t member_count;
	zone_status_t zones[MEMBER_ZONES_MAX];
	size_t zone_count;
} status_t;

static const char *
state_text(member_state_t state)
{
	switch (state) {
	case MEMBER_ALIVE:
		return "alive";
	case MEMBER_SUSPECT:
		return "suspect";
	case MEMBER_LEAVING:
		return "leaving";
	case MEMBER_DOWN:
		break;
	}
	return "down";
}

static const char *
instance_text(instance_state_t state)
{
	switch (state) {
	case INSTANCE_NONE:
		return "none";
	case INSTANCE_STARTING:
		return "starting";
	case INSTANCE_READY:
		return "ready";
	case INSTANCE_LEAVING:
		break;
	}
	return "leaving";
}

static void
version_add(zone_status_t *zone, uint64_t version)
{
	for (size_t i = 0; i < zone->version_count; i++)
		if (zone->versions[i].version == version) {
			zone->versions[i].count++;
			return;
		}
	if (zone->version_count < MEMBERSHIP_STATUS_VERSIONS_MAX)
		zone->versions[zone->version_count++] = (version_count_t){version, 1};
}

static void
zone_add(void *context, const member_t *member)
{
	status_t *status = context;
	zone_status_t *zone = NULL;

	for (size_t i = 0; i < status->zone_count; i++)
		if (strcmp(status->zones[i].name, member->zone) == 0)
			zone = &status->zones[i];
	if (zone == NULL) {
		if (status->zone_count == MEMBER_ZONES_MAX)
			return;
		zone = &status->zones[status->zone_count++];
		string_copy(zone->name, sizeof(zone->name), member->zone);
		zone->reachable = member->reachable;
	}
	if (member->state == MEMBER_DOWN) {
		zone->down++;
		return;
	}
	zone->alive++;
	version_add(zone, member->config_version);
}

static void
member_add(void *context, const member_t *member)
{
	status_t *status = context;
	char address[ADDRESS_TEXT_BYTES];

	if (status->error != MASTICPITCH_OK)
		return;
	address_format(&member->address, address);
	/* Names contain no character that JSON has to escape. */
	status->error = buffer_printf(&status->text,
	    "%s{\"node\":\"%s\",\"zone\":\"%s\",\"state\":\"%s\",\"reachable\":%s,"
	    "\"version\":%llu,\"service\":\"%s\",\"instance\":\"%s\"}",
	    status->member_count++ > 0 ? "," : "", address, member->zone,
	    state_text(member->state), member->reachable ? "true" : "false",
	    (unsigned long long)member->config_version, member->instance.service,
	    instance_text(member->instance.state));
}

static int
zone_format(status_t *status, const zone_status_t *zone, bool first)
{
	int error = buffer_printf(&status->text,
	    "%s{\"zone\":\"%s\",\"alive\":%zu,\"down\":%zu,\"reachable\":%s,\"versions\":"
	    "{",
	    first ? "" : ",", zone->name, zone->alive, zone->down,
	    zone->reachable ? "true" : "false");

	for (size_t i = 0; error == MASTICPITCH_OK && i < zone->version_count; i++)
		error = buffer_printf(&status->text, "%s\"%llu\":%zu", i > 0 ? "," : "",
		    (unsigned long long)zone->versions[i].version,
		    zone->versions[i].count);
	if (error == MASTICPITCH_OK)
		error = buffer_printf(&status->text, "}}");
	return error;
}

chunk_t *
membership_status_format(const member_table_t *table)
{
	status_t *status = calloc(1, sizeof(*status));
	chunk_t *report = NULL;
	int error;

	if (status == NULL)
		return NULL;
	buffer_init(&status->text, MEMBERSHIP_STATUS_MAX);
	status->error = buffer_printf(&status->text, "{\"members\":[");
	member_table_visit(table, member_add, status);
	member_table_visit(table, zone_add, status);
	error = status->error;
	if (error == MASTICPITCH_OK)
		error = buffer_printf(&status->text, "],\"zones\":[");
	for (size_t i = 0; error == MASTICPITCH_OK && i < status->zone_count; i++)
		error = zone_format(status, &status->zones[i], i == 0);
	if (error == MASTICPITCH_OK)
		error = buffer_printf(&status->text, "]}");
	if (error == MASTICPITCH_OK)
		report = chunk_copy(status->text.data, status->text.size);
	buffer_free(&status->text);
	free(status);
	return report;
}
