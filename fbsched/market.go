package fbsched

import (
	"math"
	"time"

	"github.com/filbertford/filbertford"
)

// opening is a target that can take another task, with its room.
type opening struct {
	target *target
	factor float64 // by which a run takes longer than estimated
	free   filbertford.Demand
	closed bool // it takes no more
}

// market holds the openings for a service at one moment.
type market struct {
	openings []opening
	most     filbertford.Demand // no opening has more of anything
	fastest  float64            // the least factor of any usable target, full ones too
}

// markets returns the openings of the pool by service.
func (p *Pool) markets(now time.Duration) map[string]*market {
	out := make(map[string]*market, 1)
	for _, t := range p.order {
		service := t.rec.Service()
		if !p.usable(now, t, service) {
			continue
		}
		m := out[service]
		if m == nil {
			m = &market{fastest: math.Inf(1)}
			out[service] = m
		}
		factor := p.factorOf(t)
		m.fastest = min(m.fastest, factor)
		free := t.rec.Capacity().Minus(t.used)
		if !t.health.takes(now, len(t.runs)) {
			continue
		}
		m.most = m.most.Most(free)
		m.openings = append(m.openings, opening{target: t, factor: factor, free: free})
	}
	return out
}

// take lowers the room of an opening by what a task demands.
func (m *market) take(o *opening, d filbertford.Demand) {
	o.free = o.free.Minus(d)
	m.most = filbertford.Demand{}
	for i := range m.openings {
		if !m.openings[i].closed {
			m.most = m.most.Most(m.openings[i].free)
		}
	}
}
