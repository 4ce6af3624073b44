package fbmember_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbmember"
)

const (
	self    = "daemon:1"
	other   = "daemon:2"
	third   = "daemon:3"
	timeout = 5 * time.Second
)

// state returns what the daemon at the address tells.
func state(inc filbertford.Incarnation, address string) fbmember.State {
	return fbmember.NewState("vm", inc, "dc", address)
}

func newDirectory(listed ...string) (*fbmember.Directory, time.Time) {
	now := time.Unix(1_000_000, 0)
	d := fbmember.NewDirectory(self, "dc", time.Second, timeout, nil)
	d.SetVMs(now, entryVMs(listed...))
	return d, now
}

func entryVMs(addresses ...string) []filbertford.VM {
	var out []filbertford.VM
	for _, a := range addresses {
		out = append(out, filbertford.NewVM(filbertford.VMID(a), filbertford.RoleEntry, "dc", a))
	}
	return out
}

func TestRestartAtOneAddress(t *testing.T) {
	tests := map[string]struct {
		tell  func(d *fbmember.Directory, now time.Time)
		owner bool // whether the former incarnation still counts
		gone  []filbertford.Incarnation
	}{
		"answered by another": {
			tell: func(d *fbmember.Directory, now time.Time) {
				d.HandleReply(now, now.Add(-time.Second), other, state(8, other))
			},
			gone:  []filbertford.Incarnation{7},
			owner: false,
		},
		"asked before the former was heard": {
			tell: func(d *fbmember.Directory, now time.Time) {
				d.HandleReply(now, now.Add(-time.Hour), other, state(8, other))
			},
			owner: true,
		},
		"told unasked": {
			tell:  func(d *fbmember.Directory, now time.Time) { d.HandleHeartbeat(now, state(8, other)) },
			owner: true,
		},
		"told for another address": {
			tell:  func(d *fbmember.Directory, now time.Time) { d.HandleReply(now, now, other, state(8, third)) },
			owner: true,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d, now := newDirectory(other, third)
			d.HandleReply(now, now, other, state(7, other))
			tt.tell(d, now.Add(2*time.Second))
			if diff := cmp.Diff(tt.gone, d.TakeTerminated()); diff != "" {
				t.Errorf("gone (-want +got):\n%s", diff)
			}
			if _, ok := d.Owner(7); ok != tt.owner {
				t.Errorf("former incarnation known: %v", ok)
			}
		})
	}
}

// TestLateReplyDoesNotTerminateNewerIncarnation lets the reply to an old question come after a newer
// incarnation was heard of: it does not prove that the newer one is gone.
func TestLateReplyDoesNotTerminateNewerIncarnation(t *testing.T) {
	d, now := newDirectory(other)
	at := func(s int) time.Time { return now.Add(time.Duration(s) * time.Second) }
	d.HandleReply(at(2), at(1), other, state(11, other))
	d.HandleHeartbeat(at(3), state(10, other))
	d.HandleReply(at(4), at(0), other, state(10, other))
	if gone := d.TakeTerminated(); len(gone) > 0 {
		t.Errorf("incarnations %v were taken for gone", gone)
	}
}

func TestSuccessorOwnsStoppedIncarnation(t *testing.T) {
	d, now := newDirectory(other, third)
	d.HandleReply(now, now, other, state(7, other))
	d.HandleHeartbeat(now, state(9, third).WithInherited([]filbertford.Incarnation{7}))
	d.HandleHeartbeat(now, state(7, other).WithStopping(true))
	if a, ok := d.Owner(7); !ok || a != third {
		t.Errorf("owner of the stopped incarnation is %q, want its heir %q", a, third)
	}
}

func TestSetVMsKeepsUnlistedMembersWhileReachable(t *testing.T) {
	d, now := newDirectory(other, third)
	d.HandleReply(now, now, other, state(7, other))
	d.SetVMs(now.Add(time.Second), nil)
	if !d.HasMember(other) || d.HasMember(third) {
		t.Errorf("known: %v and %v; want only the member that answers", d.HasMember(other), d.HasMember(third))
	}
	d.SetVMs(now.Add(timeout), nil)
	if d.HasMember(other) {
		t.Error("a silent member that is no longer listed is still known")
	}
}

func TestHeartbeatFromUnlistedAddressIsIgnored(t *testing.T) {
	d, now := newDirectory(other)
	d.HandleHeartbeat(now, state(7, "stranger:1"))
	if _, ok := d.Owner(7); ok || d.HasMember("stranger:1") {
		t.Error("a daemon that nobody listed was taken in")
	}
}

func TestPairExchangesOneHeartbeatPerPeriod(t *testing.T) {
	d, now := newDirectory(other, third)
	if diff := cmp.Diff([]string{other, third}, d.DueHeartbeats(now, time.Second)); diff != "" {
		t.Errorf("first (-want +got):\n%s", diff)
	}
	d.HandleHeartbeat(now.Add(900*time.Millisecond), state(7, other))
	if diff := cmp.Diff([]string{third}, d.DueHeartbeats(now.Add(time.Second), time.Second)); diff != "" {
		t.Errorf("after the other's own heartbeat (-want +got):\n%s", diff)
	}
}

func TestSuccessorIsLeastLoaded(t *testing.T) {
	d, now := newDirectory(other, third, "daemon:4")
	d.HandleReply(now, now, other, state(7, other).WithLoad(filbertford.NewLoad(5, 5, 50, 0), ""))
	d.HandleReply(now, now, third, state(8, third).WithLoad(filbertford.NewLoad(0, 5, 50, 0), ""))
	d.HandleReply(now, now, "daemon:4", state(9, "daemon:4").WithStopping(true))
	if m, ok := d.Successor(now); !ok || m.Address() != third {
		t.Errorf("heir %q", m.Address())
	}
	if _, ok := d.Successor(now.Add(timeout)); ok {
		t.Error("a silent member is an heir")
	}
}

func TestPreferredToken(t *testing.T) {
	tests := map[string]struct {
		own, theirs filbertford.Load
		silent      time.Duration
		want        string
	}{
		"nothing waits":      {own: filbertford.NewLoad(0, 50, 50, 0), theirs: filbertford.NewLoad(0, 0, 50, 0)},
		"less loaded":        {own: filbertford.NewLoad(20, 50, 50, 0), theirs: filbertford.NewLoad(0, 10, 50, 0), want: "token"},
		"hardly less loaded": {own: filbertford.NewLoad(20, 50, 50, 0), theirs: filbertford.NewLoad(0, 50, 50, 0)},
		"silent":             {own: filbertford.NewLoad(20, 50, 50, 0), theirs: filbertford.NewLoad(0, 0, 50, 0), silent: 2 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d, now := newDirectory(other)
			d.HandleReply(now, now, other, state(7, other).WithLoad(tt.theirs, "token"))
			if got := d.PreferredToken(now.Add(tt.silent), tt.own); got != tt.want {
				t.Errorf("steered to %q, want %q", got, tt.want)
			}
		})
	}
}

func TestMakeDueBeforePeriodEnds(t *testing.T) {
	tests := map[string]struct {
		ask  func(d *fbmember.Directory)
		want []string
	}{
		"none": {ask: func(*fbmember.Directory) {}},
		"near": {ask: (*fbmember.Directory).MakeLocalDue, want: []string{other}},
		"all":  {ask: (*fbmember.Directory).MakeAllDue, want: []string{other, third}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d, now := newDirectory(other)
			remote := filbertford.NewVM("far", filbertford.RoleEntry, "elsewhere", third)
			d.SetVMs(now, append(entryVMs(other), remote))
			for _, a := range d.DueHeartbeats(now, time.Second) {
				d.HandleReply(now, now, a, state(7, a))
			}
			tt.ask(d)
			if diff := cmp.Diff(tt.want, d.DueHeartbeats(now, time.Second)); diff != "" {
				t.Errorf("due (-want +got):\n%s", diff)
			}
			if again := d.DueHeartbeats(now, time.Second); len(again) > 0 {
				t.Errorf("due again at once: %v", again)
			}
		})
	}
}
