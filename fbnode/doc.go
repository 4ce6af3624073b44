// Package fbnode connects the state machines of packages fbfleet and fbsched to
// the platform's store, to targets, callers and other daemons. One control
// goroutine drives them all; traffic goroutines bring it events and carry out
// its actions.
package fbnode
