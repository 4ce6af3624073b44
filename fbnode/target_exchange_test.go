package fbnode

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbfleet"
	"github.com/filbertford/filbertford/fblink"
	"github.com/filbertford/filbertford/fbtimer"
)

// targetRows returns n rows of targets with versions from 1.
func targetRows(n int) []filbertford.Row {
	rows := make([]filbertford.Row, n)
	for i := range rows {
		rows[i] = filbertford.NewRow(fmt.Sprintf("t%05d", i), []byte(testDataCentre), uint64(i+1))
	}
	return rows
}

func snapshotOf(version uint64, rows ...filbertford.Row) filbertford.Snapshot {
	changes := make([]filbertford.Change, len(rows))
	for i, r := range rows {
		changes[i] = filbertford.NewChange(r)
	}
	return filbertford.NewSnapshot(version, 0, changes...)
}

// runDaemon runs a daemon whose store can't be reached, and returns a function that ends it.
func runDaemon(t *testing.T, name filbertford.NodeID, seeds ...string) (n *Node, address string, end func()) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address = listener.Addr().String()
	timer := fbtimer.NewService()
	n = New(Options{Member: fbfleet.NewMember(name, 1, address, testDataCentre, 1), Seeds: seeds, DataCentres: []filbertford.DataCentre{testDataCentre}}, Dependencies{
		Timer: timer, Store: testStore{}, TargetClient: &testTarget{}, Decoder: recordDecoder{}, Log: log.New(io.Discard), Metrics: tally.NoopScope,
		DroppedLines: func() uint64 { return 0 },
	})
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return timer.Run(ctx) })
	group.Go(func() error { return n.Run(ctx, listener) })
	end = func() {
		cancel()
		_ = group.Wait() // the error of the context
	}
	t.Cleanup(end)
	return n, address, end
}

// inControl returns what f returns in the daemon's control goroutine.
func inControl[T any](n *Node, f func() T) T {
	result := make(chan T, 1)
	n.events <- func(time.Duration) { result <- f() }
	return <-result
}

// TestDaemonWithoutStoreServesAsOwner guards against a daemon that starts while the store can't be
// reached and knows no target until it can be, although its neighbour knows all. When the
// neighbour ends, the daemon owns the pool and uses all targets.
func TestDaemonWithoutStoreServesAsOwner(t *testing.T) {
	const targets = 9 // three parts, since four rows of this size fill one
	rows := targetRows(targets)
	for i, r := range rows {
		value := fmt.Sprintf("%*s", maxPartBytes/4-64, r.Value())
		rows[i] = filbertford.NewRow(r.Key(), []byte(value), r.Version())
	}
	first, address, end := runDaemon(t, "a")
	inControl(first, func() bool {
		first.readEvacuations(fbtimer.SinceBoot(), true, filbertford.NewSnapshot(1, 0))
		first.targetsChanged(fbtimer.SinceBoot(), true, snapshotOf(targets, rows...))
		return true
	})
	second, _, _ := runDaemon(t, "b", address)
	known := func() int { return inControl(second, func() int { return len(second.targets.records) }) }
	for start := time.Now(); known() != targets; time.Sleep(tickPeriod) {
		if n := known(); n != 0 && n != targets {
			t.Fatalf("the daemon uses %d records of an incomplete table", n)
		}
		if time.Since(start) > 3*time.Second {
			t.Fatalf("%d of %d targets are known 3 s after the start", known(), targets)
		}
	}
	end()
	usable := func() int {
		return inControl(second, func() int {
			total := 0
			if p := second.pools[testDataCentre]; p != nil {
				for _, c := range p.Capacities(fbtimer.SinceBoot()) {
					total += c.Total()
				}
			}
			return total / 4000
		})
	}
	for start := time.Now(); usable() != targets; time.Sleep(tickPeriod) {
		if time.Since(start) > 5*time.Second {
			t.Fatalf("%d of %d targets are usable 5 s after the end of the first daemon", usable(), targets)
		}
	}
}

// exchangeNode is a daemon, driven by the test, that hasn't read the store.
type exchangeNode struct {
	*routesNode
	lines *strings.Builder
}

func newExchangeNode(t *testing.T) *exchangeNode {
	n := &exchangeNode{routesNode: newRoutesNode(t), lines: &strings.Builder{}}
	n.deps.Decoder, n.deps.Log = recordDecoder{}, log.New(n.lines)
	n.Node.targets = newTargetCache(recordDecoder{}, log.New(io.Discard))
	return n
}

// ask makes the daemon request the table of the peer with the number, which states a version.
func (n *exchangeNode) ask(t *testing.T, peer int, version uint64) time.Duration {
	t.Helper()
	e := n.targetExchange
	e.versionNamed(routesPeer(peer).Node(), version)
	now := max(e.startedAt+targetPullDelay, e.nextWalk)
	if node, ok := e.next(now, n.targets.version); !ok || node != routesPeer(peer).Node() {
		t.Fatalf("the table is requested from %q, want peer %d", node, peer)
	}
	return now
}

func (n *exchangeNode) ignored(cause string) int {
	for _, c := range n.scope.Snapshot().Counters() {
		if c.Name() == "targets_ignored" && c.Tags()["cause"] == cause {
			return int(c.Value())
		}
	}
	return 0
}

// TestBadTargetRecordsOfDaemonsAreIgnored checks that rows which no target writes, and messages
// that weren't requested or are too large, are counted, logged once, and have no other effect.
func TestBadTargetRecordsOfDaemonsAreIgnored(t *testing.T) {
	good := filbertford.NewRow("t1", []byte(testDataCentre), 5)
	row := func(key string, value []byte, version uint64) fblink.TargetsPush {
		return fblink.NewTargetsPush(9, "", false, filbertford.NewRow(key, value, version), good)
	}
	tests := map[string]struct {
		push  fblink.TargetsPush
		from  int
		cause string
		known int
	}{
		"good":                  {push: row("t0", []byte(testDataCentre), 9), known: 2},
		"empty key":             {push: row("", []byte(testDataCentre), 1), cause: "odd", known: 1},
		"long key":              {push: row("a"+strings.Repeat("b", maxText), []byte(testDataCentre), 1), cause: "odd", known: 1},
		"large value":           {push: row("t0", make([]byte, maxRowBytes+1), 1), cause: "odd", known: 1},
		"no version":            {push: row("t0", []byte(testDataCentre), 0), cause: "odd", known: 1},
		"version of the future": {push: row("t0", []byte(testDataCentre), 10), cause: "odd", known: 1},
		"keys out of order":     {push: fblink.NewTargetsPush(9, "", false, good, filbertford.NewRow("t0", []byte(testDataCentre), 4)), cause: "odd", known: 1},
		"malformed record":      {push: row("t0", []byte("malformed"), 4), known: 1},
		"not requested":         {push: row("t0", []byte(testDataCentre), 9), from: 2, cause: "unrequested"},
		"another part":          {push: fblink.NewTargetsPush(9, "t0", false, good), cause: "unrequested"},
		"no version of a store": {push: fblink.NewTargetsPush(0, "", false), cause: "unrequested"},
		"too many rows":         {push: fblink.NewTargetsPush(9999, "", false, targetRows(maxPartRows+1)...), cause: "too-many"},
		"part without rows":     {push: fblink.NewTargetsPush(9, "", true), cause: "no-progress"},
		"repeated key":          {push: fblink.NewTargetsPush(9, "", true, filbertford.NewRow("", nil, 3)), cause: "odd"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			n := newExchangeNode(t)
			now := n.ask(t, 1, 9)
			from := routesPeer(max(tt.from, 1))
			n.handleMessage(now, from, tt.push)
			if got := len(n.targets.records); got != tt.known {
				t.Errorf("%d records are known, want %d", got, tt.known)
			}
			if tt.cause == "" {
				return
			}
			n.targetExchange.walk = targetWalk{}
			for range 5 {
				n.handleMessage(now, from, tt.push)
			}
			if n.ignored(tt.cause) == 0 {
				t.Errorf("nothing is counted as ignored for the cause %q", tt.cause)
			}
			if lines := strings.Count(n.lines.String(), "cause="+tt.cause); lines != 1 {
				t.Errorf("%d lines with the cause %q, want 1:\n%s", lines, tt.cause, n.lines)
			}
		})
	}
}

// TestTableOfTooManyTargetsIsLeft checks that a table of more rows than a fleet has targets isn't
// read to its end.
func TestTableOfTooManyTargetsIsLeft(t *testing.T) {
	n := newExchangeNode(t)
	now := n.ask(t, 1, 1<<20)
	rows := targetRows(maxTargetRows + maxPartRows)
	for i := 0; i < len(rows) && n.targetExchange.walk.from != ""; i += maxPartRows {
		n.handleMessage(now, routesPeer(1), fblink.NewTargetsPush(1<<20, n.targetExchange.walk.after, true, rows[i:i+maxPartRows]...))
	}
	if n.targetExchange.walk.from != "" || n.ignored("too-many") != 1 || len(n.targets.records) != 0 {
		t.Errorf("%d rows are kept, %d messages ignored, %d records known; want none, 1 and none",
			len(n.targetExchange.walk.rows), n.ignored("too-many"), len(n.targets.records))
	}
}

// TestStoreReplacesTargetRecordsOfDaemons checks that the first read of the store replaces what
// another daemon has told, whatever the versions of its rows are.
func TestStoreReplacesTargetRecordsOfDaemons(t *testing.T) {
	for name, store := range map[string][]filbertford.Row{
		"a target has moved, another one has left": {filbertford.NewRow("t00000", []byte("hopen"), 2)},
		"empty table": nil,
	} {
		t.Run(name, func(t *testing.T) {
			n := newExchangeNode(t)
			now := n.ask(t, 1, 900)
			rows := []filbertford.Row{filbertford.NewRow("t00000", []byte(testDataCentre), 900), filbertford.NewRow("t00001", []byte(testDataCentre), 900)}
			n.handleMessage(now, routesPeer(1), fblink.NewTargetsPush(900, "", false, rows...))
			if got := len(n.targets.inPool(testDataCentre)); got != 2 {
				t.Fatalf("%d targets of the other daemon are known, want 2", got)
			}
			n.targetsChanged(now, true, snapshotOf(3, store...))
			n.targets.prune(now + removalDelay)
			if got := len(n.targets.inPool(testDataCentre)); got != 0 {
				t.Errorf("%d targets are in the pool after the first read, want 0", got)
			}
			if got := len(n.targets.inPool("hopen")); got != len(store) {
				t.Errorf("%d targets are in the other pool, want %d", got, len(store))
			}
			n.handleMessage(now, routesPeer(1), fblink.NewTargetsPush(901, "", false, rows...))
			if got := len(n.targets.inPool(testDataCentre)); got != 0 || n.targets.version != 3 {
				t.Errorf("%d targets and version %d after a late message, want none and 3", got, n.targets.version)
			}
		})
	}
}

// TestOlderTargetRecordsOfDaemonsAreIgnored checks that a daemon keeps the newer of two records, and
// removes a target that a newer table lacks.
func TestOlderTargetRecordsOfDaemonsAreIgnored(t *testing.T) {
	n := newExchangeNode(t)
	now := n.ask(t, 1, 9)
	row := func(key, dataCentre string, version uint64) filbertford.Row {
		return filbertford.NewRow(key, []byte(dataCentre), version)
	}
	n.handleMessage(now, routesPeer(1), fblink.NewTargetsPush(9, "", false, row("t0", "new", 9), row("t1", "new", 8)))
	now = n.ask(t, 2, 12)
	n.handleMessage(now, routesPeer(2), fblink.NewTargetsPush(12, "", false, row("t0", "old", 7), row("t2", "new", 12)))
	n.targets.prune(now + removalDelay)
	var got []string
	for _, rec := range n.targets.inPool("new") {
		got = append(got, string(rec.Instance().ID()))
	}
	if strings.Join(got, " ") != "t0 t2" || n.ignored("older") != 1 {
		t.Errorf("targets %v are known and %d rows ignored, want t0, t2 and 1", got, n.ignored("older"))
	}
}

// TestTargetsAreRequestedFromAnotherDaemon checks that a table whose parts stop arriving is
// requested elsewhere, from the daemon with the newest version first, and that the parts of two
// daemons aren't joined.
func TestTargetsAreRequestedFromAnotherDaemon(t *testing.T) {
	n := newExchangeNode(t)
	e := n.targetExchange
	e.versionNamed(routesPeer(2).Node(), 7)
	e.versionNamed(routesPeer(3).Node(), 8)
	now := n.ask(t, 1, 9)
	n.handleMessage(now, routesPeer(1), fblink.NewTargetsPush(9, "", true, targetRows(2)...))
	if _, ok := e.next(now+targetPullTimeout-1, 0); ok {
		t.Error("another daemon is asked before the timeout")
	}
	now += targetPullTimeout
	if node, _ := e.next(now, 0); node != routesPeer(3).Node() {
		t.Errorf("%q is asked next, want peer 3", node)
	}
	e.unreachable(routesPeer(3).Node())
	if node, _ := e.next(now, 0); node != routesPeer(2).Node() {
		t.Errorf("%q is asked when peer 3 is lost, want peer 2", node)
	}
	n.handleMessage(now, routesPeer(2), fblink.NewTargetsPush(7, "", false, targetRows(1)...))
	if got := len(n.targets.records); got != 1 {
		t.Errorf("%d records are known, want 1", got)
	}
}

// TestTableIsSentInPartsOfLimitedRows checks that parts follow each other without a gap.
func TestTableIsSentInPartsOfLimitedRows(t *testing.T) {
	n := newExchangeNode(t)
	rows := targetRows(2*maxPartRows + 1)
	n.targets.rows.apply(true, snapshotOf(uint64(len(rows)), rows...))
	sent, after := 0, ""
	for _, want := range []int{maxPartRows, maxPartRows, 1} {
		part, more, _ := n.targets.part(after)
		if len(part) != want || part[0].Key() != rows[sent].Key() {
			t.Fatalf("after %q: %d rows from %q, want %d from %q", after, len(part), part[0].Key(), want, rows[sent].Key())
		}
		sent, after = sent+len(part), part[len(part)-1].Key()
		if more != (sent < len(rows)) {
			t.Errorf("after %q: more is %v", after, more)
		}
	}
}

// TestTargetsAreSentAtALimitedRate checks that many requests at once are answered over several
// ticks, each with a message of limited size, and that a repeated request replaces the last one.
func TestTargetsAreSentAtALimitedRate(t *testing.T) {
	n := newExchangeNode(t)
	var rows []filbertford.Row
	for _, r := range targetRows(400) {
		rows = append(rows, filbertford.NewRow(r.Key(), make([]byte, 1000), r.Version()))
	}
	n.targets.rows.apply(true, snapshotOf(400, rows...))
	n.targets.version = 400
	for i := range 20 {
		for range 3 {
			n.handleMessage(0, routesPeer(i), fblink.NewTargetsPull(""))
		}
	}
	part, more, size := n.targets.part("")
	if !more || size > maxPartBytes || len(n.targetExchange.requests) != 20 {
		t.Fatalf("a part has %d bytes, more %v, for %d requests; want at most %d, more, and 20", size, more, len(n.targetExchange.requests), maxPartBytes)
	}
	n.sendTargets()
	perTick := (maxPushBytes + size - 1) / size
	if sent := n.counter("targets_rows_sent"); sent != perTick*len(part) || len(n.targetExchange.requests) != 20-perTick {
		t.Errorf("%d rows are sent in a tick and %d requests wait, want %d and %d", sent, len(n.targetExchange.requests), perTick*len(part), 20-perTick)
	}
}

// TestTargetAddedBetweenPartsIsReadAgain: the sender's table changes between two parts.
func TestTargetAddedBetweenPartsIsReadAgain(t *testing.T) {
	n := newExchangeNode(t)
	now := n.ask(t, 1, 5)
	from := routesPeer(1)
	row := func(key string, v uint64) filbertford.Row { return filbertford.NewRow(key, []byte(testDataCentre), v) }
	n.handleMessage(now, from, fblink.NewTargetsPush(5, "", true, row("t1", 4)))
	// Target t0 is added at version 6.
	n.handleMessage(now, from, fblink.NewTargetsPush(6, "t1", false, row("t2", 5)))
	n.targetExchange.versionNamed(from.Node(), 6)
	if _, ok := n.targetExchange.next(n.targetExchange.nextWalk, n.targets.version); !ok {
		t.Errorf("%d of 3 targets are known as of version %d, and the sender, which has version 6, isn't asked again", len(n.targets.records), n.targets.version)
	}
}
