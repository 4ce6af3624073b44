package fblink

import (
	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbfleet"
	"github.com/filbertford/filbertford/fbsched"
)

// Message is what a daemon tells another: one of the types of this file, or a
// fbsched.Batch, fbsched.Withdrawal, fbsched.Report or fbsched.Confirm.
type Message any

// Beat is a heartbeat with the rooms of the sender's pools and the version of
// its routes.
type Beat struct {
	beat   fbfleet.Beat
	rooms  map[filbertford.PoolID][]fbsched.Room
	routes uint64
}

// NewBeat returns a heartbeat with the rooms of the claimed pools and the
// version of the routes that the sender uses, 0 for none.
func NewBeat(b fbfleet.Beat, rooms map[filbertford.PoolID][]fbsched.Room, routes uint64) Beat {
	return Beat{beat: b, rooms: rooms, routes: routes}
}

// Beat returns the heartbeat.
func (b Beat) Beat() fbfleet.Beat { return b.beat }

// Rooms returns the rooms of a claimed pool.
func (b Beat) Rooms(pool filbertford.PoolID) []fbsched.Room { return b.rooms[pool] }

// Routes returns the version of the sender's routes.
func (b Beat) Routes() uint64 { return b.routes }

// Roster names daemons that the sender knows.
type Roster struct{ members []fbfleet.Member }

// NewRoster returns a roster.
func NewRoster(members []fbfleet.Member) Roster { return Roster{members: members} }

// Members returns the daemons.
func (r Roster) Members() []fbfleet.Member { return r.members }

// RoutesPull asks for routes newer than a version.
type RoutesPull struct{ have uint64 }

// NewRoutesPull returns a request for routes newer than the version.
func NewRoutesPull(have uint64) RoutesPull { return RoutesPull{have: have} }

// Have returns the version that the sender has.
func (p RoutesPull) Have() uint64 { return p.have }

// RoutesPush carries a version of the routes as the operator wrote it.
type RoutesPush struct {
	version uint64
	value   []byte
}

// NewRoutesPush returns a version of the routes.
func NewRoutesPush(version uint64, value []byte) RoutesPush {
	return RoutesPush{version: version, value: value}
}

// Version returns the version.
func (p RoutesPush) Version() uint64 { return p.version }

// Value returns the routes as the operator wrote them.
func (p RoutesPush) Value() []byte { return p.value }

// StoredKind tells what a request about a stored job asks for.
type StoredKind string

// The kinds of requests about stored jobs.
const (
	StoredSubmit  StoredKind = "submit"
	StoredState   StoredKind = "state"
	StoredCancel  StoredKind = "cancel"
	StoredWaiting StoredKind = "waiting"
)

// StoredRequest is a caller's request about a stored job, for the keeper of its
// shard.
type StoredRequest struct {
	number   uint64
	shard    filbertford.PoolID
	kind     StoredKind
	route    filbertford.Route
	workload filbertford.Workload
}

// NewStoredRequest returns a request that the sender numbers. Only a submission
// needs the whole workload, the others its key.
func NewStoredRequest(number uint64, shard filbertford.PoolID, kind StoredKind, r filbertford.Route, w filbertford.Workload) StoredRequest {
	return StoredRequest{number: number, shard: shard, kind: kind, route: r, workload: w}
}

// Number returns the sender's number of the request.
func (r StoredRequest) Number() uint64 { return r.number }

// Shard returns the shard of the job.
func (r StoredRequest) Shard() filbertford.PoolID { return r.shard }

// Kind returns what is asked for.
func (r StoredRequest) Kind() StoredKind { return r.kind }

// Route returns the route of the request.
func (r StoredRequest) Route() filbertford.Route { return r.route }

// Workload returns the job.
func (r StoredRequest) Workload() filbertford.Workload { return r.workload }

// StoredReply answers a StoredRequest.
type StoredReply struct {
	number   uint64
	state    string
	accepted bool
	waiting  int
}

// NewStoredReply returns the answer to the request with the sender's number: the
// job's state, whether a submission is stored, and the number of jobs that wait.
func NewStoredReply(number uint64, state string, accepted bool, waiting int) StoredReply {
	return StoredReply{number: number, state: state, accepted: accepted, waiting: waiting}
}

// Number returns the number of the request.
func (r StoredReply) Number() uint64 { return r.number }

// State returns the job's state.
func (r StoredReply) State() string { return r.state }

// Accepted reports whether a submission is stored.
func (r StoredReply) Accepted() bool { return r.accepted }

// Waiting returns the number of jobs that wait.
func (r StoredReply) Waiting() int { return r.waiting }
