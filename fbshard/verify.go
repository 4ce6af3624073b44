package fbshard

import (
	"slices"
	"time"

	"github.com/filbertford/filbertford"
)

// ClaimVerified reports that this daemon still owned the shard after VerifyClaim
// was called for the pools, so that the tasks there may continue.
type ClaimVerified struct{ Pools []filbertford.PoolID }

// verification is the state of the checks that the shard has no other owner.
type verification struct {
	queued   []filbertford.PoolID // added since the read was sent
	inFlight []filbertford.PoolID // covered by the read in progress
	retryAt  time.Duration        // when a failed read is sent again, 0 for none
}

// VerifyClaim reads the claim before tasks are offered again to a pool that was
// unreachable or has a new owner. This daemon may have been cut off, and another
// owner of the shard may have recorded the outcomes of those tasks meanwhile, and may have
// stored jobs that this one doesn't know, also if all of its own have ended. An owner that
// has no jobs doesn't read: deployments without stored jobs make no calls for the shards.
func (o *Owner) VerifyClaim(pool filbertford.PoolID) {
	if o.phase == phaseLost || len(o.jobs) == 0 {
		return
	}
	if !slices.Contains(o.verification.queued, pool) {
		o.verification.queued = append(o.verification.queued, pool)
	}
	o.sendVerification()
}

func (o *Owner) sendVerification() {
	v := &o.verification
	if o.phase != phaseServing || len(v.inFlight) > 0 || len(v.queued) == 0 || v.retryAt != 0 {
		return
	}
	v.inFlight, v.queued = v.queued, nil
	o.emit(StoreCall{Kind: CallVerifyClaim})
}

// handleVerification processes the claim that was read for a verification.
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

// retryVerification sends a failed read again when it is due.
func (o *Owner) retryVerification(now time.Duration) {
	if v := &o.verification; v.retryAt != 0 && now >= v.retryAt {
		v.retryAt = 0
		o.sendVerification()
	}
}

// finishVerification completes all checks after this daemon has committed a new
// claim, which verifies them.
func (o *Owner) finishVerification() {
	v := &o.verification
	if pools := append(v.inFlight, v.queued...); len(pools) > 0 {
		o.emit(ClaimVerified{Pools: pools})
	}
	v.inFlight, v.queued, v.retryAt = nil, nil, 0
}
