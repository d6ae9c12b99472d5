/* flags: -DCOLLAPSE */
/*
 * The member records of one node X in the mesh, see docs/design.md section 7 and
 * src/member_record.c, member.c and member_probe.c.
 *
 * Bounds: X, two monitors of its zone (0 and 1) and one node of another zone
 * (2). Two starts of X, where the clock at the second start may be behind the
 * first; two declarations of X as down; one announcement that it leaves; two
 * faults in total, each a partition of one of four kinds or a pause of X; one
 * message in flight to each node, which may arrive after newer ones. A lost
 * message gives the same state as one that was not sent, which is covered.
 *
 * Checked: an older record never replaces a newer one; a record that is leaving
 * does not become alive again within the same start; only nodes of X's zone
 * declare it down, and none does while it reaches another monitor that receives
 * messages from X; in the end every node has X's own record of itself, so an X
 * that runs and is connected does not stay recorded as down. Every step brings
 * the views closer together or uses up a bound, so runs are finite, which the
 * property "settles" checks, and "else" is the end.
 */
#define ALIVE 1
#define LEAVING 2
#define DOWN 3
#define STARTS 2
#define DECLARATIONS 2
#define FAULTS 2

typedef record {
	byte inc;
	byte state;
	byte start /* the start of X that the record describes; for assertions, not sent */
}

record x;
record view[3];
record sent[4]; /* in flight to nodes 0 to 2 and to X (3); inc 0: none */
bool up = true;
bool paused;
byte highest = 2;
byte starts = 1;
byte declarations;
byte faults;
bool left_once;
bool done;
byte cut; /* 1: X from 0; 2: X from all; 3: node 0 from all; 4: node 2 from all */

#define reaches_x(i) (up && !paused && \
	!(cut == 1 && i == 0) && cut != 2 && !(cut == 3 && i == 0) && !(cut == 4 && i == 2))
#define reaches(i, j) (!(cut == 3 && (i == 0 || j == 0)) && !(cut == 4 && (i == 2 || j == 2)))
#define newer(a, b) (a.inc > b.inc || (a.inc == b.inc && a.state > b.state))
#define differs(a, b) (a.inc != b.inc || a.state != b.state)
/* A monitor that cannot be queried is not counted. */
#define misses(i) (!reaches_x(i))
#define confirmed(i) (misses(i) && (!reaches(i, 1 - i) || misses(1 - i)))

inline copy(to, from)
{
	to.inc = from.inc;
	to.state = from.state;
	to.start = from.start
}

inline clear(r)
{
	r.inc = 0;
	r.state = 0;
	r.start = 0
}

/* A record arrives at a node. */
inline merge(i)
{
	if
	:: newer(sent[i], view[i]) -> /* RULE: only newer records */
		assert(newer(sent[i], view[i]));
		assert(!(view[i].state == LEAVING && sent[i].state == ALIVE &&
			view[i].start == sent[i].start));
		copy(view[i], sent[i])
	:: else
	fi;
	clear(sent[i])
}

/* A record of X arrives at X itself. */
inline refute()
{
	if
	:: newer(sent[3], x) -> /* RULE: refute */
		x.inc = sent[3].inc + 1;
		x.start = starts;
		if
		:: x.inc > highest -> highest = x.inc
		:: else
		fi
	:: else
	fi;
	clear(sent[3])
}

/* Node i declares X down. */
inline declare(i)
{
	assert(i < 2);
	assert(!reaches_x(i));
	assert(!(reaches(i, 1 - i) && reaches_x(1 - i)));
	declarations++;
	view[i].state = DOWN
}

active proctype mesh()
{
	byte i;

	x.inc = 2;
	x.state = ALIVE;
	x.start = 1;
	for (i : 0 .. 2) {
		copy(view[i], x)
	}
	i = 0;
	do
	/* Faults and recoveries. */
	:: faults < FAULTS && cut == 0 && !paused ->
		atomic {
			faults++;
			if
			:: cut = 1
			:: cut = 2
			:: cut = 3
			:: cut = 4
			:: paused = true
			fi
		}
	:: cut != 0 -> cut = 0
	:: paused -> paused = false
	:: up && starts < STARTS -> atomic { up = false; clear(sent[3]) }
	:: !up ->
		atomic {
			up = true;
			paused = false;
			starts++;
			if
			:: x.inc = highest + 1; highest = x.inc
			:: x.inc = 1 /* the clock is behind that of the first start */
			fi;
			x.state = ALIVE;
			x.start = starts
		}
	:: up && !paused && !left_once && x.state == ALIVE ->
		atomic { left_once = true; x.state = LEAVING }
	/* A suspicion confirmed by the other monitor. */
	:: declarations < DECLARATIONS && view[0].state < DOWN && confirmed(0) ->
		atomic { declare(0) }
	:: declarations < DECLARATIONS && view[1].state < DOWN && confirmed(1) ->
		atomic { declare(1) }
	/* MUTANT-ZONE */ /* a mutant inserts a declaration by the other zone's node here */
	/* X sends its own record, also in answers to probes. */
	:: atomic {
		reaches_x(0) && sent[0].inc == 0 && newer(x, view[0]) -> copy(sent[0], x) }
	:: atomic {
		reaches_x(1) && sent[1].inc == 0 && newer(x, view[1]) -> copy(sent[1], x) }
	:: atomic {
		reaches_x(2) && sent[2].inc == 0 && newer(x, view[2]) -> copy(sent[2], x) }
	/* Probes send X its record, also while it is recorded as down. */
	:: atomic { reaches_x(0) && sent[3].inc == 0 && newer(view[0], x) -> /* RULE: notify 0 */
		copy(sent[3], view[0]) }
	:: atomic { reaches_x(1) && sent[3].inc == 0 && newer(view[1], x) -> /* RULE: notify 1 */
		copy(sent[3], view[1]) }
	:: atomic { reaches_x(2) && sent[3].inc == 0 && newer(view[2], x) -> /* RULE: notify 2 */
		copy(sent[3], view[2]) }
	/* Gossip and anti-entropy between the others. */
	:: atomic { reaches(0, 1) && sent[1].inc == 0 && newer(view[0], view[1]) ->
		copy(sent[1], view[0]) }
	:: atomic { reaches(1, 0) && sent[0].inc == 0 && newer(view[1], view[0]) ->
		copy(sent[0], view[1]) }
	:: atomic { reaches(0, 2) && sent[2].inc == 0 && newer(view[0], view[2]) ->
		copy(sent[2], view[0]) }
	:: atomic { reaches(2, 0) && sent[0].inc == 0 && newer(view[2], view[0]) ->
		copy(sent[0], view[2]) }
	:: atomic { reaches(1, 2) && sent[2].inc == 0 && newer(view[1], view[2]) ->
		copy(sent[2], view[1]) }
	:: atomic { reaches(2, 1) && sent[1].inc == 0 && newer(view[2], view[1]) ->
		copy(sent[1], view[2]) }
	/* A message arrives at any later time. */
	:: atomic { sent[0].inc != 0 -> merge(0) }
	:: atomic { sent[1].inc != 0 -> merge(1) }
	:: atomic { sent[2].inc != 0 -> merge(2) }
	:: atomic { up && !paused && sent[3].inc != 0 -> refute() }
	:: else -> break
	od;
	for (i : 0 .. 2) {
		assert(!differs(view[i], x));
		assert(view[i].state != DOWN)
	}
	done = true
}

/* Rules that never converge cause an infinite run. */
ltl settles { <> done }
