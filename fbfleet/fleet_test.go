package fbfleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/filbertford/filbertford"
)

// fleetWorld is a number of daemons with links that can be cut.
type fleetWorld struct {
	now    time.Duration
	nodes  map[filbertford.NodeID]*Fleet
	order  []filbertford.NodeID
	zones  map[filbertford.NodeID]filbertford.DataCentre
	cut    func(from, to filbertford.NodeID) bool
	down   map[filbertford.NodeID]bool
	paused map[filbertford.NodeID]bool
	// reach tells whether a daemon reaches the targets of a data centre.
	reach func(node filbertford.NodeID, pool filbertford.PoolID) bool
}

func newFleetWorld(perZone map[filbertford.DataCentre]int) *fleetWorld {
	w := &fleetWorld{
		now:   time.Minute,
		nodes: make(map[filbertford.NodeID]*Fleet), zones: make(map[filbertford.NodeID]filbertford.DataCentre),
		cut:    func(_, _ filbertford.NodeID) bool { return false },
		down:   make(map[filbertford.NodeID]bool),
		paused: make(map[filbertford.NodeID]bool),
		reach:  func(filbertford.NodeID, filbertford.PoolID) bool { return true },
	}
	var pools []PoolSpec
	for _, zone := range []filbertford.DataCentre{"casa", "marrakech", "rabat"} {
		pools = append(pools, NewPoolSpec(filbertford.PoolID(zone), zone))
		for i := range perZone[zone] {
			id := filbertford.NodeID(fmt.Sprintf("%s-%d", zone, i))
			w.order = append(w.order, id)
			w.zones[id] = zone
		}
	}
	for _, id := range w.order {
		w.start(id, 1, pools)
	}
	return w
}

func (w *fleetWorld) member(id filbertford.NodeID, life uint64) Member {
	return NewMember(id, life, string(id)+":1", w.zones[id], 400)
}

func (w *fleetWorld) start(id filbertford.NodeID, life uint64, pools []PoolSpec) {
	f := New(w.member(id, life), w.now)
	f.SetPools(pools)
	for _, other := range w.order {
		f.Learn(w.now, w.member(other, 1))
	}
	w.nodes[id] = f
}

// run lets time pass in steps of a heartbeat's half.
func (w *fleetWorld) run(d time.Duration) {
	for end := w.now + d; w.now < end; w.now += 50 * time.Millisecond {
		for _, from := range w.order {
			if w.down[from] || w.paused[from] {
				continue
			}
			f := w.nodes[from]
			f.Tick(w.now, 1_000_000+w.now.Milliseconds())
			for _, e := range f.TakeEvents() {
				if e.Kind() == EventProbe && w.reach(from, e.Pool()) {
					f.Probed(w.now, e.Pool(), true)
				}
			}
			b := f.Beat(w.now)
			for _, to := range w.order {
				if from != to && !w.down[to] && !w.paused[to] && !w.cut(from, to) {
					w.nodes[to].Heard(w.now, b)
				}
			}
		}
	}
}

// owners returns who owns each pool in the eyes of a daemon.
func (w *fleetWorld) owners(id filbertford.NodeID) map[string]string {
	out := make(map[string]string)
	for _, s := range w.nodes[id].pools {
		out[string(s.id)] = string(w.nodes[id].Owner(s.id).Node())
	}
	return out
}

func (w *fleetWorld) claimants(pool filbertford.PoolID) []filbertford.NodeID {
	var out []filbertford.NodeID
	for _, id := range w.order {
		if _, ok := w.nodes[id].mine[pool]; ok && !w.down[id] {
			out = append(out, id)
		}
	}
	return out
}

var threeEach = map[filbertford.DataCentre]int{"casa": 3, "marrakech": 3, "rabat": 3}

// TestOwners lets a fleet settle, brings a fault about and compares the owners'
// data centres after a while, as one daemon sees them.
func TestOwners(t *testing.T) {
	inCasa := func(id filbertford.NodeID) bool { return id[0] == 'c' }
	tests := map[string]struct {
		fleet map[filbertford.DataCentre]int
		fault func(w *fleetWorld)
		after time.Duration
		seen  filbertford.NodeID
		want  map[string]byte // first letter of the owner's name, 0 for none
	}{
		"calm": {fleet: threeEach, after: time.Second, seen: "rabat-0", want: map[string]byte{"casa": 'c', "marrakech": 'm', "rabat": 'r'}},
		"owner dies": {
			fleet: threeEach, after: 600 * time.Millisecond, seen: "rabat-0",
			fault: func(w *fleetWorld) { w.down[w.nodes["rabat-0"].Owner("casa").Node()] = true },
			want:  map[string]byte{"casa": 'c', "marrakech": 'm', "rabat": 'r'},
		},
		"data centre dies, its targets live": {
			fleet: threeEach, after: 1500 * time.Millisecond, seen: "rabat-0",
			fault: func(w *fleetWorld) { w.down["casa-0"], w.down["casa-1"], w.down["casa-2"] = true, true, true },
			want:  map[string]byte{"casa": '*', "marrakech": 'm', "rabat": 'r'},
		},
		"data centre cut off, seen from outside": {
			fleet: threeEach, after: 3 * time.Second, seen: "rabat-0",
			fault: func(w *fleetWorld) {
				w.cut = func(a, b filbertford.NodeID) bool { return inCasa(a) != inCasa(b) }
				w.reach = func(id filbertford.NodeID, pool filbertford.PoolID) bool { return inCasa(id) == (pool == "casa") }
			},
			want: map[string]byte{"casa": 0, "marrakech": 'm', "rabat": 'r'},
		},
		"data centre cut off, seen from inside": {
			fleet: threeEach, after: 3 * time.Second, seen: "casa-1",
			fault: func(w *fleetWorld) {
				w.cut = func(a, b filbertford.NodeID) bool { return inCasa(a) != inCasa(b) }
				w.reach = func(id filbertford.NodeID, pool filbertford.PoolID) bool { return inCasa(id) == (pool == "casa") }
			},
			want: map[string]byte{"casa": 'c', "marrakech": 0, "rabat": 0},
		},
		"one daemon cut off claims nothing": {
			fleet: threeEach, after: 3 * time.Second, seen: "rabat-1",
			fault: func(w *fleetWorld) {
				w.cut = func(a, b filbertford.NodeID) bool { return a == "rabat-1" || b == "rabat-1" }
			},
			want: map[string]byte{"casa": 0, "marrakech": 0, "rabat": 0},
		},
		"planned stop": {
			fleet: threeEach, after: 500 * time.Millisecond, seen: "casa-0",
			fault: func(w *fleetWorld) { w.nodes[w.nodes["casa-0"].Owner("rabat").Node()].SetDraining() },
			want:  map[string]byte{"casa": 'c', "marrakech": 'm', "rabat": 'r'},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newFleetWorld(tt.fleet)
			w.run(2 * time.Second)
			if tt.fault != nil {
				tt.fault(w)
			}
			w.run(tt.after)
			got := make(map[string]byte)
			for pool, owner := range w.owners(tt.seen) {
				switch {
				case owner == "":
					got[pool] = 0
				case tt.want[pool] == '*':
					got[pool] = '*'
				default:
					got[pool] = owner[0]
				}
			}
			if name == "one daemon cut off claims nothing" && w.nodes["rabat-0"].Owner("rabat").Node() == "" {
				t.Error("the others have no owner for the pool of rabat")
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("owners (-want +got):\n%s", diff)
			}
		})
	}
}

// TestPoolStaysAfterCut: a data centre that was cut off keeps its pool when the
// cut heals.
func TestPoolStaysAfterCut(t *testing.T) {
	w := newFleetWorld(threeEach)
	w.run(2 * time.Second)
	before := w.nodes["casa-0"].Owner("casa")
	inCasa := func(id filbertford.NodeID) bool { return id[0] == 'c' }
	w.cut = func(a, b filbertford.NodeID) bool { return inCasa(a) != inCasa(b) }
	w.reach = func(id filbertford.NodeID, pool filbertford.PoolID) bool { return inCasa(id) == (pool == "casa") }
	w.run(5 * time.Second)
	w.cut = func(_, _ filbertford.NodeID) bool { return false }
	w.reach = func(filbertford.NodeID, filbertford.PoolID) bool { return true }
	w.run(time.Second)
	if after := w.nodes["rabat-0"].Owner("casa"); after != before {
		t.Errorf("the pool went from %v to %v", before, after)
	}
}

// TestOneOwnerInTheEnd brings random faults about and lets them end: then each
// pool has one owner, and all agree.
func TestOneOwnerInTheEnd(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newFleetWorld(map[filbertford.DataCentre]int{
			"casa": rapid.IntRange(1, 3).Draw(rt, "casa"), "marrakech": rapid.IntRange(1, 3).Draw(rt, "marrakech"),
			"rabat": rapid.IntRange(1, 3).Draw(rt, "rabat"),
		})
		w.run(2 * time.Second)
		for range rapid.IntRange(1, 5).Draw(rt, "faults") {
			id := rapid.SampledFrom(w.order).Draw(rt, "node")
			switch rapid.IntRange(0, 4).Draw(rt, "fault") {
			case 0:
				w.down[id] = !w.down[id]
			case 1:
				w.paused[id] = !w.paused[id]
				if !w.paused[id] {
					w.nodes[id].Woke(w.now)
				}
			case 2:
				w.cut = func(a, b filbertford.NodeID) bool { return a == id || b == id }
			case 3:
				w.cut = func(a, b filbertford.NodeID) bool { return w.zones[a] != w.zones[b] }
			case 4:
				w.cut = func(a, _ filbertford.NodeID) bool { return a == id } // one way
			}
			w.run(time.Duration(rapid.IntRange(50, 3000).Draw(rt, "lasts")) * time.Millisecond)
		}
		clear(w.paused)
		clear(w.down)
		w.cut = func(_, _ filbertford.NodeID) bool { return false }
		w.run(8 * time.Second)
		for _, pool := range []filbertford.PoolID{"casa", "marrakech", "rabat"} {
			if c := w.claimants(pool); len(c) != 1 {
				rt.Fatalf("pool %s is claimed by %v", pool, c)
			}
			for _, id := range w.order {
				if o := w.nodes[id].Owner(pool); o != w.nodes[w.order[0]].Owner(pool) {
					rt.Fatalf("%s and %s disagree on the owner of %s", id, w.order[0], pool)
				}
			}
		}
	})
}

// TestLastDaemonClaims kills all daemons but one: their machines refuse
// connections, so it takes the pools at once. One that was fenced off since, as
// in a cut that refuses, leaves the pool alone.
func TestLastDaemonClaims(t *testing.T) {
	for name, fenced := range map[string]bool{"killed": false, "cut that refuses": true} {
		t.Run(name, func(t *testing.T) {
			w := newFleetWorld(map[filbertford.DataCentre]int{"casa": 3})
			w.run(2 * time.Second)
			last := filbertford.NodeID("casa-2")
			f := w.nodes[last]
			for _, id := range w.order {
				if id != last {
					w.down[id] = true
				}
			}
			refuse := func() {
				for _, id := range w.order {
					f.Gone(w.now, id, 1)
				}
			}
			refuse()
			w.run(100 * time.Millisecond)
			owner := f.Owner("casa")
			if owner.Node() != last {
				t.Fatalf("the pool's owner is %q", owner.Node())
			}
			if fenced {
				f.Fenced(w.now, "casa", owner.Fence())
				for range 10 {
					w.run(200 * time.Millisecond)
					refuse()
				}
				if got := f.Owner("casa").Node(); got != "" {
					t.Errorf("the pool was claimed again by %q", got)
				}
			}
		})
	}
}

// TestStrongDaemonGetsPool: daemons that start first claim the pools; a much
// stronger one that starts later gets its data centre's pool after a while, one
// of about the same strength doesn't.
func TestStrongDaemonGetsPool(t *testing.T) {
	for name, c := range map[string]struct {
		weight int
		want   filbertford.NodeID
	}{
		"stronger": {weight: 1000, want: "casa-2"},
		"equal":    {weight: 500, want: "casa-1"},
	} {
		t.Run(name, func(t *testing.T) {
			w := newFleetWorld(threeEach)
			w.down["casa-0"], w.down["casa-2"] = true, true
			w.run(time.Second)
			w.down["casa-2"] = false
			w.nodes["casa-2"] = New(NewMember("casa-2", 2, "casa-2:1", "casa", c.weight), w.now)
			w.nodes["casa-2"].SetPools(w.nodes["casa-1"].pools)
			w.run(2 * returnTerm)
			if got := w.claimants("casa"); len(got) != 1 || got[0] != c.want {
				t.Errorf("the pool is claimed by %v, want %s", got, c.want)
			}
		})
	}
}
