//go:build !race

package main

// raceFlags build the daemons under test without the race detector.
var raceFlags []string
