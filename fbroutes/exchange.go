package fbroutes

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/filbertford/filbertford"
)

const (
	// storeDelay is how long a daemon whose last routes came from the store leaves the next ones to
	// it. The store sends a new version to all daemons at once.
	storeDelay = 400 * time.Millisecond
	// pullTimeout is the time after which a request without an answer is repeated. It bounds the
	// texts that a daemon receives if its link is too slow for them: one a second.
	pullTimeout = time.Second
	// pushInterval is the time in which a version is sent to a daemon once. It is shorter than
	// pullTimeout, so that a repeated request is answered.
	pushInterval = 900 * time.Millisecond
	// maxPushBytes is the size of the texts that are sent in that time, at least one: those that a
	// link of 19 Mbit/s carries. The daemons whose requests aren't answered find others that have
	// the text by the time that they repeat them.
	maxPushBytes = 2 << 20
)

// Exchange is what a daemon knows of the routes of the others. It is not safe for concurrent use.
type Exchange struct {
	random      *rand.Rand
	version     uint64        // in use, 0 for none
	size        int           // of its text in bytes
	rejected    uint64        // the highest version whose text is malformed
	newest      uint64        // the highest version that any daemon has named
	fromStore   bool          // the store has answered since the version in use came from another daemon
	behindSince time.Duration // since when a newer version is known
	sources     map[filbertford.NodeID]source
	pulledFrom  filbertford.NodeID // empty if no request is under way
	pulledAt    time.Duration
	pushes      map[filbertford.NodeID]push
}

// source is a daemon that has a newer version than that in use.
type source struct {
	version uint64
	asked   bool // since the version in use has changed
}

// push is the last text that was sent to a daemon.
type push struct {
	have    uint64 // the version that the daemon used
	version uint64
	size    int // in bytes
	at      time.Duration
}

// NewExchange returns the exchange of a daemon without routes.
func NewExchange(random *rand.Rand) *Exchange {
	return &Exchange{
		random:  random,
		sources: make(map[filbertford.NodeID]source),
		pushes:  make(map[filbertford.NodeID]push),
	}
}

// Behind reports whether another daemon has named a newer version than that in use, and since when.
// It has one although no daemon that named it is left: versions are never taken back.
func (e *Exchange) Behind() (since time.Duration, behind bool) {
	return e.behindSince, e.newest > e.known()
}

// known returns the version from which a text is of use only if it is newer.
func (e *Exchange) known() uint64 { return max(e.version, e.rejected) }

// VersionNamed handles the version that another daemon uses.
func (e *Exchange) VersionNamed(now time.Duration, node filbertford.NodeID, version uint64) {
	if version <= e.known() {
		e.NodeUnreachable(node) // it has started again
		return
	}
	if _, behind := e.Behind(); !behind {
		e.behindSince = now
	}
	e.newest = max(e.newest, version)
	e.sources[node] = source{version: version, asked: e.sources[node].asked}
}

// Pull returns the daemon to request newer routes from now, and false if there is none. Of those that
// have newer ones it chooses any that it has not asked before.
func (e *Exchange) Pull(now time.Duration) (filbertford.NodeID, bool) {
	switch {
	case len(e.sources) == 0, e.pulledFrom != "" && now-e.pulledAt < pullTimeout:
		return "", false
	case e.fromStore && now-e.behindSince < storeDelay:
		return "", false
	}
	nodes := slices.Sorted(maps.Keys(e.sources))
	if fresh := slices.DeleteFunc(slices.Clone(nodes), func(n filbertford.NodeID) bool { return e.sources[n].asked }); len(fresh) > 0 {
		nodes = fresh
	}
	node := nodes[e.random.IntN(len(nodes))]
	e.pulledFrom, e.pulledAt = node, now
	e.sources[node] = source{version: e.sources[node].version, asked: true}
	return node, true
}

// Applied handles that a newer version is in use, whose text has the given size in bytes.
func (e *Exchange) Applied(now time.Duration, version uint64, size int, fromStore bool) {
	e.version, e.size, e.fromStore = version, size, fromStore
	e.settle(now)
}

// Rejected handles that the text of a version is malformed. It isn't requested again.
func (e *Exchange) Rejected(now time.Duration, version uint64) {
	e.rejected = max(e.rejected, version)
	e.settle(now)
}

// settle ends the request under way, and keeps the daemons that have newer routes yet.
func (e *Exchange) settle(now time.Duration) {
	e.behindSince, e.pulledFrom = now, ""
	for node, s := range e.sources {
		if s.asked = false; s.version > e.known() {
			e.sources[node] = s
		} else {
			delete(e.sources, node)
		}
	}
}

// StoreAnswered handles an answer of the store, which delivers newer versions again.
func (e *Exchange) StoreAnswered() { e.fromStore = true }

// NodeUnreachable handles the loss of another daemon, which doesn't answer a request any more.
func (e *Exchange) NodeUnreachable(node filbertford.NodeID) {
	delete(e.sources, node)
	if e.pulledFrom == node {
		e.pulledFrom = ""
	}
}

// PullReceived handles a request for newer routes from a daemon that uses the version have. It
// reports whether to send them.
func (e *Exchange) PullReceived(now time.Duration, node filbertford.NodeID, have uint64) bool {
	maps.DeleteFunc(e.pushes, func(_ filbertford.NodeID, p push) bool { return now-p.at >= pushInterval })
	if e.version <= have {
		return false
	}
	if last, ok := e.pushes[node]; ok && last.have == have && last.version == e.version {
		return false
	}
	sent := 0
	for _, p := range e.pushes {
		sent += p.size
	}
	if sent > 0 && sent+e.size > maxPushBytes {
		return false
	}
	e.pushes[node] = push{have: have, version: e.version, size: e.size, at: now}
	return true
}
