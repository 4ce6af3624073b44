package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// host and prefix are the queue's.
const (
	host   = "nony24.example"
	prefix = "/lohu930/"
)

// program is the path of the daemon, as the deploy file names it.
const program = "target/filbertfordnode"

// machine is a machine of the system with its process.
type machine struct {
	name, zone, ip string
	ports          map[string]string
	settings       string
	log            *os.File
	client         *http.Client

	mu  sync.Mutex
	cmd *exec.Cmd
	end chan struct{}
}

// fleet is a small deployment with its stand-ins.
type fleet struct {
	ctx      context.Context
	dir      string
	rec      *record
	store    *store
	workers  []*worker
	machines []*machine
}

// zones and the machines in them are those of a small deployment.
var zones = []string{"nordnes", "sandviken", "minde", "loddefjord"}

var machineZones = []string{"nordnes", "nordnes", "sandviken", "sandviken", "minde", "loddefjord"}

// startFleet starts the stand-ins and the machines, and waits until they are ready.
func startFleet(ctx context.Context, rec *record, workers int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "lab3")
	if err != nil {
		return nil, err
	}
	f := &fleet{ctx: ctx, dir: dir, rec: rec, store: newStore(rec)}
	f.configure(1)
	for i := range workers {
		w := newWorker(rec, f.store, fmt.Sprintf("w%d", i), zones[i%len(zones)], fmt.Sprintf("r%d", i))
		if w.zone == zones[0] {
			w.kind = "b"
		}
		if w.addr, err = freeAddress("127.0.0.1"); err != nil {
			return f, err
		}
		if err := w.serve(ctx); err != nil {
			return f, err
		}
		f.workers = append(f.workers, w)
	}
	for i, zone := range machineZones {
		if err := f.addMachine(i, zone); err != nil {
			return f, err
		}
	}
	var seeds []string
	for _, m := range f.machines[:3] {
		seeds = append(seeds, m.ports["control"])
	}
	for _, m := range f.machines {
		if err := f.writeSettings(m, seeds); err != nil {
			return f, err
		}
		if err := m.start(); err != nil {
			return f, err
		}
	}
	return f, f.awaitReady(20 * time.Second)
}

// configure writes a version of the configuration, as the operator does.
func (f *fleet) configure(version int) {
	value, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "orders", "host": host, "prefix": prefix, "service": "ordrekontor", "priority": 0, "attempts": 3,
			"stretch": 1.6, "targetDurationMs": 60, "timeoutMs": 5000,
		}},
		"services": []map[string]any{{"name": "ordrekontor", "rejectsOverload": true}},
		"limits":   map[string]any{"bodyBytes": 262144},
	})
	if err == nil {
		f.store.put("op", "config", value)
	}
}

func (f *fleet) addMachine(i int, zone string) error {
	m := &machine{name: fmt.Sprintf("front-%s-%d", zone, i), zone: zone, ip: fmt.Sprintf("127.0.0.%d", 11+i), ports: make(map[string]string)}
	for _, name := range []string{"front", "ready", "control", "metrics"} {
		address, err := freeAddress(m.ip)
		if err != nil {
			return err
		}
		m.ports[name] = address
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	m.ports["store"] = l.Addr().String()
	server := &http.Server{Handler: f.store.handler(m.name), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(l) }()
	if m.log, err = os.Create(filepath.Join(f.dir, m.name+".log")); err != nil {
		return err
	}
	m.client = &http.Client{
		Transport:     &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	f.machines = append(f.machines, m)
	return nil
}

// freeAddress returns a free address below the ports that the system takes for outgoing channels.
func freeAddress(ip string) (string, error) {
	for range 100 {
		address := net.JoinHostPort(ip, strconv.Itoa(14000+rand.IntN(16000)))
		if l, err := net.Listen("tcp", address); err == nil {
			return address, l.Close()
		}
	}
	return "", errors.New("no free port")
}

var zoneList = regexp.MustCompile(`\{\{#zones\}\}.*\{\{/zones\}\}`)

// writeSettings fills in the template of the deploy file as the platform does.
func (f *fleet) writeSettings(m *machine, seeds []string) error {
	template, err := os.ReadFile("deploy/node.ini")
	if err != nil {
		return err
	}
	_, metricsPort, _ := strings.Cut(m.ports["metrics"], ":")
	text := zoneList.ReplaceAllString(string(template), strings.Join(zones, ","))
	text = strings.NewReplacer(
		"{{node}}", m.name, "{{zone}}", m.zone, "{{listen.front}}", m.ports["front"], "{{listen.ready}}", m.ports["ready"],
		"{{listen.control}}", m.ports["control"], "{{ip}}", m.ip, "{{portRange.1}}", metricsPort, "{{seeds}}", strings.Join(seeds, ","),
		"{{platform.addr}}", m.ports["store"], "{{limits.cpuShare}}", "0.4", "{{limits.memoryMb}}", "284", "{{bounds.graceS}}", "6",
	).Replace(text)
	if strings.Contains(text, "{{") {
		return errors.New("the template has placeholders that the stand-in doesn't know")
	}
	m.settings = filepath.Join(f.dir, m.name+".ini")
	return os.WriteFile(m.settings, []byte(text), 0o600)
}

// start starts the machine's process with the command of the deploy file.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	cmd := exec.Command(program)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "FILBERTFORD_NODE_FILE=" + m.settings}
	cmd.Stdout, cmd.Stderr = m.log, m.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	end := make(chan struct{})
	m.cmd, m.end = cmd, end
	go func() {
		_ = cmd.Wait() // fails if a signal ended the process
		close(end)
	}()
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		_ = m.cmd.Process.Signal(s) // fails if the process has ended
	}
}

// kill kills the process and waits for its end.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	m.mu.Lock()
	end := m.end
	m.mu.Unlock()
	if end != nil {
		<-end
	}
}

// stop ends all processes. It keeps the logs if KEEP names a directory.
func (f *fleet) stop() {
	if f == nil {
		return
	}
	for _, m := range f.machines {
		m.signal(syscall.SIGCONT)
		m.kill()
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.RemoveAll(keep)
		_ = os.Rename(f.dir, keep)
		return
	}
	_ = os.RemoveAll(f.dir)
}

func (f *fleet) machine(name string) *machine {
	for _, m := range f.machines {
		if m.name == name {
			return m
		}
	}
	return nil
}

func (f *fleet) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, m := range f.machines {
		for {
			resp, err := http.Get("http://" + m.ports["ready"] + "/-/ready")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// answer is what a client got for a request; status is 0 without an answer.
type answer struct {
	status int
	state  string
	sent   time.Time
	at     time.Time
}

// call sends a client's request over an open channel to a machine, or a new one.
func (f *fleet) call(m *machine, method, id string, body []byte, limit time.Duration) answer {
	ctx, cancel := context.WithTimeout(f.ctx, limit)
	defer cancel()
	a := answer{sent: time.Now()}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+m.ports["front"]+prefix+id, bytes.NewReader(body))
	if err != nil {
		return a
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	f.rec.printf("client -> %s: %s %s", m.name, method, id)
	resp, err := m.client.Do(req)
	a.at = time.Now()
	if err != nil {
		f.rec.printf("client <- %s: %s %s: no answer (%v)", m.name, method, id, err)
		return a
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	a.at = time.Now()
	if err != nil {
		f.rec.printf("client <- %s: %s %s: broken answer (%v)", m.name, method, id, err)
		return a
	}
	var state struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(data, &state) // other answers have no state
	a.status, a.state = resp.StatusCode, state.State
	f.rec.printf("client <- %s: %s %s: %d %s", m.name, method, id, a.status, strings.TrimSpace(string(data)))
	return a
}

// step is a step of a job.
type step struct {
	Count         int    `json:"count"`
	CPU           int    `json:"cpu"`
	MemMB         int    `json:"memMb"`
	EstimateMS    int    `json:"estimateMs"`
	After         []int  `json:"after,omitempty"`
	RequiredLabel string `json:"requiredLabel,omitempty"`
}

// jobBody returns the body of a job's submission.
func jobBody(s spec, steps []step) []byte {
	text, err := json.Marshal(s)
	if err != nil {
		return nil
	}
	body, err := json.Marshal(map[string]any{"spec": string(text), "steps": steps})
	if err != nil {
		return nil
	}
	return body
}

// starts returns what all workers have started, of the jobs named.
func (f *fleet) starts(job string) []start {
	var out []start
	for _, w := range f.workers {
		for _, s := range w.allStarts() {
			if strings.HasPrefix(s.task, job+".") {
				out = append(out, s)
			}
		}
	}
	return out
}

// workerOf returns the worker that runs a task of the job, nil if none does for 12 s.
func (f *fleet) workerOf(job string) *worker {
	for end := time.Now().Add(12 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, w := range f.workers {
			if len(w.runsOf(job)) > 0 {
				return w
			}
		}
	}
	return nil
}
