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

	"github.com/filbertford/filbertford/fbstand"
)

// Options are those of a run.
type Options struct {
	// Program is the path of the daemon's program.
	Program string
	// Seed decides all choices.
	Seed uint64
	// Length is the time with faults. Some more is needed to heal and to check.
	Length time.Duration
	// Nodes and Targets are the numbers of daemons and targets, in Zones.
	Nodes, Targets int
	Zones          []string
	// Rate is the number of jobs handed in a second.
	Rate int
	// Logs is the directory for the daemons' logs, none if empty.
	Logs string
	// Out takes a line for each fault and finding.
	Out io.Writer
}

// Times of a run.
const (
	// grace is the time that a daemon has to stop after it was asked to.
	grace = 6 * time.Second
	// healTerm is the time after the last fault after which all must be well.
	healTerm = 5 * time.Second
	// stableTerm is the time after a fault in which its effects last.
	stableTerm = 3 * time.Second
	// pollPeriod is the time between two looks of waits.
	pollPeriod = 20 * time.Millisecond
	// settlePeriod is the time between two looks at what targets run, so that the
	// ledger knows of ends soon.
	settlePeriod = 3 * time.Millisecond
)

// daemon is a daemon's process with the links to it.
type daemon struct {
	name    string
	ports   map[string]string
	process *Process
	peers   *Proxy
	store   *Proxy
}

// Soak is a run.
type Soak struct {
	opts    Options
	store   *fbstand.RowStore
	ledger  *fbstand.Ledger
	workers []*fbstand.Worker
	links   []*Proxy // to the workers
	nodes   []*daemon
	group   *errgroup.Group
	begun   time.Time

	mu       sync.Mutex
	harmed   []harm
	findings []string
	version  uint64 // of the routes
	pending  map[string]int
}

// harm is a time in which a fault may explain what a caller sees of a daemon.
type harm struct {
	node     int // -1 for all
	kind     FaultKind
	from, to time.Time
}

// Run carries a run out and returns what broke a promise.
func Run(ctx context.Context, o Options) ([]string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, groupCtx := errgroup.WithContext(ctx)
	s := &Soak{
		opts: o, store: fbstand.NewRowStore(), ledger: fbstand.NewLedger(), group: group, begun: time.Now(),
		pending: make(map[string]int),
	}
	err := s.run(groupCtx)
	for _, n := range s.nodes {
		n.process.Kill()
	}
	cancel()
	if ended := group.Wait(); err == nil && ended != nil && !errors.Is(ended, context.Canceled) {
		err = ended
	}
	return s.findings, err
}

func (s *Soak) run(ctx context.Context) error {
	if err := s.build(ctx); err != nil {
		return err
	}
	if err := s.awaitReady(ctx, 10*time.Second); err != nil {
		return err
	}
	s.begun = time.Now()
	var load errgroup.Group
	clients := newClients(s)
	loading, stop := context.WithCancel(ctx)
	load.Go(func() error { return clients.run(loading) })
	s.bringAbout(ctx, Plan(s.opts.Seed, s.opts.Length, len(s.nodes), len(s.workers)))
	stop()
	s.heal(ctx)
	if err := load.Wait(); err != nil {
		return err
	}
	if ctx.Err() != nil {
		return ctx.Err() // an interrupted run proves nothing
	}
	clients.check(ctx)
	s.checkCalm(ctx, clients)
	s.checkStop()
	return ctx.Err()
}

// build starts the stand-ins, the links and the daemons.
func (s *Soak) build(ctx context.Context) error {
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
	w := fbstand.NewWorker(id, workerCPU, s.ledger)
	address, err := s.serve(ctx, w.Handler())
	if err != nil {
		return err
	}
	link, err := NewProxy(ctx, s.group, address)
	if err != nil {
		return err
	}
	s.workers, s.links = append(s.workers, w), append(s.links, link)
	record := fbstand.WorkerRecord{
		Service: "ordering", Address: link.Address(), Zone: s.opts.Zones[i%len(s.opts.Zones)], State: "ready", Slots: 8,
		Capacity: fbstand.WorkerCapacity{CPU: workerCPU, Memory: 8192}, Labels: []string{"a", "r1"}, Born: 1,
	}
	s.group.Go(func() error { return s.store.Register(ctx, id, record) })
	s.group.Go(func() error { return settle(ctx, w) })
	return nil
}

// workerCPU is a target's capacity in thousandths of a core.
const workerCPU = 4000

// settle has a worker note the ends of its runs in time.
func settle(ctx context.Context, w *fbstand.Worker) error {
	ticker := time.NewTicker(settlePeriod)
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
	n := &daemon{name: fmt.Sprintf("n%d", i), ports: make(map[string]string)}
	for _, key := range []string{"callers", "readiness", "peers", "metrics"} {
		port, err := freePort()
		if err != nil {
			return err
		}
		n.ports[key] = port
	}
	var err error
	if n.peers, err = NewProxy(ctx, s.group, n.ports["peers"]); err != nil {
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
	for key, address := range n.ports {
		args = append(args, "-set", "node."+key+"="+address)
	}
	n.process = NewProcess(s.group, out, s.opts.Program, args...)
	s.nodes = append(s.nodes, n)
	return nil
}

// logFile opens a daemon's log for all its lives.
func (s *Soak) logFile(name string) (io.Writer, error) {
	if s.opts.Logs == "" {
		return io.Discard, nil
	}
	dir := filepath.Join(s.opts.Logs, fmt.Sprintf("seed-%d", s.opts.Seed))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	return os.Create(filepath.Join(dir, name+".log"))
}

// Ports of daemons lie below those that the kernel gives to outgoing connections,
// one of which could else hold a daemon's port when it starts again.
const (
	firstPort = 12000
	lastPort  = 32000
)

// drawnPorts counts the ports that were drawn, so that runs side by side in one
// program never get the same; programs side by side begin at different ones.
var drawnPorts atomic.Int64

// portStride is the distance between the first ports of two processes.
const portStride = 331

// freePort returns a loopback address that was free a moment ago.
func freePort() (string, error) {
	for range lastPort - firstPort {
		offset := (int64(os.Getpid())*portStride + drawnPorts.Add(1)) % (lastPort - firstPort)
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+offset)
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
	route := fbstand.RouteRow{Name: "jobs", Host: host, Prefix: "/jobs/", TargetDurationMS: objectiveMS, Service: "ordering", Attempts: 3, Stretch: 1.6}
	probe := route
	probe.Name, probe.Prefix = "probe", probePrefix(version)
	return s.store.PutRoutes(version, route, probe)
}

func probePrefix(version uint64) string { return fmt.Sprintf("/probe-%d/", version) }

// say writes a line with the time of the run.
func (s *Soak) say(format string, args ...any) {
	fmt.Fprintf(s.opts.Out, "%7.3f %s\n", time.Since(s.begun).Seconds(), fmt.Sprintf(format, args...))
}

// find notes a broken promise.
func (s *Soak) find(format string, args ...any) {
	s.mu.Lock()
	s.findings = append(s.findings, fmt.Sprintf(format, args...))
	s.mu.Unlock()
	s.say("BROKEN "+format, args...)
}

// awaitReady waits until all daemons welcome connections.
func (s *Soak) awaitReady(ctx context.Context, most time.Duration) error {
	for end := time.Now().Add(most); ; {
		if s.allReady(ctx) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("not all daemons were ready within %v: %s", most, s.describe(ctx))
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollPeriod):
		}
	}
}

// describe tells of each daemon whether it is ready and how often it has ended.
func (s *Soak) describe(ctx context.Context) string {
	var out []string
	for _, n := range s.nodes {
		status, err := get(ctx, n.ports["readiness"], "/-/ready")
		out = append(out, fmt.Sprintf("%s %d %v, ended %d times", n.name, status, err, n.process.Strange()))
	}
	return strings.Join(out, "; ")
}

func (s *Soak) allReady(ctx context.Context) bool {
	for _, n := range s.nodes {
		status, _ := get(ctx, n.ports["readiness"], "/-/ready")
		if status != http.StatusOK {
			return false
		}
	}
	return true
}

// get returns the status of a GET, 0 without an answer.
func get(ctx context.Context, address, path string) (int, error) {
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

// bringAbout carries the plan out; it returns when the time with faults is over.
func (s *Soak) bringAbout(ctx context.Context, plan []Fault) {
	for _, f := range plan {
		if !s.sleepUntil(ctx, f.At) {
			return
		}
		s.say("fault %v", f)
		s.group.Go(func() error {
			s.apply(ctx, f)
			return nil
		})
	}
	s.sleepUntil(ctx, s.opts.Length)
}

func (s *Soak) sleepUntil(ctx context.Context, at time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(s.begun.Add(at))):
		return true
	}
}

// harmDuring notes that a fault may explain what callers see until it has ended
// and some time after.
func (s *Soak) harmDuring(node int, f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	to := now.Add(f.For + stableTerm)
	if f.Kind == FaultStop {
		to = to.Add(grace)
	}
	s.harmed = append(s.harmed, harm{node: node, kind: f.Kind, from: now, to: to})
}

// harmedIn reports whether a fault other than a planned stop may explain what
// was seen of a daemon between two moments.
func (s *Soak) harmedIn(node int, from, to time.Time, planned bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.harmed {
		if h.node != -1 && h.node != node || planned && h.kind == FaultStop {
			continue
		}
		if h.from.Before(to) && from.Before(h.to) {
			return true
		}
	}
	return false
}

// heal starts all daemons again and gives them time.
func (s *Soak) heal(ctx context.Context) {
	s.say("all faults end")
	s.sleepUntil(ctx, s.opts.Length+longestFault+grace) // until what was begun is over
	for i, n := range s.nodes {
		n.process.Signal(syscall.SIGCONT)
		if err := n.process.Start(); err != nil {
			s.find("daemon %d could not be started: %v", i, err)
		}
	}
	s.sleepUntil(ctx, s.opts.Length+longestFault+grace+healTerm)
	if err := s.awaitReady(ctx, healTerm); err != nil && ctx.Err() == nil {
		s.find("after all faults: %v", err)
	}
}
