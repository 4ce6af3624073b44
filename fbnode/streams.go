package fbnode

import (
	"math"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbfleet"
	"github.com/filbertford/filbertford/fbsched"
)

// streamWatch decides whether messages of other daemons count. A daemon that was suspended may send
// what it had queued before: an offer whose caller has left meanwhile. So the first message after a
// silence in which its sender counts as unreachable, and all that follow on the same stream, don't
// count. On a new stream, both sides say what still holds. No message needs the time at which it was
// queued, and a stream that is only slow isn't silent. Only owners of pools end streams; they replace
// their own stream to an unreachable daemon, too.
type streamWatch struct {
	heard     map[filbertford.NodeID]heardStream
	resumedAt time.Duration // when this daemon was resumed, before which it heard nobody
}

// heardStream is when the newest stream of a daemon was last heard, and its state.
type heardStream struct {
	at    time.Duration
	state streamState
}

// streamState is the state of the stream that a message came on.
type streamState string

const (
	streamNew    streamState = "new" // without messages
	streamLive   streamState = "live"
	streamSilent streamState = "silent" // it was until this message, and ends
	streamEnded  streamState = "ended"
)

func newStreamWatch() *streamWatch {
	return &streamWatch{heard: make(map[filbertford.NodeID]heardStream)}
}

// handleSuspension records that this daemon was suspended until now.
func (w *streamWatch) handleSuspension(now time.Duration) { w.resumedAt = now }

// check returns the state of the stream on which messages of a daemon have come, or which it has
// begun. The daemon counts as unreachable after a silence of the given timeout. The first message on
// a stream counts however late it is, so that a daemon with little processor time is heard.
func (w *streamWatch) check(now time.Duration, from filbertford.NodeID, newStream bool, timeout time.Duration) streamState {
	h, state := w.heard[from], streamLive
	switch {
	case newStream:
		state = streamNew
	case h.state == streamEnded:
		return streamEnded
	case h.state == streamLive && now-max(h.at, w.resumedAt) > timeout:
		w.heard[from] = heardStream{at: now, state: streamEnded}
		return streamSilent
	}
	w.heard[from] = heardStream{at: now, state: state}
	return state
}

// streamTimeout returns the silence after which a stream of the daemon node ends.
func streamTimeout(f *fbfleet.Fleet, pools map[filbertford.PoolID]*fbsched.Pool, node filbertford.NodeID) time.Duration {
	if len(pools) == 0 {
		return math.MaxInt64
	}
	return f.PeerTimeout(node)
}
