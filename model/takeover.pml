/*
 * Starts of one task by two owners of a pool in succession (package fbsched).
 *
 * Owner 0 starts the task on one of TARGETS targets. Its calls may be delayed, or
 * their replies lost; it may pause, or continue while it is disconnected from all
 * but the targets. At any time, owner 1 may take the pool over with a higher fencing
 * token. Owner 1 lists the targets one by one, adopts a run that it finds, and
 * otherwise starts the task itself.
 *
 * No step is forced to happen and a call stays in flight until it is handled, so
 * every order of lost, delayed and reordered calls is covered.
 *
 * The script check inserts faults by -D flags.
 */

#define TARGETS 2
#define RUNS    3
#define NONE    9

/* A target: the highest token received, the highest run started or stopped there,
 * and the active run, 0 for none. */
byte fence[TARGETS], highestRun[TARGETS], activeRun[TARGETS];
bool doneListed[TARGETS];    /* the target lists a done run */
byte activeRuns;             /* number of active runs at all targets */

/* Calls in flight to each target: the run to start, for each owner. */
byte startInFlight[TARGETS * 2];    /* index 2 * target + owner, 0 for none */
byte stopInFlight[TARGETS];         /* run to stop, sent by owner 0 */

/* Owner 0: the target and the run of its last start, and what it knows of them. */
byte assigned = NONE, currentRun, nextRun = 1;
bool inDoubt, stopConfirmed;

/* Owner 1. */
bool tookOver;
byte listedTargets;    /* bit set of targets */
bool adopted, started, foundDone;

#define bit(t)  (1 << (t))
#define ALL     (bit(TARGETS) - 1)

byte t;

/* A target rejects calls with a lower token than the highest that it received. */
#ifdef NOFENCE
#define obeys(t, f) true
#else
#define obeys(t, f) ((f) >= fence[t])
#endif

/* A target rejects runs up to the highest that was started or stopped there. */
#ifdef NORUNS
#define acceptsRun(t, r) (activeRun[t] == 0)
#else
#define acceptsRun(t, r) ((r) > highestRun[t])
#endif

/* Pool.checkAllListed: owner 1 starts only when it has listed all targets. */
#ifdef NOTALL
#define mayStart (listedTargets != 0)
#else
#define mayStart (listedTargets == ALL)
#endif

inline deliverStart(t, o) {
	if
	:: obeys(t, o + 1) && acceptsRun(t, startInFlight[2 * t + o]) ->
		fence[t] = o + 1;
		highestRun[t] = startInFlight[2 * t + o];
		activeRun[t] = startInFlight[2 * t + o];
		activeRuns++;
		assert(activeRuns <= 1);
	:: else
	fi;
	startInFlight[2 * t + o] = 0;
}

init {
end:	do
	/* Owner 0 starts the task. A start without a reply is in doubt. */
	:: atomic { assigned == NONE && nextRun < RUNS ->
		select(t : 0 .. TARGETS - 1);
		currentRun = nextRun; nextRun++; assigned = t; inDoubt = false; stopConfirmed = false;
		startInFlight[2 * t] = currentRun;
	}
	:: atomic { assigned != NONE && !inDoubt -> inDoubt = true }
	/* If in doubt, owner 0 stops the run, and polls the target after the stop is
	 * confirmed. */
	:: atomic { assigned != NONE && inDoubt && !stopConfirmed && stopInFlight[assigned] == 0 -> stopInFlight[assigned] = currentRun }
#ifdef NOSTOP
	:: atomic { assigned != NONE && inDoubt && activeRun[assigned] != currentRun && obeys(assigned, 1) -> assigned = NONE }
#else
	:: atomic { assigned != NONE && inDoubt && stopConfirmed && activeRun[assigned] != currentRun && obeys(assigned, 1) -> assigned = NONE }
#endif

	/* Targets handle calls at any time. */
	:: atomic { startInFlight[0] != 0 -> deliverStart(0, 0) }
	:: atomic { startInFlight[2] != 0 -> deliverStart(1, 0) }
	:: atomic { startInFlight[1] != 0 -> deliverStart(0, 1) }
	:: atomic { startInFlight[3] != 0 -> deliverStart(1, 1) }
	:: atomic { stopInFlight[0] != 0 || stopInFlight[1] != 0 ->
		t = (stopInFlight[0] != 0 -> 0 : 1);
		if
		:: obeys(t, 1) ->
			highestRun[t] = (stopInFlight[t] > highestRun[t] -> stopInFlight[t] : highestRun[t]);
			if
			:: activeRun[t] != 0 && activeRun[t] <= stopInFlight[t] -> activeRun[t] = 0; activeRuns--
			:: else
			fi;
			if
			:: assigned == t && currentRun == stopInFlight[t] -> stopConfirmed = true
			:: else
			fi
		:: else
		fi;
		stopInFlight[t] = 0;
	}
	/* A run ends as done. */
	:: atomic { activeRun[0] != 0 -> activeRun[0] = 0; activeRuns--; doneListed[0] = true }
	:: atomic { activeRun[1] != 0 -> activeRun[1] = 0; activeRuns--; doneListed[1] = true }

	/* Owner 1 takes over and lists the targets, which raises their token. */
	:: atomic { !tookOver -> tookOver = true }
	:: atomic { tookOver && listedTargets != ALL ->
		t = ((listedTargets & 1) == 0 -> 0 : 1);
		fence[t] = 2;
		listedTargets = listedTargets | bit(t);
		if
		:: activeRun[t] != 0 -> adopted = true
		:: doneListed[t] -> foundDone = true
		:: else
		fi;
	}
	:: atomic { tookOver && mayStart && !adopted && !foundDone && !started ->
		started = true;
		select(t : 0 .. TARGETS - 1);
		startInFlight[2 * t + 1] = RUNS;
	}
	od
}
