package fbfleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/filbertford/filbertford"
)

// testNetwork is a set of daemons with links that can be blocked.
type testNetwork struct {
	now         time.Duration
	nodes       map[filbertford.NodeID]*Fleet
	ids         []filbertford.NodeID
	dataCentres map[filbertford.NodeID]filbertford.DataCentre
	blocked     func(from, to filbertford.NodeID) bool
	down        map[filbertford.NodeID]bool
	paused      map[filbertford.NodeID]bool
	// reachable reports whether a daemon reaches the targets of a pool.
	reachable func(node filbertford.NodeID, pool filbertford.PoolID) bool
}

func newTestNetwork(perDataCentre map[filbertford.DataCentre]int) *testNetwork {
	n := &testNetwork{
		now:   time.Minute,
		nodes: make(map[filbertford.NodeID]*Fleet), dataCentres: make(map[filbertford.NodeID]filbertford.DataCentre),
		blocked:   func(_, _ filbertford.NodeID) bool { return false },
		down:      make(map[filbertford.NodeID]bool),
		paused:    make(map[filbertford.NodeID]bool),
		reachable: func(filbertford.NodeID, filbertford.PoolID) bool { return true },
	}
	var pools []PoolSpec
	for _, dataCentre := range []filbertford.DataCentre{"casa", "marrakech", "rabat"} {
		pools = append(pools, NewPoolSpec(filbertford.PoolID(dataCentre), dataCentre))
		for i := range perDataCentre[dataCentre] {
			id := filbertford.NodeID(fmt.Sprintf("%s-%d", dataCentre, i))
			n.ids = append(n.ids, id)
			n.dataCentres[id] = dataCentre
		}
	}
	for _, id := range n.ids {
		n.start(id, 1, pools)
	}
	return n
}

func (n *testNetwork) member(id filbertford.NodeID, incarnation uint64) Member {
	return NewMember(id, incarnation, string(id)+":1", n.dataCentres[id], 400)
}

func (n *testNetwork) start(id filbertford.NodeID, incarnation uint64, pools []PoolSpec) {
	f := New(n.member(id, incarnation), n.now)
	f.SetPools(pools)
	for _, other := range n.ids {
		f.AddMember(n.now, n.member(other, 1))
	}
	n.nodes[id] = f
}

// run advances the time in steps of half a heartbeat period.
func (n *testNetwork) run(d time.Duration) {
	for end := n.now + d; n.now < end; n.now += 50 * time.Millisecond {
		for _, from := range n.ids {
			if n.down[from] || n.paused[from] {
				continue
			}
			f := n.nodes[from]
			f.Tick(n.now, 1_000_000+n.now.Milliseconds())
			for _, e := range f.TakeEvents() {
				if e.Kind() == EventProbe && n.reachable(from, e.Pool()) {
					f.HandleProbeResult(n.now, e.Pool(), true)
				}
			}
			h := f.Heartbeat(n.now)
			for _, to := range n.ids {
				if from != to && !n.down[to] && !n.paused[to] && !n.blocked(from, to) {
					n.nodes[to].HandleHeartbeat(n.now, h)
				}
			}
		}
	}
}

// owners returns the owner of each pool as one daemon sees it.
func (n *testNetwork) owners(id filbertford.NodeID) map[string]string {
	out := make(map[string]string)
	for _, s := range n.nodes[id].pools {
		out[string(s.id)] = string(n.nodes[id].Owner(s.id).Node())
	}
	return out
}

func (n *testNetwork) claimants(pool filbertford.PoolID) []filbertford.NodeID {
	var out []filbertford.NodeID
	for _, id := range n.ids {
		if _, ok := n.nodes[id].owned[pool]; ok && !n.down[id] {
			out = append(out, id)
		}
	}
	return out
}

var threePerDataCentre = map[filbertford.DataCentre]int{"casa": 3, "marrakech": 3, "rabat": 3}

// TestOwnersAfterFault injects a fault into a fleet whose pools have owners. After
// a while it compares the data centres of the owners as one daemon sees them.
func TestOwnersAfterFault(t *testing.T) {
	inCasa := func(id filbertford.NodeID) bool { return id[0] == 'c' }
	tests := map[string]struct {
		perDataCentre map[filbertford.DataCentre]int
		fault         func(n *testNetwork)
		wait          time.Duration
		observer      filbertford.NodeID
		want          map[string]byte // first letter of the owner's name, 0 for none
	}{
		"calm": {perDataCentre: threePerDataCentre, wait: time.Second, observer: "rabat-0", want: map[string]byte{"casa": 'c', "marrakech": 'm', "rabat": 'r'}},
		"owner down": {
			perDataCentre: threePerDataCentre, wait: 600 * time.Millisecond, observer: "rabat-0",
			fault: func(n *testNetwork) { n.down[n.nodes["rabat-0"].Owner("casa").Node()] = true },
			want:  map[string]byte{"casa": 'c', "marrakech": 'm', "rabat": 'r'},
		},
		"all daemons of a data centre down, its targets reachable": {
			perDataCentre: threePerDataCentre, wait: 1500 * time.Millisecond, observer: "rabat-0",
			fault: func(n *testNetwork) { n.down["casa-0"], n.down["casa-1"], n.down["casa-2"] = true, true, true },
			want:  map[string]byte{"casa": '*', "marrakech": 'm', "rabat": 'r'},
		},
		"data centre cut off, seen from outside": {
			perDataCentre: threePerDataCentre, wait: 3 * time.Second, observer: "rabat-0",
			fault: func(n *testNetwork) {
				n.blocked = func(a, b filbertford.NodeID) bool { return inCasa(a) != inCasa(b) }
				n.reachable = func(id filbertford.NodeID, pool filbertford.PoolID) bool { return inCasa(id) == (pool == "casa") }
			},
			want: map[string]byte{"casa": 0, "marrakech": 'm', "rabat": 'r'},
		},
		"data centre cut off, seen from inside": {
			perDataCentre: threePerDataCentre, wait: 3 * time.Second, observer: "casa-1",
			fault: func(n *testNetwork) {
				n.blocked = func(a, b filbertford.NodeID) bool { return inCasa(a) != inCasa(b) }
				n.reachable = func(id filbertford.NodeID, pool filbertford.PoolID) bool { return inCasa(id) == (pool == "casa") }
			},
			want: map[string]byte{"casa": 'c', "marrakech": 0, "rabat": 0},
		},
		"one daemon cut off claims nothing": {
			perDataCentre: threePerDataCentre, wait: 3 * time.Second, observer: "rabat-1",
			fault: func(n *testNetwork) {
				n.blocked = func(a, b filbertford.NodeID) bool { return a == "rabat-1" || b == "rabat-1" }
			},
			want: map[string]byte{"casa": 0, "marrakech": 0, "rabat": 0},
		},
		"owner draining": {
			perDataCentre: threePerDataCentre, wait: 500 * time.Millisecond, observer: "casa-0",
			fault: func(n *testNetwork) { n.nodes[n.nodes["casa-0"].Owner("rabat").Node()].SetDraining() },
			want:  map[string]byte{"casa": 'c', "marrakech": 'm', "rabat": 'r'},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			n := newTestNetwork(tt.perDataCentre)
			n.run(2 * time.Second)
			if tt.fault != nil {
				tt.fault(n)
			}
			n.run(tt.wait)
			got := make(map[string]byte)
			for pool, owner := range n.owners(tt.observer) {
				switch {
				case owner == "":
					got[pool] = 0
				case tt.want[pool] == '*':
					got[pool] = '*'
				default:
					got[pool] = owner[0]
				}
			}
			if name == "one daemon cut off claims nothing" && n.nodes["rabat-0"].Owner("rabat").Node() == "" {
				t.Error("rabat-0 sees no owner of pool rabat, want one")
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("owners (-want +got):\n%s", diff)
			}
		})
	}
}

// TestCutOffDataCentreKeepsPoolAfterPartitionHeals checks that the owner of a data
// centre's pool stays the same when the data centre is cut off and when the
// partition heals.
func TestCutOffDataCentreKeepsPoolAfterPartitionHeals(t *testing.T) {
	n := newTestNetwork(threePerDataCentre)
	n.run(2 * time.Second)
	before := n.nodes["casa-0"].Owner("casa")
	inCasa := func(id filbertford.NodeID) bool { return id[0] == 'c' }
	n.blocked = func(a, b filbertford.NodeID) bool { return inCasa(a) != inCasa(b) }
	n.reachable = func(id filbertford.NodeID, pool filbertford.PoolID) bool { return inCasa(id) == (pool == "casa") }
	n.run(5 * time.Second)
	n.blocked = func(_, _ filbertford.NodeID) bool { return false }
	n.reachable = func(filbertford.NodeID, filbertford.PoolID) bool { return true }
	n.run(time.Second)
	if after := n.nodes["rabat-0"].Owner("casa"); after != before {
		t.Errorf("owner of pool casa changed from %v to %v", before, after)
	}
}

// TestEachPoolHasOneOwnerAfterFaults injects random faults and ends them. Then each
// pool must have one owner, on which all daemons agree.
func TestEachPoolHasOneOwnerAfterFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := newTestNetwork(map[filbertford.DataCentre]int{
			"casa": rapid.IntRange(1, 3).Draw(rt, "casa"), "marrakech": rapid.IntRange(1, 3).Draw(rt, "marrakech"),
			"rabat": rapid.IntRange(1, 3).Draw(rt, "rabat"),
		})
		n.run(2 * time.Second)
		for range rapid.IntRange(1, 5).Draw(rt, "faults") {
			id := rapid.SampledFrom(n.ids).Draw(rt, "node")
			switch rapid.IntRange(0, 4).Draw(rt, "fault") {
			case 0:
				n.down[id] = !n.down[id]
			case 1:
				n.paused[id] = !n.paused[id]
				if !n.paused[id] {
					n.nodes[id].HandleSuspension(n.now)
				}
			case 2:
				n.blocked = func(a, b filbertford.NodeID) bool { return a == id || b == id }
			case 3:
				n.blocked = func(a, b filbertford.NodeID) bool { return n.dataCentres[a] != n.dataCentres[b] }
			case 4:
				n.blocked = func(a, _ filbertford.NodeID) bool { return a == id } // in one direction only
			}
			n.run(time.Duration(rapid.IntRange(50, 3000).Draw(rt, "lasts")) * time.Millisecond)
		}
		clear(n.paused)
		clear(n.down)
		n.blocked = func(_, _ filbertford.NodeID) bool { return false }
		n.run(8 * time.Second)
		for _, pool := range []filbertford.PoolID{"casa", "marrakech", "rabat"} {
			if c := n.claimants(pool); len(c) != 1 {
				rt.Fatalf("pool %s is claimed by %v, want one daemon", pool, c)
			}
			for _, id := range n.ids {
				if o := n.nodes[id].Owner(pool); o != n.nodes[n.ids[0]].Owner(pool) {
					rt.Fatalf("%s and %s disagree on the owner of %s", id, n.ids[0], pool)
				}
			}
		}
	})
}

// TestLastDaemonClaimsPoolsWhenOthersRefuse stops all daemons but one. Their
// addresses refuse connections, so the last daemon claims the pools immediately. If
// it is fenced afterwards, as in a network partition that refuses connections, it
// does not claim the pool again.
func TestLastDaemonClaimsPoolsWhenOthersRefuse(t *testing.T) {
	for name, fenced := range map[string]bool{"killed": false, "partition that refuses connections": true} {
		t.Run(name, func(t *testing.T) {
			n := newTestNetwork(map[filbertford.DataCentre]int{"casa": 3})
			n.run(2 * time.Second)
			last := filbertford.NodeID("casa-2")
			f := n.nodes[last]
			for _, id := range n.ids {
				if id != last {
					n.down[id] = true
				}
			}
			refuse := func() {
				for _, id := range n.ids {
					f.HandleConnectionRefused(n.now, id, 1)
				}
			}
			refuse()
			n.run(100 * time.Millisecond)
			owner := f.Owner("casa")
			if owner.Node() != last {
				t.Fatalf("owner of pool casa is %q, want the last daemon", owner.Node())
			}
			if fenced {
				f.HandleFenced(n.now, "casa", owner.Fence())
				for range 10 {
					n.run(200 * time.Millisecond)
					refuse()
				}
				if got := f.Owner("casa").Node(); got != "" {
					t.Errorf("pool casa was claimed by %q after the fencing, want no owner", got)
				}
			}
		})
	}
}

// TestMuchStrongerDaemonTakesPoolOver starts a daemon after another one of its data
// centre has claimed the pool. A daemon of much greater weight takes the pool over
// after a while; one of about the same weight doesn't.
func TestMuchStrongerDaemonTakesPoolOver(t *testing.T) {
	for name, c := range map[string]struct {
		weight int
		want   filbertford.NodeID
	}{
		"stronger": {weight: 1000, want: "casa-2"},
		"equal":    {weight: 500, want: "casa-1"},
	} {
		t.Run(name, func(t *testing.T) {
			n := newTestNetwork(threePerDataCentre)
			n.down["casa-0"], n.down["casa-2"] = true, true
			n.run(time.Second)
			n.down["casa-2"] = false
			n.nodes["casa-2"] = New(NewMember("casa-2", 2, "casa-2:1", "casa", c.weight), n.now)
			n.nodes["casa-2"].SetPools(n.nodes["casa-1"].pools)
			n.run(2 * returnDelay)
			if got := n.claimants("casa"); len(got) != 1 || got[0] != c.want {
				t.Errorf("pool casa is claimed by %v, want %s", got, c.want)
			}
		})
	}
}
