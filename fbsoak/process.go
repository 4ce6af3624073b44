package fbsoak

import (
	"io"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// Process is a program that can be started, signalled and stopped repeatedly.
type Process struct {
	group *errgroup.Group
	paths []string
	args  []string
	out   io.Writer

	mu              sync.Mutex
	cmd             *exec.Cmd
	starts          int
	exited          chan struct{}
	shouldRun       bool // it was started and got no signal to stop
	unexpectedExits int  // exits without a signal to stop
}

// NewProcess returns a process that is not started. Each start runs the next of the
// programs at the paths, which are versions of one. The output is written to out; the
// goroutine that waits for its exit belongs to the group.
func NewProcess(g *errgroup.Group, out io.Writer, paths []string, args ...string) *Process {
	return &Process{group: g, paths: paths, args: args, out: out}
}

// Start starts the program, unless it is running.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	cmd := exec.Command(p.paths[p.starts%len(p.paths)], p.args...)
	cmd.Stdout, cmd.Stderr = p.out, p.out
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.cmd, p.exited, p.shouldRun = cmd, exited, true
	p.starts++
	p.group.Go(func() error {
		_ = cmd.Wait() // fails if a signal ended the process
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.shouldRun {
			p.unexpectedExits++
		}
		p.cmd, p.shouldRun = nil, false
		close(exited)
		return nil
	})
	return nil
}

// Signal sends a signal to the process if it is running.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.shouldRun = false
	}
	_ = p.cmd.Process.Signal(s) // fails if the process has just exited
}

// Stop sends SIGTERM to the process, kills it after the timeout and waits for its
// exit. It reports whether the process exited before the timeout.
func (p *Process) Stop(timeout time.Duration) bool {
	p.mu.Lock()
	exited := p.exited
	running := p.cmd != nil
	p.mu.Unlock()
	if !running {
		return true
	}
	p.Signal(syscall.SIGTERM)
	select {
	case <-exited:
		return true
	case <-time.After(timeout):
	}
	p.Kill()
	return false
}

// Kill kills the process and waits for its exit.
func (p *Process) Kill() {
	p.mu.Lock()
	exited := p.exited
	running := p.cmd != nil
	p.mu.Unlock()
	if running {
		p.Signal(syscall.SIGKILL)
		<-exited
	}
}

// PID returns the process ID, 0 if the process is not running.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// UnexpectedExits returns the number of exits without a signal to stop.
func (p *Process) UnexpectedExits() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unexpectedExits
}
