// Package filbertford defines the vocabulary of a dispatcher for jobs of
// sub-second tasks: the value types that its parts exchange and the interfaces
// of everything that varies (table service, object store, VM list, targets,
// peers, timers, placement policies).
//
// Entry daemons stand between callers and targets. A caller submits a job of
// one or more parallel tasks; the daemon that owns the submission starts each
// task at most once at a target and answers the job whole, complete or failed.
//
// Implementations live in the packages below this one. Package fbcore holds
// the state machine of a daemon and is free of input and output; the other
// packages connect it to sockets, files and timers.
package filbertford
