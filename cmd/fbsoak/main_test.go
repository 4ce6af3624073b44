package main

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
)

// regressions are the seeds that have failed, with their causes.
var regressions = map[string]string{
	"20":  "a daemon's port was taken by an outgoing connection while it was down (the soak's own fault)",
	"302": "a new owner started a stored task before it had listed the target on which it was done",
	"605": "a late offer of an earlier keeper started a task that its successor had placed elsewhere",
	"403": "an end that was not acknowledged before its lease ran out counted as done (the soak's own fault)",
}

// fresh are seeds that are always run, shortly.
var fresh = map[string]string{
	"1": "all daemons are killed, then two are stopped",
	"7": "many overlapping faults",
}

// TestSoak runs the daemons under faults for a short time.
func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "filbertfordnode")
	build := exec.Command("go", "build", "-o", program, "github.com/filbertford/filbertford/cmd/filbertfordnode")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		t.Fatal(err)
	}
	for kind, seeds := range map[string]map[string]string{"regression": regressions, "fresh": fresh} {
		length := "8s"
		if kind == "regression" {
			length = "15s" // as when they failed
		}
		for seed, about := range seeds {
			t.Run(kind+"/"+seed, func(t *testing.T) {
				t.Parallel()
				var out, problems bytes.Buffer
				logs := t.TempDir()
				if code := realMain([]string{"-program", program, "-seed", seed, "-length", length, "-logs", logs}, &out, &problems); code != exitOK {
					t.Errorf("seed %s (%s) ended with %d:\n%s%s", seed, about, code, &out, &problems)
				}
			})
		}
	}
}

// TestUsage refuses arguments that make no sense.
func TestUsage(t *testing.T) {
	for name, args := range map[string][]string{
		"no daemons":       {"-nodes", "0"},
		"no time":          {"-length", "0s"},
		"too many words":   {"extra"},
		"not a number":     {"-seed", "x"},
		"no such program":  {"-program", filepath.Join(t.TempDir(), "none"), "-nodes", strconv.Itoa(1)},
		"negative targets": {"-targets", "-3"},
	} {
		t.Run(name, func(t *testing.T) {
			var out, problems bytes.Buffer
			if code := realMain(args, &out, &problems); code != exitUsage || problems.Len() == 0 {
				t.Errorf("exit code %d with %q, want %d and a reason", code, &problems, exitUsage)
			}
		})
	}
}
