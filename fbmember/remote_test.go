package fbmember_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbmember"
)

// TestRemoteHeartbeatsAreBounded checks, with members that reply to every
// heartbeat, that each member of the data centre gets one a period and that those
// of all others together get a fixed number.
func TestRemoteHeartbeatsAreBounded(t *testing.T) {
	const local, periods = 8, 110
	tests := map[string]struct {
		remote       int
		periodFactor int
	}{
		"none":     {remote: 0, periodFactor: 1},
		"few":      {remote: 8, periodFactor: 1},
		"one more": {remote: 9, periodFactor: 2},
		"target":   {remote: 81, periodFactor: 11},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1_000_000, 0)
			d := fbmember.NewDirectory(self, "dc", time.Second, timeout, nil)
			d.SetVMs(now, spreadEntryVMs(local, tt.remote))
			heartbeats := make(map[bool]int)
			for range periods {
				for _, a := range d.DueHeartbeats(now, time.Second) {
					heartbeats[d.IsRemote(a)]++
					d.HandleReply(now, now, a, state(7, a))
				}
				now = now.Add(time.Second)
			}
			if heartbeats[false] != local*periods {
				t.Errorf("got %d heartbeats within the data centre, want %d", heartbeats[false], local*periods)
			}
			if want := tt.remote * periods / tt.periodFactor; heartbeats[true] != want || want > fbmember.RemoteHeartbeatsPerPeriod*periods {
				t.Errorf("got %d heartbeats to other data centres, want %d, at most %d",
					heartbeats[true], want, fbmember.RemoteHeartbeatsPerPeriod*periods)
			}
			checkTimeouts(t, d, now, local, tt.remote, tt.periodFactor)
		})
	}
}

// checkTimeouts checks that members without heartbeats become unreachable after
// their timeout, and that MakeAllDue makes a heartbeat to each of them due
// immediately.
func checkTimeouts(t *testing.T, d *fbmember.Directory, now time.Time, local, remote, periodFactor int) {
	t.Helper()
	if n := len(d.Reachable(now)); n != local+remote {
		t.Errorf("got %d reachable members, want all %d", n, local+remote)
	}
	d.MakeAllDue()
	if n := len(d.DueHeartbeats(now, time.Second)); n != local+remote {
		t.Errorf("got %d members due after MakeAllDue, want %d", n, local+remote)
	}
	if n := len(d.Reachable(now.Add(timeout * time.Duration(periodFactor)))); n != 0 {
		t.Errorf("got %d reachable members after their timeout, want none", n)
	}
}

// spreadEntryVMs returns local entry VMs in the data centre dc and remote ones in
// others.
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

// BenchmarkHeartbeatPeriod measures the work of the directory in one heartbeat
// period.
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

// BenchmarkMemberSize reports the heap size of a directory per member with tasks
// of 100 teams.
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
