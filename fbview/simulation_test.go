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
	// maxTime limits the simulated time, so that the clocks drift apart by less
	// than the clock error.
	maxTime = 100 * time.Second
	// maxDriftRate is the largest fraction by which a daemon's clock runs fast or
	// slow.
	maxDriftRate = 0.009
)

func simulationOptions() fbview.Options {
	return fbview.NewOptions().WithPeriod(time.Second).WithHorizon(6*time.Second).
		WithSkew(500*time.Millisecond, 2*time.Second).WithSettleTime(100 * time.Millisecond)
}

// storeLink is the state of the connection between a daemon and the store.
type storeLink string

const (
	storeConnected    storeLink = "whole"
	storeDisconnected storeLink = "cut"
	storeRepliesLost  storeLink = "replies lost"
)

// node is a simulated daemon.
type node struct {
	view      *fbview.View
	self      fbview.Member
	driftRate float64
	offset    time.Duration
	paused    bool
	dead      bool
	store     storeLink
	// startedAt holds when the daemon started each key that it remembers.
	startedAt map[string]time.Time
}

// message is a request or reply that was sent and not yet delivered.
type message struct {
	from, to *node // nil is the store
	deliver  func()
	held     bool
}

// simulation is a data centre of simulated daemons that share one row.
type simulation struct {
	now             time.Duration
	row             filbertford.Row
	committedAt     map[uint64]time.Duration // by epoch
	periods         map[uint64]time.Duration
	storeDown       bool
	nodes           []*node
	linkDown        map[[2]*node]bool
	messages        []*message
	startedBy       map[string]*node
	submittedAt     map[string]time.Duration
	nextIncarnation filbertford.Incarnation
}

func newSimulation() *simulation {
	return &simulation{
		row:         filbertford.NewRow(fbview.Key(dc), nil, 0),
		committedAt: map[uint64]time.Duration{},
		periods:     map[uint64]time.Duration{},
		linkDown:    map[[2]*node]bool{},
		startedBy:   map[string]*node{},
		submittedAt: map[string]time.Duration{},
	}
}

func (s *simulation) boot(address string, driftRate float64, offset, period time.Duration) {
	s.nextIncarnation++
	n := &node{
		self:      fbview.NewMember(s.nextIncarnation, address),
		driftRate: driftRate,
		offset:    offset,
		store:     storeConnected,
		startedAt: map[string]time.Time{},
	}
	n.view = fbview.NewView(simulationOptions().WithPeriod(period), dc, n.self)
	s.nodes = append(s.nodes, n)
}

func (s *simulation) clock(n *node) time.Time {
	drifted := time.Duration(float64(s.now) * (1 + n.driftRate))
	return time.UnixMilli(1_700_000_000_000).Add(n.offset + drifted)
}

func (s *simulation) live() []*node {
	var out []*node
	for _, n := range s.nodes {
		if !n.dead {
			out = append(out, n)
		}
	}
	return out
}

func (s *simulation) send(from, to *node, deliver func()) {
	s.messages = append(s.messages, &message{from: from, to: to, deliver: deliver})
}

func (s *simulation) canDeliver(from, to *node) bool {
	switch {
	case from == nil:
		return to.store == storeConnected && !to.paused && !to.dead
	case to == nil:
		return from.store != storeDisconnected && !s.storeDown
	default:
		return !s.linkDown[[2]*node{from, to}] && !to.paused && !to.dead
	}
}

// run advances the time in steps. In each step it calls Tick of the daemons that
// aren't paused, delivers all messages that aren't held back, and calls check.
func (s *simulation) run(d time.Duration, check func()) {
	for end := min(s.now+d, maxTime); s.now < end; {
		s.now += step
		for _, n := range s.live() {
			if !n.paused {
				s.execute(n, n.view.Tick(s.clock(n)))
			}
		}
		s.deliverAll()
		check()
	}
}

func (s *simulation) deliverAll() {
	for range 4 {
		messages := s.messages
		s.messages = nil
		for _, m := range messages {
			if m.held || !s.canDeliver(m.from, m.to) {
				s.messages = append(s.messages, m)
				continue
			}
			m.deliver()
		}
	}
	// Messages to a dead daemon are never delivered, so the oldest are dropped.
	if excess := len(s.messages) - 100; excess > 0 {
		s.messages = s.messages[excess:]
	}
}

func (s *simulation) execute(n *node, actions []fbview.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case fbview.ReadRow:
			s.send(n, nil, func() { s.readRow(n, a) })
		case fbview.CommitRow:
			s.send(n, nil, func() { s.commitRow(n, a) })
		case fbview.RequestPromises:
			for _, m := range a.Members {
				s.sendPromiseRequest(n, m, a)
			}
		case fbview.Adopted:
		}
	}
}

func (s *simulation) readRow(n *node, a fbview.ReadRow) {
	row := s.row
	s.send(nil, n, func() {
		actions, err := n.view.HandleRow(s.clock(n), a.RequestedAt, row)
		if err != nil && !errors.Is(err, fbview.ErrReverted) {
			panic(err)
		}
		s.execute(n, actions)
	})
}

func (s *simulation) commitRow(n *node, a fbview.CommitRow) {
	outcome := fbview.CommitConflict
	if a.Write.Version() == s.row.Version() {
		outcome = fbview.CommitApplied
		s.row = filbertford.NewRow(s.row.Key(), a.Write.Value(), s.row.Version()+1)
		r, err := fbview.ParseRow(a.Write.Value())
		if err != nil || r.Epoch() != s.row.Version() {
			panic(fmt.Sprint("invalid commit ", r, err))
		}
		s.committedAt[r.Epoch()], s.periods[r.Epoch()] = s.now, r.Period()
	}
	s.send(nil, n, func() {
		s.execute(n, n.view.HandleCommitOutcome(s.clock(n), a.RequestedAt, a.Write, outcome))
	})
}

// sendPromiseRequest sends a request to the daemons that listen at the member's
// address.
func (s *simulation) sendPromiseRequest(n *node, m fbview.Member, a fbview.RequestPromises) {
	for _, to := range s.live() {
		if to.self.Address() != m.Address() {
			continue
		}
		s.send(n, to, func() {
			p := to.view.HandlePromiseRequest(n.self.Incarnation(), dc, a.Epoch, a.Period)
			s.send(to, n, func() { n.view.HandlePromise(m.Incarnation(), a.RequestedAt, p) })
		})
	}
}

// updatePeers calls SetPeers of a daemon with the live peers that it can reach and
// for which seen returns true, and with all incarnations that have terminated.
func (s *simulation) updatePeers(n *node, seen func(*node) bool) {
	var live []fbview.Member
	var terminated []filbertford.Incarnation
	for _, m := range s.nodes {
		switch {
		case m.dead:
			terminated = append(terminated, m.self.Incarnation())
		case m != n && !m.paused && s.canDeliver(n, m) && seen(m):
			live = append(live, m.self)
		}
	}
	n.view.SetPeers(live, terminated)
}

// submit submits a key to a daemon, which starts its job if it may. It returns an
// error if the job was started before. A key without a minting time is no longer
// submitted after 0.9 of the horizon, since callers stop resubmitting it by then.
func (s *simulation) submit(n *node, key string) error {
	now := s.clock(n)
	_, timed := fbview.MintTime(key)
	if _, ok := s.submittedAt[key]; !ok {
		s.submittedAt[key] = s.now
	}
	if !timed && float64(s.now-s.submittedAt[key]) > 0.9*float64(simulationOptions().Horizon()) {
		return nil
	}
	if at, ok := n.startedAt[key]; ok {
		if now.Sub(at) <= simulationOptions().Retention() {
			return nil
		}
		delete(n.startedAt, key)
	}
	if n.view.Admit(key, now).Verdict() != fbview.VerdictStart {
		return nil
	}
	n.startedAt[key] = now
	if earlier, ok := s.startedBy[key]; ok {
		return fmt.Errorf("key %s started by %v and by %v", key, earlier.self, n.self)
	}
	s.startedBy[key] = n
	return nil
}

// checkInvariants returns an error if two daemons may start one key, or if a
// daemon holds a lease for a view that was replaced longer ago than its lease
// period.
func (s *simulation) checkInvariants(keys []string) error {
	for _, key := range keys {
		var owner *node
		for _, n := range s.live() {
			if !n.view.MayStart(key, s.clock(n)) {
				continue
			}
			if owner != nil {
				return fmt.Errorf("%v and %v may both start %s", owner.self, n.self, key)
			}
			owner = n
		}
	}
	for _, n := range s.live() {
		row, _ := n.view.Row()
		replacedAt, ok := s.committedAt[row.Epoch()+1]
		if !ok || !n.view.HasLease(s.clock(n)) {
			continue
		}
		if maxLease := float64(s.periods[row.Epoch()]) / (1 - maxDriftRate); float64(s.now-replacedAt) > maxLease {
			return fmt.Errorf("%v holds a lease for epoch %d, which was replaced %v ago", n.self, row.Epoch(), s.now-replacedAt)
		}
	}
	return nil
}

// mintKey returns a UUIDv7 of a caller whose clock is ahead of the simulated time.
func (s *simulation) mintKey(rng *rand.Rand, ahead time.Duration) string {
	var id uuid.UUID
	_, _ = rng.Read(id[:])
	ms := time.UnixMilli(1_700_000_000_000).Add(s.now + ahead).UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	id[6] = id[6]&0x0f | 0x70
	id[8] = id[8]&0x3f | 0x80
	return id.String()
}
