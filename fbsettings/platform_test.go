package fbsettings_test

import (
	"context"
	"sync"
	"time"

	"github.com/filbertford/filbertford"
)

// fault is the fault of a call to the fake platform.
type fault string

const (
	faultNone fault = "none"
	// faultUnavailable fails the call without effect.
	faultUnavailable fault = "down"
	// faultReplyLost lets a write take effect and fails the call.
	faultReplyLost fault = "lost"
	// faultDelayed fails a write. It takes effect later unless its rows have changed.
	faultDelayed fault = "late"
)

// fakePlatform is an in-memory table service and object store.
type fakePlatform struct {
	mu      sync.Mutex
	rows    map[string]filbertford.Row
	objects map[string][]byte
	delayed [][]filbertford.Write
	reads   int

	// readFault and writeFault return the fault of the next call; nil means none.
	readFault, writeFault func() fault
	// beforeCommit is called at the start of Commit.
	beforeCommit func()
	// afterCommit is called after a commit took effect.
	afterCommit func()
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{rows: make(map[string]filbertford.Row), objects: make(map[string][]byte)}
}

func (p *fakePlatform) Read(_ context.Context, keys ...string) ([]filbertford.Row, error) {
	if nextFault(p.readFault) != faultNone {
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
	switch nextFault(p.writeFault) {
	case faultUnavailable:
		return filbertford.ErrUnavailable
	case faultDelayed:
		p.delayed = append(p.delayed, writes)
		return filbertford.ErrUnavailable
	case faultReplyLost:
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
	if p.afterCommit != nil {
		p.afterCommit()
	}
	return nil
}

// applyDelayed applies the oldest delayed write unless its rows have changed.
func (p *fakePlatform) applyDelayed() {
	if len(p.delayed) == 0 {
		return
	}
	writes := p.delayed[0]
	p.delayed = p.delayed[1:]
	_ = p.apply(writes)
}

func (p *fakePlatform) Put(_ context.Context, key string, data []byte) error {
	if nextFault(p.writeFault) == faultUnavailable {
		return filbertford.ErrUnavailable
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[key] = data
	return nil
}

func (p *fakePlatform) Get(_ context.Context, key string) ([]byte, error) {
	if nextFault(p.readFault) != faultNone {
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

func nextFault(next func() fault) fault {
	if next == nil {
		return faultNone
	}
	return next()
}

// instantTimer ticks immediately, so that waiting for a retry takes no time.
type instantTimer struct{}

func (instantTimer) Now() time.Time { return time.Unix(1_800_000_000, 0) }

func (instantTimer) Subscribe(time.Duration) (<-chan time.Time, func()) {
	ticks := make(chan time.Time, 1)
	ticks <- time.Time{}
	return ticks, func() {}
}
