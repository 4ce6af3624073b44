package fbcore_test

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbcore"
)

// TestCoresKeepThePromises draws long runs of several cores under failures and
// checks after each step that no task started twice and that no answer was
// untrue. docs/PROMISES.md gives the command of the long run.
func TestCoresKeepThePromises(t *testing.T) {
	var total totals
	defer func() { t.Log(&total) }()
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(3, 3)
		defer total.add(w)
		t.Repeat(map[string]func(*rapid.T){
			"":        func(t *rapid.T) { w.check(t) },
			"submit":  w.submitNew,
			"again":   w.submitAgain,
			"cancel":  w.cancel,
			"deliver": w.deliver,
			"hurry":   w.deliverMany,
			"drop":    w.drop,
			"double":  w.double,
			"run":     w.runTask,
			"fail":    w.failTask,
			"work":    w.runTask,
			"rush":    w.deliverMany,
			"pass":    w.pass,
			"sleep":   w.sleep,
			"pause":   w.pause,
			"crash":   w.crash,
			"stop":    w.stop,
			"inherit": w.handOver,
			"leave":   w.leave,
		})
	})
}

// totals adds up what the drawn runs did.
type totals struct {
	runs, steps, ids, starts int
	answers                  map[filbertford.Code]int
}

func (y *totals) add(w *world) {
	if y.answers == nil {
		y.answers = make(map[filbertford.Code]int)
	}
	y.runs++
	y.steps += w.steps
	y.ids += len(w.ids)
	for _, h := range w.ids {
		for _, n := range h.starts {
			y.starts += n
		}
		for _, a := range h.answers {
			y.answers[a.Code()]++
		}
	}
}

func (y *totals) String() string {
	return fmt.Sprintf("%d runs, %d steps, %d submissions, %d starts, answers %v", y.runs, y.steps, y.ids, y.starts, y.answers)
}

func (w *world) check(t *rapid.T) {
	w.steps++
	if len(w.faults) > 0 {
		t.Fatalf("%v", w.faults)
	}
}

func (w *world) node(t *rapid.T) *node { return w.daemons[draw(t, len(w.daemons), "daemon")] }

func (w *world) submitNew(t *rapid.T) {
	n := w.node(t)
	token := n.core.Token(w.now)
	if token.IsZero() || n.paused {
		return
	}
	id, err := filbertford.MintID(token, "u"+strconv.Itoa(len(w.ids)))
	if err != nil {
		t.Fatal(err)
	}
	count := rapid.IntRange(1, 4).Draw(t, "tasks")
	tasks := make([]filbertford.Task, count)
	for i := range tasks {
		tasks[i] = filbertford.NewTask(fmt.Appendf(nil, "%s#%d", id, i), 0)
	}
	timeout := time.Duration(rapid.IntRange(1, 20).Draw(t, "timeout")) * time.Second
	h := &history{
		id: id, tasks: count, starts: make([]int, count),
		job: filbertford.NewJob("depot", "ordering", tasks...).WithTimeout(timeout),
	}
	w.ids = append(w.ids, h)
	w.byID[id.String()] = h
	w.send(h, w.node(t))
}

func (w *world) submitAgain(t *rapid.T) {
	if len(w.ids) > 0 {
		w.send(w.ids[draw(t, len(w.ids), "id")], w.node(t))
	}
}

func (w *world) cancel(t *rapid.T) {
	n := w.node(t)
	if len(w.ids) == 0 || n.paused || draw(t, 4, "seldom") > 0 {
		return
	}
	h := w.ids[draw(t, len(w.ids), "id")]
	w.nextRef++
	n.handle(fbcore.Cancel{Ref: w.nextRef, ID: h.id})
}

func (w *world) deliver(t *rapid.T) {
	if len(w.mail) == 0 {
		return
	}
	i := draw(t, len(w.mail), "letter")
	l := w.mail[i]
	w.mail = slices.Delete(w.mail, i, i+1)
	l.deliver()
}

func (w *world) deliverMany(t *rapid.T) {
	for range rapid.IntRange(1, 10).Draw(t, "letters") {
		w.deliver(t)
	}
}

func (w *world) drop(t *rapid.T) {
	if len(w.mail) == 0 || draw(t, 4, "seldom") > 0 {
		return
	}
	i := draw(t, len(w.mail), "letter")
	l := w.mail[i]
	if !l.lossy {
		return
	}
	w.mail = slices.Delete(w.mail, i, i+1)
	if l.lost != nil {
		l.lost()
	}
}

func (w *world) double(t *rapid.T) {
	if len(w.mail) == 0 {
		return
	}
	if l := w.mail[draw(t, len(w.mail), "letter")]; l.twice {
		if l.what == "delivery" || l.what == "forward" {
			w.countDouble(l)
		}
		w.post(l)
	}
}

// countDouble notes that a delivery may reach its owner twice, so that "this
// delivery started nothing" says nothing of the other.
func (w *world) countDouble(letter) {
	for _, h := range w.ids {
		h.sent++
	}
}

// task picks a running task.
func (w *world) task(t *rapid.T) (*fakeTarget, *fakeStart) {
	target := w.targets[draw(t, len(w.targets), "target")]
	ids := sortedIDs(target.running)
	if len(ids) == 0 {
		return nil, nil
	}
	s := target.running[ids[draw(t, len(ids), "task")]]
	return target, s
}

func (w *world) runTask(t *rapid.T) {
	if target, s := w.task(t); s != nil {
		delete(target.running, s.start.ID())
		r := filbertford.NewStartResult(filbertford.OutcomeDone).WithOutput(s.start.Args()).WithFreeSlots(worldSlots - len(target.running))
		w.reply(s.node, s.core, s.start.ID(), r)
	}
}

func (w *world) failTask(t *rapid.T) {
	if draw(t, 8, "seldom") > 0 {
		return
	}
	if target, s := w.task(t); s != nil {
		delete(target.running, s.start.ID())
		w.reply(s.node, s.core, s.start.ID(), filbertford.NewStartResult(filbertford.OutcomeTaskFailed))
	}
}

// pass lets a little time pass and ticks every daemon that is not paused.
func (w *world) pass(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
	w.lapse()
	for _, n := range w.daemons {
		if !n.paused {
			n.handle(fbcore.Tick{})
		}
	}
}

// sleep lets much time pass without any tick, as if all were paused.
func (w *world) sleep(t *rapid.T) {
	if draw(t, 8, "seldom") > 0 {
		return
	}
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 25).Draw(t, "s")) * time.Second)
	w.lapse()
}

func (w *world) pause(t *rapid.T) {
	n := w.node(t)
	n.paused = !n.paused && draw(t, 4, "seldom") == 0
}

func (w *world) crash(t *rapid.T) {
	if draw(t, 16, "seldom") == 0 {
		w.boot(w.node(t))
	}
}

func (w *world) stop(t *rapid.T) {
	if n := w.node(t); !n.paused && draw(t, 8, "seldom") == 0 {
		n.handle(fbcore.StopRequested{})
	}
}

// handOver gives a drained daemon's table to an heir, or loses a part of it,
// and replaces the daemon.
func (w *world) handOver(t *rapid.T) {
	n := w.node(t)
	heir := w.node(t)
	if !n.core.Stopping() || n.paused || heir == n || heir.paused {
		return
	}
	w.finish(n)
	if !n.drained {
		return
	}
	for _, p := range n.core.Parts(w.now, 1) {
		if draw(t, 4, "lost") == 0 {
			break
		}
		heir.handle(fbcore.Inherited{Part: p})
		if rapid.Bool().Draw(t, "twice") {
			heir.handle(fbcore.Inherited{Part: p})
		}
	}
	w.boot(n)
}

// finish lets the tasks of a stopping daemon run to their ends.
func (w *world) finish(n *node) {
	for range 20 {
		for _, target := range w.targets {
			for _, id := range sortedIDs(target.running) {
				if s := target.running[id]; s.core == n.core {
					delete(target.running, id)
					w.ended(n, n.core, id, filbertford.NewStartResult(filbertford.OutcomeDone).WithOutput(s.start.Args()))
				}
			}
		}
		w.now = w.now.Add(50 * time.Millisecond)
		n.handle(fbcore.Tick{})
	}
}

func (w *world) leave(t *rapid.T) {
	target := w.targets[draw(t, len(w.targets), "target")]
	target.leaving = !target.leaving && draw(t, 6, "seldom") == 0
}
