package fbnode

import (
	"bytes"
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbfleet"
	"github.com/filbertford/filbertford/fbtimer"
	"github.com/filbertford/filbertford/platform"
)

// rowStore is a store with the rows of one table, whose changes may be compacted.
type rowStore struct {
	testStore
	mu        sync.Mutex
	version   uint64
	compacted uint64
	rows      map[string]filbertford.Row
	reads     int
}

func (s *rowStore) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[key] = filbertford.NewRow(key, []byte(value), s.version)
}

func (s *rowStore) snapshot(after uint64) filbertford.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	var changes []filbertford.Change
	for _, row := range s.rows {
		if row.Version() > after {
			changes = append(changes, filbertford.NewChange(row))
		}
	}
	return filbertford.NewSnapshot(s.version, 0, changes...)
}

// List implements filbertford.Store.
func (s *rowStore) List(_ context.Context, table filbertford.TableName, _ string) (filbertford.Snapshot, error) {
	if table != filbertford.TableTargets {
		return filbertford.Snapshot{}, filbertford.ErrUnavailable
	}
	return s.snapshot(0), nil
}

// Watch implements filbertford.Store.
func (s *rowStore) Watch(ctx context.Context, table filbertford.TableName, after uint64, _ time.Duration) (filbertford.Snapshot, error) {
	select {
	case <-ctx.Done():
		return filbertford.Snapshot{}, ctx.Err()
	case <-time.After(5 * time.Millisecond):
	}
	if table != filbertford.TableTargets {
		return filbertford.Snapshot{}, filbertford.ErrUnavailable
	}
	s.mu.Lock()
	compacted := after < s.compacted
	s.mu.Unlock()
	if compacted {
		return filbertford.Snapshot{}, filbertford.ErrCompacted
	}
	return s.snapshot(after), nil
}

func (s *rowStore) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.compacted = s.version
}

// testTargets are the targets t00 and t01. Any other target is unreachable.
type testTargets map[filbertford.TargetID]*testTarget

func (t testTargets) starts() int {
	n := 0
	for _, target := range t {
		starts, _ := target.counts()
		n += starts
	}
	return n
}

func (t testTargets) Start(ctx context.Context, r filbertford.StartRunRequest) filbertford.CallReply {
	if target := t[r.Instance().ID()]; target != nil {
		return target.Start(ctx, r)
	}
	return filbertford.NewCallReply(filbertford.CallUnknown, 0)
}

func (t testTargets) Stop(ctx context.Context, r filbertford.StopRunRequest) filbertford.CallReply {
	if target := t[r.Instance().ID()]; target != nil {
		return target.Stop(ctx, r)
	}
	return filbertford.NewCallReply(filbertford.CallUnknown, 0)
}

func (t testTargets) Poll(ctx context.Context, r filbertford.PollRequest) filbertford.CallReply {
	if target := t[r.Instance().ID()]; target != nil {
		return target.Poll(ctx, r)
	}
	return filbertford.NewCallReply(filbertford.CallUnknown, 0)
}

// oddTargetRow returns the value of a target's row in which a field has an odd value.
func oddTargetRow(field, value string) string {
	row := `{"service":"ordering","addr":"10.0.0.1:80","zone":"` + string(testDataCentre) + `","state":"ready","capacity":{"cpu":4000,"memMb":1000,"gpu":0},"labels":["a","r1"],"born":1,"seq":3}`
	if field == "" {
		return row
	}
	return strings.Replace(row, `"`+field+`":`, `"`+field+`":`+value+`,"other":`, 1)
}

// oddTargetRows returns the rows of another writer by their keys.
func oddTargetRows() map[string]string {
	values := []string{
		strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000), strings.Repeat(`{"a":`, 20_000), "99999999999999999999", "9223372036854775807", "1e400",
		"-1", `"10.0.0.1:70000"`, `"\ud800"`, `"` + strings.Repeat("x", 60_000) + `"`, `""`, "{}",
	}
	rows := map[string]string{"odd-empty": "", "odd-bytes": "\x00\xff", "odd-null": "null", "odd-list": "[]"}
	for _, field := range []string{"service", "addr", "zone", "state", "capacity", "labels", "born", "seq"} {
		for i, value := range values {
			if field == "service" && value == `"10.0.0.1:70000"` || field == "zone" && value == `"10.0.0.1:70000"` || field == "seq" && value == "9223372036854775807" {
				continue // allowed there
			}
			rows[fmt.Sprintf("odd-%s-%d", field, i)] = oddTargetRow(field, value)
		}
	}
	return rows
}

// TestOddRecordsDoNotStopDaemon guards against a daemon that ends, no longer follows the targets or
// doesn't settle as the owner of a pool, since another writer has left odd records among them.
func TestOddRecordsDoNotStopDaemon(t *testing.T) {
	var output lockedBuffer
	targets := testTargets{
		"t00": {running: make(map[filbertford.TaskKey]uint64)}, "t01": {running: make(map[filbertford.TaskKey]uint64)},
	}
	store := &rowStore{rows: make(map[string]filbertford.Row)}
	odd := oddTargetRows()
	for key, value := range odd {
		store.put(key, value)
	}
	store.put("t00", oddTargetRow("", ""))
	ctx, cancel := context.WithCancel(t.Context())
	node := New(Options{Member: fbfleet.NewMember("a", 1, "127.0.0.1:2", testDataCentre, 1)}, Dependencies{
		Store: store, TargetClient: targets, Decoder: platform.Decoder{}, Log: log.New(&output), Metrics: tally.NoopScope,
		DroppedLines: func() uint64 { return 0 },
	})
	node.ctx, node.calls = ctx, newWorkers(ctx)
	t.Cleanup(func() {
		cancel()
		_ = node.calls.Wait() // calls return no errors
	})
	n := &testOwner{Node: node}
	n.readEvacuations(fbtimer.SinceBoot(), true, filbertford.NewSnapshot(1, 0))
	for _, w := range n.tableWatchers() {
		if w.table == filbertford.TableTargets {
			w.readPeriod = func() time.Duration { return 0 }
			n.calls.Go(func() error { _ = w.run(ctx); return nil })
		}
	}
	n.run(2 * time.Second)
	if n.pools[testDataCentre] == nil {
		t.Fatal("the daemon hasn't claimed the pool")
	}
	n.handleMessage(fbtimer.SinceBoot(), coordinatorMember, n.batch("00000000000000aa"))
	n.run(300 * time.Millisecond)
	if starts := targets.starts(); starts != 1 {
		t.Errorf("%d tasks were started beside %d odd records, want 1", starts, len(odd))
	}
	for _, c := range n.pools[testDataCentre].Capacities(fbtimer.SinceBoot()) {
		if c.Total() != 4000 {
			t.Errorf("the pool has a capacity of %d for %q, want 4000", c.Total(), c.Service())
		}
	}
	store.compact() // the daemon reads the whole table again
	store.put("t01", oddTargetRow("", ""))
	store.put("t00", strings.Replace(oddTargetRow("", ""), "ready", "draining", 1))
	n.run(300 * time.Millisecond)
	for i := range 3 {
		n.handleMessage(fbtimer.SinceBoot(), coordinatorMember, n.batch(filbertford.JobKey("00000000000000b"+strconv.Itoa(i))))
	}
	n.run(300 * time.Millisecond)
	if starts := targets.starts(); starts != 4 {
		t.Errorf("%d tasks were started after a change of the targets, want 4", starts)
	}
	if records := n.targets.inPool(testDataCentre); len(records) != 2 || !records[0].Draining() || records[1].Draining() {
		t.Errorf("the daemon knows %d targets, want t00, which drains, and t01", len(records))
	}
	if lines := output.count("FE7016"); lines != len(odd) {
		t.Errorf("%d lines about %d odd records", lines, len(odd))
	}
	if pools := len(n.specs) - shardCount; pools != 1 {
		t.Errorf("%d pools, want 1", pools)
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	if store.reads < 10 {
		t.Errorf("the table was read %d times", store.reads)
	}
}

// lockedBuffer is a buffer that several goroutines write to.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) count(text string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.buffer.String(), text)
}
