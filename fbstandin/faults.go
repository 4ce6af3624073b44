package fbstandin

import "time"

// Disconnect is the point of a start at which a target closes the connection.
type Disconnect string

// The points at which a target closes the connection of a start.
const (
	// DisconnectNever keeps the connection open.
	DisconnectNever Disconnect = ""
	// DisconnectBeforeStart closes the connection after the request is read; the
	// task does not start.
	DisconnectBeforeStart Disconnect = "before"
	// DisconnectAfterStart closes the connection after the task has started; the
	// task continues to run.
	DisconnectAfterStart Disconnect = "after-start"
	// DisconnectInReply closes the connection in the middle of the reply.
	DisconnectInReply Disconnect = "reply"
)

// valid reports whether d is one of the declared points.
func (d Disconnect) valid() bool {
	return d == DisconnectNever || d == DisconnectBeforeStart || d == DisconnectAfterStart || d == DisconnectInReply
}

// TargetFaults are the faults that a target simulates. The zero value has no
// faults.
type TargetFaults struct {
	failAll          bool
	slowFactor       float64
	freeze           bool
	leaving          bool
	disconnect       Disconnect
	wrongID          bool
	duplicateReplies bool
}

// WithFailAll returns a copy of f with which every task fails immediately.
func (f TargetFaults) WithFailAll() TargetFaults {
	f.failAll = true
	return f
}

// WithSlowFactor returns a copy of f that multiplies run times by x, in addition
// to the target's own factor. Zero leaves them unchanged.
func (f TargetFaults) WithSlowFactor(x float64) TargetFaults {
	f.slowFactor = x
	return f
}

// WithFreeze returns a copy of f with which the target accepts requests but
// doesn't handle them until the fault is cleared.
func (f TargetFaults) WithFreeze() TargetFaults {
	f.freeze = true
	return f
}

// WithLeaving returns a copy of f with which the target rejects new tasks.
func (f TargetFaults) WithLeaving() TargetFaults {
	f.leaving = true
	return f
}

// WithDisconnect returns a copy of f that closes the connections of starts at d.
func (f TargetFaults) WithDisconnect(d Disconnect) TargetFaults {
	f.disconnect = d
	return f
}

// WithWrongID returns a copy of f with which replies have another start's ID.
func (f TargetFaults) WithWrongID() TargetFaults {
	f.wrongID = true
	return f
}

// WithDuplicateReplies returns a copy of f with which each reply is sent twice.
func (f TargetFaults) WithDuplicateReplies() TargetFaults {
	f.duplicateReplies = true
	return f
}

// PlatformFaults are the faults that the platform simulates. The zero value has
// no faults.
type PlatformFaults struct {
	down        bool
	delay       time.Duration
	loseReplies bool
}

// WithDown returns a copy of f with which every request gets a 503.
func (f PlatformFaults) WithDown() PlatformFaults {
	f.down = true
	return f
}

// WithDelay returns a copy of f that delays each request before it takes effect.
func (f PlatformFaults) WithDelay(d time.Duration) PlatformFaults {
	f.delay = d
	return f
}

// WithLostReplies returns a copy of f with which requests take effect but their
// connections are closed without a reply.
func (f PlatformFaults) WithLostReplies() PlatformFaults {
	f.loseReplies = true
	return f
}
