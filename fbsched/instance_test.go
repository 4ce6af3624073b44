package fbsched

import (
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// TestRunOnRestartedTargetIsNotRepeated checks a target that starts again under its ID
// before its new record is read: a task that was started on the new instance keeps its run.
func TestRunOnRestartedTargetIsNotRepeated(t *testing.T) {
	tests := map[string]struct {
		replied bool // the start is answered
		listed  bool // the new instance lists the run before its record is read
	}{
		"run is listed before the record": {replied: true, listed: true},
		"start is answered only":          {replied: true},
		"start is not answered":           {},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Minute
			p := NewPool(testPool, 1, 1_000_000, now)
			p.SetTargets(now, []filbertford.TargetRecord{recordOf("t00", 1), recordOf("t01", 1)})
			for _, id := range []filbertford.TargetID{"t00", "t01"} {
				answerLists(p, now, id, 1, 500_000)
			}
			p.targets["t01"].fullUntil = now + 30*time.Millisecond // so that t00 gets the task
			p.TakeActions(now)

			step := filbertford.NewStep(1, filbertford.NewResources(1000, 1, 0), time.Second)
			p.Offer(now, "c", NewBatch(testPool, "00000000000000aa", 0, 0, step, []Item{NewItem(0, 0)}).
				WithWork("", "ordering", 3).WithTimes(time.Second, time.Minute).WithFence(1))
			started := startCalls(p.TakeActions(now))
			if len(started) != 1 || started[0].Instance().ID() != "t00" {
				t.Fatalf("starts are %v, want one on t00", started)
			}
			sent := now
			now += 5 * time.Millisecond
			if tt.replied {
				p.HandleStartReply(now, started[0], filbertford.NewCallReply(filbertford.CallDone, 40), sent, now)
			}
			run := filbertford.NewRunStatus(started[0].Task(), started[0].Run(), 10)
			if tt.listed {
				now += 20 * time.Millisecond
				answerLists(p, now, "t00", 2, 65, run)
			}
			now += 100 * time.Millisecond
			p.SetTargets(now, []filbertford.TargetRecord{recordOf("t00", 2), recordOf("t01", 1)})
			p.Tick(now, 1_000_000)
			if again := startCalls(p.TakeActions(now)); len(again) > 0 {
				t.Fatalf("the task was started again on %s", again[0].Instance().ID())
			}
			now += 20 * time.Millisecond
			answerLists(p, now, "t00", 2, 200, run)
			p.Tick(now, 1_000_000)
			if again := startCalls(p.TakeActions(now)); len(again) > 0 {
				t.Fatalf("the task was started again on %s", again[0].Instance().ID())
			}
			if r := p.activeRuns[started[0].Task()]; r == nil || r.target.id() != "t00" || r.task == nil || !r.listed {
				t.Error("the run is not assigned to its task")
			}
		})
	}
}

// TestRestartedTargetIsUsedByItsClock checks that runs on a target that has started again are listed, end and
// are acknowledged by the new instance's clock and sequence, once its record has been read or hasn't been for
// too long.
func TestRestartedTargetIsUsedByItsClock(t *testing.T) {
	for name, read := range map[string]bool{"record is read": true, "store isn't reached": false} {
		t.Run(name, func(t *testing.T) { checkUseAfterRestart(t, read) })
	}
}

// checkUseAfterRestart checks a target whose new record is read at once, or not at all.
func checkUseAfterRestart(t *testing.T, read bool) {
	t.Helper()
	now := time.Minute
	p := NewPool(testPool, 1, 1_000_000, now)
	p.SetTargets(now, []filbertford.TargetRecord{recordOf("t00", 1)})
	earlier := filbertford.NewEndedRun(7, filbertford.NewTaskKey("0000000000000001", 0, 0, 0), 3, filbertford.RunDone)
	answerPoll(p, now, pollOf(p, "t00"), filbertford.NewCallReply(filbertford.CallDone, 500_000).WithStartedAt(1).
		WithRuns(nil, []filbertford.EndedRun{earlier}))
	now += time.Second
	clock := int64(30)
	answerLists(p, now, "t00", 2, clock)
	step := filbertford.NewStep(1, filbertford.NewResources(1000, 1, 0), time.Second)
	p.Offer(now, "c", NewBatch(testPool, "00000000000000aa", 0, 0, step, []Item{NewItem(0, 0)}).
		WithWork("", "ordering", 3).WithTimes(time.Second, time.Minute).WithFence(1))
	if n := len(startCalls(p.TakeActions(now))); n != 0 {
		t.Fatalf("%d starts before the record of the new instance is read, want 0", n)
	}
	if read {
		p.SetTargets(now, []filbertford.TargetRecord{recordOf("t00", 2)})
	} else {
		now, clock = now+unreadTimeout, clock+unreadTimeout.Milliseconds()
		p.Tick(now, 1_000_000)
		answerLists(p, now, "t00", 2, clock)
	}
	started := startCalls(p.TakeActions(now))
	if len(started) != 1 {
		t.Fatalf("%d starts, want 1", len(started))
	}
	if lease := started[0].Lease(); lease > clock+2*maxLease.Milliseconds() {
		t.Errorf("the start's lease ends at %d by the clock of the earlier instance", lease)
	}
	now += 10 * time.Millisecond
	p.HandleStartReply(now, started[0], filbertford.NewCallReply(filbertford.CallDone, clock+10), now, now)
	now += 10 * time.Millisecond
	ended := filbertford.NewEndedRun(1, started[0].Task(), started[0].Run(), filbertford.RunDone)
	answerPoll(p, now, pollOf(p, "t00"), filbertford.NewCallReply(filbertford.CallDone, clock+20).WithStartedAt(2).
		WithRuns(nil, []filbertford.EndedRun{ended}))
	var status Status
	for _, a := range p.TakeActions(now) {
		if r, ok := a.(SendReport); ok {
			status = r.Report.Status()
		}
	}
	if status != StatusDone {
		t.Errorf("the task is reported as %q, want %q", status, StatusDone)
	}
	if n := p.targets["t00"].lastAckable(); n != 1 {
		t.Errorf("ended runs up to %d are to be acknowledged, want 1", n)
	}
}

// TestTargetRestartsWithEarlierTime checks a target that starts again under its ID after its time
// of day was set back.
func TestTargetRestartsWithEarlierTime(t *testing.T) {
	sim := newSimulation(1, 4)
	target := sim.targets["t00"]
	target.restart("t00", 1000)
	o := sim.addOwner("a", 1)
	sim.advance(30 * time.Millisecond)
	sim.announceOwner(o)
	target.restart("t00", 999)
	sim.advance(2 * time.Second)
	o.pool.SetTargets(sim.now, sim.records())
	sim.submit(1, "00000000000000aa", 1)
	sim.advance(2 * time.Second)
	if got := sim.answers[1]; got != filbertford.AnswerCompleted {
		t.Errorf("answer is %q, want completed", got)
	}
}

// TestStopAtEarlierInstanceDoesNotCount checks a start that is still under way when its target,
// which has confirmed a stop of the run, starts again: the new instance doesn't know of the stop.
func TestStopAtEarlierInstanceDoesNotCount(t *testing.T) {
	for name, startedAt := range map[string]int64{"record has the start time": 1, "record has no start time": 0} {
		t.Run(name, func(t *testing.T) {
			now := time.Minute
			p := NewPool(testPool, 1, 1_000_000, now)
			p.SetTargets(now, []filbertford.TargetRecord{recordOf("t00", startedAt)})
			answerLists(p, now, "t00", 1, 500_000)
			p.TakeActions(now)
			step := filbertford.NewStep(1, filbertford.NewResources(1000, 1, 0), time.Second)
			p.Offer(now, "c", NewBatch(testPool, "00000000000000aa", 0, 0, step, []Item{NewItem(0, 0)}).
				WithWork("", "ordering", 3).WithTimes(time.Minute, time.Minute).WithFence(1))
			start := startCalls(p.TakeActions(now))[0]
			sent := now
			now += 50 * time.Millisecond
			p.HandleStartReply(now, start, filbertford.NewCallReply(filbertford.CallUnknown, 0), sent, now)
			answerLists(p, now, "t00", 1, 500_050)
			stops := stopCalls(p.TakeActions(now))
			if len(stops) != 1 {
				t.Fatalf("%d stops, want 1", len(stops))
			}
			confirm := func() {
				p.HandleStopReply(now, stops[0], filbertford.NewCallReply(filbertford.CallDone, 500_060), now, now)
			}
			if startedAt != 0 {
				confirm()
			}
			now += 20 * time.Millisecond
			answerLists(p, now, "t00", 2, 10)
			if startedAt == 0 {
				confirm() // late
			}
			now += 20 * time.Millisecond
			answerLists(p, now, "t00", 2, 30)
			p.Tick(now, 1_000_000)
			actions := p.TakeActions(now)
			if again := startCalls(actions); len(again) > 0 {
				t.Fatalf("the task was started again on %s", again[0].Instance().ID())
			}
			if len(stopCalls(actions)) == 0 {
				t.Error("the run isn't stopped at the new instance")
			}
		})
	}
}

func stopCalls(actions []Action) []filbertford.StopRunRequest {
	var out []filbertford.StopRunRequest
	for _, a := range actions {
		if c, ok := a.(StopCall); ok {
			out = append(out, c.Request)
		}
	}
	return out
}

func recordOf(id filbertford.TargetID, startedAt int64) filbertford.TargetRecord {
	return filbertford.NewTargetRecord(filbertford.NewTargetInstance(id, startedAt), "ordering", string(id)+":80", "nordnes",
		filbertford.NewResources(4000, 1000, 0), "a", "r1")
}

func pollOf(p *Pool, id filbertford.TargetID) filbertford.PollRequest {
	rec := p.targets[id].rec
	return filbertford.NewPollRequest(rec.Instance(), rec.Address(), p.fence, 0, 0, 0)
}

// answerLists answers the last poll of a target as the instance that started at the given
// time, whose clock has the reading and which lists the runs.
func answerLists(p *Pool, now time.Duration, id filbertford.TargetID, startedAt, clock int64, running ...filbertford.RunStatus) {
	answerPoll(p, now, pollOf(p, id), filbertford.NewCallReply(filbertford.CallDone, clock).WithStartedAt(startedAt).WithRuns(running, nil))
}

func startCalls(actions []Action) []filbertford.StartRunRequest {
	var out []filbertford.StartRunRequest
	for _, a := range actions {
		if c, ok := a.(StartCall); ok {
			out = append(out, c.Request)
		}
	}
	return out
}

// TestRecordOfEarlierInstanceKeepsRuns checks a target that starts again after its time of day was
// set back, while the record of its earlier instance is still the one that is read.
func TestRecordOfEarlierInstanceKeepsRuns(t *testing.T) {
	now := time.Minute
	p := NewPool(testPool, 1, 1_000_000, now)
	records := []filbertford.TargetRecord{recordOf("t00", 2000), recordOf("t01", 1)}
	p.SetTargets(now, records)
	answerLists(p, now, "t00", 2000, 500_000)
	answerLists(p, now, "t01", 1, 500_000)
	p.targets["t01"].fullUntil = now + 2*time.Second // so that t00 gets the task
	now += time.Second
	answerPoll(p, now, pollOf(p, "t00"), filbertford.NewCallReply(filbertford.CallDone, 30).WithStartedAt(1000))
	p.SetTargets(now, []filbertford.TargetRecord{recordOf("t00", 1000), recordOf("t01", 1)})
	p.TakeActions(now)

	step := filbertford.NewStep(1, filbertford.NewResources(1000, 1, 0), time.Second)
	p.Offer(now, "c", NewBatch(testPool, "00000000000000aa", 0, 0, step, []Item{NewItem(0, 0)}).
		WithWork("", "ordering", 3).WithTimes(time.Second, time.Minute).WithFence(1))
	started := startCalls(p.TakeActions(now))
	if len(started) != 1 || started[0].Instance().ID() != "t00" {
		t.Fatalf("starts are %v, want one on t00", started)
	}
	now += 5 * time.Millisecond
	p.HandleStartReply(now, started[0], filbertford.NewCallReply(filbertford.CallDone, 35), now, now)
	answerLists(p, now, "t00", 1000, 40, filbertford.NewRunStatus(started[0].Task(), started[0].Run(), 10))
	p.targets["t01"].fullUntil = 0
	p.SetTargets(now, records)
	p.Tick(now, 1_000_000)
	if again := startCalls(p.TakeActions(now)); len(again) > 0 {
		t.Errorf("the task was started again on %s", again[0].Instance().ID())
	}
	answerLists(p, now, "t00", 1000, 45, filbertford.NewRunStatus(started[0].Task(), started[0].Run(), 20))
	now += 20 * time.Millisecond
	if p.SetTargets(now, records); !p.usable(now, p.targets["t00"], "ordering") {
		t.Error("the target isn't usable after it has shown its start time")
	}
}

// TestLeaseOfNewInstanceWaitsForItsLists: the reply to a stop shows that the target has started again.
func TestLeaseOfNewInstanceWaitsForItsLists(t *testing.T) {
	now := time.Minute
	p, first := poolWithRun(t, now)
	p.HandleStartReply(now, first, filbertford.NewCallReply(filbertford.CallUnknown, 0), now, now)
	p.Withdraw(now, "c", "00000000000000aa")
	for _, a := range p.TakeActions(now) {
		if stop, ok := a.(StopCall); ok {
			now += 20 * time.Millisecond
			p.HandleStopReply(now, stop.Request, filbertford.NewCallReply(filbertford.CallDone, 50).WithStartedAt(9), now, now)
		}
	}
	for _, a := range p.TakeActions(now) {
		if c, ok := a.(PollCall); ok && c.Request.Lease() > 0 {
			t.Errorf("the first poll of an instance extends its leases to %d; its clock is at 50", c.Request.Lease())
		}
	}
}
