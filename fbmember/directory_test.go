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

// state returns the state of a daemon at the address.
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

func TestNewIncarnationAtSameAddress(t *testing.T) {
	tests := map[string]struct {
		deliver    func(d *fbmember.Directory, now time.Time)
		owner      bool // whether the previous incarnation is still known
		terminated []filbertford.Incarnation
	}{
		"reply by new incarnation": {
			deliver: func(d *fbmember.Directory, now time.Time) {
				d.HandleReply(now, now.Add(-time.Second), other, state(8, other))
			},
			terminated: []filbertford.Incarnation{7},
			owner:      false,
		},
		"request older than previous incarnation": {
			deliver: func(d *fbmember.Directory, now time.Time) {
				d.HandleReply(now, now.Add(-time.Hour), other, state(8, other))
			},
			owner: true,
		},
		"heartbeat by new incarnation": {
			deliver: func(d *fbmember.Directory, now time.Time) { d.HandleHeartbeat(now, state(8, other)) },
			owner:   true,
		},
		"reply for another address": {
			deliver: func(d *fbmember.Directory, now time.Time) { d.HandleReply(now, now, other, state(8, third)) },
			owner:   true,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d, now := newDirectory(other, third)
			d.HandleReply(now, now, other, state(7, other))
			tt.deliver(d, now.Add(2*time.Second))
			if diff := cmp.Diff(tt.terminated, d.TakeTerminated()); diff != "" {
				t.Errorf("terminated incarnations (-want +got):\n%s", diff)
			}
			if _, ok := d.Owner(7); ok != tt.owner {
				t.Errorf("previous incarnation is known: got %v", ok)
			}
		})
	}
}

// TestLateReplyDoesNotTerminateNewerIncarnation delivers the reply to an old
// request after a heartbeat of a newer incarnation. The reply does not prove that
// the newer one has terminated.
func TestLateReplyDoesNotTerminateNewerIncarnation(t *testing.T) {
	d, now := newDirectory(other)
	at := func(s int) time.Time { return now.Add(time.Duration(s) * time.Second) }
	d.HandleReply(at(2), at(1), other, state(11, other))
	d.HandleHeartbeat(at(3), state(10, other))
	d.HandleReply(at(4), at(0), other, state(10, other))
	if terminated := d.TakeTerminated(); len(terminated) > 0 {
		t.Errorf("got terminated incarnations %v, want none", terminated)
	}
}

func TestSuccessorOwnsStoppedIncarnation(t *testing.T) {
	d, now := newDirectory(other, third)
	d.HandleReply(now, now, other, state(7, other))
	d.HandleHeartbeat(now, state(9, third).WithInherited([]filbertford.Incarnation{7}))
	d.HandleHeartbeat(now, state(7, other).WithStopping(true))
	if a, ok := d.Owner(7); !ok || a != third {
		t.Errorf("got owner %q of the stopped incarnation, want its successor %q", a, third)
	}
}

func TestSetVMsKeepsUnlistedMembersWhileReachable(t *testing.T) {
	d, now := newDirectory(other, third)
	d.HandleReply(now, now, other, state(7, other))
	d.SetVMs(now.Add(time.Second), nil)
	if !d.HasMember(other) || d.HasMember(third) {
		t.Errorf("members kept: reachable %v, unreachable %v; want only the reachable one", d.HasMember(other), d.HasMember(third))
	}
	d.SetVMs(now.Add(timeout), nil)
	if d.HasMember(other) {
		t.Error("an unreachable member that is no longer listed was kept")
	}
}

func TestHeartbeatFromUnlistedAddressIsIgnored(t *testing.T) {
	d, now := newDirectory(other)
	d.HandleHeartbeat(now, state(7, "stranger:1"))
	if _, ok := d.Owner(7); ok || d.HasMember("stranger:1") {
		t.Error("an unlisted daemon became a member")
	}
}

func TestPairExchangesOneHeartbeatPerPeriod(t *testing.T) {
	d, now := newDirectory(other, third)
	if diff := cmp.Diff([]string{other, third}, d.DueHeartbeats(now, time.Second)); diff != "" {
		t.Errorf("due at first (-want +got):\n%s", diff)
	}
	d.HandleHeartbeat(now.Add(900*time.Millisecond), state(7, other))
	if diff := cmp.Diff([]string{third}, d.DueHeartbeats(now.Add(time.Second), time.Second)); diff != "" {
		t.Errorf("due after a heartbeat of the other daemon (-want +got):\n%s", diff)
	}
}

func TestSuccessorIsLeastLoaded(t *testing.T) {
	d, now := newDirectory(other, third, "daemon:4")
	d.HandleReply(now, now, other, state(7, other).WithLoad(filbertford.NewLoad(5, 5, 50, 0), ""))
	d.HandleReply(now, now, third, state(8, third).WithLoad(filbertford.NewLoad(0, 5, 50, 0), ""))
	d.HandleReply(now, now, "daemon:4", state(9, "daemon:4").WithStopping(true))
	if m, ok := d.Successor(now); !ok || m.Address() != third {
		t.Errorf("got successor %q, want the least loaded member", m.Address())
	}
	if _, ok := d.Successor(now.Add(timeout)); ok {
		t.Error("an unreachable member is a successor")
	}
}

func TestPreferredToken(t *testing.T) {
	tests := map[string]struct {
		own, theirs  filbertford.Load
		heartbeatAge time.Duration
		want         string
	}{
		"no waiting tasks":     {own: filbertford.NewLoad(0, 50, 50, 0), theirs: filbertford.NewLoad(0, 0, 50, 0)},
		"less loaded":          {own: filbertford.NewLoad(20, 50, 50, 0), theirs: filbertford.NewLoad(0, 10, 50, 0), want: "token"},
		"load ratio too small": {own: filbertford.NewLoad(20, 50, 50, 0), theirs: filbertford.NewLoad(0, 50, 50, 0)},
		"silent":               {own: filbertford.NewLoad(20, 50, 50, 0), theirs: filbertford.NewLoad(0, 0, 50, 0), heartbeatAge: 2 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d, now := newDirectory(other)
			d.HandleReply(now, now, other, state(7, other).WithLoad(tt.theirs, "token"))
			if got := d.PreferredToken(now.Add(tt.heartbeatAge), tt.own); got != tt.want {
				t.Errorf("got token %q, want %q", got, tt.want)
			}
		})
	}
}

func TestMakeDueBeforePeriodEnds(t *testing.T) {
	tests := map[string]struct {
		makeDue func(d *fbmember.Directory)
		want    []string
	}{
		"none": {makeDue: func(*fbmember.Directory) {}},
		"near": {makeDue: (*fbmember.Directory).MakeLocalDue, want: []string{other}},
		"all":  {makeDue: (*fbmember.Directory).MakeAllDue, want: []string{other, third}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d, now := newDirectory(other)
			remote := filbertford.NewVM("far", filbertford.RoleEntry, "elsewhere", third)
			d.SetVMs(now, append(entryVMs(other), remote))
			for _, a := range d.DueHeartbeats(now, time.Second) {
				d.HandleReply(now, now, a, state(7, a))
			}
			tt.makeDue(d)
			if diff := cmp.Diff(tt.want, d.DueHeartbeats(now, time.Second)); diff != "" {
				t.Errorf("due (-want +got):\n%s", diff)
			}
			if again := d.DueHeartbeats(now, time.Second); len(again) > 0 {
				t.Errorf("got %v due again immediately, want none", again)
			}
		})
	}
}
