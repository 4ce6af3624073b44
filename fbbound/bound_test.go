package fbbound_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/filbertford/filbertford/fbbound"
)

const ms = time.Millisecond

func ExampleIdeal() {
	targets := []fbbound.Target{fbbound.NewTarget(0.5, 8), fbbound.NewTarget(2, 8)}
	job := fbbound.NewJob(0, "ordering", 60*ms, 200*ms)
	fmt.Println(fbbound.Ideal(job, targets, ms))
	// Output: 101ms true
}

func TestClairvoyant(t *testing.T) {
	one := []fbbound.Target{fbbound.NewTarget(1, 1)}
	uneven := []fbbound.Target{fbbound.NewTarget(1, 1), fbbound.NewTarget(10, 1)}
	tests := map[string]struct {
		jobs    []fbbound.Job
		targets []fbbound.Target
		want    []time.Duration
	}{
		"alone": {
			jobs:    []fbbound.Job{fbbound.NewJob(5*ms, "a", 100*ms)},
			targets: one,
			want:    []time.Duration{101 * ms},
		},
		"short job starts before a longer one": {
			jobs: []fbbound.Job{
				fbbound.NewJob(0, "a", 100*ms), fbbound.NewJob(ms, "a", 100*ms), fbbound.NewJob(2*ms, "a", 10*ms),
			},
			targets: one,
			want:    []time.Duration{101 * ms, 210 * ms, 109 * ms},
		},
		"task waits for the fast target": {
			jobs:    []fbbound.Job{fbbound.NewJob(0, "a", 100*ms, 100*ms)},
			targets: uneven,
			want:    []time.Duration{201 * ms},
		},
		"task starts on the slow target when the queue is long": {
			jobs:    []fbbound.Job{fbbound.NewJob(0, "a", 10*ms, 10*ms, 10*ms, 10*ms, 10*ms, 10*ms, 10*ms, 10*ms, 10*ms, 10*ms, 10*ms)},
			targets: uneven,
			want:    []time.Duration{101 * ms},
		},
		"no target serves the job": {
			jobs:    []fbbound.Job{fbbound.NewJob(0, "b", ms)},
			targets: []fbbound.Target{fbbound.NewTarget(1, 1, "a")},
			want:    []time.Duration{fbbound.Never},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := fbbound.Clairvoyant(tt.jobs, tt.targets, ms)
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestClairvoyantIsNotBelowLowerBound(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var targets []fbbound.Target
	for range 6 {
		targets = append(targets, fbbound.NewTarget(0.5+2*rng.Float64(), 1+rng.IntN(4)))
	}
	var jobs []fbbound.Job
	for i := range 300 {
		tasks := make([]time.Duration, 1+rng.IntN(20))
		for k := range tasks {
			tasks[k] = time.Duration(50+rng.IntN(400)) * ms
		}
		jobs = append(jobs, fbbound.NewJob(time.Duration(i)*200*ms, "a", tasks...))
	}
	for i, got := range fbbound.Clairvoyant(jobs, targets, ms) {
		bound, ok := fbbound.LowerBound(jobs[i], targets, ms)
		if !ok || got < bound {
			t.Errorf("job %d took %v, want at least the lower bound %v", i, got, bound)
		}
	}
}
