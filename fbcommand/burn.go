package fbcommand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/charmbracelet/log"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/filbertford/filbertford/fbburn"
	"github.com/filbertford/filbertford/fbevent"
	"github.com/filbertford/filbertford/fbreport"
)

// ExitBurnAlert means that a service burns so fast that somebody has to look now.
const ExitBurnAlert = 7

// maxConcurrentRequests is the number of daemons that are asked at the same time.
const maxConcurrentRequests = 32

// burnFlags holds the flags of the burn command.
type burnFlags struct {
	operationsFlags
	timeout time.Duration
	html    string
}

func newBurn(s Streams) *ffcli.Command {
	var b burnFlags
	fs := newFlagSet("burn", s)
	b.register(fs)
	fs.DurationVar(&b.timeout, "timeout", operationsTimeout, "time that a daemon has to answer, up to 10s")
	fs.StringVar(&b.html, "html", "", "`file` that an HTML page with plots is written to")
	return &ffcli.Command{
		Name:       "burn",
		ShortUsage: "filbertford burn [flags]",
		ShortHelp:  "Shows how fast services use up what their objectives allow.",
		LongHelp: "The answers of all daemons that can be reached are added up; those that can't be are named.\n" +
			"The exit code is 7 if a service's verdict is page, else 1 if a daemon was not reached, else 0.\n\n" +
			example("filbertford burn -operations http://127.0.0.1:7102,http://127.0.0.1:7112 -html burn.html"),
		FlagSet: fs,
		Options: envOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if err := rejectArguments(args); err != nil {
				return err
			}
			return b.run(ctx, s)
		},
	}
}

// run asks the daemons, prints what they counted and returns the exit code.
func (b *burnFlags) run(ctx context.Context, s Streams) error {
	if b.timeout <= 0 || b.timeout > operationsTimeout {
		return eris.Errorf("-timeout is %v, want above 0 to %v", b.timeout, operationsTimeout)
	}
	fleet := b.queryAll(ctx)
	for _, u := range fleet.unreachable {
		_, _ = fmt.Fprintf(s.err, "filbertford: %s was not reached, its answers are missing: %v\n", u.url, u.err)
	}
	if len(fleet.reachable) == 0 {
		return eris.New("no daemon was reached")
	}
	if err := b.print(s, fleet); err != nil {
		return err
	}
	return fleet.exitErr()
}

// fleetBurn is what the daemons counted together.
type fleetBurn struct {
	reachable   []string
	unreachable []unreachableDaemon
	snapshot    fbburn.Snapshot
}

// unreachableDaemon is a daemon whose counts are missing, and why.
type unreachableDaemon struct {
	url string
	err error
}

// queryAll asks all daemons at the same time. One that is listed twice is asked
// once, so that nothing counts twice.
func (b *burnFlags) queryAll(ctx context.Context) fleetBurn {
	bases := splitList(b.listeners)
	slices.Sort(bases)
	bases = slices.Compact(bases)
	snapshots, errs := make([]fbburn.Snapshot, len(bases)), make([]error, len(bases))
	var g errgroup.Group
	g.SetLimit(maxConcurrentRequests)
	for i, base := range bases {
		g.Go(func() error {
			snapshots[i], errs[i] = b.query(ctx, base)
			return nil
		})
	}
	_ = g.Wait()
	var out fleetBurn
	var snapshotsReceived []fbburn.Snapshot
	for i, base := range bases {
		if errs[i] != nil {
			out.unreachable = append(out.unreachable, unreachableDaemon{base, errs[i]})
			continue
		}
		out.reachable = append(out.reachable, base)
		snapshotsReceived = append(snapshotsReceived, snapshots[i])
	}
	out.snapshot = fbburn.Merge(snapshotsReceived...)
	return out
}

// query returns what one daemon counted, with its series if they are to be drawn.
func (b *burnFlags) query(ctx context.Context, base string) (fbburn.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, b.timeout)
	defer cancel()
	url := base + "/v1/burn"
	if b.html != "" {
		url += "?series=1"
	}
	var snapshot fbburn.Snapshot
	body, err := b.getJSON(ctx, url)
	if err != nil {
		return snapshot, err
	}
	err = json.Unmarshal(body, &snapshot)
	return snapshot, eris.Wrapf(err, "answer of %s", url)
}

// exitErr returns the error that ends the program with the exit code.
func (f fleetBurn) exitErr() error {
	for _, s := range f.snapshot.Services() {
		if s.Verdict() == fbburn.VerdictPage {
			return exitError{ExitBurnAlert}
		}
	}
	if len(f.unreachable) > 0 {
		return exitError{ExitError}
	}
	return nil
}

// unreachableURLs returns the URLs of the daemons that were not reached.
func (f fleetBurn) unreachableURLs() []string {
	out := make([]string, len(f.unreachable))
	for i, u := range f.unreachable {
		out[i] = u.url
	}
	return out
}

// burnJSON is the output of -json.
type burnJSON struct {
	Reached   []string          `json:"reached"`
	Unreached []unreachableJSON `json:"unreached"`
	Burn      fbburn.Snapshot   `json:"burn"`
}

// unreachableJSON is a daemon whose counts are missing, and why.
type unreachableJSON struct {
	Daemon string `json:"daemon"`
	Error  string `json:"error"`
}

func (b *burnFlags) print(s Streams, f fleetBurn) error {
	if b.html != "" {
		if err := writeBurnPage(s, b.html, f); err != nil {
			return err
		}
	}
	if !b.json {
		return printBurn(s.out, f)
	}
	out := burnJSON{Reached: f.reachable, Unreached: []unreachableJSON{}, Burn: f.snapshot}
	for _, u := range f.unreachable {
		out.Unreached = append(out.Unreached, unreachableJSON{u.url, u.err.Error()})
	}
	return printJSON(s.out, out)
}

func writeBurnPage(s Streams, file string, f fleetBurn) error {
	page, err := fbreport.BurnPage(fbreport.NewBurnReport(f.snapshot, f.reachable...).WithUnreachable(f.unreachableURLs()...))
	if err != nil {
		return err
	}
	if err := os.WriteFile(file, page, outputFileMode); err != nil {
		return eris.Wrap(err, "-html")
	}
	fbevent.BurnReportWritten.Log(log.New(s.err), "file", file)
	return nil
}

// printBurn writes a table with a line for each service.
func printBurn(out io.Writer, f fleetBurn) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	lines := []string{"service\tobjective\tanswers\tgood %\tburn 5m\tburn 1h\tburn 6h\tburn 3d\tbudget left %\tover quota\tverdict"}
	for _, s := range f.snapshot.Services() {
		lines = append(lines, burnRow(s))
	}
	for _, line := range lines {
		if _, err := fmt.Fprintln(table, line); err != nil {
			return eris.Wrap(err, "write the table")
		}
	}
	if err := table.Flush(); err != nil {
		return eris.Wrap(err, "write the table")
	}
	_, err := fmt.Fprintf(out, "\n%d of %d daemons reached; answers counted since %s\n",
		len(f.reachable), len(f.reachable)+len(f.unreachable), f.snapshot.Since().UTC().Format(time.RFC3339))
	if err == nil && f.snapshot.Dropped() > 0 {
		_, err = fmt.Fprintf(out, "%d answers were not counted: there are too many services\n", f.snapshot.Dropped())
	}
	return eris.Wrap(err, "write the table")
}

// burnRow returns a service's line of the table. Answers, good share and budget
// are those of three days.
func burnRow(s fbburn.Service) string {
	total := s.Counts(fbburn.Window3d)
	cells := []string{
		printable(s.Key().String()),
		fbreport.FormatObjective(s.Objective()),
		fmt.Sprint(total.Total()),
		fmt.Sprintf("%.3f", 100*total.GoodShare()),
	}
	for _, w := range []fbburn.Window{fbburn.Window5m, fbburn.Window1h, fbburn.Window6h, fbburn.Window3d} {
		cells = append(cells, fmt.Sprintf("%.2f", s.BurnRate(w)))
	}
	cells = append(cells, fmt.Sprintf("%.0f", 100*s.BudgetLeft()), fmt.Sprint(total.OverQuota()), string(s.Verdict()))
	return strings.Join(cells, "\t")
}
