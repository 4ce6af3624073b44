package fbplacement

import (
	"fmt"
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// TestBetter guards against fast targets that are used up by tasks that a slow one
// serves in time, and against tasks that miss their objective on a slow target.
func TestBetter(t *testing.T) {
	fast := filbertford.NewFreeTarget(100*time.Millisecond, 4000)
	slow := filbertford.NewFreeTarget(240*time.Millisecond, 1000)
	tight := filbertford.NewFreeTarget(100*time.Millisecond, 0)
	tests := map[string]struct {
		placement filbertford.Placement
		left      time.Duration
		a, b      filbertford.FreeTarget
		want      bool
	}{
		"fastest takes the fast one":              {placement: Fastest{}, left: time.Second, a: fast, b: slow, want: true},
		"fastest takes the best fit among equals": {placement: Fastest{}, left: time.Second, a: tight, b: fast, want: true},
		"the slow one is in time":                 {placement: SlowestInTime{}, left: time.Second, a: slow, b: fast, want: true},
		"the slow one is too slow":                {placement: SlowestInTime{}, left: 250 * time.Millisecond, a: fast, b: slow, want: true},
		"both are too slow":                       {placement: SlowestInTime{}, left: -time.Second, a: fast, b: slow, want: true},
		"the best fit among equals":               {placement: SlowestInTime{}, left: time.Second, a: tight, b: fast, want: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := tt.placement.Better(tt.left, tt.a, tt.b); got != tt.want {
				t.Errorf("Better(a, b) = %v, want %v", got, tt.want)
			}
			if tt.placement.Better(tt.left, tt.b, tt.a) == tt.want {
				t.Errorf("Better(b, a) = %v as well", tt.want)
			}
		})
	}
}

// ExampleSlowestInTime leaves the fast target to a task that needs it.
func ExampleSlowestInTime() {
	fast := filbertford.NewFreeTarget(60*time.Millisecond, 0)
	slow := filbertford.NewFreeTarget(102*time.Millisecond, 0)
	fmt.Println(SlowestInTime{}.Better(156*time.Millisecond, slow, fast))
	fmt.Println(SlowestInTime{}.Better(120*time.Millisecond, slow, fast))
	// Output:
	// true
	// false
}
