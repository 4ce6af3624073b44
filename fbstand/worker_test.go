package fbstand

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestLedgerRestarted: a task that starts again after it was done counts only if
// its end was acknowledged while the lease held.
func TestLedgerRestarted(t *testing.T) {
	for name, c := range map[string]struct {
		pause time.Duration
		want  []string
	}{
		"acknowledged in time":     {want: []string{"t"}},
		"lease ran out in between": {pause: 250 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			l := NewLedger()
			w := NewWorker("w", 1000, l)
			lease := func() time.Duration { return w.clock() + 200*time.Millisecond }
			if reason := w.start("t", 1, 100, 0, lease()); reason != "" {
				t.Fatal(reason)
			}
			time.Sleep(time.Millisecond)
			w.settle()
			time.Sleep(c.pause)
			w.settle()
			w.forget(1)
			if reason := w.start("t", 2, 100, 0, lease()); reason != "" {
				t.Fatal(reason)
			}
			if diff := cmp.Diff(c.want, l.Restarted()); diff != "" {
				t.Errorf("started again (-want +got):\n%s", diff)
			}
		})
	}
}
