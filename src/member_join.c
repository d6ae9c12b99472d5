/*
 * Joining: requests to addresses of nodes that may be of another group, and requests
 * for such addresses while this node is alone.
 */
#include "member_internal.h"

static member_join_t *
join_find(member_table_t *table, const address_t *address)
{
	for (size_t i = 0; i < table->join_count; i++) {
		member_join_t *join = &table->joins[i];

		if (join->address.ip == address->ip &&
		    join->address.port == address->port)
			return join;
	}
	return NULL;
}

/* A place for a further address; an old one that is no seed is replaced if needed. */
static member_join_t *
join_allocate(member_table_t *table)
{
	member_join_t *join = NULL;

	if (table->join_count < MEMBER_JOIN_ADDRESSES_MAX)
		return &table->joins[table->join_count++];
	for (size_t i = 0; i < table->join_count && (join == NULL || join->is_seed);
	     i++) {
		join = &table->joins[table->join_replaced];
		table->join_replaced = (table->join_replaced + 1) % table->join_count;
	}
	return join;
}

void
member_add_join_address(
    member_table_t *table, const address_t *address, bool is_seed, uint64_t now)
{
	member_join_t *join;

	if (address_to_node_id(address) == table->self->member.node || address->port == 0)
		return;
	join = join_find(table, address);
	if (join == NULL)
		join = join_allocate(table);
	else
		is_seed |= join->is_seed;
	*join = (member_join_t){.address = *address,
	    .is_seed = is_seed,
	    .forget_at = after_ms(now, MEMBER_JOIN_KEEP_MS),
	    .backoff_ns = MEMBER_JOIN_MS * NS_PER_MS};
}

static uint64_t
join_backoff_max(const member_table_t *table)
{
	size_t share = MAX_OF(table->live_count / MEMBER_JOIN_SHARED_BY, (size_t)1);

	if (table->live_count < 2)
		return MEMBER_JOIN_ALONE_MAX_MS * NS_PER_MS;
	return share * MEMBER_JOIN_MAX_MS * NS_PER_MS;
}

static bool
join_is_of_live_member(const member_table_t *table, const member_join_t *join)
{
	const member_entry_t *entry =
	    member_entry_find(table, address_to_node_id(&join->address));

	return entry != NULL && !member_is_down(entry);
}

/* Seeds are kept; the others are found again if they are still relays. */
static bool
join_is_obsolete(const member_table_t *table, const member_join_t *join, uint64_t now)
{
	return !join->is_seed &&
	       (now >= join->forget_at || join_is_of_live_member(table, join));
}

/*
 * Sends a join request to an address that is due, unless its node is a live member.
 * Returns whether it was sent.
 */
static bool
join_run(member_table_t *table, member_join_t *join, uint64_t now, list_t *actions)
{
	const datagram_options_t options = {
	    .kind = MASTICPITCH__DATAGRAM__KIND__JOIN, .token = now, .with_self = true};
	uint64_t wait = MIN_OF(join->backoff_ns, join_backoff_max(table));

	if (now < join->next_at)
		return false;
	/* Jitter, so that nodes started together do not query one seed simultaneously. */
	join->next_at = now + wait / 2 + rng_below(&table->rng, wait);
	if (join_is_of_live_member(table, join)) {
		join->backoff_ns = MEMBER_JOIN_MS * NS_PER_MS;
		return false;
	}
	join->backoff_ns = MIN_OF(2 * wait, join_backoff_max(table));
	member_send(table, &join->address,
	    member_entry_find(table, address_to_node_id(&join->address)), &options, now,
	    actions);
	return true;
}

/*
 * Sends join requests to all known addresses that are not of live members: a node of
 * another group may be there, whether or not this one is alone.
 */
void
member_join_tick(member_table_t *table, uint64_t now, list_t *actions)
{
	bool is_alone = table->live_count < 2;
	unsigned sent = 0;

	for (size_t i = 0; i < table->join_count;) {
		if (join_is_obsolete(table, &table->joins[i], now))
			table->joins[i] = table->joins[--table->join_count];
		else
			i++;
	}
	for (size_t i = 0; i < table->join_count && sent < MEMBER_JOINS_PER_TICK; i++) {
		table->join_next = (table->join_next + 1) % table->join_count;
		sent += join_run(table, &table->joins[table->join_next], now, actions);
	}
	if (!is_alone) {
		table->join_needed_at = after_ms(now, 1000);
		table->join_backoff = 1000 * NS_PER_MS;
	} else if (now >= table->join_needed_at) {
		table->join_backoff = MIN_OF(table->join_backoff * 2, 10 * NS_PER_S);
		table->join_needed_at = now + table->join_backoff / 2 +
					rng_below(&table->rng, table->join_backoff / 2);
		member_action_append(actions, MEMBER_ACTION_JOIN_NEEDED);
	}
}
