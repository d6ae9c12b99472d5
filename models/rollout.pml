/*
 * Steps and fencing of a rollout, see docs/design/rollout.md, src/rollout_calls.c,
 * src/rollout_decider.c and src/rollout_step.c.
 *
 * Bounds: two relays that may decide, one entry, one order. A lease ends at any time; its
 * holder has stopped acting before. Each relay may have one write on its way, which takes
 * effect at any later time if its conditions hold. Steps reach the entry in any order, or
 * never. Each decider may find the release good or bad.
 *
 * Checked: completion is written only while the entry has moved and nothing is in flight
 * at old instances; a release that was stopped gets no request again; what was written as
 * completed or rolled back is never changed; the entry does not move to a release that was
 * rolled back.
 */
#define TERMS 3 /* times that a relay becomes the decider */

mtype = { SAMPLE, FULL, DONE, STOPPED, NONE };

byte holder;   /* of the lease: relay + 1; 0: none */
byte terms;
byte revision; /* of the state in the store */
mtype state = SAMPLE;
mtype outcome = NONE; /* DONE: completed; STOPPED: rolled back */
bool written_done, written_stopped;

mtype entry = SAMPLE;
bool old_in_flight;
bool step_full, step_stopped; /* on their way */
bool was_stopped;

byte read[2];	       /* revision of the state as the relay knows it */
mtype mode[2] = SAMPLE; /* of the relay's item */
bool claimed[2];
mtype write[2] = NONE; /* on its way: FULL to the state, DONE or STOPPED to the status */
byte expected[2];

/* A write takes effect, or is refused. The answer counts only for the holder. */
inline write_apply(r)
{
	if
	:: write[r] == FULL ->
		if
		:: revision == expected[r] -> /* RULE: state condition */
			state = FULL;
			revision++;
			if
			:: holder == r + 1 -> mode[r] = FULL; read[r] = revision
			:: true -> claimed[r] = false /* the answer is lost */
			fi
		:: else -> claimed[r] = false
		fi
	:: write[r] == DONE || write[r] == STOPPED ->
		if
		:: outcome == NONE && revision == expected[r] -> /* RULE: guard */
			if
			:: write[r] == DONE ->
				assert(entry == FULL && !old_in_flight);
				assert(!written_stopped);
				written_done = true
			:: else ->
				assert(!written_done && entry != FULL);
				written_stopped = true
			fi;
			outcome = write[r]
		:: else
		fi
	fi;
	write[r] = NONE
}

proctype relay(byte r)
{
end:
	do
	/* Takes the lease, and reads state and status. */
	:: atomic { holder == 0 && terms < TERMS ->
		holder = r + 1;
		terms++;
		read[r] = revision;
		claimed[r] = false;
		mode[r] = (outcome != NONE -> outcome : state)
	   }
	/* Rewrites the state under its own lease. */
	:: atomic { holder == r + 1 && !claimed[r] ->
		if
		:: revision == read[r] ->
			revision++; /* RULE: claim */
			read[r] = revision;
			mode[r] = (outcome != NONE -> outcome : mode[r]); /* RULE: read */
			claimed[r] = true
		:: else -> read[r] = revision; mode[r] = state
		fi
	   }
	:: atomic { holder == r + 1 -> holder = 0; claimed[r] = false }
	/* Good: full is in the store before it is sent. */
	:: atomic { holder == r + 1 && claimed[r] && mode[r] == SAMPLE && write[r] == NONE ->
		write[r] = FULL; expected[r] = read[r] }
	/* Bad: stopped at once. */
	:: atomic { holder == r + 1 && claimed[r] && mode[r] == SAMPLE && write[r] == NONE ->
		mode[r] = STOPPED; step_stopped = true }
	:: atomic { holder == r + 1 && claimed[r] && mode[r] == FULL -> step_full = true }
	/* The entry reports that it was stopped by an earlier decider. */
	:: atomic { holder == r + 1 && mode[r] == SAMPLE && entry == STOPPED ->
		mode[r] = STOPPED /* RULE: report */
	   }
	:: atomic { holder == r + 1 && claimed[r] && mode[r] == STOPPED && write[r] == NONE &&
		outcome == NONE -> write[r] = STOPPED; expected[r] = read[r] }
	:: atomic { holder == r + 1 && claimed[r] && mode[r] == FULL && write[r] == NONE &&
		entry == FULL && !old_in_flight && /* RULE: moved */
		outcome == NONE -> write[r] = DONE; expected[r] = read[r] }
	:: atomic { write[r] != NONE -> write_apply(r) }
	od
}

active proctype node()
{
end:
	do
	:: atomic { entry == SAMPLE || entry == STOPPED -> old_in_flight = true }
	:: old_in_flight -> old_in_flight = false
	:: atomic { step_full ->
		step_full = false;
		if
		:: entry == SAMPLE -> entry = FULL /* RULE: forward */
		:: else
		fi;
		assert(!was_stopped || entry == STOPPED);
		assert(!written_stopped || entry != FULL)
	   }
	:: atomic { step_stopped ->
		step_stopped = false;
		if
		:: entry == SAMPLE -> entry = STOPPED; was_stopped = true /* RULE: late */
		:: else
		fi
	   }
	od
}

init { atomic { run relay(0); run relay(1) } }
