/* flags: -DSAFETY -DCOLLAPSE */
/*
 * Commits of operators on the platform, docs/design.md section 6:
 *   - the outcome reported to an operator is correct, and a commit takes effect
 *     at most once;
 *   - versions on the platform only increase, unless it is set back;
 *   - every part that the head names is present, whichever parts committers
 *     delete.
 *
 * Bounds: 3 operators with one commit each, of part 1 or 2 besides the shared
 * part 0. At most one compare-and-swap in total is lost, delayed, or loses its
 * answer; the platform is set back to version 1 at most once.
 *
 * Assumed: a platform that is set back assigns revisions that it has never
 * assigned before. The outcome reported for a commit that a set-back erased is
 * not checked.
 */
#define WRITES 5
#define NONE 0

/* Every head prepared by an operator, by number; 1 exists initially. */
byte version[WRITES], part[WRITES], history[WRITES];
bit took_effect[WRITES];
byte planned = 1;

byte head = 1, head_revision = 1, revision = 1;
byte part_revision[3]; /* 0: absent */
bit was_set_back;
byte late_head, late_expect;
byte swap_faults = 1, setbacks = 1;

#define bit_of(x) (1 << (x))

inline head_write(w)
{
	assert(version[w] > version[head]);
	head = w;
	revision++;
	head_revision = revision;
	assert(!took_effect[w]);
	took_effect[w] = 1;
	assert(part_revision[0] != 0 && part_revision[part[w]] != 0);
}

proctype Operator()
{
	byte base, expect, mine, p, orphan;
	bit unsure;

	atomic { /* read the head */
		base = head;
		expect = head_revision;
		if
		:: p = 1
		:: p = 2
		fi;
		planned++;
		mine = planned;
		version[mine] = version[base] + 1;
		part[mine] = p;
		history[mine] = history[base] | bit_of(mine)
	};
	atomic { /* writes the part unless the base head names it */
		if
		:: part[base] != p /* REWRITE */ ->
			revision++;
			part_revision[p] = revision
		:: else -> skip
		fi
	};
swap:
	atomic {
		if
		:: swap_faults > 0 -> /* the swap is lost */
			swap_faults--; unsure = 1;
			goto swap
		:: swap_faults > 0 -> /* the swap is delayed */
			swap_faults--; unsure = 1;
			late_head = mine; late_expect = expect;
			goto swap
		:: swap_faults > 0 && head_revision == expect -> /* the answer is lost */
			swap_faults--; unsure = 1;
			head_write(mine);
			goto swap
		:: head_revision == expect -> /* SWAP */
			head_write(mine);
			goto committed
		:: head_revision != expect -> skip
		:: unsure -> goto done /* gives up; outcome unknown */
		fi
	};
	atomic { /* conflict: looks up the own operation in the head's history */
		if
		:: (history[head] & bit_of(mine)) /* LOOKUP */ -> goto committed
		:: else ->
			assert(!took_effect[mine] || was_set_back);
			goto done
		fi
	};
committed:
	atomic { /* selects an orphan: older than the own head, in neither head */
		assert(took_effect[mine]);
		if
		:: head == mine && part_revision[3 - p] != 0 && part[base] != 3 - p &&
		    part_revision[3 - p] < head_revision /* GARBAGE */ ->
			orphan = part_revision[3 - p]
		:: else -> skip
		fi
	};
	atomic { /* compare-and-delete */
		if
		:: orphan != 0 && part_revision[3 - p] == orphan /* DELETE */ ->
			part_revision[3 - p] = 0;
			assert(part[head] != 3 - p)
		:: else -> skip
		fi
	};
done:
	skip
}

proctype Faults()
{
	do
	:: atomic { setbacks > 0 -> setbacks--;
		head = 1; revision++; head_revision = revision;
		part_revision[1] = 0; part_revision[2] = 0;
		was_set_back = 1 }
	:: atomic { late_head != NONE ->
		if
		:: head_revision == late_expect -> head_write(late_head)
		:: else -> skip
		fi;
		late_head = NONE }
	:: break
	od
}

init
{
	atomic {
		version[1] = 1; part[1] = 0; history[1] = bit_of(1);
		took_effect[1] = 1;
		part_revision[0] = 1;
		run Operator(); run Operator(); run Operator();
		run Faults()
	}
}
