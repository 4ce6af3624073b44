package fbstandin

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestRunRecorderRestartedAfterDone: a task that starts again after it was done counts only if
// its end was acknowledged while the lease held.
func TestRunRecorderRestartedAfterDone(t *testing.T) {
	for name, c := range map[string]struct {
		pause time.Duration
		want  []string
	}{
		"acknowledged in time":     {want: []string{"t"}},
		"lease ran out in between": {pause: 250 * time.Millisecond},
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
				t.Errorf("started again (-want +got):\n%s", diff)
			}
		})
	}
}
