// Fuzzes the handling of membership datagrams and sync payloads: malformed input
// must not crash it, and the table stays within its bounds.
#include "member.h"
#include "os.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
actions_clear(list_t *actions)
{
	member_action_t *action;

	while ((action = member_action_take(actions)) != NULL)
		member_action_destroy(action);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const address_t address = {0x0a000001, 7000}, from = {0x0a000002, 7000};
	const member_options_t options = {.address = address,
	    .zone = "a",
	    .region = "b",
	    .boot = 1,
	    .incarnation = 1000,
	    .seed = 1};
	member_table_t *table;
	list_t actions;

	list_init(&actions);
	if (member_table_create(&options, NS_PER_S, &table) != 0)
		return 0;
	member_receive(table, &from, data, size, NS_PER_S, &actions);
	member_sync_receive(table, 5, data, size, NS_PER_S, &actions);
	for (uint64_t i = 1; i < 20; i++)
		member_tick(table, NS_PER_S + i * MEMBER_TICK_MS * NS_PER_MS, &actions);
	actions_clear(&actions);
	member_table_destroy(table);
	return 0;
}
