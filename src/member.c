#include "member_internal.h"

#include <stdlib.h>
#include <string.h>

member_action_t *
member_action_append(list_t *actions, member_action_type_t type)
{
	member_action_t *action = calloc(1, sizeof(*action));

	if (action == NULL)
		return NULL;
	action->type = type;
	list_append(actions, &action->link);
	return action;
}

member_action_t *
member_action_take(list_t *actions)
{
	list_t *node = list_take_first(actions);

	return node != NULL ? LIST_ENTRY(node, member_action_t, link) : NULL;
}

void
member_action_destroy(member_action_t *action)
{
	if (action == NULL)
		return;
	chunk_release(action->payload);
	free(action);
}

member_entry_t *
member_entry_find(const member_table_t *table, uint64_t node)
{
	hash_node_t *found = hash_table_find(&table->entries, node, 0);

	return found != NULL ? HASH_ENTRY(found, member_entry_t, by_node) : NULL;
}

bool
member_is_down(const member_entry_t *entry)
{
	return entry->member.state == MEMBER_DOWN;
}

/* The member as other services see it. */
static member_t
member_view(const member_entry_t *entry)
{
	member_t member = entry->member;
	instance_t *instance = &member.instance;

	member.reachable = entry->zone->reachable;
	/* A node that was restarted may not know yet that its backend server has left. */
	if (instance->state != INSTANCE_NONE && instance->started_ms != 0 &&
	    instance->started_ms <= member.departed_ms)
		instance->state = INSTANCE_LEAVING;
	return member;
}

void
member_emit_changed(const member_entry_t *entry, list_t *actions)
{
	member_action_t *action = member_action_append(actions, MEMBER_ACTION_CHANGED);

	if (action == NULL)
		return;
	action->node = entry->member.node;
	action->u.member = member_view(entry);
}

static int
array_reserve(member_entry_t ***array, size_t *capacity, size_t needed)
{
	member_entry_t **grown;

	if (needed <= *capacity)
		return MASTICPITCH_OK;
	grown = realloc(*array, sizeof(member_entry_t *) * needed * 2);
	if (grown == NULL)
		return MASTICPITCH_E_NOMEM;
	*array = grown;
	*capacity = needed * 2;
	return MASTICPITCH_OK;
}

static member_zone_t *
zone_get(member_table_t *table, const char *name, uint64_t now)
{
	member_zone_t *zone;

	for (size_t i = 0; i < table->zone_count; i++)
		if (strcmp(table->zones[i]->name, name) == 0)
			return table->zones[i];
	if (table->zone_count == MEMBER_ZONES_MAX)
		return NULL;
	zone = calloc(1, sizeof(*zone));
	if (zone == NULL)
		return NULL;
	string_copy(zone->name, sizeof(zone->name), name);
	zone->reachable = true;
	zone->heard = now;
	table->zones[table->zone_count++] = zone;
	return zone;
}

/* First position in the ring whose id is not below node. */
static size_t
ring_position(const member_table_t *table, uint64_t node)
{
	size_t low = 0, high = table->ring_count;

	while (low < high) {
		size_t middle = (low + high) / 2;

		if (table->ring[middle]->member.node < node)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static bool
zone_is_own(const member_table_t *table, const member_entry_t *entry)
{
	return table->self == NULL || entry->zone == table->self->zone;
}

/* Does not fail: entry_create() has reserved room. */
static void
live_add(member_table_t *table, member_entry_t *entry)
{
	member_zone_t *zone = entry->zone;
	size_t position;

	entry->live_index = table->live_count;
	table->live[table->live_count++] = entry;
	entry->zone_index = zone->live_count;
	zone->live[zone->live_count++] = entry;
	if (!zone_is_own(table, entry))
		return;
	position = ring_position(table, entry->member.node);
	memmove(table->ring + position + 1, table->ring + position,
	    (table->ring_count - position) * sizeof(member_entry_t *));
	table->ring[position] = entry;
	table->ring_count++;
	table->targets_stale = true;
}

static void
live_remove(member_table_t *table, member_entry_t *entry)
{
	member_zone_t *zone = entry->zone;
	size_t position;

	table->live[entry->live_index] = table->live[--table->live_count];
	table->live[entry->live_index]->live_index = entry->live_index;
	zone->live[entry->zone_index] = zone->live[--zone->live_count];
	zone->live[entry->zone_index]->zone_index = entry->zone_index;
	if (!zone_is_own(table, entry))
		return;
	position = ring_position(table, entry->member.node);
	INVARIANT(position < table->ring_count && table->ring[position] == entry);
	table->ring_count--;
	memmove(table->ring + position, table->ring + position + 1,
	    (table->ring_count - position) * sizeof(member_entry_t *));
	table->targets_stale = true;
}

static void
digest_update(member_table_t *table, member_entry_t *entry, uint64_t now)
{
	const member_t *member = &entry->member;
	uint64_t fields[6] = {member->node, member->incarnation,
	    member_state_rank(member->state), (uint64_t)member->instance.state,
	    member->instance.sequence, member->departed_ms};
	uint64_t hash = member_is_down(entry) ? 0 : hash_bytes(fields, sizeof(fields), 0);

	table->digest ^= entry->hash ^ hash;
	table->bucket_digests[member->node % MEMBER_BUCKETS] ^= entry->hash ^ hash;
	if (hash != entry->hash)
		table->digest_changed_at = now;
	entry->hash = hash;
}

static void
down_add(member_table_t *table, member_entry_t *entry, uint64_t now)
{
	entry->marked_down_at = now;
	list_append(&table->down, &entry->down_link);
	table->down_count++;
}

static void
down_remove(member_table_t *table, member_entry_t *entry)
{
	list_remove(&entry->down_link);
	table->down_count--;
}

void
member_remove(member_table_t *table, member_entry_t *entry, list_t *actions)
{
	member_action_t *action = member_action_append(actions, MEMBER_ACTION_REMOVED);

	INVARIANT(member_is_down(entry));
	if (action != NULL)
		action->node = entry->member.node;
	for (size_t i = 0; i < table->target_count; i++)
		if (table->targets[i] == entry)
			table->targets[i--] = table->targets[--table->target_count];
	down_remove(table, entry);
	hash_table_remove(&table->entries, &entry->by_node);
	list_remove(&entry->bucket_link);
	list_remove(&entry->gossip_link);
	free(entry);
}

/*
 * Adds a member that is not down. NULL: too many zones, a full table without a down
 * member to evict, or no memory.
 */
static member_entry_t *
entry_create(member_table_t *table, const member_t *member, uint64_t now, list_t *actions)
{
	member_zone_t *zone = zone_get(table, member->zone, now);
	member_entry_t *entry;

	if (zone == NULL)
		return NULL;
	if (table->entries.count >= MEMBER_TABLE_MAX) {
		if (list_is_empty(&table->down))
			return NULL;
		member_remove(table,
		    LIST_ENTRY(table->down.next, member_entry_t, down_link), actions);
	}
	/* Room for down members too, so that live_add() cannot fail when they return. */
	if (array_reserve(&table->live, &table->live_capacity,
		table->entries.count + 1) != MASTICPITCH_OK ||
	    array_reserve(&table->ring, &table->ring_capacity,
		table->entries.count + 1) != MASTICPITCH_OK ||
	    array_reserve(&zone->live, &zone->live_capacity, table->entries.count + 1) !=
		MASTICPITCH_OK)
		return NULL;
	entry = calloc(1, sizeof(*entry));
	if (entry == NULL)
		return NULL;
	if (hash_table_insert(&table->entries, &entry->by_node, member->node, 0) !=
	    MASTICPITCH_OK) {
		free(entry);
		return NULL;
	}
	list_init(&entry->bucket_link);
	list_init(&entry->gossip_link);
	list_init(&entry->down_link);
	entry->member = *member;
	entry->zone = zone;
	entry->heard = now;
	list_append(&table->buckets[member->node % MEMBER_BUCKETS], &entry->bucket_link);
	live_add(table, entry);
	return entry;
}

/* Moves a node that returned in another zone, with room in that zone's array. */
static int
entry_move(member_table_t *table, member_entry_t *entry, const char *name, uint64_t now)
{
	member_zone_t *zone = zone_get(table, name, now);

	if (zone == NULL)
		return MASTICPITCH_E_LIMIT;
	if (array_reserve(&zone->live, &zone->live_capacity, table->entries.count + 1) !=
	    MASTICPITCH_OK)
		return MASTICPITCH_E_NOMEM;
	if (!member_is_down(entry))
		live_remove(table, entry);
	entry->zone = zone;
	if (!member_is_down(entry))
		live_add(table, entry);
	return MASTICPITCH_OK;
}

static int
entry_apply(member_table_t *table, member_entry_t *entry, const member_t *record,
    uint64_t now, list_t *actions)
{
	bool was_down = member_is_down(entry);
	bool is_down = record->state == MEMBER_DOWN;
	uint64_t version = MAX_OF(record->config_version, entry->member.config_version);
	uint64_t departed_ms = MAX_OF(record->departed_ms, entry->member.departed_ms);

	if (strcmp(entry->member.zone, record->zone) != 0) {
		int error = entry_move(table, entry, record->zone, now);

		if (error != MASTICPITCH_OK)
			return error;
	}
	member_clear_suspicion(table, entry, NULL);
	entry->member = *record;
	entry->member.config_version = version;
	entry->member.departed_ms = departed_ms;
	if (was_down && !is_down) {
		down_remove(table, entry);
		live_add(table, entry);
		entry->heard = now;
	} else if (!was_down && is_down) {
		live_remove(table, entry);
		down_add(table, entry, now);
	}
	digest_update(table, entry, now);
	member_emit_changed(entry, actions);
	return MASTICPITCH_OK;
}

void
member_refute(member_table_t *table, uint64_t known, uint64_t now, list_t *actions)
{
	member_entry_t *self = table->self;

	if (known < self->member.incarnation || known >= INCARNATION_MAX)
		return;
	self->member.incarnation = known + 1;
	digest_update(table, self, now);
	member_gossip_enqueue(table, self, now);
	member_emit_changed(self, actions);
}

/*
 * Merges the departure that a record tells, even if the record is older: a restarted
 * node has none in its own. True if it is news.
 */
static bool
departure_merge(member_table_t *table, member_entry_t *entry, uint64_t departed_ms,
    uint64_t now, list_t *actions)
{
	if (departed_ms <= entry->member.departed_ms)
		return false;
	entry->member.departed_ms = departed_ms;
	digest_update(table, entry, now);
	member_emit_changed(entry, actions);
	return true;
}

/* A record of this node from others is refuted: only the node itself sets its state. */
static int
self_merge(member_table_t *table, const member_t *record, uint64_t now, list_t *actions)
{
	if (departure_merge(table, table->self, record->departed_ms, now, actions))
		member_gossip_enqueue(table, table->self, now);
	if (!member_record_is_newer(record, &table->self->member))
		return MASTICPITCH_E_STALE;
	member_refute(table, record->incarnation, now, actions);
	return MASTICPITCH_OK;
}

int
member_merge(member_table_t *table, const Masticpitch__Member *record, bool forward,
    uint64_t now, list_t *actions)
{
	member_t member;
	member_entry_t *entry;
	int error = member_record_read(record, &member);

	if (error != MASTICPITCH_OK) {
		table->statistics.refused++;
		return error;
	}
	entry = member_entry_find(table, member.node);
	if (entry == table->self && entry != NULL)
		return self_merge(table, &member, now, actions);
	if (entry == NULL) {
		/* Removal is local: an unknown member that is down is not added again. */
		if (member.state == MEMBER_DOWN)
			return MASTICPITCH_E_STALE;
		entry = entry_create(table, &member, now, actions);
		if (entry == NULL) {
			table->statistics.refused++;
			return MASTICPITCH_E_LIMIT;
		}
		digest_update(table, entry, now);
		member_emit_changed(entry, actions);
	} else {
		entry->version_floor =
		    MAX_OF(entry->version_floor, member.config_version);
		if (!member_record_is_newer(&member, &entry->member)) {
			if (departure_merge(
				table, entry, member.departed_ms, now, actions) &&
			    forward)
				member_gossip_enqueue(table, entry, now);
			return MASTICPITCH_E_STALE;
		}
		error = entry_apply(table, entry, &member, now, actions);
		if (error != MASTICPITCH_OK)
			return error;
	}
	entry->version_floor = MAX_OF(entry->version_floor, member.config_version);
	if (forward)
		member_gossip_enqueue(table, entry, now);
	return MASTICPITCH_OK;
}

void
member_change_state(member_table_t *table, member_entry_t *entry, member_state_t state,
    uint64_t now, list_t *actions)
{
	member_t record = entry->member;

	record.state = state;
	entry_apply(table, entry, &record, now, actions);
	member_gossip_enqueue(table, entry, now);
}

int
member_table_create(
    const member_options_t *options, uint64_t now, member_table_t **result)
{
	member_table_t *table = calloc(1, sizeof(*table));
	member_t self = {.address = options->address, .state = MEMBER_ALIVE};
	list_t actions;
	int error = MASTICPITCH_E_INVALID;

	if (table == NULL)
		return MASTICPITCH_E_NOMEM;
	list_init(&actions);
	list_init(&table->down);
	list_init(&table->gossip);
	for (size_t i = 0; i < MEMBER_BUCKETS; i++)
		list_init(&table->buckets[i]);
	hash_table_init(&table->entries);
	rng_init(&table->rng, options->seed);
	table->boot = options->boot;
	self.node = address_to_node_id(&options->address);
	self.incarnation = options->incarnation;
	if (!member_name_is_valid(options->zone, ZONE_BYTES) ||
	    !member_name_is_valid(options->region, ZONE_BYTES))
		goto fail;
	string_copy(self.zone, sizeof(self.zone), options->zone);
	string_copy(self.region, sizeof(self.region), options->region);
	self.link_mbps = options->link_mbps;
	error = MASTICPITCH_E_NOMEM;
	table->self = entry_create(table, &self, now, &actions);
	if (table->self == NULL)
		goto fail;
	digest_update(table, table->self, now);
	for (size_t i = 0; i < options->seed_count; i++)
		member_add_join_address(table, &options->seeds[i], true, now);
	/* Jitter, so that nodes started together do not query one seed simultaneously. */
	for (size_t i = 0; i < table->join_count; i++)
		table->joins[i].next_at = now + rng_below(&table->rng, 100) * NS_PER_MS;
	table->last_tick_at = now;
	table->heard_any_at = now;
	table->down_probe_at = now + MEMBER_DOWN_PROBE_MS * NS_PER_MS;
	table->join_needed_at = now + 1000 * NS_PER_MS;
	table->join_backoff = 1000 * NS_PER_MS;
	*result = table;
	return MASTICPITCH_OK;
fail:
	member_table_destroy(table);
	return error;
}

void
member_table_destroy(member_table_t *table)
{
	if (table == NULL)
		return;
	for (size_t i = 0; i < MEMBER_BUCKETS; i++)
		LIST_FOREACH_SAFE (node, &table->buckets[i])
			free(LIST_ENTRY(node, member_entry_t, bucket_link));
	for (size_t i = 0; i < table->zone_count; i++) {
		free(table->zones[i]->live);
		free(table->zones[i]);
	}
	hash_table_free(&table->entries);
	free(table->live);
	free(table->ring);
	free(table);
}

void
member_set_instance(
    member_table_t *table, const instance_t *instance, uint64_t now, list_t *actions)
{
	member_entry_t *self = table->self;
	uint32_t sequence = self->member.instance.sequence;

	self->member.instance = *instance;
	self->member.departed_ms =
	    MAX_OF(self->member.departed_ms, instance->departed_ms);
	/* Orders the records, so it must grow even if the gate's count does not. */
	self->member.instance.sequence = MAX_OF(instance->sequence, sequence + 1);
	digest_update(table, self, now);
	member_gossip_enqueue(table, self, now);
	member_emit_changed(self, actions);
	member_flush_urgent(table, now, actions);
}

void
member_set_version(member_table_t *table, uint64_t version, uint64_t now, list_t *actions)
{
	table->self->member.config_version = version;
	table->self->version_floor = MAX_OF(table->self->version_floor, version);
	table->version_max = MAX_OF(table->version_max, version);
	table->version_sends_left = member_gossip_transmissions(table);
	member_flush_urgent(table, now, actions);
}

void
member_leave(member_table_t *table, uint64_t now, list_t *actions)
{
	member_entry_t *self = table->self;

	if (self->member.state == MEMBER_LEAVING)
		return;
	self->member.state = MEMBER_LEAVING;
	digest_update(table, self, now);
	member_gossip_enqueue(table, self, now);
	member_emit_changed(self, actions);
	member_flush_urgent(table, now, actions);
}

bool
member_has_pending_gossip(const member_table_t *table)
{
	return table->live_count > 1 && !list_is_empty(&table->self->gossip_link);
}

const member_t *
member_self(const member_table_t *table)
{
	return &table->self->member;
}

const member_t *
member_find(const member_table_t *table, uint64_t node)
{
	member_entry_t *entry = member_entry_find(table, node);

	return entry != NULL ? &entry->member : NULL;
}

uint64_t
member_table_digest(const member_table_t *table)
{
	return table->digest;
}

void
member_table_statistics(const member_table_t *table, member_statistics_t *statistics)
{
	*statistics = table->statistics;
	statistics->alive = table->live_count;
	statistics->down = table->down_count;
	statistics->zones_unreachable = 0;
	for (size_t i = 0; i < table->zone_count; i++)
		if (table->zones[i]->live_count > 0 && !table->zones[i]->reachable)
			statistics->zones_unreachable++;
}

void
member_table_visit(const member_table_t *table,
    void (*visit)(void *context, const member_t *member), void *context)
{
	for (size_t i = 0; i < MEMBER_BUCKETS; i++) {
		LIST_FOREACH (node, &table->buckets[i]) {
			const member_entry_t *entry =
			    LIST_ENTRY(node, member_entry_t, bucket_link);
			member_t member = member_view(entry);

			visit(context, &member);
		}
	}
}
