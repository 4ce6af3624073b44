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

// TestCoresStartTasksOnceUnderFailures runs random sequences of steps on three
// cores with lost, duplicated and reordered messages, pauses, crashes and
// handovers. After each step it checks that no task was started twice and that no
// answer contradicts the starts of its submission. docs/PROMISES.md has the command of the long
// run.
func TestCoresStartTasksOnceUnderFailures(t *testing.T) {
	var total totals
	defer func() { t.Log(&total) }()
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(3, 3)
		defer total.add(sim)
		t.Repeat(map[string]func(*rapid.T){
			"":        func(t *rapid.T) { sim.checkViolations(t) },
			"submit":  sim.submitNew,
			"again":   sim.resubmit,
			"cancel":  sim.cancel,
			"deliver": sim.deliverMessage,
			"hurry":   sim.deliverMessages,
			"drop":    sim.dropMessage,
			"double":  sim.duplicateMessage,
			"run":     sim.completeTask,
			"fail":    sim.failTask,
			"work":    sim.completeTask,
			"rush":    sim.deliverMessages,
			"pass":    sim.advanceAndTick,
			"sleep":   sim.advanceWithoutTicks,
			"pause":   sim.togglePause,
			"crash":   sim.restartDaemon,
			"stop":    sim.stopDaemon,
			"inherit": sim.handOver,
			"leave":   sim.toggleLeaving,
		})
	})
}

// totals sums up the steps and answers of all runs.
type totals struct {
	runs, steps, ids, starts int
	answers                  map[filbertford.Code]int
}

func (t *totals) add(sim *simulation) {
	if t.answers == nil {
		t.answers = make(map[filbertford.Code]int)
	}
	t.runs++
	t.steps += sim.steps
	t.ids += len(sim.submissions)
	for _, h := range sim.submissions {
		for _, n := range h.starts {
			t.starts += n
		}
		for _, a := range h.answers {
			t.answers[a.Code()]++
		}
	}
}

func (t *totals) String() string {
	return fmt.Sprintf("%d runs, %d steps, %d submissions, %d starts, answers %v", t.runs, t.steps, t.ids, t.starts, t.answers)
}

func (sim *simulation) checkViolations(t *rapid.T) {
	sim.steps++
	if len(sim.violations) > 0 {
		t.Fatalf("%v", sim.violations)
	}
}

func (sim *simulation) drawDaemon(t *rapid.T) *testDaemon {
	return sim.daemons[drawIndex(t, len(sim.daemons), "daemon")]
}

func (sim *simulation) submitNew(t *rapid.T) {
	d := sim.drawDaemon(t)
	token := d.core.Token(sim.now)
	if token.IsZero() || d.paused {
		return
	}
	id, err := filbertford.MintID(token, "u"+strconv.Itoa(len(sim.submissions)))
	if err != nil {
		t.Fatal(err)
	}
	count := rapid.IntRange(1, 4).Draw(t, "tasks")
	tasks := make([]filbertford.Task, count)
	for i := range tasks {
		tasks[i] = filbertford.NewTask(fmt.Appendf(nil, "%s#%d", id, i), 0)
	}
	timeout := time.Duration(rapid.IntRange(1, 20).Draw(t, "timeout")) * time.Second
	h := &submissionHistory{
		id: id, tasks: count, starts: make([]int, count),
		job: filbertford.NewJob("depot", "ordering", tasks...).WithTimeout(timeout),
	}
	sim.submissions = append(sim.submissions, h)
	sim.byID[id.String()] = h
	sim.sendDelivery(h, sim.drawDaemon(t))
}

func (sim *simulation) resubmit(t *rapid.T) {
	if len(sim.submissions) > 0 {
		sim.sendDelivery(sim.submissions[drawIndex(t, len(sim.submissions), "id")], sim.drawDaemon(t))
	}
}

func (sim *simulation) cancel(t *rapid.T) {
	d := sim.drawDaemon(t)
	if len(sim.submissions) == 0 || d.paused || drawIndex(t, 4, "seldom") > 0 {
		return
	}
	h := sim.submissions[drawIndex(t, len(sim.submissions), "id")]
	sim.nextRef++
	d.handle(fbcore.Cancel{Ref: sim.nextRef, ID: h.id})
}

func (sim *simulation) deliverMessage(t *rapid.T) {
	if len(sim.messages) == 0 {
		return
	}
	i := drawIndex(t, len(sim.messages), "letter")
	m := sim.messages[i]
	sim.messages = slices.Delete(sim.messages, i, i+1)
	m.deliver()
}

func (sim *simulation) deliverMessages(t *rapid.T) {
	for range rapid.IntRange(1, 10).Draw(t, "letters") {
		sim.deliverMessage(t)
	}
}

func (sim *simulation) dropMessage(t *rapid.T) {
	if len(sim.messages) == 0 || drawIndex(t, 4, "seldom") > 0 {
		return
	}
	i := drawIndex(t, len(sim.messages), "letter")
	m := sim.messages[i]
	if !m.mayDrop {
		return
	}
	sim.messages = slices.Delete(sim.messages, i, i+1)
	if m.onDrop != nil {
		m.onDrop()
	}
}

func (sim *simulation) duplicateMessage(t *rapid.T) {
	if len(sim.messages) == 0 {
		return
	}
	if m := sim.messages[drawIndex(t, len(sim.messages), "letter")]; m.mayDuplicate {
		if m.kind == "delivery" || m.kind == "forward" {
			sim.countDuplicate(m)
		}
		sim.send(m)
	}
}

// countDuplicate counts a duplicated delivery, because the answer that one delivery
// started nothing does not rule out that the other one did. A message does not name
// its submission, so the delivery is counted for all of them.
func (sim *simulation) countDuplicate(message) {
	for _, h := range sim.submissions {
		h.deliveries++
	}
}

// drawTask draws a target and one of its running tasks, nil if it has none.
func (sim *simulation) drawTask(t *rapid.T) (*fakeTarget, *fakeStart) {
	target := sim.targets[drawIndex(t, len(sim.targets), "target")]
	ids := sortedIDs(target.running)
	if len(ids) == 0 {
		return nil, nil
	}
	s := target.running[ids[drawIndex(t, len(ids), "task")]]
	return target, s
}

func (sim *simulation) completeTask(t *rapid.T) {
	if target, s := sim.drawTask(t); s != nil {
		delete(target.running, s.request.ID())
		r := filbertford.NewStartResult(filbertford.OutcomeDone).WithOutput(s.request.Args()).WithFreeSlots(simSlots - len(target.running))
		sim.sendReport(s.daemon, s.core, s.request.ID(), r)
	}
}

func (sim *simulation) failTask(t *rapid.T) {
	if drawIndex(t, 8, "seldom") > 0 {
		return
	}
	if target, s := sim.drawTask(t); s != nil {
		delete(target.running, s.request.ID())
		sim.sendReport(s.daemon, s.core, s.request.ID(), filbertford.NewStartResult(filbertford.OutcomeTaskFailed))
	}
}

// advanceAndTick advances the time by up to 400 ms and ticks every daemon that is
// not paused.
func (sim *simulation) advanceAndTick(t *rapid.T) {
	sim.now = sim.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
	sim.expireLeases()
	for _, d := range sim.daemons {
		if !d.paused {
			d.handle(fbcore.Tick{})
		}
	}
}

// advanceWithoutTicks advances the time by up to 25 s without a tick, as if all
// daemons were paused.
func (sim *simulation) advanceWithoutTicks(t *rapid.T) {
	if drawIndex(t, 8, "seldom") > 0 {
		return
	}
	sim.now = sim.now.Add(time.Duration(rapid.IntRange(1, 25).Draw(t, "s")) * time.Second)
	sim.expireLeases()
}

func (sim *simulation) togglePause(t *rapid.T) {
	d := sim.drawDaemon(t)
	d.paused = !d.paused && drawIndex(t, 4, "seldom") == 0
}

func (sim *simulation) restartDaemon(t *rapid.T) {
	if drawIndex(t, 16, "seldom") == 0 {
		sim.startIncarnation(sim.drawDaemon(t))
	}
}

func (sim *simulation) stopDaemon(t *rapid.T) {
	if d := sim.drawDaemon(t); !d.paused && drawIndex(t, 8, "seldom") == 0 {
		d.handle(fbcore.StopRequested{})
	}
}

// handOver sends the table of a drained daemon, or only some parts of it, to a
// successor and replaces the daemon by a new incarnation.
func (sim *simulation) handOver(t *rapid.T) {
	d := sim.drawDaemon(t)
	successor := sim.drawDaemon(t)
	if !d.core.Stopping() || d.paused || successor == d || successor.paused {
		return
	}
	sim.completeTasksOf(d)
	if !d.drained {
		return
	}
	for _, p := range d.core.TableParts(sim.now, 1) {
		if drawIndex(t, 4, "lost") == 0 {
			break
		}
		successor.handle(fbcore.PartReceived{Part: p})
		if rapid.Bool().Draw(t, "twice") {
			successor.handle(fbcore.PartReceived{Part: p})
		}
	}
	sim.startIncarnation(d)
}

// completeTasksOf completes the tasks of a stopping daemon.
func (sim *simulation) completeTasksOf(d *testDaemon) {
	for range 20 {
		for _, target := range sim.targets {
			for _, id := range sortedIDs(target.running) {
				if s := target.running[id]; s.core == d.core {
					delete(target.running, id)
					sim.endStart(d, d.core, id, filbertford.NewStartResult(filbertford.OutcomeDone).WithOutput(s.request.Args()))
				}
			}
		}
		sim.now = sim.now.Add(50 * time.Millisecond)
		d.handle(fbcore.Tick{})
	}
}

func (sim *simulation) toggleLeaving(t *rapid.T) {
	target := sim.targets[drawIndex(t, len(sim.targets), "target")]
	target.leaving = !target.leaving && drawIndex(t, 6, "seldom") == 0
}
