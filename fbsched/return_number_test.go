package fbsched

import (
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// TestReturnsNameTheirOffer guards against returns of a pool that count as the answer to a later offer, since
// they don't state which one they answer.
func TestReturnsNameTheirOffer(t *testing.T) {
	const number, timeout = 17, 100 * time.Millisecond
	tests := map[string]struct {
		change func(b Batch) Batch
		act    func(p *Pool, now time.Duration)
		want   Status
	}{
		"withdrawn": {act: func(p *Pool, now time.Duration) { p.Withdraw(now, "c", "00000000000000aa") }, want: StatusReturned},
		"recalled":  {act: func(p *Pool, now time.Duration) { p.Recall(now, "c", "00000000000000aa") }, want: StatusReturned},
		"expired":   {act: func(p *Pool, now time.Duration) { p.Tick(now+timeout, testWallOffset) }, want: StatusExpired},
		"absent": {
			change: func(b Batch) Batch { return b.WithStored(true, true).WithResume(earlierRunTimeout) },
			act:    func(p *Pool, now time.Duration) { p.Tick(now+listTimeout, testWallOffset) }, want: StatusAbsent,
		},
		"larger than any target": {
			change: func(b Batch) Batch {
				b.step = filbertford.NewStep(1, filbertford.NewResources(9000, 1, 0), time.Second)
				return b
			},
			act: func(*Pool, time.Duration) {}, want: StatusReturned,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Minute
			p := NewPool(testPool, 1, testWallOffset, now)
			if name == "larger than any target" {
				p.SetTargets(now, []filbertford.TargetRecord{recordOf("t00", 2000)})
				answerLists(p, now, "t00", 2000, 500_000)
				p.Tick(now, testWallOffset)
			}
			p.TakeActions(now)
			step := filbertford.NewStep(1, filbertford.NewResources(1000, 1, 0), time.Second)
			b := NewBatch(testPool, "00000000000000aa", 0, 0, step, []Item{NewItem(0, 0)}).
				WithWork("", "ordering", 3).WithTimes(time.Second, timeout).WithFence(1).WithOfferNumber(number)
			if tt.change != nil {
				b = tt.change(b)
			}
			p.Offer(now, "c", b)
			tt.act(p, now)
			var reports []Report
			for _, a := range p.TakeActions(now) {
				if v, ok := a.(SendReport); ok {
					reports = append(reports, v.Report)
				}
			}
			if len(reports) != 1 || reports[0].Status() != tt.want || reports[0].OfferNumber() != number {
				t.Errorf("reports are %+v, want one %q that answers the offer %d", reports, tt.want, number)
			}
		})
	}
}
