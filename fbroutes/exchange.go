package fbroutes

import (
	"maps"
	"time"

	"github.com/filbertford/filbertford"
)

const (
	// storeDelay is how long a daemon whose last routes came from the store leaves the next ones to
	// it. The store sends a new version to all daemons at once.
	storeDelay = 400 * time.Millisecond
	// minPullTimeout and maxPullTimeout bound the time after which a request without an answer is
	// repeated. It doubles with each request: the link of the daemon may be too slow for the answer, and
	// another request would only add to its load.
	minPullTimeout = time.Second
	maxPullTimeout = 4 * time.Second
	// pushInterval is the time in which a version is sent once to a daemon. It is shorter than
	// minPullTimeout, so that a request that is repeated after that is answered.
	pushInterval = 500 * time.Millisecond
)

// Exchange is what a daemon knows of the routes of the others. It is not safe for concurrent use.
type Exchange struct {
	version     uint64        // in use, 0 for none
	fromStore   bool          // the version in use came from the store
	newest      uint64        // the highest version that another daemon has named
	behindSince time.Duration // since when a version newer than that in use is known
	pulling     bool
	pulledFrom  filbertford.NodeID
	pulledAt    time.Duration
	pullTimeout time.Duration
	pushes      map[filbertford.NodeID]push
}

// push is the last text that was sent to a daemon.
type push struct {
	have    uint64 // the version that the daemon used
	version uint64
	at      time.Duration
}

// NewExchange returns the exchange of a daemon without routes.
func NewExchange() *Exchange {
	return &Exchange{pullTimeout: minPullTimeout, pushes: make(map[filbertford.NodeID]push)}
}

// Behind reports whether another daemon has named a newer version than that in use, and since when.
func (e *Exchange) Behind() (since time.Duration, behind bool) {
	return e.behindSince, e.newest > e.version
}

// VersionNamed handles the version that another daemon uses. It reports whether to request the
// routes from that daemon now.
func (e *Exchange) VersionNamed(now time.Duration, node filbertford.NodeID, version uint64) bool {
	if version <= e.version {
		return false
	}
	if _, behind := e.Behind(); !behind {
		e.behindSince = now
	}
	e.newest = max(e.newest, version)
	switch {
	case e.pulling && now-e.pulledAt < e.pullTimeout:
		return false
	case e.pulling:
		e.pullTimeout = min(2*e.pullTimeout, maxPullTimeout)
	case e.fromStore && now-e.behindSince < storeDelay:
		return false
	}
	e.pulling, e.pulledFrom, e.pulledAt = true, node, now
	return true
}

// Applied handles that a newer version is in use.
func (e *Exchange) Applied(now time.Duration, version uint64, fromStore bool) {
	e.version, e.fromStore = version, fromStore
	e.pulling, e.pullTimeout, e.behindSince = false, minPullTimeout, now
}

// NodeUnreachable handles the loss of another daemon, which doesn't answer a request any more.
func (e *Exchange) NodeUnreachable(node filbertford.NodeID) {
	if e.pulling && e.pulledFrom == node {
		e.pulling = false
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
	e.pushes[node] = push{have: have, version: e.version, at: now}
	return true
}
