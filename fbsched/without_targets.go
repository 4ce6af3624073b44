package fbsched

import (
	"time"

	"github.com/filbertford/filbertford"
)

// noTargetsReason is the reason in the answer to a job that no pool can start.
const noTargetsReason = "the owners of all pools that can be reached know no targets"

// SetOwnerTargets records whether the owner of a pool under the fencing token knows the targets.
// It may be called before SetOwner. A pool whose owner doesn't know them gets no new tasks.
func (c *Coordinator) SetOwnerTargets(now time.Duration, pool filbertford.PoolID, fence uint64, known bool) {
	v := c.pools[pool]
	switch {
	case v == nil:
	case !known:
		if fence > v.lackingFence {
			v.lackingFence, v.lackingSince = fence, now
		}
	case v.lackingFence == fence:
		v.lackingFence = 0
	}
}

// lacksTargets reports whether the pool's owner has stated that it doesn't know the targets.
func (v *poolView) lacksTargets() bool { return v.owner != "" && v.lackingFence == v.fence }

// noTargets reports whether a pool has an owner that hasn't known its targets for isolationTimeout,
// and no other pool is left: each has such an owner too, is evacuated, or has had no owner for as
// long. An owner that has just started usually reads the targets' records within that time.
func (c *Coordinator) noTargets(now time.Duration) bool {
	lacking := false
	for _, v := range c.pools {
		switch {
		case v.lacksTargets():
			if now-v.lackingSince < isolationTimeout {
				return false
			}
			lacking = true
		case v.evacuated, v.releases, v.owner == "" && now-v.lostAt >= isolationTimeout:
		default:
			return false
		}
	}
	return lacking
}
