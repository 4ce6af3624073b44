/*
 * Acceptance and distribution of settings (package fbsettings).
 *
 * OPERATORS commit concurrently, each one edit under one request, which is retried
 * while its outcome is unknown. The head row is changed by compare-and-set. The tree
 * of a version is the set of edits accepted up to it. DAEMONS poll the head, and push
 * whole trees or deltas to each other.
 *
 * No step is forced to happen and a message stays until it is replaced, so any
 * message may be delayed, lost, duplicated or reordered.
 *
 * The distribution depends on the acceptance only by the accepted versions, so the
 * two are checked separately: -DACCEPTANCE omits the daemons, and -DSPREAD accepts
 * the edits in order without operators.
 *
 * The script check inserts faults by -D flags.
 */

#ifndef OPERATORS
#define OPERATORS 3
#endif
#define DAEMONS 3

#define bit(i)     (1 << (i))
#define isin(i, m) (((m) >> (i)) & 1)

/* The outcome that an operator knows. */
#define OPEN     0
#define ACCEPTED 1
#define REFUSED  2    /* conflict: the edit is not and will not be in force */

byte head;                   /* the newest version */
byte tree[OPERATORS + 2];    /* edits in force in each version, from 0 */

byte outcome[OPERATORS];
byte base[OPERATORS];        /* the version that the operator edited */
bool started[OPERATORS];
byte readHead[OPERATORS];    /* the head that the attempt read */
bool hasRead[OPERATORS];     /* the attempt has read the head */
/* Commits in flight by the version that they check, one bit for each operator. One
 * bit is enough, since attempts from the same version are the same write. */
byte inFlight[OPERATORS + 1];
byte lastChecked[OPERATORS];    /* 1 + the last version that a commit checked */

byte replicaVersion[DAEMONS];
byte replicaEdits[DAEMONS];    /* the edits in force at a daemon */
byte polledHead[DAEMONS];      /* the head that a poll returned */
/* A push in flight to a daemon: the version, its edits, and the base of a delta,
 * or WHOLE for a whole tree. */
#define WHOLE 9
byte pushedVersion[DAEMONS], pushedEdits[DAEMONS], pushedBase[DAEMONS];

byte o, m, n, v;

/* fbsettings: Store.tryCommit finds the request in the history. */
#ifdef NOREQUEST
#define alreadyAccepted(o) false
#else
#define alreadyAccepted(o) (isin(o, tree[head]) && !isin(o, tree[base[o]]))
#endif

/* The table service handles a commit of operator o that checks version v. */
inline apply(o, v) {
	inFlight[v] = inFlight[v] & ~bit(o);
	if
#ifdef NOCAS
	:: head <= OPERATORS ->
#else
	:: head == v && head <= OPERATORS ->
#endif
		assert(!isin(o, tree[head])); /* accepted at most once */
		assert(outcome[o] != REFUSED); /* a reported refusal is final */
		tree[v + 1] = tree[v] | bit(o);
#ifdef NOCAS
		assert(head <= v); /* an accepted version never changes */
#endif
		head = v + 1;
		if
		:: outcome[o] = ACCEPTED; hasRead[o] = false
		:: skip /* the reply is lost */
		fi
	:: else
	fi
}

/* fbsettings: Replica.apply */
inline adopt(m, v, edits) {
	assert(v > replicaVersion[m]); /* versions never go back */
	replicaVersion[m] = v;
	replicaEdits[m] = edits;
	assert(v <= head && replicaEdits[m] == tree[v]) /* only accepted edits */
}

active proctype world() {
end:	do
#ifdef SPREAD
	:: d_step { head < OPERATORS -> tree[head + 1] = tree[head] | bit(head); head++ }
#else
	/* An operator reads a version and edits it. */
	:: atomic {
		if :: o = 0 :: o = 1 :: o = OPERATORS - 1 fi;
		if
		:: !started[o] -> started[o] = true; base[o] = head
		/* Store.tryCommit reads the head and the entries since the base. */
		:: started[o] && outcome[o] == OPEN && !hasRead[o] ->
			if
			:: alreadyAccepted(o) -> outcome[o] = ACCEPTED
			:: !alreadyAccepted(o) -> readHead[o] = head; hasRead[o] = true
			fi
		/* rebase fails: another operator has changed the same setting. The
		 * result for a version is always the same. */
		:: hasRead[o] && outcome[o] == OPEN && readHead[o] > base[o] && !isin(o, tree[readHead[o]]) && lastChecked[o] != readHead[o] + 1 ->
			outcome[o] = REFUSED; hasRead[o] = false
#ifdef REFUSEDEARLY
		:: hasRead[o] && outcome[o] == OPEN && isin(o, inFlight[readHead[o]]) ->
			outcome[o] = REFUSED; hasRead[o] = false
#endif
		/* Store.write */
		:: hasRead[o] && outcome[o] == OPEN && readHead[o] <= OPERATORS - 1 ->
			inFlight[readHead[o]] = inFlight[readHead[o]] | bit(o);
			lastChecked[o] = readHead[o] + 1
		/* A conflict, or no reply: Store.Commit retries. */
		:: hasRead[o] && outcome[o] == OPEN -> hasRead[o] = false
		:: else
		fi;
		o = 0 }
	:: atomic {
		if :: o = 0 :: o = 1 :: o = OPERATORS - 1 fi;
		if :: v = 0 :: v = 1 :: v = OPERATORS - 1 fi;
		if
		:: isin(o, inFlight[v]) -> apply(o, v)
		:: else
		fi;
		o = 0; v = 0 }
	/* An edit that was reported as accepted stays in force. */
	:: d_step { outcome[0] == ACCEPTED -> assert(isin(0, tree[head])) }
	:: d_step { outcome[1] == ACCEPTED -> assert(isin(1, tree[head])) }
#endif

#ifndef ACCEPTANCE
	:: atomic {
		if :: m = 0 :: m = 1 :: m = 2 fi;
		if
		/* Replica.HandleHead, delayed or not, and Replica.HandleTree. */
		:: polledHead[m] < head -> polledHead[m] = head
#ifdef OLDERTAKEN
		:: polledHead[m] > 0 && polledHead[m] != replicaVersion[m] -> adopt(m, polledHead[m], tree[polledHead[m]])
#else
		:: polledHead[m] > replicaVersion[m] -> adopt(m, polledHead[m], tree[polledHead[m]])
#endif
		/* Replica.push: the whole tree, or a delta from the version that the
		 * peer has, or is assumed to have. */
		:: replicaVersion[m] > 0 ->
			if :: n = 0 :: n = 1 :: n = 2 fi;
			if
			:: n != m -> pushedVersion[n] = replicaVersion[m]; pushedEdits[n] = replicaEdits[m]; pushedBase[n] = WHOLE
			:: n != m ->
				if :: v = 1 :: v = 2 fi;
				if
				:: v < replicaVersion[m] -> pushedVersion[n] = replicaVersion[m]; pushedEdits[n] = replicaEdits[m] & ~tree[v]; pushedBase[n] = v
				:: else
				fi
			:: n == m
			fi;
			n = 0; v = 0
		/* Replica.applyUpdate */
#ifdef OLDERTAKEN
		:: pushedVersion[m] > 0 && pushedVersion[m] != replicaVersion[m] && pushedBase[m] == WHOLE -> adopt(m, pushedVersion[m], pushedEdits[m])
#else
		:: pushedVersion[m] > replicaVersion[m] && pushedBase[m] == WHOLE -> adopt(m, pushedVersion[m], pushedEdits[m])
#endif
#ifdef WRONGBASE
		:: pushedVersion[m] > replicaVersion[m] && pushedBase[m] != WHOLE -> adopt(m, pushedVersion[m], replicaEdits[m] | pushedEdits[m])
#else
		:: pushedVersion[m] > replicaVersion[m] && pushedBase[m] == replicaVersion[m] -> adopt(m, pushedVersion[m], replicaEdits[m] | pushedEdits[m])
#endif
		:: else
		fi;
		m = 0 }
#endif
	od
}
