/* Member records on the wire: validation, conversion and order. */
#include "member_internal.h"

#include <string.h>

unsigned
member_state_rank(member_state_t state)
{
	switch (state) {
	case MEMBER_ALIVE:
	case MEMBER_SUSPECT:
		return 0;
	case MEMBER_LEAVING:
		return 1;
	case MEMBER_DOWN:
		break;
	}
	return 2;
}

bool
member_name_is_valid(const char *name, size_t size)
{
	size_t length = strlen(name);

	if (length == 0 || length >= size)
		return false;
	for (; *name != '\0'; name++)
		if (*name <= ' ' || *name > '~' || *name == '"' || *name == '\\')
			return false;
	return true;
}

int
member_record_read(const Masticpitch__Member *record, member_t *member)
{
	const Masticpitch__Instance *instance = record->instance;

	memset(member, 0, sizeof(*member));
	if (record->port == 0 || record->port > UINT16_MAX || record->ip == 0 ||
	    record->state > MEMBER_DOWN || record->incarnation == 0 ||
	    record->incarnation > INCARNATION_MAX ||
	    !member_name_is_valid(record->zone, ZONE_BYTES) ||
	    !member_name_is_valid(record->region, ZONE_BYTES))
		return MASTICPITCH_E_INVALID;
	member->address.ip = record->ip;
	member->address.port = (uint16_t)record->port;
	member->node = address_to_node_id(&member->address);
	string_copy(member->zone, sizeof(member->zone), record->zone);
	string_copy(member->region, sizeof(member->region), record->region);
	member->link_mbps = record->link_mbps;
	member->incarnation = record->incarnation;
	member->state = record->state == MEMBER_SUSPECT ? MEMBER_ALIVE
							: (member_state_t)record->state;
	member->config_version = record->config_version;
	member->departed_ms = record->departed_ms;
	if (instance == NULL)
		return MASTICPITCH_OK;
	if (instance->state > INSTANCE_LEAVING ||
	    (instance->state != INSTANCE_NONE &&
		!member_name_is_valid(instance->service, NAME_BYTES)) ||
	    strlen(instance->service) >= NAME_BYTES ||
	    (instance->release[0] != '\0' &&
		!member_name_is_valid(instance->release, NAME_BYTES)))
		return MASTICPITCH_E_INVALID;
	member->instance.state = (instance_state_t)instance->state;
	string_copy(member->instance.service, NAME_BYTES, instance->service);
	member->instance.slots = instance->slots;
	member->instance.connections = instance->connections;
	member->instance.sequence = instance->sequence;
	member->instance.started_ms = instance->started_ms;
	string_copy(member->instance.release, NAME_BYTES, instance->release);
	return MASTICPITCH_OK;
}

bool
member_record_is_newer(const member_t *record, const member_t *known)
{
	if (record->incarnation != known->incarnation)
		return record->incarnation > known->incarnation;
	if (member_state_rank(record->state) != member_state_rank(known->state))
		return member_state_rank(record->state) > member_state_rank(known->state);
	return record->instance.sequence > known->instance.sequence;
}

void
member_to_record(
    const member_t *member, Masticpitch__Member *record, Masticpitch__Instance *instance)
{
	masticpitch__member__init(record);
	record->ip = member->address.ip;
	record->port = member->address.port;
	record->zone = (char *)member->zone;
	record->region = (char *)member->region;
	record->link_mbps = member->link_mbps;
	record->incarnation = member->incarnation;
	record->state =
	    member->state == MEMBER_SUSPECT ? MEMBER_ALIVE : (uint32_t)member->state;
	record->config_version = member->config_version;
	record->departed_ms = member->departed_ms;
	if (member->instance.state == INSTANCE_NONE && member->instance.sequence == 0)
		return;
	masticpitch__instance__init(instance);
	instance->state = (uint32_t)member->instance.state;
	instance->service = (char *)member->instance.service;
	instance->slots = member->instance.slots;
	instance->connections = member->instance.connections;
	instance->sequence = member->instance.sequence;
	instance->started_ms = member->instance.started_ms;
	instance->release = (char *)member->instance.release;
	record->instance = instance;
}
