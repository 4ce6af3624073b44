package fbtree

import "crypto/sha256"

// TeamOf returns the team that a caller's key belongs to, or false if the key is
// not known. In a tree without caller keys it returns an empty name and true: the
// caller may act for every team.
func (t *Tree) TeamOf(key string) (string, bool) {
	if len(t.callerKeys) == 0 {
		return "", true
	}
	sum := sha256.Sum256([]byte(key))
	for team, hashes := range t.callerKeys {
		if _, ok := hashes[sum]; ok {
			return team, true
		}
	}
	return "", false
}
