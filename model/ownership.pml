/*
 * Ownership of a pinned submission (package fbcore, and the forwarding of
 * fbdaemon and fbpeer).
 *
 * There is one submission with one task, pinned to the first incarnation at the
 * owner's address. Its caller delivers it up to DELIVERIES times, each time through
 * any daemon, and may mint a new ID for the same work where the rules permit it. The
 * owner may refuse the submission, run it, expire its epoch, stop with a successor,
 * or crash; another incarnation may then listen at its address. The successor may
 * crash too.
 *
 * No step is forced to happen, so any message may be delayed or lost and any process
 * may pause. A new ID is assumed to run at once.
 *
 * The script check inserts faults by -D flags.
 */

#ifndef DELIVERIES
#define DELIVERIES 3
#endif

/* The answer to a delivery. */
#define NONE     0
#define COMPLETE 1    /* FB1000 */
#define FAILED   2    /* FB2...: ran or may have run */
#define NOTRUN   3    /* FB3...: the submission started nothing */
#define NOTHING  4    /* FB4...: this delivery started nothing */

/* The location of a delivery. */
#define UNSENT      0
#define FORWARDING  1    /* at a daemon that forwards it */
#define ATOWNER     2    /* written to the owner */
#define ATSUCCESSOR 3    /* written to the successor */
#define ATNEXT      4    /* written to the next incarnation at the owner's address */
#define WAITING     5    /* at the owner, which runs its job */
#define FINISHED    6

/* The state of the submission in the owner's table. */
#define UNKNOWN 0
#define RUNNING 1
#define ENDED   2
#define REFUSED 3

/* The state of the task's start. */
#define IDLE      0
#define SENT      1    /* the target may receive it */
#define STARTED   2    /* the target received it */
#define UNCERTAIN 3    /* abandoned: the target may still receive it */
#define CLOSED    4    /* it can no longer start */

byte location[DELIVERIES];
byte received[DELIVERIES];
bool disconnected[DELIVERIES];    /* nobody waits for the reply */
byte sentDeliveries;              /* number of deliveries sent */
bool minted;                      /* the caller has minted another ID */

bool ownerUp = true;    /* the owner is running */
bool stopping, ownerTerminated;
byte table = UNKNOWN;
byte answer = NONE;     /* of the job that has ended */
byte firstAccepted;     /* 1 + the delivery that was accepted first, 0 for none */
bool epochExpired;      /* the token's epoch is beyond the horizon */

bool nextUp;    /* another incarnation listens at the address */
byte nextTable = UNKNOWN;

bool successorUp = true, successorRestarted;           /* the successor is running, and was restarted */
bool firstPartReceived, tableComplete;                 /* the successor has the first part, and the whole table */
byte successorTable = UNKNOWN, successorAnswer = NONE;
byte handedOver = UNKNOWN, handedOverAnswer = NONE;    /* state that is handed over */
byte partNumber;                                       /* the part of the table, 1 or 2, that has the submission */
bool firstPartSent, firstPartAcked, lastPartSent;

byte start = IDLE;
byte starts;    /* number of times that the work was started */
bool notRunReported;

byte d;

inline recordStart() {
	starts++;
	assert(starts + minted <= 1); /* the work is started at most once */
	assert(!notRunReported) /* "not run" remains true after it was reported */
}

/* The caller receives an answer, unless the connection is closed. */
inline reply(d, code) {
	location[d] = FINISHED;
	if
	:: code == NOTRUN -> assert(starts == 0 && start != UNCERTAIN && start != SENT)
	:: code == NOTHING -> assert(firstAccepted != d + 1)
	:: code == COMPLETE -> assert(starts == 1)
	:: else
	fi;
	if
	:: !disconnected[d] && code == NOTRUN -> received[d] = code; notRunReported = true
	:: !disconnected[d] && code != NOTRUN -> received[d] = code
	:: else
	fi
}

/* fbcore: Core.finish answers every waiting delivery. */
inline finish(code) {
	table = ENDED;
	if :: start == STARTED -> start = CLOSED :: else fi;
	answer = code;
	d = 0;
	do
	:: d < DELIVERIES ->
		if
		:: location[d] == WAITING -> reply(d, code)
		:: else
		fi;
		d++
	:: else -> break
	od;
	d = 0
}

/* fbcore: Core.accept */
inline accept(d) {
	assert(received[d] != NOTHING);
	firstAccepted = d + 1;
	table = RUNNING;
	location[d] = WAITING
}

#ifdef NOFLOOR
#define acceptsExpired true
#else
#define acceptsExpired false
#endif
#ifdef STOPTAKES
#define acceptsWhileStopping true
#else
#define acceptsWhileStopping false
#endif

/* fbcore: Core.checkID, Core.submit, Core.submitRepeat, Core.submitFirst, Core.refuse */
inline submit(d) {
	if
#ifndef NOFLOOR
	:: epochExpired && table == UNKNOWN -> reply(d, FAILED)
#endif
#ifndef NOTABLE
	:: table == RUNNING -> location[d] = WAITING
	:: table == ENDED -> reply(d, answer)
#else
	:: table == RUNNING || table == ENDED -> start = IDLE; accept(d)
#endif
	:: table == REFUSED -> reply(d, NOTRUN)
	:: table == UNKNOWN && (!epochExpired || acceptsExpired) ->
		if
		:: reply(d, NOTHING) /* Core.checkClaim: no capacity */
#ifdef NOTOMBSTONE
		:: reply(d, NOTRUN)
#else
		:: table = REFUSED; reply(d, NOTRUN) /* Core.admit */
#endif
		:: !stopping || acceptsWhileStopping -> accept(d)
		fi
	fi
}

/* fbcore: Core.inheritedAnswer */
#ifdef PARTIAL
#define trustsTable (tableComplete || firstPartReceived)
#else
#define trustsTable tableComplete
#endif

inline replyInherited(d) {
	if
	:: !trustsTable -> reply(d, NOTHING)
	:: trustsTable && successorTable == ENDED -> reply(d, successorAnswer)
#ifdef HEIRSTARTS
	:: trustsTable && successorTable == UNKNOWN -> successorTable = ENDED; successorAnswer = COMPLETE; recordStart(); reply(d, COMPLETE)
#else
	:: trustsTable && successorTable == UNKNOWN && epochExpired -> reply(d, FAILED)
	:: trustsTable && successorTable == UNKNOWN && !epochExpired -> reply(d, NOTRUN)
#endif
	fi
}

/* fbcore: Core.inherit. The successor has the whole table if it has received the
 * number of entries that the parts state. */
#ifdef UNCOUNTED
#define ignoresCount true
#else
#define ignoresCount false
#endif

inline receivePart(part) {
	if
	:: partNumber == part && handedOver == ENDED -> successorTable = handedOver; successorAnswer = handedOverAnswer
	:: else
	fi
}

/* A connection closes: nobody waits, but the request that was written may still be
 * read. */
inline disconnect(d) {
#ifdef BROKENISNOTHING
	received[d] = NOTHING;
	assert(firstAccepted != d + 1);
#else
	received[d] = FAILED;
#endif
	disconnected[d] = true
}

/* A process ends: the deliveries that it has read or that were written to it are
 * lost. */
inline loseDeliveries(loc) {
	d = 0;
	do
	:: d < DELIVERIES ->
		if
		:: location[d] == loc && !disconnected[d] -> disconnect(d); location[d] = FINISHED
		:: location[d] == loc && disconnected[d] -> location[d] = FINISHED
		:: else
		fi;
		d++
	:: else -> break
	od;
	d = 0
}

/* fbclient: whether the caller may mint another ID for the work. */
#ifdef MINTSALWAYS
#define onlyDelivery true
#else
#define onlyDelivery (sentDeliveries == 1)
#endif
#define mayMint(d) (received[d] == NOTRUN || (received[d] == NOTHING && onlyDelivery))

#ifdef EARLY
#define drained true
#else
#define drained (table != RUNNING && start != SENT && start != STARTED)
#endif

active proctype world() {
end:	do
	/* The caller delivers, also while earlier deliveries are in progress, or mints
	 * another ID. */
	:: d_step { sentDeliveries < DELIVERIES && !minted -> location[sentDeliveries] = FORWARDING; sentDeliveries++ }
	:: atomic { sentDeliveries > 0 && !minted ->
		if :: d = 0 :: d = 1 :: d = DELIVERIES - 1 fi;
		if
		:: mayMint(d) -> d_step { minted = true; assert(starts == 0) }
		:: else
		fi;
		d = 0 }

	/* A delivery is routed, is handled, or loses its connection. */
	:: atomic { sentDeliveries > 0;
		if :: d = 0 :: d = 1 :: d = DELIVERIES - 1 fi;
		if
		/* fbdaemon: routePinned; fbpeer: Client.Forward */
		:: location[d] == FORWARDING && ownerUp -> location[d] = ATOWNER
		:: location[d] == FORWARDING && nextUp -> location[d] = ATNEXT
		:: location[d] == FORWARDING && successorUp -> location[d] = ATSUCCESSOR
		:: location[d] == FORWARDING -> reply(d, NOTHING) /* owner terminated or connection refused */
		:: location[d] == ATOWNER -> submit(d)
		:: location[d] == ATSUCCESSOR -> replyInherited(d)
		:: location[d] == ATNEXT ->
#ifdef NOINCARNATION
			if
			:: nextTable == UNKNOWN -> nextTable = ENDED; recordStart(); reply(d, COMPLETE)
			:: nextTable == ENDED -> reply(d, COMPLETE)
			fi
#else
			reply(d, NOTHING)
#endif
		:: (location[d] == ATOWNER || location[d] == ATSUCCESSOR || location[d] == ATNEXT || location[d] == WAITING) && !disconnected[d] -> disconnect(d)
		:: else
		fi;
		d = 0 }

	/* fbcore: Core.dispatch, Core.startEnded, Core.expireJobs */
	:: d_step { ownerUp && table == RUNNING && start == IDLE -> start = SENT }
	:: d_step { start == SENT -> start = STARTED; recordStart() } /* the target receives it */
	:: d_step { start == UNCERTAIN -> start = CLOSED; recordStart() } /* received late */
	:: d_step { ownerUp && table == RUNNING && start == SENT -> start = IDLE } /* certainly not started */
	:: d_step { ownerUp && table == RUNNING && start == STARTED -> finish(COMPLETE) }
	:: d_step { ownerUp && table == RUNNING && start == STARTED -> finish(FAILED) } /* failed or reply lost */
#ifdef RESTART
	:: d_step { ownerUp && table == RUNNING && start == STARTED -> start = IDLE }
#endif
	:: d_step { ownerUp && table == RUNNING && start == SENT -> start = UNCERTAIN; finish(FAILED) }
	/* The deadline expires: not run only if no start was sent. */
	:: d_step { ownerUp && table == RUNNING && start == IDLE -> finish(NOTRUN) }
#ifdef DEADLINE
	:: d_step { ownerUp && table == RUNNING && start == SENT -> start = UNCERTAIN; finish(NOTRUN) }
#endif

	/* fbcore: Core.expireEpochs drops the epoch's entries except running jobs. */
	:: d_step { !epochExpired -> epochExpired = true }
	:: d_step { epochExpired && ownerUp && (table == ENDED || table == REFUSED) -> table = UNKNOWN; answer = NONE }

	/* A planned stop: StopRequested, Drained, Core.TableParts, PartReceived. */
	:: d_step { ownerUp && !stopping -> stopping = true }
	:: atomic { ownerUp && stopping && drained && !firstPartSent ->
		firstPartSent = true;
		if
		:: table == ENDED -> handedOver = ENDED; handedOverAnswer = answer
		:: else
		fi;
		if :: partNumber = 1 :: partNumber = 2 fi }
	:: d_step { firstPartSent && !firstPartReceived && !firstPartAcked && successorUp -> firstPartReceived = true; receivePart(1) }
	:: d_step { ownerUp && firstPartReceived && !firstPartAcked -> firstPartAcked = true }
#ifdef UNACKED
	:: d_step { ownerUp && firstPartSent && !lastPartSent -> lastPartSent = true }
#else
	:: d_step { ownerUp && firstPartAcked && !lastPartSent -> lastPartSent = true }
#endif
	:: d_step { lastPartSent && !tableComplete && successorUp -> receivePart(2); tableComplete = firstPartReceived || ignoresCount }
	:: d_step { ownerUp && stopping && drained -> ownerUp = false; ownerTerminated = true; loseDeliveries(ATOWNER); loseDeliveries(WAITING) }

	/* Crashes and restarts. */
	:: d_step { ownerUp -> ownerUp = false; ownerTerminated = true; table = UNKNOWN; answer = NONE;
		loseDeliveries(ATOWNER); loseDeliveries(WAITING);
		if :: start == SENT -> start = UNCERTAIN :: start == IDLE -> start = CLOSED :: else fi }
	:: d_step { ownerTerminated && !nextUp -> nextUp = true }
	:: d_step { successorUp && !successorRestarted -> successorUp = false; firstPartReceived = false; tableComplete = false;
		successorTable = UNKNOWN; successorAnswer = NONE; loseDeliveries(ATSUCCESSOR) }
	:: d_step { !successorUp && !successorRestarted -> successorUp = true; successorRestarted = true }
	od
}
