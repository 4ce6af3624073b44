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
	// pollRetry is the time between a poll or load that failed and the next, for
	// the first quickRetries in a row.
	pollRetry = 250 * time.Millisecond
	// quickRetries is the number of failures in a row that are followed by
	// another try sooner than after PollPeriod.
	quickRetries = 4
	// Fanout is the greatest number of peers that a daemon tells of a new
	// version, or asks for one, at a time.
	Fanout = 3
	// pullPause is the least time between two rounds of pulls.
	pullPause = 250 * time.Millisecond
	// settle is the time that pushes get to reach everybody, before a daemon
	// pushes once more to the peers whose heartbeats tell an older version.
	settle = 500 * time.Millisecond
	// peerRetry is the least time between two messages to a peer that does not
	// get on.
	peerRetry = time.Second
	// maxDeltas is the number of deltas that are kept for peers.
	maxDeltas = 64
)

// Spread is the state machine that keeps one daemon's settings up to date. Its
// methods take events and return what is to be done. A version is put in force
// if it is newer than the one in force and good; anything else changes nothing.
// Spread is used by one goroutine at a time.
type Spread struct {
	self   string
	tree   *fbtree.Tree
	since  time.Time
	newest Head
	heard  uint64
	peers  map[string]*peer
	deltas []delta
	full   Update

	pollAt       time.Time
	pollEnd      time.Time
	failures     int
	loadAt       time.Time
	loadEnd      time.Time
	loadFailures int
	pulled       time.Time
	pulls        int
	pollErr      string
	loadErr      string
	refused      string
}

// NewSpread returns the state machine of the daemon whose peers reach it at the
// address self. It has no settings yet.
func NewSpread(self string) *Spread {
	return &Spread{self: self, peers: make(map[string]*peer)}
}

// Tree returns the version in force, nil before there is one.
func (s *Spread) Tree() *fbtree.Tree { return s.tree }

// Status returns how far the settings are.
func (s *Spread) Status() Status {
	return Status{
		version:     s.version(),
		newest:      max(s.heard, s.version()),
		reason:      s.reason(),
		pollFailing: s.failures > quickRetries,
	}
}

// HandleTick tells what is due at a time. It is to be called several times a
// second.
func (s *Spread) HandleTick(now time.Time) []Action {
	var actions []Action
	if !s.pollEnd.IsZero() && now.After(s.pollEnd) {
		s.HandlePollFailed(now, "no reply in time")
	}
	if s.pollEnd.IsZero() && !now.Before(s.pollAt) {
		s.pollEnd = now.Add(PollTimeout)
		actions = append(actions, Action{kind: ActionPoll})
	}
	actions = append(actions, s.load(now)...)
	return append(actions, s.catchUp(now)...)
}

// HandleHead takes the result of a poll.
func (s *Spread) HandleHead(now time.Time, head Head) []Action {
	s.pollEnd = time.Time{}
	s.pollAt = s.nextPoll(now)
	s.failures = 0
	s.pollErr = ""
	if head.version == 0 && s.tree == nil && s.heard == 0 {
		s.pollAt = now.Add(pollRetry)
		return []Action{{kind: ActionInit}}
	}
	if head.version < s.version() {
		s.pollErr = fmt.Sprintf("the table service shows the older version %d", head.version)
	}
	if head.version <= max(s.newest.version, s.version()) {
		return nil
	}
	s.newest = head
	s.heard = max(s.heard, head.version)
	s.loadAt = now
	return s.load(now)
}

// HandlePollFailed takes the failure of a poll.
func (s *Spread) HandlePollFailed(now time.Time, reason string) {
	s.pollEnd = time.Time{}
	s.failures++
	s.pollErr = "the table service can't be read: " + reason
	s.pollAt = now.Add(retryDelay(s.failures))
}

// HandleTree takes a version that was loaded.
func (s *Spread) HandleTree(now time.Time, tree *fbtree.Tree) []Action {
	s.loadEnd = time.Time{}
	s.loadErr = ""
	s.loadFailures = 0
	if tree.Version() <= s.version() {
		return nil
	}
	return s.adopt(now, tree, s.deltaTo(tree))
}

// HandleLoadFailed takes the failure of a load.
func (s *Spread) HandleLoadFailed(now time.Time, reason string) {
	s.loadEnd = time.Time{}
	s.loadFailures++
	s.loadAt = now.Add(retryDelay(s.loadFailures))
	s.loadErr = "it can't be loaded: " + reason
}

// HandleMembers takes the live peers, without the daemon itself.
func (s *Spread) HandleMembers(now time.Time, members []Member) []Action {
	peers := make(map[string]*peer, len(members))
	for _, m := range members {
		if m.address == s.self {
			continue
		}
		p := s.peers[m.address]
		if p == nil {
			p = &peer{}
		}
		p.version = m.version
		s.heard = max(s.heard, m.version)
		peers[m.address] = p
	}
	s.peers = peers
	return s.catchUp(now)
}

// HandlePush takes an update that a peer sent and returns the reply to it. The
// reply carries the version in force here if that is newer than the sender's.
func (s *Spread) HandlePush(now time.Time, u Update) (Update, []Action) {
	actions := s.take(now, u)
	return s.UpdateFor(u.have), actions
}

// HandleReply takes a peer's reply to a push or a pull.
func (s *Spread) HandleReply(now time.Time, address string, u Update) []Action {
	actions := s.take(now, u)
	p := s.peers[address]
	if p == nil {
		return actions
	}
	p.version = u.have
	fitted := p.base == u.have && now.Sub(p.sent) < peerRetry
	if u.have >= s.version() || fitted {
		return actions
	}
	// What the peer was sent did not fit what it has. It has told that now.
	return append(actions, s.push(now, address, p))
}

// UpdateFor returns what a peer that has a version lacks: changes, or the whole
// tree, or nothing. A peer without settings has version 0.
func (s *Spread) UpdateFor(have uint64) Update {
	if s.tree == nil || have >= s.version() {
		return Update{have: s.version()}
	}
	if u, ok := s.deltaFrom(have); ok {
		return u
	}
	if s.full.version != s.version() {
		s.full = Update{have: s.version(), version: s.version(), body: pack(s.tree.Encode())}
	}
	return s.full
}

// version returns the version in force, 0 for none.
func (s *Spread) version() uint64 {
	if s.tree == nil {
		return 0
	}
	return s.tree.Version()
}

// reason tells why the newest version may not be in force.
func (s *Spread) reason() string {
	behind := s.heard > s.version() || s.tree == nil
	switch {
	case behind && s.refused != "":
		return s.refused
	case behind && s.loadErr != "":
		return s.loadErr
	case s.pollErr != "":
		return s.pollErr
	case behind:
		return "it has not arrived yet"
	default:
		return ""
	}
}

// load asks for the newest head's tree, unless it is in force or on its way.
func (s *Spread) load(now time.Time) []Action {
	if !s.loadEnd.IsZero() && now.After(s.loadEnd) {
		s.HandleLoadFailed(now, "no reply in time")
	}
	if s.newest.version <= s.version() || !s.loadEnd.IsZero() || now.Before(s.loadAt) {
		return nil
	}
	s.loadEnd = now.Add(PollTimeout)
	return []Action{{kind: ActionLoad, head: s.newest}}
}

// take puts the version of an update in force if it is newer and good.
func (s *Spread) take(now time.Time, u Update) []Action {
	if len(u.body) == 0 || u.version <= s.version() {
		return nil
	}
	if !u.delta {
		tree, err := u.readFull()
		if err != nil {
			return s.refuse(now, u, err)
		}
		return s.adopt(now, tree, s.deltaTo(tree))
	}
	if s.tree == nil || u.base != s.version() {
		return nil
	}
	tree, d, err := u.readDelta(s.tree)
	if err != nil {
		return s.refuse(now, u, err)
	}
	return s.adopt(now, tree, d)
}

// refuse keeps what is in force and has the table service asked at once.
func (s *Spread) refuse(now time.Time, u Update, err error) []Action {
	s.refused = fmt.Sprintf("version %d was refused: %v", u.version, err)
	if s.failures == 0 {
		s.pollAt = now
	}
	return nil
}

// adopt puts a newer version in force and tells some peers.
func (s *Spread) adopt(now time.Time, tree *fbtree.Tree, d delta) []Action {
	s.tree = tree
	s.since = now
	s.heard = max(s.heard, tree.Version())
	s.refused = ""
	s.deltas = append(s.deltas, d)
	if len(s.deltas) > maxDeltas {
		s.deltas = slices.Delete(s.deltas, 0, len(s.deltas)-maxDeltas)
	}
	var actions []Action
	for _, address := range s.neighbours() {
		if p := s.peers[address]; p.version < tree.Version() {
			actions = append(actions, s.push(now, address, p))
		}
	}
	return actions
}

// deltaTo returns the changes from the version in force to a tree.
func (s *Spread) deltaTo(tree *fbtree.Tree) delta {
	if s.tree == nil {
		return delta{version: tree.Version()}
	}
	return delta{base: s.version(), version: tree.Version(), changes: fbtree.Diff(s.tree, tree)}
}

// deltaFrom returns the changes since a version, if they are kept.
func (s *Spread) deltaFrom(have uint64) (Update, bool) {
	i := slices.IndexFunc(s.deltas, func(d delta) bool { return d.base == have })
	if i < 0 || have == 0 {
		return Update{}, false
	}
	var changes []fbtree.Change
	for _, d := range s.deltas[i:] {
		changes = append(changes, d.changes...)
	}
	body := fbtree.EncodeChanges(changes)
	if len(body) > fbtree.MaxDelta {
		return Update{}, false
	}
	return Update{have: s.version(), base: have, version: s.version(), body: pack(body), delta: true}, true
}

// retryDelay returns the time until the next try after n failures in a row.
func retryDelay(n int) time.Duration {
	if n <= quickRetries {
		return pollRetry
	}
	return PollPeriod
}
