package fbroutes

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// step is what happens to a daemon at a time.
type step struct {
	at      time.Duration
	node    filbertford.NodeID
	version uint64             // that the node names, 0 if it is lost
	want    filbertford.NodeID // that routes are requested from then, empty for none
}

// TestPull checks when newer routes are requested by a daemon that uses version 5, and from whom.
func TestPull(t *testing.T) {
	const second = time.Second
	tests := map[string]struct {
		fromPeer bool // the version in use came from another daemon
		steps    []step
	}{
		"not newer": {steps: []step{{at: second, node: "b", version: 5}, {at: 2 * second, node: "b", version: 4}}},
		"the store doesn't deliver": {steps: []step{
			{at: second, node: "b", version: 6},
			{at: second + storeDelay - 1, node: "b", version: 6},
			{at: second + storeDelay, node: "b", version: 6, want: "b"},
		}},
		"the last routes came from a daemon": {fromPeer: true, steps: []step{{at: second, node: "b", version: 6, want: "b"}}},
		"no answer": {fromPeer: true, steps: []step{
			{at: second, node: "b", version: 6, want: "b"},
			{at: second + pullTimeout - 1, node: "c", version: 7},
			{at: second + pullTimeout, node: "c", version: 7, want: "c"},
		}},
		"no answer of the only one": {fromPeer: true, steps: []step{
			{at: second, node: "b", version: 6, want: "b"},
			{at: second + pullTimeout, node: "b", version: 6, want: "b"},
		}},
		"it has started again with an earlier version": {steps: []step{
			{at: second, node: "b", version: 6},
			{at: second + storeDelay, node: "b", version: 4},
		}},
		"the daemon asked is lost": {fromPeer: true, steps: []step{
			{at: second, node: "b", version: 6, want: "b"},
			{at: second + 1, node: "c", version: 6},
			{at: second + 2, node: "b", want: "c"},
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			e := newTestExchange()
			e.Applied(0, 5, textSize, !tt.fromPeer)
			for _, s := range tt.steps {
				if s.version == 0 {
					e.NodeUnreachable(s.node)
				} else {
					e.VersionNamed(s.at, s.node, s.version)
				}
				if got, _ := e.Pull(s.at); got != s.want {
					t.Errorf("at %v: routes are requested from %q, want %q", s.at, got, s.want)
				}
			}
		})
	}
}

// TestBehindAfterOlderVersion guards against a daemon that forgets a version which is newer than the
// one that it has just got.
func TestBehindAfterOlderVersion(t *testing.T) {
	e := newTestExchange()
	e.Applied(0, 5, textSize, true)
	e.VersionNamed(1, "b", 6)
	e.VersionNamed(1, "c", 7)
	e.Applied(2, 6, textSize, false)
	if _, behind := e.Behind(); !behind {
		t.Error("not behind with version 6, want behind, since a daemon uses version 7")
	}
	if got, _ := e.Pull(2); got != "c" {
		t.Errorf("routes are requested from %q, want c, which has newer ones", got)
	}
}

// TestMalformedTextIsNotRequestedAgain guards against a request a second for a text that this daemon
// can't decode, while the daemons of another version use it.
func TestMalformedTextIsNotRequestedAgain(t *testing.T) {
	e := newTestExchange()
	e.Applied(0, 5, textSize, false)
	e.VersionNamed(1, "b", 6)
	e.Rejected(2, 6)
	e.VersionNamed(3, "b", 6)
	if node, pull := e.Pull(3); pull {
		t.Errorf("routes are requested from %q again", node)
	}
	e.VersionNamed(4, "b", 7)
	if _, pull := e.Pull(4); !pull {
		t.Error("a version after the malformed one isn't requested")
	}
}

// TestPullReceived checks which requests a daemon that uses version 5 answers.
func TestPullReceived(t *testing.T) {
	e := newTestExchange()
	e.Applied(0, 5, textSize, true)
	for _, s := range []struct {
		at   time.Duration
		node filbertford.NodeID
		have uint64
		want bool
	}{
		{at: 1, node: "b", have: 5},
		{at: 1, node: "b", have: 4, want: true},
		{at: 2, node: "b", have: 4},
		{at: 3, node: "b", have: 0, want: true}, // it has started again
		{at: 3, node: "c", have: 4, want: true},
		{at: 3, node: "d", have: 4, want: true},
		{at: 3, node: "e", have: 4, want: true},
		{at: 3, node: "f", have: 4},
		{at: 3 + pushInterval, node: "f", have: 4, want: true},
		{at: 3 + pushInterval, node: "b", have: 0, want: true},
	} {
		if got := e.PullReceived(s.at, s.node, s.have); got != s.want {
			t.Errorf("request of %s, which uses version %d, at %v: answered %v, want %v", s.node, s.have, s.at, got, s.want)
		}
	}
	e.Applied(3+2*pushInterval, 6, textSize/100, true)
	for _, node := range []filbertford.NodeID{"b", "c", "d", "e", "f", "g"} {
		if !e.PullReceived(3+2*pushInterval, node, 5) {
			t.Errorf("a short text isn't sent to %s", node)
		}
	}
	e.Applied(3+3*pushInterval, 7, 10*maxPushBytes, true)
	if !e.PullReceived(3+3*pushInterval, "b", 6) || e.PullReceived(3+3*pushInterval, "c", 6) {
		t.Error("want a text that is longer than the limit to be sent to one daemon")
	}
}

func newTestExchange() *Exchange { return NewExchange(rand.New(rand.NewPCG(1, 1))) }
