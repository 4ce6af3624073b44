package fbnode

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbfleet"
	"github.com/filbertford/filbertford/fbsched"
	"github.com/filbertford/filbertford/fbtimer"
)

// TestSuspendedDaemonStartsNothingAtOnce checks that a daemon which was suspended starts no task
// for suspensionWait, whether it handles an event or a tick first.
func TestSuspendedDaemonStartsNothingAtOnce(t *testing.T) {
	for name, tickFirst := range map[string]bool{"tick first": true, "event first": false} {
		t.Run(name, func(t *testing.T) {
			n := newOwner(t)
			n.lastTick = fbtimer.SinceBoot() - 2*suspensionThreshold
			if tickFirst {
				n.tick(fbtimer.SinceBoot())
			}
			n.handleEvent(func(now time.Duration) { n.handleMessage(now, coordinatorMember, n.batch("00000000000000aa")) })
			n.flush(fbtimer.SinceBoot())
			n.run(suspensionWait / 2)
			if starts, _ := n.target.counts(); starts != 0 {
				t.Fatalf("%d tasks were started within %v of the suspension", starts, suspensionWait/2)
			}
			n.run(suspensionWait)
			if starts, _ := n.target.counts(); starts != 1 {
				t.Errorf("%d tasks were started after the wait, want 1", starts)
			}
		})
	}
}

// TestNewStreamEndsTasksThatAreNotOffered checks that a daemon ends the tasks which a coordinator
// doesn't offer on its new stream.
func TestNewStreamEndsTasksThatAreNotOffered(t *testing.T) {
	n := newOwner(t)
	for _, job := range []filbertford.JobKey{"00000000000000aa", "00000000000000bb"} {
		n.handleMessage(fbtimer.SinceBoot(), coordinatorMember, n.batch(job))
	}
	n.run(50 * time.Millisecond)
	n.Receive(coordinatorMember, nil, true)
	n.run(50 * time.Millisecond)
	n.handleMessage(fbtimer.SinceBoot(), coordinatorMember, n.batch("00000000000000bb").WithResume(0))
	n.run(time.Second)
	if starts, stops := n.target.counts(); starts != 2 || stops != 1 {
		t.Errorf("%d starts and %d stops, want 2 and 1", starts, stops)
	}
}

// TestReportOfNewerClaimEndsPool checks that a daemon gives a pool up when it gets a batch under a
// higher token than its own, even one without tasks.
func TestReportOfNewerClaimEndsPool(t *testing.T) {
	n := newOwner(t)
	pool := n.pools[testDataCentre]
	n.handleMessage(fbtimer.SinceBoot(), coordinatorMember, fbsched.NewBatch(testDataCentre, "", 0, 0, filbertford.Step{}, nil).WithFence(pool.Fence()+1))
	if n.pools[testDataCentre] != nil {
		t.Error("the daemon still owns the pool")
	}
}

const testDataCentre = "nordnes"

var coordinatorMember = fbfleet.NewMember("c", 1, "127.0.0.1:1", testDataCentre, 1)

// testOwner is a daemon, driven by the test, that owns a pool of one target.
type testOwner struct {
	*Node
	target *testTarget
}

// newOwner returns a daemon that has claimed the pool and listed its target.
func newOwner(t *testing.T) *testOwner {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	target := &testTarget{running: make(map[filbertford.TaskKey]uint64)}
	node := New(Options{Member: fbfleet.NewMember("a", 1, "127.0.0.1:2", testDataCentre, 1)}, Dependencies{
		Store: testStore{}, TargetClient: target, Decoder: recordDecoder{}, Log: log.New(io.Discard), Metrics: tally.NoopScope,
		DroppedLines: func() uint64 { return 0 },
	})
	node.ctx, node.calls = ctx, newWorkers(ctx)
	t.Cleanup(func() {
		cancel()
		_ = node.calls.Wait() // calls return no errors
	})
	n := &testOwner{Node: node, target: target}
	n.readEvacuations(fbtimer.SinceBoot(), true, filbertford.NewSnapshot(1, 0)) // nothing starts before the evacuations are known
	row := filbertford.NewChange(filbertford.NewRow("t00", []byte(testDataCentre), 1))
	n.targetsChanged(fbtimer.SinceBoot(), true, filbertford.NewSnapshot(1, 0, row))
	for range 100 {
		if n.pools[testDataCentre] != nil {
			break
		}
		n.run(tickPeriod)
	}
	if n.pools[testDataCentre] == nil {
		t.Fatal("the daemon hasn't claimed the pool")
	}
	n.run(50 * time.Millisecond)
	return n
}

// run ticks and handles events for a time.
func (n *testOwner) run(d time.Duration) {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for end := time.After(d); ; {
		select {
		case <-end:
			return
		case <-ticker.C:
			n.tick(fbtimer.SinceBoot())
		case f := <-n.events:
			n.handleEvent(f)
		}
		n.flush(fbtimer.SinceBoot())
	}
}

// batch returns an offer of a job with one task.
func (n *testOwner) batch(job filbertford.JobKey) fbsched.Batch {
	step := filbertford.NewStep(1, filbertford.NewResources(1000, 1, 0), 10*time.Second)
	return fbsched.NewBatch(testDataCentre, job, 0, 0, step, []fbsched.Item{fbsched.NewItem(0, 0)}).
		WithWork("", "ordering", 3).WithTimes(time.Minute, time.Minute).WithFence(n.pools[testDataCentre].Fence())
}

// testTarget is a target whose runs go on until they are stopped.
type testTarget struct {
	mu            sync.Mutex
	starts, stops int
	running       map[filbertford.TaskKey]uint64
}

func (t *testTarget) counts() (starts, stops int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.starts, t.stops
}

func (t *testTarget) reply() filbertford.CallReply {
	return filbertford.NewCallReply(filbertford.CallDone, fbtimer.SinceBoot().Milliseconds()).WithStartedAt(1)
}

// Start implements filbertford.TargetClient.
func (t *testTarget) Start(_ context.Context, r filbertford.StartRunRequest) filbertford.CallReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.starts++
	t.running[r.Task()] = r.Run()
	return t.reply()
}

// Stop implements filbertford.TargetClient.
func (t *testTarget) Stop(_ context.Context, r filbertford.StopRunRequest) filbertford.CallReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stops++
	delete(t.running, r.Task())
	return t.reply()
}

// Poll implements filbertford.TargetClient.
func (t *testTarget) Poll(_ context.Context, r filbertford.PollRequest) filbertford.CallReply {
	time.Sleep(r.Wait())
	t.mu.Lock()
	defer t.mu.Unlock()
	var running []filbertford.RunStatus
	for task, run := range t.running {
		running = append(running, filbertford.NewRunStatus(task, run, int(fbtimer.SinceBoot().Milliseconds()%100)))
	}
	return t.reply().WithRuns(running, nil)
}

// testStore is a store that is not available.
type testStore struct{}

func (testStore) List(context.Context, filbertford.TableName, string) (filbertford.Snapshot, error) {
	return filbertford.Snapshot{}, filbertford.ErrUnavailable
}

func (testStore) Watch(context.Context, filbertford.TableName, uint64, time.Duration) (filbertford.Snapshot, error) {
	return filbertford.Snapshot{}, filbertford.ErrUnavailable
}

func (testStore) Commit(context.Context, *filbertford.Transaction) (uint64, error) {
	return 0, filbertford.ErrUnavailable
}
