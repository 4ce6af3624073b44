package fbsoak

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestFreeAddressReturnsDistinctPorts draws ports as runs side by side do: a port that is drawn
// but not in use yet must not be drawn again.
func TestFreeAddressReturnsDistinctPorts(t *testing.T) {
	seen := make(map[string]bool)
	for range 1000 {
		address, err := freeAddress()
		if err != nil {
			t.Fatal(err)
		}
		if seen[address] {
			t.Fatalf("%s was drawn twice", address)
		}
		seen[address] = true
	}
}

// TestPlanIsDeterministicForSeed draws plans twice.
func TestPlanIsDeterministicForSeed(t *testing.T) {
	for name, seed := range map[string]uint64{"small": 1, "large": 1 << 40} {
		t.Run(name, func(t *testing.T) {
			first, again := Plan(seed, 20*time.Second, 6, 9), Plan(seed, 20*time.Second, 6, 9)
			if diff := cmp.Diff(first, again); diff != "" {
				t.Errorf("two plans of one seed differ:\n%s", diff)
			}
			for i, f := range first {
				if i > 0 && f.At < first[i-1].At || f.Index < 0 || f.Index >= 9 || f.Duration < 0 {
					t.Errorf("fault %d is %v", i, f)
				}
			}
		})
	}
}
