package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/charmbracelet/log"

	"github.com/filbertford/filbertford/fbconfig"
	"github.com/filbertford/filbertford/fbevent"
)

// watchReload checks the settings file on each SIGHUP. It does not apply changed
// settings, which need a restart of the daemon.
func watchReload(ctx context.Context, opts options, l *log.Logger) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-signals:
		}
		if _, err := fbconfig.LoadNode(opts.file, opts.overrides...); err != nil {
			fbevent.SettingsRejected.Log(l, "problem", err.Error())
			continue
		}
		fbevent.NodeReloaded.Log(l, "file", opts.file)
	}
}
