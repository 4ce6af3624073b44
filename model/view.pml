/*
 * The view of opaque keys of one data centre (package fbview).
 *
 * Three daemons share one row of the table service. Each is an incarnation, so
 * a restart is a daemon that comes later. One key is enough: whoever comes
 * first in a fixed order among the members owns it.
 *
 * Time passes in ticks. Clocks drift: the holder of a lease is taken to be as
 * slow, and whoever waits for its end as fast, as the bound allows; that permits
 * all that better clocks do. PERIOD is the lease by the slowest clock and WAIT
 * the wait by the fastest, in ticks of true time.
 *
 * Any message may be late or lost, any daemon may pause at any step or die, and
 * the store may be out of reach of any of them, since no step has to happen.
 * Three reductions lose no behaviour that could break a property:
 *  - A read is one step. A reply that took longer gives a lease that ends
 *    sooner, and a view that is learnt later.
 *  - A commit is not acknowledged: that teaches no more than a read does.
 *  - Leases, rests and rounds are kept for the key's owner alone; nothing else
 *    depends on those of the others.
 *  - A commit that is bound to conflict is not sent, and what a commit writes
 *    is drawn when it takes effect.
 *
 * Faults are put in by -D flags, see the script check.
 */

#define N       3
#ifndef MAXEPOCH
#define MAXEPOCH 3
#endif
#ifndef PERIOD
#define PERIOD  2
#endif

#ifdef NOWAIT
#define WAIT    0
#elif defined(NODRIFT)
#define WAIT    (PERIOD - 1)
#else
#define WAIT    PERIOD
#endif

#define bit(i)     (1 << (i))
#define isin(i, m) (((m) >> (i)) & 1)
#define few(m)     ((m) == 0 || (m) == 1 || (m) == 2 || (m) == 4)
/* The key's owner is the first member in the order 1, 2, 0, or N for none. */
#define owner(m)   (isin(1, m) -> 1 : (isin(2, m) -> 2 : (isin(0, m) -> 0 : N)))
#define members(i) view[epoch[i]]

/* The row holds view[rowEpoch]; older views are kept while a daemon uses them. */
byte rowEpoch;
byte view[MAXEPOCH + 1];

bool dead[N];
byte epoch[N];
byte lease[N];     /* ticks for which the confirmation is still good */
byte rest[N];      /* ticks until the tenure of the key begins */
bool sealed[N];    /* sent a commit of the successor of its view */

bool asking[N];    /* a round of promises */
byte asked[N];     /* ticks since it was asked */
byte given[N];     /* who promised */

bool pending;      /* a commit of the successor of the row is in flight */

#ifdef STALE
bool looked[N];    /* saw that it may start, and has paused since */
#endif

byte i, j, m, k, old;
bool chain;

/* fbview: View.MayStart */
#define mayStart(i) (!dead[i] && lease[i] > 0 && owner(members(i)) == i && rest[i] == 0)

/* fbview: View.mayCommit */
#ifdef JOINER
#define allowed(i) true
#else
#define allowed(i) (isin(i, members(i)) || few(members(i)) || \
	(isin(0, members(i)) && dead[0]) || (isin(1, members(i)) && dead[1]) || (isin(2, members(i)) && dead[2]))
#endif

/* fbview: View.canRequestPromises */
#ifdef SOLE
#define others(i) true
#else
#define others(i) (!few(members(i)))
#endif
#ifdef TAKESEALED
#define canAsk(i) (!dead[i] && owner(members(i)) == i && others(i))
#else
#define canAsk(i) (!dead[i] && owner(members(i)) == i && others(i) && !sealed[i])
#endif

/* fbview: View.HandlePromiseRequest */
#ifdef GIVESEALED
#define promises(j, i) (!dead[j] && epoch[j] == epoch[i] && isin(j, members(j)))
#else
#define promises(j, i) (!dead[j] && epoch[j] == epoch[i] && isin(j, members(j)) && !sealed[j])
#endif

/* fbview: View.HandlePromise */
#ifdef ANYPROMISE
#define allGiven(i) (given[i] != 0)
#else
#define allGiven(i) (((given[i] | bit(i)) & members(i)) == members(i))
#endif

inline noRound(i) { asking[i] = false; asked[i] = 0; given[i] = 0 }

/* fbview: View.adopt and View.Tenure */
inline adopt(i, e) {
	old = epoch[i];
#ifdef GAP
	chain = owner(view[old]) == i && owner(view[e]) == i;
#else
	chain = e == old + 1 && owner(view[old]) == i && owner(view[e]) == i;
#endif
	epoch[i] = e;
	if
	:: e == 1 || owner(view[e]) != i -> rest[i] = 0
	:: e > 1 && owner(view[e]) == i && !chain -> rest[i] = WAIT
	:: else
	fi;
	lease[i] = 0;
	sealed[i] = false;
	noRound(i);
	tidy()
}

/* tidy drops views that nobody uses, so that equal states look equal. */
inline tidy() {
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
	k = 0; old = 0; chain = false
}

/* fbview: View.HandleRow */
inline read(i) {
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
inline confirm(i) {
#ifdef ARRIVAL
	lease[i] = PERIOD;
#else
	if
	:: PERIOD - asked[i] > lease[i] -> lease[i] = PERIOD - asked[i]
	:: else
	fi;
#endif
	noRound(i)
}

/* The table service takes a commit. Others from the same view now conflict. */
inline apply(m) {
	rowEpoch++;
	view[rowEpoch] = m;
	pending = false;
	tidy()
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

inline die(i) {
	dead[i] = true;
	epoch[i] = 0; lease[i] = 0; rest[i] = 0; sealed[i] = false;
	noRound(i);
#ifdef STALE
	looked[i] = false;
#endif
	tidy()
}

inline tick() {
	k = 0;
	do
	:: k < N ->
		if :: lease[k] > 0 -> lease[k]-- :: else fi;
		if :: rest[k] > 0 -> rest[k]-- :: else fi;
		if :: asking[k] && asked[k] < PERIOD -> asked[k]++ :: else fi;
		if :: asking[k] && asked[k] == PERIOD -> noRound(k) :: else fi;
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
		:: !dead[i] && rowEpoch > 0 -> d_step { read(i) }
		:: canAsk(i) -> d_step { noRound(i); asking[i] = true }
		:: asking[i] ->
			if :: j = 0 :: j = 1 :: j = 2 fi;
			if
			:: j != i && promises(j, i) -> given[i] = given[i] | bit(j)
			:: else
			fi;
			j = 0
		:: asking[i] && canAsk(i) && allGiven(i) -> d_step { confirm(i) }
		:: !dead[i] && epoch[i] == rowEpoch && rowEpoch < MAXEPOCH && allowed(i) -> sealed[i] = true; pending = true
#ifdef STALE
		:: mayStart(i) && !looked[i] -> looked[i] = true
		:: !dead[i] && looked[i] -> d_step { looked[i] = false; startKey(i) }
#else
		:: mayStart(i) -> d_step { startKey(i) }
#endif
		:: !dead[i] -> d_step { die(i) }
		:: else
		fi;
		i = 0 }
	:: atomic { pending ->
		if :: m = 1 :: m = 2 :: m = 3 :: m = 4 :: m = 5 :: m = 6 :: m = 7 fi;
		d_step { apply(m); m = 0 } }
	od
}
