package fbview_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbview"
)

// BenchmarkAdmit measures the time to decide about an opaque key that the daemon
// does not remember.
func BenchmarkAdmit(b *testing.B) {
	for _, n := range []int{3, 30} {
		b.Run(fmt.Sprintf("%d members", n), func(b *testing.B) {
			members := make([]fbview.Member, n)
			for i := range members {
				members[i] = fbview.NewMember(filbertford.Incarnation(i+1), fmt.Sprintf("127.0.0.1:%d", 7101+i))
			}
			value := fbview.NewRow(1, members...).WithPeriod(time.Second, time.Second).Bytes()
			now := time.UnixMilli(1_700_000_000_000)
			v := fbview.NewView(fbview.NewOptions(), dc, members[0])
			v.Tick(now)
			if _, err := v.HandleRow(now, now, filbertford.NewRow(fbview.Key(dc), value, 1)); err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				v.Admit("018bcfe5-c5cd-7b07-a2ad-22f6541852ea", now)
			}
			b.ReportMetric(float64(len(value)), "row-B")
		})
	}
}
