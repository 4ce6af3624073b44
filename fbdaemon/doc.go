// Package fbdaemon runs an entry daemon: it connects the state machines of
// fbcore, fbview and fbmember to callers, targets, peers and the platform.
//
// One goroutine, the control goroutine, owns all control state. It takes
// messages from a bounded queue and never waits for anything else. Traffic
// goroutines carry requests to it and results back.
package fbdaemon
