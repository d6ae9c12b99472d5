/*
 * The departure of a backend server over restarts of its node, see docs/design.md
 * section 7, src/member.c and src/gate_announce.c.
 *
 * Bounds: the server's node (0) and two others (1 and 2). Two restarts of node 0 and
 * one of another node, each of which loses all that the process knew; two announcements
 * that the server sent before it left and that arrive at any later time; one message in
 * flight to each node, which may arrive after newer ones. A lost message gives the same
 * state as one that was not sent, which is covered.
 *
 * Checked: a node that has heard of the departure sends the server no call while it
 * runs; in the end, if any process that knows of the departure is left, all nodes know
 * and the server's node does not announce it as ready.
 */
#define RESTARTS 2
#define LATE 2

typedef record {
	byte order; /* grows with each change at node 0, over its restarts */
	bool ready; /* the server, as node 0 announces it */
	bool departed
}

record view[3]; /* view[0]: node 0's own record */
record sent[3]; /* in flight to each node; order 0: none */
bool heard[3];	/* of the departure, by the running process; for assertions */
byte restarts;
byte late = LATE;
bool other_restarted;
bool left_once;
bool done;

#define usable(i) (view[i].ready && !view[i].departed) /* RULE: view */
#define is_news(i, j) (view[i].order > view[j].order || (view[i].departed && !view[j].departed))

inline copy(to, from)
{
	to.order = from.order;
	to.ready = from.ready;
	to.departed = from.departed
}

inline clear(r)
{
	r.order = 0;
	r.ready = false;
	r.departed = false
}

inline hear(i)
{
	if
	:: sent[i].departed -> heard[i] = true
	:: else
	fi
}

/* A record of node 0 arrives at another node. */
inline merge(i)
{
	hear(i);
	if
	:: sent[i].order > view[i].order ->
		view[i].order = sent[i].order;
		view[i].ready = sent[i].ready;
		view[i].departed = (view[i].departed || sent[i].departed) /* RULE: keep */
	:: else ->
		view[i].departed = (view[i].departed || sent[i].departed) /* RULE: older */
	fi;
	clear(sent[i])
}

/* A record of node 0 arrives at node 0 itself. */
inline learn()
{
	hear(0);
	if
	:: sent[0].departed && !view[0].departed ->
		view[0].departed = true;
		view[0].ready = false; /* RULE: withdraw */
		view[0].order++
	:: else
	fi;
	clear(sent[0])
}

active proctype mesh()
{
	byte i;

	for (i : 0 .. 2) {
		view[i].order = 1;
		view[i].ready = true
	}
	i = 0;
	do
	/* The server leaves; its node acknowledges. */
	:: !left_once && view[0].ready ->
		atomic {
			left_once = true;
			view[0].ready = false;
			view[0].departed = true;
			view[0].order++;
			heard[0] = true
		}
	/* An announcement that was sent before arrives. */
	:: left_once && late > 0 ->
		atomic {
			late--;
			if
			:: !view[0].departed -> /* RULE: announcement */
				view[0].ready = true;
				view[0].order++
			:: else
			fi
		}
	/* Restarts. */
	:: restarts < RESTARTS ->
		atomic {
			restarts++;
			view[0].ready = false;
			view[0].departed = false;
			view[0].order++;
			heard[0] = false;
			clear(sent[0])
		}
	:: !other_restarted ->
		atomic {
			other_restarted = true;
			clear(view[1]);
			heard[1] = false;
			clear(sent[1])
		}
	/* Calls. */
	:: usable(0) && heard[0] -> assert(false)
	:: usable(1) && heard[1] -> assert(false)
	:: usable(2) && heard[2] -> assert(false)
	/* Gossip, anti-entropy and answers to join requests. */
	:: atomic { sent[1].order == 0 && is_news(0, 1) -> copy(sent[1], view[0]) }
	:: atomic { sent[2].order == 0 && is_news(0, 2) -> copy(sent[2], view[0]) }
	:: atomic { sent[2].order == 0 && is_news(1, 2) -> copy(sent[2], view[1]) }
	:: atomic { sent[1].order == 0 && is_news(2, 1) -> copy(sent[1], view[2]) }
	:: atomic { sent[0].order == 0 && view[1].departed && !view[0].departed -> /* RULE: tell 1 */
		copy(sent[0], view[1]) }
	:: atomic { sent[0].order == 0 && view[2].departed && !view[0].departed -> /* RULE: tell 2 */
		copy(sent[0], view[2]) }
	/* A message arrives at any later time. */
	:: atomic { sent[0].order != 0 -> learn() }
	:: atomic { sent[1].order != 0 -> merge(1) }
	:: atomic { sent[2].order != 0 -> merge(2) }
	:: else -> break
	od;
	if
	:: heard[0] || heard[1] || heard[2] ->
		assert(view[0].departed && view[1].departed && view[2].departed);
		assert(!view[0].ready)
	:: else
	fi;
	done = true
}

/* Rules that never converge cause an infinite run. */
ltl settles { <> done }
