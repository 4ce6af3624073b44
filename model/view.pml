/*
 * The view of opaque keys of one data centre (package fbview).
 *
 * Three daemons share one row of the table service. Each is an incarnation, so a
 * restart is another daemon that joins later. One key is enough; its owner is the
 * first member in a fixed order.
 *
 * Time passes in ticks. Clocks drift: the clock of the holder of a lease is assumed
 * to be as slow, and that of a daemon that waits for the lease's end as fast, as the
 * bound allows. This covers the behaviour of all more accurate clocks. PERIOD is the
 * lease by the slowest clock and WAIT the wait by the fastest, in ticks of true time.
 *
 * No step is forced to happen, so any message may be delayed or lost, any daemon may
 * pause at any step or crash, and the store may be unreachable for any of them.
 * Four reductions omit no behaviour that could violate a property:
 *  - A read is one step. A delayed reply would only give a lease that expires
 *    earlier, and a view that is known later.
 *  - A commit is not acknowledged. The acknowledgement tells no more than a read.
 *  - Leases, waits and rounds are stored for the key's owner only. Nothing depends on
 *    those of other daemons.
 *  - A commit that is certain to conflict is not sent, and the members that a commit
 *    writes are chosen when it takes effect.
 *
 * The script check inserts faults by -D flags.
 */

#define N 3
#ifndef MAXEPOCH
#define MAXEPOCH 3
#endif
#ifndef PERIOD
#define PERIOD 2
#endif

#ifdef NOWAIT
#define WAIT 0
#elif defined(NODRIFT)
#define WAIT (PERIOD - 1)
#else
#define WAIT PERIOD
#endif

#define bit(i)       (1 << (i))
#define isin(i, m)   (((m) >> (i)) & 1)
#define atMostOne(m) ((m) == 0 || (m) == 1 || (m) == 2 || (m) == 4)
/* The key's owner is the first member in the order 1, 2, 0, or N for none. */
#define owner(m)     (isin(1, m) -> 1 : (isin(2, m) -> 2 : (isin(0, m) -> 0 : N)))
#define members(i)   view[epoch[i]]

/* The row has view[rowEpoch]. Older views are retained while a daemon uses them. */
byte rowEpoch;
byte view[MAXEPOCH + 1];

bool terminated[N];
byte epoch[N];
byte lease[N];         /* ticks until the lease expires */
byte tenureWait[N];    /* ticks until the owner may start the key */
bool sealed[N];        /* has sent a commit of the next view */

bool roundOpen[N];     /* requests promises */
byte roundAge[N];      /* ticks since the request */
byte promisedBy[N];    /* bit set of the members that promised */

bool commitInFlight;    /* a commit of the view after the row's is in flight */

#ifdef STALE
bool startChecked[N];    /* found that it may start, and has paused since */
#endif

byte i, j, m, k, old;
bool sameTenure;

/* fbview: View.MayStart */
#define mayStart(i) (!terminated[i] && lease[i] > 0 && owner(members(i)) == i && tenureWait[i] == 0)

/* fbview: View.mayCommit */
#ifdef JOINER
#define mayCommit(i) true
#else
#define mayCommit(i) (isin(i, members(i)) || atMostOne(members(i)) || \
	(isin(0, members(i)) && terminated[0]) || (isin(1, members(i)) && terminated[1]) || (isin(2, members(i)) && terminated[2]))
#endif

/* fbview: View.canRequestPromises */
#ifdef SOLE
#define hasOtherMembers(i) true
#else
#define hasOtherMembers(i) (!atMostOne(members(i)))
#endif
#ifdef TAKESEALED
#define canRequestPromises(i) (!terminated[i] && owner(members(i)) == i && hasOtherMembers(i))
#else
#define canRequestPromises(i) (!terminated[i] && owner(members(i)) == i && hasOtherMembers(i) && !sealed[i])
#endif

/* fbview: View.HandlePromiseRequest */
#ifdef GIVESEALED
#define givesPromise(j, i) (!terminated[j] && epoch[j] == epoch[i] && isin(j, members(j)))
#else
#define givesPromise(j, i) (!terminated[j] && epoch[j] == epoch[i] && isin(j, members(j)) && !sealed[j])
#endif

/* fbview: View.HandlePromise */
#ifdef ANYPROMISE
#define allPromised(i) (promisedBy[i] != 0)
#else
#define allPromised(i) (((promisedBy[i] | bit(i)) & members(i)) == members(i))
#endif

inline clearRound(i) { roundOpen[i] = false; roundAge[i] = 0; promisedBy[i] = 0 }

/* fbview: View.adopt and View.Tenure */
inline adopt(i, e) {
	old = epoch[i];
#ifdef GAP
	sameTenure = owner(view[old]) == i && owner(view[e]) == i;
#else
	sameTenure = e == old + 1 && owner(view[old]) == i && owner(view[e]) == i;
#endif
	epoch[i] = e;
	if
	:: e == 1 || owner(view[e]) != i -> tenureWait[i] = 0
	:: e > 1 && owner(view[e]) == i && !sameTenure -> tenureWait[i] = WAIT
	:: else
	fi;
	lease[i] = 0;
	sealed[i] = false;
	clearRound(i);
	dropUnusedViews()
}

/* Clears views that no daemon uses, so that equivalent states are equal. */
inline dropUnusedViews() {
	k = 1;
	do
	:: k < rowEpoch ->
		if
		:: epoch[0] != k && epoch[1] != k && epoch[2] != k -> view[k] = 0
		:: else
		fi;
		k++
	:: else -> break
	od;
	k = 0; old = 0; sameTenure = false
}

/* fbview: View.HandleRow */
inline readRow(i) {
	if
	:: rowEpoch > epoch[i] -> adopt(i, rowEpoch)
	:: else
	fi;
	if
	:: owner(members(i)) == i -> lease[i] = PERIOD
	:: else
	fi
}

/* fbview: View.HandlePromise and View.renewLease */
inline renewLease(i) {
#ifdef ARRIVAL
	lease[i] = PERIOD;
#else
	if
	:: PERIOD - roundAge[i] > lease[i] -> lease[i] = PERIOD - roundAge[i]
	:: else
	fi;
#endif
	clearRound(i)
}

/* The table service applies a commit. Other commits from the same view now
 * conflict. */
inline apply(m) {
	rowEpoch++;
	view[rowEpoch] = m;
	commitInFlight = false;
	dropUnusedViews()
}

/* fbview: View.Admit. No other daemon may start the key at the same time. */
inline startKey(i) {
	k = 0;
	do
	:: k < N -> assert(k == i || !mayStart(k)); k++
	:: else -> break
	od;
	k = 0
}

inline terminate(i) {
	terminated[i] = true;
	epoch[i] = 0; lease[i] = 0; tenureWait[i] = 0; sealed[i] = false;
	clearRound(i);
#ifdef STALE
	startChecked[i] = false;
#endif
	dropUnusedViews()
}

inline tick() {
	k = 0;
	do
	:: k < N ->
		if :: lease[k] > 0 -> lease[k]-- :: else fi;
		if :: tenureWait[k] > 0 -> tenureWait[k]-- :: else fi;
		if :: roundOpen[k] && roundAge[k] < PERIOD -> roundAge[k]++ :: else fi;
		if :: roundOpen[k] && roundAge[k] == PERIOD -> clearRound(k) :: else fi;
		k++
	:: else -> break
	od;
	k = 0
}

active proctype world() {
end:	do
	:: d_step { tick() }
	:: atomic {
		if :: i = 0 :: i = 1 :: i = 2 fi;
		if
		:: !terminated[i] && rowEpoch > 0 -> d_step { readRow(i) }
		:: canRequestPromises(i) -> d_step { clearRound(i); roundOpen[i] = true }
		:: roundOpen[i] ->
			if :: j = 0 :: j = 1 :: j = 2 fi;
			if
			:: j != i && givesPromise(j, i) -> promisedBy[i] = promisedBy[i] | bit(j)
			:: else
			fi;
			j = 0
		:: roundOpen[i] && canRequestPromises(i) && allPromised(i) -> d_step { renewLease(i) }
		:: !terminated[i] && epoch[i] == rowEpoch && rowEpoch < MAXEPOCH && mayCommit(i) -> sealed[i] = true; commitInFlight = true
#ifdef STALE
		:: mayStart(i) && !startChecked[i] -> startChecked[i] = true
		:: !terminated[i] && startChecked[i] -> d_step { startChecked[i] = false; startKey(i) }
#else
		:: mayStart(i) -> d_step { startKey(i) }
#endif
		:: !terminated[i] -> d_step { terminate(i) }
		:: else
		fi;
		i = 0 }
	:: atomic { commitInFlight ->
		if :: m = 1 :: m = 2 :: m = 3 :: m = 4 :: m = 5 :: m = 6 :: m = 7 fi;
		d_step { apply(m); m = 0 } }
	od
}
