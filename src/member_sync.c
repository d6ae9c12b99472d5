/*
 * Anti-entropy: on a difference of table digests the nodes compare 64 bucket
 * digests and exchange the members of the buckets that differ.
 */
#include "frame.h"
#include "member_internal.h"

#include <stdlib.h>

static void
sync_emit(const Masticpitch__MemberSync *sync, uint64_t node, list_t *actions)
{
	member_action_t *action = member_action_append(actions, MEMBER_ACTION_SYNC);

	if (action == NULL)
		return;
	action->node = node;
	action->payload = chunk_create(masticpitch__member_sync__get_packed_size(sync));
	if (action->payload != NULL)
		masticpitch__member_sync__pack(sync, action->payload->data);
}

void
member_sync_start(member_table_t *table, uint64_t node, uint64_t now, list_t *actions)
{
	Masticpitch__MemberSync sync = MASTICPITCH__MEMBER_SYNC__INIT;

	if (now < table->sync_at)
		return;
	/* Jitter, so that nodes that changed together do not stay synchronized. */
	table->sync_at = now + (MEMBER_SYNC_MS + rng_below(&table->rng, 100)) * NS_PER_MS;
	table->statistics.syncs++;
	sync.n_bucket_digests = MEMBER_BUCKETS;
	sync.bucket_digests = table->bucket_digests;
	sync_emit(&sync, node, actions);
}

void
member_sync_check(member_table_t *table, member_entry_t *entry, uint64_t digest,
    uint64_t now, list_t *actions)
{
	if (digest == table->digest) {
		table->first_difference_at = 0;
		return;
	}
	if (table->first_difference_at == 0)
		table->first_difference_at = now;
	if (member_is_down(entry))
		return;
	/* For a while, gossip still in flight may explain the difference. */
	if (now < table->digest_changed_at + MEMBER_SYNC_DELAY_MS * NS_PER_MS &&
	    now < table->first_difference_at + MEMBER_SYNC_MS * NS_PER_MS)
		return;
	member_sync_start(table, entry->member.node, now, actions);
}

/* Sends the members of the chosen buckets; request: also requests the other node's. */
static void
buckets_send(const member_table_t *table, const bool chosen[MEMBER_BUCKETS], bool request,
    uint64_t node, list_t *actions)
{
	Masticpitch__MemberSync sync = MASTICPITCH__MEMBER_SYNC__INIT;
	uint32_t wanted[MEMBER_BUCKETS];
	size_t capacity = table->entries.count;
	Masticpitch__Member *members = calloc(capacity, sizeof(*members));
	Masticpitch__Instance *instances = calloc(capacity, sizeof(*instances));
	Masticpitch__Member **pointers = calloc(capacity, sizeof(Masticpitch__Member *));

	if (members == NULL || instances == NULL || pointers == NULL)
		goto out;
	sync.reply = true;
	sync.members = pointers;
	sync.wanted = wanted;
	for (uint32_t i = 0; i < MEMBER_BUCKETS; i++) {
		if (!chosen[i])
			continue;
		if (request)
			wanted[sync.n_wanted++] = i;
		LIST_FOREACH (link, &table->buckets[i]) {
			size_t index = sync.n_members++;

			member_to_record(
			    &LIST_ENTRY(link, member_entry_t, bucket_link)->member,
			    &members[index], &instances[index]);
			pointers[index] = &members[index];
		}
	}
	sync_emit(&sync, node, actions);
out:
	free(members);
	free(instances);
	free(pointers);
}

/* Limits the answers per second: a mass restart must not overload one node. */
static bool
answer_is_allowed(member_table_t *table, uint64_t now)
{
	if (now / NS_PER_S != table->sync_answers_second) {
		table->sync_answers_second = now / NS_PER_S;
		table->sync_answers = 0;
	}
	return table->sync_answers++ < MEMBER_SYNC_ANSWERS_PER_S;
}

static int
sync_handle(member_table_t *table, uint64_t node, const Masticpitch__MemberSync *sync,
    uint64_t now, list_t *actions)
{
	bool chosen[MEMBER_BUCKETS] = {false};
	bool any = false;

	if (sync->n_bucket_digests != 0 && sync->n_bucket_digests != MEMBER_BUCKETS)
		return MASTICPITCH_E_INVALID;
	for (size_t i = 0; i < sync->n_wanted; i++) {
		if (sync->wanted[i] >= MEMBER_BUCKETS)
			return MASTICPITCH_E_INVALID;
		chosen[sync->wanted[i]] = true;
		any = true;
	}
	/* Synced records are not gossiped: others find them by comparing digests. */
	for (size_t i = 0; i < sync->n_members; i++)
		member_merge(table, sync->members[i], false, now, actions);
	if (any) {
		buckets_send(table, chosen, false, node, actions);
		return MASTICPITCH_OK;
	}
	if (sync->reply || sync->n_bucket_digests == 0 || !answer_is_allowed(table, now))
		return MASTICPITCH_OK;
	for (size_t i = 0; i < MEMBER_BUCKETS; i++) {
		chosen[i] = sync->bucket_digests[i] != table->bucket_digests[i];
		any = any || chosen[i];
	}
	if (any)
		buckets_send(table, chosen, true, node, actions);
	return MASTICPITCH_OK;
}

int
member_sync_receive(member_table_t *table, uint64_t node, const uint8_t *data,
    size_t size, uint64_t now, list_t *actions)
{
	frame_allocator_t allocator;
	Masticpitch__MemberSync *sync;
	int error;

	frame_allocator_init(&allocator, size);
	sync = masticpitch__member_sync__unpack(&allocator.base, size, data);
	if (sync == NULL)
		return MASTICPITCH_E_INVALID;
	error = sync_handle(table, node, sync, now, actions);
	masticpitch__member_sync__free_unpacked(sync, NULL);
	member_flush_urgent(table, now, actions);
	return error;
}
