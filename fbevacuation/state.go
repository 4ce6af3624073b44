package fbevacuation

import (
	"maps"
	"slices"

	"github.com/filbertford/filbertford"
)

// minVersion is the version of a state without evacuations that was read from the store.
// It is the same for all daemons, so that they exchange nothing while there is no
// evacuation.
const minVersion = 1

// State is the set of evacuated data centres as of a version of the store. The zero State
// is unknown.
//
// The set is that of the store at version and at readVersion. Daemons compare version,
// which changes only with the set. A daemon that receives a state with a version between
// the two and another set knows the newer state, and raises its own version so that the
// others ask for it.
type State struct {
	known       bool
	version     uint64
	readVersion uint64
	dataCentres map[filbertford.DataCentre]bool
}

// Change is the begin or the end of an evacuation at a version of the store.
type Change struct {
	dataCentre filbertford.DataCentre
	version    uint64
	ended      bool
}

// NewBegin returns the begin of an evacuation.
func NewBegin(dc filbertford.DataCentre, version uint64) Change {
	return Change{dataCentre: dc, version: version}
}

// NewEnd returns the end of an evacuation.
func NewEnd(dc filbertford.DataCentre, version uint64) Change {
	return Change{dataCentre: dc, version: version, ended: true}
}

// Known reports whether the state has been read or received.
func (s *State) Known() bool { return s.known }

// Version returns the version of the state, 0 if it is unknown.
func (s *State) Version() uint64 { return s.version }

// DataCentres returns the evacuated data centres in ascending order.
func (s *State) DataCentres() []filbertford.DataCentre {
	return slices.Sorted(maps.Keys(s.dataCentres))
}

// Contains reports whether the data centre is evacuated.
func (s *State) Contains(dc filbertford.DataCentre) bool { return s.dataCentres[dc] }

// Read replaces the state by all evacuations as of a version of the store, unless it is
// older. It reports whether the set has changed.
func (s *State) Read(version uint64, dataCentres []filbertford.DataCentre) bool {
	if s.known && version < s.readVersion {
		return false
	}
	read := setOf(dataCentres)
	same := maps.Equal(read, s.dataCentres)
	switch {
	case !s.known && len(read) == 0:
		s.version = minVersion
	case !s.known || !same:
		s.version = max(version, minVersion)
	}
	s.known, s.readVersion, s.dataCentres = true, max(version, s.version), read
	return !same
}

// Update applies the changes up to a version of the store that have followed a version
// which the state includes or which is newer than the state. It ignores the changes that
// the state includes already, and reports whether the set has changed.
func (s *State) Update(version uint64, changes []Change) bool {
	if !s.known {
		return false
	}
	updated := maps.Clone(s.dataCentres)
	newest := s.version
	for _, c := range changes {
		if c.version <= s.readVersion {
			continue
		}
		newest = max(newest, c.version)
		delete(updated, c.dataCentre)
		if !c.ended {
			updated[c.dataCentre] = true
		}
	}
	changed := !maps.Equal(updated, s.dataCentres)
	if changed {
		s.version, s.dataCentres = newest, updated
	}
	s.readVersion = max(s.readVersion, version, s.version)
	return changed
}

// Receive replaces the state by one that another daemon has, unless it is older. It
// reports whether the set has changed.
func (s *State) Receive(version uint64, dataCentres []filbertford.DataCentre) bool {
	received := setOf(dataCentres)
	same := maps.Equal(received, s.dataCentres)
	switch {
	case s.known && version <= s.version:
		return false
	case s.known && same:
		s.version, s.readVersion = version, max(s.readVersion, version)
		return false
	case s.known && version <= s.readVersion:
		s.version = s.readVersion
		return false
	}
	s.known, s.version, s.readVersion, s.dataCentres = true, version, version, received
	return !same
}

func setOf(dataCentres []filbertford.DataCentre) map[filbertford.DataCentre]bool {
	out := make(map[filbertford.DataCentre]bool, len(dataCentres))
	for _, dc := range dataCentres {
		out[dc] = true
	}
	return out
}
