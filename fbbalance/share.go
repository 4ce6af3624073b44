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
	slices.SortFunc(movable, compareJobs)
	roundTrips := make(map[filbertford.PoolID]time.Duration, len(pools))
	for _, p := range pools {
		roundTrips[p.Pool()] = p.RoundTrip()
	}
	var moves []filbertford.Move
	moved := make(map[filbertford.JobKey]bool)
	for _, target := range targets(pools) {
		useful := slices.DeleteFunc(slices.Clone(movable), func(w filbertford.WaitingJob) bool {
			// The recall and its reports take a round trip, the offer half of one.
			return moved[w.Job()] || w.Pool() == target.Pool() || w.LatestStart() < roundTrips[w.Pool()]+target.RoundTrip()/2
		})
		for _, m := range fill(target, share, useful) {
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

// targets returns the pools that can start tasks immediately, the home pool first, then
// those with the most free CPU.
func targets(pools []filbertford.PoolLoad) []filbertford.PoolLoad {
	out := slices.DeleteFunc(slices.Clone(pools), func(p filbertford.PoolLoad) bool {
		return p.Backlog() > 0 || len(p.Free()) == 0
	})
	slices.SortStableFunc(out, func(a, b filbertford.PoolLoad) int {
		if a.Home() != b.Home() {
			if a.Home() {
				return -1
			}
			return 1
		}
		return cmp.Compare(sum(b.Free()), sum(a.Free()))
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

// fill returns the moves to one pool. What the coordinator has already sent there and what
// it moves now doesn't exceed its share of the usable CPU; the pool's draw decides whether
// a job that exceeds it only partly is moved, so that the share is met on average.
func fill(target filbertford.PoolLoad, share float64, movable []filbertford.WaitingJob) []filbertford.Move {
	free := slices.Clone(target.Free())
	smallest := 0
	for _, w := range movable {
		if smallest == 0 || w.CPU() < smallest {
			smallest = w.CPU()
		}
	}
	budget := share*float64(usable(free, smallest)) - float64(target.Pending())
	var moves []filbertford.Move
	for _, w := range movable {
		if budget <= 0 {
			break
		}
		n := min(w.Tasks(), slots(free, w.CPU()))
		if n == 0 || slices.ContainsFunc(moves, func(m filbertford.Move) bool { return m.Job() == w.Job() }) {
			continue
		}
		need := float64(n) * float64(w.CPU())
		if budget <= target.Draw()*need {
			break
		}
		budget -= need
		reserve(free, w.CPU(), n)
		moves = append(moves, filbertford.NewMove(w.Job(), w.Pool(), target.Pool(), n))
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

// usable returns the free CPU that tasks of the given CPU can use.
func usable(free []int, cpu int) int { return slots(free, cpu) * max(1, cpu) }

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

func sum(values []int) int {
	total := 0
	for _, v := range values {
		total += v
	}
	return total
}
