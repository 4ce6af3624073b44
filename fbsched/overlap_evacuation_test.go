package fbsched

import "time"

const faultEvacuate faultKind = "data centre is evacuated"

// evacuate evacuates a pool for a time. Its owner and the coordinator learn of the begin and of
// the end at different times, and in some runs the coordinator from the owner's reports only.
func (r *overlapRun) evacuate(f fault, p *overlapPool) {
	told := r.plan.seed%4 > 0
	set := func(n int) {
		p.evacuations += n
		r.after(between(f.random, 0, 500), func() {
			if o := p.owner; !o.stopped {
				r.handle(o, func() { o.pool.SetEvacuated(r.now, p.evacuations > 0) })
			}
		})
		r.after(between(f.random, 0, 500), func() {
			if told {
				r.atCoordinator(func() { r.coordinator.SetEvacuated(r.now, p.id, p.evacuations > 0) })
			}
		})
	}
	set(1)
	r.after(2*f.duration, func() { set(-1) })
}

// evacuateNewOwner tells a new owner whether its pool is evacuated, at once or later.
func (r *overlapRun) evacuateNewOwner(p *overlapPool, o *fakeOwner) {
	if p.evacuations == 0 {
		return
	}
	r.count("owners of evacuated pools")
	if r.random.IntN(2) == 0 {
		o.pool.SetEvacuated(r.now, true)
		return
	}
	o.pool.HoldUntilEvacuationsKnown()
	r.after(time.Second, func() {
		if !o.stopped {
			r.handle(o, func() { o.pool.SetEvacuated(r.now, p.evacuations > 0) })
		}
	})
}
