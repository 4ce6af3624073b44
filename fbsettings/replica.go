package fbsettings

import (
	"fmt"
	"slices"
	"time"

	"github.com/filbertford/filbertford/fbtree"
)

const (
	// PollPeriod is the time between two polls of the head row.
	PollPeriod = time.Second
	// PollTimeout is the timeout of a poll or a load.
	PollTimeout = 2 * time.Second
	// quickRetryInterval is the time between a poll or load that failed and the next
	// one, for the first maxQuickRetries failures in a row.
	quickRetryInterval = 250 * time.Millisecond
	// maxQuickRetries is the number of failures in a row after which retries wait
	// for PollPeriod instead of quickRetryInterval.
	maxQuickRetries = 4
	// Fanout is the maximum number of peers that a daemon pushes to or pulls from
	// at a time.
	Fanout = 3
	// minPullInterval is the minimum time between two rounds of pulls.
	minPullInterval = 250 * time.Millisecond
	// settleTime is the time that the pushes of a new version have to reach all
	// daemons, before a daemon pushes again to peers with an older version.
	settleTime = 500 * time.Millisecond
	// peerRetryInterval is the minimum time between two messages to a peer whose
	// version has not caught up.
	peerRetryInterval = time.Second
	// maxDeltas is the number of deltas that are kept for peers with an older
	// version.
	maxDeltas = 64
)

// Replica is the state machine that keeps one daemon's settings up to date. Its
// methods handle events and return the actions to perform. It puts a version in
// force only if it is valid and newer than the one in force; anything else leaves
// the settings unchanged. A Replica is not safe for concurrent use.
type Replica struct {
	self          string
	tree          *fbtree.Tree
	appliedAt     time.Time
	newestHead    Head
	newestVersion uint64
	peers         map[string]*peer
	deltas        []delta
	fullUpdate    Update

	nextPollAt   time.Time
	pollDeadline time.Time
	pollFailures int
	nextLoadAt   time.Time
	loadDeadline time.Time
	loadFailures int
	lastPullAt   time.Time
	pullOffset   int
	pollErr      string
	loadErr      string
	updateErr    string
}

// NewReplica returns a replica without settings. The address self is that at which
// peers reach the daemon.
func NewReplica(self string) *Replica {
	return &Replica{self: self, peers: make(map[string]*peer)}
}

// Tree returns the version in force, nil before there is one.
func (r *Replica) Tree() *fbtree.Tree { return r.tree }

// Status returns the version in force, the newest known version, and why they may
// differ.
func (r *Replica) Status() Status {
	return Status{
		version:     r.version(),
		newest:      max(r.newestVersion, r.version()),
		reason:      r.reason(),
		pollFailing: r.pollFailures > maxQuickRetries,
	}
}

// HandleTick returns the actions that are due. It must be called several times a
// second.
func (r *Replica) HandleTick(now time.Time) []Action {
	var actions []Action
	if !r.pollDeadline.IsZero() && now.After(r.pollDeadline) {
		r.HandlePollFailed(now, "no reply in time")
	}
	if r.pollDeadline.IsZero() && !now.Before(r.nextPollAt) {
		r.pollDeadline = now.Add(PollTimeout)
		actions = append(actions, Action{kind: ActionPoll})
	}
	actions = append(actions, r.startLoad(now)...)
	return append(actions, r.syncPeers(now)...)
}

// HandleHead handles the result of a poll.
func (r *Replica) HandleHead(now time.Time, head Head) []Action {
	r.pollDeadline = time.Time{}
	r.nextPollAt = r.nextPoll(now)
	r.pollFailures = 0
	r.pollErr = ""
	if head.version == 0 && r.tree == nil && r.newestVersion == 0 {
		r.nextPollAt = now.Add(quickRetryInterval)
		return []Action{{kind: ActionInit}}
	}
	if head.version < r.version() {
		r.pollErr = fmt.Sprintf("the table service shows the older version %d", head.version)
	}
	if head.version <= max(r.newestHead.version, r.version()) {
		return nil
	}
	r.newestHead = head
	r.newestVersion = max(r.newestVersion, head.version)
	r.nextLoadAt = now
	return r.startLoad(now)
}

// HandlePollFailed handles the failure of a poll.
func (r *Replica) HandlePollFailed(now time.Time, reason string) {
	r.pollDeadline = time.Time{}
	r.pollFailures++
	r.pollErr = "the table service can't be read: " + reason
	r.nextPollAt = now.Add(retryDelay(r.pollFailures))
}

// HandleTree handles the result of a load.
func (r *Replica) HandleTree(now time.Time, tree *fbtree.Tree) []Action {
	r.loadDeadline = time.Time{}
	r.loadErr = ""
	r.loadFailures = 0
	if tree.Version() <= r.version() {
		return nil
	}
	return r.apply(now, tree, r.deltaTo(tree))
}

// HandleLoadFailed handles the failure of a load.
func (r *Replica) HandleLoadFailed(now time.Time, reason string) {
	r.loadDeadline = time.Time{}
	r.loadFailures++
	r.nextLoadAt = now.Add(retryDelay(r.loadFailures))
	r.loadErr = "it can't be loaded: " + reason
}

// HandleMembers replaces the list of live peers. A member with the daemon's own
// address is ignored.
func (r *Replica) HandleMembers(now time.Time, members []Member) []Action {
	peers := make(map[string]*peer, len(members))
	for _, m := range members {
		if m.address == r.self {
			continue
		}
		p := r.peers[m.address]
		if p == nil {
			p = &peer{}
		}
		p.version = m.version
		r.newestVersion = max(r.newestVersion, m.version)
		peers[m.address] = p
	}
	r.peers = peers
	return r.syncPeers(now)
}

// HandlePush handles an update from a peer and returns the reply. The reply
// contains the version in force here if that is newer than the sender's.
func (r *Replica) HandlePush(now time.Time, u Update) (Update, []Action) {
	actions := r.applyUpdate(now, u)
	return r.UpdateFor(u.have), actions
}

// HandleReply handles a peer's reply to a push or a pull.
func (r *Replica) HandleReply(now time.Time, address string, u Update) []Action {
	actions := r.applyUpdate(now, u)
	p := r.peers[address]
	if p == nil {
		return actions
	}
	p.version = u.have
	baseMatched := p.sentBase == u.have && now.Sub(p.sentAt) < peerRetryInterval
	if u.have >= r.version() || baseMatched {
		return actions
	}
	// The update sent started from another version than the peer has, so the peer
	// could not apply it. The reply names the peer's version.
	return append(actions, r.push(now, address, p))
}

// UpdateFor returns the update for a peer with the version have, 0 for none: a
// delta if the changes since that version are kept, otherwise the full tree. The
// update has no body if the peer's version is not older.
func (r *Replica) UpdateFor(have uint64) Update {
	if r.tree == nil || have >= r.version() {
		return Update{have: r.version()}
	}
	if u, ok := r.deltaFrom(have); ok {
		return u
	}
	if r.fullUpdate.version != r.version() {
		r.fullUpdate = Update{have: r.version(), version: r.version(), body: compress(r.tree.Encode())}
	}
	return r.fullUpdate
}

// version returns the version in force, 0 for none.
func (r *Replica) version() uint64 {
	if r.tree == nil {
		return 0
	}
	return r.tree.Version()
}

// reason returns why the newest version may be unknown or not in force, empty if
// nothing indicates that.
func (r *Replica) reason() string {
	behind := r.newestVersion > r.version() || r.tree == nil
	switch {
	case behind && r.updateErr != "":
		return r.updateErr
	case behind && r.loadErr != "":
		return r.loadErr
	case r.pollErr != "":
		return r.pollErr
	case behind:
		return "it has not arrived yet"
	default:
		return ""
	}
}

// startLoad returns the action that loads the tree of the newest head. It returns
// none while that version is in force or being loaded, or a retry is not due yet.
func (r *Replica) startLoad(now time.Time) []Action {
	if !r.loadDeadline.IsZero() && now.After(r.loadDeadline) {
		r.HandleLoadFailed(now, "no reply in time")
	}
	if r.newestHead.version <= r.version() || !r.loadDeadline.IsZero() || now.Before(r.nextLoadAt) {
		return nil
	}
	r.loadDeadline = now.Add(PollTimeout)
	return []Action{{kind: ActionLoad, head: r.newestHead}}
}

// applyUpdate puts the version of an update in force if it is valid and newer.
func (r *Replica) applyUpdate(now time.Time, u Update) []Action {
	if len(u.body) == 0 || u.version <= r.version() {
		return nil
	}
	if !u.delta {
		tree, err := u.decodeTree()
		if err != nil {
			return r.rejectUpdate(now, u, err)
		}
		return r.apply(now, tree, r.deltaTo(tree))
	}
	if r.tree == nil || u.base != r.version() {
		return nil
	}
	tree, d, err := u.decodeDelta(r.tree)
	if err != nil {
		return r.rejectUpdate(now, u, err)
	}
	return r.apply(now, tree, d)
}

// rejectUpdate records that an update was not valid and makes the next poll due
// immediately, unless polls fail.
func (r *Replica) rejectUpdate(now time.Time, u Update, err error) []Action {
	r.updateErr = fmt.Sprintf("version %d was refused: %v", u.version, err)
	if r.pollFailures == 0 {
		r.nextPollAt = now
	}
	return nil
}

// apply puts a newer version in force and pushes it to the fan-out peers.
func (r *Replica) apply(now time.Time, tree *fbtree.Tree, d delta) []Action {
	r.tree = tree
	r.appliedAt = now
	r.newestVersion = max(r.newestVersion, tree.Version())
	r.updateErr = ""
	r.deltas = append(r.deltas, d)
	if len(r.deltas) > maxDeltas {
		r.deltas = slices.Delete(r.deltas, 0, len(r.deltas)-maxDeltas)
	}
	var actions []Action
	for _, address := range r.fanoutPeers() {
		if p := r.peers[address]; p.version < tree.Version() {
			actions = append(actions, r.push(now, address, p))
		}
	}
	return actions
}

// deltaTo returns the delta from the version in force to the tree.
func (r *Replica) deltaTo(tree *fbtree.Tree) delta {
	if r.tree == nil {
		return delta{version: tree.Version()}
	}
	return delta{base: r.version(), version: tree.Version(), changes: fbtree.Diff(r.tree, tree)}
}

// deltaFrom returns an update with the changes since the version have, or false if
// they are not kept or too long.
func (r *Replica) deltaFrom(have uint64) (Update, bool) {
	i := slices.IndexFunc(r.deltas, func(d delta) bool { return d.base == have })
	if i < 0 || have == 0 {
		return Update{}, false
	}
	var changes []fbtree.Change
	for _, d := range r.deltas[i:] {
		changes = append(changes, d.changes...)
	}
	body := fbtree.EncodeChanges(changes)
	if len(body) > fbtree.MaxChangesBytes {
		return Update{}, false
	}
	return Update{have: r.version(), base: have, version: r.version(), body: compress(body), delta: true}, true
}

// retryDelay returns the time until the next attempt after n failures in a row.
func retryDelay(n int) time.Duration {
	if n <= maxQuickRetries {
		return quickRetryInterval
	}
	return PollPeriod
}
