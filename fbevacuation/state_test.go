package fbevacuation

import (
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/filbertford/filbertford"
)

// watcher is a daemon with the version of its last read of the store.
type watcher struct {
	State
	read uint64
}

// TestDaemonsAgreeOnTheStore plays daemons that read, watch and exchange the evacuations in
// any order. It guards against an older state that replaces a newer one, against one that isn't
// that of the store at its versions, and against daemons that still differ after an exchange in
// which one has read the store.
func TestDaemonsAgreeOnTheStore(t *testing.T) {
	names := []filbertford.DataCentre{"a", "b"}
	rapid.Check(t, func(rt *rapid.T) {
		history := []map[filbertford.DataCentre]bool{{}, {}, {}}
		changes := map[uint64]Change{}
		daemons := make([]watcher, 3)
		send := func(from, to *watcher) {
			if from.Version() > to.Version() {
				to.Receive(from.Version(), from.DataCentres())
			}
		}
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			before := slices.Clone(daemons)
			current := uint64(len(history) - 1)
			d := &daemons[rapid.IntRange(0, 2).Draw(rt, "daemon")]
			switch rapid.IntRange(0, 4).Draw(rt, "step") {
			case 0: // any transaction, of an evacuation or not
				next := maps.Clone(history[current])
				if dc := rapid.SampledFrom(append(names, "")).Draw(rt, "data centre"); next[dc] {
					delete(next, dc)
					changes[current+1] = NewEnd(dc, current+1)
				} else if dc != "" {
					next[dc] = true
					changes[current+1] = NewBegin(dc, current+1)
				}
				history = append(history, next)
			case 1, 2: // a read, possibly of older data
				d.read = rapid.Uint64Range(1, current).Draw(rt, "version")
				d.Read(d.read, namesOf(history[d.read]))
			case 3: // a watch
				if d.read == 0 {
					continue
				}
				to := rapid.Uint64Range(d.read, current).Draw(rt, "version")
				var out []Change
				for v := d.read + 1; v <= to; v++ {
					if c, ok := changes[v]; ok {
						out = append(out, c)
					}
				}
				d.Update(to, out)
				d.read = to
			default:
				send(&daemons[rapid.IntRange(0, 2).Draw(rt, "sender")], d)
			}
			for i := range daemons {
				checkState(rt, &daemons[i].State, history)
				if daemons[i].readVersion < before[i].readVersion || daemons[i].version < before[i].version {
					rt.Fatalf("state %v of daemon %d has become %v", before[i].State, i, daemons[i].State)
				}
			}
		}
		current := uint64(len(history) - 1)
		daemons[0].Read(current, namesOf(history[current]))
		for range 3 {
			for i := range daemons {
				for j := range daemons {
					send(&daemons[i], &daemons[j])
				}
			}
		}
		for i := range daemons {
			if !maps.Equal(daemons[i].dataCentres, history[current]) {
				rt.Fatalf("daemon %d has %v, the store %v", i, daemons[i].State, history[current])
			}
		}
	})
}

func namesOf(set map[filbertford.DataCentre]bool) []filbertford.DataCentre {
	s := State{dataCentres: set}
	return s.DataCentres()
}

// checkState checks that the set is that of the store at the two versions of the state.
func checkState(rt *rapid.T, s *State, history []map[filbertford.DataCentre]bool) {
	versions := []uint64{s.version, s.readVersion}
	if s.version == minVersion {
		versions = versions[1:] // nothing was evacuated when it was first read
	}
	for _, v := range versions {
		if s.known && !maps.Equal(s.dataCentres, history[v]) {
			rt.Fatalf("state %v, but version %d of the store has %v", *s, v, history[v])
		}
	}
}
