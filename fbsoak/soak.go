package fbsoak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/filbertford/filbertford/fbstandin"
)

// Options are the options of a run.
type Options struct {
	// Program is the path of the daemon's executable.
	Program string
	// Earlier is the path of an earlier version of it, which each daemon runs after every
	// second start. If empty, all daemons run Program.
	Earlier string
	// Rolling replaces the drawn faults by planned restarts of all daemons in turn.
	Rolling bool
	// Seed is the seed of all random choices.
	Seed uint64
	// Duration is the time in which faults start. Recovery and checks take longer.
	Duration time.Duration
	// Nodes and Targets are the numbers of daemons and targets. They are spread
	// over DataCentres.
	Nodes, Targets int
	DataCentres    []string
	// Rate is the number of jobs submitted per second.
	Rate int
	// LogDir is the directory for the daemons' logs. If empty, they are discarded.
	LogDir string
	// Out receives a line for each fault and violation.
	Out io.Writer
}

func (o Options) plan() []Fault {
	if o.Rolling {
		return RollingPlan(o.Duration, o.Nodes)
	}
	return Plan(o.Seed, o.Duration, o.Nodes, o.Targets)
}

// Times of a run.
const (
	// stopTimeout is the time that a daemon has to stop after SIGTERM.
	stopTimeout = 6 * time.Second
	// recoveryTime is the time that daemons have to recover after the last fault.
	recoveryTime = 5 * time.Second
	// impactMargin is how long after its end a fault may still affect callers.
	impactMargin = 3 * time.Second
	// readyLimit is the longest that the soak waits for daemons to be ready on a machine
	// that has no processor time for them.
	readyLimit = time.Minute
	// readyPollInterval is the interval between two checks for readiness.
	readyPollInterval = 20 * time.Millisecond
	// runUpdateInterval is the interval at which targets end the runs that are due,
	// so that the recorder has the ends soon after.
	runUpdateInterval = 3 * time.Millisecond
)

// daemon is a daemon's process with its links.
type daemon struct {
	name      string
	addresses map[string]string
	process   *Process
	callers   *Proxy
	peers     *Proxy
	store     *Proxy
}

// Soak is one run, with its stand-ins, proxies and daemons.
type Soak struct {
	opts      Options
	store     *fbstandin.RowStore
	recorder  *fbstandin.RunRecorder
	workers   []*fbstandin.Worker
	links     []*Proxy // to the workers
	nodes     []*daemon
	group     *errgroup.Group
	startedAt time.Time
	waits     *processorWaits

	outMu        sync.Mutex // held while a line is written to opts.Out
	routesMu     sync.Mutex // held while routes are written, so that versions are written in order
	mu           sync.Mutex
	impacts      []impact
	violations   []string
	version      uint64 // of the routes
	activeFaults map[string]int
}

// Run executes a run and returns the violations that it found.
func Run(ctx context.Context, opts Options) ([]string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, groupCtx := errgroup.WithContext(ctx)
	s := &Soak{
		opts: opts, store: fbstandin.NewRowStore(), recorder: fbstandin.NewRunRecorder(), group: group, startedAt: time.Now(),
		activeFaults: make(map[string]int),
	}
	s.waits = newProcessorWaits(s.pids)
	err := s.run(groupCtx)
	for _, n := range s.nodes {
		n.process.Kill()
	}
	cancel()
	if groupErr := group.Wait(); err == nil && groupErr != nil && !errors.Is(groupErr, context.Canceled) {
		err = groupErr
	}
	return s.violations, err
}

func (s *Soak) run(ctx context.Context) error {
	if err := s.start(ctx); err != nil {
		return err
	}
	if err := s.awaitReady(ctx, 10*time.Second); err != nil {
		return err
	}
	s.startedAt = time.Now()
	var loadGroup errgroup.Group
	clients := newClients(s)
	loadCtx, stopLoad := context.WithCancel(ctx)
	loadGroup.Go(func() error { return clients.run(loadCtx) })
	s.injectPlan(ctx, s.opts.plan())
	stopLoad()
	s.restore(ctx)
	if err := loadGroup.Wait(); err != nil {
		return err
	}
	if ctx.Err() != nil {
		return ctx.Err() // the checks need a complete run
	}
	clients.checkJobs(ctx)
	s.checkServing(ctx, clients)
	s.checkStop()
	return ctx.Err()
}

// start starts the stand-ins, the proxies and the daemons.
func (s *Soak) start(ctx context.Context) error {
	storeAddress, err := s.serve(ctx, s.store.Handler())
	if err != nil {
		return err
	}
	if err := s.putRoutes(); err != nil {
		return err
	}
	for i := range s.opts.Targets {
		if err := s.addWorker(ctx, i); err != nil {
			return err
		}
	}
	for i := range s.opts.Nodes {
		if err := s.addNode(ctx, i, storeAddress); err != nil {
			return err
		}
	}
	for _, n := range s.nodes {
		if err := n.process.Start(); err != nil {
			return err
		}
	}
	s.group.Go(func() error { return s.waits.run(ctx) })
	return nil
}

// pids returns the IDs of this process and of the daemons that are running.
func (s *Soak) pids() []int {
	out := []int{os.Getpid()}
	for _, n := range s.nodes {
		if pid := n.process.PID(); pid != 0 {
			out = append(out, pid)
		}
	}
	return out
}

// serve serves a handler on a free port and returns its address.
func (s *Soak) serve(ctx context.Context, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	s.group.Go(func() error {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	s.group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	return l.Addr().String(), nil
}

func (s *Soak) addWorker(ctx context.Context, i int) error {
	w := fbstandin.NewWorker(fmt.Sprintf("w%d", i), workerCPU, s.recorder)
	address, err := s.serve(ctx, w.Handler())
	if err != nil {
		return err
	}
	link, err := NewProxy(ctx, s.group, address)
	if err != nil {
		return err
	}
	s.workers, s.links = append(s.workers, w), append(s.links, link)
	record := fbstandin.WorkerRecord{
		Service: "ordering", Address: link.Address(), Zone: s.opts.DataCentres[i%len(s.opts.DataCentres)], State: "ready", Slots: 8,
		Capacity: fbstandin.WorkerCapacity{CPU: workerCPU, Memory: 8192}, Labels: []string{"a", "r1"},
	}
	s.group.Go(func() error { return s.store.Register(ctx, w, record) })
	s.group.Go(func() error { return updateRuns(ctx, w) })
	return nil
}

// workerCPU is a target's capacity in thousandths of a core.
const workerCPU = 4000

// updateRuns makes a worker end the runs that are due, until the context ends.
func updateRuns(ctx context.Context, w *fbstandin.Worker) error {
	ticker := time.NewTicker(runUpdateInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			w.Running()
		}
	}
}

func (s *Soak) addNode(ctx context.Context, i int, store string) error {
	n := &daemon{name: fmt.Sprintf("n%d", i), addresses: make(map[string]string)}
	for _, key := range []string{"callers", "readiness", "peers", "metrics"} {
		address, err := fbstandin.FreeAddress()
		if err != nil {
			return err
		}
		n.addresses[key] = address
	}
	var err error
	if n.callers, err = NewProxy(ctx, s.group, n.addresses["callers"]); err != nil {
		return err
	}
	if n.peers, err = NewProxy(ctx, s.group, n.addresses["peers"]); err != nil {
		return err
	}
	if n.store, err = NewProxy(ctx, s.group, store); err != nil {
		return err
	}
	out, err := s.logFile(n.name)
	if err != nil {
		return err
	}
	args := []string{
		"-set", "node.name=" + n.name, "-set", "node.data-centre=" + s.opts.DataCentres[i%len(s.opts.DataCentres)],
		"-set", "node.data-centres=" + strings.Join(s.opts.DataCentres, ","), "-set", "node.store=" + n.store.Address(),
		"-set", "node.advertise=" + n.peers.Address(),
	}
	for key, address := range n.addresses {
		args = append(args, "-set", "node."+key+"="+address)
	}
	if s.opts.Seed >= firstSeedOfEvacuations && s.opts.Earlier == "" { // an earlier version may not know the settings
		for _, setting := range contentionSettings {
			args = append(args, "-set", setting)
		}
	}
	programs := []string{s.opts.Program}
	if s.opts.Earlier != "" {
		programs = append(programs, s.opts.Earlier)
	}
	n.process = NewProcess(s.group, out, programs, args...)
	s.nodes = append(s.nodes, n)
	return nil
}

// logFile creates a daemon's log file, which all its processes write to.
func (s *Soak) logFile(name string) (io.Writer, error) {
	if s.opts.LogDir == "" {
		return io.Discard, nil
	}
	dir := filepath.Join(s.opts.LogDir, fmt.Sprintf("seed-%d", s.opts.Seed))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	return os.Create(filepath.Join(dir, name+".log"))
}

// fillerRoutes is by how many routes the routing table grows from a version to the next one.
const fillerRoutes = 500

// putRoutes writes the next version of the routes: the one for jobs, a probe route that only
// this version has, and others by which the table grows twice and shrinks again.
func (s *Soak) putRoutes() error {
	s.routesMu.Lock()
	defer s.routesMu.Unlock()
	s.mu.Lock()
	s.version++
	version := s.version
	s.mu.Unlock()
	route := fbstandin.RouteRow{Name: "jobs", Host: host, Prefix: "/jobs/", TargetDurationMS: objectiveMS, Service: "ordering", Attempts: 3, Stretch: 1.6}
	probe := route
	probe.Name, probe.Prefix = "probe", probePrefix(version)
	routes := []fbstandin.RouteRow{route, probe}
	for i := range fillerRoutes * int(version%3) {
		filler := route
		filler.Name = fmt.Sprintf("filler-%d", i)
		filler.Prefix = "/" + filler.Name + "/"
		routes = append(routes, filler)
	}
	return s.store.PutRoutes(version, routes...)
}

func probePrefix(version uint64) string { return fmt.Sprintf("/probe-%d/", version) }

// logf writes a line with the time since the start of the run, in seconds.
func (s *Soak) logf(format string, args ...any) {
	s.outMu.Lock()
	defer s.outMu.Unlock()
	fmt.Fprintf(s.opts.Out, "%7.3f %s\n", time.Since(s.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// violationf records and logs a violation.
func (s *Soak) violationf(format string, args ...any) {
	s.mu.Lock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
	s.mu.Unlock()
	s.logf("BROKEN "+format, args...)
}

// getStatus sends a GET request and returns the status, or 0 and an error if there
// is no answer.
func getStatus(ctx context.Context, address, path string) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return 0, err
	}
	req.Host = host
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// injectPlan injects the faults of the plan at their times, and returns after the
// run's duration.
func (s *Soak) injectPlan(ctx context.Context, plan []Fault) {
	for _, f := range plan {
		if !s.sleepUntil(ctx, f.At) {
			return
		}
		s.logf("fault %v", f)
		s.group.Go(func() error {
			s.inject(ctx, f)
			return nil
		})
	}
	s.sleepUntil(ctx, s.opts.Duration)
}

func (s *Soak) sleepUntil(ctx context.Context, at time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(s.startedAt.Add(at))):
		return true
	}
}

// restore waits until all faults have ended, resumes or starts the daemons that
// don't run, and waits until all are ready.
func (s *Soak) restore(ctx context.Context) {
	s.logf("all faults are injected; waiting for the daemons to recover")
	s.sleepUntil(ctx, s.opts.Duration+maxFaultDuration+stopTimeout) // until active faults and planned stops have ended
	for i, n := range s.nodes {
		n.process.Signal(syscall.SIGCONT)
		if err := n.process.Start(); err != nil {
			s.violationf("cannot start daemon %d: %v", i, err)
		}
	}
	s.sleepUntil(ctx, s.opts.Duration+maxFaultDuration+stopTimeout+recoveryTime)
	if err := s.awaitReady(ctx, recoveryTime); err != nil && ctx.Err() == nil {
		s.violationf("after the last fault: %v", err)
	}
}
