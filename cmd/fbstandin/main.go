// Command fbstandin serves stand-ins for the platform and for targets, so that
// filbertford can be tried and tested without the users' machines.
// docs/PROTOCOLS.md describes its requests and how to set faults.
package main

import (
	"context"
	"errors"
	"flag"
	"os"
	"syscall"

	"github.com/charmbracelet/log"
	"github.com/oklog/run"

	"github.com/filbertford/filbertford/fbevent"
)

func main() {
	logger := log.New(os.Stderr)
	err := serve(context.Background(), logger, os.Args[1:])
	switch {
	case err == nil:
	case errors.Is(err, flag.ErrHelp):
		os.Exit(2)
	default:
		fbevent.StandInFailed.Log(logger, "err", err.Error())
		os.Exit(1)
	}
}

// serve runs the stand-ins until a signal or the end of the context. Both are a
// planned stop, for which it returns nil.
func serve(ctx context.Context, logger *log.Logger, args []string) error {
	o, err := parseOptions(args)
	if err != nil {
		return err
	}
	var g run.Group
	g.Add(run.SignalHandler(ctx, syscall.SIGINT, syscall.SIGTERM))
	servers, err := newServers(o)
	if err != nil {
		return err
	}
	for _, s := range servers {
		g.Add(s.serve, s.stop)
		fbevent.StandInServing.Log(logger, "what", s.name, "address", s.listener.Addr())
	}
	err = g.Run()
	var signal *run.SignalError
	if errors.As(err, &signal) || errors.Is(err, context.Canceled) {
		fbevent.StandInStopped.Log(logger, "cause", err)
		return nil
	}
	return err
}
