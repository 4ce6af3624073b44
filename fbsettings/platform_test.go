package fbsettings_test

import (
	"context"
	"sync"
	"time"

	"github.com/filbertford/filbertford"
)

// fault is what a call to the fake platform meets.
type fault string

const (
	faultNone fault = "none"
	// faultDown fails the call without effect.
	faultDown fault = "down"
	// faultLost makes a write take effect and loses the reply.
	faultLost fault = "lost"
	// faultLate fails a write, which takes effect later if it still can.
	faultLate fault = "late"
)

// fakePlatform is a table service and object store in memory.
type fakePlatform struct {
	mu      sync.Mutex
	rows    map[string]filbertford.Row
	objects map[string][]byte
	late    [][]filbertford.Write
	reads   int

	// readFault and writeFault choose what a call meets; nil means no faults.
	readFault, writeFault func() fault
	// beforeCommit runs before a commit is looked at.
	beforeCommit func()
	// committed runs after a commit took effect.
	committed func()
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{rows: make(map[string]filbertford.Row), objects: make(map[string][]byte)}
}

func (p *fakePlatform) Read(_ context.Context, keys ...string) ([]filbertford.Row, error) {
	if meets(p.readFault) != faultNone {
		return nil, filbertford.ErrUnavailable
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads += len(keys)
	out := make([]filbertford.Row, len(keys))
	for i, key := range keys {
		row := p.rows[key]
		out[i] = filbertford.NewRow(key, row.Value(), row.Version())
	}
	return out, nil
}

func (p *fakePlatform) Commit(_ context.Context, writes ...filbertford.Write) error {
	if p.beforeCommit != nil {
		p.beforeCommit()
	}
	switch meets(p.writeFault) {
	case faultDown:
		return filbertford.ErrUnavailable
	case faultLate:
		p.late = append(p.late, writes)
		return filbertford.ErrUnavailable
	case faultLost:
		_ = p.apply(writes)
		return filbertford.ErrUnavailable
	default:
		return p.apply(writes)
	}
}

func (p *fakePlatform) apply(writes []filbertford.Write) error {
	p.mu.Lock()
	for _, w := range writes {
		if p.rows[w.Key()].Version() != w.Version() {
			p.mu.Unlock()
			return filbertford.ErrConflict
		}
	}
	for _, w := range writes {
		p.rows[w.Key()] = filbertford.NewRow(w.Key(), w.Value(), w.Version()+1)
	}
	p.mu.Unlock()
	if p.committed != nil {
		p.committed()
	}
	return nil
}

// land lets the oldest late write take effect, if it still can.
func (p *fakePlatform) land() {
	if len(p.late) == 0 {
		return
	}
	writes := p.late[0]
	p.late = p.late[1:]
	_ = p.apply(writes)
}

func (p *fakePlatform) Put(_ context.Context, key string, data []byte) error {
	if meets(p.writeFault) == faultDown {
		return filbertford.ErrUnavailable
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[key] = data
	return nil
}

func (p *fakePlatform) Get(_ context.Context, key string) ([]byte, error) {
	if meets(p.readFault) != faultNone {
		return nil, filbertford.ErrUnavailable
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	data, ok := p.objects[key]
	if !ok {
		return nil, filbertford.ErrNotFound
	}
	return data, nil
}

func meets(choose func() fault) fault {
	if choose == nil {
		return faultNone
	}
	return choose()
}

// instantTimer ticks at once, so that pauses take no time.
type instantTimer struct{}

func (instantTimer) Now() time.Time { return time.Unix(1_800_000_000, 0) }

func (instantTimer) Subscribe(time.Duration) (<-chan time.Time, func()) {
	ticks := make(chan time.Time, 1)
	ticks <- time.Time{}
	return ticks, func() {}
}
