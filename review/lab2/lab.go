package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// lab is one run of a case: the stand-ins, the daemons and the record.
type lab struct {
	start   time.Time
	dir     string
	store   *store
	workers []*worker
	daemons []*daemon
	links   []*link
	tasks   sync.WaitGroup
	ctx     context.Context
	cancel  context.CancelFunc

	mu     sync.Mutex
	file   *os.File
	record *bufio.Writer
	runs   []*taskRun
	cuts   map[string]bool // daemons that are cut off
}

// taskRun is a run that a worker has begun.
type taskRun struct {
	task   string
	number uint64
	worker string
	begun  time.Time
	ended  time.Time // zero while it is at work
	how    string
}

func newLab(recordFile string) (*lab, error) {
	dir, err := os.MkdirTemp("", "lab2-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	l := &lab{start: time.Now(), dir: dir, file: f, record: bufio.NewWriter(f)}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.store = newStore(l)
	return l, nil
}

// note writes a line to the record.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.record == nil {
		return
	}
	fmt.Fprintf(l.record, "%8.3f ", time.Since(l.start).Seconds())
	fmt.Fprintf(l.record, format+"\n", args...)
	_ = l.record.Flush()
}

// close ends all processes and stand-ins.
func (l *lab) close() {
	for _, d := range l.daemons {
		d.kill()
	}
	l.cancel()
	for _, k := range l.links {
		k.close()
	}
	for _, d := range l.daemons {
		if d.store != nil {
			d.store.close()
		}
	}
	for _, w := range l.workers {
		w.server.close()
	}
	l.tasks.Wait()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.dir)
	}
}

// sleep waits and returns the context's error.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// The ports of listeners. They are below those that the system gives to outgoing connections, which
// could take the port of a daemon before it starts.
const (
	firstPort = 12000
	lastPort  = 30000
)

// listen listens on a free loopback address.
func listen() (net.Listener, error) {
	for {
		port := firstPort + rand.IntN(lastPort-firstPort)
		ln, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
		if !errors.Is(err, syscall.EADDRINUSE) {
			return ln, err
		}
	}
}

// freeAddress returns a loopback address at which nothing listens.
func freeAddress() (string, error) {
	ln, err := listen()
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// begin records the begin of a run.
func (l *lab) begin(task string, number uint64, worker string) *taskRun {
	r := &taskRun{task: task, number: number, worker: worker, begun: time.Now()}
	l.mu.Lock()
	l.runs = append(l.runs, r)
	l.mu.Unlock()
	l.note("%s begins %s run %d", worker, task, number)
	return r
}

// end records the end of a run.
func (l *lab) end(r *taskRun, how string) {
	l.mu.Lock()
	r.ended, r.how = time.Now(), how
	l.mu.Unlock()
	l.note("%s ends %s run %d: %s", r.worker, r.task, r.number, how)
}

// runsOf returns copies of the runs of a job's tasks.
func (l *lab) runsOf(job string) []taskRun {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []taskRun
	for _, r := range l.runs {
		if len(r.task) > len(job) && r.task[:len(job)] == job {
			out = append(out, *r)
		}
	}
	return out
}

// atWork returns whether a run of the job was at work at any time since then.
func (l *lab) atWork(job string, since time.Time) bool {
	for _, r := range l.runsOf(job) {
		if r.ended.IsZero() || r.ended.After(since) {
			return true
		}
	}
	return false
}

// usedCPU returns the share of the workers' processors that is in use.
func (l *lab) usedCPU() float64 {
	var used, total float64
	for _, w := range l.workers {
		w.mu.Lock()
		if w.mode != modeGone && w.mode != modeDark {
			total += float64(w.cpu)
			for _, r := range w.runs {
				used += float64(r.cpu)
			}
		}
		w.mu.Unlock()
	}
	return used / total
}

var errNotReady = errors.New("the daemons did not become ready")
