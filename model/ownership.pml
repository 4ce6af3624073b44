/*
 * Ownership of a pinned submission (package fbcore, and the forwarding of
 * fbdaemon and fbpeer).
 *
 * One submission of one task, pinned to the first incarnation at the owner's
 * address. Its caller delivers it up to DELIVERIES times, each time through any
 * daemon, and may mint a new ID for the same work where the rules permit. The
 * owner may refuse, run, forget, stop with an heir, or die; another incarnation
 * may then listen at its address. The heir may die too.
 *
 * Any message may be late or lost and any process may pause, since no step has
 * to happen. A new ID is taken to run at once.
 *
 * Faults are put in by -D flags, see the script check.
 */

#ifndef DELIVERIES
#define DELIVERIES 3
#endif

/* What the caller hears of a delivery. */
#define NONE     0
#define COMPLETE 1    /* FB1000 */
#define FAILED   2    /* FB2...: ran or may have run */
#define NOTRUN   3    /* FB3...: the submission started nothing */
#define NOTHING  4    /* FB4...: this delivery started nothing */

/* Where a delivery is. */
#define UNSENT   0
#define PASSING  1    /* at a daemon that passes it on */
#define ATOWNER  2    /* written to the owner */
#define ATHEIR   3    /* written to the heir */
#define ATNEXT   4    /* written to the next incarnation at the owner's address */
#define WAITING  5    /* at the owner, which runs its job */
#define OVER     6

/* What the owner's table says. */
#define UNKNOWN  0
#define RUNNING  1
#define ENDED    2
#define REFUSED  3

/* How far the task's start is. */
#define IDLE     0
#define SENT     1    /* the target may get it */
#define RUNS     2    /* the target got it */
#define MAYBE    3    /* given up on: the target may still get it */
#define SPENT    4    /* it can't start any more */

byte at[DELIVERIES];
byte heard[DELIVERIES];
bool cut[DELIVERIES];     /* nobody waits for the reply any longer */
byte sent;                /* deliveries sent */
bool minted;              /* the caller has minted another ID */

bool up = true;           /* the owner lives */
bool stopping, gone;
byte table = UNKNOWN;
byte answer = NONE;       /* of the job that has ended */
byte first;               /* 1 + the delivery that was taken first, 0 for none */
bool late;                /* the token's epoch is beyond the horizon */

bool nextUp;              /* another incarnation listens at the address */
byte nextTable = UNKNOWN;

bool heirUp = true, heirNew;  /* the heir lives, and has been restarted */
bool partIn, whole;       /* it has the first part, and all of the table */
byte heirTable = UNKNOWN, heirAnswer = NONE;
byte kept = UNKNOWN, keptAnswer = NONE;   /* what is handed over */
byte place;               /* the part, 1 or 2, in which the submission stands */
bool partSent, partAcked, lastSent;

byte start = IDLE;
byte starts;              /* how many times the work was started */
bool saidNotRun;

byte d;

inline started() {
	starts++;
	assert(starts + minted <= 1); /* the work is not started twice */
	assert(!saidNotRun)          /* "not run" is true, and stays so */
}

/* The caller hears an answer, unless the connection was cut. */
inline reply(d, a) {
	at[d] = OVER;
	if
	:: a == NOTRUN -> assert(starts == 0 && start != MAYBE && start != SENT)
	:: a == NOTHING -> assert(first != d + 1)
	:: a == COMPLETE -> assert(starts == 1)
	:: else
	fi;
	if
	:: !cut[d] && a == NOTRUN -> heard[d] = a; saidNotRun = true
	:: !cut[d] && a != NOTRUN -> heard[d] = a
	:: else
	fi
}

/* fbcore: Core.finish answers every delivery that waits. */
inline finish(a) {
	table = ENDED;
	if :: start == RUNS -> start = SPENT :: else fi;
	answer = a;
	d = 0;
	do
	:: d < DELIVERIES ->
		if
		:: at[d] == WAITING -> reply(d, a)
		:: else
		fi;
		d++
	:: else -> break
	od;
	d = 0
}

/* fbcore: Core.accept */
inline accept(d) {
	assert(heard[d] != NOTHING);
	first = d + 1;
	table = RUNNING;
	at[d] = WAITING
}

#ifdef NOFLOOR
#define nofloor true
#else
#define nofloor false
#endif
#ifdef STOPTAKES
#define stopstakes true
#else
#define stopstakes false
#endif

/* fbcore: Core.checkID, Core.submit, Core.submitRepeat, Core.submitFirst, Core.refuse */
inline submit(d) {
	if
#ifndef NOFLOOR
	:: late && table == UNKNOWN -> reply(d, FAILED)
#endif
#ifndef NOTABLE
	:: table == RUNNING -> at[d] = WAITING
	:: table == ENDED -> reply(d, answer)
#else
	:: table == RUNNING || table == ENDED -> start = IDLE; accept(d)
#endif
	:: table == REFUSED -> reply(d, NOTRUN)
	:: table == UNKNOWN && (!late || nofloor) ->
		if
		:: reply(d, NOTHING)                       /* Core.checkClaim: no room */
#ifdef NOTOMBSTONE
		:: reply(d, NOTRUN)
#else
		:: table = REFUSED; reply(d, NOTRUN)       /* Core.admit */
#endif
		:: !stopping || stopstakes -> accept(d)
		fi
	fi
}

/* fbcore: Core.inheritedAnswer */
#ifdef PARTIAL
#define trusted (whole || partIn)
#else
#define trusted whole
#endif

inline inherited(d) {
	if
	:: !trusted -> reply(d, NOTHING)
	:: trusted && heirTable == ENDED -> reply(d, heirAnswer)
#ifdef HEIRSTARTS
	:: trusted && heirTable == UNKNOWN -> heirTable = ENDED; heirAnswer = COMPLETE; started(); reply(d, COMPLETE)
#else
	:: trusted && heirTable == UNKNOWN && late -> reply(d, FAILED)
	:: trusted && heirTable == UNKNOWN && !late -> reply(d, NOTRUN)
#endif
	fi
}

/* fbcore: Core.inherit. The heir knows by the number of entries whether it has
 * all of the table. */
#ifdef UNCOUNTED
#define uncounted true
#else
#define uncounted false
#endif

inline take(part) {
	if
	:: place == part && kept == ENDED -> heirTable = kept; heirAnswer = keptAnswer
	:: else
	fi
}

/* A connection breaks: nobody waits, but what was written may still be read. */
inline broken(d) {
#ifdef BROKENISNOTHING
	heard[d] = NOTHING;
	assert(first != d + 1);
#else
	heard[d] = FAILED;
#endif
	cut[d] = true
}

/* All that a dead process had read or could read is lost. */
inline lose(where) {
	d = 0;
	do
	:: d < DELIVERIES ->
		if
		:: at[d] == where && !cut[d] -> broken(d); at[d] = OVER
		:: at[d] == where && cut[d] -> at[d] = OVER
		:: else
		fi;
		d++
	:: else -> break
	od;
	d = 0
}

/* May the caller mint another ID for the work? (fbclient) */
#ifdef MINTSALWAYS
#define onlyOne true
#else
#define onlyOne (sent == 1)
#endif
#define mayMint(d) (heard[d] == NOTRUN || (heard[d] == NOTHING && onlyOne))

#ifdef EARLY
#define drained true
#else
#define drained (table != RUNNING && start != SENT && start != RUNS)
#endif

active proctype world() {
end:	do
	/* The caller delivers, also while earlier deliveries are under way. */
	:: d_step { sent < DELIVERIES && !minted -> at[sent] = PASSING; sent++ }
	:: atomic { sent > 0 && !minted ->
		if :: d = 0 :: d = 1 :: d = DELIVERIES - 1 fi;
		if
		:: mayMint(d) -> d_step { minted = true; assert(starts == 0) }
		:: else
		fi;
		d = 0 }

	/* A delivery is routed, arrives, is cut off. */
	:: atomic { sent > 0;
		if :: d = 0 :: d = 1 :: d = DELIVERIES - 1 fi;
		if
		/* fbdaemon: routePinned; fbpeer: Client.Forward */
		:: at[d] == PASSING && up -> at[d] = ATOWNER
		:: at[d] == PASSING && nextUp -> at[d] = ATNEXT
		:: at[d] == PASSING && heirUp -> at[d] = ATHEIR
		:: at[d] == PASSING -> reply(d, NOTHING)       /* owner gone or dial refused */
		:: at[d] == ATOWNER -> submit(d)
		:: at[d] == ATHEIR -> inherited(d)
		:: at[d] == ATNEXT ->
#ifdef NOINCARNATION
			if
			:: nextTable == UNKNOWN -> nextTable = ENDED; started(); reply(d, COMPLETE)
			:: nextTable == ENDED -> reply(d, COMPLETE)
			fi
#else
			reply(d, NOTHING)
#endif
		:: (at[d] == ATOWNER || at[d] == ATHEIR || at[d] == ATNEXT || at[d] == WAITING) && !cut[d] -> broken(d)
		:: else
		fi;
		d = 0 }

	/* fbcore: Core.dispatch, Core.startEnded, Core.expireJobs */
	:: d_step { up && table == RUNNING && start == IDLE -> start = SENT }
	:: d_step { start == SENT -> start = RUNS; started() }             /* the target gets it */
	:: d_step { start == MAYBE -> start = SPENT; started() }           /* late */
	:: d_step { up && table == RUNNING && start == SENT -> start = IDLE }   /* surely not started */
	:: d_step { up && table == RUNNING && start == RUNS -> finish(COMPLETE) }
	:: d_step { up && table == RUNNING && start == RUNS -> finish(FAILED) } /* failed or reply lost */
#ifdef RESTART
	:: d_step { up && table == RUNNING && start == RUNS -> start = IDLE }
#endif
	:: d_step { up && table == RUNNING && start == SENT -> start = MAYBE; finish(FAILED) }
	/* The deadline passes: not run only if no start was sent. */
	:: d_step { up && table == RUNNING && start == IDLE -> finish(NOTRUN) }
#ifdef DEADLINE
	:: d_step { up && table == RUNNING && start == SENT -> start = MAYBE; finish(NOTRUN) }
#endif

	/* fbcore: Core.expireEpochs drops an epoch; what runs stays. */
	:: d_step { !late -> late = true }
	:: d_step { late && up && (table == ENDED || table == REFUSED) -> table = UNKNOWN; answer = NONE }

	/* A planned stop: StopRequested, Drained, Core.TableParts, PartReceived. */
	:: d_step { up && !stopping -> stopping = true }
	:: atomic { up && stopping && drained && !partSent ->
		partSent = true;
		if
		:: table == ENDED -> kept = ENDED; keptAnswer = answer
		:: else
		fi;
		if :: place = 1 :: place = 2 fi }
	:: d_step { partSent && !partIn && !partAcked && heirUp -> partIn = true; take(1) }
	:: d_step { up && partIn && !partAcked -> partAcked = true }
#ifdef UNACKED
	:: d_step { up && partSent && !lastSent -> lastSent = true }
#else
	:: d_step { up && partAcked && !lastSent -> lastSent = true }
#endif
	:: d_step { lastSent && !whole && heirUp -> take(2); whole = partIn || uncounted }
	:: d_step { up && stopping && drained -> up = false; gone = true; lose(ATOWNER); lose(WAITING) }

	/* Deaths and restarts. */
	:: d_step { up -> up = false; gone = true; table = UNKNOWN; answer = NONE;
		lose(ATOWNER); lose(WAITING);
		if :: start == SENT -> start = MAYBE :: start == IDLE -> start = SPENT :: else fi }
	:: d_step { gone && !nextUp -> nextUp = true }
	:: d_step { heirUp && !heirNew -> heirUp = false; partIn = false; whole = false;
		heirTable = UNKNOWN; heirAnswer = NONE; lose(ATHEIR) }
	:: d_step { !heirUp && !heirNew -> heirUp = true; heirNew = true }
	od
}
