package fbsched

import (
	"fmt"
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// BenchmarkBacklog measures the cost of the end of a run in a pool whose targets are
// full: the poll reply that lists the end, with queues of several lengths, and the next
// start.
func BenchmarkBacklog(b *testing.B) {
	for _, queued := range []int{0, 100, 1000, 4000} {
		for _, s := range []filbertford.Scheduling{
			{},
			filbertford.Scheduling{}.WithOrder(filbertford.OrderByPriority),
			filbertford.Scheduling{}.WithOrder(filbertford.OrderByPriority).WithBackfill(true),
		} {
			b.Run(fmt.Sprintf("queued=%d/order=%s/backfill=%v", queued, s.Order(), s.Backfill()), func(b *testing.B) {
				benchmarkBacklog(b, 88, queued, s)
			})
		}
	}
}

func benchmarkBacklog(b *testing.B, targets, queued int, s filbertford.Scheduling) {
	now := time.Minute
	p := NewPool("nordnes", 1, 1_000_000, now)
	p.SetScheduling(s)
	records := make([]filbertford.TargetRecord, targets)
	for i := range records {
		id := filbertford.TargetID(fmt.Sprintf("t%02d", i))
		records[i] = filbertford.NewTargetRecord(filbertford.NewTargetInstance(id, 1), "ordering", string(id)+":80", "nordnes",
			filbertford.NewResources(16000, 64000, 0), "a", "r1")
	}
	p.SetTargets(now, records)
	ended := make(map[filbertford.TargetID]uint64)
	jobs := 0
	offer := func() {
		jobs++
		step := filbertford.NewStep(1, filbertford.NewResources(7000+jobs%5*500, 64, 0), 100*time.Millisecond)
		batch := NewBatch("nordnes", filbertford.JobKey(fmt.Sprintf("%016x", jobs)), 0, 0, step, []Item{NewItem(0, 0)}).
			WithWork("", "ordering", 3).WithPriority(jobs%3).WithTimes(time.Hour, time.Hour)
		p.Offer(now, "node-1", batch)
	}
	var started []filbertford.StartRunRequest
	act := func() {
		for _, a := range p.TakeActions(now) {
			switch v := a.(type) {
			case PollCall:
				p.HandlePollReply(now, v, filbertford.NewCallReply(filbertford.CallDone, now.Milliseconds()), now, now)
			case StartCall:
				p.HandleStartReply(now, v.Request, filbertford.NewCallReply(filbertford.CallDone, now.Milliseconds()), now, now)
				started = append(started, v.Request)
			}
		}
	}
	act()
	for range 2*targets + queued {
		offer()
	}
	act()
	b.ReportAllocs()
	for b.Loop() {
		now += time.Millisecond
		req := started[0]
		started = started[1:]
		id := req.Instance().ID()
		ended[id]++
		end := filbertford.NewEndedRun(ended[id], req.Task(), req.Run(), filbertford.RunDone)
		poll := filbertford.NewPollRequest(req.Instance(), req.Address(), 1, 0, 0, 0)
		offer()
		var running []filbertford.RunStatus
		for _, s := range started {
			if s.Instance() == req.Instance() {
				running = append(running, filbertford.NewRunStatus(s.Task(), s.Run(), 50))
			}
		}
		answerPoll(p, now, poll, filbertford.NewCallReply(filbertford.CallDone, now.Milliseconds()).WithRuns(running, []filbertford.EndedRun{end}))
		for _, a := range p.TakeActions(now) {
			if v, ok := a.(StartCall); ok {
				started = append(started, v.Request)
			}
		}
	}
}
