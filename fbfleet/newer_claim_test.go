package fbfleet

import (
	"testing"
	"time"
)

// TestReportedNewerClaimEndsOwnership checks that an owner gives its pool up when a third daemon
// reports a claim with a higher token, and only then.
func TestReportedNewerClaimEndsOwnership(t *testing.T) {
	for name, tt := range map[string]struct {
		above int64 // the reported token less the owner's
		owns  bool
	}{
		"higher token": {above: 1 << fenceNodeBits},
		"own token":    {owns: true},
		"lower token":  {above: -1, owns: true},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Minute
			f := New(NewMember("a", 1, "a:1", "nordnes", 1), now)
			f.SetPools([]PoolSpec{NewPoolSpec("nordnes", "nordnes")})
			now += 2 * startDelay
			f.Tick(now, 1_000_000)
			own, ok := f.owned["nordnes"]
			if !ok {
				t.Fatal("the daemon doesn't own the pool")
			}
			reported := uint64(int64(own) + tt.above)
			f.HandleNewerClaim(now, "nordnes", reported)
			if _, ok := f.owned["nordnes"]; ok != tt.owns {
				t.Errorf("the daemon owns the pool: %t, want %t", ok, tt.owns)
			}
			if !tt.owns && f.highestFence["nordnes"] != reported {
				t.Errorf("highest known token is %d, want %d", f.highestFence["nordnes"], reported)
			}
		})
	}
}
