package fbcore_test

import (
	"fmt"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbcore"
)

// heapInUse returns the number of bytes of the heap in use after a collection.
func heapInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// measuredIDs is the number of IDs over which the memory per ID is averaged.
const measuredIDs = 100_000

// BenchmarkRetainedID reports the heap that a retained ID takes: one that was
// answered with a result of 16 bytes, one that was refused as not run, and the
// fingerprint of a dropped opaque key.
func BenchmarkRetainedID(b *testing.B) {
	tests := map[string]func(b *testing.B, c *fbcore.Core, now time.Time){
		"answered": func(b *testing.B, c *fbcore.Core, now time.Time) {
			for i := range measuredIDs {
				submitAndComplete(b, c, now, pinnedID(b, c.Token(now), i), fbcore.ClaimPinned)
			}
		},
		"refused": func(b *testing.B, c *fbcore.Core, now time.Time) {
			job := filbertford.NewJob("depot", "nowhere", filbertford.NewTask([]byte("{}"), 0)).WithTimeout(time.Second)
			for i := range measuredIDs {
				submit(c, now, pinnedID(b, c.Token(now), i), job, fbcore.ClaimPinned)
			}
		},
		"spent": func(b *testing.B, c *fbcore.Core, now time.Time) {
			const batch = 1000
			for i := range measuredIDs {
				if i%batch == 0 {
					now = now.Add(time.Second)
					c.Handle(now, fbcore.Tick{})
				}
				id, err := filbertford.ParseID("01890a5d-ac96-774b-bcce-" + strconv.Itoa(1e11+i))
				if err != nil {
					b.Fatal(err)
				}
				submitAndComplete(b, c, now, id, fbcore.ClaimOwned)
			}
			c.Handle(now.Add(10*time.Second), fbcore.Tick{})
		},
	}
	for name, fill := range tests {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				c, now := newOneTargetCore(b)
				before := heapInUse()
				fill(b, c, now)
				b.ReportMetric((heapInUse()-before)/measuredIDs, "heap-B/ID")
				runtime.KeepAlive(c)
			}
		})
	}
}

// BenchmarkTargetSize reports the heap that a target takes in the core and the
// policy.
func BenchmarkTargetSize(b *testing.B) {
	for _, targets := range []int{50, 880, 8800} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			for b.Loop() {
				before := heapInUse()
				c, now := newBenchCore(b, "adaptive", targets)
				c.Handle(now, fbcore.Tick{})
				b.ReportMetric((heapInUse()-before)/float64(targets), "heap-B/target")
				runtime.KeepAlive(c)
			}
		})
	}
}

// BenchmarkTeams reports the heap and the time that the team counts of the other
// daemons take. They are updated once per heartbeat.
func BenchmarkTeams(b *testing.B) {
	for _, teams := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			c, now := newOneTargetCore(b)
			before := heapInUse()
			teamTasks := make(map[string]int, teams)
			for i := range teams {
				teamTasks["team-"+strconv.Itoa(i)] = i
			}
			held := heapInUse() - before
			for b.Loop() {
				c.Handle(now, fbcore.PeersChanged{TeamTasks: teamTasks, Index: 0, Count: 9})
			}
			b.ReportMetric(held/float64(teams), "heap-B/team")
			runtime.KeepAlive(teamTasks)
		})
	}
}

// BenchmarkTargetsChanged measures an update with a VM list that has not changed.
func BenchmarkTargetsChanged(b *testing.B) {
	for _, targets := range []int{50, 880, 8800} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			c, now := newBenchCore(b, "adaptive", targets)
			list := benchTargets(targets)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(2 * time.Second)
				c.Handle(now, fbcore.TargetsChanged{Targets: list})
			}
		})
	}
}

// BenchmarkTick measures the tick of an idle core.
func BenchmarkTick(b *testing.B) {
	for _, targets := range []int{50, 880, 8800} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			c, now := newBenchCore(b, "adaptive", targets)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(10 * time.Millisecond)
				c.Handle(now, fbcore.Tick{})
			}
		})
	}
}

// newOneTargetCore returns a core with one target, which only has the service
// "ordering".
func newOneTargetCore(b *testing.B) (*fbcore.Core, time.Time) {
	b.Helper()
	c, now := newBenchCore(b, "random", 0)
	vm := filbertford.NewVM("t0", filbertford.RoleTarget, "dc", "target:1").WithCapacity(8, 64).WithServices("ordering")
	c.Handle(now, fbcore.TargetsChanged{Targets: []filbertford.VM{vm}})
	return c, now
}

func pinnedID(b *testing.B, t filbertford.Token, i int) filbertford.SubmissionID {
	b.Helper()
	id, err := filbertford.MintID(t, "01890a5d-ac96-774b-bcce-"+strconv.Itoa(1e11+i))
	if err != nil {
		b.Fatal(err)
	}
	return id
}

// submitAndComplete submits a job of one task and completes it.
func submitAndComplete(b *testing.B, c *fbcore.Core, now time.Time, id filbertford.SubmissionID, claim fbcore.Claim) {
	b.Helper()
	job := filbertford.NewJob("depot", "ordering", filbertford.NewTask([]byte("{}"), 0)).WithTimeout(time.Second)
	actions := submit(c, now, id, job, claim)
	start, ok := actions[0].(fbcore.StartTask)
	if !ok {
		b.Fatalf("got action %+v, want StartTask", actions[0])
	}
	result := filbertford.NewStartResult(filbertford.OutcomeDone).WithRunTime(time.Millisecond).WithFreeSlots(8).
		WithOutput([]byte(`{"answer": "ok"}`))
	c.Handle(now, fbcore.StartEnded{Start: start.Request.ID(), Result: result})
}

func submit(c *fbcore.Core, now time.Time, id filbertford.SubmissionID, job filbertford.Job, claim fbcore.Claim) []fbcore.Action {
	return c.Handle(now, fbcore.Submit{
		Ref: 1, Delivery: filbertford.NewDelivery(id, job), Digest: fbcore.Digest(job), Rules: simRules(), Claim: claim,
	})
}
