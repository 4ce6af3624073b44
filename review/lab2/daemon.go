package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// program and template are the command and the template of the deploy file.
const (
	program  = "target/filbertfordnode"
	template = "deploy/node.ini"
)

// readyTimeout is the time that the daemons have to become ready, settleTime the time that they
// run before the first request, as traffic starts some seconds after the machines do.
const (
	readyTimeout = 10 * time.Second
	settleTime   = 4 * time.Second
)

// daemon is a process of the system.
type daemon struct {
	lab      *lab
	name     string
	zone     string
	front    string
	ready    string
	control  string // where it listens for other daemons
	peers    string // where they reach it
	metrics  string
	store    *server // its address of the store
	settings string
	logFile  string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// addDaemons adds a daemon for each of the zones, starts them and waits until they are ready. If proxied
// is set, they reach each other through proxies, so that they can be cut off.
func (l *lab) addDaemons(ctx context.Context, zones []string, proxied bool) error {
	for i, zone := range zones {
		d := &daemon{lab: l, name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone}
		for _, a := range []*string{&d.front, &d.ready, &d.control, &d.metrics} {
			var err error
			if *a, err = freeAddress(); err != nil {
				return err
			}
		}
		var err error
		if d.store, err = l.store.serveDaemon(d); err != nil {
			return err
		}
		if d.peers = d.control; proxied {
			k, err := l.newLink(d, d.control)
			if err != nil {
				return err
			}
			d.peers, l.links = k.address(), append(l.links, k)
		}
		l.daemons = append(l.daemons, d)
	}
	seeds := make([]string, 0, 3)
	for _, d := range l.daemons[:min(3, len(l.daemons))] {
		seeds = append(seeds, d.peers)
	}
	for _, d := range l.daemons {
		if err := d.writeSettings(zones, seeds); err != nil {
			return err
		}
		if err := d.run(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(readyTimeout)
	for _, d := range l.daemons {
		for !d.isReady(ctx) {
			if time.Now().After(deadline) {
				return errNotReady
			}
			if err := sleep(ctx, 50*time.Millisecond); err != nil {
				return err
			}
		}
	}
	return sleep(ctx, settleTime)
}

// writeSettings fills the template of the deploy file in.
func (d *daemon) writeSettings(zones, seeds []string) error {
	text, err := os.ReadFile(template)
	if err != nil {
		return err
	}
	ip, metricsPort, _ := strings.Cut(d.metrics, ":")
	filled := strings.NewReplacer(
		"{{node}}", d.name, "{{zone}}", d.zone, "{{#zones}}{{@}}{{,}}{{/zones}}", strings.Join(zones, ","),
		"{{listen.front}}", d.front, "{{listen.ready}}", d.ready, "{{listen.control}}", d.control,
		"{{ip}}", ip, "{{portRange.1}}", metricsPort, "{{seeds}}", strings.Join(seeds, ","),
		"{{platform.addr}}", d.store.address, "{{limits.cpuShare}}", "0.4", "{{limits.memoryMb}}", "284", "{{bounds.graceS}}", "6",
	).Replace(string(text))
	if strings.Contains(filled, "{{") {
		return fmt.Errorf("%s has a placeholder that this program doesn't know", template)
	}
	if d.peers != d.control {
		filled = strings.Replace(filled, "[scheduling]", "advertise = "+d.peers+"\n\n[scheduling]", 1)
	}
	d.settings = filepath.Join(d.lab.dir, d.name+".ini")
	d.logFile = filepath.Join(d.lab.dir, d.name+".log")
	return os.WriteFile(d.settings, []byte(filled), 0o600)
}

// run starts the process.
func (d *daemon) run() error {
	out, err := os.OpenFile(d.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(program)
	cmd.Env = append(os.Environ(), "FILBERTFORD_NODE_FILE="+d.settings)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	d.mu.Lock()
	d.cmd, d.done = cmd, done
	d.mu.Unlock()
	d.lab.note("%s starts", d.name)
	d.lab.tasks.Go(func() {
		err := cmd.Wait()
		d.lab.note("%s has ended: %v", d.name, err)
		close(done)
	})
	return nil
}

// signal sends a signal to the process.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil {
		d.lab.note("%s gets %v", d.name, s)
		_ = d.cmd.Process.Signal(s)
	}
}

// kill ends the process and waits for its end.
func (d *daemon) kill() {
	d.mu.Lock()
	cmd, done := d.cmd, d.done
	d.mu.Unlock()
	if cmd == nil {
		return
	}
	select {
	case <-done:
		return
	default:
	}
	d.signal(syscall.SIGKILL)
	<-done
}

func (d *daemon) isReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.ready+"/-/ready", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
