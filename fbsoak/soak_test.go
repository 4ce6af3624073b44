package fbsoak

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestPortsAreDistinct draws ports as runs side by side do: a port that is drawn
// but not in use yet must not be drawn again.
func TestPortsAreDistinct(t *testing.T) {
	seen := make(map[string]bool)
	for range 1000 {
		address, err := freePort()
		if err != nil {
			t.Fatal(err)
		}
		if seen[address] {
			t.Fatalf("%s was drawn twice", address)
		}
		seen[address] = true
	}
}

// TestPlanIsDecidedByItsSeed draws plans twice.
func TestPlanIsDecidedByItsSeed(t *testing.T) {
	for name, seed := range map[string]uint64{"small": 1, "large": 1 << 40} {
		t.Run(name, func(t *testing.T) {
			first, again := Plan(seed, 20*time.Second, 6, 9), Plan(seed, 20*time.Second, 6, 9)
			if diff := cmp.Diff(first, again); diff != "" {
				t.Errorf("two plans of one seed differ:\n%s", diff)
			}
			for i, f := range first {
				if i > 0 && f.At < first[i-1].At || f.Part < 0 || f.Part >= 9 || f.For < 0 {
					t.Errorf("fault %d is %v", i, f)
				}
			}
		})
	}
}
