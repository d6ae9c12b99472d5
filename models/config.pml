/* flags: -DSAFETY -DCOLLAPSE */
/*
 * Distribution of the configuration, guarantees P1, P2, P3 and P9 of
 * docs/design.md (commits are in commit.pml):
 *   - no node reverts to an older version, restarts included;
 *   - the configuration in force is one complete valid version whose parts are
 *     all stored on the node;
 *   - when no step is left, every node has the same version: the platform's,
 *     unless that is invalid or older than a version that nodes had.
 *
 * Pushes are a set for each node, so they arrive in any order and repeatedly.
 * A step that waits for a timer may happen at any moment.
 *
 * Bounds: 3 nodes, 0 and 1 in zone A, 2 in zone B; versions 2 (valid or
 * invalid) and 3, committed at any time, each with one part besides the shared
 * part 0. FAULTS (1) of the following at any time, and a set-back also after a
 * restart: the pushes to a node are lost; a node restarts; the zones are
 * partitioned (and B from the platform) and healed; the lease of zone A lapses;
 * the platform is set back to version 1, after which version 4 is committed
 * above those seen.
 *
 * Assumed: a node that gets its version floor from no peer gets an answer from
 * the platform; the peers connected to a node learn its version before it
 * restarts. Not covered: a node that restarts without a connection to any peer
 * while the platform is set back.
 */
#define N 3
#ifndef FAULTS
#define FAULTS 1
#endif
#define NONE 0

bit valid[5]; /* heads are their versions; part w belongs to version w */
byte head = 1;
bit was_set_back;
bit faults_done;

byte in_force[N], candidate[N], held[N], refused[N], pushed[N];
byte version_floor[N]; /* of a restarted node */
byte highest[N];	/* largest version ever in force */
byte peers_floor[N];	/* largest version of the node that its peers have received */
bit starting[N], relay[N];
bit no_floor[N];  /* restarted without a reachable peer: must read the platform first */
bit had_no_floor[N]; /* has restarted without a reachable peer */
byte lease = N; /* holder of zone A's lease; N: none */
bit cut;

byte faults = FAULTS;
bit lost, restarted, was_cut, lapsed;

#define bit_of(x) (1 << (x))
#define zone_of(i) ((i) / 2)
#define connected(i, j) (i != j && (!cut || zone_of(i) == zone_of(j)))
#define reads_platform(i) (relay[i] && (!cut || zone_of(i) == 0))
#define needs(w) (1 | bit_of(w))
#define complete(w, i) ((held[i] & needs(w)) == needs(w))
#define wanted(w, i) \
	(w > in_force[i] /* NEWER */ && w != refused[i] && w > candidate[i] && \
	    w >= version_floor[i])

/* Parts of its candidate that a node can fetch now, one at a time. */
#define lacks(p, i) (candidate[i] != NONE && (needs(candidate[i]) & p) && !(held[i] & p))
#define has(p, j, i) (connected(i, j) && (held[j] & p))
#define on_platform(p, i) (reads_platform(i) && (p == 1 || (head == candidate[i] && head > 1)))
#define can_fetch(p, i) \
	(lacks(p, i) && (on_platform(p, i) || has(p, 0, i) || has(p, 1, i) || has(p, 2, i)))

inline push_to(i, j)
{
	if
	:: connected(i, j) ->
		pushed[j] = pushed[j] | bit_of(in_force[i]); /* PUSH */
		peers_floor[i] = highest[i]
	:: else -> skip
	fi
}

inline accept(i)
{
	if
	:: valid[candidate[i]] /* VALIDATE */ ->
		assert(candidate[i] > in_force[i]);
		in_force[i] = candidate[i];
		assert(valid[in_force[i]]);
		assert(complete(in_force[i], i));
		assert(in_force[i] >= highest[i] || (had_no_floor[i] && was_set_back));
		highest[i] = in_force[i];
		push_to(i, 0);
		push_to(i, 1);
		push_to(i, 2)
	:: else ->
		refused[i] = candidate[i]
	fi;
	candidate[i] = NONE;
	held[i] = held[i] & needs(in_force[i]); /* RETAIN */
	assert(in_force[i] == NONE || complete(in_force[i], i))
}

/* A push of a new version stays in the set, because it may arrive again. */
#define PUSH_ARRIVES(w, i) \
	:: atomic { (pushed[i] & bit_of(w)) && !starting[i] -> \
		if \
		:: wanted(w, i) -> candidate[i] = w \
		:: else -> pushed[i] = pushed[i] & ~bit_of(w) \
		fi }

#define PULLS(j, i) \
	:: atomic { connected(i, j) && !starting[i] && wanted(in_force[j], i) -> \
		candidate[i] = in_force[j] }

proctype Node(byte i)
{
end:	do
	:: atomic { zone_of(i) == 0 && lease == N && !relay[i] -> /* LEASE */
		lease = i;
		relay[i] = 1 }
	:: atomic { reads_platform(i) && !starting[i] && wanted(head, i) -> /* WATCH */
		candidate[i] = head }
	PUSH_ARRIVES(2, i)
	PUSH_ARRIVES(3, i)
	PUSH_ARRIVES(4, i)
	PULLS(0, i) /* PULL */
	PULLS(1, i) /* PULL */
	PULLS(2, i) /* PULL */
	:: atomic { can_fetch(1, i) -> held[i] = held[i] | 1 }
	:: atomic { can_fetch(2, i) -> held[i] = held[i] | 2 }
	:: atomic { can_fetch(4, i) -> held[i] = held[i] | 4 }
	:: atomic { can_fetch(8, i) -> held[i] = held[i] | 8 }
	:: atomic { can_fetch(16, i) -> held[i] = held[i] | 16 }
	:: atomic { candidate[i] != NONE && !complete(candidate[i], i) && !can_fetch(1, i) &&
	    !can_fetch(2, i) && !can_fetch(4, i) && !can_fetch(8, i) && !can_fetch(16, i) &&
	    !(reads_platform(i) && head == candidate[i]) -> /* DROP: parts unavailable */
		pushed[i] = pushed[i] & ~bit_of(candidate[i]);
		candidate[i] = NONE;
		held[i] = held[i] & needs(in_force[i]) }
	:: atomic { no_floor[i] && reads_platform(i) ->
		no_floor[i] = 0;
		version_floor[i] = (valid[head] -> head : 1);
		if
		:: candidate[i] < version_floor[i] -> candidate[i] = NONE; held[i] = 0
		:: else -> skip
		fi }
	:: atomic { candidate[i] != NONE && complete(candidate[i], i) && !no_floor[i] -> /* COMPLETE */
		accept(i) }
	:: atomic { starting[i] -> /* gets the version floor from peers */
		if
		:: i == 2 && cut -> no_floor[i] = 1; had_no_floor[i] = 1
		:: else -> version_floor[i] = peers_floor[i] /* FLOOR */
		fi;
		starting[i] = 0 }
	od
}

inline restart(i)
{
	in_force[i] = NONE; candidate[i] = NONE; held[i] = 0; refused[i] = NONE;
	pushed[i] = 0;
	starting[i] = 1;
	if
	:: i < 2 -> relay[i] = 0
	:: else -> skip
	fi;
	if
	:: lease == i -> lease = N
	:: else -> skip
	fi
}

proctype Operators()
{
	atomic {
		if
		:: valid[2] = 1
		:: valid[2] = 0
		fi;
		head = 2
	};
	atomic { head = 3 };
	/* Operators commit again, with a version above those seen. */
	atomic { faults_done ->
		if
		:: was_set_back -> head = 4
		:: else -> skip
		fi }
}

proctype Faults()
{
	do
	:: atomic { faults > 0 && !lost && pushed[0] -> faults--; lost = 1; pushed[0] = 0 }
	:: atomic { faults > 0 && !lost && pushed[2] -> faults--; lost = 1; pushed[2] = 0 }
	:: atomic { faults > 0 && !restarted -> faults--; restarted = 1; restart(0) }
	:: atomic { faults > 0 && !restarted -> faults--; restarted = 1; restart(2) }
	:: atomic { faults > 0 && !was_cut -> faults--; was_cut = 1; cut = 1 }
	:: atomic { cut ->
		cut = 0;
		peers_floor[0] = highest[0]; peers_floor[1] = highest[1]; peers_floor[2] = highest[2] }
	:: atomic { faults > 0 && !lapsed && lease != N -> faults--; lapsed = 1; lease = N }
	:: atomic { (faults > 0 || restarted) && !was_set_back ->
		if
		:: faults > 0 -> faults--
		:: else -> skip
		fi;
		was_set_back = 1; head = 1 }
	:: atomic { !cut -> faults_done = 1; break }
	od
}

/* When no step is left, every node has the newest version. */
proctype Monitor()
{
	timeout;
	assert(in_force[0] != NONE);
	assert(in_force[0] == in_force[1] && in_force[0] == in_force[2]);
	assert(!valid[head] || head < in_force[0] || in_force[0] == head)
}

init
{
	atomic {
		valid[1] = 1; valid[3] = 1; valid[4] = 1;
		relay[2] = 1;
		in_force[0] = 1; in_force[1] = 1; in_force[2] = 1;
		held[0] = 3; held[1] = 3; held[2] = 3;
		highest[0] = 1; highest[1] = 1; highest[2] = 1;
		peers_floor[0] = 1; peers_floor[1] = 1; peers_floor[2] = 1;
		run Node(0); run Node(1); run Node(2);
		run Operators(); run Faults(); run Monitor()
	}
}
