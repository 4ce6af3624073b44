package fbsched

import (
	"fmt"
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// threePriorities are jobs of three priorities with the same load each, which together are a
// multiple of the targets' CPU.
func threePriorities(load float64) []loadClass {
	return []loadClass{
		{priority: 0, tasks: 8, duration: 60 * time.Millisecond, minCPU: 12_800, maxCPU: 19_200, load: load / 3},
		{priority: 1, tasks: 2, duration: 200 * time.Millisecond, minCPU: 12_800, maxCPU: 19_200, load: load / 3},
		{priority: 2, tasks: 4, duration: 900 * time.Millisecond, minCPU: 12_800, maxCPU: 19_200, load: load / 3},
	}
}

// reservedCPU is the share of the CPU time that is reserved for each priority other than 0.
const reservedCPU = 0.1

// TestPrioritiesAboveCapacity guards against the inversion in which jobs of priority 0, whose
// objectives are short, are served less than those of priority 2, also because of reservations,
// and against the starvation of the lower priorities.
func TestPrioritiesAboveCapacity(t *testing.T) {
	for _, load := range []float64{1.5, 3} {
		t.Run(fmt.Sprintf("%v times the capacity", load), func(t *testing.T) {
			l := poolLoad{targets: 40, cpu: 32_000, classes: threePriorities(load), duration: 2 * time.Second}
			byPriority := filbertford.Scheduling{}.WithOrder(filbertford.OrderByPriority)
			for _, l.scheduling = range []filbertford.Scheduling{{}, byPriority, byPriority.WithBackfill(true)} {
				_, jobs := l.run(1)
				var served [3]float64
				for priority := range served {
					served[priority] = servedShare(jobs, func(j *offeredJob) bool { return j.class == priority })
				}
				t.Logf("order %s, backfill %v: served %.2f", l.scheduling.Order(), l.scheduling.Backfill(), served)
				if l.scheduling.Order() == filbertford.OrderByDeadline {
					continue
				}
				if served[0] < served[2] {
					t.Errorf("priority 0 is served %.2f, priority 2 %.2f", served[0], served[2])
				}
				for priority, share := range served { // half, since some of what starts ends too late
					if cpu := share * l.classes[priority].load; cpu < reservedCPU/2 {
						t.Errorf("priority %d is served %.3f of the CPU time, want %.3f", priority, cpu, reservedCPU/2)
					}
				}
			}
		})
	}
}
