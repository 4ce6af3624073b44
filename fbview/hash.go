package fbview

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/filbertford/filbertford"
)

// Owner returns the member that owns the key under the view, by rendezvous
// hash (Thaler and Ravishankar, 1998): the member with the highest hash of the
// key and its incarnation. It returns false if the view has no members. A
// change of members moves only the keys of those that came or went.
func (r Row) Owner(key string) (Member, bool) {
	var owner Member
	var highest uint64
	keyHash := xxhash.Sum64String(key)
	for i, m := range r.members {
		score := rendezvousHash(keyHash, uint64(m.incarnation))
		if i == 0 || score > highest {
			owner, highest = m, score
		}
	}
	return owner, len(r.members) > 0
}

// Home returns the data centre whose daemons own the key, by rendezvous hash
// over the data centres, whose order does not matter. It returns an empty name
// if there are none. Every daemon must use the same set: see docs/MODELS.md on
// what a change of it takes.
func Home(key string, dcs []filbertford.DataCentre) filbertford.DataCentre {
	var home filbertford.DataCentre
	var highest uint64
	keyHash := xxhash.Sum64String(key)
	for i, dc := range dcs {
		score := rendezvousHash(keyHash, xxhash.Sum64String(string(dc)))
		if i == 0 || score > highest || score == highest && dc < home {
			home, highest = dc, score
		}
	}
	return home
}

// rendezvousHash hashes the hash of a key with a number that stands for a place.
func rendezvousHash(key, candidate uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], key)
	binary.LittleEndian.PutUint64(b[8:], candidate)
	return xxhash.Sum64(b[:])
}
