package fbsettings

// ActionKind is the kind of an action.
type ActionKind string

// The kinds of actions. The caller passes the result of each action but ActionInit
// to the method of Replica that is named here.
const (
	// ActionPoll reads the head row. The result goes to HandleHead or
	// HandlePollFailed.
	ActionPoll ActionKind = "poll"
	// ActionLoad reads the tree of a head. The result goes to HandleTree or
	// HandleLoadFailed.
	ActionLoad ActionKind = "load"
	// ActionInit commits the default tree as version 1.
	ActionInit ActionKind = "init"
	// ActionPush sends an update to a peer. The reply goes to HandleReply; an
	// unreachable peer is not reported.
	ActionPush ActionKind = "push"
	// ActionPull requests a peer's version. The reply goes to HandleReply; an
	// unreachable peer is not reported.
	ActionPull ActionKind = "pull"
)

// Action is a call that a Replica requests from its caller.
type Action struct {
	kind   ActionKind
	peer   string
	update Update
	head   Head
}

// Kind returns the kind of the action.
func (a Action) Kind() ActionKind { return a.kind }

// Peer returns the address of the peer of a push or a pull.
func (a Action) Peer() string { return a.peer }

// Update returns the update to send in a push or a pull. That of a pull has no
// body.
func (a Action) Update() Update { return a.update }

// Head returns the head whose tree is to be loaded.
func (a Action) Head() Head { return a.head }

// Member is a live peer.
type Member struct {
	address string
	version uint64
}

// NewMember returns the peer at an address, with the version that its last
// heartbeat named as in force.
func NewMember(address string, version uint64) Member {
	return Member{address: address, version: version}
}

// Address returns the peer's address, host:port.
func (m Member) Address() string { return m.address }

// Version returns the version in force at the peer by its last heartbeat, 0 for
// none.
func (m Member) Version() uint64 { return m.version }

// Status is the state of the settings at a daemon.
type Status struct {
	version uint64
	newest  uint64
	reason  string

	pollFailing bool
}

// Version returns the version in force, 0 for none.
func (s Status) Version() uint64 { return s.version }

// Newest returns the newest version known to the daemon, which may not be in force
// yet.
func (s Status) Newest() uint64 { return s.newest }

// Reason returns why the newest version may be unknown or not in force, empty if
// nothing indicates that.
func (s Status) Reason() string { return s.reason }
