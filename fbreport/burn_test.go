package fbreport_test

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/filbertford/filbertford/fbburn"
	"github.com/filbertford/filbertford/fbreport"
)

// burnSnapshot returns counts of three days: of a service whose burn rate is high
// at the end, of one without answers for parts of the time, and of one with only
// over-quota answers.
func burnSnapshot() fbburn.Snapshot {
	end := time.Date(2026, 3, 5, 9, 12, 0, 0, time.UTC)
	recorder := fbburn.NewRecorder(end.Add(-72 * time.Hour))
	objective := fbburn.NewObjective(0.999, 800*time.Millisecond)
	for now := end.Add(-71 * time.Hour); !now.After(end); now = now.Add(time.Minute) {
		minute := int(now.Unix() / 60)
		for i := range 20 + minute%13 {
			outcome := fbburn.OutcomeGood
			if end.Sub(now) < 90*time.Minute && i%40 == 7 || minute%97 == i {
				outcome = fbburn.OutcomeBad
			}
			recorder.Record(now, fbburn.NewKey("depot", "ordering", "stock-check"), objective, outcome)
		}
		if hour := now.Hour(); hour > 5 && hour < 20 && minute%60 < 40 {
			recorder.Record(now, fbburn.NewKey("depot", "<script>", ""), objective, fbburn.OutcomeGood)
			recorder.Record(now, fbburn.NewKey("atlas", "orders", ""), objective, fbburn.OutcomeOverQuota)
		}
	}
	return recorder.Snapshot(end, true)
}

func TestBurnPage(t *testing.T) {
	full := fbreport.NewBurnReport(burnSnapshot(), "http://a:1", "http://b:1")
	none := fbreport.NewBurnReport(fbburn.NewRecorder(time.Unix(0, 0)).Snapshot(time.Unix(0, 0), true), "this daemon")
	tests := map[string]struct {
		burn fbreport.BurnReport
		part string
		want int
	}{
		"plots":             {full, "<svg", 3},
		"services":          {full, "99.9 % in 800ms", 3},
		"verdict":           {full, `<td class="page">page</td>`, 1},
		"daemons":           {full, "by http://a:1, http://b:1.", 1},
		"unescaped name":    {full, "<script", 0},
		"all reachable":     {full, "Not reached", 0},
		"one unreachable":   {full.WithUnreachable("http://c:1"), "are missing here: http://c:1", 1},
		"no answers":        {none, "No answer was counted yet", 1},
		"no answers, plots": {none, "<svg", 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			page, err := fbreport.BurnPage(tt.burn)
			if err != nil {
				t.Fatal(err)
			}
			if got := strings.Count(string(page), tt.part); got != tt.want {
				t.Errorf("got %d occurrences of %q, want %d", got, tt.part, tt.want)
			}
		})
	}
}

// BenchmarkBurnPage also writes the page to the file named by FBREPORT_PAGE, so
// that it can be viewed in a browser.
func BenchmarkBurnPage(b *testing.B) {
	burn := fbreport.NewBurnReport(burnSnapshot(), "http://127.0.0.1:7102", "http://127.0.0.1:7112").WithUnreachable("http://127.0.0.1:7122")
	var page []byte
	for range b.N {
		var err error
		if page, err = fbreport.BurnPage(burn); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(page)), "B/page")
	if file := os.Getenv("FBREPORT_PAGE"); file != "" {
		if err := os.WriteFile(file, page, 0o644); err != nil {
			b.Fatal(fmt.Errorf("FBREPORT_PAGE: %w", err))
		}
	}
}
