package fbview

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/filbertford/filbertford"
)

// Owner returns the member that owns the key under the view by rendezvous
// hashing (Thaler and Ravishankar, 1998): the member with the highest hash of the
// key and its incarnation. It returns false if the view has no members. When
// members are added or removed, only keys that they own change owners.
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

// Home returns the data centre whose daemons own the key, by rendezvous hashing
// over the data centres, whose order does not matter. It returns an empty name
// if there are none. Every daemon must use the same set; docs/MODELS.md describes
// how to change it.
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

// rendezvousHash returns the score of a candidate owner for the key with the
// given hash. The candidate with the highest score owns the key.
func rendezvousHash(key, candidate uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], key)
	binary.LittleEndian.PutUint64(b[8:], candidate)
	return xxhash.Sum64(b[:])
}
