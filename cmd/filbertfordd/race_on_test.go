//go:build race

package main

// raceFlags build the daemons under test with the race detector.
var raceFlags = []string{"-race"}
