// Package fbcore implements the state machine of an entry daemon: which
// submissions it accepts, which tasks wait and run, and how it answers each
// delivery.
//
// The package performs no I/O, reads no clock and starts no goroutines.
// Core.Handle takes an event with the time at which it is handled and returns the
// actions that the daemon must carry out. A Core is used by one goroutine.
//
// # Ownership
//
// Only the incarnation that issued a token starts the tasks of IDs minted from
// it, so its table of submissions alone decides whether a delivery is the first
// of its ID. The table is divided by token epoch. An epoch older than the
// resubmission horizon is dropped as a whole, and its IDs are refused from then
// on.
//
// # Starting at most once
//
// A task whose start may have reached a target is never started again. Only an
// outcome that proves that the task did not start lets it wait for another
// target.
package fbcore
