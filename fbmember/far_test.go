package fbmember_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbmember"
)

// TestFarHeartbeatsAreBounded lets all members answer each heartbeat: those of
// the data centre have one a period, those of all others together a fixed number.
func TestFarHeartbeatsAreBounded(t *testing.T) {
	const near, periods = 8, 110
	tests := map[string]struct {
		far     int
		stretch int
	}{
		"none":   {far: 0, stretch: 1},
		"few":    {far: 8, stretch: 1},
		"one up": {far: 9, stretch: 2},
		"target": {far: 81, stretch: 11},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1_000_000, 0)
			d := fbmember.NewDirectory(self, "dc", time.Second, timeout, nil)
			d.SetVMs(now, spreadEntries(near, tt.far))
			beats := make(map[bool]int)
			for range periods {
				for _, a := range d.Due(now, time.Second) {
					beats[d.Far(a)]++
					d.Answered(now, now, a, state(7, a))
				}
				now = now.Add(time.Second)
			}
			if beats[false] != near*periods {
				t.Errorf("%d heartbeats within the data centre, want %d", beats[false], near*periods)
			}
			if want := tt.far * periods / tt.stretch; beats[true] != want || want > fbmember.FarPerPeriod*periods {
				t.Errorf("%d heartbeats to other data centres, want %d, at most %d",
					beats[true], want, fbmember.FarPerPeriod*periods)
			}
			checkSilence(t, d, now, near, tt.far, tt.stretch)
		})
	}
}

// checkSilence checks until when silent members count as reachable, and that
// AskAll makes each of them due at once.
func checkSilence(t *testing.T, d *fbmember.Directory, now time.Time, near, far, stretch int) {
	t.Helper()
	if n := len(d.Reachable(now)); n != near+far {
		t.Errorf("%d members reachable, want all %d", n, near+far)
	}
	d.AskAll()
	if n := len(d.Due(now, time.Second)); n != near+far {
		t.Errorf("%d members due when all are asked, want %d", n, near+far)
	}
	if n := len(d.Reachable(now.Add(timeout * time.Duration(stretch)))); n != 0 {
		t.Errorf("%d members reachable after their timeout", n)
	}
}

// spreadEntries returns entry VMs in the data centre dc and in others.
func spreadEntries(near, far int) []filbertford.VM {
	var out []filbertford.VM
	for i := range near + far {
		dc := filbertford.DataCentre("dc")
		if i >= near {
			dc = filbertford.DataCentre(fmt.Sprintf("dc-%d", i%9))
		}
		id := fmt.Sprintf("entry-%d", i)
		out = append(out, filbertford.NewVM(filbertford.VMID(id), filbertford.RoleEntry, dc, id+":1"))
	}
	return out
}

// BenchmarkPeriod measures what the directory does each heartbeat period.
func BenchmarkPeriod(b *testing.B) {
	for _, members := range []int{8, 89, 890} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			now := time.Unix(1_000_000, 0)
			d := fbmember.NewDirectory(self, "dc", time.Second, timeout, nil)
			d.SetVMs(now, spreadEntries(8, members-8))
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Second)
				for _, a := range d.Due(now, time.Second) {
					d.Answered(now, now, a, state(7, a))
				}
				d.PeerUse(now)
				d.Share(now)
				d.Spare(now)
			}
		})
	}
}

// BenchmarkMemberSize reports the heap that the directory holds for a member with
// tasks of 100 teams.
func BenchmarkMemberSize(b *testing.B) {
	const members, teams = 89, 100
	for b.Loop() {
		now := time.Unix(1_000_000, 0)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		d := fbmember.NewDirectory(self, "dc", time.Second, timeout, nil)
		d.SetVMs(now, spreadEntries(members, 0))
		for _, a := range d.Due(now, time.Second) {
			use := make(map[string]int)
			for i := range teams {
				use[fmt.Sprintf("team-%d", i)] = i
			}
			d.Answered(now, now, a, state(7, a).WithTeams(use))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/members, "heap-B/member")
		runtime.KeepAlive(d)
	}
}
