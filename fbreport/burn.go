package fbreport

import (
	"bytes"
	"cmp"
	"fmt"
	"html/template"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/filbertford/filbertford/fbburn"
)

// maxPlottedServices is the number of services that the plots of a burn page
// show: the most urgent ones.
const maxPlottedServices = 8

// BurnReport is the content of a page of service-level burn.
type BurnReport struct {
	snapshot    fbburn.Snapshot
	daemons     []string
	unreachable []string
}

// NewBurnReport returns a report of the merged counts of the named daemons.
func NewBurnReport(s fbburn.Snapshot, daemons ...string) BurnReport {
	return BurnReport{snapshot: s, daemons: daemons}
}

// WithUnreachable returns a copy of b that also names daemons whose counts are
// missing because they could not be reached.
func (b BurnReport) WithUnreachable(daemons ...string) BurnReport {
	b.unreachable = slices.Clone(daemons)
	return b
}

// BurnPage returns an HTML page with a table of all services and plots of the
// most urgent ones. The snapshot of b must include its series.
func BurnPage(b BurnReport) ([]byte, error) {
	page := burnPageData{
		Now:          b.snapshot.Now().UTC().Format(time.DateTime),
		Since:        b.snapshot.Since().UTC().Format(time.DateTime),
		Daemons:      strings.Join(b.daemons, ", "),
		Unreachable:  strings.Join(b.unreachable, ", "),
		Dropped:      b.snapshot.Dropped(),
		FastBurnRate: fbburn.FastBurnRate, SlowBurnRate: fbburn.SlowBurnRate, SustainableBurnRate: fbburn.SustainableBurnRate,
	}
	services := sortByUrgency(b.snapshot.Services())
	for _, s := range services {
		page.Rows = append(page.Rows, newBurnRow(s))
	}
	plotted := services[:min(len(services), maxPlottedServices)]
	for i, s := range plotted {
		c := lineColor(i)
		css := fmt.Sprintf("background: #%02x%02x%02x", c.R, c.G, c.B)
		page.Legend = append(page.Legend, legendEntry{Style: template.CSS(css), Name: s.Key().String()})
	}
	for _, draw := range []func([]fbburn.Service, time.Time) ([]byte, error){drawBurnRateByMinutes, drawBurnRateByHours, drawAnswerCounts} {
		svg, err := draw(plotted, b.snapshot.Now())
		if err != nil {
			return nil, err
		}
		// The SVG is safe: it is drawn from numbers and escaped labels.
		page.Plots = append(page.Plots, template.HTML(svg))
	}
	var out bytes.Buffer
	if err := burnTemplate.Execute(&out, page); err != nil {
		return nil, eris.Wrap(err, "write the burn page")
	}
	return out.Bytes(), nil
}

// burnPageData is the data of burnTemplate.
type burnPageData struct {
	Now, Since, Daemons, Unreachable                string
	Dropped                                         uint64
	FastBurnRate, SlowBurnRate, SustainableBurnRate float64
	Rows                                            []burnRow
	Legend                                          []legendEntry
	Plots                                           []template.HTML
}

// legendEntry is a plotted service in the legend.
type legendEntry struct {
	Style template.CSS
	Name  string
}

// burnRow is the table row of one service.
type burnRow struct {
	Service, Objective, Good string
	Answers, OverQuota       uint64
	BurnRates                []string
	BudgetLeft               string
	Verdict                  fbburn.Verdict
}

func newBurnRow(s fbburn.Service) burnRow {
	counts := s.Counts(fbburn.Window3d)
	row := burnRow{
		Service:    s.Key().String(),
		Objective:  FormatObjective(s.Objective()),
		Good:       fmt.Sprintf("%.3f", 100*counts.GoodShare()),
		Answers:    counts.Total(),
		OverQuota:  counts.OverQuota(),
		BudgetLeft: fmt.Sprintf("%.0f", 100*s.BudgetLeft()),
		Verdict:    s.Verdict(),
	}
	for _, w := range fbburn.Windows() {
		row.BurnRates = append(row.BurnRates, fmt.Sprintf("%.2f", s.BurnRate(w)))
	}
	return row
}

// FormatObjective returns an objective as text, such as "99 % in 2s".
func FormatObjective(o fbburn.Objective) string {
	if o.Share() <= 0 {
		return "none"
	}
	// Round, so that 0.999 is not shown as 99.90000000000001.
	percent := math.Round(o.Share()*1e9) / 1e7
	return fmt.Sprintf("%v %% in %v", percent, o.MaxLatency())
}

// verdictOrder lists the verdicts, most urgent first.
var verdictOrder = []fbburn.Verdict{fbburn.VerdictPage, fbburn.VerdictTicket, fbburn.VerdictOK, fbburn.VerdictNone}

// sortByUrgency returns the services sorted by verdict, then by the budget left.
func sortByUrgency(services []fbburn.Service) []fbburn.Service {
	return slices.SortedStableFunc(slices.Values(services), func(a, b fbburn.Service) int {
		return cmp.Or(
			cmp.Compare(slices.Index(verdictOrder, a.Verdict()), slices.Index(verdictOrder, b.Verdict())),
			cmp.Compare(a.BudgetLeft(), b.BudgetLeft()),
		)
	})
}

var burnTemplate = template.Must(template.New("burn").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title><style>
body { font: 15px sans-serif; margin: 2em; color: #222; }
table { border-collapse: collapse; margin: 1em 0; }
th, td { border-bottom: 1px solid #ccc; padding: 4px 10px; text-align: right; }
th { vertical-align: bottom; }
th:first-child, td:first-child, td.text, th.text { text-align: left; }
td.page { background: #c0392b; color: #fff; text-align: center; }
td.ticket { background: #f5c842; text-align: center; }
td.ok { background: #cfe8cf; text-align: center; }
td.none { color: #888; text-align: center; }
th.group { text-align: center; }
span.line { display: inline-block; width: 1.6em; height: 0.3em; margin: 0 0.5em 0.25em 1.5em; }
p.warn { background: #fbe3e0; padding: 6px 10px; }
figure { display: inline-block; margin: 0 2em 1.5em 0; }
</style></head><body>
<h1>Service-level burn</h1>
<p>At {{.Now}} UTC; answers counted since {{.Since}} UTC, at most three days, by {{.Daemons}}.</p>
{{if .Unreachable}}<p class="warn">Not reached, their answers are missing here: {{.Unreachable}}</p>{{end}}
{{if .Dropped}}<p class="warn">{{.Dropped}} answers were not counted: there are too many services.</p>{{end}}
{{if .Rows}}<table><tr><th rowspan="2">service</th><th rowspan="2" class="text">objective</th><th rowspan="2">answers</th><th rowspan="2">good, %</th>
<th colspan="5" class="group">burn rate over</th><th rowspan="2">budget<br>left, %</th><th rowspan="2">over<br>quota</th><th rowspan="2">verdict</th></tr>
<tr><th>5 m</th><th>30 m</th><th>1 h</th><th>6 h</th><th>3 d</th></tr>
{{range .Rows}}<tr><td>{{.Service}}</td><td class="text">{{.Objective}}</td><td>{{.Answers}}</td><td>{{.Good}}</td>
{{range .BurnRates}}<td>{{.}}</td>{{end}}<td>{{.BudgetLeft}}</td><td>{{.OverQuota}}</td><td class="{{.Verdict}}">{{.Verdict}}</td></tr>
{{end}}</table>
<p>The burn rate is the share of bad answers over the share that the objective allows. Page: {{.FastBurnRate}} over 1 h and 5 m, or
{{.SlowBurnRate}} over 6 h and 30 m. Ticket: {{.SustainableBurnRate}} over 3 d and 6 h. Answers, good share and budget are those of 3 d.
</p>
<p>The plots show the services that burn most, steps without answers left out; the newest step is still open. Dashed lines: the thresholds.</p>
<p>{{range .Legend}}<span class="line" style="{{.Style}}"></span>{{.Name}}{{end}}</p>
{{range .Plots}}<figure>{{.}}</figure>{{end}}
{{else}}<p>No answer was counted yet.</p>{{end}}
</body></html>
`))
