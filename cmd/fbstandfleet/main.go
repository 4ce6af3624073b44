// Command fbstandfleet serves stand-ins for the users' platform: its metadata
// store, with routes as an operator configures them, and workers. With it,
// filbertfordnode can be tried without the users' machines. PUT /faults at the
// store or at a worker sets the faults to simulate there, and PUT and DELETE
// /evacuations/ZONE at the store begin and end the evacuation of a zone.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/oklog/run"
	"github.com/peterbourgon/ff/v3"

	"github.com/filbertford/filbertford/fbevent"
	"github.com/filbertford/filbertford/fbstandin"
)

// options are the options of the command line.
type options struct {
	store       string
	host        string
	port        int
	workers     int
	dataCentres string
	cpu         int
	rack        int
}

// readHeaderTimeout is the time that a client has to send a request's header.
const readHeaderTimeout = 5 * time.Second

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

func parseOptions(args []string) (options, error) {
	var o options
	fs := flag.NewFlagSet("fbstandfleet", flag.ContinueOnError)
	fs.StringVar(&o.store, "store", "127.0.0.1:7000", "`address` of the metadata store")
	fs.StringVar(&o.host, "host", "127.0.0.1", "`address` of the workers")
	fs.IntVar(&o.port, "first-port", 7300, "`port` of the first worker")
	fs.IntVar(&o.workers, "workers", 6, "`number` of workers")
	fs.StringVar(&o.dataCentres, "zones", "nordnes", "data centres, separated by commas, assigned to the workers in turn")
	fs.IntVar(&o.cpu, "cpu", 4000, "`thousandths` of a core of each worker")
	fs.IntVar(&o.rack, "rack", 3, "`number` of workers per rack")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("FBSTANDFLEET")); err != nil {
		return o, err
	}
	switch {
	case fs.NArg() > 0:
		return o, fmt.Errorf("unexpected argument %q", fs.Arg(0))
	case o.workers < 1 || o.cpu < 1 || o.rack < 1 || o.dataCentres == "":
		return o, errors.New("-workers, -cpu and -rack must be at least 1, and -zones must not be empty")
	}
	return o, nil
}

// serve runs the stand-ins until a signal or the end of the context. Both are a
// planned stop, for which it returns nil.
func serve(ctx context.Context, logger *log.Logger, args []string) error {
	o, err := parseOptions(args)
	if err != nil {
		return err
	}
	store := fbstandin.NewRowStore()
	if err := store.PutRoutes(1, routes()...); err != nil {
		return err
	}
	var g run.Group
	g.Add(run.SignalHandler(ctx, syscall.SIGINT, syscall.SIGTERM))
	if err := addServer(&g, logger, "store", o.store, store.Handler()); err != nil {
		return err
	}
	recorder := fbstandin.NewRunRecorder()
	dataCentres := strings.Split(o.dataCentres, ",")
	for i := range o.workers {
		id := fmt.Sprintf("w%d", i)
		address := net.JoinHostPort(o.host, fmt.Sprint(o.port+i))
		w := fbstandin.NewWorker(id, o.cpu, recorder)
		if err := addServer(&g, logger, id, address, w.Handler()); err != nil {
			return err
		}
		registerWorker(&g, store, w, fbstandin.WorkerRecord{
			Service: "ordering", Address: address, Zone: dataCentres[i%len(dataCentres)], Version: "v1", Slots: 8, State: "ready",
			Capacity: fbstandin.WorkerCapacity{CPU: o.cpu, Memory: 8192}, Labels: []string{"a", fmt.Sprintf("r%d", i/o.rack)},
		})
	}
	err = g.Run()
	var signal *run.SignalError
	if errors.As(err, &signal) || errors.Is(err, context.Canceled) {
		fbevent.StandInStopped.Log(logger, "cause", err)
		return nil
	}
	return err
}

// routes returns the routes that the store has at the start.
func routes() []fbstandin.RouteRow {
	return []fbstandin.RouteRow{{
		Name: "jobs", Host: "depot.example", Prefix: "/jobs/", TimeoutMS: 5000, TargetDurationMS: 60,
		Service: "ordering", Attempts: 3, Stretch: 1.6,
	}}
}

func addServer(g *run.Group, logger *log.Logger, name, address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	g.Add(func() error { return s.Serve(l) }, func(error) { _ = s.Close() })
	fbevent.StandInServing.Log(logger, "what", name, "address", l.Addr())
	return nil
}

func registerWorker(g *run.Group, store *fbstandin.RowStore, w *fbstandin.Worker, r fbstandin.WorkerRecord) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { return store.Register(ctx, w, r) }, func(error) { cancel() })
}
