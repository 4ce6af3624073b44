package fbsched

import (
	"maps"
	"time"

	"github.com/filbertford/filbertford"
)

// endSearch returns a task that is surely not here.
func (p *Pool) endSearch(now time.Duration, t *task) {
	if t.run == nil && p.live[t.key] == nil && p.surelyOver(now, t) {
		delete(p.tasks, t.key)
		p.returnTask(t, VerdictAbsent)
	}
}

// releaseEnds lets targets forget the ends of a job that is over.
func (p *Pool) releaseEnds(now time.Duration, job filbertford.JobKey) {
	for key, f := range p.finished {
		if key.Job() == job {
			f.repeat = 0
			p.finished[key] = f
		}
	}
	for _, t := range p.order {
		n := len(t.unconfirmed) + len(t.foreign)
		maps.DeleteFunc(t.unconfirmed, func(_ uint64, u Confirm) bool { return u.task.Job() == job })
		maps.DeleteFunc(t.foreign, func(_ uint64, e foreignEnd) bool { return e.task.Job() == job })
		if len(t.unconfirmed)+len(t.foreign) < n {
			p.look(now, t)
		}
	}
}

// Confirm takes in that the end of a task, or its failed runs, are recorded.
func (p *Pool) Confirm(now time.Duration, c Confirm) {
	if f, ok := p.finished[c.task]; ok && (c.done || c.failures >= f.failures) {
		f.repeat, f.kept = 0, now-f.at+memoryTerm
		p.finished[c.task] = f
	}
	for _, t := range p.order {
		if t.confirm(c) {
			p.look(now, t)
		}
	}
}

// tendStored returns what was searched for in vain, drops what no coordinator
// has taken over, and reports ends again that are not confirmed.
func (p *Pool) tendStored(now time.Duration) {
	for _, t := range p.tasks {
		if t.search {
			p.endSearch(now, t)
		}
	}
	p.drop(now, func(t *task) bool { return t.parked != 0 && now-t.parked > parkTerm }, "no coordinator")
	for key, f := range p.finished {
		if f.repeat != 0 && now >= f.repeat {
			f.repeat = now + repeatPeriod
			p.finished[key] = f
			p.report(f.coordinator, key, f.verdict, f.failures)
		}
	}
}
