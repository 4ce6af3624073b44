package main

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/filbertford/filbertford/fbstandin"
)

// Names and times of the deployment. The figures are those of a small installation.
const (
	host            = "desk.example"
	prefix          = "/orders/"
	storeDelayMS    = 4
	processorShare  = "0.4"
	memoryMB        = "284"
	graceS          = "6"
	readyTimeout    = 15 * time.Second
	settleTime      = 4 * time.Second // from the start of the machines to that of the traffic
	settingsName    = "FILBERTFORD_NODE_FILE"
	deployFile      = "deploy/system.toml"
	processStopTime = 2 * time.Second
)

// zoneNames are the zones of the deployment.
var zoneNames = []string{"casa", "marrakech", "rabat"}

// setting is the deployment that a case runs on.
type setting struct {
	record  *record
	logs    string
	trouble bool

	ctx     context.Context
	cancel  context.CancelFunc
	group   errgroup.Group
	dir     string
	command []string
	store   *fbstandin.RowStore
	zones   []string
	nodes   []*node
	workers []*worker
	client  *http.Client
}

// begin prepares the case: a store with a configuration, and the command of the daemons.
func (s *setting) begin(ctx context.Context, routes ...fbstandin.RouteRow) error {
	s.ctx, s.cancel = context.WithCancel(ctx)
	s.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	var err error
	if s.dir, err = os.MkdirTemp("", "review"); err != nil {
		return err
	}
	if s.command, err = deployCommand(); err != nil {
		return err
	}
	s.store = fbstandin.NewRowStore()
	s.store.SetFaults(fbstandin.RowFaults{DelayMS: storeDelayMS})
	return s.store.PutRoutes(1, routes...)
}

// defaultRoute is a queue like those of the small installations.
func defaultRoute() fbstandin.RouteRow {
	return fbstandin.RouteRow{
		Name: "orders", Host: host, Prefix: prefix, TimeoutMS: 5000, TargetDurationMS: 60, Service: "orders", Attempts: 3, Stretch: 1.6,
	}
}

// deployCommand returns the command of the deploy file.
func deployCommand() ([]string, error) {
	data, err := os.ReadFile(deployFile)
	if err != nil {
		return nil, err
	}
	m := regexp.MustCompile(`(?m)^run = "([^"]+)"`).FindSubmatch(data)
	if m == nil {
		return nil, fmt.Errorf("%s has no command", deployFile)
	}
	return strings.Fields(string(m[1])), nil
}

// listen serves a handler on a free loopback address until the case ends.
func (s *setting) listen(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	s.group.Go(func() error {
		_ = server.Serve(l) // ends when the case does
		return nil
	})
	s.group.Go(func() error {
		<-s.ctx.Done()
		return server.Close()
	})
	return l.Addr().String(), nil
}

// addWorker adds a worker with a machine's kind and rack as labels.
func (s *setting) addWorker(zone, kind string) (*worker, error) {
	cpu, memory := 16000, 32768
	if kind == "b" {
		cpu, memory = 24000, 49152
	}
	n := len(s.workers)
	w := newWorker(s.record, s.store, fmt.Sprintf("w%02d", n), zone, cpu, memory, kind, fmt.Sprintf("r%d", n/8))
	if err := w.serve(s.ctx, &s.group, zoneNames, s.listen); err != nil {
		return nil, err
	}
	s.workers = append(s.workers, w)
	return w, nil
}

// node is a daemon's process.
type node struct {
	setting *setting
	name    string
	zone    string
	front   string
	ready   string
	peers   string // at which the daemon listens
	shown   string // at which the others reach it
	proxy   *proxy
	file    string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	wanted bool
}

// startNodes starts a daemon for each zone named, a zone possibly several times, with a
// proxy in front of each daemon's listener for others. It waits until all are ready and
// the deployment has settled.
func (s *setting) startNodes(ctx context.Context, storeAddresses map[string]string, zones ...string) error {
	seen := make(map[string]int)
	for _, zone := range zones {
		if seen[zone]++; seen[zone] == 1 {
			s.zones = append(s.zones, zone)
		}
		n := &node{setting: s, name: fmt.Sprintf("front-%s-%d", zone, seen[zone]), zone: zone}
		for _, a := range []*string{&n.front, &n.ready, &n.peers} {
			address, err := fbstandin.FreeAddress()
			if err != nil {
				return err
			}
			*a = address
		}
		p, err := newProxy(s, n)
		if err != nil {
			return err
		}
		n.proxy, n.shown = p, p.address
		s.nodes = append(s.nodes, n)
	}
	for _, n := range s.nodes {
		if err := n.writeSettings(storeAddresses[n.zone]); err != nil {
			return err
		}
		if err := n.start(); err != nil {
			return err
		}
	}
	for _, n := range s.nodes {
		if err := n.waitReady(ctx); err != nil {
			return err
		}
	}
	return sleep(ctx, settleTime)
}

// writeSettings fills in the template of the deploy file.
func (n *node) writeSettings(storeAddress string) error {
	s := n.setting
	template, err := os.ReadFile("deploy/node.ini")
	if err != nil {
		return err
	}
	metrics, err := fbstandin.FreeAddress()
	if err != nil {
		return err
	}
	var seeds []string
	for _, o := range s.nodes[:min(3, len(s.nodes))] {
		seeds = append(seeds, o.shown)
	}
	text := strings.NewReplacer(
		"{{node}}", n.name, "{{zone}}", n.zone, "{{#zones}}{{@}}{{,}}{{/zones}}", strings.Join(s.zones, ","),
		"{{listen.front}}", n.front, "{{listen.ready}}", n.ready, "{{listen.control}}", n.peers+"\nadvertise = "+n.shown,
		"{{ip}}:{{portRange.1}}", metrics, "{{seeds}}", strings.Join(seeds, ","), "{{platform.addr}}", storeAddress,
		"{{limits.cpuShare}}", processorShare, "{{limits.memoryMb}}", memoryMB, "{{bounds.graceS}}", graceS,
	).Replace(string(template))
	if strings.Contains(text, "{{") {
		return fmt.Errorf("the template of the settings has a placeholder that isn't known: %s", text)
	}
	n.file = filepath.Join(s.dir, n.name+".ini")
	return os.WriteFile(n.file, []byte(text), 0o600)
}

// logFile returns the file that the daemon's output goes to.
func (n *node) logFile() string {
	return filepath.Join(cmp.Or(n.setting.logs, n.setting.dir), n.name+".log")
}

// owned returns the pools that the daemon has acquired by its log.
func (n *node) owned() []string {
	data, err := os.ReadFile(n.logFile())
	if err != nil {
		return nil
	}
	var out []string
	for _, m := range regexp.MustCompile(`event=(FE7031|FE7032) pool=(\S+)`).FindAllStringSubmatch(string(data), -1) {
		out = slices.DeleteFunc(out, func(pool string) bool { return pool == m[2] })
		if m[1] == "FE7031" {
			out = append(out, m[2])
		}
	}
	return out
}

// ownerOf returns the daemon that owns a pool, nil if none does.
func (s *setting) ownerOf(pool string) *node {
	i := slices.IndexFunc(s.nodes, func(n *node) bool { return slices.Contains(n.owned(), pool) })
	if i < 0 {
		return nil
	}
	return s.nodes[i]
}

// start starts the daemon's process.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	cmd := exec.Command(n.setting.command[0], n.setting.command[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), settingsName + "=" + n.file}
	f, err := os.OpenFile(n.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer f.Close()
	cmd.Stdout, cmd.Stderr = f, f
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.cmd, n.exited, n.wanted = cmd, exited, true
	n.setting.record.printf("daemon %s starts", n.name)
	n.setting.group.Go(func() error {
		_ = cmd.Wait() // fails if a signal ended the process
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.wanted {
			n.setting.record.printf("daemon %s has ended by itself", n.name)
		}
		close(exited)
		return nil
	})
	return nil
}

// signal sends a signal to the process.
func (n *node) signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return
	}
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		n.wanted = false
	}
	n.setting.record.printf("daemon %s gets %v", n.name, sig)
	_ = n.cmd.Process.Signal(sig) // fails if the process has ended
}

// kill kills the process and waits for its end.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	<-n.exited
}

func (n *node) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.ready+"/-/ready", nil)
		if err != nil {
			return err
		}
		if resp, err := n.setting.client.Do(req); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		if err := sleep(ctx, 20*time.Millisecond); err != nil {
			return fmt.Errorf("daemon %s isn't ready: %w", n.name, err)
		}
	}
}

// stop ends all processes and stand-ins of the case.
func (s *setting) stop() {
	if s.cancel == nil {
		return
	}
	for _, n := range s.nodes {
		if n.cmd != nil {
			n.signal(syscall.SIGCONT)
			n.signal(syscall.SIGKILL)
		}
	}
	s.cancel()
	_ = s.group.Wait() // no function returns an error that matters after the end
	_ = os.RemoveAll(s.dir)
}

// sleep waits, and returns an error if the case has to end before.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
