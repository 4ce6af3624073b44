package main

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/charmbracelet/log"
	"github.com/oklog/run"
	"github.com/rotisserie/eris"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbconfig"
	"github.com/filbertford/filbertford/fbevent"
	"github.com/filbertford/filbertford/fbfleet"
	"github.com/filbertford/filbertford/fblimit"
	"github.com/filbertford/filbertford/fblog"
	"github.com/filbertford/filbertford/fbmetrics"
	"github.com/filbertford/filbertford/fbnode"
	"github.com/filbertford/filbertford/fbtimer"
	"github.com/filbertford/filbertford/platform"
)

const (
	// memoryShare is the share of the process's memory that is set as the limit of
	// the Go runtime.
	memoryShare = 0.7
	// graceMargin is the part of the grace period that is reserved for the exit of
	// the process.
	graceMargin = 700 * time.Millisecond
	// defaultGCPercent is the growth of the heap between two garbage collections in
	// percent, as the Go runtime has it. collectorPeriod is the time between two checks
	// whether the daemon owns a pool.
	defaultGCPercent = 100
	collectorPeriod  = time.Second
	// weightPerCore is the weight that a daemon has for each of its cores.
	weightPerCore = 1000
)

// listeners are the listeners of a daemon.
type listeners struct {
	callers   net.Listener
	readiness net.Listener
	peers     net.Listener
	metrics   net.Listener
}

// serve runs a daemon until the context ends and then shuts it down gracefully.
func serve(ctx context.Context, cfg *fbconfig.Config, opts options, l *log.Logger, logWriter *fblog.Writer) error {
	debug.SetMemoryLimit(int64(float64(cfg.Int("node", "memory-mb")) * memoryShare * (1 << 20)))
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
	store := platform.NewStore(cfg.Text("node", "store"))
	defer store.Close()
	targetClient := platform.NewTargetClient()
	defer targetClient.Close()
	node := fbnode.New(nodeOptions(cfg), fbnode.Dependencies{
		Timer: timer, Store: store, TargetClient: targetClient, Decoder: platform.Decoder{}, Log: l, Metrics: scope, DroppedLines: logWriter.Dropped,
	})
	fbevent.NodeStarting.Log(l, "node", cfg.Text("node", "name"), "zone", cfg.Text("node", "data-centre"),
		"callers", ls.callers.Addr(), "peers", ls.peers.Addr(), "store", cfg.Text("node", "store"))

	callers := platform.NewIngress(node)
	callers.MaxHeaderBytes = cfg.Int("limits", "max-header")
	limiter := fblimit.New(limits, l, scope)
	limiter.Attach(callers)
	var g run.Group
	addActor(&g, timer.Run)
	addActor(&g, func(ctx context.Context) error { return node.Run(ctx, ls.peers) })
	addActor(&g, func(ctx context.Context) error { return watchReload(ctx, opts, l) })
	addActor(&g, func(ctx context.Context) error {
		return adjustCollector(ctx, timer, node, cfg.Int("node", "owner-gc-percent"))
	})
	addServer(&g, platform.NewReadiness(node), ls.readiness)
	addServer(&g, metricsServer(reporter, node), ls.metrics)
	addServer(&g, callers, limiter.Limit(ls.callers))
	addShutdown(ctx, &g, node, callers, cfg.Duration("node", "grace")-graceMargin)
	if err := g.Run(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// adjustCollector sets the growth of the heap between two garbage collections to the
// percentage while the daemon owns a pool, and to the default otherwise. The owner of a
// pool handles each start and end there: under a burst, collections of its small heap take
// a quarter of its processor time.
func adjustCollector(ctx context.Context, timer filbertford.Timer, n *fbnode.Node, ownerPercent int) error {
	ticks, stop := timer.Subscribe(collectorPeriod)
	defer stop()
	current := defaultGCPercent
	for {
		percent := defaultGCPercent
		if n.OwnsPool() {
			percent = ownerPercent
		}
		if percent != current {
			debug.SetGCPercent(percent)
			current = percent
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks:
		}
	}
}

// callerLimits returns the limits on callers.
func callerLimits(cfg *fbconfig.Config) (fblimit.Options, error) {
	return fblimit.NewOptions(cfg, memoryBytes(cfg), platform.DefaultBodyLimit)
}

func memoryBytes(cfg *fbconfig.Config) int { return cfg.Int("node", "memory-mb") << 20 }

func nodeOptions(cfg *fbconfig.Config) fbnode.Options {
	address := cfg.Text("node", "peers")
	if advertised := cfg.Text("node", "advertise"); advertised != "" {
		address = advertised
	}
	var dataCentres []filbertford.DataCentre
	for _, name := range cfg.List("node", "data-centres") {
		dataCentres = append(dataCentres, filbertford.DataCentre(name))
	}
	return fbnode.Options{
		Member: fbfleet.NewMember(
			filbertford.NodeID(cfg.Text("node", "name")),
			uint64(time.Now().UnixMilli()),
			address,
			filbertford.DataCentre(cfg.Text("node", "data-centre")),
			int(cfg.Float("node", "processor")*weightPerCore),
		),
		Seeds:        cfg.List("node", "seeds"),
		DataCentres:  dataCentres,
		StoredMemory: memoryBytes(cfg) / 100 * cfg.Int("limits", "stored-percent"),
		Scheduling: filbertford.Scheduling{}.
			WithAdmission(filbertford.AdmissionRule(cfg.Text("scheduling", "admission"))).
			WithOrder(filbertford.QueueOrder(cfg.Text("scheduling", "order"))).
			WithPlacement(filbertford.PlacementRule(cfg.Text("scheduling", "placement"))).
			WithBackfill(cfg.Text("scheduling", "backfill") == "on").
			WithRebalance(cfg.Text("scheduling", "rebalance") == "on"),
	}
}

func listen(cfg *fbconfig.Config) (listeners, error) {
	var ls listeners
	for key, l := range map[string]*net.Listener{
		"callers": &ls.callers, "readiness": &ls.readiness, "peers": &ls.peers, "metrics": &ls.metrics,
	} {
		open := listenTCP
		if l == &ls.callers {
			open = fblimit.Listen
		}
		listener, err := open(cfg.Text("node", key))
		if err != nil {
			return ls, eris.Wrapf(err, "opening the listener for %s", key)
		}
		*l = listener
	}
	return ls, nil
}

func listenTCP(address string) (net.Listener, error) { return net.Listen("tcp", address) }

func metricsServer(r *fbmetrics.Reporter, n *fbnode.Node) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		_ = r.WriteText(w) // fails only if the client has disconnected
	})
	mux.HandleFunc("GET /evacuations", func(w http.ResponseWriter, _ *http.Request) { writeEvacuations(w, n.Evacuations()) })
	return &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
}

// evacuationsBody is the answer to a request for the evacuations that the daemon knows, in a
// list as of the stand-alone daemon's operations listener.
type evacuationsBody struct {
	Version uint64   `json:"version"`
	Zones   []string `json:"zones"`
}

func writeEvacuations(w http.ResponseWriter, e fbnode.Evacuations) {
	body := evacuationsBody{Version: e.Version(), Zones: []string{}}
	for _, dc := range e.DataCentres() {
		body.Zones = append(body.Zones, string(dc))
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode([]evacuationsBody{body}) // fails only if the client has disconnected
}

func addActor(g *run.Group, f func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { return f(ctx) }, func(error) { cancel() })
}

// addServer adds an actor that serves HTTP on the listener. A shutdown of the server
// closes the listener but doesn't end the actor, since requests are still being
// answered.
func addServer(g *run.Group, s *http.Server, l net.Listener) {
	interrupted := make(chan struct{})
	g.Add(func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		<-interrupted
		return nil
	}, func(error) {
		close(interrupted)
		_ = s.Close()
	})
}

// addShutdown adds an actor that waits for the end of the context and then shuts
// the daemon down within the grace period, while all other actors still run. Once
// the load balancer sends no new connections, it closes idle connections and waits
// for the open requests to be answered.
func addShutdown(ctx context.Context, g *run.Group, n *fbnode.Node, callers *http.Server, grace time.Duration) {
	waitCtx, cancel := context.WithCancel(ctx)
	g.Add(func() error {
		<-waitCtx.Done()
		if ctx.Err() == nil {
			return nil // another actor failed
		}
		stopCtx, cancelStop := context.WithTimeout(context.Background(), grace)
		defer cancelStop()
		n.Stop(stopCtx)
		if err := callers.Shutdown(stopCtx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
			return err
		}
		return nil
	}, func(error) { cancel() })
}
