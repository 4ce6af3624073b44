package fbnode

import (
	"testing"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbfleet"
	"github.com/filbertford/filbertford/fblink"
	"github.com/filbertford/filbertford/fbtimer"
)

// TestOfferQueuedBeforeSuspensionStartsNothing guards against a second run of a job whose caller has left while
// its coordinator was suspended with the offer in its queue.
func TestOfferQueuedBeforeSuspensionStartsNothing(t *testing.T) {
	n := newOwner(t)
	heartbeat := fblink.NewHeartbeat(fbfleet.New(coordinatorMember, 0).Heartbeat(0), nil, 0)
	n.Receive(coordinatorMember, nil, true)
	n.Receive(coordinatorMember, []fblink.Message{heartbeat}, false)
	n.run(50 * time.Millisecond)
	timeout := n.fleet.PeerTimeout(coordinatorMember.Node())
	n.run(timeout + 50*time.Millisecond)
	for _, job := range []filbertford.JobKey{"00000000000000aa", "00000000000000bb"} {
		n.Receive(coordinatorMember, []fblink.Message{n.batch(job)}, false)
	}
	n.run(100 * time.Millisecond)
	if starts, _ := n.target.counts(); starts != 0 {
		t.Fatalf("%d tasks were started that were offered after a silence of %v", starts, timeout)
	}
	n.Receive(coordinatorMember, nil, true)
	n.Receive(coordinatorMember, []fblink.Message{heartbeat, n.batch("00000000000000bb")}, false)
	n.run(100 * time.Millisecond)
	if starts, _ := n.target.counts(); starts != 1 {
		t.Errorf("%d tasks were started that were offered on a new stream, want 1", starts)
	}
}

// TestStreamEndsAfterSilenceOnly guards against streams that are replaced over and over because their
// messages are late.
func TestStreamEndsAfterSilenceOnly(t *testing.T) {
	const timeout = 400 * time.Millisecond
	start := fbtimer.SinceBoot()
	w := newStreamWatch()
	check := func(at time.Duration, newStream bool, want streamState) {
		t.Helper()
		if got := w.check(start+at, "c", newStream, timeout); got != want {
			t.Errorf("a message after %v: the stream is %s, want %s", at, got, want)
		}
	}
	at := time.Duration(0)
	check(at, true, streamNew)
	for range 5 { // a daemon with little processor time
		at += 2 * timeout
		check(at, false, streamLive)
		check(at, true, streamNew)
	}
	check(at, false, streamLive)
	for range 50 { // a queue of many seconds, sent at the pace of a slow link
		at += timeout - time.Millisecond
		check(at, false, streamLive)
	}
	at += timeout + time.Millisecond
	check(at, false, streamSilent)
	check(at, false, streamEnded)
	check(at+time.Hour, false, streamEnded)
	at += time.Hour
	check(at, true, streamNew)
	check(at+timeout, false, streamLive)
	at += time.Hour
	w.handleSuspension(start + at) // this daemon's own
	check(at+timeout, false, streamLive)
}
