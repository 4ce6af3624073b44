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
	self  = "10.0.0.1:7101"
	other = "10.0.0.2:7101"
)

var start = time.Unix(1_800_000_000, 0)

// version returns a tree whose quota at /depot is its version.
func version(v uint64) *fbtree.Tree {
	p, _ := fbtree.ParsePath("/depot")
	tree, err := fbtree.Default().Apply(fbtree.Set(p, fbtree.KeyQuota, fmt.Sprint(v)))
	if err != nil {
		panic(err)
	}
	return tree.WithVersion(v)
}

// full returns an update that holds a whole version.
func full(v uint64) fbsettings.Update {
	return fbsettings.NewUpdate(v, 0, v, version(v).Encode(), false)
}

// changes returns an update from a version to another.
func changes(base, v uint64) fbsettings.Update {
	body := fbtree.EncodeChanges(fbtree.Diff(version(base), version(v)))
	return fbsettings.NewUpdate(v, base, v, body, true)
}

func TestUpdates(t *testing.T) {
	garbled := []byte("[{")
	tests := map[string]struct {
		update fbsettings.Update
		want   uint64
	}{
		"newer whole":           {full(7), 7},
		"newer changes":         {changes(5, 7), 7},
		"older whole":           {full(4), 5},
		"same version":          {full(5), 5},
		"older changes":         {changes(3, 4), 5},
		"changes of an older":   {changes(4, 6), 5},
		"changes of a newer":    {changes(6, 7), 5},
		"garbled whole":         {fbsettings.NewUpdate(7, 0, 7, garbled, false), 5},
		"garbled changes":       {fbsettings.NewUpdate(7, 5, 7, garbled, true), 5},
		"changes out of range":  {fbsettings.NewUpdate(7, 5, 7, []byte(`[{"op":"set","path":"/","key":"quota","value":"-1"}]`), true), 5},
		"changes of no node":    {fbsettings.NewUpdate(7, 5, 7, []byte(`[{"op":"remove","path":"/nobody"}]`), true), 5},
		"broken compression":    {fbsettings.NewUpdate(7, 0, 7, []byte{0x1f, 0x8b, 1}, false), 5},
		"empty":                 {fbsettings.NewUpdate(7, 0, 0, nil, false), 5},
		"greatest version, bad": {fbsettings.NewUpdate(7, 0, 1<<63, garbled, false), 5},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := fbsettings.NewSpread(self)
			s.HandlePush(start, full(5))
			reply, _ := s.HandlePush(start, tt.update)
			status := s.Status()
			if status.Version() != tt.want || reply.Have() != tt.want || s.Tree().Version() != tt.want {
				t.Errorf("version %d, replied %d, want %d", status.Version(), reply.Have(), tt.want)
			}
			if status.Newest() != tt.want {
				t.Errorf("newest %d, want %d", status.Newest(), tt.want)
			}
			if !s.Tree().Equal(version(tt.want)) {
				t.Errorf("the tree is not that of version %d", tt.want)
			}
		})
	}
}

func TestLateLoadDoesNotRevert(t *testing.T) {
	s := fbsettings.NewSpread(self)
	s.HandlePush(start, full(7))
	if s.HandleTree(start, version(6)); s.Tree().Version() != 7 {
		t.Errorf("version %d, want 7", s.Tree().Version())
	}
}

// kinds returns what the actions ask for, in order.
func kinds(actions []fbsettings.Action) []fbsettings.ActionKind {
	var out []fbsettings.ActionKind
	for _, a := range actions {
		out = append(out, a.Kind())
	}
	return out
}

func TestActions(t *testing.T) {
	member := func(v uint64) []fbsettings.Member { return []fbsettings.Member{fbsettings.NewMember(other, v)} }
	tests := map[string]struct {
		do   func(s *fbsettings.Spread) []fbsettings.Action
		want []fbsettings.ActionKind
	}{
		"first tick": {
			func(s *fbsettings.Spread) []fbsettings.Action { return s.HandleTick(start) },
			[]fbsettings.ActionKind{fbsettings.ActionPoll},
		},
		"no version anywhere": {
			func(s *fbsettings.Spread) []fbsettings.Action { return s.HandleHead(start, fbsettings.Head{}) },
			[]fbsettings.ActionKind{fbsettings.ActionInit},
		},
		"empty table, but a peer has a version": {
			func(s *fbsettings.Spread) []fbsettings.Action {
				s.HandleMembers(start, member(3))
				return s.HandleHead(start, fbsettings.Head{})
			},
			nil,
		},
		"boot with peers": {
			func(s *fbsettings.Spread) []fbsettings.Action { return s.HandleMembers(start, member(0)) },
			[]fbsettings.ActionKind{fbsettings.ActionPull},
		},
		"peer ahead": {
			func(s *fbsettings.Spread) []fbsettings.Action {
				s.HandlePush(start, full(5))
				return s.HandleMembers(start, member(6))
			},
			[]fbsettings.ActionKind{fbsettings.ActionPull},
		},
		"peer behind, but just now": {
			func(s *fbsettings.Spread) []fbsettings.Action {
				s.HandlePush(start, full(5))
				return s.HandleMembers(start, member(4))
			},
			nil,
		},
		"peer stays behind": {
			func(s *fbsettings.Spread) []fbsettings.Action {
				s.HandlePush(start, full(5))
				return s.HandleMembers(start.Add(time.Second), member(4))
			},
			[]fbsettings.ActionKind{fbsettings.ActionPush},
		},
		"new version with a peer": {
			func(s *fbsettings.Spread) []fbsettings.Action {
				s.HandleMembers(start, member(5))
				_, actions := s.HandlePush(start, full(6))
				return actions
			},
			[]fbsettings.ActionKind{fbsettings.ActionPush},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(tt.want, kinds(tt.do(fbsettings.NewSpread(self)))); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestPeerGetsWhatItLacks(t *testing.T) {
	s := fbsettings.NewSpread(self)
	for v := uint64(5); v <= 8; v++ {
		s.HandlePush(start, full(v))
	}
	for have, wantDelta := range map[uint64]bool{0: false, 4: false, 5: true, 7: true} {
		u := s.UpdateFor(have)
		if u.Version() != 8 || u.Delta() != wantDelta || u.Delta() && u.Base() != have {
			t.Errorf("update for %d: version %d, base %d, delta %v", have, u.Version(), u.Base(), u.Delta())
		}
		peer := fbsettings.NewSpread(other)
		if have > 0 {
			peer.HandlePush(start, full(have))
		}
		peer.HandleReply(start, self, u)
		if peer.Status().Version() != 8 || !peer.Tree().Equal(version(8)) {
			t.Errorf("peer with %d has %+v", have, peer.Status())
		}
	}
}

// TestReach lets one daemon hear of a version and checks that pushes alone bring
// it to all, with no more than Fanout messages from each.
func TestReach(t *testing.T) {
	for _, n := range []int{2, 3, 5, 9, 27, 100, 200} {
		spreads := make(map[string]*fbsettings.Spread)
		var members []fbsettings.Member
		for i := range n {
			address := fmt.Sprintf("10.0.%d.%d:7101", i/250, i%250)
			spreads[address] = fbsettings.NewSpread(address)
			spreads[address].HandlePush(start, full(1))
			members = append(members, fbsettings.NewMember(address, 1))
		}
		for _, s := range spreads {
			s.HandleMembers(start, members)
		}
		_, wave := spreads[members[n/2].Address()].HandlePush(start, changes(1, 2))
		messages, hops := 0, 0
		for ; len(wave) > 0; hops++ {
			var next []fbsettings.Action
			for _, a := range wave {
				messages++
				_, more := spreads[a.Peer()].HandlePush(start, a.Update())
				next = append(next, more...)
			}
			wave = next
		}
		t.Logf("%d daemons: %d messages in %d hops", n, messages, hops)
		for address, s := range spreads {
			if s.Status().Version() != 2 {
				t.Errorf("%s of %d has version %d", address, n, s.Status().Version())
			}
		}
		if messages > n*fbsettings.Fanout {
			t.Errorf("%d messages for %d daemons", messages, n)
		}
	}
}

// BenchmarkUpdate reports the length of what a peer gets that lacks one change,
// and of what a peer gets that has nothing, at the target's size.
func BenchmarkUpdate(b *testing.B) {
	tree := fbtree.Default()
	var changes []fbtree.Change
	for team := range 100 {
		changes = append(changes, branch(fmt.Sprintf("/team-%d", team), 20, 5)...)
	}
	tree, err := tree.Apply(changes...)
	if err != nil {
		b.Fatal(err)
	}
	s := fbsettings.NewSpread(self)
	s.HandleTree(start, tree.WithVersion(1))
	p, _ := fbtree.ParsePath("/team-57")
	next, err := tree.Apply(fbtree.Set(p, fbtree.KeyQuota, "2500"))
	if err != nil {
		b.Fatal(err)
	}
	s.HandleTree(start, next.WithVersion(2))
	for b.Loop() {
		if !s.UpdateFor(1).Delta() {
			b.Fatal("not as changes")
		}
	}
	b.ReportMetric(float64(len(s.UpdateFor(1).Body())), "delta-bytes")
	b.ReportMetric(float64(len(s.UpdateFor(0).Body())), "whole-bytes")
}

// branch returns the changes that add a team with services and job kinds.
func branch(team string, services, kinds int) []fbtree.Change {
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
