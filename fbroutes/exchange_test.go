package fbroutes

import (
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// step is a heartbeat of a daemon or, without a version, the loss of the daemon.
type step struct {
	at      time.Duration
	node    filbertford.NodeID
	version uint64
	want    bool // routes are requested
}

// TestVersionNamed checks when newer routes are requested by a daemon that uses version 5.
func TestVersionNamed(t *testing.T) {
	const second = time.Second
	tests := map[string]struct {
		fromPeer bool // the version in use came from another daemon
		steps    []step
	}{
		"not newer": {steps: []step{{at: second, node: "b", version: 5}, {at: 2 * second, node: "b", version: 4}}},
		"the store doesn't deliver": {steps: []step{
			{at: second, node: "b", version: 6},
			{at: second + storeDelay - 1, node: "c", version: 6},
			{at: second + storeDelay, node: "d", version: 6, want: true},
		}},
		"the last routes came from a daemon": {fromPeer: true, steps: []step{{at: second, node: "b", version: 6, want: true}}},
		"no answer": {fromPeer: true, steps: []step{
			{at: second, node: "b", version: 6, want: true},
			{at: 2*second - 1, node: "c", version: 7},
			{at: 2 * second, node: "c", version: 7, want: true},
			{at: 4*second - 1, node: "d", version: 7},
			{at: 4 * second, node: "d", version: 7, want: true},
		}},
		"the daemon is lost": {fromPeer: true, steps: []step{
			{at: second, node: "b", version: 6, want: true},
			{at: second + 1, node: "c"},
			{at: second + 2, node: "c", version: 6},
			{at: second + 3, node: "b"},
			{at: second + 4, node: "c", version: 6, want: true},
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			e := NewExchange()
			e.Applied(0, 5, !tt.fromPeer)
			for _, s := range tt.steps {
				if s.version == 0 {
					e.NodeUnreachable(s.node)
				} else if got := e.VersionNamed(s.at, s.node, s.version); got != s.want {
					t.Errorf("version %d of %s at %v: requested %v, want %v", s.version, s.node, s.at, got, s.want)
				}
			}
		})
	}
}

// TestPullReceived checks which requests a daemon that uses version 5 answers.
func TestPullReceived(t *testing.T) {
	e := NewExchange()
	e.Applied(0, 5, true)
	for _, s := range []struct {
		at   time.Duration
		node filbertford.NodeID
		have uint64
		want bool
	}{
		{at: 1, node: "b", have: 5},
		{at: 1, node: "b", have: 4, want: true},
		{at: 2, node: "b", have: 4},
		{at: 2, node: "c", have: 4, want: true},
		{at: 3, node: "b", have: 0, want: true}, // it has started again
		{at: 3 + pushInterval, node: "b", have: 0, want: true},
	} {
		if got := e.PullReceived(s.at, s.node, s.have); got != s.want {
			t.Errorf("request of %s, which uses version %d, at %v: answered %v, want %v", s.node, s.have, s.at, got, s.want)
		}
	}
	e.Applied(4+pushInterval, 6, true)
	if !e.PullReceived(5+pushInterval, "b", 0) {
		t.Error("a newer version isn't sent")
	}
}
