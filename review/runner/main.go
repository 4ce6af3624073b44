package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// caseTimeout is the longest that a case may run.
const caseTimeout = 110 * time.Second

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(ctx context.Context, s *setting) (bool, error){
	"lost-kind":       lostKind,
	"two-crashes":     twoCrashes,
	"lost-withdrawal": lostWithdrawal,
	"explore":         explore,
	"restart-all":     restartAll,
	"thawed-entry":    thawedEntry,
	"blocked-worker":  blockedWorker,
	"foreign-reply":   foreignReply,
	"early-cancel":    earlyCancel,
	"extra-attempt":   extraAttempt,
	"new-kind":        newKind,
}

// errPrecondition is returned by a case that could not run as intended.
var errPrecondition = errors.New("the case could not run as intended")

func main() { os.Exit(realMain()) }

func realMain() int {
	name := flag.String("case", "", "the `name` of the case")
	dir := flag.String("dir", ".", "the `directory` of record.txt")
	logs := flag.String("logs", "", "the `directory` for the daemons' logs, none if empty")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", *name)
		return exitFailed
	}
	record, err := newRecord(*dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer record.close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, caseTimeout)
	defer cancel()
	s := &setting{record: record, logs: *logs, trouble: os.Getenv("TROUBLE") != "0"}
	broken, err := play(ctx, s)
	s.stop()
	switch {
	case err != nil:
		record.printf("result: the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	case broken:
		record.printf("result: the rule was broken")
		return exitBroken
	}
	record.printf("result: the rule held")
	return exitHeld
}
