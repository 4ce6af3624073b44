package fbsettings_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/filbertford/filbertford/fbsettings"
)

// inForceWithin is the stated target for an accepted setting.
const inForceWithin = 5 * time.Second

// rounds is the number of times that the drawn actions are repeated in a world.
const rounds = 3

// TestOperatorsAndDaemons draws races of operators, outages, lost and late
// replies, restarts and messages that are lost, doubled and reordered. Every
// version is accepted once and overrules nothing unseen, no daemon goes back or
// holds anything else than an accepted version, and once the faults end all hold
// the newest within the target.
//
// It fails, as it should, if attempt in commit.go does not look for the
// request's ID among the entries, if rebase in conflict.go is given no entries,
// if write does not note that it sent something, and if take in spread.go adopts
// an update without comparing versions.
func TestOperatorsAndDaemons(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.IntRange(1, 5).Draw(t, "daemons"))
		w.drawFaults()
		actions := map[string]func(*rapid.T){
			"operate": func(*rapid.T) { w.operate() },
			"tick":    func(*rapid.T) { w.tick(w.drawDaemon()) },
			"beat":    func(*rapid.T) { w.beat(w.drawDaemon()) },
			"deliver": func(*rapid.T) { w.drawDelivery(false) },
			"quiet":   func(*rapid.T) { w.quiet(w.drawDaemon()) },
			"double":  func(*rapid.T) { w.drawDelivery(true) },
			"drop":    func(*rapid.T) { w.drop() },
			"land":    func(*rapid.T) { w.platform.land() },
			"garble":  func(*rapid.T) { w.garble(w.drawDaemon()) },
			"restart": func(*rapid.T) { w.restart(w.drawDaemon()) },
			"cut":     func(t *rapid.T) { w.drawDaemon().cut = rapid.Bool().Draw(t, "cut") },
		}
		for range rounds {
			t.Repeat(actions)
		}
		w.heal(inForceWithin)
		w.checkEnd()
	})
}

func (w *world) drawDaemon() *daemon { return rapid.SampledFrom(w.daemons).Draw(w.t, "daemon") }

func (w *world) tick(d *daemon) {
	step := rapid.SampledFrom([]int{50, 300, 1100, 3000}).Draw(w.t, "ms")
	w.now = w.now.Add(time.Duration(step) * time.Millisecond)
	w.handle(d, d.spread.HandleTick(w.now))
}

func (w *world) drawDelivery(keep bool) {
	if len(w.pending) > 0 {
		w.deliver(rapid.IntRange(0, len(w.pending)-1).Draw(w.t, "message"), keep)
	}
}

// quiet lets a daemon poll and everything on its way arrive in order.
func (w *world) quiet(d *daemon) {
	w.now = w.now.Add(fbsettings.PollPeriod)
	w.handle(d, d.spread.HandleTick(w.now))
	w.beat(d)
	for len(w.pending) > 0 {
		w.deliver(0, false)
	}
}

func (w *world) drop() {
	if len(w.pending) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.pending)-1).Draw(w.t, "message")
	w.pending = append(w.pending[:i:i], w.pending[i+1:]...)
}

// garble sends a daemon an update that is cut short, whose version is newer.
func (w *world) garble(d *daemon) {
	if d.spread.Tree() == nil {
		return
	}
	full := fbsettings.NewUpdate(0, 0, d.version+1, []byte("[/depot/ordering]\nquota"), false)
	delta := fbsettings.NewUpdate(0, d.version, d.version+1, []byte(`[{"op":"set","path":"/depot","key":"quo`), true)
	unfit := fbsettings.NewUpdate(0, d.version, d.version+1, []byte(`[{"op":"remove","path":"/nobody"}]`), true)
	u := rapid.SampledFrom([]fbsettings.Update{full, delta, unfit}).Draw(w.t, "update")
	_, actions := d.spread.HandlePush(w.now, u)
	w.handle(d, actions)
}

func (w *world) checkEnd() {
	head := w.platform.rows["settings-head"].Version()
	for _, d := range w.daemons {
		if d.version != head || head == 0 {
			w.t.Fatalf("%s has version %d, accepted is %d: %+v", d.address, d.version, head, d.spread.Status())
		}
		if status := d.spread.Status(); status.Reason() != "" || status.Newest() != head {
			w.t.Fatalf("%s is up to date but says %+v", d.address, status)
		}
	}
	for id, version := range w.receipts {
		if w.accepted[id] != version {
			w.t.Fatalf("request %s was told version %d and is not accepted so", id, version)
		}
	}
	for id, err := range w.refused {
		if version, ok := w.accepted[id]; ok {
			w.t.Fatalf("request %s is version %d but was refused: %v", id, version, err)
		}
	}
}
