package fbshard

import (
	"slices"
	"time"

	"github.com/filbertford/filbertford"
)

// ClaimVerified tells that the keeper had the shard after the pools were named to
// Verify, so that its tasks there may go on.
type ClaimVerified struct{ Pools []filbertford.PoolID }

// verification is the state of the checks that the shard has no other keeper.
type verification struct {
	queued   []filbertford.PoolID // named since the read was sent
	inFlight []filbertford.PoolID // covered by the read on its way
	retryAt  time.Duration        // when a read that failed is sent again, 0 for none
}

// VerifyClaim has the claim read before tasks are offered again to a pool that could
// not be reached, or has another owner: this daemon may have been cut off, and
// another keeper may have recorded the ends of those tasks meanwhile.
func (o *Owner) VerifyClaim(pool filbertford.PoolID) {
	if o.phase == phaseLost || !o.hasUnfinishedJobs() {
		return
	}
	if !slices.Contains(o.verification.queued, pool) {
		o.verification.queued = append(o.verification.queued, pool)
	}
	o.sendVerification()
}

// hasUnfinishedJobs reports whether any job is not over.
func (o *Owner) hasUnfinishedJobs() bool {
	for _, j := range o.jobs {
		if !j.state.final() {
			return true
		}
	}
	return false
}

func (o *Owner) sendVerification() {
	v := &o.verification
	if o.phase != phaseServing || len(v.inFlight) > 0 || len(v.queued) == 0 || v.retryAt != 0 {
		return
	}
	v.inFlight, v.queued = v.queued, nil
	o.emit(StoreCall{Kind: CallVerifyClaim})
}

// handleVerification takes in the claim as read for a verification.
func (o *Owner) handleVerification(now time.Duration, s filbertford.Snapshot, err error) {
	v := &o.verification
	pools := v.inFlight
	v.inFlight = nil
	if o.phase != phaseServing {
		v.queued = append(v.queued, pools...)
		return
	}
	if err != nil {
		v.queued, v.retryAt = append(v.queued, pools...), now+retryDelay
		return
	}
	for _, c := range s.Changes() {
		if c.Row().Key() == claimKey && !c.Removed() && c.Row().Version() == o.claimVersion {
			o.emit(ClaimVerified{Pools: pools})
			o.sendVerification()
			return
		}
	}
	v.queued = append(v.queued, pools...)
	if o.pending != nil {
		o.requeue(o.pending)
	}
	o.claimShard()
}

// retryVerification sends a read again that failed.
func (o *Owner) retryVerification(now time.Duration) {
	if v := &o.verification; v.retryAt != 0 && now >= v.retryAt {
		v.retryAt = 0
		o.sendVerification()
	}
}

// finishVerification ends the checks that a new claim of this keeper makes needless.
func (o *Owner) finishVerification() {
	v := &o.verification
	if pools := append(v.inFlight, v.queued...); len(pools) > 0 {
		o.emit(ClaimVerified{Pools: pools})
	}
	v.inFlight, v.queued, v.retryAt = nil, nil, 0
}
