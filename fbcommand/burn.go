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

// ExitBurnAlert means that the verdict of a service is page: an operator must act
// now.
const ExitBurnAlert = 7

// maxConcurrentRequests is the maximum number of daemons queried at the same time.
const maxConcurrentRequests = 32

// burnFlags are the flags of the command burn.
type burnFlags struct {
	operationsFlags
	timeout time.Duration
	html    string
}

func newBurn(s Streams) *ffcli.Command {
	var b burnFlags
	fs := newFlagSet("burn", s)
	b.register(fs)
	fs.DurationVar(&b.timeout, "timeout", operationsTimeout, "time to wait for the answer of a daemon, at most 10s")
	fs.StringVar(&b.html, "html", "", "`file` that an HTML page with plots is written to")
	return &ffcli.Command{
		Name:       "burn",
		ShortUsage: "filbertford burn [flags]",
		ShortHelp:  "Shows how fast services use up the error budgets of their objectives.",
		LongHelp: "The counts of all daemons that can be reached are added up; unreachable daemons are named.\n" +
			"The exit code is 7 if a service's verdict is page, else 1 if a daemon is unreachable, else 0.\n\n" +
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

// run queries the daemons and prints their counts. It returns the error that
// sets the exit code.
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

// fleetBurn holds the merged counts of all reachable daemons.
type fleetBurn struct {
	reachable   []string
	unreachable []unreachableDaemon
	snapshot    fbburn.Snapshot
}

// unreachableDaemon is a daemon whose counts are missing, with the reason.
type unreachableDaemon struct {
	url string
	err error
}

// queryAll queries all daemons concurrently. A daemon that is listed twice is
// queried once, so that its answers are not counted twice.
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
	var received []fbburn.Snapshot
	for i, base := range bases {
		if errs[i] != nil {
			out.unreachable = append(out.unreachable, unreachableDaemon{base, errs[i]})
			continue
		}
		out.reachable = append(out.reachable, base)
		received = append(received, snapshots[i])
	}
	out.snapshot = fbburn.Merge(received...)
	return out
}

// query returns the counts of one daemon, with the series if a page with plots is
// to be written.
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
	return snapshot, eris.Wrapf(err, "decode the answer of %s", url)
}

// exitErr returns the error that sets the exit code.
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

// unreachableURLs returns the URLs of the unreachable daemons.
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

// unreachableJSON is an unreachable daemon in the output of -json.
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

// printBurn writes a table with a row for each service.
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

// burnRow returns the table row of a service, with tabs between the cells.
// Answers, good share and budget are those of three days.
func burnRow(s fbburn.Service) string {
	counts := s.Counts(fbburn.Window3d)
	cells := []string{
		printable(s.Key().String()),
		fbreport.FormatObjective(s.Objective()),
		fmt.Sprint(counts.Total()),
		fmt.Sprintf("%.3f", 100*counts.GoodShare()),
	}
	for _, w := range []fbburn.Window{fbburn.Window5m, fbburn.Window1h, fbburn.Window6h, fbburn.Window3d} {
		cells = append(cells, fmt.Sprintf("%.2f", s.BurnRate(w)))
	}
	cells = append(cells, fmt.Sprintf("%.0f", 100*s.BudgetLeft()), fmt.Sprint(counts.OverQuota()), string(s.Verdict()))
	return strings.Join(cells, "\t")
}
