package fbview_test

import (
	"errors"
	"fmt"
	"math/rand"
	"time"

	"github.com/google/uuid"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbview"
)

const (
	dc = filbertford.DataCentre("nordnes")

	step = 50 * time.Millisecond
	// maxTime bounds a run, so that the clocks part by less than the clock
	// error.
	maxTime = 100 * time.Second
	// maxRate is the largest part by which a daemon's clock runs fast or slow.
	maxRate = 0.009
)

func worldOptions() fbview.Options {
	return fbview.NewOptions().WithPeriod(time.Second).WithHorizon(6*time.Second).
		WithSkew(500*time.Millisecond, 2*time.Second).WithSettle(100 * time.Millisecond)
}

// storeLink is what becomes of a daemon's messages to and from the store.
type storeLink string

const (
	storeWhole storeLink = "whole"
	storeCut   storeLink = "cut"
	storeMute  storeLink = "replies lost"
)

// node is a daemon of the fake data centre.
type node struct {
	view   *fbview.View
	self   fbview.Member
	rate   float64
	offset time.Duration
	paused bool
	dead   bool
	store  storeLink
	// table holds the keys that the daemon started, with when it did.
	table map[string]time.Time
}

// message is something on its way. An undelivered one may be held back.
type message struct {
	from, to *node // nil stands for the store
	deliver  func()
	held     bool
}

// world is a data centre of fake daemons round a fake row.
type world struct {
	now      time.Duration
	row      filbertford.Row
	commits  map[uint64]time.Duration // epoch → time of its commit
	periods  map[uint64]time.Duration
	down     bool
	nodes    []*node
	cut      map[[2]*node]bool
	messages []*message
	started  map[string]*node
	first    map[string]time.Duration
	nextInc  filbertford.Incarnation
}

func newWorld() *world {
	return &world{
		row:     filbertford.NewRow(fbview.Key(dc), nil, 0),
		commits: map[uint64]time.Duration{},
		periods: map[uint64]time.Duration{},
		cut:     map[[2]*node]bool{},
		started: map[string]*node{},
		first:   map[string]time.Duration{},
	}
}

func (w *world) boot(address string, rate float64, offset, period time.Duration) {
	w.nextInc++
	n := &node{
		self:   fbview.NewMember(w.nextInc, address),
		rate:   rate,
		offset: offset,
		store:  storeWhole,
		table:  map[string]time.Time{},
	}
	n.view = fbview.NewView(worldOptions().WithPeriod(period), dc, n.self)
	w.nodes = append(w.nodes, n)
}

func (w *world) clock(n *node) time.Time {
	drifted := time.Duration(float64(w.now) * (1 + n.rate))
	return time.UnixMilli(1_700_000_000_000).Add(n.offset + drifted)
}

func (w *world) live() []*node {
	var out []*node
	for _, n := range w.nodes {
		if !n.dead {
			out = append(out, n)
		}
	}
	return out
}

func (w *world) send(from, to *node, deliver func()) {
	w.messages = append(w.messages, &message{from: from, to: to, deliver: deliver})
}

func (w *world) reaches(from, to *node) bool {
	switch {
	case from == nil:
		return to.store == storeWhole && !to.paused && !to.dead
	case to == nil:
		return from.store != storeCut && !w.down
	default:
		return !w.cut[[2]*node{from, to}] && !to.paused && !to.dead
	}
}

// run lets time pass: all messages that aren't held back arrive, ticks come.
func (w *world) run(d time.Duration, check func()) {
	for end := min(w.now+d, maxTime); w.now < end; {
		w.now += step
		for _, n := range w.live() {
			if !n.paused {
				w.do(n, n.view.Tick(w.clock(n)))
			}
		}
		w.deliverAll()
		check()
	}
}

func (w *world) deliverAll() {
	for range 4 {
		messages := w.messages
		w.messages = nil
		for _, m := range messages {
			if m.held || !w.reaches(m.from, m.to) {
				w.messages = append(w.messages, m)
				continue
			}
			m.deliver()
		}
	}
	// Messages to a dead daemon stay forever; the oldest of the rest are lost.
	if extra := len(w.messages) - 100; extra > 0 {
		w.messages = w.messages[extra:]
	}
}

func (w *world) do(n *node, actions []fbview.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case fbview.ReadRow:
			w.send(n, nil, func() { w.read(n, a) })
		case fbview.CommitRow:
			w.send(n, nil, func() { w.commit(n, a) })
		case fbview.AskPromise:
			for _, m := range a.Members {
				w.ask(n, m, a)
			}
		case fbview.Adopted:
		}
	}
}

func (w *world) read(n *node, a fbview.ReadRow) {
	row := w.row
	w.send(nil, n, func() {
		actions, err := n.view.RowRead(w.clock(n), a.Asked, row)
		if err != nil && !errors.Is(err, fbview.ErrReverted) {
			panic(err)
		}
		w.do(n, actions)
	})
}

func (w *world) commit(n *node, a fbview.CommitRow) {
	outcome := fbview.CommitConflict
	if a.Write.Version() == w.row.Version() {
		outcome = fbview.CommitApplied
		w.row = filbertford.NewRow(w.row.Key(), a.Write.Value(), w.row.Version()+1)
		r, err := fbview.ParseRow(a.Write.Value())
		if err != nil || r.Epoch() != w.row.Version() {
			panic(fmt.Sprint("bad commit ", r, err))
		}
		w.commits[r.Epoch()], w.periods[r.Epoch()] = w.now, r.Period()
	}
	w.send(nil, n, func() {
		w.do(n, n.view.CommitDone(w.clock(n), a.Asked, a.Write, outcome))
	})
}

// ask delivers a question to whoever listens at the member's address.
func (w *world) ask(n *node, m fbview.Member, a fbview.AskPromise) {
	for _, to := range w.live() {
		if to.self.Address() != m.Address() {
			continue
		}
		w.send(n, to, func() {
			p := to.view.PromiseAsked(n.self.Incarnation(), dc, a.Epoch, a.Period)
			w.send(to, n, func() { n.view.PromiseReply(m.Incarnation(), a.Asked, p) })
		})
	}
}

// observe gives a daemon the list of live peers, as far as it reaches them and
// seen allows, and the proofs that others are gone.
func (w *world) observe(n *node, seen func(*node) bool) {
	var live []fbview.Member
	var gone []filbertford.Incarnation
	for _, m := range w.nodes {
		switch {
		case m.dead:
			gone = append(gone, m.self.Incarnation())
		case m != n && !m.paused && w.reaches(n, m) && seen(m):
			live = append(live, m.self)
		}
	}
	n.view.PeersChanged(live, gone)
}

// submit delivers a key to a daemon, which starts its job if it may.
func (w *world) submit(n *node, key string) error {
	now := w.clock(n)
	_, timed := fbview.MintTime(key)
	if _, ok := w.first[key]; !ok {
		w.first[key] = w.now
	}
	if !timed && float64(w.now-w.first[key]) > 0.9*float64(worldOptions().Horizon()) {
		return nil
	}
	if at, ok := n.table[key]; ok {
		if now.Sub(at) <= worldOptions().Retention() {
			return nil
		}
		delete(n.table, key)
	}
	if n.view.Admit(key, now).Verdict() != fbview.VerdictStart {
		return nil
	}
	n.table[key] = now
	if by, ok := w.started[key]; ok {
		return fmt.Errorf("key %s started by %v and by %v", key, by.self, n.self)
	}
	w.started[key] = n
	return nil
}

// check returns an error if two daemons may start one key, or one may that a
// newer view has excluded for longer than the period.
func (w *world) check(keys []string) error {
	for _, key := range keys {
		var owner *node
		for _, n := range w.live() {
			if !n.view.MayStart(key, w.clock(n)) {
				continue
			}
			if owner != nil {
				return fmt.Errorf("%v and %v may both start %s", owner.self, n.self, key)
			}
			owner = n
		}
	}
	for _, n := range w.live() {
		row, _ := n.view.Row()
		replaced, ok := w.commits[row.Epoch()+1]
		if !ok || !n.view.Sure(w.clock(n)) {
			continue
		}
		if longest := float64(w.periods[row.Epoch()]) / (1 - maxRate); float64(w.now-replaced) > longest {
			return fmt.Errorf("%v is sure of epoch %d, replaced %v ago", n.self, row.Epoch(), w.now-replaced)
		}
	}
	return nil
}

// mint returns a UUIDv7 of a caller whose clock is ahead of the world's.
func (w *world) mint(rng *rand.Rand, ahead time.Duration) string {
	var id uuid.UUID
	_, _ = rng.Read(id[:])
	ms := time.UnixMilli(1_700_000_000_000).Add(w.now + ahead).UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	id[6] = id[6]&0x0f | 0x70
	id[8] = id[8]&0x3f | 0x80
	return id.String()
}
