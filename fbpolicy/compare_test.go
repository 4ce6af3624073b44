package fbpolicy_test

import (
	"cmp"
	"fmt"
	"testing"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbpolicy"
)

// experiment is a workload, with optional faults, on which policies are compared.
type experiment struct {
	mix         string
	load        float64
	daemons     int
	injectFault func(targets []*simTarget)
	// timeout is the timeout of every job, zero for none.
	timeout time.Duration
	rules   filbertford.Rules
	// arrivalEnd is the time until which jobs arrive, measureEnd if it is zero.
	arrivalEnd time.Duration
}

// Periods of an experiment. The figures are those of the jobs that arrive between
// warmUp and measureEnd. The simulation runs for completionTime after the last
// arrival, so that the jobs can finish.
const (
	warmUp         = 5 * time.Second
	measureEnd     = 25 * time.Second
	completionTime = 10 * time.Second
)

func (e experiment) run(policy string, seed uint64) result {
	end := cmp.Or(e.arrivalEnd, measureEnd)
	targets := newTargets(50, seed)
	if e.injectFault != nil {
		e.injectFault(targets)
	}
	jobs := generateJobs(e.mix, targets, e.load, seed, end)
	for _, j := range jobs {
		j.timeout = e.timeout
	}
	if policy == "clairvoyant" {
		return clairvoyant(jobs, targets, warmUp, end)
	}
	s := newSimulation(policy, e.daemons, targets)
	s.run(jobs, e.rules, seed, end+completionTime)
	return s.result(warmUp, end)
}

func everyTenth(change func(*simTarget)) func([]*simTarget) {
	return func(targets []*simTarget) {
		for i := 0; i < len(targets); i += 10 {
			change(targets[i])
		}
	}
}

var (
	failAll  = everyTenth(func(t *simTarget) { t.failing = true })
	slowDown = everyTenth(func(t *simTarget) { t.factor *= 10 })
)

// BenchmarkCompare reports the figures of all policies:
//
//	go test ./fbpolicy -run '^$' -bench Compare -benchtime 1x
func BenchmarkCompare(b *testing.B) {
	names := append([]string{"clairvoyant"}, fbpolicy.Names()...)
	for _, mix := range []string{"depot", "atlas"} {
		for _, load := range []float64{0.5, 0.8, 0.95} {
			for _, fault := range []string{"healthy", "fail", "slow"} {
				for _, name := range names {
					e := experiment{mix: mix, load: load, daemons: 3, injectFault: faults[fault]}
					b.Run(fmt.Sprintf("%s/%.0f/%s/%s", mix, 100*load, fault, name), e.bench(name))
				}
			}
		}
	}
}

// BenchmarkOverload reports the figures of the adaptive policy for jobs with
// timeouts, at 80 % and 150 % of the capacity.
func BenchmarkOverload(b *testing.B) {
	for _, mix := range []string{"depot", "atlas"} {
		for _, timeout := range []time.Duration{2 * time.Second, 5 * time.Second, 10 * time.Second} {
			for _, load := range []float64{0.8, 1.5} {
				e := experiment{mix: mix, load: load, daemons: 3, timeout: timeout}
				b.Run(fmt.Sprintf("%s/%v/%.0f", mix, timeout, 100*load), e.bench(fbpolicy.NameAdaptive))
			}
		}
	}
}

// bench returns a benchmark that reports the mean figures over three seeds.
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
		b.ReportMetric(sum.percent(sum.failed), "%failed")
		b.ReportMetric(sum.percent(sum.late), "%late")
		b.ReportMetric(sum.percent(sum.rejected), "%refused")
		b.ReportMetric(100*sum.refusedShare, "%wasted")
		b.ReportMetric(100*sum.goodput, "%goodput")
	}
}

// faults holds changes that affect one target in ten.
var faults = map[string]func([]*simTarget){"healthy": nil, "fail": failAll, "slow": slowDown}
