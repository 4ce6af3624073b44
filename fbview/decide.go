package fbview

import "time"

// Verdict says what an owner may do with an opaque key that it does not
// remember.
type Verdict string

// The verdicts.
const (
	// VerdictStart means that no other daemon has started the key's job.
	VerdictStart Verdict = "start"
	// VerdictUndecided means that a former owner may have started it.
	VerdictUndecided Verdict = "undecided"
	// VerdictTooOld means that the key was minted before the horizon, so that
	// this owner may have started it and forgotten.
	VerdictTooOld Verdict = "too-old"
	// VerdictFuture means that the key claims to be minted later than the
	// allowed skew permits. No daemon starts it now.
	VerdictFuture Verdict = "future"
	// VerdictUnconfirmed means that the daemon is not sure that it owns the key.
	VerdictUnconfirmed Verdict = "unsure"
	// VerdictNotOwner means that another daemon owns the key.
	VerdictNotOwner Verdict = "elsewhere"
)

// Tenure is the unbroken time in which one incarnation owns a key.
type Tenure struct {
	start time.Time
	first bool
}

// NewTenure returns a tenure that follows another owner's, which was over at
// start.
func NewTenure(start time.Time) Tenure { return Tenure{start: start} }

// FirstTenure returns the tenure of a key's first owner ever.
func FirstTenure() Tenure { return Tenure{first: true} }

// Start returns the time from which on no former owner starts the key, by the
// owner's clock. It means nothing for the first tenure.
func (t Tenure) Start() time.Time { return t.start }

// First reports whether no other owner came before.
func (t Tenure) First() bool { return t.first }

// Decide says whether a key that the owner does not remember may be started.
//
// A former owner started only keys whose minting time was at most the skew
// ahead of its clock, before the tenure's start. A key minted later than that
// is new, whatever the caller's clock shows: a wrong one costs availability
// only. The daemons' own clocks must agree within the clock error. A key that
// does not tell its time stays undecided until the horizon has passed since
// the tenure's start.
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

// Retention returns how long an owner has to remember a key that it started.
// After that Decide refuses the key as too old if it tells its time; a key
// that does not could then be started again.
func (o Options) Retention() time.Duration {
	return o.horizon + o.skew + o.clockError
}
