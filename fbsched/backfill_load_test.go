package fbsched

import (
	"fmt"
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// largeCPU is the demand, in thousandths of a core, from which a task doesn't fit on a target
// of 32 cores when one of two small tasks there has ended.
const largeCPU = 20_000

func isLarge(j *offeredJob) bool { return j.cpu >= largeCPU }
func isSmall(j *offeredJob) bool { return j.cpu < largeCPU }

// waits returns the mean and the maximum of the time until the start of the matching jobs of
// one task. One that never started counts as waiting for three objectives.
func waits(jobs []*offeredJob, match func(*offeredJob) bool) (mean, longest time.Duration) {
	n := 0
	for _, j := range jobs {
		if !match(j) {
			continue
		}
		wait := j.firstStart
		if wait == 0 {
			wait = 3 * j.due
		}
		mean, longest, n = mean+wait, max(longest, wait), n+1
	}
	return mean / time.Duration(n), longest
}

// sizesLoad is a load of small tasks, two of which fill most of a target, and of a tenth of
// large ones.
func sizesLoad(load, estimateError float64) poolLoad {
	const run = 300 * time.Millisecond
	return poolLoad{targets: 30, cpu: 32_000, duration: 3 * time.Second, estimateError: estimateError, classes: []loadClass{
		{tasks: 1, duration: run, minCPU: 12_800, maxCPU: 16_000, load: 0.9 * load},
		{tasks: 1, duration: run, minCPU: largeCPU, maxCPU: 24_000, load: 0.1 * load},
	}}
}

// TestWaitsBySize guards against large tasks that wait while small ones fill every gap, against
// reservations that delay the small ones beyond what their objective allows, and against tasks
// that are started twice or never because estimates are wrong.
func TestWaitsBySize(t *testing.T) {
	const longestRun = 420 * time.Millisecond
	tests := map[string]struct {
		load, estimateError float64
		bound               time.Duration // of the wait of large tasks
	}{
		// A target is free when the longest run there has ended, a quarter later at most.
		"nearly full":                  {load: 0.85, bound: longestRun * 5 / 4},
		"nearly full, wrong estimates": {load: 0.85, estimateError: 10},
		"above capacity":               {load: 1.3},
		"above, wrong estimates":       {load: 1.3, estimateError: 10},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l := sizesLoad(tt.load, tt.estimateError)
			for _, order := range []filbertford.QueueOrder{filbertford.OrderByDeadline, filbertford.OrderByPriority} {
				var meanBefore time.Duration
				for _, on := range []bool{false, true} {
					l.scheduling = filbertford.Scheduling{}.WithOrder(order).WithBackfill(on)
					sim, jobs := l.run(1)
					small, large := servedShare(jobs, isSmall), servedShare(jobs, isLarge)
					smallMean, smallLongest := waits(jobs, isSmall)
					largeMean, largeLongest := waits(jobs, isLarge)
					t.Logf("order %s, backfill %v: small wait %v, at most %v, served %.2f; large %v, %v, %.2f; %d reserved, %d used, %d ended, %d backfilled",
						order, on, smallMean, smallLongest, small, largeMean, largeLongest, large,
						sim.countEvents(EventTargetReserved), sim.countEvents(EventReservationUsed), sim.countEvents(EventReservationEnded), sim.countEvents(EventRunBackfilled))
					if pool := sim.owners[0].pool; len(sim.violations) > 0 || pool.Queued()+pool.Running() > 0 {
						t.Errorf("%v; %d tasks wait and %d run after the load", sim.violations, pool.Queued(), pool.Running())
					}
					if !on {
						meanBefore = smallMean
						continue
					}
					if slack := objectiveOf(l.classes[0].duration) - l.classes[0].duration; smallMean > meanBefore+slack {
						t.Errorf("small tasks wait %v, without reservations %v, want at most %v more", smallMean, meanBefore, slack)
					}
					if tt.estimateError == 0 && large < small/2 {
						t.Errorf("large tasks are served %.2f, small ones %.2f", large, small)
					}
					if tt.bound > 0 && largeLongest > tt.bound {
						t.Errorf("a large task waited %v, want at most %v", largeLongest, tt.bound)
					}
				}
			}
		})
	}
}

// TestReservationFailures guards against a reservation that outlives its target or its owner
// and keeps a large task waiting, or leads to a second run.
func TestReservationFailures(t *testing.T) {
	tests := map[string]func(sim *simulation, reserved *fakeTarget) (owner *fakeOwner){
		"target is lost": func(sim *simulation, reserved *fakeTarget) *fakeOwner {
			reserved.down = true
			return sim.owners[0]
		},
		"target is full": func(sim *simulation, reserved *fakeTarget) *fakeOwner {
			reserved.busy = true
			return sim.owners[0]
		},
		"owner is replaced": func(sim *simulation, _ *fakeTarget) *fakeOwner {
			sim.owners[0].stopped = true
			o := sim.addOwner("b", 2)
			o.pool.SetScheduling(sim.owners[0].pool.scheduling)
			return o
		},
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(4, 32)
			o := sim.addOwner("a", 1)
			o.pool.SetScheduling(filbertford.Scheduling{}.WithBackfill(true))
			sim.advance(300 * time.Millisecond)
			jobs, large := 0, filbertford.JobKey("00000000000000ff")
			offer := func(key filbertford.JobKey, cpu int, resume bool) {
				step := filbertford.NewStep(1, filbertford.NewResources(cpu, 1, 0), 400*time.Millisecond)
				b := NewBatch(testPool, key, 0, 0, step, []Item{NewItem(0, 0)}).WithWork("", "ordering", 3).WithTimes(time.Second, 5*time.Second)
				if resume {
					b = b.WithResume(0)
				}
				sim.works[key] = 400 * time.Millisecond
				o.pool.Offer(sim.now, sim.node, b.WithFence(o.pool.Fence()))
				sim.flush()
			}
			small := func() {
				jobs++
				offer(filbertford.JobKey(fmt.Sprintf("%016x", jobs)), 14_000, false)
			}
			for range 8 {
				small()
				sim.advance(20 * time.Millisecond)
			}
			offer(large, 24_000, false)
			for range 4 { // these find the gaps that the first ends leave
				small()
			}
			sim.advance(250 * time.Millisecond)
			reservations := o.pool.backfill.plan.All()
			if len(reservations) != 1 || reservations[0].Task().Job() != large {
				t.Fatalf("reservations are %v, want one for the large task", reservations)
			}
			before := o
			if o = fault(sim, sim.targets[reservations[0].Target()]); o != before {
				for n := range jobs {
					if key := filbertford.JobKey(fmt.Sprintf("%016x", n+1)); sim.done[filbertford.NewTaskKey(key, 0, 0, 0)] == 0 {
						offer(key, 14_000, true)
					}
				}
				offer(large, 24_000, true)
			}
			for range 30 {
				small()
				sim.advance(50 * time.Millisecond)
			}
			sim.advance(2 * time.Second)
			if n := sim.done[filbertford.NewTaskKey(large, 0, 0, 0)]; n != 1 || len(sim.violations) > 0 {
				t.Errorf("the large task was done %d times, %v", n, sim.violations)
			}
			if n := len(o.pool.backfill.plan.All()); n > 0 {
				t.Errorf("%d reservations are left", n)
			}
		})
	}
}
