/*
 * Lending of a workspace's quota, see docs/design/quota.md, src/quota_owner.c and
 * src/quota_lease.c.
 *
 * Bounds: two nodes, both with an entry; the quota is RATE tokens in each of PERIODS
 * periods and a burst of BURST. At any time the owner may change: the first owner leaves,
 * or a partition parts the two nodes, each learns of that at any time within a period,
 * and it ends. Asks and grants may be lost. A token ends with the period in which it was
 * lent, as a lease is short against the window.
 *
 * Checked: in all periods together no more requests are admitted than the quota, the
 * burst, and the margin: the tokens of a new bucket for each node that became the owner,
 * and a period of the other side's part for the partition, as it may be noticed late.
 */
#define RATE 4
#define BURST 4
#define PERIODS 3
#define NEW 1	 /* tokens of a new bucket */
#define MARGIN 2 /* of one partition: the part of one side in one period */

byte bucket[2];	  /* tokens at each node, if it owns the quota */
bool owns[2];	  /* in the node's own view */
bool alone[2];	  /* the node has noticed the partition */
byte lease[2];	  /* tokens at each entry */
bool cut;
bool was_cut;
byte moves;
byte owners; /* how often a node became the owner */
byte period;
byte admitted;

#define size(n) (alone[n] -> BURST / 2 : BURST)
#define part(n) (alone[n] -> RATE / 2 : RATE) /* RULE: part */

inline fill(n)
{
	if
	:: owns[n] ->
		bucket[n] = bucket[n] + part(n);
		if
		:: bucket[n] > size(n) + part(n) -> bucket[n] = size(n) + part(n)
		:: else
		fi
	:: else
	fi
}

/* The owner lends a token to an entry in reach; the grant may be lost. */
inline lend(n, to)
{
	bucket[n]--; /* RULE: taken */
	if
	:: true -> lease[to]++
	:: true -> skip
	fi
}

inline lose(n)
{
	owns[n] = false;
	bucket[n] = 0
}

inline own(n)
{
	owns[n] = true;
	owners++;
	bucket[n] = NEW /* RULE: empty */
}

inline admit()
{
	admitted++;
	assert(admitted <= BURST + RATE * period + NEW * owners + was_cut * MARGIN)
}

active proctype quota()
{
	owns[0] = true;
	bucket[0] = BURST;
	do
	:: atomic { owns[0] && bucket[0] > 0 -> lend(0, 0) }
	:: atomic { owns[1] && bucket[1] > 0 -> lend(1, 1) }
	:: atomic { owns[0] && bucket[0] > 0 && !cut -> lend(0, 1) }
	:: atomic { owns[1] && bucket[1] > 0 && !cut -> lend(1, 0) }
	:: atomic { lease[0] > 0 -> lease[0]--; admit() }
	:: atomic { lease[1] > 0 -> lease[1]--; admit() }
	/* The owner begins to leave, and the other one learns of it later. */
	:: atomic { owns[0] && !owns[1] && !cut && moves < 2 -> lose(0); moves++; own(1) }
	:: atomic { owns[1] && !owns[0] && !cut && moves < 2 -> lose(1); moves++; own(0) }
	/* A partition, noticed by each side on its own. */
	:: atomic { !cut && !was_cut -> cut = true; was_cut = true }
	:: atomic { cut && !alone[0] ->
		alone[0] = true;
		if
		:: !owns[0] -> own(0)
		:: owns[0] && bucket[0] > size(0) -> bucket[0] = size(0)
		:: else
		fi }
	:: atomic { cut && !alone[1] ->
		alone[1] = true;
		if
		:: !owns[1] -> own(1)
		:: owns[1] && bucket[1] > size(1) -> bucket[1] = size(1)
		:: else
		fi }
	/* It ends: the node with the lower rank learns first, the part rises after. */
	:: atomic { cut && alone[0] && alone[1] ->
		cut = false;
		lose(1);
		alone[1] = false }
	:: atomic { !cut && alone[0] -> alone[0] = false }
	/* The next period. Both sides have noticed a partition by then. */
	:: atomic { period < PERIODS - 1 && (!cut || (alone[0] && alone[1])) ->
		period++;
		lease[0] = 0;
		lease[1] = 0;
		fill(0);
		fill(1) }
	:: atomic { period == PERIODS - 1 -> break }
	od
}
