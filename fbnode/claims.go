package fbnode

import (
	"encoding/json"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbevent"
	"github.com/filbertford/filbertford/fbtimer"
)

// Periods and age limit of the claims that owners write to the store.
const (
	// claimRenewPeriod is the time between two renewals of a daemon's claims, which
	// are all renewed in one call.
	claimRenewPeriod = 1500 * time.Millisecond
	// claimReadPeriod is the time between two reads of the claims by a daemon that
	// lacks the majority to claim a pool without an owner.
	claimReadPeriod = 500 * time.Millisecond
	// staleClaimAge is the time without a renewal after which a claim is stale: two
	// renewal periods plus the delay of a slow store.
	staleClaimAge = 4 * time.Second
)

// claimRow is the value of an owner's row in the claims table.
type claimRow struct {
	Node  string `json:"node"`
	Fence uint64 `json:"fence"`
}

// claimState is the state of the renewals and reads of claims in the store.
type claimState struct {
	lastRenewal time.Duration
	lastRead    time.Duration
	reading     bool
	seen        map[string]seenClaim
}

// seenClaim is the version of a claim and the time when it was first read.
type seenClaim struct {
	version uint64
	since   time.Duration
}

// tickClaims renews this daemon's claims, and checks whether the claims to pools
// without a reachable owner are still renewed.
func (n *Node) tickClaims(now time.Duration) {
	if claims := n.fleet.Claims(); len(claims) > 0 && now-n.claims.lastRenewal >= claimRenewPeriod {
		n.claims.lastRenewal = now
		t := filbertford.NewTransaction("")
		for _, c := range claims {
			value, err := json.Marshal(claimRow{Node: string(n.opts.Member.Node()), Fence: c.Fence()})
			if err != nil {
				fbevent.RecordMalformed.Log(n.deps.Log, "pool", c.Pool(), "error", err)
				continue
			}
			t.Put(filbertford.TableClaims, string(c.Pool()), value)
		}
		n.calls.Go(func() error {
			// A failed renewal is not retried, since the next one follows. Other
			// daemons only lose time by it.
			_, err := n.deps.Store.Commit(n.ctx, t)
			if err != nil {
				n.post(func(now time.Duration) { n.recorder.recordRenewalFailure(now, err) })
			}
			return nil
		})
	}
	unowned := n.fleet.ClaimsToCheck(now)
	if len(unowned) == 0 {
		n.claims.seen = nil
		return
	}
	if !n.claims.reading && now-n.claims.lastRead >= claimReadPeriod {
		n.readClaims(now)
	}
}

// readClaims reads the claims without blocking the control goroutine.
func (n *Node) readClaims(now time.Duration) {
	n.claims.lastRead, n.claims.reading = now, true
	n.calls.Go(func() error {
		readAt := fbtimer.SinceBoot() // the daemon may be suspended before it handles the reply
		snap, err := n.deps.Store.List(n.ctx, filbertford.TableClaims, "")
		n.post(func(time.Duration) {
			n.claims.reading = false
			if err == nil {
				n.checkClaims(readAt, snap)
			}
		})
		return nil
	})
}

// checkClaims marks as stale the claims to pools without a reachable owner that have
// not been renewed for staleClaimAge.
func (n *Node) checkClaims(now time.Duration, s filbertford.Snapshot) {
	versions := make(map[string]uint64)
	for _, c := range s.Changes() {
		versions[c.Row().Key()] = c.Row().Version()
	}
	if n.claims.seen == nil {
		n.claims.seen = make(map[string]seenClaim)
	}
	for _, pool := range n.fleet.ClaimsToCheck(now) {
		key := string(pool)
		seen, ok := n.claims.seen[key]
		if !ok || seen.version != versions[key] {
			n.claims.seen[key] = seenClaim{version: versions[key], since: now}
			continue
		}
		if now-seen.since >= staleClaimAge {
			n.fleet.SetClaimStale(pool, true)
		}
	}
}
