// Command fbsoak runs daemons of a fleet under faults that are drawn from seeds, and
// reports violations of the daemons' guarantees. It sends signals only to
// processes that it has started.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"

	"github.com/filbertford/filbertford/fbsoak"
)

// Exit codes.
const (
	exitOK         = 0
	exitViolations = 1
	exitUsage      = 2
)

func main() { os.Exit(realMain(os.Args[1:], os.Stdout, os.Stderr)) }

// options are the options of the command line.
type options struct {
	soak  fbsoak.Options
	seeds int
}

func parseOptions(args []string, stderr io.Writer) (options, error) {
	var o options
	fs := flag.NewFlagSet("fbsoak", flag.ContinueOnError)
	fs.SetOutput(stderr)
	fs.StringVar(&o.soak.Program, "program", "target/filbertfordnode", "`path` of the daemon's executable")
	fs.StringVar(&o.soak.Earlier, "earlier", "", "`path` of an earlier version of the daemon, run after every second start of each; none if empty")
	fs.BoolVar(&o.soak.Rolling, "rolling", false, "restart all daemons in turn instead of causing random faults")
	fs.Uint64Var(&o.soak.Seed, "seed", 1, "`number` that seeds all random choices of the first run")
	fs.IntVar(&o.seeds, "seeds", 1, "`number` of runs, with consecutive seeds")
	fs.DurationVar(&o.soak.Duration, "length", 20*time.Second, "`time` in which faults start in each run")
	fs.IntVar(&o.soak.Nodes, "nodes", 6, "`number` of daemons")
	fs.IntVar(&o.soak.Targets, "targets", 9, "`number` of targets")
	fs.IntVar(&o.soak.Rate, "rate", 25, "`number` of jobs per second")
	fs.StringVar(&o.soak.LogDir, "logs", "", "`directory` for the daemons' logs; not kept if empty")
	dataCentres := fs.String("zones", "nordnes,sandviken,minde", "data centres, separated by commas")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("FBSOAK")); err != nil {
		return o, err
	}
	o.soak.DataCentres = strings.Split(*dataCentres, ",")
	if fs.NArg() > 0 || o.seeds < 1 || o.soak.Nodes < 1 || o.soak.Targets < 1 || o.soak.Rate < 1 || o.soak.Duration <= 0 {
		return o, errors.New("unexpected argument, or a number or duration below its minimum")
	}
	return o, nil
}

func realMain(args []string, stdout, stderr io.Writer) int {
	o, err := parseOptions(args, stderr)
	if errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	o.soak.Out = stdout
	code := exitOK
	for i := range o.seeds {
		run := o.soak
		run.Seed += uint64(i)
		fmt.Fprintf(stdout, "seed %d\n", run.Seed)
		violations, err := fbsoak.Run(ctx, run)
		if err != nil {
			fmt.Fprintln(stderr, err)
			return exitUsage
		}
		fmt.Fprintf(stdout, "seed %d: %d violations\n", run.Seed, len(violations))
		if len(violations) > 0 {
			code = exitViolations
		}
	}
	return code
}
