package main

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
)

// regressionSeeds are seeds that found a fault, with the fault.
var regressionSeeds = map[string]string{
	"20":    "an outgoing connection occupied a daemon's port while the daemon was down (a fault of the test)",
	"302":   "a new owner started a stored task before it had listed the target that had completed it",
	"605":   "a late offer of an earlier shard owner started a task that its successor had placed elsewhere",
	"10075": "a batch that a cut had held back, and its copy in another stream, started a task that its caller had sent again",
	"10090": "a list that a target wrote before a start was taken for newer than one of the same millisecond with the run",
	"403":   "a done run that was not acknowledged before its lease expired counted as done (a fault of the test)",
}

// parallelSeeds is the number of seeds that run at once. Each has six daemons; more seeds leave
// the daemons of a machine with eight processors no time.
const parallelSeeds = 4

// smokeSeeds are seeds for short runs, with their faults.
var smokeSeeds = map[string]string{
	"1": "all daemons are killed, then two are stopped",
	"7": "many overlapping faults",
}

// TestSoakFindsNoViolations runs the daemons under the faults of fixed seeds.
func TestSoakFindsNoViolations(t *testing.T) {
	program := filepath.Join(t.TempDir(), "filbertfordnode")
	build := exec.Command("go", "build", "-o", program, "github.com/filbertford/filbertford/cmd/filbertfordnode")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		t.Fatal(err)
	}
	running := make(chan struct{}, parallelSeeds)
	for kind, seeds := range map[string]map[string]string{"regression": regressionSeeds, "fresh": smokeSeeds} {
		length := "8s"
		if kind == "regression" {
			length = "15s" // the length of the runs that failed
		}
		for seed, description := range seeds {
			t.Run(kind+"/"+seed, func(t *testing.T) {
				t.Parallel()
				running <- struct{}{}
				defer func() { <-running }()
				var stdout, stderr bytes.Buffer
				logs := t.TempDir()
				if code := realMain([]string{"-program", program, "-seed", seed, "-length", length, "-logs", logs}, &stdout, &stderr); code != exitOK {
					t.Errorf("seed %s (%s): got exit code %d, want 0:\n%s%s", seed, description, code, &stdout, &stderr)
				}
			})
		}
	}
}

// TestInvalidArgumentsAreRejected checks the exit code and message for invalid
// arguments.
func TestInvalidArgumentsAreRejected(t *testing.T) {
	for name, args := range map[string][]string{
		"zero daemons":        {"-nodes", "0"},
		"zero length":         {"-length", "0s"},
		"unexpected argument": {"extra"},
		"not a number":        {"-seed", "x"},
		"missing program":     {"-program", filepath.Join(t.TempDir(), "none"), "-nodes", strconv.Itoa(1)},
		"negative targets":    {"-targets", "-3"},
	} {
		t.Run(name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			if code := realMain(args, &stdout, &stderr); code != exitUsage || stderr.Len() == 0 {
				t.Errorf("got exit code %d, message %q, want %d and a message", code, &stderr, exitUsage)
			}
		})
	}
}
