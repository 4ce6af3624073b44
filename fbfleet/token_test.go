package fbfleet

import (
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

const tokenPool filbertford.PoolID = "casa"

// The names of daemons whose hashes have the same low bits.
const (
	lowerName  filbertford.NodeID = "node-3"
	higherName filbertford.NodeID = "node-61"
)

func tokenMember(id filbertford.NodeID) Member {
	return NewMember(id, 1, string(id)+":1", "casa", 400)
}

func startTokenDaemon(id filbertford.NodeID, known ...filbertford.NodeID) *Fleet {
	f := New(tokenMember(id), time.Minute)
	f.SetPools([]PoolSpec{NewPoolSpec(tokenPool, "casa")})
	for _, other := range known {
		f.AddMember(time.Minute, tokenMember(other))
	}
	return f
}

// claimAlone makes a daemon that no other daemon has reached yet claim the pool.
func claimAlone(t *testing.T, f *Fleet, now time.Duration, wallMillis int64) uint64 {
	t.Helper()
	f.Tick(now, wallMillis)
	for _, m := range f.Members() {
		f.HandleConnectionRefused(now, m.Node(), m.Incarnation())
	}
	claims := f.Claims()
	if len(claims) != 1 {
		t.Fatalf("%s has %d claims, want 1", f.self.node, len(claims))
	}
	return claims[0].Fence()
}

// TestTokensOfDaemonsDiffer makes two daemons whose names have the same hash claim one
// pool in the same millisecond.
func TestTokensOfDaemonsDiffer(t *testing.T) {
	const now, wall = time.Minute + startDelay, 1_796_000_000_000
	lower, higher := startTokenDaemon(lowerName, higherName), startTokenDaemon(higherName, lowerName)
	a, b := claimAlone(t, lower, now, wall), claimAlone(t, higher, now, wall)
	if a == b {
		t.Errorf("%s and %s both drew the token %d", lowerName, higherName, a)
	}
}

// TestEqualTokens makes two daemons that don't know each other draw equal tokens. One of
// them keeps the pool as soon as either receives a heartbeat of the other.
func TestEqualTokens(t *testing.T) {
	const now, wall = time.Minute + startDelay, 1_796_000_000_000
	for name, test := range map[string]struct {
		lowerHears, higherHears bool
		wantOwned               map[filbertford.NodeID]bool
		wantHigher              bool // the remaining token is higher than the equal ones
	}{
		"both hear":              {lowerHears: true, higherHears: true, wantOwned: map[filbertford.NodeID]bool{higherName: true}, wantHigher: true},
		"only lower name hears":  {lowerHears: true, wantOwned: map[filbertford.NodeID]bool{higherName: true}},
		"only higher name hears": {higherHears: true, wantOwned: map[filbertford.NodeID]bool{lowerName: true, higherName: true}, wantHigher: true},
	} {
		t.Run(name, func(t *testing.T) {
			lower, higher, observer := startTokenDaemon(lowerName), startTokenDaemon(higherName), startTokenDaemon("observer")
			equal := claimAlone(t, lower, now, wall)
			if other := claimAlone(t, higher, now, wall); other != equal {
				t.Fatalf("the tokens are %d and %d; the names no longer test equal ones", equal, other)
			}
			fromLower, fromHigher := lower.Heartbeat(now), higher.Heartbeat(now)
			for _, h := range []Heartbeat{fromHigher, fromLower} {
				observer.HandleHeartbeat(now, h)
			}
			if got := observer.Owner(tokenPool).Node(); got != higherName {
				t.Errorf("the owner is %s, want the higher name", got)
			}
			if test.lowerHears {
				lower.HandleHeartbeat(now+time.Millisecond, fromHigher)
			}
			if test.higherHears {
				higher.HandleHeartbeat(now+time.Millisecond, fromLower)
			}
			for _, f := range []*Fleet{lower, higher} {
				fence, owned := f.owned[tokenPool]
				if owned != test.wantOwned[f.self.node] {
					t.Errorf("%s owns the pool: %t, want %t", f.self.node, owned, test.wantOwned[f.self.node])
				}
				if f == higher && fence > equal != test.wantHigher {
					t.Errorf("%s has the token %d, the equal ones were %d", f.self.node, fence, equal)
				}
			}
			lower.HandleHeartbeat(now+2*time.Millisecond, higher.Heartbeat(now+2*time.Millisecond))
			if len(lower.Claims()) != 0 {
				t.Errorf("%s still owns the pool after a heartbeat of the higher name", lowerName)
			}
		})
	}
}

// TestTokensOfEarlierVersion checks that daemons whose tokens hold only the hash of their
// names and those of this version draw tokens above each other's.
func TestTokensOfEarlierVersion(t *testing.T) {
	const now, wall = time.Minute + startDelay, 1_796_000_000_000
	earlier := func(wallMillis, highest uint64) uint64 { return max(wallMillis, highest>>8+1)<<8 | 0x5a }
	f := startTokenDaemon(lowerName)
	f.HandleHeartbeat(now, NewHeartbeat(tokenMember("earlier"), true, nil, []Claim{NewClaim(tokenPool, earlier(wall+1000, 0))}))
	f.markDown(f.peers["earlier"], "stopped")
	fence := claimAlone(t, f, now+2*f.heartbeatTimeout(), wall)
	if known := earlier(wall+1000, 0); fence <= known {
		t.Errorf("the token is %d, not above the earlier version's %d", fence, known)
	}
	if next := earlier(wall, fence); next <= fence {
		t.Errorf("the earlier version draws %d, not above %d", next, fence)
	}
	if unheard := earlier(wall+2000, 0); unheard <= fence {
		t.Errorf("the earlier version draws %d two seconds later without knowing %d", unheard, fence)
	}
	if fence >= 1<<53 {
		t.Errorf("the token %d is no exact JSON number", fence)
	}
}
