package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/charmbracelet/log"
	"github.com/oklog/run"
	"github.com/rotisserie/eris"

	"github.com/filbertford/filbertford/fbapi"
	"github.com/filbertford/filbertford/fbconfig"
	"github.com/filbertford/filbertford/fbdaemon"
	"github.com/filbertford/filbertford/fbevent"
	"github.com/filbertford/filbertford/fblimit"
	"github.com/filbertford/filbertford/fbmetrics"
	"github.com/filbertford/filbertford/fbops"
	"github.com/filbertford/filbertford/fbpeer"
	"github.com/filbertford/filbertford/fbplatform"
	"github.com/filbertford/filbertford/fbtarget"
	"github.com/filbertford/filbertford/fbtimer"
)

// memoryShare is the share of the process's memory that is set as the limit of the Go
// runtime. The program itself and what the kernel holds for its connections are not part
// of that limit.
const memoryShare = 0.6

// shutdownTimeout is the time that callers' requests in flight have to end after
// the daemon has stopped.
const shutdownTimeout = 10 * time.Second

// listeners are the listeners of a daemon.
type listeners struct {
	callers    net.Listener
	peers      net.Listener
	operations net.Listener
}

// serve runs a daemon until the context is done, and then stops it gracefully.
func serve(ctx context.Context, cfg *fbconfig.Config, logger *log.Logger) error {
	debug.SetMemoryLimit(int64(float64(cfg.Int("limits", "memory")) * memoryShare))
	limits, err := callerLimits(cfg)
	if err != nil {
		return err
	}
	ls, err := listen(cfg)
	if err != nil {
		return err
	}
	timer := fbtimer.NewService()
	scope, reporter, closer := fbmetrics.NewScope()
	defer closer.Close()
	platform := fbplatform.NewClient(cfg.Text("daemon", "platform"), cfg.Duration("settings", "request-timeout"))
	defer platform.Close()
	targets, err := fbtarget.NewClient(cfg.Int("policy", "target-connections"))
	if err != nil {
		return eris.Wrap(err, "creating the client of the targets")
	}
	defer targets.Close()
	d, err := fbdaemon.New(cfg, fbdaemon.Dependencies{
		Timer:   timer,
		Table:   platform,
		Objects: platform,
		VMList:  platform,
		Starter: targets,
		Stopper: targets,
		Peers:   fbpeer.NewClient(),
		Log:     logger,
		Metrics: scope,
	})
	if err != nil {
		return err
	}
	api := fbapi.NewServer(d, apiLimits(cfg), logger)
	limiter := fblimit.New(limits, logger, scope)
	limiter.Attach(api)
	ops, _ := fbops.NewServer(d, reporter, cfg.Text("daemon", "operator-key"))
	fbevent.DaemonStarting.Log(logger,
		"vm", cfg.Text("daemon", "vm"), "incarnation", d.Incarnation(), "callers", ls.callers.Addr(),
		"peers", ls.peers.Addr(), "operations", ls.operations.Addr())

	var g run.Group
	addRun(&g, timer.Run)
	d.Attach(&g, ls.peers)
	addHTTP(&g, ops, ls.operations)
	addHTTP(&g, api, limiter.Limit(ls.callers))
	addStop(ctx, &g, d, api)
	err = g.Run()
	if closeErr := d.Close(); err == nil {
		err = closeErr
	}
	return err
}

func listen(cfg *fbconfig.Config) (listeners, error) {
	var ls listeners
	for key, l := range map[string]*net.Listener{"callers": &ls.callers, "peers": &ls.peers, "operations": &ls.operations} {
		open := listenTCP
		if l == &ls.callers {
			open = fblimit.Listen
		}
		opened, err := open(cfg.Text("daemon", key))
		if err != nil {
			return ls, eris.Wrapf(err, "opening the listener for %s", key)
		}
		*l = opened
	}
	return ls, nil
}

func listenTCP(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// callerLimits returns the limits on callers.
func callerLimits(cfg *fbconfig.Config) (fblimit.Options, error) {
	return fblimit.NewOptions(cfg, cfg.Int("limits", "memory"), cfg.Int("limits", "max-body"))
}

func apiLimits(cfg *fbconfig.Config) fbapi.Limits {
	return fbapi.Limits{
		MaxBody:     cfg.Int("limits", "max-body"),
		MaxHeader:   cfg.Int("limits", "max-header"),
		ReadTimeout: cfg.Duration("limits", "read-timeout"),
		IdleTimeout: cfg.Duration("limits", "idle-timeout"),
	}
}

func addRun(g *run.Group, f func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { return f(ctx) }, func(error) { cancel() })
}

func addHTTP(g *run.Group, s *http.Server, l net.Listener) {
	g.Add(func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}, func(error) { _ = s.Close() })
}

// addStop adds the actor that waits until the context is done and then stops the
// daemon while all other actors still run.
func addStop(ctx context.Context, g *run.Group, d *fbdaemon.Daemon, api *http.Server) {
	waitCtx, cancel := context.WithCancel(ctx)
	g.Add(func() error {
		<-waitCtx.Done()
		if ctx.Err() == nil {
			return nil // another actor failed
		}
		stopCtx := context.Background()
		d.Stop(stopCtx)
		shutdownCtx, cancelShutdown := context.WithTimeout(stopCtx, shutdownTimeout)
		defer cancelShutdown()
		return api.Shutdown(shutdownCtx)
	}, func(error) { cancel() })
}
