// Package filbertford defines the value types and interfaces that the packages
// of a dispatcher for jobs of sub-second tasks share. The interfaces are those
// of the table service, the object store, the VM list, targets, peers, timers
// and placement policies.
//
// Entry daemons accept jobs from callers and run their tasks on targets. A
// caller submits a job of one or more parallel tasks; the daemon that owns the
// submission starts each task at most once at a target and returns one answer
// for the whole job, complete or failed.
//
// The packages in the folders below implement the interfaces. Package fbcore
// implements the state machine of an entry daemon without input or output; the
// other packages connect it to sockets, files and timers.
package filbertford
