/*
 * Fuzzes anti-entropy payloads of other nodes: no input may crash the decoder or
 * make the node answer with a payload that another node refuses.
 */
#include "fuzz_change.h"
#include "member.h"

#include <string.h>

#define VALID_MAX 1024

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static member_table_t *
table_create(uint32_t ip)
{
	const member_options_t options = {.address = {ip, 7000},
	    .zone = "a",
	    .region = "b",
	    .boot = 1,
	    .incarnation = 1000,
	    .seed = 1};
	member_table_t *table = NULL;

	INVARIANT(member_table_create(&options, NS_PER_S, &table) == MASTICPITCH_OK);
	return table;
}

/* Delivers the answers to the other node. */
static void
answers_deliver(member_table_t *other, list_t *actions)
{
	member_action_t *action;
	list_t ignored;

	list_init(&ignored);
	while ((action = member_action_take(actions)) != NULL) {
		if (action->type == MEMBER_ACTION_SYNC && action->payload != NULL)
			INVARIANT(member_sync_receive(other, 5, action->payload->data,
				      action->payload->size, NS_PER_S,
				      &ignored) == MASTICPITCH_OK);
		member_action_destroy(action);
	}
	while ((action = member_action_take(&ignored)) != NULL)
		member_action_destroy(action);
}

static void
sync_check(const uint8_t *data, size_t size)
{
	member_table_t *table = table_create(0x0a000001);
	member_table_t *other = table_create(0x0a000002);
	member_statistics_t statistics;
	list_t actions;

	list_init(&actions);
	member_sync_receive(table, 5, data, size, NS_PER_S, &actions);
	member_table_statistics(table, &statistics);
	INVARIANT(statistics.alive + statistics.down <= MEMBER_TABLE_MAX);
	answers_deliver(other, &actions);
	for (uint64_t i = 1; i < 20; i++)
		member_tick(table, NS_PER_S + i * MEMBER_TICK_MS * NS_PER_MS, &actions);
	answers_deliver(other, &actions);
	member_table_destroy(table);
	member_table_destroy(other);
}

/* Three members; mode selects digests, wanted buckets or neither. */
static size_t
sync_pack_valid(unsigned mode, uint8_t target[VALID_MAX])
{
	Masticpitch__MemberSync sync = MASTICPITCH__MEMBER_SYNC__INIT;
	Masticpitch__Member members[3];
	Masticpitch__Member *pointers[3];
	Masticpitch__Instance instance = MASTICPITCH__INSTANCE__INIT;
	char zone[] = "a", region[] = "b", service[] = "katalogo";
	uint64_t digests[MEMBER_BUCKETS] = {0};
	uint32_t wanted[] = {0, 5, MEMBER_BUCKETS - 1};

	instance.state = INSTANCE_READY;
	instance.service = service;
	instance.slots = 10;
	instance.connections = 110;
	instance.sequence = 1;
	for (uint32_t i = 0; i < 3; i++) {
		masticpitch__member__init(&members[i]);
		members[i].ip = 0x0a000003 + i;
		members[i].port = 7000;
		members[i].zone = zone;
		members[i].region = region;
		members[i].incarnation = 1000 + i;
		members[i].state = MEMBER_ALIVE;
		members[i].config_version = 3;
		members[i].instance = i == 0 ? &instance : NULL;
		pointers[i] = &members[i];
	}
	sync.n_members = 3;
	sync.members = pointers;
	sync.n_bucket_digests = mode == 0 ? MEMBER_BUCKETS : 0;
	sync.bucket_digests = digests;
	sync.n_wanted = mode == 1 ? 3 : 0;
	sync.wanted = wanted;
	sync.reply = mode == 2;
	INVARIANT(masticpitch__member_sync__get_packed_size(&sync) <= VALID_MAX);
	return masticpitch__member_sync__pack(&sync, target);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	uint8_t changed[VALID_MAX];
	size_t changed_size = sync_pack_valid(size > 0 ? data[0] % 3 : 0, changed);

	sync_check(data, size);
	if (size > 0)
		fuzz_change(changed, changed_size, data + 1, size - 1);
	sync_check(changed, changed_size);
	return 0;
}
