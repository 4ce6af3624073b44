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

	// asked is when the confirmation in force was asked for.
	asked time.Time
	// sealed is the newest epoch whose successor this daemon tried to commit.
	// It gives no promise for that epoch and takes none.
	sealed uint64
	// trying is when the commit was sent whose outcome is not known yet.
	trying time.Time

	past  []adoption
	reads reads
	round round
	peers peers
}

// adoption is a view and when this daemon learnt of it.
type adoption struct {
	row     Row
	learned time.Time
}

// reads keeps the times of reads of the row.
type reads struct {
	asked   time.Time
	waiting bool
	ok      bool
	again   bool
}

// round is a question to all other members for a promise.
type round struct {
	asked    time.Time
	epoch    uint64
	promised map[filbertford.Incarnation]bool
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
	if v.reads.waiting && now.Sub(v.reads.asked) >= v.replyTimeout() {
		v.reads.waiting, v.reads.ok = false, false
		out = append(out, v.askPromise(now)...)
	}
	out = append(out, v.commit(now)...)
	if v.readDue(now) {
		out = append(out, v.read(now))
	}
	return out
}

// RowRead takes the row that a ReadRow asked for. A row that does not exist
// has version 0. The error, which wraps ErrBadRow or ErrReverted, says that the
// row was not usable; the daemon goes on with what it has.
func (v *View) RowRead(now, asked time.Time, row filbertford.Row) ([]Action, error) {
	next, err := v.parse(row)
	if err != nil {
		return v.ReadFailed(now, asked), err
	}
	v.settleRead(asked, true)
	out := v.adopt(now, next, row.Version())
	v.confirm(asked)
	return out, nil
}

// ReadFailed takes note that a ReadRow got no answer.
func (v *View) ReadFailed(now, asked time.Time) []Action {
	if !v.settleRead(asked, false) {
		return nil
	}
	return v.askPromise(now)
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
	if v.reads.waiting {
		return false
	}
	age := now.Sub(v.reads.asked)
	return v.reads.asked.IsZero() || age >= v.interval() || v.reads.again && age >= v.readGap()
}

// period is the lease period in force.
func (v *View) period() time.Duration {
	if v.row.epoch > 0 {
		return v.row.period
	}
	return v.opts.period
}

// interval is the time between two confirmations: a third of the period, so
// that one may fail and be tried again in time.
func (v *View) interval() time.Duration { return v.period() / 3 }

// replyTimeout is how long a read or a commit may take before the daemon goes
// on without it.
func (v *View) replyTimeout() time.Duration { return v.period() / 6 }

// readGap is the time between two reads at least.
func (v *View) readGap() time.Duration { return v.period() / 24 }

// read asks for the row.
func (v *View) read(now time.Time) Action {
	v.reads.asked, v.reads.waiting, v.reads.again = now, true, false
	return ReadRow{Key: Key(v.dc), Asked: now}
}

// settleRead ends the read asked at the time and reports whether it was the
// one that is waited for.
func (v *View) settleRead(asked time.Time, ok bool) bool {
	if !v.reads.waiting || !asked.Equal(v.reads.asked) {
		return false
	}
	v.reads.waiting, v.reads.ok = false, ok
	return true
}

// adopt makes next the view in use if it is newer than the present one.
func (v *View) adopt(now time.Time, next Row, version uint64) []Action {
	if v.known && next.epoch == v.row.epoch {
		v.version = version
		return nil
	}
	if next.epoch != v.row.epoch+1 {
		v.past = nil
	}
	v.row, v.version, v.known = next, version, true
	v.asked, v.trying, v.round = time.Time{}, time.Time{}, round{}
	if next.epoch == 0 {
		return nil
	}
	v.past = append(v.past, adoption{row: next, learned: now})
	v.forget(now)
	v.peers.since = time.Time{}
	return []Action{Adopted{Row: next}}
}

// confirm takes note that the view in use was the newest one at some time after
// the question.
func (v *View) confirm(asked time.Time) {
	if asked.After(v.asked) {
		v.asked = asked
	}
}

// forget drops the views that no longer matter for a tenure.
func (v *View) forget(now time.Time) {
	for len(v.past) > 1 && now.Sub(v.past[1].learned) > v.opts.outlast(v.past[1].row.wait)+v.opts.Retention() {
		v.past = v.past[1:]
	}
	if len(v.past) > maxPast {
		v.past = v.past[len(v.past)-maxPast:]
	}
}

// maxPast is the number of views that a daemon remembers at most.
const maxPast = 64
