package fbbalance

import (
	"cmp"
	"slices"
	"time"

	"github.com/filbertford/filbertford"
)

// Share is a Balancer for coordinators that don't know of each other's decisions. Each
// takes the part of a pool's free CPU that corresponds to its part of all waiting work,
// so that together they take about what is free, however many they are. Its zero value
// is ready to use.
type Share struct{}

var _ filbertford.Balancer = Share{}

// Moves implements filbertford.Balancer.
//
// The home pool is filled first, because tasks sent to it cross no link between data
// centres. Jobs that can't meet their objective after a move stay: the free targets are of
// more use to jobs that can, and a late result isn't worth the bytes. The others move by
// priority, then those with the most time left first, since the pool in which they wait
// starts its most urgent tasks itself. The tasks of a job move together if the free targets
// hold them all.
func (Share) Moves(pools []filbertford.PoolLoad, waiting []filbertford.WaitingJob) []filbertford.Move {
	sources := backlogs(pools)
	share := ownShare(sources, waiting)
	if share == 0 {
		return nil
	}
	movable := slices.DeleteFunc(slices.Clone(waiting), func(w filbertford.WaitingJob) bool {
		return !w.Movable() || sources[w.Pool()] == 0
	})
	if len(movable) == 0 {
		return nil
	}
	open := targets(pools, share, movable)
	if len(open) == 0 {
		return nil
	}
	slices.SortFunc(movable, compareJobs)
	roundTrips := make(map[filbertford.PoolID]time.Duration, len(pools))
	for _, p := range pools {
		roundTrips[p.Pool()] = p.RoundTrip()
	}
	var moves []filbertford.Move
	moved := make(map[filbertford.JobKey]bool)
	for _, target := range open {
		useful := slices.DeleteFunc(slices.Clone(movable), func(w filbertford.WaitingJob) bool {
			// The recall and its reports take a round trip, the offer half of one.
			return moved[w.Job()] || w.Pool() == target.Pool() || w.LatestStart() < roundTrips[w.Pool()]+target.RoundTrip()/2
		})
		for _, m := range target.fill(useful) {
			moved[m.Job()] = true
			moves = append(moves, m)
		}
	}
	return moves
}

// backlogs returns the waiting work of each pool with a backlog, in thousandths of a core
// times nanoseconds.
func backlogs(pools []filbertford.PoolLoad) map[filbertford.PoolID]float64 {
	out := make(map[filbertford.PoolID]float64)
	for _, p := range pools {
		if p.Backlog() > 0 && p.Total() > 0 {
			out[p.Pool()] = float64(p.Backlog()) * float64(p.Total())
		}
	}
	return out
}

// ownShare returns the part of the pools' waiting work that is the coordinator's, from 0
// to 1.
func ownShare(sources map[filbertford.PoolID]float64, waiting []filbertford.WaitingJob) float64 {
	own, all := 0.0, 0.0
	for _, w := range waiting {
		if sources[w.Pool()] > 0 {
			own += float64(w.Tasks()) * float64(w.CPU()) * float64(w.Estimate())
		}
	}
	if own == 0 {
		return 0
	}
	for _, work := range sources {
		all += work
	}
	return min(1, own/all)
}

// target is a pool that can start tasks immediately, with the CPU, in thousandths of a core,
// that the coordinator may take there.
type target struct {
	filbertford.PoolLoad
	usable int
	budget float64
}

// targets returns the pools that can start some of the tasks immediately, the home pool first,
// then those with the most usable CPU. The budget is the coordinator's share of it, less what
// the coordinator has already sent there.
func targets(pools []filbertford.PoolLoad, share float64, movable []filbertford.WaitingJob) []target {
	smallest := slices.MinFunc(movable, func(a, b filbertford.WaitingJob) int { return cmp.Compare(a.CPU(), b.CPU()) }).CPU()
	var out []target
	for _, p := range pools {
		usable := slots(p.Free(), smallest) * max(1, smallest)
		budget := share*float64(usable) - float64(p.Pending())
		if p.Backlog() == 0 && budget > 0 {
			out = append(out, target{PoolLoad: p, usable: usable, budget: budget})
		}
	}
	slices.SortStableFunc(out, func(a, b target) int {
		switch {
		case a.Home() == b.Home():
			return cmp.Compare(b.usable, a.usable)
		case a.Home():
			return -1
		}
		return 1
	})
	return out
}

// compareJobs orders jobs for moves.
func compareJobs(a, b filbertford.WaitingJob) int {
	return cmp.Or(
		cmp.Compare(a.Priority(), b.Priority()),
		cmp.Compare(b.LatestStart(), a.LatestStart()),
		cmp.Compare(a.Job(), b.Job()),
		cmp.Compare(a.Pool(), b.Pool()),
	)
}

// fill returns the moves of the jobs to the pool, which don't exceed the budget. The pool's
// draw decides whether a job that exceeds it only partly is moved, so that the budget is met on
// average.
func (t target) fill(jobs []filbertford.WaitingJob) []filbertford.Move {
	free, budget := slices.Clone(t.Free()), t.budget
	moved := make(map[filbertford.JobKey]bool)
	var moves []filbertford.Move
	for _, w := range jobs {
		n := min(w.Tasks(), slots(free, w.CPU()))
		if n == 0 || moved[w.Job()] {
			continue
		}
		need := float64(n) * float64(w.CPU())
		if budget <= t.Draw()*need {
			break
		}
		budget -= need
		reserve(free, w.CPU(), n)
		moved[w.Job()] = true
		moves = append(moves, filbertford.NewMove(w.Job(), w.Pool(), t.Pool(), n))
	}
	return moves
}

// slots returns how many tasks fit on the targets with the free CPU.
func slots(free []int, cpu int) int {
	n := 0
	for _, f := range free {
		n += f / max(1, cpu)
	}
	return n
}

// reserve subtracts the CPU of n tasks, each from the target with the least sufficient
// free CPU.
func reserve(free []int, cpu, n int) {
	for ; n > 0; n-- {
		best := -1
		for i, f := range free {
			if f >= cpu && (best < 0 || f < free[best]) {
				best = i
			}
		}
		if best < 0 {
			return
		}
		free[best] -= cpu
	}
}
