package fbpolicy_test

import (
	"testing"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbpolicy"
)

// Goals of the adaptive policy. The ratios are those to the clairvoyant schedule
// at 80 % of the capacity with healthy targets.
const (
	goalMeanRatio    = 1.15
	goalP99Ratio     = 2.0
	goalRefusedShare = 0.01
	goalFailedShare  = 0.01
	goalSeeds        = 3
)

func (e experiment) meanResult(policy string) result {
	var sum result
	for seed := range uint64(goalSeeds) {
		sum = sum.plus(e.run(policy, seed+1), 1.0/goalSeeds)
	}
	return sum
}

func TestAdaptiveMeetsGoalsAtEightyPercentLoad(t *testing.T) {
	for _, mix := range []string{"depot", "atlas"} {
		t.Run(mix, func(t *testing.T) {
			t.Parallel()
			e := experiment{mix: mix, load: 0.8, daemons: 3}
			reference, got := e.meanResult("clairvoyant"), e.meanResult(fbpolicy.NameAdaptive)
			if got.mean > goalMeanRatio*reference.mean {
				t.Errorf("got mean over ideal %.3f, want at most %.2f times %.3f", got.mean, goalMeanRatio, reference.mean)
			}
			if got.p99 > goalP99Ratio*reference.p99 {
				t.Errorf("got p99 over ideal %.2f, want at most %.1f times %.2f", got.p99, goalP99Ratio, reference.p99)
			}
			if got.refusedShare > goalRefusedShare {
				t.Errorf("got share %.4f of refused starts, want at most %v", got.refusedShare, goalRefusedShare)
			}
		})
	}
}

func TestAdaptiveBeatsEveryBaseline(t *testing.T) {
	for _, mix := range []string{"depot", "atlas"} {
		for _, fault := range []string{"healthy", "slow"} {
			t.Run(mix+"/"+fault, func(t *testing.T) {
				t.Parallel()
				e := experiment{mix: mix, load: 0.8, daemons: 3, injectFault: faults[fault], arrivalEnd: 9 * time.Second}
				got := e.run(fbpolicy.NameAdaptive, 1)
				for _, name := range fbpolicy.Names()[1:] {
					if other := e.run(name, 1); got.mean >= other.mean {
						t.Errorf("got mean over ideal %.3f, want less than that of %s, %.3f", got.mean, name, other.mean)
					}
				}
			})
		}
	}
}

// One target in ten fails all tasks from the tenth second on.
func TestFailingTargetsFailFewJobs(t *testing.T) {
	for _, mix := range []string{"depot", "atlas"} {
		t.Run(mix, func(t *testing.T) {
			t.Parallel()
			targets := newTargets(50, 1)
			jobs := generateJobs(mix, targets, 0.8, 1, 60*time.Second)
			s := newSimulation(fbpolicy.NameAdaptive, 3, targets)
			s.schedule(10*time.Second, func() { failAll(targets) })
			s.run(jobs, experiment{}.rules, 1, 70*time.Second)
			got := s.result(0, 60*time.Second)
			t.Logf("%d of %d jobs failed", got.failed, got.jobs)
			if float64(got.failed) > goalFailedShare*float64(got.jobs) {
				t.Errorf("%d of %d jobs failed, want at most a share of %v", got.failed, got.jobs, goalFailedShare)
			}
		})
	}
}

func TestMessageWeightReducesRefusedStarts(t *testing.T) {
	e := experiment{mix: "depot", load: 0.8, daemons: 3, arrivalEnd: 20 * time.Second}
	weight0 := e.run(fbpolicy.NameAdaptive, 1)
	e.rules = filbertford.Rules{}.WithMessageWeight(1)
	if weight1 := e.run(fbpolicy.NameAdaptive, 1); weight1.refusedShare >= weight0.refusedShare {
		t.Errorf("got share %.4f of refused starts at weight 1, want less than %.4f at weight 0", weight1.refusedShare, weight0.refusedShare)
	}
}
