package fbpolicy_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbpolicy"
)

// experiment is one comparison of the policies.
type experiment struct {
	mix    string
	load   float64
	queues int
	spoil  func(targets []*rigTarget)
}

// Periods of an experiment: the figures are those of the jobs that arrive
// between the two, and the rest of the time lets them end.
const (
	warmUp  = 5 * time.Second
	measure = 25 * time.Second
	end     = 35 * time.Second
)

func (e experiment) run(policy string, seed uint64) result {
	targets := unevenTargets(50, seed)
	jobs := jobsOf(e.mix, targets, e.load, seed, measure)
	if e.spoil != nil {
		e.spoil(targets)
		jobs = jobsOf(e.mix, targets, e.load, seed, measure)
	}
	if policy == "clairvoyant" {
		return clairvoyant(jobs, targets, warmUp, measure)
	}
	r := newRig(policy, e.queues, targets)
	r.run(jobs, filbertford.Rules{}, seed, end)
	return r.result(warmUp, measure)
}

func everyTenth(change func(*rigTarget)) func([]*rigTarget) {
	return func(targets []*rigTarget) {
		for i := 0; i < len(targets); i += 10 {
			change(targets[i])
		}
	}
}

var (
	failAll = everyTenth(func(t *rigTarget) { t.failing = true })
	slow    = everyTenth(func(t *rigTarget) { t.factor *= 10 })
)

// BenchmarkCompare reports the policies' figures side by side:
//
//	go test ./fbpolicy -run '^$' -bench Compare -benchtime 1x
func BenchmarkCompare(b *testing.B) {
	names := append([]string{"clairvoyant"}, fbpolicy.Names()...)
	for _, mix := range []string{"depot", "atlas"} {
		for _, load := range []float64{0.5, 0.8, 0.95} {
			for _, fault := range []string{"healthy", "fail", "slow"} {
				for _, name := range names {
					e := experiment{mix: mix, load: load, queues: 3, spoil: faults[fault]}
					b.Run(fmt.Sprintf("%s/%.0f/%s/%s", mix, 100*load, fault, name), e.bench(name))
				}
			}
		}
	}
}

// bench returns a benchmark that reports the means over three seeds.
func (e experiment) bench(policy string) func(b *testing.B) {
	return func(b *testing.B) {
		var sum result
		for b.Loop() {
			sum = result{}
			for seed := range uint64(3) {
				sum = sum.plus(e.run(policy, seed+1), 1.0/3)
			}
		}
		b.ReportMetric(0, "ns/op")
		b.ReportMetric(sum.mean, "mean/ideal")
		b.ReportMetric(sum.p50, "p50/ideal")
		b.ReportMetric(sum.p99, "p99/ideal")
		b.ReportMetric(sum.share(sum.failed), "%failed")
		b.ReportMetric(sum.share(sum.late), "%late")
		b.ReportMetric(sum.share(sum.turnedAway), "%refused")
		b.ReportMetric(100*sum.wasted, "%wasted")
	}
}

// faults are changes to one target in ten.
var faults = map[string]func([]*rigTarget){"healthy": nil, "fail": failAll, "slow": slow}
