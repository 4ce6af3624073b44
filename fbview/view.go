package fbview

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/filbertford/filbertford"
)

// ErrReverted is returned by HandleRow for a row that is older than the view in
// use. The daemon keeps the view in use.
var ErrReverted = errors.New("view row was reverted")

// View is one daemon's state machine for the view of its data centre. It is not
// safe for concurrent use.
type View struct {
	opts Options
	dc   filbertford.DataCentre
	self Member

	// row is the newest known view, version the version of its row in the table
	// service. The zero Row means that there is no view. Until known is set, the
	// row has not been read.
	row     Row
	version uint64
	known   bool

	// leaseStart is when the latest confirmation was requested.
	leaseStart time.Time
	// sealedEpoch is the newest epoch that this daemon tried to replace by a
	// commit. It gives no promise for that epoch and accepts none.
	sealedEpoch uint64
	// commitSentAt is when the commit was sent whose outcome is still awaited.
	commitSentAt time.Time

	adoptions []adoption
	reads     rowReads
	round     promiseRound
	peers     peers
}

// adoption is a view and when this daemon began to use it.
type adoption struct {
	row       Row
	adoptedAt time.Time
}

// rowReads is the state of the reads of the row.
type rowReads struct {
	requestedAt time.Time
	inFlight    bool
	lastOK      bool
	maybeStale  bool
}

// promiseRound is a request for a promise from each of the other members.
type promiseRound struct {
	requestedAt time.Time
	epoch       uint64
	promised    map[filbertford.Incarnation]bool
}

// NewView returns the state machine of the daemon self for the view of a data
// centre. It has no view until the first read of the row.
func NewView(opts Options, dc filbertford.DataCentre, self Member) *View {
	return &View{opts: opts, dc: dc, self: self}
}

// Row returns the view in use, or false before the first read of the row.
func (v *View) Row() (Row, bool) { return v.row, v.known }

// Tick returns the actions that are due: a read of the row, a round of promises
// if a read got no reply in time, or a commit of a changed view.
func (v *View) Tick(now time.Time) []Action {
	var out []Action
	if v.reads.inFlight && now.Sub(v.reads.requestedAt) >= v.replyTimeout() {
		v.reads.inFlight, v.reads.lastOK = false, false
		out = append(out, v.requestPromises(now)...)
	}
	out = append(out, v.commitIfDue(now)...)
	if v.readDue(now) {
		out = append(out, v.startRead(now))
	}
	return out
}

// HandleRow handles the row that a ReadRow requested. A row that does not exist
// has version 0. It returns an error that wraps ErrMalformedRow or ErrReverted if
// the row is not usable; the daemon then keeps the view in use.
func (v *View) HandleRow(now, requestedAt time.Time, row filbertford.Row) ([]Action, error) {
	next, err := v.parse(row)
	if err != nil {
		return v.HandleReadError(now, requestedAt), err
	}
	v.endRead(requestedAt, true)
	out := v.adopt(now, next, row.Version())
	v.renewLease(requestedAt)
	return out, nil
}

// HandleReadError handles the failure of a ReadRow.
func (v *View) HandleReadError(now, requestedAt time.Time) []Action {
	if !v.endRead(requestedAt, false) {
		return nil
	}
	return v.requestPromises(now)
}

// parse parses a row of the table service and checks that it is not older than
// the view in use.
func (v *View) parse(row filbertford.Row) (Row, error) {
	if row.Version() == 0 {
		if v.known && v.row.epoch > 0 {
			return Row{}, fmt.Errorf("%w: no row, but epoch %d is in use", ErrReverted, v.row.epoch)
		}
		return Row{}, nil
	}
	next, err := ParseRow(row.Value())
	if err != nil {
		return Row{}, err
	}
	if next.epoch < v.row.epoch {
		return Row{}, fmt.Errorf("%w: epoch %d, but epoch %d is in use", ErrReverted, next.epoch, v.row.epoch)
	}
	if next.epoch == v.row.epoch && !slices.Equal(next.members, v.row.members) {
		return Row{}, fmt.Errorf("%w: epoch %d with other members than the view in use", ErrReverted, next.epoch)
	}
	return next, nil
}

// readDue reports whether to read the row: once per readInterval, and after
// minReadInterval if the row may have changed.
func (v *View) readDue(now time.Time) bool {
	if v.reads.inFlight {
		return false
	}
	age := now.Sub(v.reads.requestedAt)
	return v.reads.requestedAt.IsZero() || age >= v.readInterval() || v.reads.maybeStale && age >= v.minReadInterval()
}

// leasePeriod returns the lease period in force.
func (v *View) leasePeriod() time.Duration {
	if v.row.epoch > 0 {
		return v.row.period
	}
	return v.opts.period
}

// readInterval returns the time between two reads: a third of the lease period,
// so that one may fail and be retried before the lease expires.
func (v *View) readInterval() time.Duration { return v.leasePeriod() / 3 }

// replyTimeout returns how long a read or a commit may take before the daemon
// stops waiting for it.
func (v *View) replyTimeout() time.Duration { return v.leasePeriod() / 6 }

// minReadInterval returns the minimum time between two reads.
func (v *View) minReadInterval() time.Duration { return v.leasePeriod() / 24 }

// startRead returns the request to read the row.
func (v *View) startRead(now time.Time) Action {
	v.reads.requestedAt, v.reads.inFlight, v.reads.maybeStale = now, true, false
	return ReadRow{Key: Key(v.dc), RequestedAt: now}
}

// endRead ends the read requested at the time and reports whether it is the read
// in flight.
func (v *View) endRead(requestedAt time.Time, ok bool) bool {
	if !v.reads.inFlight || !requestedAt.Equal(v.reads.requestedAt) {
		return false
	}
	v.reads.inFlight, v.reads.lastOK = false, ok
	return true
}

// adopt makes next the view in use if it is newer than the present one.
func (v *View) adopt(now time.Time, next Row, version uint64) []Action {
	if v.known && next.epoch == v.row.epoch {
		v.version = version
		return nil
	}
	if next.epoch != v.row.epoch+1 {
		v.adoptions = nil
	}
	v.row, v.version, v.known = next, version, true
	v.leaseStart, v.commitSentAt, v.round = time.Time{}, time.Time{}, promiseRound{}
	if next.epoch == 0 {
		return nil
	}
	v.adoptions = append(v.adoptions, adoption{row: next, adoptedAt: now})
	v.pruneAdoptions(now)
	v.peers.wantedSince = time.Time{}
	return []Action{Adopted{Row: next}}
}

// renewLease starts the lease at the time of a request whose reply confirms that
// the view in use was still the newest one after that time.
func (v *View) renewLease(requestedAt time.Time) {
	if requestedAt.After(v.leaseStart) {
		v.leaseStart = requestedAt
	}
}

// pruneAdoptions drops the views that no longer affect a tenure.
func (v *View) pruneAdoptions(now time.Time) {
	for len(v.adoptions) > 1 && now.Sub(v.adoptions[1].adoptedAt) > v.opts.addDrift(v.adoptions[1].row.wait)+v.opts.Retention() {
		v.adoptions = v.adoptions[1:]
	}
	if len(v.adoptions) > maxAdoptions {
		v.adoptions = v.adoptions[len(v.adoptions)-maxAdoptions:]
	}
}

// maxAdoptions is the maximum number of views that a daemon remembers.
const maxAdoptions = 64
