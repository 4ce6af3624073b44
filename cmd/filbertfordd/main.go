// Command filbertfordd is the entry daemon: it accepts jobs of parallel sub-second
// tasks from callers and starts each task at most once at a target.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/charmbracelet/log"
	"github.com/peterbourgon/ff/v3"

	"github.com/filbertford/filbertford/fbconfig"
	"github.com/filbertford/filbertford/fbdaemon"
	"github.com/filbertford/filbertford/fbevent"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

const usage = `filbertfordd takes jobs from callers and dispatches their tasks to targets.

Usage:
  filbertfordd [-config FILE] [-set SECTION.KEY=VALUE]... [-check]

Example:
  filbertfordd -config /etc/filbertford/daemon.ini -set daemon.vm=entry-2

Flags:
`

func main() { os.Exit(realMain(os.Args[1:], os.Stderr)) }

// options are the values of the command line flags.
type options struct {
	configFile string
	overrides  []string
	check      bool
	jsonLogs   bool
}

func realMain(args []string, stderr io.Writer) int {
	opts, err := parseFlags(args, stderr)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return exitOK
	case err != nil:
		return exitUsage
	}
	logger := newLogger(stderr, opts.jsonLogs)
	cfg, err := fbconfig.Load(opts.configFile, opts.overrides...)
	if err != nil {
		logProblems(logger, err)
		return exitUsage
	}
	if err := fbdaemon.Check(cfg); err != nil {
		fbevent.SettingsRejected.Log(logger, "problem", err.Error())
		return exitUsage
	}
	if _, err := callerLimits(cfg); err != nil {
		fbevent.SettingsRejected.Log(logger, "problem", err.Error())
		return exitUsage
	}
	if opts.check {
		fmt.Fprintln(stderr, "the settings are valid")
		return exitOK
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := serve(ctx, cfg, logger); err != nil {
		fbevent.DaemonFailed.Log(logger, "error", err.Error())
		return exitFailed
	}
	fbevent.DaemonStopped.Log(logger)
	return exitOK
}

func parseFlags(args []string, stderr io.Writer) (options, error) {
	var opts options
	fs := flag.NewFlagSet("filbertfordd", flag.ContinueOnError)
	fs.SetOutput(stderr)
	fs.StringVar(&opts.configFile, "config", "", "INI `file` of settings; embedded defaults if empty")
	fs.BoolVar(&opts.check, "check", false, "check the settings and exit")
	fs.BoolVar(&opts.jsonLogs, "json-logs", false, "write log events as JSON")
	fs.Func("set", "`section.key=value` that goes before the file; may be repeated", func(s string) error {
		opts.overrides = append(opts.overrides, s)
		return nil
	})
	fs.Usage = func() {
		fmt.Fprint(stderr, usage)
		fs.PrintDefaults()
	}
	err := ff.Parse(fs, args, ff.WithEnvVarPrefix("FILBERTFORDD"))
	return opts, err
}

func newLogger(w io.Writer, asJSON bool) *log.Logger {
	l := log.NewWithOptions(w, log.Options{ReportTimestamp: true})
	if asJSON {
		l.SetFormatter(log.JSONFormatter)
	}
	return l
}

// logProblems logs each problem of the settings as a separate event.
func logProblems(logger *log.Logger, err error) {
	var problems fbconfig.Problems
	if !errors.As(err, &problems) {
		fbevent.SettingsRejected.Log(logger, "error", err)
		return
	}
	for _, p := range problems {
		fbevent.SettingsRejected.Log(logger, "problem", p.Error())
	}
}
