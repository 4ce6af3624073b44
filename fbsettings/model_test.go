package fbsettings_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/filbertford/filbertford/fbsettings"
)

// maxApplyDelay is the stated target for an accepted setting.
const maxApplyDelay = 5 * time.Second

// rounds is the number of times that the drawn actions are repeated in a world.
const rounds = 3

// TestDaemonsConvergeOnAcceptedVersions draws races of operators, outages, lost and late
// replies, restarts and messages that are lost, doubled and reordered. Every
// version is accepted once and overrules nothing unseen, no daemon goes back or
// holds anything else than an accepted version, and once the faults end all hold
// the newest within the target.
//
// It fails, as it should, if attempt in commit.go does not look for the
// request's ID among the entries, if rebase in conflict.go is given no entries,
// if write does not note that it sent something, and if take in spread.go adopts
// an update without comparing versions.
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

// pollAndDeliver lets a daemon poll and everything on its way arrive in order.
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

// sendInvalidUpdate sends a daemon an update that is cut short, whose version is newer.
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
			s.t.Fatalf("%s has version %d, accepted is %d: %+v", d.address, d.version, head, d.replica.Status())
		}
		if status := d.replica.Status(); status.Reason() != "" || status.Newest() != head {
			s.t.Fatalf("%s is up to date but says %+v", d.address, status)
		}
	}
	for id, version := range s.results {
		if s.accepted[id] != version {
			s.t.Fatalf("request %s was told version %d and is not accepted so", id, version)
		}
	}
	for id, err := range s.rejected {
		if version, ok := s.accepted[id]; ok {
			s.t.Fatalf("request %s is version %d but was refused: %v", id, version, err)
		}
	}
}
