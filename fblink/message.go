package fblink

import (
	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbfleet"
	"github.com/filbertford/filbertford/fbsched"
)

// Message is a message between two daemons: one of the types of this file, a
// fbsched.Batch, fbsched.Withdrawal, fbsched.Recall, fbsched.Report or
// fbsched.Confirm, or the result of Hub.Prepare.
type Message any

// Heartbeat is a heartbeat with the free capacity of the sender's pools and the
// versions of its routes, of the evacuations and of the targets' records that it knows.
type Heartbeat struct {
	heartbeat          fbfleet.Heartbeat
	capacities         map[filbertford.PoolID][]fbsched.Capacity
	routesVersion      uint64
	evacuationsVersion uint64
	targetsVersion     uint64
}

// NewHeartbeat returns a heartbeat with the free capacities of the claimed pools and
// the version of the routes that the sender uses, 0 for none.
func NewHeartbeat(h fbfleet.Heartbeat, capacities map[filbertford.PoolID][]fbsched.Capacity, routesVersion uint64) Heartbeat {
	return Heartbeat{heartbeat: h, capacities: capacities, routesVersion: routesVersion}
}

// Heartbeat returns the heartbeat without the capacities and the version.
func (h Heartbeat) Heartbeat() fbfleet.Heartbeat { return h.heartbeat }

// Capacities returns the free capacities of a claimed pool, one for each service.
func (h Heartbeat) Capacities(pool filbertford.PoolID) []fbsched.Capacity { return h.capacities[pool] }

// RoutesVersion returns the version of the sender's routes, 0 for none.
func (h Heartbeat) RoutesVersion() uint64 { return h.routesVersion }

// WithEvacuationsVersion returns a copy of h with the version of the evacuations that
// the sender knows.
func (h Heartbeat) WithEvacuationsVersion(version uint64) Heartbeat {
	h.evacuationsVersion = version
	return h
}

// EvacuationsVersion returns the version of the evacuations that the sender knows, 0 for
// none.
func (h Heartbeat) EvacuationsVersion() uint64 { return h.evacuationsVersion }

// WithTargetsVersion returns a copy of h with the version of the targets' records that the
// sender knows, 0 for none.
func (h Heartbeat) WithTargetsVersion(version uint64) Heartbeat {
	h.targetsVersion = version
	return h
}

// TargetsVersion returns the version of the targets' records that the sender knows, 0 for
// none.
func (h Heartbeat) TargetsVersion() uint64 { return h.targetsVersion }

// Roster lists the daemons that the sender knows.
type Roster struct{ members []fbfleet.Member }

// NewRoster returns a roster of the daemons.
func NewRoster(members []fbfleet.Member) Roster { return Roster{members: members} }

// Members returns the daemons.
func (r Roster) Members() []fbfleet.Member { return r.members }

// RoutesPull requests routes newer than a version.
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

// EvacuationsPull requests evacuations newer than a version.
type EvacuationsPull struct{ have uint64 }

// NewEvacuationsPull returns a request for evacuations newer than the version.
func NewEvacuationsPull(have uint64) EvacuationsPull { return EvacuationsPull{have: have} }

// Have returns the version that the sender has.
func (p EvacuationsPull) Have() uint64 { return p.have }

// EvacuationsPush carries the data centres that are evacuated as of a version of the
// store.
type EvacuationsPush struct {
	version     uint64
	dataCentres []filbertford.DataCentre
}

// NewEvacuationsPush returns the evacuated data centres as of the version.
func NewEvacuationsPush(version uint64, dataCentres ...filbertford.DataCentre) EvacuationsPush {
	return EvacuationsPush{version: version, dataCentres: dataCentres}
}

// Version returns the version of the store.
func (p EvacuationsPush) Version() uint64 { return p.version }

// DataCentres returns the evacuated data centres.
func (p EvacuationsPush) DataCentres() []filbertford.DataCentre { return p.dataCentres }

// RequestKind is the kind of a request about stored jobs.
type RequestKind string

// The kinds of requests about stored jobs.
const (
	RequestSubmit  RequestKind = "submit"
	RequestState   RequestKind = "state"
	RequestCancel  RequestKind = "cancel"
	RequestWaiting RequestKind = "waiting"
)

// StoredJobRequest is a caller's request about a stored job, sent to the owner of
// its shard.
type StoredJobRequest struct {
	id       uint64
	shard    filbertford.PoolID
	kind     RequestKind
	route    filbertford.Route
	workload filbertford.Workload
}

// NewStoredJobRequest returns a request with an ID that the sender assigns. A
// submission needs the whole workload; a state or cancel request needs only its key.
func NewStoredJobRequest(id uint64, shard filbertford.PoolID, kind RequestKind, r filbertford.Route, w filbertford.Workload) StoredJobRequest {
	return StoredJobRequest{id: id, shard: shard, kind: kind, route: r, workload: w}
}

// ID returns the request's ID, which the sender has assigned.
func (r StoredJobRequest) ID() uint64 { return r.id }

// Shard returns the shard of the job.
func (r StoredJobRequest) Shard() filbertford.PoolID { return r.shard }

// Kind returns the kind of the request.
func (r StoredJobRequest) Kind() RequestKind { return r.kind }

// Route returns the route of the request.
func (r StoredJobRequest) Route() filbertford.Route { return r.route }

// Workload returns the workload of the job.
func (r StoredJobRequest) Workload() filbertford.Workload { return r.workload }

// StoredJobReply is the reply to a StoredJobRequest.
type StoredJobReply struct {
	requestID uint64
	state     string
	accepted  bool
	waiting   int
}

// NewStoredJobReply returns the reply to the request with the ID: the job's state,
// whether a submission is stored, and the number of jobs that wait.
func NewStoredJobReply(requestID uint64, state string, accepted bool, waiting int) StoredJobReply {
	return StoredJobReply{requestID: requestID, state: state, accepted: accepted, waiting: waiting}
}

// RequestID returns the ID of the request.
func (r StoredJobReply) RequestID() uint64 { return r.requestID }

// State returns the job's state.
func (r StoredJobReply) State() string { return r.state }

// Accepted reports whether a submission is stored.
func (r StoredJobReply) Accepted() bool { return r.accepted }

// Waiting returns the number of jobs that wait.
func (r StoredJobReply) Waiting() int { return r.waiting }
