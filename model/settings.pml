/*
 * Acceptance and spread of settings (package fbsettings).
 *
 * OPERATORS race each other, each with one edit under one request, which is
 * attempted again while its outcome is unknown. The head row is changed by
 * compare-and-set. The tree of a version is the set of edits accepted up to it.
 * DAEMONS poll the head, and push to each other whole trees or deltas.
 *
 * Any message may be late, lost, doubled or overtaken by others, since no step
 * has to happen and a message stays until it is replaced.
 *
 * The spread reads of the acceptance only the accepted versions, so the two are
 * checked apart: -DACCEPTANCE leaves the daemons out, and -DSPREAD accepts the
 * edits in order without operators.
 *
 * Faults are put in by -D flags, see the script check.
 */

#ifndef OPERATORS
#define OPERATORS 3
#endif
#define DAEMONS   3

#define bit(i)     (1 << (i))
#define isin(i, m) (((m) >> (i)) & 1)

/* What an operator has been told. */
#define OPEN     0
#define ACCEPTED 1
#define REFUSED  2     /* conflict: nothing of the edit is or will be in force */

byte head;                     /* the newest version */
byte tree[OPERATORS + 2];      /* edits in force in each version, from 0 */

byte told[OPERATORS];
byte base[OPERATORS];          /* the version that the operator looked at */
bool began[OPERATORS];
byte seen[OPERATORS];          /* head as the attempt read it */
bool reading[OPERATORS];       /* the attempt has read the head */
/* Commits in flight, by the version that they check: one bit for each operator.
 * Attempts from one version are the same write, so one bit is enough. */
byte flying[OPERATORS + 1];
byte tried[OPERATORS];         /* 1 + the last version that a commit checked */

byte version[DAEMONS];
byte inForce[DAEMONS];         /* the edits in force at a daemon */
byte newest[DAEMONS];          /* head as a poll returned it */
/* A push on its way to a daemon: the version, its edits, and the base of a
 * delta, or WHOLE. */
#define WHOLE 9
byte pushed[DAEMONS], body[DAEMONS], from[DAEMONS];

byte o, m, n, v;

/* fbsettings: Store.tryCommit finds the request in the history. */
#ifdef NOREQUEST
#define recognised(o) false
#else
#define recognised(o) (isin(o, tree[head]) && !isin(o, tree[base[o]]))
#endif

/* The table service takes a commit of operator o that checks version v. */
inline apply(o, v) {
	flying[v] = flying[v] & ~bit(o);
	if
#ifdef NOCAS
	:: head <= OPERATORS ->
#else
	:: head == v && head <= OPERATORS ->
#endif
		assert(!isin(o, tree[head]));          /* accepted at most once */
		assert(told[o] != REFUSED);            /* a refusal is true */
		tree[v + 1] = tree[v] | bit(o);
#ifdef NOCAS
		assert(head <= v);                     /* an accepted version never changes */
#endif
		head = v + 1;
		if
		:: told[o] = ACCEPTED; reading[o] = false
		:: skip                                /* the reply is lost */
		fi
	:: else
	fi
}

/* fbsettings: Replica.apply */
inline adopt(m, v, edits) {
	assert(v > version[m]);                        /* never reverts */
	version[m] = v;
	inForce[m] = edits;
	assert(v <= head && inForce[m] == tree[v])     /* only what was accepted */
}

active proctype world() {
end:	do
#ifdef SPREAD
	:: d_step { head < OPERATORS -> tree[head + 1] = tree[head] | bit(head); head++ }
#else
	/* An operator looks at a version and makes an edit. */
	:: atomic {
		if :: o = 0 :: o = 1 :: o = OPERATORS - 1 fi;
		if
		:: !began[o] -> began[o] = true; base[o] = head
		/* Store.tryCommit reads the head and the entries since the base. */
		:: began[o] && told[o] == OPEN && !reading[o] ->
			if
			:: recognised(o) -> told[o] = ACCEPTED
			:: !recognised(o) -> seen[o] = head; reading[o] = true
			fi
		/* rebase: another operator has changed the same setting. The same
		 * version always gives the same result. */
		:: reading[o] && told[o] == OPEN && seen[o] > base[o] && !isin(o, tree[seen[o]]) && tried[o] != seen[o] + 1 ->
			told[o] = REFUSED; reading[o] = false
#ifdef REFUSEDEARLY
		:: reading[o] && told[o] == OPEN && isin(o, flying[seen[o]]) ->
			told[o] = REFUSED; reading[o] = false
#endif
		/* Store.write */
		:: reading[o] && told[o] == OPEN && seen[o] <= OPERATORS - 1 ->
			flying[seen[o]] = flying[seen[o]] | bit(o);
			tried[o] = seen[o] + 1
		/* A conflict, or no reply: Store.Commit tries again. */
		:: reading[o] && told[o] == OPEN -> reading[o] = false
		:: else
		fi;
		o = 0 }
	:: atomic {
		if :: o = 0 :: o = 1 :: o = OPERATORS - 1 fi;
		if :: v = 0 :: v = 1 :: v = OPERATORS - 1 fi;
		if
		:: isin(o, flying[v]) -> apply(o, v)
		:: else
		fi;
		o = 0; v = 0 }
	/* What was accepted stays accepted, and is told truly. */
	:: d_step { told[0] == ACCEPTED -> assert(isin(0, tree[head])) }
	:: d_step { told[1] == ACCEPTED -> assert(isin(1, tree[head])) }
#endif

#ifndef ACCEPTANCE
	:: atomic {
		if :: m = 0 :: m = 1 :: m = 2 fi;
		if
		/* Replica.HandleHead, late or not, and Replica.HandleTree. */
		:: newest[m] < head -> newest[m] = head
#ifdef OLDERTAKEN
		:: newest[m] > 0 && newest[m] != version[m] -> adopt(m, newest[m], tree[newest[m]])
#else
		:: newest[m] > version[m] -> adopt(m, newest[m], tree[newest[m]])
#endif
		/* Replica.push: the whole tree, or a delta for what the peer has, or
		 * is believed to have. */
		:: version[m] > 0 ->
			if :: n = 0 :: n = 1 :: n = 2 fi;
			if
			:: n != m -> pushed[n] = version[m]; body[n] = inForce[m]; from[n] = WHOLE
			:: n != m ->
				if :: v = 1 :: v = 2 fi;
				if
				:: v < version[m] -> pushed[n] = version[m]; body[n] = inForce[m] & ~tree[v]; from[n] = v
				:: else
				fi
			:: n == m
			fi;
			n = 0; v = 0
		/* Replica.applyUpdate */
#ifdef OLDERTAKEN
		:: pushed[m] > 0 && pushed[m] != version[m] && from[m] == WHOLE -> adopt(m, pushed[m], body[m])
#else
		:: pushed[m] > version[m] && from[m] == WHOLE -> adopt(m, pushed[m], body[m])
#endif
#ifdef WRONGBASE
		:: pushed[m] > version[m] && from[m] != WHOLE -> adopt(m, pushed[m], inForce[m] | body[m])
#else
		:: pushed[m] > version[m] && from[m] == version[m] -> adopt(m, pushed[m], inForce[m] | body[m])
#endif
		:: else
		fi;
		m = 0 }
#endif
	od
}
