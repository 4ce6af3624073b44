package main

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
)

// regressionSeeds are the seeds that have failed, with their causes.
var regressionSeeds = map[string]string{
	"20":  "a daemon's port was taken by an outgoing connection while it was down (the soak's own fault)",
	"302": "a new owner started a stored task before it had listed the target on which it was done",
	"605": "a late offer of an earlier keeper started a task that its successor had placed elsewhere",
	"403": "an end that was not acknowledged before its lease ran out counted as done (the soak's own fault)",
}

// smokeSeeds are seeds that are always run, shortly.
var smokeSeeds = map[string]string{
	"1": "all daemons are killed, then two are stopped",
	"7": "many overlapping faults",
}

// TestSoakFindsNoViolations runs the daemons under faults for a short time.
func TestSoakFindsNoViolations(t *testing.T) {
	program := filepath.Join(t.TempDir(), "filbertfordnode")
	build := exec.Command("go", "build", "-o", program, "github.com/filbertford/filbertford/cmd/filbertfordnode")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		t.Fatal(err)
	}
	for kind, seeds := range map[string]map[string]string{"regression": regressionSeeds, "fresh": smokeSeeds} {
		length := "8s"
		if kind == "regression" {
			length = "15s" // as when they failed
		}
		for seed, cause := range seeds {
			t.Run(kind+"/"+seed, func(t *testing.T) {
				t.Parallel()
				var stdout, stderr bytes.Buffer
				logs := t.TempDir()
				if code := realMain([]string{"-program", program, "-seed", seed, "-length", length, "-logs", logs}, &stdout, &stderr); code != exitOK {
					t.Errorf("seed %s (%s) ended with %d:\n%s%s", seed, cause, code, &stdout, &stderr)
				}
			})
		}
	}
}

// TestInvalidArgumentsAreRejected refuses arguments that make no sense.
func TestInvalidArgumentsAreRejected(t *testing.T) {
	for name, args := range map[string][]string{
		"no daemons":       {"-nodes", "0"},
		"no time":          {"-length", "0s"},
		"too many words":   {"extra"},
		"not a number":     {"-seed", "x"},
		"no such program":  {"-program", filepath.Join(t.TempDir(), "none"), "-nodes", strconv.Itoa(1)},
		"negative targets": {"-targets", "-3"},
	} {
		t.Run(name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			if code := realMain(args, &stdout, &stderr); code != exitUsage || stderr.Len() == 0 {
				t.Errorf("exit code %d with %q, want %d and a reason", code, &stderr, exitUsage)
			}
		})
	}
}
