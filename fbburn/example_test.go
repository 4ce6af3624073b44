package fbburn_test

import (
	"fmt"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbburn"
)

// The objective allows one job in a hundred to fail. Here one in five fails.
func Example() {
	now := time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC)
	objective := fbburn.NewObjective(0.99, time.Second)
	recorder := fbburn.NewRecorder(now)
	for i := range 100 {
		code := filbertford.CodeComplete
		if i%5 == 0 {
			code = filbertford.CodeTaskFailed
		}
		outcome := fbburn.Classify(code, 300*time.Millisecond, objective.MaxLatency())
		recorder.Record(now, fbburn.NewKey("depot", "ordering", "stock-check"), objective, outcome)
	}
	for _, s := range recorder.Snapshot(now, false).Services() {
		fmt.Printf("%s has burn rate %.0f over an hour: %s\n", s.Key(), s.BurnRate(fbburn.Window1h), s.Verdict())
	}
	// Output: depot/ordering/stock-check has burn rate 20 over an hour: page
}
