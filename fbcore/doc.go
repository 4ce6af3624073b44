// Package fbcore is the state machine of an entry daemon: which submissions it
// owns, which tasks wait and run, and what each delivery is answered.
//
// The package does no input or output, reads no clock and starts no goroutine.
// A Core is handed events with the time at which they are handled and returns
// the actions that its surroundings carry out. It is used by one goroutine.
//
// # Ownership
//
// Only the incarnation that issued a token starts the tasks of IDs minted from
// it, so its table of seen IDs alone decides whether a delivery is the first.
// The table is kept by token epoch. An epoch older than the resubmission
// horizon is dropped as a whole, and its IDs are refused from then on.
//
// # Starting at most once
//
// A task whose start may have reached a target is never started again. Only an
// outcome that proves that the task did not start lets it wait for another
// target.
package fbcore
