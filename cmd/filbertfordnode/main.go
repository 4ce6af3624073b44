// Command filbertfordnode is a daemon of a fleet on the users' platform: it accepts
// jobs from callers and runs their tasks on the targets of its pools.
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
	"golang.org/x/sync/errgroup"

	"github.com/filbertford/filbertford/fbconfig"
	"github.com/filbertford/filbertford/fbevent"
	"github.com/filbertford/filbertford/fblog"
	"github.com/filbertford/filbertford/platform"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

const usage = `filbertfordnode takes jobs from callers and runs their tasks on targets.

Usage:
  filbertfordnode [-config FILE] [-set SECTION.KEY=VALUE]... [-check]

Without -config, the variable ` + platform.SettingsVariable + ` names the settings file.

Flags:
`

func main() { os.Exit(realMain(os.Args[1:], os.Stdout, os.Stderr)) }

// options are the options of the command line.
type options struct {
	file      string
	overrides []string
	check     bool
}

func realMain(args []string, stdout, stderr io.Writer) int {
	opts, err := parseFlags(args, stderr)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return exitOK
	case err != nil:
		return exitUsage
	}
	cfg, err := fbconfig.LoadNode(opts.file, opts.overrides...)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	if _, err := callerLimits(cfg); err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	if opts.check {
		fmt.Fprintln(stderr, "the settings are valid")
		return exitOK
	}
	logWriter := fblog.NewWriter(stdout)
	logger := newLogger(logWriter, cfg.Text("log", "format"))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	code := exitOK
	writerCtx, stopWriter := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return logWriter.Run(writerCtx) })
	if err := serve(ctx, cfg, opts, logger, logWriter); err != nil {
		fbevent.DaemonFailed.Log(logger, "error", err.Error())
		code = exitFailed
	} else {
		fbevent.NodeStopped.Log(logger)
	}
	stopWriter()
	_ = g.Wait() // Run returns no error but that of its context
	return code
}

func parseFlags(args []string, stderr io.Writer) (options, error) {
	opts := options{file: os.Getenv(platform.SettingsVariable)}
	fs := flag.NewFlagSet("filbertfordnode", flag.ContinueOnError)
	fs.SetOutput(stderr)
	fs.StringVar(&opts.file, "config", opts.file, "INI `file` of settings; embedded defaults if empty")
	fs.BoolVar(&opts.check, "check", false, "check the settings and exit")
	fs.Func("set", "`section.key=value` that goes before the file; may be repeated", func(s string) error {
		opts.overrides = append(opts.overrides, s)
		return nil
	})
	fs.Usage = func() {
		fmt.Fprint(stderr, usage)
		fs.PrintDefaults()
	}
	err := ff.Parse(fs, args, ff.WithEnvVarPrefix("FILBERTFORDNODE"))
	return opts, err
}

func newLogger(w io.Writer, format string) *log.Logger {
	l := log.NewWithOptions(w, log.Options{ReportTimestamp: true, TimeFormat: "15:04:05.000"})
	l.SetFormatter(log.LogfmtFormatter)
	if format == "json" {
		l.SetFormatter(log.JSONFormatter)
	}
	return l
}
