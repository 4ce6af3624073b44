// Package fbnode connects the state machines of packages fbfleet, fbsched and
// fbshard to the platform's store, to targets, callers and other daemons. One
// control goroutine calls all state machines; other goroutines do the input and
// output and post events to it.
package fbnode
