package fbkeep

import (
	"slices"
	"time"

	"github.com/filbertford/filbertford"
)

// Verified tells that the keeper had the shard after the pools were named to
// Verify, so that its tasks there may go on.
type Verified struct{ Pools []filbertford.PoolID }

// verification is the state of the checks that the shard has no other keeper.
type verification struct {
	wanted []filbertford.PoolID // named since the read was sent
	asked  []filbertford.PoolID // covered by the read on its way
	retry  time.Duration        // when a read that failed is sent again, 0 for none
}

// Verify has the claim read before tasks are offered again to a pool that could
// not be reached, or has another owner: this daemon may have been cut off, and
// another keeper may have recorded the ends of those tasks meanwhile.
func (k *Keeper) Verify(pool filbertford.PoolID) {
	if k.phase == phaseLost || !k.hasWork() {
		return
	}
	if !slices.Contains(k.verification.wanted, pool) {
		k.verification.wanted = append(k.verification.wanted, pool)
	}
	k.sendVerification()
}

// hasWork reports whether any job is not over.
func (k *Keeper) hasWork() bool {
	for _, j := range k.jobs {
		if !j.state.over() {
			return true
		}
	}
	return false
}

func (k *Keeper) sendVerification() {
	v := &k.verification
	if k.phase != phaseServing || len(v.asked) > 0 || len(v.wanted) == 0 || v.retry != 0 {
		return
	}
	v.asked, v.wanted = v.wanted, nil
	k.do(Call{Kind: CallVerifyClaim})
}

// claimVerified takes in the claim as read for a verification.
func (k *Keeper) claimVerified(now time.Duration, s filbertford.Snapshot, err error) {
	v := &k.verification
	asked := v.asked
	v.asked = nil
	if k.phase != phaseServing {
		v.wanted = append(v.wanted, asked...)
		return
	}
	if err != nil {
		v.wanted, v.retry = append(v.wanted, asked...), now+retryPause
		return
	}
	for _, c := range s.Changes() {
		if c.Row().Key() == claimKey && !c.Removed() && c.Row().Version() == k.claim {
			k.do(Verified{Pools: asked})
			k.sendVerification()
			return
		}
	}
	v.wanted = append(v.wanted, asked...)
	if k.flight != nil {
		k.again(k.flight)
	}
	k.open()
}

// tickVerification sends a read again that failed.
func (k *Keeper) tickVerification(now time.Duration) {
	if v := &k.verification; v.retry != 0 && now >= v.retry {
		v.retry = 0
		k.sendVerification()
	}
}

// verifiedByClaim ends the checks that a new claim of this keeper makes needless.
func (k *Keeper) verifiedByClaim() {
	v := &k.verification
	if pools := append(v.asked, v.wanted...); len(pools) > 0 {
		k.do(Verified{Pools: pools})
	}
	v.asked, v.wanted, v.retry = nil, nil, 0
}
