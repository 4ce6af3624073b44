// Package fbdaemon runs an entry daemon: it connects the state machines of
// packages fbcore, fbview and fbmember to callers, targets, peers and the
// platform.
//
// One goroutine, the control goroutine, owns all control state. It receives
// messages from a bounded queue and blocks on nothing else. Other goroutines,
// called request goroutines, handle the requests from and to other processes and
// send messages to it.
package fbdaemon
