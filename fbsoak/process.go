package fbsoak

import (
	"io"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// Process is a program that is started, signalled and ended from outside.
type Process struct {
	group *errgroup.Group
	path  string
	args  []string
	out   io.Writer

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	wanted  bool // it was started and not told to end
	strange int  // ends that nobody asked for
}

// NewProcess returns a process that is not started. What it writes goes to the
// writer; the goroutine that waits for its end belongs to the group.
func NewProcess(g *errgroup.Group, out io.Writer, path string, args ...string) *Process {
	return &Process{group: g, path: path, args: args, out: out}
}

// Start starts the program, unless it runs.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		return nil
	}
	command := exec.Command(p.path, p.args...)
	command.Stdout, command.Stderr = p.out, p.out
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.command, p.ended, p.wanted = command, ended, true
	p.group.Go(func() error {
		_ = command.Wait() // signals end it with an error
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.wanted {
			p.strange++
		}
		p.command, p.wanted = nil, false
		close(ended)
		return nil
	})
	return nil
}

// Signal sends a signal to the process if it runs.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.wanted = false
	}
	_ = p.command.Process.Signal(s) // it may have ended just now
}

// End asks the process to stop, kills it after the grace and waits for its end.
// It reports whether the process ended by itself in time.
func (p *Process) End(grace time.Duration) bool {
	p.mu.Lock()
	ended := p.ended
	running := p.command != nil
	p.mu.Unlock()
	if !running {
		return true
	}
	p.Signal(syscall.SIGTERM)
	select {
	case <-ended:
		return true
	case <-time.After(grace):
	}
	p.Kill()
	return false
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.mu.Lock()
	ended := p.ended
	running := p.command != nil
	p.mu.Unlock()
	if running {
		p.Signal(syscall.SIGKILL)
		<-ended
	}
}

// Strange returns how often the process has ended without being told to.
func (p *Process) Strange() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.strange
}
