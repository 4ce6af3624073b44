package fbfleet

import (
	"slices"
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// rankedNetwork returns a fleet whose pools have owners, and the daemons of casa: the owner, and
// the others in the order in which they rank for its pool.
func rankedNetwork() (*testNetwork, []filbertford.NodeID) {
	n := newTestNetwork(threePerDataCentre)
	n.run(time.Second)
	ranked := []filbertford.NodeID{"casa-0", "casa-1", "casa-2"}
	spec, owner := NewPoolSpec("casa", "casa"), n.nodes["rabat-0"].Owner("casa").Node()
	slices.SortFunc(ranked, func(a, b filbertford.NodeID) int {
		if a == owner || b == owner {
			return map[bool]int{true: -1, false: 1}[a == owner]
		}
		f := n.nodes[a]
		return compareRanks(f.rank(n.member(a, 1), spec), f.rank(n.member(b, 1), spec))
	})
	return n, ranked
}

// state sets what daemons state of the targets' records.
func (n *testNetwork) state(k TargetKnowledge, ids ...filbertford.NodeID) {
	for _, id := range ids {
		n.nodes[id].targets = k
	}
}

// cutOff cuts casa off.
func (n *testNetwork) cutOff() {
	inCasa := func(id filbertford.NodeID) bool { return id[0] == 'c' }
	n.blocked = func(a, b filbertford.NodeID) bool { return inCasa(a) != inCasa(b) }
	n.reachable = func(id filbertford.NodeID, pool filbertford.PoolID) bool { return inCasa(id) == (pool == "casa") }
}

// TestPoolGoesToDaemonThatKnowsItsTargets guards against a successor that has started while the
// store can't be reached: its data centre's callers were refused until the store replied.
func TestPoolGoesToDaemonThatKnowsItsTargets(t *testing.T) {
	tests := map[string]struct {
		second, third, remote TargetKnowledge // of the daemons that rank second and third, and of those outside
		cut                   bool
		change                func(third *Fleet)
		within                time.Duration
		want                  int // rank of the new owner, -1 for a daemon of another data centre
	}{
		"neighbour knows, data centre cut off": {second: TargetsUnknown, third: TargetsKnown, remote: TargetsKnown, cut: true, within: 1500 * time.Millisecond, want: 2},
		"neighbour knows":                      {second: TargetsUnknown, third: TargetsKnown, remote: TargetsKnown, within: 700 * time.Millisecond, want: 2},
		"both know":                            {second: TargetsKnown, third: TargetsKnown, remote: TargetsKnown, within: 700 * time.Millisecond, want: 1},
		"neither knows, others do":             {second: TargetsUnknown, third: TargetsUnknown, remote: TargetsKnown, within: 700 * time.Millisecond, want: -1},
		"neither knows, data centre cut off":   {second: TargetsUnknown, third: TargetsUnknown, remote: TargetsKnown, cut: true, within: 1500 * time.Millisecond, want: 1},
		"nobody knows":                         {second: TargetsUnknown, third: TargetsUnknown, remote: TargetsUnknown, within: 700 * time.Millisecond, want: 1},
		"neighbour of an earlier version":      {second: TargetsUnknown, third: TargetsUnstated, remote: TargetsUnstated, within: 700 * time.Millisecond, want: 1},
		"earlier version ranks first":          {second: TargetsUnstated, third: TargetsKnown, remote: TargetsKnown, within: 700 * time.Millisecond, want: 1},
		"neighbour knows and is about to stop": {
			second: TargetsUnknown, third: TargetsKnown, remote: TargetsUnknown, within: 700 * time.Millisecond, want: 1,
			change: (*Fleet).SetDraining,
		},
		"neighbour knows and doesn't claim": {
			second: TargetsUnknown, third: TargetsKnown, remote: TargetsUnknown, within: 700*time.Millisecond + claimDelay, want: 1,
			change: func(f *Fleet) { f.startedAt = 1 << 62 }, // as a daemon that is starting
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			n, ranked := rankedNetwork()
			for _, id := range n.ids {
				if id[0] != 'c' {
					n.state(tt.remote, id)
				}
			}
			n.state(tt.second, ranked[1])
			n.state(tt.third, ranked[2])
			if tt.change != nil {
				tt.change(n.nodes[ranked[2]])
			}
			if tt.cut {
				n.cutOff()
			}
			n.run(2 * time.Second) // heartbeats state what daemons know
			n.down[ranked[0]] = true
			n.run(tt.within)
			got := n.claimants("casa")
			if len(got) != 1 || slices.Index(ranked, got[0]) != tt.want {
				t.Errorf("pool casa is claimed by %v after %v, want the daemon of rank %d of %v", got, tt.within, tt.want, ranked)
			}
		})
	}
}

// TestOwnerWithoutTargetsHandsPoolOn checks that a pool leaves a working owner that doesn't know
// its targets, once, and only for a daemon of its data centre that does.
func TestOwnerWithoutTargetsHandsPoolOn(t *testing.T) {
	tests := map[string]struct {
		owner, local, remote TargetKnowledge
		cut                  bool
		moves                bool
	}{
		"neighbour knows":                   {owner: TargetsUnknown, local: TargetsKnown, remote: TargetsKnown, moves: true},
		"neighbour knows, cut off":          {owner: TargetsUnknown, local: TargetsKnown, remote: TargetsKnown, cut: true, moves: true},
		"only others know":                  {owner: TargetsUnknown, local: TargetsUnknown, remote: TargetsKnown},
		"owner of an earlier version":       {owner: TargetsUnstated, local: TargetsKnown, remote: TargetsKnown},
		"neighbours of an earlier version":  {owner: TargetsUnknown, local: TargetsUnstated, remote: TargetsUnstated},
		"owner knows, neighbours don't":     {owner: TargetsKnown, local: TargetsUnknown, remote: TargetsUnknown},
		"cut off, nobody inside knows them": {owner: TargetsUnknown, local: TargetsUnknown, remote: TargetsKnown, cut: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			n, ranked := rankedNetwork()
			for _, id := range n.ids {
				if id[0] != 'c' {
					n.state(tt.remote, id)
				}
			}
			n.state(tt.local, ranked[1], ranked[2])
			if tt.cut {
				n.cutOff()
			}
			n.run(500 * time.Millisecond)
			n.state(tt.owner, ranked[0])
			n.run(claimDelay - 100*time.Millisecond)
			if got := n.claimants("casa"); len(got) != 1 || got[0] != ranked[0] {
				t.Fatalf("pool casa is claimed by %v before %v, want %s", got, claimDelay, ranked[0])
			}
			fences := make(map[uint64]bool)
			for range 40 {
				n.run(100 * time.Millisecond)
				fences[n.nodes[ranked[2]].Owner("casa").Fence()] = true
			}
			n.blocked = func(_, _ filbertford.NodeID) bool { return false }
			n.run(4 * time.Second)
			want := ranked[0]
			if tt.moves {
				want = ranked[1]
			}
			if got := n.claimants("casa"); len(got) != 1 || got[0] != want {
				t.Errorf("pool casa is claimed by %v, want %s", got, want)
			}
			if len(fences) > 2 {
				t.Errorf("the pool had %d fencing tokens, want 2 at most", len(fences))
			}
		})
	}
}
