/*
 * Starts of one task by two owners of a pool in succession (package fbsched).
 *
 * Owner 0 starts the task on one of TARGETS targets. Its calls may be carried
 * out late, or their answers lost; it may be paused, or live on cut off from
 * everybody but the targets, while owner 1 takes the pool over with a higher
 * fencing token, at any moment. Owner 1 lists the targets one by one, adopts a
 * run that it finds, and else starts the task itself.
 *
 * No step has to happen and a call stays in flight until it is carried out, so
 * every order of lost, late and overtaking calls is covered.
 *
 * Faults are put in by -D flags, see the script check.
 */

#define TARGETS 2
#define RUNS    3
#define NONE    9

/* A target: the highest token seen, the highest run stopped or begun there, and
 * the run at work. */
byte fence[TARGETS], highest[TARGETS], atWork[TARGETS];
bool doneAt[TARGETS];          /* the end as done is listed there */
byte working;                  /* runs at work, at all targets */

/* Calls in flight, by target: the run of a start, by the owner that sent it. */
byte starting[TARGETS * 2];    /* index 2 * target + owner, 0 for none */
byte stopping[TARGETS];        /* run to stop, sent by owner 0 */

/* Owner 0: the target and the run that it started last, and what it knows. */
byte on = NONE, current, next = 1;
bool doubt, stopped;

/* Owner 1. */
bool took;
byte listed;                   /* set of targets, as bits */
bool adopted, started, finished;

#define bit(t)  (1 << (t))
#define ALL     (bit(TARGETS) - 1)

byte t;

/* fbsched: a target obeys the highest token that it has seen. */
#ifdef NOFENCE
#define obeys(t, f) true
#else
#define obeys(t, f) ((f) >= fence[t])
#endif

/* A target rejects runs that are not above one stopped or begun there. */
#ifdef NORUNS
#define fresh(t, r) (atWork[t] == 0)
#else
#define fresh(t, r) ((r) > highest[t])
#endif

/* Pool.checkAllListed: owner 1 starts only when it has listed all targets. */
#ifdef NOTALL
#define settled (listed != 0)
#else
#define settled (listed == ALL)
#endif

inline deliverStart(t, o) {
	if
	:: obeys(t, o + 1) && fresh(t, starting[2 * t + o]) ->
		fence[t] = o + 1;
		highest[t] = starting[2 * t + o];
		atWork[t] = starting[2 * t + o];
		working++;
		assert(working <= 1);
	:: else
	fi;
	starting[2 * t + o] = 0;
}

init {
end:	do
	/* Owner 0 starts the task; a start that was not answered is in doubt. */
	:: atomic { on == NONE && next < RUNS ->
		select(t : 0 .. TARGETS - 1);
		current = next; next++; on = t; doubt = false; stopped = false;
		starting[2 * t] = current;
	}
	:: atomic { on != NONE && !doubt -> doubt = true }
	/* In doubt it stops the run, and looks once the stop is confirmed. */
	:: atomic { on != NONE && doubt && !stopped && stopping[on] == 0 -> stopping[on] = current }
#ifdef NOSTOP
	:: atomic { on != NONE && doubt && atWork[on] != current && obeys(on, 1) -> on = NONE }
#else
	:: atomic { on != NONE && doubt && stopped && atWork[on] != current && obeys(on, 1) -> on = NONE }
#endif

	/* Targets carry calls out, whenever. */
	:: atomic { starting[0] != 0 -> deliverStart(0, 0) }
	:: atomic { starting[2] != 0 -> deliverStart(1, 0) }
	:: atomic { starting[1] != 0 -> deliverStart(0, 1) }
	:: atomic { starting[3] != 0 -> deliverStart(1, 1) }
	:: atomic { stopping[0] != 0 || stopping[1] != 0 ->
		t = (stopping[0] != 0 -> 0 : 1);
		if
		:: obeys(t, 1) ->
			highest[t] = (stopping[t] > highest[t] -> stopping[t] : highest[t]);
			if
			:: atWork[t] != 0 && atWork[t] <= stopping[t] -> atWork[t] = 0; working--
			:: else
			fi;
			if
			:: on == t && current == stopping[t] -> stopped = true
			:: else
			fi
		:: else
		fi;
		stopping[t] = 0;
	}
	/* A run ends as done. */
	:: atomic { atWork[0] != 0 -> atWork[0] = 0; working--; doneAt[0] = true }
	:: atomic { atWork[1] != 0 -> atWork[1] = 0; working--; doneAt[1] = true }

	/* Owner 1 takes over and lists targets, which raises their token. */
	:: atomic { !took -> took = true }
	:: atomic { took && listed != ALL ->
		t = ((listed & 1) == 0 -> 0 : 1);
		fence[t] = 2;
		listed = listed | bit(t);
		if
		:: atWork[t] != 0 -> adopted = true
		:: doneAt[t] -> finished = true
		:: else
		fi;
	}
	:: atomic { took && settled && !adopted && !finished && !started ->
		started = true;
		select(t : 0 .. TARGETS - 1);
		starting[2 * t + 1] = RUNS;
	}
	od
}
