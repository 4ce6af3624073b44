package fbsettings

// ActionKind tells what an action asks for.
type ActionKind string

// The kinds of actions. Each but ActionInit ends in an event of Spread.
const (
	// ActionPoll asks to read the head row: HandleHead or HandlePollFailed.
	ActionPoll ActionKind = "poll"
	// ActionLoad asks to read the tree of a head: HandleTree or
	// HandleLoadFailed.
	ActionLoad ActionKind = "load"
	// ActionInit asks to have the default tree accepted as version 1.
	ActionInit ActionKind = "init"
	// ActionPush asks to send an update to a peer: HandleReply, or nothing if
	// the peer can't be reached.
	ActionPush ActionKind = "push"
	// ActionPull asks a peer for its version: HandleReply, or nothing if the
	// peer can't be reached.
	ActionPull ActionKind = "pull"
)

// Action is something that Spread wants to be done.
type Action struct {
	kind   ActionKind
	peer   string
	update Update
	head   Head
}

// Kind returns what is asked for.
func (a Action) Kind() ActionKind { return a.kind }

// Peer returns the address of the peer of a push or a pull.
func (a Action) Peer() string { return a.peer }

// Update returns what is sent. That of a pull has no body.
func (a Action) Update() Update { return a.update }

// Head returns what a load reads.
func (a Action) Head() Head { return a.head }

// Member is a live peer.
type Member struct {
	address string
	version uint64
}

// NewMember returns the peer at an address whose last heartbeat told that the
// version is in force there.
func NewMember(address string, version uint64) Member {
	return Member{address: address, version: version}
}

// Address returns the peer's address, host:port.
func (m Member) Address() string { return m.address }

// Version returns the version in force at the peer as it last told, 0 for none.
func (m Member) Version() uint64 { return m.version }

// Status is how far the settings are at a daemon.
type Status struct {
	version uint64
	newest  uint64
	reason  string

	pollFailing bool
}

// Version returns the version in force, 0 for none.
func (s Status) Version() uint64 { return s.version }

// Newest returns the newest version that the daemon has heard of.
func (s Status) Newest() uint64 { return s.newest }

// Reason returns why the newest version may not be in force, empty if nothing
// is amiss.
func (s Status) Reason() string { return s.reason }
