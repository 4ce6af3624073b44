package fbsoak

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestFreeAddressReturnsDistinctPorts checks that a port is not returned again while
// it is allocated but not yet in use, as happens in concurrent runs.
func TestFreeAddressReturnsDistinctPorts(t *testing.T) {
	seen := make(map[string]bool)
	for range 1000 {
		address, err := freeAddress()
		if err != nil {
			t.Fatal(err)
		}
		if seen[address] {
			t.Fatalf("address %s was returned twice", address)
		}
		seen[address] = true
	}
}

// TestPlanIsDeterministicForSeed checks that a seed always gives the same plan, with
// its faults in order and in range.
func TestPlanIsDeterministicForSeed(t *testing.T) {
	for name, seed := range map[string]uint64{"small": 1, "large": 1 << 40} {
		t.Run(name, func(t *testing.T) {
			first, again := Plan(seed, 20*time.Second, 6, 9), Plan(seed, 20*time.Second, 6, 9)
			if diff := cmp.Diff(first, again); diff != "" {
				t.Errorf("plans of the same seed differ (-first +second):\n%s", diff)
			}
			for i, f := range first {
				if i > 0 && f.At < first[i-1].At || f.Index < 0 || f.Index >= 9 || f.Duration < 0 {
					t.Errorf("fault %d is out of order or range: %v", i, f)
				}
			}
		})
	}
}
