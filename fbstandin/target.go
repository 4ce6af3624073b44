package fbstandin

import (
	"maps"
	"sync"
	"time"

	"github.com/filbertford/filbertford"
)

// Target is a stand-in for a target of the stand-alone daemon. A task occupies a
// slot for its run time and computes nothing.
type Target struct {
	id            filbertford.TargetID
	slots         int
	runTimeFactor float64
	closed        chan struct{}

	mu            sync.Mutex
	faults        TargetFaults
	faultsChanged chan struct{}
	running       map[string]*task
	leases        map[string]*lease
	seenIDs       map[string]bool
	counters      TargetCounters
}

// task is a task that occupies a slot.
type task struct {
	id      string
	owner   string
	stopped chan struct{}
}

// lease limits how long the tasks of an owner run.
type lease struct {
	expiresAt time.Time
	tasks     int
}

// taskOutcome is how a task ended.
type taskOutcome string

const (
	taskDone    taskOutcome = "done"
	taskStopped taskOutcome = "stopped"
)

// NewTarget returns a target with the given number of slots. It multiplies the
// run times that tasks declare by runTimeFactor.
func NewTarget(id filbertford.TargetID, slots int, runTimeFactor float64) *Target {
	return &Target{
		id:            id,
		slots:         slots,
		runTimeFactor: runTimeFactor,
		closed:        make(chan struct{}),
		faultsChanged: make(chan struct{}),
		running:       make(map[string]*task),
		leases:        make(map[string]*lease),
		seenIDs:       make(map[string]bool),
		counters:      TargetCounters{startsByWork: make(map[string]int)},
	}
}

// ID returns the target's ID.
func (t *Target) ID() filbertford.TargetID { return t.id }

// Slots returns the number of tasks that the target can run at the same time.
func (t *Target) Slots() int { return t.slots }

// SetFaults replaces the faults that the target simulates.
func (t *Target) SetFaults(f TargetFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
	close(t.faultsChanged)
	t.faultsChanged = make(chan struct{})
}

// Counters returns a copy of the target's counters.
func (t *Target) Counters() TargetCounters {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.counters
	out.running = len(t.running)
	out.startsByWork = maps.Clone(t.counters.startsByWork)
	return out
}

// Close stops all tasks and ends all requests that wait. It must be called at
// most once.
func (t *Target) Close() { close(t.closed) }

// waitWhileFrozen waits while the target is frozen and returns the faults to
// simulate. If the target is closed meanwhile, they include
// DisconnectBeforeStart, so that no task starts after Close.
func (t *Target) waitWhileFrozen() TargetFaults {
	for {
		t.mu.Lock()
		f, changed := t.faults, t.faultsChanged
		t.mu.Unlock()
		if !f.freeze {
			return f
		}
		select {
		case <-changed:
		case <-t.closed:
			return f.WithDisconnect(DisconnectBeforeStart)
		}
	}
}

// startTask occupies a slot for the task, or returns why the target refuses it.
func (t *Target) startTask(r startRequest) (*task, refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.faults.leaving {
		t.counters.refusals++
		return nil, refusalLeaving
	}
	if len(t.running) >= t.slots {
		t.counters.refusals++
		return nil, refusalNoSlot
	}
	t.countStart(r)
	tk := &task{id: r.ID, owner: r.Owner, stopped: make(chan struct{})}
	// A repeated start of an ID that is still running replaces the first in its slot.
	t.running[r.ID] = tk
	l := t.leases[r.Owner]
	if l == nil {
		l = &lease{}
		t.leases[r.Owner] = l
	}
	l.tasks++
	l.extend(r.lease())
	return tk, refusalNone
}

// endTask releases the task's slot and returns the number of free slots.
func (t *Target) endTask(tk *task) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running[tk.id] == tk {
		delete(t.running, tk.id)
	}
	l := t.leases[tk.owner]
	l.tasks--
	if l.tasks == 0 {
		delete(t.leases, tk.owner)
	}
	return t.slots - len(t.running)
}

// runTask waits until the task has run for d, is stopped, or its lease expires.
func (t *Target) runTask(tk *task, d time.Duration) taskOutcome {
	end := time.Now().Add(d)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-tk.stopped:
			return taskStopped
		case <-t.closed:
			return taskStopped
		}
		now := time.Now()
		expiresAt := t.leaseExpiry(tk.owner)
		if !now.Before(expiresAt) {
			return taskStopped
		}
		if !now.Before(end) {
			return taskDone
		}
		timer.Reset(min(end.Sub(now), expiresAt.Sub(now)))
	}
}

// stopTasks stops the tasks with the IDs and returns the number of free slots.
func (t *Target) stopTasks(ids []string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counters.stops++
	for _, id := range ids {
		if tk := t.running[id]; tk != nil {
			close(tk.stopped)
			delete(t.running, id)
		}
	}
	return t.slots - len(t.running)
}

// renewLease extends the owner's lease and returns the number of free slots.
func (t *Target) renewLease(owner string, d time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counters.renewals++
	if l := t.leases[owner]; l != nil {
		l.extend(d)
	}
	return t.slots - len(t.running)
}

func (t *Target) freeSlots() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.slots - len(t.running)
}

func (t *Target) leaseExpiry(owner string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leases[owner].expiresAt
}

// extend extends the lease to d from now. It never shortens it.
func (l *lease) extend(d time.Duration) {
	if expiresAt := time.Now().Add(d); expiresAt.After(l.expiresAt) {
		l.expiresAt = expiresAt
	}
}
