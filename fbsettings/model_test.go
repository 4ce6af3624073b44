package fbsettings_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/filbertford/filbertford/fbsettings"
)

// maxApplyDelay is the time within which an accepted edit must be in force at all
// daemons.
const maxApplyDelay = 5 * time.Second

// rounds is the number of sequences of random actions in a simulation.
const rounds = 3

// TestDaemonsConvergeOnAcceptedVersions simulates concurrent operators, outages, lost
// and delayed replies, restarts, and messages that are lost, duplicated and
// reordered. It checks that each edit is accepted at most once and does not override
// a change that its operator has not seen, that no daemon reverts to an older
// version or has settings that were not accepted, and that all daemons have the
// newest version within maxApplyDelay after the faults end.
//
// It must fail if tryCommit in commit.go does not search the entries for the
// request's ID, if rebase in conflict.go gets no entries, if write does not set sent
// before it sends the write, and if applyUpdate in replica.go applies an update
// without comparing versions.
func TestDaemonsConvergeOnAcceptedVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, rapid.IntRange(1, 5).Draw(t, "daemons"))
		s.drawFaults()
		actions := map[string]func(*rapid.T){
			"operate": func(*rapid.T) { s.runOperator() },
			"tick":    func(*rapid.T) { s.tick(s.drawDaemon()) },
			"beat":    func(*rapid.T) { s.sendHeartbeat(s.drawDaemon()) },
			"deliver": func(*rapid.T) { s.drawDelivery(false) },
			"quiet":   func(*rapid.T) { s.pollAndDeliver(s.drawDaemon()) },
			"double":  func(*rapid.T) { s.drawDelivery(true) },
			"drop":    func(*rapid.T) { s.dropEvent() },
			"land":    func(*rapid.T) { s.platform.applyDelayed() },
			"garble":  func(*rapid.T) { s.sendInvalidUpdate(s.drawDaemon()) },
			"restart": func(*rapid.T) { s.restart(s.drawDaemon()) },
			"cut":     func(t *rapid.T) { s.drawDaemon().partitioned = rapid.Bool().Draw(t, "cut") },
		}
		for range rounds {
			t.Repeat(actions)
		}
		s.endFaults(maxApplyDelay)
		s.checkFinalState()
	})
}

func (s *simulation) drawDaemon() *daemon { return rapid.SampledFrom(s.daemons).Draw(s.t, "daemon") }

func (s *simulation) tick(d *daemon) {
	step := rapid.SampledFrom([]int{50, 300, 1100, 3000}).Draw(s.t, "ms")
	s.now = s.now.Add(time.Duration(step) * time.Millisecond)
	s.handle(d, d.replica.HandleTick(s.now))
}

func (s *simulation) drawDelivery(duplicate bool) {
	if len(s.pending) > 0 {
		s.deliver(rapid.IntRange(0, len(s.pending)-1).Draw(s.t, "message"), duplicate)
	}
}

// pollAndDeliver makes a daemon poll, and delivers all pending events in order.
func (s *simulation) pollAndDeliver(d *daemon) {
	s.now = s.now.Add(fbsettings.PollPeriod)
	s.handle(d, d.replica.HandleTick(s.now))
	s.sendHeartbeat(d)
	for len(s.pending) > 0 {
		s.deliver(0, false)
	}
}

func (s *simulation) dropEvent() {
	if len(s.pending) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.pending)-1).Draw(s.t, "message")
	s.pending = append(s.pending[:i:i], s.pending[i+1:]...)
}

// sendInvalidUpdate sends a daemon an update with a newer version that is truncated
// or can't be applied.
func (s *simulation) sendInvalidUpdate(d *daemon) {
	if d.replica.Tree() == nil {
		return
	}
	full := fbsettings.NewUpdate(0, 0, d.version+1, []byte("[/depot/ordering]\nquota"), false)
	delta := fbsettings.NewUpdate(0, d.version, d.version+1, []byte(`[{"op":"set","path":"/depot","key":"quo`), true)
	inapplicable := fbsettings.NewUpdate(0, d.version, d.version+1, []byte(`[{"op":"remove","path":"/nobody"}]`), true)
	u := rapid.SampledFrom([]fbsettings.Update{full, delta, inapplicable}).Draw(s.t, "update")
	_, actions := d.replica.HandlePush(s.now, u)
	s.handle(d, actions)
}

func (s *simulation) checkFinalState() {
	head := s.platform.rows["settings-head"].Version()
	for _, d := range s.daemons {
		if d.version != head || head == 0 {
			s.t.Fatalf("%s has version %d, want %d: %+v", d.address, d.version, head, d.replica.Status())
		}
		if status := d.replica.Status(); status.Reason() != "" || status.Newest() != head {
			s.t.Fatalf("%s has the newest version, but its status is %+v", d.address, status)
		}
	}
	for id, version := range s.results {
		if s.accepted[id] != version {
			s.t.Fatalf("Commit of request %s returned version %d, but it was not accepted as that version", id, version)
		}
	}
	for id, err := range s.rejected {
		if version, ok := s.accepted[id]; ok {
			s.t.Fatalf("request %s is version %d, but Commit returned: %v", id, version, err)
		}
	}
}
