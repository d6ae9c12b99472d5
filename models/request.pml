/* flags: -DSAFETY -DCOLLAPSE -DNOFAIR */
/*
 * One non-idempotent request over two hops: caller, entry, gate, backend
 * server. Guarantees P4, P5, P6 and P8 of docs/design.md:
 *   - the request is run at most once;
 *   - a request refused as "not run" has not run and is not run later;
 *   - the caller gets the complete answer to its own request, or a failure that
 *     states correctly whether the request may have run;
 *   - a gate that drains interrupts no call.
 *
 * Frames in flight are a set of flags for each stream, so they may arrive late
 * and in any order; a frame that is never received is lost. A step that waits
 * for a timer or a lost connection may happen at any moment.
 *
 * Bounds: 2 gates, each with a backend server; 3 streams (attempts) in total;
 * the caller sends at most twice, the second time with the same ticket after an
 * unknown outcome; stream 0 is the late answer of an earlier request. One crash
 * of a node with its gate, one of a backend server, one of the entry, and one
 * drain. The ticket is bound to the first start of gate 0. Whether the request
 * has a ticket is chosen at the start.
 */
#define GATES 2
#define STREAMS 4 /* 0: of an earlier request */

/* Run states, of refusals and outcomes. */
#define NONE 0
#define NOT_RUN 1
#define UNKNOWN 2
#define COMPLETE 3 /* outcome only */

/* State of a call at its gate. */
#define QUEUED 1
#define RUNNING 2
#define HEAD_DUE 3
#define END_DUE 4
#define ENDED 5

/* Result of the exchange with the backend server, as received by the gate. */
#define ANSWER 1
#define SHED 2
#define RESET 3

/* Ticket table of gate 0. */
#define TICKET_NEW 0
#define TICKET_RUNNING 1
#define TICKET_DONE 2
#define TICKET_UNKNOWN 3

/* Frames in flight. */
bool open_net[STREAMS], cancel_net[STREAMS], head_net[STREAMS], end_net[STREAMS];
byte refusal_net[STREAMS];

/* Calls at gates, and their exchanges with backend servers. */
byte target[STREAMS], call[STREAMS], result[STREAMS], sent_by[STREAMS];
bool request_net[STREAMS], job[STREAMS];

bool gate_up[GATES], leaving[GATES], backend_up[GATES];
bool ticketed, first_start = true;
byte ticket;
byte gate_crashes = 1, backend_crashes = 1, entry_crashes = 1, drains = 1;

/* Entry and caller. */
bool busy, waiting, written, head;
byte current, next = 1, sending, outcome;
byte head_from, end_from;

/* History, for the assertions. */
byte runs;
bool run_of[2], reported_not_run[2];

inline report(o)
{
	outcome = o;
	busy = false;
	waiting = false;
	if
	:: o == NOT_RUN ->
		assert(!run_of[sending]);
		reported_not_run[sending] = true
	:: o == COMPLETE ->
		assert(head_from != 0 && end_from != 0);
		assert(runs == 1)
	:: else -> skip
	fi
}

/* An attempt failed; it is retried only if it was certainly not run. */
inline fail(how)
{
	waiting = false;
	if
	:: head -> report(UNKNOWN) /* the caller's connection is closed */
	:: !head && how == NOT_RUN && next < STREAMS -> skip /* retried */
	:: !head && how == NOT_RUN -> report(NOT_RUN)
	:: !head && how == UNKNOWN -> report(UNKNOWN)
	fi
}

#define ACCEPTS(s) (waiting && s == current)

#define FRAMES_FROM(s) \
	:: atomic { ACCEPTS(s) && refusal_net[s] == NOT_RUN -> \
		refusal_net[s] = NONE; fail(NOT_RUN) } \
	:: atomic { ACCEPTS(s) && refusal_net[s] == UNKNOWN -> \
		refusal_net[s] = NONE; fail(UNKNOWN) } \
	:: atomic { ACCEPTS(s) && head_net[s] && !head -> \
		head_net[s] = false; head = true; head_from = s } \
	:: atomic { ACCEPTS(s) && end_net[s] && head -> \
		end_net[s] = false; end_from = s; report(COMPLETE) } \
	:: atomic { ACCEPTS(s) && end_net[s] && !head -> \
		end_net[s] = false; fail(UNKNOWN) } /* out of order: refused */

inline begin()
{
	busy = true;
	outcome = NONE;
	head = false;
	head_from = 0;
	end_from = 0
}

/* Opens a stream to gate g; written: the socket accepted the open frame. */
inline attempt(g)
{
	current = next;
	next++;
	waiting = true;
	target[current] = g;
	sent_by[current] = sending;
	if
	:: written = true; open_net[current] = true
	:: written = false
	fi
}

active proctype Entry()
{
	atomic {
		if
		:: ticketed = true
		:: ticketed = false
		fi;
		gate_up[0] = true; gate_up[1] = true;
		backend_up[0] = true; backend_up[1] = true;
		head_net[0] = true; end_net[0] = true;
		begin()
	}
	do
	:: atomic { busy && !waiting && next < STREAMS -> attempt(0) }
	:: atomic { busy && !waiting && next < STREAMS && !ticketed -> attempt(1) }
	/* No usable instance, no time left or no retry budget; no attempt was run. */
	:: atomic { busy && !waiting -> report(NOT_RUN) }
	FRAMES_FROM(0)
	FRAMES_FROM(1)
	FRAMES_FROM(2)
	FRAMES_FROM(3)
	/* The connection to the node is lost. */
	:: atomic { waiting && written -> fail(UNKNOWN) }
	:: atomic { waiting && !written -> fail(NOT_RUN) }
	/* The deadline passes, or the caller disconnects. */
	:: atomic { waiting && written -> cancel_net[current] = true; report(UNKNOWN) }
	:: atomic { waiting && !written -> report(NOT_RUN) }
	/* The entry crashes: the caller's connection is closed. */
	:: atomic { busy && entry_crashes > 0 ->
		entry_crashes--;
		if
		:: waiting && written -> cancel_net[current] = true
		:: else -> skip
		fi;
		report(UNKNOWN) }
	/* The caller retries with the same ticket after an unknown outcome. */
	:: atomic { !busy && outcome == UNKNOWN && ticketed && sending == 0 ->
		sending = 1; begin() }
	:: atomic { !busy -> break }
	od
}

inline withdraw()
{
	if
	:: ticketed && first_start && ticket == TICKET_RUNNING -> ticket = TICKET_NEW
	:: else -> skip
	fi
}

inline set_ticket_unknown()
{
	if
	:: ticketed && first_start && ticket == TICKET_RUNNING -> ticket = TICKET_UNKNOWN
	:: else -> skip
	fi
}

inline refuse(s, how)
{
	call[s] = ENDED;
	refusal_net[s] = how
}

inline enqueue(s)
{
	assert(!leaving[target[s]]); /* a leaving instance gets no new work */
	call[s] = QUEUED
}

inline admit(s)
{
	open_net[s] = false;
	if
	:: leaving[target[s]] -> refuse(s, NOT_RUN)
	:: else ->
		if
		:: !ticketed -> enqueue(s)
		:: ticketed && !first_start -> refuse(s, UNKNOWN) /* ticket-lost */
		:: ticketed && first_start && ticket == TICKET_NEW ->
			ticket = TICKET_RUNNING;
			enqueue(s)
		:: ticketed && first_start && ticket == TICKET_RUNNING -> refuse(s, UNKNOWN)
		:: ticketed && first_start && ticket == TICKET_UNKNOWN -> refuse(s, UNKNOWN)
		:: ticketed && first_start && ticket == TICKET_DONE -> call[s] = HEAD_DUE
		fi
	fi
}

inline execute(s)
{
	request_net[s] = false;
	assert(runs == 0);
	assert(!reported_not_run[sent_by[s]]);
	runs++;
	run_of[sent_by[s]] = true;
	job[s] = true
}

/* One stream at its gate and its backend server. */
proctype Call(byte s)
{
end:	do
	:: atomic { open_net[s] && gate_up[target[s]] -> admit(s) }
	/* Shed from the queue, or no connection to the backend server. */
	:: atomic { call[s] == QUEUED -> withdraw(); refuse(s, NOT_RUN) }
	:: atomic { call[s] == QUEUED -> call[s] = RUNNING; request_net[s] = true }
	:: atomic { cancel_net[s] && call[s] == QUEUED ->
		cancel_net[s] = false; withdraw(); call[s] = ENDED }
	:: atomic { cancel_net[s] && call[s] == RUNNING ->
		cancel_net[s] = false; set_ticket_unknown(); call[s] = ENDED }
	:: atomic { call[s] == RUNNING && result[s] == ANSWER -> call[s] = HEAD_DUE }
	:: atomic { call[s] == RUNNING && result[s] == SHED ->
		withdraw(); refuse(s, NOT_RUN) }
	/* The connection broke after the request was written: never resent. */
	:: atomic { call[s] == RUNNING && result[s] == RESET ->
		set_ticket_unknown(); refuse(s, UNKNOWN) }
	:: atomic { call[s] == HEAD_DUE -> head_net[s] = true; call[s] = END_DUE }
	:: atomic { call[s] == END_DUE ->
		if
		:: ticket == TICKET_RUNNING -> ticket = TICKET_DONE
		:: else -> skip
		fi;
		end_net[s] = true;
		call[s] = ENDED }
	/* The backend server's answer ends after its head. */
	:: atomic { call[s] == END_DUE -> set_ticket_unknown(); call[s] = ENDED }

	/* Backend server. */
	:: atomic { request_net[s] && backend_up[target[s]] -> execute(s) }
	:: atomic { request_net[s] && backend_up[target[s]] ->
		request_net[s] = false; result[s] = SHED }
	:: atomic { request_net[s] -> request_net[s] = false; result[s] = RESET }
	:: atomic { job[s] -> job[s] = false; result[s] = ANSWER }
	:: atomic { job[s] -> job[s] = false; result[s] = RESET }
	od
}

#define AT_GATE(s, g) (target[s] == g && call[s] != NONE && call[s] != ENDED)

inline gate_lose(s, g)
{
	if
	:: AT_GATE(s, g) -> call[s] = ENDED
	:: else -> skip
	fi
}

inline backend_lose(s, g)
{
	if
	:: target[s] == g && (job[s] || request_net[s]) ->
		job[s] = false; request_net[s] = false; result[s] = RESET
	:: else -> skip
	fi
}

#define IDLE(g) (!AT_GATE(1, g) && !AT_GATE(2, g) && !AT_GATE(3, g))

/* Crashes, restarts and drains of a gate's node and its backend server. */
proctype Host(byte g)
{
end:	do
	:: atomic { gate_up[g] && gate_crashes > 0 ->
		gate_crashes--;
		gate_up[g] = false;
		leaving[g] = false;
		gate_lose(1, g); gate_lose(2, g); gate_lose(3, g);
		if
		:: g == 0 -> first_start = false; ticket = TICKET_NEW
		:: else -> skip
		fi }
	:: atomic { !gate_up[g] -> gate_up[g] = true }
	:: atomic { backend_up[g] && backend_crashes > 0 ->
		backend_crashes--;
		backend_up[g] = false;
		backend_lose(1, g); backend_lose(2, g); backend_lose(3, g) }
	:: atomic { !backend_up[g] -> backend_up[g] = true }
	:: atomic { gate_up[g] && drains > 0 -> drains--; leaving[g] = true }
	/* A planned stop completes after the last call. */
	:: atomic { gate_up[g] && leaving[g] && IDLE(g) ->
		assert(IDLE(g));
		gate_up[g] = false;
		leaving[g] = false;
		if
		:: g == 0 -> first_start = false; ticket = TICKET_NEW
		:: else -> skip
		fi }
	od
}

init
{
	atomic {
		run Call(1); run Call(2); run Call(3);
		run Host(0); run Host(1)
	}
}
