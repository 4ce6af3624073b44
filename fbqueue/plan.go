package fbqueue

import (
	"cmp"
	"slices"
	"time"

	"github.com/filbertford/filbertford"
)

const (
	// lateShare is the part of its expected time by which the run that a reservation
	// waits for may be late: callers' estimates usually vary by less.
	lateShare = 0.25
	// minLateness is the least that it may be late. The end of a run becomes known with
	// the reply to a poll, and targets are polled every 15 ms at most.
	minLateness = 20 * time.Millisecond
)

// Plan implements filbertford.ReservationPlan.
type Plan struct {
	reservations []filbertford.Reservation
}

var _ filbertford.ReservationPlan = (*Plan)(nil)

// NewPlan returns a plan without reservations.
func NewPlan() *Plan { return &Plan{} }

// All implements filbertford.ReservationPlan.
func (p *Plan) All() []filbertford.Reservation { return p.reservations }

// ForTask implements filbertford.ReservationPlan.
func (p *Plan) ForTask(task filbertford.TaskKey) (filbertford.Reservation, bool) {
	for _, r := range p.reservations {
		if r.Task() == task {
			return r, true
		}
	}
	return filbertford.Reservation{}, false
}

// Reserved implements filbertford.ReservationPlan.
func (p *Plan) Reserved(target filbertford.TargetID) bool {
	return slices.ContainsFunc(p.reservations, func(r filbertford.Reservation) bool { return r.Target() == target })
}

// Release implements filbertford.ReservationPlan.
func (p *Plan) Release(task filbertford.TaskKey) {
	p.reservations = slices.DeleteFunc(slices.Clone(p.reservations), func(r filbertford.Reservation) bool { return r.Task() == task })
}

// Reserve implements filbertford.ReservationPlan. It chooses the target on which the task is
// expected to end first. A task that can still meet its objective, but wouldn't with the
// reservation, gets none: the target would be kept in vain.
func (p *Plan) Reserve(now time.Duration, t filbertford.LargeTask, targets []filbertford.TargetOutlook) (filbertford.Reservation, bool) {
	var best filbertford.Reservation
	bestEnd, found := time.Duration(0), false
	minFactor := 0.0
	for i, o := range targets {
		if i == 0 || o.Factor() < minFactor {
			minFactor = o.Factor()
		}
		if p.Reserved(o.ID()) {
			continue
		}
		at, margin, ok := freeAt(now, t.Demand(), o)
		end := at + scaled(t.Estimate(), o.Factor())
		if ok && (!found || end < bestEnd) {
			best, bestEnd, found = filbertford.NewReservation(t, o.ID(), now, at, at+margin), end, true
		}
	}
	inTime := now+scaled(t.Estimate(), minFactor) <= t.Due()
	if !found || inTime && bestEnd > t.Due() {
		return filbertford.Reservation{}, false
	}
	p.reservations = append(p.reservations, best)
	slices.SortStableFunc(p.reservations, func(a, b filbertford.Reservation) int { return cmp.Compare(a.At(), b.At()) })
	return best, true
}

// freeAt returns when the target is expected to have enough free for the demand, and how
// much later it may be.
func freeAt(now time.Duration, demand filbertford.Resources, o filbertford.TargetOutlook) (at, margin time.Duration, ok bool) {
	if demand.Fits(o.FreeAt(now)) {
		return now, minLateness, true
	}
	for _, r := range o.Runs() {
		if (!ok || r.End() < at) && demand.Fits(o.FreeAt(r.End())) {
			at, margin, ok = max(now, r.End()), max(minLateness, scaled(r.Expected(), lateShare)), true
		}
	}
	return at, margin, ok
}

func scaled(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
