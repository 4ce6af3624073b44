package fbmetrics

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/uber-go/tally/v4"
)

// TestWriteText checks the output for a counter and a histogram.
func TestWriteText(t *testing.T) {
	scope, r, closer := NewScope()
	scope.Counter("jobs").Inc(3)
	h := scope.Histogram("wait", tally.DurationBuckets{time.Millisecond, time.Second})
	for _, d := range []time.Duration{500 * time.Microsecond, 20 * time.Millisecond, time.Minute} {
		h.RecordDuration(d)
	}
	if err := closer.Close(); err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := r.WriteText(&out); err != nil {
		t.Fatal(err)
	}
	want := `# TYPE filbertford_jobs counter
filbertford_jobs 3
# TYPE filbertford_wait_seconds histogram
filbertford_wait_seconds_bucket{le="0.001"} 1
filbertford_wait_seconds_bucket{le="1"} 2
filbertford_wait_seconds_bucket{le="+Inf"} 3
filbertford_wait_seconds_sum 1.001
filbertford_wait_seconds_count 3
`
	if diff := cmp.Diff(want, out.String()); diff != "" {
		t.Errorf("text (-want +got):\n%s", diff)
	}
}
