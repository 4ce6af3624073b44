package fbfleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// BenchmarkFleet measures the cost of heartbeats and ticks at one daemon of a
// fleet with four data centres and eight shards.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []int{9, 43, 300} {
		now := time.Minute
		f, heartbeats := newBenchmarkFleet(size, now)
		b.Run(fmt.Sprintf("heard/daemons=%d", size), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				f.HandleHeartbeat(now, heartbeats[i%len(heartbeats)])
			}
		})
		b.Run(fmt.Sprintf("tick/daemons=%d", size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				f.Tick(now, 1_000_000)
				f.TakeEvents()
			}
		})
	}
}

// newBenchmarkFleet returns the view of one daemon of a fleet without faults, and
// the heartbeats of the others. The first daemons own the pools.
func newBenchmarkFleet(size int, now time.Duration) (*Fleet, []Heartbeat) {
	dataCentres := []filbertford.DataCentre{"a", "b", "c", "d"}
	var pools []PoolSpec
	for _, d := range dataCentres {
		pools = append(pools, NewPoolSpec(filbertford.PoolID(d), d))
	}
	for i := range 8 {
		pools = append(pools, NewPoolSpec(filbertford.PoolID(fmt.Sprintf("shard-%d", i)), ""))
	}
	self := NewMember("node-000", 1, "10.0.0.0:1", dataCentres[0], 1)
	f := New(self, now-time.Minute)
	f.SetPools(pools)
	var heartbeats []Heartbeat
	for i := 1; i < size; i++ {
		m := NewMember(filbertford.NodeID(fmt.Sprintf("node-%03d", i)), 1, fmt.Sprintf("10.0.0.%d:1", i), dataCentres[i%len(dataCentres)], 8)
		var claims []Claim
		for k, p := range pools {
			if k%8+1 == i {
				claims = append(claims, NewClaim(p.ID(), uint64(1000+k)))
			}
		}
		heartbeats = append(heartbeats, NewHeartbeat(m, false, map[filbertford.NodeID]bool{self.Node(): true}, claims))
	}
	for _, h := range heartbeats {
		f.HandleHeartbeat(now, h)
	}
	return f, heartbeats
}
