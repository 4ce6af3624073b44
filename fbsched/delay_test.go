package fbsched

import (
	"fmt"
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// TestDelayOfOwnerIsNotSlownessOfTargets guards against targets that count as slow because
// their owner handles replies late: jobs would be rejected although hardly any work waits.
func TestDelayOfOwnerIsNotSlownessOfTargets(t *testing.T) {
	const delay = 150 * time.Millisecond
	tests := map[string]struct {
		rule       filbertford.AdmissionRule
		wantFactor float64
		wantDelay  bool
	}{
		"by objective": {rule: filbertford.AdmitByObjective, wantFactor: 1, wantDelay: true},
		"by backlog":   {rule: filbertford.AdmitByBacklog, wantFactor: 2.5},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(4, 2)
			sim.delivery = func() delivery { return delivery{requestDelay: time.Millisecond, replyDelay: delay} }
			o := sim.addOwner("a", 1)
			o.pool.SetScheduling(filbertford.Scheduling{}.WithAdmission(tt.rule))
			sim.announceOwner(o)
			sim.advance(time.Second)
			for id := range uint64(40) {
				sim.submit(id, filbertford.JobKey(fmt.Sprintf("%016x", id)), 1)
				sim.advance(400 * time.Millisecond)
			}
			if got := o.pool.kindFactors.factor("a"); got < 0.8*tt.wantFactor || got > 1.2*tt.wantFactor {
				t.Errorf("factor is %.2f, want about %.1f", got, tt.wantFactor)
			}
			if got := o.pool.delay.estimate(o.pool.delay.at); got > delay/2 != tt.wantDelay {
				t.Errorf("delay is %v with replies that take %v", got, delay)
			}
		})
	}
}

// TestOwnerDelayDecays guards against an owner whose delay is remembered for good although it
// gets no jobs because of it.
func TestOwnerDelayDecays(t *testing.T) {
	now := time.Minute
	var d ownerDelay
	for range 100 {
		d.observe(now, 200*time.Millisecond)
	}
	if got := d.estimate(now); got < 190*time.Millisecond {
		t.Errorf("delay is %v after 100 runs of 200 ms", got)
	}
	if got := d.estimate(now + time.Second); got > time.Millisecond {
		t.Errorf("delay is %v a second later", got)
	}
}
