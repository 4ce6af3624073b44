package fbsettings_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/filbertford/filbertford/fbsettings"
	"github.com/filbertford/filbertford/fbtree"
)

const (
	selfAddress = "10.0.0.1:7101"
	peerAddress = "10.0.0.2:7101"
)

var startTime = time.Unix(1_800_000_000, 0)

// treeOfVersion returns a tree of version v, in which the quota of /depot is v.
func treeOfVersion(v uint64) *fbtree.Tree {
	p, _ := fbtree.ParsePath("/depot")
	tree, err := fbtree.Default().Apply(fbtree.Set(p, fbtree.KeyQuota, fmt.Sprint(v)))
	if err != nil {
		panic(err)
	}
	return tree.WithVersion(v)
}

// fullUpdate returns an update with the full tree of version v.
func fullUpdate(v uint64) fbsettings.Update {
	return fbsettings.NewUpdate(v, 0, v, treeOfVersion(v).Encode(), false)
}

// deltaUpdate returns an update with the changes from version base to v.
func deltaUpdate(base, v uint64) fbsettings.Update {
	body := fbtree.EncodeChanges(fbtree.Diff(treeOfVersion(base), treeOfVersion(v)))
	return fbsettings.NewUpdate(v, base, v, body, true)
}

func TestHandlePushAppliesNewerValidUpdates(t *testing.T) {
	malformed := []byte("[{")
	tests := map[string]struct {
		update fbsettings.Update
		want   uint64
	}{
		"newer tree":              {fullUpdate(7), 7},
		"newer delta":             {deltaUpdate(5, 7), 7},
		"older tree":              {fullUpdate(4), 5},
		"same version":            {fullUpdate(5), 5},
		"older delta":             {deltaUpdate(3, 4), 5},
		"delta of older base":     {deltaUpdate(4, 6), 5},
		"delta of newer base":     {deltaUpdate(6, 7), 5},
		"malformed tree":          {fbsettings.NewUpdate(7, 0, 7, malformed, false), 5},
		"malformed delta":         {fbsettings.NewUpdate(7, 5, 7, malformed, true), 5},
		"value out of range":      {fbsettings.NewUpdate(7, 5, 7, []byte(`[{"op":"set","path":"/","key":"quota","value":"-1"}]`), true), 5},
		"change to unknown node":  {fbsettings.NewUpdate(7, 5, 7, []byte(`[{"op":"remove","path":"/nobody"}]`), true), 5},
		"malformed gzip":          {fbsettings.NewUpdate(7, 0, 7, []byte{0x1f, 0x8b, 1}, false), 5},
		"empty":                   {fbsettings.NewUpdate(7, 0, 0, nil, false), 5},
		"malformed, version 2^63": {fbsettings.NewUpdate(7, 0, 1<<63, malformed, false), 5},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := fbsettings.NewReplica(selfAddress)
			r.HandlePush(startTime, fullUpdate(5))
			reply, _ := r.HandlePush(startTime, tt.update)
			status := r.Status()
			if status.Version() != tt.want || reply.Have() != tt.want || r.Tree().Version() != tt.want {
				t.Errorf("got version %d, and version %d in the reply, want %d", status.Version(), reply.Have(), tt.want)
			}
			if status.Newest() != tt.want {
				t.Errorf("got newest version %d, want %d", status.Newest(), tt.want)
			}
			if !r.Tree().Equal(treeOfVersion(tt.want)) {
				t.Errorf("tree differs from that of version %d", tt.want)
			}
		})
	}
}

func TestHandleTreeIgnoresOlderVersion(t *testing.T) {
	r := fbsettings.NewReplica(selfAddress)
	r.HandlePush(startTime, fullUpdate(7))
	if r.HandleTree(startTime, treeOfVersion(6)); r.Tree().Version() != 7 {
		t.Errorf("got version %d, want 7", r.Tree().Version())
	}
}

// actionKinds returns the kinds of the actions.
func actionKinds(actions []fbsettings.Action) []fbsettings.ActionKind {
	var out []fbsettings.ActionKind
	for _, a := range actions {
		out = append(out, a.Kind())
	}
	return out
}

func TestReplicaActions(t *testing.T) {
	member := func(v uint64) []fbsettings.Member { return []fbsettings.Member{fbsettings.NewMember(peerAddress, v)} }
	tests := map[string]struct {
		do   func(r *fbsettings.Replica) []fbsettings.Action
		want []fbsettings.ActionKind
	}{
		"first tick": {
			func(r *fbsettings.Replica) []fbsettings.Action { return r.HandleTick(startTime) },
			[]fbsettings.ActionKind{fbsettings.ActionPoll},
		},
		"no version anywhere": {
			func(r *fbsettings.Replica) []fbsettings.Action { return r.HandleHead(startTime, fbsettings.Head{}) },
			[]fbsettings.ActionKind{fbsettings.ActionInit},
		},
		"empty table, but a peer has a version": {
			func(r *fbsettings.Replica) []fbsettings.Action {
				r.HandleMembers(startTime, member(3))
				return r.HandleHead(startTime, fbsettings.Head{})
			},
			nil,
		},
		"peer while without settings": {
			func(r *fbsettings.Replica) []fbsettings.Action { return r.HandleMembers(startTime, member(0)) },
			[]fbsettings.ActionKind{fbsettings.ActionPull},
		},
		"peer with newer version": {
			func(r *fbsettings.Replica) []fbsettings.Action {
				r.HandlePush(startTime, fullUpdate(5))
				return r.HandleMembers(startTime, member(6))
			},
			[]fbsettings.ActionKind{fbsettings.ActionPull},
		},
		"peer with older version within settle time": {
			func(r *fbsettings.Replica) []fbsettings.Action {
				r.HandlePush(startTime, fullUpdate(5))
				return r.HandleMembers(startTime, member(4))
			},
			nil,
		},
		"peer with older version after settle time": {
			func(r *fbsettings.Replica) []fbsettings.Action {
				r.HandlePush(startTime, fullUpdate(5))
				return r.HandleMembers(startTime.Add(time.Second), member(4))
			},
			[]fbsettings.ActionKind{fbsettings.ActionPush},
		},
		"new version for a peer": {
			func(r *fbsettings.Replica) []fbsettings.Action {
				r.HandleMembers(startTime, member(5))
				_, actions := r.HandlePush(startTime, fullUpdate(6))
				return actions
			},
			[]fbsettings.ActionKind{fbsettings.ActionPush},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(tt.want, actionKinds(tt.do(fbsettings.NewReplica(selfAddress)))); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestUpdateForReturnsMissingChanges(t *testing.T) {
	r := fbsettings.NewReplica(selfAddress)
	for v := uint64(5); v <= 8; v++ {
		r.HandlePush(startTime, fullUpdate(v))
	}
	for have, wantDelta := range map[uint64]bool{0: false, 4: false, 5: true, 7: true} {
		u := r.UpdateFor(have)
		if u.Version() != 8 || u.Delta() != wantDelta || u.Delta() && u.Base() != have {
			t.Errorf("UpdateFor(%d): got version %d, base %d, delta %v; want version 8, as a delta for versions 5 and 7 only", have, u.Version(), u.Base(), u.Delta())
		}
		peer := fbsettings.NewReplica(peerAddress)
		if have > 0 {
			peer.HandlePush(startTime, fullUpdate(have))
		}
		peer.HandleReply(startTime, selfAddress, u)
		if peer.Status().Version() != 8 || !peer.Tree().Equal(treeOfVersion(8)) {
			t.Errorf("peer with version %d: got status %+v after the update, want version 8 and its tree", have, peer.Status())
		}
	}
}

// TestPushesReachAllDaemons gives a new version to one daemon and checks that pushes
// alone distribute it to all, with at most Fanout messages per daemon on average.
func TestPushesReachAllDaemons(t *testing.T) {
	for _, n := range []int{2, 3, 5, 9, 27, 100, 200} {
		replicas := make(map[string]*fbsettings.Replica)
		var members []fbsettings.Member
		for i := range n {
			address := fmt.Sprintf("10.0.%d.%d:7101", i/250, i%250)
			replicas[address] = fbsettings.NewReplica(address)
			replicas[address].HandlePush(startTime, fullUpdate(1))
			members = append(members, fbsettings.NewMember(address, 1))
		}
		for _, r := range replicas {
			r.HandleMembers(startTime, members)
		}
		_, actions := replicas[members[n/2].Address()].HandlePush(startTime, deltaUpdate(1, 2))
		messages, hops := 0, 0
		for ; len(actions) > 0; hops++ {
			var next []fbsettings.Action
			for _, a := range actions {
				messages++
				_, replies := replicas[a.Peer()].HandlePush(startTime, a.Update())
				next = append(next, replies...)
			}
			actions = next
		}
		t.Logf("%d daemons: %d messages in %d hops", n, messages, hops)
		for address, r := range replicas {
			if r.Status().Version() != 2 {
				t.Errorf("%s of %d daemons has version %d, want 2", address, n, r.Status().Version())
			}
		}
		if messages > n*fbsettings.Fanout {
			t.Errorf("got %d messages for %d daemons, want at most Fanout per daemon", messages, n)
		}
	}
}

// BenchmarkUpdate measures UpdateFor with a tree of the size that the settings are
// designed for. It reports the length of the update for a peer that lacks one change
// and for a peer without settings.
func BenchmarkUpdate(b *testing.B) {
	tree := fbtree.Default()
	var changes []fbtree.Change
	for team := range 100 {
		changes = append(changes, addTeamChanges(fmt.Sprintf("/team-%d", team), 20, 5)...)
	}
	tree, err := tree.Apply(changes...)
	if err != nil {
		b.Fatal(err)
	}
	r := fbsettings.NewReplica(selfAddress)
	r.HandleTree(startTime, tree.WithVersion(1))
	p, _ := fbtree.ParsePath("/team-57")
	next, err := tree.Apply(fbtree.Set(p, fbtree.KeyQuota, "2500"))
	if err != nil {
		b.Fatal(err)
	}
	r.HandleTree(startTime, next.WithVersion(2))
	for b.Loop() {
		if !r.UpdateFor(1).Delta() {
			b.Fatal("UpdateFor(1) is not a delta")
		}
	}
	b.ReportMetric(float64(len(r.UpdateFor(1).Body())), "delta-bytes")
	b.ReportMetric(float64(len(r.UpdateFor(0).Body())), "whole-bytes")
}

// addTeamChanges returns the changes that add a team with services and job kinds.
func addTeamChanges(team string, services, kinds int) []fbtree.Change {
	paths := []string{team}
	for s := range services {
		paths = append(paths, fmt.Sprintf("%s/service-%d", team, s))
		for k := range kinds {
			paths = append(paths, fmt.Sprintf("%s/service-%d/kind-%d", team, s, k))
		}
	}
	var out []fbtree.Change
	for _, text := range paths {
		p, _ := fbtree.ParsePath(text)
		out = append(out, fbtree.Add(p), fbtree.Set(p, fbtree.KeySpill, fmt.Sprint(len(out)%100)))
	}
	return out
}
