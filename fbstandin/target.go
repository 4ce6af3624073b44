package fbstandin

import (
	"maps"
	"sync"
	"time"

	"github.com/filbertford/filbertford"
)

// Target is a stand-in for a target. Its tasks run by waiting.
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

// lease bounds how long the tasks of an owner run.
type lease struct {
	expiresAt time.Time
	tasks     int
}

// taskOutcome tells how a task ended.
type taskOutcome string

const (
	taskDone    taskOutcome = "done"
	taskStopped taskOutcome = "stopped"
)

// NewTarget returns a target with the given number of slots. Run times are
// multiplied by the factor speed; 1 is the speed that tasks are declared for.
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

// ID returns the target's name.
func (t *Target) ID() filbertford.TargetID { return t.id }

// Slots returns how many tasks the target runs at once.
func (t *Target) Slots() int { return t.slots }

// SetFaults replaces the faults that the target shows.
func (t *Target) SetFaults(f TargetFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
	close(t.faultsChanged)
	t.faultsChanged = make(chan struct{})
}

// Counters returns what the target has counted so far.
func (t *Target) Counters() TargetCounters {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.counters
	out.running = len(t.running)
	out.startsByWork = maps.Clone(t.counters.startsByWork)
	return out
}

// Close stops all tasks and releases all requests that wait. A target is
// closed once.
func (t *Target) Close() { close(t.closed) }

// waitWhileFrozen waits while the target is frozen and returns the faults to show. Once
// the target is closed nothing starts any more.
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

// startTask takes a slot for the task, unless a refusal is returned.
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
	// A repeated start of an ID that still runs takes the slot of the first.
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

// endTask gives the task's slot back and returns the number of free slots.
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

// runTask waits until the task has run for d, is stopped or has lost its lease.
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

// stopTasks stops the tasks of the starts and returns the number of free slots.
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

// renewLease prolongs the owner's lease and returns the number of free slots.
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

// extend lets the lease last for d from now. It never shortens it.
func (l *lease) extend(d time.Duration) {
	if expiresAt := time.Now().Add(d); expiresAt.After(l.expiresAt) {
		l.expiresAt = expiresAt
	}
}
