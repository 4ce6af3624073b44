package fbstandin

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestRunRecorderRestartedAfterDone checks that a second start of a done task is
// reported only if the first run was acknowledged before the lease expired.
func TestRunRecorderRestartedAfterDone(t *testing.T) {
	for name, c := range map[string]struct {
		pause time.Duration
		want  []string
	}{
		"acknowledged before the lease expired":    {want: []string{"t"}},
		"lease expired before the acknowledgement": {pause: 250 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			recorder := NewRunRecorder()
			w := NewWorker("w", 1000, recorder)
			leaseExpiry := func() time.Duration { return w.clock() + 200*time.Millisecond }
			if reason := w.startRun("t", 1, 100, 0, leaseExpiry()); reason != "" {
				t.Fatal(reason)
			}
			time.Sleep(time.Millisecond)
			w.endDueRuns()
			time.Sleep(c.pause)
			w.endDueRuns()
			w.acknowledge(1)
			if reason := w.startRun("t", 2, 100, 0, leaseExpiry()); reason != "" {
				t.Fatal(reason)
			}
			if diff := cmp.Diff(c.want, recorder.RestartedAfterDone()); diff != "" {
				t.Errorf("RestartedAfterDone (-want +got):\n%s", diff)
			}
		})
	}
}
