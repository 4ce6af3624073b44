package fbnode

import (
	"strings"
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// TestPoolOfTwoThatDoNotHearEachOther cuts two daemons from each other only. The pool that both
// would claim moves between them at most every claimDelay of fbfleet, as other daemons report.
func TestPoolOfTwoThatDoNotHearEachOther(t *testing.T) {
	const length, claimDelay = 6 * time.Second, 500 * time.Millisecond
	for name, dataCentres := range map[string][]filbertford.DataCentre{"one data centre": {"casa"}, "two data centres": {"casa", "rabat"}} {
		t.Run(name, func(t *testing.T) {
			s := newQuietFleet(t, 4, 3, 4, dataCentres...)
			s.trace = true
			s.submit("casa-2", "job", 4, 3*time.Second, 12*time.Second)
			s.advance(500 * time.Millisecond)
			from := len(s.lines)
			s.cutAll(length, []string{"casa-0"}, []string{"casa-1"})
			s.advance(length)
			claims := 0
			for _, line := range s.lines[from:] {
				if strings.Contains(line.text, "fleet: acquired") {
					claims++
				}
			}
			if limit := int(length/claimDelay) + 1; claims > limit {
				t.Errorf("the pool was claimed %d times, want %d at most", claims, limit)
			}
			for _, v := range s.violations {
				t.Error(v)
			}
		})
	}
}
