package fbsched

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// The size of each of the three data centres of runBursts.
const (
	burstCoordinators = 10
	burstTargets      = 30
	burstSlots        = 2 // of each target
)

// burstResult counts the jobs and those within their objective.
type burstResult struct {
	jobs, inTime int
	spread       time.Duration // from the first burst until tasks for at most a quarter of the slots wait
}

// runBursts runs three data centres with the given load for 4 s. Each 0.5 s, jobs for twice the
// slots of the first one arrive there within 20 ms. Reports are up to 215 ms old.
func runBursts(t *testing.T, seed uint64, rebalance bool, load float64) burstResult {
	sim, random, result := newSimulation(0, 0), rand.New(rand.NewPCG(seed, 0)), burstResult{}
	homes := make(map[filbertford.NodeID]filbertford.PoolID)
	sim.linkDelay = func(node filbertford.NodeID, o *fakeOwner) time.Duration {
		if homes[node] == o.pool.ID() {
			return time.Millisecond
		}
		return 15 * time.Millisecond
	}
	for centre := range 3 {
		var records []filbertford.TargetRecord
		for k := range burstTargets {
			records = append(records, sim.addTarget(filbertford.TargetID(fmt.Sprintf("t%d-%02d", centre, k)), burstSlots).rec)
		}
		sim.addPoolOwner(filbertford.NodeID(fmt.Sprintf("o%d", centre)), filbertford.PoolID(fmt.Sprintf("dc%d", centre)), 1, records)
	}
	sim.advance(50 * time.Millisecond)
	for i := range 3 * burstCoordinators {
		node, home := filbertford.NodeID(fmt.Sprintf("c%02d", i)), sim.owners[i/burstCoordinators].pool.ID()
		c := NewCoordinator(home)
		if rebalance {
			setTestBalancer(c, seed+uint64(i))
		}
		homes[node], sim.others[node] = home, c
		for _, o := range sim.owners {
			c.SetOwner(sim.now, o.pool.ID(), o.node, 1)
			period := 60 * time.Millisecond
			if o.pool.ID() != home {
				period = 200 * time.Millisecond
			}
			var report func()
			report = func() {
				capacities := o.pool.Capacities(sim.now)
				sim.after(sim.delayBetween(o, node), func() {
					c.SetCapacities(o.pool.ID(), 1, capacities)
					c.Rebalance(sim.now)
				})
				sim.after(period, report)
			}
			sim.after(time.Duration(random.Int64N(int64(period))), report)
		}
	}
	due := make(map[uint64]time.Duration)
	sim.fleetAnswered = func(_ filbertford.NodeID, a Answer) {
		if a.Answer.Kind() == filbertford.AnswerCompleted && sim.now <= due[a.RequestID] {
			result.inTime++
		}
	}
	submit := func(centre int) {
		vary := func() float64 { return 0.6 + 0.8*random.Float64() }
		priority := random.IntN(3)
		tasks, work := []int{8, 2, 4}[priority], []time.Duration{60, 200, 900}[priority]*time.Millisecond
		tasks, work = int(float64(tasks)*vary()), time.Duration(float64(work)*vary())
		result.jobs++
		request, key := uint64(result.jobs), jobKey(result.jobs)
		sim.works[key], due[request] = work, sim.now+time.Duration(1.6*float64(work))+60*time.Millisecond
		step := filbertford.NewStep(max(1, tasks), filbertford.NewResources(1000, 1, 0), time.Duration(float64(work)*vary()))
		route := filbertford.NewRoute("host", "/jobs/", "ordering").WithPolicy(priority, 3).WithObjective(1.6, 60*time.Millisecond, 0)
		node := filbertford.NodeID(fmt.Sprintf("c%02d", centre*burstCoordinators+random.IntN(burstCoordinators)))
		sim.others[node].Submit(sim.now, request, route, filbertford.NewWorkload(key, "spec", step).WithBestEffort(true), 1500*time.Millisecond)
	}
	const meanTasks, meanWork = 14 / 3, (8*0.06 + 2*0.2 + 4*0.9) / 3 // of a job; the work in seconds
	for centre := range 3 {
		for at := time.Duration(0); at < 4*time.Second; at += time.Duration(random.ExpFloat64() * meanWork / (load * burstTargets * burstSlots) * float64(time.Second)) {
			sim.after(at, func() { submit(centre) })
		}
	}
	for at := time.Second; at < 4*time.Second; at += 500 * time.Millisecond {
		for range 2 * burstTargets * burstSlots / meanTasks {
			sim.after(at+time.Duration(random.Int64N(int64(20*time.Millisecond))), func() { submit(0) })
		}
	}
	sim.advance(time.Second)
	for home := sim.owners[0].pool; result.spread < 20*time.Millisecond || home.Queued() > burstTargets*burstSlots/4; result.spread += 5 * time.Millisecond {
		sim.advance(5 * time.Millisecond)
	}
	sim.advance(6 * time.Second)
	if len(sim.violations) > 0 {
		t.Fatal(sim.violations)
	}
	return result
}

// TestBurstSpreads guards against tasks that stay in the queue of a data centre with a burst
// while targets elsewhere are free: coordinators that don't know of each other all fill the
// targets at home first.
func TestBurstSpreads(t *testing.T) {
	for name, load := range map[string]float64{"low load": 0.2, "medium load": 0.5} {
		t.Run(name, func(t *testing.T) {
			var today, balanced burstResult
			for seed := range uint64(2) {
				for _, r := range []struct {
					sum       *burstResult
					rebalance bool
				}{{&today, false}, {&balanced, true}} {
					one := runBursts(t, seed, r.rebalance, load)
					r.sum.jobs, r.sum.inTime, r.sum.spread = r.sum.jobs+one.jobs, r.sum.inTime+one.inTime, max(r.sum.spread, one.spread)
				}
			}
			t.Logf("in time %d of %d, was %d; spread in %v, was %v", balanced.inTime, balanced.jobs, today.inTime, balanced.spread, today.spread)
			if balanced.inTime <= today.inTime || balanced.spread > 100*time.Millisecond {
				t.Error("want more jobs in time, and the burst to spread within 100 ms")
			}
		})
	}
}
