package fbpolicy_test

import (
	"testing"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbpolicy"
)

// Goals of the adaptive policy at 80 % of capacity with healthy targets, against
// the clairvoyant schedule, and of its refused starts.
const (
	goalMean   = 1.15
	goalP99    = 2.0
	goalWasted = 0.01
	goalFailed = 0.01
	seeds      = 3
)

func (e experiment) average(policy string) result {
	var sum result
	for seed := range uint64(seeds) {
		sum = sum.plus(e.run(policy, seed+1), 1.0/seeds)
	}
	return sum
}

func TestGoalsAtEightyPercent(t *testing.T) {
	for _, mix := range []string{"depot", "atlas"} {
		t.Run(mix, func(t *testing.T) {
			t.Parallel()
			e := experiment{mix: mix, load: 0.8, queues: 3}
			best, got := e.average("clairvoyant"), e.average(fbpolicy.NameAdaptive)
			if got.mean > goalMean*best.mean {
				t.Errorf("mean over ideal %.3f, want at most %.2f times %.3f", got.mean, goalMean, best.mean)
			}
			if got.p99 > goalP99*best.p99 {
				t.Errorf("p99 over ideal %.2f, want at most %.1f times %.2f", got.p99, goalP99, best.p99)
			}
			if got.wasted > goalWasted {
				t.Errorf("%.4f of the starts were refused, want at most %v", got.wasted, goalWasted)
			}
		})
	}
}

func TestAdaptiveBeatsEveryBaseline(t *testing.T) {
	for _, mix := range []string{"depot", "atlas"} {
		for _, fault := range []string{"healthy", "slow"} {
			t.Run(mix+"/"+fault, func(t *testing.T) {
				t.Parallel()
				e := experiment{mix: mix, load: 0.8, queues: 3, spoil: faults[fault], length: 9 * time.Second}
				got := e.run(fbpolicy.NameAdaptive, 1)
				for _, name := range fbpolicy.Names()[1:] {
					if other := e.run(name, 1); got.mean >= other.mean {
						t.Errorf("mean over ideal %.3f, %s has %.3f", got.mean, name, other.mean)
					}
				}
			})
		}
	}
}

// TestTargetsThatBeginToFailCostFewJobs lets one target in ten fail everything
// after ten seconds.
func TestTargetsThatBeginToFailCostFewJobs(t *testing.T) {
	for _, mix := range []string{"depot", "atlas"} {
		t.Run(mix, func(t *testing.T) {
			t.Parallel()
			targets := unevenTargets(50, 1)
			jobs := jobsOf(mix, targets, 0.8, 1, 60*time.Second)
			r := newRig(fbpolicy.NameAdaptive, 3, targets)
			r.after(10*time.Second, func() { failAll(targets) })
			r.run(jobs, experiment{}.rules, 1, 70*time.Second)
			got := r.result(0, 60*time.Second)
			t.Logf("%d of %d jobs failed", got.failed, got.jobs)
			if float64(got.failed) > goalFailed*float64(got.jobs) {
				t.Errorf("%d of %d jobs failed, want at most %v", got.failed, got.jobs, goalFailed)
			}
		})
	}
}

func TestMessageWeightLowersRefusals(t *testing.T) {
	e := experiment{mix: "depot", load: 0.8, queues: 3, length: 20 * time.Second}
	light := e.run(fbpolicy.NameAdaptive, 1)
	e.rules = filbertford.Rules{}.WithMessageWeight(1)
	if heavy := e.run(fbpolicy.NameAdaptive, 1); heavy.wasted >= light.wasted {
		t.Errorf("refused starts %.4f at weight 1, %.4f at weight 0", heavy.wasted, light.wasted)
	}
}
