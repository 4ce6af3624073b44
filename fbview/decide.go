package fbview

import "time"

// Verdict is what a daemon may do with an opaque key that it does not remember.
type Verdict string

// The verdicts.
const (
	// VerdictStart means that no other daemon has started the key's job.
	VerdictStart Verdict = "start"
	// VerdictUndecided means that a previous owner may have started the job.
	VerdictUndecided Verdict = "undecided"
	// VerdictTooOld means that the key was minted longer ago than the horizon, so
	// that this owner may have started the job and no longer remember it.
	VerdictTooOld Verdict = "too-old"
	// VerdictFuture means that the key's minting time is further ahead than the
	// skew allows. No daemon starts the job now.
	VerdictFuture Verdict = "future"
	// VerdictUnconfirmed means that the daemon can't be certain that it owns the
	// key.
	VerdictUnconfirmed Verdict = "unsure"
	// VerdictNotOwner means that another daemon owns the key.
	VerdictNotOwner Verdict = "elsewhere"
)

// Tenure is the uninterrupted time during which one incarnation owns a key.
type Tenure struct {
	start time.Time
	first bool
}

// NewTenure returns a tenure that follows another owner's, which had ended by
// start.
func NewTenure(start time.Time) Tenure { return Tenure{start: start} }

// FirstTenure returns the tenure of the first owner that a key has had.
func FirstTenure() Tenure { return Tenure{first: true} }

// Start returns the time, by the owner's clock, from which on no previous owner
// starts the key's job. It is meaningless for the first tenure.
func (t Tenure) Start() time.Time { return t.start }

// First reports whether the key had no previous owner.
func (t Tenure) First() bool { return t.first }

// Decide returns whether the job of a key that the owner does not remember may
// be started.
//
// Before the tenure's start, a previous owner started only keys whose minting
// time was at most the skew ahead of its clock. A key minted later than that is
// new, whatever the caller's clock shows: a caller with a wrong clock loses
// availability only. The daemons' own clocks must agree within the clock error.
// A key without a minting time stays undecided until the horizon has passed
// since the tenure's start.
func (o Options) Decide(key string, now time.Time, t Tenure) Verdict {
	minted, timed := MintTime(key)
	if !timed {
		if t.first || now.Sub(t.start) >= o.horizon {
			return VerdictStart
		}
		return VerdictUndecided
	}
	switch {
	case minted.After(now.Add(o.skew)):
		return VerdictFuture
	case now.Sub(minted) > o.horizon:
		return VerdictTooOld
	case t.first || minted.After(t.start.Add(o.skew+o.clockError)):
		return VerdictStart
	default:
		return VerdictUndecided
	}
}

// Retention returns how long an owner must remember a key that it started. After
// that Decide returns VerdictTooOld for the key if it has a minting time; a key
// without one could be started again.
func (o Options) Retention() time.Duration {
	return o.horizon + o.skew + o.clockError
}
