#include "balance_table.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Half-life of the share of attempts refused for overload, ms. */
#define ACCEPTANCE_HALF_LIFE_MS 1000

int
balance_create(
    balance_kind_t kind, const char *zone, const char *region, balance_t **result)
{
	balance_t *balance = calloc(1, sizeof(*balance));

	if (balance == NULL)
		return MASTICPITCH_E_NOMEM;
	balance->kind = kind;
	if (string_copy(balance->zone, sizeof(balance->zone), zone) != MASTICPITCH_OK ||
	    string_copy(balance->region, sizeof(balance->region), region) !=
		MASTICPITCH_OK) {
		free(balance);
		return MASTICPITCH_E_LIMIT;
	}
	*result = balance;
	return MASTICPITCH_OK;
}

void
balance_destroy(balance_t *balance)
{
	if (balance == NULL)
		return;
	for (size_t i = 0; i < BALANCE_SERVICE_BUCKETS; i++) {
		while (balance->services[i] != NULL) {
			balance_service_t *service = balance->services[i];

			balance->services[i] = service->next;
			for (size_t j = 0; j < service->count; j++)
				free(service->instances[j]);
			free(service->instances);
			free(service);
		}
	}
	rollout_table_free(&balance->rollout);
	free(balance);
}

/* The pointer in its bucket to the instance of the node, or the NULL at the end. */
static balance_instance_t **
instance_ref(const balance_t *balance, uint64_t node)
{
	size_t bucket = hash_bytes(&node, sizeof(node), 0) % BALANCE_INSTANCE_BUCKETS;
	balance_instance_t **ref = (balance_instance_t **)&balance->instances[bucket];

	while (*ref != NULL && (*ref)->node != node)
		ref = &(*ref)->next;
	return ref;
}

static balance_service_t **
service_ref(const balance_t *balance, const char *name)
{
	size_t bucket = hash_string(name) % BALANCE_SERVICE_BUCKETS;
	balance_service_t **ref = (balance_service_t **)&balance->services[bucket];

	while (*ref != NULL && strcmp((*ref)->name, name) != 0)
		ref = &(*ref)->next;
	return ref;
}

balance_instance_t *
balance_instance_find(const balance_t *balance, uint64_t node)
{
	return *instance_ref(balance, node);
}

balance_service_t *
balance_service_find(const balance_t *balance, const char *name)
{
	return *service_ref(balance, name);
}

/* Reserves space for one more instance; creates the service if it is new. */
static int
service_reserve(balance_t *balance, const char *name, balance_service_t **result)
{
	balance_service_t **ref = service_ref(balance, name);
	balance_service_t *service = *ref;

	if (service == NULL) {
		service = calloc(1, sizeof(*service));
		if (service == NULL)
			return MASTICPITCH_E_NOMEM;
		string_copy(service->name, sizeof(service->name), name);
		service->rollout = rollout_service_find(&balance->rollout, name);
		*ref = service;
	}
	if (service->count == service->capacity) {
		size_t capacity = service->capacity == 0 ? 4 : 2 * service->capacity;
		balance_instance_t **grown =
		    realloc(service->instances, capacity * sizeof(balance_instance_t *));

		if (grown == NULL)
			return MASTICPITCH_E_NOMEM;
		service->instances = grown;
		service->capacity = capacity;
	}
	*result = service;
	return MASTICPITCH_OK;
}

/* Frees a service without instances, so that the number of names is bounded. */
static void
service_drop_if_empty(balance_t *balance, balance_service_t *service)
{
	balance_service_t **ref;

	if (service->count > 0)
		return;
	ref = service_ref(balance, service->name);
	*ref = service->next;
	free(service->instances);
	free(service);
}

static int
instance_add(balance_t *balance, const member_t *member, balance_instance_t **result)
{
	balance_instance_t *instance;
	balance_service_t *service;
	balance_instance_t **ref;
	int error;

	if (balance->count >= BALANCE_INSTANCES_MAX)
		return MASTICPITCH_E_LIMIT;
	instance = calloc(1, sizeof(*instance));
	if (instance == NULL)
		return MASTICPITCH_E_NOMEM;
	error = service_reserve(balance, member->instance.service, &service);
	if (error != MASTICPITCH_OK) {
		free(instance);
		return error;
	}
	ref = instance_ref(balance, member->node);
	instance->node = member->node;
	instance->generation = ++balance->generation;
	instance->service = service;
	instance->position = service->count;
	service->instances[service->count++] = instance;
	*ref = instance;
	balance->count++;
	*result = instance;
	return MASTICPITCH_OK;
}

void
balance_member_remove(balance_t *balance, uint64_t node)
{
	balance_instance_t **ref = instance_ref(balance, node);
	balance_instance_t *instance = *ref;
	balance_service_t *service;

	if (instance == NULL)
		return;
	service = instance->service;
	*ref = instance->next;
	service->instances[instance->position] = service->instances[--service->count];
	service->instances[instance->position]->position = instance->position;
	balance->count--;
	free(instance);
	balance_roles_update(balance, service);
	service_drop_if_empty(balance, service);
}

static tier_t
member_tier(const balance_t *balance, const member_t *member)
{
	if (strcmp(member->zone, balance->zone) == 0)
		return TIER_ZONE;
	return strcmp(member->region, balance->region) == 0 ? TIER_REGION : TIER_FAR;
}

int
balance_member_update(balance_t *balance, const member_t *member, uint64_t now)
{
	balance_instance_t *instance = *instance_ref(balance, member->node);
	const instance_t *announced = &member->instance;
	bool restarted = instance == NULL;
	int error;

	if (announced->state == INSTANCE_NONE || announced->service[0] == '\0' ||
	    member->state == MEMBER_DOWN) {
		balance_member_remove(balance, member->node);
		return MASTICPITCH_OK;
	}
	if (instance != NULL &&
	    strcmp(instance->service->name, announced->service) != 0) {
		balance_member_remove(balance, member->node);
		instance = NULL;
		restarted = true;
	}
	if (instance == NULL) {
		error = instance_add(balance, member, &instance);
		if (error != MASTICPITCH_OK)
			return error;
	}
	if (instance->incarnation != member->incarnation ||
	    instance->sequence != announced->sequence) {
		instance->leaving = false;
		instance->blocked_until = 0;
	}
	if (announced->state == INSTANCE_READY &&
	    (restarted || instance->state != INSTANCE_READY))
		instance->ready_at = now;
	memcpy(instance->zone, member->zone, sizeof(instance->zone));
	instance->tier = member_tier(balance, member);
	instance->member_state = member->state;
	instance->state = announced->state;
	instance->reachable = member->reachable;
	instance->incarnation = member->incarnation;
	instance->sequence = announced->sequence;
	instance->slots = announced->slots;
	instance->started_ms = announced->started_ms;
	memcpy(instance->release, announced->release, sizeof(instance->release));
	balance_roles_update(balance, instance->service);
	return MASTICPITCH_OK;
}

void
balance_local_set(balance_t *balance, uint64_t node)
{
	balance->local = node;
}

size_t
balance_instance_count(const balance_t *balance)
{
	return balance->count;
}

double
balance_decay(uint64_t at, uint64_t now, uint64_t half_life_ms)
{
	if (now <= at)
		return 1;
	return exp2(-(double)(now - at) / (double)(half_life_ms * NS_PER_MS));
}

bool
balance_instance_is_ejected(const balance_instance_t *instance, uint64_t now)
{
	return now < instance->ejected_until;
}

bool
balance_instance_is_eligible(const balance_instance_t *instance, uint64_t now)
{
	return instance->state == INSTANCE_READY && instance->reachable &&
	       !instance->leaving && now >= instance->blocked_until &&
	       (instance->member_state == MEMBER_ALIVE ||
		   instance->member_state == MEMBER_SUSPECT);
}

double
balance_instance_acceptance(const balance_instance_t *instance, uint64_t now)
{
	return 1 - instance->refused_share * balance_decay(instance->refused_share_at,
						 now, ACCEPTANCE_HALF_LIFE_MS);
}
