// Command lab2 runs the cases of the second review that are scripts. It serves stand-ins of the
// platform's store and of workers on loopback addresses, starts daemons as processes with the
// command of the deploy file, sends requests as clients do, and judges what clients and workers
// have seen. It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case
// could not run. With TROUBLE=0 it leaves the disruption out.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// caseTimeout is the time after which a case is given up.
const caseTimeout = 115 * time.Second

// scenario is a case. It returns whether the rule was broken.
type scenario func(ctx context.Context, l *lab, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"labelled":    runLabelled,
	"zone":        runZone,
	"best-effort": runBestEffort,
	"waiting":     runWaiting,
	"foreign":     runForeign,
	"stale":       runStale,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || scenarios[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab2 CASE RECORD, where CASE is one of:")
		for name := range scenarios {
			fmt.Fprintln(os.Stderr, " ", name)
		}
		return exitFailed
	}
	signalled, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(signalled, caseTimeout)
	defer cancel()
	l, err := newLab(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, "lab2:", err)
		return exitFailed
	}
	trouble := os.Getenv("TROUBLE") != "0"
	l.note("case %s, trouble %v", args[0], trouble)
	broken, err := scenarios[args[0]](ctx, l, trouble)
	if err == nil {
		err = ctx.Err()
	}
	l.close()
	switch {
	case err != nil:
		l.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "lab2:", err)
		return exitFailed
	case broken:
		l.note("RULE BROKEN")
		fmt.Println("rule broken, see", filepath.Base(args[1]))
		return exitBroken
	}
	l.note("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
