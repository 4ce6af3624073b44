package fbstandin

import "time"

// Disconnect names the point at which a target breaks the connection of a start.
type Disconnect string

// The points at which a target breaks connections.
const (
	// DisconnectNever lets starts end.
	DisconnectNever Disconnect = ""
	// DisconnectBeforeStart breaks the connection once the request is read; the task does
	// not start.
	DisconnectBeforeStart Disconnect = "before"
	// DisconnectAfterStart breaks the connection once the task has started; the task
	// runs on.
	DisconnectAfterStart Disconnect = "after-start"
	// DisconnectInReply breaks the connection in the middle of the reply.
	DisconnectInReply Disconnect = "reply"
)

// valid reports whether c is one of the declared points.
func (d Disconnect) valid() bool {
	return d == DisconnectNever || d == DisconnectBeforeStart || d == DisconnectAfterStart || d == DisconnectInReply
}

// TargetFaults are the faults that a target shows. The zero TargetFaults are
// those of a sound target.
type TargetFaults struct {
	failAll          bool
	slowFactor       float64
	freeze           bool
	leaving          bool
	disconnect       Disconnect
	wrongID          bool
	duplicateReplies bool
}

// WithFailAll returns a copy of f with which every task fails at once.
func (f TargetFaults) WithFailAll() TargetFaults {
	f.failAll = true
	return f
}

// WithSlowFactor returns a copy of f that multiplies run times once more. Zero
// leaves them alone.
func (f TargetFaults) WithSlowFactor(x float64) TargetFaults {
	f.slowFactor = x
	return f
}

// WithFreeze returns a copy of f with which the target takes requests and
// handles none until the fault is lifted.
func (f TargetFaults) WithFreeze() TargetFaults {
	f.freeze = true
	return f
}

// WithLeaving returns a copy of f with which the target refuses new tasks.
func (f TargetFaults) WithLeaving() TargetFaults {
	f.leaving = true
	return f
}

// WithDisconnect returns a copy of f that breaks the connections of starts.
func (f TargetFaults) WithDisconnect(d Disconnect) TargetFaults {
	f.disconnect = d
	return f
}

// WithWrongID returns a copy of f with which replies carry another start's ID.
func (f TargetFaults) WithWrongID() TargetFaults {
	f.wrongID = true
	return f
}

// WithDuplicateReplies returns a copy of f with which each reply is sent twice.
func (f TargetFaults) WithDuplicateReplies() TargetFaults {
	f.duplicateReplies = true
	return f
}

// PlatformFaults are the faults that the platform shows. The zero
// PlatformFaults are those of a sound platform.
type PlatformFaults struct {
	down        bool
	delay       time.Duration
	loseReplies bool
}

// WithDown returns a copy of f with which every request is refused.
func (f PlatformFaults) WithDown() PlatformFaults {
	f.down = true
	return f
}

// WithDelay returns a copy of f that delays each request before it takes effect.
func (f PlatformFaults) WithDelay(d time.Duration) PlatformFaults {
	f.delay = d
	return f
}

// WithLostReplies returns a copy of f with which requests take effect and their
// replies are lost.
func (f PlatformFaults) WithLostReplies() PlatformFaults {
	f.loseReplies = true
	return f
}
