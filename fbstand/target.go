package fbstand

import (
	"maps"
	"sync"
	"time"

	"github.com/filbertford/filbertford"
)

// Target is a stand-in for a target. Its tasks run by waiting.
type Target struct {
	id     filbertford.TargetID
	slots  int
	speed  float64
	closed chan struct{}

	mu       sync.Mutex
	faults   TargetFaults
	changed  chan struct{}
	running  map[string]*task
	leases   map[string]*lease
	seen     map[string]bool
	counters TargetCounters
}

// task is a task that occupies a slot.
type task struct {
	id    string
	owner string
	stop  chan struct{}
}

// lease bounds how long the tasks of an owner run.
type lease struct {
	end   time.Time
	tasks int
}

// ending tells how a task ended.
type ending string

const (
	endedDone    ending = "done"
	endedStopped ending = "stopped"
)

// NewTarget returns a target with the given number of slots. Run times are
// multiplied by the factor speed; 1 is the speed that tasks are declared for.
func NewTarget(id filbertford.TargetID, slots int, speed float64) *Target {
	return &Target{
		id:       id,
		slots:    slots,
		speed:    speed,
		closed:   make(chan struct{}),
		changed:  make(chan struct{}),
		running:  make(map[string]*task),
		leases:   make(map[string]*lease),
		seen:     make(map[string]bool),
		counters: TargetCounters{works: make(map[string]int)},
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
	close(t.changed)
	t.changed = make(chan struct{})
}

// Counters returns what the target has counted so far.
func (t *Target) Counters() TargetCounters {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.counters
	out.running = len(t.running)
	out.works = maps.Clone(t.counters.works)
	return out
}

// Close stops all tasks and releases all requests that wait. A target is
// closed once.
func (t *Target) Close() { close(t.closed) }

// thawed waits while the target is frozen and returns the faults to show. Once
// the target is closed nothing starts any more.
func (t *Target) thawed() TargetFaults {
	for {
		t.mu.Lock()
		f, changed := t.faults, t.changed
		t.mu.Unlock()
		if !f.freeze {
			return f
		}
		select {
		case <-changed:
		case <-t.closed:
			return f.WithCut(CutBefore)
		}
	}
}

// begin takes a slot for the task, unless a refusal is returned.
func (t *Target) begin(r startRequest) (*task, refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.faults.leaving {
		t.counters.refusals++
		return nil, refusedLeaving
	}
	if len(t.running) >= t.slots {
		t.counters.refusals++
		return nil, refusedNoSlot
	}
	t.countStart(r)
	k := &task{id: r.ID, owner: r.Owner, stop: make(chan struct{})}
	// A repeated start of an ID that still runs takes the slot of the first.
	t.running[r.ID] = k
	l := t.leases[r.Owner]
	if l == nil {
		l = &lease{}
		t.leases[r.Owner] = l
	}
	l.tasks++
	l.extend(r.lease())
	return k, refusedNot
}

// end gives the task's slot back and returns the number of free slots.
func (t *Target) end(k *task) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running[k.id] == k {
		delete(t.running, k.id)
	}
	l := t.leases[k.owner]
	l.tasks--
	if l.tasks == 0 {
		delete(t.leases, k.owner)
	}
	return t.slots - len(t.running)
}

// run waits until the task has run for d, is stopped or has lost its lease.
func (t *Target) run(k *task, d time.Duration) ending {
	end := time.Now().Add(d)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-k.stop:
			return endedStopped
		case <-t.closed:
			return endedStopped
		}
		now := time.Now()
		leaseEnd := t.leaseEnd(k.owner)
		if !now.Before(leaseEnd) {
			return endedStopped
		}
		if !now.Before(end) {
			return endedDone
		}
		timer.Reset(min(end.Sub(now), leaseEnd.Sub(now)))
	}
}

// stop stops the tasks of the starts and returns the number of free slots.
func (t *Target) stop(ids []string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counters.stops++
	for _, id := range ids {
		if k := t.running[id]; k != nil {
			close(k.stop)
			delete(t.running, id)
		}
	}
	return t.slots - len(t.running)
}

// renew prolongs the owner's lease and returns the number of free slots.
func (t *Target) renew(owner string, d time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counters.renewals++
	if l := t.leases[owner]; l != nil {
		l.extend(d)
	}
	return t.slots - len(t.running)
}

func (t *Target) free() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.slots - len(t.running)
}

func (t *Target) leaseEnd(owner string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leases[owner].end
}

// extend lets the lease last for d from now. It never shortens it.
func (l *lease) extend(d time.Duration) {
	if end := time.Now().Add(d); end.After(l.end) {
		l.end = end
	}
}
