/* flags: -DCOLLAPSE */
/*
 * Groups of hosts that find each other, docs/design.md section 7, src/member_probe.c and
 * src/config.c.
 *
 * Bounds: four nodes in two zones. At its start a node knows the address of one other
 * node or none (its seeds, which may be of hosts that are gone), in every combination;
 * nodes start in any order; one of them may be gone. The store may be away until all
 * have started, and loses no key. A lost datagram gives the same state as one that was
 * not sent, which is covered.
 *
 * Checked: in the end every running node knows all running nodes. Every step adds to what
 * a node knows, so runs are finite, which the property "settles" checks, and "else" is
 * the end. Steps of timers are not ordered: intervals and the time that this takes are
 * in test_member_join.
 */
#define NODES 4
#define NONE 4
#define bit_of(i) (1 << (i))
#define zone_of(i) (i % 2)

byte known[NODES];     /* live members in a node's table; 0: not started */
byte addresses[NODES]; /* to join through */
byte holder[2] = NONE; /* of the zone's relay key */
byte running;	       /* nodes that were started */
bool is_store_away;
byte gone = NONE;
bool done;

#define is_running(i) (running & bit_of(i))
#define knows(i, j) (known[i] & bit_of(j))
/* The lowest node of its zone in its own view. */
#define is_relay(i) (is_running(i) && (i < 2 || !knows(i, i - 2)))
#define is_alone(i) (known[i] == bit_of(i))
#define store_answers (!is_store_away)

inline meet(a, b)
{
	known[a] = known[a] | known[b];
	known[b] = known[a]
}

/* Node i asks node j, whose address it has, to join. */
#define JOIN(i, j) \
	:: atomic { is_running(i) && is_running(j) && (addresses[i] & bit_of(j)) && \
		may_ask(i, j) -> meet(i, j) }
/* RULE: every address that is not of a live member is asked */
#define may_ask(i, j) (!knows(i, j))
/* Gossip and anti-entropy between members. */
#define GOSSIP(i, j) \
	:: atomic { is_running(i) && is_running(j) && knows(i, j) && \
		known[i] != known[j] -> meet(i, j) }
#define PAIR(i, j) JOIN(i, j) JOIN(j, i) GOSSIP(i, j) GOSSIP(j, i)

/* A node takes the relay key of its zone, or finds that another one holds it. */
#define HOLD(i) \
	:: atomic { store_answers && is_relay(i) && holder[zone_of(i)] == NONE -> \
		holder[zone_of(i)] = i }
#define CONTEST(i) \
	:: atomic { store_answers && is_relay(i) && holder[zone_of(i)] != NONE && \
		holder[zone_of(i)] != i && !knows(i, holder[zone_of(i)]) && \
		!(addresses[i] & bit_of(holder[zone_of(i)])) -> /* RULE: the holder is evidence */ \
		addresses[i] = addresses[i] | bit_of(holder[zone_of(i)]) }
/* A relay lists the others, once for each key that it could find. */
#define LIST(i) \
	:: atomic { store_answers && may_list(i) && holder[1 - zone_of(i)] != NONE && \
		!knows(i, holder[1 - zone_of(i)]) && \
		!(addresses[i] & bit_of(holder[1 - zone_of(i)])) -> \
		addresses[i] = addresses[i] | bit_of(holder[1 - zone_of(i)]) }
/* RULE: relays list */
#define may_list(i) (is_running(i) && (is_alone(i) || holder[zone_of(i)] == i))
#define NODE(i) HOLD(i) CONTEST(i) LIST(i)

active proctype mesh()
{
	byte i;

	for (i : 0 .. NODES - 1) {
		if
		:: true
		:: i != 0 -> addresses[i] = bit_of(0)
		:: i != 1 -> addresses[i] = bit_of(1)
		:: i != 2 -> addresses[i] = bit_of(2)
		:: i != 3 -> addresses[i] = bit_of(3)
		fi
	}
	if
	:: gone = 0
	:: gone = 1
	:: gone = 2
	:: gone = 3
	:: true
	fi;
	if
	:: is_store_away = true
	:: true
	fi;
	i = 0;
	do
	:: atomic { !is_running(0) && gone != 0 -> running = running | bit_of(0); known[0] = bit_of(0) }
	:: atomic { !is_running(1) && gone != 1 -> running = running | bit_of(1); known[1] = bit_of(1) }
	:: atomic { !is_running(2) && gone != 2 -> running = running | bit_of(2); known[2] = bit_of(2) }
	:: atomic { !is_running(3) && gone != 3 -> running = running | bit_of(3); known[3] = bit_of(3) }
	:: atomic { is_store_away && (gone == NONE -> running == 15 : running == 15 - bit_of(gone)) ->
		is_store_away = false }
	PAIR(0, 1)
	PAIR(0, 2)
	PAIR(0, 3)
	PAIR(1, 2)
	PAIR(1, 3)
	PAIR(2, 3)
	NODE(0)
	NODE(1)
	NODE(2)
	NODE(3)
	:: else -> break
	od;
	for (i : 0 .. NODES - 1) {
		assert(!is_running(i) || known[i] == running)
	}
	done = true
}

/* Rules that never converge cause an infinite run. */
ltl settles { <> done }
