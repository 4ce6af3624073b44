package fbview

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/filbertford/filbertford"
)

// ErrReverted is returned by RowRead for a row that is older than the view in
// use. The daemon keeps the newer one.
var ErrReverted = errors.New("view row went back")

// View is one daemon's part in the view of its data centre. Its methods must
// not be called at the same time.
type View struct {
	opts Options
	dc   filbertford.DataCentre
	self Member

	// row is the newest view known and version that of its row. The zero Row
	// stands for none.
	row     Row
	version uint64
	known   bool

	// leaseStart is when the confirmation in force was asked for.
	leaseStart time.Time
	// sealedEpoch is the newest epoch whose successor this daemon tried to commit.
	// It gives no promise for that epoch and takes none.
	sealedEpoch uint64
	// commitSentAt is when the commit was sent whose outcome is not known yet.
	commitSentAt time.Time

	adoptions []adoption
	reads     rowReads
	round     promiseRound
	peers     peers
}

// adoption is a view and when this daemon learnt of it.
type adoption struct {
	row       Row
	adoptedAt time.Time
}

// rowReads keeps the times of reads of the row.
type rowReads struct {
	requestedAt time.Time
	inFlight    bool
	lastOK      bool
	maybeStale  bool
}

// promiseRound is a question to all other members for a promise.
type promiseRound struct {
	requestedAt time.Time
	epoch       uint64
	promised    map[filbertford.Incarnation]bool
}

// NewView returns the part of the daemon self in the view of a data centre. It
// knows no view until the first read of the row.
func NewView(opts Options, dc filbertford.DataCentre, self Member) *View {
	return &View{opts: opts, dc: dc, self: self}
}

// Row returns the view in use, or false before the first read of the row.
func (v *View) Row() (Row, bool) { return v.row, v.known }

// Tick returns what is due: a read of the row, a round of promises if a read
// did not answer in time, or a commit of a changed view.
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

// HandleRow takes the row that a ReadRow asked for. A row that does not exist
// has version 0. The error, which wraps ErrBadRow or ErrReverted, says that the
// row was not usable; the daemon goes on with what it has.
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

// HandleReadError takes note that a ReadRow got no answer.
func (v *View) HandleReadError(now, requestedAt time.Time) []Action {
	if !v.endRead(requestedAt, false) {
		return nil
	}
	return v.requestPromises(now)
}

// parse reads a row of the table service and checks that it did not go back.
func (v *View) parse(row filbertford.Row) (Row, error) {
	if row.Version() == 0 {
		if v.known && v.row.epoch > 0 {
			return Row{}, fmt.Errorf("%w: no row, but epoch %d was seen", ErrReverted, v.row.epoch)
		}
		return Row{}, nil
	}
	next, err := ParseRow(row.Value())
	if err != nil {
		return Row{}, err
	}
	if next.epoch < v.row.epoch {
		return Row{}, fmt.Errorf("%w: epoch %d, but epoch %d was seen", ErrReverted, next.epoch, v.row.epoch)
	}
	if next.epoch == v.row.epoch && !slices.Equal(next.members, v.row.members) {
		return Row{}, fmt.Errorf("%w: epoch %d with other members than were seen", ErrReverted, next.epoch)
	}
	return next, nil
}

// readDue reports whether to read the row: regularly, and soon when there is
// reason to believe that it has changed.
func (v *View) readDue(now time.Time) bool {
	if v.reads.inFlight {
		return false
	}
	age := now.Sub(v.reads.requestedAt)
	return v.reads.requestedAt.IsZero() || age >= v.readInterval() || v.reads.maybeStale && age >= v.minReadInterval()
}

// leasePeriod is the lease period in force.
func (v *View) leasePeriod() time.Duration {
	if v.row.epoch > 0 {
		return v.row.period
	}
	return v.opts.period
}

// readInterval is the time between two confirmations: a third of the period, so
// that one may fail and be tried again in time.
func (v *View) readInterval() time.Duration { return v.leasePeriod() / 3 }

// replyTimeout is how long a read or a commit may take before the daemon goes
// on without it.
func (v *View) replyTimeout() time.Duration { return v.leasePeriod() / 6 }

// minReadInterval is the time between two reads at least.
func (v *View) minReadInterval() time.Duration { return v.leasePeriod() / 24 }

// startRead asks for the row.
func (v *View) startRead(now time.Time) Action {
	v.reads.requestedAt, v.reads.inFlight, v.reads.maybeStale = now, true, false
	return ReadRow{Key: Key(v.dc), RequestedAt: now}
}

// endRead ends the read asked at the time and reports whether it was the
// one that is waited for.
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

// renewLease takes note that the view in use was the newest one at some time after
// the question.
func (v *View) renewLease(requestedAt time.Time) {
	if requestedAt.After(v.leaseStart) {
		v.leaseStart = requestedAt
	}
}

// pruneAdoptions drops the views that no longer matter for a tenure.
func (v *View) pruneAdoptions(now time.Time) {
	for len(v.adoptions) > 1 && now.Sub(v.adoptions[1].adoptedAt) > v.opts.addDrift(v.adoptions[1].row.wait)+v.opts.Retention() {
		v.adoptions = v.adoptions[1:]
	}
	if len(v.adoptions) > maxAdoptions {
		v.adoptions = v.adoptions[len(v.adoptions)-maxAdoptions:]
	}
}

// maxAdoptions is the number of views that a daemon remembers at most.
const maxAdoptions = 64
