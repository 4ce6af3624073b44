package fbmember_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbmember"
)

// TestRemoteHeartbeatsAreBounded lets all members answer each heartbeat: those of
// the data centre have one a period, those of all others together a fixed number.
func TestRemoteHeartbeatsAreBounded(t *testing.T) {
	const local, periods = 8, 110
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
			d.SetVMs(now, spreadEntryVMs(local, tt.far))
			heartbeats := make(map[bool]int)
			for range periods {
				for _, a := range d.DueHeartbeats(now, time.Second) {
					heartbeats[d.IsRemote(a)]++
					d.HandleReply(now, now, a, state(7, a))
				}
				now = now.Add(time.Second)
			}
			if heartbeats[false] != local*periods {
				t.Errorf("%d heartbeats within the data centre, want %d", heartbeats[false], local*periods)
			}
			if want := tt.far * periods / tt.stretch; heartbeats[true] != want || want > fbmember.RemoteHeartbeatsPerPeriod*periods {
				t.Errorf("%d heartbeats to other data centres, want %d, at most %d",
					heartbeats[true], want, fbmember.RemoteHeartbeatsPerPeriod*periods)
			}
			checkTimeouts(t, d, now, local, tt.far, tt.stretch)
		})
	}
}

// checkTimeouts checks until when silent members count as reachable, and that
// AskAll makes each of them due at once.
func checkTimeouts(t *testing.T, d *fbmember.Directory, now time.Time, local, remote, periodFactor int) {
	t.Helper()
	if n := len(d.Reachable(now)); n != local+remote {
		t.Errorf("%d members reachable, want all %d", n, local+remote)
	}
	d.MakeAllDue()
	if n := len(d.DueHeartbeats(now, time.Second)); n != local+remote {
		t.Errorf("%d members due when all are asked, want %d", n, local+remote)
	}
	if n := len(d.Reachable(now.Add(timeout * time.Duration(periodFactor)))); n != 0 {
		t.Errorf("%d members reachable after their timeout", n)
	}
}

// spreadEntryVMs returns entry VMs in the data centre dc and in others.
func spreadEntryVMs(local, remote int) []filbertford.VM {
	var out []filbertford.VM
	for i := range local + remote {
		dc := filbertford.DataCentre("dc")
		if i >= local {
			dc = filbertford.DataCentre(fmt.Sprintf("dc-%d", i%9))
		}
		id := fmt.Sprintf("entry-%d", i)
		out = append(out, filbertford.NewVM(filbertford.VMID(id), filbertford.RoleEntry, dc, id+":1"))
	}
	return out
}

// BenchmarkHeartbeatPeriod measures what the directory does each heartbeat period.
func BenchmarkHeartbeatPeriod(b *testing.B) {
	for _, members := range []int{8, 89, 890} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			now := time.Unix(1_000_000, 0)
			d := fbmember.NewDirectory(self, "dc", time.Second, timeout, nil)
			d.SetVMs(now, spreadEntryVMs(8, members-8))
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Second)
				for _, a := range d.DueHeartbeats(now, time.Second) {
					d.HandleReply(now, now, a, state(7, a))
				}
				d.PeerTeamTasks(now)
				d.Position(now)
				d.RemoteFreeSlots(now)
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
		d.SetVMs(now, spreadEntryVMs(members, 0))
		for _, a := range d.DueHeartbeats(now, time.Second) {
			teamTasks := make(map[string]int)
			for i := range teams {
				teamTasks[fmt.Sprintf("team-%d", i)] = i
			}
			d.HandleReply(now, now, a, state(7, a).WithTeamTasks(teamTasks))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/members, "heap-B/member")
		runtime.KeepAlive(d)
	}
}
