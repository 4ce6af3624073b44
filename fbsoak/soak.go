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
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/filbertford/filbertford/fbstandin"
)

// Options are those of a run.
type Options struct {
	// Program is the path of the daemon's program.
	Program string
	// Seed decides all choices.
	Seed uint64
	// Duration is the time with faults. Some more is needed to heal and to check.
	Duration time.Duration
	// Nodes and Targets are the numbers of daemons and targets, in Zones.
	Nodes, Targets int
	Zones          []string
	// Rate is the number of jobs handed in a second.
	Rate int
	// LogDir is the directory for the daemons' logs, none if empty.
	LogDir string
	// Out takes a line for each fault and finding.
	Out io.Writer
}

// Times of a run.
const (
	// stopTimeout is the time that a daemon has to stop after it was asked to.
	stopTimeout = 6 * time.Second
	// recoveryTime is the time after the last fault after which all must be well.
	recoveryTime = 5 * time.Second
	// impactMargin is the time after a fault in which its effects last.
	impactMargin = 3 * time.Second
	// readyPollInterval is the time between two looks of waits.
	readyPollInterval = 20 * time.Millisecond
	// runUpdateInterval is the time between two looks at what targets run, so that the
	// ledger knows of ends soon.
	runUpdateInterval = 3 * time.Millisecond
)

// daemon is a daemon's process with the links to it.
type daemon struct {
	name      string
	addresses map[string]string
	process   *Process
	peers     *Proxy
	store     *Proxy
}

// Soak is a run.
type Soak struct {
	opts      Options
	store     *fbstandin.RowStore
	recorder  *fbstandin.RunRecorder
	workers   []*fbstandin.Worker
	links     []*Proxy // to the workers
	nodes     []*daemon
	group     *errgroup.Group
	startedAt time.Time

	mu           sync.Mutex
	impacts      []impact
	violations   []string
	version      uint64 // of the routes
	activeFaults map[string]int
}

// impact is a time in which a fault may explain what a caller sees of a daemon.
type impact struct {
	node     int // -1 for all
	kind     FaultKind
	from, to time.Time
}

// Run carries a run out and returns what broke a promise.
func Run(ctx context.Context, opts Options) ([]string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, groupCtx := errgroup.WithContext(ctx)
	s := &Soak{
		opts: opts, store: fbstandin.NewRowStore(), recorder: fbstandin.NewRunRecorder(), group: group, startedAt: time.Now(),
		activeFaults: make(map[string]int),
	}
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
	s.injectPlan(ctx, Plan(s.opts.Seed, s.opts.Duration, len(s.nodes), len(s.workers)))
	stopLoad()
	s.restore(ctx)
	if err := loadGroup.Wait(); err != nil {
		return err
	}
	if ctx.Err() != nil {
		return ctx.Err() // an interrupted run proves nothing
	}
	clients.checkJobs(ctx)
	s.checkServing(ctx, clients)
	s.checkStop()
	return ctx.Err()
}

// start starts the stand-ins, the links and the daemons.
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
	return nil
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
	id := fmt.Sprintf("w%d", i)
	w := fbstandin.NewWorker(id, workerCPU, s.recorder)
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
		Service: "ordering", Address: link.Address(), Zone: s.opts.Zones[i%len(s.opts.Zones)], State: "ready", Slots: 8,
		Capacity: fbstandin.WorkerCapacity{CPU: workerCPU, Memory: 8192}, Labels: []string{"a", "r1"}, StartedAtMS: 1,
	}
	s.group.Go(func() error { return s.store.Register(ctx, id, record) })
	s.group.Go(func() error { return updateRuns(ctx, w) })
	return nil
}

// workerCPU is a target's capacity in thousandths of a core.
const workerCPU = 4000

// updateRuns has a worker note the ends of its runs in time.
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
		address, err := freeAddress()
		if err != nil {
			return err
		}
		n.addresses[key] = address
	}
	var err error
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
		"-set", "node.name=" + n.name, "-set", "node.data-centre=" + s.opts.Zones[i%len(s.opts.Zones)],
		"-set", "node.data-centres=" + strings.Join(s.opts.Zones, ","), "-set", "node.store=" + n.store.Address(),
		"-set", "node.advertise=" + n.peers.Address(),
	}
	for key, address := range n.addresses {
		args = append(args, "-set", "node."+key+"="+address)
	}
	n.process = NewProcess(s.group, out, s.opts.Program, args...)
	s.nodes = append(s.nodes, n)
	return nil
}

// logFile opens a daemon's log for all its lives.
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

// Ports of daemons lie below those that the kernel gives to outgoing connections,
// one of which could else hold a daemon's port when it starts again.
const (
	minPort = 12000
	maxPort = 32000
)

// portCounter counts the ports that were drawn, so that runs side by side in one
// program never get the same; programs side by side begin at different ones.
var portCounter atomic.Int64

// portStride is the distance between the first ports of two processes.
const portStride = 331

// freeAddress returns a loopback address that was free a moment ago.
func freeAddress() (string, error) {
	for range maxPort - minPort {
		offset := (int64(os.Getpid())*portStride + portCounter.Add(1)) % (maxPort - minPort)
		address := fmt.Sprintf("127.0.0.1:%d", minPort+offset)
		l, err := net.Listen("tcp", address)
		if err == nil {
			return address, l.Close()
		}
	}
	return "", errors.New("no port is free")
}

// putRoutes writes the next version of the routes: the one for jobs, and one that
// only this version has.
func (s *Soak) putRoutes() error {
	s.mu.Lock()
	s.version++
	version := s.version
	s.mu.Unlock()
	route := fbstandin.RouteRow{Name: "jobs", Host: host, Prefix: "/jobs/", TargetDurationMS: objectiveMS, Service: "ordering", Attempts: 3, Stretch: 1.6}
	probe := route
	probe.Name, probe.Prefix = "probe", probePrefix(version)
	return s.store.PutRoutes(version, route, probe)
}

func probePrefix(version uint64) string { return fmt.Sprintf("/probe-%d/", version) }

// logf writes a line with the time of the run.
func (s *Soak) logf(format string, args ...any) {
	fmt.Fprintf(s.opts.Out, "%7.3f %s\n", time.Since(s.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// violationf notes a broken promise.
func (s *Soak) violationf(format string, args ...any) {
	s.mu.Lock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
	s.mu.Unlock()
	s.logf("BROKEN "+format, args...)
}

// awaitReady waits until all daemons welcome connections.
func (s *Soak) awaitReady(ctx context.Context, timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); ; {
		if s.allReady(ctx) {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("not all daemons were ready within %v: %s", timeout, s.describeReadiness(ctx))
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(readyPollInterval):
		}
	}
}

// describeReadiness tells of each daemon whether it is ready and how often it has ended.
func (s *Soak) describeReadiness(ctx context.Context) string {
	var out []string
	for _, n := range s.nodes {
		status, err := getStatus(ctx, n.addresses["readiness"], "/-/ready")
		out = append(out, fmt.Sprintf("%s %d %v, ended %d times", n.name, status, err, n.process.UnexpectedExits()))
	}
	return strings.Join(out, "; ")
}

func (s *Soak) allReady(ctx context.Context) bool {
	for _, n := range s.nodes {
		status, _ := getStatus(ctx, n.addresses["readiness"], "/-/ready")
		if status != http.StatusOK {
			return false
		}
	}
	return true
}

// getStatus returns the status of a GET, 0 without an answer.
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

// injectPlan carries the plan out; it returns when the time with faults is over.
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

// recordImpact notes that a fault may explain what callers see until it has ended
// and some time after.
func (s *Soak) recordImpact(node int, f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	to := now.Add(f.Duration + impactMargin)
	if f.Kind == FaultStop {
		to = to.Add(stopTimeout)
	}
	s.impacts = append(s.impacts, impact{node: node, kind: f.Kind, from: now, to: to})
}

// isImpacted reports whether a fault other than a planned stop may explain what
// was seen of a daemon between two moments.
func (s *Soak) isImpacted(node int, from, to time.Time, ignoreStops bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, im := range s.impacts {
		if im.node != -1 && im.node != node || ignoreStops && im.kind == FaultStop {
			continue
		}
		if im.from.Before(to) && from.Before(im.to) {
			return true
		}
	}
	return false
}

// restore starts all daemons again and gives them time.
func (s *Soak) restore(ctx context.Context) {
	s.logf("all faults end")
	s.sleepUntil(ctx, s.opts.Duration+maxFaultDuration+stopTimeout) // until what was begun is over
	for i, n := range s.nodes {
		n.process.Signal(syscall.SIGCONT)
		if err := n.process.Start(); err != nil {
			s.violationf("daemon %d could not be started: %v", i, err)
		}
	}
	s.sleepUntil(ctx, s.opts.Duration+maxFaultDuration+stopTimeout+recoveryTime)
	if err := s.awaitReady(ctx, recoveryTime); err != nil && ctx.Err() == nil {
		s.violationf("after all faults: %v", err)
	}
}
