package fbnode

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbevent"
	"github.com/filbertford/filbertford/fblink"
)

// Periods and limits of the target records that daemons send each other.
const (
	// targetPullDelay is how long a daemon that starts leaves the records to the store. It
	// claims a pool later.
	targetPullDelay = 100 * time.Millisecond
	// targetPullTimeout is the time after which another daemon is asked instead.
	targetPullTimeout = 400 * time.Millisecond
	// minTargetPullPeriod is the shortest time between two reads of the table at other
	// daemons. A long table is read less often: one row a millisecond.
	minTargetPullPeriod = 2 * time.Second
	targetPullPerRow    = time.Millisecond
	// maxPartBytes and maxPartRows bound a message, and maxPushBytes what is sent to all
	// daemons in a tick, which sends at least one message.
	maxPartBytes = 64 << 10
	maxPartRows  = 512
	maxPushBytes = 256 << 10
	// maxRowBytes is the size of the largest row, and maxTargetRows the number of rows, that
	// are taken from another daemon.
	maxRowBytes   = 16 << 10
	maxTargetRows = 16384
)

// targetExchange reads the targets' table at other daemons until the store has been read
// once, and sends it to others. A table counts once all its parts have arrived: an owner that
// knew some of the targets only would miss runs on the others.
type targetExchange struct {
	startedAt time.Duration
	sources   map[filbertford.NodeID]targetSource
	walk      targetWalk
	nextWalk  time.Duration
	requests  []targetRequest // of other daemons, in the order of their arrival

	logged  map[string]bool // causes that have been logged, with the daemons
	scope   tally.Scope
	pulls   tally.Counter
	sent    tally.Counter
	applied tally.Counter
}

// targetSource is a daemon that knows the records as of a version of the store.
type targetSource struct {
	version uint64
	asked   bool // since a table has been read
}

// targetWalk is a read of the table at another daemon, which is empty if none is under way.
type targetWalk struct {
	from      filbertford.NodeID
	after     string // the key that was requested last
	askedAt   time.Duration
	startedAt time.Duration
	version   uint64 // the lowest of the parts: a part shows no rows that were added before its first key later
	rows      []filbertford.Change
}

// targetRequest is a request for the rows after a key.
type targetRequest struct {
	node  filbertford.NodeID
	after string
}

func newTargetExchange(now time.Duration, scope tally.Scope) *targetExchange {
	return &targetExchange{
		startedAt: now, sources: make(map[filbertford.NodeID]targetSource), logged: make(map[string]bool), scope: scope,
		pulls:   scope.Counter("targets_pulls"),
		sent:    scope.Counter("targets_rows_sent"),
		applied: scope.Counter("targets_rows_received"),
	}
}

// versionNamed handles the version of the records that another daemon states, 0 for none.
func (e *targetExchange) versionNamed(node filbertford.NodeID, version uint64) {
	if version == 0 {
		e.unreachable(node)
		return
	}
	e.sources[node] = targetSource{version: version, asked: e.sources[node].asked}
}

// unreachable handles that another daemon can't be asked any more.
func (e *targetExchange) unreachable(node filbertford.NodeID) {
	delete(e.sources, node)
	if e.walk.from == node {
		e.walk = targetWalk{}
	}
}

// next returns the daemon to ask for the whole table now, if any, given the version that this
// daemon has: of those that it has not asked, the one with the newest version.
func (e *targetExchange) next(now time.Duration, have uint64) (filbertford.NodeID, bool) {
	if e.walk.from != "" && now-e.walk.askedAt < targetPullTimeout {
		return "", false
	}
	e.walk = targetWalk{}
	if now-e.startedAt < targetPullDelay || now < e.nextWalk {
		return "", false
	}
	newer := slices.DeleteFunc(slices.Sorted(maps.Keys(e.sources)), func(n filbertford.NodeID) bool { return e.sources[n].version <= have })
	if len(newer) == 0 {
		return "", false
	}
	node := slices.MinFunc(newer, func(a, b filbertford.NodeID) int {
		switch {
		case e.sources[a].asked == e.sources[b].asked:
		case e.sources[a].asked:
			return 1
		default:
			return -1
		}
		return cmp.Compare(e.sources[b].version, e.sources[a].version)
	})
	if e.sources[node].asked { // all have been
		e.askAgain()
	}
	e.sources[node] = targetSource{version: e.sources[node].version, asked: true}
	e.walk = targetWalk{from: node, askedAt: now, startedAt: now}
	return node, true
}

func (e *targetExchange) askAgain() {
	for node, s := range e.sources {
		e.sources[node] = targetSource{version: s.version}
	}
}

// receive adds a part to the walk, and reports whether the table is complete. Rows that no
// target writes are left out; the walk ends if the part isn't one that was requested.
func (e *targetExchange) receive(from filbertford.NodeID, p fblink.TargetsPush, ignore func(cause string)) bool {
	w := &e.walk
	if from != w.from || p.After() != w.after || p.Version() == 0 {
		ignore("unrequested")
		return false
	}
	if len(p.Rows()) > maxPartRows || len(w.rows)+len(p.Rows()) > maxTargetRows {
		ignore("too-many")
		e.walk = targetWalk{}
		return false
	}
	if w.version == 0 || p.Version() < w.version {
		w.version = p.Version()
	}
	for _, r := range p.Rows() {
		if r.Key() <= w.after || len(r.Key()) > maxText || len(r.Value()) > maxRowBytes || r.Version() == 0 || r.Version() > p.Version() {
			ignore("odd")
			continue
		}
		w.after = r.Key()
		w.rows = append(w.rows, filbertford.NewChange(r))
	}
	if p.More() && w.after == p.After() {
		ignore("no-progress")
		e.walk = targetWalk{}
		return false
	}
	return !p.More()
}

// request adds a request of another daemon, in place of its last one.
func (e *targetExchange) request(node filbertford.NodeID, after string) {
	e.requests = slices.DeleteFunc(e.requests, func(r targetRequest) bool { return r.node == node })
	e.requests = append(e.requests, targetRequest{node: node, after: after})
}

// tickTargets asks another daemon for the target records if the store has never been read, and
// sends the parts that others have requested.
func (n *Node) tickTargets(now time.Duration) {
	n.sendTargets()
	e := n.targetExchange
	if n.targets.readAt != 0 {
		e.walk = targetWalk{}
		return
	}
	if node, ok := e.next(now, n.targets.version); ok {
		e.pulls.Inc(1)
		n.hub.Send(node, fblink.NewTargetsPull(""))
	}
}

func (n *Node) sendTargets() {
	e := n.targetExchange
	for sent := 0; len(e.requests) > 0 && sent < maxPushBytes; {
		r := e.requests[0]
		e.requests = e.requests[1:]
		if n.targets.version == 0 {
			continue
		}
		rows, more, size := n.targets.part(r.after)
		sent += size
		e.sent.Inc(int64(len(rows)))
		version := n.targets.version
		for _, row := range rows {
			version = max(version, row.Version()) // a read of old rows doesn't replace newer ones
		}
		n.hub.Send(r.node, fblink.NewTargetsPush(version, r.after, more, rows...))
	}
}

// receiveTargets handles a part of the targets' table of another daemon.
func (n *Node) receiveTargets(now time.Duration, from filbertford.NodeID, p fblink.TargetsPush) {
	e := n.targetExchange
	if n.targets.readAt != 0 {
		return // the store has been read meanwhile
	}
	ignore := func(cause string) { n.ignoreTargets(from, cause) }
	if !e.receive(from, p, ignore) {
		if e.walk.from == from && e.walk.after != p.After() {
			e.walk.askedAt = now
			n.hub.Send(from, fblink.NewTargetsPull(e.walk.after))
		}
		return
	}
	w := e.walk
	e.walk = targetWalk{}
	e.nextWalk = now + max(minTargetPullPeriod, time.Duration(len(w.rows))*targetPullPerRow)
	e.askAgain()
	for _, c := range w.rows {
		if own, ok := n.targets.rows.byKey[c.Row().Key()]; ok && c.Row().Version() < own.Version() {
			ignore("older")
		}
	}
	e.applied.Inc(int64(len(w.rows)))
	known := n.targets.version != 0
	changed := n.targets.applyFromDaemon(now, filbertford.NewSnapshot(w.version, 0, w.rows...))
	n.setTargetsKnown(now)
	if changed {
		n.updatePoolTargets(now)
	}
	if !known {
		fbevent.TargetsReceived.Log(n.deps.Log, "from", from, "version", w.version, "targets", len(n.targets.records), "took_ms", (now - w.startedAt).Milliseconds())
	}
}

// ignoreTargets counts what is ignored, and logs it once for each daemon and cause.
func (n *Node) ignoreTargets(from filbertford.NodeID, cause string) {
	e := n.targetExchange
	e.scope.Tagged(map[string]string{"cause": cause}).Counter("targets_ignored").Inc(1)
	if key := cause + " " + string(from); !e.logged[key] && len(e.logged) < maxTargetRows {
		e.logged[key] = true
		fbevent.TargetsIgnored.Log(n.deps.Log, "from", from, "cause", cause)
	}
}

// applyFromDaemon applies the whole table as another daemon knows it. It reports whether any
// row has changed.
func (t *targetCache) applyFromDaemon(now time.Duration, s filbertford.Snapshot) bool {
	t.fromDaemon, t.version = true, max(t.version, s.Version())
	return t.apply(now, true, s)
}

// distrustDaemons makes the rows of other daemons the oldest before the store is read for the
// first time, so that what the store says replaces them whatever their versions are.
func (t *targetCache) distrustDaemons() {
	if !t.fromDaemon {
		return
	}
	t.fromDaemon = false
	clear(t.decodedVersions)
	for key, row := range t.rows.byKey {
		t.rows.byKey[key] = filbertford.NewRow(key, row.Value(), 0)
	}
}

// part returns rows whose keys sort after the given one, whether further ones follow, and their
// size in bytes.
func (t *targetCache) part(after string) (rows []filbertford.Row, more bool, size int) {
	if t.sortedKeys == nil {
		t.sortedKeys = slices.Sorted(maps.Keys(t.rows.byKey))
	}
	first, found := slices.BinarySearch(t.sortedKeys, after)
	if found {
		first++
	}
	for _, key := range t.sortedKeys[first:] {
		row := t.rows.byKey[key]
		bytes := len(key) + len(row.Value())
		if bytes > maxRowBytes {
			continue // others would ignore it
		}
		if len(rows) == maxPartRows || len(rows) > 0 && size+bytes > maxPartBytes {
			return rows, true, size
		}
		rows, size = append(rows, row), size+bytes
	}
	return rows, false, size
}
