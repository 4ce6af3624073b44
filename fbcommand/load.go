package fbcommand

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/charmbracelet/log"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/filbertford/filbertford/fbclient"
	"github.com/filbertford/filbertford/fbevent"
	"github.com/filbertford/filbertford/fbload"
)

// defaultPlatform is the address of the stand-in for the platform.
const defaultPlatform = "http://127.0.0.1:7000"

// outputFileMode is the mode of the files that results and reports are written to.
const outputFileMode = 0o644

// loadFlags are the flags of the command load.
type loadFlags struct {
	callerFlags
	operations, platform string
	mix, label           string
	rate                 float64
	duration, warmUp     time.Duration
	seed                 uint64
	attempts             int
	bursts, clairvoyant  bool
	actions              actionList
	json                 string
}

// actionList is the value of a flag that may be given several times.
type actionList []fbload.ScheduledAction

// String implements flag.Value.
func (l *actionList) String() string {
	texts := make([]string, 0, len(*l))
	for _, action := range *l {
		texts = append(texts, action.String())
	}
	return strings.Join(texts, " ")
}

// Set implements flag.Value.
func (l *actionList) Set(text string) error {
	action, err := fbload.ParseScheduledAction(text)
	if err != nil {
		return err
	}
	*l = append(*l, action)
	return nil
}

var _ flag.Value = (*actionList)(nil)

func newLoad(s Streams) *ffcli.Command {
	f := &loadFlags{}
	fs := newFlagSet("load", s)
	f.register(fs)
	fs.StringVar(&f.operations, "operations", defaultOperations, "`URLs` of the daemons' operations listeners, separated by commas")
	fs.StringVar(&f.platform, "platform", defaultPlatform, "`URL` of the platform's stand-in")
	fs.StringVar(&f.mix, "mix", "depot", "`mix` of jobs: "+strings.Join(fbload.MixNames(), " or "))
	fs.StringVar(&f.label, "label", "", "`label` of the run in reports, such as the policy's name")
	fs.Float64Var(&f.rate, "rate", 0.5, "load as a `share` of the targets' capacity")
	fs.DurationVar(&f.duration, "for", 10*time.Second, "duration of the load")
	fs.DurationVar(&f.warmUp, "warm-up", 2*time.Second, "time at the start that is not measured")
	fs.Uint64Var(&f.seed, "seed", 1, "seed of the workload")
	fs.IntVar(&f.attempts, "attempts", 1, "maximum number of times that a job is sent")
	fs.BoolVar(&f.bursts, "bursts", true, "send jobs in bursts")
	fs.BoolVar(&f.clairvoyant, "clairvoyant", true, "compute the clairvoyant schedule for comparison")
	fs.Var(&f.actions, "at", "`MOMENT=ACT[:VALUE]`, an action at a time since the start of the load; may be given several times")
	fs.StringVar(&f.json, "json", "", "write the result as JSON to a `file`, - for the standard output")
	return &ffcli.Command{
		Name:       "load",
		ShortUsage: "filbertford load [flags]",
		ShortHelp:  "Runs a load against daemons and stand-ins and prints the measurements.",
		LongHelp: "Actions: rate:SHARE of capacity; fail-all, slow, freeze, leave, cut-before, cut-started, cut-reply, wrong-id and twice, each with :SHARE of the targets; heal; " +
			"platform-down, platform-slow:MILLISECONDS, platform-lose, platform-up.\n" +
			"The exit code is 2 if work was started twice or an answer contradicts what was started.\n\n" +
			example("filbertford load -mix depot -rate 0.8 -for 30s -seed 1 -at 10s=fail-all:0.1 -at 20s=heal -json out.json"),
		FlagSet: fs,
		Options: envOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if err := rejectArguments(args); err != nil {
				return err
			}
			return f.run(ctx, s)
		},
	}
}

// validate returns an error if a flag is out of range.
func (f *loadFlags) validate() error {
	switch {
	case !(f.rate > 0 && f.rate <= 10):
		return eris.Errorf("-rate is %g; it must be above 0 and at most 10", f.rate)
	case f.duration <= 0 || f.duration > time.Hour:
		return eris.Errorf("-for is %s; it must be above 0 and at most an hour", f.duration)
	case f.warmUp < 0 || f.warmUp >= f.duration:
		return eris.Errorf("-warm-up is %s; it must be within 0 and -for", f.warmUp)
	}
	return nil
}

func (f *loadFlags) run(ctx context.Context, s Streams) error {
	mix, ok := fbload.MixByName(f.mix)
	if !ok {
		return eris.Errorf("-mix %q is none of %s", f.mix, strings.Join(fbload.MixNames(), ", "))
	}
	if err := f.validate(); err != nil {
		return err
	}
	logger := log.New(s.err)
	client, err := fbclient.New(splitList(f.endpoints), fbclient.WithKey(f.key), fbclient.WithAttempts(f.attempts))
	if err != nil {
		return err
	}
	defer client.Close()
	load := fbload.NewLoad(mix, f.rate, f.duration, strings.TrimRight(f.platform, "/"), splitList(f.operations)).
		WithLabel(f.label).WithSeed(f.seed).WithWarmUp(f.warmUp).WithBursts(f.bursts).WithActions(f.actions...)
	if !f.clairvoyant {
		load = load.WithoutClairvoyant()
	}
	result, err := load.Run(ctx, client, logger)
	if err != nil {
		return err
	}
	if err := f.writeResult(s, logger, result); err != nil {
		return err
	}
	if !result.Consistent() {
		return exitError{ExitFailed}
	}
	return nil
}

// writeResult prints the result. If -json is given, it also writes the result as
// JSON to that file, or only prints the JSON for -.
func (f *loadFlags) writeResult(s Streams, logger *log.Logger, r fbload.Result) error {
	if f.json == "-" {
		return printJSON(s.out, r)
	}
	if f.json != "" {
		b, err := json.MarshalIndent(r, "", "  ")
		if err != nil {
			return eris.Wrap(err, "encode the result")
		}
		if err := os.WriteFile(f.json, append(b, '\n'), outputFileMode); err != nil {
			return eris.Wrap(err, "-json")
		}
		fbevent.ReportWritten.Log(logger, "file", f.json)
	}
	return printResult(s.out, r)
}

// printResult writes a result as text.
func printResult(out io.Writer, r fbload.Result) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	p := &printer{out: table}
	p.line("%s mix at %.0f %% of capacity%s", r.Mix(), 100*r.Rate(), labelSuffix(r.Label()))
	p.line("jobs\t%d, measured %d, accepted %d, deadline misses %d, failed %.2f %%",
		r.Jobs(), r.Measured(), r.Accepted(), r.DeadlineMisses(), r.FailedPercent())
	p.line("offered\t%.1f %% of capacity, goodput %.1f %%", 100*r.Offered(), 100*r.Goodput())
	p.line("\tmean\tp50\tp99\tp99.9\tmax")
	printSummary(p, "response / ideal", r.OverIdeal())
	if c, ok := r.Clairvoyant(); ok {
		printSummary(p, "clairvoyant / ideal", c)
	}
	printSummary(p, "response, ms", r.Response())
	if r.Refusal().Count() > 0 {
		printSummary(p, "refusal, ms", r.Refusal())
	}
	for _, code := range slices.Sorted(maps.Keys(r.Codes())) {
		p.line("%s\t%d", code, r.Codes()[code])
	}
	p.line("wasted messages\t%.2f a job, %.2f %% of all, %.2f %% without control messages",
		r.WastedPerJob(), r.WastedPercent(), r.WastedByJobsPercent())
	for _, kind := range slices.Sorted(maps.Keys(r.Wasted())) {
		p.line("  %s\t%.0f", kind, r.Wasted()[kind])
	}
	startedTwice, missing, startedThoughNotRun := r.Violations()
	p.line("work started twice %d, missing from complete jobs %d, started though not run %d", startedTwice, missing, startedThoughNotRun)
	if p.err != nil {
		return eris.Wrap(p.err, "write the result")
	}
	return eris.Wrap(table.Flush(), "write the result")
}

func printSummary(p *printer, name string, s fbload.Summary) {
	p.line("%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f", name, s.Mean(), s.P50(), s.P99(), s.P999(), s.Max())
}

func labelSuffix(label string) string {
	if label == "" {
		return ""
	}
	return fmt.Sprintf(", %s", label)
}
