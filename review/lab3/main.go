// Command lab3 runs the scripted cases of review/11 to review/15: it starts the daemons with stand-ins of the
// platform's store, of workers and of clients on loopback addresses, and checks a rule.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// longest is the time after which a case is given up.
const longest = 110 * time.Second

// cases are the cases by their names. Each returns the exit code.
var cases = map[string]func(*lab) (int, error){
	"alone":     alone,
	"backlog":   backlog,
	"bystander": bystander,
	"waiting":   waiting,
}

// lab is a run of a case.
type lab struct {
	ctx     context.Context
	rec     *record
	trouble bool
	fleet   *fleet
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab3 CASE RECORD")
		return failed
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, longest)
	defer cancel()
	l := &lab{ctx: ctx, rec: rec, trouble: os.Getenv("TROUBLE") != "0"}
	defer func() { l.fleet.stop() }()
	rec.printf("case %s, disruption: %v", os.Args[1], l.trouble)
	code, err := cases[os.Args[1]](l)
	if err == nil && ctx.Err() != nil {
		err = ctx.Err()
	}
	if err != nil {
		rec.printf("the case couldn't run: %v", err)
		fmt.Println("couldn't run:", err)
		return failed
	}
	rec.printf("result: %d", code)
	return code
}

// say writes a line to the record and to the output.
func (l *lab) say(format string, args ...any) {
	l.rec.printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// sleep waits, or until the case is given up.
func (l *lab) sleep(d time.Duration) {
	select {
	case <-l.ctx.Done():
	case <-time.After(d):
	}
}

// begin starts the fleet and waits until it is calm for longer than stableMs.
func (l *lab) begin(workers int) error {
	f, err := startFleet(l.ctx, l.rec, workers)
	l.fleet = f
	if err != nil {
		return err
	}
	l.sleep(4 * time.Second)
	l.rec.printf("the fleet is ready")
	return nil
}

// jobID returns the ID of a client's job.
func jobID(i int) string {
	return fmt.Sprintf("%08x%08x", 0x5c0e7a21+i*0x1f35, 0xd94b36f8^uint32(i)*0x9e3779b1)
}
