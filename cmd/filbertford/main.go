// Command filbertford is the command line for callers and operators. See
// docs/CLI.md.
package main

import (
	"context"
	"os"
	"syscall"

	"github.com/oklog/run"

	"github.com/filbertford/filbertford/fbcommand"
)

func main() {
	os.Exit(runCommand())
}

// runCommand runs the command line until it ends or a signal arrives. It returns
// the exit code.
func runCommand() int {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	code := fbcommand.ExitError
	var g run.Group
	g.Add(run.SignalHandler(ctx, syscall.SIGINT, syscall.SIGTERM))
	g.Add(func() error {
		streams := fbcommand.NewStreams(os.Stdin, os.Stdout, os.Stderr)
		code = fbcommand.Run(ctx, os.Args[1:], streams)
		return nil
	}, func(error) { cancel() })
	// The commands report their errors themselves.
	_ = g.Run()
	return code
}
