package fbsettings

import (
	"fmt"
	"slices"
	"time"

	"github.com/filbertford/filbertford/fbtree"
)

const (
	// PollPeriod is the time between two reads of the head row.
	PollPeriod = time.Second
	// PollTimeout is the time after which a poll or a load has failed.
	PollTimeout = 2 * time.Second
	// quickRetryInterval is the time between a poll or load that failed and the next, for
	// the first quickRetries in a row.
	quickRetryInterval = 250 * time.Millisecond
	// maxQuickRetries is the number of failures in a row that are followed by
	// another try sooner than after PollPeriod.
	maxQuickRetries = 4
	// Fanout is the greatest number of peers that a daemon tells of a new
	// version, or asks for one, at a time.
	Fanout = 3
	// minPullInterval is the least time between two rounds of pulls.
	minPullInterval = 250 * time.Millisecond
	// settleTime is the time that pushes get to reach everybody, before a daemon
	// pushes once more to the peers whose heartbeats tell an older version.
	settleTime = 500 * time.Millisecond
	// peerRetryInterval is the least time between two messages to a peer that does not
	// get on.
	peerRetryInterval = time.Second
	// maxDeltas is the number of deltas that are kept for peers.
	maxDeltas = 64
)

// Replica is the state machine that keeps one daemon's settings up to date. Its
// methods take events and return what is to be done. A version is put in force
// if it is newer than the one in force and good; anything else changes nothing.
// Spread is used by one goroutine at a time.
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

// NewReplica returns the state machine of the daemon whose peers reach it at the
// address self. It has no settings yet.
func NewReplica(self string) *Replica {
	return &Replica{self: self, peers: make(map[string]*peer)}
}

// Tree returns the version in force, nil before there is one.
func (r *Replica) Tree() *fbtree.Tree { return r.tree }

// Status returns how far the settings are.
func (r *Replica) Status() Status {
	return Status{
		version:     r.version(),
		newest:      max(r.newestVersion, r.version()),
		reason:      r.reason(),
		pollFailing: r.pollFailures > maxQuickRetries,
	}
}

// HandleTick tells what is due at a time. It is to be called several times a
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

// HandleHead takes the result of a poll.
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

// HandlePollFailed takes the failure of a poll.
func (r *Replica) HandlePollFailed(now time.Time, reason string) {
	r.pollDeadline = time.Time{}
	r.pollFailures++
	r.pollErr = "the table service can't be read: " + reason
	r.nextPollAt = now.Add(retryDelay(r.pollFailures))
}

// HandleTree takes a version that was loaded.
func (r *Replica) HandleTree(now time.Time, tree *fbtree.Tree) []Action {
	r.loadDeadline = time.Time{}
	r.loadErr = ""
	r.loadFailures = 0
	if tree.Version() <= r.version() {
		return nil
	}
	return r.apply(now, tree, r.deltaTo(tree))
}

// HandleLoadFailed takes the failure of a load.
func (r *Replica) HandleLoadFailed(now time.Time, reason string) {
	r.loadDeadline = time.Time{}
	r.loadFailures++
	r.nextLoadAt = now.Add(retryDelay(r.loadFailures))
	r.loadErr = "it can't be loaded: " + reason
}

// HandleMembers takes the live peers, without the daemon itself.
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

// HandlePush takes an update that a peer sent and returns the reply to it. The
// reply carries the version in force here if that is newer than the sender's.
func (r *Replica) HandlePush(now time.Time, u Update) (Update, []Action) {
	actions := r.applyUpdate(now, u)
	return r.UpdateFor(u.have), actions
}

// HandleReply takes a peer's reply to a push or a pull.
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
	// What the peer was sent did not fit what it has. It has told that now.
	return append(actions, r.push(now, address, p))
}

// UpdateFor returns what a peer that has a version lacks: changes, or the whole
// tree, or nothing. A peer without settings has version 0.
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

// reason tells why the newest version may not be in force.
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

// startLoad asks for the newest head's tree, unless it is in force or on its way.
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

// applyUpdate puts the version of an update in force if it is newer and good.
func (r *Replica) applyUpdate(now time.Time, u Update) []Action {
	if len(u.body) == 0 || u.version <= r.version() {
		return nil
	}
	if !u.delta {
		tree, err := u.decodeTree()
		if err != nil {
			return r.refuse(now, u, err)
		}
		return r.apply(now, tree, r.deltaTo(tree))
	}
	if r.tree == nil || u.base != r.version() {
		return nil
	}
	tree, d, err := u.decodeDelta(r.tree)
	if err != nil {
		return r.refuse(now, u, err)
	}
	return r.apply(now, tree, d)
}

// refuse keeps what is in force and has the table service asked at once.
func (r *Replica) refuse(now time.Time, u Update, err error) []Action {
	r.updateErr = fmt.Sprintf("version %d was refused: %v", u.version, err)
	if r.pollFailures == 0 {
		r.nextPollAt = now
	}
	return nil
}

// apply puts a newer version in force and tells some peers.
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

// deltaTo returns the changes from the version in force to a tree.
func (r *Replica) deltaTo(tree *fbtree.Tree) delta {
	if r.tree == nil {
		return delta{version: tree.Version()}
	}
	return delta{base: r.version(), version: tree.Version(), changes: fbtree.Diff(r.tree, tree)}
}

// deltaFrom returns the changes since a version, if they are kept.
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

// retryDelay returns the time until the next try after n failures in a row.
func retryDelay(n int) time.Duration {
	if n <= maxQuickRetries {
		return quickRetryInterval
	}
	return PollPeriod
}
