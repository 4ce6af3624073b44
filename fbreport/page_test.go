package fbreport_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/filbertford/filbertford/fbload"
	"github.com/filbertford/filbertford/fbreport"
)

const resultJSON = `{"label":%LABEL%,"mix":"depot","rate":0.8,"jobs":10,
 "over_ideal":{"count":10,"mean":1.2,"p50":1.1,"p99":2,"p99_9":3,"max":3,"points":[[50,1.1],[90,1.5],[99,2],[99.9,3]]},
 "clairvoyant_over_ideal":{"count":10,"mean":1,"p50":1,"p99":1,"p99_9":1,"max":1,"points":[[50,1],[99,1]]},
 "seconds":[{"jobs":5,"complete":5,"over_ideal":1.3},{"jobs":5}],
 "messages":{"wasted":{"no_slot":4,"stops":0}}}`

func parseResult(t *testing.T, text string) fbload.Result {
	t.Helper()
	var r fbload.Result
	if err := json.Unmarshal([]byte(text), &r); err != nil {
		t.Fatal(err)
	}
	return r
}

func TestComparisonPage(t *testing.T) {
	page, err := fbreport.ComparisonPage("policies", []fbload.Result{
		parseResult(t, strings.ReplaceAll(resultJSON, "%LABEL%", `"adaptive"`)),
		parseResult(t, strings.ReplaceAll(resultJSON, "%LABEL%", `"<script>random"`)),
		parseResult(t, `{"label":"adaptive","mix":"atlas","rate":1.5,"refusals":{"FB3001":7}}`),
	})
	if err != nil {
		t.Fatal(err)
	}
	text := string(page)
	tests := map[string]struct {
		part string
		want int
	}{
		"sections":              {"<h2>", 2},
		"plots":                 {"<svg", 6},
		"mean over clairvoyant": {"<td>1.200</td><td>2.000</td>", 2},
		"refusals":              {"FB3001 7", 1},
		"unescaped label":       {"<script", 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := strings.Count(text, tt.part); got != tt.want {
				t.Errorf("got %d occurrences of %q, want %d", got, tt.part, tt.want)
			}
		})
	}
}
