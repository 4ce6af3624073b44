package fbtree

import "crypto/sha256"

// TeamOf returns the team that a caller's key belongs to, or false if there is
// none. A tree without any caller keys returns an empty name, which stands for
// every team.
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
