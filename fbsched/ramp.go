package fbsched

import (
	"time"

	"github.com/filbertford/filbertford"
)

// After an evacuation the load on a target is increased gradually: a target may be cold, that
// is slow, and the tasks that are started on it meanwhile end late.
const (
	// rampTime is the time in which the load grows to the whole capacity of a target that
	// isn't cold, maxRampTime the longest such time for one that is.
	rampTime    = time.Second
	maxRampTime = time.Minute
	// rampStart is the share of its capacity that a target gets at once.
	rampStart = 0.25
	// rampReportPeriod is the time between two reports of the growing capacity.
	rampReportPeriod = 100 * time.Millisecond
	// coldFactor is by how much longer runs are assumed to take on a cold target. The
	// platform doesn't state it; the factor makes warm targets preferred.
	coldFactor = 2
)

// RampFrom sets when the last evacuation of the pool's data centre has ended.
func (p *Pool) RampFrom(ended time.Duration) { p.rampFrom, p.capacityChanged = ended, true }

// SetOthersEvacuated sets whether other data centres are evacuated, so that this pool gets
// their load, and cold targets are to be used last.
func (p *Pool) SetOthersEvacuated(evacuated bool) { p.othersEvacuated = evacuated }

// rampShare returns the share of its capacity that a target may use.
func (p *Pool) rampShare(now time.Duration, t *target) float64 {
	if p.rampFrom == 0 {
		return 1
	}
	end := p.rampFrom + max(rampTime, min(t.coldUntil-p.rampFrom, maxRampTime))
	if now >= end {
		return 1
	}
	return rampStart + (1-rampStart)*float64(now-p.rampFrom)/float64(end-p.rampFrom)
}

// rampedCPU returns the CPU that a target may use, in thousandths of a core.
func (p *Pool) rampedCPU(now time.Duration, t *target) int {
	return int(p.rampShare(now, t) * float64(t.rec.Capacity().CPU()))
}

// free returns the resources of a target that tasks may use. While the load is increased, a
// target without runs takes one task of any size, so that large tasks don't wait for the end.
func (p *Pool) free(now time.Duration, t *target) filbertford.Resources {
	free := t.rec.Capacity().Sub(t.used)
	if p.rampFrom == 0 || len(t.runs) == 0 {
		return free
	}
	return filbertford.NewResources(min(free.CPU(), p.rampedCPU(now, t)-t.used.CPU()), free.Memory(), free.GPU())
}

// coldFactorOf returns the factor by which runs take longer because the target is cold. It is
// 1 unless there is or was an evacuation.
func (p *Pool) coldFactorOf(now time.Duration, t *target) float64 {
	if now < t.coldUntil && (p.othersEvacuated || p.rampShare(now, t) < 1) {
		return coldFactor
	}
	return 1
}

// tickRamp lets the pool start and report what the growing share allows.
func (p *Pool) tickRamp(now time.Duration) {
	if p.rampFrom == 0 {
		return
	}
	if now >= p.nextRampReport {
		p.nextRampReport, p.capacityChanged = now+rampReportPeriod, true
	}
	p.dispatchDue = true
	for _, t := range p.sortedTargets {
		if p.rampShare(now, t) < 1 {
			return
		}
	}
	p.rampFrom, p.capacityChanged = 0, true
}

// setColdFor sets how much longer a target remains cold, as its record says.
func (t *target) setColdFor(now, d time.Duration) {
	if d != t.rec.ColdFor() || t.coldUntil == 0 {
		t.coldUntil = now + d
	}
}
