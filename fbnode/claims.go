package fbnode

import (
	"encoding/json"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbevent"
)

// Times of the claims that owners write into the store.
const (
	// renewPeriod is the time between two renewals of a daemon's claims, in one
	// call.
	renewPeriod = 1500 * time.Millisecond
	// readPeriod is the time between two reads by a daemon that hears too few
	// others to know whether an owner lives.
	readPeriod = 500 * time.Millisecond
	// staleTerm is the time without a renewal after which a claim is stale: two
	// renewals and a slow store.
	staleTerm = 4 * time.Second
)

// ownerRow is an owner's row of the table of claims.
type ownerRow struct {
	Node  string `json:"node"`
	Fence uint64 `json:"fence"`
}

// claimWatch is what a daemon knows of the claims in the store.
type claimWatch struct {
	renewed time.Duration
	read    time.Duration
	busy    bool
	seen    map[string]seenClaim
}

// seenClaim is a claim's version and when it was first read.
type seenClaim struct {
	version uint64
	since   time.Duration
}

// tickClaims renews this daemon's claims, and looks whether those of pools
// without a reachable owner are renewed.
func (n *Node) tickClaims(now time.Duration) {
	if claims := n.fleet.Claims(); len(claims) > 0 && now-n.claims.renewed >= renewPeriod {
		n.claims.renewed = now
		t := filbertford.NewTransaction("")
		for _, c := range claims {
			value, err := json.Marshal(ownerRow{Node: string(n.opts.Member.Node()), Fence: c.Fence()})
			if err != nil {
				fbevent.RecordMalformed.Log(n.parts.Log, "pool", c.Pool(), "error", err)
				continue
			}
			t.Put(filbertford.TableClaims, string(c.Pool()), value)
		}
		n.calls.Go(func() error {
			// A renewal that fails is followed by the next; others only lose time.
			_, err := n.parts.Store.Commit(n.ctx, t)
			if err != nil {
				n.post(func(now time.Duration) { n.book.renewalFailed(now, err) })
			}
			return nil
		})
	}
	doubtful := n.fleet.Doubtful(now)
	if len(doubtful) == 0 {
		n.claims.seen = nil
		return
	}
	if !n.claims.busy && now-n.claims.read >= readPeriod {
		n.readClaims(now)
	}
}

// readClaims reads the claims beside the control goroutine.
func (n *Node) readClaims(now time.Duration) {
	n.claims.read, n.claims.busy = now, true
	n.calls.Go(func() error {
		snap, err := n.parts.Store.List(n.ctx, filbertford.TableClaims, "")
		n.post(func(now time.Duration) {
			n.claims.busy = false
			if err == nil {
				n.claimsRead(now, snap)
			}
		})
		return nil
	})
}

// claimsRead notes which claims of pools without an owner are not renewed.
func (n *Node) claimsRead(now time.Duration, s filbertford.Snapshot) {
	versions := make(map[string]uint64)
	for _, c := range s.Changes() {
		versions[c.Row().Key()] = c.Row().Version()
	}
	if n.claims.seen == nil {
		n.claims.seen = make(map[string]seenClaim)
	}
	for _, pool := range n.fleet.Doubtful(now) {
		key := string(pool)
		seen, ok := n.claims.seen[key]
		if !ok || seen.version != versions[key] {
			n.claims.seen[key] = seenClaim{version: versions[key], since: now}
			continue
		}
		if now-seen.since >= staleTerm {
			n.fleet.SetStale(pool, true)
		}
	}
}
